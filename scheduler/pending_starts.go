package scheduler

import "switchferry/tuning"

// pendingStarts are the run commands for one attempt that this leader has sent and that may still start it (rule 4 of
// docs/design.md). They belong to the attempt from its first start until its machine has cleared it: an allocation holds
// them, and after the attempt's exit its exitedTask. The zero value is none. Scheduler.mu guards them.
type pendingStarts struct {
	// direct counts commands sent directly whose outcome is unknown. Each may be executed at any later time of this term.
	direct int
	// responseSeq is the sequence number of the newest heartbeat whose response carried a start, or 0.
	responseSeq uint64
	// relayedSeq is that of the newest heartbeat in whose response a relay may deliver a start, or 0.
	relayedSeq uint64
}

// add notes that a start is sent on a path. Seq is the sequence number of the machine's newest heartbeat.
func (p *pendingStarts) add(path deliveryPath, seq uint64) {
	switch path {
	case byHeartbeat:
		p.responseSeq = seq
	case byCommandResponse:
		p.direct++
	case byRelay:
		p.relayedSeq = seq + tuning.RelayedCommandsSpan
	}
}

// settleDirect notes that a start sent directly was answered or never left.
func (p *pendingStarts) settleDirect() {
	if p.direct > 0 {
		p.direct--
	}
}

// observe notes a heartbeat, newer than all before it in the same incarnation. A worker has executed the response to a
// heartbeat, or dropped it, when it sends the next one, whichever way that or a copy of it takes. Its answers to direct
// commands come in between and show nothing.
func (p *pendingStarts) observe(path deliveryPath, seq uint64) {
	if path == byCommandResponse {
		return
	}
	if seq > p.responseSeq {
		p.responseSeq = 0
	}
	if seq > p.relayedSeq {
		p.relayedSeq = 0
	}
}

// none reports whether no start can arrive any more.
func (p *pendingStarts) none() bool { return *p == pendingStarts{} }

// noneButRelayed reports whether no start can arrive any more on a way that leads from this leader to the worker itself.
func (p *pendingStarts) noneButRelayed() bool { return p.direct == 0 && p.responseSeq == 0 }

// attemptState is what this leader knows of an attempt that has not exited. Scheduler.mu guards it.
type attemptState struct {
	// runSent is set once a run command was sent, by this leader or perhaps by an earlier one.
	runSent bool
	// incarnation is the worker's incarnation that the run was sent to or that reported the attempt; 0: not known.
	incarnation uint64
	// starts may still start the attempt.
	starts pendingStarts
	// reported is set once a heartbeat showed the attempt.
	reported bool
	// stopping is set once the task is to be stopped.
	stopping bool
}

// releaseProof is what shows that an attempt is not on its machine and will not be (rule 3 of docs/design.md).
type releaseProof string

// The proofs. No other reason releases an allocation.
const (
	proofNotSent        releaseProof = "no start was sent"
	proofExited         releaseProof = "exit reported"
	proofNewIncarnation releaseProof = "the worker began a new session"
	proofForgotten      releaseProof = "the worker no longer has it"
	proofNeverArrived   releaseProof = "an earlier leader's start never arrived"
	proofStopped        releaseProof = "stopped before it started"
	proofReleased       releaseProof = "its machine is gone"
)

// absence is what follows from a heartbeat that lacks an attempt.
type absence int

const (
	// absenceOpen: nothing follows, as the attempt may start after the heartbeat was sent, or was never sent.
	absenceOpen absence = iota
	// absenceLost: the start was lost, and the same attempt is sent again.
	absenceLost
	// absenceProved: the attempt is not on the machine and will not be.
	absenceProved
)

// observedWorker is what a heartbeat shows of its worker: whether it has seen this term's token, and its incarnation.
type observedWorker struct {
	seenTerm    bool
	incarnation uint64
}

// absentFrom decides what a heartbeat shows that lacks the attempt. The heartbeat is newer than all before, and
// pendingStarts.observe has noted it.
func (a *attemptState) absentFrom(worker observedWorker) (absence, releaseProof) {
	switch {
	case !a.runSent:
		return absenceOpen, ""
	case !worker.seenTerm:
		// The worker may still execute a command of an earlier leader.
		return absenceOpen, ""
	case a.incarnation != 0 && worker.incarnation > a.incarnation:
		// With its lease a worker ends all tasks, and it drops responses to heartbeats of the incarnation before.
		return absenceProved, proofNewIncarnation
	case !a.starts.none():
		return absenceOpen, ""
	case a.reported:
		return absenceProved, proofForgotten
	case a.incarnation == 0:
		return absenceProved, proofNeverArrived
	case a.stopping:
		return absenceProved, proofStopped
	}
	return absenceLost, ""
}

// exitedTask is an attempt that has ended on a machine and is not cleared yet.
type exitedTask struct {
	// starts may still arrive. Until then only the worker's memory of the attempt keeps them from starting it again.
	starts pendingStarts
	// incarnation is that of the worker that reported the exit.
	incarnation uint64
	// stored is true once its end is on record.
	stored bool
}

// mayClear reports whether the worker may be told to forget the attempt. Clearing one whose start was under way made a
// task run on two machines (docs/incidents/task-ran-twice.md).
func (e *exitedTask) mayClear() bool {
	return e.stored && e.starts.none()
}
