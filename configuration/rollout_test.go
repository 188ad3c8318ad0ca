package configuration

import (
	"testing"
	"time"

	"switchferry/settings"
	"switchferry/tuning"
)

// A revision is in force once each peer has confirmed it or no lease on an older one can be valid, but not
// before all decisions made under the older one are persisted.
func TestRolloutIsInForceOnceNoOlderRevisionIsValid(t *testing.T) {
	start := time.Unix(1000, 0)
	before, after := FromFiles([]settings.Team{{Name: "a", CPUsMax: 9}}, nil), FromFiles([]settings.Team{{Name: "a", CPUsMax: 5}}, nil)
	after.Revision = 7
	leasesExpired := start.Add(tuning.ConfigurationLease + tuning.ConfigurationMargin)
	for _, test := range []struct {
		name        string
		confirm     map[string]uint64
		unpersisted int
		now         time.Time
		want        Stage
	}{
		{"none confirmed, leases may be valid", nil, 0, leasesExpired.Add(-time.Millisecond), Propagating},
		{"none confirmed, leases have expired", nil, 0, leasesExpired, InForce},
		{"one confirmed", map[string]uint64{"x": 7}, 0, start, Propagating},
		{"both confirmed, one of them a newer revision", map[string]uint64{"x": 7, "y": 8}, 0, start, InForce},
		{"both confirmed, one of them an older revision", map[string]uint64{"x": 7, "y": 6}, 0, start, Propagating},
		{"both confirmed, starts are not persisted", map[string]uint64{"x": 7, "y": 7}, 2, leasesExpired.Add(time.Hour), Propagating},
	} {
		rollout := NewRollout(before, after, []string{"x", "y"})
		rollout.Confirm("x", 7) // has no effect before the revision is stored
		if limit, _ := rollout.Effective().Limit("a"); limit.CPUs != 5 || rollout.Advance(leasesExpired.Add(time.Hour)) != Storing {
			t.Fatalf("before it is stored: %+v, %v", limit, rollout.Stage())
		}
		rollout.MarkStored(start)
		for member, revision := range test.confirm {
			rollout.Confirm(member, revision)
		}
		rollout.SetUnpersisted(test.unpersisted)
		if got := rollout.Advance(test.now); got != test.want || (got == InForce) != (len(rollout.WaitsFor(test.now)) == 0) {
			t.Errorf("%s: %v, waits for %v", test.name, got, rollout.WaitsFor(test.now))
		}
		if want := map[Stage]*Active{Propagating: rollout.stricter, InForce: after}[test.want]; rollout.Effective() != want {
			t.Errorf("%s: the effective configuration is not the expected one", test.name)
		}
	}
	rollout := NewRollout(before, after, nil)
	rollout.MarkRefused()
	if rollout.Effective() != before || rollout.Advance(leasesExpired.Add(time.Hour)) != Refused {
		t.Error("the previous configuration is not effective after the change was refused")
	}
}
