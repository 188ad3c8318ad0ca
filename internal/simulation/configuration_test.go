package simulation

import (
	"fmt"
	"testing"
	"time"
)

// Operators change the limits of teams every two seconds while faults are injected. No controller may start tasks or
// answer requests by a revision that is older than one that was confirmed to be in force, and changes must continue to
// come into force.
// The length of a scenario's name is its seed.
func TestOlderConfigurationRevisionIsNeverUsed(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"quiet":                                  nil,
		"leader restarts":                        {{At: seconds(20), For: seconds(3), Kind: ControllerCrash, Count: 1}, {At: seconds(40), For: seconds(0.3), Kind: ControllerCrash, Count: 1}},
		"crashes":                                {{At: seconds(25), For: seconds(2), Kind: ControllerCrash, Count: 3}},
		"restarts one by one":                    {{At: seconds(15), For: seconds(1), Kind: RollingRestart}, {At: seconds(45), For: seconds(0.2), Kind: RollingRestart}},
		"leader's process paused":                {{At: seconds(20), For: seconds(2), Kind: ProcessPause}, {At: seconds(40), For: seconds(5), Kind: ProcessPause}},
		"follower process paused":                {{At: seconds(20), For: seconds(3), Kind: ProcessPause, Follower: true}, {At: seconds(40), For: seconds(8), Kind: ProcessPause, Follower: true}},
		"isolated leader keeps its workers":      {{At: seconds(20), For: seconds(30), Kind: ControllerIsolated}},
		"isolated follower reaches workers":      {{At: seconds(20), For: seconds(30), Kind: ControllerIsolated, Follower: true}},
		"controller pair split":                  {{At: seconds(15), For: seconds(20), Kind: ControllerPairPartition}, {At: seconds(45), For: seconds(10), Kind: ControllerPairPartition, Follower: true}},
		"controllers cut off":                    {{At: seconds(20), For: seconds(10), Kind: ControllerPartition}, {At: seconds(45), For: seconds(10), Kind: ControllerPartition, Follower: true}},
		"refused by the state service":           {{At: seconds(20), For: seconds(8), Kind: StateRefused}, {At: seconds(40), For: seconds(8), Kind: StateRefused, Follower: true}},
		"refused without an answer":              {{At: seconds(20), For: seconds(8), Kind: StateRefused, Unanswered: true}, {At: seconds(40), For: seconds(8), Kind: StateRefused, Unanswered: true, Follower: true}},
		"state service outages":                  {{At: seconds(20), For: seconds(15), Kind: StateOutage}, {At: seconds(50), For: seconds(2), Kind: StateOutage}},
		"late writes":                            {{At: seconds(10), For: seconds(50), Kind: LateWrites}},
		"late writes, leader restarts":           {{At: seconds(10), For: seconds(50), Kind: LateWrites}, {At: seconds(25), For: seconds(1), Kind: ControllerCrash, Count: 1}, {At: seconds(45), For: seconds(0.3), Kind: ControllerCrash, Count: 1}},
		"slow answers":                           {{At: seconds(15), For: seconds(20), Kind: SlowState}, {At: seconds(40), For: seconds(15), Kind: SlowState, Count: 1}},
		"delayed commands, leader process pause": {{At: seconds(15), For: seconds(50), Kind: DelayedCommands}, {At: seconds(30), For: seconds(3), Kind: ProcessPause}},
		"zone partition":                         {{At: seconds(20), For: seconds(30), Kind: ZonePartition}},
	} {
		for i, timing := range workerTimings {
			if raceDetector && i != len(name)%2 {
				continue
			}
			t.Run(fmt.Sprintf("%s, heartbeats every %g s", name, timing.HeartbeatIntervalS), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(uint64(len(name)), 12)
				scenario.Workers, scenario.SubmitFor, scenario.ChangeInterval = timing, 80*time.Second, 2*time.Second
				scenario.Faults = faults
				if result := runScenario(t, scenario); result.ConfigurationChanges < 8 {
					t.Errorf("only %d changes came into force", result.ConfigurationChanges)
				}
			})
		}
	}
}
