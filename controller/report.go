package controller

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/reachability"
	"switchferry/tuning"
)

// HandleHeartbeat takes in a worker's report and returns the answer. Via is the sibling that
// passedOverLogged it on; empty: it came directly. Deposed: the worker has seen a higher
// runTerm, and we no longer lead.
func (s *Scheduler) HandleHeartbeat(r *api.Heartbeat, via string) (o api.HeartbeatResponse, deposed, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o = api.HeartbeatResponse{Term: s.term, Commands: []api.Command{}}
	if r.Term > s.term {
		return o, true, false
	}
	if _, ok := s.releasedAt[r.Machine]; ok {
		return o, false, true
	}
	machine := s.machineNamed(r.Machine)
	if !s.acceptHeartbeat(machine, r, via, false) {
		// A copy: whoever waits for its answer keeps its lease, and that is all.
		return o, false, false
	}
	s.reachedDirectly(machine)
	// A report that a command's answer has overtaken is no copy, but its task list is old. Before
	// the records are read only the lease is kept.
	if !machine.Newer(r) || !s.loaded {
		return o, false, false
	}
	s.reconcile(machine, r, byReport)
	o.Commands = s.commands(machine, byReport)
	return o, false, false
}

// acceptHeartbeat notes that a machine reports. False: the report is no newer than one that was heard before, so
// it shows nothing (package contact).
func (s *Scheduler) acceptHeartbeat(machine *machineState, r *api.Heartbeat, via string, relayed bool) bool {
	now := s.now()
	news, proof := machine.link.Observe(now, reachability.Heartbeat{Incarnation: r.Incarnation, Seq: r.Seq, HighestTerm: r.Term, Term: s.term, Via: via, Relayed: relayed})
	if !news {
		return false
	}
	s.lastHeartbeat, machine.LastHeartbeat, machine.lastPeer = now, now, via
	if proof {
		machine.outboundLossLogged = false
		if via == "" {
			s.lastDirectContact, s.unansweredCommands = now, 0
		}
	}
	return true
}

// deliveryPath is how a report came, or how commands go.
type deliveryPath int

const (
	byReport deliveryPath = iota
	byOrders
	byRelay
)

// removeAt works a newer report into the state.
func (s *Scheduler) reconcile(machine *machineState, r *api.Heartbeat, by deliveryPath) {
	now := s.now()
	first := !machine.Up
	if first {
		slog.Info("machine up", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "after", now.Sub(machine.RequestedAt).Round(time.Second))
		machine.idleSince = now
		machine.faultLogged = false
		if machine.requestedHere {
			s.startupTimes.RecordStartup(machine.Type, machine.RequestedAt, now.Sub(machine.RequestedAt))
		}
		s.wakePlacer()
	}
	if r.PreemptionNoticeS != nil && machine.PreemptedAt.IsZero() {
		slog.Info("machine will be taken", "machine", r.Machine, "in_s", *r.PreemptionNoticeS)
		s.wakePlacer()
	}
	machine.ApplyHeartbeat(r, now)
	if machine.Spec == nil {
		machine.Spec = s.machineTypes[machine.Type]
	}
	if first {
		s.restoreImages(machine)
	}
	for key, alloc := range machine.allocations {
		t, ok := machine.Tasks[key]
		if ok && t.Attempt == alloc.attempt {
			s.reconcileActive(machine, alloc, t)
			continue
		}
		s.reconcileMissing(machine, alloc, by)
	}
	for key, e := range machine.exited {
		if t, ok := machine.Tasks[key]; !ok || t.Attempt != e.attempt {
			delete(machine.exited, key)
		}
	}
	for key, t := range machine.Tasks {
		if alloc := machine.allocations[key]; alloc != nil && alloc.attempt == t.Attempt {
			continue
		}
		if e := machine.exited[key]; e != nil && e.attempt == t.Attempt {
			continue
		}
		s.reconcileUnknown(machine, key, t)
	}
}

// reconcileActive notes the state of a task that is where it should be.
func (s *Scheduler) reconcileActive(machine *machineState, alloc *allocation, t api.TaskReport) {
	now := s.now()
	if !alloc.reported {
		alloc.reported, alloc.runSent = true, true
		alloc.job.notifySettledStarts()
	}
	if alloc.incarnation == 0 {
		alloc.incarnation = machine.Incarnation
	}
	if alloc.state != t.State {
		alloc.state = t.State
		if t.State == api.TaskRunning {
			alloc.runningSince = now
			slog.Debug("task running", "task", alloc.key, "machine", machine.Name, "after", now.Sub(alloc.allocatedAt).Round(time.Millisecond), "fetched", !machine.HasImage(alloc.job.Job.Image))
			s.recordImageUse(machine, alloc.job)
		}
	}
	if t.State == api.TaskExited {
		s.reconcileExited(machine, alloc, t)
	}
}

