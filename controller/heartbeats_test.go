package controller

import (
	"context"
	"net/http"
	"testing"

	"switchferry/api"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/tuning"
)

// A follower's own ear: copies neither show that workers reach it, nor move one from node to node, nor
// disturb what it relays.
func TestCopiesAtAFollower(t *testing.T) {
	n, clock := threeNodes(t)
	term := uint64(9)
	r := api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 2, Seq: 10, Term: term}
	n.HandleHeartbeat(context.Background(), &r, nil)
	r.Seq = 11
	clock.Advance(settings.Seconds(2 * tuning.RecentHeartbeats * n.settings.Facts.Workers.ReportS))
	old := r
	old.Seq = 10
	status, body := n.HandleHeartbeat(context.Background(), &old, nil)
	if o, ok := body.(api.HeartbeatResponse); !ok || status != http.StatusOK || o.Term != 0 {
		t.Errorf("a copy was answered %d %+v", status, body)
	}
	if n.receivesHeartbeats() {
		t.Error("a copy counts as a worker that reaches this node")
	}
}

// A worker that claims a token nobody gave ended every leader's term; while the key certainly stands it
// is told that its report is wrong.
func TestAbsurdTokenEndsNoTerm(t *testing.T) {
	n, _ := threeNodes(t)
	valid := true
	sched := scheduler.New(7, n.clock, n.settings, n.policy, testTypes, scheduler.Hooks{Leading: func() bool { return valid }})
	r := &api.Heartbeat{Machine: "a1", Zone: "a", Incarnation: 1, Seq: 1, Term: 1<<64 - 1}
	if status, _ := n.answerAsLeader(sched, r, ""); status != http.StatusBadRequest {
		t.Errorf("answered %d", status)
	}
	valid = false
	if !n.deposed(sched) {
		t.Error("a leader whose key may be gone does not believe it")
	}
}
