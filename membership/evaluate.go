package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"switchferry/tuning"
)

// evaluate sets a peer's level from the observations recorded so far and appends the change, if any.
func (l *MemberList) evaluate(now time.Time, peer *member, changes []Change) []Change {
	if !peer.helloSinceFailure && (peer.level == Unknown || peer.level == Failed) {
		return changes
	}
	if peer.lastHello.Leaving {
		return peer.setLevel(now, Left, nil, "announced its shutdown", changes)
	}
	if l.phi(now, peer) < tuning.PhiSuspect && !peer.crashed(now) {
		return l.evaluateResponsive(now, peer, changes)
	}
	return l.evaluateSilent(now, peer, changes)
}

// evaluateResponsive sets the level of a peer whose hellos arrive on time.
func (l *MemberList) evaluateResponsive(now time.Time, peer *member, changes []Change) []Change {
	components := l.reportedImpairments(peer)
	if fastest := l.fastestBenchmarkUS(peer); fastest > 0 && float64(peer.lastHello.BenchmarkUS) >= tuning.TransferSlowdown*float64(fastest) {
		reason := fmt.Sprintf("computes %.1f times slower than another", float64(peer.lastHello.BenchmarkUS)/float64(fastest))
		return peer.setLevel(now, Slow, components, reason, changes)
	}
	reason := "its hellos arrive"
	if len(components) > 0 {
		reason = "reports that it does not reach: " + strings.Join(components, ", ")
	}
	return peer.setLevel(now, Alive, components, reason, changes)
}

// reportedImpairments returns the components that a peer reports as impaired in its hellos. A component counts only
// if it works for another controller; an outage that affects all controllers is not attributed to the peer.
func (l *MemberList) reportedImpairments(peer *member) (components []string) {
	if !peer.lastHello.StateOK && l.local.StateOK {
		components = append(components, State)
	}
	if peer.lastHello.Leads && !peer.lastHello.ReceivesHeartbeats && l.anyReceivesHeartbeats(peer) {
		components = append(components, Workers)
	}
	return components
}

// evaluateSilent sets the level of a peer whose hellos are overdue or whose connections show a crash. The peer
// counts as failed only if at least one other controller reports that it does not receive the peer's hellos
// either, and no controller reports that it does.
func (l *MemberList) evaluateSilent(now time.Time, peer *member, changes []Change) []Change {
	crashed, silentFor := peer.crashed(now), now.Sub(peer.lastHelloAt)
	reason := fmt.Sprintf("silent for %.1f s", silentFor.Seconds())
	if crashed {
		reason = "its connection was reset and new ones are refused"
	}
	receiving, notReceiving := l.countObservers(now, peer)
	switch {
	case receiving > 0:
		return peer.setLevel(now, Suspected, []string{Link}, fmt.Sprintf("%s, but its hellos arrive at %d other controller(s)", reason, receiving), changes)
	case notReceiving > 0 && (crashed || l.phi(now, peer) >= tuning.PhiFail && silentFor >= tuning.MinFailSilence):
		peer.helloSinceFailure = false
		return peer.setLevel(now, Failed, []string{Process}, fmt.Sprintf("%s, and its hellos do not arrive at %d other controller(s) either", reason, notReceiving), changes)
	}
	return peer.setLevel(now, Suspected, []string{Process}, reason, changes)
}

// countObservers counts the other peers whose recent hellos list the given peer among those that they receive hellos
// from, and the other peers whose recent hellos do not list it.
func (l *MemberList) countObservers(now time.Time, peer *member) (receiving, notReceiving int) {
	for _, other := range l.peers {
		if other == peer || !other.helloSinceFailure || other.lastHello.StartedMS == 0 || now.Sub(other.lastHelloAt) > tuning.MaxHelloAge {
			continue
		}
		if slices.Contains(other.lastHello.HeardPeers, peer.name) {
			receiving++
		} else {
			notReceiving++
		}
	}
	return receiving, notReceiving
}

// anyReceivesHeartbeats reports whether this controller or any live peer other than the given one receives
// heartbeats from workers. A nil peer excludes none.
func (l *MemberList) anyReceivesHeartbeats(peer *member) bool {
	return l.local.ReceivesHeartbeats || slices.ContainsFunc(l.peers, func(other *member) bool {
		return other != peer && other.level == Alive && other.lastHello.ReceivesHeartbeats
	})
}

// fastestBenchmarkUS returns the shortest benchmark time, in microseconds, that the live peers other than the
// given one report, or 0 if none reports one.
func (l *MemberList) fastestBenchmarkUS(peer *member) (fastest uint32) {
	for _, other := range l.peers {
		benchmark := other.lastHello.BenchmarkUS
		if other != peer && other.level == Alive && benchmark > 0 && (fastest == 0 || benchmark < fastest) {
			fastest = benchmark
		}
	}
	return fastest
}

// evaluateSelf sets this controller's own level and appends the change, if any.
func (l *MemberList) evaluateSelf(now time.Time, changes []Change) []Change {
	components := l.localImpairments(now)
	switch {
	case l.localFaults >= tuning.SlowLocalFaults:
		return l.self.setLevel(now, Slow, components, fmt.Sprintf("recently paused or ran out of sockets %d times", l.localFaults), changes)
	case len(components) > 0:
		return l.self.setLevel(now, Suspected, components, "does not reach: "+strings.Join(components, ", "), changes)
	}
	return l.self.setLevel(now, Alive, nil, "this controller", changes)
}

// localImpairments returns the impaired components of this controller itself.
func (l *MemberList) localImpairments(now time.Time) (components []string) {
	if l.isolated(now) {
		components = append(components, Link)
	}
	anyReachesState := slices.ContainsFunc(l.peers, func(peer *member) bool { return peer.level == Alive && peer.lastHello.StateOK })
	if !l.local.StateOK && anyReachesState {
		components = append(components, State)
	}
	if l.local.Leads && !l.local.ReceivesHeartbeats && l.anyReceivesHeartbeats(nil) {
		components = append(components, Workers)
	}
	return components
}

// isolated reports whether this controller receives hellos from no peer and no peer refuses its connections,
// although it has received a hello before. In that case it is more likely that this controller is disconnected
// from the network than that all peers have failed.
func (l *MemberList) isolated(now time.Time) bool {
	everReceived := false
	for _, peer := range l.peers {
		if peer.hellosArrive() || now.Sub(peer.refusedAt) < tuning.CrashEvidenceTTL {
			return false
		}
		everReceived = everReceived || peer.level != Unknown
	}
	return everReceived
}
