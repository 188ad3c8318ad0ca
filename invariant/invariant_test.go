package invariant

import "testing"

func TestViolationsAreCountedUntilReset(t *testing.T) {
	ResetViolations()
	Violated("one", "job", "run-000001")
	Violated("two")
	if got := Violations(); got != 2 {
		t.Errorf("%d violations, want 2", got)
	}
	if got := ResetViolations(); got != 2 {
		t.Errorf("%d violations before the reset, want 2", got)
	}
	if got := Violations(); got != 0 {
		t.Errorf("%d violations after the reset, want none", got)
	}
}
