package scheduler

import (
	"log/slog"
	"slices"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/invariant"
)

// stopTask stops a task with a grace period of graceS seconds, in which it can save its progress. The grace period of a
// task that is already being stopped can be shortened but not extended. reason is logged. s.mu must be held.
func (s *Scheduler) stopTask(alloc *allocation, graceS float64, reason string) {
	if alloc.stopping && alloc.stopGraceS <= graceS {
		return
	}
	slog.Info("stopping task", "task", alloc.key, "machine", alloc.machine.Name, "why", reason, "wind_down_s", graceS)
	if !alloc.stopping {
		team := alloc.job.Job.Team
		s.stoppingUsage[team] = s.stoppingUsage[team].Add(alloc.job.request)
	}
	alloc.stopping, alloc.stopGraceS, alloc.stopReason = true, graceS, reason
	if !alloc.runSent {
		// No leader has sent the run command, so the task is on no machine.
		s.releaseAllocation(alloc, proofNotSent)
		s.requeue(alloc.job, alloc.task)
		return
	}
	if !alloc.starts.isEmpty() {
		s.releaseStats.stopsCrossed++
		slog.Info("stopping task whose start may still be executed", "task", alloc.key, "attempt", alloc.attempt, "machine", alloc.machine.Name,
			"incarnation", alloc.incarnation, "unanswered_starts", alloc.starts.direct, "start_in_response_to", alloc.starts.responseSeq,
			"start_relayed_up_to", alloc.starts.relayedSeq, "start_token", alloc.startToken, "committed", s.records.CommittedRevision())
	}
	s.pushCommands(alloc.machine)
}

