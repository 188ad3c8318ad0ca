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
func TestDuplicateHeartbeatsAreIgnoredByFollower(t *testing.T) {
	controller, clock := newIsolatedController(t)
	term := uint64(9)
	heartbeat := api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 2, Seq: 10, Term: term}
	controller.HandleHeartbeat(context.Background(), &heartbeat, nil)
	heartbeat.Seq = 11
	clock.Advance(settings.Seconds(2 * tuning.RecentHeartbeats * controller.settings.Facts.Workers.ReportS))
	old := heartbeat
	old.Seq = 10
	status, body := controller.HandleHeartbeat(context.Background(), &old, nil)
	if response, ok := body.(api.HeartbeatResponse); !ok || status != http.StatusOK || response.Term != 0 {
		t.Errorf("a copy was answered %d %+v", status, body)
	}
	if controller.heartbeats.receivesHeartbeats() {
		t.Error("a copy counts as a worker that reaches this node")
	}
}

// A worker that claims a token nobody gave ended every leader's term; while the key certainly stands it
// is told that its report is wrong.
func TestUnissuedFencingTokenDoesNotEndTerm(t *testing.T) {
	controller, _ := newIsolatedController(t)
	valid := true
	sched := scheduler.New(7, controller.clock, controller.settings, controller.policy, testTypes, scheduler.Hooks{Leading: func() bool { return valid }})
	heartbeat := &api.Heartbeat{Machine: "a1", Zone: "a", Incarnation: 1, Seq: 1, Term: 1<<64 - 1}
	if status, _ := controller.answerAsLeader(sched, heartbeat, ""); status != http.StatusBadRequest {
		t.Errorf("answered %d", status)
	}
	valid = false
	if !controller.resignIfDeposed(sched) {
		t.Error("a leader whose key may be gone does not believe it")
	}
}
