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
	h.HandleCommandOutcome("a1", start.response, nil, false)
	h.heartbeat("a1", 2)
	h.Place()
	h.commit()
	if n := len(h.starts("run-000001/0")); n != 1 {
		t.Fatalf("%d starts, want 1: the machine has not proved that it receives responses since a command was lost", n)
	}
	h.heartbeat("a1", 2)
	h.Place()
	h.commit()
	if got := h.starts("run-000001/0"); len(got) != 2 || got[1].response.Incarnation != 2 || got[1].response.Commands[0].Attempt == got[0].response.Commands[0].Attempt {
		t.Errorf("starts %+v", got)
	}
}

// A delayed heartbeat must not override a newer one.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	h.HandleCommandOutcome("a1", start.response, nil, true)
	h.heartbeatAt("a1", 1, 50, h.term, taskReport("run-000001/0", start.response.Commands[0].Attempt, api.TaskRunning, ""))
	if response := h.heartbeatAt("a1", 1, 40, h.term); len(response.Commands) != 0 {
		t.Errorf("commands in the response to a late heartbeat: %+v", response.Commands)
	}
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 1 {
		t.Error("a late heartbeat caused the task to be started again")
	}
}

// A heartbeat with a higher term proves that there is a newer leader.
func TestHigherTermDeposesLeader(t *testing.T) {
	h := newHarness(t)
	_, deposed, _ := h.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Incarnation: 1, Seq: 1, Term: h.term + 5}, "")
	if !deposed {
		t.Error("the leader was not deposed by a heartbeat with a higher term")
	}
}

// A machine gets work even if the cloud's response to the request for it was lost.
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

// A task that a heartbeat lists as running counts as allocated, even if no record names its machine.
func TestUnknownRunningTaskIsNotStartedTwice(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, nil)
	h.heartbeat("a1", 1, taskReport("run-000001/0", 77, api.TaskRunning, ""))
	h.heartbeat("b1", 1)
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 0 {
		t.Error("the task was started again")
	}
}

// During an outage of the state service, heartbeats are still answered, because otherwise the workers' leases would
// expire and end all tasks. Nothing is started.
func TestTasksSurviveStateServiceOutage(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	h.HandleCommandOutcome("a1", start.response, nil, true)
	h.submit("run-000002", 1, nil)
	h.Place()
	h.leading = false
	h.state.Down = true
	running := taskReport("run-000001/0", start.response.Commands[0].Attempt, api.TaskRunning, "")
	for range 25 {
		h.clock.Advance(time.Second)
		h.committer.Step(context.Background())
		response := h.heartbeat("a1", 1, running)
		h.Place()
		if response.Term != h.term || len(response.Commands) != 0 {
			t.Fatalf("response during an outage: %+v", response)
		}
		if len(h.MaintainFleet()) != 0 {
			t.Fatal("machines released during an outage")
		}
	}
	h.leading, h.state.Down = true, false
	h.clock.Advance(time.Second)
	h.commit()
	if len(h.starts("run-000002/0")) != 1 {
		t.Error("the task was not started after the outage")
	}
}

// Invalid heartbeats change no allocation: with unknown tasks, with a decreasing sequence number, of a machine that was
// never requested, or of an earlier incarnation. A running attempt of a task that runs elsewhere is reported as an
// invariant violation.
func TestInvalidHeartbeatsChangeNothing(t *testing.T) {
	h := newHarness(t)
	workers := newInboundLostWorkers(h, "a1", "a2")
	workers.run(time.Second)
	h.submit("run-000001", 2, nil)
	workers.run(2 * time.Second)
	describeAllocations := func() (out []string) {
		for _, task := range slices.Sorted(maps.Keys(h.jobs["run-000001"].allocations)) {
			alloc := h.jobs["run-000001"].allocations[task]
			out = append(out, fmt.Sprint(alloc.machine.Name, alloc.attempt, alloc.state))
		}
		return out
	}
	before, machinesStarted := describeAllocations(), len(workers.startCounts)
	sendHeartbeat := func(name string, incarnation, seq uint64, tasks ...api.TaskReport) {
		h.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: incarnation, Seq: seq, Term: h.term, Tasks: tasks}, "")
	}
	for range 20 {
		sendHeartbeat("a9", 1, 1, taskReport("run-000001/0", 7, api.TaskRunning, ""), taskReport("run-000001/99", 7, api.TaskRunning, ""))
		sendHeartbeat("a1", 1, 1)
		sendHeartbeat("a1", 0, 1<<40, taskReport("run-000001/0", 1, api.TaskExited, api.CauseStopped))
		sendHeartbeat("a2", 1, 2, taskReport("none", 0, "", ""), taskReport("run-000001/-1", 1, api.TaskRunning, ""), taskReport("run-999999/0", 1, api.TaskRunning, ""), taskReport("run-000001/1/2", 1, "asleep", "?"))
		workers.run(5 * time.Second)
	}
	if len(before) != 2 || !slices.Equal(describeAllocations(), before) || len(workers.startCounts) != machinesStarted || slices.Contains(workers.released, "a1") || slices.Contains(workers.released, "a2") {
		t.Errorf("allocations were %v and are now %v; released %v", before, describeAllocations(), workers.released)
	}
	if violations := invariant.ResetViolations(); violations != 1 {
		t.Errorf("%d invariant violations reported, want 1", violations)
	}
}

