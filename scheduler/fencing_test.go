package scheduler

import (
	"testing"
	"time"

	"switchferry/api"
	"switchferry/invariant"
)

// newFailedStart starts a task on a1 that fails at once, and delivers the direct commands and their answers.
func newFailedStart(t *testing.T) *repeatedCommandScenario {
	scenario := newRepeatedCommandScenario(t, nil)
	scenario.failures["a1"] = api.CauseError
	scenario.start()
	delete(scenario.failures, "a1")
	scenario.harness.machines["a1"].refusedUntil = scenario.harness.clock.Now().Add(time.Hour)
	return scenario
}

// workerToken returns the highest fencing token that a1 has seen.
func (s *repeatedCommandScenario) workerToken() uint64 {
	token, _, _, _ := s.workers["a1"].Status()
	return token
}

// A raise that overtakes the response to a heartbeat would make the worker drop the response, so that its lease is not
// renewed.
func TestRaisedTokenOvertakesNoResponse(t *testing.T) {
	scenario := newRepeatedCommandScenario(t, nil)
	h, a1 := scenario.harness, scenario.workers["a1"]
	scenario.place()
	scenario.failures["a1"] = api.CauseError
	heartbeat := a1.NextHeartbeat()
	response, _, _ := h.HandleHeartbeat(heartbeat, "")
	scenario.deliverCommands()
	h.commit()
	scenario.deliverCommands()
	h.clock.Advance(time.Second)
	a1.ApplyResponse(heartbeat, h.clock.Now(), response)
	if _, answered, _, _ := a1.Status(); !answered.Equal(h.clock.Now()) {
		t.Error("the worker dropped the response that was in flight")
	}
}

// A start that went out under a raised token is fenced off only by a still higher one.
func TestClearAwaitsTokenAboveTheLastStart(t *testing.T) {
	scenario := newRepeatedCommandScenario(t, nil)
	h := scenario.harness
	scenario.place()
	notSent := h.sent[0]
	h.answeredCommands = len(h.sent)
	h.HandleCommandOutcome("a1", notSent.response, nil, true)
	h.mu.Lock()
	h.machines["a1"].raisedToken = h.committer.CommittedRevision()
	h.mu.Unlock()
	scenario.failures["a1"] = api.CauseError
	h.mu.Lock()
	h.pushCommands(h.machines["a1"])
	h.mu.Unlock()
	repeated := h.sent[len(h.sent)-1]
	if repeated.response.Term <= notSent.response.Term || !hasCommand(repeated.response, api.CommandRun, repeatedJob+"/0") {
		t.Fatalf("the start was not sent again under a raised token: %+v", repeated)
	}
	scenario.deliverCommands()
	delete(scenario.failures, "a1")
	scenario.starts = []sentCommands{repeated}
	h.machines["a1"].refusedUntil = h.clock.Now().Add(time.Hour)
	for range 3 {
		scenario.heartbeat("a1")
	}
	if len(scenario.workers["a1"].NextHeartbeat().Tasks) != 1 {
		t.Fatal("the attempt was cleared under the token of its start")
	}
	h.submit("run-000002", 1, nil)
	scenario.roundsUntilForgotten()
	scenario.repeatStarts("after the clear")
}

// A relay delivers commands under the token that the worker has, so a raise that was lost on its way fences nothing off.
func TestRelayedClearAwaitsTheWorkersToken(t *testing.T) {
	scenario := newFailedStart(t)
	h, a1 := scenario.harness, scenario.workers["a1"]
	lost, _, _ := h.HandleHeartbeat(a1.NextHeartbeat(), "")
	if lost.Term <= h.term || !hasCommand(lost, api.CommandClear, repeatedJob+"/0") {
		t.Fatalf("the response does not clear the attempt under a raised token: %+v", lost)
	}
	relayHeartbeat := func() bool {
		h.HandleRelayedHeartbeat("y", a1.NextHeartbeat())
		h.commit()
		for _, command := range h.relayedCommandsFor("y", "a1").Commands {
			if command.Verb == api.CommandClear {
				return true
			}
		}
		return false
	}
	if relayHeartbeat() {
		t.Error("a clear is relayed under the token of the start")
	}
	a1.ExecuteCommands(api.HeartbeatResponse{Term: lost.Term, Incarnation: 1})
	if !relayHeartbeat() {
		t.Error("no clear is relayed although the worker has the raised token")
	}
}

