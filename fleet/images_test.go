package fleet

import (
	"testing"

	"switchferry/api"
)

func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	m := &Machine{Spec: &api.MachineType{CacheGB: 5, PullGBs: 0.5}}
	m.RecordImage("a", 2)
	m.RecordImage("b", 2)
	m.RecordImage("a", 2)
	m.RecordImage("c", 2)
	if !m.HasImage("a") || !m.HasImage("c") || m.HasImage("b") {
		t.Errorf("cached: %+v, want c and a", m.Images())
	}
	if m.FetchSeconds("a", 2) != 0 || m.FetchSeconds("b", 2) != 4 {
		t.Errorf("fetch times %v s and %v s, want 0 s and 4 s", m.FetchSeconds("a", 2), m.FetchSeconds("b", 2))
	}
	m.RecordImage("huge", 9)
	if !m.HasImage("huge") || m.HasImage("c") {
		t.Errorf("cached: %+v, want only the image that is larger than the cache", m.Images())
	}
}
