package simulation

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// linkTable is the network: each direction of each pair of hosts is cut or not by itself.
type linkTable struct {
	mu      sync.Mutex
	cuts    map[[2]string]int
	changed chan struct{}
}

func newLinkTable() *linkTable {
	return &linkTable{cuts: map[[2]string]int{}, changed: make(chan struct{})}
}

// setCut cuts, or joins again, what goes from one host to another. Cuts count: two of them end with both.
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

func (links *linkTable) isCut(from, to string) (bool, chan struct{}) {
	links.mu.Lock()
	defer links.mu.Unlock()
	return links.cuts[[2]string{from, to}] > 0, links.changed
}

// controllerNetwork is the network between the controllers.
type controllerNetwork struct {
	partitions *linkTable

	mu        sync.Mutex
	listeners map[string]*simulatedListener
	conns     map[*simulatedConn]string // by the host at the other end
}

// simulatedListener is a controller's listener in one of its lives.
type simulatedListener struct {
	host     string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for a connection.
func (listener *simulatedListener) Accept() (net.Conn, error) {
	select {
	case c := <-listener.incoming:
		return c, nil
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

// listen begins a life of a host.
func (network *controllerNetwork) listen(host string) *simulatedListener {
	network.mu.Lock()
	defer network.mu.Unlock()
	listener := &simulatedListener{host: host, incoming: make(chan net.Conn), closed: make(chan struct{})}
	network.listeners[host] = listener
	return listener
}

// reset ends a host's life: its connections are reset, and new ones refused.
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

// dialer connects one host to another.
func (b *controllerNetwork) dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		fail := func(err error) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: simulatedAddr(to), Err: err}
		}
		if cut, _ := b.partitions.isCut(from, to); !cut {
			cut, _ = b.partitions.isCut(to, from)
			if !cut {
				b.mu.Lock()
				listener := b.listeners[to]
				b.mu.Unlock()
				if listener == nil {
					return fail(syscall.ECONNREFUSED)
				}
				here, there := b.pair(from, to)
				select {
				case listener.incoming <- there:
					return here, nil
				case <-listener.closed:
					_ = here.Close()
					return fail(syscall.ECONNREFUSED)
				case <-ctx.Done():
					_ = here.Close()
					return fail(ctx.Err())
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return fail(os.ErrDeadlineExceeded)
	}
}

// dialTimeout is how long a connection attempt into a cut takes to fail.
const dialTimeout = time.Second

// pair is a connection's two ends.
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

// simulatedConn is one end of a connection. What is written while the direction is cut arrives afterwards.
type simulatedConn struct {
	network           *controllerNetwork
	from, to          string
	inbound, outbound *byteStream
	peer              *simulatedConn
}

// Read waits for what the other end wrote.
func (conn *simulatedConn) Read(p []byte) (int, error) {
	for {
		n, more, err := conn.inbound.read(p)
		if n > 0 {
			if cut, changed := conn.network.partitions.isCut(conn.to, conn.from); cut {
				conn.inbound.unread(p[:n])
				select {
				case <-changed:
				case <-conn.inbound.closed:
					return 0, io.EOF
				}
				continue
			}
			return n, nil
		}
		if err != nil {
			return 0, err
		}
		select {
		case <-more:
		case <-conn.inbound.closed:
			return 0, io.EOF
		}
	}
}

// Write hands bytes on; it never waits.
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

// SetDeadline is not needed here, nor are the other two.
func (conn *simulatedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (conn *simulatedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (conn *simulatedConn) SetWriteDeadline(time.Time) error { return nil }

// byteStream is one direction's bytes.
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

func (stream *byteStream) unread(b []byte) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.buffer = append(append([]byte{}, b...), stream.buffer...)
}

func (stream *byteStream) write(b []byte) (int, error) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	select {
	case <-stream.closed:
		return 0, errConnectionReset
	default:
	}
	stream.buffer = append(stream.buffer, b...)
	close(stream.written)
	stream.written = make(chan struct{})
	return len(b), nil
}

func (stream *byteStream) close() { stream.once.Do(func() { close(stream.closed) }) }
