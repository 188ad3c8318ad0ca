package upgrade

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"

	"switchferry/store"
	"switchferry/tuning"
)

// VersionRegistry writes the version record of this controller and reads those of the others. It is safe for
// concurrent use once Configuration is set.
type VersionRegistry struct {
	member  string
	members []string // of the deployment, with member
	client  *store.Client
	clock   clockwork.Clock
	// Configuration is whether this process has live configuration on. It is set before the first use of
	// the registry.
	Configuration bool

	mu       sync.Mutex
	versions *memberVersions
}

// NewVersionRegistry returns the registry of one member of a deployment.
func NewVersionRegistry(member string, members []string, client *store.Client, clock clockwork.Clock) *VersionRegistry {
	return &VersionRegistry{
		member:   member,
		members:  members,
		client:   client,
		clock:    clock,
		versions: newMemberVersions(members...),
	}
}

// Older returns the members, in order, that may still run, or go back to, a process with an older version of
// data, since no version record of theirs was seen.
func (r *VersionRegistry) Older() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.older()
}

// Observe records the version record of a member.
func (r *VersionRegistry) Observe(member string, mark VersionMark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.observe(member, mark)
}

// Run writes the version record of this controller and reads those that are missing, every
// tuning.UpgradeEvery, until all are seen. It returns false if the context ends before.
func (r *VersionRegistry) Run(ctx context.Context) bool {
	recorded := false
	for ctx.Err() == nil {
		recorded = recorded || r.RecordOwn(ctx)
		for _, member := range r.Older() {
			if item, err := r.client.Get(ctx, RecordPrefix+member); err == nil {
				r.observeRecord(member, item)
			}
		}
		if recorded && len(r.Older()) == 0 {
			slog.Info("all controllers run this data version", "data", DataVersion)
			return true
		}
		select {
		case <-ctx.Done():
		case <-r.clock.After(tuning.UpgradeEvery):
		}
	}
	return false
}

// observeRecord decodes and records the version record of a member.
func (r *VersionRegistry) observeRecord(member string, item store.Item) {
	var mark VersionMark
	if err := json.Unmarshal(item.Value, &mark); err != nil {
		slog.Error("corrupt version record", "key", item.Key, "err", err)
		return
	}
	r.Observe(member, mark)
}

// WithoutConfiguration reads the version records of all members and returns those that may run a process that
// does not know live configuration, or has it off. A record that cannot be decoded counts as missing.
func (r *VersionRegistry) WithoutConfiguration(ctx context.Context) (without []string, err error) {
	for _, member := range r.members {
		item, err := r.client.Get(ctx, RecordPrefix+member)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return nil, fmt.Errorf("reading the version record of %s: %w", member, err)
		}
		var mark VersionMark
		if err != nil || json.Unmarshal(item.Value, &mark) != nil || !mark.Configuration {
			without = append(without, member)
		}
	}
	return without, nil
}

// RecordOwn writes the version record of this controller unless it is as it should be, and returns whether it
// was found so. After a write it returns false: whether the write was executed is known by the next call.
func (r *VersionRegistry) RecordOwn(ctx context.Context) bool {
	key := RecordPrefix + r.member
	item, err := r.client.Get(ctx, key)
	var mark VersionMark
	if err == nil && json.Unmarshal(item.Value, &mark) == nil && mark.Data >= DataVersion && mark.Configuration == r.Configuration {
		r.Observe(r.member, mark)
		return true
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	// The version of data is never lowered: a newer process of this member may have written it.
	mark = VersionMark{Data: max(DataVersion, mark.Data), Configuration: r.Configuration}
	_, _, err = r.client.Transact(ctx,
		[]store.Condition{{Key: key, Revision: item.Revision}},
		[]store.Operation{{Set: key, Value: mark}})
	if err != nil {
		slog.Info("version record not written yet", "err", err)
	}
	return false
}
