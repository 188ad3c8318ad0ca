package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"switchferry/tuning"
)

// MemberList is what is known of all members. It is not safe for use from several goroutines at once.
type MemberList struct {
	self *member
	// peers are all other members, sorted by name.
	peers    []*member
	lastStep time.Time
	// local is this controller's latest statement of itself.
	local LocalState
	// localTroubles counts this controller's own recent troubles, which are pauses and a lack of sockets. The
	// more there are, the longer it waits before it suspects others, as with the local health multiplier of
	// Lifeguard (A. Dadgar, J. Phillips, J. Currey: "Lifeguard: local health awareness for more accurate
	// failure detection", 2017). localTroubleAt is when the number last changed.
	localTroubles  int
	localTroubleAt time.Time
}

// New returns the list of a controller that starts now, with the names of all other controllers.
func New(self string, others []string, now time.Time) *MemberList {
	list := &MemberList{self: newMember(self, now), lastStep: now}
	list.self.level, list.self.reason = Alive, "this controller"
	for _, name := range others {
		list.peers = append(list.peers, newMember(name, now))
	}
	slices.SortFunc(list.peers, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	return list
}

// Step applies what was observed since the last step, in order, and evaluates all members anew. It must be
// called several times a second, also without observations.
func (l *MemberList) Step(now time.Time, observations ...Observation) []Change {
	l.discountPause(now)
	if l.localTroubles > 0 && now.Sub(l.localTroubleAt) >= tuning.HealthAgain {
		l.localTroubles, l.localTroubleAt = l.localTroubles-1, now
	}
	var changes []Change
	for _, observation := range observations {
		changes = l.apply(now, observation, changes)
	}
	for _, peer := range l.peers {
		changes = l.evaluate(now, peer, changes)
	}
	return l.evaluateSelf(now, changes)
}

// discountPause notices a pause of this process since the last step. The hellos that arrived meanwhile are
// still to be read, so no member was silent for that time.
func (l *MemberList) discountPause(now time.Time) {
	if pause := now.Sub(l.lastStep); pause >= tuning.MinPause {
		l.recordLocalTrouble(now)
		for _, peer := range l.peers {
			peer.lastHelloAt = peer.lastHelloAt.Add(pause)
		}
	}
	l.lastStep = now
}

// recordLocalTrouble counts one more trouble of this controller's own.
func (l *MemberList) recordLocalTrouble(now time.Time) {
	l.localTroubles, l.localTroubleAt = min(tuning.HealthMost, l.localTroubles+1), now
}

// apply records one observation, and appends the changes that follow from it alone. Observations of unknown
// members are ignored.
func (l *MemberList) apply(now time.Time, observation Observation, changes []Change) []Change {
	switch observed := observation.(type) {
	case LocalState:
		l.local = observed
	case Hello:
		if peer := l.find(observed.From); peer != nil {
			return peer.applyHello(now, observed, changes)
		}
	case Connection:
		peer := l.find(observed.To)
		switch {
		case peer == nil:
		case observed.Outcome == NoSocket:
			l.recordLocalTrouble(now)
		default:
			peer.applyOutcome(now, observed.Outcome)
		}
	}
	return changes
}

// find returns the peer of a name, or nil.
func (l *MemberList) find(name string) *member {
	for _, peer := range l.peers {
		if peer.name == name {
			return peer
		}
	}
	return nil
}

// phi returns how unlikely a peer's silence is, as -log10 of its probability. This controller's own troubles
// shorten the silence that counts.
func (l *MemberList) phi(now time.Time, peer *member) float64 {
	return peer.intervals.phi(now.Sub(peer.lastHelloAt) / time.Duration(1+l.localTroubles))
}

// HeardPeers returns the names of the peers from which this controller receives hellos, sorted.
func (l *MemberList) HeardPeers() (names []string) {
	for _, peer := range l.peers {
		if peer.heard() {
			names = append(names, peer.name)
		}
	}
	return names
}

// Views returns the views of all members, this controller's first, the others sorted by name.
func (l *MemberList) Views(now time.Time) []View {
	self := l.self.view(now)
	self.Self = true
	self.HeardPeers = append(self.HeardPeers, l.HeardPeers()...)
	views := []View{self}
	for _, peer := range l.peers {
		view := peer.view(now)
		view.QuietS, view.Phi = roundedSeconds(now.Sub(peer.lastHelloAt)), roundedTenth(l.phi(now, peer))
		views = append(views, view)
	}
	return views
}

// view returns what the member itself has of its view; its lists are never nil, as the JSON needs it.
func (m *member) view(now time.Time) View {
	return View{
		Member:     m.name,
		Level:      m.level,
		Parts:      append([]string{}, m.parts...),
		Why:        m.reason,
		ForS:       roundedSeconds(now.Sub(m.since)),
		HeardPeers: append([]string{}, m.lastHello.HeardPeers...),
	}
}

func roundedSeconds(d time.Duration) float64 { return roundedTenth(d.Seconds()) }

func roundedTenth(x float64) float64 { return math.Round(10*x) / 10 }
