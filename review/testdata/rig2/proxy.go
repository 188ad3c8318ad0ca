package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// serve runs an HTTP server on a free loopback port. The caller closes it.
func serve(ctx context.Context, handler http.Handler) (*http.Server, string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// proxy forwards the connections to one target. While the path is interrupted, it holds what is sent on open connections
// and delivers it in order afterwards, even if the sender has closed its connection meanwhile, and new connections fail.
type proxy struct {
	ctx             context.Context
	address, target string

	// mu guards the fields below.
	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
	// healed is closed when the interruption ends, nil without one.
	healed chan struct{}
	// heldBytes counts the bytes to the target that were held in the present interruption.
	heldBytes int
}

// newProxy starts a proxy on a free loopback port.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	p := &proxy{ctx: ctx, target: target}
	if err := p.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return p, nil
}

// listen accepts connections on an address.
func (p *proxy) listen(address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(p.ctx, "tcp4", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.address = listener, listener.Addr().String()
	p.mu.Unlock()
	go func() {
		for {
			inbound, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(inbound)
		}
	}()
	return nil
}

// interrupt begins an interruption.
func (p *proxy) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed, p.heldBytes = make(chan struct{}), 0
	_ = p.listener.Close()
}

// heal ends the interruption.
func (p *proxy) heal() error {
	p.mu.Lock()
	close(p.healed)
	p.healed = nil
	p.mu.Unlock()
	return p.listen(p.address)
}

// held returns the number of bytes to the target that were held in the present interruption.
func (p *proxy) held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldBytes
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// wait waits until the path is not interrupted. It reports false if the proxy ended before.
func (p *proxy) wait(toTarget bool, n int) bool {
	p.mu.Lock()
	healed := p.healed
	if healed != nil && toTarget {
		p.heldBytes += n
	}
	p.mu.Unlock()
	if healed == nil {
		return p.ctx.Err() == nil
	}
	select {
	case <-healed:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// forward relays one connection. What was read from the sender is delivered although the sender has closed.
func (p *proxy) forward(inbound net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	outbound, err := dialer.DialContext(p.ctx, "tcp4", p.target)
	if err != nil {
		_ = inbound.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, inbound, outbound)
	p.mu.Unlock()
	go p.pump(inbound, outbound, false)
	p.pump(outbound, inbound, true)
}

// pump copies one direction of a connection.
func (p *proxy) pump(destination, source net.Conn, toTarget bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := source.Read(buffer)
		if !p.wait(toTarget, n) {
			return
		}
		if n > 0 {
			if _, err := destination.Write(buffer[:n]); err != nil && !toTarget {
				return
			}
		}
		if err != nil {
			if tcp, ok := destination.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
