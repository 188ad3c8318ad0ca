package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/failuredetector"
	"switchferry/peer"
	"switchferry/reachability"
	"switchferry/settings"
	"switchferry/tuning"
)

// tick notes that the leader does its rounds.
func (s *Scheduler) tick(now time.Time) {
	if stood := s.detector.Tick(now); stood > 0 {
		slog.Info("stood still", "for", stood.Round(time.Millisecond))
	}
}

// LastContact is since when this leader hears nobody, as far as it could.
func (s *Scheduler) LastContact() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick(s.now())
	return latest(s.lastHeartbeat, s.detector.ResumedAt())
}

// OutboundLost tells whether this leader reaches no worker any more while a sibling hears
// them: reports come through that one, but no command goes out at once.
func (s *Scheduler) OutboundLost(siblings []peer.Hello) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unansweredCommands < tuning.DeafCommands || s.since(latest(s.lastDirectContact, s.detector.ResumedAt())) < tuning.DeafAfter {
		return false
	}
	return slices.ContainsFunc(siblings, func(h peer.Hello) bool { return h.ReceivesHeartbeats && h.StateOK })
}

// expectedToReport tells whether a machine should report by now: it certainly did in this term, or it is
// recorded to have tasks, or the cloud lists it as up.
func (m *machineState) expectedToReport() bool {
	return m.Up && (m.link.AliveThisTerm() || m.listed) || !m.listedFailed && (len(m.allocations) > 0 || m.listedRunning)
}

// observation tells when a machine was last heard.
func (s *Scheduler) observation(machine *machineState) failuredetector.Observation {
	observed := failuredetector.Observation{Zone: machine.Zone, Via: machine.lastPeer, Timeout: s.heartbeatTimeout(machine)}
	if machine.Up {
		observed.LastHeartbeat = machine.LastHeartbeat
	}
	if s.topology != nil {
		observed.Domains = s.topology.tree.Path(machine.Name)
	}
	return observed
}

// detectPartitions looks whether whole zones or ways are unheard.
func (s *Scheduler) detectPartitions(now time.Time) {
	found := s.detector.Observe(now, func(yield func(failuredetector.Observation)) {
		for _, machine := range s.machines {
			if machine.expectedToReport() && !machine.releasing {
				observed := s.observation(machine)
				if machine.link.State(now, s.lease()) == reachability.OutboundLost {
					// A zone of such machines is one failure, as a silent one is.
					observed.LastHeartbeat = machine.link.ConfirmedAt()
				}
				yield(observed)
			}
		}
	}, s.hooks.ZoneUnreachable)
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

// decideMachine tells what becomes of a machine.
func (s *Scheduler) decideMachine(machine *machineState, now time.Time) (failuredetector.Action, string) {
	l := failuredetector.Limits{SuspectAfter: s.heartbeatTimeout(machine), ReleaseAfter: max(tuning.SilentMin, settings.Seconds(tuning.SilentReports*s.settings.Facts.Workers.ReportS)),
		ElectionGrace: s.lease() + tuning.NewTermGrace, InboundLost: tuning.MuteLeases * s.lease()}
	if machine.relayPeer != "" {
		l.ReleaseAfter += tuning.RelayKeep
	}
	heard := s.observation(machine)
	hears := heard
	hears.LastHeartbeat = machine.link.ConfirmedAt()
	x := failuredetector.MachineState{Failed: machine.listedFailed, Listed: machine.listed, Up: machine.Up, Link: machine.link.State(now, s.lease()), Tasks: len(machine.allocations),
		SilentFor: now.Sub(s.detector.SilentSince(now, heard)), UnconfirmedFor: now.Sub(s.detector.SilentSince(now, hears)),
		PreemptionNotice: !machine.PreemptedAt.IsZero(), NoticeExpired: now.After(machine.PreemptedAt.Add(time.Second)), Faulty: s.faulty(machine)}
	x.InboundLost = s.inboundLost(machine)
	x.SilentShare, _ = s.detector.SilentShare(machine.Zone)
	if !machine.Up {
		ready := tuning.ReadyUnknown
		if machine.Spec != nil {
			ready = settings.Seconds(machine.Spec.BootS)
		}
		limit := time.Duration(tuning.BootFactor * float64(ready))
		if machine.requestedHere {
			limit = s.startupTimes.Deadline(machine.Type, machine.RequestedAt, ready)
		}
		x.StartupExpired = (len(machine.allocations) > 0 || now.Sub(machine.RequestedAt) > max(l.ElectionGrace, limit)) && now.Sub(s.detector.ResumedAt()) > l.ElectionGrace
	}
	if x.Link == reachability.OutboundLost && !machine.outboundLossLogged {
		machine.outboundLossLogged = true
		slog.Info("machine half-deaf: its reports arrive, answers and commands do not reach it", "machine", machine.Name, "zone", machine.Zone,
			"tasks", len(machine.allocations), "why", machine.link.Reason(now))
	}
	return failuredetector.Decide(x, l)
}

// inboundLost tells whether a machine answers commands while it reaches no controller.
func (s *Scheduler) inboundLost(machine *machineState) bool {
	return machine.Up && machine.relayPeer == "" && s.since(machine.LastHeartbeat) > s.heartbeatTimeout(machine) && machine.link.InboundLost(s.now(), s.since(machine.LastHeartbeat), s.heartbeatTimeout(machine))
}

// probeUnconfirmed asks some machines that are heard, and do not show that they hear, by an empty command: an answer is
// proof, and they get work again. It asks those that are no longer heard, too: one that answers reaches no
// controller, and what its lease has ended is known by the session of its answer.
func (s *Scheduler) probeUnconfirmed(now time.Time) {
	var due []*machineState
	left := tuning.AsksAtOnce
	for _, machine := range s.sortedMachines() {
		state := machine.link.State(now, s.lease())
		silent := now.Sub(machine.LastHeartbeat) > s.heartbeatTimeout(machine)
		switch {
		case !machine.Up || machine.releasing || machine.relayPeer != "" || !silent && state != reachability.Suspected && state != reachability.OutboundLost:
		case machine.commandInFlight:
			left--
		case now.Sub(machine.probedAt) >= settings.Seconds(s.settings.Facts.Workers.ReportS):
			due = append(due, machine)
		}
	}
	slices.SortStableFunc(due, func(a, b *machineState) int { return a.probedAt.Compare(b.probedAt) })
	for _, machine := range due[:max(0, min(left, len(due)))] {
		machine.commandInFlight, machine.probedAt = true, now
		s.hooks.SendCommands(machine.Name, machine.Address, api.HeartbeatResponse{Term: s.term, Incarnation: machine.Incarnation, Commands: []api.Command{}})
	}
}
