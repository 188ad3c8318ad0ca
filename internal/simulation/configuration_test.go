package simulation

import (
	"fmt"
	"testing"
	"time"
)

// Operators change teams' limits every two seconds while something goes wrong: nobody starts work or answers by a
// revision older than one that they were told is in force, and changes go on coming into force.
func TestChangesOfConfiguration(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for name, troubles := range map[string][]Fault{
		"quiet":                                  nil,
		"the leader ends":                        {{At: at(20), For: at(3), Kind: Crash, Count: 1}, {At: at(40), For: at(0.3), Kind: Crash, Count: 1}},
		"all end":                                {{At: at(25), For: at(2), Kind: Crash, Count: 3}},
		"one after the other":                    {{At: at(15), For: at(1), Kind: Roll}, {At: at(45), For: at(0.2), Kind: Roll}},
		"the leader stands still":                {{At: at(20), For: at(2), Kind: Freeze}, {At: at(40), For: at(5), Kind: Freeze}},
		"a follower stands still":                {{At: at(20), For: at(3), Kind: Freeze, Follower: true}, {At: at(40), For: at(8), Kind: Freeze, Follower: true}},
		"the leader alone with its workers":      {{At: at(20), For: at(30), Kind: Lone}},
		"a follower alone with its workers":      {{At: at(20), For: at(30), Kind: Lone, Follower: true}},
		"two controllers apart":                  {{At: at(15), For: at(20), Kind: Apart}, {At: at(45), For: at(10), Kind: Apart, Follower: true}},
		"a controller silent":                    {{At: at(20), For: at(10), Kind: Silence}, {At: at(45), For: at(10), Kind: Silence, Follower: true}},
		"refused by the state service":           {{At: at(20), For: at(8), Kind: Refused}, {At: at(40), For: at(8), Kind: Refused, Follower: true}},
		"refused without an answer":              {{At: at(20), For: at(8), Kind: Refused, Hang: true}, {At: at(40), For: at(8), Kind: Refused, Hang: true, Follower: true}},
		"the state service out":                  {{At: at(20), For: at(15), Kind: Outage}, {At: at(50), For: at(2), Kind: Outage}},
		"late writes":                            {{At: at(10), For: at(50), Kind: LateWrites}},
		"late writes, the leader ends":           {{At: at(10), For: at(50), Kind: LateWrites}, {At: at(25), For: at(1), Kind: Crash, Count: 1}, {At: at(45), For: at(0.3), Kind: Crash, Count: 1}},
		"slow answers":                           {{At: at(15), For: at(20), Kind: Slow}, {At: at(40), For: at(15), Kind: Slow, Count: 1}},
		"held commands, the leader stands still": {{At: at(15), For: at(50), Kind: Held}, {At: at(30), For: at(3), Kind: Freeze}},
		"a zone cut off":                         {{At: at(20), For: at(30), Kind: CutZone}},
	} {
		for i, pace := range paces {
			if raced && i != len(name)%2 {
				continue
			}
			t.Run(fmt.Sprintf("%s, reports every %g s", name, pace.ReportS), func(t *testing.T) {
				t.Parallel()
				d := NewScenario(uint64(len(name)), 12)
				d.Workers, d.Lasts, d.Changes = pace, 80*time.Second, 2*time.Second
				d.Faults = troubles
				if r := play(t, d); r.Changes < 8 {
					t.Errorf("only %d changes came into force", r.Changes)
				}
			})
		}
	}
}
