// Package connlimit keeps a controller within its limit of sockets, by class: it knows how many
// are open and who opened them, not what is said on them.
//
// Past the platform's limit every new connection fails, a user's and a sibling's like a
// worker's. A large fleet's workers keep their connections open between reports, for which
// there is no need. So once sockets get scarce, workers are told to close theirs after each
// answer, idle ones are closed for newcomers, and commands that go to workers directly wait for
// the workers' next reports. What is left is for users, siblings, state service and cloud.
package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/tuning"
)

// Class is whose socket it is.
type Class int

// Classes, by what may go first when sockets get scarce.
const (
	// Unclassified is an accepted connection that has said nothing yet.
	Unclassified Class = iota
	// Worker is a worker's or an agent's, reporting.
	Worker
	// User is anybody else's on the port for users.
	User
	// Command goes out to a worker or an agent.
	Command
	// Service goes out to the state service or the cloud.
	Service
	// Peer is on the back port, either way.
	Peer
	classes
)

var classNames = [classes]string{"new", "worker", "user", "command", "service", "sibling"}

func (c Class) String() string { return classNames[c] }

// ErrLimit means: no socket is left for this class.
var ErrLimit = errors.New("sockets are scarce")

// Limiter counts the sockets of this process. A limit of 0 is none. Its methods may be called
// from anywhere.
type Limiter struct {
	limit int

	mu          sync.Mutex
	open        int
	openByClass [classes]int
	// idleWorkers are workers' connections between two reports, the longest first.
	idleWorkers *simplelru.LRU[*conn, struct{}]
	// IdleClosed counts those that were closed for newcomers, Refused commands that found no
	// socket.
	idleClosed, refused int
}

// NewLimiter makes a budget of so many sockets.
func NewLimiter(limit int) *Limiter {
	idle, err := simplelru.NewLRU[*conn, struct{}](1<<31-1, nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &Limiter{limit: limit, idleWorkers: idle}
}

// SetLimit changes the limit.
func (l *Limiter) SetLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// Counts are the open sockets, in all and by class.
type Counts struct {
	Open, Limit         int
	ByClass             map[string]int
	IdleClosed, Refused int
}

// Counts tells how many are open.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Open: l.open, Limit: l.limit, ByClass: map[string]int{}, IdleClosed: l.idleClosed, Refused: l.refused}
	for i, n := range l.openByClass {
		if n > 0 {
			c.ByClass[Class(i).String()] = n
		}
	}
	return c
}

// threshold is how many sockets a part of the limit is; without one, more than there can be.
func (l *Limiter) threshold(part float64) int {
	if l.limit <= 0 {
		return 1 << 30
	}
	return int(part * float64(l.limit))
}

// NearLimit tells whether workers should close their connections after an answer.
func (l *Limiter) NearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.threshold(tuning.SocketsScarce)
}

// conn is one counted connection.
type conn struct {
	net.Conn
	limiter *Limiter
	class   Class
	once    sync.Once
}

// Close closes it and counts it no more.
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

func (l *Limiter) track(c net.Conn, class Class) *conn {
	tracked := &conn{Conn: c, limiter: l, class: class}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.openByClass[class]++
	return tracked
}

// listener counts what it accepts.
type listener struct {
	net.Listener
	limiter *Limiter
	class   Class
}

// Listen counts the connections that a listener accepts: as New, whose class is told later, or
// as Peer.
func (b *Limiter) Listen(l net.Listener, class Class) net.Listener { return &listener{l, b, class} }

// Accept waits for a connection. Near the limit, the worker's connection that is idle longest is
// idleClosed for it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := l.limiter.track(c, l.class)
	l.limiter.closeIdle()
	return tracked, nil
}

// closeIdle closes idle workers' connections while too many are open.
func (l *Limiter) closeIdle() {
	for {
		l.mu.Lock()
		var oldest *conn
		if l.open > l.threshold(tuning.SocketsFull) {
			oldest, _, _ = l.idleWorkers.RemoveOldest()
			if oldest != nil {
				l.idleClosed++
			}
		}
		l.mu.Unlock()
		if oldest == nil {
			return
		}
		_ = oldest.Close()
	}
}

// Classify says what class a connection is of, and whether it is idle, as its first request shows.
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

// State follows an HTTP server's connections: http.Server.ConnState.
func (l *Limiter) State(c net.Conn, s http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle && tracked.class == Worker {
		l.idleWorkers.Add(tracked, struct{}{})
	} else {
		l.idleWorkers.Remove(tracked)
	}
}

// Dial opens connections of a class. ErrLimit: there are too few sockets for commands; they
// reach their workers with the answers to their reports.
func (l *Limiter) Dial(class func(addr string) Class) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: tuning.DialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		k := class(addr)
		l.mu.Lock()
		refuse := k == Command && l.open >= l.threshold(tuning.SocketsCommands)
		if refuse {
			l.refused++
		}
		l.mu.Unlock()
		if refuse {
			return nil, &net.OpError{Op: "dial", Net: network, Err: ErrLimit}
		}
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		tracked := l.track(c, k)
		l.closeIdle()
		return tracked, nil
	}
}

type contextKey struct{}

// Context lets a handler find the connection of a request: http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext is the connection that a request came on; nil: not known.
func FromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(contextKey{}).(net.Conn)
	return c
}

// Watch logs now and then how many are open, when they get scarce.
func (l *Limiter) Watch(ctx context.Context, every time.Duration, notify func(Counts)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if l.NearLimit() {
			notify(l.Counts())
		}
	}
}
