// Package revisions reads and writes the configuration in the state service. A Store reads the newest
// revision at intervals, which renews the lease under which its controller may use that revision. The
// leader's Applier stores new revisions and brings them into force on all controllers.
//
// Package configuration defines the meaning of a revision; the controller decides where it is used.
package revisions

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/configuration"
	"switchferry/internal/sleep"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// Store holds the newest revision that this process has read. It is safe for concurrent use.
type Store struct {
	client *store.Client
	clock  clockwork.Clock
	// files is the configuration that applies without any revision.
	files *configuration.Active
	// limits are the lowest limits that the state service has now or will have.
	limits settings.StateLimits

	// mu guards the fields below.
	mu    sync.Mutex
	lease configuration.ValidityLease
	// revision is the one that the lease covers, or nil if only the files and settings apply.
	revision *configuration.Revision
	// newest is the number of the newest stored revision, or 0 if there is none.
	newest uint64
	// rejection is the reason why the newest revision is not used, or empty if it is used.
	rejection string
}

// New returns a Store that has read nothing yet. The argument files is the configuration that applies
// without any revision.
func New(client *store.Client, clock clockwork.Clock, files *configuration.Active, limits settings.StateLimits) *Store {
	return &Store{client: client, clock: clock, files: files, limits: limits.Strictest()}
}

// Run calls Refresh at intervals of tuning.ConfigurationInterval until the context ends. It skips the call
// while paused returns true, as on the leader, which stores the revisions itself.
func (s *Store) Run(ctx context.Context, paused func() bool) {
	for ctx.Err() == nil {
		if !paused() {
			if _, err := s.Refresh(ctx); err != nil {
				slog.Debug("configuration not confirmed", "err", err)
			}
		}
		sleep.For(ctx, s.clock, tuning.ConfigurationInterval)
	}
}

// Lease returns the lease on the revision that was read last, and whether it is valid now.
func (s *Store) Lease() (configuration.ValidityLease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, s.lease.ValidAt(s.clock.Now())
}

// Current returns the revision in use, or nil if only the files and settings apply. The result newest
// is the number of the newest stored revision, or 0 if there is none, and rejection is the reason why
// that revision is not used, or empty if it is used.
func (s *Store) Current() (revision *configuration.Revision, newest uint64, rejection string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.newest, s.rejection
}

// Refresh renews the lease: it reads the head, and reads the newest revision if that is not the current
// one. It returns the number of the newest revision, or 0 if there is none. An error means that the
// state service could not be read; a stored revision that cannot be used is not an error.
func (s *Store) Refresh(ctx context.Context) (uint64, error) {
	requestedAt := s.clock.Now()
	head, err := s.client.Get(ctx, configuration.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		head, err = store.Item{}, nil
	}
	if err != nil {
		return 0, fmt.Errorf("reading the configuration's head: %w", err)
	}
	if newest, unchanged := s.renew(head.Revision, requestedAt); unchanged {
		return newest, nil
	}
	return s.load(ctx, head, configuration.ValidityLease{StoreRevision: head.Revision, RequestedAt: requestedAt})
}

// renew renews the lease if the head has not changed since the lease's revision was read, and reports
// whether that is so. It returns the number of the newest revision.
func (s *Store) renew(headRevision uint64, requestedAt time.Time) (newest uint64, unchanged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unchanged = s.lease.Active != nil && s.lease.StoreRevision == headRevision
	if unchanged && requestedAt.After(s.lease.RequestedAt) {
		s.lease.RequestedAt = requestedAt
	}
	return s.newest, unchanged
}

