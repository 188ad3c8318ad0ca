package topology

import (
	"testing"
	"time"
)

// If new machines are in the wrong failure domain too, further ones must not be requested immediately or without limit.
// Otherwise, a service that needs three racks where only two exist would rent all machines of the cloud.
func TestScaleUpAttemptsAreLimited(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const boot = 50 * time.Second
	var search StrandedScaleUp
	supply, attempts := 100.0, 0
	var last float64
	for range 2 * 3600 {
		now = now.Add(time.Second)
		target := search.TargetCPUs(now, 8, supply, boot)
		if target > supply {
			attempts++
			supply = target
		}
		if target == 0 && last > 0 {
			// The new machines, which cannot run the tasks, are returned.
			supply = 100
		}
		last = target
		if target > 108 {
			t.Fatalf("target of %g CPUs for a supply of 100 and 8 stranded", target)
		}
	}
	// Pauses of 2, 4, 8, 16, 32 and 60 minutes fit into two hours.
	if attempts < 4 || attempts > 7 {
		t.Errorf("%d attempts in two hours, want 4 to 7", attempts)
	}
	if search.TargetCPUs(now, 0, supply, boot) != 0 || search.TargetCPUs(now, 8, 100, boot) != 108 {
		t.Error("once no task is stranded, the next attempt must begin without a pause")
	}
}
