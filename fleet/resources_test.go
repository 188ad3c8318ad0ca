package fleet

import "testing"

func TestCountAndFitsTolerateRounding(t *testing.T) {
	r := Resources{CPUs: 8, MemoryGB: 32}
	if n := r.Count(Resources{CPUs: 0.8, MemoryGB: 3.2}); n != 10 {
		t.Errorf("%d tasks fit, want 10 despite rounding", n)
	}
	if r.Fits(Resources{CPUs: 1, Cards: 1}) || !r.Fits(Resources{CPUs: 8, MemoryGB: 32}) {
		t.Errorf("a request for a card fits into %+v, or an equal amount does not", r)
	}
}
