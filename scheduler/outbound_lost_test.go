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
	harness *harness
	names   []string
	began   time.Time
	reports int
	// starts holds the attempts for which a run command was sent to the workers.
	starts map[uint64]bool
}

func (w *outboundLostWorkers) run(d time.Duration, others func()) (returned []string) {
	h := w.harness
	for ; d > 0; d -= tuning.MaintainEvery {
		h.clock.Advance(tuning.MaintainEvery)
		others()
		if since := h.clock.Since(w.began); since >= time.Duration(w.reports+1)*5*time.Second {
			w.reports++
			via := []string{"", "n1", "n2"}[w.reports%3]
			for _, n := range w.names {
				r := &api.Heartbeat{Machine: n, Address: n + ":1", Type: "m8", Zone: zoneOf(n), Incarnation: 1 + uint64(since/(10*time.Second)), Seq: h.nextSeq(n), Term: h.term}
				o, _, _ := h.HandleHeartbeat(r, via)
				w.count(o.Commands)
			}
		}
		h.Place()
		h.commit()
		h.Committed()
		for ; h.answered < len(h.sent); h.answered++ {
			o := h.sent[h.answered]
			deaf := false
			for _, n := range w.names {
				deaf = deaf || n == o.machine
			}
			if deaf {
				w.count(o.response.Commands)
				h.CommandsAnswered(o.machine, o.response, nil, false)
			} else {
				h.CommandsAnswered(o.machine, o.response, nil, true)
			}
		}
		returned = append(returned, h.MaintainFleet()...)
	}
	return returned
}

func (w *outboundLostWorkers) count(cs []api.Command) {
	for _, c := range cs {
		if c.Verb == api.CommandRun {
			w.starts[c.Attempt] = true
		}
	}
}

// A machine whose heartbeats arrived but which received nothing counted as reachable, looked idle and was given work
// again and again. It must get at most one batch of tasks, which its next incarnation proves lost, and then no work
// until it proves that it receives responses again; otherwise it is released. With heartbeats every 4 s and leases of
// 10 s, the machine is never silent long enough to be detected by that.
func TestMachineWithLostCommandsGetsNoMoreWork(t *testing.T) {
	for _, back := range []bool{false, true} {
		h := newHarness(t)
		h.settings.Facts.Workers.ReportS = 4
		h.heartbeat("a1", 1)
		workers := &outboundLostWorkers{harness: h, names: []string{"a1"}, began: h.clock.Now(), starts: map[uint64]bool{}}
		h.submit("run-000001", 30, func(x *api.Submission) { x.CPUs, x.MemoryGB, x.Types = 4, 4, []string{"m8"} })
		gone := workers.run(14*time.Second, func() {})
		if len(workers.starts) != 2 {
			t.Errorf("%d starts on a machine with room for two tasks that receives nothing, want 2", len(workers.starts))
		}
		if len(h.jobs["run-000001"].allocations) != 0 {
			t.Error("the new incarnation did not prove that the tasks are gone")
		}
		if back {
			h.heartbeat("a1", 2)
			h.heartbeat("a1", 2)
			h.Place()
			h.commit()
			if n := len(h.jobs["run-000001"].allocations); n != 2 || len(gone) > 0 {
				t.Errorf("%d tasks allocated to the machine that receives responses again, want 2; released %v, want none", n, gone)
			}
			continue
		}
		clear(workers.starts)
		gone = append(gone, workers.run(20*time.Second, func() {})...)
		if len(workers.starts) != 0 || len(gone) != 1 {
			t.Errorf("%d starts, want 0; released %v, want one machine", len(workers.starts), gone)
		}
	}
}

// If all machines of a zone receive nothing, that is treated as one failure: none of the 40 machines is released for
// six leases, and then only a few at a time.
func TestZoneWithLostCommandsIsOneFailure(t *testing.T) {
	h := newHarness(t)
	h.settings.Facts.Workers.ReportS = 4
	workers := &outboundLostWorkers{harness: h, began: h.clock.Now(), starts: map[uint64]bool{}}
	for i := range 40 {
		workers.names = append(workers.names, fmt.Sprintf("b%d", i))
		h.heartbeat(workers.names[i], 1)
	}
	near := func() {
		for i := range 40 {
			h.heartbeat(fmt.Sprintf("a%d", i), 1)
		}
	}
	if gone := workers.run(60*time.Second, near); len(gone) > 0 {
		t.Errorf("%d machines released within six leases, want 0", len(gone))
	}
	if n := len(workers.run(20*time.Second, near)); n == 0 || n > 20 {
		t.Errorf("%d of 40 machines released in the next 20 s, want 1 to 20", n)
	}
}
