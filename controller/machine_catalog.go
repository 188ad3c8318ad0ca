package controller

import (
	"context"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/cloud"
	"switchferry/internal/sleep"
	"switchferry/tuning"
)

// machineCatalog keeps the machine types that the cloud offers.
type machineCatalog struct {
	clock clockwork.Clock
	cloud *cloud.Client

	// mu guards types.
	mu    sync.Mutex
	types []api.MachineType
}

// MachineTypes returns the types as last read; none before that. The caller must not change the list.
func (m *machineCatalog) MachineTypes() []api.MachineType {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.types
}

// set replaces the types.
func (m *machineCatalog) set(types []api.MachineType) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.types = types
}

// refresh reads the types now and then, for this process and the scheduler of its term, until the context ends.
func (m *machineCatalog) refresh(ctx context.Context, term *currentTerm) {
	for ctx.Err() == nil {
		types, err := m.cloud.Catalog(ctx)
		wait := tuning.CatalogEvery
		if err != nil {
			slog.Info("catalog not read", "err", err)
			wait = tuning.BackoffBase
		} else {
			m.set(types)
			if sched := term.scheduler(); sched != nil {
				sched.SetTypes(types)
			}
		}
		sleep.For(ctx, m.clock, wait)
	}
}
