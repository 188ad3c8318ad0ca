package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/upgrade"
)

// An accept and a cancellation of what it awaits that cross, in both orders of their records,
// decided by the leader or by a controller alone.
func TestAcceptAndCancelCross(t *testing.T) {
	for _, first := range []string{"accept", "cancel"} {
		for _, alone := range []bool{false, true} {
			s := newLeader(t)
			s.submit(smallJob("run-000001"))
			sub := *smallJob("run-000002")
			sub.Awaits = []string{"run-000001"}
			accept := func() {
				if alone {
					s.beside().submitWithoutLeader(context.Background(), &sub, nil)
				} else {
					s.Submit(cancelledContext(), &sub, s.clock.Now())
				}
			}
			if first == "accept" {
				accept()
			}
			s.Cancel(cancelledContext(), "run-000001")
			if first == "cancel" {
				if alone {
					s.commit()
				}
				accept()
			}
			s.commit()
			if alone {
				it, err := s.beside().client.Get(context.Background(), store.JobKey("run-000002"))
				if err != nil {
					t.Fatal(err)
				}
				s.committer.SetRevision(it.Key, it.Revision)
				s.Conflict(it.Key, &it)
			}
			if st := s.status("run-000002"); st != api.Cancelled {
				t.Errorf("%s first, alone %v: %q", first, alone, st)
			}
			st, _, err := s.beside().lookUp(context.Background(), nil, "run-000002", true)
			if err != nil || st.State != api.Cancelled {
				t.Errorf("%s first, alone %v, from the records: %v %v", first, alone, st, err)
			}
			s.Place()
			s.commit()
			if s.starts("run-000002/0") > 0 {
				t.Error("it started")
			}
		}
	}
}

// What a submission may await, and that anything else is refused with the field and changes
// nothing. A repetition of an accepted job is answered with its state whatever it names.
func TestAwaitsAreChecked(t *testing.T) {
	s := newLeader(t)
	s.submit(smallJob("run-000001"))
	service := smallJob("run-000002")
	service.Shape, service.Rank = api.Service, "prod"
	s.submit(service)
	n := s.beside()
	s.leading = false // all is told from the records
	var long []string
	for i := range tuning.MaxDependencies + 1 {
		long = append(long, fmt.Sprintf(`"run-%06d"`, 100+i))
	}
	ask := func(awaits string) peer.Response {
		body := strings.Replace(submission("run-000009", 1, `,"awaits":`+awaits), `"team"`, `"t"`, 1)
		got := make(chan peer.Response, 1)
		go func() {
			got <- n.Handle(context.Background(), peer.Request{Verb: VerbSubmit, Body: []byte(body)}, false)
		}()
		for {
			select {
			case a := <-got:
				return a
			default:
				s.clock.Advance(tuning.DependencyRetryDelay)
			}
		}
	}
	before := s.state.Requests
	for awaits, want := range map[string]struct {
		status int
		says   string
	}{
		`["run-000404"]`:                         {422, "run-000404 was never accepted"},
		`["run-000002"]`:                         {422, "is a service"},
		`["run-000009"]`:                         {422, "is the job itself"},
		`[` + strings.Join(long, ",") + `]`:      {422, "at most 64"},
		`["run-000001","run-000001"]`:            {400, "stands twice"},
		`[]`:                                     {400, "one or more job ids"},
		`null`:                                   {400, "one or more job ids"},
		`"run-000001"`:                           {400, "one or more job ids"},
		`[1]`:                                    {400, "one or more job ids"},
		`{"a":1}`:                                {400, "one or more job ids"},
		`["` + strings.Repeat("9", 1<<10) + `"]`: {400, "is no job id"},
	} {
		if a := ask(awaits); a.Status != want.status || !strings.Contains(string(a.Body), want.says) || !strings.Contains(string(a.Body), `"field":"awaits"`) {
			t.Errorf("%.60s: %d %.200s", awaits, a.Status, a.Body)
		}
	}
	if s.state.Get(store.JobKey("run-000009")) != nil || s.state.Requests-before > 100 {
		t.Errorf("something was stored, or asked %d times", s.state.Requests-before)
	}
	if a := ask(`["run-000001"]`); a.Status != 201 {
		t.Errorf("%d %s", a.Status, a.Body)
	}
	if a := ask(`["run-000404"]`); a.Status != 200 {
		t.Errorf("a repetition that names another job: %d %s", a.Status, a.Body)
	}
}

// While a process of the first version may come back, no job that awaits others is accepted:
// it would start them at once.
func TestNoAwaitsBesideAnOlderVersion(t *testing.T) {
	s := newLeader(t)
	s.submit(smallJob("run-000001"))
	n := s.beside()
	n.versions = upgrade.NewVersionRegistry("y", []string{"y", "z"}, n.client, s.clock)
	n.versions.Observe("y", upgrade.VersionMark{Data: upgrade.DataVersion})
	body := strings.Replace(submission("run-000009", 1, `,"awaits":["run-000001"]`), `"team"`, `"t"`, 1)
	ask := func() peer.Response {
		return n.Handle(context.Background(), peer.Request{Verb: VerbSubmit, Body: []byte(body)}, false)
	}
	if a := ask(); a.Status != 503 || a.RetryAfterS == 0 || !strings.Contains(string(a.Body), "not seen yet of z") {
		t.Errorf("%d %s", a.Status, a.Body)
	}
	n.versions.Observe("z", upgrade.VersionMark{Data: 1})
	if a := ask(); a.Status != 503 {
		t.Errorf("beside data of version 1: %d", a.Status)
	}
	n.versions.Observe("z", upgrade.VersionMark{Data: upgrade.DataVersion})
	if a := ask(); a.Status != 201 {
		t.Errorf("%d %s", a.Status, a.Body)
	}
}

// A controller marks its version once, and knows that no older process can come back only when
// every member's mark stands; one that begins anew learns it from the records.
func TestMarksTellWhenNoOlderProcessCanComeBack(t *testing.T) {
	s := newLeader(t)
	set := &settings.Settings{Member: "y", Peers: []settings.Peer{{Member: "z", Address: "127.0.0.1:1"}}}
	set.Facts.State = settings.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 24, Next: settings.NextState{ValueKB: 2}}
	begin := func() *Controller {
		return New(context.Background(), set, policy.Default(), s.clock, s.state)
	}
	n := begin()
	if n.versions.RecordOwn(context.Background()) || string(s.state.Get("sf/version/y")) != `{"data":2}` {
		t.Fatalf("marked %s", s.state.Get("sf/version/y"))
	}
	stamp := s.state.Put("sf/test", 1)
	if !n.versions.RecordOwn(context.Background()) || s.state.Put("sf/test", 1) != stamp+1 {
		t.Error("its mark was written again")
	}
	if old := n.versions.Older(); !slices.Equal(old, []string{"z"}) {
		t.Errorf("older %v", old)
	}
	s.state.Put("sf/version/z", upgrade.VersionMark{Data: upgrade.DataVersion})
	again := begin()
	again.markVersion(context.Background()) // returns once it has seen all
	if old := again.versions.Older(); len(old) > 0 {
		t.Errorf("older %v", old)
	}
}
