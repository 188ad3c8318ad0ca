package controller

import (
	"context"
	"encoding/json"
	"net/http"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/redirect"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/tuning"
)

// HandleHeartbeat answers a worker. Its zone's own controller is its home, so that a cut
// between zones does not take its answers away: that one passes reports on to
// the leader, and relays them once it cannot.
func (c *Controller) HandleHeartbeat(ctx context.Context, r *api.Heartbeat, raw []byte) (status int, body any) {
	c.mu.Lock()
	fresh := c.newestHeartbeats.Accept(r)
	if fresh {
		c.lastHeartbeat = c.clock.Now()
	}
	c.mu.Unlock()
	if !fresh {
		// A copy that came late shows neither that workers reach this node nor where one is; an
		// JSONResponse without a token renews nothing.
		return http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}
	}
	if sched := c.leadingScheduler(); sched != nil {
		if to := c.controllerFor(r.Zone, c.settings.Member); to != c.settings.Member && c.mayRedirect(r.Machine, to) {
			return http.StatusMisdirectedRequest, api.Redirect{Controller: to}
		}
		return c.answerAsLeader(sched, r, "")
	}
	leader, term := c.elector.Leader()
	leader, term, there := newestLeader(leader, term, c.peers.LivePeers())
	if prev := c.previousLeader(); !c.stateServiceHealthy() && c.peers.Isolated() && c.mayRedirect(r.Machine, prev) {
		// Reaching neither the state service nor any sibling, we are the one
		// that is cut off, or all of our zone is. A worker that comes back
		// reaches nobody else either, and stays.
		return http.StatusMisdirectedRequest, api.Redirect{Controller: prev}
	}
	if leader == "" || leader == c.settings.Member {
		last, since := c.elector.LeaderlessFor()
		if last == 0 || r.Term > last || since > tuning.LeaderlessGrace && c.stateServiceHealthy() {
			return http.StatusServiceUnavailable, api.Error{Error: "no leader yet"}
		}
		if !c.mayRenewLeases() {
			return c.refuseRenewal()
		}
		// Between two leaders the last one's token still keeps leases. Sent
		// away, a worker might try nodes beyond a cut until its lease ends.
		return http.StatusOK, c.enforceCancellations(r, api.HeartbeatResponse{Term: last, Commands: []api.Command{}})
	}
	if there {
		if to := c.controllerFor(r.Zone, leader); to != c.settings.Member && c.mayRedirect(r.Machine, to) {
			return http.StatusMisdirectedRequest, api.Redirect{Controller: to}
		}
		if a, err := c.peers.Ask(ctx, leader, peer.Request{Verb: verbReport, Body: raw, From: c.settings.Member}, tuning.PeerTimeout); err == nil && a.Status != http.StatusMisdirectedRequest {
			return a.Status, json.RawMessage(a.Body)
		}
		// Whatever the leader answered, this report's answer is ours now: it
		// keeps the lease and carries nothing that was not in the mail.
	}
	if r.Term > term {
		return http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}
	}
	if !c.mayRenewLeases() {
		return c.refuseRenewal()
	}
	return http.StatusOK, c.enforceCancellations(r, c.workerProxy.HandleHeartbeat(r, term))
}

// handleForwardedHeartbeat serves a report that a sibling passes on.
func (c *Controller) handleForwardedHeartbeat(from string, raw []byte) peer.Response {
	sched := c.leadingScheduler()
	var r api.Heartbeat
	if err := json.Unmarshal(raw, &r); err != nil || r.Check() != nil || sched == nil {
		return peer.JSONResponse(http.StatusMisdirectedRequest, api.Redirect{})
	}
	return peer.JSONResponse(c.answerAsLeader(sched, &r, from))
}

// answerAsLeader answers a report as the leader. Via is the sibling that passes it on.
func (c *Controller) answerAsLeader(sched *scheduler.Scheduler, r *api.Heartbeat, via string) (status int, body any) {
	// A leader that has not read the records knows of cancellations what its siblings say, or nothing.
	sure := c.markCurrentIfLeading()
	kept := sure || c.mayRenewLeases()
	if !kept && !sched.Leading() {
		return http.StatusServiceUnavailable, api.Error{Error: "cut off for too long to keep tasks alive"}
	}
	o, deposed, refused := sched.HandleHeartbeat(r, via)
	switch {
	case deposed && c.deposed(sched):
		return http.StatusMisdirectedRequest, api.Redirect{}
	case deposed:
		return http.StatusBadRequest, api.Error{Error: "helm: is higher than any token that was given", Field: "helm"}
	case refused:
		return http.StatusServiceUnavailable, api.Error{Error: "this machine was returned"}
	case !kept:
		// The worker waits here, unanswered as far as its lease goes, until the records are read.
		return http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}
	case !sure:
		o = c.enforceCancellations(r, o)
	}
	return http.StatusOK, o
}

// previousLeader is the sibling that comes before us in the order in which workers try
// nodes: one that finds nobody there comes straight back.
func (c *Controller) previousLeader() string {
	prev, last := "", ""
	for _, s := range c.settings.Peers {
		last = max(last, s.Member)
		if s.Member < c.settings.Member {
			prev = max(prev, s.Member)
		}
	}
	if prev == "" {
		return last
	}
	return prev
}

// newestLeader is the leader by the siblings' own word, or else as last read; there:
// a sibling within reach says that it leads. A former leader that came back
// without its term leads nothing, even while its key still stands because the
// state service is out.
func newestLeader(leader string, term uint64, alive []peer.Hello) (string, uint64, bool) {
	there := false
	for _, h := range alive {
		if h.Term > 0 && h.Term >= term {
			leader, term, there = h.Member, h.Term, true
		}
	}
	return leader, term, there
}

// mayRedirect tells whether a worker may be sent to another node.
func (c *Controller) mayRedirect(worker, to string) bool {
	// One that greets nobody is judged by nothing but whether workers come back.
	hears := true
	for _, h := range c.peers.LivePeers() {
		if h.Member == to {
			hears = h.ReceivesHeartbeats
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.redirects.Allow(c.clock.Now(), worker, to, hears)
}

// controllerFor is the controller that a zone's workers should report to: the leader if it
// is there, else their home, or, next to a silent controller, the one behind it.
func (c *Controller) controllerFor(zone, leader string) string {
	to := leader
	if c.zoneOf(leader) != zone {
		if home := c.homeController(zone); home != "" {
			to = home
		}
	}
	ring := append([]settings.Peer{{Member: c.settings.Member, Zone: c.settings.Zone}}, c.settings.Peers...)
	return redirect.Target(ring, to, zone, func(m string) bool {
		return m != c.settings.Member && c.clock.Since(c.startedAt) > tuning.PeerDead+tuning.PeerHello && c.peers.Unresponsive(m)
	})
}

// homeController is the controller that a zone's workers report to: this one if it is
// there, else the first within reach that is; none if no one is.
func (c *Controller) homeController(zone string) string {
	if zone == c.settings.Zone {
		return c.settings.Member
	}
	for _, s := range c.settings.Peers {
		if s.Zone == zone && c.peers.Reachable(s.Member) {
			return s.Member
		}
	}
	return ""
}

func (c *Controller) zoneOf(member string) string {
	for _, s := range c.settings.Peers {
		if s.Member == member {
			return s.Zone
		}
	}
	return c.settings.Zone
}
