// Package connlimit keeps the number of a controller's open connections within the platform's limit on sockets. It
// counts connections by the class of the remote side and does not inspect what is sent on them.
//
// Above the platform's limit every new connection fails, whether it is of a worker, a user or a peer. The workers of a
// large cluster would otherwise keep their connections open between heartbeats without need. As the number of open
// connections approaches the limit, the controller therefore takes three measures in turn: it tells workers to close
// their connections after each response, it sends commands to workers with the responses to their heartbeats instead of
// over connections of their own, and it closes idle worker connections to make room for new ones. The remaining
// connections are reserved for users, peers, the state service and the cloud.
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

// Class is the kind of the remote side of a connection.
type Class int

// Classes of connections.
const (
	// Unclassified is an accepted connection on which no request has arrived yet.
	Unclassified Class = iota
	// Worker is a connection on which a worker or a data agent sends heartbeats.
	Worker
	// User is any other connection to the HTTP port.
	User
	// Command is a connection that the controller opens to a worker or a data agent to send it a command.
	Command
	// Service is a connection to the state service or the cloud.
	Service
	// Peer is a connection between controllers, in either direction.
	Peer
	classCount
)

var classNames = [classCount]string{"unclassified", "worker", "user", "command", "service", "peer"}

// String returns the class name that is used in logs.
func (c Class) String() string { return classNames[c] }

// ErrLimit is returned when a connection is not opened because too many are open.
var ErrLimit = errors.New("connection limit reached")

// Limiter counts the open connections of a process and closes or refuses some near the limit. It is safe for concurrent
// use and must be created by NewLimiter.
type Limiter struct {
	// mu guards all fields below.
	mu          sync.Mutex
	limit       int // 0: no limit
	open        int
	openByClass [classCount]int
	// idleWorkers holds the worker connections on which no request is being handled, the longest idle first.
	idleWorkers *simplelru.LRU[*conn, struct{}]
	// idleClosed counts the idle worker connections that were closed, and refused counts the command connections that
	// were not opened.
	idleClosed, refused int
}

// NewLimiter returns a Limiter for at most limit open connections; 0 means no limit.
func NewLimiter(limit int) *Limiter {
	idleWorkers, err := simplelru.NewLRU[*conn, struct{}](math.MaxInt32, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &Limiter{limit: limit, idleWorkers: idleWorkers}
}

// SetLimit changes the limit. Connections that are already open stay open.
func (l *Limiter) SetLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// Counts holds the number of open connections and the totals of the connections closed and refused near the limit.
type Counts struct {
	Open, Limit int
	// ByClass maps the name of each class with open connections to their number.
	ByClass map[string]int
	// IdleClosed is the number of idle worker connections that were closed near the limit, and Refused the number of
	// command connections that were not opened.
	IdleClosed, Refused int
}

// Counts returns the present counts.
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

// unlimited is the threshold when there is no limit. It exceeds the number of connections that a process can have.
const unlimited = 1 << 30

// threshold returns the given fraction of the limit as a number of connections. The caller holds l.mu.
func (l *Limiter) threshold(fraction float64) int {
	if l.limit <= 0 {
		return unlimited
	}
	return int(fraction * float64(l.limit))
}

// NearLimit reports whether so many connections are open that workers should close theirs after each response.
func (l *Limiter) NearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.threshold(tuning.ConnNearLimit)
}

// refuseCommand reports whether too many connections are open to open another one for a command. If so, it counts the
// refusal.
func (l *Limiter) refuseCommand() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	refuse := l.open >= l.threshold(tuning.ConnCommandLimit)
	if refuse {
		l.refused++
	}
	return refuse
}

// closeIdle closes idle worker connections, the longest idle first, while too many connections are open.
func (l *Limiter) closeIdle() {
	for {
		oldest := l.removeLongestIdle()
		if oldest == nil {
			return
		}
		_ = oldest.Close() // the connection is counted as closed even if this fails
	}
}

// removeLongestIdle removes the worker connection that has been idle longest and returns it for closing. It returns nil
// if no connection has to be closed or no worker connection is idle.
func (l *Limiter) removeLongestIdle() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open <= l.threshold(tuning.ConnEvictionLimit) {
		return nil
	}
	oldest, _, ok := l.idleWorkers.RemoveOldest()
	if !ok {
		return nil
	}
	l.idleClosed++
	return oldest
}

// Watch checks NearLimit at the given interval and calls notify with the counts if it holds. It returns when the
// context ends.
func (l *Limiter) Watch(ctx context.Context, interval time.Duration, notify func(Counts)) {
	ticker := time.NewTicker(interval)
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
