package feasibility

import (
	"testing"

	"switchferry/api"
	"switchferry/fleet"
)

// A job is unplaceable if there is no machine of its type, zone, kind and size, or if services occupy all such
// machines. PoolFor returns a pool on whose machines it can run.
func TestUnplaceableJobsAndTheirPools(t *testing.T) {
	small := &api.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}}
	large := &api.MachineType{Name: "large", CPUs: 32, MemoryGB: 256, Zones: []string{"a", "b"}}
	machines := []Machine{
		{Spec: small, Zone: "a"}, {Spec: small, Zone: "b", Spot: true}, {Spec: nil, Zone: "b"},
		{Spec: large, Zone: "a", UsedByServices: fleet.Resources{CPUs: 30}},
	}
	pools := []Pool{{small, "a", false}, {small, "b", false}, {large, "b", false}, {large, "b", true}}
	for _, testCase := range []struct {
		name string
		job  api.Submission
		// wantPool is the pool for an unplaceable job; it is empty if the job is placeable.
		wantPool string
	}{
		{"any machine", api.Submission{CPUs: 1, MemoryGB: 1}, ""},
		{"only preemptible machines in its zone", api.Submission{CPUs: 1, Zone: "b"}, "small b"},
		{"preemptible machines are allowed", api.Submission{CPUs: 1, Zone: "b", Spot: true}, ""},
		{"services occupy its machine type", api.Submission{CPUs: 4, Types: []string{"large"}}, "large b"},
		{"services leave enough of its machine type", api.Submission{CPUs: 1, MemoryGB: 100}, ""},
		{"too large for the resources that services leave free", api.Submission{CPUs: 8, MemoryGB: 100}, "large b"},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			unplaceable := Unplaceable([]*api.Submission{&testCase.job, &testCase.job}, machines)
			if len(unplaceable) != min(1, len(testCase.wantPool)) {
				t.Fatalf("%d jobs unplaceable, want %d", len(unplaceable), min(1, len(testCase.wantPool)))
			}
			if len(unplaceable) == 0 {
				return
			}
			if pool, ok := PoolFor(unplaceable[0], pools); !ok || pool.Type.Name+" "+pool.Zone != testCase.wantPool {
				t.Errorf("pool %+v, want %s", pool, testCase.wantPool)
			}
		})
	}
	if _, ok := PoolFor(&api.Submission{CPUs: 64}, pools); ok {
		t.Error("PoolFor returned a pool for a job that fits no machine type")
	}
}
