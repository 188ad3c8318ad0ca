package controller

import (
	"context"

	"switchferry/relay/exchange"
	"switchferry/relay/proxy"
	"switchferry/scheduler"
	"switchferry/store"
)

// proxyOptions returns what the proxies of workers and agents need of this controller.
func (c *Controller) proxyOptions() proxy.Options {
	return proxy.Options{Member: c.settings.Member, Client: c.client, Clock: c.clock, WriteLimit: c.relayLimiter, State: c.settings.Facts.State}
}

// followWorkerRelay takes in, as the leader, the workers' heartbeats that peers relay through the state service.
func (c *Controller) followWorkerRelay(ctx context.Context, sched *scheduler.Scheduler, committer *store.Committer, after uint64) {
	exchange.ClaimPackets(ctx, c.client, c.clock, committer, store.RelayResponsePrefix)
	exchange.Follow(ctx, c.client, c.clock, store.RelayPrefix, after, sched.Term(), sched.AcceptWorkerMessage)
}

// followAgentRelay takes in, as the leader, the agents' heartbeats that peers relay through the state service.
func (c *Controller) followAgentRelay(ctx context.Context, sched *scheduler.Scheduler, committer *store.Committer, after uint64) {
	exchange.ClaimPackets(ctx, c.client, c.clock, committer, store.AgentResponsePrefix)
	exchange.Follow(ctx, c.client, c.clock, store.AgentRelayPrefix, after, sched.Term(), sched.AcceptAgentMessage)
}
