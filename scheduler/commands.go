package scheduler

import (
	"log/slog"
	"slices"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/invariant"
)

// stopTask has a task stopped, with so many seconds to save its progress. A task that is being stopped already is only
// given less time, never more. Why is logged. s.mu must be held.
func (s *Scheduler) stopTask(alloc *allocation, graceS float64, why string) {
	if alloc.stopping && alloc.stopGraceS <= graceS {
		return
	}
	slog.Info("stopping task", "task", alloc.key, "machine", alloc.machine.Name, "why", why, "wind_down_s", graceS)
	if !alloc.stopping {
		team := alloc.job.Job.Team
		s.stoppingUsage[team] = s.stoppingUsage[team].Add(alloc.job.request)
	}
	alloc.stopping, alloc.stopGraceS, alloc.stopReason = true, graceS, why
	if !alloc.runSent {
		// No leader has sent the start, so the task is on no machine.
		s.releaseAllocation(alloc, proofNotSent)
		s.requeue(alloc.job, alloc.task)
		return
	}
	if !alloc.starts.none() {
		s.evidence.stopsCrossed++
	}
	s.pushCommands(alloc.machine)
}

// commands derives the commands for a worker from its allocations and from the tasks of its newest heartbeat, and notes
// the runs among them as sent on that path. Commands can be repeated without harm, except that a run after a clear
// starts the attempt again. The result is never nil, as it is encoded as a JSON list. s.mu must be held.
func (s *Scheduler) commands(machine *machineState, path deliveryPath) []api.Command {
	commands := []api.Command{}
	for _, alloc := range machine.allocations {
		// A task that is saving is ended by a second kill with a grace period of 0; other kills are not repeated to it.
		if alloc.stopping && alloc.reported && (alloc.state != api.TaskSaving || alloc.stopGraceS == 0) {
			s.logCommand(api.CommandKill, machine, alloc.attemptOf(), path, alloc.stopReason)
			commands = append(commands, killCommand(alloc.key, alloc.attempt, alloc.stopGraceS))
		}
	}
	for attempt, report := range machine.Attempts {
		if machine.allocationOf(attempt) != nil {
			continue
		}
		if exit := machine.exited[attempt]; exit != nil {
			// Only the worker remembers an exit that is not stored (rule 2), and a run of the attempt that is still under
			// way would start it again after a clear (rule 4).
			if exit.mayClear() {
				s.logCommand(api.CommandClear, machine, attempt, path, "its end is on record, no start under way")
				commands = append(commands, api.Command{Verb: api.CommandClear, Task: attempt.Task, Attempt: attempt.Number})
			}
		} else if report.State != api.TaskExited {
			s.logCommand(api.CommandKill, machine, attempt, path, "no allocation")
			commands = append(commands, killCommand(attempt.Task, attempt.Number, 0))
		}
	}
	if !s.leadership.Leading() || machine.releasing {
		return commands
	}
	for _, alloc := range machine.allocations {
		if alloc.runDue(path) {
			commands = append(commands, s.sendRun(alloc, path))
		}
	}
	return commands
}

// logCommand logs a command for one attempt and why it may be sent, so that the logs of the controllers tell what each of
// them did about a task.
func (s *Scheduler) logCommand(verb string, machine *machineState, attempt fleet.Attempt, path deliveryPath, allowedBy string) {
	slog.Debug("command sent", "verb", verb, "task", attempt.Task, "attempt", attempt.Number, "machine", machine.Name, "incarnation", machine.Incarnation,
		"seq", machine.Seq, "path", path, "term", s.term, "allowed_by", allowedBy)
}

// killCommand returns the command that stops an attempt of a task, with so many seconds to save its progress.
func killCommand(key string, attempt uint64, graceS float64) api.Command {
	return api.Command{Verb: api.CommandKill, Task: key, Attempt: attempt, GraceS: &graceS}
}

// runDue reports whether the command that starts an allocation's attempt is to be sent on a path now. Scheduler.mu must
// be held.
func (a *allocation) runDue(path deliveryPath) bool {
	if !a.committed || a.stopping || a.reported {
		// The allocation must be stored before its command is sent (rule 2 of docs/design.md).
		return false
	}
	if a.runSent && (a.incarnation == 0 || a.incarnation != a.machine.Incarnation) {
		// The run was sent by an earlier leader or to an earlier incarnation of the worker. Whether it arrived is for
		// reconcileMissing to decide (rule 3).
		return false
	}
	if path == byCommandResponse && !a.starts.none() {
		// The run may be under way already. It is repeated in responses to heartbeats alone, whose execution the next
		// heartbeat proves (rule 4).
		return false
	}
	if a.job.terminalStored {
		invariant.Violated("no task of a job that is over is started", "task", a.key, "attempt", a.attempt, "machine", a.machine.Name, "state", a.job.FinalState)
		return false
	}
	if a.job.FinalState != "" {
		// Its tasks are being stopped one after the other, and each stop sends the machine its other commands.
		return false
	}
	return !slices.ContainsFunc(a.victims, (*allocation).blocksSuccessor)
}

