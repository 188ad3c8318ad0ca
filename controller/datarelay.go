package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/staging"
	"switchferry/store"
	"switchferry/tuning"
)

// Agents behind a cut: the controller on their side answers them in the leader's place
// and passes their reports on through the state service; the leader's orders come back
// the same way.

// agentRelay is a sibling's side.
type agentRelay struct {
	mu    sync.Mutex
	proxy *staging.Proxy
	post  *exchange.Exchange
	clock clockwork.Clock
}

func newAgentRelay(n *Controller) *agentRelay {
	y := &agentRelay{clock: n.clock, proxy: staging.NewProxy(relay.NewOutbox(exchange.PacketLimits(n.set.Facts.State), uint64(n.clock.Now().UnixMilli())))}
	y.post = n.exchange(store.StageRelayKey, store.StageMailPrefix, tuning.RelayStageKeep)
	y.post.Lock, y.post.Outbox, y.post.Reader = &y.mu, y.proxy.Outbox, &y.proxy.Inbox
	y.post.Expire = func(now time.Time) { y.proxy.Expire(now, 2*tuning.RelayKeep) }
	y.post.TermEnded = func() { y.proxy.Outbox.Reset(0) }
	return y
}

func (y *agentRelay) report(r *api.StageHeartbeat, term uint64) (api.StageOrder, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.proxy.HandleHeartbeat(*r, term, y.clock.Now())
}

// mailed is what the leader has put into the mail for an agent behind a sibling.
type mailed struct {
	member         string
	session        uint64
	order, version uint64
}

// StagingRelayed takes in an agent's report that a sibling passed on.
func (c *Core) StagingRelayed(member string, r *api.StageHeartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.data
	if _, gone := c.gone[r.Machine]; gone || d == nil || r.Term > c.term {
		return
	}
	if !d.desk.ApplyHeartbeat(r, c.now()) {
		return
	}
	c.kick()
	was := d.relayed[r.Machine]
	if was == nil || was.member != member {
		slog.Info("agent reports through a sibling", "machine", r.Machine, "sibling", member)
		c.agentDirect(r.Machine)
		d.relayed[r.Machine] = &mailed{member: member}
	}
	c.mailOrder(r.Machine)
}

// agentDirect notes that an agent reports without help.
func (c *Core) agentDirect(machine string) {
	d := c.data
	was := d.relayed[machine]
	if was == nil {
		return
	}
	delete(d.relayed, machine)
	d.mail.Remove(was.member, machine, true)
}

// mailOrder puts an agent's order into the mail, if it is not there as it stands.
func (c *Core) mailOrder(machine string) {
	d := c.data
	x := d.relayed[machine]
	o, _, ok := d.desk.Order(machine)
	if !ok || !c.loaded || !c.hooks.Valid() || x.order == o.Order && x.version == o.Known && x.session == o.Incarnation {
		return
	}
	x.order, x.version, x.session = o.Order, o.Known, o.Incarnation
	d.mail.Update(x.member, machine)
}

// orderBody is what stands in the mail for an agent: its order as it stands now.
func (c *Core) orderBody(_, machine string) json.RawMessage {
	o, _, ok := c.data.desk.Order(machine)
	if !ok {
		return nil
	}
	raw, err := json.Marshal(o)
	if err != nil {
		slog.Error("an order cannot be encoded", "machine", machine, "err", err)
		return nil
	}
	return raw
}

// agentLetters is the leader's side: it takes in what siblings pass on of agents.
func (n *Controller) agentLetters(ctx context.Context, core *Core, com *store.Committer, after uint64) {
	exchange.ClaimPackets(ctx, n.client, n.clock, com, store.StageMailPrefix)
	exchange.Follow(ctx, n.client, n.clock, store.StageRelayPrefix, after, core.term, core.agentSays)
}

// agentSays takes in one message about an agent.
func (c *Core) agentSays(member string, m relay.Message) {
	var r api.StageHeartbeat
	err := json.Unmarshal(m.Body, &r)
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		slog.Error("malformed report of an agent", "through", member, "agent", strings.ToValidUTF8(m.Name, "?"), "err", err)
		return
	}
	c.StagingRelayed(member, &r)
}
