package controller

import (
	"log/slog"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/failuredetector"
	"switchferry/peer"
	"switchferry/reachability"
	"switchferry/tuning"
)

// beat notes that the leader does its rounds.
func (c *Core) beat(now time.Time) {
	if stood := c.silence.Tick(now); stood > 0 {
		slog.Info("stood still", "for", stood.Round(time.Millisecond))
	}
}

// listening is since when this leader hears nobody, as far as it could.
func (c *Core) listening() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beat(c.now())
	return latest(c.heard, c.silence.ResumedAt())
}

// deafened tells whether this leader reaches no worker any more while a sibling hears
// them: reports come through that one, but no command goes out at once.
func (c *Core) deafened(siblings []peer.Hello) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed < tuning.DeafCommands || c.since(latest(c.reached, c.silence.ResumedAt())) < tuning.DeafAfter {
		return false
	}
	return slices.ContainsFunc(siblings, func(h peer.Hello) bool { return h.ReceivesHeartbeats && h.StateOK })
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reports tells whether a machine should report by now: it certainly did in this term, or it is
// recorded to have tasks, or the cloud lists it as up.
func (m *machine) reports() bool {
	return m.Up && (m.line.AliveThisTerm() || m.listed) || !m.failed && (len(m.assigns) > 0 || m.running)
}

// sighting tells when a machine was last heard.
func (c *Core) sighting(m *machine) failuredetector.Observation {
	s := failuredetector.Observation{Zone: m.Zone, Via: m.via, Timeout: c.quiet(m)}
	if m.Up {
		s.LastHeartbeat = m.LastHeartbeat
	}
	if c.where != nil {
		s.Domains = c.where.tree.Path(m.Name)
	}
	return s
}

// noteBlindness looks whether whole zones or ways are unheard.
func (c *Core) noteBlindness(now time.Time) {
	found := c.silence.Observe(now, func(yield func(failuredetector.Observation)) {
		for _, m := range c.machines {
			if m.reports() && !m.returning {
				s := c.sighting(m)
				if m.line.State(now, c.lease()) == reachability.OutboundLost {
					// A zone of such machines is one failure, as a silent one is.
					s.LastHeartbeat = m.line.ConfirmedAt()
				}
				yield(s)
			}
		}
	}, c.hooks.Cut)
	for _, f := range found {
		if f.Domain != "" {
			slog.Info("most machines of a domain unheard", "domain", f.Domain, "machines", f.Machines, "heard", f.Responding)
		} else if f.IsZone {
			slog.Info("most machines of a zone unheard", "zone", f.Zone, "machines", f.Machines, "heard", f.Responding, "controllers_out_of_reach", f.Cut)
		} else {
			slog.Info("most machines of one way unheard", "through", f.Via, "machines", f.Machines, "heard", f.Responding)
		}
	}
}

// judge tells what becomes of a machine.
func (c *Core) judge(m *machine, now time.Time) (failuredetector.Action, string) {
	l := failuredetector.Limits{SuspectAfter: c.quiet(m), ReleaseAfter: max(tuning.SilentMin, seconds(tuning.SilentReports*c.set.Facts.Workers.ReportS)),
		ElectionGrace: c.lease() + tuning.NewTermGrace, InboundLost: tuning.MuteLeases * c.lease()}
	if m.relay != "" {
		l.ReleaseAfter += tuning.RelayKeep
	}
	heard := c.sighting(m)
	hears := heard
	hears.LastHeartbeat = m.line.ConfirmedAt()
	x := failuredetector.MachineState{Failed: m.failed, Listed: m.listed, Up: m.Up, Link: m.line.State(now, c.lease()), Tasks: len(m.assigns),
		SilentFor: now.Sub(c.silence.SilentSince(now, heard)), UnconfirmedFor: now.Sub(c.silence.SilentSince(now, hears)),
		PreemptionNotice: !m.PreemptedAt.IsZero(), NoticeExpired: now.After(m.PreemptedAt.Add(time.Second)), Faulty: c.suspect(m)}
	x.InboundLost = c.mute(m)
	x.SilentShare, _ = c.silence.SilentShare(m.Zone)
	if !m.Up {
		ready := tuning.ReadyUnknown
		if m.Spec != nil {
			ready = seconds(m.Spec.BootS)
		}
		limit := time.Duration(tuning.BootFactor * float64(ready))
		if m.ours {
			limit = c.boots.Deadline(m.Type, m.RequestedAt, ready)
		}
		x.StartupExpired = (len(m.assigns) > 0 || now.Sub(m.RequestedAt) > max(l.ElectionGrace, limit)) && now.Sub(c.silence.ResumedAt()) > l.ElectionGrace
	}
	if x.Link == reachability.OutboundLost && !m.deafTold {
		m.deafTold = true
		slog.Info("machine half-deaf: its reports arrive, answers and commands do not reach it", "machine", m.Name, "zone", m.Zone,
			"tasks", len(m.assigns), "why", m.line.Reason(now))
	}
	return failuredetector.Decide(x, l)
}

// mute tells whether a machine answers commands while it reaches no controller.
func (c *Core) mute(m *machine) bool {
	return m.Up && m.relay == "" && c.since(m.LastHeartbeat) > c.quiet(m) && m.line.InboundLost(c.now(), c.since(m.LastHeartbeat), c.quiet(m))
}

// askDoubtful asks some machines that are heard, and do not show that they hear, by an empty command: an answer is
// proof, and they get work again. It asks those that are no longer heard, too: one that answers reaches no
// controller, and what its lease has ended is known by the session of its answer.
func (c *Core) askDoubtful(now time.Time) {
	var due []*machine
	left := tuning.AsksAtOnce
	for _, m := range c.byName() {
		s := m.line.State(now, c.lease())
		silent := now.Sub(m.LastHeartbeat) > c.quiet(m)
		switch {
		case !m.Up || m.returning || m.relay != "" || !silent && s != reachability.Suspected && s != reachability.OutboundLost:
		case m.sending:
			left--
		case now.Sub(m.asked) >= seconds(c.set.Facts.Workers.ReportS):
			due = append(due, m)
		}
	}
	slices.SortStableFunc(due, func(a, b *machine) int { return a.asked.Compare(b.asked) })
	for _, m := range due[:max(0, min(left, len(due)))] {
		m.sending, m.asked = true, now
		c.hooks.Send(m.Name, m.Address, api.HeartbeatResponse{Term: c.term, Incarnation: m.Incarnation, Commands: []api.Command{}})
	}
}
