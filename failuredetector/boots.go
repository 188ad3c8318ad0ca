package failuredetector

import (
	"time"

	"switchferry/tuning"
)

// StartupTimes tells, by machine type, how long the machine took that came up of those rented last. Machines come up late, or
// never: that all of them are late says nothing of one, that one is late which later ones have overtaken does. The
// zero value knows of none.
type StartupTimes struct{ last map[string]boot }

// boot is how long a machine took to come up, and when it was rented.
type boot struct {
	rented time.Time
	took   time.Duration
}

// RecordStartup notes that a machine reports for the first time.
func (b *StartupTimes) RecordStartup(typ string, rented time.Time, took time.Duration) {
	if b.last == nil {
		b.last = map[string]boot{}
	}
	if !rented.Before(b.last[typ].rented) {
		b.last[typ] = boot{rented, took}
	}
}

// Overtaken tells whether a machine of the same type that was rented no earlier is up.
func (b *StartupTimes) Overtaken(typ string, rented time.Time) bool {
	last, ok := b.last[typ]
	return ok && !last.rented.Before(rented)
}

// Overdue tells whether a machine that is not up yet more likely never will be, and how long others took. Ready is
// what its type usually takes.
func (b *StartupTimes) Overdue(typ string, rented time.Time, age, ready time.Duration) (late bool, others time.Duration) {
	others = b.last[typ].took
	usual := func(d time.Duration) time.Duration { return time.Duration(tuning.BootUsual * float64(d)) }
	return b.Overtaken(typ, rented) && age > usual(ready) && age > usual(others), others
}

// Deadline is how long a machine that this leader rented may take to come up before it is returned. While none of those
// rented since is up either, all are late, and it is given twice the time: returned, it would be replaced by one that
// is as late.
func (b *StartupTimes) Deadline(typ string, rented time.Time, ready time.Duration) time.Duration {
	d := time.Duration(tuning.BootFactor * float64(ready))
	if !b.Overtaken(typ, rented) {
		d *= 2
	}
	return d
}
