// Package watermark tracks up to which moment a controller knows every cancellation that was acknowledged
// to a user, and decides from it whether the controller may renew workers' leases (rule 10 of
// docs/design.md).
//
// The decision rests on information, not on which peers are alive. There are three ways in which a
// controller knows all cancellations up to a moment:
//
//   - It is certain to lead, or it has read the records (MarkCurrent).
//   - A peer states up to when that peer knows them, and includes them (Statement.Current).
//   - It knew them up to an earlier moment, and since then each peer has stated what its process
//     acknowledged. No other process was there to acknowledge any. What a process acknowledged last before
//     it ended is in no statement, so a peer's new incarnation confirms nothing until the watermark has
//     passed its first statement in one of the other ways.
//
// A statement counts from when it was asked for, so a late one is as old as its request.
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

// Tracker holds the cancellations that one process knows. It may be used from several goroutines at once.
type Tracker struct {
	limits Limits

	// mu guards all fields below. It is never held during I/O.
	mu sync.Mutex
	// incarnation is the random number, never 0, by which peers recognize this process. The process takes a
	// new one when it discards its knowledge.
	incarnation uint64
	startedAt   time.Time
	// completeUntil is the watermark: every cancellation that any controller acknowledged before it is known
	// here. It is zero until a first one is established.
	completeUntil time.Time
	// byJob and ordered hold the same cancellations, by job ID and in the order of their sequence numbers.
	byJob     map[string]*cancellation
	ordered   []*cancellation
	latestSeq uint64
	// lastExpiry is when expired cancellations were last removed.
	lastExpiry time.Time
	// peers has an entry for every other controller, nil until its first statement.
	peers map[string]*peerState
}

// cancellation is one cancelled job.
type cancellation struct {
	job string
	// acknowledgedAt is the latest moment at which a user was, or may have been, notified of it.
	acknowledgedAt time.Time
	seq            uint64
}

// New returns the tracker of a process that starts now, with the names of all other controllers.
func New(now time.Time, peers []string, limits Limits) *Tracker {
	t := &Tracker{limits: limits, peers: map[string]*peerState{}}
	for _, name := range peers {
		t.peers[name] = nil
	}
	t.reset(now)
	return t
}

// reset discards all knowledge, as if the process had restarted. The caller holds t.mu, or is the only one
// that knows t.
func (t *Tracker) reset(now time.Time) {
	t.incarnation, t.startedAt, t.completeUntil = rand.Uint64()|1, now, time.Time{}
	t.byJob, t.ordered, t.latestSeq = map[string]*cancellation{}, nil, 0
	for name := range t.peers {
		t.peers[name] = nil
	}
}

// RecordCancellation records a job's cancellation. It must be called before its user is notified, and before
// its record can be read by a controller that would notify the user.
func (t *Tracker) RecordCancellation(now time.Time, jobID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(now, jobID, now)
}

// record records a cancellation. A known one gets a new sequence number, and so reaches the peers again, only
// if it was acknowledged again after tuning.CancellationAgain: its tasks then have that much longer to be
// gone. The caller holds t.mu.
func (t *Tracker) record(now time.Time, jobID string, acknowledgedAt time.Time) {
	t.removeExpired(now)
	if known := t.byJob[jobID]; known != nil {
		if acknowledgedAt.Sub(known.acknowledgedAt) < tuning.CancellationAgain {
			return
		}
		t.ordered = slices.DeleteFunc(t.ordered, func(c *cancellation) bool { return c == known })
	}
	if len(t.byJob) >= tuning.CancellationsKept {
		// Nothing can be confirmed about cancellations that are discarded, so start over.
		t.reset(now)
	}
	t.latestSeq++
	recorded := &cancellation{jobID, acknowledgedAt, t.latestSeq}
	t.byJob[jobID], t.ordered = recorded, append(t.ordered, recorded)
}

// removeExpired removes cancellations older than the retention time, at most once in
// tuning.CancellationSweep. The caller holds t.mu.
func (t *Tracker) removeExpired(now time.Time) {
	if now.Sub(t.lastExpiry) < tuning.CancellationSweep {
		return
	}
	t.lastExpiry = now
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

// MarkCurrent states that every cancellation that any controller acknowledged before a moment is recorded
// here.
func (t *Tracker) MarkCurrent(moment time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceTo(moment)
}

// advanceTo moves the watermark forward to a moment; it never moves back. The caller holds t.mu.
func (t *Tracker) advanceTo(moment time.Time) {
	if moment.After(t.completeUntil) {
		t.completeUntil = moment
	}
}

// MayRenew reports whether a lease may be renewed now such that it ends before an unknown cancellation must
// have taken effect. The age is how long ago the watermark was, or negative if there is none.
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

// UnconfirmedPeers returns, for operators, why the watermark does not advance by the peers' statements: one
// reason for each peer that confirms nothing at present, and one if this process started after the watermark.
func (t *Tracker) UnconfirmedPeers() (reasons []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.After(t.completeUntil) {
		reasons = append(reasons, "this process began since")
	}
	for name, peer := range t.peers {
		switch {
		case peer == nil:
			reasons = append(reasons, name+" has said nothing")
		case peer.firstAnswerAt.After(t.completeUntil):
			reasons = append(reasons, name+" may have been another process since")
		case !peer.confirmedAt.After(t.completeUntil):
			reasons = append(reasons, name+" has said nothing since")
		}
	}
	slices.Sort(reasons)
	return reasons
}
