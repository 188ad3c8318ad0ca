package policy

import (
	"strings"
	"testing"
)

func TestParseOverridesDefaults(t *testing.T) {
	policy, err := Parse("# nightly\nslot_s = 5 + 7\n\nfetch_penalty = fetch_s > 30 ? 9.0 : 1.0\n")
	if err != nil {
		t.Fatal(err)
	}
	if v := policy.Value(SlotS, nil); v != 12 {
		t.Errorf("slot_s is %v, want 12", v)
	}
	if v := policy.Value(FetchPenalty, Vars{"fetch_s": 31, "slot_s": 10}); v != 9 {
		t.Errorf("fetch_penalty is %v, want 9", v)
	}
	if v := Default().Value(FetchPenalty, Vars{"fetch_s": 31, "slot_s": 10}); v != 4 {
		t.Errorf("default fetch_penalty is %v, want 4", v)
	}
}

// Every error is reported with its line and the name of the setting.
func TestParseReportsEveryErrorWithLineAndName(t *testing.T) {
	_, err := Parse("slot_s = \"long\"\nslotz = 3\nheadroom_cpus = demand +\nno equals\nslot_s = 4\nbegin_by_s = 400\n")
	if err == nil {
		t.Fatal("the invalid policy was accepted")
	}
	for _, want := range []string{"line 1: slot_s", "line 2: slotz", "line 3: headroom_cpus", "line 4:", "line 5: slot_s: already set in line 1",
		// 400 s is longer than users accept to wait for a start.
		"line 6: begin_by_s: is 400, want 10 to 200"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q missing in %v", want, err)
		}
	}
}

// If an expression yields an invalid value at run time, the built-in expression is used.
func TestValueFallsBackToDefault(t *testing.T) {
	policy, err := Parse("idle_keep_s = 0 - boot_s\nspot_share = 1 / demand_cpus")
	if err != nil {
		t.Fatal(err)
	}
	if v := policy.Value(IdleKeepS, Vars{"boot_s": 30}); v != 240 {
		t.Errorf("idle_keep_s is %v, want the default, 240", v)
	}
	if v := policy.Value(SpotShare, Vars{"demand_cpus": 0}); v != 1 {
		t.Errorf("spot_share is %v, want the default, 1", v)
	}
}
