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

// inboundLostWorkers are machines that obey commands, and whose reports arrive only while heard is set.
type inboundLostWorkers struct {
	harness   *harness
	reachable map[string]bool
	workers   map[string]*fake.Worker
	// begun are the starts on each machine.
	begun    map[string]int
	released []string
}

func newInboundLostWorkers(h *harness, names ...string) *inboundLostWorkers {
	workers := &inboundLostWorkers{harness: h, reachable: map[string]bool{}, workers: map[string]*fake.Worker{}, begun: map[string]int{}}
	for _, n := range names {
		workers.reachable[n] = true
		workers.workers[n] = fake.NewWorker(fake.WorkerOptions{Host: fake.Host{Name: n, Address: n + ":1", Type: "m8", Zone: zoneOf(n)}, Clock: h.clock,
			Every: time.Second, Lease: 10 * time.Second, Runs: func(string) time.Duration { return time.Hour }})
	}
	return workers
}

// run lets time pass: machines that are heard report once a second, all answer what they are sent.
func (w *inboundLostWorkers) run(d time.Duration) {
	h := w.harness
	for end := h.clock.Now().Add(d); h.clock.Now().Before(end); h.clock.Advance(500 * time.Millisecond) {
		for _, n := range slices.Sorted(maps.Keys(w.workers)) {
			x := w.workers[n]
			if w.reachable[n] && h.clock.Now().UnixMilli()%1000 < 500 {
				w.deliver(n, x.Report())
			}
		}
		w.released = append(w.released, h.MaintainFleet()...)
		h.Place()
		h.commit()
		for ; h.answered < len(h.sent); h.answered++ {
			o := h.sent[h.answered]
			w.count(o.machine, o.response.Commands)
			if w.workers[o.machine] == nil {
				h.CommandsAnswered(o.machine, o.response, nil, false)
				continue
			}
			r, _ := w.workers[o.machine].Direct(o.response)
			h.CommandsAnswered(o.machine, o.response, r, true)
		}
	}
}

func (w *inboundLostWorkers) count(name string, cs []api.Command) {
	for _, c := range cs {
		if c.Verb == api.CommandRun {
			w.begun[name]++
		}
	}
}

// deliver carries a report and its answer.
func (w *inboundLostWorkers) deliver(name string, r *api.Heartbeat) {
	o, _, _ := w.harness.HandleHeartbeat(r, "")
	w.count(name, o.Commands)
	w.workers[name].Answer(r, w.harness.clock.Now(), o)
}

// A machine that reaches no controller obeys commands: it gets nothing new, what runs there goes on elsewhere before
// its lease ends it, and it is told from a silent one, so that it is not returned and is useful again at once. It was
// returned after 3.2 report intervals, and its replacement took a boot.
func TestMachineWithLostHeartbeatsGetsNoMoreWork(t *testing.T) {
	h := newHarness(t)
	workers := newInboundLostWorkers(h, "a1", "a2", "a3", "a4")
	for n := range workers.reachable {
		workers.reachable[n] = n == "a1"
	}
	workers.run(time.Second)
	h.submit("run-000001", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	h.submit("run-000002", 1, nil)
	workers.run(time.Second)
	if len(h.machines["a1"].allocations) != 2 {
		t.Fatalf("%d tasks on a1", len(h.machines["a1"].allocations))
	}
	for n := range workers.reachable {
		workers.reachable[n] = n != "a1"
	}
	before := workers.begun["a1"]
	workers.run(6 * time.Second)
	for _, id := range []string{"run-000001", "run-000002"} {
		if alloc := h.jobs[id].allocations[0]; alloc == nil || alloc.machine.Name == "a1" || alloc.state != api.TaskRunning {
			t.Errorf("%s does not run elsewhere 6 s after its machine fell mute: %+v", id, alloc)
		}
	}
	h.submit("run-000003", 20, nil)
	workers.run(2 * time.Second)
	if why := strings.Join(h.waitReasons(h.jobs["run-000003"]), ""); !strings.Contains(why, "1 answer commands and reach no controller (mute)") {
		t.Errorf("an operator is told %q", why)
	}
	workers.run(6 * time.Second)
	if workers.begun["a1"] != before || len(workers.released) > 0 {
		t.Errorf("%d starts on the mute machine, returned %v", workers.begun["a1"]-before, workers.released)
	}
	workers.reachable["a1"] = true
	workers.run(2 * time.Second)
	if workers.begun["a1"] == before {
		t.Error("no work 2 s after it was heard again")
	}
	// One that stays mute is given up in the end.
	workers.reachable["a1"] = false
	workers.run(22 * time.Second)
	if len(workers.released) != 1 || workers.released[0] != "a1" {
		t.Errorf("returned %v", workers.released)
	}
}

// Most of a zone is mute: something stands between it and the controllers. What runs there is left alone as long as
// its leases live, and no machine is returned; what its lease has ended is known at once by its newer session.
func TestZoneWithLostHeartbeatsIsKept(t *testing.T) {
	h := newHarness(t)
	workers := newInboundLostWorkers(h, "a1", "b1", "b2", "b3", "b4")
	workers.run(time.Second)
	h.submit("run-000001", 8, func(x *api.Submission) { x.Zone = "b" })
	workers.run(2 * time.Second)
	for n := range workers.reachable {
		workers.reachable[n] = n == "a1"
	}
	workers.run(9 * time.Second)
	if n := len(h.jobs["run-000001"].allocations); n != 8 || len(workers.released) > 0 {
		t.Errorf("%d of 8 tasks are left, returned %v", n, workers.released)
	}
	workers.run(4 * time.Second)
	if n := len(h.jobs["run-000001"].allocations); n != 0 || len(workers.released) > 0 {
		t.Errorf("%d tasks count 13 s after the last report, though their leases have ended; returned %v", n, workers.released)
	}
}
