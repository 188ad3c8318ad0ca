package scheduler

import (
	"testing"

	"switchferry/tuning"
)

func TestStartsAreSettledByWhatProvesThemSettled(t *testing.T) {
	const sentAfter = 10
	const lastRelayed = sentAfter + tuning.RelayedCommandsSpan
	cases := []struct {
		name string
		sent deliveryPath
		// heardOn and heardSeq are the path and number of the next newer heartbeat; answered is that the command was answered.
		heardOn  deliveryPath
		heardSeq uint64
		answered bool
		// none is whether no start is left.
		none bool
	}{
		{"a direct start, and a heartbeat", byCommandResponse, byHeartbeat, lastRelayed + 1, false, false},
		{"a direct start, and a relayed heartbeat", byCommandResponse, byRelay, lastRelayed + 1, false, false},
		{"a direct start, answered", byCommandResponse, byCommandResponse, 11, true, true},
		{"a start in a response, and the next heartbeat", byHeartbeat, byHeartbeat, 11, false, true},
		{"a start in a response, and the next heartbeat through a relay", byHeartbeat, byRelay, 11, false, true},
		{"a start in a response, and an answer to a command", byHeartbeat, byCommandResponse, 11, true, false},
		{"a relayed start, and the next relayed heartbeat", byRelay, byRelay, 11, false, false},
		{"a relayed start, and the next heartbeat, or a copy of it", byRelay, byHeartbeat, 11, false, false},
		{"a relayed start, and the last heartbeat that it may answer", byRelay, byHeartbeat, lastRelayed, false, false},
		{"a relayed start, and the first heartbeat after that", byRelay, byHeartbeat, lastRelayed + 1, false, true},
		{"a relayed start, and the first one after that through a relay", byRelay, byRelay, lastRelayed + 1, false, true},
		{"a relayed start, and an answer to a command", byRelay, byCommandResponse, lastRelayed + 1, true, false},
	}
	for _, tc := range cases {
		var starts pendingStarts
		if !starts.none() {
			t.Fatal("the zero value has starts")
		}
		starts.add(tc.sent, sentAfter)
		if starts.none() {
			t.Errorf("%s: settled once it is sent", tc.name)
		}
		if tc.answered {
			starts.settleDirect()
		}
		starts.observe(tc.heardOn, tc.heardSeq)
		if starts.none() != tc.none {
			t.Errorf("%s: %+v", tc.name, starts)
		}
	}
}

func TestAbsenceIsProofOnlyWhenNoStartCanArrive(t *testing.T) {
	current, later := observedWorker{seenTerm: true, incarnation: 2}, observedWorker{seenTerm: true, incarnation: 3}
	cases := []struct {
		name    string
		attempt attemptState
		worker  observedWorker
		want    absence
		proof   releaseProof
	}{
		{"never sent", attemptState{}, current, absenceOpen, ""},
		{"of an earlier leader, the token not seen", attemptState{runSent: true}, observedWorker{incarnation: 3}, absenceOpen, ""},
		{"of an earlier leader", attemptState{runSent: true}, current, absenceProved, proofNeverArrived},
		{"a new incarnation", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{direct: 1, relayedSeq: 9}}, later, absenceProved, proofNewIncarnation},
		{"a direct start open", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{direct: 1}, stopping: true}, current, absenceOpen, ""},
		{"a start in a response open", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{responseSeq: 9}, stopping: true}, current, absenceOpen, ""},
		{"a relayed start open", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{relayedSeq: 9}, stopping: true}, current, absenceOpen, ""},
		{"reported, and a start open", attemptState{runSent: true, incarnation: 2, starts: pendingStarts{relayedSeq: 9}, reported: true}, current, absenceOpen, ""},
		{"reported before", attemptState{runSent: true, incarnation: 2, reported: true}, current, absenceProved, proofForgotten},
		{"stopped before it started", attemptState{runSent: true, incarnation: 2, stopping: true}, current, absenceProved, proofStopped},
		{"lost on the way", attemptState{runSent: true, incarnation: 2}, current, absenceLost, ""},
	}
	for _, tc := range cases {
		if got, proof := tc.attempt.absentFrom(tc.worker); got != tc.want || proof != tc.proof {
			t.Errorf("%s: %v, %q, want %v, %q", tc.name, got, proof, tc.want, tc.proof)
		}
	}
}

func TestExitIsClearedOnceStoredAndNoStartCanArrive(t *testing.T) {
	cases := []struct {
		name     string
		exit     exitedTask
		mayClear bool
	}{
		{"stored", exitedTask{stored: true}, true},
		{"not stored", exitedTask{}, false},
		{"a direct start open", exitedTask{stored: true, starts: pendingStarts{direct: 1}}, false},
		{"a start in a response open", exitedTask{stored: true, starts: pendingStarts{responseSeq: 4}}, false},
		{"a relayed start open", exitedTask{stored: true, starts: pendingStarts{relayedSeq: 9}}, false},
	}
	for _, tc := range cases {
		if tc.exit.mayClear() != tc.mayClear {
			t.Errorf("%s: %+v", tc.name, tc.exit)
		}
	}
}
