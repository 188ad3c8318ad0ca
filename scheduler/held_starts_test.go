package scheduler

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/settings"
	"switchferry/store"
)

const heldTask = repeatedJob + "/0"

// heldStartScenario plays a job whose direct start command is held up on its way to machine a1.
type heldStartScenario struct {
	*repeatedCommandScenario
	held sentCommands
	// cancelledAt is when the user was told that the job is cancelled.
	cancelledAt time.Time
}

// newHeldStart sends the start of the job to a1 and lets the call end without an answer.
func newHeldStart(t *testing.T) *heldStartScenario {
	scenario := &heldStartScenario{repeatedCommandScenario: newRepeatedCommandScenario(t, nil)}
	h := scenario.harness
	scenario.place()
	starts := h.starts(heldTask)
	if len(starts) != 1 || starts[0].machine != "a1" {
		t.Fatalf("starts sent: %+v, want one to a1", starts)
	}
	scenario.held = starts[0]
	h.answeredCommands = len(h.sent)
	h.HandleCommandOutcome("a1", scenario.held.response, nil, false)
	return scenario
}

// cancel cancels the job, stores that and tells the user.
func (s *heldStartScenario) cancel() {
	s.Helper()
	h := s.harness
	h.Cancel(cancelledContext(), repeatedJob)
	h.commit()
	if state := h.status(repeatedJob); state != api.Cancelled {
		s.Fatalf("the job is %q after its cancellation", state)
	}
	s.cancelledAt = h.clock.Now()
}

// cancelDeadline returns cancel_s.
func (s *heldStartScenario) cancelDeadline() time.Duration {
	return settings.Seconds(s.harness.settings.Facts.Workers.CancelDeadlineS)
}

// untilDeadlineHasPassed calls second once a second until more than cancel_s have passed since the cancellation.
func (s *heldStartScenario) untilDeadlineHasPassed(second func()) {
	for s.harness.clock.Since(s.cancelledAt) <= s.cancelDeadline()+time.Second {
		s.harness.clock.Advance(time.Second)
		second()
	}
}

// deliverHeldStart delivers the start and fails the test if a1 executes it.
func (s *heldStartScenario) deliverHeldStart() {
	s.Helper()
	heartbeat, executed := s.workers["a1"].ExecuteCommands(s.held.response)
	if executed {
		s.Errorf("the held start was executed %v after the cancellation, cancel_s is %v: %+v",
			s.harness.clock.Since(s.cancelledAt), s.cancelDeadline(), heartbeat.Tasks)
	}
}

// Guards against ran_cancelled of incident held-start-after-cancellation: the release of the machine was the only remedy
// for a held start, and needs the state service and the cloud.
func TestHeldStartOfCancelledTaskIsRefused(t *testing.T) {
	for _, test := range []struct {
		name string
		// second plays one second after the cancellation.
		second func(s *heldStartScenario)
	}{
		{"the state service is away", func(s *heldStartScenario) {
			s.harness.leading = false
			s.heartbeat("a1")
			if released := s.harness.MaintainFleet(); len(released) > 0 {
				s.Errorf("machines are released without the leader's key: %v", released)
			}
		}},
		{"the cloud is away", func(s *heldStartScenario) {
			s.heartbeat("a1")
			s.harness.InstancesReleased(s.harness.MaintainFleet(), errors.New("the cloud is away"))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			scenario := newHeldStart(t)
			scenario.cancel()
			scenario.untilDeadlineHasPassed(func() { test.second(scenario) })
			scenario.deliverHeldStart()
			if held := len(scenario.harness.machines["a1"].allocations); held > 0 {
				t.Errorf("%d allocations are still held on a1", held)
			}
		})
	}
}

// Any stop of a task ends its held start, so that the task runs elsewhere and counts towards no limit on the machine.
func TestHeldStartOfStoppedTaskKeepsNoAllocation(t *testing.T) {
	scenario := newHeldStart(t)
	h := scenario.harness
	scenario.join("b1")
	scenario.cancelledAt = h.clock.Now()
	h.machines["a1"].refusedUntil = h.clock.Now().Add(time.Hour)
	scenario.stop("moved")
	for range 3 {
		h.clock.Advance(time.Second)
		scenario.heartbeat("a1")
		scenario.heartbeat("b1")
		scenario.place()
		scenario.deliverCommands()
	}
	if !scenario.running[heldTask]["b1"] {
		t.Error("the task does not run on b1")
	}
	scenario.deliverHeldStart()
	if twice := scenario.startedTwice(); len(twice) > 0 {
		t.Errorf("tasks ran on two machines: %v", twice)
	}
}

