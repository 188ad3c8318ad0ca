package membership

import (
	"slices"
	"time"

	"switchferry/tuning"
)

// member is what is known of one controller. For this controller itself only the level is kept.
type member struct {
	name string
	// level is the current level since that time, with the parts in trouble and the reason.
	level  Level
	since  time.Time
	parts  []string
	reason string
	// lastHello is the last hello of the latest process, and lastHelloAt when it arrived, moved forward by
	// the time in which this controller could not have received one.
	lastHello   Hello
	lastHelloAt time.Time
	// intervals has the times between its hellos.
	intervals *intervals
	// heardSinceFailure means that a hello arrived since the member last counted as failed, or ever if it
	// never did.
	heardSinceFailure bool
	// resetAt and refusedAt are when a connection to it was last reset or refused, establishedAt when one
	// was last established.
	resetAt, refusedAt, establishedAt time.Time
}

func newMember(name string, now time.Time) *member {
	return &member{
		name:        name,
		level:       Unknown,
		since:       now,
		reason:      "not heard yet",
		lastHelloAt: now,
		intervals:   newIntervals(tuning.PeerHello),
	}
}

// setLevel sets the level and appends the change to the changes, unless level and parts are as they were.
func (m *member) setLevel(now time.Time, to Level, parts []string, reason string, changes []Change) []Change {
	if m.level == to && slices.Equal(m.parts, parts) {
		return changes
	}
	change := Change{Member: m.name, From: m.level, To: to, Parts: parts, Why: reason}
	m.level, m.parts, m.reason, m.since = to, parts, reason, now
	return append(changes, change)
}

// applyHello records a hello of the member. A process that is not the one known so far starts at Alive.
func (m *member) applyHello(now time.Time, hello Hello, changes []Change) []Change {
	if hello.StartedMS < m.lastHello.StartedMS {
		return changes // It is a late hello of an earlier process.
	}
	restarted := hello.StartedMS > m.lastHello.StartedMS && m.lastHello.StartedMS > 0
	if restarted || !m.heardSinceFailure {
		// The silence between two processes says nothing about the next one's intervals.
		m.intervals = newIntervals(tuning.PeerHello)
	} else if interval := now.Sub(m.lastHelloAt); interval > 0 {
		m.intervals.add(interval)
	}
	m.lastHelloAt, m.lastHello, m.heardSinceFailure = now, hello, true
	if restarted {
		m.level = Unknown
		return m.setLevel(now, Alive, nil, "a new process of it greets", changes)
	}
	return changes
}

// applyOutcome records the outcome of a connection to the member.
func (m *member) applyOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case Established:
		m.establishedAt = now
	case Refused:
		m.refusedAt = now
	case Reset:
		m.resetAt = now
	case Hanging, NoSocket:
	}
}

// crashed reports whether the member's connections show that its process ended: an established one was reset,
// and since then new ones are refused. A packet filter causes one or the other, a partition neither.
func (m *member) crashed(now time.Time) bool {
	return !m.resetAt.IsZero() && m.refusedAt.After(m.resetAt) && m.establishedAt.Before(m.resetAt) && now.Sub(m.refusedAt) < tuning.CrashFresh
}

// heard reports whether hellos are received from the member.
func (m *member) heard() bool { return m.level == Alive || m.level == Slow }
