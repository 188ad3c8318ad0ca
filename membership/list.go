package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"switchferry/tuning"
)

// MemberList holds the state of all members as this controller sees them. It is not safe for concurrent use.
type MemberList struct {
	self *member
	// peers are all other members, sorted by name.
	peers    []*member
	lastStep time.Time
	// local is this controller's latest state.
	local LocalState
	// localFaults counts the recent process pauses of this controller and its failures to obtain a socket.
	// The higher the count, the longer a silence must last before a peer is suspected, as with the local health
	// multiplier of Lifeguard (A. Dadgar, J. Phillips, J. Currey: "Lifeguard: local health awareness for more
	// accurate failure detection", 2017).
	localFaults int
	// localFaultsChangedAt is when localFaults last changed.
	localFaultsChangedAt time.Time
}

// New returns the member list of the controller self, which starts at the time now. The parameter others has the
// names of all other controllers.
func New(self string, others []string, now time.Time) *MemberList {
	list := &MemberList{self: newMember(self, now), lastStep: now}
	list.self.level, list.self.reason = Alive, "this controller"
	for _, name := range others {
		list.peers = append(list.peers, newMember(name, now))
	}
	slices.SortFunc(list.peers, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	return list
}

// Step applies the observations made since the previous call, in order, reevaluates all members and returns the
// changes. It must be called several times a second, even without observations.
func (l *MemberList) Step(now time.Time, observations ...Observation) []Change {
	l.discountPause(now)
	if l.localFaults > 0 && now.Sub(l.localFaultsChangedAt) >= tuning.LocalFaultDecayInterval {
		l.localFaults, l.localFaultsChangedAt = l.localFaults-1, now
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

// discountPause detects a pause of this process since the last step. Hellos that arrived during the pause have
// not been read yet, so the pause is not counted towards the silence of any peer.
func (l *MemberList) discountPause(now time.Time) {
	if pause := now.Sub(l.lastStep); pause >= tuning.MinMembershipPause {
		l.recordLocalFault(now)
		for _, peer := range l.peers {
			peer.lastHelloAt = peer.lastHelloAt.Add(pause)
		}
	}
	l.lastStep = now
}

// recordLocalFault counts one more pause or lack of sockets of this controller.
func (l *MemberList) recordLocalFault(now time.Time) {
	l.localFaults, l.localFaultsChangedAt = min(tuning.MaxLocalFaults, l.localFaults+1), now
}

// apply records one observation and appends the change that it causes directly, which is a restart of a member.
// Observations of unknown members are ignored.
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
			l.recordLocalFault(now)
		default:
			peer.applyOutcome(now, observed.Outcome)
		}
	}
	return changes
}

// find returns the peer with the given name, or nil if there is none.
func (l *MemberList) find(name string) *member {
	for _, peer := range l.peers {
		if peer.name == name {
			return peer
		}
	}
	return nil
}

// phi returns the suspicion level of a peer: -log10 of the probability of its silence. The silence is divided by
// 1+localFaults.
func (l *MemberList) phi(now time.Time, peer *member) float64 {
	return peer.intervals.phi(now.Sub(peer.lastHelloAt) / time.Duration(1+l.localFaults))
}

// HeardPeers returns the names of the peers from which this controller receives hellos, sorted.
func (l *MemberList) HeardPeers() (names []string) {
	for _, peer := range l.peers {
		if peer.hellosArrive() {
			names = append(names, peer.name)
		}
	}
	return names
}

// Views returns the views of all members: this controller first, then the peers sorted by name.
func (l *MemberList) Views(now time.Time) []View {
	self := l.self.view(now)
	self.Self = true
	self.HeardPeers = append(self.HeardPeers, l.HeardPeers()...)
	views := []View{self}
	for _, peer := range l.peers {
		view := peer.view(now)
		view.SilentSeconds, view.Phi = roundedSeconds(now.Sub(peer.lastHelloAt)), roundedTenth(l.phi(now, peer))
		views = append(views, view)
	}
	return views
}

// view returns the member's view without Self, SilentSeconds and Phi. Its slices are never nil, so that they are
// encoded as JSON arrays and not as null.
func (m *member) view(now time.Time) View {
	return View{
		Member:             m.name,
		Level:              m.level,
		ImpairedComponents: append([]string{}, m.impairedComponents...),
		Reason:             m.reason,
		LevelSeconds:       roundedSeconds(now.Sub(m.since)),
		HeardPeers:         append([]string{}, m.lastHello.HeardPeers...),
	}
}

func roundedSeconds(d time.Duration) float64 { return roundedTenth(d.Seconds()) }

func roundedTenth(x float64) float64 { return math.Round(10*x) / 10 }
