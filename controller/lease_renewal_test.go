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

// A controller that is cut off with its zone keeps its workers' leases only as long as the
// last one ends before a job could be due to be gone whose user was told on the other side
// that it is cancelled. It kept them to the end of the cut, and cancelled tasks ran on
// (docs/incidents/fleet-cancelled-behind-a-cut.md). A leader whose term may be over does the
// same. An answer of the state service is no word by itself: only what was read of the jobs is, from when it
// was asked for; and a process that never had any renews nothing.
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
		sched := scheduler.New(term, clock, set, controller.policy, testTypes, scheduler.Hooks{Leading: func() bool { return false }})
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
			status, body := controller.answerAsLeader(sched, heartbeat, "")
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
		// Word comes again, and leases are kept again.
		state.Down = false
		_, _ = controller.client.Get(context.Background(), "k")
		if controller.leases.mayRenew() {
			t.Error("kept because the state service answers, though nothing of jobs was read")
		}
		state.Put(store.JobKey("run-7"), store.JobRecord{Job: api.Submission{ID: "run-7"}, FinalState: api.Cancelled})
		if _, err := controller.leases.readCancelledJobs(context.Background(), 0); err != nil || !controller.leases.mayRenew() {
			t.Errorf("not kept though the records of jobs were read, %v", err)
		}
		status, body := controller.answerAsLeader(sched, &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: 1000, Term: term, Tasks: []api.TaskReport{{Task: "run-7/0", Attempt: 9, State: api.TaskRunning}}}, "")
		if response, ok := body.(api.HeartbeatResponse); !ok || status != 200 || len(response.Commands) != 1 || response.Commands[0].Verb != api.CommandKill || response.Commands[0].Task != "run-7/0" || response.Commands[0].Attempt != 9 {
			t.Errorf("what was cancelled meanwhile is answered %d %+v", status, body)
		}
	}
}

// A cancellation is known to the siblings before anyone can be told: before its record is sent, since whoever
// reads that may tell; and before an answer leaves, whoever it came from.
func TestCancellationsAreReplicatedBeforeTheyAreAcknowledged(t *testing.T) {
	controller, clock := newIsolatedController(t)
	knows := func(job string) bool {
		return len(controller.leases.watermark.KillCommands([]api.TaskReport{{Task: job + "/0", Attempt: 1, State: api.TaskRunning}}, nil)) > 0
	}
	sched := scheduler.New(7, clock, controller.settings, controller.policy, testTypes, scheduler.Hooks{MarkDirty: func(string, int, func()) {}, Leading: func() bool { return true }, JobTerminal: controller.jobs.rememberTerminal})
	sched.Load([]store.Item{{Key: store.JobKey("run-1"), Value: []byte(`{"job":{"name_id":"run-1","parts":1},"at":1}`)},
		{Key: store.JobKey("run-2"), Value: []byte(`{"job":{"name_id":"run-2","parts":1},"at":1,"final":"withdrawn"}`)}}, nil)
	if knows("run-1") || !knows("run-2") {
		t.Errorf("after loading: knows run-1 %v, run-2 %v", knows("run-1"), knows("run-2"))
	}
	sched.Cancel(cancelledContext(), "run-1")
	if _, ok, _ := (recordSource{sched, controller}).Record(store.JobKey("run-1")); !ok || !knows("run-1") {
		t.Error("the record of a cancellation leaves, and siblings are told nothing")
	}
	client := controller.client
	for _, job := range []string{"run-3", "run-4"} {
		if _, _, err := client.Transact(context.Background(), nil, []store.Operation{{Set: store.JobKey(job), Value: store.JobRecord{Job: api.Submission{ID: job, Tasks: 1}, FinalState: map[string]string{"run-3": api.Cancelled}[job]}}}); err != nil {
			t.Fatal(err)
		}
	}
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbStatus, Job: "run-3"}, false); response.Status != 200 || !knows("run-3") {
		t.Errorf("a user is told %d %s, and siblings nothing", response.Status, response.Body)
	}
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbCancel, Job: "run-4"}, false); response.Status != 200 || !knows("run-4") {
		t.Errorf("a user who cancels without a leader is told %d %s, and siblings nothing", response.Status, response.Body)
	}
	// Nothing that they did not always hear goes to processes that may be older.
	if _, _, ok := (cancellationExchange{controller.leases}).Position("n0"); ok {
		t.Error("asks a sibling without a mark")
	}
	if _, ok := (cancellationExchange{controller.leases}).Statement(0, 0); ok {
		t.Error("answers a sibling without a mark")
	}
}

// A leader that has just begun, and has not read the records, knows of no cancellation that was told before: it
// renews no lease, and keeps the worker there until it knows. It used to renew as long as its key stood.
func TestNewLeaderRenewsNoLeaseBeforeRecordsAreLoaded(t *testing.T) {
	controller, clock := newIsolatedController(t)
	controller.settings.Facts.Workers.CancelS = 40
	controller.leases.watermark = watermark.New(clock.Now(), []string{"n0", "n2"}, watermark.NewLimits(40*time.Second, 10*time.Second))
	sched := scheduler.New(7, clock, controller.settings, controller.policy, testTypes, scheduler.Hooks{Leading: func() bool { return true }})
	ask := func(seq uint64) api.HeartbeatResponse {
		status, body := controller.answerAsLeader(sched, &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: seq}, "")
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
