package scheduler

import (
	"fmt"
	"maps"
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

// rackHarness is a fleet in racks whose workers do what they are told.
type rackHarness struct {
	*harness
	names []string
	runs  map[string]map[string]uint64
	quiet map[string]int
	read  int
}

func newRackHarness(t *testing.T, inRacks, each int) *rackHarness {
	y := &rackHarness{harness: newHarness(t), runs: map[string]map[string]uint64{}, quiet: map[string]int{}}
	y.topologyMap = racks(t, 1, inRacks)
	y.elect()
	for r := range inRacks {
		for k := range each {
			name := fmt.Sprintf("a%d-%d", r+1, k+1)
			y.names = append(y.names, name)
			y.runs[name] = map[string]uint64{}
		}
	}
	y.round()
	return y
}

func (y *rackHarness) obey(name string, o api.HeartbeatResponse) {
	for _, c := range o.Commands {
		switch c.Verb {
		case api.CommandRun:
			y.runs[name][c.Task] = c.Attempt
		case api.CommandKill:
			delete(y.runs[name], c.Task)
		}
	}
}

// heartbeatTasks are the tasks that a worker reports.
func (y *rackHarness) heartbeatTasks(name string) (tasks []api.TaskReport) {
	for key, attempt := range y.runs[name] {
		tasks = append(tasks, taskReport(key, attempt, api.TaskRunning, ""))
	}
	slices.SortFunc(tasks, func(a, b api.TaskReport) int { return strings.Compare(a.Task, b.Task) })
	return tasks
}

// round lets every machine report that is not silent, a round be placed, and it be stored.
func (y *rackHarness) round() {
	for _, name := range y.names {
		if y.quiet[name] > 0 {
			y.quiet[name]--
			continue
		}
		y.obey(name, y.heartbeat(name, 1, y.heartbeatTasks(name)...))
	}
	y.Place()
	y.commit()
	for ; y.read < len(y.sent); y.read++ {
		if o := y.sent[y.read]; y.runs[o.machine] != nil {
			y.obey(o.machine, o.response)
		}
	}
	y.answerCommands()
	y.clock.Advance(time.Second)
}

// tasksByRack counts a job's tasks by rack, as the workers run them.
func (y *rackHarness) tasksByRack(id string) (all int, by map[string]int) {
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

// finish lets a task end.
func (y *rackHarness) finish(name, key string) {
	attempt := y.runs[name][key]
	delete(y.runs[name], key)
	y.obey(name, y.heartbeat(name, 1, append(y.heartbeatTasks(name), taskReport(key, attempt, api.TaskExited, api.CauseDone))...))
	y.commit()
}

// service makes a service, which survives the loss of domains as asked; nil: it need not.
func service(survive *api.Survive) func(*api.Submission) {
	return func(submission *api.Submission) {
		submission.Shape, submission.EstimateS, submission.Survive = api.Service, 0, survive
	}
}

// A replica that would be one too many in a rack waits, whatever room is there; also while a
// silent machine may still run one, and under the next leader, which knows that one from its
// record alone. Once the machine is proved gone it is replaced, and not before.
func TestSurviveIsKeptThroughSilenceAndTakeover(t *testing.T) {
	racks := newRackHarness(t, 2, 3)
	racks.submit("run-000001", 3, service(&api.Survive{Level: "rack", AtMost: 1, Must: true}))
	racks.round()
	racks.round()
	if n, by := racks.tasksByRack("run-000001"); n != 2 || by["a1"] != 1 || by["a2"] != 1 {
		t.Fatalf("stand %v", by)
	}
	var silent string
	for _, name := range racks.names {
		if strings.HasPrefix(name, "a1") && len(racks.runs[name]) > 0 {
			silent = name
		}
	}
	racks.quiet[silent] = 1000
	racks.elect()
	racks.read = 0
	for range 8 {
		racks.round()
		if n, by := racks.tasksByRack("run-000001"); n != 2 {
			t.Fatalf("stand %v while %s may still run one", by, silent)
		}
	}
	racks.InstancesReleased([]string{silent}, nil)
	racks.runs[silent] = map[string]uint64{}
	racks.round()
	racks.round()
	if n, by := racks.tasksByRack("run-000001"); n != 2 || by["a1"] != 1 {
		t.Errorf("not replaced: %v", by)
	}
}

// A job that must stand near goes where all of it fits, and leaves the larger hole whole; with
// room for all of it nowhere it waits and others go on; two gangs that fit alone and not
// together run one after the other.
func TestNearWaitsForARackThatHoldsAll(t *testing.T) {
	racks := newRackHarness(t, 2, 2)
	near := &api.Near{Level: "rack", Must: true}
	racks.submit("run-000001", 1, service(nil))
	racks.round()
	racks.round()
	_, by := racks.tasksByRack("run-000001")
	gang := func(submission *api.Submission) {
		submission.Shape, submission.Near, submission.CPUs = api.Gang, near, 4
	}
	racks.submit("run-000002", 3, gang)
	racks.round()
	racks.round()
	n, at := racks.tasksByRack("run-000002")
	if n != 3 || at["a1"] != 3 && at["a2"] != 3 {
		t.Fatalf("a gang of three stands %v", at)
	}
	if at["a1"] > 0 != (by["a1"] > 0) {
		t.Errorf("it broke up the empty rack: %v beside %v", at, by)
	}
	racks.submit("run-000003", 4, gang)
	racks.submit("run-000004", 4, gang)
	racks.submit("run-000005", 2, service(nil))
	for range 5 {
		racks.round()
	}
	for _, id := range []string{"run-000003", "run-000004"} {
		x, ok := racks.Explain(id)
		if text := strings.Join(x.Why, "; "); !ok || x.Waiting > 0 && !strings.Contains(text, "is kept for it until it drains") {
			t.Errorf("%s: %+v", id, x)
		}
	}
	if v := racks.Topology(); len(v.Domains) != 3 || v.Domains[1].In != "s1" || len(v.Waiting) != 1 {
		t.Errorf("%+v", v)
	}
	three, _ := racks.tasksByRack("run-000003")
	four, _ := racks.tasksByRack("run-000004")
	if three+four != 4 || three*four != 0 {
		t.Fatalf("of two gangs of four stand %d and %d", three, four)
	}
	if racks.jobs["run-000004"].waitReason == "" && racks.jobs["run-000003"].waitReason == "" {
		t.Error("the one that waits does not say why")
	}
}

// Where no rack has room, one of a higher rank makes it in the rack where that throws the least
// away, as a whole or not at all.
func TestPreemptionChoosesCheapestRack(t *testing.T) {
	for _, shape := range []string{api.Service, api.Gang} {
		racks := newRackHarness(t, 2, 2)
		// Both racks are full; what lies in one of them began a minute later.
		racks.submit("run-000001", 4, func(submission *api.Submission) { submission.Near = &api.Near{Level: "rack", Must: true} })
		racks.round()
		racks.round()
		for range 60 {
			racks.round()
		}
		racks.submit("run-000002", 4, nil)
		racks.round()
		racks.round()
		_, old := racks.tasksByRack("run-000001")
		_, young := racks.tasksByRack("run-000002")
		if len(old) != 1 || len(young) != 1 {
			t.Fatalf("%v, %v", old, young)
		}
		// No rack holds nine.
		racks.submit("run-000003", 9, func(submission *api.Submission) {
			submission.Shape, submission.Rank, submission.Near, submission.EstimateS = shape, "prod", &api.Near{Level: "rack", Must: true}, 0
		})
		racks.round()
		racks.round()
		if n, _ := racks.tasksByRack("run-000003"); n != 0 || racks.jobs["run-000003"].waitReason == "" {
			t.Errorf("%s: %d of nine run, %q", shape, n, racks.jobs["run-000003"].waitReason)
		}
		if n, _ := racks.tasksByRack("run-000001"); n != 4 {
			t.Errorf("%s: tasks were stopped in vain", shape)
		}
		racks.submit("run-000004", 4, func(submission *api.Submission) {
			submission.Shape, submission.Rank, submission.Near, submission.EstimateS = shape, "prod", &api.Near{Level: "rack", Must: true}, 0
		})
		for range 4 {
			racks.round()
		}
		n, at := racks.tasksByRack("run-000004")
		kept, _ := racks.tasksByRack("run-000001")
		if n != 4 || len(at) != 1 || kept != 4 {
			t.Errorf("%s: %d of four run, %v; of the older job's four tasks %d", shape, n, at, kept)
		}
	}
}

// A replica that may stand in none of the racks that there are gets one machine rented, which
// may come up in a rack of use, and not one after the other.
func TestInstanceIsRequestedForADomain(t *testing.T) {
	racks := newRackHarness(t, 2, 3)
	racks.submit("run-000001", 3, service(&api.Survive{Level: "rack", AtMost: 1, Must: true}))
	for range 5 {
		racks.round()
	}
	rented := 0
	for i := range 60 {
		for _, r := range racks.InstanceRequests() {
			var names []string
			for range r.Count {
				rented++
				names = append(names, fmt.Sprintf("n-%d", rented))
			}
			racks.InstancesGranted(r, names, nil)
			if i > 40 {
				t.Errorf("rented again: %+v", r)
			}
		}
		racks.round()
	}
	if rented != 1 {
		t.Fatalf("rented %d machines for one replica", rented)
	}
	// It comes up where no pattern names it: a place of its own.
	racks.names = append(racks.names, "n-1")
	racks.runs["n-1"] = map[string]uint64{}
	for range 4 {
		racks.round()
	}
	if n, _ := racks.tasksByRack("run-000001"); n != 3 {
		t.Errorf("%d of three run", n)
	}
}

// A rack that drains before a machine boots is kept for a job that waits for all of it: what ends
// before goes in, what does not stays out, and the job starts when the rack is empty. Without
// that small jobs would fill every hole, and it would wait for ever.
func TestDrainingRackIsKept(t *testing.T) {
	racks := newRackHarness(t, 2, 2)
	long := func(submission *api.Submission) { submission.EstimateS = 500 }
	short := func(submission *api.Submission) {
		submission.EstimateS, submission.Near = 20, &api.Near{Level: "rack", Must: true}
	}
	racks.submit("run-000001", 4, short)
	racks.round()
	racks.round()
	_, at := racks.tasksByRack("run-000001")
	racks.submit("run-000002", 4, long)
	racks.round()
	racks.round()
	racks.submit("run-000003", 4, func(submission *api.Submission) {
		submission.Shape, submission.Near = api.Gang, &api.Near{Level: "rack", Must: true}
	})
	racks.round()
	racks.round()
	if why := racks.jobs["run-000003"].waitReason; !strings.Contains(why, "is kept for it") {
		t.Fatalf("why: %q", why)
	}
	// Half of the rack ends; long work waits for room.
	racks.submit("run-000004", 2, long)
	ended := 0
	for _, name := range racks.names {
		for key := range racks.runs[name] {
			if strings.HasPrefix(key, "run-000001/") && ended < 2 {
				racks.finish(name, key)
				ended++
			}
		}
	}
	for range 4 {
		racks.round()
	}
	if n, by := racks.tasksByRack("run-000004"); n != 0 {
		t.Fatalf("work that does not end in time stands %v", by)
	}
	for _, name := range racks.names {
		for key := range racks.runs[name] {
			if strings.HasPrefix(key, "run-000001/") {
				racks.finish(name, key)
			}
		}
	}
	for range 4 {
		racks.round()
	}
	if n, by := racks.tasksByRack("run-000003"); n != 4 || len(by) != 1 || by["a1"] != at["a1"] {
		t.Errorf("%d of four run, %v, where the rack drained %v", n, by, at)
	}
}

// Where a bound can no longer be kept for all replicas, as a rack has left, what runs goes on, the
// rest waits and says why, and it heals once there is a rack again.
func TestSurviveHealsWhenARackReturns(t *testing.T) {
	racks := newRackHarness(t, 3, 2)
	racks.submit("run-000001", 3, service(&api.Survive{Level: "rack", AtMost: 1, Must: true}))
	racks.round()
	racks.round()
	left := slices.Clone(racks.names[:2])
	racks.names = racks.names[2:]
	for _, name := range left {
		racks.runs[name] = map[string]uint64{}
	}
	for range 16 {
		racks.round()
		racks.InstancesReleased(racks.MaintainFleet(), nil)
	}
	if n, by := racks.tasksByRack("run-000001"); n != 2 || by["a2"] != 1 || by["a3"] != 1 {
		t.Fatalf("stand %v", by)
	}
	if x, _ := racks.Explain("run-000001"); x.Waiting != 1 || !strings.Contains(strings.Join(x.Why, ";"), "4 stand where it must not") {
		t.Errorf("%+v", x)
	}
	racks.names = append(racks.names, "a1-9")
	racks.runs["a1-9"] = map[string]uint64{}
	for range 3 {
		racks.round()
	}
	if n, by := racks.tasksByRack("run-000001"); n != 3 || by["a1"] != 1 {
		t.Errorf("not healed: %v", by)
	}
}

// A switch that fails and returns within a lease costs no restart, and gets no work meanwhile;
// one that stays away is given up after it, and what ran there starts elsewhere, once.
func TestSilentRackIsOneFailure(t *testing.T) {
	for _, returns := range []bool{true, false} {
		racks := newRackHarness(t, 3, 3)
		racks.submit("run-000001", 9, service(&api.Survive{Level: "rack", AtMost: 3, Must: true}))
		racks.round()
		racks.round()
		for _, name := range racks.names[:3] {
			racks.quiet[name] = 8
			if !returns {
				racks.quiet[name] = 1000
			}
		}
		began := map[string]uint64{}
		for _, tasks := range racks.runs {
			maps.Copy(began, tasks)
		}
		var returned []string
		for i := range 20 {
			if i == 5 {
				racks.submit("run-000002", 6, nil)
			}
			racks.round()
			gone := racks.MaintainFleet()
			for _, name := range gone {
				racks.runs[name] = map[string]uint64{}
			}
			racks.InstancesReleased(gone, nil)
			returned = append(returned, gone...)
			if n, by := racks.tasksByRack("run-000002"); i < 8 && by["a1"] > 0 {
				t.Fatalf("%d of %d tasks were placed in a silent rack", by["a1"], n)
			}
			if i < 8 && len(returned) > 0 {
				t.Fatalf("%v were given up within a lease", returned)
			}
		}
		again := 0
		for _, tasks := range racks.runs {
			for key, attempt := range tasks {
				if was := began[key]; was != 0 && was != attempt {
					again++
				}
			}
		}
		_, by := racks.tasksByRack("run-000001")
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
	racks := newRackHarness(t, 2, 2)
	racks.submit("run-000001", 3, service(&api.Survive{Level: "rack", AtMost: 1, Must: true}))
	racks.round()
	racks.round()
	m, err := topology.Parse([]byte("version = 2\n[[domain]]\nname = \"r1\"\nlevel = \"rack\"\nmachines = [\"a*\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	racks.topologyMap = m
	racks.ReplaceTopology(m)
	for range 4 {
		racks.round()
	}
	if n, by := racks.tasksByRack("run-000001"); n != 2 {
		t.Errorf("stand %v", by)
	}
	racks.elect()
	racks.read = 0
	for range 4 {
		racks.round()
	}
	if n, by := racks.tasksByRack("run-000001"); n != 2 {
		t.Errorf("under the next leader: %v", by)
	}
}

// Whatever comes and goes, falls silent, is returned or takes over: no bound is passed, what
// must stand near does. 200 seeds, checked by what the workers run.
func TestBoundsHoldWhateverHappens(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 14))
		racks := newRackHarness(t, 2+rng.IntN(3), 2+rng.IntN(3))
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
				racks.submit(x.id, x.tasks, change)
				jobs = append(jobs, x)
			case 2:
				racks.quiet[racks.names[rng.IntN(len(racks.names))]] = 1 + rng.IntN(8)
			case 3:
				// A rack falls silent.
				rack, _, _ := strings.Cut(racks.names[rng.IntN(len(racks.names))], "-")
				for _, name := range racks.names {
					if strings.HasPrefix(name, rack+"-") {
						racks.quiet[name] = 2 + rng.IntN(6)
					}
				}
			case 4:
				racks.elect()
				racks.read = 0
			case 5:
				if len(jobs) > 0 {
					id := jobs[rng.IntN(len(jobs))].id
					racks.Cancel(cancelledContext(), id)
					racks.commit()
				}
			}
			racks.round()
			for _, x := range jobs {
				_, by := racks.tasksByRack(x.id)
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
