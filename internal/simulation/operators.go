package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/peer"
	"switchferry/store"
)

// The probe is a job of probeCPUs processors for a team whose limit is one of two, of which it fits the larger only. The
// answer to it tells by which revision it was judged.
const (
	probeTeam       = "probe"
	probeLimitSmall = 4.0
	probeLimitLarge = 40.0
	probeCPUs       = 8.0
)

// inForceTimeout is how long the operators wait for a change to be in force.
const inForceTimeout = 8 * time.Second

// operators change the configuration while the simulation runs, one change after the other, and submit probes. They check
// that no controller decides or answers by a revision older than one that was confirmed to be in force.
type operators struct {
	sim *simulation

	// mu guards the fields below.
	mu       sync.Mutex
	attempts []configurationAttempt
	// inForce is the index of the last attempt that was confirmed to be in force, at confirmedAt; -1: none.
	inForce     int
	confirmedAt time.Time
	// recordedStarts is when the newest start of each task was written to the state service.
	recordedStarts map[string]recordedStart
	// changes counts the confirmed changes.
	changes int
}

// configurationAttempt is a configuration that was sent, whether it came into force or not.
type configurationAttempt struct {
	probeLimit float64
	// teamLimits are the limits of the teams that submit jobs.
	teamLimits map[string]float64
}

// recordedStart is a start of a task in the state service's records.
type recordedStart struct {
	attempt uint64
	at      time.Time
}

func newOperators(sim *simulation) *operators {
	return &operators{sim: sim, inForce: -1, recordedStarts: map[string]recordedStart{}}
}

// randomAttempt draws the next configuration. Every job fits its limits; with initialLimits they are as in the settings.
func (ops *operators) randomAttempt(rng *rand.Rand, initialLimits bool) configurationAttempt {
	attempt := configurationAttempt{probeLimit: probeLimitSmall, teamLimits: map[string]float64{}}
	if rng.IntN(2) == 0 {
		attempt.probeLimit = probeLimitLarge
	}
	for _, team := range teamNames {
		attempt.teamLimits[team] = ops.sim.teamLimit()
		if !initialLimits {
			attempt.teamLimits[team] = max(3*machineType.CPUs, ops.sim.teamLimit()*rng.Float64())
		}
	}
	return attempt
}

// document is the configuration's text; a random comment makes each one different.
func (attempt *configurationAttempt) document(rng *rand.Rand) string {
	var text strings.Builder
	if rng.IntN(3) == 0 {
		text.WriteString("[over_limit]\nrunning = \"stop\"\nstop_within_s = 5\n")
	}
	fmt.Fprintf(&text, "# %d\n[[teams]]\nname = %q\ncpus_max = %g\n", rng.Int64(), probeTeam, attempt.probeLimit)
	for _, team := range teamNames {
		fmt.Fprintf(&text, "[[teams]]\nname = %q\ncpus_max = %g\n", team, attempt.teamLimits[team])
	}
	return text.String()
}

// changeRepeatedly changes the configuration for as long as users submit jobs, and then back to the limits in the
// settings.
func (ops *operators) changeRepeatedly(ctx context.Context, began time.Time) {
	rng := ops.sim.actorRNG("operators")
	for ops.sim.sleep(ctx, ops.sim.ChangeInterval) && time.Since(began) < ops.sim.SubmitFor {
		ops.change(ctx, rng, false)
	}
	for ctx.Err() == nil && !ops.change(ctx, rng, true) {
		ops.sim.sleep(ctx, ops.sim.ChangeInterval)
	}
}