// A start that was executed before the machine got the raised token is reported, and is stopped like any other.
func TestHeldStartBeforeTheRaiseIsStopped(t *testing.T) {
	scenario := newHeldStart(t)
	h, a1 := scenario.harness, scenario.workers["a1"]
	scenario.cancel()
	raised := a1.NextHeartbeat()
	response, _, _ := h.HandleHeartbeat(raised, "")
	if response.Term <= scenario.held.response.Term {
		t.Fatalf("the response has token %d, want one above %d", response.Term, scenario.held.response.Term)
	}
	if _, executed := a1.ExecuteCommands(scenario.held.response); !executed {
		t.Fatal("the start was refused before the raise")
	}
	a1.ApplyResponse(raised, h.clock.Now(), response)
	scenario.heartbeat("a1")
	if len(scenario.running[heldTask]) > 0 {
		t.Errorf("the cancelled task runs on %v", scenario.running[heldTask])
	}
	scenario.roundsUntilForgotten()
	scenario.deliverHeldStart()
}

// A heartbeat that was sent before the machine got the raised token proves nothing about the held start.
func TestHeartbeatBeforeTheRaiseSettlesNoStart(t *testing.T) {
	scenario := newHeldStart(t)
	h, a1 := scenario.harness, scenario.workers["a1"]
	scenario.cancel()
	lost := a1.NextHeartbeat()
	h.HandleHeartbeat(lost, "")
	h.HandleHeartbeat(a1.NextHeartbeat(), "")
	if len(h.machines["a1"].allocations) != 1 {
		t.Error("the allocation was released although the machine has the token of the start")
	}
}

// Guards against an exit that is never cleared, and so takes a place on its machine for the rest of the term: its start was
// held up and executed, but never answered.
func TestExitWithAnUnansweredStartIsCleared(t *testing.T) {
	for _, change := range []func(*heldStartScenario){
		(*heldStartScenario).cancel,
		func(s *heldStartScenario) { s.runTime = 500 * time.Millisecond },
	} {
		scenario := newHeldStart(t)
		scenario.cancelledAt = scenario.harness.clock.Now()
		change(scenario)
		if _, executed := scenario.workers["a1"].ExecuteCommands(scenario.held.response); !executed {
			t.Fatal("the start was refused")
		}
		scenario.roundsUntilForgotten()
		scenario.deliverHeldStart()
	}
}

// A raised token ends no start of a task that is wanted: the start is repeated, and a newer one must not count as settled.
func TestRaisedTokenSettlesNoStartOfAWantedTask(t *testing.T) {
	scenario := newHeldStart(t)
	h, a1 := scenario.harness, scenario.workers["a1"]
	h.submit("run-000002", 1, nil)
	raised := h.committer.CommittedRevision()
	if raised <= scenario.held.response.Term {
		t.Fatalf("token %d does not fence off a start under %d", raised, scenario.held.response.Term)
	}
	a1.ExecuteCommands(api.HeartbeatResponse{Term: raised, Incarnation: 1})
	h.HandleHeartbeat(a1.NextHeartbeat(), "")
	if open := h.jobs[repeatedJob].allocations[0].starts.direct; open != 1 || h.machines["a1"].Term != raised {
		t.Errorf("%d direct starts are open, the machine has token %d; want 1 and %d", open, h.machines["a1"].Term, raised)
	}
}

// The lease of a machine goes on while a start has no answer whose task was stopped for another reason than a
// cancellation: nothing has to be over in time.
func TestLeaseGoesOnBesideAHeldStartThatIsNotCancelled(t *testing.T) {
	scenario := newHeldStart(t)
	h := scenario.harness
	h.fencing = FencingOff
	scenario.stop("preempted")
	scenario.cancelledAt = h.clock.Now()
	scenario.untilDeadlineHasPassed(func() {
		scenario.heartbeat("a1")
		if _, answered, _, _ := scenario.workers["a1"].Status(); !answered.Equal(h.clock.Now()) {
			t.Fatalf("the lease is not renewed %v after the stop", h.clock.Since(scenario.cancelledAt))
		}
	})
}

