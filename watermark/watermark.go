// Package watermark is what a controller knows of the cancellations that users were told, and until when it may
// renew workers' leases on that ground (rule 10 of docs/design.md).
//
// Its ground is information, not presence. A controller knows of everything that was told before a moment in
// one of three ways: it leads, and its key certainly stands, or it has read the records, so that it is certain
// by itself; a sibling says how far that one knows, and gives the cancellations with it; or, on from a moment
// up to which it knows, every sibling has said in answer to a question what its process told since, and no
// process but those was there to tell any. What a process that has ended told last confirms nothing.
//
// Answers count from when the question was sent: an answer that is late is as old as its question.
// All of it is pure: it reads no clock, starts nothing and blocks nowhere. A Tracker may be used from several
// goroutines at once.
package watermark

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// Limits are a deployment's.
type Limits struct {
	// RenewFor is how long leases are renewed without word.
	RenewFor time.Duration
	// MaxAge is how old a cancellation may be that is heard of: over the time in which the tasks must be
	// gone, since it was noted before its user was told.
	MaxAge time.Duration
	// Retention is how long one is remembered: over MaxAge, so that siblings do not hand each other what they
	// receivedSeq forgotten.
	Retention time.Duration
}

// NewLimits are those of a deployment whose cancellations and leases last so long: a lease that is renewed for
// the last time ends before the first cancellation that was not heard of is due.
func NewLimits(cancel, lease time.Duration) Limits {
	return Limits{RenewFor: cancel - lease - tuning.KeepMargin, MaxAge: cancel + lease/2, Retention: cancel + lease}
}

// Statement is what a controller says when it is asked.
type Statement struct {
	// Incarnation is a number of the process's own; a process that came back has another.
	Incarnation uint64
	// Cancellation are the cancellations after From, the last of them To; Latest is the last there is.
	From, To, Latest uint64
	Cancellations    []Cancellation
	// Current: the controller knows of all that anyone told more than Age before it said this.
	Current bool
	Age     time.Duration
}

// Cancellation is a cancellation that a user was told, or may have been, that long ago.
type Cancellation struct {
	Job string
	Age time.Duration
}

// peerState is what is known of another controller.
type peerState struct {
	incarnation uint64
	// firstAnswerAt is when this life's first answer came: it began before that.
	firstAnswerAt time.Time
	// receivedSeq is the last of its cancellations that was taken in; confirmed is when the last question was
	// sent whose answer gave all there were.
	receivedSeq uint64
	confirmedAt time.Time
}

// Tracker is one process's knowledge.
type Tracker struct {
	limits Limits

	mu          sync.Mutex
	incarnation uint64
	startedAt   time.Time
	// completeUntil: all that anyone told before it is here.
	completeUntil time.Time
	byJob         map[string]*cancellation
	// ordered has them in the order in which they came to be known.
	ordered    []*cancellation
	latestSeq  uint64
	lastExpiry time.Time
	// peers has an entry for each, nil until it was heard.
	peers map[string]*peerState
}

type cancellation struct {
	job            string
	acknowledgedAt time.Time
	seq            uint64
}

// New makes the book of a process that begins now, beside these siblings.
func New(now time.Time, peers []string, limits Limits) *Tracker {
	t := &Tracker{limits: limits, peers: map[string]*peerState{}}
	for _, name := range peers {
		t.peers[name] = nil
	}
	t.reset(now)
	return t
}

// reset forgets all; the lock is held, or nobody else is there yet.
func (t *Tracker) reset(now time.Time) {
	t.incarnation, t.startedAt, t.completeUntil = rand.Uint64()|1, now, time.Time{}
	t.byJob, t.ordered, t.latestSeq = map[string]*cancellation{}, nil, 0
	for name := range t.peers {
		t.peers[name] = nil
	}
}

// RecordCancellation notes a cancellation that a user is about to be told, or may be told by whoever reads its record
// from now on. It is called before either can happen.
func (t *Tracker) RecordCancellation(now time.Time, jobID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(now, jobID, now)
}

// record notes a cancellation of that time. One that is known already is said again only if it was told
// again a good while later: its tasks have that much longer.
func (t *Tracker) record(now time.Time, jobID string, acknowledgedAt time.Time) {
	t.removeExpired(now)
	if known := t.byJob[jobID]; known != nil {
		if acknowledgedAt.Sub(known.acknowledgedAt) < tuning.CancellationAgain {
			return
		}
		t.ordered = slices.DeleteFunc(t.ordered, func(c *cancellation) bool { return c == known })
	}
	if len(t.byJob) >= tuning.CancellationsKept {
		// What is forgotten here cannot be confirmed for: as if the process had ended.
		t.reset(now)
	}
	t.latestSeq++
	recorded := &cancellation{jobID, acknowledgedAt, t.latestSeq}
	t.byJob[jobID], t.ordered = recorded, append(t.ordered, recorded)
}

// removeExpired forgets what has been due for long.
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

// MarkCurrent notes that all that anyone told before a moment has been noted here.
func (t *Tracker) MarkCurrent(moment time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceTo(moment)
}

func (t *Tracker) advanceTo(moment time.Time) {
	if moment.After(t.completeUntil) {
		t.completeUntil = moment
	}
}

// Position is what to ask a sibling with: which life of it is known, and up to where its word.
func (t *Tracker) Position(member string) (incarnation, receivedSeq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if peer := t.peers[member]; peer != nil {
		return peer.incarnation, peer.receivedSeq
	}
	return 0, 0
}

