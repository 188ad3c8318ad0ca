package simulation

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"switchferry/internal/compress"
	"switchferry/invariant"
	"switchferry/settings"
)

var (
	seedCount = flag.Int("seeds", 0, "number of seeds for each test with random scenarios; 0 means the test's own number, which is smaller with the race detector")
	firstSeed = flag.Uint64("first", 1, "first seed of the tests with random scenarios")
	writeLogs = flag.Bool("logs", false, "write the controllers' logs")
)

func TestMain(m *testing.M) {
	flag.Parse()
	if !*writeLogs {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	// The encoders are created once, on first use. They are used here outside synctest, since channels that are created
	// in one synctest bubble cannot be used in another.
	for _, f := range []func(any) (string, error){compress.EncodeFast, compress.EncodeSmall} {
		if _, err := f(0); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// runScenario runs a scenario in a synctest bubble and fails the test if a rule was broken, the controllers reported an
// invariant violation, a response was unexpected, or jobs were unanswered, starved or not started.
func runScenario(t *testing.T, scenario *Scenario) *Result {
	return runOverloadedScenario(t, scenario, 0)
}

// runOverloadedScenario is runScenario for a scenario with more work than can start: up to maxNeverStarted jobs may not
// have started at the end.
func runOverloadedScenario(t *testing.T, scenario *Scenario, maxNeverStarted int) (result *Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { result = scenario.Run(t.Context()) })
	if violations := invariant.ResetViolations(); violations > 0 {
		t.Errorf("seed %d: the controllers reported %d invariant violations; run with -logs to see them", scenario.Seed, violations)
	}
	for rule, n := range result.Violations {
		t.Errorf("seed %d: rule %s broken %d times", scenario.Seed, rule, n)
	}
	if result.UnansweredJobs > 0 || result.NeverStartedJobs > maxNeverStarted || result.StarvedJobs > 0 || result.UnexpectedResponses > 0 || result.MinStartedShare < 0.5 || result.LongestUnansweredS > 30 {
		t.Errorf("seed %d: %+v", scenario.Seed, *result)
	}
	if result.StartsAfterCancel > 0 {
		for _, why := range result.Explanations {
			t.Log(why)
		}
		t.Logf("%d tasks started after their job was reported as cancelled: %+v", result.StartsAfterCancel, scenario.Faults)
	}
	if t.Failed() {
		t.Logf("%+v", scenario.Faults)
		for _, why := range result.Explanations {
			t.Log(why)
		}
	}
	return result
}

// workerTimings holds the workers' settings of a small fleet and of a large one.
var workerTimings = []settings.Workers{{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}, {HeartbeatIntervalS: 4, LeaseS: 22, CancelDeadlineS: 47}}

// randomScenario draws a scenario of two to six faults.
func randomScenario(seed uint64) *Scenario {
	scenario := NewScenario(seed, 12)
	rng := rand.New(rand.NewPCG(seed, 1))
	scenario.Workers = workerTimings[rng.IntN(len(workerTimings))]
	kinds := []string{ControllerCrash, ControllerCrash, RollingRestart, ControllerIsolated, OutboundLost, ControllerOutboundLost, DuplicateHeartbeats, MachineCrash, WorkerRestart, StateOutage, ZonePartition, StateRefused, StateRefused, CancellationWave, ControllerPartition, ControllerPairPartition, LateWrites, LateWrites, DelayedCommands,
		MachineHang, MachineHang, InboundLost, InboundLost, ProcessPause, SlowState, CancelAtEnd, CancelAtEnd, InvalidRequests, CancellationWave}
	durations := []time.Duration{300 * time.Millisecond, time.Second, 10 * time.Second, 40 * time.Second}
	if rng.IntN(2) == 0 {
		scenario.CancelShare, scenario.TaskRunS = 0.3, 80
	}
	if rng.IntN(3) == 0 {
		scenario.ImagePullS = 0.5 + 3*rng.Float64()
	}
	scenario.ZoneBoundJobs = rng.IntN(3) == 0
	if seed%3 == 0 {
		scenario.ChangeInterval = 2 * time.Second
	}
	for range 2 + rng.IntN(5) {
		fault := Fault{At: 15*time.Second + time.Duration(rng.IntN(60_000))*time.Millisecond, Kind: kinds[rng.IntN(len(kinds))],
			For: durations[rng.IntN(4)], Count: 1 + rng.IntN(3), Follower: rng.IntN(2) == 0, Unanswered: rng.IntN(3) == 0}
		switch fault.Kind {
		case CancellationWave:
			fault.For, fault.Count = 300*time.Millisecond, 3+rng.IntN(7)
			fault.HangMachinesFor = []time.Duration{0, 8 * time.Second, 20 * time.Second, time.Minute}[rng.IntN(4)]
		case StateOutage:
			fault.For = max(fault.For, time.Duration(rng.IntN(70))*time.Second)
		}
		if fault.Kind == ControllerCrash || fault.Kind == RollingRestart {
			// The process starts again without a delay, or with a delay that is usual for platforms.
			fault.For = []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}[rng.IntN(4)]
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	return scenario
}

// In random scenarios no rule is broken, and no job is unanswered or starved.
func TestRandomScenariosBreakNoRule(t *testing.T) {
	forEachSeed(t, 200, 12, func(t *testing.T, seed uint64) { runScenario(t, randomScenario(seed)) })
}

// forEachSeed runs a subtest for each of a number of consecutive seeds, or of a smaller number with the race detector.
// The flags set the first seed and may replace both numbers.
func forEachSeed(t *testing.T, seeds, seedsWithRaceDetector int, run func(t *testing.T, seed uint64)) {
	t.Helper()
	if raceDetector {
		seeds = seedsWithRaceDetector
	}
	if *seedCount > 0 {
		seeds = *seedCount
	}
	for i := range seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// The state service refuses only the leader, other controllers acknowledge cancellations, and then the service fails
// for all controllers while workers still send heartbeats to the old leader. The tasks of the cancelled jobs must stop
// in time. Most of these cases broke the rule ran_cancelled when a controller that reached all others assumed that it
// had missed no cancellation (docs/incidents/hunt-told-before-an-outage.md).
func TestCancelledTasksStopWhenStateServiceFails(t *testing.T) {
	milliseconds := func(count int) time.Duration { return time.Duration(count) * time.Millisecond }
	// Times are in milliseconds, counted from the refusal. The length of a name is the seed of its scenario, and
	// determines which case runs with the race detector.
	for _, testCase := range []struct {
		name string
		// cancelMS is when users cancel jobs, outageMS when the outage begins.
		cancelMS, outageMS int
		// unanswered makes the state service leave requests of the leader unanswered instead of answering with 503.
		unanswered    bool
		furtherFaults []Fault
		// hangMachinesMS is how long machines that run cancelled jobs are suspended.
		hangMachinesMS int
	}{
		{name: "cancelled via new leader, hang for less than a lease", cancelMS: 1000, outageMS: 1400, hangMachinesMS: 9000},
		{name: "cancelled via new leader, hang of 30s", cancelMS: 1000, outageMS: 1400, hangMachinesMS: 30_000},
		{name: "cancelled before refusal, machines hang for 90s", cancelMS: -200, outageMS: 500, hangMachinesMS: 90_000},
		{name: "cancelled without leader, hang, requests time out", cancelMS: 700, outageMS: 950, unanswered: true, hangMachinesMS: 20_000},
		{name: "heartbeats are lost", cancelMS: 1000, outageMS: 1400, furtherFaults: []Fault{{At: milliseconds(-2000), For: milliseconds(40_000), Kind: InboundLost, Count: 4}}},
		{name: "zone inbound loss", cancelMS: 1000, outageMS: 1400, furtherFaults: []Fault{{At: milliseconds(-2000), For: milliseconds(40_000), Kind: InboundLost, Follower: true}}},
		{name: "slow state service", cancelMS: 1500, outageMS: 3000, furtherFaults: []Fault{{At: milliseconds(-5000), For: milliseconds(30_000), Kind: SlowState}}},
		{name: "state service slow for the leader alone", cancelMS: 1000, outageMS: 1400, furtherFaults: []Fault{{At: milliseconds(-5000), For: milliseconds(30_000), Kind: SlowState, Count: 1}}},
		{name: "pause of the former leader's process", cancelMS: 2500, outageMS: 3000, furtherFaults: []Fault{{At: milliseconds(200), For: milliseconds(2900), Kind: ProcessPause}}},
		{name: "restart after 0.2 s, machines hang", cancelMS: 900, outageMS: 1150, hangMachinesMS: 15_000, furtherFaults: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}}},
		{name: "cancels via new leader", cancelMS: 1000, outageMS: 1400},
		{name: "cancel via new leader, no responses", cancelMS: 1000, outageMS: 1400, unanswered: true},
		{name: "cancel without a leader", cancelMS: 700, outageMS: 950},
		{name: "cancel before a refusal", cancelMS: -200, outageMS: 500},
		{name: "cancels just before a late outage", cancelMS: 4500, outageMS: 5000},
		{name: "leader restart in 0.2 s", cancelMS: 900, outageMS: 1150, furtherFaults: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}}},
		{name: "leader restart in 0.1 s", cancelMS: 750, outageMS: 1000, furtherFaults: []Fault{{At: milliseconds(950), For: milliseconds(100), Kind: ControllerCrash, Count: 1}}},
		{name: "restart in 0.2 s, request timeouts", cancelMS: 1200, outageMS: 1450, unanswered: true, furtherFaults: []Fault{{At: milliseconds(1350), For: milliseconds(200), Kind: ControllerCrash, Count: 1}}},
		{name: "leader restart in 3 s", cancelMS: 900, outageMS: 1150, furtherFaults: []Fault{{At: milliseconds(1100), For: milliseconds(3000), Kind: ControllerCrash, Count: 1}}},
		{name: "two controllers restarting", cancelMS: 900, outageMS: 1200, furtherFaults: []Fault{{At: milliseconds(1100), For: milliseconds(200), Kind: ControllerCrash, Count: 2}}},
		{name: "all controllers restarting", cancelMS: 900, outageMS: 1200, furtherFaults: []Fault{{At: milliseconds(1100), For: milliseconds(300), Kind: ControllerCrash, Count: 3}}},
		{name: "leader partition for 20 s", cancelMS: 900, outageMS: 1150, furtherFaults: []Fault{{At: milliseconds(1100), For: milliseconds(20_000), Kind: ControllerPartition}}},
		{name: "leader cut off from a peer", cancelMS: 900, outageMS: 1300, furtherFaults: []Fault{{At: milliseconds(1000), For: milliseconds(50_000), Kind: ControllerPairPartition}}},
		{name: "restart, and cut off from a peer", cancelMS: 900, outageMS: 1300, furtherFaults: []Fault{{At: milliseconds(1100), For: milliseconds(200), Kind: ControllerCrash, Count: 1}, {At: milliseconds(9000), For: milliseconds(30_000), Kind: ControllerPairPartition, Follower: true}}},
		{name: "follower that forwarded cancellations restarts", cancelMS: 900, outageMS: 1200, furtherFaults: []Fault{{At: milliseconds(1150), For: milliseconds(200), Kind: ControllerCrash, Count: 1, Follower: true}}},
		{name: "restart, outbound link cut", cancelMS: 900, outageMS: 1150, furtherFaults: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}, {At: milliseconds(-3000), For: milliseconds(70_000), Kind: OutboundLost, Count: 3}}},
		{name: "restarts, zone partition", cancelMS: 900, outageMS: 1150, furtherFaults: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}, {At: milliseconds(-1000), For: milliseconds(60_000), Kind: ZonePartition}}},
		{name: "restart, old heartbeats", cancelMS: 900, outageMS: 1150, furtherFaults: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}, {At: milliseconds(-5000), For: milliseconds(70_000), Kind: DuplicateHeartbeats}}},
	} {
		for i, timing := range workerTimings {
			if raceDetector && i != len(testCase.name)%2 {
				continue
			}
			t.Run(fmt.Sprintf("%s, heartbeats every %g s", testCase.name, timing.HeartbeatIntervalS), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(uint64(len(testCase.name)), 12)
				scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = timing, 0.3, 110, 1.5
				scenario.SubmitFor, scenario.WaitAfter = 30*time.Second, 120*time.Second
				refusalTime := 30 * time.Second
				scenario.Faults = append([]Fault{{At: 0, For: milliseconds(14_000), Kind: StateRefused, Unanswered: testCase.unanswered}, {At: milliseconds(testCase.cancelMS), For: milliseconds(250), Kind: CancellationWave, Count: 9, HangMachinesFor: milliseconds(testCase.hangMachinesMS)},
					{At: milliseconds(testCase.outageMS), For: seconds(timing.CancelDeadlineS + 20), Kind: StateOutage}}, testCase.furtherFaults...)
				for i := range scenario.Faults {
					scenario.Faults[i].At += refusalTime
				}
				runScenario(t, scenario)
			})
		}
	}
}

