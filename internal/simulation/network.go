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

// linkTable records which links are cut. A link is one direction between two hosts.
type linkTable struct {
	// mu guards the fields below.
	mu sync.Mutex
	// cuts counts the active cuts of each link, a pair of sender and receiver.
	cuts map[[2]string]int
	// changed is closed and replaced with each change of cuts.
	changed chan struct{}
}

func newLinkTable() *linkTable {
	return &linkTable{cuts: map[[2]string]int{}, changed: make(chan struct{})}
}

// setCut adds or removes a cut of the link from one host to another. A link with two cuts works again once both are
// removed.
func (links *linkTable) setCut(from, to string, cut bool) {
	links.mu.Lock()
	defer links.mu.Unlock()
	if cut {
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

// newControllerNetwork returns a network without listeners.
func newControllerNetwork(partitions *linkTable) *controllerNetwork {
	return &controllerNetwork{partitions: partitions, listeners: map[string]*simulatedListener{}, conns: map[*simulatedConn]string{}}
}

// controllerNetwork connects the controllers with each other by simulated TCP connections.
type controllerNetwork struct {
	partitions *linkTable

	// mu guards the fields below.
	mu        sync.Mutex
	listeners map[string]*simulatedListener
	// conns maps each open end of a connection to the host that it belongs to.
	conns map[*simulatedConn]string
}

// simulatedListener is the listener of a controller's process.
type simulatedListener struct {
	host     string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for a connection; it returns net.ErrClosed once the listener is closed.
func (listener *simulatedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.incoming:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. It may be called several times.
func (listener *simulatedListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

// Addr returns the listener's address, the name of its host.
func (listener *simulatedListener) Addr() net.Addr { return simulatedAddr(listener.host) }

// simulatedAddr is the address of a host on the simulated network: its name.
type simulatedAddr string

// Network returns "tcp".
func (simulatedAddr) Network() string { return "tcp" }

// String returns the name of the host.
func (address simulatedAddr) String() string { return string(address) }

// listen creates and registers the listener of a host's new process.
func (network *controllerNetwork) listen(host string) *simulatedListener {
	network.mu.Lock()
	defer network.mu.Unlock()
	listener := &simulatedListener{host: host, incoming: make(chan net.Conn), closed: make(chan struct{})}
	network.listeners[host] = listener
	return listener
}

// reset closes a host's listener and all connections of the host; new connections to it are refused.
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

// dialer returns the function with which a host connects to others. Connecting over a cut link fails after dialTimeout.
func (network *controllerNetwork) dialer(from string) func(ctx context.Context, networkName, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := network.dial(ctx, from, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: simulatedAddr(address), Err: err}
		}
		return conn, nil
	}
}

// dial connects two hosts if the links between them work in both directions and the other host listens.
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
	localEnd, remoteEnd := network.pair(from, address)
	select {
	case listener.incoming <- remoteEnd:
		return localEnd, nil
	case <-listener.closed:
		_ = localEnd.Close()
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		_ = localEnd.Close()
		return nil, ctx.Err()
	}
}

// dialTimeout is how long it takes until connecting over a cut link fails.
const dialTimeout = time.Second

// pair returns the two ends of a new connection, that of from first.
func (network *controllerNetwork) pair(from, to string) (*simulatedConn, *simulatedConn) {
	outbound, inbound := newByteStream(), newByteStream()
	localEnd := &simulatedConn{network: network, from: from, to: to, inbound: inbound, outbound: outbound}
	remoteEnd := &simulatedConn{network: network, from: to, to: from, inbound: outbound, outbound: inbound}
	localEnd.peer, remoteEnd.peer = remoteEnd, localEnd
	network.mu.Lock()
	network.conns[localEnd], network.conns[remoteEnd] = from, to
	network.mu.Unlock()
	return localEnd, remoteEnd
}

// simulatedConn is one end of a connection. Data written while the link is cut arrives once the link works again.
type simulatedConn struct {
	network           *controllerNetwork
	from, to          string
	inbound, outbound *byteStream
	peer              *simulatedConn
}

// Read waits for data from the other end; it returns io.EOF once the connection is closed.
func (conn *simulatedConn) Read(buffer []byte) (int, error) {
	for {
		count, written, err := conn.inbound.read(buffer)
		if err != nil {
			return 0, err
		}
		// changed is closed when another attempt may succeed.
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

// Write appends to the outbound stream. It never blocks, and fails once the connection is closed.
func (conn *simulatedConn) Write(p []byte) (int, error) { return conn.outbound.write(p) }

// Close resets the connection; data that was not read yet is lost.
func (conn *simulatedConn) Close() error {
	conn.inbound.close()
	conn.outbound.close()
	conn.network.mu.Lock()
	defer conn.network.mu.Unlock()
	delete(conn.network.conns, conn)
	return nil
}

// LocalAddr returns the address of this end.
func (conn *simulatedConn) LocalAddr() net.Addr { return simulatedAddr(conn.from) }

// RemoteAddr returns the address of the other end.
func (conn *simulatedConn) RemoteAddr() net.Addr { return simulatedAddr(conn.to) }

// SetDeadline does nothing, as SetReadDeadline and SetWriteDeadline: controllers close connections that hang.
func (conn *simulatedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (conn *simulatedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (conn *simulatedConn) SetWriteDeadline(time.Time) error { return nil }

// byteStream is the unbounded buffer of one direction of a connection.
type byteStream struct {
	// mu guards buffer and written.
	mu     sync.Mutex
	buffer []byte
	// written is closed and replaced with each write.
	written chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newByteStream() *byteStream {
	return &byteStream{written: make(chan struct{}), closed: make(chan struct{})}
}

var errConnectionReset = errors.New("connection reset")

// read takes up to len(to) bytes from the stream without waiting. It returns their number and a channel that is closed
// with the next write, or io.EOF once the stream is closed.
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

// unread puts bytes back at the front of the stream.
func (stream *byteStream) unread(data []byte) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.buffer = append(slices.Clone(data), stream.buffer...)
}

// write appends bytes to the stream; it returns errConnectionReset once the stream is closed.
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

// close closes the stream; bytes that were not read yet are lost. It may be called several times.
func (stream *byteStream) close() { stream.once.Do(func() { close(stream.closed) }) }
