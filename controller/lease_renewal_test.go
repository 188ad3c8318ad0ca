package controller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/watermark"
)

// A controller in an isolated zone stops renewing leases early enough that they expire before the deadline by which the
// tasks of a job must end if its cancellation was acknowledged elsewhere. Renewing leases until the partition ended
// kept cancelled tasks running (docs/incidents/fleet-cancelled-behind-a-cut.md). The same holds for a leader whose term
// may have ended. A response of the state service is no confirmation by itself: only reading the job records is, as of
// the time of the request. A process that has never read them renews no lease.
func TestLeasesInIsolatedZoneExpireBeforeCancellationDeadline(t *testing.T) {
	for _, formerLeader := range []bool{false, true} {
		clock := clockwork.NewFakeClock()
		state := fake.NewState(clock)
		set := &settings.Settings{Member: "n1", Zone: "b", Peers: []settings.Peer{{Member: "n0", Zone: "a", Address: "127.0.0.1:1"}, {Member: "n2", Zone: "b", Address: "127.0.0.1:1"}}}
		set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 3, LeaseS: 17.5, CancelDeadlineS: 47.5}
		controller := New(context.Background(), set, policy.Default(), clock, state)
		term := state.Put(store.LeaderKey, store.LeaderRecord{Member: "n0"})
		if controller.elector.Campaign(context.Background()) {
			t.Fatal("two leaders")
		}
		sched := scheduler.New(term, clock, set, controller.policy, testTypes, testCollaborators(func() bool { return false }))
		state.Down = true
		if controller.leases.mayRenew() {
			t.Error("a process that has read no records renews leases")
		}
		confirmedAt := clock.Now()
		controller.leases.watermark.MarkCurrent(confirmedAt)
		clock.Advance(time.Millisecond)
		_, _ = controller.client.Get(context.Background(), "k")
		lastRenewal := time.Duration(0)
		for seq := uint64(1); clock.Since(confirmedAt) < 100*time.Second; seq++ {
			clock.Advance(time.Second)
			heartbeat := &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: seq, Term: term}
			answer := controller.answerAsLeader(sched, heartbeat, "")
			status, body := answer.status, answer.body
			if !formerLeader {
				status, body = controller.HandleHeartbeat(context.Background(), heartbeat, nil)
			}
			if response, ok := body.(api.HeartbeatResponse); ok && status == 200 && response.Term == term {
				lastRenewal = clock.Since(confirmedAt)
			}
		}
		maxRenewal := settings.Seconds(set.Facts.Workers.CancelDeadlineS - set.Facts.Workers.LeaseS)
		if lastRenewal > maxRenewal || lastRenewal < maxRenewal-tuning.LeaseRenewalMargin-time.Second {
			t.Errorf("former leader %v: the last lease was renewed %v after the partition began, want at most %v", formerLeader, lastRenewal, maxRenewal)
		}
		if reason := strings.Join(controller.leases.renewalProblems(), ""); !strings.Contains(reason, "n0 has said nothing") || !strings.Contains(reason, "not renewed") {
			t.Errorf("former leader %v: the reasons for operators are %q", formerLeader, reason)
		}
		// A worker that reaches no other controller is kept, but its lease is not renewed.
		if !formerLeader {
			status, body := controller.HandleHeartbeat(context.Background(), &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: 999, Term: term}, nil)
			if response, ok := body.(api.HeartbeatResponse); !ok || status != 200 || response.Term != 0 || len(response.Commands) != 0 {
				t.Errorf("the heartbeat of a worker that returned is answered %d %+v", status, body)
			}
		}
		// Leases are renewed again once the records have been read.
		state.Down = false
		_, _ = controller.client.Get(context.Background(), "k")
		if controller.leases.mayRenew() {
			t.Error("leases are renewed because the state service answers, though no job records were read")
		}
		state.Put(store.JobKey("run-7"), store.JobRecord{Job: api.Submission{ID: "run-7"}, FinalState: api.Cancelled})
		if _, err := controller.leases.readCancelledJobs(context.Background(), 0); err != nil || !controller.leases.mayRenew() {
			t.Errorf("leases are not renewed though the job records were read, %v", err)
		}
		answer := controller.answerAsLeader(sched, &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: 1000, Term: term, Tasks: []api.TaskReport{{Task: "run-7/0", Attempt: 9, State: api.TaskRunning}}}, "")
		status, body := answer.status, answer.body
		if response, ok := body.(api.HeartbeatResponse); !ok || status != 200 || len(response.Commands) != 1 || response.Commands[0].Verb != api.CommandKill || response.Commands[0].Task != "run-7/0" || response.Commands[0].Attempt != 9 {
			t.Errorf("the heartbeat with a task of a cancelled job is answered %d %+v", status, body)
		}
	}
}

