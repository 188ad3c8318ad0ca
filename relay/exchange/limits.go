package exchange

import (
	"golang.org/x/time/rate"

	"switchferry/relay"
	"switchferry/settings"
	"switchferry/tuning"
)

// PacketLimits returns the limits that relayed packets must observe, derived from the lowest limits that
// the state service has now or will have.
func PacketLimits(limits settings.State) relay.Limits {
	least := limits.Least()
	return relay.Limits{MaxValueBytes: least.ValueBytes(), MaxRequestBytes: tuning.MaxPacketRequestBytes, MaxOperations: least.TxnOps}
}

// WriteRate returns the limiter of the packets of all kinds that a controller writes. Its rate is the
// share tuning.RelayWriteShare of the state service's write limit, since the leader's records have priority.
func WriteRate(limits settings.State) *rate.Limiter {
	writesPerSecond := tuning.RelayWriteShare * limits.Least().WriteRPS
	return rate.NewLimiter(rate.Limit(writesPerSecond), max(PacketLimits(limits).MaxPackets(), int(writesPerSecond)))
}
