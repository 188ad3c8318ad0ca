package controller

import (
	"context"
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
	y := &agentRelay{clock: n.clock, proxy: staging.NewProxy(relay.NewOutbox(exchange.PacketLimits(n.settings.Facts.State), uint64(n.clock.Now().UnixMilli())))}
	y.post = n.newExchange(store.StageRelayKey, store.StageMailPrefix, tuning.RelayStageKeep)
	y.post.Lock, y.post.Outbox, y.post.Reader = &y.mu, y.proxy.Outbox, &y.proxy.Inbox
	y.post.Expire = func(now time.Time) { y.proxy.Expire(now, 2*tuning.RelayKeep) }
	y.post.TermEnded = func() { y.proxy.Outbox.Reset(0) }
	return y
}

func (y *agentRelay) handleHeartbeat(r *api.StageHeartbeat, term uint64) (api.StageOrder, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.proxy.HandleHeartbeat(*r, term, y.clock.Now())
}

// followAgentRelay is the leader's side: it takes in what siblings pass on of agents.
func (c *Controller) followAgentRelay(ctx context.Context, sched *Scheduler, committer *store.Committer, after uint64) {
	exchange.ClaimPackets(ctx, c.client, c.clock, committer, store.StageMailPrefix)
	exchange.Follow(ctx, c.client, c.clock, store.StageRelayPrefix, after, sched.Term(), sched.AcceptAgentMessage)
}
