package cluster

import (
	"slices"
	"sync"
	"testing"
)

// Clusters of one process are never given the same address, even while nothing listens on it because a controller is
// being restarted.
func TestAddressesAreAllocatedOnce(t *testing.T) {
	const clusters, each = 8, 20
	var group sync.WaitGroup
	got := make([][]string, clusters)
	for i := range clusters {
		group.Go(func() {
			var err error
			if got[i], err = allocateAddresses(t.Context(), each); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	all := slices.Concat(got...)
	slices.Sort(all)
	if distinct := len(slices.Compact(slices.Clone(all))); distinct != clusters*each {
		t.Errorf("got %d distinct addresses, want %d", distinct, clusters*each)
	}
}
