package revisions

import (
	"context"
	"fmt"
	"sync"

	"switchferry/configuration"
	"switchferry/store"
	"switchferry/tuning"
)

// Leader is what an Applier requires of the leading controller. Its methods are safe for concurrent
// use. Adopt must not call the Applier, which may hold its lock during the call.
type Leader interface {
	// Condition returns a transaction condition that holds while this controller leads. It returns
	// false if the controller certainly does not lead.
	Condition() (store.Condition, bool)
	// Adopt makes all later decisions use a configuration. The function that it returns counts the
	// decisions (starts and accepts) made before the call that are not persisted yet.
	Adopt(active *configuration.Active) (unpersistedCount func() int)
	// Peers returns the names of all other controllers.
	Peers() []string
	// RefreshPeer asks a peer to read the newest revision, which is the given one or a newer one, and
	// returns the number of the revision that the peer has read.
	RefreshPeer(ctx context.Context, member string, revision uint64) (uint64, error)
}

// Request is a change that an operator requests.
type Request struct {
	Document *configuration.Document
	// Operator and Reason are stored with the revision.
	Operator, Reason string
	// ExpectedRevision is the number that the newest revision must have for the change to be made, or nil for
	// any.
	ExpectedRevision *uint64
}

// ChangeProgress is the progress of a change.
type ChangeProgress struct {
	Revision uint64 `json:"revision"`
	// InForce is set if no controller uses an older revision for decisions or answers. Otherwise the
	// revision is stored, and WaitsFor describes what the rollout waits for.
	InForce  bool     `json:"in_force"`
	WaitsFor []string `json:"waits_for,omitempty"`
	// Unchanged is set if the document was already in force and nothing was stored.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Applier applies configuration changes during one term of the leader, one at a time. It is safe for
// concurrent use. Its goroutines end when the context of the term ends.
type Applier struct {
	*Store
	leader Leader
	// termCtx ends when the term ends.
	termCtx context.Context
	// changeSemaphore holds a token while a change is in progress.
	changeSemaphore chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.

	// active is the configuration of the newest stored revision, and nil before Load.
	active *configuration.Active
	// document is the document of that revision, or nil if only the files and settings apply.
	document *configuration.Document
	// headRevision is the state service's revision of the head that identifies that revision.
	headRevision uint64
	// rollout is the rollout in progress, or else the last one of this term, or nil if there was none.
	rollout *configuration.Rollout
}

// NewApplier returns the applier for a term, which ends with the context. Load must succeed before
// changes can be made.
func NewApplier(ctx context.Context, configStore *Store, leader Leader) *Applier {
	return &Applier{Store: configStore, leader: leader, termCtx: ctx, changeSemaphore: make(chan struct{}, 1)}
}

// Load reads the newest revision and makes the leader adopt it. It is called once, after this
// controller has acquired the leader key. The leader must make no decision before Load has succeeded.
func (a *Applier) Load(ctx context.Context) error {
	// A revision that was read before this term may be older than the one that the previous leader
	// stored last.
	requestedAt := a.clock.Now()
	if _, err := a.Refresh(ctx); err != nil {
		return err
	}
	lease, ok := a.Lease()
	if !ok || lease.RequestedAt.Before(requestedAt) {
		return ErrNotLoaded
	}
	var document *configuration.Document
	if revision, _, _ := a.Current(); revision != nil {
		var err error
		if document, err = configuration.Parse(revision.Document); err != nil {
			return fmt.Errorf("parsing configuration revision %d: %w", revision.Number, err)
		}
	}
	a.mu.Lock()
	a.active, a.document, a.headRevision = lease.Active, document, lease.StoreRevision
	a.mu.Unlock()
	a.leader.Adopt(lease.Active)
	if lease.StoreRevision != 0 {
		a.resumeRollout(lease.Active)
	}
	return nil
}

// Candidates returns the configurations that must all lead to the same answer before the answer may be
// given to a user as final: the current one, or during a rollout the previous and the new one. It
// returns none before Load.
func (a *Applier) Candidates() []*configuration.Active {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active == nil {
		return nil
	}
	// In a resumed rollout, Before and After are the same configuration.
	if a.rollout != nil && a.rollout.Before != a.rollout.After {
		switch a.rollout.Stage() {
		case configuration.Storing, configuration.Propagating:
			return []*configuration.Active{a.rollout.Before, a.rollout.After}
		}
	}
	return []*configuration.Active{a.active}
}

// Reapply makes the leader adopt the current configuration again.
func (a *Applier) Reapply() {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.active == nil:
	case a.rollout != nil && a.rollout.Stage() != configuration.Refused:
		a.leader.Adopt(a.rollout.Effective())
	default:
		a.leader.Adopt(a.active)
	}
}

