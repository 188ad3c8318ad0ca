package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/topology"
)

// racks is a topology of racks r1, r2... whose machines are named a1-1, a1-2, a2-1...
func racks(t *testing.T, version, n int) *topology.Map {
	t.Helper()
	text := fmt.Sprintf("version = %d\n[[domain]]\nname = \"s1\"\nlevel = \"switch\"\n", version)
	for i := range n {
		text += fmt.Sprintf("[[domain]]\nname = \"r%d\"\nlevel = \"rack\"\nin = \"s1\"\nmachines = [\"a%d-*\"]\n", i+1, i+1)
	}
	m, err := topology.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// yard is a fleet in racks whose workers do what they are told.
type yard struct {
	*stage
	names []string
	runs  map[string]map[string]uint64
	quiet map[string]int
	read  int
}

func newYard(t *testing.T, inRacks, each int) *yard {
	y := &yard{stage: newStage(t), runs: map[string]map[string]uint64{}, quiet: map[string]int{}}
	y.topo = racks(t, 1, inRacks)
	y.elect()
	for r := range inRacks {
		for k := range each {
			name := fmt.Sprintf("a%d-%d", r+1, k+1)
			y.names = append(y.names, name)
			y.runs[name] = map[string]uint64{}
		}
	}
	y.turn()
	return y
}

func (y *yard) obey(name string, o api.HeartbeatResponse) {
	for _, c := range o.Commands {
		switch c.Verb {
		case api.CommandRun:
			y.runs[name][c.Task] = c.Attempt
		case api.CommandKill:
			delete(y.runs[name], c.Task)
		}
	}
}

// said are the tasks that a worker reports.
func (y *yard) said(name string) (tasks []api.TaskReport) {
	for key, attempt := range y.runs[name] {
		tasks = append(tasks, task(key, attempt, api.TaskRunning, ""))
	}
	slices.SortFunc(tasks, func(a, b api.TaskReport) int { return strings.Compare(a.Task, b.Task) })
	return tasks
}

// turn lets every machine report that is not silent, a round be placed, and it be stored.
func (y *yard) turn() {
	for _, name := range y.names {
		if y.quiet[name] > 0 {
			y.quiet[name]--
			continue
		}
		y.obey(name, y.report(name, 1, y.said(name)...))
	}
	y.Place()
	y.commit()
	for ; y.read < len(y.sent); y.read++ {
		if o := y.sent[y.read]; y.runs[o.name] != nil {
			y.obey(o.name, o.o)
		}
	}
	y.clock.Advance(time.Second)
}

// standing counts a job's tasks by rack, as the workers run them.
func (y *yard) standing(id string) (all int, by map[string]int) {
	by = map[string]int{}
	for name, tasks := range y.runs {
		for key := range tasks {
			if strings.HasPrefix(key, id+"/") {
				by[strings.SplitN(name, "-", 2)[0]]++
				all++
			}
		}
	}
	return all, by
}

func service(near *api.Near, survive *api.Survive) func(*api.Submission) {
	return func(submission *api.Submission) {
		submission.Shape, submission.EstimateS, submission.Near, submission.Survive = api.Service, 0, near, survive
	}
}

// A replica that would be one too many in a rack waits, whatever room is there; also while a
// silent machine may still run one, and under the next leader, which knows that one from its
// record alone. Once the machine is proved gone it is replaced, and not before.
func TestSurviveIsKeptThroughSilenceAndTakeover(t *testing.T) {
	y := newYard(t, 2, 3)
	y.submit("run-000001", 3, service(nil, &api.Survive{Level: "rack", AtMost: 1, Must: true}))
	y.turn()
	y.turn()
	if n, by := y.standing("run-000001"); n != 2 || by["a1"] != 1 || by["a2"] != 1 {
		t.Fatalf("stand %v", by)
	}
	var silent string
	for _, name := range y.names {
		if strings.HasPrefix(name, "a1") && len(y.runs[name]) > 0 {
			silent = name
		}
	}
	y.quiet[silent] = 1000
	y.elect()
	y.read = 0
	for range 8 {
		y.turn()
		if n, by := y.standing("run-000001"); n != 2 {
			t.Fatalf("stand %v while %s may still run one", by, silent)
		}
	}
	y.InstancesReleased([]string{silent}, nil)
	y.runs[silent] = map[string]uint64{}
	y.turn()
	y.turn()
	if n, by := y.standing("run-000001"); n != 2 || by["a1"] != 1 {
		t.Errorf("not replaced: %v", by)
	}
}

// A job that must stand near goes where all of it fits, and leaves the larger hole whole; with
// room for all of it nowhere it waits and others go on; two gangs that fit alone and not
// together run one after the other.
func TestNearWaitsForARackThatHoldsAll(t *testing.T) {
	y := newYard(t, 2, 2)
	near := &api.Near{Level: "rack", Must: true}
	y.submit("run-000001", 1, service(nil, nil))
	y.turn()
	y.turn()
	_, by := y.standing("run-000001")
	gang := func(submission *api.Submission) {
		submission.Shape, submission.Near, submission.CPUs = api.Gang, near, 4
	}
	y.submit("run-000002", 3, gang)
	y.turn()
	y.turn()
	n, at := y.standing("run-000002")
	if n != 3 || at["a1"] != 3 && at["a2"] != 3 {
		t.Fatalf("a gang of three stands %v", at)
	}
	if at["a1"] > 0 != (by["a1"] > 0) {
		t.Errorf("it broke up the empty rack: %v beside %v", at, by)
	}
	y.submit("run-000003", 4, gang)
	y.submit("run-000004", 4, gang)
	y.submit("run-000005", 2, service(nil, nil))
	for range 5 {
		y.turn()
	}
	for _, id := range []string{"run-000003", "run-000004"} {
		x, ok := y.Explain(id)
		if text := strings.Join(x.Why, "; "); !ok || x.Waiting > 0 && !strings.Contains(text, "is kept for it until it drains") {
			t.Errorf("%s: %+v", id, x)
		}
	}
	if v := y.Topology(); len(v.Domains) != 3 || v.Domains[1].In != "s1" || len(v.Waiting) != 1 {
		t.Errorf("%+v", v)
	}
	three, _ := y.standing("run-000003")
	four, _ := y.standing("run-000004")
	if three+four != 4 || three*four != 0 {
		t.Fatalf("of two gangs of four stand %d and %d", three, four)
	}
	if y.jobs["run-000004"].waitReason == "" && y.jobs["run-000003"].waitReason == "" {
		t.Error("the one that waits does not say why")
	}
}

// Where no rack has room, one of a higher rank makes it in the rack where that throws the least
// away, as a whole or not at all.
func TestRoomIsMadeInTheCheapestRack(t *testing.T) {
	for _, shape := range []string{api.Service, api.Gang} {
		y := newYard(t, 2, 2)
		// Both racks are full; what lies in one of them began a minute later.
		y.submit("run-000001", 4, func(submission *api.Submission) { submission.Near = &api.Near{Level: "rack", Must: true} })
		y.turn()
		y.turn()
		for range 60 {
			y.turn()
		}
		y.submit("run-000002", 4, nil)
		y.turn()
		y.turn()
		_, old := y.standing("run-000001")
		_, young := y.standing("run-000002")
		if len(old) != 1 || len(young) != 1 {
			t.Fatalf("%v, %v", old, young)
		}
		// No rack holds nine.
		y.submit("run-000003", 9, func(submission *api.Submission) {
			submission.Shape, submission.Rank, submission.Near, submission.EstimateS = shape, "prod", &api.Near{Level: "rack", Must: true}, 0
		})
		y.turn()
		y.turn()
		if n, _ := y.standing("run-000003"); n != 0 || y.jobs["run-000003"].waitReason == "" {
			t.Errorf("%s: %d of nine run, %q", shape, n, y.jobs["run-000003"].waitReason)
		}
		if n, _ := y.standing("run-000001"); n != 4 {
			t.Errorf("%s: tasks were stopped in vain", shape)
		}
		y.submit("run-000004", 4, func(submission *api.Submission) {
			submission.Shape, submission.Rank, submission.Near, submission.EstimateS = shape, "prod", &api.Near{Level: "rack", Must: true}, 0
		})
		for range 4 {
			y.turn()
		}
		n, at := y.standing("run-000004")
		kept, _ := y.standing("run-000001")
		if n != 4 || len(at) != 1 || kept != 4 {
			t.Errorf("%s: %d of four run, %v; of the older job's four tasks %d", shape, n, at, kept)
		}
	}
}

// A replica that may stand in none of the racks that there are gets one machine rented, which
// may come up in a rack of use, and not one after the other.
func TestMachineIsRentedForAPlace(t *testing.T) {
	y := newYard(t, 2, 3)
	y.submit("run-000001", 3, service(nil, &api.Survive{Level: "rack", AtMost: 1, Must: true}))
	for range 5 {
		y.turn()
	}
	rented := 0
	for i := range 60 {
		for _, r := range y.InstanceRequests() {
			var names []string
			for range r.Count {
				rented++
				names = append(names, fmt.Sprintf("n-%d", rented))
			}
			y.InstancesGranted(r, names, nil)
			if i > 40 {
				t.Errorf("rented again: %+v", r)
			}
		}
		y.turn()
	}
	if rented != 1 {
		t.Fatalf("rented %d machines for one replica", rented)
	}
	// It comes up where no pattern names it: a place of its own.
	y.names = append(y.names, "n-1")
	y.runs["n-1"] = map[string]uint64{}
	for range 4 {
		y.turn()
	}
	if n, _ := y.standing("run-000001"); n != 3 {
		t.Errorf("%d of three run", n)
	}
}

// A rack that drains before a machine boots is kept for a job that waits for all of it: what ends
// before goes in, what does not stays out, and the job starts when the rack is empty. Without
// that small jobs would fill every hole, and it would wait for ever.
func TestDrainingRackIsKept(t *testing.T) {
	y := newYard(t, 2, 2)
	long := func(submission *api.Submission) { submission.EstimateS = 500 }
	short := func(submission *api.Submission) {
		submission.EstimateS, submission.Near = 20, &api.Near{Level: "rack", Must: true}
	}
	y.submit("run-000001", 4, short)
	y.turn()
	y.turn()
	_, at := y.standing("run-000001")
	y.submit("run-000002", 4, long)
	y.turn()
	y.turn()
	y.submit("run-000003", 4, func(submission *api.Submission) {
		submission.Shape, submission.Near = api.Gang, &api.Near{Level: "rack", Must: true}
	})
	y.turn()
	y.turn()
	if why := y.jobs["run-000003"].waitReason; !strings.Contains(why, "is kept for it") {
		t.Fatalf("why: %q", why)
	}
	// Half of the rack ends; long work waits for room.
	y.submit("run-000004", 2, long)
	ended := 0
	for _, name := range y.names {
		for key := range y.runs[name] {
			if strings.HasPrefix(key, "run-000001/") && ended < 2 {
				y.finish(name, key)
				ended++
			}
		}
	}
	for range 4 {
		y.turn()
	}
	if n, by := y.standing("run-000004"); n != 0 {
		t.Fatalf("work that does not end in time stands %v", by)
	}
	for _, name := range y.names {
		for key := range y.runs[name] {
			if strings.HasPrefix(key, "run-000001/") {
				y.finish(name, key)
			}
		}
	}
	for range 4 {
		y.turn()
	}
	if n, by := y.standing("run-000003"); n != 4 || len(by) != 1 || by["a1"] != at["a1"] {
		t.Errorf("%d of four run, %v, where the rack drained %v", n, by, at)
	}
}

// finish lets a task end.
func (y *yard) finish(name, key string) {
	attempt := y.runs[name][key]
	delete(y.runs[name], key)
	y.obey(name, y.report(name, 1, append(y.said(name), task(key, attempt, api.TaskExited, api.CauseDone))...))
	y.commit()
}

// Where a bound can no longer be kept for all replicas, as a rack has left, what runs goes on, the
// rest waits and says why, and it heals once there is a rack again.
func TestSurviveHealsWhenARackReturns(t *testing.T) {
	y := newYard(t, 3, 2)
	y.submit("run-000001", 3, service(nil, &api.Survive{Level: "rack", AtMost: 1, Must: true}))
	y.turn()
	y.turn()
	left := slices.Clone(y.names[:2])
	y.names = y.names[2:]
	for _, name := range left {
		y.runs[name] = map[string]uint64{}
	}
	for range 16 {
		y.turn()
		y.InstancesReleased(y.MaintainFleet(), nil)
	}
	if n, by := y.standing("run-000001"); n != 2 || by["a2"] != 1 || by["a3"] != 1 {
		t.Fatalf("stand %v", by)
	}
	if x, _ := y.Explain("run-000001"); x.Waiting != 1 || !strings.Contains(strings.Join(x.Why, ";"), "4 stand where it must not") {
		t.Errorf("%+v", x)
	}
	y.names = append(y.names, "a1-9")
	y.runs["a1-9"] = map[string]uint64{}
	for range 3 {
		y.turn()
	}
	if n, by := y.standing("run-000001"); n != 3 || by["a1"] != 1 {
		t.Errorf("not healed: %v", by)
	}
}

// A switch that fails and returns within a lease costs no restart, and gets no work meanwhile;
// one that stays away is given up after it, and what ran there starts elsewhere, once.
func TestSilentRackIsOneFailure(t *testing.T) {
	for _, returns := range []bool{true, false} {
		y := newYard(t, 3, 3)
		y.submit("run-000001", 9, service(nil, &api.Survive{Level: "rack", AtMost: 3, Must: true}))
		y.turn()
		y.turn()
		for _, name := range y.names[:3] {
			y.quiet[name] = 8
			if !returns {
				y.quiet[name] = 1000
			}
		}
		began := map[string]uint64{}
		for _, tasks := range y.runs {
			for key, attempt := range tasks {
				began[key] = attempt
			}
		}
		var returned []string
		for i := range 20 {
			if i == 5 {
				y.submit("run-000002", 6, nil)
			}
			y.turn()
			gone := y.MaintainFleet()
			for _, name := range gone {
				y.runs[name] = map[string]uint64{}
			}
			y.InstancesReleased(gone, nil)
			returned = append(returned, gone...)
			if n, by := y.standing("run-000002"); i < 8 && by["a1"] > 0 {
				t.Fatalf("%d of %d tasks were placed in a silent rack", by["a1"], n)
			}
			if i < 8 && len(returned) > 0 {
				t.Fatalf("%v were given up within a lease", returned)
			}
		}
		again := 0
		for _, tasks := range y.runs {
			for key, attempt := range tasks {
				if was := began[key]; was != 0 && was != attempt {
					again++
				}
			}
		}
		_, by := y.standing("run-000001")
		switch {
		case returns && (again > 0 || len(returned) > 0 || by["a1"] != 3):
			t.Errorf("a switch that came back cost %d restarts and %d machines; stand %v", again, len(returned), by)
		case !returns && (len(returned) != 3 || by["a2"] != 3 || by["a3"] != 3):
			t.Errorf("%v were given up, stand %v", returned, by)
		}
	}
}

// A new version that moves a running replica into a rack that is full by it stops nothing, and
// lets no more in.
func TestTopologyMovesUnderARunningReplica(t *testing.T) {
	y := newYard(t, 2, 2)
	y.submit("run-000001", 3, service(nil, &api.Survive{Level: "rack", AtMost: 1, Must: true}))
	y.turn()
	y.turn()
	m, err := topology.Parse([]byte("version = 2\n[[domain]]\nname = \"r1\"\nlevel = \"rack\"\nmachines = [\"a*\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	y.topo = m
	y.ReplaceTopology(m)
	for range 4 {
		y.turn()
	}
	if n, by := y.standing("run-000001"); n != 2 {
		t.Errorf("stand %v", by)
	}
	y.elect()
	y.read = 0
	for range 4 {
		y.turn()
	}
	if n, by := y.standing("run-000001"); n != 2 {
		t.Errorf("under the next leader: %v", by)
	}
}

// Whatever comes and goes, falls silent, is returned or takes over: no bound is passed, what
// must stand near does. 200 seeds, checked by what the workers run.
func TestBoundsHoldWhateverHappens(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 14))
		y := newYard(t, 2+rng.IntN(3), 2+rng.IntN(3))
		type asked struct {
			id         string
			tasks      int
			near, gang bool
			most       int
		}
		var jobs []asked
		for step := range 40 {
			switch rng.IntN(6) {
			case 0, 1:
				x := asked{id: fmt.Sprintf("run-%06d", step), tasks: 1 + rng.IntN(6), near: rng.IntN(2) == 0, gang: rng.IntN(3) == 0}
				change := func(submission *api.Submission) {
					submission.Shape = []string{api.Service, api.JobArray}[rng.IntN(2)]
					submission.Rank = []string{"low", "normal", "high", "prod"}[rng.IntN(4)]
					if x.gang {
						submission.Shape = api.Gang
					}
					if submission.Shape == api.Service {
						submission.EstimateS = 0
					}
					if x.near {
						submission.Near = &api.Near{Level: "rack", Must: true}
					} else {
						x.most = 1 + rng.IntN(2)
						submission.Survive = &api.Survive{Level: "rack", AtMost: x.most, Must: true}
					}
				}
				y.submit(x.id, x.tasks, change)
				jobs = append(jobs, x)
			case 2:
				y.quiet[y.names[rng.IntN(len(y.names))]] = 1 + rng.IntN(8)
			case 3:
				// A rack falls silent.
				r := strings.SplitN(y.names[rng.IntN(len(y.names))], "-", 2)[0]
				for _, name := range y.names {
					if strings.HasPrefix(name, r+"-") {
						y.quiet[name] = 2 + rng.IntN(6)
					}
				}
			case 4:
				y.elect()
				y.read = 0
			case 5:
				if len(jobs) > 0 {
					id := jobs[rng.IntN(len(jobs))].id
					y.Cancel(gaveUp(), id)
					y.commit()
				}
			}
			y.turn()
			for _, x := range jobs {
				_, by := y.standing(x.id)
				for r, k := range by {
					if x.most > 0 && k > x.most {
						t.Fatalf("seed %d step %d: %s has %d in %s, at most %d may be", seed, step, x.id, k, r, x.most)
					}
				}
				if x.near && len(by) > 1 {
					t.Fatalf("seed %d step %d: %s stands %v", seed, step, x.id, by)
				}
			}
		}
	}
}
