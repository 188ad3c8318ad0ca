package scheduler

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// outboundLostWorkers simulates workers whose heartbeats arrive but which receive no responses or commands. Each
// switches to the next controller after 5 s, and its incarnation increases whenever its lease expires.
type outboundLostWorkers struct {
	harness         *harness
	names           []string
	began           time.Time
	heartbeatRounds int
	// starts holds the attempts for which a run command was sent to the workers.
	starts map[uint64]bool
}

func (w *outboundLostWorkers) run(duration time.Duration, sendOtherHeartbeats func()) (released []string) {
	h := w.harness
	for ; duration > 0; duration -= tuning.MaintenanceInterval {
		h.clock.Advance(tuning.MaintenanceInterval)
		sendOtherHeartbeats()
		if since := h.clock.Since(w.began); since >= time.Duration(w.heartbeatRounds+1)*5*time.Second {
			w.heartbeatRounds++
			via := []string{"", "n1", "n2"}[w.heartbeatRounds%3]
			for _, name := range w.names {
				heartbeat := &api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: 1 + uint64(since/(10*time.Second)), Seq: h.nextSeq(name), Term: h.term}
				response, _, _ := h.HandleHeartbeat(heartbeat, via)
				w.countStarts(response.Commands)
			}
		}
		h.Place()
		h.commit()
		h.Committed()
		for ; h.answeredCommands < len(h.sent); h.answeredCommands++ {
			message := h.sent[h.answeredCommands]
			unreachable := false
			for _, name := range w.names {
				unreachable = unreachable || name == message.machine
			}
			if unreachable {
				w.countStarts(message.response.Commands)
				h.HandleCommandOutcome(message.machine, message.response, nil, false)
			} else {
				h.HandleCommandOutcome(message.machine, message.response, nil, true)
			}
		}
		released = append(released, h.MaintainFleet()...)
	}
	return released
}

func (w *outboundLostWorkers) countStarts(commands []api.Command) {
	for _, command := range commands {
		if command.Verb == api.CommandRun {
			w.starts[command.Attempt] = true
		}
	}
}

// A machine whose heartbeats arrived but which received nothing counted as reachable, looked idle and was given work
// again and again. It must get at most one batch of tasks, which its next incarnation proves lost, and then no work
// until it proves that it receives responses again; otherwise it is released. With heartbeats every 4 s and leases of
// 10 s, the machine is never silent long enough to be detected by that.
func TestMachineWithLostCommandsGetsNoMoreWork(t *testing.T) {
	for _, reachableAgain := range []bool{false, true} {
		h := newHarness(t)
		h.settings.Facts.Workers.HeartbeatIntervalS = 4
		h.heartbeat("a1", 1)
		workers := &outboundLostWorkers{harness: h, names: []string{"a1"}, began: h.clock.Now(), starts: map[uint64]bool{}}
		h.submit("run-000001", 30, func(submission *api.Submission) {
			submission.CPUs, submission.MemoryGB, submission.Types = 4, 4, []string{"m8"}
		})
		released := workers.run(14*time.Second, func() {})
		if len(workers.starts) != 2 {
			t.Errorf("%d starts on a machine with free resources for two tasks that receives nothing, want 2", len(workers.starts))
		}
		if len(h.jobs["run-000001"].allocations) != 0 {
			t.Error("the new incarnation did not prove that the tasks are gone")
		}
		if reachableAgain {
			h.heartbeat("a1", 2)
			h.heartbeat("a1", 2)
			h.Place()
			h.commit()
			if n := len(h.jobs["run-000001"].allocations); n != 2 || len(released) > 0 {
				t.Errorf("%d tasks allocated to the machine that receives responses again, want 2; released %v, want none", n, released)
			}
			continue
		}
		clear(workers.starts)
		released = append(released, workers.run(20*time.Second, func() {})...)
		if len(workers.starts) != 0 || len(released) != 1 {
			t.Errorf("%d starts, want 0; released %v, want one machine", len(workers.starts), released)
		}
	}
}

// If all machines of a zone receive nothing, that is treated as one failure: none of the 40 machines is released for
// six leases, and then only a few at a time.
func TestZoneWithLostCommandsIsOneFailure(t *testing.T) {
	h := newHarness(t)
	h.settings.Facts.Workers.HeartbeatIntervalS = 4
	workers := &outboundLostWorkers{harness: h, began: h.clock.Now(), starts: map[uint64]bool{}}
	for i := range 40 {
		workers.names = append(workers.names, fmt.Sprintf("b%d", i))
		h.heartbeat(workers.names[i], 1)
	}
	sendOtherZoneHeartbeats := func() {
		for i := range 40 {
			h.heartbeat(fmt.Sprintf("a%d", i), 1)
		}
	}
	if released := workers.run(60*time.Second, sendOtherZoneHeartbeats); len(released) > 0 {
		t.Errorf("%d machines released within six leases, want 0", len(released))
	}
	if n := len(workers.run(20*time.Second, sendOtherZoneHeartbeats)); n == 0 || n > 20 {
		t.Errorf("%d of 40 machines released in the next 20 s, want 1 to 20", n)
	}
}
