package controller

import (
	"strings"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/store"
)

// Guards against a job that the leader reports as pending after another controller has reported it as cancelled. The
// transaction that stores a cancellation is committed and its response is lost. Any controller that reads the record
// then reports the job and its direct and indirect dependents as cancelled. Until the outcome of the transaction was
// known, the leader considered only the cancellation of the job itself, and not that of its dependencies. The test
// checks two dependents, with status requests and with repeated submissions.
func TestDependentStaysCancelledWhenCancellationResponseIsLost(t *testing.T) {
	leader, process := newLeaderProcess(t)
	if _, err := process.client.Get(t.Context(), store.LeaderKey); err != nil {
		t.Fatal(err)
	}
	chain := []string{"run-000001", "run-000002", "run-000003"}
	for index, id := range chain {
		job := smallJob(id)
		if index > 0 {
			job.Awaits = []string{chain[index-1]}
		}
		leader.submit(job)
	}
	leader.state.LoseNextAnswer = true
	leader.Cancel(cancelledContext(), chain[0])
	leader.committer.Step(t.Context())
	other := leader.otherController()
	requests := []struct {
		name    string
		request func(id string) peer.Request
	}{
		{"repeated submission", func(id string) peer.Request {
			return peer.Request{Verb: VerbSubmit, Body: []byte(strings.Replace(submissionBody(id, 1, ""), `"team"`, `"t"`, 1))}
		}},
		{"status request", func(id string) peer.Request { return peer.Request{Verb: VerbStatus, Job: id} }},
	}
	for _, c := range []*Controller{process, other} {
		// Another test covers the limit on reads for status requests.
		c.readLimiter.SetLimit(1e9)
		c.readLimiter.SetBurst(1 << 30)
	}
	check := func(when string) {
		for _, id := range chain {
			if got := answeredState(t, other, peer.Request{Verb: VerbStatus, Job: id}); got != api.Cancelled {
				t.Fatalf("%s, another controller answers for %s: %v", when, id, got)
			}
			for _, testCase := range requests {
				if got := answeredState(t, process, testCase.request(id)); got != api.Cancelled {
					t.Errorf("%s, another controller has answered %s for %s; the leader answered %v to a %s", when, api.Cancelled, id, got, testCase.name)
				}
			}
		}
	}
	check("before the leader knows the outcome")
	leader.clock.Advance(time.Second)
	leader.commit()
	check("after the leader knows the outcome")
}
