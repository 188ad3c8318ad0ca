package proxy

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/relay/exchange"
	"switchferry/staging"
	"switchferry/store"
	"switchferry/tuning"
)

// Agents answers data agents in place of an unreachable leader. It is safe for concurrent use.
type Agents struct {
	// Exchange relays the packets of agents. The owner of the Agents must run it.
	Exchange *exchange.Exchange

	clock clockwork.Clock

	mu sync.Mutex
	// orders is guarded by mu.
	orders *staging.Proxy
}

// NewAgents returns a proxy that has received no heartbeat yet.
func NewAgents(options Options) *Agents {
	a := &Agents{clock: options.Clock, orders: staging.NewProxy(options.newOutbox())}
	a.Exchange = options.newExchange(store.AgentRelayKey, store.AgentResponsePrefix, tuning.RelayAgentRefreshInterval)
	a.Exchange.Lock, a.Exchange.Outbox, a.Exchange.Reader = &a.mu, a.orders.Outbox, &a.orders.Inbox
	a.Exchange.Expire = func(now time.Time) { a.orders.Expire(now, senderTimeout) }
	a.Exchange.TermEnded = func() { a.orders.Outbox.Reset(0) }
	return a
}

// HandleHeartbeat relays an agent's heartbeat to the leader of a term and returns the newest order that the leader has
// sent for the agent. The error reports that the order is corrupt.
func (a *Agents) HandleHeartbeat(heartbeat *api.StageHeartbeat, term uint64) (api.StageOrder, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.orders.HandleHeartbeat(*heartbeat, term, a.clock.Now())
}
