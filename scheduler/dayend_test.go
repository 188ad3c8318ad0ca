package scheduler

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// deafWorkers are machines whose reports arrive, and which no answer or command reaches: each turns
// to the next controller after 5 s, and its session rises with each lease.
type deafWorkers struct {
	s       *stage
	names   []string
	began   time.Time
	reports int
	// starts are the attempts that it was told to start.
	starts map[uint64]bool
}

func (w *deafWorkers) run(d time.Duration, others func()) (returned []string) {
	s := w.s
	for ; d > 0; d -= tuning.TendEvery {
		s.clock.Advance(tuning.TendEvery)
		others()
		if since := s.clock.Since(w.began); since >= time.Duration(w.reports+1)*5*time.Second {
			w.reports++
			via := []string{"", "n1", "n2"}[w.reports%3]
			for _, n := range w.names {
				r := &api.Heartbeat{Machine: n, Address: n + ":1", Type: "m8", Zone: zoneOf(n), Incarnation: 1 + uint64(since/(10*time.Second)), Seq: s.next(n), Term: s.term}
				o, _, _ := s.HandleHeartbeat(r, via)
				w.count(o.Commands)
			}
		}
		s.Place()
		s.commit()
		s.Scheduler.Committed()
		for ; s.answered < len(s.sent); s.answered++ {
			o := s.sent[s.answered]
			deaf := false
			for _, n := range w.names {
				deaf = deaf || n == o.name
			}
			if deaf {
				w.count(o.o.Commands)
				s.CommandsAnswered(o.name, o.o, nil, false)
			} else {
				s.CommandsAnswered(o.name, o.o, nil, true)
			}
		}
		returned = append(returned, s.MaintainFleet()...)
	}
	return returned
}

