package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/peer"
	"switchferry/store"
)

// The team whose limit tells by which revision a submission was judged: it is one of two, and what is submitted for it
// fits into the larger one alone.
const (
	probeTeam       = "probe"
	probeLimitSmall = 4.0
	probeLimitLarge = 40.0
	probeCPUs       = 8.0
)

// operators change the configuration while the day goes on, one change after the other, and submit jobs that tell by
// which revision they are judged. They check that nobody decides or answers by a revision older than one that they were
// finalState is in force.
type operators struct {
	sim *simulation

	mu       sync.Mutex
	attempts []configurationAttempt
	// inForce is the last attempt that they were told is in force, at finalAt; -1: none.
	inForce     int
	confirmedAt time.Time
	// recordedStarts is when the newest attempt of each task came on record.
	recordedStarts map[string]recordedStart
	changes        int
}

// configurationAttempt is a document that was sent, whatever became of it.
type configurationAttempt struct {
	probeLimit float64
	// teamLimits are of the teams that do the day's work.
	teamLimits map[string]float64
}

type recordedStart struct {
	attempt uint64
	at      time.Time
}

func newOperators(sim *simulation) *operators {
	return &operators{sim: sim, inForce: -1, recordedStarts: map[string]recordedStart{}}
}

// randomAttempt makes the next document. Every job of the day fits into its limits; with all, they are as in the settings.
func (ops *operators) randomAttempt(rng *rand.Rand, all bool) configurationAttempt {
	attempt := configurationAttempt{probeLimit: probeLimitSmall, teamLimits: map[string]float64{}}
	if rng.IntN(2) == 0 {
		attempt.probeLimit = probeLimitLarge
	}
	for _, team := range []string{"one", "two"} {
		attempt.teamLimits[team] = ops.sim.teamLimit()
		if !all {
			attempt.teamLimits[team] = max(3*machineType.CPUs, ops.sim.teamLimit()*rng.Float64())
		}
	}
	return attempt
}

func (attempt *configurationAttempt) document(rng *rand.Rand) string {
	var text strings.Builder
	if rng.IntN(3) == 0 {
		text.WriteString("[over_limit]\nrunning = \"stop\"\nstop_within_s = 5\n")
	}
	fmt.Fprintf(&text, "# %d\n[[teams]]\nname = %q\ncpus_max = %g\n", rng.Int64(), probeTeam, attempt.probeLimit)
	for _, team := range []string{"one", "two"} {
		fmt.Fprintf(&text, "[[teams]]\nname = %q\ncpus_max = %g\n", team, attempt.teamLimits[team])
	}
	return text.String()
}

// changeRepeatedly changes the configuration again and again, and in the end has all limits as in the settings.
func (ops *operators) changeRepeatedly(ctx context.Context, began time.Time) {
	rng := ops.sim.actorRNG("operators")
	for ops.sim.sleep(ctx, ops.sim.ChangeInterval) && time.Since(began) < ops.sim.SubmitFor {
		ops.change(ctx, rng, false)
	}
	for ctx.Err() == nil && !ops.change(ctx, rng, true) {
		ops.sim.sleep(ctx, ops.sim.ChangeInterval)
	}
}

// change makes one change and waits a while for it to be in force; true: it is.
func (ops *operators) change(ctx context.Context, rng *rand.Rand, all bool) bool {
	attempt := ops.randomAttempt(rng, all)
	body, err := json.Marshal(api.ConfigurationRequest{Document: attempt.document(rng), By: "operators", Why: "the day"})
	if err != nil {
		panic(err)
	}
	ops.mu.Lock()
	ops.attempts = append(ops.attempts, attempt)
	number := len(ops.attempts) - 1
	ops.mu.Unlock()
	code, raw := ops.request(ctx, rng, peer.Request{Verb: controller.VerbConfigure, Body: body})
	var made struct {
		Revision uint64 `json:"revision"`
	}
	if code != http.StatusOK && code != http.StatusAccepted || json.Unmarshal(raw, &made) != nil {
		return false
	}
	for end := time.Now().Add(8 * time.Second); code != http.StatusOK; {
		if time.Now().After(end) || !ops.sim.sleep(ctx, 100*time.Millisecond) {
			return false
		}
		var v api.ConfigurationView
		if shown, raw := ops.request(ctx, rng, peer.Request{Verb: controller.VerbConfiguration}); shown == http.StatusOK && json.Unmarshal(raw, &v) == nil && v.Leader && v.InForce {
			switch {
			case v.Revision == made.Revision:
				code = http.StatusOK
			case v.Revision > made.Revision:
				return false
			}
		}
	}
	ops.mu.Lock()
	defer ops.mu.Unlock()
	ops.inForce, ops.confirmedAt = number, time.Now()
	ops.changes++
	return true
}

