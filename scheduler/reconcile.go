package scheduler

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/reachability"
	"switchferry/tuning"
)

// deliveryPath is how a report came, or how commands go.
type deliveryPath int

const (
	byReport deliveryPath = iota
	byOrders
	byRelay
)

// HandleHeartbeat takes in a worker's report and returns the answer. Via is the sibling that
// passed it on; empty: it came directly. Deposed: the worker has seen a higher
// term, and we no longer lead.
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

// reconcile works a newer report into the state.
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

// reconcileExited handles an exit.
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
