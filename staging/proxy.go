package staging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"switchferry/api"
	"switchferry/relay"
)

// Proxy answers heartbeats of agents on behalf of a leader that their controller cannot reach
// directly. It makes no decisions: it relays heartbeats to the leader and returns the newest order
// that the leader sent. Agents reject orders older than their current one, so a delayed or duplicate
// order is harmless. The leader confirms parts only by the heartbeats that it receives itself,
// directly or relayed. A Proxy is not safe for concurrent use.
type Proxy struct {
	// Outbox holds the heartbeats to be relayed to the leader, and Inbox the orders received from
	// it.
	Outbox *relay.Outbox
	Inbox  relay.Reader

	agents map[string]*relayedAgent
}

// relayedAgent is the state of an agent whose heartbeats are relayed.
type relayedAgent struct {
	incarnation uint64
	// replicas lists the replicas that the agent holds as of replicasVersion, if replicasKnown is
	// set.
	replicasKnown   bool
	replicasVersion uint64
	replicas        []api.StageHolding
	// lastStatus is the status of the last heartbeat, as encoded by encodeStatus.
	lastStatus []byte
}

// NewProxy returns a Proxy that puts heartbeats into an outbox.
func NewProxy(outbox *relay.Outbox) *Proxy {
	return &Proxy{Outbox: outbox, agents: map[string]*relayedAgent{}}
}

// HandleHeartbeat relays a heartbeat to the leader of a term and returns the order for the agent. If
// the leader has sent no order to this incarnation of the agent, it returns an order with number 0,
// which has no effect. It returns an error if the leader's order is malformed or the heartbeat cannot
// be encoded.
func (proxy *Proxy) HandleHeartbeat(heartbeat api.StageHeartbeat, term uint64, now time.Time) (api.StageOrder, error) {
	if proxy.Outbox.Term() != term {
		proxy.Outbox.Reset(term)
		proxy.agents = map[string]*relayedAgent{}
	}
	agent := proxy.agents[heartbeat.Machine]
	if agent == nil || agent.incarnation != heartbeat.Incarnation {
		agent = &relayedAgent{incarnation: heartbeat.Incarnation}
		proxy.agents[heartbeat.Machine] = agent
	}
	order, ordered, err := proxy.leaderOrder(&heartbeat, term)
	if err != nil {
		return api.StageOrder{}, err
	}
	if heartbeat.HoldingsComplete {
		agent.replicasKnown = true
		agent.replicasVersion = heartbeat.Version
		agent.replicas = heartbeat.Holdings
	}
	replicasCurrent := agent.replicasKnown && agent.replicasVersion == heartbeat.Version
	leaderCurrent := ordered && order.KnownVersion == heartbeat.Version
	if replicasCurrent && !leaderCurrent {
		// The agent stops sending its replicas once the proxy has them, even if the leader does not.
		heartbeat.HoldingsComplete = true
		heartbeat.Holdings = agent.replicas
	}
	if err := proxy.relayHeartbeat(agent, &heartbeat, now); err != nil {
		return api.StageOrder{}, err
	}
	if !ordered {
		order = api.StageOrder{Term: heartbeat.Term, Sets: []api.StageSet{}}
	}
	if replicasCurrent {
		order.KnownVersion = heartbeat.Version
	}
	return order, nil
}

// leaderOrder returns the newest order that the leader sent for the machine of a heartbeat. It returns
// false if there is no order of this term for this incarnation of the agent.
func (proxy *Proxy) leaderOrder(heartbeat *api.StageHeartbeat, term uint64) (order api.StageOrder, ok bool, err error) {
	raw := proxy.Inbox.MessageFor(term, heartbeat.Machine)
	if raw == nil {
		return order, false, nil
	}
	if err := json.Unmarshal(raw, &order); err != nil {
		return order, false, fmt.Errorf("decode relayed order for %s: %w", heartbeat.Machine, err)
	}
	return order, order.Term == term && order.Incarnation == heartbeat.Incarnation, nil
}

// relayHeartbeat puts a heartbeat into the outbox. It is marked as urgent if the agent's status changed.
func (proxy *Proxy) relayHeartbeat(agent *relayedAgent, heartbeat *api.StageHeartbeat, now time.Time) error {
	status, err := encodeStatus(*heartbeat)
	if err != nil {
		return fmt.Errorf("encode status of %s: %w", heartbeat.Machine, err)
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return fmt.Errorf("encode heartbeat of %s: %w", heartbeat.Machine, err)
	}
	proxy.Outbox.Put(heartbeat.Machine, body, !bytes.Equal(status, agent.lastStatus), now)
	agent.lastStatus = status
	return nil
}

// encodeStatus encodes a heartbeat without its sequence number and byte counts, which change with
// almost every heartbeat.
func encodeStatus(heartbeat api.StageHeartbeat) ([]byte, error) {
	heartbeat.Seq, heartbeat.Used, heartbeat.BytesFromStore, heartbeat.BytesFromPeers = 0, 0, 0, 0
	copies := heartbeat.Copies
	heartbeat.Copies = nil
	for _, progress := range copies {
		progress.CopiedBytes = 0
		heartbeat.Copies = append(heartbeat.Copies, progress)
	}
	return json.Marshal(heartbeat)
}

// Expire removes the state of agents that have sent no heartbeat for maxAge.
func (proxy *Proxy) Expire(now time.Time, maxAge time.Duration) {
	for _, machine := range proxy.Outbox.Expire(now, maxAge) {
		delete(proxy.agents, machine)
	}
}