// A cancellation is announced to the peers before any user can learn of it: before its record is written, since any
// controller that reads the record may answer a user, and before a response is sent, whatever its source.
func TestCancellationsAreAnnouncedToPeersBeforeAcknowledgement(t *testing.T) {
	controller, clock := newIsolatedController()
	cancellationKnown := func(job string) bool {
		return len(controller.leases.watermark.KillCommands([]api.TaskReport{{Task: job + "/0", Attempt: 1, State: api.TaskRunning}}, nil)) > 0
	}
	collaborators := testCollaborators(func() bool { return true })
	collaborators.TerminalStates = controller.jobs.TerminalStates
	sched := scheduler.New(7, clock, controller.settings, controller.policy, testTypes, collaborators)
	sched.Load([]store.Item{{Key: store.JobKey("run-1"), Value: []byte(`{"job":{"name_id":"run-1","parts":1},"at":1}`)},
		{Key: store.JobKey("run-2"), Value: []byte(`{"job":{"name_id":"run-2","parts":1},"at":1,"final":"withdrawn"}`)}}, nil)
	if cancellationKnown("run-1") || !cancellationKnown("run-2") {
		t.Errorf("after loading: knows run-1 %v, run-2 %v", cancellationKnown("run-1"), cancellationKnown("run-2"))
	}
	sched.Cancel(cancelledContext(), "run-1")
	if _, ok, _ := (recordSource{sched, controller}).Record(store.JobKey("run-1")); !ok || !cancellationKnown("run-1") {
		t.Error("the record of a cancellation is provided for writing before it is announced to the peers")
	}
	client := controller.client
	for _, job := range []string{"run-3", "run-4"} {
		if _, _, err := client.Transact(context.Background(), nil, []store.Operation{{Set: store.JobKey(job), Value: store.JobRecord{Job: api.Submission{ID: job, Tasks: 1}, FinalState: map[string]string{"run-3": api.Cancelled}[job]}}}); err != nil {
			t.Fatal(err)
		}
	}
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbStatus, Job: "run-3"}, false); response.Status != 200 || !cancellationKnown("run-3") {
		t.Errorf("status request answered %d %s, and the cancellation is not announced to the peers", response.Status, response.Body)
	}
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbCancel, Job: "run-4"}, false); response.Status != 200 || !cancellationKnown("run-4") {
		t.Errorf("cancellation without a leader answered %d %s, and it is not announced to the peers", response.Status, response.Body)
	}
	// Members that may run an older version are sent no messages that they do not know.
	if _, _, ok := (cancellationExchange{controller.leases}).Position("n0"); ok {
		t.Error("requests a statement from a peer without a version record")
	}
	if _, ok := (cancellationExchange{controller.leases}).Statement(0, 0); ok {
		t.Error("sends a statement to a peer without a version record")
	}
}

// newIsolatedControllerWithLimits returns an isolated controller that has a bound for the end of cancelled tasks, and no
// watermark yet.
func newIsolatedControllerWithLimits() (*Controller, *clockwork.FakeClock) {
	controller, clock := newIsolatedController()
	controller.settings.Facts.Workers.CancelDeadlineS = 40
	controller.leases.watermark = watermark.New(clock.Now(), []string{"n0", "n2"}, watermark.NewLimits(40*time.Second, 10*time.Second))
	return controller, clock
}

// A new leader that has not read the records may not know all acknowledged cancellations. Until it does, it keeps the
// worker but renews no lease. Leaders used to renew leases for as long as their key existed.
func TestNewLeaderRenewsNoLeaseBeforeRecordsAreLoaded(t *testing.T) {
	controller, clock := newIsolatedControllerWithLimits()
	sched := scheduler.New(7, clock, controller.settings, controller.policy, testTypes, testCollaborators(func() bool { return true }))
	sendHeartbeat := func(seq uint64) api.HeartbeatResponse {
		answer := controller.answerAsLeader(sched, &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: seq}, "")
		status, body := answer.status, answer.body
		response, ok := body.(api.HeartbeatResponse)
		if status != 200 || !ok {
			t.Errorf("the heartbeat is answered %d %+v", status, body)
		}
		return response
	}
	if response := sendHeartbeat(1); response.Term != 0 {
		t.Errorf("a leader that has not read the records renews a lease with token %d", response.Term)
	}
	controller.leases.watermark.MarkCurrent(clock.Now())
	if response := sendHeartbeat(2); response.Term != 7 {
		t.Errorf("token %d from a leader that knows all cancellations, want 7", response.Term)
	}
}

