package controller

import (
	"context"
	"log/slog"
	"net/http"

	"switchferry/api"
	"switchferry/membership"
	"switchferry/peer"
	"switchferry/tuning"
)

// VerbMembers shows how this controller sees all members, served only with membership on.
const VerbMembers = "members"

// watchMembers lets this node keep a table of members; it is called before Run.
func (n *Controller) watchMembers() {
	var others []string
	for _, s := range n.set.Peers {
		others = append(others, s.Member)
	}
	n.members = membership.NewWatcher(n.set.Member, others, n.clock)
	n.peers.OnObservation = func(o membership.Observation) { n.members.Observe(o) }
}

// MembersOn tells whether membership is on.
func (n *Controller) MembersOn() bool { return n.members != nil }

// aboutMembers answers with this controller's own view: another's may differ, and that is shown.
func (n *Controller) aboutMembers() peer.Response {
	if n.members == nil {
		return answer(http.StatusNotFound, api.Error{Error: "membership is off"})
	}
	return answer(http.StatusOK, n.members.Views())
}

// leaves tells whether this process ends by plan.
func (n *Controller) leaves() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// Shutdown hands over by plan, before this process ends: users are sent elsewhere, a leader gives up
// its post while a sibling can take it, and requests under way, and those of users who have not
// been told yet, are served meanwhile. With membership off it does nothing.
func (n *Controller) Shutdown(ctx context.Context) {
	if n.members == nil {
		return
	}
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, tuning.LeaveMost)
	defer stop()
	slog.Info("leaving by plan", "leads", n.leading() != nil)
	// Peers are told with the next greeting, and the load balancer probes once a second.
	n.sleep(ctx, tuning.LeaveTold)
	term, _ := n.elector.Term()
	for term != 0 && ctx.Err() == nil {
		ready := false
		for _, h := range n.peers.LivePeers() {
			ready = ready || h.StateOK && !h.Leaving
		}
		if ready {
			n.elector.Resign("it leaves by plan")
			break
		}
		n.sleep(ctx, tuning.ElectRetry)
	}
	for ctx.Err() == nil {
		leader, led := n.elector.Leader()
		if now, _ := n.elector.Term(); now == 0 && leader != "" && leader != n.set.Member && led > term {
			break
		}
		n.sleep(ctx, tuning.ElectRetry/5)
	}
	n.sleep(ctx, tuning.LeaveAfter)
}
