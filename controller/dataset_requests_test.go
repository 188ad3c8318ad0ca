package controller

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"switchferry/dataset"
	"switchferry/peer"
	"switchferry/store"
)

// A controller that accepts without the leader, and has read the dataset before, refuses a job once the dataset is being removed.
func TestSubmissionWithoutLeaderRacesWithRemoval(t *testing.T) {
	n, st := dataNode(true)
	n.ask(VerbRegister, summary("inv", 8, 1e8))
	body := submission("run-000001", 1, `,"inputs":[{"dataset":"inv","use":"own"}]`)
	if a := n.ask(VerbSubmit, strings.Replace(body, "000001", "000002", 1)); a.Status != 201 {
		t.Fatalf("%d %s", a.Status, a.Body)
	}
	var x dataset.Entry
	_ = json.Unmarshal(st.Get(store.DatasetKey("inv")), &x)
	x.State = dataset.Removing
	st.Put(store.DatasetKey("inv"), x)
	if a := n.ask(VerbSubmit, body); a.Status != 422 || !strings.Contains(string(a.Body), "removing") || st.Get(store.JobKey("run-000001")) != nil {
		t.Errorf("%d %s", a.Status, a.Body)
	}
	if a := n.ask(VerbSubmit, strings.Replace(body, "000001", "000002", 1)); a.Status != 200 {
		t.Errorf("a known job: %d %s", a.Status, a.Body)
	}
}

// Removing is asked for as often as one likes, by several at once; a name that was removed
// is not used again.
func TestRemoveAnswers(t *testing.T) {
	n, st := dataNode(true)
	remove := func(name string) peer.Response {
		n.readLimiter.SetLimit(1e9)
		n.readLimiter.SetBurst(1 << 30)
		return n.Handle(context.Background(), peer.Request{Verb: VerbRemove, Job: name}, false)
	}
	n.ask(VerbRegister, summary("inv", 8, 1))
	for i, c := range []struct {
		name   string
		status int
		text   string
	}{{"inv", 200, "removing"}, {"inv", 200, "removing"}, {"none", 404, "no such dataset"}, {"Bad Name", 404, "no such dataset"}} {
		if a := remove(c.name); a.Status != c.status || !strings.Contains(string(a.Body), c.text) {
			t.Errorf("%d: %d %s", i, a.Status, a.Body)
		}
	}
	if a := n.ask(VerbRegister, summary("inv", 8, 1)); a.Status != 409 || !strings.Contains(string(a.Body), "not used again") {
		t.Errorf("%d %s", a.Status, a.Body)
	}
	st.Down = true
	if a := remove("inv"); a.Status != 503 || a.RetryAfterS == 0 {
		t.Error(a.Status)
	}
	st.Down = false
	st.Put(store.DatasetKey("odd"), map[string]any{"name": "odd", "parts": 1, "part_bytes": 1, "bytes": 1, "state": "paused"})
	if a := remove("odd"); a.Status != 500 {
		t.Errorf("a state of another version: %d %s", a.Status, a.Body)
	}
	off, _ := dataNode(false)
	if a := off.Handle(context.Background(), peer.Request{Verb: VerbRemove, Job: "inv"}, false); a.Status != 404 {
		t.Errorf("off: %d", a.Status)
	}
}
