package simulation

import (
	"testing"
	"time"
)

// A start command that is delivered twice must not run the task twice. Operators saw a task on two machines at once,
// in a fleet of some 4,000 machines under faults. Here heartbeats and their responses are slow, direct commands are
// fast, and machines fail tasks. A start command is sent both directly and in the response to a heartbeat; the
// attempt exits, its record is cleared, and the task starts on another machine; then the response arrives and starts
// the attempt on the first machine again. Before this was prevented, six of 24 seeds ran a task twice, without a
// change of leader.
func TestStartDeliveredTwiceRunsTaskOnce(t *testing.T) {
	forEachSeed(t, 16, 2, func(t *testing.T, seed uint64) {
		scenario := NewScenario(seed, 12)
		scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerTimings[seed%2], 0.1, 20, 1.5
		scenario.SubmitFor = 100 * time.Second
		scenario.Faults = []Fault{
			{At: seconds(15), For: seconds(80), Kind: SlowHeartbeats},
			{At: seconds(15), For: seconds(80), Kind: FailingMachines, Count: 6},
		}
		runScenario(t, scenario)
	})
}

// The leader's links to the other controllers flap, so that workers' heartbeats are alternately forwarded and relayed,
// while machines fail tasks. No task may run twice.
func TestAlternatingRelayRunsNoTaskTwice(t *testing.T) {
	forEachSeed(t, 6, 1, func(t *testing.T, seed uint64) {
		scenario := NewScenario(seed, 12)
		scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerTimings[0], 0.1, 20, 2
		scenario.SubmitFor = 100 * time.Second
		scenario.Faults = []Fault{
			{At: seconds(15), For: seconds(80), Kind: LeaderLinkFlapping},
			{At: seconds(15), For: seconds(80), Kind: FailingMachines, Count: 6},
		}
		runScenario(t, scenario)
	})
}
