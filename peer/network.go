package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/membership"
	"switchferry/peer/wire"
	"switchferry/settings"
	"switchferry/tuning"
)

// Network manages a controller's connections with its peers. Its methods are safe for concurrent use.
type Network struct {
	clock clockwork.Clock
	// localHello returns the present state of this controller.
	localHello func() Hello
	handle     Handler
	// Dial opens a connection to a peer. It may be replaced before Run is called.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// OnObservation receives the hellos and connection outcomes of all peers. It may be replaced before Run is
	// called. It is called concurrently and without holding mu, and must not block.
	OnObservation func(membership.Observation)
	// Watermarks must be set before Run and Serve are called. If it is nil, watermark statements are neither
	// requested nor sent.
	Watermarks Watermarks

	// mu guards the fields of every remotePeer, except settings.Peer and writeMutex.
	mu sync.Mutex
	// peers holds all peers by member name. The map itself does not change after New.
	peers map[string]*remotePeer
}

// remotePeer is another controller and the connection to it. Network.mu guards all fields except settings.Peer,
// which does not change, and writeMutex.
type remotePeer struct {
	settings.Peer

	// conn is the connection to the peer, or nil while there is none.
	conn net.Conn
	// statementRequestTimes holds, by sequence number, when each watermark statement was requested that has not
	// arrived on this connection yet.
	statementRequestTimes map[uint64]time.Time
	// pendingRequests holds, by sequence number, the channel that receives the reply to each pending request.
	// When the connection ends, the channels are closed without a reply.
	pendingRequests map[uint64]chan Response
	// lastSeq is the last sequence number that was used, for a statement request or another request.
	lastSeq uint64

	// hello is the peer's latest hello.
	hello Hello
	// lastFrameAt is when the latest frame arrived on the current connection. It is zero without a connection.
	lastFrameAt time.Time
	// lastRefusalAt is when the peer's host last refused a connection. The peer is then down or has no free
	// socket, but the network to it works.
	lastRefusalAt time.Time
	// lastActivityAt is when the latest frame on any connection or the latest refusal arrived.
	lastActivityAt time.Time
	// receivedFrames is the number of frames received on all connections.
	receivedFrames uint64

	// writeMutex serializes writes to conn, so that frames are not interleaved.
	writeMutex sync.Mutex
}

// New returns the network of a controller with the given peers. The function localHello returns the present state of
// this controller for its hellos, and handle handles the requests that peers forward.
func New(peers []settings.Peer, clock clockwork.Clock, localHello func() Hello, handle Handler) *Network {
	network := &Network{
		clock:         clock,
		localHello:    localHello,
		handle:        handle,
		Dial:          (&net.Dialer{Timeout: tuning.PeerSilenceTimeout}).DialContext,
		OnObservation: func(membership.Observation) {},
		peers:         map[string]*remotePeer{},
	}
	for _, peerSettings := range peers {
		network.peers[peerSettings.Member] = &remotePeer{Peer: peerSettings, pendingRequests: map[uint64]chan Response{}}
	}
	return network
}

// LivePeers returns the latest hello of each peer that sent a frame within tuning.PeerSilenceTimeout, in no particular
// order.
func (network *Network) LivePeers() []Hello {
	network.mu.Lock()
	defer network.mu.Unlock()
	var hellos []Hello
	for _, remote := range network.peers {
		if !remote.lastFrameAt.IsZero() && network.clock.Since(remote.lastFrameAt) < tuning.PeerSilenceTimeout {
			hellos = append(hellos, remote.hello)
		}
	}
	return hellos
}

// Isolated reports whether there are peers and none of them has recently sent a frame or refused a connection. In
// that case a fault of this controller's own network is more likely than a failure of all peers.
func (network *Network) Isolated() bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, remote := range network.peers {
		lastActivityAt := remote.lastFrameAt
		if remote.lastRefusalAt.After(lastActivityAt) {
			lastActivityAt = remote.lastRefusalAt
		}
		if !lastActivityAt.IsZero() && network.clock.Since(lastActivityAt) < tuning.PeerSilenceTimeout+tuning.PeerHelloInterval {
			return false
		}
	}
	return len(network.peers) > 0
}

// Unresponsive reports whether a peer has recently neither sent a frame nor refused a connection, so that attempts
// to reach it end by a timeout. It returns false for an unknown member.
func (network *Network) Unresponsive(member string) bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote := network.peers[member]
	return remote != nil && network.clock.Since(remote.lastActivityAt) > tuning.PeerSilenceTimeout+tuning.PeerHelloInterval
}

// ReceivedFrames returns the number of frames received from a peer, or 0 for an unknown member.
func (network *Network) ReceivedFrames(member string) uint64 {
	network.mu.Lock()
	defer network.mu.Unlock()
	if remote := network.peers[member]; remote != nil {
		return remote.receivedFrames
	}
	return 0
}

// Reachable reports whether a peer sent a frame within tuning.PeerSilenceTimeout.
func (network *Network) Reachable(member string) bool {
	for _, hello := range network.LivePeers() {
		if hello.Member == member {
			return true
		}
	}
	return false
}

// Serve accepts the connections of peers until ctx ends, then closes the listener and returns nil.
func (network *Network) Serve(ctx context.Context, listener net.Listener) error {
	go func() {
		<-ctx.Done()
		_ = listener.Close() // Accept fails once the listener is closed, whatever Close returns.
	}()
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			go network.serveConn(ctx, conn)
		case ctx.Err() == nil:
			slog.Error("accepting peer connection failed", "err", err)
			network.clock.Sleep(tuning.ErrorRetryDelay)
		}
	}
	return nil
}

// serveConn answers the hellos and requests of one peer until its connection ends. Malformed input ends this
// connection and has no other effect.
func (network *Network) serveConn(ctx context.Context, conn net.Conn) {
	defer closeConn(conn)
	var writeMutex sync.Mutex
	reader := bufio.NewReader(conn)
	for {
		message, err := readFrame(reader)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				slog.Debug("closing peer connection", "from", conn.RemoteAddr(), "err", err)
			}
			return
		}
		switch message.kind {
		case wire.KindHello:
			if writeFrame(conn, &writeMutex, network.newHelloReply(message)) != nil {
				return
			}
		case wire.KindRequest:
			go network.serveRequest(ctx, conn, &writeMutex, message)
		}
	}
}

// serveRequest handles one request and sends the reply.
func (network *Network) serveRequest(ctx context.Context, conn net.Conn, writeMutex *sync.Mutex, message frame) {
	request := Request{Verb: message.verb, Job: message.job, Body: message.body, From: message.member}
	response := network.handle(ctx, request)
	// If the connection has failed, the peer treats the request as unanswered and forwards it elsewhere.
	_ = writeFrame(conn, writeMutex, frame{
		kind: wire.KindReply, seq: message.seq,
		status: response.Status, body: response.Body, retryAfterS: response.RetryAfterS,
	})
}

// closeConn closes a connection that is no longer used and ignores the error.
func closeConn(conn net.Conn) { _ = conn.Close() }