func (w *deafWorkers) count(cs []api.Command) {
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
func TestHalfDeafMachineIsGivenNoMoreWork(t *testing.T) {
	for _, back := range []bool{false, true} {
		s := newStage(t)
		s.settings.Facts.Workers.ReportS = 4
		s.report("a1", 1)
		w := &deafWorkers{s: s, names: []string{"a1"}, began: s.clock.Now(), starts: map[uint64]bool{}}
		s.submit("run-000001", 30, func(x *api.Submission) { x.CPUs, x.MemoryGB, x.Types = 4, 4, []string{"m8"} })
		gone := w.run(14*time.Second, func() {})
		if len(w.starts) != 2 {
			t.Errorf("%d starts for a machine of two places that hears nothing, want one for each", len(w.starts))
		}
		if len(s.jobs["run-000001"].allocations) != 0 {
			t.Error("its newer session did not prove that its tasks are gone")
		}
		if back {
			s.report("a1", 2)
			s.report("a1", 2)
			s.Place()
			s.commit()
			if n := len(s.jobs["run-000001"].allocations); n != 2 || len(gone) > 0 {
				t.Errorf("%d tasks given to the machine that hears again, returned %v", n, gone)
			}
			continue
		}
		clear(w.starts)
		gone = append(gone, w.run(20*time.Second, func() {})...)
		if len(w.starts) != 0 || len(gone) != 1 {
			t.Errorf("%d starts, returned %v", len(w.starts), gone)
		}
	}
}

// A whole zone whose machines hear nothing is one failure: none of 40 is returned for six leases, then
// they go a few at a time. The other zone's work goes on.
func TestHalfDeafZoneIsOneFailure(t *testing.T) {
	s := newStage(t)
	s.settings.Facts.Workers.ReportS = 4
	w := &deafWorkers{s: s, began: s.clock.Now(), starts: map[uint64]bool{}}
	for i := range 40 {
		w.names = append(w.names, fmt.Sprintf("b%d", i))
		s.report(w.names[i], 1)
	}
	near := func() {
		for i := range 40 {
			s.report(fmt.Sprintf("a%d", i), 1)
		}
	}
	if gone := w.run(60*time.Second, near); len(gone) > 0 {
		t.Errorf("%d machines returned within six leases", len(gone))
	}
	if n := len(w.run(20*time.Second, near)); n == 0 || n > 20 {
		t.Errorf("%d of 40 machines returned in the next 20 s", n)
	}
}

// Copies of a machine's reports kept it alive: it was given up only when they ended, its tasks waited,
// and more were given to it.
func TestCopiesKeepNoMachineAlive(t *testing.T) {
	s := newStage(t)
	all := func() { s.report("a1", 1); s.report("b1", 1) }
	all()
	s.submit("run-000001", 1, func(x *api.Submission) { x.Zone = "b" })
	s.Place()
	s.commit()
	s.answerAll()
	at := s.starts("run-000001/0")[0].o.Commands[0].Attempt
	running := task("run-000001/0", at, api.TaskRunning, "")
	old := s.seq["b1"]
	s.rounds(5*time.Second, func() { s.report("a1", 1); s.report("b1", 1, running) })
	last := s.seq["b1"]
	notice := 1.0
	gone := s.rounds(8*time.Second, func() {
		s.report("a1", 1)
		for seq := old; seq <= last; seq++ {
			r := &api.Heartbeat{Machine: "b1", Address: "b1:1", Type: "m8", Zone: "b", Incarnation: 1, Seq: seq, Term: s.term, PreemptionNoticeS: &notice}
			if o, _, _ := s.HandleHeartbeat(r, "n1"); len(o.Commands) > 0 {
				t.Error("a copy's answer carries commands")
			}
			s.HandleRelayedHeartbeat("n2", r)
		}
	})
	if len(gone) != 1 || gone[0] != "b1" {
		t.Fatalf("returned %v, want the machine that only copies speak for", gone)
	}
	if machine := s.machines["b1"]; machine.relayPeer != "" || machine.lastPeer != "" || !machine.PreemptedAt.IsZero() {
		t.Errorf("copies set its way or its notice: %q %q %v", machine.relayPeer, machine.lastPeer, machine.PreemptedAt)
	}
	s.InstancesReleased([]string{"b1"}, nil)
	s.reportAt("b1", 1, last, s.term, running)
	if s.machines["b1"] != nil {
		t.Error("a copy brought a returned machine back")
	}
}

// To a new leader a copy of what a machine said before it died is its first report. It made a machine
// that was offered room, and that was counted as supply; a copy that the cloud's list and no record
// bears out is forgotten, and returned is nothing.
func TestFirstReportMayBeACopy(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 30, nil)
	s.elect()
	notice := 5.0
	for i := range 3 {
		n := fmt.Sprintf("a%d", 7+i)
		o, _, _ := s.HandleHeartbeat(&api.Heartbeat{Machine: n, Address: n + ":1", Type: "m8", Zone: "a", Incarnation: 4, Seq: 300, Term: s.term - 3, PreemptionNoticeS: &notice}, "")
		s.Place()
		if machine := s.machines[n]; machine == nil || len(machine.allocations) > 0 || len(o.Commands) > 0 || s.schedulable(machine) {
			t.Fatalf("a first report with an old token brought work: %+v", o)
		}
	}
	if all, _ := s.supply(); all != 0 {
		t.Errorf("%v processors counted as there", all)
	}
	if gone := s.rounds(30*time.Second, func() { s.report("a1", 1) }); len(gone) > 0 || len(s.machines) != 1 {
		t.Errorf("returned %v, left %d machines", gone, len(s.machines))
	}
	// One that lives hears the token and says so at once.
	s.reportAt("a8", 4, 301, s.term-3)
	s.reportAt("a8", 4, 302, s.term)
	if !s.schedulable(s.machines["a8"]) {
		t.Error("a machine that carries our token gets no work")
	}
}

// What a first report of an old term lacks is no proof, whoever sends it: the task counts as there.
func TestAbsenceIsNotBelievedFromAFirstReport(t *testing.T) {
	s := newStage(t)
	st := s.started("run-000001")
	s.report("a1", 1, task("run-000001/0", st.o.Commands[0].Attempt, api.TaskRunning, ""))
	s.elect()
	s.reportAt("a1", 1, 1, s.term-1)
	if len(s.jobs["run-000001"].allocations) != 1 {
		t.Error("an old report proved that a task is gone")
	}
}

