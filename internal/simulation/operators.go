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

// The probe is a job whose submission shows which limit of its team a controller applies, and so which revision of the
// configuration: the job fits the larger limit only.
const (
	// probeTeam is the team of the probe.
	probeTeam = "probe"
	// probeLimitSmall is the smaller limit of the team, in processors.
	probeLimitSmall = 4.0
	// probeLimitLarge is the larger limit of the team, in processors.
	probeLimitLarge = 40.0
	// probeCPUs is the number of processors that the probe needs.
	probeCPUs = 8.0
)

// inForceTimeout is how long the operators wait for a change to come into force.
const inForceTimeout = 8 * time.Second

// operators change the configuration while the simulation runs, one change after the other, and submit probes. They
// check that no controller schedules tasks or answers requests by a revision that is older than one that was confirmed
// to be in force.
type operators struct {
	sim *simulation

	// mu guards the fields below.
	mu sync.Mutex
	// proposals holds all proposed configurations, in the order in which they were sent.
	proposals []proposedConfiguration
	// confirmedProposal is the index of the last confirmed proposal; -1 if there is none.
	confirmedProposal int
	// confirmedAt is when that proposal was confirmed to be in force.
	confirmedAt time.Time
	// recordedStarts holds the newest start of each task that was written to the state service.
	recordedStarts map[string]recordedStart
	// confirmedChanges counts the changes that were confirmed to be in force.
	confirmedChanges int
}

// proposedConfiguration is a configuration that was sent to a controller, whether it came into force or not. Its limits
// are in processors.
type proposedConfiguration struct {
	// probeLimit is the limit of probeTeam.
	probeLimit float64
	// teamLimits holds the limits of the teams that submit jobs.
	teamLimits map[string]float64
}

// recordedStart is a start of a task in the state service's records.
type recordedStart struct {
	// attempt is the number of the attempt among the attempts of the task.
	attempt uint64
	// at is when the start was written.
	at time.Time
}

func newOperators(sim *simulation) *operators {
	return &operators{sim: sim, confirmedProposal: -1, recordedStarts: map[string]recordedStart{}}
}

// randomProposal draws the next configuration. Every single task fits its limits. With initialLimits, the limits of the
// teams that submit jobs are those in the settings.
func (ops *operators) randomProposal(rng *rand.Rand, initialLimits bool) proposedConfiguration {
	proposal := proposedConfiguration{probeLimit: probeLimitSmall, teamLimits: map[string]float64{}}
	if rng.IntN(2) == 0 {
		proposal.probeLimit = probeLimitLarge
	}
	for _, team := range teamNames {
		proposal.teamLimits[team] = ops.sim.teamLimit()
		if !initialLimits {
			proposal.teamLimits[team] = max(3*machineType.CPUs, ops.sim.teamLimit()*rng.Float64())
		}
	}
	return proposal
}

// document returns the text of the configuration. A random comment makes each text different.
func (proposal *proposedConfiguration) document(rng *rand.Rand) string {
	var text strings.Builder
	if rng.IntN(3) == 0 {
		text.WriteString("[over_limit]\nrunning = \"stop\"\nstop_within_s = 5\n")
	}
	fmt.Fprintf(&text, "# %d\n[[teams]]\nname = %q\ncpus_max = %g\n", rng.Int64(), probeTeam, proposal.probeLimit)
	for _, team := range teamNames {
		fmt.Fprintf(&text, "[[teams]]\nname = %q\ncpus_max = %g\n", team, proposal.teamLimits[team])
	}
	return text.String()
}

// changeRepeatedly changes the configuration every ChangeInterval while users submit jobs, and then restores the limits
// in the settings. start is when users began to submit jobs.
func (ops *operators) changeRepeatedly(ctx context.Context, start time.Time) {
	rng := ops.sim.actorRNG("operators")
	for ops.sim.sleep(ctx, ops.sim.ChangeInterval) && time.Since(start) < ops.sim.SubmitFor {
		ops.change(ctx, rng, false)
	}
	for ctx.Err() == nil && !ops.change(ctx, rng, true) {
		ops.sim.sleep(ctx, ops.sim.ChangeInterval)
	}
}

// change makes one change and waits until it is in force; it reports false if that is not confirmed in time.
func (ops *operators) change(ctx context.Context, rng *rand.Rand, initialLimits bool) bool {
	proposal := ops.randomProposal(rng, initialLimits)
	body, err := json.Marshal(api.ConfigurationRequest{Document: proposal.document(rng), Operator: "operators", Reason: "the day"})
	if err != nil {
		panic(fmt.Sprintf("encoding a change of the configuration: %v", err))
	}
	ops.mu.Lock()
	ops.proposals = append(ops.proposals, proposal)
	index := len(ops.proposals) - 1
	ops.mu.Unlock()
	code, raw := ops.request(ctx, rng, peer.Request{Verb: controller.VerbConfigure, Body: body})
	var response struct {
		Revision uint64 `json:"revision"`
	}
	if code != http.StatusOK && code != http.StatusAccepted || json.Unmarshal(raw, &response) != nil {
		return false
	}
	if code != http.StatusOK && !ops.awaitInForce(ctx, rng, response.Revision) {
		return false
	}
	ops.mu.Lock()
	defer ops.mu.Unlock()
	ops.confirmedProposal, ops.confirmedAt = index, time.Now()
	ops.confirmedChanges++
	return true
}

