package simulation

import (
	"fmt"
	"testing"
	"time"
)

// Operators change teams' limits every two seconds while something goes wrong: nobody starts work or answers by a
// revision older than one that they were told is in force, and changes go on coming into force.
func TestOlderConfigurationRevisionIsNeverUsed(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for name, troubles := range map[string][]Fault{
		"quiet":                                  nil,
		"the leader ends":                        {{At: at(20), For: at(3), Kind: ControllerCrash, Count: 1}, {At: at(40), For: at(0.3), Kind: ControllerCrash, Count: 1}},
		"all end":                                {{At: at(25), For: at(2), Kind: ControllerCrash, Count: 3}},
		"one after the other":                    {{At: at(15), For: at(1), Kind: RollingRestart}, {At: at(45), For: at(0.2), Kind: RollingRestart}},
		"the leader stands still":                {{At: at(20), For: at(2), Kind: ProcessPause}, {At: at(40), For: at(5), Kind: ProcessPause}},
		"a follower stands still":                {{At: at(20), For: at(3), Kind: ProcessPause, Follower: true}, {At: at(40), For: at(8), Kind: ProcessPause, Follower: true}},
		"the leader alone with its workers":      {{At: at(20), For: at(30), Kind: ControllerIsolated}},
		"a follower alone with its workers":      {{At: at(20), For: at(30), Kind: ControllerIsolated, Follower: true}},
		"two controllers apart":                  {{At: at(15), For: at(20), Kind: ControllerPairPartition}, {At: at(45), For: at(10), Kind: ControllerPairPartition, Follower: true}},
		"a controller silent":                    {{At: at(20), For: at(10), Kind: ControllerPartition}, {At: at(45), For: at(10), Kind: ControllerPartition, Follower: true}},
		"refused by the state service":           {{At: at(20), For: at(8), Kind: StateRefused}, {At: at(40), For: at(8), Kind: StateRefused, Follower: true}},
		"refused without an answer":              {{At: at(20), For: at(8), Kind: StateRefused, Unanswered: true}, {At: at(40), For: at(8), Kind: StateRefused, Unanswered: true, Follower: true}},
		"the state service out":                  {{At: at(20), For: at(15), Kind: StateOutage}, {At: at(50), For: at(2), Kind: StateOutage}},
		"late writes":                            {{At: at(10), For: at(50), Kind: LateWrites}},
		"late writes, the leader ends":           {{At: at(10), For: at(50), Kind: LateWrites}, {At: at(25), For: at(1), Kind: ControllerCrash, Count: 1}, {At: at(45), For: at(0.3), Kind: ControllerCrash, Count: 1}},
		"slow answers":                           {{At: at(15), For: at(20), Kind: SlowState}, {At: at(40), For: at(15), Kind: SlowState, Count: 1}},
		"held commands, the leader stands still": {{At: at(15), For: at(50), Kind: DelayedCommands}, {At: at(30), For: at(3), Kind: ProcessPause}},
		"a zone cut off":                         {{At: at(20), For: at(30), Kind: ZonePartition}},
	} {
		for i, pace := range workerPaces {
			if raceDetector && i != len(name)%2 {
				continue
			}
			t.Run(fmt.Sprintf("%s, reports every %g s", name, pace.ReportS), func(t *testing.T) {
				t.Parallel()
				scenario := NewScenario(uint64(len(name)), 12)
				scenario.Workers, scenario.SubmitFor, scenario.ChangeInterval = pace, 80*time.Second, 2*time.Second
				scenario.Faults = troubles
				if result := playScenario(t, scenario); result.ConfigurationChanges < 8 {
					t.Errorf("only %d changes came into force", result.ConfigurationChanges)
				}
			})
		}
	}
}
