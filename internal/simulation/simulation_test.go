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
	seedCount = flag.Int("seeds", 0, "random days that are played; 0: 200, or 12 with the race detector")
	firstSeed = flag.Uint64("first", 1, "the first random day's seed")
	writeLogs = flag.Bool("logs", false, "write what the controllers log")
)

func TestMain(m *testing.M) {
	flag.Parse()
	if !*writeLogs {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	// Encoders are made once; what is made within one synctest bubble cannot be used in another.
	for _, f := range []func(any) (string, error){compress.EncodeFast, compress.EncodeSmall} {
		if _, err := f(0); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// playScenario runs a scenario on a synctest clock and fails the test for what no run may have.
func playScenario(t *testing.T, scenario *Scenario) *Result { return playOverloaded(t, scenario, 0) }

// playOverloaded is playScenario for a scenario with more work than can start, of which up to pending jobs may not.
func playOverloaded(t *testing.T, scenario *Scenario, pending int) (result *Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { result = scenario.Run(t.Context()) })
	if violations := invariant.TakeViolations(); violations > 0 {
		t.Errorf("seed %d: the controllers reported %d contradictions; -logs shows them", scenario.Seed, violations)
	}
	for rule, n := range result.Rules {
		t.Errorf("seed %d: %s %d times", scenario.Seed, rule, n)
	}
	if result.Forgotten > 0 || result.PendingForGood > pending || result.StarvedJobs > 0 || result.WrongAnswers > 0 || result.ClassesMinShare < 0.5 || result.LongestUnansweredS > 30 {
		t.Errorf("seed %d: %+v", scenario.Seed, *result)
	}
	if result.StartedAfterCancel > 0 {
		for _, why := range result.Explanations {
			t.Log(why)
		}
		t.Logf("%d tasks began after their cancellation was told: %+v", result.StartedAfterCancel, scenario.Faults)
	}
	if t.Failed() {
		t.Logf("%+v", scenario.Faults)
		for _, why := range result.Explanations {
			t.Log(why)
		}
	}
	return result
}

// workerPaces are the workers' settings of small fleets and of large ones.
var workerPaces = []settings.Workers{{ReportS: 1, LeaseS: 10, CancelS: 40}, {ReportS: 4, LeaseS: 22, CancelS: 47}}

// randomScenario draws a scenario of two to six faults.
func randomScenario(seed uint64) *Scenario {
	scenario := NewScenario(seed, 12)
	rng := rand.New(rand.NewPCG(seed, 1))
	scenario.Workers = workerPaces[rng.IntN(len(workerPaces))]
	kinds := []string{ControllerCrash, ControllerCrash, RollingRestart, ControllerIsolated, OutboundLost, ControllerOutboundLost, DuplicateHeartbeats, MachineCrash, WorkerRestart, StateOutage, ZonePartition, StateRefused, StateRefused, CancellationWave, ControllerPartition, ControllerPairPartition, LateWrites, LateWrites, DelayedCommands,
		MachineHang, MachineHang, InboundLost, InboundLost, ProcessPause, SlowState, CancelAtEnd, CancelAtEnd, InvalidRequests, CancellationWave}
	lasts := []time.Duration{300 * time.Millisecond, time.Second, 10 * time.Second, 40 * time.Second}
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
			For: lasts[rng.IntN(4)], Count: 1 + rng.IntN(3), Follower: rng.IntN(2) == 0, Unanswered: rng.IntN(3) == 0}
		switch fault.Kind {
		case CancellationWave:
			fault.For, fault.Count = 300*time.Millisecond, 3+rng.IntN(7)
			fault.HangMachinesFor = []time.Duration{0, 8 * time.Second, 20 * time.Second, time.Minute}[rng.IntN(4)]
		case StateOutage:
			fault.For = max(fault.For, time.Duration(rng.IntN(70))*time.Second)
		}
		if fault.Kind == ControllerCrash || fault.Kind == RollingRestart {
			// Back at once, or as a platform brings it back.
			fault.For = []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}[rng.IntN(4)]
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	return scenario
}

// In random scenarios no rule is broken, and no job is forgotten or waits forever.
func TestRandomScenariosBreakNoRule(t *testing.T) {
	forEachSeed(t, 200, 12, func(t *testing.T, seed uint64) { playScenario(t, randomScenario(seed)) })
}

// forEachSeed runs a test for each of so many seeds, fewer with the race detector, or for those that the flags say.
func forEachSeed(t *testing.T, seeds, withRaceDetector int, play func(t *testing.T, seed uint64)) {
	t.Helper()
	if raceDetector {
		seeds = withRaceDetector
	}
	if *seedCount > 0 {
		seeds = *seedCount
	}
	for i := range seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// The state service refuses the leader alone, other controllers acknowledge cancellations, and then the service is down
// for all while workers report to the old leader: tasks of cancelled jobs end in time all the same. Most of these cases
// broke the rule ran_cancelled as long as a controller that reached all others took it for certain that it had missed
// nothing (docs/incidents/hunt-told-before-an-outage.md).
func TestCancelledTasksStopWhenStateServiceFails(t *testing.T) {
	milliseconds := func(count int) time.Duration { return time.Duration(count) * time.Millisecond }
	// Times are in milliseconds, counted from the refusal.
	for _, testCase := range []struct {
		name string
		// wave is when users cancel, out when the outage begins.
		wave, out int
		hang      bool
		more      []Fault
		// machines is for how long machines that run cancelled jobs are suspended.
		machines int
	}{
		{name: "told by the new leader, machines hang within a lease", wave: 1000, out: 1400, machines: 9000},
		{name: "told by the new leader, machines hang", wave: 1000, out: 1400, machines: 30_000},
		{name: "told before the refusal, machines hang past all", wave: -200, out: 500, machines: 90_000},
		{name: "told while nobody leads, machines hang, no answer", wave: 700, out: 950, hang: true, machines: 20_000},
		{name: "told, machines mute", wave: 1000, out: 1400, more: []Fault{{At: milliseconds(-2000), For: milliseconds(40_000), Kind: InboundLost, Count: 4}}},
		{name: "told, a zone mute", wave: 1000, out: 1400, more: []Fault{{At: milliseconds(-2000), For: milliseconds(40_000), Kind: InboundLost, Follower: true}}},
		{name: "told, answers slow", wave: 1500, out: 3000, more: []Fault{{At: milliseconds(-5000), For: milliseconds(30_000), Kind: SlowState}}},
		{name: "told, answers slow for the leader alone", wave: 1000, out: 1400, more: []Fault{{At: milliseconds(-5000), For: milliseconds(30_000), Kind: SlowState, Count: 1}}},
		{name: "told, the former leader stands still", wave: 2500, out: 3000, more: []Fault{{At: milliseconds(200), For: milliseconds(2900), Kind: ProcessPause}}},
		{name: "told, back in 0.2 s, machines hang", wave: 900, out: 1150, machines: 15_000, more: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}}},
		{name: "told by the new leader", wave: 1000, out: 1400},
		{name: "the same, refused without an answer", wave: 1000, out: 1400, hang: true},
		{name: "told while nobody leads", wave: 700, out: 950},
		{name: "told before the refusal", wave: -200, out: 500},
		{name: "told until the outage, long after", wave: 4500, out: 5000},
		{name: "told, and back in 0.2 s", wave: 900, out: 1150, more: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}}},
		{name: "told, and back in 0.1 s", wave: 750, out: 1000, more: []Fault{{At: milliseconds(950), For: milliseconds(100), Kind: ControllerCrash, Count: 1}}},
		{name: "told, and back in 0.2 s, no answer", wave: 1200, out: 1450, hang: true, more: []Fault{{At: milliseconds(1350), For: milliseconds(200), Kind: ControllerCrash, Count: 1}}},
		{name: "told, and back in 3 s", wave: 900, out: 1150, more: []Fault{{At: milliseconds(1100), For: milliseconds(3000), Kind: ControllerCrash, Count: 1}}},
		{name: "told, and two back at once", wave: 900, out: 1200, more: []Fault{{At: milliseconds(1100), For: milliseconds(200), Kind: ControllerCrash, Count: 2}}},
		{name: "told, and all back at once", wave: 900, out: 1200, more: []Fault{{At: milliseconds(1100), For: milliseconds(300), Kind: ControllerCrash, Count: 3}}},
		{name: "told, and silent for 20 s", wave: 900, out: 1150, more: []Fault{{At: milliseconds(1100), For: milliseconds(20_000), Kind: ControllerPartition}}},
		{name: "told, and cut off from one", wave: 900, out: 1300, more: []Fault{{At: milliseconds(1000), For: milliseconds(50_000), Kind: ControllerPairPartition}}},
		{name: "told, back, and cut off from one", wave: 900, out: 1300, more: []Fault{{At: milliseconds(1100), For: milliseconds(200), Kind: ControllerCrash, Count: 1}, {At: milliseconds(9000), For: milliseconds(30_000), Kind: ControllerPairPartition, Follower: true}}},
		{name: "the follower that passed it on is back at once", wave: 900, out: 1200, more: []Fault{{At: milliseconds(1150), For: milliseconds(200), Kind: ControllerCrash, Count: 1, Follower: true}}},
		{name: "told, back, some half-deaf", wave: 900, out: 1150, more: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}, {At: milliseconds(-3000), For: milliseconds(70_000), Kind: OutboundLost, Count: 3}}},
		{name: "told, back, one zone cut", wave: 900, out: 1150, more: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}, {At: milliseconds(-1000), For: milliseconds(60_000), Kind: ZonePartition}}},
		{name: "told, back, late copies", wave: 900, out: 1150, more: []Fault{{At: milliseconds(1050), For: milliseconds(200), Kind: ControllerCrash, Count: 1}, {At: milliseconds(-5000), For: milliseconds(70_000), Kind: DuplicateHeartbeats}}},
	} {
		for i, pace := range workerPaces {
			if raceDetector && i != len(testCase.name)%2 {
				continue
			}
			t.Run(fmt.Sprintf("%s, reports every %g s", testCase.name, pace.ReportS), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(uint64(len(testCase.name)), 12)
				scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = pace, 0.3, 110, 1.5
				scenario.SubmitFor, scenario.WaitAfter = 30*time.Second, 120*time.Second
				at := 30 * time.Second
				scenario.Faults = append([]Fault{{At: 0, For: milliseconds(14_000), Kind: StateRefused, Unanswered: testCase.hang}, {At: milliseconds(testCase.wave), For: milliseconds(250), Kind: CancellationWave, Count: 9, HangMachinesFor: milliseconds(testCase.machines)},
					{At: milliseconds(testCase.out), For: seconds(pace.CancelS + 20), Kind: StateOutage}}, testCase.more...)
				for i := range scenario.Faults {
					scenario.Faults[i].At += at
				}
				playScenario(t, scenario)
			})
		}
	}
}

