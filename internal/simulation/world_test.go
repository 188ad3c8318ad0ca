package simulation

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"switchferry/internal/compress"
	"switchferry/settings"
)

var (
	seeds = flag.Int("seeds", 0, "random days that are played; 0: 200, or 12 with the race detector")
	first = flag.Uint64("first", 1, "the first random day's seed")
	logs  = flag.Bool("logs", false, "write what the controllers log")
)

func TestMain(m *testing.M) {
	flag.Parse()
	if !*logs {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	// The packers are made once; what is made within one day's bubble cannot be used in another's.
	for _, f := range []func(any) (string, error){compress.EncodeFast, compress.EncodeSmall} {
		if _, err := f(0); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// play plays a day on the bubble's clock and reports what no day may have.
func play(t *testing.T, d *Scenario) *Result { return check(t, d, 0) }

// check is play for a day with more work than can begin in it, of which so many jobs may not.
func check(t *testing.T, d *Scenario, pending int) (r *Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { r = d.Run(context.Background()) })
	for rule, n := range r.Rules {
		t.Errorf("seed %d: %s %d times", d.Seed, rule, n)
	}
	if r.Forgotten > 0 || r.PendingForGood > pending || r.WaitedInVain > 0 || r.WrongAnswers > 0 || r.ClassesMinShare < 0.5 || r.LongestUnansweredS > 30 {
		t.Errorf("seed %d: %+v", d.Seed, *r)
	}
	if r.StartedCancelled > 0 {
		for _, why := range r.Why {
			t.Log(why)
		}
		t.Logf("%d tasks began after their cancellation was told: %+v", r.StartedCancelled, d.Faults)
	}
	if t.Failed() {
		t.Logf("%+v", d.Faults)
		for _, why := range r.Why {
			t.Log(why)
		}
	}
	return r
}

// paces are settings of workers: those of small fleets and of large ones.
var paces = []settings.Workers{{ReportS: 1, LeaseS: 10, CancelS: 40}, {ReportS: 4, LeaseS: 22, CancelS: 47}}

// random is a day of some troubles, alone and together.
func random(seed uint64) *Scenario {
	d := NewScenario(seed, 12)
	rng := rand.New(rand.NewPCG(seed, 1))
	d.Workers = paces[rng.IntN(len(paces))]
	kinds := []string{Crash, Crash, Roll, Lone, OutboundLost, ControllerDeaf, Copies, Die, Restart, Outage, CutZone, Refused, Refused, Wave, Silence, Apart, LateWrites, LateWrites, Held,
		Hangs, Hangs, InboundLost, InboundLost, Freeze, Slow, AtEnd, AtEnd, Odd, Wave}
	lasts := []time.Duration{300 * time.Millisecond, time.Second, 10 * time.Second, 40 * time.Second}
	if rng.IntN(2) == 0 {
		d.Cancels, d.RunS = 0.3, 80
	}
	if rng.IntN(3) == 0 {
		d.ImageS = 0.5 + 3*rng.Float64()
	}
	d.Berth = rng.IntN(3) == 0
	if seed%3 == 0 {
		d.Changes = 2 * time.Second
	}
	for range 2 + rng.IntN(5) {
		x := Fault{At: 15*time.Second + time.Duration(rng.IntN(60_000))*time.Millisecond, Kind: kinds[rng.IntN(len(kinds))],
			For: lasts[rng.IntN(4)], Count: 1 + rng.IntN(3), Follower: rng.IntN(2) == 0, Hang: rng.IntN(3) == 0}
		switch x.Kind {
		case Wave:
			x.For, x.Count = 300*time.Millisecond, 3+rng.IntN(7)
			x.HangFor = []time.Duration{0, 8 * time.Second, 20 * time.Second, time.Minute}[rng.IntN(4)]
		case Outage:
			x.For = max(x.For, time.Duration(rng.IntN(70))*time.Second)
		}
		if x.Kind == Crash || x.Kind == Roll {
			// Back at once, or as a platform brings it back.
			x.For = []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}[rng.IntN(4)]
		}
		d.Faults = append(d.Faults, x)
	}
	return d
}

// On random days no rule is broken, and nothing is forgotten or waits for good.
func TestRandomDays(t *testing.T) {
	n := *seeds
	if n == 0 {
		n = map[bool]int{false: 200, true: 12}[raced]
	}
	for i := range n {
		t.Run(fmt.Sprint(*first+uint64(i)), func(t *testing.T) {
			t.Parallel()
			play(t, random(*first+uint64(i)))
		})
	}
}

// The state service refuses the leader alone, others tell users of cancellations, then it is down for all
// while workers report to the old leader: the tasks are gone in time all the same. Most of these broke
// ran_cancelled while a controller took it for certain that it had missed nothing because all others were
// alive (docs/incidents/hunt-told-before-an-outage.md).
func TestToldBeforeAnOutage(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	// Times count from the refusal.
	for _, c := range []struct {
		name string
		// wave is when users cancel, out when the outage begins.
		wave, out int
		hang      bool
		more      []Fault
		// machines is how long machines of cancelled jobs hang.
		machines int
	}{
		{name: "told by the new leader, machines hang within a lease", wave: 1000, out: 1400, machines: 9000},
		{name: "told by the new leader, machines hang", wave: 1000, out: 1400, machines: 30_000},
		{name: "told before the refusal, machines hang past all", wave: -200, out: 500, machines: 90_000},
		{name: "told while nobody leads, machines hang, no answer", wave: 700, out: 950, hang: true, machines: 20_000},
		{name: "told, machines mute", wave: 1000, out: 1400, more: []Fault{{At: ms(-2000), For: ms(40_000), Kind: InboundLost, Count: 4}}},
		{name: "told, a zone mute", wave: 1000, out: 1400, more: []Fault{{At: ms(-2000), For: ms(40_000), Kind: InboundLost, Follower: true}}},
		{name: "told, answers slow", wave: 1500, out: 3000, more: []Fault{{At: ms(-5000), For: ms(30_000), Kind: Slow}}},
		{name: "told, answers slow for the leader alone", wave: 1000, out: 1400, more: []Fault{{At: ms(-5000), For: ms(30_000), Kind: Slow, Count: 1}}},
		{name: "told, the former leader stands still", wave: 2500, out: 3000, more: []Fault{{At: ms(200), For: ms(2900), Kind: Freeze}}},
		{name: "told, back in 0.2 s, machines hang", wave: 900, out: 1150, machines: 15_000, more: []Fault{{At: ms(1050), For: ms(200), Kind: Crash, Count: 1}}},
		{name: "told by the new leader", wave: 1000, out: 1400},
		{name: "the same, refused without an answer", wave: 1000, out: 1400, hang: true},
		{name: "told while nobody leads", wave: 700, out: 950},
		{name: "told before the refusal", wave: -200, out: 500},
		{name: "told until the outage, long after", wave: 4500, out: 5000},
		{name: "told, and back in 0.2 s", wave: 900, out: 1150, more: []Fault{{At: ms(1050), For: ms(200), Kind: Crash, Count: 1}}},
		{name: "told, and back in 0.1 s", wave: 750, out: 1000, more: []Fault{{At: ms(950), For: ms(100), Kind: Crash, Count: 1}}},
		{name: "told, and back in 0.2 s, no answer", wave: 1200, out: 1450, hang: true, more: []Fault{{At: ms(1350), For: ms(200), Kind: Crash, Count: 1}}},
		{name: "told, and back in 3 s", wave: 900, out: 1150, more: []Fault{{At: ms(1100), For: ms(3000), Kind: Crash, Count: 1}}},
		{name: "told, and two back at once", wave: 900, out: 1200, more: []Fault{{At: ms(1100), For: ms(200), Kind: Crash, Count: 2}}},
		{name: "told, and all back at once", wave: 900, out: 1200, more: []Fault{{At: ms(1100), For: ms(300), Kind: Crash, Count: 3}}},
		{name: "told, and silent for 20 s", wave: 900, out: 1150, more: []Fault{{At: ms(1100), For: ms(20_000), Kind: Silence}}},
		{name: "told, and cut off from one", wave: 900, out: 1300, more: []Fault{{At: ms(1000), For: ms(50_000), Kind: Apart}}},
		{name: "told, back, and cut off from one", wave: 900, out: 1300, more: []Fault{{At: ms(1100), For: ms(200), Kind: Crash, Count: 1}, {At: ms(9000), For: ms(30_000), Kind: Apart, Follower: true}}},
		{name: "the follower that passed it on is back at once", wave: 900, out: 1200, more: []Fault{{At: ms(1150), For: ms(200), Kind: Crash, Count: 1, Follower: true}}},
		{name: "told, back, some half-deaf", wave: 900, out: 1150, more: []Fault{{At: ms(1050), For: ms(200), Kind: Crash, Count: 1}, {At: ms(-3000), For: ms(70_000), Kind: OutboundLost, Count: 3}}},
		{name: "told, back, one zone cut", wave: 900, out: 1150, more: []Fault{{At: ms(1050), For: ms(200), Kind: Crash, Count: 1}, {At: ms(-1000), For: ms(60_000), Kind: CutZone}}},
		{name: "told, back, late copies", wave: 900, out: 1150, more: []Fault{{At: ms(1050), For: ms(200), Kind: Crash, Count: 1}, {At: ms(-5000), For: ms(70_000), Kind: Copies}}},
	} {
		for i, pace := range paces {
			if raced && i != len(c.name)%2 {
				continue
			}
			t.Run(fmt.Sprintf("%s, reports every %g s", c.name, pace.ReportS), func(t *testing.T) {
				t.Parallel()
				d := NewScenario(uint64(len(c.name)), 12)
				d.Workers, d.Cancels, d.RunS, d.PerSecond = pace, 0.3, 110, 1.5
				d.Lasts, d.After = 30*time.Second, 120*time.Second
				at := 30 * time.Second
				d.Faults = append([]Fault{{At: 0, For: ms(14_000), Kind: Refused, Hang: c.hang}, {At: ms(c.wave), For: ms(250), Kind: Wave, Count: 9, HangFor: ms(c.machines)},
					{At: ms(c.out), For: seconds(pace.CancelS + 20), Kind: Outage}}, c.more...)
				for i := range d.Faults {
					d.Faults[i].At += at
				}
				play(t, d)
			})
		}
	}
}

// The same with waves, outages and further troubles at random moments around the refusal.
func TestRandomGaps(t *testing.T) {
	n := *seeds
	if n == 0 {
		n = map[bool]int{false: 40, true: 4}[raced]
	}
	for i := range n {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 2))
			within := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
			d := NewScenario(seed, 12)
			d.Workers, d.Cancels, d.RunS, d.PerSecond = paces[rng.IntN(2)], 0.3, 110, 1.5
			d.Lasts, d.After = 40*time.Second, 130*time.Second
			at := 30 * time.Second
			out := at + within(300*time.Millisecond, 6*time.Second)
			d.Faults = []Fault{{At: at, For: within(2*time.Second, 60*time.Second), Kind: Refused, Hang: rng.IntN(3) == 0},
				{At: out, For: within(20*time.Second, 100*time.Second), Kind: Outage},
				{At: out - within(50*time.Millisecond, 500*time.Millisecond), For: 250 * time.Millisecond, Kind: Wave, Count: 8},
				{At: out - within(0, 5*time.Second), For: 250 * time.Millisecond, Kind: Wave, Count: 4}}
			more := []string{Crash, Crash, Crash, Roll, Apart, Silence, Lone, OutboundLost, CutZone, LateWrites, Held, Copies, Restart, Refused}
			for range 1 + rng.IntN(4) {
				x := Fault{At: out + within(-3*time.Second, 3*time.Second), For: within(time.Second, 50*time.Second), Kind: more[rng.IntN(len(more))],
					Count: 1 + rng.IntN(3), Follower: rng.IntN(2) == 0, Hang: rng.IntN(2) == 0}
				if x.Kind == Crash || x.Kind == Roll {
					x.At = out + within(-600*time.Millisecond, 200*time.Millisecond)
					x.For = within(50*time.Millisecond, 3*time.Second)
				}
				d.Faults = append(d.Faults, x)
			}
			play(t, d)
		})
	}
}