// Guards against ran_cancelled of incident held-start-after-cancellation where the leader does not reach the controller that
// answers the worker: a start of a cancelled task may be under way to the worker, which must refuse it.
func TestWorkersGetTheRequiredTokenWithoutTheLeader(t *testing.T) {
	const term, required = 7, 12
	controller, clock := newIsolatedControllerWithLimits()
	controller.leases.watermark.MarkCurrent(clock.Now())
	token := func(seq, highest uint64) uint64 {
		heartbeat := &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: seq, Term: highest}
		response, ok := controller.answerForUnreachableLeader(heartbeat, term, controller.workerProxy.HandleHeartbeat).body.(api.HeartbeatResponse)
		if !ok {
			t.Fatal("the lease is not renewed")
		}
		return response.Term
	}
	if got := token(1, term); got != term {
		t.Errorf("token %d while none is required, want %d", got, term)
	}
	controller.leases.watermark.RequireToken(required)
	if got := token(2, term); got != required {
		t.Errorf("token %d, want the required one, %d", got, required)
	}
	if got := token(3, required+1); got != required+1 {
		t.Errorf("token %d for a worker that has %d", got, required+1)
	}
}

// Guards against ran_cancelled of incident held-start-after-cancellation where the former leader itself still answers workers:
// a job was cancelled without it, so it neither stops the task nor raises the machine's token, but it knows the required
// token. A lease that must end is not renewed under that token either.
func TestFormerLeaderGivesWorkersTheRequiredToken(t *testing.T) {
	const term, required = 7, 12
	controller, clock := newIsolatedControllerWithLimits()
	controller.leases.watermark.MarkCurrent(clock.Now())
	controller.leases.watermark.RequireToken(required)
	sched := scheduler.New(term, clock, controller.settings, controller.policy, testTypes, testCollaborators(func() bool { return false }))
	answer := controller.answerAsLeader(sched, &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: 1, Term: term}, "")
	if response, ok := answer.body.(api.HeartbeatResponse); !ok || response.Term != required {
		t.Errorf("the former leader answers %d %+v, want token %d", answer.status, answer.body, required)
	}
	withoutToken := controller.leases.enforceCancellations(&api.Heartbeat{Machine: "b1"}, api.HeartbeatResponse{Commands: []api.Command{}})
	if withoutToken.Term != 0 {
		t.Errorf("a response that renews no lease got token %d", withoutToken.Term)
	}
}

// A controller that learns of cancellations from their records learns of the required token as well. A damaged record of
// the token keeps nothing else from being read.
func TestRequiredTokenIsReadWithTheCancellations(t *testing.T) {
	controller, _ := newIsolatedController()
	for _, test := range []struct {
		value any
		want  uint64
	}{{store.FenceRecord{Token: 12}, 12}, {"damaged", 12}, {store.FenceRecord{Token: 9}, 12}, {store.FenceRecord{Token: 31}, 31}} {
		if _, _, err := controller.client.Transact(t.Context(), nil, []store.Operation{{Set: store.FenceKey, Value: test.value}}); err != nil {
			t.Fatal(err)
		}
		if _, err := controller.leases.readCancelledJobs(t.Context(), 0); err != nil {
			t.Errorf("%+v: %v", test.value, err)
		}
		if token := controller.leases.watermark.RequiredToken(); token != test.want {
			t.Errorf("%+v: required token %d, want %d", test.value, token, test.want)
		}
	}
}

// While the record of the required token cannot be read, cancellations that are read do not count as known.
func TestWatermarkAwaitsTheRequiredToken(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	controller := New(context.Background(), &settings.Settings{Member: "y"}, policy.Default(), clock, withoutFence{state})
	if _, err := controller.leases.readCancelledJobs(t.Context(), 0); err == nil || controller.leases.mayRenew() {
		t.Errorf("cancellations count as known without the required token: %v", err)
	}
}

// withoutFence is a state service that does not answer reads of the required token.
type withoutFence struct{ state http.RoundTripper }

// RoundTrip passes a request on.
func (w withoutFence) RoundTrip(request *http.Request) (*http.Response, error) {
	if strings.HasSuffix(request.URL.Path, store.FenceKey) {
		return nil, errors.New("no answer")
	}
	return w.state.RoundTrip(request)
}
