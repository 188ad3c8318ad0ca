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
	"switchferry/settings"
	"switchferry/store"
)

// While it does not know the state of things, a node does not say 404; and an
// id that nobody submitted is 404 once the state service says so.
func TestUnknownJobIsNotFoundOnlyWithStateService(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	controller := New(context.Background(), testSettings(), policy.Default(), clock, state)
	ask := func() int {
		return controller.jobs.answerStatus(context.Background(), nil, "run-000404", true).Status
	}
	state.Down = true
	if got := ask(); got != 503 {
		t.Errorf("in an outage: %d", got)
	}
	state.Down = false
	if got := ask(); got != 404 {
		t.Errorf("never submitted: %d", got)
	}
	state.Put(store.JobKey("run-000404"), store.JobRecord{Job: api.Submission{ID: "run-000404", Tasks: 1}})
	if got := ask(); got != 200 {
		t.Errorf("accepted: %d", got)
	}
}

// A node that reaches neither the state service nor a sibling sends a worker to
// the node before it. A worker that comes back found nobody there: it is kept,
// or it would lose its lease while it tries one dead way after the other.
func TestIsolatedControllerKeepsReturningWorkers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	set := &settings.Settings{Member: "n1", Zone: "b", Peers: []settings.Peer{{Member: "n0", Zone: "a", Address: "127.0.0.1:1"}, {Member: "n2", Zone: "a", Address: "127.0.0.1:1"}}}
	set.Facts.Workers = settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}
	controller := New(context.Background(), set, policy.Default(), clock, state)
	state.Put(store.LeaderKey, store.LeaderRecord{Member: "n2"})
	if controller.elector.Campaign(context.Background()) {
		t.Fatal("two leaders")
	}
	_, term := controller.elector.Leader()
	controller.leases.watermark.MarkCurrent(clock.Now())
	state.Down = true
	clock.Advance(time.Second)
	controller.jobs.answerStatus(context.Background(), nil, "run-1", true)
	heartbeat := &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: 1, Term: term}
	status, body := controller.HandleHeartbeat(context.Background(), heartbeat, nil)
	if status != 421 || body.(api.Redirect).Controller != "n0" {
		t.Fatalf("first report: %d %+v", status, body)
	}
	clock.Advance(6 * time.Second)
	heartbeat.Seq++
	status, body = controller.HandleHeartbeat(context.Background(), heartbeat, nil)
	if response, ok := body.(api.HeartbeatResponse); status != 200 || !ok || response.Term != term || len(response.Commands) != 0 {
		t.Errorf("report of a worker that came back: %d %+v", status, body)
	}
}

// A leader that crashed in an outage of the state service and came back leads
// nothing, though its key still stands: workers sent there would be refused by
// all nodes in turn until their leases end.
func TestRestartedLeaderWithoutTermDoesNotLead(t *testing.T) {
	for _, c := range []struct {
		alive  []peer.Hello
		leader string
		there  bool
	}{
		{[]peer.Hello{{Member: "n2"}, {Member: "n1"}}, "n2", false},
		{[]peer.Hello{{Member: "n2", Term: 7}, {Member: "n1"}}, "n2", true},
		{[]peer.Hello{{Member: "n2", Term: 7}, {Member: "n1", Term: 9}}, "n1", true},
		{[]peer.Hello{{Member: "n1", Term: 5}}, "n2", false},
	} {
		if leader, _, reachable := newestLeader("n2", 7, c.alive); leader != c.leader || reachable != c.there {
			t.Errorf("%+v: %s %v", c.alive, leader, reachable)
		}
	}
}

// A known id is never answered 400, 404 or 422, whatever the retry's body; an
// unknown one is told what is wrong, at once.
func TestKnownJobIsNeverRefused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	controller := New(context.Background(), testSettings(), policy.Default(), clock, state)
	controller.catalog.types = testTypes
	ask := func(body string) int {
		return controller.serveAsLeader(context.Background(), nil, peer.Request{Verb: VerbSubmit, Body: []byte(body)}).Status
	}
	bad := `{"name_id":"run-000001","parts":-4}`
	if got := ask(bad); got != 400 {
		t.Errorf("unknown id: %d", got)
	}
	state.Put(store.JobKey("run-000001"), store.JobRecord{Job: api.Submission{ID: "run-000001", Tasks: 1}})
	if got := ask(bad); got != 200 {
		t.Errorf("known id: %d", got)
	}
	state.Put(store.FinalKey("run-000002"), store.FinalRecord{State: api.Done, Tasks: 3})
	if got := ask(`{"name_id":"run-000002"}`); got != 200 {
		t.Errorf("id of a job that is over: %d", got)
	}
	state.Down = true
	if got := ask(`{"name_id":"run-000003"}`); got != 503 {
		t.Errorf("while nobody can tell: %d", got)
	}
}

// A job that a node accepts without the leader is there once, and stays over
// once it is over.
func TestSubmissionWithoutLeaderIsIdempotent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	controller := New(context.Background(), &settings.Settings{Member: "y"}, policy.Default(), clock, state)
	submission := &api.Submission{ID: "run-000001", Tasks: 1}
	if got := controller.submissions.submitWithoutLeader(context.Background(), submission, nil).Status; got != 201 {
		t.Fatalf("first: %d", got)
	}
	if got := controller.submissions.submitWithoutLeader(context.Background(), submission, nil).Status; got != 200 || state.Get(store.InboxKey("run-000001")) == nil {
		t.Errorf("again: %d", got)
	}
	// With a leader's key standing, only the leader cancels; it is told.
	state.Put(store.LeaderKey, store.LeaderRecord{Member: "x"})
	if got := controller.submissions.cancelWithoutLeader(context.Background(), "run-000001").Status; got != 503 {
		t.Errorf("cancelled beside a leader: %d", got)
	}
	if string(state.Get(store.InboxKey("run-000001"))) != `{"cancel":true}` {
		t.Errorf("inbox %s", state.Get(store.InboxKey("run-000001")))
	}
}

func testSettings() *settings.Settings {
	set := &settings.Settings{Member: "y"}
	set.Facts.State = settings.State{RPS: 120, WriteRPS: 30, ValueKB: 16, TxnOps: 24}
	return set
}

// A job that no value of the state service holds is refused at once, with the reason; its
// record would be set aside for ever, and its user told to come back.
func TestJobTooLargeToStoreIsRefused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	set := testSettings()
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	controller := New(context.Background(), set, policy.Default(), clock, state)
	controller.catalog.types = testTypes
	body := submissionBody("run-000001", 4, `,"x":1`)
	long := strings.Replace(body, `"bundle":"img"`, `"bundle":"`+strings.Repeat("i", 17<<10)+`"`, 1)
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbSubmit, Body: []byte(long)}, false); response.Status != 400 || !strings.Contains(string(response.Body), "at most 16384") {
		t.Errorf("%d %.200s", response.Status, response.Body)
	}
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbSubmit, Body: []byte(body)}, false); response.Status != 201 {
		t.Errorf("%d %s", response.Status, response.Body)
	}
}
