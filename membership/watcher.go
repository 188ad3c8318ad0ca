package membership

import (
	"context"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"

	"switchferry/tuning"
)

// Watcher keeps a process's MemberList and logs each change once. It may be used from several goroutines at
// once.
type Watcher struct {
	clock clockwork.Clock

	// mu guards list.
	mu   sync.Mutex
	list *MemberList
}

// NewWatcher returns the watcher of a controller that starts now, with the names of all other controllers.
func NewWatcher(self string, others []string, clock clockwork.Clock) *Watcher {
	return &Watcher{clock: clock, list: New(self, others, clock.Now())}
}

// Observe applies observations, in order, and logs the changes that follow.
func (w *Watcher) Observe(observations ...Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, change := range w.list.Step(w.clock.Now(), observations...) {
		slog.Info("membership level changed", "member", change.Member, "from", string(change.From), "to", string(change.To), "parts", change.Parts, "why", change.Why)
	}
}

// Run observes this controller's own state every tuning.MembersEvery, which keeps the levels current, until
// the context ends.
func (w *Watcher) Run(ctx context.Context, local func() LocalState) {
	for ctx.Err() == nil {
		w.Observe(local())
		select {
		case <-ctx.Done():
		case <-w.clock.After(tuning.MembersEvery):
		}
	}
}

// HeardPeers returns the names of the peers from which this controller receives hellos, sorted.
func (w *Watcher) HeardPeers() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.HeardPeers()
}

// Views returns the views of all members, this controller's first, the others sorted by name.
func (w *Watcher) Views() []View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.Views(w.clock.Now())
}