// The same with cancellation waves, outages and further faults at random moments around the refusal.
func TestCancelledTasksStopAroundRandomOutages(t *testing.T) {
	forEachSeed(t, 40, 4, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 2))
		within := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
		scenario := NewScenario(seed, 12)
		scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerPaces[rng.IntN(2)], 0.3, 110, 1.5
		scenario.SubmitFor, scenario.WaitAfter = 40*time.Second, 130*time.Second
		at := 30 * time.Second
		out := at + within(300*time.Millisecond, 6*time.Second)
		scenario.Faults = []Fault{{At: at, For: within(2*time.Second, 60*time.Second), Kind: StateRefused, Unanswered: rng.IntN(3) == 0},
			{At: out, For: within(20*time.Second, 100*time.Second), Kind: StateOutage},
			{At: out - within(50*time.Millisecond, 500*time.Millisecond), For: 250 * time.Millisecond, Kind: CancellationWave, Count: 8},
			{At: out - within(0, 5*time.Second), For: 250 * time.Millisecond, Kind: CancellationWave, Count: 4}}
		more := []string{ControllerCrash, ControllerCrash, ControllerCrash, RollingRestart, ControllerPairPartition, ControllerPartition, ControllerIsolated, OutboundLost, ZonePartition, LateWrites, DelayedCommands, DuplicateHeartbeats, WorkerRestart, StateRefused}
		for range 1 + rng.IntN(4) {
			fault := Fault{At: out + within(-3*time.Second, 3*time.Second), For: within(time.Second, 50*time.Second), Kind: more[rng.IntN(len(more))],
				Count: 1 + rng.IntN(3), Follower: rng.IntN(2) == 0, Unanswered: rng.IntN(2) == 0}
			if fault.Kind == ControllerCrash || fault.Kind == RollingRestart {
				fault.At = out + within(-600*time.Millisecond, 200*time.Millisecond)
				fault.For = within(50*time.Millisecond, 3*time.Second)
			}
			scenario.Faults = append(scenario.Faults, fault)
		}
		playScenario(t, scenario)
	})
}

