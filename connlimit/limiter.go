// Package connlimit keeps a controller's open connections within the platform's limit of sockets, by class of the other
// side. It knows how many are open and who opened them, not what is sent on them.
//
// Beyond the platform's limit every new connection fails, those of users and peers like those of workers, and the workers
// of a large fleet would keep theirs open between heartbeats without need. So as the limit comes nearer, workers are told
// to close their connections after each response, commands are no longer sent to workers directly but with the responses
// to their heartbeats, and idle connections of workers are closed for new ones. The rest is left to users, peers, the
// state service and the cloud.
package connlimit

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/tuning"
)

// Class is who is on the other side of a connection.
type Class int

// The classes of connections.
const (
	// Unclassified is an accepted connection on which no request has arrived yet.
	Unclassified Class = iota
	// Worker is a connection on which a worker or an agent sends heartbeats.
	Worker
	// User is any other connection to the port for users.
	User
	// Command is a connection to a worker or an agent.
	Command
	// Service is a connection to the state service or the cloud.
	Service
	// Peer is a connection on the port between controllers, in either direction.
	Peer
	classCount
)

var classNames = [classCount]string{"unclassified", "worker", "user", "command", "service", "peer"}

// String returns the name under which the class is logged.
func (c Class) String() string { return classNames[c] }

// ErrLimit is the error of a connection that was not opened since too many are open.
var ErrLimit = errors.New("connection limit reached")

// Limiter counts the connections of a process and closes or refuses some near the limit. It is safe for concurrent use;
// NewLimiter makes one.
type Limiter struct {
	mu          sync.Mutex
	limit       int // 0: none
	open        int
	openByClass [classCount]int
	// idleWorkers are the connections of workers on which no request is being handled, the longest idle first.
	idleWorkers *simplelru.LRU[*conn, struct{}]
	// idleClosed counts those that were closed near the limit, and refused the commands that were not sent.
	idleClosed, refused int
}

// NewLimiter returns a Limiter for at most so many connections; 0: any number.
func NewLimiter(limit int) *Limiter {
	idle, err := simplelru.NewLRU[*conn, struct{}](math.MaxInt32, nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &Limiter{limit: limit, idleWorkers: idle}
}

// SetLimit changes the limit. Connections that are already open stay open.
func (l *Limiter) SetLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// Counts is how many connections are open.
type Counts struct {
	Open, Limit int
	// ByClass is how many are open by the name of their class, without classes that have none.
	ByClass map[string]int
	// IdleClosed is how many idle connections of workers have been closed near the limit, and Refused how many commands
	// have not been sent.
	IdleClosed, Refused int
}

// Counts returns how many connections are open.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := Counts{Open: l.open, Limit: l.limit, ByClass: map[string]int{}, IdleClosed: l.idleClosed, Refused: l.refused}
	for class, open := range l.openByClass {
		if open > 0 {
			counts.ByClass[Class(class).String()] = open
		}
	}
	return counts
}

// unlimited is the threshold without a limit: more connections than a process can have.
const unlimited = 1 << 30

// threshold returns how many connections a fraction of the limit is. The mutex must be held.
func (l *Limiter) threshold(fraction float64) int {
	if l.limit <= 0 {
		return unlimited
	}
	return int(fraction * float64(l.limit))
}

// NearLimit reports whether workers should close their connections after a response.
func (l *Limiter) NearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.threshold(tuning.ConnNearLimit)
}

// refuseCommand reports whether too many connections are open to send a command, and counts it if so.
func (l *Limiter) refuseCommand() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	refuse := l.open >= l.threshold(tuning.ConnCommandLimit)
	if refuse {
		l.refused++
	}
	return refuse
}

// closeIdle closes idle connections of workers, the longest idle first, while too many are open.
func (l *Limiter) closeIdle() {
	for {
		oldest := l.takeIdle()
		if oldest == nil {
			return
		}
		_ = oldest.Close() // it is of no use any more, and counted as closed in any case
	}
}

// takeIdle returns the idle connection to close next, or nil if none has to be closed or none is idle.
func (l *Limiter) takeIdle() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open <= l.threshold(tuning.ConnFull) {
		return nil
	}
	oldest, _, ok := l.idleWorkers.RemoveOldest()
	if !ok {
		return nil
	}
	l.idleClosed++
	return oldest
}

// Watch calls notify with the counts once in every such interval while NearLimit holds, until the context ends.
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
