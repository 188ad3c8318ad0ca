package scheduler

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/invariant"
)

func TestNewIncarnationProvesTasksLost(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	h.CommandsAnswered("a1", start.response, nil, false)
	h.heartbeat("a1", 2)
	h.Place()
	h.commit()
	if n := len(h.starts("run-000001/0")); n != 1 {
		t.Fatalf("%d starts on a machine that has not shown that it hears us since a command was lost", n)
	}
	h.heartbeat("a1", 2)
	h.Place()
	h.commit()
	if got := h.starts("run-000001/0"); len(got) != 2 || got[1].response.Incarnation != 2 || got[1].response.Commands[0].Attempt == got[0].response.Commands[0].Attempt {
		t.Errorf("starts %+v", got)
	}
}

// A report that was held up on the way must not undo a newer one.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	h.CommandsAnswered("a1", start.response, nil, true)
	h.heartbeatAt("a1", 1, 50, h.term, taskReport("run-000001/0", start.response.Commands[0].Attempt, api.TaskRunning, ""))
	if o := h.heartbeatAt("a1", 1, 40, h.term); len(o.Commands) != 0 {
		t.Errorf("commands on a late report: %+v", o.Commands)
	}
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 1 {
		t.Error("a late report made the task start again")
	}
}

// A worker that has seen a higher term has another leader.
func TestHigherTermDeposes(t *testing.T) {
	h := newHarness(t)
	_, deposed, _ := h.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Incarnation: 1, Seq: 1, Term: h.term + 5}, "")
	if !deposed {
		t.Error("still leads")
	}
}

// TestUnexpectedMachineIsUsed of a rental whose answer was lost turn up and are used.
func TestUnexpectedMachineIsUsed(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, nil)
	h.ApplyInstanceList([]api.Instance{{Name: "a7", Address: "a7:1", Type: "m8", Zone: "a", State: "booting"}})
	h.Place()
	h.heartbeat("a7", 1)
	h.Place()
	h.commit()
	if got := h.starts("run-000001/0"); len(got) != 1 || got[0].machine != "a7" {
		t.Errorf("starts %+v", got)
	}
}

// A task that runs though no record names its machine counts from then on.
func TestUnknownRunningTaskIsNotStartedTwice(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, nil)
	h.heartbeat("a1", 1, taskReport("run-000001/0", 77, api.TaskRunning, ""))
	h.heartbeat("b1", 1)
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 0 {
		t.Error("started twice")
	}
}

// While the state service is out, reports are answered, else every worker would
// kill its tasks; nothing is started.
func TestOutageLongerThanLease(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	h.CommandsAnswered("a1", start.response, nil, true)
	h.submit("run-000002", 1, nil)
	h.Place()
	h.leading = false
	h.state.Down = true
	run := taskReport("run-000001/0", start.response.Commands[0].Attempt, api.TaskRunning, "")
	for range 25 {
		h.clock.Advance(time.Second)
		h.committer.Step(context.Background())
		o := h.heartbeat("a1", 1, run)
		h.Place()
		if o.Term != h.term || len(o.Commands) != 0 {
			t.Fatalf("answer in an outage: %+v", o)
		}
		if len(h.MaintainFleet()) != 0 {
			t.Fatal("machines returned in an outage")
		}
	}
	h.leading, h.state.Down = true, false
	h.clock.Advance(time.Second)
	h.commit()
	if len(h.starts("run-000002/0")) != 1 {
		t.Error("not started after the outage")
	}
}

// Reports that make no sense move nothing: of tasks that nobody has, with a tally that falls, of a machine that nobody
// rented, and of an earlier session, minutes late. A running attempt of a task that runs elsewhere is reported as a
// contradiction.
func TestInvalidHeartbeatsChangeNothing(t *testing.T) {
	h := newHarness(t)
	workers := newInboundLostWorkers(h, "a1", "a2")
	workers.run(time.Second)
	h.submit("run-000001", 2, nil)
	workers.run(2 * time.Second)
	where := func() (out []string) {
		for _, i := range slices.Sorted(maps.Keys(h.jobs["run-000001"].allocations)) {
			alloc := h.jobs["run-000001"].allocations[i]
			out = append(out, fmt.Sprint(alloc.machine.Name, alloc.attempt, alloc.state))
		}
		return out
	}
	before, begun := where(), len(workers.begun)
	odd := func(name string, session, seq uint64, tasks ...api.TaskReport) {
		h.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: session, Seq: seq, Term: h.term, Tasks: tasks}, "")
	}
	for range 20 {
		odd("a9", 1, 1, taskReport("run-000001/0", 7, api.TaskRunning, ""), taskReport("run-000001/99", 7, api.TaskRunning, ""))
		odd("a1", 1, 1)
		odd("a1", 0, 1<<40, taskReport("run-000001/0", 1, api.TaskExited, api.CauseStopped))
		odd("a2", 1, 2, taskReport("none", 0, "", ""), taskReport("run-000001/-1", 1, api.TaskRunning, ""), taskReport("run-999999/0", 1, api.TaskRunning, ""), taskReport("run-000001/1/2", 1, "asleep", "?"))
		workers.run(5 * time.Second)
	}
	if len(before) != 2 || !slices.Equal(where(), before) || len(workers.begun) != begun || slices.Contains(workers.released, "a1") || slices.Contains(workers.released, "a2") {
		t.Errorf("tasks stood at %v, now at %v; returned %v", before, where(), workers.released)
	}
	if violations := invariant.TakeViolations(); violations != 1 {
		t.Errorf("%d contradictions were reported, want 1", violations)
	}
}