// Tasks of cancelled jobs must also stop in time with cancellation waves, outages and further faults at random moments
// around the refusal of the leader by the state service.
func TestCancelledTasksStopAroundRandomOutages(t *testing.T) {
	forEachSeed(t, 40, 4, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 2))
		within := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
		scenario := NewScenario(seed, 12)
		scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerTimings[rng.IntN(2)], 0.3, 110, 1.5
		scenario.SubmitFor, scenario.WaitAfter = 40*time.Second, 130*time.Second
		refusalTime := 30 * time.Second
		outageTime := refusalTime + within(300*time.Millisecond, 6*time.Second)
		scenario.Faults = []Fault{{At: refusalTime, For: within(2*time.Second, 60*time.Second), Kind: StateRefused, Unanswered: rng.IntN(3) == 0},
			{At: outageTime, For: within(20*time.Second, 100*time.Second), Kind: StateOutage},
			{At: outageTime - within(50*time.Millisecond, 500*time.Millisecond), For: 250 * time.Millisecond, Kind: CancellationWave, Count: 8},
			{At: outageTime - within(0, 5*time.Second), For: 250 * time.Millisecond, Kind: CancellationWave, Count: 4}}
		more := []string{ControllerCrash, ControllerCrash, ControllerCrash, RollingRestart, ControllerPairPartition, ControllerPartition, ControllerIsolated, OutboundLost, ZonePartition, LateWrites, DelayedCommands, DuplicateHeartbeats, WorkerRestart, StateRefused}
		for range 1 + rng.IntN(4) {
			fault := Fault{At: outageTime + within(-3*time.Second, 3*time.Second), For: within(time.Second, 50*time.Second), Kind: more[rng.IntN(len(more))],
				Count: 1 + rng.IntN(3), Follower: rng.IntN(2) == 0, Unanswered: rng.IntN(2) == 0}
			if fault.Kind == ControllerCrash || fault.Kind == RollingRestart {
				fault.At = outageTime + within(-600*time.Millisecond, 200*time.Millisecond)
				fault.For = within(50*time.Millisecond, 3*time.Second)
			}
			scenario.Faults = append(scenario.Faults, fault)
		}
		runScenario(t, scenario)
	})
}

