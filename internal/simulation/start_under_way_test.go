package simulation

import (
	"slices"
	"testing"
	"time"

	"switchferry/settings"
)

// failingMachinesScenario returns a scenario in which half of the machines fail tasks beside the given faults.
func failingMachinesScenario(seed uint64, workers settings.Workers, cancelShare, jobsPerSecond float64, faults ...Fault) *Scenario {
	scenario := NewScenario(seed, 12)
	scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workers, cancelShare, 20, jobsPerSecond
	scenario.SubmitFor = 100 * time.Second
	scenario.Faults = slices.Concat(faults, []Fault{{At: seconds(15), For: seconds(80), Kind: FailingMachines, Count: 6}})
	return scenario
}

// A start command that is delivered twice must not run the task twice. Operators saw a task on two machines at once,
// in a fleet of some 4,000 machines under faults. Here heartbeats and their responses are slow, direct commands are
// fast, and machines fail tasks. A start command is sent both directly and in the response to a heartbeat; the
// attempt exits, its record is cleared, and the task starts on another machine; then the response arrives and starts
// the attempt on the first machine again. Before this was prevented, six of 24 seeds ran a task twice, without a
// change of leader.
func TestStartDeliveredTwiceRunsTaskOnce(t *testing.T) {
	forEachSeed(t, 16, 2, func(t *testing.T, seed uint64) {
		runScenario(t, failingMachinesScenario(seed, workerTimings[seed%2], 0.1, 1.5, Fault{At: seconds(15), For: seconds(80), Kind: SlowHeartbeats}))
	})
}

// The leader's links to the other controllers flap, so that workers' heartbeats are alternately forwarded and relayed,
// while machines fail tasks. No task may run twice.
func TestAlternatingRelayRunsNoTaskTwice(t *testing.T) {
	forEachSeed(t, 6, 1, func(t *testing.T, seed uint64) {
		runScenario(t, failingMachinesScenario(seed, workerTimings[0], 0.1, 2, Fault{At: seconds(15), For: seconds(80), Kind: LeaderLinkFlapping}))
	})
}