// playWithAndWithoutCrash runs faults with both settings of workers, alone and with a crash of the leader in the middle,
// which is back within a second. A change that is not nil is applied to the scenario.
func playWithAndWithoutCrash(t *testing.T, name string, change func(scenario *Scenario), faults []Fault) {
	for i, pace := range workerPaces {
		for _, crash := range []bool{false, true} {
			if raceDetector && (i > 0 || crash == (len(name)%2 == 0)) {
				continue
			}
			t.Run(fmt.Sprintf("%s, reports every %g s, leader ends %v", name, pace.ReportS, crash), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(uint64(len(name)), 12)
				scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = pace, 0.15, 40, 1
				scenario.SubmitFor = 100 * time.Second
				if change != nil {
					change(scenario)
				}
				scenario.Faults = faults
				if crash {
					scenario.Faults = append(slices.Clone(faults), Fault{At: 33 * time.Second, For: 700 * time.Millisecond, Kind: ControllerCrash, Count: 1})
				}
				playScenario(t, scenario)
			})
		}
	}
}

// The operators' pairs of faults (docs/meetings.md), in their order, each alone and with a crash of the leader in the
// middle, which is back within a second.
func TestPairsOfFaultsBreakNoRule(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"slow and refused, then an outage, users cancel and ask": {{At: seconds(20), For: seconds(30), Kind: LateWrites}, {At: seconds(30), For: seconds(14), Kind: StateRefused}, {At: seconds(31), For: seconds(0.5), Kind: CancellationWave, Count: 5},
			{At: seconds(33), For: seconds(62), Kind: StateOutage}, {At: seconds(100), For: seconds(0.5), Kind: CancellationWave, Count: 5}},
		"commands and answers held": {{At: seconds(15), For: seconds(60), Kind: DelayedCommands}, {At: seconds(30), For: seconds(0.5), Kind: CancellationWave, Count: 5}, {At: seconds(35), Kind: WorkerRestart, Count: 3}, {At: seconds(45), Kind: MachineCrash, Count: 1}},
		"over and back, all end, one returns at once": {{At: seconds(25), For: seconds(3), Kind: StateRefused}, {At: seconds(27), For: seconds(3), Kind: StateRefused}, {At: seconds(31), For: seconds(3), Kind: ControllerCrash, Count: 3}, {At: seconds(35), For: seconds(0.2), Kind: ControllerCrash, Count: 1},
			{At: seconds(35.5), For: seconds(0.1), Kind: ControllerCrash, Count: 2}, {At: seconds(24), For: seconds(20), Kind: LateWrites}},
		"leader cut from state and controllers, cancelled through the new one": {{At: seconds(25), For: seconds(60), Kind: ControllerIsolated}, {At: seconds(28), For: seconds(1), Kind: CancellationWave, Count: 6}, {At: seconds(60), For: seconds(1), Kind: CancellationWave, Count: 6}},
		"old reports after newer ones":                                         {{At: seconds(15), For: seconds(90), Kind: DuplicateHeartbeats}, {At: seconds(25), Kind: WorkerRestart, Count: 3}, {At: seconds(40), Kind: WorkerRestart, Count: 3}, {At: seconds(50), Kind: MachineCrash, Count: 2}},
		"transactions late, after newer ones":                                  {{At: seconds(15), For: seconds(60), Kind: LateWrites}, {At: seconds(30), For: seconds(0.5), Kind: CancellationWave, Count: 4}, {At: seconds(50), For: seconds(0.5), Kind: CancellationWave, Count: 4}},
		"ends far apart across a change of leader":                             {{At: seconds(20), For: seconds(0.3), Kind: ControllerCrash, Count: 1}, {At: seconds(32), For: seconds(3), Kind: ControllerCrash, Count: 1}, {At: seconds(44), For: seconds(3), Kind: ControllerCrash, Count: 3}, {At: seconds(18), For: seconds(40), Kind: LateWrites}},
		"leader ends while machines are out of reach, or deaf":                 {{At: seconds(22), For: seconds(50), Kind: ZonePartition}, {At: seconds(24), For: seconds(3), Kind: ControllerCrash, Count: 1}, {At: seconds(30), For: seconds(50), Kind: OutboundLost, Count: 3}, {At: seconds(34), For: seconds(0.5), Kind: CancellationWave, Count: 4}},
	} {
		playWithAndWithoutCrash(t, name, nil, faults)
	}
}

