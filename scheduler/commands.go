package scheduler

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
func (s *Scheduler) commands(machine *machineState, by deliveryPath) []api.Command {
	out := []api.Command{}
	kill := func(key string, attempt uint64, grace float64) {
		out = append(out, api.Command{Verb: api.CommandKill, Task: key, Attempt: attempt, GraceS: &grace})
	}
	for _, alloc := range machine.allocations {
		if alloc.stopping && alloc.reported && (alloc.state != api.TaskSaving || alloc.stopGraceS == 0) {
			kill(alloc.key, alloc.attempt, alloc.stopGraceS)
		}
	}
	for key, t := range machine.Tasks {
		if alloc := machine.allocations[key]; alloc != nil && alloc.attempt == t.Attempt {
			continue
		}
		if e := machine.exited[key]; e != nil && e.attempt == t.Attempt {
			// A run of this attempt that is still under way would start it
			// again after a clear.
			if e.stored && e.unansweredRuns == 0 {
				out = append(out, api.Command{Verb: api.CommandClear, Task: key, Attempt: t.Attempt})
			}
			continue
		}
		if t.State != api.TaskExited {
			kill(key, t.Attempt, 0)
		}
	}
	if !s.hooks.Leading() || machine.releasing {
		return out
	}
	for _, alloc := range machine.allocations {
		if !alloc.committed || alloc.stopping || alloc.reported || alloc.runSent && (alloc.incarnation == 0 || alloc.incarnation != machine.Incarnation) {
			continue
		}
		if by == byOrders && (alloc.unansweredRuns > 0 || alloc.answeredSeq > 0 || alloc.runRelayed) {
			continue
		}
		ready := true
		for _, v := range alloc.victims {
			if v.job.allocations[v.task] == v && !(v.stopping && v.stopGraceS == 0 && v.reported) {
				ready = false
			}
		}
		if !ready {
			continue
		}
		alloc.runSent, alloc.incarnation = true, machine.Incarnation
		switch by {
		case byReport:
			alloc.answeredSeq = machine.Seq
		case byOrders:
			alloc.unansweredRuns++
		case byRelay:
			alloc.runRelayed = true
		}
		slog.Debug("starting task", "task", alloc.key, "machine", machine.Name, "attempt", alloc.attempt, "direct", by == byOrders)
		out = append(out, api.Command{Verb: api.CommandRun, Task: alloc.key, Attempt: alloc.attempt})
	}
	return out
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
	cmds := s.commands(machine, byOrders)
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
func (s *Scheduler) CommandsAnswered(name string, o api.HeartbeatResponse, r *api.Heartbeat, certain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	machine := s.machines[name]
	if machine == nil {
		return
	}
	machine.commandInFlight = false
	if certain {
		for _, cmd := range o.Commands {
			if cmd.Verb != api.CommandRun {
				continue
			}
			if alloc := machine.allocations[cmd.Task]; alloc != nil && alloc.attempt == cmd.Attempt {
				alloc.unansweredRuns--
				if r == nil && alloc.unansweredRuns == 0 && !alloc.reported && alloc.answeredSeq == 0 && !alloc.runRelayed {
					alloc.runSent = false
				}
			}
			if e := machine.exited[cmd.Task]; e != nil && e.attempt == cmd.Attempt && e.unansweredRuns > 0 {
				e.unansweredRuns--
			}
		}
	}
	switch {
	case r != nil && r.Machine == name:
		// A worker that answers shows that our own network works.
		s.lastHeartbeat = s.now()
		s.lastDirectContact, s.unansweredCommands = s.lastHeartbeat, 0
		machine.link.CommandAnswered(s.lastHeartbeat, r.Seq)
		machine.outboundLossLogged = false
	case r == nil:
		s.unansweredCommands++
		if !certain {
			machine.link.CommandLost()
		}
	}
	// A machine that has not reported in this term has its whole lease to find
	// us; only its own report makes it count as heard.
	if r != nil && machine.Up && r.Machine == name && r.Term <= s.term && machine.Newer(r) {
		s.reconcile(machine, r, byOrders)
	}
	again := machine.resendCommands
	machine.resendCommands = false
	if again && (certain || r != nil) {
		s.pushCommands(machine)
	}
}