// load reads the revision that a head identifies and makes it the current one. If that revision cannot be
// used, load falls back to the newest earlier one that can. It returns the number of the newest
// revision.
func (s *Store) load(ctx context.Context, head store.Item, lease configuration.ValidityLease) (uint64, error) {
	if head.Revision == 0 {
		lease.Active = s.files
		s.setCurrent(lease, nil, 0, "")
		return 0, nil
	}
	rejection := ""
	parsedHead, err := configuration.ParseHead(head.Value)
	if err != nil {
		slog.Error("corrupt configuration head", "key", configuration.HeadKey, "err", err)
		rejection = err.Error()
		if parsedHead.Number, err = s.highestStored(ctx); err != nil {
			return 0, err
		}
	}
	digest := parsedHead.Digest
	for number := parsedHead.Number; number > 0 && number+tuning.ConfigurationRetention > parsedHead.Number; number-- {
		revision, document, err := s.readRevision(ctx, number, digest)
		if err == nil {
			lease.Active = document.Overlay(s.files, number)
			s.setCurrent(lease, revision, parsedHead.Number, rejection)
			return parsedHead.Number, nil
		}
		if !isUnusable(err) {
			return 0, err
		}
		slog.Error("configuration revision rejected", "revision", number, "err", err)
		if rejection == "" {
			rejection = err.Error()
		}
		digest = "" // The head has only the digest of the newest revision.
	}
	lease.Active = s.files
	s.setCurrent(lease, nil, parsedHead.Number, rejection)
	return parsedHead.Number, nil
}

// isUnusable reports whether an error means that a stored revision cannot be used, as opposed to a failed
// read.
func isUnusable(err error) bool {
	return errors.Is(err, configuration.ErrDamaged) || errors.Is(err, configuration.ErrNewerFormat)
}

// highestStored returns the highest number of a revision of which at least one part is stored, or 0 if
// there is none.
func (s *Store) highestStored(ctx context.Context) (uint64, error) {
	items, _, err := s.client.List(ctx, configuration.PartPrefix)
	if err != nil {
		return 0, fmt.Errorf("listing configuration revisions: %w", err)
	}
	highest := uint64(0)
	for _, item := range items {
		if number, ok := configuration.ParsePartKey(item.Key); ok {
			highest = max(highest, number)
		}
	}
	return highest, nil
}

// setCurrent replaces the lease and the revision, unless the present lease comes from a later request.
func (s *Store) setCurrent(lease configuration.ValidityLease, revision *configuration.Revision, newest uint64, rejection string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease.Active != nil && lease.RequestedAt.Before(s.lease.RequestedAt) {
		return
	}
	s.lease, s.revision, s.newest, s.rejection = lease, revision, newest, rejection
	if lease.Active != nil {
		slog.Info("configuration read", "revision", lease.Active.Revision, "newest", newest)
	}
}

// readRevision reads a revision and its document. The digest is that of the head, or empty if it is not
// known. The error wraps configuration.ErrDamaged or configuration.ErrNewerFormat if the revision
// cannot be used.
func (s *Store) readRevision(ctx context.Context, number uint64, digest string) (*configuration.Revision, *configuration.Document, error) {
	var parts []configuration.Part
	for i := 0; i == 0 || i < parts[0].PartCount; i++ {
		item, err := s.client.Get(ctx, configuration.PartKey(number, i))
		if errors.Is(err, store.ErrNotFound) {
			return nil, nil, fmt.Errorf("%w: part %d of revision %d is missing", configuration.ErrDamaged, i, number)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("reading part %d of configuration revision %d: %w", i, number, err)
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
		return nil, nil, fmt.Errorf("%w: the document of revision %d: %w", configuration.ErrDamaged, number, err)
	}
	return revision, document, nil
}

// Revision reads a stored revision. The error wraps configuration.ErrDamaged or
// configuration.ErrNewerFormat if the revision is not stored or cannot be used.
func (s *Store) Revision(ctx context.Context, number uint64) (*configuration.Revision, error) {
	revision, _, err := s.readRevision(ctx, number, "")
	return revision, err
}

// History reads the last tuning.ConfigurationRetention revisions, newest first, without their documents. A
// revision that cannot be used has only its number and, as Reason, the error.
func (s *Store) History(ctx context.Context) ([]*configuration.Revision, error) {
	newest, err := s.Refresh(ctx)
	if err != nil {
		return nil, err
	}
	history := []*configuration.Revision{}
	for number := newest; number > 0 && number+tuning.ConfigurationRetention > newest; number-- {
		revision, err := s.Revision(ctx, number)
		if isUnusable(err) {
			revision, err = &configuration.Revision{Number: number, Reason: err.Error()}, nil
		}
		if err != nil {
			return nil, err
		}
		revision.Document = ""
		history = append(history, revision)
	}
	return history, nil
}
