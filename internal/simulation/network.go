package simulation

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// linkTable says which links are cut. A link is one direction between two hosts.
type linkTable struct {
	// mu guards cuts, which counts the cuts of a link from one host to another, and changed, which is closed
	// and replaced with each change.
	mu      sync.Mutex
	cuts    map[[2]string]int
	changed chan struct{}
}

func newLinkTable() *linkTable {
	return &linkTable{cuts: map[[2]string]int{}, changed: make(chan struct{})}
}

// setCut adds or removes a cut of the link from one host to another. A link with two cuts works again once both are
// removed.
func (links *linkTable) setCut(from, to string, on bool) {
	links.mu.Lock()
	defer links.mu.Unlock()
	if on {
		links.cuts[[2]string{from, to}]++
	} else {
		links.cuts[[2]string{from, to}]--
	}
	close(links.changed)
	links.changed = make(chan struct{})
}

// isCut reports whether a link is cut, and returns a channel that is closed when any link changes.
func (links *linkTable) isCut(from, to string) (bool, chan struct{}) {
	links.mu.Lock()
	defer links.mu.Unlock()
	return links.cuts[[2]string{from, to}] > 0, links.changed
}

// newControllerNetwork makes a network without listeners.
func newControllerNetwork(partitions *linkTable) *controllerNetwork {
	return &controllerNetwork{partitions: partitions, listeners: map[string]*simulatedListener{}, conns: map[*simulatedConn]string{}}
}

// controllerNetwork connects the controllers with each other by simulated TCP connections.
type controllerNetwork struct {
	partitions *linkTable

	mu        sync.Mutex
	listeners map[string]*simulatedListener
	// conns holds each open end of a connection with the host that it belongs to.
	conns map[*simulatedConn]string
}

