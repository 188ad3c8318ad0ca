package revisions

import (
	"context"
	"fmt"
	"sync"

	"switchferry/configuration"
	"switchferry/store"
	"switchferry/tuning"
)

// Leader is what an Applier needs of the controller that leads. Its methods are safe for concurrent
// use. Adopt must not call the Applier, whose lock may be held.
type Leader interface {
	// Condition returns a condition that holds while this controller leads; false: it does not
	// lead, for certain.
	Condition() (store.Condition, bool)
	// Adopt makes all decisions from now on use a configuration. The function that it returns counts
	// the decisions from before, starts and accepts, that are not persisted.
	Adopt(active *configuration.Active) (unrecordedCount func() int)
	// Peers returns the names of all other controllers.
	Peers() []string
	// RefreshPeer has a peer look for the newest revision, at least the given one, and returns the
	// number of the one that it found.
	RefreshPeer(ctx context.Context, member string, revision uint64) (uint64, error)
}

// Request is a change that an operator asks for.
type Request struct {
	Document *configuration.Document
	// By and Why are stored with the revision.
	By, Why string
	// Expect is the number of the revision that must be the present one; nil: any.
	Expect *uint64
}

// Answer is how far a change has come.
type Answer struct {
	Revision uint64 `json:"revision"`
	// InForce tells that no controller decides or answers by an older revision. Otherwise the
	// revision is stored, and WaitsFor says what the rollout waits for.
	InForce  bool     `json:"in_force"`
	WaitsFor []string `json:"waits_for,omitempty"`
	// Unchanged tells that the document was in force already, and nothing was stored.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Applier makes changes in one term of the leader, one at a time. It is safe for concurrent use. Its
// goroutines end with the context of the term.
type Applier struct {
	*Store
	leader Leader
	// termCtx ends with the term.
	termCtx context.Context
	// inProgress holds a token while a change is in progress.
	inProgress chan struct{}

	mu sync.Mutex
	// active is the configuration that is stored, document its document and headRevision the state
	// service's revision of its head. active is nil before Load; document is nil if files and
	// settings apply alone.
	active       *configuration.Active
	document     *configuration.Document
	headRevision uint64
	// rollout is the change that is in progress, or else the last one; nil: there was none.
	rollout *configuration.Rollout
}

// NewApplier returns the applier of a term, which lasts as long as the context. Load must be called
// before changes can be made.
func NewApplier(ctx context.Context, configStore *Store, leader Leader) *Applier {
	return &Applier{Store: configStore, leader: leader, termCtx: ctx, inProgress: make(chan struct{}, 1)}
}

// Load reads the newest revision and has the leader adopt it. It is called once, after the leader's
// key was won. The leader must decide nothing before it has succeeded.
func (a *Applier) Load(ctx context.Context) error {
	// What was read before this term may be older than what the last leader stored.
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

// Candidates returns the configurations by which an answer that is final for a user must come out the
// same: the present one, and during a rollout both. It returns none before Load.
func (a *Applier) Candidates() []*configuration.Active {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active == nil {
		return nil
	}
	// A rollout that was resumed has the same configuration before and after.
	if a.rollout != nil && a.rollout.Before != a.rollout.After {
		switch a.rollout.Stage() {
		case configuration.Storing, configuration.Spreading:
			return []*configuration.Active{a.rollout.Before, a.rollout.After}
		}
	}
	return []*configuration.Active{a.active}
}

// Reapply has the leader adopt the present configuration once more.
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

// Apply makes a change, and waits until it is in force, but no longer than
// tuning.ConfigurationAnswer; the change goes on after that. On an error, the revision is not known
// to be stored; see ErrConflict and the others for what is known.
func (a *Applier) Apply(ctx context.Context, request Request) (Answer, error) {
	if err := a.acquire(ctx); err != nil {
		return Answer{}, err
	}
	a.mu.Lock()
	active, document, headRevision := a.active, a.document, a.headRevision
	a.mu.Unlock()
	_, newest, _ := a.Current()
	switch {
	case active == nil:
		a.release()
		return Answer{}, ErrNotLoaded
	case request.Expect != nil && *request.Expect != newest:
		a.release()
		return Answer{}, fmt.Errorf("%w: revision %d is the present one, not %d", ErrConflict, newest, *request.Expect)
	case document != nil && document.Text == request.Document.Text && active.Revision == newest:
		a.release()
		return Answer{Revision: newest, InForce: true, Unchanged: true}, nil
	}
	change := change{
		revision: &configuration.Revision{
			Number:   newest + 1,
			By:       request.By,
			Why:      request.Why,
			AtMS:     a.clock.Now().UnixMilli(),
			Document: request.Document.Text,
		},
		document:     request.Document,
		headRevision: headRevision,
	}
	change.rollout = configuration.NewRollout(active, request.Document.Over(a.files, newest+1), a.leader.Peers())
	done := make(chan error, 1)
	go func() {
		defer a.release()
		done <- a.rollOut(change)
	}()
	return a.awaitOutcome(ctx, change.rollout, done)
}

// acquire waits until no other change is in progress, for tuning.ConfigurationTurn at most. The error
// is ErrBusy.
func (a *Applier) acquire(ctx context.Context) error {
	select {
	case a.inProgress <- struct{}{}:
		return nil
	case <-ctx.Done():
	case <-a.termCtx.Done():
	case <-a.clock.After(tuning.ConfigurationTurn):
	}
	return ErrBusy
}

// release lets the next change begin.
func (a *Applier) release() { <-a.inProgress }

// awaitOutcome waits until a change is in force or has failed, but no longer than a request can take.
func (a *Applier) awaitOutcome(ctx context.Context, rollout *configuration.Rollout, done <-chan error) (Answer, error) {
	select {
	case err := <-done:
		if err != nil {
			return Answer{}, err
		}
	case <-ctx.Done():
	case <-a.clock.After(tuning.ConfigurationAnswer):
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch rollout.Stage() {
	case configuration.Storing:
		return Answer{}, ErrOutcomeUnknown
	case configuration.Refused:
		return Answer{}, ErrUnavailable
	}
	return a.answerFor(rollout), nil
}

// Progress returns how far the last change of this term has come; false: none was stored.
func (a *Applier) Progress() (Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rollout == nil || a.rollout.Stage() == configuration.Refused || a.rollout.Stage() == configuration.Storing {
		return Answer{}, false
	}
	return a.answerFor(a.rollout), true
}

// answerFor returns how far a rollout has come whose revision is stored. The caller holds a.mu.
func (a *Applier) answerFor(rollout *configuration.Rollout) Answer {
	return Answer{
		Revision: rollout.After.Revision,
		InForce:  rollout.Stage() == configuration.InForce,
		WaitsFor: rollout.WaitsFor(a.clock.Now()),
	}
}