// blocksSuccessor reports whether a preempted attempt keeps the task that replaces it from being started: it may still
// be on its machine, and the command that starts the other task does not end it at once. Scheduler.mu must be held.
func (a *allocation) blocksSuccessor() bool {
	released := a.job.allocations[a.task] != a
	endsAtOnce := a.stopping && a.stopGraceS == 0 && a.reported
	return !released && !endsAtOnce
}

// sendRun returns the command that starts an allocation's attempt, and notes that it is sent on that path. s.mu must be
// held.
func (s *Scheduler) sendRun(alloc *allocation, path deliveryPath) api.Command {
	alloc.runSent, alloc.incarnation = true, alloc.machine.Incarnation
	alloc.starts.add(path, alloc.machine.Seq)
	s.logCommand(api.CommandRun, alloc.machine, alloc.attemptOf(), path, "allocation on record")
	return api.Command{Verb: api.CommandRun, Task: alloc.key, Attempt: alloc.attempt}
}

// pushCommands sends a machine its commands without waiting for its next heartbeat: directly, one request at a time, or
// through the relay that its heartbeats come from. s.mu must be held.
func (s *Scheduler) pushCommands(machine *machineState) {
	if !machine.Up || machine.releasing || !s.releasedAt[machine.Name].IsZero() {
		return
	}
	if machine.relayPeer != "" {
		s.relayCommands(machine)
		return
	}
	if machine.commandInFlight {
		machine.resendCommands = true
		return
	}
	if commands := s.commands(machine, byCommandResponse); len(commands) > 0 {
		s.sendDirectly(machine, commands)
	}
}

// sendDirectly sends commands to a worker, whose response CommandsAnswered gets. No other command may be in flight to
// the worker. s.mu must be held.
func (s *Scheduler) sendDirectly(machine *machineState, commands []api.Command) {
	machine.commandInFlight = true
	s.sender.SendCommands(machine.Name, machine.Address, api.HeartbeatResponse{Term: s.term, Incarnation: machine.Incarnation, Commands: commands})
}

// ConnectionRefused notes that a machine refused the connection for a command.
func (s *Scheduler) ConnectionRefused(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if machine := s.machines[name]; machine != nil {
		machine.link.CommandLost()
	}
}

// CommandsAnswered handles the outcome of sent, commands that SendCommands sent to a machine. Heartbeat is the worker's
// response, or nil without one. Settled says that none of the commands can be executed any more that has not been: the
// worker responded, or the request was never sent. Otherwise they may still be executed at any time.
func (s *Scheduler) CommandsAnswered(name string, sent api.HeartbeatResponse, heartbeat *api.Heartbeat, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	machine := s.machines[name]
	if machine == nil {
		return
	}
	machine.commandInFlight = false
	if settled {
		for _, command := range sent.Commands {
			if command.Verb == api.CommandRun {
				machine.settleRun(command, heartbeat != nil)
			}
		}
	}
	s.noteCommandOutcome(machine, heartbeat, settled)
	// A machine that has sent no heartbeat in this term has its whole lease to find this leader: only its own
	// heartbeat makes it count as up.
	if heartbeat != nil && machine.Up && heartbeat.Machine == name && heartbeat.Term <= s.term && machine.Newer(heartbeat) {
		s.reconcile(machine, heartbeat, byCommandResponse)
	}
	resend := machine.resendCommands
	machine.resendCommands = false
	if resend && (settled || heartbeat != nil) {
		s.pushCommands(machine)
	}
}

// settleRun counts one unanswered run command less, as it was answered or never sent. Scheduler.mu must be held.
func (m *machineState) settleRun(command api.Command, answered bool) {
	attempt := fleet.Attempt{Task: command.Task, Number: command.Attempt}
	if alloc := m.allocationOf(attempt); alloc != nil {
		alloc.starts.settleDirect()
		if !answered && !alloc.reported && alloc.starts.none() {
			alloc.runSent = false
		}
	}
	if exit := m.exited[attempt]; exit != nil {
		exit.starts.settleDirect()
	}
}

// noteCommandOutcome notes what the outcome of a direct command shows of the network: a worker that responds receives
// commands, and shows that this controller's own network works. s.mu must be held.
func (s *Scheduler) noteCommandOutcome(machine *machineState, heartbeat *api.Heartbeat, settled bool) {
	switch {
	case heartbeat == nil:
		s.unansweredCommands++
		if !settled {
			machine.link.CommandLost()
		}
	case heartbeat.Machine == machine.Name:
		s.lastHeartbeat = s.now()
		s.lastDirectContact, s.unansweredCommands = s.lastHeartbeat, 0
		machine.link.CommandAnswered(s.lastHeartbeat, heartbeat.Seq)
		machine.outboundLossLogged = false
	}
}
