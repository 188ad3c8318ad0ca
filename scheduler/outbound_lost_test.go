package scheduler

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// outboundLostWorkers are machines whose reports arrive, and which no answer or command reaches: each turns
// to the next controller after 5 s, and its session rises with each lease.
type outboundLostWorkers struct {
	harness *harness
	names   []string
	began   time.Time
	reports int
	// starts are the attempts that it was told to start.
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

// A machine whose reports arrived while nothing reached it counted as heard, looked idle, and was given
// work for ever. It gets one batch, which its newer session proves lost; then nothing until it shows
// that it hears again; and it is returned if it does not. Reports every 4 s, leases of 10 s: between
// two of its reports it is not silent.
func TestMachineWithLostCommandsGetsNoMoreWork(t *testing.T) {
	for _, back := range []bool{false, true} {
		h := newHarness(t)
		h.settings.Facts.Workers.ReportS = 4
		h.heartbeat("a1", 1)
		workers := &outboundLostWorkers{harness: h, names: []string{"a1"}, began: h.clock.Now(), starts: map[uint64]bool{}}
		h.submit("run-000001", 30, func(x *api.Submission) { x.CPUs, x.MemoryGB, x.Types = 4, 4, []string{"m8"} })
		gone := workers.run(14*time.Second, func() {})
		if len(workers.starts) != 2 {
			t.Errorf("%d starts for a machine of two places that hears nothing, want one for each", len(workers.starts))
		}
		if len(h.jobs["run-000001"].allocations) != 0 {
			t.Error("its newer session did not prove that its tasks are gone")
		}
		if back {
			h.heartbeat("a1", 2)
			h.heartbeat("a1", 2)
			h.Place()
			h.commit()
			if n := len(h.jobs["run-000001"].allocations); n != 2 || len(gone) > 0 {
				t.Errorf("%d tasks given to the machine that hears again, returned %v", n, gone)
			}
			continue
		}
		clear(workers.starts)
		gone = append(gone, workers.run(20*time.Second, func() {})...)
		if len(workers.starts) != 0 || len(gone) != 1 {
			t.Errorf("%d starts, returned %v", len(workers.starts), gone)
		}
	}
}

// A whole zone whose machines hear nothing is one failure: none of 40 is returned for six leases, then
// they go a few at a time. The other zone's work goes on.
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
		t.Errorf("%d machines returned within six leases", len(gone))
	}
	if n := len(workers.run(20*time.Second, near)); n == 0 || n > 20 {
		t.Errorf("%d of 40 machines returned in the next 20 s", n)
	}
}
