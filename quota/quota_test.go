package quota

import (
	"testing"
	"time"

	"switchferry/fleet"
	"switchferry/tuning"
)

func cpus(n float64) fleet.Resources { return fleet.Resources{CPUs: n} }

func TestLimitAllowsUsageUpToItsAmounts(t *testing.T) {
	for _, testCase := range []struct {
		name  string
		limit Limit
		use   fleet.Resources
		want  bool
	}{
		{"no limit", Limit{}, fleet.Resources{CPUs: 1e6, Cards: 1e6}, true},
		{"at the limit", Limit{CPUs: 8}, cpus(8), true},
		{"over the limit", Limit{CPUs: 8}, cpus(8.5), false},
		{"over one of two limits", Limit{CPUs: 8, Cards: 2}, fleet.Resources{CPUs: 1, Cards: 3}, false},
		{"only cards are limited", Limit{Cards: 2}, fleet.Resources{CPUs: 99, Cards: 2}, true},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			if got := testCase.limit.Allows(testCase.use); got != testCase.want {
				t.Errorf("%+v allows %+v: %v, want %v", testCase.limit, testCase.use, got, testCase.want)
			}
		})
	}
}

// The first feasible demand of a team holds the reservation until it is satisfied or the reservation expires. After an
// expiry, no quota is reserved for a while. The steps use one ledger, in order.
func TestReserveFirstFeasibleDemandUntilExpiry(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	demand := func(id string, request, use, permanent float64) Demand {
		return Demand{Team: "one", ID: id, Limit: Limit{CPUs: 24}, Request: cpus(request), Usage: cpus(use), Permanent: cpus(permanent)}
	}
	var ledger Ledger
	for _, step := range []struct {
		after   time.Duration
		demands []Demand
		want    string
	}{
		{0, []Demand{demand("big", 8, 24, 0), demand("next", 4, 24, 0)}, "big"},
		{time.Second, []Demand{demand("big", 8, 17, 0)}, "big"},
		{2 * time.Second, []Demand{demand("big", 8, 16, 0)}, ""},
		{3 * time.Second, nil, ""},
		{4 * time.Second, []Demand{demand("never", 8, 24, 20), demand("next", 4, 24, 20)}, "next"},
		{4*time.Second + tuning.QuotaReservationTTL - 1, []Demand{demand("other", 2, 24, 0)}, "other"},
		{4*time.Second + tuning.QuotaReservationTTL, []Demand{demand("other", 2, 24, 0)}, ""},
		{4*time.Second + tuning.QuotaReservationTTL + tuning.QuotaReservationPause - 1, []Demand{demand("other", 2, 24, 0)}, ""},
		{4*time.Second + tuning.QuotaReservationTTL + tuning.QuotaReservationPause, []Demand{demand("other", 2, 24, 0)}, "other"},
	} {
		ledger.Reserve(start.Add(step.after), step.demands)
		if reservation, _ := ledger.Reservation("one"); reservation.ID != step.want {
			t.Errorf("after %v: reserved for %q, want %q", step.after, reservation.ID, step.want)
		}
		if _, ok := ledger.Reservation("two"); ok {
			t.Errorf("after %v: a reservation for a team without demands", step.after)
		}
	}
}
