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

// racks returns a topology with n racks r1, r2 and so on. Rack r1 contains the machines named a1-1, a1-2 and so on.
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

// rackHarness is a leader with machines in racks and simulated workers that execute all commands.
type rackHarness struct {
	*harness
	// names are the names of the machines.
	names []string
	// runningTasks maps each machine to its running tasks and their attempts.
	runningTasks map[string]map[string]uint64
	// silentRounds is the number of further rounds in which a machine sends no heartbeat.
	silentRounds map[string]int
	// executedResponses is the number of sent responses that the workers have executed.
	executedResponses int
}

func newRackHarness(t *testing.T, rackCount, machinesPerRack int) *rackHarness {
	h := &rackHarness{harness: newHarness(t), runningTasks: map[string]map[string]uint64{}, silentRounds: map[string]int{}}
	h.topologyMap = racks(t, 1, rackCount)
	h.elect()
	for r := range rackCount {
		for k := range machinesPerRack {
			name := fmt.Sprintf("a%d-%d", r+1, k+1)
			h.names = append(h.names, name)
			h.runningTasks[name] = map[string]uint64{}
		}
	}
	h.round()
	return h
}

func (h *rackHarness) execute(name string, response api.HeartbeatResponse) {
	for _, c := range response.Commands {
		switch c.Verb {
		case api.CommandRun:
			h.runningTasks[name][c.Task] = c.Attempt
		case api.CommandKill:
			delete(h.runningTasks[name], c.Task)
		}
	}
}

// heartbeatTasks returns the tasks that a worker reports.
func (h *rackHarness) heartbeatTasks(name string) (tasks []api.TaskReport) {
	for key, attempt := range h.runningTasks[name] {
		tasks = append(tasks, taskReport(key, attempt, api.TaskRunning, ""))
	}
	slices.SortFunc(tasks, func(a, b api.TaskReport) int { return strings.Compare(a.Task, b.Task) })
	return tasks
}

// round sends the heartbeats of all machines that are not silent, runs a placement round, commits it, and executes and
// answers the commands. It advances the clock by one second.
func (h *rackHarness) round() {
	for _, name := range h.names {
		if h.silentRounds[name] > 0 {
			h.silentRounds[name]--
			continue
		}
		h.execute(name, h.heartbeat(name, 1, h.heartbeatTasks(name)...))
	}
	h.Place()
	h.commit()
	for ; h.executedResponses < len(h.sent); h.executedResponses++ {
		if sent := h.sent[h.executedResponses]; h.runningTasks[sent.machine] != nil {
			h.execute(sent.machine, sent.response)
		}
	}
	h.answerCommands()
	h.clock.Advance(time.Second)
}

// tasksByRack returns the number of a job's tasks that workers run, in total and by rack.
func (h *rackHarness) tasksByRack(id string) (total int, byRack map[string]int) {
	byRack = map[string]int{}
	for name, tasks := range h.runningTasks {
		for key := range tasks {
			if strings.HasPrefix(key, id+"/") {
				byRack[strings.SplitN(name, "-", 2)[0]]++
				total++
			}
		}
	}
	return total, byRack
}

// finish makes a task exit successfully.
func (h *rackHarness) finish(name, key string) {
	attempt := h.runningTasks[name][key]
	delete(h.runningTasks[name], key)
	h.execute(name, h.heartbeat(name, 1, append(h.heartbeatTasks(name), taskReport(key, attempt, api.TaskExited, api.CauseDone))...))
	h.commit()
}

// service returns a function that makes a submission a service with a survive constraint, or without one if survive is
// nil.
func service(survive *api.Survive) func(*api.Submission) {
	return func(submission *api.Submission) {
		submission.Shape, submission.EstimateS, submission.Survive = api.Service, 0, survive
	}
}

