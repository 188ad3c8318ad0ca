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

// Late copies of heartbeats neither show that workers reach a follower, nor redirect a worker, nor change what is
// relayed.
func TestDuplicateHeartbeatsAreIgnoredByFollower(t *testing.T) {
	controller, clock := newIsolatedController()
	term := uint64(9)
	heartbeat := api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 2, Seq: 10, Term: term}
	controller.HandleHeartbeat(context.Background(), &heartbeat, nil)
	heartbeat.Seq = 11
	clock.Advance(settings.Seconds(2 * tuning.RecentHeartbeats * controller.settings.Facts.Workers.ReportS))
	existing := heartbeat
	existing.Seq = 10
	status, body := controller.HandleHeartbeat(context.Background(), &existing, nil)
	if response, ok := body.(api.HeartbeatResponse); !ok || status != http.StatusOK || response.Term != 0 {
		t.Errorf("a copy was answered %d %+v", status, body)
	}
	if controller.heartbeats.receivesHeartbeats() {
		t.Error("a copy counts as a worker that reaches this controller")
	}
}

// A worker that claims a token which no leader was given does not end the term: while the leader's key certainly stands
// its heartbeat is refused. It once ended every term.
func TestUnissuedFencingTokenDoesNotEndTerm(t *testing.T) {
	controller, _ := newIsolatedController()
	valid := true
	sched := scheduler.New(7, controller.clock, controller.settings, controller.policy, testTypes, testCollaborators(func() bool { return valid }))
	heartbeat := &api.Heartbeat{Machine: "a1", Zone: "a", Incarnation: 1, Seq: 1, Term: 1<<64 - 1}
	if answer := controller.answerAsLeader(sched, heartbeat, ""); answer.status != http.StatusBadRequest {
		t.Errorf("answered %d", answer.status)
	}
	valid = false
	if !controller.resignIfDeposed(sched) {
		t.Error("a leader whose key may be gone does not believe it")
	}
}
