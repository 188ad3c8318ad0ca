package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a TCP path from one controller to the back port of another. While it is closed, connections are refused and
// the open ones are reset.
type link struct {
	from, to        string // members
	address, target string

	mu          sync.Mutex
	listener    net.Listener
	connections map[net.Conn]bool
	closed      bool
	// onReply is called with the size of what the target sends. It may be nil.
	onReply func(bytes int)
}

// newLink opens a path between two members to the target on a free loopback port.
func newLink(from, to, target string) (*link, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	l := &link{from: from, to: to, address: listener.Addr().String(), target: target, listener: listener, connections: map[net.Conn]bool{}}
	go l.accept(listener)
	return l, nil
}

// accept serves the connections of a listener until it is closed.
func (l *link) accept(listener net.Listener) {
	for {
		inbound, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(inbound)
	}
}

// forward copies both directions of a connection.
func (l *link) forward(inbound net.Conn) {
	outbound, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		reset(inbound)
		return
	}
	if !l.add(inbound, outbound) {
		return
	}
	var once sync.Once
	done := func() {
		once.Do(func() {
			l.mu.Lock()
			delete(l.connections, inbound)
			delete(l.connections, outbound)
			l.mu.Unlock()
			_ = inbound.Close()
			_ = outbound.Close()
		})
	}
	go func() { _, _ = io.Copy(outbound, inbound); done() }()
	_, _ = io.Copy(inbound, replies{outbound, l})
	done()
}

// replies reads what the target of a path sends.
type replies struct {
	io.Reader
	link *link
}

// Read reads, and reports how much was read.
func (r replies) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	r.link.mu.Lock()
	onReply := r.link.onReply
	r.link.mu.Unlock()
	if n > 0 && onReply != nil {
		onReply(n)
	}
	return n, err
}

// setOnReply sets the function that is called with the size of what the target sends.
func (l *link) setOnReply(onReply func(bytes int)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onReply = onReply
}

// add registers the two halves of a connection, or resets them if the path is closed.
func (l *link) add(halves ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, half := range halves {
		if l.closed {
			reset(half)
		} else {
			l.connections[half] = true
		}
	}
	return !l.closed
}

// refuse closes the path.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.listener.Close()
	for connection := range l.connections {
		reset(connection)
	}
	l.connections = map[net.Conn]bool{}
}

// restore opens the path again on the same port.
func (l *link) restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	listener, err := net.Listen("tcp4", l.address)
	if err != nil {
		return err
	}
	l.listener, l.closed = listener, false
	go l.accept(listener)
	return nil
}

// reset ends a connection with a reset.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
