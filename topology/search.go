package topology

import (
	"time"

	"switchferry/tuning"
)

// Search decides how many machines to request from the cloud for stranded tasks: those that no free machine may take since
// all are in the wrong failure domain. The cloud does not say where a new machine is before it has started, so it may be
// of no use either. An attempt therefore lasts as long as a machine takes to start and tuning.SeekAfterBoot, the pause
// before the next one doubles each time, from tuning.SeekPause up to tuning.SeekPauseMost, and machines that turn out to
// be of no use are returned like any without work.
//
// The zero value has made no attempt. A Search has no clock, is not persisted, so that a new leader starts anew, and is
// not safe for concurrent use.
type Search struct {
	// targetCPUs is the result of TargetCPUs during the attempt that lasts until attemptUntil.
	targetCPUs   float64
	attemptUntil time.Time
	// nextAttempt is when the next attempt may begin, and pause the time between the end of the latest one and then.
	nextAttempt time.Time
	pause       time.Duration
}

// TargetCPUs returns how many CPUs the fleet should have at least for the sake of stranded tasks, or 0 between attempts.
// Stranded is the CPUs that these tasks request, supply what the fleet has including machines that start, and startup the
// longest time that a machine takes to start.
func (s *Search) TargetCPUs(now time.Time, stranded, supply float64, startup time.Duration) float64 {
	if stranded <= 0 {
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
	s.attemptUntil = now.Add(startup + tuning.SearchAfterBoot)
	s.pause = min(max(2*s.pause, tuning.SearchPause), tuning.SearchPauseMax)
	s.nextAttempt = s.attemptUntil.Add(s.pause)
	return s.targetCPUs
}
