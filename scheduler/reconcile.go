package scheduler

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/invariant"
	"switchferry/reachability"
	"switchferry/tuning"
)

// deliveryPath is the path on which a heartbeat arrives or commands are sent.
type deliveryPath int

// The delivery paths.
const (
	// byHeartbeat is a worker's heartbeat request and the response to it, also when a peer forwards the request.
	byHeartbeat deliveryPath = iota
	// byCommandResponse is a direct command request to a worker and the response to it, which contains a heartbeat.
	byCommandResponse
	// byRelay is the exchange of packets between a peer and the leader through the state service.
	byRelay
)

// String returns the path's name for logs.
func (p deliveryPath) String() string {
	return [...]string{"heartbeat", "command", "relay"}[p]
}

// HandleHeartbeat handles a worker's heartbeat and returns the response to it. via is the peer that forwarded the
// heartbeat, or empty if the worker sent it to this controller. deposed means that the worker has seen the token of a
// later leader; refused means that the machine was released to the cloud. In both cases the response must not be sent.
func (s *Scheduler) HandleHeartbeat(heartbeat *api.Heartbeat, via string) (response api.HeartbeatResponse, deposed, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response = api.HeartbeatResponse{Term: s.term, Commands: []api.Command{}}
	if s.FromLaterTerm(heartbeat.Term) {
		// The worker would drop a response of this term, because it obeys only the highest fencing token it has seen.
		return response, true, false
	}
	if _, released := s.releasedAt[heartbeat.Machine]; released {
		// The release of the machine proved that its tasks are gone, and they may run elsewhere (rule 3 of
		// docs/design.md).
		return response, false, true
	}
	machine := s.getOrAddMachine(heartbeat.Machine)
	response.Term = max(heartbeat.Term, s.token(machine))
	// A late copy proves nothing. A heartbeat that was overtaken by the response to a command is not a copy, but its task
	// list is outdated. Until the records are loaded, nothing can be decided. In all three cases the response only renews
	// the lease, if a worker waits for it.
	accepted := s.acceptHeartbeat(machine, heartbeat, via, false)
	if accepted {
		s.stopRelayingCommands(machine)
	}
	newest := accepted && machine.Newer(heartbeat) && s.loaded
	if newest {
		s.reconcile(machine, heartbeat, byHeartbeat)
	}
	switch {
	case s.leaseMustEnd(machine):
		// The worker drops a response without a token.
		response.Term = 0
	case newest:
		response.Commands = s.commands(machine, byHeartbeat)
		response.Term = s.token(machine)
	}
	return response, false, false
}

// acceptHeartbeat records that a machine sent a heartbeat. It returns false if the heartbeat, by incarnation and
// sequence number, is not newer than one received before, and so proves nothing (package reachability). via is the peer
// that forwarded or relayed it; relayed means that it arrived in a packet rather than in a request. s.mu must be held.
func (s *Scheduler) acceptHeartbeat(machine *machineState, heartbeat *api.Heartbeat, via string, relayed bool) bool {
	now := s.now()
	newer, confirmed := machine.link.Observe(now, reachability.Heartbeat{
		Incarnation: heartbeat.Incarnation,
		Seq:         heartbeat.Seq,
		HighestTerm: heartbeat.Term,
		Term:        s.term,
		Via:         via,
		Relayed:     relayed,
	})
	if !newer {
		return false
	}
	s.lastHeartbeat, machine.LastHeartbeat, machine.lastPeer = now, now, via
	if confirmed {
		machine.outboundLossLogged = false
		if via == "" {
			s.lastDirectContact, s.unansweredCommands = now, 0
		}
	}
	return true
}

// reconcile updates the scheduler's state from a heartbeat that is newer than all before: it compares each allocation
// with the tasks that the worker reports, and each reported task with the allocations. s.mu must be held.
func (s *Scheduler) reconcile(machine *machineState, heartbeat *api.Heartbeat, path deliveryPath) {
	now := s.now()
	first := !machine.Up
	if first {
		s.recordMachineUp(machine, heartbeat, now)
	}
	if heartbeat.PreemptionNoticeS != nil && machine.PreemptedAt.IsZero() {
		slog.Info("preemption notice", "machine", heartbeat.Machine, "in_s", *heartbeat.PreemptionNoticeS)
		s.wakePlacer()
	}
	machine.ApplyHeartbeat(heartbeat, now)
	if machine.Spec == nil {
		machine.Spec = s.machineTypes[machine.Type]
	}
	if first {
		s.restoreImages(machine)
	}
	s.reconcileAttempts(machine, path)
}

