package failuredetector

import (
	"fmt"
	"testing"
	"time"

	"switchferry/reachability"
)

// A machine that answers commands but whose heartbeats do not arrive is drained, and released after
// limits.InboundLost. It is not drained if so much of its zone is silent that the fault must be elsewhere. A
// machine that does not answer commands either is released after limits.ReleaseAfter.
func TestMachineWithInboundLossIsDrainedThenReleased(t *testing.T) {
	limits := Limits{SuspectAfter: 7 * time.Second, ReleaseAfter: 10 * time.Second, ElectionGrace: 20 * time.Second, InboundLost: 35 * time.Second}
	for _, test := range []struct {
		inboundLost bool
		silentShare float64
		silentFor   time.Duration
		want        Action
	}{
		{true, 0.3, 9 * time.Second, Keep},
		{true, 0.3, 11 * time.Second, Drain},
		{true, 0.4, 11 * time.Second, Keep},
		{true, 0.4, 36 * time.Second, ReleaseWithinBudget},
		{true, 0.3, 36 * time.Second, ReleaseWithinBudget},
		{false, 0.3, 11 * time.Second, ReleaseWithinBudget},
	} {
		t.Run(fmt.Sprintf("inbound lost %v, zone silent %v, silent for %v", test.inboundLost, test.silentShare, test.silentFor), func(t *testing.T) {
			machine := MachineState{Up: true, Listed: true, Link: reachability.Reachable, InboundLost: test.inboundLost, SilentShare: test.silentShare, SilentFor: test.silentFor}
			if got, reason := Decide(machine, limits); got != test.want {
				t.Errorf("%v (%s), want %v", got, reason, test.want)
			}
		})
	}
}
