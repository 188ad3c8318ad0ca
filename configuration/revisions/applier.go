package revisions

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"switchferry/configuration"
	"switchferry/store"
	"switchferry/tuning"
)

// Leader is what an applier needs of the controller that leads.
type Leader interface {
	// Condition holds while it leads; false: it does not, certainly.
	Condition() (store.Condition, bool)
	// Adopt has decisions go by this from now on. The result counts the starts and accepts that were decided before and
	// are not on record yet.
	Adopt(active *configuration.Active) (undecided func() int)
	// Peers are all other controllers; Ask has one look for the newest revision now, and gives its number.
	Peers() []string
	RefreshPeer(ctx context.Context, member string, revision uint64) (uint64, error)
}

// Request is a change that somebody asks for.
type Request struct {
	Document *configuration.Document
	By, Why  string
	// Expect is the revision that must be the present one; nil: whichever is.
	Expect *uint64
}

// Answer is what became of a change so far.
type Answer struct {
	Revision uint64 `json:"revision"`
	// InForce: nobody decides or answers by an older revision any more. Otherwise it is stored, and WaitsFor tells whom
	// it waits for.
	InForce  bool     `json:"in_force"`
	WaitsFor []string `json:"waits_for,omitempty"`
	// Unchanged: the document was in force already, so that nothing was stored.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Why a change is not made.
var (
	// ErrConflict: the present revision is another than the expected one.
	ErrConflict = errors.New("the configuration was changed meanwhile")
	// ErrBusy: another change is on its way; ErrUnavailable: the state service does not answer, and nothing was stored.
	ErrBusy        = errors.New("another change is on its way")
	ErrUnavailable = errors.New("the state service is out of reach; nothing was stored")
	// ErrOutcomeUnknown: it is not known yet whether it is stored. It goes on being found out.
	ErrOutcomeUnknown = errors.New("it is not known yet whether the change is stored")
	// ErrNotLeader: this controller does not lead any more.
	ErrNotLeader = errors.New("this controller does not lead any more")
	// ErrNotLoaded: the newest revision is not known here yet.
	ErrNotLoaded = errors.New("the configuration has not been read yet")
)

// Applier makes changes in one term of the leader, one at a time. It is safe for use from several goroutines at once.
type Applier struct {
	*Store
	leader     Leader
	termCtx    context.Context
	inProgress chan struct{}

	mu sync.Mutex
	// active and stamp are what counts in this term, nil before it was read; change is what is on its way, or was last.
	active       *configuration.Active
	document     *configuration.Document
	headRevision uint64
	rollout      *configuration.Rollout
}

// NewApplier makes the applier of a term, which lasts as long as the context.
func NewApplier(ctx context.Context, configStore *Store, leader Leader) *Applier {
	return &Applier{Store: configStore, leader: leader, termCtx: ctx, inProgress: make(chan struct{}, 1)}
}

// Load reads the newest revision, after the leader's key was won, and has decisions go by it. Nothing may be decided
// before it has succeeded.
func (a *Applier) Load(ctx context.Context) error {
	// What was read before this term may be older than what its last leader stored.
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
			return err
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

// resumeRollout sees to it that what the last leader stored comes into force: that one may have ended before it did, and some
// may still go by an older one.
func (a *Applier) resumeRollout(active *configuration.Active) {
	rollout := configuration.NewRollout(active, active, a.leader.Peers())
	rollout.MarkStored(a.clock.Now())
	a.mu.Lock()
	a.rollout = rollout
	a.mu.Unlock()
	// No change has been asked for in this term yet.
	a.inProgress <- struct{}{}
	go func() {
		defer a.release()
		a.awaitInForce(rollout, func() int { return 0 })
	}()
}

// Candidates are the revisions by which an answer that is final for a user must come out the same: the present one,
// and while a change is on its way both. None: nothing was read yet.
func (a *Applier) Candidates() []*configuration.Active {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.active == nil:
		return nil
	case a.rollout != nil && a.rollout.Before != a.rollout.After && (a.rollout.Stage() == configuration.Storing || a.rollout.Stage() == configuration.Spreading):
		return []*configuration.Active{a.rollout.Before, a.rollout.After}
	}
	return []*configuration.Active{a.active}
}

// Reapply hands what counts now to the leader once more.
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

// Apply makes a change, and waits until it is in force or for tuning.ConfigurationAnswer. The answer tells which; the
// error is one of this package's, and then nothing is, or is known to be, stored.
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
	revision := &configuration.Revision{Number: newest + 1, By: request.By, Why: request.Why, AtMS: a.clock.Now().UnixMilli(), Document: request.Document.Text}
	rollout := configuration.NewRollout(active, request.Document.Over(a.files, revision.Number), a.leader.Peers())
	done := make(chan error, 1)
	go func() {
		defer a.release()
		done <- a.rollOut(rollout, revision, request.Document, headRevision)
	}()
	return a.awaitOutcome(ctx, rollout, done)
}

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

