package cluster

import (
	"slices"
	"sync"
	"testing"
)

// Clusters of one process are never given the same address, even while nothing listens on it because a controller is
// being restarted.
func TestAddressesAreGivenOnce(t *testing.T) {
	const clusters, each = 8, 20
	var taking sync.WaitGroup
	got := make([][]string, clusters)
	for i := range clusters {
		taking.Go(func() {
			var err error
			if got[i], err = allocateAddresses(t.Context(), each); err != nil {
				t.Error(err)
			}
		})
	}
	taking.Wait()
	all := slices.Concat(got...)
	slices.Sort(all)
	if distinct := len(slices.Compact(slices.Clone(all))); distinct != clusters*each {
		t.Errorf("got %d distinct addresses, want %d", distinct, clusters*each)
	}
}
