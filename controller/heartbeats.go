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

// HandleHeartbeat answers a worker's heartbeat with an HTTP status and a body; raw is the heartbeat as received.
// Workers send their heartbeats to a controller of their own zone, so that they still get responses during a partition
// between zones. That controller forwards heartbeats to the leader, or relays them through the state service while the
// leader is unreachable.
func (c *Controller) HandleHeartbeat(ctx context.Context, heartbeat *api.Heartbeat, raw []byte) (status int, body any) {
	answer := c.answerHeartbeat(ctx, heartbeat, raw)
	return answer.status, answer.body
}

// answerHeartbeat answers a heartbeat itself, forwards it to the leader, or redirects the worker to another controller.
func (c *Controller) answerHeartbeat(ctx context.Context, heartbeat *api.Heartbeat, raw []byte) answer {
	if !c.heartbeats.accept(heartbeat) {
		// A duplicate shows neither that workers reach this controller nor where the worker sends its heartbeats now. A
		// response without a fencing token renews no lease.
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
		// This controller reaches neither the state service nor a peer: either it alone or its whole zone is isolated. A
		// worker that returns after the redirect reached no other controller, and is not redirected again.
		return answer{http.StatusMisdirectedRequest, api.Redirect{Controller: previous}}
	}
	if leader == "" || leader == c.settings.Member {
		return c.answerWithoutLeader(heartbeat)
	}
	if reachable {
		if to, ok := c.redirectWorker(heartbeat, leader); ok {
			return answer{http.StatusMisdirectedRequest, api.Redirect{Controller: to}}
		}
		request := peer.Request{Verb: verbForwardHeartbeat, Body: raw, From: c.settings.Member}
		if response, err := c.peers.Call(ctx, leader, request, tuning.PeerTimeout); err == nil && response.Status != http.StatusMisdirectedRequest {
			return answer{response.Status, json.RawMessage(response.Body)}
		}
		// The leader gave no usable response, although it may have handled the heartbeat. This controller answers instead,
		// and its response renews the lease.
		return c.answerForUnreachableLeader(heartbeat, term, c.workerProxy.HandleForwardedHeartbeat)
	}
	return c.answerForUnreachableLeader(heartbeat, term, c.workerProxy.HandleHeartbeat)
}

// redirectWorker returns the controller to which the sender of a heartbeat should send its next ones under the given
// leader. Ok is false if it should stay with this controller.
func (c *Controller) redirectWorker(heartbeat *api.Heartbeat, leader string) (to string, ok bool) {
	to = c.workers.controllerFor(heartbeat.Zone, leader)
	return to, to != c.settings.Member && c.workers.mayRedirect(heartbeat.Machine, to)
}

// answerWithoutLeader answers a heartbeat while no leader is known. For a limited time, the last leader's fencing token
// still renews leases, or the worker's own if that is higher. A worker that was redirected instead might try controllers
// on the other side of a partition until its lease expires.
func (c *Controller) answerWithoutLeader(heartbeat *api.Heartbeat) answer {
	lastTerm, since := c.elector.LeaderlessFor()
	if lastTerm == 0 || since > tuning.LeaderlessGrace && c.health.healthy() {
		return answer{http.StatusServiceUnavailable, api.Error{Error: "no leader yet"}}
	}
	if !c.leases.mayRenew() {
		return c.leases.refuse()
	}
	return answer{http.StatusOK, c.leases.enforceCancellations(heartbeat, api.HeartbeatResponse{Term: max(lastTerm, heartbeat.Term), Commands: []api.Command{}})}
}

// answerForUnreachableLeader answers a heartbeat with commands that the leader of the term has relayed, and relays the
// heartbeat to the leader. The argument relay is the method of workerProxy that does both.
func (c *Controller) answerForUnreachableLeader(heartbeat *api.Heartbeat, term uint64, relay func(*api.Heartbeat, uint64) api.HeartbeatResponse) answer {
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

// answerAsLeader answers a heartbeat as the leader. Via is the peer that forwarded it, or empty.
func (c *Controller) answerAsLeader(sched *scheduler.Scheduler, heartbeat *api.Heartbeat, via string) answer {
	// A leader that has not read the records knows only those cancellations that its peers have stated.
	current := c.leases.markCurrentIfLeading()
	renewed := current || c.leases.mayRenew()
	if !renewed && !sched.Leading() {
		return answer{http.StatusServiceUnavailable, api.Error{Error: "isolated for too long to renew leases"}}
	}
	response, deposed, refused := sched.HandleHeartbeat(heartbeat, via)
	switch {
	case deposed && c.resignIfDeposed(sched):
		return answer{http.StatusMisdirectedRequest, api.Redirect{}}
	case deposed:
		return answer{http.StatusBadRequest, api.Error{Error: "helm: is higher than any token that was issued", Field: "helm"}}
	case refused:
		return answer{http.StatusServiceUnavailable, api.Error{Error: "this machine was returned"}}
	case !renewed:
		// A response without a token keeps the worker here without renewing its lease until the records are read.
		return answer{http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}}
	case !current:
		response = c.leases.enforceCancellations(heartbeat, response)
	}
	return answer{http.StatusOK, response}
}