// Statement answers whoever knows a life's word up to there.
func (t *Tracker) Statement(now time.Time, incarnation, receivedSeq uint64) Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if incarnation != t.incarnation || receivedSeq > t.latestSeq {
		receivedSeq = 0
	}
	statement := Statement{Incarnation: t.incarnation, From: receivedSeq, To: t.latestSeq, Latest: t.latestSeq}
	first, _ := slices.BinarySearchFunc(t.ordered, receivedSeq+1, func(c *cancellation, seq uint64) int {
		if c.seq < seq {
			return -1
		}
		return 1
	})
	for _, c := range t.ordered[first:] {
		if len(statement.Cancellations) == tuning.CancellationsAtOnce {
			statement.To = c.seq - 1
			break
		}
		statement.Cancellations = append(statement.Cancellations, Cancellation{c.job, max(0, now.Sub(c.acknowledgedAt))})
	}
	if age := max(0, now.Sub(t.completeUntil)); !t.completeUntil.IsZero() && age < t.limits.Retention {
		statement.Current, statement.Age = true, age
	}
	return statement
}

// ApplyStatement takes in what a sibling answered, now, to a question of that time. An error tells what of it is
// not believed; what is believed only ever adds to what is known.
func (t *Tracker) ApplyStatement(now time.Time, member string, sentAt time.Time, statement Statement) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer, known := t.peers[member]
	switch {
	case !known:
		return fmt.Errorf("%s is no sibling", member)
	case statement.Incarnation == 0:
		return fmt.Errorf("says of no life")
	case statement.To < statement.From || statement.Latest < statement.To || statement.Age < 0:
		return fmt.Errorf("says %d to %d of %d, of %v ago", statement.From, statement.To, statement.Latest, statement.Age)
	case peer != nil && peer.incarnation == statement.Incarnation && statement.Latest < peer.receivedSeq:
		return fmt.Errorf("knows less than before: %d, was %d", statement.Latest, peer.receivedSeq)
	}
	if peer == nil || peer.incarnation != statement.Incarnation {
		peer = &peerState{incarnation: statement.Incarnation, firstAnswerAt: now}
		t.peers[member] = peer
	}
	var invalid error
	for _, reported := range statement.Cancellations {
		switch {
		case !api.ValidID(reported.Job):
			invalid = fmt.Errorf("names a job %q", reported.Job)
		case reported.Age < 0:
			invalid = fmt.Errorf("%s was told %v ahead", reported.Job, -reported.Age)
		case reported.Age <= t.limits.MaxAge:
			t.record(now, reported.Job, now.Add(-reported.Age))
		}
	}
	if invalid != nil {
		return invalid
	}
	if t.peers[member] != peer || statement.From > peer.receivedSeq {
		// There was too much to remember, or this says only what came after more than we have.
		return nil
	}
	peer.receivedSeq = max(peer.receivedSeq, statement.To)
	if peer.receivedSeq < statement.Latest {
		return nil
	}
	if sentAt.After(peer.confirmedAt) {
		peer.confirmedAt = sentAt
	}
	if statement.Current {
		t.advanceTo(sentAt.Add(-statement.Age - tuning.WatermarkGrain))
	}
	t.advanceFromPeers()
	return nil
}

// advanceFromPeers goes on from the moment up to which all is known to where every sibling has said what it told since:
// only if each was heard, in the life that it has, before that moment, so that neither it nor this process
// can have had another since.
func (t *Tracker) advanceFromPeers() {
	var earliest time.Time
	for _, peer := range t.peers {
		if peer == nil || peer.firstAnswerAt.After(t.completeUntil) {
			return
		}
		if earliest.IsZero() || peer.confirmedAt.Before(earliest) {
			earliest = peer.confirmedAt
		}
	}
	t.advanceTo(earliest)
}

// MayRenew tells whether a lease may be renewed now: the last one that is ends in time. WithoutCancelledStarts is how long
// ago the moment is up to which all is known; negative: there is none.
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

// UnconfirmedPeers names the siblings that confirm nothing at present, and what for, for operators.
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

// KillCommands are the commands, beside those that are there, that end what a machine reports of cancelled jobs. A
// stop is safe under any token: a cancelled job never runs again.
func (t *Tracker) KillCommands(tasks []api.TaskReport, pending []api.Command) (kills []api.Command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byJob) == 0 {
		return nil
	}
	for _, task := range tasks {
		if task.State == api.TaskExited || !t.isCancelled(task.Task) || slices.ContainsFunc(pending, func(command api.Command) bool {
			return command.Verb == api.CommandKill && command.Task == task.Task && command.Attempt == task.Attempt && command.GraceS != nil && *command.GraceS == tuning.CancelKill
		}) {
			continue
		}
		grace := tuning.CancelKill
		kills = append(kills, api.Command{Verb: api.CommandKill, Task: task.Task, Attempt: task.Attempt, GraceS: &grace})
	}
	return kills
}

// WithoutCancelledStarts is what there is of commands without starts of cancelled jobs: some were derived before that was known.
func (t *Tracker) WithoutCancelledStarts(pending []api.Command) []api.Command {
	t.mu.Lock()
	defer t.mu.Unlock()
	startsCancelled := func(command api.Command) bool { return command.Verb == api.CommandRun && t.isCancelled(command.Task) }
	if !slices.ContainsFunc(pending, startsCancelled) {
		return pending
	}
	return slices.DeleteFunc(slices.Clone(pending), startsCancelled)
}

// cancellation tells whether a task is one of a cancelled job.
func (t *Tracker) isCancelled(task string) bool {
	jobID, _, _ := strings.Cut(task, "/")
	return t.byJob[jobID] != nil
}
