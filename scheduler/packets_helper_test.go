package scheduler

import (
	"context"

	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/relay/proxy"
	"switchferry/settings"
	"switchferry/store"
)

// packetCarrier carries packets between a follower's proxy and the leader of a harness.
type packetCarrier struct {
	harness *harness
	// exchange is the proxy's; prefix is that of the keys of its packets.
	exchange *exchange.Exchange
	prefix   string
	// after is the revision up to which the leader has read them.
	after       uint64
	reassembler relay.Reassembler
}

// toLeader has the follower write its packets, and passes the messages in them to deliver, the leader's.
func (c *packetCarrier) toLeader(deliver func(member string, message relay.Message)) {
	c.harness.Helper()
	ctx := context.Background()
	for c.exchange.Write(ctx) {
	}
	events, revision, err := c.harness.client().Watch(ctx, c.prefix, c.after, 0)
	if err != nil {
		c.harness.Fatal(err)
	}
	c.after = max(c.after, revision)
	exchange.UnpackEvents(events, c.prefix, c.harness.term, &c.reassembler, deliver)
}

// toFollower has the follower read the leader's packets.
func (c *packetCarrier) toFollower() {
	c.harness.Helper()
	if _, err := c.exchange.Fetch(context.Background(), 0); err != nil {
		c.harness.Fatal(err)
	}
}

// newWorkerPackets returns what carries the packets of workers from now on.
func newWorkerPackets(h *harness, relayed *exchange.Exchange) *packetCarrier {
	return &packetCarrier{harness: h, exchange: relayed, prefix: store.RelayPrefix, after: h.term}
}

// newFollowerRelay returns the relay of a follower y of a harness's leader.
func newFollowerRelay(h *harness) *proxy.Workers {
	limits := settings.State{RPS: 800, WriteRPS: 5000, ValueKB: 16, TxnOps: 12}
	return proxy.NewWorkers(proxy.Options{Member: "y", Client: h.client(), Clock: h.clock, WriteLimit: exchange.WriteRate(limits), State: limits})
}