func (a *Applier) release() { <-a.inProgress }

// awaitOutcome waits for a change to be in force, or for as long as its user can be kept.
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
	return Answer{Revision: rollout.After.Revision, InForce: rollout.Stage() == configuration.InForce, WaitsFor: rollout.WaitsFor(a.clock.Now())}, nil
}

// Progress is how far the last change of this term has come; false: there was none.
func (a *Applier) Progress() (Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rollout == nil || a.rollout.Stage() == configuration.Refused || a.rollout.Stage() == configuration.Storing {
		return Answer{}, false
	}
	return Answer{Revision: a.rollout.After.Revision, InForce: a.rollout.Stage() == configuration.InForce, WaitsFor: a.rollout.WaitsFor(a.clock.Now())}, true
}

// rollOut takes a change from before it is stored until it is in force. The error tells why it is not stored.
func (a *Applier) rollOut(rollout *configuration.Rollout, revision *configuration.Revision, document *configuration.Document, headRevision uint64) error {
	a.mu.Lock()
	a.rollout = rollout
	a.mu.Unlock()
	// From here on the lower limits of both count, whatever becomes of it.
	unrecordedCount := a.leader.Adopt(rollout.Effective())
	storeRevision, err := a.persist(revision, headRevision)
	if err != nil {
		a.mu.Lock()
		rollout.MarkRefused()
		a.mu.Unlock()
		a.leader.Adopt(rollout.Before)
		return err
	}
	a.mu.Lock()
	rollout.MarkStored(a.clock.Now())
	a.active, a.document, a.headRevision = rollout.After, document, storeRevision
	a.mu.Unlock()
	a.setCurrent(configuration.ValidityLease{Active: rollout.After, StoreRevision: storeRevision, RequestedAt: a.clock.Now()}, revision, revision.Number, "")
	storedAt := a.clock.Now()
	a.awaitInForce(rollout, unrecordedCount)
	if rollout.Stage() != configuration.InForce {
		return ErrNotLeader
	}
	slog.Info("configuration in force", "revision", revision.Number, "by", revision.By, "why", revision.Why, "stored_to_in_force_ms", a.clock.Since(storedAt).Milliseconds())
	a.removeOldRevisions(revision.Number)
	return nil
}

// awaitInForce waits until a stored change is in force, or the term is over.
func (a *Applier) awaitInForce(rollout *configuration.Rollout, unrecordedCount func() int) {
	for _, member := range a.leader.Peers() {
		go a.awaitConfirmation(rollout, member)
	}
	for a.termCtx.Err() == nil {
		unrecorded := unrecordedCount()
		a.mu.Lock()
		rollout.SetUnrecorded(unrecorded)
		// What is decided from here on goes by the new one alone, before anybody hears that it is in force.
		done := rollout.Advance(a.clock.Now()) == configuration.InForce
		if done {
			a.leader.Adopt(rollout.Effective())
		}
		a.mu.Unlock()
		if done {
			return
		}
		select {
		case <-a.termCtx.Done():
		case <-a.clock.After(tuning.ConfigurationStep):
		}
	}
}

// awaitConfirmation asks a sibling until it has read the change, or that no longer matters.
func (a *Applier) awaitConfirmation(rollout *configuration.Rollout, member string) {
	for a.termCtx.Err() == nil {
		number, err := a.leader.RefreshPeer(a.termCtx, member, rollout.After.Revision)
		a.mu.Lock()
		if err == nil {
			rollout.Confirm(member, number)
		}
		finished := rollout.Stage() == configuration.InForce || err == nil && number >= rollout.After.Revision
		a.mu.Unlock()
		if finished {
			return
		}
		select {
		case <-a.termCtx.Done():
		case <-a.clock.After(tuning.ConfigurationEvery / 4):
		}
	}
}