// Copies of a machine's reports kept it alive: it was given up only when they ended, its tasks waited,
// and more were given to it.
func TestCopiesKeepNoMachineAlive(t *testing.T) {
	h := newHarness(t)
	all := func() { h.heartbeat("a1", 1); h.heartbeat("b1", 1) }
	all()
	h.submit("run-000001", 1, func(x *api.Submission) { x.Zone = "b" })
	h.Place()
	h.commit()
	h.answerCommands()
	at := h.starts("run-000001/0")[0].response.Commands[0].Attempt
	running := taskReport("run-000001/0", at, api.TaskRunning, "")
	old := h.seq["b1"]
	h.maintainFor(5*time.Second, func() { h.heartbeat("a1", 1); h.heartbeat("b1", 1, running) })
	last := h.seq["b1"]
	notice := 1.0
	gone := h.maintainFor(8*time.Second, func() {
		h.heartbeat("a1", 1)
		for seq := old; seq <= last; seq++ {
			r := &api.Heartbeat{Machine: "b1", Address: "b1:1", Type: "m8", Zone: "b", Incarnation: 1, Seq: seq, Term: h.term, PreemptionNoticeS: &notice}
			if o, _, _ := h.HandleHeartbeat(r, "n1"); len(o.Commands) > 0 {
				t.Error("a copy's answer carries commands")
			}
			h.HandleRelayedHeartbeat("n2", r)
		}
	})
	if len(gone) != 1 || gone[0] != "b1" {
		t.Fatalf("returned %v, want the machine that only copies speak for", gone)
	}
	if machine := h.machines["b1"]; machine.relayPeer != "" || machine.lastPeer != "" || !machine.PreemptedAt.IsZero() {
		t.Errorf("copies set its way or its notice: %q %q %v", machine.relayPeer, machine.lastPeer, machine.PreemptedAt)
	}
	h.InstancesReleased([]string{"b1"}, nil)
	h.heartbeatAt("b1", 1, last, h.term, running)
	if h.machines["b1"] != nil {
		t.Error("a copy brought a returned machine back")
	}
}

// To a new leader a copy of what a machine said before it died is its first report. It made a machine
// that was offered room, and that was counted as supply; a copy that the cloud's list and no record
// bears out is forgotten, and returned is nothing.
func TestFirstHeartbeatMayBeACopy(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 30, nil)
	h.elect()
	notice := 5.0
	for i := range 3 {
		n := fmt.Sprintf("a%d", 7+i)
		o, _, _ := h.HandleHeartbeat(&api.Heartbeat{Machine: n, Address: n + ":1", Type: "m8", Zone: "a", Incarnation: 4, Seq: 300, Term: h.term - 3, PreemptionNoticeS: &notice}, "")
		h.Place()
		if machine := h.machines[n]; machine == nil || len(machine.allocations) > 0 || len(o.Commands) > 0 || h.schedulable(machine) {
			t.Fatalf("a first report with an old token brought work: %+v", o)
		}
	}
	if all, _ := h.supply(); all != 0 {
		t.Errorf("%v processors counted as there", all)
	}
	if gone := h.maintainFor(30*time.Second, func() { h.heartbeat("a1", 1) }); len(gone) > 0 || len(h.machines) != 1 {
		t.Errorf("returned %v, left %d machines", gone, len(h.machines))
	}
	// One that lives hears the token and says so at once.
	h.heartbeatAt("a8", 4, 301, h.term-3)
	h.heartbeatAt("a8", 4, 302, h.term)
	if !h.schedulable(h.machines["a8"]) {
		t.Error("a machine that carries our token gets no work")
	}
}

// What a first report of an old term lacks is no proof, whoever sends it: the task counts as there.
func TestFirstHeartbeatDoesNotProveTasksMissing(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	h.heartbeat("a1", 1, taskReport("run-000001/0", start.response.Commands[0].Attempt, api.TaskRunning, ""))
	h.elect()
	h.heartbeatAt("a1", 1, 1, h.term-1)
	if len(h.jobs["run-000001"].allocations) != 1 {
		t.Error("an old report proved that a task is gone")
	}
}
