package simulation

import (
	"testing"
	"time"
)

// The operators saw a task on two machines at once, at some 4,000 machines and under faults, without logs. Here heartbeats
// and their responses are slow while direct commands are quick, as there, and machines fail tasks. A start goes out in a
// direct command and in the response to a heartbeat; the task ends, is cleared and starts elsewhere, and then the
// response arrives and starts it on the first machine again. Six of 24 seeds ran a task twice, without a change of leader.
func TestStartsUnderWayRunNoTaskTwice(t *testing.T) {
	forEachSeed(t, 16, 2, func(t *testing.T, seed uint64) {
		scenario := NewScenario(seed, 12)
		scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerPaces[seed%2], 0.1, 20, 1.5
		scenario.SubmitFor = 100 * time.Second
		scenario.Faults = []Fault{
			{At: seconds(15), For: seconds(80), Kind: SlowHeartbeats},
			{At: seconds(15), For: seconds(80), Kind: FailingMachines, Count: 6},
		}
		playScenario(t, scenario)
	})
}

// The leader's links to the other controllers come and go, so that workers' heartbeats are forwarded and relayed by turns,
// and machines fail tasks.
func TestAlternatingRelayRunsNoTaskTwice(t *testing.T) {
	forEachSeed(t, 6, 1, func(t *testing.T, seed uint64) {
		scenario := NewScenario(seed, 12)
		scenario.Workers, scenario.CancelShare, scenario.TaskRunS, scenario.JobsPerSecond = workerPaces[0], 0.1, 20, 2
		scenario.SubmitFor = 100 * time.Second
		scenario.Faults = []Fault{
			{At: seconds(15), For: seconds(80), Kind: LeaderLinkFlapping},
			{At: seconds(15), For: seconds(80), Kind: FailingMachines, Count: 6},
		}
		playScenario(t, scenario)
	})
}
