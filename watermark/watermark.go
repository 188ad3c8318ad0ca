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
	// have forgotten.
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

// sibling is what is known of another controller.
type sibling struct {
	life uint64
	// first is when this life's first answer came: it began before that.
	first time.Time
	// have is the last of its cancellations that was taken in; confirmed is when the last question was
	// sent whose answer gave all there were.
	have      uint64
	confirmed time.Time
}

// Tracker is one process's knowledge.
type Tracker struct {
	limits Limits

	mu   sync.Mutex
	life uint64
	born time.Time
	// mark: all that anyone told before it is here.
	mark time.Time
	told map[string]*cancelled
	// log has them in the order in which they came to be known.
	log    []*cancelled
	latest uint64
	swept  time.Time
	// siblings has an entry for each, nil until it was heard.
	siblings map[string]*sibling
}

type cancelled struct {
	job string
	at  time.Time
	seq uint64
}

// New makes the book of a process that begins now, beside these siblings.
func New(now time.Time, siblings []string, l Limits) *Tracker {
	b := &Tracker{limits: l, siblings: map[string]*sibling{}}
	for _, s := range siblings {
		b.siblings[s] = nil
	}
	b.begin(now)
	return b
}

// begin forgets all; the lock is held, or nobody else is there yet.
func (b *Tracker) begin(now time.Time) {
	b.life, b.born, b.mark = rand.Uint64()|1, now, time.Time{}
	b.told, b.log, b.latest = map[string]*cancelled{}, nil, 0
	for name := range b.siblings {
		b.siblings[name] = nil
	}
}

// RecordCancellation notes a cancellation that a user is about to be told, or may be told by whoever reads its record
// from now on. It is called before either can happen.
func (b *Tracker) RecordCancellation(now time.Time, job string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(now, job, now)
}

// take notes a cancellation of that time. One that is known already is said again only if it was told
// again a good while later: its tasks have that much longer.
func (b *Tracker) take(now time.Time, job string, at time.Time) {
	b.sweep(now)
	if c := b.told[job]; c != nil {
		if at.Sub(c.at) < tuning.CancellationAgain {
			return
		}
		b.log = slices.DeleteFunc(b.log, func(x *cancelled) bool { return x == c })
	}
	if len(b.told) >= tuning.CancellationsKept {
		// What is forgotten here cannot be confirmed for: as if the process had ended.
		b.begin(now)
	}
	b.latest++
	c := &cancelled{job, at, b.latest}
	b.told[job], b.log = c, append(b.log, c)
}

// sweep forgets what has been due for long.
func (b *Tracker) sweep(now time.Time) {
	if now.Sub(b.swept) < tuning.CancellationSweep {
		return
	}
	b.swept = now
	b.log = slices.DeleteFunc(b.log, func(c *cancelled) bool {
		old := now.Sub(c.at) > b.limits.Retention
		if old {
			delete(b.told, c.job)
		}
		return old
	})
}

// MarkCurrent notes that all that anyone told before a moment has been noted here.
func (b *Tracker) MarkCurrent(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.certain(at)
}

func (b *Tracker) certain(at time.Time) {
	if at.After(b.mark) {
		b.mark = at
	}
}

// Position is what to ask a sibling with: which life of it is known, and up to where its word.
func (b *Tracker) Position(member string) (life, have uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.siblings[member]; s != nil {
		return s.life, s.have
	}
	return 0, 0
}

// Statement answers whoever knows a life's word up to there.
func (b *Tracker) Statement(now time.Time, life, have uint64) Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	if life != b.life || have > b.latest {
		have = 0
	}
	s := Statement{Incarnation: b.life, From: have, To: b.latest, Latest: b.latest}
	at, _ := slices.BinarySearchFunc(b.log, have+1, func(c *cancelled, seq uint64) int {
		if c.seq < seq {
			return -1
		}
		return 1
	})
	for _, c := range b.log[at:] {
		if len(s.Cancellations) == tuning.CancellationsAtOnce {
			s.To = c.seq - 1
			break
		}
		s.Cancellations = append(s.Cancellations, Cancellation{c.job, max(0, now.Sub(c.at))})
	}
	if age := max(0, now.Sub(b.mark)); !b.mark.IsZero() && age < b.limits.Retention {
		s.Current, s.Age = true, age
	}
	return s
}

