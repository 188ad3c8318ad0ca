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

// Run starts to keep a connection to every peer, and returns. The connections end with ctx.
func (network *Network) Run(ctx context.Context) {
	for _, remote := range network.peers {
		go network.maintainConnection(ctx, remote)
	}
}

// maintainConnection connects to a peer again and again until ctx ends.
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
		case <-network.clock.After(tuning.PeerHello):
		}
	}
}

// observeConnection passes on how a connection to a peer began or ended.
func (network *Network) observeConnection(remote *remotePeer, outcome membership.ConnectionOutcome) {
	network.OnObservation(membership.Connection{To: remote.Member, Outcome: outcome})
}

// dialOutcome returns what the error of a failed attempt to connect tells, and records a refusal.
func (network *Network) dialOutcome(remote *remotePeer, err error) membership.ConnectionOutcome {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		network.mu.Lock()
		defer network.mu.Unlock()
		remote.lastRefusal = network.clock.Now()
		remote.lastActivity = remote.lastRefusal
		return membership.Refused
	case errors.Is(err, syscall.EMFILE), errors.Is(err, connlimit.ErrLimit):
		return membership.NoSocket
	default:
		return membership.TimedOut
	}
}

// runConnection exchanges greetings and replies with a peer until the connection ends. It closes the
// connection and returns how it ended.
func (network *Network) runConnection(ctx context.Context, remote *remotePeer, conn net.Conn) membership.ConnectionOutcome {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	network.attach(remote, conn)
	var silent atomic.Bool
	go func() {
		defer closeConn(conn) // This ends the reader below.
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
	remote.questionTimes = map[uint64]time.Time{}
}

// detach forgets the connection to a peer and ends the requests that wait for replies on it.
func (network *Network) detach(remote *remotePeer) {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote.conn = nil
	remote.lastFrame = time.Time{}
	for seq, waiter := range remote.pendingRequests {
		close(waiter)
		delete(remote.pendingRequests, seq)
	}
}

// sendHellos greets a peer at regular intervals until ctx ends, a write fails, or the peer is silent for
// too long. It tells whether the peer was silent: a peer behind a network partition says nothing and
// raises no error.
func (network *Network) sendHellos(ctx context.Context, remote *remotePeer, conn net.Conn) (silent bool) {
	started := network.clock.Now()
	for {
		if writeFrame(conn, &remote.writeMutex, network.newHelloQuestion(remote)) != nil {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-network.clock.After(tuning.PeerHello):
		}
		network.mu.Lock()
		last := remote.lastFrame
		network.mu.Unlock()
		if last.Before(started) {
			last = started
		}
		if network.clock.Since(last) > tuning.PeerDead {
			return true
		}
	}
}

// receive takes in a frame of a peer.
func (network *Network) receive(remote *remotePeer, message frame) {
	questionTime, asked := network.record(remote, message)
	if message.kind != wire.KindHello {
		return
	}
	switch {
	case message.seq == 0:
		// A greeting without a statement.
	case asked:
		network.Watermarks.ApplyStatement(remote.Member, questionTime, message.statement())
	default:
		slog.Info("ignoring unrequested watermark statement", "member", remote.Member, "seq", message.seq)
	}
	network.OnObservation(helloOf(remote.Member, message).observation())
}

// record updates the state of a peer for a frame, and delivers a reply to who waits for it. It returns
// when the question was sent that the frame answers, if it answers one.
func (network *Network) record(remote *remotePeer, message frame) (questionTime time.Time, asked bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote.lastFrame = network.clock.Now()
	remote.lastActivity = remote.lastFrame
	remote.receivedFrames++
	questionTime, asked = remote.questionTimes[message.seq]
	switch message.kind {
	case wire.KindHello:
		remote.hello = helloOf(remote.Member, message)
		delete(remote.questionTimes, message.seq)
	case wire.KindReply:
		if waiter := remote.pendingRequests[message.seq]; waiter != nil {
			waiter <- Response{Status: message.status, Body: message.body, RetryAfterS: message.retryAfterS}
			delete(remote.pendingRequests, message.seq)
		}
	}
	return questionTime, asked
}
