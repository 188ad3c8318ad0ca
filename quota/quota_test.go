package quota

import (
	"testing"
	"time"

	"switchferry/fleet"
	"switchferry/tuning"
)

func cpus(n float64) fleet.Resources { return fleet.Resources{CPUs: n} }

func TestLimitAllowsUsageUpToItsAmounts(t *testing.T) {
	for _, c := range []struct {
		l    Limit
		use  fleet.Resources
		want bool
	}{{Limit{}, fleet.Resources{CPUs: 1e6, Cards: 1e6}, true}, {Limit{CPUs: 8}, cpus(8), true}, {Limit{CPUs: 8}, cpus(8.5), false},
		{Limit{CPUs: 8, Cards: 2}, fleet.Resources{CPUs: 1, Cards: 3}, false}, {Limit{Cards: 2}, fleet.Resources{CPUs: 99, Cards: 2}, true}} {
		if got := c.l.Allows(c.use); got != c.want {
			t.Errorf("%+v holds %+v: %v", c.l, c.use, got)
		}
	}
}

// The first claim of a team holds, unless what never ends takes too much, or it has been held for long without
// coming to its room; then the limit rests.
func TestFirstFeasibleDemandHoldsReservationUntilItExpires(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	claim := func(id string, need, use, stays float64) Demand {
		return Demand{Team: "one", ID: id, Limit: Limit{CPUs: 24}, Request: cpus(need), Use: cpus(use), Permanent: cpus(stays)}
	}
	var ledger Ledger
	for _, c := range []struct {
		after  time.Duration
		claims []Demand
		want   string
	}{
		{0, []Demand{claim("big", 8, 24, 0), claim("next", 4, 24, 0)}, "big"},
		{time.Second, []Demand{claim("big", 8, 17, 0)}, "big"},
		{2 * time.Second, []Demand{claim("big", 8, 16, 0)}, ""},
		{3 * time.Second, nil, ""},
		{4 * time.Second, []Demand{claim("never", 8, 24, 20), claim("next", 4, 24, 20)}, "next"},
		{4*time.Second + tuning.QuotaReserved - 1, []Demand{claim("other", 2, 24, 0)}, "other"},
		{4*time.Second + tuning.QuotaReserved, []Demand{claim("other", 2, 24, 0)}, ""},
		{4*time.Second + tuning.QuotaReserved + tuning.QuotaRests - 1, []Demand{claim("other", 2, 24, 0)}, ""},
		{4*time.Second + tuning.QuotaReserved + tuning.QuotaRests, []Demand{claim("other", 2, 24, 0)}, "other"},
	} {
		ledger.Reserve(now.Add(c.after), c.claims)
		if reservation, _ := ledger.Reservation("one"); reservation.ID != c.want {
			t.Errorf("after %v: held for %q, want %q", c.after, reservation.ID, c.want)
		}
		if _, ok := ledger.Reservation("two"); ok {
			t.Error("held in a team without claims")
		}
	}
}
