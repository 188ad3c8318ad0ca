package feasibility

import (
	"testing"

	"switchferry/api"
	"switchferry/fleet"
)

// A job is unmet where no machine of its type, zone, kind and size is there, or services hold all that
// are; the pool that is rented for it is one that it may run on.
func TestUnplaceableJobsAndThePoolsForThem(t *testing.T) {
	small := &api.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}}
	large := &api.MachineType{Name: "large", CPUs: 32, MemoryGB: 256, Zones: []string{"a", "b"}}
	fleetNow := []Machine{{Spec: small, Zone: "a"}, {Spec: small, Zone: "b", Spot: true}, {Spec: nil, Zone: "b"},
		{Spec: large, Zone: "a", Used: fleet.Resources{CPUs: 30}}}
	pools := []Pool{{small, "a", false}, {small, "b", false}, {large, "b", false}, {large, "b", true}}
	for _, c := range []struct {
		name string
		s    api.Submission
		rent string
	}{
		{"any", api.Submission{CPUs: 1, MemoryGB: 1}, ""},
		{"no ordinary machine there", api.Submission{CPUs: 1, Zone: "b"}, "small b"},
		{"cheap ones will do", api.Submission{CPUs: 1, Zone: "b", Spot: true}, ""},
		{"its type is held by services", api.Submission{CPUs: 4, Types: []string{"large"}}, "large b"},
		{"its size is", api.Submission{CPUs: 1, MemoryGB: 100}, ""},
		{"too large for all that is free", api.Submission{CPUs: 8, MemoryGB: 100}, "large b"},
	} {
		unmet := Unplaceable([]*api.Submission{&c.s, &c.s}, fleetNow)
		if len(unmet) != min(1, len(c.rent)) {
			t.Errorf("%s: %d unmet", c.name, len(unmet))
			continue
		}
		if len(unmet) == 1 {
			if pool, ok := PoolFor(unmet[0], pools); !ok || pool.Type.Name+" "+pool.Zone != c.rent {
				t.Errorf("%s: rents %+v", c.name, pool)
			}
		}
	}
	if _, ok := PoolFor(&api.Submission{CPUs: 64}, pools); ok {
		t.Error("a pool for what fits none")
	}
}