// Copies of a machine's old heartbeats made the machine count as alive: it was released only after the copies had
// ceased, its tasks waited until then, and it was given more.
func TestCopiedHeartbeatsDoNotKeepMachineAlive(t *testing.T) {
	h := newHarness(t)
	sendHeartbeats := func() { h.heartbeat("a1", 1); h.heartbeat("b1", 1) }
	sendHeartbeats()
	h.submit("run-000001", 1, func(submission *api.Submission) { submission.Zone = "b" })
	h.Place()
	h.commit()
	h.answerCommands()
	attempt := h.starts("run-000001/0")[0].response.Commands[0].Attempt
	running := taskReport("run-000001/0", attempt, api.TaskRunning, "")
	firstCopied := h.seq["b1"]
	h.maintainFor(5*time.Second, func() { h.heartbeat("a1", 1); h.heartbeat("b1", 1, running) })
	lastCopied := h.seq["b1"]
	notice := 1.0
	released := h.maintainFor(8*time.Second, func() {
		h.heartbeat("a1", 1)
		for seq := firstCopied; seq <= lastCopied; seq++ {
			heartbeat := &api.Heartbeat{Machine: "b1", Address: "b1:1", Type: "m8", Zone: "b", Incarnation: 1, Seq: seq, Term: h.term, PreemptionNoticeS: &notice}
			if response, _, _ := h.HandleHeartbeat(heartbeat, "n1"); len(response.Commands) > 0 {
				t.Error("the response to a copied heartbeat contains commands")
			}
			h.HandleRelayedHeartbeat("n2", heartbeat)
		}
	})
	if len(released) != 1 || released[0] != "b1" {
		t.Fatalf("released %v, want b1, of which only copied heartbeats arrive", released)
	}
	if machine := h.machines["b1"]; machine.relayPeer != "" || machine.lastPeer != "" || !machine.PreemptedAt.IsZero() {
		t.Errorf("copied heartbeats changed the relay peer %q, the last peer %q or the preemption time %v", machine.relayPeer, machine.lastPeer, machine.PreemptedAt)
	}
	h.InstancesReleased([]string{"b1"}, nil)
	h.heartbeatAt("b1", 1, lastCopied, h.term, running)
	if h.machines["b1"] != nil {
		t.Error("a copied heartbeat added a released machine again")
	}
}

// For a new leader, a copy of a heartbeat that a machine sent before it failed is the first heartbeat of that machine.
// The leader placed work on such a machine and counted it as supply. A machine that is known only from a copy, and is
// neither in the cloud's list nor in a record, must be forgotten without being released.
func TestCopiedFirstHeartbeatDoesNotMakeMachineSchedulable(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 30, nil)
	h.elect()
	notice := 5.0
	for i := range 3 {
		name := fmt.Sprintf("a%d", 7+i)
		response, _, _ := h.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: "a", Incarnation: 4, Seq: 300, Term: h.term - 3, PreemptionNoticeS: &notice}, "")
		h.Place()
		if machine := h.machines[name]; machine == nil || len(machine.allocations) > 0 || len(response.Commands) > 0 || h.schedulable(machine) {
			t.Fatalf("a first heartbeat with an old token made the machine schedulable: %+v", response)
		}
	}
	if cpus, _ := h.supply(); cpus != 0 {
		t.Errorf("%v CPUs counted as supply, want 0", cpus)
	}
	if released := h.maintainFor(30*time.Second, func() { h.heartbeat("a1", 1) }); len(released) > 0 || len(h.machines) != 1 {
		t.Errorf("released %v, want none; %d machines are known, want 1", released, len(h.machines))
	}
	// A machine that is alive receives the fencing token and sends it in its next heartbeat.
	h.heartbeatAt("a8", 4, 301, h.term-3)
	h.heartbeatAt("a8", 4, 302, h.term)
	if !h.schedulable(h.machines["a8"]) {
		t.Error("a machine that has sent this term's token is not schedulable")
	}
}

// A first heartbeat with an old term does not prove that the tasks it does not list are gone.
func TestFirstHeartbeatDoesNotProveTasksMissing(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	h.heartbeat("a1", 1, taskReport("run-000001/0", start.response.Commands[0].Attempt, api.TaskRunning, ""))
	h.elect()
	h.heartbeatAt("a1", 1, 1, h.term-1)
	if len(h.jobs["run-000001"].allocations) != 1 {
		t.Error("a heartbeat with an old term was taken as proof that a task is gone")
	}
}
