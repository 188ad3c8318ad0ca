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
	lease configuration.ValidityLease
	// revision is the one that right goes by; nil: files and settings count alone. trouble is why a newer one than that
	// is not taken; empty: there is none.
	revision  *configuration.Revision
	newest    uint64
	rejection string
}

// New makes the keeper of a process that has read nothing yet. Files is what counts without any revision.
func New(client *store.Client, clock clockwork.Clock, files *configuration.Active, limits settings.State) *Store {
	return &Store{client: client, clock: clock, files: files, limits: limits.Least()}
}

// Run reads the newest revision again and again until the context ends. Paused tells whether there is no need to: a
// testLeader knows.
func (s *Store) Run(ctx context.Context, paused func() bool) {
	for ctx.Err() == nil {
		if !paused() {
			if _, err := s.Refresh(ctx); err != nil {
				slog.Debug("configuration not confirmed", "err", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(tuning.ConfigurationEvery):
		}
	}
}

// Lease is what may be gone by now; false: nothing may, since it was not confirmed lately.
func (s *Store) Lease() (configuration.ValidityLease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, s.lease.ValidAt(s.clock.Now())
}

// Current is the revision that was last read; nil: files and settings count alone. Newest is the number of the newest
// on record, and trouble why that is not taken; empty: it is.
func (s *Store) Current() (revision *configuration.Revision, newest uint64, rejection string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.newest, s.rejection
}

// Refresh reads which revision is the newest, and that revision if it is another than before. It gives its number.
func (s *Store) Refresh(ctx context.Context) (uint64, error) {
	requestedAt := s.clock.Now()
	item, err := s.client.Get(ctx, configuration.HeadKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	if errors.Is(err, store.ErrNotFound) {
		item = store.Item{}
	}
	s.mu.Lock()
	unchanged := s.lease.Active != nil && s.lease.StoreRevision == item.Revision
	if unchanged && requestedAt.After(s.lease.RequestedAt) {
		s.lease.RequestedAt = requestedAt
	}
	newest := s.newest
	s.mu.Unlock()
	if unchanged {
		return newest, nil
	}
	return s.load(ctx, item, configuration.ValidityLease{StoreRevision: item.Revision, RequestedAt: requestedAt})
}

// load reads the revision that a head names. One that is damaged or of a newer format is not taken: the last good one
// counts, and that is said.
func (s *Store) load(ctx context.Context, head store.Item, lease configuration.ValidityLease) (uint64, error) {
	if head.Revision == 0 {
		lease.Active = s.files
		s.setCurrent(lease, nil, 0, "")
		return 0, nil
	}
	rejection := ""
	namedHead, err := configuration.ParseHead(head.Value)
	if err != nil {
		slog.Error("the configuration's head is damaged; the last good revision on record counts", "key", configuration.HeadKey, "err", err)
		rejection = err.Error()
		if namedHead.Number, err = s.highestStored(ctx); err != nil {
			return 0, err
		}
	}
	digest := namedHead.Digest
	for number := namedHead.Number; number > 0 && number+tuning.ConfigurationKept > namedHead.Number; number-- {
		revision, document, err := s.readRevision(ctx, number, digest)
		if err == nil {
			lease.Active = document.Over(s.files, number)
			s.setCurrent(lease, revision, namedHead.Number, rejection)
			return namedHead.Number, nil
		}
		if !errors.Is(err, configuration.ErrDamaged) && !errors.Is(err, configuration.ErrNewer) {
			return 0, err
		}
		slog.Error("a revision of the configuration is not taken; the last good one counts", "revision", number, "err", err)
		if rejection == "" {
			rejection = err.Error()
		}
		digest = ""
	}
	lease.Active = s.files
	s.setCurrent(lease, nil, namedHead.Number, rejection)
	return namedHead.Number, nil
}

// highestStored is the highest number of which a part is on record; 0: there is none.
func (s *Store) highestStored(ctx context.Context) (uint64, error) {
	items, _, err := s.client.List(ctx, configuration.PartPrefix)
	if err != nil {
		return 0, err
	}
	highest := uint64(0)
	for _, item := range items {
		if number, ok := configuration.ParsePartKey(item.Key); ok {
			highest = max(highest, number)
		}
	}
	return highest, nil
}

func (s *Store) setCurrent(lease configuration.ValidityLease, revision *configuration.Revision, newest uint64, rejection string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease.Active != nil && lease.RequestedAt.Before(s.lease.RequestedAt) {
		return // overtaken by a reading that was asked for later
	}
	s.lease, s.revision, s.newest, s.rejection = lease, revision, newest, rejection
	if lease.Active != nil {
		slog.Info("configuration read", "revision", lease.Active.Revision, "newest", newest)
	}
}

// readRevision reads one revision and its document.
func (s *Store) readRevision(ctx context.Context, number uint64, digest string) (*configuration.Revision, *configuration.Document, error) {
	var parts []configuration.Part
	for i := 0; i == 0 || i < parts[0].Of; i++ {
		item, err := s.client.Get(ctx, configuration.PartKey(number, i))
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
func (s *Store) Revision(ctx context.Context, number uint64) (*configuration.Revision, error) {
	revision, _, err := s.readRevision(ctx, number, "")
	return revision, err
}

// History reads the last revisions that are on record, the newest first.
func (s *Store) History(ctx context.Context) ([]*configuration.Revision, error) {
	newest, err := s.Refresh(ctx)
	if err != nil {
		return nil, err
	}
	out := []*configuration.Revision{}
	for number := newest; number > 0 && number+tuning.ConfigurationKept > newest; number-- {
		revision, err := s.Revision(ctx, number)
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