// meet plays a meeting at both paces of workers, alone and with an end of the leader in the middle, which is back within
// a second. Change, if there is one, makes the day another.
func meet(t *testing.T, name string, change func(d *Scenario), troubles []Fault) {
	for i, pace := range paces {
		for _, crash := range []bool{false, true} {
			if raced && (i > 0 || crash == (len(name)%2 == 0)) {
				continue
			}
			t.Run(fmt.Sprintf("%s, reports every %g s, leader ends %v", name, pace.ReportS, crash), func(t *testing.T) {
				t.Parallel()
				d := NewScenario(uint64(len(name)), 12)
				d.Workers, d.Cancels, d.RunS, d.PerSecond = pace, 0.15, 40, 1
				d.Lasts = 100 * time.Second
				if change != nil {
					change(d)
				}
				d.Faults = troubles
				if crash {
					d.Faults = append(slices.Clone(troubles), Fault{At: 33 * time.Second, For: 700 * time.Millisecond, Kind: Crash, Count: 1})
				}
				play(t, d)
			})
		}
	}
}

// The operators' meetings of two troubles (docs/meetings.md), in their order, each alone and with an end of the
// leader in the middle, which is back within a second.
func TestMeetings(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for name, troubles := range map[string][]Fault{
		"slow and refused, then an outage, users cancel and ask": {{At: at(20), For: at(30), Kind: LateWrites}, {At: at(30), For: at(14), Kind: Refused}, {At: at(31), For: at(0.5), Kind: Wave, Count: 5},
			{At: at(33), For: at(62), Kind: Outage}, {At: at(100), For: at(0.5), Kind: Wave, Count: 5}},
		"commands and answers held": {{At: at(15), For: at(60), Kind: Held}, {At: at(30), For: at(0.5), Kind: Wave, Count: 5}, {At: at(35), Kind: Restart, Count: 3}, {At: at(45), Kind: Die, Count: 1}},
		"over and back, all end, one returns at once": {{At: at(25), For: at(3), Kind: Refused}, {At: at(27), For: at(3), Kind: Refused}, {At: at(31), For: at(3), Kind: Crash, Count: 3}, {At: at(35), For: at(0.2), Kind: Crash, Count: 1},
			{At: at(35.5), For: at(0.1), Kind: Crash, Count: 2}, {At: at(24), For: at(20), Kind: LateWrites}},
		"leader cut from state and controllers, cancelled through the new one": {{At: at(25), For: at(60), Kind: Lone}, {At: at(28), For: at(1), Kind: Wave, Count: 6}, {At: at(60), For: at(1), Kind: Wave, Count: 6}},
		"old reports after newer ones":                                         {{At: at(15), For: at(90), Kind: Copies}, {At: at(25), Kind: Restart, Count: 3}, {At: at(40), Kind: Restart, Count: 3}, {At: at(50), Kind: Die, Count: 2}},
		"transactions late, after newer ones":                                  {{At: at(15), For: at(60), Kind: LateWrites}, {At: at(30), For: at(0.5), Kind: Wave, Count: 4}, {At: at(50), For: at(0.5), Kind: Wave, Count: 4}},
		"ends far apart across a change of leader":                             {{At: at(20), For: at(0.3), Kind: Crash, Count: 1}, {At: at(32), For: at(3), Kind: Crash, Count: 1}, {At: at(44), For: at(3), Kind: Crash, Count: 3}, {At: at(18), For: at(40), Kind: LateWrites}},
		"leader ends while machines are out of reach, or deaf":                 {{At: at(22), For: at(50), Kind: CutZone}, {At: at(24), For: at(3), Kind: Crash, Count: 1}, {At: at(30), For: at(50), Kind: OutboundLost, Count: 3}, {At: at(34), For: at(0.5), Kind: Wave, Count: 4}},
	} {
		meet(t, name, nil, troubles)
	}
}

