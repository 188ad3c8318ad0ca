package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"switchferry/reachability"
	"switchferry/tuning"
)

// world is a fleet of scripted machines: a far zone of 2,000 and a near one of 3,000, of
// which each reports when the script says so.
type world struct {
	now    time.Time
	s      *Detector
	b      EvictionBudget
	heard  map[string]time.Time
	zone   map[string]string
	gone   map[string]bool
	all    []string
	cutOff string
}

const (
	lease  = 17500 * time.Millisecond
	report = 3 * time.Second
	silent = 9600 * time.Millisecond
)

func newWorld() *world {
	w := &world{now: time.Unix(1_800_000_000, 0), heard: map[string]time.Time{}, zone: map[string]string{}, gone: map[string]bool{}}
	for i := range 5000 {
		name := fmt.Sprintf("n-%04d", i)
		w.all = append(w.all, name)
		w.zone[name] = map[bool]string{true: "far", false: "near"}[i < 2000]
	}
	w.elect()
	return w
}

// elect begins a term: the machines are known from the records.
func (w *world) elect() {
	w.s, w.b, w.heard = New(w.now, lease), EvictionBudget{}, map[string]time.Time{}
}

// run lets time pass; the machines that speak tells of report. It gives how many were given
// up, by zone.
func (w *world) run(d time.Duration, speaks func(name string) bool) map[string]int {
	out := map[string]int{}
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tuning.TendEvery)
		i := 0
		for _, name := range w.names() {
			if i++; speaks(name) && (w.now.UnixMilli()/500+int64(i))%6 == 0 {
				w.heard[name] = w.now
			}
		}
		w.s.Tick(w.now)
		seen := func(name string) Observation {
			return Observation{Zone: w.zone[name], LastHeartbeat: w.heard[name], Timeout: 7500 * time.Millisecond}
		}
		w.s.Observe(w.now, func(yield func(Observation)) {
			for _, name := range w.names() {
				yield(seen(name))
			}
		}, func(zone string) bool { return zone == w.cutOff })
		var due []Candidate
		for _, name := range w.names() {
			limit := silent
			if w.heard[name].IsZero() {
				limit = lease + tuning.NewTermGrace
			}
			if w.now.Sub(w.s.SilentSince(w.now, seen(name))) > limit {
				due = append(due, Candidate{Name: name, Zone: w.zone[name], Tasks: 1})
			}
		}
		for _, v := range w.b.Spend(w.now, due, w.s.SilentShare) {
			for _, name := range v.Release {
				w.gone[name] = true
				out[v.Zone]++
			}
		}
	}
	return out
}

func (w *world) names() (out []string) {
	for _, name := range w.all {
		if !w.gone[name] {
			out = append(out, name)
		}
	}
	return out
}

func (w *world) near(name string) bool { return w.zone[name] == "near" }

// A zone of 2,000 machines falls silent, and the leader changes meanwhile: nothing of it is
// given up while that may be a cut, whether a sibling stands in it, whose controllers are then
// out of reach, or not, or half of it is back. 442 of 430 machines were returned 18 s after such
// a change (docs/incidents/fleet-zone-returned.md). A machine of the other zone that dies is
// given up as soon as ever.
func TestSilentZoneThroughAChangeOfLeader(t *testing.T) {
	for _, c := range []struct {
		name   string
		cutOff string
		back   int
	}{{"no sibling there", "", 0}, {"a sibling there", "far", 0}, {"half of it back", "far", 1000}} {
		w := newWorld()
		w.run(30*time.Second, func(string) bool { return true })
		w.cutOff = c.cutOff
		lost := w.run(11*time.Second, w.near)
		w.elect()
		dead := "n-4999"
		far := 0
		speaks := func(name string) bool {
			if w.zone[name] == "far" {
				far++
				return name < fmt.Sprintf("n-%04d", c.back)
			}
			return name != dead
		}
		for z, n := range w.run(45*time.Second, speaks) {
			lost[z] += n
		}
		if lost["far"] > 0 || !w.gone[dead] || lost["near"] != 1 {
			t.Errorf("%s: given up %v, the dead one %v", c.name, lost, w.gone[dead])
		}
		// The cut ends, and all come back: nothing was returned in vain.
		w.cutOff = ""
		if more := w.run(20*time.Second, func(name string) bool { return name != dead }); len(more) > 0 {
			t.Errorf("%s: given up after the cut: %v", c.name, more)
		}
	}
}

// A zone that is really gone is given up too, but not at once: it may come back at any
// moment, and all that is returned must boot anew.
func TestLostZoneIsGivenUpSlowly(t *testing.T) {
	w := newWorld()
	w.run(30*time.Second, func(string) bool { return true })
	if lost := w.run(tuning.CutLeases*lease-10*time.Second, w.near); lost["far"] > 0 {
		t.Fatalf("%v within the time of a cut", lost)
	}
	first := w.run(20*time.Second, w.near)["far"]
	if first == 0 || first > 300 {
		t.Errorf("%d of 2,000 in the first 20 s", first)
	}
	w.run(12*time.Minute, w.near)
	left := 0
	for _, name := range w.names() {
		if w.zone[name] == "far" {
			left++
		}
	}
	if left > 150 {
		t.Errorf("%d of 2,000 left after 12 minutes", left)
	}
}