// awaitInForce polls random controllers until the leader reports that a revision is in force. It reports false if a
// later revision is in force, or if inForceTimeout has passed.
func (ops *operators) awaitInForce(ctx context.Context, rng *rand.Rand, revision uint64) bool {
	for end := time.Now().Add(inForceTimeout); ; {
		if time.Now().After(end) || !ops.sim.sleep(ctx, 100*time.Millisecond) {
			return false
		}
		code, raw := ops.request(ctx, rng, peer.Request{Verb: controller.VerbConfiguration})
		var view api.ConfigurationView
		if code != http.StatusOK || json.Unmarshal(raw, &view) != nil || !view.FromLeader || !view.InForce {
			continue
		}
		if view.Revision >= revision {
			return view.Revision == revision
		}
	}
}

// request sends a request to a random controller and returns the HTTP status code and body of its response, or 0 if the
// controller does not run or does not answer within requestTimeout.
func (ops *operators) request(ctx context.Context, rng *rand.Rand, request peer.Request) (code int, body []byte) {
	name := controllerNames[rng.IntN(len(controllerNames))]
	instance := ops.sim.runningController(name)
	if instance == nil {
		return 0, nil
	}
	callContext, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	response, ok := ops.sim.call(callContext, name, instance, request)
	if !ok {
		return 0, nil
	}
	return response.Status, response.Body
}

// submitProbes repeatedly submits the probe and checks which limit the controllers apply to it. The probe is never
// accepted: a controller refuses it for the limit of its team, or, if the limit admits it, for awaiting a job that was
// never submitted.
func (ops *operators) submitProbes(ctx context.Context) {
	rng := ops.sim.actorRNG("probes")
	body := encodeSubmission(&api.Submission{ID: "run-555000555", Class: "probe", Team: probeTeam, Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: probeCPUs, MemoryGB: 1, Image: "img", Awaits: []string{"run-555000556"}})
	for ops.sim.sleep(ctx, 200*time.Millisecond) {
		ops.mu.Lock()
		oldest := ops.confirmedProposal
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
			checker.recordViolation("older_revision", "a controller applied a limit to a submission that neither the configuration in force nor a later one has: admitted %v", admitted)
			checker.mu.Unlock()
		}
	}
}

// probeAnswerPossible reports whether any proposal from the one with the index oldest on has a limit with which the
// probe is admitted, or not admitted if admitted is false.
func (ops *operators) probeAnswerPossible(admitted bool, oldest int) bool {
	ops.mu.Lock()
	defer ops.mu.Unlock()
	return slices.ContainsFunc(ops.proposals[oldest:], func(proposal proposedConfiguration) bool {
		return admitted == (proposal.probeLimit >= probeCPUs)
	})
}

// checkStart checks a start of a task against the limits that may be in force when it was recorded. usage is the number
// of processors that the team uses, including the task. checkStart returns a description of the violation, empty if
// there is none.
func (ops *operators) checkStart(task, team string, usage float64) (violation string) {
	ops.mu.Lock()
	defer ops.mu.Unlock()
	if ops.confirmedProposal < 0 {
		return ""
	}
	limit := ops.proposals[ops.confirmedProposal].teamLimits[team]
	for _, proposal := range ops.proposals[ops.confirmedProposal+1:] {
		limit = max(limit, proposal.teamLimits[team])
	}
	// A start that was recorded before the confirmation may have been decided by an older revision.
	if start, ok := ops.recordedStarts[task]; !ok || !start.at.After(ops.confirmedAt) || usage <= limit+cpuTolerance {
		return ""
	}
	return fmt.Sprintf("%s was recorded after a limit of %g processors came into force, and team %s uses %g", task, limit, team, usage)
}

// startRecorder forwards requests to the state service and records, for the operators, when starts of tasks were
// written.
type startRecorder struct{ operators *operators }

// RoundTrip forwards one request, and records the starts of a transaction that was executed.
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

// recordStarts records the starts of tasks that an executed transaction wrote.
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
		for _, placed := range record.Placed {
			task := fmt.Sprintf("%s/%d", shard.Job, placed.Task)
			if placed.Attempt > ops.recordedStarts[task].attempt {
				ops.recordedStarts[task] = recordedStart{placed.Attempt, time.Now()}
			}
		}
	}
}