// reconcileAttempts compares the attempts in a machine's newest heartbeat with the known allocations and exits on the
// machine. s.mu must be held.
func (s *Scheduler) reconcileAttempts(machine *machineState, path deliveryPath) {
	// All pending starts are updated before any attempt is reconciled, because reconciling may send commands to the
	// machine.
	for _, alloc := range machine.allocations {
		alloc.starts.observe(path, machine.Seq)
	}
	for _, exit := range machine.exited {
		exit.starts.observe(path, machine.Seq)
	}
	s.settleFencedStarts(machine)
	for _, alloc := range machine.allocations {
		if report, ok := machine.Attempts[alloc.attemptID()]; ok {
			s.reconcileActive(machine, alloc, report)
		} else {
			s.reconcileMissing(machine, alloc)
		}
	}
	for attempt, exit := range machine.exited {
		if _, ok := machine.Attempts[attempt]; !ok {
			s.forgetExit(machine, attempt, exit)
		}
	}
	for attempt, report := range machine.Attempts {
		if machine.allocationOf(attempt) == nil && machine.exited[attempt] == nil {
			s.reconcileUnknown(machine, attempt, report)
		}
	}
}

// forgetExit removes the exit of an attempt that the machine's newest heartbeat does not list, because the attempt was
// cleared or a new incarnation began. s.mu must be held.
func (s *Scheduler) forgetExit(machine *machineState, attempt fleet.Attempt, exit *exitedAttempt) {
	if machine.Incarnation == exit.incarnation && !exit.starts.isEmpty() {
		invariant.Violated("an attempt is cleared only when no start of it can arrive", "task", attempt.Task, "attempt", attempt.Number,
			"machine", machine.Name, "incarnation", machine.Incarnation, "seq", machine.Seq, "direct", exit.starts.direct, "response_to", exit.starts.responseSeq,
			"relayed_up_to", exit.starts.relayedSeq)
	}
	delete(machine.exited, attempt)
}

// recordMachineUp handles the first heartbeat of a machine in this term. s.mu must be held.
func (s *Scheduler) recordMachineUp(machine *machineState, heartbeat *api.Heartbeat, now time.Time) {
	startup := now.Sub(machine.RequestedAt)
	slog.Info("machine up", "machine", heartbeat.Machine, "type", heartbeat.Type, "zone", heartbeat.Zone,
		"spot", heartbeat.Spot, "after", startup.Round(time.Second))
	machine.idleSince = now
	machine.faultLogged = false
	if machine.requestedHere {
		s.startupTimes.RecordStartup(machine.Type, machine.RequestedAt, startup)
	}
	s.wakePlacer()
}

// allocationOf returns the machine's allocation of an attempt, or nil. Scheduler.mu must be held.
func (m *machineState) allocationOf(attempt fleet.Attempt) *allocation {
	if alloc := m.allocations[attempt.Task]; alloc != nil && alloc.attempt == attempt.Number {
		return alloc
	}
	return nil
}

// reconcileActive updates an allocation from the reported state of its attempt. s.mu must be held.
func (s *Scheduler) reconcileActive(machine *machineState, alloc *allocation, report api.TaskReport) {
	now := s.now()
	if !alloc.reported {
		alloc.reported, alloc.runSent = true, true
		alloc.job.notifySettledStarts()
	}
	if alloc.incarnation == 0 {
		alloc.incarnation = machine.Incarnation
	}
	if alloc.state != report.State {
		alloc.state = report.State
		if report.State == api.TaskRunning {
			alloc.runningSince = now
			slog.Debug("task running", "task", alloc.key, "machine", machine.Name,
				"after", now.Sub(alloc.allocatedAt).Round(time.Millisecond), "fetched", !machine.HasImage(alloc.job.Job.Image))
			s.recordImageUse(machine, alloc.job)
		}
	}
	if report.State == api.TaskExited {
		s.reconcileExited(machine, alloc, report.Cause)
	}
}

// reconcileExited handles the exit of an allocation's attempt, which proves that it no longer runs. s.mu must be held.
func (s *Scheduler) reconcileExited(machine *machineState, alloc *allocation, cause string) {
	// The attempt may be cleared only once no start for it is in transit on any path.
	exit := &exitedAttempt{starts: alloc.starts, startToken: alloc.startToken, incarnation: machine.Incarnation, stored: cause != api.CauseDone}
	machine.exited[alloc.attemptID()] = exit
	if !exit.starts.isEmpty() {
		s.releaseStats.exitsCrossed++
	}
	slog.Debug("task ended", "task", alloc.key, "attempt", alloc.attempt, "machine", machine.Name, "cause", cause,
		"unanswered_starts", alloc.starts.direct, "start_in_response_to", alloc.starts.responseSeq, "start_relayed_up_to", alloc.starts.relayedSeq)
	if cause == api.CauseDone {
		s.reconcileCompleted(machine, alloc, exit)
		return
	}
	job, now := alloc.job, s.now()
	switch cause {
	case api.CauseError:
		s.recordTaskFailure(job, machine, now)
	case api.CauseInsufficientResources, api.CauseConflictingAttempt, api.CauseNotFound:
		slog.Info("start refused", "task", alloc.key, "machine", machine.Name, "cause", cause)
		machine.refusedUntil = now.Add(tuning.BackoffBase)
		if cause == api.CauseNotFound {
			job.pausedUntil = now.Add(tuning.BackoffBase)
		}
	}
	s.releaseAllocation(alloc, proofExited)
	s.requeue(job, alloc.task)
	s.pushCommands(machine)
}