// exited handles an exit.
func (s *Scheduler) reconcileExited(machine *machineState, alloc *allocation, t api.TaskReport) {
	job := alloc.job
	now := s.now()
	e := &exitedTask{attempt: alloc.attempt, unansweredRuns: alloc.unansweredRuns, stored: t.Cause != api.CauseDone}
	machine.exited[alloc.key] = e
	slog.Debug("task ended", "task", alloc.key, "machine", machine.Name, "cause", t.Cause)
	if t.Cause == api.CauseDone {
		// The clear waits for the record: until it is stored, only the
		// worker knows that the task is done.
		machine.ClearFailures()
		machine.faultLogged = false
		job.clearFailures()
		s.recordImageUse(machine, job)
		s.releaseAllocation(alloc)
		s.markCompleted(job, alloc.task, func() {
			e.stored = true
			s.commandsReady[machine] = true
		})
		return
	}
	switch t.Cause {
	case api.CauseError:
		s.recordTaskFailure(job, machine, now)
	case api.CauseNoRoom, api.CauseBusy, api.CauseUnknown:
		slog.Info("start refused", "task", alloc.key, "machine", machine.Name, "cause", t.Cause)
		machine.refusedUntil = now.Add(tuning.BackoffBase)
		if t.Cause == api.CauseUnknown {
			job.pausedUntil = now.Add(tuning.BackoffBase)
		}
	}
	s.releaseAllocation(alloc)
	s.requeue(job, alloc.task)
	s.pushCommands(machine)
}

// reconcileMissing judges a task that the newest report lacks. Only a report that no
// command under way can overtake proves that the task is not there.
func (s *Scheduler) reconcileMissing(machine *machineState, alloc *allocation, by deliveryPath) {
	if !alloc.runSent {
		return
	}
	if machine.Term != s.term {
		// The worker has not seen our term: an earlier leader's command may
		// still reach it.
		return
	}
	if alloc.incarnation != 0 && machine.Incarnation > alloc.incarnation {
		s.loseTask(alloc, "the worker began a new session")
		return
	}
	if alloc.unansweredRuns > 0 || alloc.answeredSeq > 0 && (by == byOrders || machine.Seq <= alloc.answeredSeq) || alloc.runRelayed && !alloc.reported && by != byReport {
		return
	}
	switch {
	case alloc.reported:
		s.loseTask(alloc, "the worker no longer has it")
	case alloc.incarnation == 0:
		s.loseTask(alloc, "an earlier leader's start never arrived")
	case alloc.stopping:
		s.loseTask(alloc, "stopped before it started")
	default:
		// The command was lost: the same attempt goes out again.
		alloc.runSent, alloc.answeredSeq, alloc.runRelayed = false, 0, false
	}
}

// reconcileUnknown judges a task that should not be there.
func (s *Scheduler) reconcileUnknown(machine *machineState, key string, t api.TaskReport) {
	id, task, ok := splitTask(key)
	job := s.jobs[id]
	if !ok || job == nil || task >= job.taskCount {
		if t.State == api.TaskExited {
			machine.exited[key] = &exitedTask{attempt: t.Attempt, stored: true}
		}
		return
	}
	if t.State == api.TaskExited {
		e := &exitedTask{attempt: t.Attempt, stored: t.Cause != api.CauseDone}
		machine.exited[key] = e
		if t.Cause == api.CauseDone {
			s.removeQueuedTask(job, task)
			s.markCompleted(job, task, func() {
				e.stored = true
				s.commandsReady[machine] = true
			})
		}
		return
	}
	if job.allocations[task] == nil && machine.allocations[key] == nil {
		// A task that we know nothing of runs: from here on it counts.
		slog.Info("task found", "task", key, "machine", machine.Name, "attempt", t.Attempt)
		alloc := s.allocate(job, task, machine, t.Attempt)
		alloc.committed = true
		s.reconcileActive(machine, alloc, t)
		s.removeQueuedTask(job, task)
		if job.FinalState != "" || job.completed.Has(task) {
			s.stopTask(alloc, 0, "not wanted")
			return
		}
		s.markShardDirty(job, task, nil)
	}
}

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
// reported. Repeating them is harmless.
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
			// resendCommands after a clear.
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
// jsonAnswer, or the command never left; otherwise it may still be executed.
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