// flood lets time pass with machines full of a stream of small tasks of 20 s each that never ends: each
// that is done is followed by another job. It gives when a task of the job was first given a machine.
func (s *stage) flood(machines int, id string, most time.Duration, small func(*api.Submission), stop func() bool) (began time.Duration) {
	from := s.clock.Now()
	type run struct {
		key     string
		attempt uint64
		ends    time.Time
	}
	on := map[string][]run{}
	for began = -1; s.clock.Since(from) < most && !stop(); {
		for s.waiting("s") < 20*machines {
			s.submit(fmt.Sprintf("run-%06d", 1000+s.next("jobs")), 3, func(x *api.Submission) {
				x.Class, x.CPUs, x.MemoryGB, x.EstimateS, x.DeadlineS = "s", 1, 1, 20, 120
				small(x)
			})
		}
		s.Place()
		s.commit()
		s.Scheduler.Committed()
		for ; s.answered < len(s.sent); s.answered++ {
			o := s.sent[s.answered]
			for _, c := range o.o.Commands {
				if c.Verb == api.CommandRun {
					on[o.name] = append(on[o.name], run{c.Task, c.Attempt, s.clock.Now().Add(time.Duration(15+c.Attempt*7%11) * time.Second)})
				}
			}
			s.CommandsAnswered(o.name, o.o, nil, true)
		}
		s.clock.Advance(500 * time.Millisecond)
		for i := range machines {
			m, keep := fmt.Sprintf("a%d", i), []run(nil)
			var all []api.TaskReport
			for _, r := range on[m] {
				if s.clock.Now().After(r.ends) {
					all = append(all, task(r.key, r.attempt, api.TaskExited, api.CauseDone))
				} else {
					keep = append(keep, r)
					all = append(all, task(r.key, r.attempt, api.TaskRunning, ""))
				}
			}
			on[m] = keep
			s.report(m, 1, all...)
		}
		if job := s.jobs[id]; began < 0 && (job == nil || len(job.allocations) > 0 && (job.Job.Shape != api.Gang || len(job.allocations) == job.taskCount)) {
			began = s.clock.Since(from)
		}
	}
	return began
}

func (s *stage) waiting(class string) (n int) {
	for _, job := range s.jobOrder {
		if job.Job.Class == class {
			n += len(job.pending) + job.queued
		}
	}
	return n
}

// While small jobs never stop coming, jobs that need a whole machine, many of them at once, or much
// work, and those of rank low never began: what ended made room for a smaller task at once, and those
// that can still be in time went first. Each begins within the four minutes that users bear, and what is
// kept for it does not stop the others.
func TestNobodyStarves(t *testing.T) {
	for _, c := range []struct {
		name string
		job  func(*api.Submission)
		// small changes what comes all the time.
		small func(*api.Submission)
		tasks int
	}{
		{"a task as large as a machine", func(x *api.Submission) { x.CPUs = 8 }, func(*api.Submission) {}, 2},
		{"rank low", func(x *api.Submission) { x.CPUs, x.Rank = 1, "low" }, func(*api.Submission) {}, 3},
		{"rank low among high, as large as a machine", func(x *api.Submission) { x.CPUs, x.Rank = 8, "low" }, func(x *api.Submission) { x.Rank = "high" }, 1},
		{"a huge array that is late", func(x *api.Submission) { x.CPUs, x.EstimateS, x.DeadlineS = 4, 100, 50 }, func(x *api.Submission) { x.DeadlineS = 300 }, 3000},
		{"a gang of most of the fleet", func(x *api.Submission) { x.Shape, x.CPUs = api.Gang, 8 }, func(*api.Submission) {}, 5},
	} {
		s := newStage(t)
		for i := range 6 {
			s.report(fmt.Sprintf("a%d", i), 1)
		}
		s.flood(6, "", 40*time.Second, c.small, func() bool { return false })
		s.submit("run-000001", c.tasks, func(x *api.Submission) { x.Class, x.EstimateS, x.MemoryGB = "l", 60, 1; c.job(x) })
		at := s.flood(6, "run-000001", 300*time.Second, c.small, func() bool { j := s.jobs["run-000001"]; return j == nil || len(j.allocations) > 0 })
		if at < 0 || at > 240*time.Second {
			t.Errorf("%s: began after %v", c.name, at)
		}
	}
}

// A fleet with room to spare had no machine on which a job may run, and none was rented: rentals looked
// at processors in all. One is, once, and not again while it boots.
func TestMachineIsRentedForAJobThatNoneCanServe(t *testing.T) {
	s := newStage(t)
	for i := range 5 {
		s.report(fmt.Sprintf("a%d", i), 1)
	}
	s.submit("run-000001", 1, func(x *api.Submission) { x.Zone = "b" })
	s.rounds(4*time.Second, func() {
		for i := range 5 {
			s.report(fmt.Sprintf("a%d", i), 1)
		}
	})
	rs := s.InstanceRequests()
	if len(rs) != 1 || rs[0].Zone != "b" || rs[0].Count != 1 {
		t.Fatalf("rented %+v", rs)
	}
	s.InstancesGranted(rs[0], []string{"b1"}, nil)
	if again := s.InstanceRequests(); len(again) != 0 {
		t.Errorf("rented again: %+v", again)
	}
}
