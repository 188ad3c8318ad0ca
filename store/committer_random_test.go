package store

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/fake"
	"switchferry/settings"
	"switchferry/tuning"
)

// randomSeeds is the number of schedules that TestRandomFaultsBlockNoRecord plays.
const randomSeeds = 200

// randomRun plays one random schedule of a committer: users submit jobs, some of which are over, some of which a peer has
// accepted and some of which have a damaged final record, while responses are lost, transactions are executed late and the
// state service is down for a while.
type randomRun struct {
	*testing.T
	random    *rand.Rand
	clock     *clockwork.FakeClock
	state     *fake.State
	source    *fakeSource
	committer *Committer
	// submitted counts the submissions of each job, and stored the calls of their callbacks.
	submitted, stored map[string]int
	// ended, adopted and damaged have the jobs with a final record, with the record of a peer, and with a damaged final
	// record.
	ended, adopted, damaged map[string]bool
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	clock := clockwork.NewFakeClock()
	limits := settings.StateLimits{WriteRPS: 200, TxnOps: 12, ValueKB: 16}
	run := &randomRun{T: t, random: rand.New(rand.NewPCG(seed, 0)), clock: clock, submitted: map[string]int{}, stored: map[string]int{},
		ended: map[string]bool{}, adopted: map[string]bool{}, damaged: map[string]bool{}}
	run.state, run.source, run.committer = newTestCommitterWithin(clock, limits)
	run.source.conditions = map[string][]Condition{}
	run.source.onConflict = run.onConflict
	return run
}

// onConflict drops a job that is over, as the scheduler does. A damaged final record changes nothing.
func (r *randomRun) onConflict(key string) {
	for id := range r.ended {
		if key == FinalKey(id) {
			delete(r.source.values, JobKey(id))
		}
	}
}

// submitNew submits a job for the first time, after another process may have written a record of it.
func (r *randomRun) submitNew(number int) {
	id := jobID(number)
	switch r.random.IntN(8) {
	case 0:
		r.ended[id] = true
		r.state.Put(FinalKey(id), FinalRecord{State: "done"})
	case 1:
		r.adopted[id] = true
		r.state.Put(JobKey(id), "job of a peer")
	case 2:
		if len(r.damaged) < 3 {
			r.damaged[id] = true
			r.state.Put(FinalKey(id), "damaged")
		}
	}
	r.submit(id)
}

// submit marks the record of a job as dirty that the source takes for new.
func (r *randomRun) submit(id string) {
	r.submitted[id]++
	r.source.values[JobKey(id)] = "job"
	r.source.conditions[JobKey(id)] = []Condition{{Key: FinalKey(id)}}
	r.committer.MarkDirty(JobKey(id), Urgent, func() { r.stored[id]++ })
}

// jobID returns the ID of a job.
func jobID(number int) string { return fmt.Sprintf("run-%06d", number) }

// step lets a fault happen, now and then, and attempts one transaction.
func (r *randomRun) step() {
	switch r.random.IntN(12) {
	case 0:
		r.state.LoseNextAnswer = true
	case 1:
		r.state.HoldNextTransaction = true
	case 2:
		r.state.ExecuteHeld()
	case 3:
		r.state.Down = r.random.IntN(3) == 0
	}
	r.clock.Advance(max(time.Millisecond, r.committer.Step(r.Context())))
}

// finish ends all faults and runs for the longest time for which a record is deferred.
func (r *randomRun) finish() {
	r.state.Down, r.state.LoseNextAnswer, r.state.HoldNextTransaction = false, false, false
	r.state.ExecuteHeld()
	for end := r.clock.Now().Add(tuning.QuarantineTime + time.Second); r.clock.Now().Before(end); {
		r.clock.Advance(max(time.Millisecond, r.committer.Step(r.Context())))
	}
}

// check verifies that each job was stored or dropped, but for those with a damaged final record.
func (r *randomRun) check(jobs int) {
	if pending := r.committer.Pending(); pending != len(r.damaged) {
		r.Errorf("%d records are pending, want those of the %d jobs with a damaged final record", pending, len(r.damaged))
	}
	for number := range jobs {
		id := jobID(number)
		wantStored, wantRecord := r.submitted[id], !r.ended[id] && !r.damaged[id]
		if r.damaged[id] {
			wantStored = 0
		}
		if r.stored[id] != wantStored || (r.state.Get(JobKey(id)) != nil) != wantRecord {
			r.Errorf("%s (ended %v, adopted %v, damaged %v): callback ran %d times, has a record %v; want %d and %v",
				id, r.ended[id], r.adopted[id], r.damaged[id], r.stored[id], r.state.Get(JobKey(id)) != nil, wantStored, wantRecord)
		}
	}
	for key := range r.committer.revisions {
		if _, exists := r.source.values[key]; !exists {
			r.Errorf("the revision of %s is kept", key)
		}
	}
	if r.committer.Stalled() {
		r.Error("the committer is stalled")
	}
}

// Whatever other processes write, and whichever responses are lost or transactions executed late: each record is stored or
// dropped once the faults are over, its callback runs once, and a record that cannot be stored blocks no other. In
// docs/incidents/leader-stopped-storing.md, one such record blocked all.
func TestRandomFaultsBlockNoRecord(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			run := newRandomRun(t, seed)
			const jobs = 60
			for number := range jobs {
				run.submitNew(number)
				if id := jobID(run.random.IntN(number + 1)); run.ended[id] {
					run.submit(id) // the source has forgotten that the job is over
				}
				for range run.random.IntN(6) {
					run.step()
				}
			}
			run.finish()
			run.check(jobs)
		})
	}
}
