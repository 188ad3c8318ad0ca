package membership

import (
	"context"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"

	"switchferry/tuning"
)

// Watcher holds a controller's table behind a lock, steps it, and logs each change once.
type Watcher struct {
	clock clockwork.Clock
	mu    sync.Mutex
	list  *MemberList
}

// NewWatcher makes the watcher of a controller that has just begun.
func NewWatcher(self string, others []string, clock clockwork.Clock) *Watcher {
	return &Watcher{clock: clock, list: New(self, others, clock.Now())}
}

// Observe takes in an observation.
func (w *Watcher) Observe(observations ...Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, change := range w.list.Step(w.clock.Now(), observations...) {
		slog.Info("member", "member", change.Member, "from", string(change.From), "to", string(change.To), "parts", change.Parts, "why", change.Why)
	}
}

// Run steps the table until the context ends, with what this controller says of itself.
func (w *Watcher) Run(ctx context.Context, local func() LocalState) {
	for ctx.Err() == nil {
		w.Observe(local())
		select {
		case <-ctx.Done():
		case <-w.clock.After(tuning.MembersEvery):
		}
	}
}

// HeardPeers are the members that this controller hears.
func (w *Watcher) HeardPeers() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.HeardPeers()
}

// Views are all members as they stand, this one first.
func (w *Watcher) Views() []View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.Views(w.clock.Now())
}
