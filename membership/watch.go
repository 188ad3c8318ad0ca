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
	table *Table
}

// Watch makes the watcher of a controller that has just begun.
func Watch(self string, others []string, clock clockwork.Clock) *Watcher {
	return &Watcher{clock: clock, table: New(self, others, clock.Now())}
}

// Saw takes in an observation.
func (w *Watcher) Saw(seen ...Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.table.Step(w.clock.Now(), seen...) {
		slog.Info("member", "member", c.Member, "from", string(c.From), "to", string(c.To), "parts", c.Parts, "why", c.Why)
	}
}

// Run steps the table until the context ends, with what this controller says of itself.
func (w *Watcher) Run(ctx context.Context, own func() Own) {
	for ctx.Err() == nil {
		w.Saw(own())
		select {
		case <-ctx.Done():
		case <-w.clock.After(tuning.MembersEvery):
		}
	}
}

// Hears are the members that this controller hears.
func (w *Watcher) Hears() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Hears()
}

// Views are all members as they stand, this one first.
func (w *Watcher) Views() []View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Views(w.clock.Now())
}