// runWithAndWithoutLeaderCrash runs faults with each of workerTimings, alone and with a crash of the leader in the
// middle, which restarts after 0.7 s. A change that is not nil is applied to the scenario. The length of the name is
// the seed.
func runWithAndWithoutLeaderCrash(t *testing.T, name string, change func(scenario *Scenario), faults []Fault) {
	for i, timing := range workerTimings {
		for _, crash := range []bool{false, true} {
			if raceDetector && (i > 0 || crash == (len(name)%2 == 0)) {
				continue
			}
			t.Run(fmt.Sprintf("%s, heartbeats every %g s, leader crash %v", name, timing.HeartbeatIntervalS, crash), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(uint64(len(name)), 12)
				scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = timing, 0.15, 40, 1
				scenario.SubmitFor = 100 * time.Second
				if change != nil {
					change(scenario)
				}
				scenario.Faults = faults
				if crash {
					scenario.Faults = append(slices.Clone(faults), Fault{At: 33 * time.Second, For: 700 * time.Millisecond, Kind: ControllerCrash, Count: 1})
				}
				runScenario(t, scenario)
			})
		}
	}
}

// The pairs of faults that operators asked for (docs/meetings.md) break no rule, alone and with a crash of the leader
// in the middle.
func TestPairsOfFaultsBreakNoRule(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"late writes, refusal, an outage and cancellation waves": {{At: seconds(20), For: seconds(30), Kind: LateWrites}, {At: seconds(30), For: seconds(14), Kind: StateRefused}, {At: seconds(31), For: seconds(0.5), Kind: CancellationWave, Count: 5},
			{At: seconds(33), For: seconds(62), Kind: StateOutage}, {At: seconds(100), For: seconds(0.5), Kind: CancellationWave, Count: 5}},
		"delayed commands, restart": {{At: seconds(15), For: seconds(60), Kind: DelayedCommands}, {At: seconds(30), For: seconds(0.5), Kind: CancellationWave, Count: 5}, {At: seconds(35), Kind: WorkerRestart, Count: 3}, {At: seconds(45), Kind: MachineCrash, Count: 1}},
		"leader changes, crash of all, quick restart": {{At: seconds(25), For: seconds(3), Kind: StateRefused}, {At: seconds(27), For: seconds(3), Kind: StateRefused}, {At: seconds(31), For: seconds(3), Kind: ControllerCrash, Count: 3}, {At: seconds(35), For: seconds(0.2), Kind: ControllerCrash, Count: 1},
			{At: seconds(35.5), For: seconds(0.1), Kind: ControllerCrash, Count: 2}, {At: seconds(24), For: seconds(20), Kind: LateWrites}},
		"leader isolated from state and controllers, cancellations at new one": {{At: seconds(25), For: seconds(60), Kind: ControllerIsolated}, {At: seconds(28), For: seconds(1), Kind: CancellationWave, Count: 6}, {At: seconds(60), For: seconds(1), Kind: CancellationWave, Count: 6}},
		"heartbeats come out of order":                                         {{At: seconds(15), For: seconds(90), Kind: DuplicateHeartbeats}, {At: seconds(25), Kind: WorkerRestart, Count: 3}, {At: seconds(40), Kind: WorkerRestart, Count: 3}, {At: seconds(50), Kind: MachineCrash, Count: 2}},
		"late transactions follow newer ones":                                  {{At: seconds(15), For: seconds(60), Kind: LateWrites}, {At: seconds(30), For: seconds(0.5), Kind: CancellationWave, Count: 4}, {At: seconds(50), For: seconds(0.5), Kind: CancellationWave, Count: 4}},
		"crashes far apart across a leader change":                             {{At: seconds(20), For: seconds(0.3), Kind: ControllerCrash, Count: 1}, {At: seconds(32), For: seconds(3), Kind: ControllerCrash, Count: 1}, {At: seconds(44), For: seconds(3), Kind: ControllerCrash, Count: 3}, {At: seconds(18), For: seconds(40), Kind: LateWrites}},
		"leader crash, zone partition and lost outbound links":                 {{At: seconds(22), For: seconds(50), Kind: ZonePartition}, {At: seconds(24), For: seconds(3), Kind: ControllerCrash, Count: 1}, {At: seconds(30), For: seconds(50), Kind: OutboundLost, Count: 3}, {At: seconds(34), For: seconds(0.5), Kind: CancellationWave, Count: 4}},
	} {
		runWithAndWithoutLeaderCrash(t, name, nil, faults)
	}
}

