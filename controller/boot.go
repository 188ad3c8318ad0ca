package controller

import (
	"log/slog"
	"time"

	"switchferry/tuning"
)

// Machines come up late, or never. That all of them are late says nothing of one;
// that one is late which later ones have overtaken does.

// boot is how long a machine took to come up, and when it was rented.
type boot struct {
	rented time.Time
	took   time.Duration
}

// cameUp notes that a machine reports for the first time.
func (c *Core) cameUp(m *machine, now time.Time) {
	m.noted = false
	if m.ours && !m.Rented.Before(c.boots[m.Type].rented) {
		c.boots[m.Type] = boot{m.Rented, now.Sub(m.Rented)}
	}
}

// overtaken tells whether a machine of the same type that was rented no earlier is up.
func (c *Core) overtaken(m *machine) bool {
	b, ok := c.boots[m.Type]
	return ok && !b.rented.Before(m.Rented)
}

// overdue tells whether a machine that is not up yet more likely never will be: others
// are rented instead, while it still has its time.
func (c *Core) overdue(m *machine) bool {
	if m.Up || !m.ours || m.Spec == nil || !c.overtaken(m) {
		return false
	}
	age := c.since(m.Rented)
	late := age > seconds(tuning.BootUsual*m.Spec.BootS) && age > time.Duration(tuning.BootUsual*float64(c.boots[m.Type].took))
	if late && !m.noted {
		m.noted = true
		slog.Info("machine overdue", "machine", m.Name, "type", m.Type, "age", age.Round(time.Second), "others_took", c.boots[m.Type].took.Round(time.Second))
	}
	return late
}

// bootLimit is how long a machine may take to come up before it is returned. While
// none of those rented since is up either, all are late, and it is given twice the time:
// returned, it would be replaced by one that is as late.
func (c *Core) bootLimit(m *machine, bootS float64) time.Duration {
	d := seconds(bootS * tuning.BootFactor)
	if m.ours && !c.overtaken(m) {
		d *= 2
	}
	return d
}