// The pairs of faults that operators added later (docs/meetings.md), each alone and with a crash of the leader in the
// middle, which is back within a second.
func TestFurtherPairsOfFaultsBreakNoRule(t *testing.T) {
	changes := func(from, every float64) (out []Fault) {
		for i := range 10 {
			out = append(out, Fault{At: seconds(from + every*float64(i)), For: seconds([]float64{0.3, 3, 8}[i%3]), Kind: ControllerCrash, Count: 1})
		}
		return out
	}
	wave := func(s float64) Fault {
		return Fault{At: seconds(s), For: seconds(0.3), Kind: CancellationWave, Count: 5}
	}
	for name, testCase := range map[string]struct {
		day      func(scenario *Scenario)
		troubles []Fault
	}{
		"all controllers away for longer than a lease":            {nil, []Fault{wave(29), {At: seconds(30), For: seconds(35), Kind: ControllerCrash, Count: 3}}},
		"the same, machines hang":                                 {nil, []Fault{{At: seconds(28), For: seconds(50), Kind: MachineHang, Count: 3}, {At: seconds(30), For: seconds(35), Kind: ControllerCrash, Count: 3}, wave(66)}},
		"zone-bound jobs lose machines":                           {func(scenario *Scenario) { scenario.ZoneBoundJobs = true }, []Fault{{At: seconds(30), Kind: MachineCrash, Count: 3}, {At: seconds(40), For: seconds(30), Kind: MachineHang, Count: 3}, {At: seconds(50), Kind: MachineCrash, Count: 2}}},
		"a report held until new leaders have acted":              {nil, []Fault{{At: seconds(15), For: seconds(80), Kind: DuplicateHeartbeats}, {At: seconds(30), For: seconds(1), Kind: ControllerCrash, Count: 1}, {At: seconds(31), Kind: WorkerRestart, Count: 4}, {At: seconds(42), For: seconds(1), Kind: ControllerCrash, Count: 1}, wave(43)}},
		"leader ends, machines hang":                              {nil, []Fault{{At: seconds(25), For: seconds(9), Kind: MachineHang, Count: 4}, {At: seconds(27), For: seconds(3), Kind: ControllerCrash, Count: 1}, wave(28), {At: seconds(50), For: seconds(40), Kind: MachineHang, Count: 3}, {At: seconds(55), For: seconds(3), Kind: ControllerCrash, Count: 1}}},
		"the leader stands still, and goes on as the next begins": {nil, []Fault{{At: seconds(25), For: seconds(1.9), Kind: ProcessPause}, wave(26.8), {At: seconds(40), For: seconds(2.4), Kind: ProcessPause}, wave(42.3), {At: seconds(55), For: seconds(12), Kind: ProcessPause}, wave(60)}},
		"a team at its limit, a new leader, machines out of reach": {func(scenario *Scenario) {
			scenario.CPUsPerMachine, scenario.TaskRunS, scenario.JobsPerSecond = 2, 20, 0.8
		}, []Fault{{At: seconds(25), For: seconds(40), Kind: InboundLost, Count: 4}, {At: seconds(26), For: seconds(30), Kind: OutboundLost, Count: 2}, {At: seconds(28), For: seconds(3), Kind: ControllerCrash, Count: 1}, wave(30), {At: seconds(50), For: seconds(1), Kind: ControllerCrash, Count: 1}}},
		"the same, a zone cut": {func(scenario *Scenario) {
			scenario.CPUsPerMachine, scenario.TaskRunS, scenario.JobsPerSecond = 2, 20, 0.8
		}, []Fault{{At: seconds(25), For: seconds(50), Kind: ZonePartition}, {At: seconds(28), For: seconds(3), Kind: ControllerCrash, Count: 1}, wave(30), wave(34)}},
		"mute machines":                          {nil, []Fault{{At: seconds(25), For: seconds(60), Kind: InboundLost, Count: 4}, wave(30), wave(45)}},
		"a mute zone":                            {nil, []Fault{{At: seconds(25), For: seconds(40), Kind: InboundLost, Follower: true, Count: 1}, wave(30)}},
		"ten leaders":                            {nil, append(changes(20, 10), wave(45), wave(71))},
		"ten leaders, an outage":                 {nil, append(changes(20, 10), Fault{At: seconds(40), For: seconds(45), Kind: StateOutage}, wave(39))},
		"ends far apart, cancelled between them": {func(scenario *Scenario) { scenario.CancelShare = 0.6 }, []Fault{{At: seconds(20), For: seconds(0.3), Kind: ControllerCrash, Count: 1}, wave(26), {At: seconds(32), For: seconds(3), Kind: ControllerCrash, Count: 1}, wave(38), {At: seconds(18), For: seconds(40), Kind: LateWrites}}},
		"leader cut off, users go on asking it":  {nil, []Fault{{At: seconds(25), For: seconds(60), Kind: ControllerIsolated}, {At: seconds(20), For: seconds(80), Kind: InvalidRequests}, wave(28), wave(60)}},
		"called off as it ends":                  {nil, []Fault{{At: seconds(10), For: seconds(80), Kind: CancelAtEnd}}},
		"called off as it ends, late writes":     {nil, []Fault{{At: seconds(10), For: seconds(80), Kind: CancelAtEnd}, {At: seconds(10), For: seconds(80), Kind: LateWrites}, {At: seconds(40), For: seconds(20), Kind: SlowState}}},
		"called off as it ends, leaders change":  {nil, append(changes(15, 7), Fault{At: seconds(10), For: seconds(80), Kind: CancelAtEnd})},
		"more work than room, slow links":        {func(scenario *Scenario) { scenario.ImagePullS, scenario.JobsPerSecond, scenario.TaskRunS = 6, 3, 20 }, []Fault{{At: seconds(30), Kind: MachineCrash, Count: 2}, wave(50)}},
		"slow, refused, then out":                {nil, []Fault{{At: seconds(20), For: seconds(80), Kind: SlowState}, {At: seconds(28), For: seconds(14), Kind: StateRefused}, wave(28.9), wave(29.9), {At: seconds(30), For: seconds(60), Kind: StateOutage}}},
		"a zone cut for longer than a lease":     {nil, []Fault{{At: seconds(25), For: seconds(45), Kind: ZonePartition}, wave(27), wave(40), {At: seconds(20), For: seconds(60), Kind: DuplicateHeartbeats}}},
		"late writes across two changes":         {nil, []Fault{{At: seconds(15), For: seconds(60), Kind: LateWrites}, {At: seconds(30), For: seconds(1), Kind: ControllerCrash, Count: 1}, wave(33), {At: seconds(36), For: seconds(1), Kind: ControllerCrash, Count: 1}, wave(50), {At: seconds(52), For: seconds(1), Kind: ControllerCrash, Count: 2}}},
		"odd requests, leaders change":           {nil, append(changes(20, 9), Fault{At: seconds(15), For: seconds(100), Kind: InvalidRequests}, Fault{At: seconds(60), For: seconds(10), Kind: StateOutage})},
	} {
		playWithAndWithoutCrash(t, name, testCase.day, testCase.troubles)
	}
}

