package cpupressure

import (
	"log/slog"
	"time"

	"switchferry/peer"
	"switchferry/tuning"
)

// LeadershipTransfer decides when a leader should resign in favour of a peer because it computes several times
// slower: with hundreds of machines its answers would be late for as long as that lasts. A load that is merely
// high slows every leader alike and is no reason. The zero value is ready to use; it is not safe for use from
// several goroutines at once.
type LeadershipTransfer struct {
	// slowSince is since when the leader has been slower at every call of Due; zero if it was not at the last.
	slowSince time.Time
}

// Due reports whether a leader that was elected at that time should resign now, given its own benchmark time in
// microseconds, 0 if unknown, and the hellos of the peers that are alive. It must be called regularly: the
// leader must be slower for tuning.SlowFor without interruption.
func (t *LeadershipTransfer) Due(now, elected time.Time, ownUS uint32, peers []peer.Hello) bool {
	fastestUS := fastestEligible(peers)
	if ownUS == 0 || fastestUS == 0 || float64(ownUS) < tuning.TransferSlowdown*float64(fastestUS) {
		t.slowSince = time.Time{}
		return false
	}
	if t.slowSince.IsZero() {
		t.slowSince = now
		slog.Info("computing slower than a peer", "pace_us", ownUS, "sibling_us", fastestUS)
	}
	return now.Sub(t.slowSince) >= tuning.TransferAfter && now.Sub(elected) >= tuning.TransferMinTerm
}

// fastestEligible returns the shortest benchmark time in microseconds of the peers that can lead, which are
// those that reach the state service; 0 if none of them states any.
func fastestEligible(peers []peer.Hello) (fastestUS uint32) {
	for _, hello := range peers {
		if hello.StateOK && hello.BenchmarkUS > 0 && (fastestUS == 0 || hello.BenchmarkUS < fastestUS) {
			fastestUS = hello.BenchmarkUS
		}
	}
	return fastestUS
}
