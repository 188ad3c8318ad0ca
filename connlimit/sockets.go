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

var names = [classes]string{"new", "worker", "user", "command", "service", "sibling"}

func (c Class) String() string { return names[c] }

// ErrLimit means: no socket is left for this class.
var ErrLimit = errors.New("sockets are scarce")

// Limiter counts the sockets of this process. A limit of 0 is none. Its methods may be called
// from anywhere.
type Limiter struct {
	limit int

	mu   sync.Mutex
	open int
	by   [classes]int
	// idle are workers' connections between two reports, the longest first.
	idle *simplelru.LRU[*conn, struct{}]
	// IdleClosed counts those that were closed for newcomers, Refused commands that found no
	// socket.
	closed, refused int
}

// NewLimiter makes a budget of so many sockets.
func NewLimiter(limit int) *Limiter {
	idle, err := simplelru.NewLRU[*conn, struct{}](1<<31-1, nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &Limiter{limit: limit, idle: idle}
}

// SetLimit changes the limit.
func (b *Limiter) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Counts are the open sockets, in all and by class.
type Counts struct {
	Open, Limit         int
	ByClass             map[string]int
	IdleClosed, Refused int
}

// Counts tells how many are open.
func (b *Limiter) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := Counts{Open: b.open, Limit: b.limit, ByClass: map[string]int{}, IdleClosed: b.closed, Refused: b.refused}
	for i, n := range b.by {
		if n > 0 {
			c.ByClass[Class(i).String()] = n
		}
	}
	return c
}

// share is how many sockets a part of the limit is; without one, more than there can be.
func (b *Limiter) share(part float64) int {
	if b.limit <= 0 {
		return 1 << 30
	}
	return int(part * float64(b.limit))
}

// NearLimit tells whether workers should close their connections after an answer.
func (b *Limiter) NearLimit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open >= b.share(tuning.SocketsScarce)
}

// conn is one counted connection.
type conn struct {
	net.Conn
	b     *Limiter
	class Class
	once  sync.Once
}

// Close closes it and counts it no more.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.b.mu.Lock()
		defer c.b.mu.Unlock()
		c.b.open--
		c.b.by[c.class]--
		c.b.idle.Remove(c)
	})
	return c.Conn.Close()
}

func (b *Limiter) add(c net.Conn, class Class) *conn {
	x := &conn{Conn: c, b: b, class: class}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open++
	b.by[class]++
	return x
}

// listener counts what it accepts.
type listener struct {
	net.Listener
	b     *Limiter
	class Class
}

// Listen counts the connections that a listener accepts: as New, whose class is told later, or
// as Peer.
func (b *Limiter) Listen(l net.Listener, class Class) net.Listener { return &listener{l, b, class} }

// Accept waits for a connection. Near the limit, the worker's connection that is idle longest is
// closed for it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := l.b.add(c, l.class)
	l.b.makeRoom()
	return x, nil
}

// makeRoom closes idle workers' connections while too many are open.
func (b *Limiter) makeRoom() {
	for {
		b.mu.Lock()
		var old *conn
		if b.open > b.share(tuning.SocketsFull) {
			old, _, _ = b.idle.RemoveOldest()
			if old != nil {
				b.closed++
			}
		}
		b.mu.Unlock()
		if old == nil {
			return
		}
		_ = old.Close()
	}
}

// Classify says what class a connection is of, and whether it is idle, as its first request shows.
func (b *Limiter) Classify(c net.Conn, class Class) {
	x, ok := c.(*conn)
	if !ok || class == Unclassified {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.by[x.class]--
	x.class = class
	b.by[class]++
}

// State follows an HTTP server's connections: http.Server.ConnState.
func (b *Limiter) State(c net.Conn, s http.ConnState) {
	x, ok := c.(*conn)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == http.StateIdle && x.class == Worker {
		b.idle.Add(x, struct{}{})
	} else {
		b.idle.Remove(x)
	}
}

// Dial opens connections of a class. ErrLimit: there are too few sockets for commands; they
// reach their workers with the answers to their reports.
func (b *Limiter) Dial(class func(addr string) Class) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: tuning.DialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		k := class(addr)
		b.mu.Lock()
		no := k == Command && b.open >= b.share(tuning.SocketsCommands)
		if no {
			b.refused++
		}
		b.mu.Unlock()
		if no {
			return nil, &net.OpError{Op: "dial", Net: network, Err: ErrLimit}
		}
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		x := b.add(c, k)
		b.makeRoom()
		return x, nil
	}
}

type key struct{}

// Context lets a handler find the connection of a request: http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, key{}, c)
}

// FromContext is the connection that a request came on; nil: not known.
func FromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(key{}).(net.Conn)
	return c
}

// Watch logs now and then how many are open, when they get scarce.
func (b *Limiter) Watch(ctx context.Context, every time.Duration, told func(Counts)) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if b.NearLimit() {
			told(b.Counts())
		}
	}
}
