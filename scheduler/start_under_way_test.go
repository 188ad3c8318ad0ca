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

// simulatedWorkers simulates workers that follow the protocol and whose messages the test delivers one by one. It
// records where each task runs, and tasks that start on a second machine.
type simulatedWorkers struct {
	*testing.T
	harness *harness
	workers map[string]*fake.Worker
	// runTime is how long a task runs.
	runTime time.Duration
	// failures holds, by machine, the cause with which its next starts fail at once; empty means that they do not fail.
	failures map[string]string

	// mu guards the fields below, because workers complete tasks on other goroutines.
	mu      sync.Mutex
	running fake.Placements[string]
	// duplicateStarts describes the tasks that started on one machine while they ran on another.
	duplicateStarts []string
}

func newSimulatedWorkers(t *testing.T, h *harness, names ...string) *simulatedWorkers {
	simulated := &simulatedWorkers{T: t, harness: h, workers: map[string]*fake.Worker{}, runTime: time.Hour, failures: map[string]string{}, running: fake.Placements[string]{}}
	for _, name := range names {
		simulated.add(name)
	}
	return simulated
}

// add adds a worker that has not sent a heartbeat yet.
func (p *simulatedWorkers) add(name string) {
	p.workers[name] = fake.NewWorker(fake.WorkerOptions{
		Host: fake.Host{Name: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name)}, Clock: p.harness.clock,
		HeartbeatInterval: time.Second, Lease: 10 * time.Second,
		TaskDuration: func(string) time.Duration { return p.runTime },
		OnStart:      func(task string, _ uint64, _ time.Time) { p.started(task, name) },
		OnEnd:        func(task string, _ bool) { p.ended(task, name) },
		StartFailure: func(string) string { return p.failures[name] },
	})
}

func (p *simulatedWorkers) ended(task, machine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running.End(task, machine)
}

func (p *simulatedWorkers) started(task, machine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	elsewhere, _ := p.running.Start(task, machine)
	for _, other := range elsewhere {
		p.duplicateStarts = append(p.duplicateStarts, task+" on "+other+" and "+machine)
	}
}

// startedTwice describes the tasks that started on one machine while they ran on another.
func (p *simulatedWorkers) startedTwice() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.duplicateStarts)
}

// heartbeat delivers a heartbeat of a worker to the leader and the response to the worker.
func (p *simulatedWorkers) heartbeat(name string) {
	sentHeartbeat := p.workers[name].NextHeartbeat()
	response, _, _ := p.harness.HandleHeartbeat(sentHeartbeat, "")
	p.workers[name].ApplyResponse(sentHeartbeat, p.harness.clock.Now(), response)
}

// join delivers a worker's first heartbeat and one more, which carries the term's token.
func (p *simulatedWorkers) join(name string) {
	p.heartbeat(name)
	p.heartbeat(name)
}

// deliverCommands delivers all pending direct commands and their answers.
func (p *simulatedWorkers) deliverCommands() {
	for h := p.harness; h.answeredCommands < len(h.sent); {
		sent := h.sent[h.answeredCommands]
		h.answeredCommands++
		heartbeat, _ := p.workers[sent.machine].ExecuteCommands(sent.response)
		h.HandleCommandOutcome(sent.machine, sent.response, heartbeat, true)
	}
}

// expectAttemptsCleared fails the test if a machine still lists an attempt after the given number of heartbeats, one
// per second.
func (p *simulatedWorkers) expectAttemptsCleared(name string, heartbeats int) {
	p.Helper()
	for range heartbeats {
		p.harness.clock.Advance(time.Second)
		p.heartbeat(name)
		p.deliverCommands()
	}
	if sentHeartbeat := p.workers[name].NextHeartbeat(); len(sentHeartbeat.Tasks) > 0 {
		p.Errorf("%s still lists attempts: %+v", name, sentHeartbeat.Tasks)
	}
}