// A wave that takes a quarter of a zone is given up as it becomes due; what must go goes
// whatever the budget is, and those with the most tasks go first.
func TestBudget(t *testing.T) {
	w := newWorld()
	w.run(30*time.Second, func(string) bool { return true })
	taken := func(name string) bool { return w.zone[name] == "far" && name >= "n-1500" }
	if lost := w.run(15*time.Second, func(name string) bool { return !taken(name) }); lost["far"] != 500 || lost["near"] != 0 {
		t.Errorf("a wave of 500 of 2,000: %v", lost)
	}
	var b EvictionBudget
	var cs []Candidate
	for i := range 100 {
		cs = append(cs, Candidate{Name: fmt.Sprintf("m%03d", i), Zone: "z", Tasks: i % 10, Unconditional: i == 0})
	}
	v := b.Spend(w.now, cs, func(string) (float64, int) { return 0.9, 100 })
	if len(v) != 1 || len(v[0].Release) != 9 || v[0].Deferred != 91 || v[0].Release[0] != "m009" || !slices.Contains(v[0].Release, "m000") || v[0].DeferredTasks != 450-8*9 {
		t.Errorf("%+v", v)
	}
	if v = b.Spend(w.now.Add(10*time.Second), cs[9:], func(string) (float64, int) { return 0.9, 100 }); len(v[0].Release) != 4 {
		t.Errorf("10 s later: %v", v[0].Release)
	}
}

// TestMachinesOfNoZoneAreNoZone on record that nobody heard and the cloud does not list have no zone, and are none
// together: after a wave and a change of leader they were left for minutes, as a silent zone.
func TestMachinesOfNoZoneAreNoZone(t *testing.T) {
	w := newWorld()
	w.run(30*time.Second, func(string) bool { return true })
	for _, name := range w.all[:60] {
		w.zone[name] = ""
	}
	w.elect()
	if lost := w.run(lease+tuning.NewTermGrace+2*time.Second, func(name string) bool { return w.zone[name] != "" }); lost[""] != 60 || len(lost) != 1 {
		t.Errorf("given up %v, want the 60 that are gone", lost)
	}
}

// A switch that falls silent with all behind it is left until the leases there have ended, and
// so costs nothing if it returns before; one machine of it alone is given up like any, and so
// is half a rack. After a change of leader it is the same for machines known from records.
func TestSilentDomainIsLeftForALease(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		name    string
		silent  int
		of      int
		elected bool
		// after how long the first is given up.
		want time.Duration
	}{
		{"one of ten", 1, 10, false, silent},
		{"half of them", 5, 10, false, silent},
		{"all", 10, 10, false, lease},
		{"all, and the leader changes", 10, 10, true, lease},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start
			s := New(now, lease)
			heard := map[int]time.Time{}
			for i := range 60 {
				heard[i] = now
			}
			sighting := func(i int) Observation {
				m := Observation{Zone: "z", LastHeartbeat: heard[i], Timeout: 7500 * time.Millisecond}
				if i < c.of {
					m.Domains = []string{"rack-1", "room-1"}
				} else if i < 40 {
					m.Domains = []string{"rack-2", "room-1"}
				}
				return m
			}
			if c.elected {
				s = New(now, lease)
				for i := range c.silent {
					heard[i] = time.Time{}
				}
			}
			var given time.Duration
			for given == 0 && now.Before(start.Add(3*lease)) {
				now = now.Add(500 * time.Millisecond)
				for i := c.silent; i < 60; i++ {
					heard[i] = now
				}
				s.Tick(now)
				s.Observe(now, func(yield func(Observation)) {
					for i := range 60 {
						yield(sighting(i))
					}
				}, func(string) bool { return false })
				if now.Sub(s.SilentSince(now, sighting(0))) > silent {
					given = now.Sub(start)
				}
				if given == 0 && now.Sub(s.SilentSince(now, sighting(20))) > 0 {
					t.Fatal("one that reports is silent")
				}
			}
			if given < c.want || given > c.want+time.Second {
				t.Errorf("given up after %s, want %s", given, c.want)
			}
		})
	}
}

// A machine that answers commands and is not heard is emptied, unless so much of its zone is unheard that the reason
// lies elsewhere, and given up once two leases have passed; one that answers nothing is given up as ever.
func TestJudgeMute(t *testing.T) {
	l := Limits{SuspectAfter: 7 * time.Second, ReleaseAfter: 10 * time.Second, ElectionGrace: 20 * time.Second, InboundLost: 35 * time.Second}
	for _, c := range []struct {
		mute    bool
		share   float64
		unheard time.Duration
		want    Action
	}{{true, 0.3, 9 * time.Second, Keep}, {true, 0.3, 11 * time.Second, Drain}, {true, 0.4, 11 * time.Second, Keep}, {true, 0.4, 36 * time.Second, ReleaseWithinBudget},
		{true, 0.3, 36 * time.Second, ReleaseWithinBudget}, {false, 0.3, 11 * time.Second, ReleaseWithinBudget}} {
		if got, why := Decide(MachineState{Up: true, Listed: true, Link: reachability.Reachable, InboundLost: c.mute, SilentShare: c.share, SilentFor: c.unheard}, l); got != c.want {
			t.Errorf("mute %v, %v of the zone unheard, it for %v: %v (%s), want %v", c.mute, c.share, c.unheard, got, why, c.want)
		}
	}
}
