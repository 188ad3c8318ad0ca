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

// VersionRegistry puts a controller's own mark on record and looks for the others'. It is safe for use from
// several goroutines at once.
type VersionRegistry struct {
	self   string
	client *store.Client
	clock  clockwork.Clock
	all    []string
	// Configuration is whether this process has live configuration on; it is set before the first mark.
	Configuration bool

	mu      sync.Mutex
	members *MemberVersions
}

// NewVersionRegistry makes the marker of one of all members.
func NewVersionRegistry(self string, all []string, client *store.Client, clock clockwork.Clock) *VersionRegistry {
	return &VersionRegistry{self: self, client: client, clock: clock, all: all, members: NewMemberVersions(all...)}
}

// Older are the members of which an older process may run, or come back.
func (m *VersionRegistry) Older() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Older()
}

// Observe notes a member's mark.
func (m *VersionRegistry) Observe(member string, mark VersionMark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.Observe(member, mark)
}

// Run marks this controller and looks for the marks of those that have none yet, until it has seen
// all or the context ends. True: it has.
func (m *VersionRegistry) Run(ctx context.Context) bool {
	own := false
	for ctx.Err() == nil {
		own = own || m.RecordOwn(ctx)
		for _, member := range m.Older() {
			if it, err := m.client.Get(ctx, MarkPrefix+member); err == nil {
				m.read(member, it)
			}
		}
		if own && len(m.Older()) == 0 {
			slog.Info("all controllers have this version of data", "data", DataVersion)
			return true
		}
		select {
		case <-ctx.Done():
		case <-m.clock.After(tuning.UpgradeEvery):
		}
	}
	return false
}

func (m *VersionRegistry) read(member string, it store.Item) {
	var mark VersionMark
	if err := json.Unmarshal(it.Value, &mark); err != nil {
		slog.Error("a controller's mark is damaged", "key", it.Key, "err", err)
		return
	}
	m.Observe(member, mark)
}

// WithoutConfiguration reads the marks of all members and gives those of which a process may run that does not know of
// live configuration, or has it off.
func (m *VersionRegistry) WithoutConfiguration(ctx context.Context) (without []string, err error) {
	for _, member := range m.all {
		it, err := m.client.Get(ctx, MarkPrefix+member)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return nil, err
		}
		var mark VersionMark
		if err != nil || json.Unmarshal(it.Value, &mark) != nil || !mark.Configuration {
			without = append(without, member)
		}
	}
	return without, nil
}

// RecordOwn puts this controller's own mark on record, unless it stands there; true: it does.
func (m *VersionRegistry) RecordOwn(ctx context.Context) bool {
	key := MarkPrefix + m.self
	it, err := m.client.Get(ctx, key)
	var mark VersionMark
	if err == nil && json.Unmarshal(it.Value, &mark) == nil && mark.Data >= DataVersion && mark.Configuration == m.Configuration {
		m.Observe(m.self, mark)
		return true
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	_, _, err = m.client.Transact(ctx, []store.Condition{{Key: key, Revision: it.Revision}}, []store.Operation{{Set: key, Value: VersionMark{Data: max(DataVersion, mark.Data), Configuration: m.Configuration}}})
	if err != nil {
		slog.Info("this controller's version is not on record yet", "err", err)
	}
	return false
}
