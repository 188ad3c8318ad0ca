package controller

import (
	"context"
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

// A controller that is isolated with its zone renews leases of workers only so long that the last one expires before the
// tasks of a job must have ended whose cancellation was acknowledged elsewhere. It once renewed them until the partition
// ended, and cancelled tasks ran on (docs/incidents/fleet-cancelled-behind-a-cut.md). A leader whose term may be over
// does the same. An answer of the state service confirms nothing by itself: only what was read of the jobs does, from
// when it was asked for. A process that never read them renews nothing.
func TestLeasesInIsolatedZoneExpireInTime(t *testing.T) {
	for _, led := range []bool{false, true} {
		clock := clockwork.NewFakeClock()
		state := fake.NewState(clock)
		set := &settings.Settings{Member: "n1", Zone: "b", Peers: []settings.Peer{{Member: "n0", Zone: "a", Address: "127.0.0.1:1"}, {Member: "n2", Zone: "b", Address: "127.0.0.1:1"}}}
		set.Facts.Workers = settings.Workers{ReportS: 3, LeaseS: 17.5, CancelS: 47.5}
		controller := New(context.Background(), set, policy.Default(), clock, state)
		term := state.Put(store.LeaderKey, store.LeaderRecord{Member: "n0"})
		if controller.elector.Campaign(context.Background()) {
			t.Fatal("two leaders")
		}
		sched := scheduler.New(term, clock, set, controller.policy, testTypes, testCollaborators(func() bool { return false }))
		state.Down = true
		if controller.leases.mayRenew() {
			t.Error("kept by a process that knows nothing")
		}
		word := clock.Now()
		controller.leases.watermark.MarkCurrent(word)
		clock.Advance(time.Millisecond)
		_, _ = controller.client.Get(context.Background(), "k")
		last := time.Duration(0)
		for seq := uint64(1); clock.Since(word) < 100*time.Second; seq++ {
			clock.Advance(time.Second)
			heartbeat := &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: seq, Term: term}
			answer := controller.answerAsLeader(sched, heartbeat, "")
			status, body := answer.status, answer.body
			if !led {
				status, body = controller.HandleHeartbeat(context.Background(), heartbeat, nil)
			}
			if response, ok := body.(api.HeartbeatResponse); ok && status == 200 && response.Term == term {
				last = clock.Since(word)
			}
		}
		most := settings.Seconds(set.Facts.Workers.CancelS - set.Facts.Workers.LeaseS)
		if last > most || last < most-tuning.LeaseRenewalMargin-time.Second {
			t.Errorf("led %v: the last lease was renewed %v after the cut began; a cancelled task has %v", led, last, most)
		}
		if reason := strings.Join(controller.leases.problems(), ""); !strings.Contains(reason, "n0 has said nothing") || !strings.Contains(reason, "not renewed") {
			t.Errorf("led %v: an operator is told %q", led, reason)
		}
		// Meanwhile a worker that finds nobody else is held, without a lease.
		if !led {
			status, body := controller.HandleHeartbeat(context.Background(), &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: 999, Term: term}, nil)
			if response, ok := body.(api.HeartbeatResponse); !ok || status != 200 || response.Term != 0 || len(response.Commands) != 0 {
				t.Errorf("a worker that came back is told %d %+v", status, body)
			}
		}
		// Once the records are read again, leases are renewed again.
		state.Down = false
		_, _ = controller.client.Get(context.Background(), "k")
		if controller.leases.mayRenew() {
			t.Error("kept because the state service answers, though nothing of jobs was read")
		}
		state.Put(store.JobKey("run-7"), store.JobRecord{Job: api.Submission{ID: "run-7"}, FinalState: api.Cancelled})
		if _, err := controller.leases.readCancelledJobs(context.Background(), 0); err != nil || !controller.leases.mayRenew() {
			t.Errorf("not kept though the records of jobs were read, %v", err)
		}
		answer := controller.answerAsLeader(sched, &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: 1000, Term: term, Tasks: []api.TaskReport{{Task: "run-7/0", Attempt: 9, State: api.TaskRunning}}}, "")
		status, body := answer.status, answer.body
		if response, ok := body.(api.HeartbeatResponse); !ok || status != 200 || len(response.Commands) != 1 || response.Commands[0].Verb != api.CommandKill || response.Commands[0].Task != "run-7/0" || response.Commands[0].Attempt != 9 {
			t.Errorf("what was cancelled meanwhile is answered %d %+v", status, body)
		}
	}
}

