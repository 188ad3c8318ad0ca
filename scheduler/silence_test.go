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

// heartbeatThrough plays a report that comes through a sibling.
func (h *harness) heartbeatThrough(via, name string) {
	h.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: 1, Seq: h.nextSeq(name), Term: h.term}, via)
}

// maintainFor lets time pass with the leader at work: each step the named machines
// heartbeat, then it looks after machines.
func (h *harness) maintainFor(d time.Duration, reports func()) (returned []string) {
	for ; d > 0; d -= tuning.MaintainEvery {
		h.clock.Advance(tuning.MaintainEvery)
		reports()
		returned = append(returned, h.MaintainFleet()...)
	}
	return returned
}

// A leader that stood still heard nobody meanwhile: it gave machines up for that, the
// half of them that had not reported yet when the others had.
func TestStandstillIsNoEvidenceAgainstMachines(t *testing.T) {
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
