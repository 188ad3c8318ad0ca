package membership

import (
	"context"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"

	"switchferry/tuning"
)

// Watcher runs the MemberList of a process and logs each change once. It is safe for concurrent use.
type Watcher struct {
	clock clockwork.Clock

	// mu guards list.
	mu   sync.Mutex
	list *MemberList
}

// NewWatcher returns the watcher of the controller self, which starts at the clock's present time. The parameter
// others has the names of all other controllers.
func NewWatcher(self string, others []string, clock clockwork.Clock) *Watcher {
	return &Watcher{clock: clock, list: New(self, others, clock.Now())}
}

// Observe applies observations in order, reevaluates all members and logs the changes.
func (w *Watcher) Observe(observations ...Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, change := range w.list.Step(w.clock.Now(), observations...) {
		slog.Info("membership level changed", "member", change.Member, "from", string(change.From), "to", string(change.To), "parts", change.ImpairedComponents, "why", change.Reason)
	}
}

// Run observes this controller's own state, which local returns, every tuning.MembershipInterval until ctx ends. This
// also keeps the levels current when nothing else is observed.
func (w *Watcher) Run(ctx context.Context, local func() LocalState) {
	for ctx.Err() == nil {
		w.Observe(local())
		select {
		case <-ctx.Done():
		case <-w.clock.After(tuning.MembershipInterval):
		}
	}
}

// HeardPeers returns the names of the peers from which this controller receives hellos, sorted.
func (w *Watcher) HeardPeers() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.HeardPeers()
}

// Views returns the views of all members: this controller first, then the peers sorted by name.
func (w *Watcher) Views() []View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.Views(w.clock.Now())
}
