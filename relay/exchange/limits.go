package exchange

import (
	"golang.org/x/time/rate"

	"switchferry/relay"
	"switchferry/settings"
	"switchferry/tuning"
)

// PacketLimits returns the limits that relayed packets must observe, derived from the lowest limits that
// the state service has now or will have.
func PacketLimits(limits settings.StateLimits) relay.Limits {
	least := limits.Strictest()
	return relay.Limits{MaxValueBytes: least.MaxValueBytes(), MaxRequestBytes: tuning.MaxPacketRequestBytes, MaxOperations: least.TxnOps}
}

// NewWriteLimiter returns the limiter of the packets of all kinds that a controller writes. Its rate is the
// share tuning.RelayWriteShare of the state service's write limit, since the leader's records have priority.
func NewWriteLimiter(limits settings.StateLimits) *rate.Limiter {
	writesPerSecond := tuning.RelayWriteShare * limits.Strictest().WriteRPS
	return rate.NewLimiter(rate.Limit(writesPerSecond), max(PacketLimits(limits).MaxPackets(), int(writesPerSecond)))
}