// commands derives the commands for a worker from its allocations and from the tasks in its newest heartbeat, and
// records the run commands among them as sent on path. Commands are idempotent, except that a run after a clear starts
// the attempt again. The result is never nil, because it must be encoded as a JSON array. s.mu must be held.
func (s *Scheduler) commands(machine *machineState, path deliveryPath) []api.Command {
	commands := []api.Command{}
	if path == byHeartbeat {
		// A raise in a direct command could overtake the response to a heartbeat, which the worker would then drop, so that
		// its lease would not be renewed.
		s.raiseToken(machine)
	}
	token := s.executionToken(machine, path)
	for _, alloc := range machine.allocations {
		// While a task saves its progress, the kill is repeated only with a grace period of 0, which ends it at once.
		if alloc.stopping && alloc.reported && (alloc.state != api.TaskSaving || alloc.stopGraceS == 0) {
			s.logCommand(api.CommandKill, machine, alloc.attemptID(), path, alloc.stopReason)
			commands = append(commands, killCommand(alloc.key, alloc.attempt, alloc.stopGraceS))
		}
	}
	for attempt, report := range machine.Attempts {
		if machine.allocationOf(attempt) != nil {
			continue
		}
		if exit := machine.exited[attempt]; exit != nil {
			// An exit that is not stored is known only to the worker (rule 2), and a run command still in transit, or a
			// copy of one, would start the attempt again after a clear (rule 4).
			if s.clearable(exit, token) {
				s.logCommand(api.CommandClear, machine, attempt, path, "its end is on record, no start can be executed")
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
			commands = append(commands, s.issueRunCommand(alloc, path))
		}
	}
	return commands
}

// logCommand logs a command for one attempt and why it may be sent, so that the logs show what each controller did with
// a task.
func (s *Scheduler) logCommand(verb string, machine *machineState, attempt fleet.Attempt, path deliveryPath, allowedBy string) {
	slog.Debug("command sent", "verb", verb, "task", attempt.Task, "attempt", attempt.Number, "machine", machine.Name, "incarnation", machine.Incarnation,
		"seq", machine.Seq, "path", path, "term", s.term, "token", s.token(machine), "allowed_by", allowedBy)
}

// killCommand returns the command that stops an attempt of a task with a grace period of graceS seconds.
func killCommand(key string, attempt uint64, graceS float64) api.Command {
	return api.Command{Verb: api.CommandKill, Task: key, Attempt: attempt, GraceS: &graceS}
}

// runDue reports whether the run command of an allocation's attempt should be sent on path now. Scheduler.mu must be
// held.
func (a *allocation) runDue(path deliveryPath) bool {
	if !a.committed || a.stopping || a.reported {
		// The allocation must be stored before its run command is sent (rule 2 of docs/design.md).
		return false
	}
	if a.runSent && (a.incarnation == 0 || a.incarnation != a.machine.Incarnation) {
		// The run command was sent by an earlier leader or to an earlier incarnation of the worker. reconcileMissing
		// decides whether it arrived (rule 3).
		return false
	}
	if path == byCommandResponse && !a.starts.isEmpty() {
		// A run command may already be in transit. It is repeated only in responses to heartbeats, because the next
		// heartbeat proves that the worker executed or dropped such a response (rule 4).
		return false
	}
	if a.job.terminalStored {
		invariant.Violated("no task of a job in a terminal state is started", "task", a.key, "attempt", a.attempt, "machine", a.machine.Name, "state", a.job.FinalState)
		return false
	}
	if a.job.FinalState != "" {
		// The job's tasks are being stopped one by one, and each stop also sends the machine its other commands.
		return false
	}
	return !slices.ContainsFunc(a.victims, (*allocation).blocksSuccessor)
}

// blocksSuccessor reports whether a preempted attempt prevents the start of the task that replaces it: the attempt may
// still be on its machine, and the message with the run command does not kill it at once. Scheduler.mu must be held.
func (a *allocation) blocksSuccessor() bool {
	released := a.job.allocations[a.task] != a
	endsAtOnce := a.stopping && a.stopGraceS == 0 && a.reported
	return !released && !endsAtOnce
}

// issueRunCommand returns the command that starts an allocation's attempt, and records it as sent on path. s.mu must be
// held.
func (s *Scheduler) issueRunCommand(alloc *allocation, path deliveryPath) api.Command {
	alloc.runSent, alloc.incarnation = true, alloc.machine.Incarnation
	alloc.starts.add(path, alloc.machine.Seq)
	alloc.startToken = s.token(alloc.machine)
	s.logCommand(api.CommandRun, alloc.machine, alloc.attemptID(), path, "allocation on record")
	return api.Command{Verb: api.CommandRun, Task: alloc.key, Attempt: alloc.attempt}
}

// pushCommands sends a machine its commands without waiting for its next heartbeat: directly, with at most one request
// in flight, or through the peer that relays its heartbeats. s.mu must be held.
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

// sendDirectly sends commands to a worker; HandleCommandOutcome handles the outcome. No other direct command may be in
// flight to the worker. s.mu must be held.
func (s *Scheduler) sendDirectly(machine *machineState, commands []api.Command) {
	machine.commandInFlight = true
	s.sender.SendCommands(machine.Name, machine.Address, api.HeartbeatResponse{Term: s.token(machine), Incarnation: machine.Incarnation, Commands: commands})
}

// ConnectionRefused records that a machine refused the connection over which a command was to be sent.
func (s *Scheduler) ConnectionRefused(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if machine := s.machines[name]; machine != nil {
		machine.link.CommandLost()
	}
}

// HandleCommandOutcome handles the outcome of a call of SendCommands with the response sent. heartbeat is the worker's
// answer, or nil if there was none. settled means that no command of the request can be executed from now on, because
// the worker answered or the request was never sent; otherwise the commands may still be executed at any time.
func (s *Scheduler) HandleCommandOutcome(name string, sent api.HeartbeatResponse, heartbeat *api.Heartbeat, settled bool) {
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
	// A machine that has sent no heartbeat in this term has a full lease to find this leader. Only a heartbeat that it
	// sends itself marks it as up.
	if heartbeat != nil && machine.Up && heartbeat.Machine == name && !s.FromLaterTerm(heartbeat.Term) && machine.Newer(heartbeat) {
		s.reconcile(machine, heartbeat, byCommandResponse)
	}
	if heartbeat != nil && sent.Term < heartbeat.Term {
		// The worker got a raised token first and executed nothing. The response with that token had the commands as well.
		s.releaseStats.commandsFenced++
	}
	resend := machine.resendCommands
	machine.resendCommands = false
	if resend && (settled || heartbeat != nil) {
		s.pushCommands(machine)
	}
}

// settleRun removes a direct run command that was answered or never sent from the pending starts of its attempt.
// Scheduler.mu must be held.
func (m *machineState) settleRun(command api.Command, answered bool) {
	attempt := fleet.Attempt{Task: command.Task, Number: command.Attempt}
	if alloc := m.allocationOf(attempt); alloc != nil {
		alloc.starts.settleDirect()
		if !answered && !alloc.reported && alloc.starts.isEmpty() {
			alloc.runSent = false
		}
	}
	if exit := m.exited[attempt]; exit != nil {
		exit.starts.settleDirect()
	}
}

// noteCommandOutcome updates the reachability of a machine and of this controller from the outcome of a direct command.
// A worker that answers receives commands, which also proves that this controller's outbound connections work. s.mu
// must be held.
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
