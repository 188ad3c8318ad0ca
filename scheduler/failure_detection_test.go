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

// The cloud's confirmation that a silent machine was released proves that the machine's tasks are gone.
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
		t.Fatalf("machines to be released: %v, want a1", names)
	}
	h.commit()
	if len(h.starts("run-000001/0")) != 1 {
		t.Fatal("the task was started elsewhere before the release was confirmed")
	}
	h.InstancesReleased(names, nil)
	h.Place()
	h.commit()
	if got := h.starts("run-000001/0"); len(got) != 2 || got[1].machine != "a2" {
		t.Errorf("starts %+v, want a second one on a2", got)
	}
	// A delayed heartbeat of a released machine must be refused.
	if _, _, refused := h.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Incarnation: 1, Seq: 900, Term: h.term}, ""); !refused {
		t.Error("a heartbeat of a released machine was accepted")
	}
}

// If a whole zone is silent, a network partition is more likely than a failure of all its machines.
func TestPartitionedZoneIsNotReleased(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("b1", 1)
	h.heartbeat("b2", 1)
	if names := h.maintainFor(15*time.Second, func() { h.heartbeat("a1", 1); h.heartbeat("a2", 1) }); len(names) != 0 {
		t.Errorf("released %v, want none", names)
	}
	// The heartbeats of most of the zone are already relayed, but its controllers are unreachable. The other machines
	// may still be searching for a relay.
	h = newHarness(t)
	for _, name := range []string{"b1", "b2", "b3"} {
		h.heartbeat(name, 1)
	}
	h.unreachableZone = "b"
	sendOtherHeartbeats := func() {
		h.heartbeat("a1", 1)
		h.relayHeartbeats("peer", "b2", "b3")
	}
	if names := h.maintainFor(15*time.Second, sendOtherHeartbeats); len(names) != 0 {
		t.Errorf("released %v, want none", names)
	}
	h.unreachableZone = ""
	if names := h.maintainFor(5*time.Second, sendOtherHeartbeats); len(names) != 1 || names[0] != "b1" {
		t.Errorf("released %v, want b1", names)
	}
}

// Idle machines are released, even if teams have a guarantee.
func TestIdleMachinesAreReleased(t *testing.T) {
	h := newHarness(t)
	remaining := map[string]bool{}
	for i := range 4 {
		remaining[fmt.Sprintf("a%d", i)] = true
	}
	for range 8 * 30 * 2 {
		h.clock.Advance(time.Second)
		for name := range remaining {
			h.heartbeat(name, 1)
		}
		for _, name := range h.MaintainFleet() {
			delete(remaining, name)
			h.InstancesReleased([]string{name}, nil)
		}
	}
	if len(remaining) > 0 || len(h.InstanceRequests()) > 0 {
		t.Errorf("%d idle machines were not released, or new ones were requested", len(remaining))
	}
}

// A paused leader receives no heartbeats. After a pause it released the machines whose first heartbeat came later than
// those of the others, because it counted the pause as their silence.
func TestProcessPauseDoesNotCountAsMachineSilence(t *testing.T) {
	h := newHarness(t)
	all := []string{"a1", "a2", "a3", "a4", "a5", "a6"}
	for _, name := range all {
		h.heartbeat(name, 1)
	}
	h.maintainFor(13*time.Second, func() {
		for _, name := range all {
			h.heartbeat(name, 1)
		}
	})
	h.clock.Advance(8 * time.Second)
	for _, name := range all[:4] {
		h.heartbeat(name, 1)
	}
	if released := h.MaintainFleet(); len(released) > 0 {
		t.Fatalf("%v released because of the time in which the leader was paused", released)
	}
	released := h.maintainFor(5*time.Second, func() {
		for _, name := range all[:5] {
			h.heartbeat(name, 1)
		}
	})
	if !slices.Equal(released, []string{"a6"}) {
		t.Errorf("%v released after the pause, want only the machine that stays silent", released)
	}
}

// Workers of a controller that stops responding need half a lease to switch to the next controller. If they were less
// than half of their zone, they were released before that.
func TestMachinesOfSilentControllerGetTimeToSwitch(t *testing.T) {
	h := newHarness(t)
	var throughPeer, direct []string
	for i := range 8 {
		direct = append(direct, fmt.Sprintf("a1%d", i))
		if i < 4 {
			throughPeer = append(throughPeer, fmt.Sprintf("a2%d", i))
		}
	}
	sendMostDirectHeartbeats := func() {
		for _, name := range direct[1:] {
			h.heartbeat(name, 1)
		}
	}
	sendAllHeartbeats := func() {
		sendMostDirectHeartbeats()
		h.heartbeat(direct[0], 1)
		for _, name := range throughPeer {
			h.forwardHeartbeat("n1", name)
		}
	}
	sendAllHeartbeats()
	h.maintainFor(13*time.Second, sendAllHeartbeats)
	released := h.maintainFor(6*time.Second, sendMostDirectHeartbeats)
	if !slices.Equal(released, direct[:1]) {
		t.Fatalf("%v released, want only the machine that is silent while others on the same path are not", released)
	}
	if released = h.maintainFor(5*time.Second, sendMostDirectHeartbeats); len(released) != len(throughPeer) {
		t.Errorf("%v released after a whole lease, want all of %v", released, throughPeer)
	}
}

// A leader that could no longer reach any worker stayed leader because a peer forwarded heartbeats to it, so that every
// start waited for the next heartbeat. It must resign, so that the peer can lead.
func TestLeaderThatReachesNoWorkerResigns(t *testing.T) {
	h := newHarness(t)
	receivingPeers := []peer.Hello{{Member: "n1", StateOK: true, ReceivesHeartbeats: true}}
	h.heartbeat("a1", 1)
	h.heartbeat("a2", 1)
	loseCommands := func(n int) {
		for range n {
			h.HandleCommandOutcome("a1", api.HeartbeatResponse{Term: h.term}, nil, true)
		}
	}
	sendThroughPeer := func() { h.forwardHeartbeat("n1", "a1"); h.forwardHeartbeat("n1", "a2") }
	loseCommands(tuning.IsolationUnansweredCommands)
	if h.OutboundLost(receivingPeers) {
		t.Error("resigns because of a few commands unanswered at one moment")
	}
	h.maintainFor(5*time.Second, sendThroughPeer)
	if !h.OutboundLost(receivingPeers) {
		t.Error("does not resign although it reaches no worker and a peer receives heartbeats")
	}
	if h.OutboundLost([]peer.Hello{{Member: "n1", StateOK: true}}) {
		t.Error("resigns although no peer receives heartbeats either")
	}
	h.heartbeat("a2", 1)
	h.heartbeat("a2", 1)
	h.maintainFor(5*time.Second, sendThroughPeer)
	loseCommands(tuning.IsolationUnansweredCommands - 1)
	if h.OutboundLost(receivingPeers) {
		t.Error("resigns because one machine does not answer, although another sent heartbeats directly")
	}
}
