package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"switchferry/api"
	"switchferry/lookup"
)

// Runs random dependency graphs with random completions, cancellations and leader crashes between any two writes, and
// compares the scheduler with a reference that recomputes all states from the records.
func TestRandomDependenciesMatchRecords(t *testing.T) {
	graphs := 1000
	if testing.Short() {
		graphs = 100
	}
	for seed := range graphs {
		h := newHarness(t)
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		run := &randomRun{harness: h, dependenciesOf: map[string][]string{}, cancelConfirmed: map[string]bool{}, cancelRequested: map[string]bool{}, lastState: map[string]string{}}
		for range 30 {
			run.step(rng)
			run.check(seed)
		}
		for i := 0; i < 60 && len(run.jobs) > 0; i++ {
			run.advance()
		}
		run.check(seed)
		// A cancellation that was requested but not confirmed may have been stored or not.
		wantCancelled := map[string]bool{}
		for _, id := range run.ids {
			want := api.Done
			state := run.reportedState(id)
			wantCancelled[id] = run.cancelConfirmed[id] || run.cancelRequested[id] && state == api.Cancelled || slices.ContainsFunc(run.dependenciesOf[id], func(dependency string) bool { return wantCancelled[dependency] })
			if wantCancelled[id] {
				want = api.Cancelled
			}
			if state != want {
				t.Fatalf("seed %d: %s is %q in the end, want %s", seed, id, state, want)
			}
		}
	}
}

// randomRun is the state of one random run: what users requested and which responses they got.
type randomRun struct {
	*harness
	ids []string
	// dependenciesOf lists the direct dependencies of each job.
	dependenciesOf map[string][]string
	// cancelRequested holds the jobs whose cancellation was requested, cancelConfirmed those for which it was confirmed.
	cancelConfirmed map[string]bool
	cancelRequested map[string]bool
	// lastState is the last state that was reported for each job.
	lastState map[string]string
	// checkedResponses is the number of sent responses that check has examined.
	checkedResponses int
	// recordReader reads states from the records. Each check gets a new one, because it caches terminal states.
	recordReader *lookup.Jobs
	running      []api.TaskReport
}

// mustBeCancelled reports whether a job must be cancelled because its cancellation, or that of a direct or transitive
// dependency, was confirmed to a user.
func (r *randomRun) mustBeCancelled(id string) bool {
	return r.cancelConfirmed[id] || slices.ContainsFunc(r.dependenciesOf[id], r.mustBeCancelled)
}

// reportedState returns the state of a job as reported to a user, by the leader or else from the records.
func (r *randomRun) reportedState(id string) string {
	if status, ok := r.JobStatus(id); ok {
		return status.State
	}
	if r.recordReader == nil {
		r.recordReader = r.records()
	}
	status, found, err := statusOnRecord(r.recordReader, id)
	if err != nil || !found {
		r.Fatalf("%s: found on record: %v, error: %v", id, found, err)
	}
	return status.State
}

// step performs one random action: a submission, a cancellation, a leader change or a round of the scheduler.
func (r *randomRun) step(rng *rand.Rand) {
	switch rng.IntN(9) {
	case 0, 1, 2:
		id := fmt.Sprintf("run-%06d", len(r.ids))
		var awaited []string
		for _, earlier := range r.ids {
			if rng.IntN(3) == 0 {
				awaited = append(awaited, earlier)
			}
		}
		submission := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, Image: "img", ImageGB: 1, EstimateS: 30}
		dependingOn(awaited...)(&submission)
		r.Submit(cancelledContext(), &submission, r.clock.Now())
		r.commit()
		r.ids, r.dependenciesOf[id] = append(r.ids, id), awaited
	case 3:
		if len(r.ids) == 0 {
			return
		}
		id := r.ids[rng.IntN(len(r.ids))]
		r.Cancel(cancelledContext(), id)
		r.cancelRequested[id] = true
		if rng.IntN(2) == 0 {
			r.committer.Step(context.Background())
		} else {
			r.commit()
		}
		if response, ok := r.Cancel(cancelledContext(), id); ok && response.Status == 200 && strings.Contains(string(response.Body), api.Cancelled) && !r.mustBeCancelled(id) {
			r.cancelConfirmed[id] = true
		}
	case 4:
		// The leader crashes; its writes that are not sent yet are lost.
		r.elect()
		r.running = nil
	default:
		r.advance()
	}
}

// advance runs one round: a machine sends a heartbeat, pending tasks are placed and two transactions are written.
func (r *randomRun) advance() {
	if len(r.UnresolvedDependencies()) > 0 {
		r.lookUpDependencies()
	}
	r.heartbeat("a1", 1, r.running...)
	r.Place()
	r.committer.Step(context.Background())
	r.committer.Step(context.Background())
	r.answerCommands()
	r.running = nil
	for key, alloc := range r.getOrAddMachine("a1").allocations {
		if alloc.committed {
			// Each task completes as soon as it has started.
			r.running = append(r.running, taskReport(key, alloc.attempt, api.TaskExited, api.CauseDone))
		}
	}
}

// check fails the test if a task started before all dependencies were done on record, if a job is not cancelled
// although a confirmed cancellation requires it, or if a reported terminal state has changed.
func (r *randomRun) check(seed int) {
	r.Helper()
	r.recordReader = nil
	for _, sent := range r.sent[min(r.checkedResponses, len(r.sent)):] {
		for _, command := range sent.response.Commands {
			id, _, _ := parseTaskKey(command.Task)
			if command.Verb != api.CommandRun {
				continue
			}
			for _, dependency := range r.dependenciesOf[id] {
				if status, _, err := statusOnRecord(r.records(), dependency); err != nil || status.State != api.Done {
					r.Fatalf("seed %d: %s starts although its dependency %s is %q on record", seed, command.Task, dependency, status.State)
				}
			}
		}
	}
	r.checkedResponses = len(r.sent)
	for _, id := range r.ids {
		status := r.reportedState(id)
		if r.mustBeCancelled(id) && status != api.Cancelled {
			r.Fatalf("seed %d: %s is %q although its cancellation or that of a dependency was confirmed", seed, id, status)
		}
		if was := r.lastState[id]; (was == api.Done || was == api.Cancelled) && status != was {
			r.Fatalf("seed %d: the terminal state of %s changed from %s to %s", seed, id, was, status)
		}
		r.lastState[id] = status
	}
}
