package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"

	"switchferry/tuning"
)

// conn is a connection that a Limiter counts while it is open.
type conn struct {
	net.Conn
	limiter *Limiter
	class   Class // guarded by limiter.mu
	once    sync.Once
}

// Close closes the connection and removes it from the Limiter's counts, once however often it is called.
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

// track wraps a connection and counts it until it is closed.
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

// Listen returns a listener whose accepted connections are counted under class: Peer, or Unclassified if Classify is
// called for them later.
func (l *Limiter) Listen(inner net.Listener, class Class) net.Listener {
	return &listener{inner, l, class}
}

// Accept waits for a connection. If too many are then open, it closes the worker connections that were idle longest.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := l.limiter.track(accepted, l.class)
	l.limiter.closeIdle()
	return tracked, nil
}

// Classify sets the class of an accepted connection once its first request shows who opened it. It does nothing if the
// Limiter does not count the connection, or if the class is Unclassified.
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

// ConnState tracks which connections of an HTTP server are idle. It is meant to be set as http.Server.ConnState.
func (l *Limiter) ConnState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	if l.setState(tracked, state) {
		// Connections opened before this one became idle may have found no idle connection to close.
		l.closeIdle()
	}
}

// setState records whether a connection is idle, and reports whether it may now be closed to make room for new ones.
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

// Dial returns a function that opens connections and counts each under the class that classOf returns for its address.
// Near the limit the function opens no connection of class Command and returns a *net.OpError with operation "dial"
// that wraps ErrLimit.
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

// connKey is the context key under which a request's connection is stored.
type connKey struct{}

// ConnContext returns a context that carries the connection c. It is meant to be set as http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection that a request arrived on, or nil if its context has none.
func FromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}
