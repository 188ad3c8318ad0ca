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

// Network is a controller's end of the connections with its peers. Its methods may be called concurrently.
type Network struct {
	clock  clockwork.Clock
	self   func() Hello
	handle Handler
	// Dial opens a connection to a peer. It may be replaced before Run.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// OnObservation receives everything that is seen of peers. It may be replaced before Run, is called
	// concurrently and without the lock, and must not block.
	OnObservation func(membership.Observation)
	// Watermarks is set before Run and Serve, or stays nil: then nothing is said about cancellations.
	Watermarks Watermarks

	// mu guards the state of every remotePeer.
	mu sync.Mutex
	// peers holds all peers by member. The map itself does not change after New.
	peers map[string]*remotePeer
}

// remotePeer is another controller and the connection to it. The lock of the Network guards all fields
// but the address and writeMutex.
type remotePeer struct {
	settings.Peer

	// conn is the connection to the peer; nil while there is none.
	conn net.Conn
	// questionTimes holds, by sequence number, when each question about cancellations was sent that has no
	// answer on this connection yet.
	questionTimes map[uint64]time.Time
	// pendingRequests holds, by sequence number, who waits for the reply to a request. A channel is closed
	// without a reply when the connection ends.
	pendingRequests map[uint64]chan Response
	// lastSeq is the newest sequence number of a question or request.
	lastSeq uint64

	// hello is the peer's newest greeting.
	hello Hello
	// lastFrame is when the newest frame of this connection came in; zero without a connection.
	lastFrame time.Time
	// lastRefusal is when the peer last refused a connection: it is down, or has no free socket, but
	// the network between is in order.
	lastRefusal time.Time
	// lastActivity is the later of the newest frame of any connection and the last refusal.
	lastActivity time.Time
	// receivedFrames counts the frames of all connections.
	receivedFrames uint64

	// writeMutex keeps frames on conn whole.
	writeMutex sync.Mutex
}

// New returns the network of a controller with the given peers. The function self returns the greeting
// of this controller, and handle handles the requests of peers.
func New(peers []settings.Peer, clock clockwork.Clock, self func() Hello, handle Handler) *Network {
	network := &Network{
		clock:         clock,
		self:          self,
		handle:        handle,
		Dial:          (&net.Dialer{Timeout: tuning.PeerDead}).DialContext,
		OnObservation: func(membership.Observation) {},
		peers:         map[string]*remotePeer{},
	}
	for _, address := range peers {
		network.peers[address.Member] = &remotePeer{Peer: address, pendingRequests: map[uint64]chan Response{}}
	}
	return network
}

// LivePeers returns the newest greeting of each reachable peer, in no particular order.
func (network *Network) LivePeers() []Hello {
	network.mu.Lock()
	defer network.mu.Unlock()
	var hellos []Hello
	for _, remote := range network.peers {
		if !remote.lastFrame.IsZero() && network.clock.Since(remote.lastFrame) < tuning.PeerDead {
			hellos = append(hellos, remote.hello)
		}
	}
	return hellos
}

// Isolated tells whether there are peers and none answers in any way, not even by refusing a connection.
// Then this controller's own network is more likely at fault than all of them.
func (network *Network) Isolated() bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, remote := range network.peers {
		last := remote.lastFrame
		if remote.lastRefusal.After(last) {
			last = remote.lastRefusal
		}
		if !last.IsZero() && network.clock.Since(last) < tuning.PeerDead+tuning.PeerHello {
			return false
		}
	}
	return len(network.peers) > 0
}

// Unresponsive tells whether a peer gives no sign of life at all: it neither answers nor refuses a
// connection, so an attempt to reach it ends by a timeout. It is false for an unknown member.
func (network *Network) Unresponsive(member string) bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote := network.peers[member]
	return remote != nil && network.clock.Since(remote.lastActivity) > tuning.PeerDead+tuning.PeerHello
}

// ReceivedCount returns the number of frames received from a peer; 0 for an unknown member.
func (network *Network) ReceivedCount(member string) uint64 {
	network.mu.Lock()
	defer network.mu.Unlock()
	if remote := network.peers[member]; remote != nil {
		return remote.receivedFrames
	}
	return 0
}

// Reachable tells whether a peer sent anything lately.
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
		_ = listener.Close() // Accept reports whatever matters.
	}()
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			go network.serveConn(ctx, conn)
		case ctx.Err() == nil:
			slog.Error("accepting peer connection failed", "err", err)
			network.clock.Sleep(tuning.ElectRetry)
		}
	}
	return nil
}

// serveConn answers the greetings and requests of one peer until its connection ends. Anything that is
// not a frame ends this connection and has no other effect.
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
	// A peer whose connection has failed treats the request as unanswered and asks elsewhere.
	_ = writeFrame(conn, writeMutex, frame{
		kind: wire.KindReply, seq: message.seq,
		status: response.Status, body: response.Body, retryAfterS: response.RetryAfterS,
	})
}

// closeConn closes a connection that is given up; nothing depends on whether that succeeds.
func closeConn(conn net.Conn) { _ = conn.Close() }