// The pairs of faults that operators asked for later (docs/meetings.md) break no rule, alone and with a crash of the
// leader in the middle.
func TestFurtherPairsOfFaultsBreakNoRule(t *testing.T) {
	leaderCrashes := func(from, every float64) (out []Fault) {
		for i := range 10 {
			out = append(out, Fault{At: seconds(from + every*float64(i)), For: seconds([]float64{0.3, 3, 8}[i%3]), Kind: ControllerCrash, Count: 1})
		}
		return out
	}
	wave := func(s float64) Fault {
		return Fault{At: seconds(s), For: seconds(0.3), Kind: CancellationWave, Count: 5}
	}
	for name, testCase := range map[string]struct {
		change func(scenario *Scenario)
		faults []Fault
	}{
		"all controllers down for longer than a lease":            {nil, []Fault{wave(29), {At: seconds(30), For: seconds(35), Kind: ControllerCrash, Count: 3}}},
		"all down, machines hang":                                 {nil, []Fault{{At: seconds(28), For: seconds(50), Kind: MachineHang, Count: 3}, {At: seconds(30), For: seconds(35), Kind: ControllerCrash, Count: 3}, wave(66)}},
		"zone-bound jobs lose machines":                           {func(scenario *Scenario) { scenario.ZoneBoundJobs = true }, []Fault{{At: seconds(30), Kind: MachineCrash, Count: 3}, {At: seconds(40), For: seconds(30), Kind: MachineHang, Count: 3}, {At: seconds(50), Kind: MachineCrash, Count: 2}}},
		"heartbeats delayed past two leader changes":              {nil, []Fault{{At: seconds(15), For: seconds(80), Kind: DuplicateHeartbeats}, {At: seconds(30), For: seconds(1), Kind: ControllerCrash, Count: 1}, {At: seconds(31), Kind: WorkerRestart, Count: 4}, {At: seconds(42), For: seconds(1), Kind: ControllerCrash, Count: 1}, wave(43)}},
		"leader crash, machine hang":                              {nil, []Fault{{At: seconds(25), For: seconds(9), Kind: MachineHang, Count: 4}, {At: seconds(27), For: seconds(3), Kind: ControllerCrash, Count: 1}, wave(28), {At: seconds(50), For: seconds(40), Kind: MachineHang, Count: 3}, {At: seconds(55), For: seconds(3), Kind: ControllerCrash, Count: 1}}},
		"leader process is paused and resumes during an election": {nil, []Fault{{At: seconds(25), For: seconds(1.9), Kind: ProcessPause}, wave(26.8), {At: seconds(40), For: seconds(2.4), Kind: ProcessPause}, wave(42.3), {At: seconds(55), For: seconds(12), Kind: ProcessPause}, wave(60)}},
		"teams at their limit, leader crash, unreachable machines": {func(scenario *Scenario) {
			scenario.CPUsPerMachine, scenario.TaskRunS, scenario.JobsPerSecond = 2, 20, 0.8
		}, []Fault{{At: seconds(25), For: seconds(40), Kind: InboundLost, Count: 4}, {At: seconds(26), For: seconds(30), Kind: OutboundLost, Count: 2}, {At: seconds(28), For: seconds(3), Kind: ControllerCrash, Count: 1}, wave(30), {At: seconds(50), For: seconds(1), Kind: ControllerCrash, Count: 1}}},
		"team limit, zone cut": {func(scenario *Scenario) {
			scenario.CPUsPerMachine, scenario.TaskRunS, scenario.JobsPerSecond = 2, 20, 0.8
		}, []Fault{{At: seconds(25), For: seconds(50), Kind: ZonePartition}, {At: seconds(28), For: seconds(3), Kind: ControllerCrash, Count: 1}, wave(30), wave(34)}},
		"no heartbeats":                          {nil, []Fault{{At: seconds(25), For: seconds(60), Kind: InboundLost, Count: 4}, wave(30), wave(45)}},
		"silent zone":                            {nil, []Fault{{At: seconds(25), For: seconds(40), Kind: InboundLost, Follower: true, Count: 1}, wave(30)}},
		"ten crashes":                            {nil, append(leaderCrashes(20, 10), wave(45), wave(71))},
		"ten crashes, an outage":                 {nil, append(leaderCrashes(20, 10), Fault{At: seconds(40), For: seconds(45), Kind: StateOutage}, wave(39))},
		"crashes far apart, cancel between them": {func(scenario *Scenario) { scenario.CancelShare = 0.6 }, []Fault{{At: seconds(20), For: seconds(0.3), Kind: ControllerCrash, Count: 1}, wave(26), {At: seconds(32), For: seconds(3), Kind: ControllerCrash, Count: 1}, wave(38), {At: seconds(18), For: seconds(40), Kind: LateWrites}}},
		"leader isolated, requests to it go on":  {nil, []Fault{{At: seconds(25), For: seconds(60), Kind: ControllerIsolated}, {At: seconds(20), For: seconds(80), Kind: InvalidRequests}, wave(28), wave(60)}},
		"cancelled at task end":                  {nil, []Fault{{At: seconds(10), For: seconds(80), Kind: CancelAtEnd}}},
		"cancelled at task end, late writes":     {nil, []Fault{{At: seconds(10), For: seconds(80), Kind: CancelAtEnd}, {At: seconds(10), For: seconds(80), Kind: LateWrites}, {At: seconds(40), For: seconds(20), Kind: SlowState}}},
		"cancelled at task end, leader changes":  {nil, append(leaderCrashes(15, 7), Fault{At: seconds(10), For: seconds(80), Kind: CancelAtEnd})},
		"overload and slow image pulling":        {func(scenario *Scenario) { scenario.ImagePullS, scenario.JobsPerSecond, scenario.TaskRunS = 6, 3, 20 }, []Fault{{At: seconds(30), Kind: MachineCrash, Count: 2}, wave(50)}},
		"delays, refusal, outage":                {nil, []Fault{{At: seconds(20), For: seconds(80), Kind: SlowState}, {At: seconds(28), For: seconds(14), Kind: StateRefused}, wave(28.9), wave(29.9), {At: seconds(30), For: seconds(60), Kind: StateOutage}}},
		"zone partition longer than a lease":     {nil, []Fault{{At: seconds(25), For: seconds(45), Kind: ZonePartition}, wave(27), wave(40), {At: seconds(20), For: seconds(60), Kind: DuplicateHeartbeats}}},
		"late writes and leader changes":         {nil, []Fault{{At: seconds(15), For: seconds(60), Kind: LateWrites}, {At: seconds(30), For: seconds(1), Kind: ControllerCrash, Count: 1}, wave(33), {At: seconds(36), For: seconds(1), Kind: ControllerCrash, Count: 1}, wave(50), {At: seconds(52), For: seconds(1), Kind: ControllerCrash, Count: 2}}},
		"invalid requests and crashes":           {nil, append(leaderCrashes(20, 9), Fault{At: seconds(15), For: seconds(100), Kind: InvalidRequests}, Fault{At: seconds(60), For: seconds(10), Kind: StateOutage})},
	} {
		runWithAndWithoutLeaderCrash(t, name, testCase.change, testCase.faults)
	}
}

