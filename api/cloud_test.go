package api

import "testing"

func TestMachineTypeFits(t *testing.T) {
	machineType := MachineType{Name: "g8", CPUs: 8, MemoryGB: 32, CacheGB: 10, Zones: []string{"a"}}
	for _, test := range []struct {
		s    Submission
		want bool
	}{{Submission{CPUs: 8, MemoryGB: 32}, true}, {Submission{CPUs: 8.1}, false}, {Submission{CPUs: 1, Cards: 1}, false},
		{Submission{CPUs: 1, Types: []string{"x"}}, false}, {Submission{CPUs: 1, Zone: "b"}, false}, {Submission{CPUs: 1, Image: "i", ImageGB: 11}, false}} {
		if machineType.Fits(&test.s) != test.want {
			t.Errorf("%+v: want %v", test.s, test.want)
		}
	}
}