// change makes one change and waits for it to be in force; it reports false if that is not confirmed in time.
func (ops *operators) change(ctx context.Context, rng *rand.Rand, initialLimits bool) bool {
	attempt := ops.randomAttempt(rng, initialLimits)
	body, err := json.Marshal(api.ConfigurationRequest{Document: attempt.document(rng), By: "operators", Why: "the day"})
	if err != nil {
		panic(fmt.Sprintf("encoding a change of the configuration: %v", err))
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
	if code != http.StatusOK && !ops.awaitInForce(ctx, rng, made.Revision) {
		return false
	}
	ops.mu.Lock()
	defer ops.mu.Unlock()
	ops.inForce, ops.confirmedAt = number, time.Now()
	ops.changes++
	return true
}

// awaitInForce asks controllers until the leader answers that a revision is in force; it reports false if a later one
// is, or if inForceTimeout has passed.
func (ops *operators) awaitInForce(ctx context.Context, rng *rand.Rand, revision uint64) bool {
	for end := time.Now().Add(inForceTimeout); ; {
		if time.Now().After(end) || !ops.sim.sleep(ctx, 100*time.Millisecond) {
			return false
		}
		code, raw := ops.request(ctx, rng, peer.Request{Verb: controller.VerbConfiguration})
		var view api.ConfigurationView
		if code != http.StatusOK || json.Unmarshal(raw, &view) != nil || !view.Leader || !view.InForce {
			continue
		}
		if view.Revision >= revision {
			return view.Revision == revision
		}
	}
}

// request sends a request to a random controller and returns its answer, or 0 if it does not run or answer in time.
func (ops *operators) request(ctx context.Context, rng *rand.Rand, request peer.Request) (code int, body []byte) {
	name := controllerNames[rng.IntN(len(controllerNames))]
	instance := ops.sim.runningController(name)
	if instance == nil {
		return 0, nil
	}
	call, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	response, ok := ops.sim.call(call, name, instance, request)
	if !ok {
		return 0, nil
	}
	return response.Status, response.Body
}

// submitProbes submits again and again a job that can never be accepted. Where its team's limit admits it, it is refused
// for awaiting a job that was never submitted; the reason of the refusal tells which limit applied.
func (ops *operators) submitProbes(ctx context.Context) {
	rng := ops.sim.actorRNG("probes")
	body := encodeSubmission(&api.Submission{ID: "run-555000555", Class: "probe", Team: probeTeam, Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: probeCPUs, MemoryGB: 1, Image: "img", Awaits: []string{"run-555000556"}})
	for ops.sim.sleep(ctx, 200*time.Millisecond) {
		ops.mu.Lock()
		oldest := ops.inForce
		ops.mu.Unlock()
		code, raw := ops.request(ctx, rng, peer.Request{Verb: controller.VerbSubmit, Body: body})
		var refusal api.Error
		if code != http.StatusUnprocessableEntity || json.Unmarshal(raw, &refusal) != nil || oldest < 0 {
			continue
		}
		admitted := refusal.Field == "awaits"
		if !ops.probeAnswerPossible(admitted, oldest) {
			checker := ops.sim.checker
			checker.mu.Lock()
			checker.recordViolation("older_revision", "a submission is judged by another limit than the one in force and all later ones: passed %v", admitted)
			checker.mu.Unlock()
		}
	}
}

// probeAnswerPossible reports whether any attempt from the oldest on explains that a probe was admitted or not.
func (ops *operators) probeAnswerPossible(admitted bool, oldest int) bool {
	ops.mu.Lock()
	defer ops.mu.Unlock()
	return slices.ContainsFunc(ops.attempts[oldest:], func(attempt configurationAttempt) bool {
		return admitted == (attempt.probeLimit >= probeCPUs)
	})
}

// checkStart checks a start against the limits in force when it was recorded; usage is the team's with it. It returns a
// description of the violation, empty if there is none.
func (ops *operators) checkStart(task, team string, usage float64) (violation string) {
	ops.mu.Lock()
	defer ops.mu.Unlock()
	if ops.inForce < 0 {
		return ""
	}
	// A start that was recorded before the confirmation may have been decided by an older revision.
	limit := ops.attempts[ops.inForce].teamLimits[team]
	for _, attempt := range ops.attempts[ops.inForce+1:] {
		limit = max(limit, attempt.teamLimits[team])
	}
	if start, ok := ops.recordedStarts[task]; !ok || !start.at.After(ops.confirmedAt) || usage <= limit+cpuTolerance {
		return ""
	}
	return fmt.Sprintf("%s was recorded after a limit of %g came into force, and %s uses %g", task, limit, team, usage)
}

// startRecorder passes requests on to the state service and records, for the operators, when starts of tasks were
// written.
type startRecorder struct{ operators *operators }

// RoundTrip passes one request on.
func (recorder startRecorder) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Path != transactionPath || request.Body == nil {
		return recorder.operators.sim.state.RoundTrip(request)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, fmt.Errorf("reading a transaction: %w", err)
	}
	request.Body = io.NopCloser(strings.NewReader(string(body)))
	resp, err := recorder.operators.sim.state.RoundTrip(request)
	if err == nil && resp.StatusCode == http.StatusOK {
		recorder.operators.recordStarts(body)
	}
	return resp, err
}

// recordStarts records the starts that an executed transaction wrote.
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
		for _, placed := range record.On {
			task := fmt.Sprintf("%s/%d", shard.Job, placed.Task)
			if placed.Attempt > ops.recordedStarts[task].attempt {
				ops.recordedStarts[task] = recordedStart{placed.Attempt, time.Now()}
			}
		}
	}
}