// Checks that a replica that would exceed the survive constraint of a rack waits despite free resources there. This must
// also hold while a silent machine may still run a replica, and under a new leader that knows this replica only from its
// record. The replica is replaced only once its machine is known to be gone.
func TestSurviveHoldsThroughSilenceAndFailover(t *testing.T) {
	h := newRackHarness(t, 2, 3)
	h.submit("run-000001", 3, service(&api.Survive{Level: "rack", MaxTasks: 1, Required: true}))
	h.round()
	h.round()
	if n, byRack := h.tasksByRack("run-000001"); n != 2 || byRack["a1"] != 1 || byRack["a2"] != 1 {
		t.Fatalf("running replicas by rack: %v, want one in each", byRack)
	}
	var silent string
	for _, name := range h.names {
		if strings.HasPrefix(name, "a1") && len(h.runningTasks[name]) > 0 {
			silent = name
		}
	}
	h.silentRounds[silent] = 1000
	h.elect()
	h.executedResponses = 0
	for range 8 {
		h.round()
		if n, byRack := h.tasksByRack("run-000001"); n != 2 {
			t.Fatalf("running replicas by rack: %v while %s may still run one, want 2 in all", byRack, silent)
		}
	}
	h.InstancesReleased([]string{silent}, nil)
	h.runningTasks[silent] = map[string]uint64{}
	h.round()
	h.round()
	if n, byRack := h.tasksByRack("run-000001"); n != 2 || byRack["a1"] != 1 {
		t.Errorf("the replica was not replaced, running replicas by rack: %v", byRack)
	}
}

// Checks that a gang with a mandatory near constraint is placed in a rack where all of it fits, and preferably not in an
// empty rack. If it fits in no rack it waits while other jobs start. Of two gangs that fit only one at a time, one runs
// and the other waits.
func TestNearGangWaitsForRackThatFitsAll(t *testing.T) {
	h := newRackHarness(t, 2, 2)
	near := &api.Near{Level: "rack", Required: true}
	h.submit("run-000001", 1, service(nil))
	h.round()
	h.round()
	_, otherByRack := h.tasksByRack("run-000001")
	gang := func(submission *api.Submission) {
		submission.Shape, submission.Near, submission.CPUs = api.Gang, near, 4
	}
	h.submit("run-000002", 3, gang)
	h.round()
	h.round()
	n, byRack := h.tasksByRack("run-000002")
	if n != 3 || byRack["a1"] != 3 && byRack["a2"] != 3 {
		t.Fatalf("running tasks of a gang of three by rack: %v, want all in one rack", byRack)
	}
	if byRack["a1"] > 0 != (otherByRack["a1"] > 0) {
		t.Errorf("the gang was placed in the empty rack: %v, other tasks %v", byRack, otherByRack)
	}
	h.submit("run-000003", 4, gang)
	h.submit("run-000004", 4, gang)
	h.submit("run-000005", 2, service(nil))
	for range 5 {
		h.round()
	}
	for _, id := range []string{"run-000003", "run-000004"} {
		x, ok := h.Explain(id)
		if text := strings.Join(x.Reasons, "; "); !ok || x.Waiting > 0 && !strings.Contains(text, "is reserved for the job until it drains") {
			t.Errorf("%s: explanation %+v, want the reservation of a domain for the waiting gang", id, x)
		}
	}
	if v := h.Topology(); len(v.Domains) != 3 || v.Domains[1].Parent != "s1" || len(v.Waiting) != 1 {
		t.Errorf("topology view %+v, want 3 domains, the second one in s1, and 1 waiting job", v)
	}
	tasksOfThird, _ := h.tasksByRack("run-000003")
	tasksOfFourth, _ := h.tasksByRack("run-000004")
	if tasksOfThird+tasksOfFourth != 4 || tasksOfThird*tasksOfFourth != 0 {
		t.Fatalf("%d and %d tasks of two gangs of four run, want exactly one gang complete", tasksOfThird, tasksOfFourth)
	}
	if h.jobs["run-000004"].waitReason == "" && h.jobs["run-000003"].waitReason == "" {
		t.Error("the waiting gang has no wait reason")
	}
}

