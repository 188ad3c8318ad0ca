package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
)

// muteWorkers are machines that obey commands, and whose reports arrive only while heard is set.
type muteWorkers struct {
	s     *stage
	heard map[string]bool
	all   map[string]*fake.Worker
	// begun are the starts on each machine.
	begun map[string]int
	gone  []string
}

func newMute(s *stage, names ...string) *muteWorkers {
	w := &muteWorkers{s: s, heard: map[string]bool{}, all: map[string]*fake.Worker{}, begun: map[string]int{}}
	for _, n := range names {
		w.heard[n] = true
		w.all[n] = fake.NewWorker(fake.WorkerOptions{Host: fake.Host{Name: n, Address: n + ":1", Type: "m8", Zone: zoneOf(n)}, Clock: s.clock,
			Every: time.Second, Lease: 10 * time.Second, Runs: func(string) time.Duration { return time.Hour }})
	}
	return w
}

// run lets time pass: machines that are heard report once a second, all answer what they are sent.
func (w *muteWorkers) run(d time.Duration) {
	s := w.s
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); s.clock.Advance(500 * time.Millisecond) {
		for _, n := range slices.Sorted(maps.Keys(w.all)) {
			x := w.all[n]
			if w.heard[n] && s.clock.Now().UnixMilli()%1000 < 500 {
				w.deliver(n, x.Report())
			}
		}
		w.gone = append(w.gone, s.MaintainFleet()...)
		s.Place()
		s.commit()
		for ; s.answered < len(s.sent); s.answered++ {
			o := s.sent[s.answered]
			w.count(o.name, o.o.Commands)
			if w.all[o.name] == nil {
				s.CommandsAnswered(o.name, o.o, nil, false)
				continue
			}
			r, _ := w.all[o.name].Direct(o.o)
			s.CommandsAnswered(o.name, o.o, r, true)
		}
	}
}

func (w *muteWorkers) count(name string, cs []api.Command) {
	for _, c := range cs {
		if c.Verb == api.CommandRun {
			w.begun[name]++
		}
	}
}

// deliver carries a report and its answer.
func (w *muteWorkers) deliver(name string, r *api.Heartbeat) {
	o, _, _ := w.s.HandleHeartbeat(r, "")
	w.count(name, o.Commands)
	w.all[name].Answer(r, w.s.clock.Now(), o)
}

// A machine that reaches no controller obeys commands: it gets nothing new, what runs there goes on elsewhere before
// its lease ends it, and it is told from a silent one, so that it is not returned and is useful again at once. It was
// returned after 3.2 report intervals, and its replacement took a boot.
func TestMuteMachineGetsNoMoreWork(t *testing.T) {
	s := newStage(t)
	w := newMute(s, "a1", "a2", "a3", "a4")
	for n := range w.heard {
		w.heard[n] = n == "a1"
	}
	w.run(time.Second)
	s.submit("run-000001", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	s.submit("run-000002", 1, nil)
	w.run(time.Second)
	if len(s.machines["a1"].allocations) != 2 {
		t.Fatalf("%d tasks on a1", len(s.machines["a1"].allocations))
	}
	for n := range w.heard {
		w.heard[n] = n != "a1"
	}
	before := w.begun["a1"]
	w.run(6 * time.Second)
	for _, id := range []string{"run-000001", "run-000002"} {
		if alloc := s.jobs[id].allocations[0]; alloc == nil || alloc.machine.Name == "a1" || alloc.state != api.TaskRunning {
			t.Errorf("%s does not run elsewhere 6 s after its machine fell mute: %+v", id, alloc)
		}
	}
	s.submit("run-000003", 20, nil)
	w.run(2 * time.Second)
	if why := strings.Join(s.waitReasons(s.jobs["run-000003"]), ""); !strings.Contains(why, "1 answer commands and reach no controller (mute)") {
		t.Errorf("an operator is told %q", why)
	}
	w.run(6 * time.Second)
	if w.begun["a1"] != before || len(w.gone) > 0 {
		t.Errorf("%d starts on the mute machine, returned %v", w.begun["a1"]-before, w.gone)
	}
	w.heard["a1"] = true
	w.run(2 * time.Second)
	if w.begun["a1"] == before {
		t.Error("no work 2 s after it was heard again")
	}
	// One that stays mute is given up in the end.
	w.heard["a1"] = false
	w.run(22 * time.Second)
	if len(w.gone) != 1 || w.gone[0] != "a1" {
		t.Errorf("returned %v", w.gone)
	}
}

// Most of a zone is mute: something stands between it and the controllers. What runs there is left alone as long as
// its leases live, and no machine is returned; what its lease has ended is known at once by its newer session.
func TestMuteZoneIsLeftAlone(t *testing.T) {
	s := newStage(t)
	w := newMute(s, "a1", "b1", "b2", "b3", "b4")
	w.run(time.Second)
	s.submit("run-000001", 8, func(x *api.Submission) { x.Zone = "b" })
	w.run(2 * time.Second)
	for n := range w.heard {
		w.heard[n] = n == "a1"
	}
	w.run(9 * time.Second)
	if n := len(s.jobs["run-000001"].allocations); n != 8 || len(w.gone) > 0 {
		t.Errorf("%d of 8 tasks are left, returned %v", n, w.gone)
	}
	w.run(4 * time.Second)
	if n := len(s.jobs["run-000001"].allocations); n != 0 || len(w.gone) > 0 {
		t.Errorf("%d tasks count 13 s after the last report, though their leases have ended; returned %v", n, w.gone)
	}
}

// Reports that make no sense move nothing: of tasks that nobody has, with a tally that falls, of a machine that nobody
// rented, and of an earlier session, minutes late.
func TestReportsThatMakeNoSense(t *testing.T) {
	s := newStage(t)
	w := newMute(s, "a1", "a2")
	w.run(time.Second)
	s.submit("run-000001", 2, nil)
	w.run(2 * time.Second)
	where := func() (out []string) {
		for _, i := range slices.Sorted(maps.Keys(s.jobs["run-000001"].allocations)) {
			alloc := s.jobs["run-000001"].allocations[i]
			out = append(out, fmt.Sprint(alloc.machine.Name, alloc.attempt, alloc.state))
		}
		return out
	}
	before, begun := where(), len(w.begun)
	odd := func(name string, session, seq uint64, tasks ...api.TaskReport) {
		s.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: session, Seq: seq, Term: s.term, Tasks: tasks}, "")
	}
	for range 20 {
		odd("a9", 1, 1, task("run-000001/0", 7, api.TaskRunning, ""), task("run-000001/99", 7, api.TaskRunning, ""))
		odd("a1", 1, 1)
		odd("a1", 0, 1<<40, task("run-000001/0", 1, api.TaskExited, api.CauseStopped))
		odd("a2", 1, 2, task("none", 0, "", ""), task("run-000001/-1", 1, api.TaskRunning, ""), task("run-999999/0", 1, api.TaskRunning, ""), task("run-000001/1/2", 1, "asleep", "?"))
		w.run(5 * time.Second)
	}
	if len(before) != 2 || !slices.Equal(where(), before) || len(w.begun) != begun || slices.Contains(w.gone, "a1") || slices.Contains(w.gone, "a2") {
		t.Errorf("tasks stood at %v, now at %v; returned %v", before, where(), w.gone)
	}
}
