package simulation

import (
	"math/rand/v2"
	"testing"
	"time"
)

// heldCommandsScenario returns a scenario in which jobs are cancelled while the path from the leader to half of the machines
// is interrupted, shortly before the state service fails. Both last longer than a cancellation may take. The commands are
// delivered when the path is restored, before or after the state service is back.
func heldCommandsScenario(seed uint64, furtherFaults ...Fault) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 3))
	within := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	scenario := NewScenario(seed, 12)
	scenario.Workers = workerTimings[seed%2]
	scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = 0.3, 60, 4
	scenario.SubmitFor, scenario.WaitAfter = 60*time.Second, 150*time.Second
	deadline := seconds(scenario.Workers.CancelDeadlineS)
	outageTime := 35 * time.Second
	scenario.Faults = append([]Fault{
		{At: outageTime - within(time.Second, 6*time.Second), For: deadline + within(7*time.Second, 30*time.Second), Kind: HeldCommands, Count: 6},
		{At: outageTime - within(2*time.Second, 4*time.Second), For: 250 * time.Millisecond, Kind: CancellationWave, Count: 10},
		{At: outageTime - within(300*time.Millisecond, 1500*time.Millisecond), For: 250 * time.Millisecond, Kind: CancellationWave, Count: 10},
		{At: outageTime, For: deadline + within(-10*time.Second, 40*time.Second), Kind: StateOutage},
	}, furtherFaults...)
	return scenario
}

// Guards against ran_cancelled of incident held-start-after-cancellation, alone and beside a third fault.
func TestHeldStartsOfCancelledTasksAreNotExecuted(t *testing.T) {
	thirdFaults := []Fault{
		{},
		{At: seconds(34), For: seconds(100), Kind: ControllerPairPartition},
		{At: seconds(34.5), For: seconds(60), Kind: StateRefused},
		{At: seconds(35.5), For: seconds(3), Kind: ControllerCrash, Count: 1},
		{At: seconds(34), For: seconds(70), Kind: ZonePartition},
		{At: seconds(33), For: seconds(0.3), Kind: ControllerCrash, Count: 1},
	}
	forEachSeed(t, 36, 6, func(t *testing.T, seed uint64) {
		var furtherFaults []Fault
		if third := thirdFaults[seed/2%uint64(len(thirdFaults))]; third.Kind != "" {
			furtherFaults = append(furtherFaults, third)
		}
		runScenario(t, heldCommandsScenario(seed, furtherFaults...))
	})
}

// Guards against ran_cancelled of the same incident where the controller that answers the machines does not reach the
// leader, and learns of cancellations from the third controller.
func TestHeldStartsBehindAPairPartitionAreNotExecuted(t *testing.T) {
	forEachSeed(t, 36, 6, func(t *testing.T, seed uint64) {
		runScenario(t, heldCommandsScenario(seed, Fault{At: seconds(34), For: seconds(100), Kind: ControllerPairPartition, Follower: true}))
	})
}

// Guards against ran_cancelled of the same incident where the leader hears machines through the state service alone, and
// the cloud is down, so that it can neither answer the machines nor return them.
func TestHeldStartsBehindARelayAreNotExecuted(t *testing.T) {
	forEachSeed(t, 36, 6, func(t *testing.T, seed uint64) {
		scenario := heldCommandsScenario(seed)
		for i := range scenario.Faults {
			if scenario.Faults[i].Kind == StateOutage {
				scenario.Faults[i].Kind = CloudOutage
			}
		}
		scenario.Faults = append(scenario.Faults, Fault{At: seconds(32), For: seconds(100), Kind: ControllerSeparated})
		runScenario(t, scenario)
	})
}

// Paths to machines are interrupted, and their commands delivered afterwards, beside random faults, and while the cloud
// or the leader's links to the other controllers fail.
func TestHeldCommandsBesideRandomFaultsBreakNoRule(t *testing.T) {
	forEachSeed(t, 36, 4, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		at := func() time.Duration { return 15*time.Second + time.Duration(rng.IntN(40_000))*time.Millisecond }
		scenario := randomScenario(seed)
		for range 2 {
			held := Fault{At: at(), For: seconds(10 + 60*rng.Float64()), Kind: HeldCommands, Count: 3 + rng.IntN(5), Follower: rng.IntN(4) == 0}
			wave := Fault{At: held.At + seconds(4*rng.Float64()), For: 300 * time.Millisecond, Kind: CancellationWave, Count: 10}
			scenario.Faults = append(scenario.Faults, held, wave)
		}
		for _, kind := range []string{CloudOutage, ControllerSeparated, ControllerPairPartition, StateOutage} {
			if rng.IntN(3) == 0 {
				scenario.Faults = append(scenario.Faults, Fault{At: at(), For: seconds(20 + 50*rng.Float64()), Kind: kind, Follower: rng.IntN(2) == 0})
			}
		}
		runScenario(t, scenario)
	})
}