// Checks that a job of higher rank with a near constraint preempts in the rack where that loses the least work if no
// rack has enough free resources, and that it preempts nothing unless all of its tasks can then start.
func TestPreemptionChoosesCheapestRack(t *testing.T) {
	for _, shape := range []string{api.Service, api.Gang} {
		h := newRackHarness(t, 2, 2)
		// Both racks are full. The tasks in one of them start a minute later than those in the other.
		h.submit("run-000001", 4, func(submission *api.Submission) { submission.Near = &api.Near{Level: "rack", Required: true} })
		h.round()
		h.round()
		for range 60 {
			h.round()
		}
		h.submit("run-000002", 4, nil)
		h.round()
		h.round()
		_, olderByRack := h.tasksByRack("run-000001")
		_, youngerByRack := h.tasksByRack("run-000002")
		if len(olderByRack) != 1 || len(youngerByRack) != 1 {
			t.Fatalf("running tasks of the two jobs by rack: %v and %v, want each job in one rack", olderByRack, youngerByRack)
		}
		// No rack has the resources for nine tasks.
		h.submit("run-000003", 9, func(submission *api.Submission) {
			submission.Shape, submission.Rank, submission.Near, submission.EstimateS = shape, "prod", &api.Near{Level: "rack", Required: true}, 0
		})
		h.round()
		h.round()
		if n, _ := h.tasksByRack("run-000003"); n != 0 || h.jobs["run-000003"].waitReason == "" {
			t.Errorf("%s: %d of 9 tasks run, want 0 and a wait reason, got %q", shape, n, h.jobs["run-000003"].waitReason)
		}
		if n, _ := h.tasksByRack("run-000001"); n != 4 {
			t.Errorf("%s: tasks were preempted although the job cannot start", shape)
		}
		h.submit("run-000004", 4, func(submission *api.Submission) {
			submission.Shape, submission.Rank, submission.Near, submission.EstimateS = shape, "prod", &api.Near{Level: "rack", Required: true}, 0
		})
		for range 4 {
			h.round()
		}
		n, byRack := h.tasksByRack("run-000004")
		kept, _ := h.tasksByRack("run-000001")
		if n != 4 || len(byRack) != 1 || kept != 4 {
			t.Errorf("%s: %d of 4 tasks run, by rack %v; %d of 4 tasks of the older job run", shape, n, byRack, kept)
		}
	}
}

// Checks that exactly one instance is requested for a replica that the topology allows in none of the present racks,
// since the new machine may come up in a rack where the replica is allowed.
func TestInstanceIsRequestedForReplicaThatNoRackAllows(t *testing.T) {
	h := newRackHarness(t, 2, 3)
	h.submit("run-000001", 3, service(&api.Survive{Level: "rack", MaxTasks: 1, Required: true}))
	for range 5 {
		h.round()
	}
	requested := 0
	for i := range 60 {
		for _, r := range h.InstanceRequests() {
			var names []string
			for range r.Count {
				requested++
				names = append(names, fmt.Sprintf("n-%d", requested))
			}
			h.InstancesGranted(r, names, nil)
			if i > 40 {
				t.Errorf("another instance was requested in round %d: %+v", i, r)
			}
		}
		h.round()
	}
	if requested != 1 {
		t.Fatalf("%d instances requested for one replica, want 1", requested)
	}
	// The machine matches no pattern of the topology, so it is a domain of its own.
	h.names = append(h.names, "n-1")
	h.runningTasks["n-1"] = map[string]uint64{}
	for range 4 {
		h.round()
	}
	if n, _ := h.tasksByRack("run-000001"); n != 3 {
		t.Errorf("%d of 3 replicas run", n)
	}
}