// Apply makes a change and waits until it is in force, for tuning.ConfigurationTimeout at most. After that
// the change continues in the background. If Apply returns an error, the revision is not known to be
// stored; the error values of this package define what is known.
func (a *Applier) Apply(ctx context.Context, request Request) (ChangeProgress, error) {
	if err := a.acquire(ctx); err != nil {
		return ChangeProgress{}, err
	}
	a.mu.Lock()
	active, document, headRevision := a.active, a.document, a.headRevision
	a.mu.Unlock()
	_, newest, _ := a.Current()
	switch {
	case active == nil:
		a.release()
		return ChangeProgress{}, ErrNotLoaded
	case request.ExpectedRevision != nil && *request.ExpectedRevision != newest:
		a.release()
		return ChangeProgress{}, fmt.Errorf("%w: revision %d is the present one, not %d", ErrConflict, newest, *request.ExpectedRevision)
	case document != nil && document.Text == request.Document.Text && active.Revision == newest:
		a.release()
		return ChangeProgress{Revision: newest, InForce: true, Unchanged: true}, nil
	}
	change := change{
		revision: &configuration.Revision{
			Number:   newest + 1,
			Operator: request.Operator,
			Reason:   request.Reason,
			AtMS:     a.clock.Now().UnixMilli(),
			Document: request.Document.Text,
		},
		document:     request.Document,
		headRevision: headRevision,
	}
	change.rollout = configuration.NewRollout(active, request.Document.Overlay(a.files, newest+1), a.leader.Peers())
	done := make(chan error, 1)
	go func() {
		defer a.release()
		done <- a.rollOut(change)
	}()
	return a.awaitOutcome(ctx, change.rollout, done)
}

// acquire waits until no other change is in progress, for tuning.ConfigurationQueueTimeout at most, and reserves
// the applier for the caller's change. The error is ErrBusy.
func (a *Applier) acquire(ctx context.Context) error {
	select {
	case a.changeSemaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
	case <-a.termCtx.Done():
	case <-a.clock.After(tuning.ConfigurationQueueTimeout):
	}
	return ErrBusy
}

// release ends the reservation of acquire, so that the next change can begin.
func (a *Applier) release() { <-a.changeSemaphore }

// awaitOutcome waits until a change is in force or has failed, for tuning.ConfigurationTimeout at most.
func (a *Applier) awaitOutcome(ctx context.Context, rollout *configuration.Rollout, done <-chan error) (ChangeProgress, error) {
	select {
	case err := <-done:
		if err != nil {
			return ChangeProgress{}, err
		}
	case <-ctx.Done():
	case <-a.clock.After(tuning.ConfigurationTimeout):
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch rollout.Stage() {
	case configuration.Storing:
		return ChangeProgress{}, ErrOutcomeUnknown
	case configuration.Refused:
		return ChangeProgress{}, ErrUnavailable
	}
	return a.progressFor(rollout), nil
}

// Progress returns the progress of the last change of this term, and false if its revision is not stored
// or there was no change.
func (a *Applier) Progress() (ChangeProgress, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rollout == nil || a.rollout.Stage() == configuration.Refused || a.rollout.Stage() == configuration.Storing {
		return ChangeProgress{}, false
	}
	return a.progressFor(a.rollout), true
}

// progressFor returns the progress of a rollout whose revision is stored. The caller must hold a.mu.
func (a *Applier) progressFor(rollout *configuration.Rollout) ChangeProgress {
	return ChangeProgress{
		Revision: rollout.After.Revision,
		InForce:  rollout.Stage() == configuration.InForce,
		WaitsFor: rollout.WaitsFor(a.clock.Now()),
	}
}
