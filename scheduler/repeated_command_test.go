package scheduler

import (
	"slices"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// repeatedCommandScenario plays a job whose direct start commands are executed and answered on machine a1, and are
// delivered there once more after the machine has forgotten their attempts.
type repeatedCommandScenario struct {
	*simulatedWorkers
	// starts are the start commands that a1 executed and answered.
	starts []sentCommands
}

const repeatedJob = "run-000001"

// newRepeatedCommandScenario submits the job, changed by change if that is not nil, and starts its tasks on a1.
func newRepeatedCommandScenario(t *testing.T, change func(*api.Submission)) *repeatedCommandScenario {
	h := newHarness(t)
	scenario := &repeatedCommandScenario{simulatedWorkers: newSimulatedWorkers(t, h, "a1", "b1")}
	scenario.join("a1")
	h.submit(repeatedJob, 1, change)
	return scenario
}

// start places the job and executes its start commands on a1.
func (s *repeatedCommandScenario) start() {
	s.Helper()
	s.place()
	for _, sent := range s.harness.sent {
		if sent.machine == "a1" && sent.response.Commands[0].Verb == api.CommandRun {
			s.starts = append(s.starts, sent)
		}
	}
	s.deliverCommands()
	if len(s.starts) == 0 {
		s.Fatal("no start was sent to a1")
	}
}

// startUnrecorded executes a start command of this term on a1 that the leader does not know.
func (s *repeatedCommandScenario) startUnrecorded() {
	const unrecorded = 7
	term := s.harness.term
	start := api.HeartbeatResponse{Term: term, Incarnation: 1, Commands: []api.Command{{Verb: api.CommandRun, Task: repeatedJob + "/0", Attempt: term<<tuning.AttemptBits + unrecorded}}}
	s.workers["a1"].ExecuteCommands(start)
	s.starts = append(s.starts, sentCommands{"a1", start})
}

// stop makes the leader stop all tasks of the job.
func (s *repeatedCommandScenario) stop(reason string) {
	s.harness.mu.Lock()
	defer s.harness.mu.Unlock()
	for _, alloc := range s.harness.jobs[repeatedJob].allocations {
		s.harness.stopTask(alloc, 0, reason)
	}
}

// round lets a second pass in which every worker sends a heartbeat and the leader places and commands.
func (s *repeatedCommandScenario) round() {
	h := s.harness
	h.clock.Advance(time.Second)
	if machine := h.machines["a1"]; machine != nil {
		machine.refusedUntil = h.clock.Now().Add(time.Minute)
	}
	s.heartbeat("a1")
	s.heartbeat("b1")
	s.place()
	s.deliverCommands()
}

// roundsUntilForgotten plays rounds until a1 has forgotten all attempts, and fails the test if that takes too long.
func (s *repeatedCommandScenario) roundsUntilForgotten() {
	s.Helper()
	for range 2 * tuning.RelayedCommandHeartbeats {
		s.round()
		if len(s.workers["a1"].NextHeartbeat().Tasks) == 0 {
			return
		}
	}
	s.Fatalf("a1 has not forgotten its attempts: %+v", s.workers["a1"].NextHeartbeat().Tasks)
}

// repeatStarts delivers the start commands once more and fails the test if a1 starts anything.
func (s *repeatedCommandScenario) repeatStarts(when string) {
	s.Helper()
	for _, sent := range s.starts {
		heartbeat, executed := s.workers["a1"].ExecuteCommands(sent.response)
		unfinished := func(report api.TaskReport) bool { return report.State != api.TaskExited }
		if executed && slices.ContainsFunc(heartbeat.Tasks, unfinished) {
			s.Errorf("%s, a repeated start was executed: %+v", when, heartbeat.Tasks)
		}
	}
	if twice := s.startedTwice(); len(twice) > 0 {
		s.Errorf("%s: tasks ran on two machines: %v", when, twice)
	}
}

// Guards against ran_twice of incident repeated-start-after-clear.
func TestStartRepeatedAfterItsClearStartsNothing(t *testing.T) {
	shaped := func(shape string, tasks int) func(*api.Submission) {
		return func(submission *api.Submission) { submission.Shape, submission.Tasks = shape, tasks }
	}
	fail := func(cause string) func(*repeatedCommandScenario) {
		return func(s *repeatedCommandScenario) {
			s.failures["a1"] = cause
			s.start()
			delete(s.failures, "a1")
		}
	}
	stop := func(reason string) func(*repeatedCommandScenario) {
		return func(s *repeatedCommandScenario) {
			s.start()
			s.stop(reason)
			s.deliverCommands()
		}
	}
	cases := []struct {
		name string
		// change changes the submission; play makes the attempts on a1 end.
		change func(*api.Submission)
		play   func(*repeatedCommandScenario)
	}{
		{"failed", nil, fail(api.CauseError)},
		{"refused for resources", nil, fail(api.CauseInsufficientResources)},
		{"refused for another attempt", nil, fail(api.CauseConflictingAttempt)},
		{"refused as unknown", nil, fail(api.CauseNotFound)},
		{"preempted", nil, stop("preempted")},
		{"service failed", shaped(api.Service, 2), fail(api.CauseError)},
		{"service stopped", shaped(api.Service, 2), stop("moved")},
		{"gang failed", shaped(api.Gang, 2), fail(api.CauseError)},
		{"gang stopped", shaped(api.Gang, 2), stop("preempted")},
		{"drained", nil, func(s *repeatedCommandScenario) {
			s.start()
			s.workers["a1"].AnnouncePreemption(5 * time.Second)
			s.heartbeat("a1")
			s.harness.MaintainFleet()
			s.deliverCommands()
		}},
		{"over the limit", nil, func(s *repeatedCommandScenario) {
			s.start()
			s.heartbeat("a1")
			s.harness.configuration = parseConfiguration(s.T, oneTeamConfiguration("40"))
			s.harness.ApplyConfiguration(parseConfiguration(s.T, "[over_limit]\nrunning = \"stop\"\n"+oneTeamConfiguration("1")))
			s.harness.MaintainFleet()
			s.place()
			s.deliverCommands()
		}},
		{"cancelled", nil, func(s *repeatedCommandScenario) {
			s.start()
			s.harness.Cancel(cancelledContext(), repeatedJob)
			s.place()
			s.deliverCommands()
		}},
		{"done", nil, func(s *repeatedCommandScenario) {
			s.runTime = 500 * time.Millisecond
			s.start()
		}},
		{"adopted and stopped", nil, func(s *repeatedCommandScenario) {
			s.startUnrecorded()
			s.heartbeat("a1")
			if alloc := s.harness.jobs[repeatedJob].allocations[0]; alloc == nil || alloc.attempt != s.starts[0].response.Commands[0].Attempt {
				s.Fatalf("the attempt was not adopted: %+v", alloc)
			}
			s.place()
			s.stop("moved")
			s.deliverCommands()
		}},
		{"unknown and failed", nil, func(s *repeatedCommandScenario) {
			s.failures["a1"] = api.CauseError
			s.startUnrecorded()
			delete(s.failures, "a1")
		}},
		{"stopped, and a new leader before the clear", nil, func(s *repeatedCommandScenario) {
			s.start()
			s.heartbeat("a1")
			s.stop("moved")
			s.harness.answeredCommands = len(s.harness.sent)
			for _, sent := range s.harness.sent[len(s.harness.sent)-1:] {
				s.workers["a1"].ExecuteCommands(sent.response)
			}
			s.harness.elect()
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			scenario := newRepeatedCommandScenario(t, tc.change)
			tc.play(scenario)
			scenario.roundsUntilForgotten()
			scenario.repeatStarts("after the clear")
			scenario.round()
			scenario.repeatStarts("a second later")
			scenario.harness.elect()
			scenario.repeatStarts("after an election")
			scenario.round()
			scenario.round()
			scenario.repeatStarts("after the new leader's heartbeats")
		})
	}
}

// Guards against a copy of a start that a worker reported through a relay, before and after the leader is reached again.
func TestStartRepeatedBesideARelayStartsNothing(t *testing.T) {
	scenario := newRepeatedCommandScenario(t, nil)
	h, a1 := scenario.harness, scenario.workers["a1"]
	follower := newFollowerRelay(h)
	packets := newWorkerPackets(h, follower.Exchange)
	scenario.start()
	scenario.heartbeat("a1")
	scenario.stop("moved")
	scenario.deliverCommands()
	for range 2 * tuning.RelayedCommandHeartbeats {
		h.clock.Advance(time.Second)
		heartbeat := a1.NextHeartbeat()
		response := follower.HandleHeartbeat(heartbeat, h.term)
		packets.toLeader(h.AcceptWorkerMessage)
		h.machines["a1"].refusedUntil = h.clock.Now().Add(time.Minute)
		scenario.heartbeat("b1")
		scenario.place()
		scenario.deliverCommands()
		packets.toFollower()
		a1.ApplyResponse(heartbeat, h.clock.Now(), response)
		scenario.repeatStarts("beside the relay")
	}
	if !scenario.running[repeatedJob+"/0"]["b1"] {
		t.Error("the task did not move")
	}
	scenario.roundsUntilForgotten()
	scenario.repeatStarts("after the relay")
}
