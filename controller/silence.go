package controller

import (
	"log/slog"
	"slices"
	"time"

	"switchferry/evidence"
	"switchferry/peer"
	"switchferry/tuning"
)

// beat notes that the leader does its rounds.
func (c *Core) beat(now time.Time) {
	if stood := c.silence.Beat(now); stood > 0 {
		slog.Info("stood still", "for", stood.Round(time.Millisecond))
	}
}

// listening is since when this leader hears nobody, as far as it could.
func (c *Core) listening() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beat(c.now())
	return latest(c.heard, c.silence.Woke())
}

// deafened tells whether this leader reaches no worker any more while a sibling hears
// them: reports come through that one, but no command goes out at once.
func (c *Core) deafened(siblings []peer.Hello) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed < tuning.DeafCommands || c.since(latest(c.reached, c.silence.Woke())) < tuning.DeafAfter {
		return false
	}
	return slices.ContainsFunc(siblings, func(h peer.Hello) bool { return h.HearsWorkers && h.StateOK })
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reports tells whether a machine should report by now: it did in this term, or it is
// recorded to have tasks, or the cloud lists it as up.
func (m *machine) reports() bool {
	return m.Up || !m.failed && (len(m.assigns) > 0 || m.running)
}

func (c *Core) sighting(m *machine) evidence.Sighting {
	s := evidence.Sighting{Zone: m.Zone, Via: m.via, Quiet: c.quiet(m)}
	if m.Up {
		s.Heard = m.Heard
	}
	if c.where != nil {
		s.Domains = c.where.tree.Path(m.Name)
	}
	return s
}

// noteBlindness looks whether whole zones or ways are unheard.
func (c *Core) noteBlindness(now time.Time) {
	found := c.silence.Look(now, func(yield func(evidence.Sighting)) {
		for _, m := range c.machines {
			if m.reports() && !m.returning {
				yield(c.sighting(m))
			}
		}
	}, c.hooks.Cut)
	for _, f := range found {
		if f.Domain != "" {
			slog.Info("most machines of a domain unheard", "domain", f.Domain, "machines", f.Machines, "heard", f.Heard)
		} else if f.IsZone {
			slog.Info("most machines of a zone unheard", "zone", f.Zone, "machines", f.Machines, "heard", f.Heard, "controllers_out_of_reach", f.Cut)
		} else {
			slog.Info("most machines of one way unheard", "through", f.Via, "machines", f.Machines, "heard", f.Heard)
		}
	}
}

// unheard is how long a machine's quiet counts against it.
func (c *Core) unheard(m *machine, now time.Time) time.Duration {
	return now.Sub(c.silence.Since(now, c.sighting(m)))
}

// silent is how long a machine may be unheard before it is given up.
func (c *Core) silent() time.Duration {
	return max(tuning.SilentMin, seconds(tuning.SilentReports*c.set.Facts.Workers.ReportS))
}

func relayDelay(m *machine) time.Duration {
	if m.relay != "" {
		return tuning.RelayKeep
	}
	return 0
}
