package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"switchferry/tuning"
)

// evaluate sets a peer's level from all that was observed.
func (l *MemberList) evaluate(now time.Time, peer *member, changes []Change) []Change {
	if !peer.heardSinceFailure && (peer.level == Unknown || peer.level == Failed) {
		return changes
	}
	if peer.lastHello.Leaving {
		return peer.setLevel(now, Left, nil, "it said that it leaves", changes)
	}
	if l.phi(now, peer) < tuning.PhiSuspect && !peer.crashed(now) {
		return l.evaluateHeard(now, peer, changes)
	}
	return l.evaluateSilent(now, peer, changes)
}

// evaluateHeard sets the level of a peer whose hellos arrive.
func (l *MemberList) evaluateHeard(now time.Time, peer *member, changes []Change) []Change {
	parts := l.statedTroubles(peer)
	if fastest := l.fastestBenchmarkUS(peer); fastest > 0 && float64(peer.lastHello.BenchmarkUS) >= tuning.TransferSlowdown*float64(fastest) {
		reason := fmt.Sprintf("computes %.1f times slower than another", float64(peer.lastHello.BenchmarkUS)/float64(fastest))
		return peer.setLevel(now, Slow, parts, reason, changes)
	}
	reason := "it greets"
	if len(parts) > 0 {
		reason = "it says that it does not reach: " + strings.Join(parts, ", ")
	}
	return peer.setLevel(now, Alive, parts, reason, changes)
}

// statedTroubles returns the parts in trouble by a peer's own statement. A part counts only if another
// controller is without that trouble, since an outage for all is no trouble of the peer.
func (l *MemberList) statedTroubles(peer *member) (parts []string) {
	if !peer.lastHello.StateOK && l.local.StateOK {
		parts = append(parts, State)
	}
	if peer.lastHello.Leads && !peer.lastHello.ReceivesHeartbeats && l.anyReceivesHeartbeats(peer) {
		parts = append(parts, Workers)
	}
	return parts
}

// evaluateSilent sets the level of a peer whose hellos do not arrive, or whose connections show a crash. It
// has failed only if another controller does not receive its hellos either, and none does.
func (l *MemberList) evaluateSilent(now time.Time, peer *member, changes []Change) []Change {
	crashed, silentFor := peer.crashed(now), now.Sub(peer.lastHelloAt)
	reason := fmt.Sprintf("silent for %.1f s", silentFor.Seconds())
	if crashed {
		reason = "its connection was reset and new ones are refused"
	}
	hearing, notHearing := l.peerOpinions(now, peer)
	switch {
	case hearing > 0:
		return peer.setLevel(now, Suspected, []string{Link}, fmt.Sprintf("%s, but heard by %d other", reason, hearing), changes)
	case notHearing > 0 && (crashed || l.phi(now, peer) >= tuning.PhiFail && silentFor >= tuning.FailSilence):
		peer.heardSinceFailure = false
		return peer.setLevel(now, Failed, []string{Process}, fmt.Sprintf("%s, and not heard by %d other either", reason, notHearing), changes)
	}
	return peer.setLevel(now, Suspected, []string{Process}, reason, changes)
}

// peerOpinions counts the other peers whose recent hellos say that they hear this peer, and those whose hellos
// say that they do not.
func (l *MemberList) peerOpinions(now time.Time, peer *member) (hearing, notHearing int) {
	for _, other := range l.peers {
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

// anyReceivesHeartbeats reports whether workers send heartbeats to any controller other than this peer. With
// nil it asks of all.
func (l *MemberList) anyReceivesHeartbeats(peer *member) bool {
	return l.local.ReceivesHeartbeats || slices.ContainsFunc(l.peers, func(other *member) bool {
		return other != peer && other.level == Alive && other.lastHello.ReceivesHeartbeats
	})
}

// fastestBenchmarkUS returns the shortest benchmark time in microseconds that a peer other than this one
// states; 0 if none states any.
func (l *MemberList) fastestBenchmarkUS(peer *member) (fastest uint32) {
	for _, other := range l.peers {
		benchmark := other.lastHello.BenchmarkUS
		if other != peer && other.level == Alive && benchmark > 0 && (fastest == 0 || benchmark < fastest) {
			fastest = benchmark
		}
	}
	return fastest
}

// evaluateSelf sets this controller's own level.
func (l *MemberList) evaluateSelf(now time.Time, changes []Change) []Change {
	parts := l.localParts(now)
	switch {
	case l.localTroubles >= tuning.HealthSlow:
		return l.self.setLevel(now, Slow, parts, fmt.Sprintf("stood still or had no socket %d times lately", l.localTroubles), changes)
	case len(parts) > 0:
		return l.self.setLevel(now, Suspected, parts, "does not reach: "+strings.Join(parts, ", "), changes)
	}
	return l.self.setLevel(now, Alive, nil, "this controller", changes)
}

// localParts returns this controller's own parts in trouble.
func (l *MemberList) localParts(now time.Time) (parts []string) {
	if l.isolated(now) {
		parts = append(parts, Link)
	}
	anyReachesState := slices.ContainsFunc(l.peers, func(peer *member) bool { return peer.level == Alive && peer.lastHello.StateOK })
	if !l.local.StateOK && anyReachesState {
		parts = append(parts, State)
	}
	if l.local.Leads && !l.local.ReceivesHeartbeats && l.anyReceivesHeartbeats(nil) {
		parts = append(parts, Workers)
	}
	return parts
}

// isolated reports whether this controller hears no peer, and none refuses its connections, though it has
// heard one before: more likely it is cut off than all of them failed.
func (l *MemberList) isolated(now time.Time) bool {
	everHeard := false
	for _, peer := range l.peers {
		if peer.heard() || now.Sub(peer.refusedAt) < tuning.CrashFresh {
			return false
		}
		everHeard = everHeard || peer.level != Unknown
	}
	return everHeard
}
