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

// through plays a report that comes through a sibling.
func (s *stage) through(via, name string) {
	s.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: 1, Seq: s.next(name), Term: s.term}, via)
}

// rounds lets time pass with the leader at work: each step the named machines
// report, then it looks after machines.
func (s *stage) rounds(d time.Duration, reports func()) (returned []string) {
	for ; d > 0; d -= tuning.TendEvery {
		s.clock.Advance(tuning.TendEvery)
		reports()
		returned = append(returned, s.MaintainFleet()...)
	}
	return returned
}

// A leader that stood still heard nobody meanwhile: it gave machines up for that, the
// half of them that had not reported yet when the others had.
func TestStandstillIsNoEvidenceAgainstMachines(t *testing.T) {
	s := newStage(t)
	all := []string{"a1", "a2", "a3", "a4", "a5", "a6"}
	for _, n := range all {
		s.report(n, 1)
	}
	s.rounds(13*time.Second, func() {
		for _, n := range all {
			s.report(n, 1)
		}
	})
	s.clock.Advance(8 * time.Second)
	for _, n := range all[:4] {
		s.report(n, 1)
	}
	if gone := s.MaintainFleet(); len(gone) > 0 {
		t.Fatalf("%v given up for the time in which the leader stood still", gone)
	}
	gone := s.rounds(5*time.Second, func() {
		for _, n := range all[:5] {
			s.report(n, 1)
		}
	})
	if !slices.Equal(gone, []string{"a6"}) {
		t.Errorf("%v given up after the standstill, want the one that stays silent", gone)
	}
}

// Workers of a controller that fell silent take half a lease to turn to the next one.
// Where they were less than half of their zone they were given up before.
func TestMachinesOfASilentControllerAreLeftTime(t *testing.T) {
	s := newStage(t)
	var there, here []string
	for i := range 8 {
		here = append(here, fmt.Sprintf("a1%d", i))
		if i < 4 {
			there = append(there, fmt.Sprintf("a2%d", i))
		}
	}
	others := func() {
		for _, n := range here[1:] {
			s.report(n, 1)
		}
	}
	all := func() {
		others()
		s.report(here[0], 1)
		for _, n := range there {
			s.through("n1", n)
		}
	}
	all()
	s.rounds(13*time.Second, all)
	gone := s.rounds(6*time.Second, others)
	if !slices.Equal(gone, here[:1]) {
		t.Fatalf("%v given up, want the one that is silent among many that came the same way", gone)
	}
	if gone = s.rounds(5*time.Second, others); len(gone) != len(there) {
		t.Errorf("%v given up after a whole lease, want all of %v", gone, there)
	}
}

// A leader that lost its way to the workers led on through a sibling that passed reports
// on, and every start waited for the next report. It leaves the post to that one.
func TestLeaderThatReachesNoWorkerResigns(t *testing.T) {
	s := newStage(t)
	hears := []peer.Hello{{Member: "n1", StateOK: true, ReceivesHeartbeats: true}}
	s.report("a1", 1)
	s.report("a2", 1)
	miss := func(n int) {
		for range n {
			s.CommandsAnswered("a1", api.HeartbeatResponse{Term: s.term}, nil, true)
		}
	}
	quiet := func() { s.through("n1", "a1"); s.through("n1", "a2") }
	miss(tuning.DeafCommands)
	if s.OutboundLost(hears) {
		t.Error("resigns for a few commands in a moment")
	}
	s.rounds(5*time.Second, quiet)
	if !s.OutboundLost(hears) {
		t.Error("leads on although it reaches no worker and a sibling hears them")
	}
	if s.OutboundLost([]peer.Hello{{Member: "n1", StateOK: true}}) {
		t.Error("resigns although no sibling hears workers either")
	}
	s.report("a2", 1)
	s.report("a2", 1)
	s.rounds(5*time.Second, quiet)
	miss(tuning.DeafCommands - 1)
	if s.OutboundLost(hears) {
		t.Error("resigns because one machine does not answer")
	}
}
