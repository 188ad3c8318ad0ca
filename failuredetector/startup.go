package failuredetector

import (
	"time"

	"switchferry/tuning"
)

// StartupTimes has, by machine type, the startup time of the machine that was requested last among those that
// have started. Machines start late, or never. That all of them are late says nothing about one; that one is
// late while others that were requested later have started does. The zero value knows of none.
type StartupTimes struct {
	latest map[string]startup
}

// startup is when a machine was requested, and how long it took from then to its first heartbeat.
type startup struct {
	requestedAt time.Time
	duration    time.Duration
}

// RecordStartup records a machine's first heartbeat.
func (b *StartupTimes) RecordStartup(machineType string, requestedAt time.Time, duration time.Duration) {
	if b.latest == nil {
		b.latest = map[string]startup{}
	}
	if !requestedAt.Before(b.latest[machineType].requestedAt) {
		b.latest[machineType] = startup{requestedAt, duration}
	}
}

// overtaken reports whether a machine of the same type that was requested at the same time or later has
// started.
func (b *StartupTimes) overtaken(machineType string, requestedAt time.Time) bool {
	last, ok := b.latest[machineType]
	return ok && !last.requestedAt.Before(requestedAt)
}

// Overdue reports whether a machine of this age that has not started most likely never will, given the
// startup time that is expected of its type. It also returns how long the last one to start took.
func (b *StartupTimes) Overdue(machineType string, requestedAt time.Time, age, expected time.Duration) (overdue bool, latestDuration time.Duration) {
	latestDuration = b.latest[machineType].duration
	tolerated := func(duration time.Duration) time.Duration {
		return time.Duration(tuning.StartupUsualFactor * float64(duration))
	}
	return b.overtaken(machineType, requestedAt) && age > tolerated(expected) && age > tolerated(latestDuration), latestDuration
}

// Deadline returns how long a machine that this leader requested may take to start before it is released.
// While none of those requested since has started either, all of them are late, and the deadline is twice as
// long: a replacement would be as late.
func (b *StartupTimes) Deadline(machineType string, requestedAt time.Time, expected time.Duration) time.Duration {
	deadline := time.Duration(tuning.StartupDeadlineFactor * float64(expected))
	if !b.overtaken(machineType, requestedAt) {
		deadline *= 2
	}
	return deadline
}
