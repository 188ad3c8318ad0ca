package peer

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"switchferry/connlimit"
	"switchferry/membership"
	"switchferry/peer/wire"
	"switchferry/tuning"
)

// Run starts one goroutine per peer that keeps a connection to it until ctx ends, and returns at once.
func (network *Network) Run(ctx context.Context) {
	for _, remote := range network.peers {
		go network.maintainConnection(ctx, remote)
	}
}

// maintainConnection connects to a peer, and reconnects whenever the connection ends, until ctx ends.
func (network *Network) maintainConnection(ctx context.Context, remote *remotePeer) {
	for ctx.Err() == nil {
		conn, err := network.Dial(ctx, "tcp", remote.Address)
		if err == nil {
			network.observeConnection(remote, membership.Established)
			network.observeConnection(remote, network.runConnection(ctx, remote, conn))
		} else {
			network.observeConnection(remote, network.dialOutcome(remote, err))
		}
		select {
		case <-ctx.Done():
		case <-network.clock.After(tuning.PeerHelloInterval):
		}
	}
}

// observeConnection reports the outcome of a connection to a peer to OnObservation.
func (network *Network) observeConnection(remote *remotePeer, outcome membership.ConnectionOutcome) {
	network.OnObservation(membership.Connection{To: remote.Member, Outcome: outcome})
}

// dialOutcome classifies the error of a failed attempt to connect. It records the time of a refusal.
func (network *Network) dialOutcome(remote *remotePeer, err error) membership.ConnectionOutcome {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		network.mu.Lock()
		defer network.mu.Unlock()
		remote.lastRefusalAt = network.clock.Now()
		remote.lastActivityAt = remote.lastRefusalAt
		return membership.Refused
	case errors.Is(err, syscall.EMFILE), errors.Is(err, connlimit.ErrLimit):
		return membership.NoSocket
	default:
		return membership.TimedOut
	}
}

// runConnection sends hellos to a peer and receives its frames until the connection ends. It closes the
// connection and returns how it ended.
func (network *Network) runConnection(ctx context.Context, remote *remotePeer, conn net.Conn) membership.ConnectionOutcome {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	network.attach(remote, conn)
	var silent atomic.Bool
	go func() {
		defer closeConn(conn) // This ends the read loop below.
		silent.Store(network.sendHellos(ctx, remote, conn))
	}()
	reader := bufio.NewReader(conn)
	for {
		message, err := readFrame(reader)
		if err != nil {
			break
		}
		network.receive(remote, message)
	}
	closeConn(conn)
	network.detach(remote)
	if silent.Load() || ctx.Err() != nil {
		return membership.TimedOut
	}
	return membership.Reset
}

// attach makes conn the connection to a peer.
func (network *Network) attach(remote *remotePeer, conn net.Conn) {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote.conn = conn
	remote.statementRequestTimes = map[uint64]time.Time{}
}

// detach removes the connection to a peer and fails the requests that wait for replies on it.
func (network *Network) detach(remote *remotePeer) {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote.conn = nil
	remote.lastFrameAt = time.Time{}
	for seq, replyChannel := range remote.pendingRequests {
		close(replyChannel)
		delete(remote.pendingRequests, seq)
	}
}

// sendHellos sends hellos to a peer every tuning.PeerHelloInterval until ctx ends, a write fails, or no frame arrives
// from the peer for tuning.PeerSilenceTimeout. It reports whether it returned for the last reason: a network partition
// stops the frames of a peer without causing an error.
func (network *Network) sendHellos(ctx context.Context, remote *remotePeer, conn net.Conn) (silent bool) {
	started := network.clock.Now()
	for {
		if writeFrame(conn, &remote.writeMutex, network.newHelloRequestingStatement(remote)) != nil {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-network.clock.After(tuning.PeerHelloInterval):
		}
		network.mu.Lock()
		lastFrameAt := remote.lastFrameAt
		network.mu.Unlock()
		if lastFrameAt.Before(started) {
			lastFrameAt = started
		}
		if network.clock.Since(lastFrameAt) > tuning.PeerSilenceTimeout {
			return true
		}
	}
}

// receive processes a frame from a peer. It applies the watermark statement of a hello and reports the hello to
// OnObservation.
func (network *Network) receive(remote *remotePeer, message frame) {
	requestedAt, requested := network.recordFrame(remote, message)
	if message.kind != wire.KindHello {
		return
	}
	switch {
	case message.seq == 0:
		// The hello has no watermark statement.
	case requested:
		network.Watermarks.ApplyStatement(remote.Member, requestedAt, message.statement())
	default:
		slog.Info("ignoring unrequested watermark statement", "member", remote.Member, "seq", message.seq)
	}
	network.OnObservation(helloFromFrame(remote.Member, message).membershipHello())
}

// recordFrame updates the state of a peer with a received frame and delivers a reply to the waiting request. If the
// frame answers a request for a watermark statement, it returns when that request was sent, and true.
func (network *Network) recordFrame(remote *remotePeer, message frame) (requestedAt time.Time, requested bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote.lastFrameAt = network.clock.Now()
	remote.lastActivityAt = remote.lastFrameAt
	remote.receivedFrames++
	requestedAt, requested = remote.statementRequestTimes[message.seq]
	switch message.kind {
	case wire.KindHello:
		remote.hello = helloFromFrame(remote.Member, message)
		delete(remote.statementRequestTimes, message.seq)
	case wire.KindReply:
		if replyChannel := remote.pendingRequests[message.seq]; replyChannel != nil {
			replyChannel <- Response{Status: message.status, Body: message.body, RetryAfterS: message.retryAfterS}
			delete(remote.pendingRequests, message.seq)
		}
	}
	return requestedAt, requested
}
