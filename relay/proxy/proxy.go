// Package proxy answers workers and data agents in place of a leader that this controller cannot reach but that leads
// according to the state service. It relays their heartbeats to the leader, and the leader's commands and orders back,
// in packets through the state service (packages relay and relay/exchange). Without it, every worker that a network
// partition separates from the leader would kill its tasks as soon as its lease expires.
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

// Options holds what a proxy requires of its controller.
type Options struct {
	// Member is this controller's name.
	Member string
	// Client is the client of the state service.
	Client *store.Client
	Clock  clockwork.Clock
	// WriteLimiter limits the rate at which all proxies of this controller together write packets.
	WriteLimiter *rate.Limiter
	// StateLimits holds the limits of the state service.
	StateLimits settings.StateLimits
}

// senderTimeout is the time without a heartbeat after which a proxy removes a sender.
const senderTimeout = 2 * tuning.RelayRefreshInterval

// newOutbox returns an outbox for the packets to the leader. The IDs of its fragmented messages count up from the
// present Unix time in milliseconds, so that no earlier process of this member has used the same IDs.
func (o *Options) newOutbox() *relay.Outbox {
	return relay.NewOutbox(exchange.PacketLimits(o.StateLimits), uint64(o.Clock.Now().UnixMilli()))
}

// newExchange returns an exchange between this controller and the leader. The caller sets the remaining fields: Lock,
// Outbox, Reader, Expire and TermEnded.
func (o *Options) newExchange(uplinkKey func(member string, i int) string, downlinkPrefix string, refreshEvery time.Duration) *exchange.Exchange {
	return &exchange.Exchange{
		Member:         o.Member,
		Client:         o.Client,
		Clock:          o.Clock,
		WriteLimiter:   o.WriteLimiter,
		UplinkKey:      uplinkKey,
		DownlinkPrefix: downlinkPrefix + o.Member + "/",
		RefreshEvery:   refreshEvery,
	}
}
