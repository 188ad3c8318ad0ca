package failuredetector

import (
	"time"

	"switchferry/tuning"
)

// StartupTimes tells, by machine type, how long the machine took that came up of those rented last. Machines come up late, or
// never: that all of them are late says nothing of one, that one is late which later ones have overtaken does. The
// zero value knows of none.
type StartupTimes struct{ latest map[string]startup }

// startup is how long a machine took to come up, and when it was rented.
type startup struct {
	requestedAt time.Time
	duration    time.Duration
}

// RecordStartup notes that a machine reports for the first time.
func (b *StartupTimes) RecordStartup(machineType string, requestedAt time.Time, duration time.Duration) {
	if b.latest == nil {
		b.latest = map[string]startup{}
	}
	if !requestedAt.Before(b.latest[machineType].requestedAt) {
		b.latest[machineType] = startup{requestedAt, duration}
	}
}

// overtaken tells whether a machine of the same type that was rented no earlier is up.
func (b *StartupTimes) overtaken(machineType string, requestedAt time.Time) bool {
	last, ok := b.latest[machineType]
	return ok && !last.requestedAt.Before(requestedAt)
}

// Overdue tells whether a machine that is not up yet more likely never will be, and how long others took. Ready is
// what its type usually takes.
func (b *StartupTimes) Overdue(machineType string, requestedAt time.Time, age, expected time.Duration) (overdue bool, latestDuration time.Duration) {
	latestDuration = b.latest[machineType].duration
	tolerated := func(deadline time.Duration) time.Duration { return time.Duration(tuning.BootUsual * float64(deadline)) }
	return b.overtaken(machineType, requestedAt) && age > tolerated(expected) && age > tolerated(latestDuration), latestDuration
}

// Deadline is how long a machine that this leader rented may take to come up before it is returned. While none of those
// requestedAt since is up either, all are late, and it is given twice the time: returned, it would be replaced by one that
// is as late.
func (b *StartupTimes) Deadline(machineType string, requestedAt time.Time, expected time.Duration) time.Duration {
	deadline := time.Duration(tuning.BootFactor * float64(expected))
	if !b.overtaken(machineType, requestedAt) {
		deadline *= 2
	}
	return deadline
}
