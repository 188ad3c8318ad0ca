package fleet

import (
	"testing"

	"switchferry/api"
)

func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	machine := &Machine{Spec: &api.MachineType{CacheGB: 5, PullGBs: 0.5}}
	machine.RecordImage("a", 2)
	machine.RecordImage("b", 2)
	machine.RecordImage("a", 2)
	machine.RecordImage("c", 2)
	if !machine.HasImage("a") || !machine.HasImage("c") || machine.HasImage("b") {
		t.Errorf("cached: %+v, want c and a", machine.Images())
	}
	if machine.FetchSeconds("a", 2) != 0 || machine.FetchSeconds("b", 2) != 4 {
		t.Errorf("fetch times %v s and %v s, want 0 s and 4 s", machine.FetchSeconds("a", 2), machine.FetchSeconds("b", 2))
	}
	machine.RecordImage("huge", 9)
	if !machine.HasImage("huge") || machine.HasImage("c") {
		t.Errorf("cached: %+v, want only the image that is larger than the cache", machine.Images())
	}
}
