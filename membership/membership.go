// Package membership is what one controller knows of the others, and of itself: who is there, who
// is slow, who is suspected and of what, who failed, left or returned. It is a step function:
// observations and the time go in, changes with their reasons come out. It has no I/O, lock, clock
// or goroutine of its own, and the same observations give the same changes.
package membership

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"switchferry/tuning"
)

// Level is how a member stands.
type Level string

// Levels, from the best. Suspected is no verdict: all that follows from it can be taken back.
const (
	Unknown   Level = "unknown"
	Alive     Level = "alive"
	Slow      Level = "slow"
	Suspected Level = "suspected"
	Failed    Level = "failed"
	Left      Level = "left"
)

// Parts of a member that can be in trouble, each on its own. Link is the way between it and this
// controller, or, for this controller, its own to all siblings.
const (
	Process = "process"
	Link    = "link"
	Workers = "workers"
	State   = "state service"
)

// Observation is something that was seen of a member.
type Observation interface{ of() string }

// Hello is what a member said of itself.
type Hello struct {
	From string
	// StartedMS is when its process began, on its own clock: of contradicting news that of the
	// later process counts. 0: it does not say.
	StartedMS uint64
	// HeardPeers are the members that it hears.
	HeardPeers []string
	// Leads tells whether it leads: only then must workers reach it in any case. ReceivesHeartbeats: one
	// reported to it a moment ago.
	Leads, StateOK, ReceivesHeartbeats bool
	BenchmarkUS                        uint32
	Leaving                            bool
}

// Outcome is what became of a connection to a member.
type Outcome int

// Outcomes. NoSocket is this controller's own trouble and says nothing of the other.
const (
	Established Outcome = iota
	Refused
	Reset
	Hanging
	NoSocket
)

// Connection is an attempt to connect to a member, or the end of one that was established.
type Connection struct {
	To      string
	Outcome Outcome
}

// LocalState is what this controller says of itself, as in Hello.
type LocalState struct{ Leads, StateOK, ReceivesHeartbeats bool }

func (g Hello) of() string      { return g.From }
func (c Connection) of() string { return c.To }
func (LocalState) of() string   { return "" }

// Change is a step from one level to another, or another part in trouble.
type Change struct {
	Member   string
	From, To Level
	Parts    []string
	Why      string
}

// View is how a member stands now.
type View struct {
	Member string   `json:"member"`
	Self   bool     `json:"self"`
	Level  Level    `json:"level"`
	Parts  []string `json:"parts"`
	Why    string   `json:"why"`
	// ForS is since when, QuietS since when nothing was heard of it, in seconds; Phi how
	// unlikely that is, as -log10 of its probability.
	ForS   float64 `json:"for_s"`
	QuietS float64 `json:"quiet_s"`
	Phi    float64 `json:"phi"`
	// HeardPeers are those that it says it hears.
	HeardPeers []string `json:"hears"`
}

type member struct {
	name  string
	level Level
	parts []string
	why   string
	since time.Time
	// heard is the last greeting, or the start of a silence that could be heard.
	heard time.Time
	last  Hello
	gaps  *arrivals
	// greeted: it was heard since it was last given up.
	greeted bool
	// reset and refused are when a connection to it was last reset, refused; open when one
	// was last established.
	reset, refused, open time.Time
}

// MemberList is what is known of all members. It is not safe for use from several goroutines at once.
type MemberList struct {
	self    *member
	members []*member
	// health counts this controller's own troubles, as the local health multiplier of Lifeguard
	// does (A. Dadgar, J. Phillips, J. Currey: "Lifeguard: local health awareness for more
	// accurate failure detection", 2017): who stood still, or has no socket, waits longer
	// before it suspects others.
	health  int
	trouble time.Time
	stepped time.Time
	own     LocalState
}

