package topology

import (
	"fmt"
	"testing"
	"time"

	"switchferry/tuning"
)

// domainOf returns a domain of a topology by name.
func domainOf(t *testing.T, topology *Map, name string) *Domain {
	t.Helper()
	domain, ok := topology.Domain(name)
	if !ok {
		t.Fatalf("no domain %q", name)
	}
	return domain
}

func TestReserveRejectsOverlappingDomains(t *testing.T) {
	topology := mustParse(t, smallTopology)
	now := time.Unix(1_800_000_000, 0)
	for _, testCase := range []struct {
		name, job, domain string
		want              bool
	}{
		{"the same domain for another job", "other", "s1", false},
		{"a domain within it", "other", "r1", false},
		{"a domain that contains it", "other", "west", false},
		{"a separate domain", "other", "r3", true},
		{"another domain for the same job", "job", "r1", true},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			var reservations Reservations
			if !reservations.Reserve(now, Reservation{Job: "job", Domain: domainOf(t, topology, "s1"), NeededAt: now}) {
				t.Fatal("the first reservation is rejected")
			}
			if got := reservations.Reserve(now, Reservation{Job: testCase.job, Domain: domainOf(t, topology, testCase.domain), NeededAt: now}); got != testCase.want {
				t.Errorf("reserved %v, want %v", got, testCase.want)
			}
		})
	}
}

// A renewal does not postpone the time at which the domain is needed, unless that time has passed. A reservation that
// is not renewed expires.
func TestReservationIsRenewedAndExpires(t *testing.T) {
	rack := domainOf(t, mustParse(t, smallTopology), "r1")
	start := time.Unix(1_800_000_000, 0)
	var reservations Reservations
	for _, step := range []struct {
		after, at, wantAt time.Duration
	}{
		{0, 3 * time.Second, 3 * time.Second},
		{time.Second, 9 * time.Second, 3 * time.Second},
		{2 * time.Second, 2500 * time.Millisecond, 2500 * time.Millisecond},
		{4 * time.Second, 9 * time.Second, 4 * time.Second},
	} {
		now := start.Add(step.after)
		reservations.Reserve(now, Reservation{Job: "job", Domain: rack, NeededAt: start.Add(step.at)})
		if all := reservations.All(now); len(all) != 1 || !all[0].NeededAt.Equal(start.Add(step.wantAt)) {
			t.Errorf("after %v: %+v, want one for %v", step.after, all, step.wantAt)
		}
	}
	if reservations.Expire(start.Add(4*time.Second + tuning.DomainReservationTTL)); reservations.Any() {
		t.Error("a reservation that was not renewed has not expired")
	}
}

func TestReservationsAreLimited(t *testing.T) {
	text := "version = 1\n"
	for i := range tuning.MaxDomainReservations + 1 {
		text += fmt.Sprintf("[[domain]]\nname = \"r%d\"\nlevel = \"rack\"\n", i)
	}
	now := time.Unix(1_800_000_000, 0)
	var reservations Reservations
	for i, domain := range mustParse(t, text).Domains() {
		if got, want := reservations.Reserve(now, Reservation{Job: domain.Name, Domain: domain, NeededAt: now}), i < tuning.MaxDomainReservations; got != want {
			t.Errorf("reservation %d: %v, want %v", i+1, got, want)
		}
	}
}

func TestReservationBlocksOtherJobs(t *testing.T) {
	topology := mustParse(t, smallTopology)
	now := time.Unix(1_800_000_000, 0)
	neededAt := now.Add(10 * time.Second)
	var reservations Reservations
	reservations.Reserve(now, Reservation{Job: "job", Rank: 1, Domain: domainOf(t, topology, "s1"), NeededAt: neededAt})
	for _, testCase := range []struct {
		name   string
		domain *Domain
		job    string
		rank   int
		endsAt time.Time
		want   bool
	}{
		{"ends too late", domainOf(t, topology, "r1"), "other", 1, neededAt.Add(1), true},
		{"never ends", domainOf(t, topology, "r1"), "other", 1, time.Time{}, true},
		{"ends by then", domainOf(t, topology, "r1"), "other", 1, neededAt, false},
		{"has a higher rank", domainOf(t, topology, "r1"), "other", 2, time.Time{}, false},
		{"is the job itself", domainOf(t, topology, "r1"), "job", 1, time.Time{}, false},
		{"is in another domain", domainOf(t, topology, "r3"), "other", 1, time.Time{}, false},
		{"is in no domain", nil, "other", 1, time.Time{}, false},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			if got := reservations.Blocks(now, testCase.domain, testCase.job, testCase.rank, testCase.endsAt); got != testCase.want {
				t.Errorf("blocked %v, want %v", got, testCase.want)
			}
		})
	}
	if reservations.Blocks(now.Add(tuning.DomainReservationTTL), domainOf(t, topology, "r1"), "other", 1, time.Time{}) {
		t.Error("an expired reservation blocks")
	}
}
