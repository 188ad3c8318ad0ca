package scheduler

import "switchferry/tuning"

// pendingStarts tracks the run commands for one attempt that this leader has sent and that may still start the attempt
// (rule 4 of docs/design.md). It exists from the attempt's first start until its machine has cleared the attempt: in
// the allocation, and after the attempt's exit in its exitedAttempt. The zero value means none. Scheduler.mu guards it.
type pendingStarts struct {
	// direct counts commands sent directly whose outcome is unknown. Each may still be executed at any time until the
	// machine has a higher fencing token (settleFencedStarts) or a new incarnation.
	direct int
	// responseSeq is the sequence number of the newest heartbeat whose response contained a start, or 0.
	responseSeq uint64
	// relayedSeq is the sequence number of the last heartbeat in whose response a relay may deliver a start, or 0.
	relayedSeq uint64
}

// add records a start as sent on path. seq is the sequence number of the machine's newest heartbeat.
func (p *pendingStarts) add(path deliveryPath, seq uint64) {
	switch path {
	case byHeartbeat:
		p.responseSeq = seq
	case byCommandResponse:
		p.direct++
	case byRelay:
		p.relayedSeq = seq + tuning.RelayedCommandHeartbeats
	}
}

// settleDirect records that a direct start was answered or was never sent.
func (p *pendingStarts) settleDirect() {
	if p.direct > 0 {
		p.direct--
	}
}

// observe settles the starts that a heartbeat proves settled. The heartbeat must be newer than all before it in the
// same incarnation. When a worker sends a heartbeat, it has executed or dropped the response to the previous one,
// regardless of the path that the heartbeat or a copy of it takes. Answers to direct commands are sent in between and
// prove nothing.
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

// isEmpty reports whether no start can arrive any more on any path.
func (p *pendingStarts) isEmpty() bool { return *p == pendingStarts{} }

// emptyExceptRelayed reports whether no start can arrive any more except through a relay.
func (p *pendingStarts) emptyExceptRelayed() bool { return p.direct == 0 && p.responseSeq == 0 }

// emptyExceptDirect reports whether no start can arrive any more except through a direct command.
func (p *pendingStarts) emptyExceptDirect() bool { return p.responseSeq == 0 && p.relayedSeq == 0 }

// attemptState is what this leader knows about an attempt that has not exited. Scheduler.mu guards it.
type attemptState struct {
	// runSent is set once a run command was sent by this leader, or may have been sent by an earlier one.
	runSent bool
	// incarnation is the incarnation of the worker to which the run command was sent or which reported the attempt; 0
	// if unknown.
	incarnation uint64
	// starts tracks the run commands that may still start the attempt.
	starts pendingStarts
	// startToken is the highest fencing token under which a run command was sent by this leader, or may have been sent
	// for an attempt that it adopted; 0 if none was.
	startToken uint64
	// reported is set once a heartbeat listed the attempt.
	reported bool
	// stopping is set once the scheduler has decided to stop the task.
	stopping bool
}

// releaseProof is a proof that an attempt is not on its machine and cannot start there (rule 3 of docs/design.md).
type releaseProof string

// The proofs on which an allocation may be released. There are no other reasons.
const (
	proofNotSent          releaseProof = "no start was sent"
	proofExited           releaseProof = "exit reported"
	proofNewIncarnation   releaseProof = "the worker began a new session"
	proofNoLongerReported releaseProof = "the worker no longer has it"
	proofNeverArrived     releaseProof = "an earlier leader's start never arrived"
	proofStopped          releaseProof = "stopped before it started"
	proofMachineReleased  releaseProof = "its machine is gone"
)

// absence is what a heartbeat that does not list an attempt proves.
type absence int

const (
	// absenceInconclusive means that it proves nothing: the attempt may start after the heartbeat was sent, or no run
	// command was sent.
	absenceInconclusive absence = iota
	// absenceStartLost means that the run command was lost and is sent again for the same attempt.
	absenceStartLost
	// absenceProven means that the attempt is not on the machine and cannot start there.
	absenceProven
)

// workerState is the state of a worker in a heartbeat: whether it has seen this term's fencing token, and its
// incarnation.
type workerState struct {
	seenTerm    bool
	incarnation uint64
}

// evaluateAbsence determines what a heartbeat that does not list the attempt proves; the proof is set only for
// absenceProven. The heartbeat must be newer than all before, and pendingStarts.observe must have processed it.
func (a *attemptState) evaluateAbsence(worker workerState) (absence, releaseProof) {
	switch {
	case !a.runSent:
		return absenceInconclusive, ""
	case !worker.seenTerm:
		// The worker may still execute a command of an earlier leader.
		return absenceInconclusive, ""
	case a.incarnation != 0 && worker.incarnation > a.incarnation:
		// A worker ends all tasks when its lease expires, and drops responses to heartbeats of its previous
		// incarnation.
		return absenceProven, proofNewIncarnation
	case !a.starts.isEmpty():
		return absenceInconclusive, ""
	case a.reported:
		return absenceProven, proofNoLongerReported
	case a.incarnation == 0:
		return absenceProven, proofNeverArrived
	case a.stopping:
		return absenceProven, proofStopped
	}
	return absenceStartLost, ""
}

// exitedAttempt is an attempt that has exited on a machine and is not cleared yet. Scheduler.mu guards it.
type exitedAttempt struct {
	// starts tracks the run commands that may still arrive. They do not start the attempt again only because the worker
	// still remembers it.
	starts pendingStarts
	// startToken is the highest fencing token under which a run command may have been sent. A copy of such a command, even
	// of one that was answered, starts the attempt again once the worker has forgotten it, unless the worker has seen a
	// higher token.
	startToken uint64
	// incarnation is the incarnation of the worker that reported the exit.
	incarnation uint64
	// stored is true once the end of the attempt is stored, or if it need not be.
	stored bool
}

// mayClear reports whether the clear command for the attempt, after which the worker forgets it, may be sent to a worker
// that fences off copies of its starts (fencedBy). Clearing an attempt while a start for it was in transit made a task run
// on two machines (docs/incidents/task-ran-twice.md).
func (e *exitedAttempt) mayClear() bool {
	return e.stored && e.starts.isEmpty()
}