// Checks that a rack that drains before a new machine could boot is reserved for a gang that needs all of it. Tasks
// that would not end in time are kept out, and the gang starts once the rack is empty. Without the reservation small
// jobs would use all resources as they become free, and the gang would never start.
func TestDrainingRackIsReserved(t *testing.T) {
	h := newRackHarness(t, 2, 2)
	long := func(submission *api.Submission) { submission.EstimateS = 500 }
	short := func(submission *api.Submission) {
		submission.EstimateS, submission.Near = 20, &api.Near{Level: "rack", Required: true}
	}
	h.submit("run-000001", 4, short)
	h.round()
	h.round()
	_, drainedByRack := h.tasksByRack("run-000001")
	h.submit("run-000002", 4, long)
	h.round()
	h.round()
	h.submit("run-000003", 4, func(submission *api.Submission) {
		submission.Shape, submission.Near = api.Gang, &api.Near{Level: "rack", Required: true}
	})
	h.round()
	h.round()
	if why := h.jobs["run-000003"].waitReason; !strings.Contains(why, "is reserved for the job") {
		t.Fatalf("wait reason %q", why)
	}
	// Half of the tasks in the rack exit while a job with a long estimate waits for resources.
	h.submit("run-000004", 2, long)
	ended := 0
	for _, name := range h.names {
		for key := range h.runningTasks[name] {
			if strings.HasPrefix(key, "run-000001/") && ended < 2 {
				h.finish(name, key)
				ended++
			}
		}
	}
	for range 4 {
		h.round()
	}
	if n, byRack := h.tasksByRack("run-000004"); n != 0 {
		t.Fatalf("tasks that do not end before the reservation run in the racks %v", byRack)
	}
	for _, name := range h.names {
		for key := range h.runningTasks[name] {
			if strings.HasPrefix(key, "run-000001/") {
				h.finish(name, key)
			}
		}
	}
	for range 4 {
		h.round()
	}
	if n, byRack := h.tasksByRack("run-000003"); n != 4 || len(byRack) != 1 || byRack["a1"] != drainedByRack["a1"] {
		t.Errorf("%d of 4 tasks run, by rack %v, want all in the drained rack of %v", n, byRack, drainedByRack)
	}
}

// Checks that after the loss of a rack, when the survive constraint no longer allows all replicas, the running replicas
// continue and the other one waits with a reason, and that it starts once the rack has a machine again.
func TestWaitingReplicaStartsWhenARackReturns(t *testing.T) {
	h := newRackHarness(t, 3, 2)
	h.submit("run-000001", 3, service(&api.Survive{Level: "rack", MaxTasks: 1, Required: true}))
	h.round()
	h.round()
	lostMachines := slices.Clone(h.names[:2])
	h.names = h.names[2:]
	for _, name := range lostMachines {
		h.runningTasks[name] = map[string]uint64{}
	}
	for range 16 {
		h.round()
		h.InstancesReleased(h.MaintainFleet(), nil)
	}
	if n, byRack := h.tasksByRack("run-000001"); n != 2 || byRack["a2"] != 1 || byRack["a3"] != 1 {
		t.Fatalf("running replicas by rack: %v, want one each in a2 and a3", byRack)
	}
	if x, _ := h.Explain("run-000001"); x.Waiting != 1 || !strings.Contains(strings.Join(x.Reasons, ";"), "4 stand where it must not") {
		t.Errorf("explanation %+v, want 1 waiting replica and the number of machines that the constraint forbids", x)
	}
	h.names = append(h.names, "a1-9")
	h.runningTasks["a1-9"] = map[string]uint64{}
	for range 3 {
		h.round()
	}
	if n, byRack := h.tasksByRack("run-000001"); n != 3 || byRack["a1"] != 1 {
		t.Errorf("the waiting replica did not start, running replicas by rack: %v", byRack)
	}
}

// Checks that a rack that is silent for less than a lease causes no restarts and is assigned no tasks meanwhile. If the
// rack stays silent, its machines are released after the lease and its tasks start once in other racks.
func TestSilentRackIsReplacedOnlyAfterLease(t *testing.T) {
	for _, returns := range []bool{true, false} {
		h := newRackHarness(t, 3, 3)
		h.submit("run-000001", 9, service(&api.Survive{Level: "rack", MaxTasks: 3, Required: true}))
		h.round()
		h.round()
		for _, name := range h.names[:3] {
			h.silentRounds[name] = 8
			if !returns {
				h.silentRounds[name] = 1000
			}
		}
		firstAttempts := map[string]uint64{}
		for _, tasks := range h.runningTasks {
			maps.Copy(firstAttempts, tasks)
		}
		var released []string
		for i := range 20 {
			if i == 5 {
				h.submit("run-000002", 6, nil)
			}
			h.round()
			gone := h.MaintainFleet()
			for _, name := range gone {
				h.runningTasks[name] = map[string]uint64{}
			}
			h.InstancesReleased(gone, nil)
			released = append(released, gone...)
			if n, byRack := h.tasksByRack("run-000002"); i < 8 && byRack["a1"] > 0 {
				t.Fatalf("%d of %d tasks were placed in a silent rack", byRack["a1"], n)
			}
			if i < 8 && len(released) > 0 {
				t.Fatalf("%v were released within a lease", released)
			}
		}
		restarts := 0
		for _, tasks := range h.runningTasks {
			for key, attempt := range tasks {
				if was := firstAttempts[key]; was != 0 && was != attempt {
					restarts++
				}
			}
		}
		_, byRack := h.tasksByRack("run-000001")
		switch {
		case returns && (restarts > 0 || len(released) > 0 || byRack["a1"] != 3):
			t.Errorf("a rack that returned caused %d restarts and %d releases; running replicas by rack: %v", restarts, len(released), byRack)
		case !returns && (len(released) != 3 || byRack["a2"] != 3 || byRack["a3"] != 3):
			t.Errorf("released %v, running replicas by rack: %v", released, byRack)
		}
	}
}