// With more long tasks than machines can run, machines are drained for jobs that need a whole one; no job waits 90 s
// beside their free resources.
func TestDrainingMachinesStarveNoJob(t *testing.T) {
	for seed := range uint64(4) {
		if raceDetector && seed > 0 {
			continue
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			scenario := NewScenario(seed, 12)
			scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerPaces[seed%2], -1, 110, 1.2
			scenario.CPUsPerMachine = 20
			scenario.SubmitFor, scenario.WaitAfter = 220*time.Second, 120*time.Second
			scenario.Faults = []Fault{{At: 20 * time.Second, For: time.Second, Kind: ControllerCrash, Count: 1}}
			// Three times what the machines can do: not all begin.
			var result *Result
			synctest.Test(t, func(t *testing.T) { result = scenario.Run(t.Context()) })
			if len(result.Rules) > 0 || result.StarvedJobs > 0 || result.Forgotten > 0 || result.Tasks < 400 {
				t.Errorf("%d jobs waited 90 s beside room for them, %d forgotten, %d tasks began, rules broken: %v", result.StarvedJobs, result.Forgotten, result.Tasks, result.Rules)
			}
		})
	}
}

// Small jobs keep a team at its limit, while the leader changes and machines are out of reach. Its jobs that need more
// than becomes free at once start all the same, and the largest in time. Before a part of the limit was reserved for
// them, 13 to 19 jobs never started in four of these scenarios, and 0 to 35% of one class did
// (docs/incidents/hunt-limit-never-free.md).
func TestTeamAtItsLimitStartsItsLargestJobs(t *testing.T) {
	for i, pace := range workerPaces {
		for seed := range uint64(3) {
			if raceDetector && (i > 0 || seed > 0) {
				continue
			}
			t.Run(fmt.Sprintf("reports every %g s, seed %d", pace.ReportS, seed), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(seed, 12)
				scenario.Workers, scenario.CancelShare, scenario.CPUsPerMachine, scenario.TaskRunS, scenario.JobsPerSecond = pace, 0.15, 2, 30, 2
				scenario.SubmitFor = 100 * time.Second
				scenario.Faults = []Fault{{At: 25 * time.Second, For: 40 * time.Second, Kind: InboundLost, Count: 4}, {At: 28 * time.Second, For: 3 * time.Second, Kind: ControllerCrash, Count: 1},
					{At: 30 * time.Second, For: 300 * time.Millisecond, Kind: CancellationWave, Count: 5}}
				if result := playOverloaded(t, scenario, 15); result.LargestBeginP99S > largestStartLimit.Seconds() {
					t.Errorf("the largest began after %.0f s", result.LargestBeginP99S)
				}
			})
		}
	}
}

