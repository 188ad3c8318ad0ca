package controller

import (
	"context"
	"encoding/json"
	"net/http"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/tuning"
)

// HandleHeartbeat answers a worker's heartbeat, which came as raw. Workers report to the controller of their own zone, so
// that a partition between zones does not leave them without answers: it forwards heartbeats to the leader, and relays them
// through the state service while it does not reach the leader.
func (c *Controller) HandleHeartbeat(ctx context.Context, heartbeat *api.Heartbeat, raw []byte) (status int, body any) {
	answer := c.answerHeartbeat(ctx, heartbeat, raw)
	return answer.status, answer.body
}

// answerHeartbeat decides who answers a heartbeat: this controller, the leader through it, or another controller to which
// the worker is redirected.
func (c *Controller) answerHeartbeat(ctx context.Context, heartbeat *api.Heartbeat, raw []byte) answer {
	if !c.heartbeats.accept(heartbeat) {
		// A late copy shows neither that workers reach this controller nor where one is; a response without a token
		// renews nothing.
		return answer{http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}}
	}
	if sched := c.term.scheduler(); sched != nil {
		if to, ok := c.redirectWorker(heartbeat, c.settings.Member); ok {
			return answer{http.StatusMisdirectedRequest, api.Redirect{Controller: to}}
		}
		return c.answerAsLeader(sched, heartbeat, "")
	}
	leader, term, reachable := c.leader.locate()
	if previous := c.workers.previousController(); !c.health.healthy() && c.peers.Isolated() && c.workers.mayRedirect(heartbeat.Machine, previous) {
		// This controller reaches neither the state service nor a peer: it is isolated itself, or all of its zone is. A
		// worker that comes back reaches nobody else either, and stays.
		return answer{http.StatusMisdirectedRequest, api.Redirect{Controller: previous}}
	}
	if leader == "" || leader == c.settings.Member {
		return c.answerWithoutLeader(heartbeat)
	}
	if reachable {
		if to, ok := c.redirectWorker(heartbeat, leader); ok {
			return answer{http.StatusMisdirectedRequest, api.Redirect{Controller: to}}
		}
		request := peer.Request{Verb: verbReport, Body: raw, From: c.settings.Member}
		if response, err := c.peers.Ask(ctx, leader, request, tuning.PeerTimeout); err == nil && response.Status != http.StatusMisdirectedRequest {
			return answer{response.Status, json.RawMessage(response.Body)}
		}
		// Whatever the leader has answered, the response to this heartbeat is up to this controller now, and renews the lease.
		return c.answerForUnreachableLeader(heartbeat, term, c.workerProxy.HandleOfferedHeartbeat)
	}
	return c.answerForUnreachableLeader(heartbeat, term, c.workerProxy.HandleHeartbeat)
}

// redirectWorker returns the controller to which the sender of a heartbeat should turn while that leader leads; ok is
// false if it stays here.
func (c *Controller) redirectWorker(heartbeat *api.Heartbeat, leader string) (to string, ok bool) {
	to = c.workers.controllerFor(heartbeat.Zone, leader)
	return to, to != c.settings.Member && c.workers.mayRedirect(heartbeat.Machine, to)
}

// answerWithoutLeader answers a heartbeat between two leaders. The last one's token still renews leases: redirected, a
// worker might try controllers beyond a partition until its lease expires.
func (c *Controller) answerWithoutLeader(heartbeat *api.Heartbeat) answer {
	lastTerm, since := c.elector.LeaderlessFor()
	if lastTerm == 0 || heartbeat.Term > lastTerm || since > tuning.LeaderlessGrace && c.health.healthy() {
		return answer{http.StatusServiceUnavailable, api.Error{Error: "no leader yet"}}
	}
	if !c.leases.mayRenew() {
		return c.leases.refuse()
	}
	return answer{http.StatusOK, c.leases.enforceCancellations(heartbeat, api.HeartbeatResponse{Term: lastTerm, Commands: []api.Command{}})}
}

// answerForUnreachableLeader answers a heartbeat with commands that the leader of the term has relayed, and relays the
// heartbeat to it, by a method of workerProxy.
func (c *Controller) answerForUnreachableLeader(heartbeat *api.Heartbeat, term uint64, relay func(*api.Heartbeat, uint64) api.HeartbeatResponse) answer {
	if heartbeat.Term > term {
		return answer{http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}}
	}
	if !c.leases.mayRenew() {
		return c.leases.refuse()
	}
	return answer{http.StatusOK, c.leases.enforceCancellations(heartbeat, relay(heartbeat, term))}
}

// handleForwardedHeartbeat serves a heartbeat that a peer forwards.
func (c *Controller) handleForwardedHeartbeat(from string, raw []byte) peer.Response {
	sched := c.term.scheduler()
	var heartbeat api.Heartbeat
	if err := json.Unmarshal(raw, &heartbeat); err != nil || heartbeat.Check() != nil || sched == nil {
		return peer.JSONResponse(http.StatusMisdirectedRequest, api.Redirect{})
	}
	return c.answerAsLeader(sched, &heartbeat, from).response()
}

// answerAsLeader answers a heartbeat as the leader. Via is the peer that forwards it, or empty.
func (c *Controller) answerAsLeader(sched *scheduler.Scheduler, heartbeat *api.Heartbeat, via string) answer {
	// A leader that has not read the records knows of cancellations what its peers state, or nothing.
	current := c.leases.markCurrentIfLeading()
	renewed := current || c.leases.mayRenew()
	if !renewed && !sched.Leading() {
		return answer{http.StatusServiceUnavailable, api.Error{Error: "cut off for too long to keep tasks alive"}}
	}
	response, deposed, refused := sched.HandleHeartbeat(heartbeat, via)
	switch {
	case deposed && c.resignIfDeposed(sched):
		return answer{http.StatusMisdirectedRequest, api.Redirect{}}
	case deposed:
		return answer{http.StatusBadRequest, api.Error{Error: "helm: is higher than any token that was given", Field: "helm"}}
	case refused:
		return answer{http.StatusServiceUnavailable, api.Error{Error: "this machine was returned"}}
	case !renewed:
		// The worker stays here, and its lease is not renewed until the records are read.
		return answer{http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}}
	case !current:
		response = c.leases.enforceCancellations(heartbeat, response)
	}
	return answer{http.StatusOK, response}
}
