package staging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"switchferry/api"
	"switchferry/relay"
)

// Proxy answers agents in place of a leader that their controller cannot reach. It decides
// nothing: it relays heartbeats to the leader and returns the newest order that the leader sent.
// Agents refuse orders older than the one they have, so an order that comes late or twice does
// no harm, and the leader's proofs rest on the heartbeats that it reads, whichever way they came.
// A Proxy is not safe for concurrent use.
type Proxy struct {
	// Outbox takes the heartbeats for the leader, Inbox has its orders.
	Outbox *relay.Outbox
	Inbox  relay.Reader

	agents map[string]*relayedAgent
}

// relayedAgent is what a machine's agent reported in its heartbeats.
type relayedAgent struct {
	incarnation uint64
	// replicas are what the agent holds as of replicasVersion, if replicasKnown is set.
	replicasKnown   bool
	replicasVersion uint64
	replicas        []api.StageHeld
	// lastStatus is the encoded status of the last heartbeat, see encodeStatus.
	lastStatus []byte
}

// NewProxy returns a proxy that puts heartbeats into an outbox.
func NewProxy(outbox *relay.Outbox) *Proxy {
	return &Proxy{Outbox: outbox, agents: map[string]*relayedAgent{}}
}

// HandleHeartbeat relays a heartbeat to the leader of a term and returns the order for the agent.
// If the leader sent none to this incarnation, that is an order of number 0, which changes
// nothing. The error is that of a malformed order of the leader.
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
	if heartbeat.All {
		agent.replicasKnown = true
		agent.replicasVersion = heartbeat.Version
		agent.replicas = heartbeat.Holds
	}
	replicasCurrent := agent.replicasKnown && agent.replicasVersion == heartbeat.Version
	leaderCurrent := ordered && order.Known == heartbeat.Version
	if replicasCurrent && !leaderCurrent {
		// The agent sends its replicas until the proxy knows them; the leader may not have them yet.
		heartbeat.All = true
		heartbeat.Holds = agent.replicas
	}
	if err := proxy.relayHeartbeat(agent, &heartbeat, now); err != nil {
		return api.StageOrder{}, err
	}
	if !ordered {
		order = api.StageOrder{Term: heartbeat.Term, Sets: []api.StageSet{}}
	}
	if replicasCurrent {
		order.Known = heartbeat.Version
	}
	return order, nil
}

// leaderOrder returns the newest order of the leader for the machine of a heartbeat. It returns
// false if there is none of this term and for this incarnation of the agent.
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

// relayHeartbeat puts a heartbeat into the outbox, as urgent if the agent's status changed.
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

// encodeStatus encodes a heartbeat without the fields that change all the time.
func encodeStatus(heartbeat api.StageHeartbeat) ([]byte, error) {
	heartbeat.Seq, heartbeat.Used, heartbeat.FromStore, heartbeat.FromPeers = 0, 0, 0, 0
	copies := heartbeat.Copies
	heartbeat.Copies = nil
	for _, progress := range copies {
		progress.Got = 0
		heartbeat.Copies = append(heartbeat.Copies, progress)
	}
	return json.Marshal(heartbeat)
}

// Expire forgets the agents that have not sent a heartbeat for the given time.
func (proxy *Proxy) Expire(now time.Time, after time.Duration) {
	for _, machine := range proxy.Outbox.Expire(now, after) {
		delete(proxy.agents, machine)
	}
}