// No token is raised for an exit that cannot be cleared yet, as its end is not stored.
func TestUnstoredExitRaisesNoToken(t *testing.T) {
	scenario := newRepeatedCommandScenario(t, nil)
	h := scenario.harness
	scenario.runTime = 500 * time.Millisecond
	scenario.start()
	h.submit("run-000002", 1, nil)
	h.clock.Advance(time.Second)
	h.leading = false
	for range 3 {
		if response, _, _ := h.HandleHeartbeat(scenario.workers["a1"].NextHeartbeat(), ""); response.Term != h.term {
			t.Errorf("the response has token %d, want the term %d", response.Term, h.term)
		}
	}
	if exits := h.machines["a1"].exited; len(exits) != 1 {
		t.Fatalf("exits %+v, want one", exits)
	}
}

// Guards against ran_cancelled of incident held-start-after-cancellation where no token can fence the start off: the lease
// of the machine ends in time, and not sooner than it has to.
func TestLeaseEndsBeforeAHeldStartOutlivesItsCancellation(t *testing.T) {
	for _, test := range []struct {
		name    string
		fencing Fencing
		// startUnderNewest is set if the start went out under the newest committed revision.
		startUnderNewest bool
	}{
		{"a member of an older version may run", FencingOff, false},
		{"the members are not known yet", FencingUndecided, false},
		{"nothing was committed since the start", FencingOn, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			scenario := &heldStartScenario{repeatedCommandScenario: newRepeatedCommandScenario(t, nil)}
			h, a1 := scenario.harness, scenario.workers["a1"]
			h.fencing = test.fencing
			h.Place()
			h.commit()
			if scenario.held = h.starts(heldTask)[0]; test.startUnderNewest {
				scenario.held.response.Term = h.committer.CommittedRevision()
				h.machines["a1"].raisedToken = scenario.held.response.Term
				h.jobs[repeatedJob].allocations[0].startToken = scenario.held.response.Term
			}
			h.answeredCommands = len(h.sent)
			h.HandleCommandOutcome("a1", scenario.held.response, nil, false)
			h.leading = false
			h.Cancel(cancelledContext(), repeatedJob)
			scenario.cancelledAt = h.clock.Now()

			lastRenewal := time.Duration(0)
			scenario.untilDeadlineHasPassed(func() {
				scenario.heartbeat("a1")
				if _, answered, _, _ := a1.Status(); answered.Equal(h.clock.Now()) && a1.NextHeartbeat().Incarnation == 1 {
					lastRenewal = h.clock.Since(scenario.cancelledAt)
				}
			})
			if latest := scenario.cancelDeadline() - h.lease() - time.Second; lastRenewal > latest || lastRenewal < latest-2*time.Second {
				t.Errorf("the lease was last renewed %v after the cancellation, want within 2 s before %v", lastRenewal, latest)
			}
			scenario.deliverHeldStart()
			if held := len(h.machines["a1"].allocations); held > 0 {
				t.Errorf("%d allocations are still held on a1", held)
			}
			scenario.heartbeat("a1")
			if _, answered, _, _ := a1.Status(); !answered.Equal(h.clock.Now()) {
				t.Error("the lease of the next incarnation is not renewed")
			}
		})
	}
}

// The other controllers learn of a token above that of a held start before anyone can be told of the cancellation: one
// of them may answer the machine alone by then, and knows of no start.
func TestCancellationOfAHeldStartRequiresAToken(t *testing.T) {
	scenario := newHeldStart(t)
	h := scenario.harness
	if h.requiredToken != 0 {
		t.Errorf("token %d is required before the cancellation", h.requiredToken)
	}
	h.Cancel(cancelledContext(), repeatedJob)
	if h.requiredToken <= scenario.held.response.Term || h.requiredToken > h.committer.CommittedRevision() {
		t.Errorf("required token %d, want one above %d and at most the committed revision %d", h.requiredToken, scenario.held.response.Term, h.committer.CommittedRevision())
	}
	if h.FromLaterTerm(h.requiredToken) {
		t.Error("the leader takes the required token for that of a later leader")
	}
}

