package exchange

import (
	"golang.org/x/time/rate"

	"switchferry/relay"
	"switchferry/settings"
	"switchferry/tuning"
)

// PacketLimits returns the limits that relayed packets must observe, derived from the lowest limits that
// the state service has now or will have.
func PacketLimits(facts settings.State) relay.Limits {
	least := facts.Least()
	return relay.Limits{Value: least.ValueBytes(), Request: tuning.PacketRequestBytes, Ops: least.TxnOps}
}

// WriteRate returns the limiter of the packets of all kinds that a controller writes. Its rate is the
// share tuning.RelayShare of the state service's write limit, since the leader's records have priority.
func WriteRate(facts settings.State) *rate.Limiter {
	writesPerSecond := tuning.RelayShare * facts.Least().WriteRPS
	return rate.NewLimiter(rate.Limit(writesPerSecond), max(PacketLimits(facts).MaxPackets(), int(writesPerSecond)))
}
