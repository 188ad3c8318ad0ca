// Package proxy answers workers and data agents in place of a leader that this controller cannot reach, while the state
// service says that the leader leads. Heartbeats go to the leader, and its commands and orders come back, in packets
// through the state service (packages relay and relay/exchange). Without it, every worker on the far side of a network
// partition would kill its tasks as soon as its lease expires.
package proxy

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// Options are what a proxy needs of its controller.
type Options struct {
	// Member is this controller's name.
	Member string
	// Client and Clock are used for all packets.
	Client *store.Client
	Clock  clockwork.Clock
	// WriteLimit bounds the writes of all proxies of this controller together.
	WriteLimit *rate.Limiter
	// State holds the limits of the state service.
	State settings.State
}

// senderTimeout is how long a sender may be silent before a proxy forgets it.
const senderTimeout = 2 * tuning.RelayRefresh

// newOutbox returns an outbox for the packets to the leader. Its pieces are numbered from the time of day, so that no
// earlier process of this member used the same numbers.
func (o *Options) newOutbox() *relay.Outbox {
	return relay.NewOutbox(exchange.PacketLimits(o.State), uint64(o.Clock.Now().UnixMilli()))
}

// newExchange returns an exchange between this controller and the leader. The caller fills in whose packets it carries.
func (o *Options) newExchange(uplinkKey func(member string, i int) string, downlinkPrefix string, refreshEvery time.Duration) *exchange.Exchange {
	return &exchange.Exchange{
		Member:         o.Member,
		Client:         o.Client,
		Clock:          o.Clock,
		Rate:           o.WriteLimit,
		UplinkKey:      uplinkKey,
		DownlinkPrefix: downlinkPrefix + o.Member + "/",
		RefreshEvery:   refreshEvery,
	}
}
