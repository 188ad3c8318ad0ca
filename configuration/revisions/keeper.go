// Package revisions carries package configuration out against the state service: it reads the newest revision again and
// again, so that this controller knows until when it may go by it; on the leader it stores a new one and takes it to
// the point where it is in force everywhere. It decides nothing about jobs: what is gone by is handed to whoever does.
package revisions

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"

	"switchferry/configuration"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// Store is one process's knowledge of the configuration. It is safe for use from several goroutines at once.
type Store struct {
	client *store.Client
	clock  clockwork.Clock
	files  *configuration.Active
	// limits are the least that the state service will ever have.
	limits settings.State

	mu    sync.Mutex
	right configuration.ValidityLease
	// revision is the one that right goes by; nil: files and settings count alone. trouble is why a newer one than that
	// is not taken; empty: there is none.
	revision *configuration.Revision
	newest   uint64
	trouble  string
}

// New makes the keeper of a process that has read nothing yet. Files is what counts without any revision.
func New(client *store.Client, clock clockwork.Clock, files *configuration.Active, limits settings.State) *Store {
	return &Store{client: client, clock: clock, files: files, limits: limits.Least()}
}

// Run reads the newest revision again and again until the context ends. Paused tells whether there is no need to: a
// leader knows.
func (k *Store) Run(ctx context.Context, paused func() bool) {
	for ctx.Err() == nil {
		if !paused() {
			if _, err := k.Refresh(ctx); err != nil {
				slog.Debug("configuration not confirmed", "err", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-k.clock.After(tuning.ConfigurationEvery):
		}
	}
}

// Lease is what may be gone by now; false: nothing may, since it was not confirmed lately.
func (k *Store) Lease() (configuration.ValidityLease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.right, k.right.ValidAt(k.clock.Now())
}

// Current is the revision that was last read; nil: files and settings count alone. Newest is the number of the newest
// on record, and trouble why that is not taken; empty: it is.
func (k *Store) Current() (revision *configuration.Revision, newest uint64, trouble string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision, k.newest, k.trouble
}

// Refresh reads which revision is the newest, and that revision if it is another than before. It gives its number.
func (k *Store) Refresh(ctx context.Context) (uint64, error) {
	sent := k.clock.Now()
	item, err := k.client.Get(ctx, configuration.HeadKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	if errors.Is(err, store.ErrNotFound) {
		item = store.Item{}
	}
	k.mu.Lock()
	same := k.right.Active != nil && k.right.StoreRevision == item.Revision
	if same && sent.After(k.right.RequestedAt) {
		k.right.RequestedAt = sent
	}
	newest := k.newest
	k.mu.Unlock()
	if same {
		return newest, nil
	}
	return k.load(ctx, item, configuration.ValidityLease{StoreRevision: item.Revision, RequestedAt: sent})
}

// load reads the revision that a head names. One that is damaged or of a newer format is not taken: the last good one
// counts, and that is said.
func (k *Store) load(ctx context.Context, head store.Item, right configuration.ValidityLease) (uint64, error) {
	if head.Revision == 0 {
		right.Active = k.files
		k.take(right, nil, 0, "")
		return 0, nil
	}
	trouble := ""
	named, err := configuration.ParseHead(head.Value)
	if err != nil {
		slog.Error("the configuration's head is damaged; the last good revision on record counts", "key", configuration.HeadKey, "err", err)
		trouble = err.Error()
		if named.Number, err = k.highest(ctx); err != nil {
			return 0, err
		}
	}
	digest := named.Digest
	for number := named.Number; number > 0 && number+tuning.ConfigurationKept > named.Number; number-- {
		revision, document, err := k.read(ctx, number, digest)
		if err == nil {
			right.Active = document.Over(k.files, number)
			k.take(right, revision, named.Number, trouble)
			return named.Number, nil
		}
		if !errors.Is(err, configuration.ErrDamaged) && !errors.Is(err, configuration.ErrNewer) {
			return 0, err
		}
		slog.Error("a revision of the configuration is not taken; the last good one counts", "revision", number, "err", err)
		if trouble == "" {
			trouble = err.Error()
		}
		digest = ""
	}
	right.Active = k.files
	k.take(right, nil, named.Number, trouble)
	return named.Number, nil
}

// highest is the highest number of which a part is on record; 0: there is none.
func (k *Store) highest(ctx context.Context) (uint64, error) {
	items, _, err := k.client.List(ctx, configuration.PartPrefix)
	if err != nil {
		return 0, err
	}
	most := uint64(0)
	for _, item := range items {
		if number, ok := configuration.ParsePartKey(item.Key); ok {
			most = max(most, number)
		}
	}
	return most, nil
}

func (k *Store) take(right configuration.ValidityLease, revision *configuration.Revision, newest uint64, trouble string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.right.Active != nil && right.RequestedAt.Before(k.right.RequestedAt) {
		return // overtaken by a reading that was asked for later
	}
	k.right, k.revision, k.newest, k.trouble = right, revision, newest, trouble
	if right.Active != nil {
		slog.Info("configuration read", "revision", right.Active.Revision, "newest", newest)
	}
}

// read reads one revision and its document.
func (k *Store) read(ctx context.Context, number uint64, digest string) (*configuration.Revision, *configuration.Document, error) {
	var parts []configuration.Part
	for i := 0; i == 0 || i < parts[0].Of; i++ {
		item, err := k.client.Get(ctx, configuration.PartKey(number, i))
		if errors.Is(err, store.ErrNotFound) {
			return nil, nil, fmt.Errorf("%w: part %d of revision %d is missing", configuration.ErrDamaged, i, number)
		}
		if err != nil {
			return nil, nil, err
		}
		part, err := configuration.ParsePart(item.Value)
		if err != nil {
			return nil, nil, err
		}
		parts = append(parts, part)
	}
	revision, err := configuration.Decode(number, digest, parts)
	if err != nil {
		return nil, nil, err
	}
	document, err := configuration.Parse(revision.Document)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: the document of revision %d: %v", configuration.ErrDamaged, number, err)
	}
	return revision, document, nil
}

// Revision reads one revision from the records.
func (k *Store) Revision(ctx context.Context, number uint64) (*configuration.Revision, error) {
	revision, _, err := k.read(ctx, number, "")
	return revision, err
}

// History reads the last revisions that are on record, the newest first.
func (k *Store) History(ctx context.Context) ([]*configuration.Revision, error) {
	newest, err := k.Refresh(ctx)
	if err != nil {
		return nil, err
	}
	out := []*configuration.Revision{}
	for number := newest; number > 0 && number+tuning.ConfigurationKept > newest; number-- {
		revision, err := k.Revision(ctx, number)
		if errors.Is(err, configuration.ErrDamaged) || errors.Is(err, configuration.ErrNewer) {
			revision, err = &configuration.Revision{Number: number, Why: err.Error()}, nil
		}
		if err != nil {
			return nil, err
		}
		revision.Document = ""
		out = append(out, revision)
	}
	return out, nil
}
