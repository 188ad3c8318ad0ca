package failuredetector

import (
	"time"

	"switchferry/tuning"
)

// StartupTimes holds, by machine type, the startup time of the machine that was requested last among those that
// have started. Machines may start late or never. If all machines are late, that is no evidence against one of
// them; if machines that were requested later have started, it is. The zero value holds no startup times.
type StartupTimes struct {
	latest map[string]startup
}

// startup is when a machine was requested, and how long it took from then to its first heartbeat.
type startup struct {
	requestedAt time.Time
	duration    time.Duration
}

// RecordStartup records a machine's first heartbeat.
func (times *StartupTimes) RecordStartup(machineType string, requestedAt time.Time, duration time.Duration) {
	if times.latest == nil {
		times.latest = map[string]startup{}
	}
	if !requestedAt.Before(times.latest[machineType].requestedAt) {
		times.latest[machineType] = startup{requestedAt, duration}
	}
}

// overtaken reports whether a machine of the same type that was requested at the same time or later has
// started.
func (times *StartupTimes) overtaken(machineType string, requestedAt time.Time) bool {
	last, ok := times.latest[machineType]
	return ok && !last.requestedAt.Before(requestedAt)
}

// Overdue reports whether a machine of this age that has not started most likely never will, given the expected
// startup time of its type. It also returns the startup time that is held for the type.
func (times *StartupTimes) Overdue(machineType string, requestedAt time.Time, age, expected time.Duration) (overdue bool, latestDuration time.Duration) {
	latestDuration = times.latest[machineType].duration
	tolerated := func(duration time.Duration) time.Duration {
		return time.Duration(tuning.StartupUsualFactor * float64(duration))
	}
	return times.overtaken(machineType, requestedAt) && age > tolerated(expected) && age > tolerated(latestDuration), latestDuration
}

// Deadline returns how long a machine that this leader requested may take to start before it is released. While
// no machine that was requested at the same time or later has started, the deadline is twice as long: all
// machines of the type are late, and a replacement would be as late.
func (times *StartupTimes) Deadline(machineType string, requestedAt time.Time, expected time.Duration) time.Duration {
	deadline := time.Duration(tuning.StartupDeadlineFactor * float64(expected))
	if !times.overtaken(machineType, requestedAt) {
		deadline *= 2
	}
	return deadline
}