// The meetings that the operators' letter added (docs/meetings.md), each alone and with an end of the leader in the
// middle, which is back within a second.
func TestLaterMeetings(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	changes := func(from, every float64) (out []Fault) {
		for i := range 10 {
			out = append(out, Fault{At: at(from + every*float64(i)), For: at([]float64{0.3, 3, 8}[i%3]), Kind: Crash, Count: 1})
		}
		return out
	}
	wave := func(s float64) Fault { return Fault{At: at(s), For: at(0.3), Kind: Wave, Count: 5} }
	for name, c := range map[string]struct {
		day      func(d *Scenario)
		troubles []Fault
	}{
		"all controllers away for longer than a lease":             {nil, []Fault{wave(29), {At: at(30), For: at(35), Kind: Crash, Count: 3}}},
		"the same, machines hang":                                  {nil, []Fault{{At: at(28), For: at(50), Kind: Hangs, Count: 3}, {At: at(30), For: at(35), Kind: Crash, Count: 3}, wave(66)}},
		"zone-bound jobs lose machines":                            {func(d *Scenario) { d.Berth = true }, []Fault{{At: at(30), Kind: Die, Count: 3}, {At: at(40), For: at(30), Kind: Hangs, Count: 3}, {At: at(50), Kind: Die, Count: 2}}},
		"a report held until new leaders have acted":               {nil, []Fault{{At: at(15), For: at(80), Kind: Copies}, {At: at(30), For: at(1), Kind: Crash, Count: 1}, {At: at(31), Kind: Restart, Count: 4}, {At: at(42), For: at(1), Kind: Crash, Count: 1}, wave(43)}},
		"leader ends, machines hang":                               {nil, []Fault{{At: at(25), For: at(9), Kind: Hangs, Count: 4}, {At: at(27), For: at(3), Kind: Crash, Count: 1}, wave(28), {At: at(50), For: at(40), Kind: Hangs, Count: 3}, {At: at(55), For: at(3), Kind: Crash, Count: 1}}},
		"the leader stands still, and goes on as the next begins":  {nil, []Fault{{At: at(25), For: at(1.9), Kind: Freeze}, wave(26.8), {At: at(40), For: at(2.4), Kind: Freeze}, wave(42.3), {At: at(55), For: at(12), Kind: Freeze}, wave(60)}},
		"a team at its limit, a new leader, machines out of reach": {func(d *Scenario) { d.Room, d.RunS, d.PerSecond = 2, 20, 0.8 }, []Fault{{At: at(25), For: at(40), Kind: InboundLost, Count: 4}, {At: at(26), For: at(30), Kind: OutboundLost, Count: 2}, {At: at(28), For: at(3), Kind: Crash, Count: 1}, wave(30), {At: at(50), For: at(1), Kind: Crash, Count: 1}}},
		"the same, a zone cut":                                     {func(d *Scenario) { d.Room, d.RunS, d.PerSecond = 2, 20, 0.8 }, []Fault{{At: at(25), For: at(50), Kind: CutZone}, {At: at(28), For: at(3), Kind: Crash, Count: 1}, wave(30), wave(34)}},
		"mute machines":                                            {nil, []Fault{{At: at(25), For: at(60), Kind: InboundLost, Count: 4}, wave(30), wave(45)}},
		"a mute zone":                                              {nil, []Fault{{At: at(25), For: at(40), Kind: InboundLost, Follower: true, Count: 1}, wave(30)}},
		"ten leaders":                                              {nil, append(changes(20, 10), wave(45), wave(71))},
		"ten leaders, an outage":                                   {nil, append(changes(20, 10), Fault{At: at(40), For: at(45), Kind: Outage}, wave(39))},
		"ends far apart, cancelled between them":                   {func(d *Scenario) { d.Cancels = 0.6 }, []Fault{{At: at(20), For: at(0.3), Kind: Crash, Count: 1}, wave(26), {At: at(32), For: at(3), Kind: Crash, Count: 1}, wave(38), {At: at(18), For: at(40), Kind: LateWrites}}},
		"leader cut off, users go on asking it":                    {nil, []Fault{{At: at(25), For: at(60), Kind: Lone}, {At: at(20), For: at(80), Kind: Odd}, wave(28), wave(60)}},
		"called off as it ends":                                    {nil, []Fault{{At: at(10), For: at(80), Kind: AtEnd}}},
		"called off as it ends, late writes":                       {nil, []Fault{{At: at(10), For: at(80), Kind: AtEnd}, {At: at(10), For: at(80), Kind: LateWrites}, {At: at(40), For: at(20), Kind: Slow}}},
		"called off as it ends, leaders change":                    {nil, append(changes(15, 7), Fault{At: at(10), For: at(80), Kind: AtEnd})},
		"more work than room, slow links":                          {func(d *Scenario) { d.ImageS, d.PerSecond, d.RunS = 6, 3, 20 }, []Fault{{At: at(30), Kind: Die, Count: 2}, wave(50)}},
		"slow, refused, then out":                                  {nil, []Fault{{At: at(20), For: at(80), Kind: Slow}, {At: at(28), For: at(14), Kind: Refused}, wave(28.9), wave(29.9), {At: at(30), For: at(60), Kind: Outage}}},
		"a zone cut for longer than a lease":                       {nil, []Fault{{At: at(25), For: at(45), Kind: CutZone}, wave(27), wave(40), {At: at(20), For: at(60), Kind: Copies}}},
		"late writes across two changes":                           {nil, []Fault{{At: at(15), For: at(60), Kind: LateWrites}, {At: at(30), For: at(1), Kind: Crash, Count: 1}, wave(33), {At: at(36), For: at(1), Kind: Crash, Count: 1}, wave(50), {At: at(52), For: at(1), Kind: Crash, Count: 2}}},
		"odd requests, leaders change":                             {nil, append(changes(20, 9), Fault{At: at(15), For: at(100), Kind: Odd}, Fault{At: at(60), For: at(10), Kind: Outage})},
	} {
		meet(t, name, c.day, c.troubles)
	}
}