// A start that crosses with a raise is refused and counted; the response that raised the token has started the task.
func TestCommandThatCrossesARaiseIsRefused(t *testing.T) {
	scenario := newFailedStart(t)
	h, a1 := scenario.harness, scenario.workers["a1"]
	h.machines["a1"].refusedUntil = time.Time{}
	h.submit("run-000002", 1, nil)
	scenario.place()
	crossing := h.sent[h.answeredCommands]
	scenario.heartbeat("a1")
	heartbeat, executed := a1.ExecuteCommands(crossing.response)
	if executed || scenario.workerToken() <= h.term {
		t.Fatalf("the command was executed, or the token %d was not raised above %d", scenario.workerToken(), h.term)
	}
	h.answeredCommands++
	h.HandleCommandOutcome("a1", crossing.response, heartbeat, true)
	command := crossing.response.Commands[0]
	if alloc := h.jobs["run-000002"].allocations[0]; alloc == nil || alloc.key != command.Task || !alloc.reported || alloc.starts.direct != 0 {
		t.Errorf("the task of %+v does not run: %+v", command, alloc)
	}
	if h.releaseStats.commandsFenced != 1 {
		t.Errorf("%d refused commands counted", h.releaseStats.commandsFenced)
	}
}

// The response to a heartbeat that a direct answer has overtaken renews the lease, under the token that was raised.
func TestOvertakenHeartbeatIsAnsweredUnderTheRaisedToken(t *testing.T) {
	scenario := newFailedStart(t)
	h, a1 := scenario.harness, scenario.workers["a1"]
	scenario.heartbeat("a1")
	overtaken := a1.NextHeartbeat()
	sent := api.HeartbeatResponse{Term: scenario.workerToken(), Incarnation: 1}
	answer, _ := a1.ExecuteCommands(sent)
	h.HandleCommandOutcome("a1", sent, answer, true)
	for range 2 { // The second time it is a copy.
		if response, _, _ := h.HandleHeartbeat(overtaken, ""); response.Term != scenario.workerToken() || response.Term <= h.term {
			t.Errorf("answered under %d, the worker has %d in term %d", response.Term, scenario.workerToken(), h.term)
		}
	}
}

// While it is not known whether all controllers accept raised tokens, nothing is cleared; if one does not, attempts are
// cleared under the term's own token.
func TestTokensAreRaisedOnlyIfAllControllersAcceptThem(t *testing.T) {
	for fencing, want := range map[Fencing]struct{ cleared, raised bool }{FencingUndecided: {false, false}, FencingOff: {true, false}, FencingOn: {true, true}} {
		scenario := newRepeatedCommandScenario(t, nil)
		scenario.harness.fencing = fencing
		scenario.runTime = 500 * time.Millisecond
		scenario.start()
		for range 3 { // Direct clears are lost.
			scenario.harness.clock.Advance(time.Second)
			scenario.heartbeat("a1")
			scenario.harness.commit()
		}
		cleared, raised := len(scenario.workers["a1"].NextHeartbeat().Tasks) == 0, scenario.workerToken() > scenario.harness.term
		if cleared != want.cleared || raised != want.raised {
			t.Errorf("fencing %d: cleared %v, raised %v, want %+v", fencing, cleared, raised, want)
		}
	}
}

// A token up to the newest committed revision is this leader's own, also for a machine that it no longer knows. A higher
// one is a later leader's.
func TestTokenAboveCommittedRevisionsIsOfALaterTerm(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, nil)
	committed := h.committer.CommittedRevision()
	if committed <= h.term {
		t.Fatalf("committed revision %d in term %d", committed, h.term)
	}
	for token, wantDeposed := range map[uint64]bool{h.term: false, committed: false, committed + 1: true} {
		response, deposed, _ := h.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Address: "a1:1", Type: "m8", Zone: "a", Incarnation: 1, Seq: h.nextSeq("a1"), Term: token}, "")
		if deposed != wantDeposed || !deposed && response.Term < token {
			t.Errorf("token %d of term %d, committed %d: deposed %v, response under %d", token, h.term, committed, deposed, response.Term)
		}
	}
	if next := h.elect().term; next <= committed {
		t.Errorf("the next term %d is not above the committed revision %d", next, committed)
	}
}

// A second attempt of a task is reported as an invariant violation, whether or not its machine's token was raised.
func TestSecondAttemptIsReportedUnderARaisedToken(t *testing.T) {
	h := newHarness(t)
	h.submitAndStart(repeatedJob)
	const second = 7
	invariant.ResetViolations()
	for _, token := range []uint64{h.term, h.committer.CommittedRevision()} {
		h.heartbeatAt("b1", 1, h.nextSeq("b1"), token, taskReport(repeatedJob+"/0", second, api.TaskRunning, ""))
		if violations := invariant.ResetViolations(); violations != 1 {
			t.Errorf("token %d of term %d: %d violations, want 1", token, h.term, violations)
		}
	}
}
