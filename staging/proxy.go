package staging

import (
	"bytes"
	"encoding/json"
	"time"

	"switchferry/api"
	"switchferry/relay"
)

// Proxy answers agents in place of a leader that their controller does not reach. It
// decides nothing: reports go into a box for the leader, and the order that the leader
// orderSentAt last comes back. Agents refuse what is older than what they keep, so an order that
// comes late or twice does no harm, and proofs rest on what the leader reads in reports,
// whichever way these came. It is not safe for use from several goroutines at once.
type Proxy struct {
	Outbox *relay.Outbox
	Inbox  relay.Reader
	// agents is what each agent said last, without what changes all the time; holds are
	// what it said that it holds, as of a version.
	agents map[string]*relayedAgent
}

type relayedAgent struct {
	incarnation, replicasVersion uint64
	replicas                     []api.StageHeld
	replicasKnown                bool
	lastStatus                   []byte
}

// NewProxy makes a proxy whose reports go into a box.
func NewProxy(box *relay.Outbox) *Proxy {
	return &Proxy{Outbox: box, agents: map[string]*relayedAgent{}}
}

// HandleHeartbeat takes in a report for the leader of a term, and gives what the agent is told.
func (proxy *Proxy) HandleHeartbeat(heartbeat api.StageHeartbeat, term uint64, now time.Time) (order api.StageOrder, err error) {
	if proxy.Outbox.Term() != term {
		proxy.Outbox.Reset(term)
		proxy.agents = map[string]*relayedAgent{}
	}
	agent := proxy.agents[heartbeat.Machine]
	if agent == nil || agent.incarnation != heartbeat.Incarnation {
		agent = &relayedAgent{incarnation: heartbeat.Incarnation}
		proxy.agents[heartbeat.Machine] = agent
	}
	told := api.StageOrder{}
	if raw := proxy.Inbox.MessageFor(term, heartbeat.Machine); raw != nil {
		if err := json.Unmarshal(raw, &told); err != nil {
			return order, err
		}
	}
	there := told.Term == term && told.Incarnation == heartbeat.Incarnation
	if heartbeat.All {
		agent.replicasVersion, agent.replicas, agent.replicasKnown = heartbeat.Version, heartbeat.Holds, true
	}
	has := agent.replicasKnown && agent.replicasVersion == heartbeat.Version
	if has && !(there && told.Known == heartbeat.Version) {
		// The leader may have missed what it holds, while it took our word for that.
		heartbeat.All, heartbeat.Holds = true, agent.replicas
	}
	still := heartbeat
	still.Seq, still.Used, still.FromStore, still.FromPeers = 0, 0, 0, 0
	still.Copies = nil
	for _, c := range heartbeat.Copies {
		c.Got = 0
		still.Copies = append(still.Copies, c)
	}
	said, err := json.Marshal(still)
	if err != nil {
		return order, err
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return order, err
	}
	proxy.Outbox.Put(heartbeat.Machine, body, !bytes.Equal(said, agent.lastStatus), now)
	agent.lastStatus = said
	// An order of number 0 changes nothing.
	order = api.StageOrder{Term: heartbeat.Term, Sets: []api.StageSet{}}
	if there {
		order = told
	}
	if has {
		order.Known = heartbeat.Version
	}
	return order, nil
}

// Expire drops agents that have not reported for so long.
func (proxy *Proxy) Expire(now time.Time, after time.Duration) {
	for _, name := range proxy.Outbox.Expire(now, after) {
		delete(proxy.agents, name)
	}
}
