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

// machineCatalog caches the machine types that the cloud offers.
type machineCatalog struct {
	clock clockwork.Clock
	cloud *cloud.Client

	// mu guards types.
	mu    sync.Mutex
	types []api.MachineType
}

// MachineTypes returns the types that were last read, or none before the first read. The caller must not modify the
// slice.
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

// refresh reads the types every tuning.CatalogInterval, or again tuning.BackoffBase after an error, and passes them to
// the scheduler of the current term, until the context ends.
func (m *machineCatalog) refresh(ctx context.Context, term *currentTerm) {
	for ctx.Err() == nil {
		types, err := m.cloud.Catalog(ctx)
		wait := tuning.CatalogInterval
		if err != nil {
			slog.Info("catalog not read", "err", err)
			wait = tuning.BackoffBase
		} else {
			m.set(types)
			if sched := term.scheduler(); sched != nil {
				sched.UpdateMachineTypes(types)
			}
		}
		sleep.For(ctx, m.clock, wait)
	}
}
