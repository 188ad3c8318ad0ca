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

// tick tells the failure detector that the process is running, and logs a detected pause of it. s.mu must be held.
func (s *Scheduler) tick(now time.Time) {
	if pause := s.detector.Tick(now); pause > 0 {
		slog.Info("process paused", "for", pause.Round(time.Millisecond))
	}
}

// LastContact returns when this leader last received a heartbeat. If the process was paused after that, it returns the
// end of the pause, because nothing could be received during it.
func (s *Scheduler) LastContact() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick(s.now())
	return latest(s.lastHeartbeat, s.detector.ResumedAt())
}

// OutboundLost reports whether this leader can no longer reach any worker while a peer still receives heartbeats. The
// heartbeats may still arrive here through the peer, but no command can be sent directly.
func (s *Scheduler) OutboundLost(peers []peer.Hello) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastContact := latest(s.lastDirectContact, s.detector.ResumedAt())
	if s.unansweredCommands < tuning.IsolationUnansweredCommands || s.since(lastContact) < tuning.IsolationTimeout {
		return false
	}
	return slices.ContainsFunc(peers, func(hello peer.Hello) bool { return hello.ReceivesHeartbeats && hello.StateOK })
}

// heartbeatExpected reports whether a machine should be sending heartbeats. Either a heartbeat of it has arrived in
// this term, and it is certain to have been alive in the term or is in the cloud's list; or the cloud does not list it
// as failed, and the records place tasks on it or the cloud lists it as running. Scheduler.mu must be held.
func (m *machineState) heartbeatExpected() bool {
	if m.Up && (m.link.AliveThisTerm() || m.listed) {
		return true
	}
	return !m.listedFailed && (len(m.allocations) > 0 || m.listedRunning)
}

// observation returns the failure detector's input for a machine, based on its last heartbeat. s.mu must be held.
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

// confirmedObservation returns an observation of a machine in which LastHeartbeat is replaced by the time at which the
// machine last proved that it receives responses or commands. Scheduler.mu must be held.
func confirmedObservation(machine *machineState, observed failuredetector.Observation) failuredetector.Observation {
	observed.LastHeartbeat = machine.link.ConfirmedAt()
	return observed
}

// detectPartitions runs the failure detector, which finds the zones, domains and peers most of whose machines are
// silent, and logs the newly found ones. s.mu must be held.
func (s *Scheduler) detectPartitions(now time.Time) {
	observations := func(yield func(failuredetector.Observation)) {
		for _, machine := range s.machines {
			switch {
			case !machine.heartbeatExpected() || machine.releasing:
			case machine.link.State(now, s.lease()) == reachability.OutboundLost:
				// A zone whose machines receive no commands is treated as one failure, like a silent zone.
				yield(confirmedObservation(machine, s.observation(machine)))
			default:
				yield(s.observation(machine))
			}
		}
	}
	for _, partition := range s.detector.Observe(now, observations, s.zones.ZoneUnreachable) {
		switch {
		case partition.Domain != "":
			slog.Info("most machines of a domain silent", "domain", partition.Domain, "machines", partition.Machines, "heard", partition.Responding)
		case partition.IsZone:
			slog.Info("most machines of a zone silent", "zone", partition.Zone, "machines", partition.Machines, "heard", partition.Responding,
				"controllers_out_of_reach", partition.ControllersUnreachable)
		default:
			slog.Info("most machines behind one controller silent", "through", partition.Via, "machines", partition.Machines, "heard", partition.Responding)
		}
	}
}

// decideMachine decides whether a machine is kept, drained, released to the cloud or forgotten, and returns the reason.
// s.mu must be held.
func (s *Scheduler) decideMachine(machine *machineState, now time.Time) (failuredetector.Action, string) {
	limits := s.detectionLimits(machine)
	state := s.detectionState(machine, now)
	state.StartupExpired = !machine.Up && s.startupExpired(machine, now, limits.ElectionGrace)
	if state.Link == reachability.OutboundLost && !machine.outboundLossLogged {
		machine.outboundLossLogged = true
		slog.Info("machine receives no responses or commands", "machine", machine.Name, "zone", machine.Zone,
			"tasks", len(machine.allocations), "why", machine.link.Reason(now))
	}
	return failuredetector.Decide(state, limits)
}

