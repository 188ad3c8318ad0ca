package controller

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/store"
)

// stateOfFirstJob returns the state that a controller answers for the job run-000001, or the status code of a failure.
func stateOfFirstJob(t *testing.T, controller *Controller) any {
	t.Helper()
	return answeredState(t, controller, peer.Request{Verb: VerbStatus, Job: "run-000001"})
}

// answeredState returns the job state that a controller answers to a request, or the status code of a failure.
func answeredState(t *testing.T, controller *Controller, request peer.Request) any {
	t.Helper()
	response := controller.Handle(context.Background(), request, false)
	var job api.JobStatus
	if response.Status != 200 {
		return response.Status
	}
	if err := json.Unmarshal(response.Body, &job); err != nil {
		t.Fatal(err)
	}
	return job.State
}

// The transaction that stores a job's terminal state is committed and its response is lost. A controller that reads the
// record reports the terminal state to users, so the leader must not answer with an older state while the outcome of
// the transaction is unknown to it.
func TestTerminalStateWithLostResponseIsNotReverted(t *testing.T) {
	for _, state := range []string{api.Done, api.Cancelled} {
		t.Run(state, func(t *testing.T) {
			leader := newLeader(t)
			leading, other := leader.otherController(), leader.otherController()
			leading.term.begin(&leaderTerm{scheduler: leader.Scheduler})
			// Mark the state service as healthy for both controllers.
			for _, c := range []*Controller{leading, other} {
				if _, err := c.client.Get(t.Context(), store.LeaderKey); err != nil {
					t.Fatal(err)
				}
			}
			leader.heartbeat()
			leader.submit(smallJob("run-000001"))
			leader.Place()
			leader.commit()
			leader.state.LoseNextAnswer = true
			if state == api.Done {
				leader.seq++
				leader.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Address: "a1:1", Type: "m8", Zone: "a", Incarnation: 1, Seq: leader.seq, Term: leader.Term(),
					Tasks: []api.TaskReport{{Task: "run-000001/0", Attempt: leader.commands["run-000001/0"][0].Attempt, State: api.TaskExited, Cause: api.CauseDone}}}, "")
			} else {
				leader.Cancel(cancelledContext(), "run-000001")
			}
			if got := stateOfFirstJob(t, leading); got == state {
				t.Fatalf("answered %v before that state was written", got)
			}
			leader.committer.Step(t.Context())
			if got := stateOfFirstJob(t, other); got != state {
				t.Fatalf("another controller answers %v from the record, want %s", got, state)
			}
			if got := stateOfFirstJob(t, leading); got != state {
				t.Errorf("another controller has answered %s, the leader answers %v", state, got)
			}
			leader.clock.Advance(time.Second)
			leader.commit()
			if got := stateOfFirstJob(t, leading); got != state {
				t.Errorf("the leader answers %v after a retry, want %s", got, state)
			}
		})
	}
}