// request sends a request to any controller that runs, and gives its answer as it is.
func (ops *operators) request(ctx context.Context, rng *rand.Rand, request peer.Request) (code int, body []byte) {
	name := controllerNames[rng.IntN(len(controllerNames))]
	instance := ops.sim.runningController(name)
	if instance == nil {
		return 0, nil
	}
	call, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	got := make(chan peer.Response, 1)
	go func() {
		ops.sim.waitWhilePaused(name)
		response := instance.Handle(call, request, false)
		ops.sim.waitWhilePaused(name)
		got <- response
	}()
	select {
	case response := <-got:
		return response.Status, response.Body
	case <-call.Done():
		return 0, nil
	}
}

// submitProbes submits, again and again, a job that can never be accepted: where its team's limit lets it pass, it is refused
// for a job that it awaits and that was never submitted.
func (ops *operators) submitProbes(ctx context.Context) {
	rng := ops.sim.actorRNG("probes")
	submission := api.Submission{ID: "run-555000555", Class: "probe", Team: probeTeam, Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: probeCPUs, MemoryGB: 1, Image: "img", Awaits: []string{"run-555000556"}}
	body, err := json.Marshal(&submission)
	if err != nil {
		panic(err)
	}
	for ops.sim.sleep(ctx, 200*time.Millisecond) {
		ops.mu.Lock()
		oldest := ops.inForce
		ops.mu.Unlock()
		code, raw := ops.request(ctx, rng, peer.Request{Verb: controller.VerbSubmit, Body: body})
		var refused api.Error
		if code != http.StatusUnprocessableEntity || json.Unmarshal(raw, &refused) != nil || oldest < 0 {
			continue
		}
		passed := refused.Field == "awaits"
		ops.mu.Lock()
		possible := false
		for _, attempt := range ops.attempts[oldest:] {
			possible = possible || passed == (attempt.probeLimit >= probeCPUs)
		}
		ops.mu.Unlock()
		if !possible {
			ops.sim.checker.mu.Lock()
			ops.sim.checker.recordViolation("older_revision", "a submission is judged by another limit than the one in force and all later ones: passed %v", passed)
			ops.sim.checker.mu.Unlock()
		}
	}
}

// checkStart checks a start against the limits in force when it came on record; use is the team's with it.
func (ops *operators) checkStart(task, team string, use float64) (broken string) {
	ops.mu.Lock()
	defer ops.mu.Unlock()
	if ops.inForce < 0 {
		return ""
	}
	// What was recorded before they were told may have been decided by an older one.
	limit := ops.attempts[ops.inForce].teamLimits[team]
	for _, attempt := range ops.attempts[ops.inForce+1:] {
		limit = max(limit, attempt.teamLimits[team])
	}
	if r, ok := ops.recordedStarts[task]; !ok || !r.at.After(ops.confirmedAt) || use <= limit+1e-6 {
		return ""
	}
	return fmt.Sprintf("%s was recorded after a limit of %g came into force, and %s uses %g", task, limit, team, use)
}

// startRecorder is the state service as seen by the operators: they note when starts come on record.
type startRecorder struct{ operators *operators }

// RoundTrip executes one request.
func (recorder startRecorder) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Path != "/multi" || request.Body == nil {
		return recorder.operators.sim.state.RoundTrip(request)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	request.Body = io.NopCloser(strings.NewReader(string(body)))
	resp, err := recorder.operators.sim.state.RoundTrip(request)
	if err == nil && resp.StatusCode == http.StatusOK {
		recorder.operators.recordStarts(body)
	}
	return resp, err
}

func (ops *operators) recordStarts(body []byte) {
	var transaction struct {
		Then []struct {
			Set   string          `json:"set"`
			Value json.RawMessage `json:"value"`
		} `json:"then"`
	}
	if json.Unmarshal(body, &transaction) != nil {
		return
	}
	ops.mu.Lock()
	defer ops.mu.Unlock()
	for _, op := range transaction.Then {
		shard, ok := store.ParseShard(op.Set)
		var record store.ShardRecord
		if !strings.HasPrefix(op.Set, store.ShardPrefix) || !ok || json.Unmarshal(op.Value, &record) != nil {
			continue
		}
		for _, p := range record.On {
			task := fmt.Sprintf("%s/%d", shard.Job, p.Task)
			if p.Attempt > ops.recordedStarts[task].attempt {
				ops.recordedStarts[task] = recordedStart{p.Attempt, time.Now()}
			}
		}
	}
}