// detectionLimits returns how long a machine may be silent. Relayed heartbeats take longer to arrive, so their machines
// may be silent for longer. s.mu must be held.
func (s *Scheduler) detectionLimits(machine *machineState) failuredetector.Limits {
	limits := failuredetector.Limits{
		SuspectAfter:  s.heartbeatTimeout(machine),
		ReleaseAfter:  max(tuning.MinReleaseSilence, settings.Seconds(tuning.SilenceHeartbeatIntervals*s.settings.Facts.Workers.HeartbeatIntervalS)),
		ElectionGrace: s.lease() + tuning.NewTermGrace,
		InboundLost:   tuning.InboundLostLeases * s.lease(),
	}
	if machine.relayPeer != "" {
		limits.ReleaseAfter += tuning.RelayRefreshInterval
	}
	return limits
}

// detectionState returns the state of a machine by which the failure detector decides, without StartupExpired. s.mu
// must be held.
func (s *Scheduler) detectionState(machine *machineState, now time.Time) failuredetector.MachineState {
	observed := s.observation(machine)
	confirmed := confirmedObservation(machine, observed)
	silentShare, _ := s.detector.SilentShare(machine.Zone)
	return failuredetector.MachineState{
		Failed:           machine.listedFailed,
		Listed:           machine.listed,
		Up:               machine.Up,
		Link:             machine.link.State(now, s.lease()),
		Tasks:            len(machine.allocations),
		SilentFor:        now.Sub(s.detector.SilentSince(now, observed)),
		UnconfirmedFor:   now.Sub(s.detector.SilentSince(now, confirmed)),
		PreemptionNotice: !machine.PreemptedAt.IsZero(),
		NoticeExpired:    now.After(machine.PreemptedAt.Add(time.Second)),
		Faulty:           s.faulty(machine),
		InboundLost:      s.inboundLost(machine),
		SilentShare:      silentShare,
	}
}

// startupExpired reports whether a machine that has sent no heartbeat should have sent one by now. A machine to which
// the records assign tasks was up before, so it only gets electionGrace, the time to find a new leader. s.mu must be
// held.
func (s *Scheduler) startupExpired(machine *machineState, now time.Time, electionGrace time.Duration) bool {
	bootTime := tuning.DefaultBootTime
	if machine.Spec != nil {
		bootTime = settings.Seconds(machine.Spec.BootS)
	}
	deadline := time.Duration(tuning.StartupDeadlineFactor * float64(bootTime))
	if machine.requestedHere {
		deadline = s.startupTimes.Deadline(machine.Type, machine.RequestedAt, bootTime)
	}
	overdue := len(machine.allocations) > 0 || now.Sub(machine.RequestedAt) > max(electionGrace, deadline)
	return overdue && now.Sub(s.detector.ResumedAt()) > electionGrace
}

// heartbeatOverdue reports whether a machine has been silent for longer than its heartbeat timeout. s.mu must be held.
func (s *Scheduler) heartbeatOverdue(machine *machineState, now time.Time) bool {
	return now.Sub(machine.LastHeartbeat) > s.heartbeatTimeout(machine)
}

// inboundLost reports whether a machine answers commands while its heartbeats reach no controller. s.mu must be held.
func (s *Scheduler) inboundLost(machine *machineState) bool {
	now := s.now()
	return machine.Up && machine.relayPeer == "" && s.heartbeatOverdue(machine, now) &&
		machine.link.InboundLost(now, now.Sub(machine.LastHeartbeat), s.heartbeatTimeout(machine))
}

// probeUnconfirmed sends an empty command list to machines that may not receive commands, the least recently probed
// first, with at most tuning.MaxConcurrentProbes requests in flight. A machine whose heartbeats arrive gets work again
// once it answers. Silent machines are probed as well: one that answers cannot reach any controller, and the
// incarnation in its answer shows whether its lease expired. s.mu must be held.
func (s *Scheduler) probeUnconfirmed(now time.Time) {
	var due []*machineState
	remaining := tuning.MaxConcurrentProbes
	for _, machine := range s.sortedMachines() {
		switch {
		case !s.needsProbe(machine, now):
		case machine.commandInFlight:
			remaining--
		case now.Sub(machine.probedAt) >= settings.Seconds(s.settings.Facts.Workers.HeartbeatIntervalS):
			due = append(due, machine)
		}
	}
	slices.SortStableFunc(due, func(a, b *machineState) int { return a.probedAt.Compare(b.probedAt) })
	for _, machine := range due[:max(0, min(remaining, len(due)))] {
		machine.probedAt = now
		s.sendDirectly(machine, []api.Command{})
	}
}

// needsProbe reports whether it is uncertain that a machine receives commands and a direct command can show whether it
// does. s.mu must be held.
func (s *Scheduler) needsProbe(machine *machineState, now time.Time) bool {
	if !machine.Up || machine.releasing || machine.relayPeer != "" {
		return false
	}
	link := machine.link.State(now, s.lease())
	return s.heartbeatOverdue(machine, now) || link == reachability.Suspected || link == reachability.OutboundLost
}
