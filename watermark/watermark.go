// Package watermark tracks the watermark of a controller: the time up to which it knows every cancellation that any
// controller acknowledged to a user. From it the package decides whether the controller may renew workers' leases
// (rule 10 of docs/design.md).
//
// The decision depends on the cancellations that are known, not on which peers are alive. A controller knows all
// cancellations up to a time in any of three cases:
//
//   - It is certain to lead, or it has read the records (MarkCurrent).
//   - A peer states up to which time the peer knows all cancellations, and includes them (Statement.Current).
//   - It knew them up to an earlier time, and since then each peer has stated the cancellations that its process
//     acknowledged. No other process existed that could have acknowledged any. The last cancellations that a process
//     acknowledged before it ended may be missing from all statements. A new incarnation of a peer therefore confirms
//     nothing until the watermark has passed the arrival of its first statement in one of the other two ways.
//
// A statement is valid as of the time of its request, since its response may be late.
//
// The package reads no clock, starts no goroutine and does no I/O.
package watermark

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"switchferry/tuning"
)

// Tracker holds the watermark of one process and the cancellations that it knows. It is safe for concurrent use and
// must be created by New.
type Tracker struct {
	limits Limits

	// mu guards all fields below. It is never held during I/O.
	mu sync.Mutex
	// incarnation is the random number, never 0, that identifies this process to its peers. It is replaced when the
	// tracker is reset.
	incarnation uint64
	startedAt   time.Time
	// completeUntil is the watermark: every cancellation that any controller acknowledged before this time is recorded
	// here. It is zero until it is first established.
	completeUntil time.Time
	// byJob and ordered hold the same cancellations, by job ID and in the order of their sequence numbers. latestSeq is
	// the last sequence number that was assigned.
	byJob     map[string]*cancellation
	ordered   []*cancellation
	latestSeq uint64
	// lastRemoval is the time when expired cancellations were last removed.
	lastRemoval time.Time
	// requiredToken is the highest token passed to RequireToken here or at a peer that has stated it, 0 for none.
	requiredToken uint64
	// peers has an entry for every other controller, which is nil until the controller's first statement.
	peers map[string]*peerState
}

// cancellation is the recorded cancellation of a job.
type cancellation struct {
	job string
	// acknowledgedAt is the latest moment at which a user was, or may have been, notified of it.
	acknowledgedAt time.Time
	seq            uint64
}

// New returns the Tracker of a process that starts now. peers holds the names of all other controllers.
func New(now time.Time, peers []string, limits Limits) *Tracker {
	t := &Tracker{limits: limits, peers: map[string]*peerState{}}
	for _, name := range peers {
		t.peers[name] = nil
	}
	t.reset(now)
	return t
}

// reset discards the watermark, the cancellations and the states of the peers, as if the process had restarted. The
// caller holds t.mu, or has exclusive access to t.
func (t *Tracker) reset(now time.Time) {
	t.incarnation, t.startedAt, t.completeUntil = rand.Uint64()|1, now, time.Time{}
	t.byJob, t.ordered, t.latestSeq = map[string]*cancellation{}, nil, 0
	for name := range t.peers {
		t.peers[name] = nil
	}
}

// RecordCancellation records the cancellation of a job. It must be called before the user is notified, and before the
// record of the cancellation can be read by another controller, which would notify the user.
func (t *Tracker) RecordCancellation(now time.Time, jobID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(now, jobID, now)
}

// record records a cancellation. One that is already recorded gets a new sequence number, and so is sent to the peers
// again, only if it was acknowledged again at least tuning.CancellationRepeatInterval later. The time within which its
// tasks must have ended then counts from the later acknowledgement. The caller holds t.mu.
func (t *Tracker) record(now time.Time, jobID string, acknowledgedAt time.Time) {
	t.removeExpired(now)
	if existing := t.byJob[jobID]; existing != nil {
		if acknowledgedAt.Sub(existing.acknowledgedAt) < tuning.CancellationRepeatInterval {
			return
		}
		t.ordered = slices.DeleteFunc(t.ordered, func(c *cancellation) bool { return c == existing })
	}
	if len(t.byJob) >= tuning.CancellationsCapacity {
		// The watermark is only valid while every cancellation is kept, so discard all state.
		t.reset(now)
	}
	t.latestSeq++
	recorded := &cancellation{jobID, acknowledgedAt, t.latestSeq}
	t.byJob[jobID], t.ordered = recorded, append(t.ordered, recorded)
}

// removeExpired removes the cancellations that are older than Limits.Retention, at most once every
// tuning.CancellationSweepInterval. The caller holds t.mu.
func (t *Tracker) removeExpired(now time.Time) {
	if now.Sub(t.lastRemoval) < tuning.CancellationSweepInterval {
		return
	}
	t.lastRemoval = now
	t.ordered = slices.DeleteFunc(t.ordered, func(c *cancellation) bool {
		expired := now.Sub(c.acknowledgedAt) > t.limits.Retention
		if expired {
			delete(t.byJob, c.job)
		}
		return expired
	})
}

// isCancelled reports whether a task belongs to a cancelled job. The caller holds t.mu.
func (t *Tracker) isCancelled(task string) bool {
	job, _, _ := strings.Cut(task, "/")
	return t.byJob[job] != nil
}

// RequireToken records that a controller that answers a worker without the leader must give it at least this fencing
// token: a start of a cancelled task may still be under way to it, and a worker with the token refuses it. It must be
// called before the user is notified of the cancellation. Peers get the token with the statements that advance their
// watermark, so that none of them renews a lease for longer than the cancellation allows without knowing the token.
func (t *Tracker) RequireToken(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requiredToken = max(t.requiredToken, token)
}

// RequiredToken returns the fencing token that workers must have at least, 0 for none. It never falls.
func (t *Tracker) RequiredToken() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requiredToken
}

// MarkCurrent advances the watermark to moment. The caller guarantees that every cancellation that any controller
// acknowledged before moment is recorded here.
func (t *Tracker) MarkCurrent(moment time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceTo(moment)
}

// advanceTo advances the watermark to moment unless it is already later. The caller holds t.mu.
func (t *Tracker) advanceTo(moment time.Time) {
	if moment.After(t.completeUntil) {
		t.completeUntil = moment
	}
}

// MayRenew reports whether a lease may be renewed now, which is the case if it will end before the tasks of any unknown
// cancellation must have ended. age is the time since the watermark, negative if there is no watermark.
func (t *Tracker) MayRenew(now time.Time) (allowed bool, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) == 0 && !t.completeUntil.IsZero() && !t.startedAt.After(t.completeUntil) {
		t.advanceTo(now)
	}
	if t.completeUntil.IsZero() {
		return false, -1
	}
	age = now.Sub(t.completeUntil)
	return age < t.limits.RenewFor, age
}

// UnconfirmedPeers returns the reasons, as texts for operators, why the statements of the peers do not advance the
// watermark: one for each peer that has not confirmed a time after the watermark, and one if this process started after
// the watermark.
func (t *Tracker) UnconfirmedPeers() (reasons []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.After(t.completeUntil) {
		reasons = append(reasons, "this process started since")
	}
	for name, peer := range t.peers {
		switch {
		case peer == nil:
			reasons = append(reasons, name+" has said nothing")
		case peer.firstStatementAt.After(t.completeUntil):
			reasons = append(reasons, name+" may have restarted since")
		case !peer.confirmedAt.After(t.completeUntil):
			reasons = append(reasons, name+" has said nothing since")
		}
	}
	slices.Sort(reasons)
	return reasons
}