// More long work than room, all the time: machines drain for jobs that need a whole one, and nobody waits 90 s beside
// their empty room.
func TestKeptMachinesHoldNobodyUp(t *testing.T) {
	for seed := range uint64(4) {
		if raced && seed > 0 {
			continue
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			d := NewScenario(seed, 12)
			d.Workers, d.Cancels, d.RunS, d.PerSecond = paces[seed%2], -1, 110, 1.2
			d.Room = 20
			d.Lasts, d.After = 220*time.Second, 120*time.Second
			d.Faults = []Fault{{At: 20 * time.Second, For: time.Second, Kind: Crash, Count: 1}}
			// Three times what the machines can do: not all begin.
			var r *Result
			synctest.Test(t, func(t *testing.T) { r = d.Run(context.Background()) })
			if len(r.Rules) > 0 || r.WaitedInVain > 0 || r.Forgotten > 0 || r.Tasks < 400 {
				t.Errorf("%d jobs waited 90 s beside room for them, %d forgotten, %d tasks began, rules broken: %v", r.WaitedInVain, r.Forgotten, r.Tasks, r.Rules)
			}
		})
	}
}

// Small jobs of a team never let its use sink below its limit, while the leader changes and machines are out of reach.
// Its jobs that need more than ends at once are served all the same, and the largest begin in time; without room of
// the limit reserved for them 13 to 19 never began on four of these days, of one class 0 to 35% were served
// (docs/incidents/hunt-limit-never-free.md).
func TestTeamAtItsLimitServesItsLargest(t *testing.T) {
	for i, pace := range paces {
		for seed := range uint64(3) {
			if raced && (i > 0 || seed > 0) {
				continue
			}
			t.Run(fmt.Sprintf("reports every %g s, seed %d", pace.ReportS, seed), func(t *testing.T) {
				t.Parallel()
				d := NewScenario(seed, 12)
				d.Workers, d.Cancels, d.Room, d.RunS, d.PerSecond = pace, 0.15, 2, 30, 2
				d.Lasts = 100 * time.Second
				d.Faults = []Fault{{At: 25 * time.Second, For: 40 * time.Second, Kind: InboundLost, Count: 4}, {At: 28 * time.Second, For: 3 * time.Second, Kind: Crash, Count: 1},
					{At: 30 * time.Second, For: 300 * time.Millisecond, Kind: Wave, Count: 5}}
				if r := check(t, d, 15); r.LargestBeginP99S > beginIn.Seconds() {
					t.Errorf("the largest began after %.0f s", r.LargestBeginP99S)
				}
			})
		}
	}
}