// ApplyStatement takes in what a sibling answered, now, to a question of that time. An error tells what of it is
// not believed; what is believed only ever adds to what is known.
func (b *Tracker) ApplyStatement(now time.Time, member string, sent time.Time, s Statement) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, known := b.siblings[member]
	switch {
	case !known:
		return fmt.Errorf("%s is no sibling", member)
	case s.Incarnation == 0:
		return fmt.Errorf("says of no life")
	case s.To < s.From || s.Latest < s.To || s.Age < 0:
		return fmt.Errorf("says %d to %d of %d, of %v ago", s.From, s.To, s.Latest, s.Age)
	case x != nil && x.life == s.Incarnation && s.Latest < x.have:
		return fmt.Errorf("knows less than before: %d, was %d", s.Latest, x.have)
	}
	if x == nil || x.life != s.Incarnation {
		x = &sibling{life: s.Incarnation, first: now}
		b.siblings[member] = x
	}
	var bad error
	for _, t := range s.Cancellations {
		switch {
		case !api.ValidID(t.Job):
			bad = fmt.Errorf("names a job %q", t.Job)
		case t.Age < 0:
			bad = fmt.Errorf("%s was told %v ahead", t.Job, -t.Age)
		case t.Age <= b.limits.MaxAge:
			b.take(now, t.Job, now.Add(-t.Age))
		}
	}
	if bad != nil {
		return bad
	}
	if b.siblings[member] != x || s.From > x.have {
		// There was too much to remember, or this says only what came after more than we have.
		return nil
	}
	x.have = max(x.have, s.To)
	if x.have < s.Latest {
		return nil
	}
	if sent.After(x.confirmed) {
		x.confirmed = sent
	}
	if s.Current {
		b.certain(sent.Add(-s.Age - tuning.WatermarkGrain))
	}
	b.advance()
	return nil
}

// advance goes on from the moment up to which all is known to where every sibling has said what it told since:
// only if each was heard, in the life that it has, before that moment, so that neither it nor this process
// can have had another since.
func (b *Tracker) advance() {
	var least time.Time
	for _, s := range b.siblings {
		if s == nil || s.first.After(b.mark) {
			return
		}
		if least.IsZero() || s.confirmed.Before(least) {
			least = s.confirmed
		}
	}
	b.certain(least)
}

// MayRenew tells whether a lease may be renewed now: the last one that is ends in time. WithoutCancelledStarts is how long
// ago the moment is up to which all is known; negative: there is none.
func (b *Tracker) MayRenew(now time.Time) (ok bool, without time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.siblings) == 0 && !b.mark.IsZero() && !b.born.After(b.mark) {
		b.certain(now)
	}
	if b.mark.IsZero() {
		return false, -1
	}
	without = now.Sub(b.mark)
	return without < b.limits.RenewFor, without
}

// UnconfirmedPeers names the siblings that confirm nothing at present, and what for, for operators.
func (b *Tracker) UnconfirmedPeers() (why []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.born.After(b.mark) {
		why = append(why, "this process began since")
	}
	for name, s := range b.siblings {
		switch {
		case s == nil:
			why = append(why, name+" has said nothing")
		case s.first.After(b.mark):
			why = append(why, name+" may have been another process since")
		case !s.confirmed.After(b.mark):
			why = append(why, name+" has said nothing since")
		}
	}
	slices.Sort(why)
	return why
}

// KillCommands are the commands, beside those that are there, that end what a machine reports of cancelled jobs. A
// stop is safe under any token: a cancelled job never runs again.
func (b *Tracker) KillCommands(tasks []api.TaskReport, there []api.Command) (out []api.Command) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.told) == 0 {
		return nil
	}
	for _, t := range tasks {
		if t.State == api.TaskExited || !b.has(t.Task) || slices.ContainsFunc(there, func(c api.Command) bool {
			return c.Verb == api.CommandKill && c.Task == t.Task && c.Attempt == t.Attempt && c.GraceS != nil && *c.GraceS == tuning.CancelKill
		}) {
			continue
		}
		grace := tuning.CancelKill
		out = append(out, api.Command{Verb: api.CommandKill, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
	}
	return out
}

// WithoutCancelledStarts is what there is of commands without starts of cancelled jobs: some were derived before that was known.
func (b *Tracker) WithoutCancelledStarts(there []api.Command) []api.Command {
	b.mu.Lock()
	defer b.mu.Unlock()
	starts := func(c api.Command) bool { return c.Verb == api.CommandRun && b.has(c.Task) }
	if !slices.ContainsFunc(there, starts) {
		return there
	}
	return slices.DeleteFunc(slices.Clone(there), starts)
}

// has tells whether a task is one of a cancelled job.
func (b *Tracker) has(task string) bool {
	job, _, _ := strings.Cut(task, "/")
	return b.told[job] != nil
}