// New is the table of a controller that has just begun.
func New(self string, others []string, now time.Time) *MemberList {
	t := &MemberList{self: newMember(self, now), stepped: now}
	t.self.level, t.self.why = Alive, "this controller"
	for _, name := range others {
		t.members = append(t.members, newMember(name, now))
	}
	slices.SortFunc(t.members, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	return t
}

func newMember(name string, now time.Time) *member {
	return &member{name: name, level: Unknown, why: "not heard yet", since: now, heard: now, gaps: newArrivals(tuning.PeerHello)}
}

// Step takes in what was observed since the last step, in order, and judges all members anew. It is
// called several times a second also without observations.
func (t *MemberList) Step(now time.Time, seen ...Observation) []Change {
	if gap := now.Sub(t.stepped); gap >= tuning.PauseLeast {
		// We stood still, or had no processor: what others said meanwhile is still to be read.
		t.troubled(now)
		for _, m := range t.members {
			m.heard = m.heard.Add(gap)
		}
	}
	t.stepped = now
	if t.health > 0 && now.Sub(t.trouble) >= tuning.HealthAgain {
		t.health, t.trouble = t.health-1, now
	}
	var out []Change
	for _, o := range seen {
		out = append(out, t.take(now, o)...)
	}
	for _, m := range t.members {
		out = t.judge(now, m, out)
	}
	return t.judgeSelf(now, out)
}

func (t *MemberList) troubled(now time.Time) {
	t.health, t.trouble = min(tuning.HealthMost, t.health+1), now
}

func (t *MemberList) find(name string) *member {
	for _, m := range t.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (t *MemberList) take(now time.Time, o Observation) (out []Change) {
	if own, ok := o.(LocalState); ok {
		t.own = own
		return nil
	}
	m := t.find(o.of())
	if m == nil {
		return nil
	}
	switch o := o.(type) {
	case Hello:
		if o.StartedMS < m.last.StartedMS {
			return nil // of an earlier process, late
		}
		anew := o.StartedMS > m.last.StartedMS && m.last.StartedMS > 0
		if anew || !m.greeted {
			// What silence lay between two processes says nothing of the next one's pace.
			m.gaps = newArrivals(tuning.PeerHello)
		} else if gap := now.Sub(m.heard); gap > 0 {
			m.gaps.add(gap)
		}
		m.heard, m.last, m.greeted = now, o, true
		if anew {
			m.level = Unknown
			out = m.become(now, Alive, nil, "a new process of it greets", out)
		}
	case Connection:
		switch o.Outcome {
		case Established:
			m.open = now
		case Refused:
			m.refused = now
		case Reset:
			m.reset = now
		case NoSocket:
			t.troubled(now)
		case Hanging:
		}
	}
	return out
}

// become notes a level; nothing is said where nothing changes.
func (m *member) become(now time.Time, to Level, parts []string, why string, out []Change) []Change {
	if m.level == to && slices.Equal(m.parts, parts) {
		return out
	}
	c := Change{Member: m.name, From: m.level, To: to, Parts: parts, Why: why}
	m.level, m.parts, m.why, m.since = to, parts, why, now
	return append(out, c)
}

// phi of a member's silence; our own troubles stretch the time that counts.
func (t *MemberList) phi(now time.Time, m *member) float64 {
	return m.gaps.phi(now.Sub(m.heard) / time.Duration(1+t.health))
}

// crashed tells whether a member's connections show the end of its process: one that stood was
// reset, and since then new ones are refused. A filter does one or the other, a cut neither.
func (m *member) crashed(now time.Time) bool {
	return !m.reset.IsZero() && m.refused.After(m.reset) && m.open.Before(m.reset) && now.Sub(m.refused) < tuning.CrashFresh
}

// others counts the members heard by this one, m aside, that say that they hear m, and that do not.
func (t *MemberList) others(now time.Time, m *member) (hear, not int) {
	for _, o := range t.members {
		if o == m || !o.greeted || o.last.StartedMS == 0 || now.Sub(o.heard) > tuning.ViewFresh {
			continue
		}
		if slices.Contains(o.last.HeardPeers, m.name) {
			hear++
		} else {
			not++
		}
	}
	return hear, not
}

func (t *MemberList) judge(now time.Time, m *member, out []Change) []Change {
	if !m.greeted && (m.level == Unknown || m.level == Failed) {
		return out
	}
	phi := t.phi(now, m)
	crashed := m.crashed(now)
	if m.last.Leaving {
		return m.become(now, Left, nil, "it said that it leaves", out)
	}
	if phi < tuning.PhiSuspect && !crashed {
		var parts []string
		if !m.last.StateOK && t.own.StateOK {
			parts = append(parts, State)
		}
		if m.last.Leads && !m.last.ReceivesHeartbeats && t.anyWorked(m) {
			parts = append(parts, Workers)
		}
		why := "it greets"
		if len(parts) > 0 {
			why = "it says that it does not reach: " + strings.Join(parts, ", ")
		}
		if pace := t.fastest(m); pace > 0 && float64(m.last.BenchmarkUS) >= tuning.SlowPace*float64(pace) {
			return m.become(now, Slow, parts, fmt.Sprintf("computes %.1f times slower than another", float64(m.last.BenchmarkUS)/float64(pace)), out)
		}
		return m.become(now, Alive, parts, why, out)
	}
	hear, not := t.others(now, m)
	why := fmt.Sprintf("silent for %.1f s", now.Sub(m.heard).Seconds())
	if crashed {
		why = "its connection was reset and new ones are refused"
	}
	switch {
	case hear > 0:
		return m.become(now, Suspected, []string{Link}, fmt.Sprintf("%s, but heard by %d other", why, hear), out)
	case not > 0 && (crashed || phi >= tuning.PhiFail && now.Sub(m.heard) >= tuning.FailQuiet):
		// Two see it, and nobody the contrary.
		m.greeted = false
		return m.become(now, Failed, []string{Process}, fmt.Sprintf("%s, and not heard by %d other either", why, not), out)
	}
	return m.become(now, Suspected, []string{Process}, why, out)
}

// anyWorked tells whether workers report to anyone but m.
func (t *MemberList) anyWorked(m *member) bool {
	return t.own.ReceivesHeartbeats || slices.ContainsFunc(t.members, func(o *member) bool { return o != m && o.level == Alive && o.last.ReceivesHeartbeats })
}

// fastest is the least pace of those heard, m aside; 0: none says.
func (t *MemberList) fastest(m *member) (us uint32) {
	for _, o := range t.members {
		if p := o.last.BenchmarkUS; o != m && o.level == Alive && p > 0 && (us == 0 || p < us) {
			us = p
		}
	}
	return us
}

// judgeSelf suspects this controller itself: who hears nobody is more likely cut off than alone.
func (t *MemberList) judgeSelf(now time.Time, out []Change) []Change {
	var parts []string
	heard, answered := 0, 0
	for _, m := range t.members {
		if m.level == Alive || m.level == Slow {
			heard++
		}
		if now.Sub(m.refused) < tuning.CrashFresh {
			answered++
		}
	}
	ever := slices.ContainsFunc(t.members, func(m *member) bool { return m.level != Unknown })
	if ever && heard+answered == 0 && len(t.members) > 0 {
		parts = append(parts, Link)
	}
	if others := slices.ContainsFunc(t.members, func(m *member) bool { return m.level == Alive && m.last.StateOK }); !t.own.StateOK && others {
		parts = append(parts, State)
	}
	if t.own.Leads && !t.own.ReceivesHeartbeats && t.anyWorked(nil) {
		parts = append(parts, Workers)
	}
	switch {
	case t.health >= tuning.HealthSlow:
		return t.self.become(now, Slow, parts, fmt.Sprintf("stood still or had no socket %d times lately", t.health), out)
	case len(parts) > 0:
		return t.self.become(now, Suspected, parts, "does not reach: "+strings.Join(parts, ", "), out)
	}
	return t.self.become(now, Alive, nil, "this controller", out)
}

// HeardPeers are the members that this controller hears, in order: what it tells others of them.
func (t *MemberList) HeardPeers() (names []string) {
	for _, m := range t.members {
		if m.level == Alive || m.level == Slow {
			names = append(names, m.name)
		}
	}
	return names
}

// Views are all members as they stand, this one first.
func (t *MemberList) Views(now time.Time) []View {
	out := []View{}
	for _, m := range append([]*member{t.self}, t.members...) {
		v := View{Member: m.name, Self: m == t.self, Level: m.level, Parts: append([]string{}, m.parts...), Why: m.why, HeardPeers: append([]string{}, m.last.HeardPeers...)}
		v.ForS = seconds(now.Sub(m.since))
		if v.Self {
			v.HeardPeers = append(v.HeardPeers, t.HeardPeers()...)
		} else {
			v.QuietS, v.Phi = seconds(now.Sub(m.heard)), math.Round(10*t.phi(now, m))/10
		}
		out = append(out, v)
	}
	return out
}

func seconds(d time.Duration) float64 { return math.Round(d.Seconds()*10) / 10 }