// With more long tasks than the machines can run, machines are drained for jobs that need a whole machine. No job may
// wait longer than maxStarvationTime while the free resources of these machines fit it.
func TestDrainingMachinesStarveNoJob(t *testing.T) {
	for seed := range uint64(4) {
		if raceDetector && seed > 0 {
			continue
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			scenario := NewScenario(seed, 12)
			scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerTimings[seed%2], -1, 110, 1.2
			scenario.CPUsPerMachine = 20
			scenario.SubmitFor, scenario.WaitAfter = 220*time.Second, 120*time.Second
			scenario.Faults = []Fault{{At: 20 * time.Second, For: time.Second, Kind: ControllerCrash, Count: 1}}
			// The load is three times the capacity, so not all jobs start.
			var result *Result
			synctest.Test(t, func(t *testing.T) { result = scenario.Run(t.Context()) })
			if len(result.Violations) > 0 || result.StarvedJobs > 0 || result.UnansweredJobs > 0 || result.TaskStarts < 400 {
				t.Errorf("%d jobs starved, %d unanswered, %d tasks started, rules broken: %v", result.StarvedJobs, result.UnansweredJobs, result.TaskStarts, result.Violations)
			}
		})
	}
}

// Small jobs keep a team at its limit while the leader changes and machines are unreachable. The team's jobs that need
// more processors than become free at a time must still start, and the largest within maxLargestStartDelay. Before a
// part of the limit was reserved for them, 13 to 19 jobs never started in four of these scenarios, and only 0 to 35% of
// one class started (docs/incidents/hunt-limit-never-free.md).
func TestTeamAtItsLimitStartsItsLargestJobs(t *testing.T) {
	for i, timing := range workerTimings {
		for seed := range uint64(3) {
			if raceDetector && (i > 0 || seed > 0) {
				continue
			}
			t.Run(fmt.Sprintf("heartbeats every %g s, seed %d", timing.HeartbeatIntervalS, seed), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(seed, 12)
				scenario.Workers, scenario.CancelShare, scenario.CPUsPerMachine, scenario.TaskRunS, scenario.JobsPerSecond = timing, 0.15, 2, 30, 2
				scenario.SubmitFor = 100 * time.Second
				scenario.Faults = []Fault{{At: 25 * time.Second, For: 40 * time.Second, Kind: InboundLost, Count: 4}, {At: 28 * time.Second, For: 3 * time.Second, Kind: ControllerCrash, Count: 1},
					{At: 30 * time.Second, For: 300 * time.Millisecond, Kind: CancellationWave, Count: 5}}
				if result := runOverloadedScenario(t, scenario, 15); result.LargestStartDelayP99S > maxLargestStartDelay.Seconds() {
					t.Errorf("the 99th percentile of the start delay of the largest jobs is %.0f s", result.LargestStartDelayP99S)
				}
			})
		}
	}
}

