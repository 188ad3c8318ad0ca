package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"

	"switchferry/tuning"
)

// conn is one connection that a Limiter counts.
type conn struct {
	net.Conn
	limiter *Limiter
	class   Class // guarded by limiter.mu
	once    sync.Once
}

// Close closes the connection, which then no longer counts.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.open--
		c.limiter.openByClass[c.class]--
		c.limiter.idleWorkers.Remove(c)
	})
	return c.Conn.Close()
}

// track counts a connection until it is closed.
func (l *Limiter) track(c net.Conn, class Class) *conn {
	tracked := &conn{Conn: c, limiter: l, class: class}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.openByClass[class]++
	return tracked
}

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	limiter *Limiter
	class   Class
}

// Listen returns a listener whose accepted connections count as a class: Unclassified, if Classify is called for them
// later, or Peer.
func (l *Limiter) Listen(inner net.Listener, class Class) net.Listener {
	return &listener{inner, l, class}
}

// Accept waits for a connection. Near the limit the longest idle connection of a worker is closed for it.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := l.limiter.track(accepted, l.class)
	l.limiter.closeIdle()
	return tracked, nil
}

// Classify sets the class of an accepted connection, as its requests show. It does nothing for connections that the
// Limiter does not count, or if the class is Unclassified.
func (l *Limiter) Classify(c net.Conn, class Class) {
	tracked, ok := c.(*conn)
	if !ok || class == Unclassified {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openByClass[tracked.class]--
	tracked.class = class
	l.openByClass[class]++
}

// State tracks which connections of an HTTP server are idle. It is for http.Server.ConnState.
func (l *Limiter) State(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	if l.setState(tracked, state) {
		// Connections that were opened before this one was idle found none to close.
		l.closeIdle()
	}
}

// setState tracks whether a connection is idle, and reports whether it may now be closed for new ones.
func (l *Limiter) setState(tracked *conn, state http.ConnState) (closable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateIdle && tracked.class == Worker {
		l.idleWorkers.Add(tracked, struct{}{})
		return true
	}
	l.idleWorkers.Remove(tracked)
	return false
}

// Dial returns a function that opens connections and counts them as the class that classOf returns for their address. Near
// the limit it opens none of class Command: its error is then a *net.OpError of operation "dial" that wraps ErrLimit.
func (l *Limiter) Dial(classOf func(addr string) Class) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: tuning.DialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		class := classOf(addr)
		if class == Command && l.refuseCommand() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: ErrLimit}
		}
		dialed, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		tracked := l.track(dialed, class)
		l.closeIdle()
		return tracked, nil
	}
}

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// Context returns a context that carries a connection. It is for http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection that a request arrived on, or nil if its context has none.
func FromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(contextKey{}).(net.Conn)
	return c
}
