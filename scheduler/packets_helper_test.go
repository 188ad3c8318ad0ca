package scheduler

import (
	"context"

	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/relay/proxy"
	"switchferry/settings"
	"switchferry/store"
)

// packetCarrier exchanges packets between a follower's proxy and the leader of a harness.
type packetCarrier struct {
	harness *harness
	// exchange is the proxy's exchange; prefix is the key prefix of the packets that it writes.
	exchange *exchange.Exchange
	prefix   string
	// after is the revision up to which the leader has read the packets.
	after       uint64
	reassembler relay.Reassembler
}

// toLeader writes the follower's packets and passes the messages in them to deliver, a method of the leader.
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

// toFollower reads the leader's packets on the follower.
func (c *packetCarrier) toFollower() {
	c.harness.Helper()
	if _, err := c.exchange.Fetch(context.Background(), 0); err != nil {
		c.harness.Fatal(err)
	}
}

// newWorkerPackets returns a carrier for the packets with workers' heartbeats that are written from now on.
func newWorkerPackets(h *harness, relayed *exchange.Exchange) *packetCarrier {
	return &packetCarrier{harness: h, exchange: relayed, prefix: store.RelayPrefix, after: h.term}
}

// newFollowerRelay returns the relay of a follower named y.
func newFollowerRelay(h *harness) *proxy.Workers {
	limits := settings.StateLimits{RPS: 800, WriteRPS: 5000, ValueKB: 16, TxnOps: 12}
	return proxy.NewWorkers(proxy.Options{Member: "y", Client: h.client(), Clock: h.clock, WriteLimiter: exchange.NewWriteLimiter(limits), StateLimits: limits})
}
