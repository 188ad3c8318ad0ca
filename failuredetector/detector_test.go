package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"switchferry/reachability"
	"switchferry/tuning"
)

// fleet is a fleet of scripted machines, 2,000 in zone far and 3,000 in zone near, each of which sends
// heartbeats when the script says so.
type fleet struct {
	now             time.Time
	detector        *Detector
	budget          EvictionBudget
	lastHeartbeat   map[string]time.Time
	zone            map[string]string
	released        map[string]bool
	machines        []string
	unreachableZone string
}

const (
	lease          = 17500 * time.Millisecond
	reportInterval = 3 * time.Second
	releaseAfter   = 9600 * time.Millisecond
)

func newFleet() *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), lastHeartbeat: map[string]time.Time{}, zone: map[string]string{}, released: map[string]bool{}}
	for i := range 5000 {
		name := fmt.Sprintf("n-%04d", i)
		f.machines = append(f.machines, name)
		f.zone[name] = map[bool]string{true: "far", false: "near"}[i < 2000]
	}
	f.startTerm()
	return f
}

// startTerm begins a term, in which the machines are known from the records alone.
func (f *fleet) startTerm() {
	f.detector, f.budget, f.lastHeartbeat = New(f.now, lease), EvictionBudget{}, map[string]time.Time{}
}

// run lets time pass while the machines for which reports is true send heartbeats. It returns how many
// machines were released, by zone.
func (f *fleet) run(duration time.Duration, reports func(name string) bool) map[string]int {
	out := map[string]int{}
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(tuning.TendEvery)
		i := 0
		for _, name := range f.remaining() {
			if i++; reports(name) && (f.now.UnixMilli()/500+int64(i))%6 == 0 {
				f.lastHeartbeat[name] = f.now
			}
		}
		f.detector.Tick(f.now)
		observe := func(name string) Observation {
			return Observation{Zone: f.zone[name], LastHeartbeat: f.lastHeartbeat[name], Timeout: 7500 * time.Millisecond}
		}
		f.detector.Observe(f.now, func(yield func(Observation)) {
			for _, name := range f.remaining() {
				yield(observe(name))
			}
		}, func(zone string) bool { return zone == f.unreachableZone })
		var due []Candidate
		for _, name := range f.remaining() {
			limit := releaseAfter
			if f.lastHeartbeat[name].IsZero() {
				limit = lease + tuning.NewTermGrace
			}
			if f.now.Sub(f.detector.SilentSince(f.now, observe(name))) > limit {
				due = append(due, Candidate{Name: name, Zone: f.zone[name], Tasks: 1})
			}
		}
		for _, decision := range f.budget.Spend(f.now, due, f.detector.SilentShare) {
			for _, name := range decision.Release {
				f.released[name] = true
				out[decision.Zone]++
			}
		}
	}
	return out
}

func (f *fleet) remaining() (out []string) {
	for _, name := range f.machines {
		if !f.released[name] {
			out = append(out, name)
		}
	}
	return out
}

func (f *fleet) isNear(name string) bool { return f.zone[name] == "near" }

// A zone of 2,000 machines falls silent, and the leader changes meanwhile. No machine of it is released
// while a network partition is likely, whether the zone has controllers, which are then unreachable, or not,
// or half of it is back. 442 of 430 machines were returned 18 s after such a change
// (docs/incidents/fleet-zone-returned.md). A machine of the other zone that dies is released without delay.
func TestSilentZoneIsKeptThroughFailover(t *testing.T) {
	for _, test := range []struct {
		name            string
		unreachableZone string
		responding      int
	}{{"no sibling there", "", 0}, {"a sibling there", "far", 0}, {"half of it back", "far", 1000}} {
		fleet := newFleet()
		fleet.run(30*time.Second, func(string) bool { return true })
		fleet.unreachableZone = test.unreachableZone
		released := fleet.run(11*time.Second, fleet.isNear)
		fleet.startTerm()
		dead := "n-4999"
		far := 0
		reports := func(name string) bool {
			if fleet.zone[name] == "far" {
				far++
				return name < fmt.Sprintf("n-%04d", test.responding)
			}
			return name != dead
		}
		for zone, count := range fleet.run(45*time.Second, reports) {
			released[zone] += count
		}
		if released["far"] > 0 || !fleet.released[dead] || released["near"] != 1 {
			t.Errorf("%s: given up %v, the dead one %v", test.name, released, fleet.released[dead])
		}
		// The partition ends, and all machines come back: none was released in vain.
		fleet.unreachableZone = ""
		if more := fleet.run(20*time.Second, func(name string) bool { return name != dead }); len(more) > 0 {
			t.Errorf("%s: given up after the cut: %v", test.name, more)
		}
	}
}

// A zone that is lost for good is released too, but slowly: it may come back at any moment, and every
// released machine must be replaced by one that has to boot.
func TestLostZoneIsReleasedSlowly(t *testing.T) {
	fleet := newFleet()
	fleet.run(30*time.Second, func(string) bool { return true })
	if released := fleet.run(tuning.CutLeases*lease-10*time.Second, fleet.isNear); released["far"] > 0 {
		t.Fatalf("%v within the time of a cut", released)
	}
	first := fleet.run(20*time.Second, fleet.isNear)["far"]
	if first == 0 || first > 300 {
		t.Errorf("%d of 2,000 in the first 20 s", first)
	}
	fleet.run(12*time.Minute, fleet.isNear)
	left := 0
	for _, name := range fleet.remaining() {
		if fleet.zone[name] == "far" {
			left++
		}
	}
	if left > 150 {
		t.Errorf("%d of 2,000 left after 12 minutes", left)
	}
}

