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
type Observation interface{ subject() string }

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

func (g Hello) subject() string      { return g.From }
func (c Connection) subject() string { return c.To }
func (LocalState) subject() string   { return "" }

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
	name   string
	level  Level
	parts  []string
	reason string
	since  time.Time
	// lastHelloAt is the last greeting, or the start of a silence that could be heard.
	lastHelloAt time.Time
	lastHello   Hello
	intervals   *intervals
	// heardSinceFailure: it was heard since it was last given up.
	heardSinceFailure bool
	// resetAt and refused are when a connection to it was last reset, refused; open when one
	// was last established.
	resetAt, refusedAt, establishedAt time.Time
}

// MemberList is what is known of all members. It is not safe for use from several goroutines at once.
type MemberList struct {
	self    *member
	members []*member
	// localTroubles counts this controller's own troubles, as the local health multiplier of Lifeguard
	// does (A. Dadgar, J. Phillips, J. Currey: "Lifeguard: local health awareness for more
	// accurate failure detection", 2017): who stood still, or has no socket, waits longer
	// before it suspects others.
	localTroubles  int
	localTroubleAt time.Time
	lastStep       time.Time
	local          LocalState
}

// New is the table of a controller that has just begun.
func New(self string, others []string, now time.Time) *MemberList {
	list := &MemberList{self: newMember(self, now), lastStep: now}
	list.self.level, list.self.reason = Alive, "this controller"
	for _, name := range others {
		list.members = append(list.members, newMember(name, now))
	}
	slices.SortFunc(list.members, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	return list
}

func newMember(name string, now time.Time) *member {
	return &member{name: name, level: Unknown, reason: "not heard yet", since: now, lastHelloAt: now, intervals: newIntervals(tuning.PeerHello)}
}

// Step takes in what was observed since the last step, in order, and judges all members anew. It is
// called several times a second also without observations.
func (l *MemberList) Step(now time.Time, observations ...Observation) []Change {
	if interval := now.Sub(l.lastStep); interval >= tuning.PauseLeast {
		// We stood still, or had no processor: what others said meanwhile is still to be read.
		l.recordLocalTrouble(now)
		for _, peer := range l.members {
			peer.lastHelloAt = peer.lastHelloAt.Add(interval)
		}
	}
	l.lastStep = now
	if l.localTroubles > 0 && now.Sub(l.localTroubleAt) >= tuning.HealthAgain {
		l.localTroubles, l.localTroubleAt = l.localTroubles-1, now
	}
	var changes []Change
	for _, observation := range observations {
		changes = append(changes, l.apply(now, observation)...)
	}
	for _, peer := range l.members {
		changes = l.evaluate(now, peer, changes)
	}
	return l.evaluateSelf(now, changes)
}

func (l *MemberList) recordLocalTrouble(now time.Time) {
	l.localTroubles, l.localTroubleAt = min(tuning.HealthMost, l.localTroubles+1), now
}

func (l *MemberList) find(name string) *member {
	for _, peer := range l.members {
		if peer.name == name {
			return peer
		}
	}
	return nil
}

func (l *MemberList) apply(now time.Time, observation Observation) (changes []Change) {
	if local, ok := observation.(LocalState); ok {
		l.local = local
		return nil
	}
	peer := l.find(observation.subject())
	if peer == nil {
		return nil
	}
	switch o := observation.(type) {
	case Hello:
		if o.StartedMS < peer.lastHello.StartedMS {
			return nil // It is a late one of an earlier process.
		}
		restarted := o.StartedMS > peer.lastHello.StartedMS && peer.lastHello.StartedMS > 0
		if restarted || !peer.heardSinceFailure {
			// What silence lay between two processes says nothing of the next one's pace.
			peer.intervals = newIntervals(tuning.PeerHello)
		} else if interval := now.Sub(peer.lastHelloAt); interval > 0 {
			peer.intervals.add(interval)
		}
		peer.lastHelloAt, peer.lastHello, peer.heardSinceFailure = now, o, true
		if restarted {
			peer.level = Unknown
			changes = peer.setLevel(now, Alive, nil, "a new process of it greets", changes)
		}
	case Connection:
		switch o.Outcome {
		case Established:
			peer.establishedAt = now
		case Refused:
			peer.refusedAt = now
		case Reset:
			peer.resetAt = now
		case NoSocket:
			l.recordLocalTrouble(now)
		case Hanging:
		}
	}
	return changes
}

// setLevel notes a level; nothing is said where nothing changes.
func (m *member) setLevel(now time.Time, to Level, parts []string, reason string, changes []Change) []Change {
	if m.level == to && slices.Equal(m.parts, parts) {
		return changes
	}
	change := Change{Member: m.name, From: m.level, To: to, Parts: parts, Why: reason}
	m.level, m.parts, m.reason, m.since = to, parts, reason, now
	return append(changes, change)
}

// phi of a member's silence; our own troubles stretch the time that counts.
func (l *MemberList) phi(now time.Time, peer *member) float64 {
	return peer.intervals.phi(now.Sub(peer.lastHelloAt) / time.Duration(1+l.localTroubles))
}

// crashed tells whether a member's connections show the end of its process: one that stood was
// resetAt, and since then new ones are refused. A filter does one or the other, a cut neither.
func (m *member) crashed(now time.Time) bool {
	return !m.resetAt.IsZero() && m.refusedAt.After(m.resetAt) && m.establishedAt.Before(m.resetAt) && now.Sub(m.refusedAt) < tuning.CrashFresh
}

// peerOpinions counts the members heard by this one, m aside, that say that they hear m, and that do not.
func (l *MemberList) peerOpinions(now time.Time, peer *member) (hearing, notHearing int) {
	for _, other := range l.members {
		if other == peer || !other.heardSinceFailure || other.lastHello.StartedMS == 0 || now.Sub(other.lastHelloAt) > tuning.ViewFresh {
			continue
		}
		if slices.Contains(other.lastHello.HeardPeers, peer.name) {
			hearing++
		} else {
			notHearing++
		}
	}
	return hearing, notHearing
}

func (l *MemberList) evaluate(now time.Time, peer *member, changes []Change) []Change {
	if !peer.heardSinceFailure && (peer.level == Unknown || peer.level == Failed) {
		return changes
	}
	phi := l.phi(now, peer)
	crashed := peer.crashed(now)
	if peer.lastHello.Leaving {
		return peer.setLevel(now, Left, nil, "it said that it leaves", changes)
	}
	if phi < tuning.PhiSuspect && !crashed {
		var parts []string
		if !peer.lastHello.StateOK && l.local.StateOK {
			parts = append(parts, State)
		}
		if peer.lastHello.Leads && !peer.lastHello.ReceivesHeartbeats && l.anyReceivesHeartbeats(peer) {
			parts = append(parts, Workers)
		}
		reason := "it greets"
		if len(parts) > 0 {
			reason = "it says that it does not reach: " + strings.Join(parts, ", ")
		}
		if pace := l.fastestBenchmarkUS(peer); pace > 0 && float64(peer.lastHello.BenchmarkUS) >= tuning.SlowPace*float64(pace) {
			return peer.setLevel(now, Slow, parts, fmt.Sprintf("computes %.1f times slower than another", float64(peer.lastHello.BenchmarkUS)/float64(pace)), changes)
		}
		return peer.setLevel(now, Alive, parts, reason, changes)
	}
	hearing, notHearing := l.peerOpinions(now, peer)
	reason := fmt.Sprintf("silent for %.1f s", now.Sub(peer.lastHelloAt).Seconds())
	if crashed {
		reason = "its connection was reset and new ones are refused"
	}
	switch {
	case hearing > 0:
		return peer.setLevel(now, Suspected, []string{Link}, fmt.Sprintf("%s, but heard by %d other", reason, hearing), changes)
	case notHearing > 0 && (crashed || phi >= tuning.PhiFail && now.Sub(peer.lastHelloAt) >= tuning.FailQuiet):
		// Two see it, and nobody the contrary.
		peer.heardSinceFailure = false
		return peer.setLevel(now, Failed, []string{Process}, fmt.Sprintf("%s, and not heard by %d other either", reason, notHearing), changes)
	}
	return peer.setLevel(now, Suspected, []string{Process}, reason, changes)
}

// anyReceivesHeartbeats tells whether workers report to anyone but m.
func (l *MemberList) anyReceivesHeartbeats(peer *member) bool {
	return l.local.ReceivesHeartbeats || slices.ContainsFunc(l.members, func(other *member) bool {
		return other != peer && other.level == Alive && other.lastHello.ReceivesHeartbeats
	})
}

// fastestBenchmarkUS is the least pace of those heard, m aside; 0: none says.
func (l *MemberList) fastestBenchmarkUS(peer *member) (us uint32) {
	for _, other := range l.members {
		if benchmarkUS := other.lastHello.BenchmarkUS; other != peer && other.level == Alive && benchmarkUS > 0 && (us == 0 || benchmarkUS < us) {
			us = benchmarkUS
		}
	}
	return us
}

// evaluateSelf suspects this controller itself: who hears nobody is more likely cut off than alone.
func (l *MemberList) evaluateSelf(now time.Time, changes []Change) []Change {
	var parts []string
	heard, answered := 0, 0
	for _, peer := range l.members {
		if peer.level == Alive || peer.level == Slow {
			heard++
		}
		if now.Sub(peer.refusedAt) < tuning.CrashFresh {
			answered++
		}
	}
	ever := slices.ContainsFunc(l.members, func(peer *member) bool { return peer.level != Unknown })
	if ever && heard+answered == 0 && len(l.members) > 0 {
		parts = append(parts, Link)
	}
	if others := slices.ContainsFunc(l.members, func(peer *member) bool { return peer.level == Alive && peer.lastHello.StateOK }); !l.local.StateOK && others {
		parts = append(parts, State)
	}
	if l.local.Leads && !l.local.ReceivesHeartbeats && l.anyReceivesHeartbeats(nil) {
		parts = append(parts, Workers)
	}
	switch {
	case l.localTroubles >= tuning.HealthSlow:
		return l.self.setLevel(now, Slow, parts, fmt.Sprintf("stood still or had no socket %d times lately", l.localTroubles), changes)
	case len(parts) > 0:
		return l.self.setLevel(now, Suspected, parts, "does not reach: "+strings.Join(parts, ", "), changes)
	}
	return l.self.setLevel(now, Alive, nil, "this controller", changes)
}

// HeardPeers are the members that this controller hears, in order: what it tells others of them.
func (l *MemberList) HeardPeers() (names []string) {
	for _, peer := range l.members {
		if peer.level == Alive || peer.level == Slow {
			names = append(names, peer.name)
		}
	}
	return names
}

// Views are all members as they stand, this one first.
func (l *MemberList) Views(now time.Time) []View {
	views := []View{}
	for _, peer := range append([]*member{l.self}, l.members...) {
		view := View{Member: peer.name, Self: peer == l.self, Level: peer.level, Parts: append([]string{}, peer.parts...), Why: peer.reason, HeardPeers: append([]string{}, peer.lastHello.HeardPeers...)}
		view.ForS = seconds(now.Sub(peer.since))
		if view.Self {
			view.HeardPeers = append(view.HeardPeers, l.HeardPeers()...)
		} else {
			view.QuietS, view.Phi = seconds(now.Sub(peer.lastHelloAt)), math.Round(10*l.phi(now, peer))/10
		}
		views = append(views, view)
	}
	return views
}

func seconds(d time.Duration) float64 { return math.Round(d.Seconds()*10) / 10 }