// Checks that a new topology version in which running replicas exceed the survive constraint of a rack stops none of
// them and allows no further replica there.
func TestTopologyChangeStopsNoRunningReplica(t *testing.T) {
	h := newRackHarness(t, 2, 2)
	h.submit("run-000001", 3, service(&api.Survive{Level: "rack", MaxTasks: 1, Required: true}))
	h.round()
	h.round()
	m, err := topology.Parse([]byte("version = 2\n[[domain]]\nname = \"r1\"\nlevel = \"rack\"\nmachines = [\"a*\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	h.topologyMap = m
	h.ReplaceTopology(m)
	for range 4 {
		h.round()
	}
	if n, byRack := h.tasksByRack("run-000001"); n != 2 {
		t.Errorf("running replicas by machine prefix: %v, want 2 in all", byRack)
	}
	h.elect()
	h.executedResponses = 0
	for range 4 {
		h.round()
	}
	if n, byRack := h.tasksByRack("run-000001"); n != 2 {
		t.Errorf("running replicas by machine prefix under the next leader: %v, want 2 in all", byRack)
	}
}

// Checks that the survive and near constraints of all jobs hold during random submissions, cancellations, silent
// machines and racks, and failovers. It uses 200 seeds and checks the tasks that the workers run.
func TestTopologyConstraintsHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 14))
		h := newRackHarness(t, 2+rng.IntN(3), 2+rng.IntN(3))
		type submittedJob struct {
			id         string
			tasks      int
			near, gang bool
			maxPerRack int
		}
		var jobs []submittedJob
		for step := range 40 {
			switch rng.IntN(6) {
			case 0, 1:
				x := submittedJob{id: fmt.Sprintf("run-%06d", step), tasks: 1 + rng.IntN(6), near: rng.IntN(2) == 0, gang: rng.IntN(3) == 0}
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
						submission.Near = &api.Near{Level: "rack", Required: true}
					} else {
						x.maxPerRack = 1 + rng.IntN(2)
						submission.Survive = &api.Survive{Level: "rack", MaxTasks: x.maxPerRack, Required: true}
					}
				}
				h.submit(x.id, x.tasks, change)
				jobs = append(jobs, x)
			case 2:
				h.silentRounds[h.names[rng.IntN(len(h.names))]] = 1 + rng.IntN(8)
			case 3:
				// All machines of a rack become silent.
				rack, _, _ := strings.Cut(h.names[rng.IntN(len(h.names))], "-")
				for _, name := range h.names {
					if strings.HasPrefix(name, rack+"-") {
						h.silentRounds[name] = 2 + rng.IntN(6)
					}
				}
			case 4:
				h.elect()
				h.executedResponses = 0
			case 5:
				if len(jobs) > 0 {
					id := jobs[rng.IntN(len(jobs))].id
					h.Cancel(cancelledContext(), id)
					h.commit()
				}
			}
			h.round()
			for _, x := range jobs {
				_, byRack := h.tasksByRack(x.id)
				for r, k := range byRack {
					if x.maxPerRack > 0 && k > x.maxPerRack {
						t.Fatalf("seed %d step %d: %s has %d replicas in %s, want at most %d", seed, step, x.id, k, r, x.maxPerRack)
					}
				}
				if x.near && len(byRack) > 1 {
					t.Fatalf("seed %d step %d: %s runs in several racks: %v", seed, step, x.id, byRack)
				}
			}
		}
	}
}
