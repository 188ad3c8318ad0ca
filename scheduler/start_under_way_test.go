package scheduler

import (
	"slices"
	"sync"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/internal/fake"
)

// playedWorkers are workers that keep the protocol and whose messages the test delivers one by one. They note where each
// task runs, and when a second machine starts one.
type playedWorkers struct {
	*testing.T
	harness *harness
	workers map[string]*fake.Worker
	// runTime is how long a task runs.
	runTime time.Duration
	// failures is why a machine's next starts end at once, by machine.
	failures map[string]string

	// mu guards the fields below, as workers complete tasks on goroutines of their own.
	mu      sync.Mutex
	running fake.Placements[string]
	// twice are tasks that started on one machine while they ran on another.
	twice []string
}

func newPlayedWorkers(t *testing.T, h *harness, names ...string) *playedWorkers {
	played := &playedWorkers{T: t, harness: h, workers: map[string]*fake.Worker{}, runTime: time.Hour, failures: map[string]string{}, running: fake.Placements[string]{}}
	for _, name := range names {
		played.add(name)
	}
	return played
}

// add adds a worker that has not reported yet.
func (p *playedWorkers) add(name string) {
	p.workers[name] = fake.NewWorker(fake.WorkerOptions{
		Host: fake.Host{Name: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name)}, Clock: p.harness.clock,
		Every: time.Second, Lease: 10 * time.Second,
		Runs:   func(string) time.Duration { return p.runTime },
		Starts: func(task string, _ uint64, _ time.Time) { p.started(task, name) },
		Ends:   func(task string, _ bool) { p.ended(task, name) },
		Fails:  func(string) string { return p.failures[name] },
	})
}

func (p *playedWorkers) ended(task, machine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running.End(task, machine)
}

func (p *playedWorkers) started(task, machine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	elsewhere, _ := p.running.Start(task, machine)
	for _, other := range elsewhere {
		p.twice = append(p.twice, task+" on "+other+" and "+machine)
	}
}

// startedTwice are the tasks that started on one machine while they ran on another.
func (p *playedWorkers) startedTwice() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.twice)
}

// heartbeat has a worker report and executes the response.
func (p *playedWorkers) heartbeat(name string) {
	report := p.workers[name].Report()
	response, _, _ := p.harness.HandleHeartbeat(report, "")
	p.workers[name].Answer(report, p.harness.clock.Now(), response)
}

// join has a worker report for the first time, and then with the term's token.
func (p *playedWorkers) join(name string) {
	p.heartbeat(name)
	p.heartbeat(name)
}

// answerCommands delivers all direct commands that wait, and their answers.
func (p *playedWorkers) answerCommands() {
	for h := p.harness; h.answered < len(h.sent); {
		sent := h.sent[h.answered]
		h.answered++
		heartbeat, _ := p.workers[sent.machine].Direct(sent.response)
		h.CommandsAnswered(sent.machine, sent.response, heartbeat, true)
	}
}

// expectForgotten fails the test if a machine still lists an attempt after so many heartbeats, a second apart.
func (p *playedWorkers) expectForgotten(name string, heartbeats int) {
	p.Helper()
	for range heartbeats {
		p.harness.clock.Advance(time.Second)
		p.heartbeat(name)
		p.answerCommands()
	}
	if report := p.workers[name].Report(); len(report.Tasks) > 0 {
		p.Errorf("%s never forgets its attempts: %+v", name, report.Tasks)
	}
}

// place places and commits what waits.
func (p *playedWorkers) place() {
	p.harness.Place()
	p.harness.commit()
}

// The operators saw a task on two machines at some 4,000 of them, under faults. There, responses to heartbeats take
// seconds while direct commands are quick. A start went out in both; the direct one arrived, the task ended at once and was
// cleared, and went to another machine. Then the response arrived, and the first worker, which knew the attempt no more,
// started it. The end of an attempt had forgotten which starts of it were still under way; the same order of messages,
// played here, started the task twice.
func TestExitIsNotClearedWhileAHeartbeatResponseMayStartTheAttempt(t *testing.T) {
	const task = "run-000001/0"
	for _, cause := range []string{api.CauseError, api.CauseNoRoom, api.CauseUnknown, api.CauseStopped} {
		t.Run(cause, func(t *testing.T) {
			h := newHarness(t)
			played := newPlayedWorkers(t, h, "a1", "b1")
			played.join("a1")
			h.submit("run-000001", 1, nil)
			played.place()

			overtaken := played.workers["a1"].Report()
			late, _, _ := h.HandleHeartbeat(overtaken, "")
			if !hasCommand(late, api.CommandRun, task) {
				t.Fatalf("the response repeats no start: %+v", late)
			}
			if cause != api.CauseStopped {
				played.failures["a1"] = cause
			}
			played.answerCommands()
			if cause == api.CauseStopped {
				h.mu.Lock()
				h.stopTask(h.jobs["run-000001"].allocations[0], 0, "test")
				h.mu.Unlock()
				played.answerCommands()
			}
			delete(played.failures, "a1")

			h.machines["a1"].refusedUntil = h.clock.Now().Add(time.Minute)
			h.clock.Advance(2 * time.Second)
			played.join("b1")
			played.place()
			played.answerCommands()
			if !played.running[task]["b1"] {
				t.Fatal("the task does not run on the second machine")
			}
			played.workers["a1"].Answer(overtaken, h.clock.Now(), late)
			if twice := played.startedTwice(); len(twice) > 0 {
				t.Errorf("ran twice: %v", twice)
			}
			played.expectForgotten("a1", 3)
		})
	}
}

