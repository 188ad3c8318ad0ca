package simulation

import (
	"testing"
	"time"
)

// Guards against ran_twice of incident repeated-start-after-clear: machines fail tasks, jobs are cancelled, and commands
// arrive once more, with one leader or through its crashes.
func TestRepeatedCommandsRunNoTaskTwice(t *testing.T) {
	forEachSeed(t, 16, 2, func(t *testing.T, seed uint64) {
		scenario := NewScenario(seed, 12)
		scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerTimings[seed%2], 0.3, 20, 1.5
		scenario.SubmitFor = 100 * time.Second
		scenario.Faults = []Fault{
			{At: seconds(5), For: seconds(90), Kind: RepeatedCommands},
			{At: seconds(15), For: seconds(80), Kind: FailingMachines, Count: 6},
		}
		if seed%4 >= 2 {
			scenario.Faults = append(scenario.Faults,
				Fault{At: seconds(40), For: seconds(0.5), Kind: ControllerCrash, Count: 1},
				Fault{At: seconds(45), For: seconds(20), Kind: DelayedCommands},
				Fault{At: seconds(60), Kind: WorkerRestart, Count: 3},
				Fault{At: seconds(70), For: seconds(0.2), Kind: ControllerCrash, Count: 3})
		}
		runScenario(t, scenario)
	})
}

// Commands arrive once more beside random faults and failing machines.
func TestRepeatedCommandsBesideRandomFaultsBreakNoRule(t *testing.T) {
	forEachSeed(t, 24, 2, func(t *testing.T, seed uint64) {
		scenario := randomScenario(seed)
		scenario.Faults = append(scenario.Faults,
			Fault{At: seconds(5), For: seconds(100), Kind: RepeatedCommands},
			Fault{At: seconds(10), For: seconds(80), Kind: FailingMachines, Count: 3})
		runScenario(t, scenario)
	})
}

// Commands arrive once more while workers' heartbeats are alternately forwarded and relayed.
func TestRepeatedCommandsBesideAlternatingRelayBreakNoRule(t *testing.T) {
	forEachSeed(t, 6, 1, func(t *testing.T, seed uint64) {
		scenario := NewScenario(seed, 12)
		scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerTimings[0], 0.3, 20, 2
		scenario.SubmitFor = 100 * time.Second
		scenario.Faults = []Fault{
			{At: seconds(5), For: seconds(95), Kind: RepeatedCommands},
			{At: seconds(15), For: seconds(80), Kind: LeaderLinkFlapping},
			{At: seconds(15), For: seconds(80), Kind: FailingMachines, Count: 6},
			{At: seconds(20), For: seconds(60), Kind: DuplicateHeartbeats},
		}
		runScenario(t, scenario)
	})
}