// reconcileCompleted handles the exit of a task that completed. Until the completion is stored, only the worker knows
// of it, so the clear command is not sent before (rule 2 of docs/design.md). s.mu must be held.
func (s *Scheduler) reconcileCompleted(machine *machineState, alloc *allocation, exit *exitedAttempt) {
	machine.ClearFailures()
	machine.faultLogged = false
	alloc.job.clearFailures()
	s.recordImageUse(machine, alloc.job)
	s.releaseAllocation(alloc, proofExited)
	s.markCompleted(alloc.job, alloc.task, s.allowClear(machine, exit))
}

// allowClear returns a callback that allows an exited task to be cleared on its machine. The callback must be called
// with s.mu held once the task's completion is stored.
func (s *Scheduler) allowClear(machine *machineState, exit *exitedAttempt) func() {
	return func() {
		exit.stored = true
		s.commandsReady[machine] = true
	}
}

// reconcileMissing handles an allocation whose attempt the newest heartbeat does not list (rules 3 and 4 of
// docs/design.md). s.mu must be held.
func (s *Scheduler) reconcileMissing(machine *machineState, alloc *allocation) {
	result, proof := alloc.evaluateAbsence(workerState{seenTerm: machine.Term >= s.term, incarnation: machine.Incarnation})
	switch result {
	case absenceProven:
		s.releaseAndRequeue(alloc, proof)
	case absenceStartLost:
		alloc.runSent = false
	case absenceInconclusive:
		if !alloc.starts.isEmpty() {
			s.releaseStats.absencesCrossed++
		}
	}
}

// reconcileUnknown handles a reported attempt that is neither an allocation nor a known exit. s.mu must be held.
func (s *Scheduler) reconcileUnknown(machine *machineState, attempt fleet.Attempt, report api.TaskReport) {
	id, task, ok := parseTaskKey(attempt.Task)
	job := s.jobs[id]
	known := ok && job != nil && task < job.taskCount
	switch {
	case report.State == api.TaskExited:
		exit := &exitedAttempt{startToken: s.unknownStartToken(machine, attempt), incarnation: machine.Incarnation, stored: !known || report.Cause != api.CauseDone}
		machine.exited[attempt] = exit
		if !exit.stored {
			s.removeQueuedTask(job, task)
			s.markCompleted(job, task, s.allowClear(machine, exit))
		}
	case known:
		s.reconcileUnknownRunning(machine, job, task, report)
	}
	// All other running attempts are killed by the next commands.
}

// reconcileUnknownRunning handles a reported attempt that has not exited and is not the allocation of its task, which
// belongs to a known job. s.mu must be held.
func (s *Scheduler) reconcileUnknownRunning(machine *machineState, job *jobState, task int, report api.TaskReport) {
	if alloc := job.allocations[task]; alloc != nil && !alloc.runSent {
		// If this allocation were started as well, the task would run on two machines.
		s.releaseAllocation(alloc, proofNotSent)
	}
	alloc := job.allocations[task]
	switch {
	case alloc == nil && machine.allocations[report.Task] == nil:
		s.adoptTask(machine, job, task, report)
	case alloc != nil && machine.Term >= s.term:
		s.reportSecondAttempt(machine, report, alloc)
	}
}

// reportSecondAttempt reports an invariant violation: an attempt is on a machine although its task has another
// allocation, which may have started. s.mu must be held.
func (s *Scheduler) reportSecondAttempt(machine *machineState, second api.TaskReport, alloc *allocation) {
	invariant.Violated("a task is on one machine", "task", second.Task, "attempt", second.Attempt, "machine", machine.Name,
		"incarnation", machine.Incarnation, "seq", machine.Seq, "term", s.term, "allocated_to", alloc.machine.Name, "allocated_attempt", alloc.attempt,
		"reported", alloc.reported, "state", alloc.state)
}

// adoptTask creates an allocation for a running attempt that is in no record, so that it counts towards limits, zones
// and resources until it is proved gone (rule 3 of docs/design.md). The attempt is stopped if its job does not need it.
// s.mu must be held.
func (s *Scheduler) adoptTask(machine *machineState, job *jobState, task int, report api.TaskReport) {
	slog.Info("adopting unknown task", "task", taskKey(job.id, task), "machine", machine.Name, "attempt", report.Attempt,
		"incarnation", machine.Incarnation, "seq", machine.Seq, "term", s.term, "state", report.State)
	alloc := s.allocate(job, task, machine, report.Attempt)
	alloc.committed, alloc.startToken = true, s.unknownStartToken(machine, alloc.attemptID())
	s.reconcileActive(machine, alloc, report)
	s.removeQueuedTask(job, task)
	if job.FinalState != "" || job.completed.Has(task) {
		s.stopTask(alloc, 0, "task not needed")
		return
	}
	s.markShardDirty(job, task, nil)
}
