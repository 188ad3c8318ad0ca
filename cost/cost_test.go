package cost

import "testing"

func TestCopyWaitsForTheSlowerOfLinkAndStore(t *testing.T) {
	for _, testCase := range []struct {
		name                                                  string
		bytes, linkBacklog, linkRate, storeBacklog, storeRate float64
		storeOnly                                             bool
		want                                                  float64
	}{
		{"nothing to copy", 0, 100, 10, 100, 10, true, 0},
		{"after the link's backlog", 100, 50, 10, 0, 0, false, 15},
		{"a peer has it: the store's backlog does not count", 100, 0, 10, 1000, 10, false, 10},
		{"only the store has it", 100, 0, 10, 900, 10, true, 100},
		{"the link is slower than the store", 100, 0, 1, 0, 10, true, 100},
		{"no limits", 100, 50, 0, 50, 0, true, 0},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			if got := Copy(testCase.bytes, testCase.linkBacklog, testCase.linkRate, testCase.storeBacklog, testCase.storeRate, testCase.storeOnly); got != testCase.want {
				t.Errorf("%v s, want %v s", got, testCase.want)
			}
		})
	}
}