// place places the pending tasks and writes the records.
func (p *simulatedWorkers) place() {
	p.harness.Place()
	p.harness.commit()
}

// Guards against a task that ran on two machines, seen with 4,000 machines under fault injection, where responses to
// heartbeats took seconds while direct commands were fast. A start was sent on both paths. The direct one arrived, and
// the task exited at once, was cleared and was started on another machine. Then the response arrived, and the first
// worker, which no longer knew the attempt, started it. The cause was that the leader dropped the pending starts when
// the attempt exited. The test delivers the messages in the same order.
func TestExitIsNotClearedWhileAHeartbeatResponseMayStartTheAttempt(t *testing.T) {
	const task = "run-000001/0"
	for _, cause := range []string{api.CauseError, api.CauseInsufficientResources, api.CauseNotFound, api.CauseStopped} {
		t.Run(cause, func(t *testing.T) {
			h := newHarness(t)
			simulated := newSimulatedWorkers(t, h, "a1", "b1")
			simulated.join("a1")
			h.submit("run-000001", 1, nil)
			simulated.place()

			overtaken := simulated.workers["a1"].NextHeartbeat()
			lateResponse, _, _ := h.HandleHeartbeat(overtaken, "")
			if !hasCommand(lateResponse, api.CommandRun, task) {
				t.Fatalf("the response does not repeat the start: %+v", lateResponse)
			}
			if cause != api.CauseStopped {
				simulated.failures["a1"] = cause
			}
			simulated.deliverCommands()
			if cause == api.CauseStopped {
				h.mu.Lock()
				h.stopTask(h.jobs["run-000001"].allocations[0], 0, "test")
				h.mu.Unlock()
				simulated.deliverCommands()
			}
			delete(simulated.failures, "a1")

			h.machines["a1"].refusedUntil = h.clock.Now().Add(time.Minute)
			h.clock.Advance(2 * time.Second)
			simulated.join("b1")
			simulated.place()
			simulated.deliverCommands()
			if !simulated.running[task]["b1"] {
				t.Fatal("the task does not run on the second machine")
			}
			simulated.workers["a1"].ApplyResponse(overtaken, h.clock.Now(), lateResponse)
			if twice := simulated.startedTwice(); len(twice) > 0 {
				t.Errorf("tasks ran on two machines: %v", twice)
			}
			simulated.expectAttemptsCleared("a1", 3)
		})
	}
}

// A worker reports two attempts of one task: an older one that has exited and is not cleared because a direct start for
// it may still arrive, and a newer one that runs. The running attempt must be recognized in any order of the list. Only
// the last entry of each task was considered, so that the running attempt counted as gone and the task was started
// elsewhere. Without raised tokens the older start is executed when it arrives; a raised token makes the worker refuse it.
func TestRunningAttemptIsRecognizedBesideExitedAttempt(t *testing.T) {
	for _, fencing := range []Fencing{FencingOff, FencingOn} {
		t.Run(fencing.String(), func(t *testing.T) { playAttemptBesideExitedAttempt(t, fencing) })
	}
}

