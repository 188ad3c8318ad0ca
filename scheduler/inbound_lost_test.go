package scheduler

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
)

// inboundLostWorkers simulates workers that execute and answer direct commands, and whose heartbeats arrive only while
// reachable is set for them.
type inboundLostWorkers struct {
	harness   *harness
	reachable map[string]bool
	workers   map[string]*fake.Worker
	// startCounts counts the run commands delivered to each machine.
	startCounts map[string]int
	released    []string
}

func newInboundLostWorkers(h *harness, names ...string) *inboundLostWorkers {
	workers := &inboundLostWorkers{harness: h, reachable: map[string]bool{}, workers: map[string]*fake.Worker{}, startCounts: map[string]int{}}
	for _, name := range names {
		workers.reachable[name] = true
		workers.workers[name] = fake.NewWorker(fake.WorkerOptions{Host: fake.Host{Name: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name)}, Clock: h.clock,
			HeartbeatInterval: time.Second, Lease: 10 * time.Second, TaskDuration: func(string) time.Duration { return time.Hour }})
	}
	return workers
}

// run advances the clock by duration. Reachable machines send a heartbeat every second, and all machines answer direct
// commands.
func (w *inboundLostWorkers) run(duration time.Duration) {
	h := w.harness
	for end := h.clock.Now().Add(duration); h.clock.Now().Before(end); h.clock.Advance(500 * time.Millisecond) {
		for _, name := range slices.Sorted(maps.Keys(w.workers)) {
			worker := w.workers[name]
			if w.reachable[name] && h.clock.Now().UnixMilli()%1000 < 500 {
				w.deliverHeartbeat(name, worker.NextHeartbeat())
			}
		}
		w.released = append(w.released, h.MaintainFleet()...)
		h.Place()
		h.commit()
		for ; h.answeredCommands < len(h.sent); h.answeredCommands++ {
			message := h.sent[h.answeredCommands]
			w.countStarts(message.machine, message.response.Commands)
			if w.workers[message.machine] == nil {
				h.HandleCommandOutcome(message.machine, message.response, nil, false)
				continue
			}
			heartbeat, _ := w.workers[message.machine].ExecuteCommands(message.response)
			h.HandleCommandOutcome(message.machine, message.response, heartbeat, true)
		}
	}
}

func (w *inboundLostWorkers) countStarts(name string, commands []api.Command) {
	for _, command := range commands {
		if command.Verb == api.CommandRun {
			w.startCounts[name]++
		}
	}
}

// deliverHeartbeat delivers a heartbeat to the leader and the response to the worker.
func (w *inboundLostWorkers) deliverHeartbeat(name string, heartbeat *api.Heartbeat) {
	response, _, _ := w.harness.HandleHeartbeat(heartbeat, "")
	w.countStarts(name, response.Commands)
	w.workers[name].ApplyResponse(heartbeat, w.harness.clock.Now(), response)
}

// A machine's heartbeats reach no controller, but it still executes commands. It must get no new work, and its tasks
// must run elsewhere before its lease expires. Unlike a silent machine it must not be released, and gets work as soon
// as its heartbeats arrive again. Before this rule, such a machine was released after 3.2 heartbeat intervals and a
// replacement had to boot.
func TestMachineWithLostHeartbeatsGetsNoMoreWork(t *testing.T) {
	h := newHarness(t)
	workers := newInboundLostWorkers(h, "a1", "a2", "a3", "a4")
	for name := range workers.reachable {
		workers.reachable[name] = name == "a1"
	}
	workers.run(time.Second)
	h.submit("run-000001", 1, func(submission *api.Submission) { submission.Shape, submission.Rank = api.Service, "prod" })
	h.submit("run-000002", 1, nil)
	workers.run(time.Second)
	if len(h.machines["a1"].allocations) != 2 {
		t.Fatalf("%d tasks on a1", len(h.machines["a1"].allocations))
	}
	for name := range workers.reachable {
		workers.reachable[name] = name != "a1"
	}
	before := workers.startCounts["a1"]
	workers.run(6 * time.Second)
	for _, id := range []string{"run-000001", "run-000002"} {
		if alloc := h.jobs[id].allocations[0]; alloc == nil || alloc.machine.Name == "a1" || alloc.state != api.TaskRunning {
			t.Errorf("%s does not run elsewhere 6 s after the heartbeats of its machine were lost: %+v", id, alloc)
		}
	}
	h.submit("run-000003", 20, nil)
	workers.run(2 * time.Second)
	if why := strings.Join(h.waitReasons(h.jobs["run-000003"]), ""); !strings.Contains(why, "1 answer commands but their heartbeats reach no controller (inbound lost)") {
		t.Errorf("wait reason %q does not name the machine whose heartbeats are lost", why)
	}
	workers.run(6 * time.Second)
	if workers.startCounts["a1"] != before || len(workers.released) > 0 {
		t.Errorf("%d starts on the machine whose heartbeats are lost, want 0; released %v, want none", workers.startCounts["a1"]-before, workers.released)
	}
	workers.reachable["a1"] = true
	workers.run(2 * time.Second)
	if workers.startCounts["a1"] == before {
		t.Error("the machine got no work within 2 s after its heartbeats arrived again")
	}
	// A machine whose heartbeats stay lost is released in the end.
	workers.reachable["a1"] = false
	workers.run(22 * time.Second)
	if len(workers.released) != 1 || workers.released[0] != "a1" {
		t.Errorf("released %v, want a1", workers.released)
	}
}

// The heartbeats of most machines of a zone are lost, which indicates a network failure. The tasks there keep their
// allocations until the leases expire, and no machine is released. Tasks that ended because their lease expired are
// detected at once by the higher incarnation of the worker.
func TestZoneWithLostHeartbeatsIsKept(t *testing.T) {
	h := newHarness(t)
	workers := newInboundLostWorkers(h, "a1", "b1", "b2", "b3", "b4")
	workers.run(time.Second)
	h.submit("run-000001", 8, func(submission *api.Submission) { submission.Zone = "b" })
	workers.run(2 * time.Second)
	for n := range workers.reachable {
		workers.reachable[n] = n == "a1"
	}
	workers.run(9 * time.Second)
	if n := len(h.jobs["run-000001"].allocations); n != 8 || len(workers.released) > 0 {
		t.Errorf("%d of 8 tasks have an allocation, want all; released %v, want none", n, workers.released)
	}
	workers.run(4 * time.Second)
	if n := len(h.jobs["run-000001"].allocations); n != 0 || len(workers.released) > 0 {
		t.Errorf("%d tasks still have an allocation 13 s after the last heartbeat, though their leases have expired; released %v", n, workers.released)
	}
}
