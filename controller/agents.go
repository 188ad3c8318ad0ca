package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/election"
	"switchferry/internal/rest"
	"switchferry/peer"
	"switchferry/redirect"
	"switchferry/relay/proxy"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/tuning"
)

// agentGateway answers the heartbeats of the data agents that run next to the workers, and sends them the leader's
// orders.
type agentGateway struct {
	settings *settings.Settings
	clock    clockwork.Clock
	elector  *election.Elector
	peers    *peer.Network
	health   *stateHealth
	term     *currentTerm
	leader   *leaderLocator
	// client sends orders to agents.
	client *http.Client
	// proxy relays heartbeats of agents while the leader is unreachable. It is set before Run, and nil with datasets
	// off.
	proxy *proxy.Agents

	// mu guards redirects, which remembers the agents that were redirected to the leader.
	mu        sync.Mutex
	redirects redirect.Tracker
}

// newAgentGateway returns the agent gateway of a controller.
func newAgentGateway(controller *Controller, transport http.RoundTripper) *agentGateway {
	return &agentGateway{settings: controller.settings, clock: controller.clock, elector: controller.elector, peers: controller.peers, health: controller.health, term: controller.term,
		leader: controller.leader, client: &http.Client{Transport: transport}, redirects: redirect.NewTracker()}
}

// mayRedirect reports whether an agent may be redirected to the leader.
func (a *agentGateway) mayRedirect(machine, leader string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.redirects.Allow(a.clock.Now(), machine, leader, true)
}

// handleHeartbeat answers an agent's heartbeat; raw is the heartbeat as received. Agents send their heartbeats to the
// leader, and other controllers redirect them to it. If an agent returns after a redirect, its heartbeats are forwarded
// to the leader while that is reachable, and otherwise relayed through the state service.
func (a *agentGateway) handleHeartbeat(ctx context.Context, heartbeat *api.StageHeartbeat, raw []byte) answer {
	if sched := a.term.scheduler(); sched != nil {
		return a.answerAsLeader(sched, heartbeat)
	}
	leader, term, reachable := a.leader.locate()
	if leader == "" || leader == a.settings.Member {
		return answer{http.StatusServiceUnavailable, api.Error{Error: "no leader yet"}}
	}
	if reachable {
		if a.mayRedirect(heartbeat.Machine, leader) {
			return answer{http.StatusMisdirectedRequest, api.Redirect{Controller: leader}}
		}
		if len(raw) <= tuning.MaxBodyBytes {
			response, err := a.peers.Call(ctx, leader, peer.Request{Verb: verbForwardStageHeartbeat, Body: raw, From: a.settings.Member}, tuning.PeerTimeout)
			if err == nil && response.Status == http.StatusOK {
				return answer{response.Status, json.RawMessage(response.Body)}
			}
		}
	}
	if heartbeat.Term > term || !a.health.healthy() {
		// This controller cannot relay; another one may reach the state service or the leader.
		return answer{http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}}
	}
	order, err := a.proxy.HandleHeartbeat(heartbeat, term)
	if err != nil {
		slog.Error("corrupt relayed stage order", "machine", heartbeat.Machine, "err", err)
		return answer{http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}}
	}
	return answer{http.StatusOK, order}
}

// handleForwardedHeartbeat serves an agent's heartbeat that a peer forwards. If the order is too large for a message
// between controllers, the request is refused, and the peer relays through the state service instead.
func (a *agentGateway) handleForwardedHeartbeat(raw []byte) peer.Response {
	sched := a.term.scheduler()
	var heartbeat api.StageHeartbeat
	if err := json.Unmarshal(raw, &heartbeat); err != nil || heartbeat.Check() != nil || sched == nil {
		return peer.JSONResponse(http.StatusMisdirectedRequest, api.Redirect{})
	}
	response := a.answerAsLeader(sched, &heartbeat).response()
	if len(response.Body) > tuning.MaxBodyBytes {
		return peer.JSONResponse(http.StatusRequestEntityTooLarge, api.Error{Error: "the order is too large to be passed on"})
	}
	return response
}

// answerAsLeader answers an agent's heartbeat as the leader.
func (a *agentGateway) answerAsLeader(sched *scheduler.Scheduler, heartbeat *api.StageHeartbeat) answer {
	order, deposed, refused := sched.HandleStageHeartbeat(heartbeat)
	switch {
	case deposed:
		a.elector.Resign("an agent has seen a higher term")
		return answer{http.StatusMisdirectedRequest, api.Redirect{}}
	case refused:
		return answer{http.StatusServiceUnavailable, api.Error{Error: "this machine was returned"}}
	}
	return answer{http.StatusOK, order}
}

// sendOrder delivers an order to an agent. A lost order is sent again, and is included in the response to the agent's
// next heartbeat in any case.
func (a *agentGateway) sendOrder(ctx context.Context, sched *scheduler.Scheduler, name, address string, order api.StageOrder) {
	ctx, stop := context.WithTimeout(ctx, tuning.WorkerTimeout)
	defer stop()
	status, body, err := rest.Do(ctx, a.client, http.MethodPost, "http://"+address+"/stage", order)
	var heartbeat api.StageHeartbeat
	if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
		if err = json.Unmarshal(body, &heartbeat); err == nil {
			err = heartbeat.Check()
		}
	}
	if err != nil || heartbeat.Machine != name {
		slog.Debug("order not delivered", "machine", name, "status", status, "err", err)
		return
	}
	if _, deposed, _ := sched.HandleStageHeartbeat(&heartbeat); deposed {
		a.elector.Resign("an agent has seen a higher term")
	}
}

// HandleStageHeartbeat answers an agent's heartbeat with an HTTP status and a body; raw is the heartbeat as received.
func (c *Controller) HandleStageHeartbeat(ctx context.Context, heartbeat *api.StageHeartbeat, raw []byte) (status int, body any) {
	answer := c.agents.handleHeartbeat(ctx, heartbeat, raw)
	return answer.status, answer.body
}
