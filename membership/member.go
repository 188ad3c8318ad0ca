package membership

import (
	"slices"
	"time"

	"switchferry/tuning"
)

// member is the state of one controller. For this controller itself, only the name and the level with its time,
// impaired components and reason are maintained.
type member struct {
	name  string
	level Level
	// since is when level or impairedComponents last changed.
	since time.Time
	// impairedComponents has those of Process, Link, Workers and State that are impaired.
	impairedComponents []string
	// reason explains the level to operators.
	reason string
	// lastHello is the latest hello of the member's newest process.
	lastHello Hello
	// lastHelloAt is when lastHello arrived, moved forward by the duration of each later pause of this
	// controller.
	lastHelloAt time.Time
	// intervals is the distribution of the times between the member's hellos.
	intervals *intervals
	// helloSinceFailure is true if a hello has arrived since the member was last declared failed, or at any
	// time if it never was.
	helloSinceFailure bool
	// resetAt, refusedAt and establishedAt are when a connection to the member was last reset, refused and
	// established.
	resetAt, refusedAt, establishedAt time.Time
}

func newMember(name string, now time.Time) *member {
	return &member{
		name:        name,
		level:       Unknown,
		since:       now,
		reason:      "no hello received yet",
		lastHelloAt: now,
		intervals:   newIntervals(tuning.PeerHelloInterval),
	}
}

// setLevel sets the level, impaired components and reason and appends the change to changes. It does nothing if
// neither the level nor the components differ from the present ones.
func (m *member) setLevel(now time.Time, to Level, components []string, reason string, changes []Change) []Change {
	if m.level == to && slices.Equal(m.impairedComponents, components) {
		return changes
	}
	change := Change{Member: m.name, From: m.level, To: to, ImpairedComponents: components, Reason: reason}
	m.level, m.impairedComponents, m.reason, m.since = to, components, reason, now
	return append(changes, change)
}

// applyHello records a hello of the member. The first hello of a restarted process sets the level to Alive.
func (m *member) applyHello(now time.Time, hello Hello, changes []Change) []Change {
	if hello.StartedMS < m.lastHello.StartedMS {
		return changes // This is a delayed hello of an earlier process.
	}
	restarted := hello.StartedMS > m.lastHello.StartedMS && m.lastHello.StartedMS > 0
	if restarted || !m.helloSinceFailure {
		// The time without hellos before a restart or recovery is not a sample of the process's intervals.
		m.intervals = newIntervals(tuning.PeerHelloInterval)
	} else if interval := now.Sub(m.lastHelloAt); interval > 0 {
		m.intervals.add(interval)
	}
	m.lastHelloAt, m.lastHello, m.helloSinceFailure = now, hello, true
	if restarted {
		m.level = Unknown
		return m.setLevel(now, Alive, nil, "its process restarted", changes)
	}
	return changes
}

// applyOutcome records the outcome of a connection to the member.
func (m *member) applyOutcome(now time.Time, outcome ConnectionOutcome) {
	switch outcome {
	case Established:
		m.establishedAt = now
	case Refused:
		m.refusedAt = now
	case Reset:
		m.resetAt = now
	case TimedOut, NoSocket:
	}
}

// crashed reports whether the member's connections show that its process has ended: an established connection was
// reset, and new ones have been refused since. Both are required, because a packet filter can cause either one
// alone. A network partition causes neither.
func (m *member) crashed(now time.Time) bool {
	return !m.resetAt.IsZero() && m.refusedAt.After(m.resetAt) && m.establishedAt.Before(m.resetAt) && now.Sub(m.refusedAt) < tuning.CrashEvidenceTTL
}

// hellosArrive reports whether the member's hellos arrive, as its level shows.
func (m *member) hellosArrive() bool { return m.level == Alive || m.level == Slow }
