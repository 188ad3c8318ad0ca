package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/tuning"
)

// The cloud's answer to a return proves that a silent machine's tasks are gone.
func TestReleaseOfSilentMachineFreesItsTasks(t *testing.T) {
	h := newHarness(t)
	h.submitAndStart("run-000001")
	h.heartbeat("a2", 1)
	for range 16 {
		h.clock.Advance(time.Second)
		h.heartbeat("a2", 1)
		h.Place()
	}
	names := h.MaintainFleet()
	if len(names) != 1 || names[0] != "a1" {
		t.Fatalf("to be returned: %v", names)
	}
	h.commit()
	if len(h.starts("run-000001/0")) != 1 {
		t.Fatal("started elsewhere before the proof")
	}
	h.InstancesReleased(names, nil)
	h.Place()
	h.commit()
	if got := h.starts("run-000001/0"); len(got) != 2 || got[1].machine != "a2" {
		t.Errorf("starts %+v", got)
	}
	// What the machine said before, held up on the way, brings nothing back.
	if _, _, refused := h.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Incarnation: 1, Seq: 900, Term: h.term}, ""); !refused {
		t.Error("a returned machine was taken back")
	}
}

// A whole zone that is silent is more likely cut off than gone.
func TestPartitionedZoneIsNotReleased(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("b1", 1)
	h.heartbeat("b2", 1)
	if names := h.maintainFor(15*time.Second, func() { h.heartbeat("a1", 1); h.heartbeat("a2", 1) }); len(names) != 0 {
		t.Errorf("returned %v", names)
	}
	// The same with most of the zone already relayed, while its controllers
	// are out of reach: the rest is still looking for a relay.
	h = newHarness(t)
	for _, m := range []string{"b1", "b2", "b3"} {
		h.heartbeat(m, 1)
	}
	h.unreachableZone = "b"
	rest := func() {
		h.heartbeat("a1", 1)
		h.heartbeatsThrough("sib", "b2", "b3")
	}
	if names := h.maintainFor(15*time.Second, rest); len(names) != 0 {
		t.Errorf("returned %v", names)
	}
	h.unreachableZone = ""
	if names := h.maintainFor(5*time.Second, rest); len(names) != 1 || names[0] != "b1" {
		t.Errorf("returned %v, want b1", names)
	}
}

// With nothing to do, machines go back, also of teams that have a guarantee.
func TestIdleMachinesAreReleased(t *testing.T) {
	h := newHarness(t)
	left := map[string]bool{}
	for i := range 4 {
		left[fmt.Sprintf("a%d", i)] = true
	}
	for range 8 * 30 * 2 {
		h.clock.Advance(time.Second)
		for m := range left {
			h.heartbeat(m, 1)
		}
		for _, n := range h.MaintainFleet() {
			delete(left, n)
			h.InstancesReleased([]string{n}, nil)
		}
	}
	if len(left) > 0 || len(h.InstanceRequests()) > 0 {
		t.Errorf("%d machines kept with nothing to do", len(left))
	}
}

// A leader that stood still heard nobody meanwhile: it gave machines up for that, the
// half of them that had not reported yet when the others had.
func TestProcessPauseIsNotHeldAgainstMachines(t *testing.T) {
	h := newHarness(t)
	all := []string{"a1", "a2", "a3", "a4", "a5", "a6"}
	for _, n := range all {
		h.heartbeat(n, 1)
	}
	h.maintainFor(13*time.Second, func() {
		for _, n := range all {
			h.heartbeat(n, 1)
		}
	})
	h.clock.Advance(8 * time.Second)
	for _, n := range all[:4] {
		h.heartbeat(n, 1)
	}
	if gone := h.MaintainFleet(); len(gone) > 0 {
		t.Fatalf("%v given up for the time in which the leader stood still", gone)
	}
	gone := h.maintainFor(5*time.Second, func() {
		for _, n := range all[:5] {
			h.heartbeat(n, 1)
		}
	})
	if !slices.Equal(gone, []string{"a6"}) {
		t.Errorf("%v given up after the standstill, want the one that stays silent", gone)
	}
}

// Workers of a controller that fell silent take half a lease to turn to the next one.
// Where they were less than half of their zone they were given up before.
func TestMachinesOfASilentControllerAreLeftTime(t *testing.T) {
	h := newHarness(t)
	var there, here []string
	for i := range 8 {
		here = append(here, fmt.Sprintf("a1%d", i))
		if i < 4 {
			there = append(there, fmt.Sprintf("a2%d", i))
		}
	}
	others := func() {
		for _, n := range here[1:] {
			h.heartbeat(n, 1)
		}
	}
	all := func() {
		others()
		h.heartbeat(here[0], 1)
		for _, n := range there {
			h.heartbeatThrough("n1", n)
		}
	}
	all()
	h.maintainFor(13*time.Second, all)
	gone := h.maintainFor(6*time.Second, others)
	if !slices.Equal(gone, here[:1]) {
		t.Fatalf("%v given up, want the one that is silent among many that came the same way", gone)
	}
	if gone = h.maintainFor(5*time.Second, others); len(gone) != len(there) {
		t.Errorf("%v given up after a whole lease, want all of %v", gone, there)
	}
}

// A leader that lost its way to the workers led on through a sibling that passed reports
// on, and every start waited for the next report. It leaves the post to that one.
func TestLeaderThatReachesNoWorkerResigns(t *testing.T) {
	h := newHarness(t)
	hears := []peer.Hello{{Member: "n1", StateOK: true, ReceivesHeartbeats: true}}
	h.heartbeat("a1", 1)
	h.heartbeat("a2", 1)
	miss := func(n int) {
		for range n {
			h.CommandsAnswered("a1", api.HeartbeatResponse{Term: h.term}, nil, true)
		}
	}
	quiet := func() { h.heartbeatThrough("n1", "a1"); h.heartbeatThrough("n1", "a2") }
	miss(tuning.OutboundLostCommands)
	if h.OutboundLost(hears) {
		t.Error("resigns for a few commands in a moment")
	}
	h.maintainFor(5*time.Second, quiet)
	if !h.OutboundLost(hears) {
		t.Error("leads on although it reaches no worker and a sibling hears them")
	}
	if h.OutboundLost([]peer.Hello{{Member: "n1", StateOK: true}}) {
		t.Error("resigns although no sibling hears workers either")
	}
	h.heartbeat("a2", 1)
	h.heartbeat("a2", 1)
	h.maintainFor(5*time.Second, quiet)
	miss(tuning.OutboundLostCommands - 1)
	if h.OutboundLost(hears) {
		t.Error("resigns because one machine does not answer")
	}
}