// An outage of the state service during which no job is cancelled must not restart a task, whether or not the
// controllers reach each other throughout.
func TestStateOutageRestartsNoTask(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprint("controllers partitioned ", partitioned), func(t *testing.T) {
			t.Parallel()
			scenario := NewScenario(5, 12)
			scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerTimings[1], -1, 110, 0.3
			scenario.SubmitFor, scenario.WaitAfter = 30*time.Second, 150*time.Second
			scenario.Faults = []Fault{{At: 30 * time.Second, For: 80 * time.Second, Kind: StateOutage}}
			if partitioned {
				scenario.Faults = append(scenario.Faults, Fault{At: 40 * time.Second, For: 10 * time.Second, Kind: ControllerPairPartition}, Fault{At: 60 * time.Second, For: 10 * time.Second, Kind: ControllerPairPartition, Follower: true})
			}
			if result := runScenario(t, scenario); result.TaskRestarts > 0 || result.TaskStarts < 10 {
				t.Errorf("%d of %d starts of tasks were restarts", result.TaskRestarts, result.TaskStarts)
			}
		})
	}
}

// The named scenarios break no rule, send few starts to machines that receive nothing, and return no healthy machine
// that runs tasks.
func TestNamedScenariosBreakNoRule(t *testing.T) {
	for name, faults := range Scenarios() {
		for i, timing := range workerTimings {
			if raceDetector && i > 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s, heartbeats every %g s", name, timing.HeartbeatIntervalS), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(1, 12)
				scenario.Faults, scenario.Workers = faults, timing
				result := runScenario(t, scenario)
				// A test of package scheduler checks the exact number. Here it depends on which tasks are
				// placed on which machines at the end of a term.
				if result.UndeliveredStartsPerLease > 2 {
					t.Errorf("%.1f starts per lease on machines that receive nothing", result.UndeliveredStartsPerLease)
				}
				if result.BusyMachinesReturned > 0 && name != "cut zone, copies, half-deaf" {
					t.Errorf("%d healthy machines were returned while they ran tasks", result.BusyMachinesReturned)
				}
			})
		}
	}
}
