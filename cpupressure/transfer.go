package cpupressure

import (
	"log/slog"
	"time"

	"switchferry/peer"
	"switchferry/tuning"
)

// LeadershipTransfer decides when a leader should resign in favour of a peer because its CPU is several times
// slower than the peer's. With hundreds of machines, the responses of such a leader would be late for as long as it
// leads. High load alone is no reason to resign, since it would slow any leader alike. The zero value is ready to
// use. It is not safe for concurrent use.
type LeadershipTransfer struct {
	// slowSince is the time of the first of the consecutive calls of Due at which the leader was too slow. It is zero
	// if the leader was not too slow at the last call.
	slowSince time.Time
}

// Due reports whether a leader that was elected at the given time should resign now. ownUS is its own benchmark time
// in microseconds, 0 if unknown, and peers holds the latest hellos of the live peers. Due must be called regularly:
// it returns true only if the leader was too slow at every call for tuning.TransferDelay, and has led for at least
// tuning.TransferMinTerm.
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
	return now.Sub(t.slowSince) >= tuning.TransferDelay && now.Sub(elected) >= tuning.TransferMinTerm
}

// fastestEligible returns the shortest benchmark time in microseconds that is published by a peer that can lead,
// which is one that reaches the state service. It returns 0 if there is none.
func fastestEligible(peers []peer.Hello) (fastestUS uint32) {
	for _, hello := range peers {
		if hello.StateOK && hello.BenchmarkUS > 0 && (fastestUS == 0 || hello.BenchmarkUS < fastestUS) {
			fastestUS = hello.BenchmarkUS
		}
	}
	return fastestUS
}
