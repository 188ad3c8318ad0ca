package scheduler

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/watermark"
)

// A direct start without an answer may be held up on its way for minutes. This file ends such a start once its task is to
// be stopped, without the state service, the cloud or a connection to the machine: by a fencing token above that of the
// start, which the machine gets with the response to its next heartbeat, from whichever controller answers it, or else by
// the end of its lease (rule 4 of docs/design.md).

// awaitsFencing reports whether the attempt is to be stopped and may still be started by a direct command without an
// answer. Scheduler.mu must be held.
func (a *attemptState) awaitsFencing() bool { return a.stopping && a.starts.direct > 0 }

// settleFencedStarts settles the direct starts of attempts that have exited or are to be stopped if the machine's newest
// heartbeat shows a token above that of every start. The worker refuses these starts from then on, and the heartbeat
// lists the attempt if one of them was executed before. Such an attempt is never started again, so no newer start is
// settled by mistake. s.mu must be held.
func (s *Scheduler) settleFencedStarts(machine *machineState) {
	for task, alloc := range machine.allocations {
		if alloc.stopping && alloc.fencedBy(machine.Term) {
			s.settleDirectStarts(machine, task, &alloc.starts, alloc.startToken)
		}
	}
	for attempt, exit := range machine.exited {
		if exit.fencedBy(machine.Term) {
			s.settleDirectStarts(machine, attempt.Task, &exit.starts, exit.startToken)
		}
	}
}

// settleDirectStarts settles the direct starts of a task that have no answer, and counts and logs them. s.mu must be
// held.
func (s *Scheduler) settleDirectStarts(machine *machineState, task string, starts *pendingStarts, startToken uint64) {
	if starts.direct == 0 {
		return
	}
	slog.Info("start without an answer fenced off", "task", task, "machine", machine.Name, "incarnation", machine.Incarnation,
		"seq", machine.Seq, "starts", starts.direct, "start_token", startToken, "machine_token", machine.Term)
	s.releaseStats.startsFenced += starts.direct
	starts.direct = 0
}

// requireFences tells the other controllers of a token that fences off the direct starts of a cancelled job that are
// without an answer, since one of them may answer the machines alone by now and knows no start. s.mu must be held.
func (s *Scheduler) requireFences(job *jobState) {
	if s.fencing != FencingOn || job.FinalState != api.Cancelled {
		return
	}
	for _, alloc := range job.allocations {
		if alloc.awaitsFencing() {
			s.requireFence(alloc)
		}
	}
}

// requireFence tells the other controllers of a token that fences off the direct starts of one attempt: with the
// statements about cancellations and, if the machine sends this leader no heartbeat itself, through the state service.
// Controllers that do not reach this leader in any other way read it there. s.mu must be held.
func (s *Scheduler) requireFence(alloc *allocation) {
	if committed := s.records.CommittedRevision(); !alloc.fencedBy(s.requiredToken) && alloc.fencedBy(committed) {
		s.requiredToken = committed
		s.fences.RequireToken(committed)
	}
	machine := alloc.machine
	beyondReach := machine.relayPeer != "" || s.heartbeatOverdue(machine, s.now())
	if beyondReach && alloc.fencedBy(s.requiredToken) && !alloc.fencedBy(s.storedToken) {
		s.storedToken = s.requiredToken
		s.records.MarkDirty(store.FenceKey, store.Urgent, nil)
	}
}

// fenceRecord builds the record of the token that other controllers must give workers.
func (s *Scheduler) fenceRecord(string) recordContent {
	return recordContent{value: store.FenceRecord{Token: s.requiredToken}, exists: s.requiredToken > 0}
}

// leaseMustEnd reports whether a machine's lease must not be renewed any more, because only the end of the lease still
// keeps the direct start of a cancelled task from being executed after cancel_s: the start has no answer, and the
// machine has shown no token above it although the time within which a renewed lease ends before that is over. That
// needs neither the state service nor the cloud, and ends all tasks on the machine. s.mu must be held.
func (s *Scheduler) leaseMustEnd(machine *machineState) bool {
	workers := s.settings.Facts.Workers
	renewFor := watermark.NewLimits(settings.Seconds(workers.CancelDeadlineS), s.lease()).RenewFor
	for task, alloc := range machine.allocations {
		if alloc.job.FinalState != api.Cancelled || !alloc.awaitsFencing() || s.since(alloc.job.terminalAt) < renewFor {
			continue
		}
		if !machine.leaseEndLogged {
			machine.leaseEndLogged = true
			slog.Warn("lease not renewed, a start of a cancelled task may still be executed", "machine", machine.Name, "incarnation", machine.Incarnation, "task", task,
				"cancelled_ago", s.since(alloc.job.terminalAt).Round(time.Millisecond), "start_token", alloc.startToken, "machine_token", machine.Term,
				"committed", s.records.CommittedRevision(), "fencing", s.fencing)
		}
		return true
	}
	machine.leaseEndLogged = false
	return false
}
