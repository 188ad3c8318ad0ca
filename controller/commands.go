package controller

import (
	"log/slog"
	"time"

	"switchferry/api"
)

// stopTask asks for a task to be stopped.
func (s *Scheduler) stopTask(alloc *allocation, grace float64, why string) {
	if alloc.stopping && alloc.stopGraceS <= grace {
		return
	}
	slog.Info("stopping task", "task", alloc.key, "machine", alloc.machine.Name, "why", why, "wind_down_s", grace)
	if !alloc.stopping {
		s.stoppingUsage[alloc.job.Job.Team] = s.stoppingUsage[alloc.job.Job.Team].Add(alloc.job.request)
	}
	alloc.stopping, alloc.stopGraceS = true, grace
	if !alloc.runSent {
		// Never sent by anyone, so it is nowhere.
		s.releaseAllocation(alloc)
		s.requeue(alloc.job, alloc.task)
		return
	}
	s.pushCommands(alloc.machine)
}

// commands derives what to tell a worker from what is wanted and what it
// seen. Repeating them is harmless.
func (s *Scheduler) commands(machine *machineState, path deliveryPath) []api.Command {
	cmds := []api.Command{}
	kill := func(key string, attempt uint64, grace float64) {
		cmds = append(cmds, api.Command{Verb: api.CommandKill, Task: key, Attempt: attempt, GraceS: &grace})
	}
	for _, alloc := range machine.allocations {
		if alloc.stopping && alloc.reported && (alloc.state != api.TaskSaving || alloc.stopGraceS == 0) {
			kill(alloc.key, alloc.attempt, alloc.stopGraceS)
		}
	}
	for key, report := range machine.Tasks {
		if alloc := machine.allocations[key]; alloc != nil && alloc.attempt == report.Attempt {
			continue
		}
		if exit := machine.exited[key]; exit != nil && exit.attempt == report.Attempt {
			// A run of this attempt that is still under way would start it
			// again after a clear.
			if exit.stored && exit.unansweredRuns == 0 {
				cmds = append(cmds, api.Command{Verb: api.CommandClear, Task: key, Attempt: report.Attempt})
			}
			continue
		}
		if report.State != api.TaskExited {
			kill(key, report.Attempt, 0)
		}
	}
	if !s.hooks.Leading() || machine.releasing {
		return cmds
	}
	for _, alloc := range machine.allocations {
		if !alloc.committed || alloc.stopping || alloc.reported || alloc.runSent && (alloc.incarnation == 0 || alloc.incarnation != machine.Incarnation) {
			continue
		}
		if path == byCommandResponse && (alloc.unansweredRuns > 0 || alloc.answeredSeq > 0 || alloc.runRelayed) {
			continue
		}
		ready := true
		for _, victim := range alloc.victims {
			if victim.job.allocations[victim.task] == victim && !(victim.stopping && victim.stopGraceS == 0 && victim.reported) {
				ready = false
			}
		}
		if !ready {
			continue
		}
		alloc.runSent, alloc.incarnation = true, machine.Incarnation
		switch path {
		case byHeartbeat:
			alloc.answeredSeq = machine.Seq
		case byCommandResponse:
			alloc.unansweredRuns++
		case byRelay:
			alloc.runRelayed = true
		}
		slog.Debug("starting task", "task", alloc.key, "machine", machine.Name, "attempt", alloc.attempt, "direct", path == byCommandResponse)
		cmds = append(cmds, api.Command{Verb: api.CommandRun, Task: alloc.key, Attempt: alloc.attempt})
	}
	return cmds
}

// pushCommands sends a machine its commands directly, one request at a time.
func (s *Scheduler) pushCommands(machine *machineState) {
	if !machine.Up || machine.releasing || s.releasedAt[machine.Name] != (time.Time{}) {
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
	cmds := s.commands(machine, byCommandResponse)
	if len(cmds) == 0 {
		return
	}
	machine.commandInFlight = true
	s.hooks.SendCommands(machine.Name, machine.Address, api.HeartbeatResponse{Term: s.term, Incarnation: machine.Incarnation, Commands: cmds})
}

// ConnectionRefused takes in that a machine took no connection for a command.
func (s *Scheduler) ConnectionRefused(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if machine := s.machines[name]; machine != nil {
		machine.link.CommandLost()
	}
}

// CommandsAnswered takes in the outcome of a direct command. Certain: the worker
// encodeResponse, or the command never left; otherwise it may still be executed.
func (s *Scheduler) CommandsAnswered(name string, response api.HeartbeatResponse, heartbeat *api.Heartbeat, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	machine := s.machines[name]
	if machine == nil {
		return
	}
	machine.commandInFlight = false
	if settled {
		for _, command := range response.Commands {
			if command.Verb != api.CommandRun {
				continue
			}
			if alloc := machine.allocations[command.Task]; alloc != nil && alloc.attempt == command.Attempt {
				alloc.unansweredRuns--
				if heartbeat == nil && alloc.unansweredRuns == 0 && !alloc.reported && alloc.answeredSeq == 0 && !alloc.runRelayed {
					alloc.runSent = false
				}
			}
			if exit := machine.exited[command.Task]; exit != nil && exit.attempt == command.Attempt && exit.unansweredRuns > 0 {
				exit.unansweredRuns--
			}
		}
	}
	switch {
	case heartbeat != nil && heartbeat.Machine == name:
		// A worker that answers shows that our own network works.
		s.lastHeartbeat = s.now()
		s.lastDirectContact, s.unansweredCommands = s.lastHeartbeat, 0
		machine.link.CommandAnswered(s.lastHeartbeat, heartbeat.Seq)
		machine.outboundLossLogged = false
	case heartbeat == nil:
		s.unansweredCommands++
		if !settled {
			machine.link.CommandLost()
		}
	}
	// A machine that has not reported in this term has its whole lease to find
	// us; only its own report makes it count as heard.
	if heartbeat != nil && machine.Up && heartbeat.Machine == name && heartbeat.Term <= s.term && machine.Newer(heartbeat) {
		s.reconcile(machine, heartbeat, byCommandResponse)
	}
	resend := machine.resendCommands
	machine.resendCommands = false
	if resend && (settled || heartbeat != nil) {
		s.pushCommands(machine)
	}
}