// persist writes a revision's parts and then its head, on condition that this controller leads and the head is as it was.
// Once the outcome of a transaction is not known it is sent again until it is: a second execution of the same changes
// nothing. The error is ErrUnavailable where nothing can have been stored.
func (a *Applier) persist(revision *configuration.Revision, headRevision uint64) (storeRevision uint64, err error) {
	head, parts, err := configuration.Encode(revision, a.limits.ValueBytes())
	if err != nil {
		return 0, err
	}
	conditions := []store.Condition{{Key: configuration.HeadKey, Revision: headRevision}}
	var operations []store.Operation
	for i, part := range parts {
		key := configuration.PartKey(revision.Number, i)
		operations = append(operations, store.Operation{Set: key, Value: part})
		if len(operations)+1 < a.limits.TxnOps || i == len(parts)-1 {
			continue
		}
		if storeRevision, err = a.transact(conditions, operations, nil); err != nil {
			return 0, err
		}
		// A late copy of an earlier try must not change what the head will name.
		for _, operation := range operations {
			conditions = append(conditions, store.Condition{Key: operation.Set, Revision: storeRevision})
		}
		operations = nil
	}
	operations = append(operations, store.Operation{Set: configuration.HeadKey, Value: head})
	return a.transact(conditions, operations, &head)
}

// transact runs one transaction to a known outcome. Head is what it makes the head, if it does.
func (a *Applier) transact(conditions []store.Condition, operations []store.Operation, head *configuration.Head) (storeRevision uint64, err error) {
	outcomeUnknown := false
	for a.termCtx.Err() == nil {
		leading, ok := a.leader.Condition()
		if !ok && !outcomeUnknown {
			return 0, ErrNotLeader
		}
		storeRevision, failed, err := a.client.Transact(a.termCtx, append([]store.Condition{leading}, conditions...), operations)
		switch {
		case err == nil:
			return storeRevision, nil
		case errors.Is(err, store.ErrConflict):
			if outcomeUnknown && head != nil {
				if found, ok := a.findHead(head); ok {
					return found, nil
				}
			}
			if len(failed) > 0 && failed[0] == store.LeaderKey {
				return 0, ErrNotLeader
			}
			return 0, fmt.Errorf("%w: %v", ErrConflict, failed)
		case errors.Is(err, store.ErrRateLimited), outcomeUnknown && errors.Is(err, store.ErrBusy):
		case errors.Is(err, store.ErrBusy):
			return 0, ErrUnavailable
		case errors.Is(err, store.ErrInvalidRequest):
			return 0, err
		default:
			outcomeUnknown = true
		}
		select {
		case <-a.termCtx.Done():
		case <-a.clock.After(tuning.ElectRetry):
		}
	}
	return 0, ErrOutcomeUnknown
}

// findHead tells whether the head is what was to be written, and at which revision of the state service.
func (a *Applier) findHead(head *configuration.Head) (storeRevision uint64, ok bool) {
	for a.termCtx.Err() == nil {
		item, err := a.client.Get(a.termCtx, configuration.HeadKey)
		if err == nil {
			found, err := configuration.ParseHead(item.Value)
			return item.Revision, err == nil && found == *head
		}
		if errors.Is(err, store.ErrNotFound) {
			return 0, false
		}
		select {
		case <-a.termCtx.Done():
		case <-a.clock.After(tuning.ElectRetry):
		}
	}
	return 0, false
}

// removeOldRevisions removes revisions that are older than the last ones that are kept. What fails is tried with a later change.
func (a *Applier) removeOldRevisions(newest uint64) {
	for back := uint64(tuning.ConfigurationKept); back < tuning.ConfigurationKept+tuning.ConfigurationSwept && back < newest; back++ {
		number := newest - back
		item, err := a.client.Get(a.termCtx, configuration.PartKey(number, 0))
		if err != nil {
			continue
		}
		part, err := configuration.ParsePart(item.Value)
		if err != nil {
			continue
		}
		leading, ok := a.leader.Condition()
		if !ok {
			return
		}
		// The first part goes last: it tells how many there are.
		for i := part.Of - 1; i >= 0; i-- {
			if _, _, err := a.client.Transact(a.termCtx, []store.Condition{leading}, []store.Operation{{Delete: configuration.PartKey(number, i)}}); err != nil {
				slog.Info("an old revision is not removed yet", "revision", number, "err", err)
				return
			}
		}
	}
}
