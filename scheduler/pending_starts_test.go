package scheduler

import (
	"testing"

	"switchferry/tuning"
)

func TestPendingStartsAreSettledOnlyByProof(t *testing.T) {
	const sentAfter = 10
	const lastRelayed = sentAfter + tuning.RelayedCommandHeartbeats
	cases := []struct {
		name string
		sent deliveryPath
		// heartbeatPath and heartbeatSeq are the path and sequence number of the next newer heartbeat; answered is true
		// if the command was answered.
		heartbeatPath deliveryPath
		heartbeatSeq  uint64
		answered      bool
		// wantEmpty is true if no start must be pending after that.
		wantEmpty bool
	}{
		{"a direct start, and a heartbeat", byCommandResponse, byHeartbeat, lastRelayed + 1, false, false},
		{"a direct start, and a relayed heartbeat", byCommandResponse, byRelay, lastRelayed + 1, false, false},
		{"a direct start, answered", byCommandResponse, byCommandResponse, 11, true, true},
		{"a start in a response, and the next heartbeat", byHeartbeat, byHeartbeat, 11, false, true},
		{"a start in a response, and the next heartbeat through a relay", byHeartbeat, byRelay, 11, false, true},
		{"a start in a response, and an answer to a command", byHeartbeat, byCommandResponse, 11, true, false},
		{"a relayed start, and the next relayed heartbeat", byRelay, byRelay, 11, false, false},
		{"a relayed start, and the next direct heartbeat", byRelay, byHeartbeat, 11, false, false},
		{"a relayed start, and the last heartbeat whose response may contain it", byRelay, byHeartbeat, lastRelayed, false, false},
		{"a relayed start, and the first heartbeat after that", byRelay, byHeartbeat, lastRelayed + 1, false, true},
		{"a relayed start, and the first one after that through a relay", byRelay, byRelay, lastRelayed + 1, false, true},
		{"a relayed start, and an answer to a command", byRelay, byCommandResponse, lastRelayed + 1, true, false},
	}
	for _, tc := range cases {
		var starts pendingStarts
		if !starts.isEmpty() {
			t.Fatal("the zero value has starts")
		}
		starts.add(tc.sent, sentAfter)
		if starts.isEmpty() {
			t.Errorf("%s: the start was settled as soon as it was sent", tc.name)
		}
		if tc.answered {
			starts.settleDirect()
		}
		starts.observe(tc.heartbeatPath, tc.heartbeatSeq)
		if starts.isEmpty() != tc.wantEmpty {
			t.Errorf("%s: unexpected pending starts %+v", tc.name, starts)
		}
	}
}

func TestAbsenceIsProofOnlyWhenNoStartCanArrive(t *testing.T) {
	current, later := workerState{seenTerm: true, incarnation: 2}, workerState{seenTerm: true, incarnation: 3}
	cases := []struct {
		name    string
		attempt attemptState
		worker  workerState
		want    absence
		proof   releaseProof
	}{
		{"never sent", attemptState{}, current, absenceInconclusive, ""},
		{"sent by an earlier leader, this term's token not seen", attemptState{runSent: true}, workerState{incarnation: 3}, absenceInconclusive, ""},
		{"sent by an earlier leader", attemptState{runSent: true}, current, absenceProven, proofNeverArrived},
		{"a new incarnation", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{direct: 1, relayedSeq: 9}}, later, absenceProven, proofNewIncarnation},
		{"a direct start pending", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{direct: 1}, stopping: true}, current, absenceInconclusive, ""},
		{"a start in a response pending", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{responseSeq: 9}, stopping: true}, current, absenceInconclusive, ""},
		{"a relayed start pending", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{relayedSeq: 9}, stopping: true}, current, absenceInconclusive, ""},
		{"reported, and a start pending", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{relayedSeq: 9}, reported: true}, current, absenceInconclusive, ""},
		{"reported before", attemptState{runSent: true, incarnation: 2, reported: true}, current, absenceProven, proofNoLongerReported},
		{"stopped before it started", attemptState{runSent: true, incarnation: 2, stopping: true}, current, absenceProven, proofStopped},
		{"lost in transit", attemptState{runSent: true, incarnation: 2}, current, absenceStartLost, ""},
	}
	for _, tc := range cases {
		if got, proof := tc.attempt.evaluateAbsence(tc.worker); got != tc.want || proof != tc.proof {
			t.Errorf("%s: %v, %q, want %v, %q", tc.name, got, proof, tc.want, tc.proof)
		}
	}
}

func TestExitIsClearedOnceStoredAndNoStartCanArrive(t *testing.T) {
	cases := []struct {
		name     string
		exit     exitedAttempt
		mayClear bool
	}{
		{"stored", exitedAttempt{stored: true}, true},
		{"not stored", exitedAttempt{}, false},
		{"a direct start pending", exitedAttempt{stored: true, starts: pendingStarts{direct: 1}}, false},
		{"a start in a response pending", exitedAttempt{stored: true, starts: pendingStarts{responseSeq: 4}}, false},
		{"a relayed start pending", exitedAttempt{stored: true, starts: pendingStarts{relayedSeq: 9}}, false},
	}
	for _, tc := range cases {
		if tc.exit.mayClear() != tc.mayClear {
			t.Errorf("%s: wrong result of mayClear for %+v", tc.name, tc.exit)
		}
	}
}