// The loss of a quarter of a zone is released as each machine becomes due. Unconditional releases ignore the
// budget, and machines with the most tasks are released first.
func TestBudgetReleasesMachinesWithMostTasksFirst(t *testing.T) {
	fleet := newFleet()
	fleet.run(30*time.Second, func(string) bool { return true })
	taken := func(name string) bool { return fleet.zone[name] == "far" && name >= "n-1500" }
	if released := fleet.run(15*time.Second, func(name string) bool { return !taken(name) }); released["far"] != 500 || released["near"] != 0 {
		t.Errorf("a wave of 500 of 2,000: %v", released)
	}
	var budget EvictionBudget
	var candidates []Candidate
	for i := range 100 {
		candidates = append(candidates, Candidate{Name: fmt.Sprintf("m%03d", i), Zone: "z", Tasks: i % 10, Unconditional: i == 0})
	}
	decisions := budget.Spend(fleet.now, candidates, func(string) (float64, int) { return 0.9, 100 })
	if len(decisions) != 1 || len(decisions[0].Release) != 9 || decisions[0].Deferred != 91 || decisions[0].Release[0] != "m009" || !slices.Contains(decisions[0].Release, "m000") || decisions[0].DeferredTasks != 450-8*9 {
		t.Errorf("%+v", decisions)
	}
	if decisions = budget.Spend(fleet.now.Add(10*time.Second), candidates[9:], func(string) (float64, int) { return 0.9, 100 }); len(decisions[0].Release) != 4 {
		t.Errorf("10 s later: %v", decisions[0].Release)
	}
}

// Recorded machines that sent no heartbeat and that the cloud does not list have no known zone, and do not
// count as one zone together: taken for a silent zone, they were kept for minutes after a change of leader.
func TestMachinesWithoutZoneAreReleased(t *testing.T) {
	fleet := newFleet()
	fleet.run(30*time.Second, func(string) bool { return true })
	for _, name := range fleet.machines[:60] {
		fleet.zone[name] = ""
	}
	fleet.startTerm()
	if released := fleet.run(lease+tuning.NewTermGrace+2*time.Second, func(name string) bool { return fleet.zone[name] != "" }); released[""] != 60 || len(released) != 1 {
		t.Errorf("given up %v, want the 60 that are gone", released)
	}
}

// A switch that falls silent with all machines behind it is kept until their leases have expired, so it costs
// nothing if it returns before. One machine behind it, or half of them, is released like any other. The same
// holds after a change of leader for machines known from records alone.
func TestSilentDomainIsKeptForOneLease(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		name     string
		silent   int
		size     int
		failover bool
		// want is after how long the first machine is released.
		want time.Duration
	}{
		{"one of ten", 1, 10, false, releaseAfter},
		{"half of them", 5, 10, false, releaseAfter},
		{"all", 10, 10, false, lease},
		{"all, and the leader changes", 10, 10, true, lease},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := start
			detector := New(now, lease)
			lastHeartbeat := map[int]time.Time{}
			for i := range 60 {
				lastHeartbeat[i] = now
			}
			observe := func(i int) Observation {
				observed := Observation{Zone: "z", LastHeartbeat: lastHeartbeat[i], Timeout: 7500 * time.Millisecond}
				if i < test.size {
					observed.Domains = []string{"rack-1", "room-1"}
				} else if i < 40 {
					observed.Domains = []string{"rack-2", "room-1"}
				}
				return observed
			}
			if test.failover {
				detector = New(now, lease)
				for i := range test.silent {
					lastHeartbeat[i] = time.Time{}
				}
			}
			var releasedAfter time.Duration
			for releasedAfter == 0 && now.Before(start.Add(3*lease)) {
				now = now.Add(500 * time.Millisecond)
				for i := test.silent; i < 60; i++ {
					lastHeartbeat[i] = now
				}
				detector.Tick(now)
				detector.Observe(now, func(yield func(Observation)) {
					for i := range 60 {
						yield(observe(i))
					}
				}, func(string) bool { return false })
				if now.Sub(detector.SilentSince(now, observe(0))) > releaseAfter {
					releasedAfter = now.Sub(start)
				}
				if releasedAfter == 0 && now.Sub(detector.SilentSince(now, observe(20))) > 0 {
					t.Fatal("one that reports is silent")
				}
			}
			if releasedAfter < test.want || releasedAfter > test.want+time.Second {
				t.Errorf("given up after %s, want %s", releasedAfter, test.want)
			}
		})
	}
}

// A machine that answers commands but whose heartbeats do not arrive is drained, unless so much of its zone is
// silent that the cause lies elsewhere, and released after two leases. One that answers nothing is released
// after the usual time.
func TestInboundLossDrainsThenReleases(t *testing.T) {
	limits := Limits{SuspectAfter: 7 * time.Second, ReleaseAfter: 10 * time.Second, ElectionGrace: 20 * time.Second, InboundLost: 35 * time.Second}
	for _, test := range []struct {
		inboundLost bool
		share       float64
		silentFor   time.Duration
		want        Action
	}{{true, 0.3, 9 * time.Second, Keep}, {true, 0.3, 11 * time.Second, Drain}, {true, 0.4, 11 * time.Second, Keep}, {true, 0.4, 36 * time.Second, ReleaseWithinBudget},
		{true, 0.3, 36 * time.Second, ReleaseWithinBudget}, {false, 0.3, 11 * time.Second, ReleaseWithinBudget}} {
		if got, reason := Decide(MachineState{Up: true, Listed: true, Link: reachability.Reachable, InboundLost: test.inboundLost, SilentShare: test.share, SilentFor: test.silentFor}, limits); got != test.want {
			t.Errorf("mute %v, %v of the zone unheard, it for %v: %v (%s), want %v", test.inboundLost, test.share, test.silentFor, got, reason, test.want)
		}
	}
}
