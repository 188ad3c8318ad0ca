package simulation

import (
	"fmt"
	"testing"
	"time"
)

// Operators change teams' limits every two seconds while faults are injected: no controller starts work or answers by a
// revision older than one that was confirmed to be in force, and further changes come into force.
func TestOlderConfigurationRevisionIsNeverUsed(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"quiet":                                  nil,
		"the leader ends":                        {{At: seconds(20), For: seconds(3), Kind: ControllerCrash, Count: 1}, {At: seconds(40), For: seconds(0.3), Kind: ControllerCrash, Count: 1}},
		"all end":                                {{At: seconds(25), For: seconds(2), Kind: ControllerCrash, Count: 3}},
		"one after the other":                    {{At: seconds(15), For: seconds(1), Kind: RollingRestart}, {At: seconds(45), For: seconds(0.2), Kind: RollingRestart}},
		"the leader stands still":                {{At: seconds(20), For: seconds(2), Kind: ProcessPause}, {At: seconds(40), For: seconds(5), Kind: ProcessPause}},
		"a follower stands still":                {{At: seconds(20), For: seconds(3), Kind: ProcessPause, Follower: true}, {At: seconds(40), For: seconds(8), Kind: ProcessPause, Follower: true}},
		"the leader alone with its workers":      {{At: seconds(20), For: seconds(30), Kind: ControllerIsolated}},
		"a follower alone with its workers":      {{At: seconds(20), For: seconds(30), Kind: ControllerIsolated, Follower: true}},
		"two controllers apart":                  {{At: seconds(15), For: seconds(20), Kind: ControllerPairPartition}, {At: seconds(45), For: seconds(10), Kind: ControllerPairPartition, Follower: true}},
		"a controller silent":                    {{At: seconds(20), For: seconds(10), Kind: ControllerPartition}, {At: seconds(45), For: seconds(10), Kind: ControllerPartition, Follower: true}},
		"refused by the state service":           {{At: seconds(20), For: seconds(8), Kind: StateRefused}, {At: seconds(40), For: seconds(8), Kind: StateRefused, Follower: true}},
		"refused without an answer":              {{At: seconds(20), For: seconds(8), Kind: StateRefused, Unanswered: true}, {At: seconds(40), For: seconds(8), Kind: StateRefused, Unanswered: true, Follower: true}},
		"the state service out":                  {{At: seconds(20), For: seconds(15), Kind: StateOutage}, {At: seconds(50), For: seconds(2), Kind: StateOutage}},
		"late writes":                            {{At: seconds(10), For: seconds(50), Kind: LateWrites}},
		"late writes, the leader ends":           {{At: seconds(10), For: seconds(50), Kind: LateWrites}, {At: seconds(25), For: seconds(1), Kind: ControllerCrash, Count: 1}, {At: seconds(45), For: seconds(0.3), Kind: ControllerCrash, Count: 1}},
		"slow answers":                           {{At: seconds(15), For: seconds(20), Kind: SlowState}, {At: seconds(40), For: seconds(15), Kind: SlowState, Count: 1}},
		"held commands, the leader stands still": {{At: seconds(15), For: seconds(50), Kind: DelayedCommands}, {At: seconds(30), For: seconds(3), Kind: ProcessPause}},
		"a zone cut off":                         {{At: seconds(20), For: seconds(30), Kind: ZonePartition}},
	} {
		for i, pace := range workerPaces {
			if raceDetector && i != len(name)%2 {
				continue
			}
			t.Run(fmt.Sprintf("%s, reports every %g s", name, pace.ReportS), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(uint64(len(name)), 12)
				scenario.Workers, scenario.SubmitFor, scenario.ChangeInterval = pace, 80*time.Second, 2*time.Second
				scenario.Faults = faults
				if result := playScenario(t, scenario); result.ConfigurationChanges < 8 {
					t.Errorf("only %d changes came into force", result.ConfigurationChanges)
				}
			})
		}
	}
}
