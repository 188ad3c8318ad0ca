package topology

import (
	"time"

	"switchferry/tuning"
)

// StrandedScaleUp decides how many CPUs to request from the cloud for stranded tasks: those that cannot run on any free
// machine because all free machines are in the wrong failure domain. The cloud does not report the domain of a new
// machine before it has started, so the new machine may be in the wrong domain too. Therefore, attempts are limited in
// time and frequency: an attempt lasts as long as a machine takes to start plus tuning.StrandedScaleUpTimeout, and the
// pause before the next attempt doubles each time, from tuning.StrandedScaleUpBackoff up to
// tuning.StrandedScaleUpBackoffMax. New machines that cannot run the tasks are returned like all machines without work.
//
// The zero value has made no attempt. A StrandedScaleUp has no clock. It is not persisted, so a new leader begins with
// the zero value. It is not safe for concurrent use.
type StrandedScaleUp struct {
	// targetCPUs is what TargetCPUs returns during the current attempt, which lasts until attemptUntil.
	targetCPUs   float64
	attemptUntil time.Time
	// nextAttempt is when the next attempt may begin.
	nextAttempt time.Time
	// pause is the time from the end of the latest attempt to nextAttempt.
	pause time.Duration
}

// TargetCPUs returns the least number of CPUs that the fleet should have so that the stranded tasks can run, or 0
// between attempts and if there are none. The parameter stranded is the number of CPUs that these tasks request, supply
// the number that the fleet has, including machines that are starting, and startup the longest time that a machine
// takes to start.
func (s *StrandedScaleUp) TargetCPUs(now time.Time, stranded, supply float64, startup time.Duration) float64 {
	if stranded <= 0 {
		*s = StrandedScaleUp{}
		return 0
	}
	if now.Before(s.attemptUntil) {
		return s.targetCPUs
	}
	if now.Before(s.nextAttempt) {
		return 0
	}
	s.targetCPUs = supply + stranded
	s.attemptUntil = now.Add(startup + tuning.StrandedScaleUpTimeout)
	s.pause = min(max(2*s.pause, tuning.StrandedScaleUpBackoff), tuning.StrandedScaleUpBackoffMax)
	s.nextAttempt = s.attemptUntil.Add(s.pause)
	return s.targetCPUs
}