// An outage in which nobody cancels anything, all controllers well, or apart for a while, costs no task.
func TestOutageCostsNoTask(t *testing.T) {
	for _, apart := range []bool{false, true} {
		t.Run(fmt.Sprint("apart for a while ", apart), func(t *testing.T) {
			t.Parallel()
			d := NewScenario(5, 12)
			d.Workers, d.Cancels, d.RunS, d.PerSecond = paces[1], -1, 110, 0.3
			d.Lasts, d.After = 30*time.Second, 150*time.Second
			d.Faults = []Fault{{At: 30 * time.Second, For: 80 * time.Second, Kind: Outage}}
			if apart {
				d.Faults = append(d.Faults, Fault{At: 40 * time.Second, For: 10 * time.Second, Kind: Apart}, Fault{At: 60 * time.Second, For: 10 * time.Second, Kind: Apart, Follower: true})
			}
			if r := play(t, d); r.Again > 0 || r.Tasks < 10 {
				t.Errorf("%d of %d tasks began again", r.Again, r.Tasks)
			}
		})
	}
}

// Each of the cases that operators look at, by itself.
func TestCases(t *testing.T) {
	for name, troubles := range Scenarios() {
		for i, pace := range paces {
			if raced && i > 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s, reports every %g s", name, pace.ReportS), func(t *testing.T) {
				t.Parallel()
				d := NewScenario(1, 12)
				d.Faults, d.Workers = troubles, pace
				r := play(t, d)
				// Exactly how many is TestHalfDeafMachineIsGivenNoMoreWork's matter: here it hangs on
				// which task a term's last moment gives to which machine.
				if r.StartsInVain > 2 {
					t.Errorf("%.1f starts a lease on half-deaf machines", r.StartsInVain)
				}
				if r.ReturnedInVain > 0 && name != "cut zone, copies, half-deaf" {
					t.Errorf("%d machines returned in vain", r.ReturnedInVain)
				}
			})
		}
	}
}
