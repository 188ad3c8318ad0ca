package topology

import (
	"time"

	"switchferry/tuning"
)

// Search decides how many more machines are rented for tasks that no free machine may take,
// because each stands in the wrong place. The cloud does not say where a new machine will
// stand before it is up, so it may be of no use either: each try lasts as long as a boot and a
// while, the next comes after a pause that doubles, and what was rented in vain is returned
// like any machine without work. It has no clock and stores nothing: a new leader begins anew.
type Search struct {
	// targetCPUs is what the fleet should have at least during the try that lasts until `until`.
	targetCPUs   float64
	attemptUntil time.Time
	// nextAttempt is when the next try may begin, pause the one after that try.
	nextAttempt time.Time
	pause       time.Duration
}

// Constraint is what the fleet should have at least, in CPUs: 0 without a try. Stranded are the CPUs of
// tasks that wait for a place, supply what the fleet has, with machines that boot; boot is how
// long that takes at the most.
func (s *Search) TargetCPUs(now time.Time, stranded, supply float64, bootTime time.Duration) float64 {
	if stranded <= 0 {
		// Found, or nobody waits any more.
		*s = Search{}
		return 0
	}
	if now.Before(s.attemptUntil) {
		return s.targetCPUs
	}
	if now.Before(s.nextAttempt) {
		return 0
	}
	s.targetCPUs = supply + stranded
	s.attemptUntil = now.Add(bootTime + tuning.SeekAfterBoot)
	s.pause = min(max(2*s.pause, tuning.SeekPause), tuning.SeekPauseMost)
	s.nextAttempt = s.attemptUntil.Add(s.pause)
	return s.targetCPUs
}
