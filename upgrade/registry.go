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

// VersionRegistry writes the version record of this controller and reads those of the other members. It is safe for
// concurrent use once Configuration is set.
type VersionRegistry struct {
	member  string
	members []string // all members of the deployment, including this one
	client  *store.Client
	clock   clockwork.Clock
	// Configuration is true if live configuration is on in this process. It must be set before the registry is first
	// used.
	Configuration bool

	// mu guards versions.
	mu       sync.Mutex
	versions *memberVersions
}

// NewVersionRegistry returns the VersionRegistry of member, one of the members of a deployment.
func NewVersionRegistry(member string, members []string, client *store.Client, clock clockwork.Clock) *VersionRegistry {
	return &VersionRegistry{
		member:   member,
		members:  members,
		client:   client,
		clock:    clock,
		versions: newMemberVersions(members...),
	}
}

// Older returns the members that may still run, or be rolled back to, a process with an older data version, because no
// version record of them with at least DataVersion was observed. They are sorted by name.
func (r *VersionRegistry) Older() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.older()
}

// Observe records that the version record of a member was read.
func (r *VersionRegistry) Observe(member string, record VersionRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.observe(member, record)
}

// Run writes the version record of this controller and reads those of the members that Older returns, every
// tuning.VersionCheckInterval, until no older member is left. It returns true then, and false if the context ends
// before that.
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
		case <-r.clock.After(tuning.VersionCheckInterval):
		}
	}
	return false
}

// observeRecord decodes the version record of a member and observes it. A record that cannot be decoded is logged.
func (r *VersionRegistry) observeRecord(member string, item store.Item) {
	var record VersionRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		slog.Error("corrupt version record", "key", item.Key, "err", err)
		return
	}
	r.Observe(member, record)
}

// WithoutConfiguration reads the version records of all members and returns the members that may run a process that
// does not support live configuration or has it off. A record that cannot be decoded is treated as missing. It returns
// an error if a record cannot be read.
func (r *VersionRegistry) WithoutConfiguration(ctx context.Context) (without []string, err error) {
	for _, member := range r.members {
		item, err := r.client.Get(ctx, RecordPrefix+member)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return nil, fmt.Errorf("reading the version record of %s: %w", member, err)
		}
		var record VersionRecord
		if err != nil || json.Unmarshal(item.Value, &record) != nil || !record.Configuration {
			without = append(without, member)
		}
	}
	return without, nil
}

// RecordOwn reads the version record of this controller. It returns true if the record is up to date; otherwise it
// writes the record and returns false, because only the next call can tell whether the write was executed.
func (r *VersionRegistry) RecordOwn(ctx context.Context) bool {
	key := RecordPrefix + r.member
	item, err := r.client.Get(ctx, key)
	var record VersionRecord
	if err == nil && json.Unmarshal(item.Value, &record) == nil && record.Data >= DataVersion && record.Configuration == r.Configuration {
		r.Observe(r.member, record)
		return true
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	// The data version is never lowered, because a newer process of this member may have written the record.
	record = VersionRecord{Data: max(DataVersion, record.Data), Configuration: r.Configuration}
	_, _, err = r.client.Transact(ctx,
		[]store.Condition{{Key: key, Revision: item.Revision}},
		[]store.Operation{{Set: key, Value: record}})
	if err != nil {
		slog.Info("version record not written yet", "err", err)
	}
	return false
}
