package controller

import (
	"context"

	"switchferry/relay/exchange"
	"switchferry/relay/proxy"
	"switchferry/store"
)

// proxyOptions returns the options of the proxies of workers and agents.
func (c *Controller) proxyOptions() proxy.Options {
	return proxy.Options{Member: c.settings.Member, Client: c.client, Clock: c.clock, WriteLimiter: c.relayLimiter, StateLimits: c.settings.Facts.State}
}

// followWorkerRelay processes the workers' heartbeats that peers relay to the leader through the state service.
func (t *leaderTerm) followWorkerRelay(ctx context.Context, after uint64) {
	exchange.ClaimPackets(ctx, t.controller.client, t.controller.clock, t.committer, store.RelayResponsePrefix)
	exchange.Follow(ctx, t.controller.client, t.controller.clock, store.RelayPrefix, after, t.scheduler.Term(), t.scheduler.AcceptWorkerMessage)
}

// followAgentRelay processes the agents' heartbeats that peers relay to the leader through the state service.
func (t *leaderTerm) followAgentRelay(ctx context.Context, after uint64) {
	exchange.ClaimPackets(ctx, t.controller.client, t.controller.clock, t.committer, store.AgentResponsePrefix)
	exchange.Follow(ctx, t.controller.client, t.controller.clock, store.AgentRelayPrefix, after, t.scheduler.Term(), t.scheduler.AcceptAgentMessage)
}