// simulatedListener is the listener of a controller's process.
type simulatedListener struct {
	host     string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for a connection.
func (listener *simulatedListener) Accept() (net.Conn, error) {
	select {
	case testCase := <-listener.incoming:
		return testCase, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the port.
func (listener *simulatedListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

// Addr is the port's address.
func (listener *simulatedListener) Addr() net.Addr { return simulatedAddr(listener.host) }

type simulatedAddr string

// Network is the address's network.
func (simulatedAddr) Network() string { return "tcp" }

// String is the address.
func (address simulatedAddr) String() string { return string(address) }

// listen makes the listener of a host's new process.
func (network *controllerNetwork) listen(host string) *simulatedListener {
	network.mu.Lock()
	defer network.mu.Unlock()
	listener := &simulatedListener{host: host, incoming: make(chan net.Conn), closed: make(chan struct{})}
	network.listeners[host] = listener
	return listener
}

// reset ends a host's process: its connections are reset, and new ones are refused.
func (network *controllerNetwork) reset(host string) {
	network.mu.Lock()
	if listener := network.listeners[host]; listener != nil {
		_ = listener.Close()
		delete(network.listeners, host)
	}
	var all []*simulatedConn
	for conn, from := range network.conns {
		if from == host || conn.to == host {
			all = append(all, conn)
		}
	}
	network.mu.Unlock()
	for _, conn := range all {
		_ = conn.Close()
	}
}

// dialer is how a host connects to others. An attempt over a cut link fails after dialTimeout.
func (network *controllerNetwork) dialer(from string) func(ctx context.Context, networkName, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := network.dial(ctx, from, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: simulatedAddr(address), Err: err}
		}
		return conn, nil
	}
}

// dial connects two hosts if both links between them work and the other one listens.
func (network *controllerNetwork) dial(ctx context.Context, from, address string) (net.Conn, error) {
	outboundCut, _ := network.partitions.isCut(from, address)
	inboundCut, _ := network.partitions.isCut(address, from)
	if outboundCut || inboundCut {
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return nil, os.ErrDeadlineExceeded
	}
	network.mu.Lock()
	listener := network.listeners[address]
	network.mu.Unlock()
	if listener == nil {
		return nil, syscall.ECONNREFUSED
	}
	here, there := network.pair(from, address)
	select {
	case listener.incoming <- there:
		return here, nil
	case <-listener.closed:
		_ = here.Close()
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		_ = here.Close()
		return nil, ctx.Err()
	}
}

// dialTimeout is how long a connection attempt over a cut link takes to fail.
const dialTimeout = time.Second

// pair makes the two ends of a connection.
func (network *controllerNetwork) pair(from, to string) (*simulatedConn, *simulatedConn) {
	x, y := newByteStream(), newByteStream()
	here := &simulatedConn{network: network, from: from, to: to, inbound: y, outbound: x}
	there := &simulatedConn{network: network, from: to, to: from, inbound: x, outbound: y}
	here.peer, there.peer = there, here
	network.mu.Lock()
	network.conns[here], network.conns[there] = from, to
	network.mu.Unlock()
	return here, there
}

// simulatedConn is one end of a connection. What is written while its link is cut arrives afterwards.
type simulatedConn struct {
	network           *controllerNetwork
	from, to          string
	inbound, outbound *byteStream
	peer              *simulatedConn
}

// Read waits for what the other end wrote.
func (conn *simulatedConn) Read(buffer []byte) (int, error) {
	for {
		count, written, err := conn.inbound.read(buffer)
		if err != nil {
			return 0, err
		}
		// changed is what may make a further attempt succeed.
		changed := written
		if count > 0 {
			cut, linkChanged := conn.network.partitions.isCut(conn.to, conn.from)
			if !cut {
				return count, nil
			}
			conn.inbound.unread(buffer[:count])
			changed = linkChanged
		}
		select {
		case <-changed:
		case <-conn.inbound.closed:
			return 0, io.EOF
		}
	}
}

// Write appends to the stream; it never waits.
func (conn *simulatedConn) Write(p []byte) (int, error) { return conn.outbound.write(p) }

// Close resets the connection.
func (conn *simulatedConn) Close() error {
	conn.inbound.close()
	conn.outbound.close()
	conn.network.mu.Lock()
	defer conn.network.mu.Unlock()
	delete(conn.network.conns, conn)
	return nil
}

// LocalAddr is this end's address, RemoteAddr the other's.
func (conn *simulatedConn) LocalAddr() net.Addr { return simulatedAddr(conn.from) }

// RemoteAddr is the other end's address.
func (conn *simulatedConn) RemoteAddr() net.Addr { return simulatedAddr(conn.to) }

// SetDeadline does nothing, nor do the other two: controllers close connections that hang.
func (conn *simulatedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (conn *simulatedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (conn *simulatedConn) SetWriteDeadline(time.Time) error { return nil }

// byteStream is the unbounded buffer of one direction of a connection.
type byteStream struct {
	mu      sync.Mutex
	buffer  []byte
	written chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newByteStream() *byteStream {
	return &byteStream{written: make(chan struct{}), closed: make(chan struct{})}
}

var errConnectionReset = errors.New("connection reset")

// read takes bytes from the stream. It returns io.EOF once the stream is closed, and a channel that is closed with the
// next write.
func (stream *byteStream) read(to []byte) (int, chan struct{}, error) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	select {
	case <-stream.closed:
		return 0, nil, io.EOF
	default:
	}
	n := copy(to, stream.buffer)
	stream.buffer = stream.buffer[n:]
	return n, stream.written, nil
}

// unread puts bytes back in front.
func (stream *byteStream) unread(data []byte) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.buffer = append(slices.Clone(data), stream.buffer...)
}

// write appends bytes; it fails once the stream is closed.
func (stream *byteStream) write(data []byte) (int, error) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	select {
	case <-stream.closed:
		return 0, errConnectionReset
	default:
	}
	stream.buffer = append(stream.buffer, data...)
	close(stream.written)
	stream.written = make(chan struct{})
	return len(data), nil
}

// close ends the stream; what is in it is lost.
func (stream *byteStream) close() { stream.once.Do(func() { close(stream.closed) }) }
