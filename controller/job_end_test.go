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

// statusOf is the state that a controller answers about the job run-000001, or the status code of a failure.
func statusOf(t *testing.T, controller *Controller) any {
	t.Helper()
	return stateAnswered(t, controller, peer.Request{Verb: VerbStatus, Job: "run-000001"})
}

// stateAnswered is the state that a controller answers to a request about a job, or the status code of a failure.
func stateAnswered(t *testing.T, controller *Controller, request peer.Request) any {
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

// The transaction that stores a job's end is carried out and its answer is lost. Whoever reads the record tells users of
// the end, so the leader must not answer anything older until it knows what became of the transaction.
func TestEndWithALostAnswerIsNotTakenBack(t *testing.T) {
	for _, state := range []string{api.Done, api.Cancelled} {
		t.Run(state, func(t *testing.T) {
			leader := newLeader(t)
			leading, beside := leader.beside(), leader.beside()
			leading.term.begin(&leaderTerm{scheduler: leader.Scheduler})
			// The state service answers it.
			for _, c := range []*Controller{leading, beside} {
				if _, err := c.client.Get(t.Context(), store.LeaderKey); err != nil {
					t.Fatal(err)
				}
			}
			leader.heartbeat()
			leader.submit(smallJob("run-000001"))
			leader.Place()
			leader.commit()
			leader.state.LoseAnswer = true
			if state == api.Done {
				leader.seq++
				leader.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Address: "a1:1", Type: "m8", Zone: "a", Incarnation: 1, Seq: leader.seq, Term: leader.Term(),
					Tasks: []api.TaskReport{{Task: "run-000001/0", Attempt: leader.commands["run-000001/0"][0].Attempt, State: api.TaskExited, Cause: api.CauseDone}}}, "")
			} else {
				leader.Cancel(cancelledContext(), "run-000001")
			}
			if got := statusOf(t, leading); got == state {
				t.Fatalf("%v before it was written", got)
			}
			leader.committer.Step(t.Context())
			if got := statusOf(t, beside); got != state {
				t.Fatalf("on record it is %v, want %s", got, state)
			}
			if got := statusOf(t, leading); got != state {
				t.Errorf("another controller has answered %s, the leader answers %v", state, got)
			}
			leader.clock.Advance(time.Second)
			leader.commit()
			if got := statusOf(t, leading); got != state {
				t.Errorf("%v in the end, want %s", got, state)
			}
		})
	}
}
