package exchange

import (
	"golang.org/x/time/rate"

	"switchferry/relay"
	"switchferry/settings"
	"switchferry/tuning"
)

// PacketLimits returns the limits that relayed packets keep: the lowest that the state service has
// or will have.
func PacketLimits(facts settings.State) relay.Limits {
	least := facts.Least()
	return relay.Limits{Value: least.ValueBytes(), Request: tuning.PacketRequestBytes, Ops: least.TxnOps}
}

// WriteRate returns the limiter of the packets that a controller writes, of all kinds together. It is
// a small share of the state service's limit, since the leader's records come first.
func WriteRate(facts settings.State) *rate.Limiter {
	writesPerSecond := tuning.RelayShare * facts.Least().WriteRPS
	return rate.NewLimiter(rate.Limit(writesPerSecond), max(PacketLimits(facts).MaxPackets(), int(writesPerSecond)))
}