// playAttemptBesideExitedAttempt starts a task on a1 again while an earlier attempt of it, whose direct start has no
// answer, is not cleared there, and delivers that start at the end.
func playAttemptBesideExitedAttempt(t *testing.T, fencing Fencing) {
	t.Helper()
	h := newHarness(t)
	h.fencing = fencing
	simulated := newSimulatedWorkers(t, h, "a1", "b1")
	simulated.join("a1")
	h.submit("run-000001", 1, nil)
	simulated.place()
	lost := h.sent[0]
	h.answeredCommands = len(h.sent)
	h.HandleCommandOutcome("a1", lost.response, nil, false)
	simulated.heartbeat("a1")
	simulated.heartbeat("a1")
	first := h.jobs["run-000001"].allocations[0]
	if !first.reported || first.starts.direct != 1 {
		t.Fatalf("first attempt %+v", first)
	}
	h.mu.Lock()
	h.stopTask(first, 0, "test")
	h.mu.Unlock()
	simulated.deliverCommands()
	simulated.heartbeat("a1")
	simulated.place()
	simulated.deliverCommands()
	if second := h.jobs["run-000001"].allocations[0]; second == nil || second == first || second.machine.Name != "a1" || len(simulated.workers["a1"].NextHeartbeat().Tasks) != 2 {
		t.Fatalf("no second attempt beside the first: %+v, %+v", second, simulated.workers["a1"].NextHeartbeat().Tasks)
	}
	h.machines["a1"].refusedUntil = h.clock.Now().Add(time.Minute)
	simulated.join("b1")
	for range 4 {
		h.clock.Advance(time.Second)
		simulated.heartbeat("a1")
		simulated.heartbeat("b1")
		simulated.place()
		simulated.deliverCommands()
	}
	if _, executed := simulated.workers["a1"].ExecuteCommands(lost.response); executed != (fencing == FencingOff) {
		t.Errorf("fencing %v: the delayed first start was executed: %v", fencing, executed)
	}
	if twice := simulated.startedTwice(); len(twice) > 0 {
		t.Errorf("tasks ran on two machines: %v", twice)
	}
}

// A task is allocated, and while its record is being stored another machine reports a running attempt of the task that
// is in no record. The leader sent a kill for that attempt and the start at the same time, so that the task ran on two
// machines until the kill arrived. An allocation whose start was never sent must be released in favour of the running
// attempt.
func TestUnsentStartYieldsToRunningAttempt(t *testing.T) {
	const task, unrecorded = "run-000001/0", 7
	for _, shape := range []string{api.JobArray, api.Service} {
		t.Run(shape, func(t *testing.T) {
			h := newHarness(t)
			simulated := newSimulatedWorkers(t, h, "a1", "b1")
			simulated.join("a1")
			h.submit("run-000001", 1, func(job *api.Submission) { job.Shape = shape })
			h.Place()
			if placed := h.jobs["run-000001"].allocations[0]; placed == nil || placed.committed {
				t.Fatalf("want an allocation whose record is not stored, got %+v", placed)
			}
			simulated.workers["b1"].ExecuteCommands(api.HeartbeatResponse{Term: h.term, Incarnation: simulated.workers["b1"].NextHeartbeat().Incarnation,
				Commands: []api.Command{{Verb: api.CommandRun, Task: task, Attempt: unrecorded}}})
			if !simulated.running[task]["b1"] {
				t.Fatal("the unrecorded attempt does not run")
			}
			for range 3 {
				sentHeartbeat := simulated.workers["b1"].NextHeartbeat()
				slowResponse, _, _ := h.HandleHeartbeat(sentHeartbeat, "")
				h.commit()
				simulated.deliverCommands()
				simulated.heartbeat("a1")
				h.clock.Advance(time.Second)
				simulated.workers["b1"].ApplyResponse(sentHeartbeat, h.clock.Now(), slowResponse)
				simulated.place()
			}
			if twice := simulated.startedTwice(); len(twice) > 0 {
				t.Errorf("tasks ran on two machines: %v", twice)
			}
			if alloc := h.jobs["run-000001"].allocations[0]; !simulated.running[task]["b1"] || alloc == nil || alloc.machine.Name != "b1" || alloc.attempt != unrecorded {
				t.Errorf("the running attempt is not the task's allocation: %+v", alloc)
			}
			if machine := h.machines["a1"]; len(machine.allocations) != 0 || machine.used != (fleet.Resources{}) {
				t.Errorf("resources %v are still allocated on the first machine", machine.used)
			}
			if alloc := h.elect().jobs["run-000001"].allocations[0]; alloc == nil || alloc.machine.Name != "b1" || alloc.attempt != unrecorded {
				t.Errorf("the next leader does not know the attempt: %+v", alloc)
			}
		})
	}
}
