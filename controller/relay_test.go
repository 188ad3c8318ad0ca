package controller

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/standin"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

// Mail is delivered only while the worker speaks to this relay alone: in a gap
// another node may have cleared the attempt that the mail would start.
func TestStaleMailIsNotDelivered(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := NewNode(context.Background(), &settings.Settings{Member: "y"}, policy.Default(), clock, standin.NewState(clock))
	say := func(seq uint64) api.Orders {
		return n.relay.report(&api.Report{Machine: "b1", Session: 1, Seq: seq, Helm: 7}, 7)
	}
	say(10)
	n.relay.mail = store.MailRecord{Term: 7, Machines: map[string]store.Mail{
		"b1": {Session: 1, Seq: 10, Commands: []api.Command{{Verb: api.Start, Task: "run-1/0", Attempt: 3}}}}}
	if o := say(11); len(o.Commands) != 1 || o.Helm != 7 {
		t.Fatalf("mail not delivered: %+v", o)
	}
	for _, seq := range []uint64{13, 14} {
		if o := say(seq); len(o.Commands) != 0 {
			t.Errorf("stale mail delivered at %d", seq)
		}
	}
	if o := n.relay.report(&api.Report{Machine: "b1", Session: 1, Seq: 15, Helm: 7}, 9); len(o.Commands) != 0 || o.Helm != 9 {
		t.Errorf("mail of another term: %+v", o)
	}
}

// While it does not know the state of things, a node does not say 404; and an
// id that nobody submitted is 404 once the state service says so.
func TestUnknownID(t *testing.T) {
	clock := clockwork.NewFakeClock()
	st := standin.NewState(clock)
	n := NewNode(context.Background(), &settings.Settings{Member: "y"}, policy.Default(), clock, st)
	ask := func() int {
		return n.told(context.Background(), nil, "run-000404").Status
	}
	st.Down = true
	if got := ask(); got != 503 {
		t.Errorf("in an outage: %d", got)
	}
	st.Down = false
	if got := ask(); got != 404 {
		t.Errorf("never submitted: %d", got)
	}
	st.Put(store.JobKey("run-000404"), store.JobRecord{Job: api.Submission{ID: "run-000404", Tasks: 1}})
	if got := ask(); got != 200 {
		t.Errorf("accepted: %d", got)
	}
}