// A worker reports two attempts of one task, the older one ended and not cleared since a direct start of it may still
// arrive. The newer one, which runs, is on the machine whatever the order of the list. Only one entry a task was looked at,
// the last one, so that the running attempt counted as gone and the task went to another machine.
func TestRunningAttemptIsSeenBesideAnEarlierOne(t *testing.T) {
	h := newHarness(t)
	played := newPlayedWorkers(t, h, "a1", "b1")
	played.join("a1")
	h.submit("run-000001", 1, nil)
	played.place()
	lost := h.sent[0]
	h.answered = len(h.sent)
	h.CommandsAnswered("a1", lost.response, nil, false)
	played.heartbeat("a1")
	played.heartbeat("a1")
	first := h.jobs["run-000001"].allocations[0]
	if !first.reported || first.starts.direct != 1 {
		t.Fatalf("first attempt %+v", first)
	}
	h.mu.Lock()
	h.stopTask(first, 0, "test")
	h.mu.Unlock()
	played.answerCommands()
	played.heartbeat("a1")
	played.place()
	played.answerCommands()
	if second := h.jobs["run-000001"].allocations[0]; second == nil || second == first || second.machine.Name != "a1" || len(played.workers["a1"].Report().Tasks) != 2 {
		t.Fatalf("no second attempt beside the first: %+v, %+v", second, played.workers["a1"].Report().Tasks)
	}
	h.machines["a1"].refusedUntil = h.clock.Now().Add(time.Minute)
	played.join("b1")
	for range 4 {
		h.clock.Advance(time.Second)
		played.heartbeat("a1")
		played.heartbeat("b1")
		played.place()
		played.answerCommands()
	}
	if _, executed := played.workers["a1"].Direct(lost.response); !executed {
		t.Error("the first start can arrive no more")
	}
	if twice := played.startedTwice(); len(twice) > 0 {
		t.Errorf("ran twice: %v", twice)
	}
}

// A task was placed, and while its record was being stored another machine reported that it runs there, by an attempt of
// which no record told. Its machine was sent a kill, and the start went out at the same time: the task ran on two machines
// until the kill arrived. An allocation whose start was never sent gives way to the attempt that runs.
func TestUnsentStartGivesWayToAnAttemptThatRuns(t *testing.T) {
	const task, unrecorded = "run-000001/0", 7
	for _, shape := range []string{api.JobArray, api.Service} {
		t.Run(shape, func(t *testing.T) {
			h := newHarness(t)
			played := newPlayedWorkers(t, h, "a1", "b1")
			played.join("a1")
			h.submit("run-000001", 1, func(job *api.Submission) { job.Shape = shape })
			h.Place()
			if placed := h.jobs["run-000001"].allocations[0]; placed == nil || placed.committed {
				t.Fatalf("no allocation that waits for its record: %+v", placed)
			}
			played.workers["b1"].Direct(api.HeartbeatResponse{Term: h.term, Incarnation: played.workers["b1"].Report().Incarnation,
				Commands: []api.Command{{Verb: api.CommandRun, Task: task, Attempt: unrecorded}}})
			if !played.running[task]["b1"] {
				t.Fatal("the unrecorded attempt does not run")
			}
			for range 3 {
				report := played.workers["b1"].Report()
				slow, _, _ := h.HandleHeartbeat(report, "")
				h.commit()
				played.answerCommands()
				played.heartbeat("a1")
				h.clock.Advance(time.Second)
				played.workers["b1"].Answer(report, h.clock.Now(), slow)
				played.place()
			}
			if twice := played.startedTwice(); len(twice) > 0 {
				t.Errorf("ran twice: %v", twice)
			}
			if alloc := h.jobs["run-000001"].allocations[0]; !played.running[task]["b1"] || alloc == nil || alloc.machine.Name != "b1" || alloc.attempt != unrecorded {
				t.Errorf("the attempt that runs is not the task's: %+v", alloc)
			}
			if machine := h.machines["a1"]; len(machine.allocations) != 0 || machine.used != (fleet.Resources{}) {
				t.Errorf("the first machine keeps %v of it", machine.used)
			}
			if alloc := h.elect().jobs["run-000001"].allocations[0]; alloc == nil || alloc.machine.Name != "b1" || alloc.attempt != unrecorded {
				t.Errorf("the next leader does not know the attempt: %+v", alloc)
			}
		})
	}
}