// A start that was sent under the newest committed revision is fenced off only by the revision of the cancellation.
func TestRequiredTokenFollowsTheCancellation(t *testing.T) {
	scenario := newHeldStart(t)
	h := scenario.harness
	newest := h.committer.CommittedRevision()
	h.machines["a1"].raisedToken = newest
	h.jobs[repeatedJob].allocations[0].startToken = newest
	h.Cancel(cancelledContext(), repeatedJob)
	if h.requiredToken != 0 {
		t.Errorf("token %d is required, which does not fence the start off", h.requiredToken)
	}
	h.commit()
	if h.requiredToken <= newest {
		t.Errorf("required token %d after the cancellation is stored, want one above %d", h.requiredToken, newest)
	}
}

// No token is required for a job whose direct starts are settled, or while a member may not accept raised tokens.
func TestSettledStartsRequireNoToken(t *testing.T) {
	scenario := newRepeatedCommandScenario(t, nil)
	scenario.start()
	scenario.harness.Cancel(cancelledContext(), repeatedJob)
	scenario.harness.commit()
	inResponse := newRepeatedCommandScenario(t, nil)
	inResponse.place()
	inResponse.harness.answerCommands()
	inResponse.harness.HandleHeartbeat(inResponse.workers["a1"].NextHeartbeat(), "")
	inResponse.harness.Cancel(cancelledContext(), repeatedJob)
	if len(inResponse.harness.machines["a1"].allocations) != 1 {
		t.Fatal("no start is open")
	}
	unsupported := newHeldStart(t)
	unsupported.harness.fencing = FencingOff
	unsupported.cancel()
	for _, h := range []*harness{scenario.harness, inResponse.harness, unsupported.harness} {
		if h.requiredToken != 0 {
			t.Errorf("token %d is required, want none", h.requiredToken)
		}
	}
}

// A raise would make the worker refuse the start of a wanted task that is just on its way.
func TestStartOfAWantedTaskRaisesNoToken(t *testing.T) {
	scenario := newRepeatedCommandScenario(t, nil)
	scenario.place()
	response, _, _ := scenario.harness.HandleHeartbeat(scenario.workers["a1"].NextHeartbeat(), "")
	if response.Term != scenario.harness.term {
		t.Errorf("the response has token %d, want the term %d", response.Term, scenario.harness.term)
	}
	scenario.deliverCommands()
	if !scenario.running[heldTask]["a1"] {
		t.Error("the start was refused")
	}
}

// storedToken returns the required token in the state service, 0 if there is none.
func (s *heldStartScenario) storedToken() uint64 {
	s.Helper()
	raw := s.harness.state.Get(store.FenceKey)
	if raw == nil {
		return 0
	}
	var record store.FenceRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		s.Fatal(err)
	}
	return record.Token
}

// The required token is stored where the leader hears the machine through the state service alone, or not at all, and
// replaces that of a former leader. It is not stored for a machine that gets it with its next response.
func TestRequiredTokenIsStoredForMachinesBeyondReach(t *testing.T) {
	for _, test := range []struct {
		name string
		// before plays what comes before the cancellation.
		before func(s *heldStartScenario)
		want   bool
	}{
		{"heard directly", func(s *heldStartScenario) { s.heartbeat("a1") }, false},
		{"relayed", func(s *heldStartScenario) { s.harness.HandleRelayedHeartbeat("y", s.workers["a1"].NextHeartbeat()) }, true},
		{"silent", func(s *heldStartScenario) { s.harness.clock.Advance(4 * time.Second) }, true},
		{"relayed, with a token of a former leader", func(s *heldStartScenario) {
			s.harness.state.Put(store.FenceKey, store.FenceRecord{Token: 2})
			s.harness.HandleRelayedHeartbeat("y", s.workers["a1"].NextHeartbeat())
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			scenario := newHeldStart(t)
			test.before(scenario)
			scenario.cancel()
			start := scenario.held.response.Term
			if token := scenario.storedToken(); test.want != (token > start) || token > scenario.harness.committer.CommittedRevision() {
				t.Errorf("token %d is stored, the start has %d; want a higher one: %v", token, start, test.want)
			}
		})
	}
}

// A machine that falls silent only after the cancellation gets a stored token as well.
func TestRequiredTokenIsStoredOnceAMachineFallsSilent(t *testing.T) {
	scenario := newHeldStart(t)
	scenario.heartbeat("a1")
	scenario.cancel()
	scenario.harness.maintainFor(4*time.Second, func() {})
	scenario.harness.commit()
	if token := scenario.storedToken(); token <= scenario.held.response.Term {
		t.Errorf("token %d is stored, want one above %d", token, scenario.held.response.Term)
	}
}