// A cancellation is stated to the peers before anyone can learn of it: before its record is written, since whoever reads
// that may answer a user, and before an answer is sent, wherever it comes from.
func TestCancellationsAreReplicatedBeforeTheyAreAcknowledged(t *testing.T) {
	controller, clock := newIsolatedController()
	knows := func(job string) bool {
		return len(controller.leases.watermark.KillCommands([]api.TaskReport{{Task: job + "/0", Attempt: 1, State: api.TaskRunning}}, nil)) > 0
	}
	collaborators := testCollaborators(func() bool { return true })
	collaborators.TerminalStates = controller.jobs.TerminalStates
	sched := scheduler.New(7, clock, controller.settings, controller.policy, testTypes, collaborators)
	sched.Load([]store.Item{{Key: store.JobKey("run-1"), Value: []byte(`{"job":{"name_id":"run-1","parts":1},"at":1}`)},
		{Key: store.JobKey("run-2"), Value: []byte(`{"job":{"name_id":"run-2","parts":1},"at":1,"final":"withdrawn"}`)}}, nil)
	if knows("run-1") || !knows("run-2") {
		t.Errorf("after loading: knows run-1 %v, run-2 %v", knows("run-1"), knows("run-2"))
	}
	sched.Cancel(cancelledContext(), "run-1")
	if _, ok, _ := (recordSource{sched, controller}).Record(store.JobKey("run-1")); !ok || !knows("run-1") {
		t.Error("the record of a cancellation leaves, and peers are told nothing")
	}
	client := controller.client
	for _, job := range []string{"run-3", "run-4"} {
		if _, _, err := client.Transact(context.Background(), nil, []store.Operation{{Set: store.JobKey(job), Value: store.JobRecord{Job: api.Submission{ID: job, Tasks: 1}, FinalState: map[string]string{"run-3": api.Cancelled}[job]}}}); err != nil {
			t.Fatal(err)
		}
	}
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbStatus, Job: "run-3"}, false); response.Status != 200 || !knows("run-3") {
		t.Errorf("a user is told %d %s, and peers nothing", response.Status, response.Body)
	}
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbCancel, Job: "run-4"}, false); response.Status != 200 || !knows("run-4") {
		t.Errorf("a user who cancels without a leader is told %d %s, and peers nothing", response.Status, response.Body)
	}
	// Processes that may be of an older version are sent nothing that they do not know.
	if _, _, ok := (cancellationExchange{controller.leases}).Position("n0"); ok {
		t.Error("asks a peer without a mark")
	}
	if _, ok := (cancellationExchange{controller.leases}).Statement(0, 0); ok {
		t.Error("answers a peer without a mark")
	}
}

// A new leader that has not read the records may not know of an acknowledged cancellation: it renews no lease, and keeps
// the worker until it knows. It once renewed leases as long as its key stood.
func TestNewLeaderRenewsNoLeaseBeforeRecordsAreLoaded(t *testing.T) {
	controller, clock := newIsolatedController()
	controller.settings.Facts.Workers.CancelS = 40
	controller.leases.watermark = watermark.New(clock.Now(), []string{"n0", "n2"}, watermark.NewLimits(40*time.Second, 10*time.Second))
	sched := scheduler.New(7, clock, controller.settings, controller.policy, testTypes, testCollaborators(func() bool { return true }))
	ask := func(seq uint64) api.HeartbeatResponse {
		answer := controller.answerAsLeader(sched, &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: seq}, "")
		status, body := answer.status, answer.body
		response, ok := body.(api.HeartbeatResponse)
		if status != 200 || !ok {
			t.Errorf("%d %+v", status, body)
		}
		return response
	}
	if response := ask(1); response.Term != 0 {
		t.Errorf("a lease is renewed under token %d by a leader that knows nothing", response.Term)
	}
	controller.leases.watermark.MarkCurrent(clock.Now())
	if response := ask(2); response.Term != 7 {
		t.Errorf("token %d from a leader that knows", response.Term)
	}
}