// An outage of the state service in which nobody cancels anything restarts no task, whether controllers reach each other
// all the time or not.
func TestStateOutageRestartsNoTask(t *testing.T) {
	for _, apart := range []bool{false, true} {
		t.Run(fmt.Sprint("apart for a while ", apart), func(t *testing.T) {
			t.Parallel()
			scenario := NewScenario(5, 12)
			scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerPaces[1], -1, 110, 0.3
			scenario.SubmitFor, scenario.WaitAfter = 30*time.Second, 150*time.Second
			scenario.Faults = []Fault{{At: 30 * time.Second, For: 80 * time.Second, Kind: StateOutage}}
			if apart {
				scenario.Faults = append(scenario.Faults, Fault{At: 40 * time.Second, For: 10 * time.Second, Kind: ControllerPairPartition}, Fault{At: 60 * time.Second, For: 10 * time.Second, Kind: ControllerPairPartition, Follower: true})
			}
			if result := playScenario(t, scenario); result.TasksRestarted > 0 || result.Tasks < 10 {
				t.Errorf("%d of %d tasks began again", result.TasksRestarted, result.Tasks)
			}
		})
	}
}

// Each of the named scenarios by itself.
func TestNamedScenariosBreakNoRule(t *testing.T) {
	for name, faults := range Scenarios() {
		for i, pace := range workerPaces {
			if raceDetector && i > 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s, reports every %g s", name, pace.ReportS), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(1, 12)
				scenario.Faults, scenario.Workers = faults, pace
				result := playScenario(t, scenario)
				// Exactly how many is TestHalfDeafMachineIsGivenNoMoreWork's matter: here it hangs on
				// which task a term's last moment gives to which machine.
				if result.StartsInVain > 2 {
					t.Errorf("%.1f starts a lease on half-deaf machines", result.StartsInVain)
				}
				if result.ReturnedInVain > 0 && name != "cut zone, copies, half-deaf" {
					t.Errorf("%d machines returned in vain", result.ReturnedInVain)
				}
			})
		}
	}
}
