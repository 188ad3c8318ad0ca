package upgrade

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"

	"switchferry/store"
	"switchferry/tuning"
)

// Marker puts a controller's own mark on record and looks for the others'. It is safe for use from
// several goroutines at once.
type Marker struct {
	self   string
	client *store.Client
	clock  clockwork.Clock
	all    []string
	// Configuration is whether this process has live configuration on; it is set before the first mark.
	Configuration bool

	mu      sync.Mutex
	members *Members
}

// NewMarker makes the marker of one of all members.
func NewMarker(self string, all []string, client *store.Client, clock clockwork.Clock) *Marker {
	return &Marker{self: self, client: client, clock: clock, all: all, members: NewMembers(all...)}
}

// Older are the members of which an older process may run, or come back.
func (m *Marker) Older() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Older()
}

// Saw notes a member's mark.
func (m *Marker) Saw(member string, mark Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.Seen(member, mark)
}

// Run marks this controller and looks for the marks of those that have none yet, until it has seen
// all or the context ends. True: it has.
func (m *Marker) Run(ctx context.Context) bool {
	own := false
	for ctx.Err() == nil {
		own = own || m.Mark(ctx)
		for _, member := range m.Older() {
			if it, err := m.client.Get(ctx, MarkPrefix+member); err == nil {
				m.read(member, it)
			}
		}
		if own && len(m.Older()) == 0 {
			slog.Info("all controllers have this version of data", "data", Data)
			return true
		}
		select {
		case <-ctx.Done():
		case <-m.clock.After(tuning.UpgradeEvery):
		}
	}
	return false
}

func (m *Marker) read(member string, it store.Item) {
	var mark Mark
	if err := json.Unmarshal(it.Value, &mark); err != nil {
		slog.Error("a controller's mark is damaged", "key", it.Key, "err", err)
		return
	}
	m.Saw(member, mark)
}

// WithoutConfiguration reads the marks of all members and gives those of which a process may run that does not know of
// live configuration, or has it off.
func (m *Marker) WithoutConfiguration(ctx context.Context) (without []string, err error) {
	for _, member := range m.all {
		it, err := m.client.Get(ctx, MarkPrefix+member)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return nil, err
		}
		var mark Mark
		if err != nil || json.Unmarshal(it.Value, &mark) != nil || !mark.Configuration {
			without = append(without, member)
		}
	}
	return without, nil
}

// Mark puts this controller's own mark on record, unless it stands there; true: it does.
func (m *Marker) Mark(ctx context.Context) bool {
	key := MarkPrefix + m.self
	it, err := m.client.Get(ctx, key)
	var mark Mark
	if err == nil && json.Unmarshal(it.Value, &mark) == nil && mark.Data >= Data && mark.Configuration == m.Configuration {
		m.Saw(m.self, mark)
		return true
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	_, _, err = m.client.Multi(ctx, []store.Cond{{Key: key, Stamp: it.Stamp}}, []store.Op{{Set: key, Value: Mark{Data: max(Data, mark.Data), Configuration: m.Configuration}}})
	if err != nil {
		slog.Info("this controller's version is not on record yet", "err", err)
	}
	return false
}
