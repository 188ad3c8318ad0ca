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
	member  string
	client  *store.Client
	clock   clockwork.Clock
	members []string
	// Configuration is whether this process has live configuration on; it is set before the first mark.
	Configuration bool

	mu       sync.Mutex
	versions *memberVersions
}

// NewVersionRegistry makes the marker of one of all members.
func NewVersionRegistry(member string, members []string, client *store.Client, clock clockwork.Clock) *VersionRegistry {
	return &VersionRegistry{member: member, client: client, clock: clock, members: members, versions: newMemberVersions(members...)}
}

// older are the members of which an older process may run, or come back.
func (r *VersionRegistry) Older() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.older()
}

// observe notes a member's mark.
func (r *VersionRegistry) Observe(member string, mark VersionMark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.observe(member, mark)
}

// Run marks this controller and looks for the marks of those that have none yet, until it has seen
// versions or the context ends. True: it has.
func (r *VersionRegistry) Run(ctx context.Context) bool {
	recorded := false
	for ctx.Err() == nil {
		recorded = recorded || r.RecordOwn(ctx)
		for _, member := range r.Older() {
			if item, err := r.client.Get(ctx, recordPrefix+member); err == nil {
				r.observeRecord(member, item)
			}
		}
		if recorded && len(r.Older()) == 0 {
			slog.Info("all controllers have this version of data", "data", DataVersion)
			return true
		}
		select {
		case <-ctx.Done():
		case <-r.clock.After(tuning.UpgradeEvery):
		}
	}
	return false
}

func (r *VersionRegistry) observeRecord(member string, item store.Item) {
	var mark VersionMark
	if err := json.Unmarshal(item.Value, &mark); err != nil {
		slog.Error("a controller's mark is damaged", "key", item.Key, "err", err)
		return
	}
	r.Observe(member, mark)
}

// WithoutConfiguration reads the marks of all members and gives those of which a process may run that does not know of
// live configuration, or has it off.
func (r *VersionRegistry) WithoutConfiguration(ctx context.Context) (without []string, err error) {
	for _, member := range r.members {
		item, err := r.client.Get(ctx, recordPrefix+member)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return nil, err
		}
		var mark VersionMark
		if err != nil || json.Unmarshal(item.Value, &mark) != nil || !mark.Configuration {
			without = append(without, member)
		}
	}
	return without, nil
}

// RecordOwn puts this controller's own mark on record, unless it stands there; true: it does.
func (r *VersionRegistry) RecordOwn(ctx context.Context) bool {
	key := recordPrefix + r.member
	item, err := r.client.Get(ctx, key)
	var mark VersionMark
	if err == nil && json.Unmarshal(item.Value, &mark) == nil && mark.Data >= DataVersion && mark.Configuration == r.Configuration {
		r.Observe(r.member, mark)
		return true
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	_, _, err = r.client.Transact(ctx, []store.Condition{{Key: key, Revision: item.Revision}}, []store.Operation{{Set: key, Value: VersionMark{Data: max(DataVersion, mark.Data), Configuration: r.Configuration}}})
	if err != nil {
		slog.Info("this controller's version is not on record yet", "err", err)
	}
	return false
}
