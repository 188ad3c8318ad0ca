package cluster

import (
	"slices"
	"sync"
	"testing"
)

// Two clusters of one process never get the same address, although nothing listens on it between a process's end and the
// start of the next one.
func TestAddressesAreGivenOnce(t *testing.T) {
	const clusters, each = 8, 20
	var taking sync.WaitGroup
	got := make([][]string, clusters)
	for i := range clusters {
		taking.Go(func() {
			var err error
			if got[i], err = freeAddresses(t.Context(), each); err != nil {
				t.Error(err)
			}
		})
	}
	taking.Wait()
	all := slices.Concat(got...)
	slices.Sort(all)
	if distinct := len(slices.Compact(slices.Clone(all))); distinct != clusters*each {
		t.Errorf("%d different addresses, want %d", distinct, clusters*each)
	}
}
