package controller

import (
	"log/slog"
	"slices"
	"time"

	"switchferry/peer"
	"switchferry/tuning"
)

// silence says since when the quiet of machines counts against them. A machine is
// given up when it is unheard for a few report intervals; but what we could not have
// heard is no evidence: while we stood still ourselves, while most of a zone is
// unheard, or while most of those are unheard whose reports came the same way.
type silence struct {
	// beat is when this leader last did its rounds; woke is the end of the last
	// standstill.
	beat, woke time.Time
	// zones and ways are when most machines of a zone, or most of those whose
	// reports came through one controller, were last unheard.
	zones, ways map[string]time.Time
}

func newSilence(now time.Time) silence {
	return silence{beat: now, zones: map[string]time.Time{}, ways: map[string]time.Time{}}
}

// beat notes that the leader does its rounds. A gap that no load explains is a
// standstill: reports that came meanwhile are still to be read, and workers that
// turned away meanwhile are still to come back.
func (c *Core) beat(now time.Time) {
	if gap := now.Sub(c.silence.beat); gap > tuning.StandstillMin {
		c.silence.woke = now
		slog.Info("stood still", "for", gap.Round(time.Millisecond))
	}
	c.silence.beat = now
}

// listening is since when this leader hears nobody, as far as it could.
func (c *Core) listening() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beat(c.now())
	return latest(c.heard, c.silence.woke)
}

// deafened tells whether this leader reaches no worker any more while a sibling hears
// them: reports come through that one, but no command goes out at once.
func (c *Core) deafened(siblings []peer.Hello) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed < tuning.DeafCommands || c.since(latest(c.reached, c.silence.woke)) < tuning.DeafAfter {
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

// noteBlindness looks whether whole zones or ways are unheard.
func (c *Core) noteBlindness(now time.Time) {
	type count struct{ up, heard int }
	zones, ways := map[string]*count{}, map[string]*count{}
	add := func(in map[string]*count, key string, heard bool) {
		if in[key] == nil {
			in[key] = &count{}
		}
		in[key].up++
		if heard {
			in[key].heard++
		}
	}
	for _, m := range c.machines {
		if m.Up {
			heard := now.Sub(m.Heard) < c.quiet(m)
			add(zones, m.Zone, heard)
			add(ways, m.via, heard)
		}
	}
	for zone, n := range zones {
		if n.up > 1 && (2*n.heard < n.up || c.hooks.Cut(zone)) {
			c.silence.zones[zone] = now
		}
	}
	for way, n := range ways {
		if n.up > 1 && 2*n.heard < n.up {
			if now.Sub(c.silence.ways[way]) > c.silent() {
				slog.Info("most machines of one way unheard", "through", way, "machines", n.up, "heard", n.heard)
			}
			c.silence.ways[way] = now
		}
	}
}

// unheard is how long a machine's quiet counts against it.
func (c *Core) unheard(m *machine, now time.Time) time.Duration {
	from, since := m.Heard, now.Sub(m.Heard)
	lease := seconds(c.set.Facts.Workers.LeaseS)
	if since <= tuning.CutLeases*lease {
		// More likely the way to the zone is cut than its machines are gone:
		// they need time to find a sibling that relays for them, and its zone's
		// controllers may be keeping their tasks alive.
		from = latest(from, c.silence.zones[m.Zone])
	}
	if since <= lease {
		// The controller that their reports came through is silent: they turn
		// to the next one in half a lease. Past a whole one nothing on them
		// lives any more.
		from = latest(from, c.silence.ways[m.via])
	}
	if since <= 2*lease {
		from = latest(from, c.silence.woke)
	}
	return now.Sub(from)
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
