package topology

import (
	"testing"
	"time"
)

// Machines that were rented in vain must not be followed by more at once, nor forever: a
// service that wants a third rack where there are two would rent the cloud empty.
func TestSeekGivesUpAndTriesAgainLater(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const boot = 50 * time.Second
	var search Search
	supply, tries := 100.0, 0
	var last float64
	for range 2 * 3600 {
		now = now.Add(time.Second)
		ask := search.TargetCPUs(now, 8, supply, boot)
		if ask > supply {
			tries++
			supply = ask
		}
		if ask == 0 && last > 0 {
			// Without work it is returned.
			supply = 100
		}
		last = ask
		if ask > 108 {
			t.Fatalf("asks for %g of 100 and 8", ask)
		}
	}
	// Pauses of 2, 4, 8, 16, 32 and 60 minutes fit into two hours.
	if tries < 4 || tries > 7 {
		t.Errorf("%d tries in two hours", tries)
	}
	if search.TargetCPUs(now, 0, supply, boot) != 0 || search.TargetCPUs(now, 8, 100, boot) != 108 {
		t.Error("once nothing waits it must begin anew")
	}
}
