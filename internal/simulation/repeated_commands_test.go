package simulation

import "testing"

// Guards against ran_twice of incident repeated-start-after-clear, with one leader and through crashes.
func TestRepeatedCommandsRunNoTaskTwice(t *testing.T) {
	forEachSeed(t, 16, 2, func(t *testing.T, seed uint64) {
		scenario := failingMachinesScenario(seed, workerTimings[seed%2], 0.3, 1.5, Fault{At: seconds(5), For: seconds(90), Kind: RepeatedCommands})
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
		runScenario(t, failingMachinesScenario(seed, workerTimings[0], 0.3, 2,
			Fault{At: seconds(5), For: seconds(95), Kind: RepeatedCommands},
			Fault{At: seconds(15), For: seconds(80), Kind: LeaderLinkFlapping},
			Fault{At: seconds(20), For: seconds(60), Kind: DuplicateHeartbeats}))
	})
}
