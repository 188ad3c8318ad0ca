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

// links is the network: each direction of each pair of hosts is cut or not by itself.
type links struct {
	mu      sync.Mutex
	cuts    map[[2]string]int
	changed chan struct{}
}

func newLinks() *links { return &links{cuts: map[[2]string]int{}, changed: make(chan struct{})} }

// cut cuts, or joins again, what goes from one host to another. Cuts count: two of them end with both.
func (l *links) cut(from, to string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.cuts[[2]string{from, to}]++
	} else {
		l.cuts[[2]string{from, to}]--
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *links) off(from, to string) (bool, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[[2]string{from, to}] > 0, l.changed
}

// back is the network between the controllers.
type back struct {
	links *links

	mu    sync.Mutex
	ports map[string]*port
	conns map[*half]string // by the host at the other end
}

// port is a controller's listener in one of its lives.
type port struct {
	host string
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

// Accept waits for a connection.
func (p *port) Accept() (net.Conn, error) {
	select {
	case c := <-p.in:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close ends the port.
func (p *port) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// Addr is the port's address.
func (p *port) Addr() net.Addr { return addr(p.host) }

type addr string

// Network is the address's network.
func (addr) Network() string { return "tcp" }

// String is the address.
func (a addr) String() string { return string(a) }

// listen begins a life of a host.
func (b *back) listen(host string) *port {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &port{host: host, in: make(chan net.Conn), done: make(chan struct{})}
	b.ports[host] = p
	return p
}

// crash ends a host's life: its connections are reset, and new ones refused.
func (b *back) crash(host string) {
	b.mu.Lock()
	if p := b.ports[host]; p != nil {
		_ = p.Close()
		delete(b.ports, host)
	}
	var all []*half
	for h, from := range b.conns {
		if from == host || h.to == host {
			all = append(all, h)
		}
	}
	b.mu.Unlock()
	for _, h := range all {
		_ = h.Close()
	}
}

// dial connects one host to another.
func (b *back) dial(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		fail := func(err error) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(to), Err: err}
		}
		if off, _ := b.links.off(from, to); !off {
			off, _ = b.links.off(to, from)
			if !off {
				b.mu.Lock()
				p := b.ports[to]
				b.mu.Unlock()
				if p == nil {
					return fail(syscall.ECONNREFUSED)
				}
				here, there := b.pair(from, to)
				select {
				case p.in <- there:
					return here, nil
				case <-p.done:
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
func (b *back) pair(from, to string) (*half, *half) {
	x, y := newPipe(), newPipe()
	here := &half{b: b, from: from, to: to, in: y, out: x}
	there := &half{b: b, from: to, to: from, in: x, out: y}
	here.peer, there.peer = there, here
	b.mu.Lock()
	b.conns[here], b.conns[there] = from, to
	b.mu.Unlock()
	return here, there
}

// half is one end of a connection. What is written while the direction is cut arrives afterwards.
type half struct {
	b        *back
	from, to string
	in, out  *pipe
	peer     *half
}

// Read waits for what the other end wrote.
func (h *half) Read(p []byte) (int, error) {
	for {
		n, more, err := h.in.read(p)
		if n > 0 {
			if off, changed := h.b.links.off(h.to, h.from); off {
				h.in.unread(p[:n])
				select {
				case <-changed:
				case <-h.in.gone:
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
		case <-h.in.gone:
			return 0, io.EOF
		}
	}
}

// Write hands bytes on; it never waits.
func (h *half) Write(p []byte) (int, error) { return h.out.write(p) }

// Close resets the connection.
func (h *half) Close() error {
	h.in.close()
	h.out.close()
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	delete(h.b.conns, h)
	return nil
}

// LocalAddr is this end's address, RemoteAddr the other's.
func (h *half) LocalAddr() net.Addr { return addr(h.from) }

// RemoteAddr is the other end's address.
func (h *half) RemoteAddr() net.Addr { return addr(h.to) }

// SetDeadline is not needed here, nor are the other two.
func (h *half) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (h *half) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (h *half) SetWriteDeadline(time.Time) error { return nil }

// pipe is one direction's bytes.
type pipe struct {
	mu   sync.Mutex
	buf  []byte
	more chan struct{}
	gone chan struct{}
	once sync.Once
}

func newPipe() *pipe { return &pipe{more: make(chan struct{}), gone: make(chan struct{})} }

var errReset = errors.New("connection reset")

func (p *pipe) read(to []byte) (int, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.gone:
		return 0, nil, io.EOF
	default:
	}
	n := copy(to, p.buf)
	p.buf = p.buf[n:]
	return n, p.more, nil
}

func (p *pipe) unread(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buf = append(append([]byte{}, b...), p.buf...)
}

func (p *pipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.gone:
		return 0, errReset
	default:
	}
	p.buf = append(p.buf, b...)
	close(p.more)
	p.more = make(chan struct{})
	return len(b), nil
}

func (p *pipe) close() { p.once.Do(func() { close(p.gone) }) }
