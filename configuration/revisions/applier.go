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
	// ErrUnknown: it is not known yet whether it is stored. It goes on being found out.
	ErrUnknown = errors.New("it is not known yet whether the change is stored")
	// ErrNotLeader: this controller does not lead any more.
	ErrNotLeader = errors.New("this controller does not lead any more")
	// ErrNotLoaded: the newest revision is not known here yet.
	ErrNotLoaded = errors.New("the configuration has not been read yet")
)

// Applier makes changes in one term of the leader, one at a time. It is safe for use from several goroutines at once.
type Applier struct {
	*Store
	leader Leader
	ctx    context.Context
	turn   chan struct{}

	mu sync.Mutex
	// active and stamp are what counts in this term, nil before it was read; change is what is on its way, or was last.
	active   *configuration.Active
	document *configuration.Document
	stamp    uint64
	change   *configuration.Rollout
}

// NewApplier makes the applier of a term, which lasts as long as the context.
func NewApplier(ctx context.Context, k *Store, leader Leader) *Applier {
	return &Applier{Store: k, leader: leader, ctx: ctx, turn: make(chan struct{}, 1)}
}

// Load reads the newest revision, after the leader's key was won, and has decisions go by it. Nothing may be decided
// before it has succeeded.
func (a *Applier) Load(ctx context.Context) error {
	// What was read before this term may be older than what its last leader stored.
	sent := a.clock.Now()
	if _, err := a.Refresh(ctx); err != nil {
		return err
	}
	right, ok := a.Lease()
	if !ok || right.RequestedAt.Before(sent) {
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
	a.active, a.document, a.stamp = right.Active, document, right.StoreRevision
	a.mu.Unlock()
	a.leader.Adopt(right.Active)
	if right.StoreRevision != 0 {
		a.takeOver(right.Active)
	}
	return nil
}

// takeOver sees to it that what the last leader stored comes into force: that one may have ended before it did, and some
// may still go by an older one.
func (a *Applier) takeOver(active *configuration.Active) {
	change := configuration.NewRollout(active, active, a.leader.Peers())
	change.MarkStored(a.clock.Now())
	a.mu.Lock()
	a.change = change
	a.mu.Unlock()
	// No change has been asked for in this term yet.
	a.turn <- struct{}{}
	go func() {
		defer a.endTurn()
		a.spread(change, func() int { return 0 })
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
	case a.change != nil && a.change.Before != a.change.After && (a.change.Stage() == configuration.Storing || a.change.Stage() == configuration.Spreading):
		return []*configuration.Active{a.change.Before, a.change.After}
	}
	return []*configuration.Active{a.active}
}

// Reapply hands what counts now to the leader once more.
func (a *Applier) Reapply() {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.active == nil:
	case a.change != nil && a.change.Stage() != configuration.Refused:
		a.leader.Adopt(a.change.Effective())
	default:
		a.leader.Adopt(a.active)
	}
}

// Apply makes a change, and waits until it is in force or for tuning.ConfigurationAnswer. The answer tells which; the
// error is one of this package's, and then nothing is, or is known to be, stored.
func (a *Applier) Apply(ctx context.Context, r Request) (Answer, error) {
	if err := a.takeTurn(ctx); err != nil {
		return Answer{}, err
	}
	a.mu.Lock()
	active, document, stamp := a.active, a.document, a.stamp
	a.mu.Unlock()
	_, newest, _ := a.Current()
	switch {
	case active == nil:
		a.endTurn()
		return Answer{}, ErrNotLoaded
	case r.Expect != nil && *r.Expect != newest:
		a.endTurn()
		return Answer{}, fmt.Errorf("%w: revision %d is the present one, not %d", ErrConflict, newest, *r.Expect)
	case document != nil && document.Text == r.Document.Text && active.Revision == newest:
		a.endTurn()
		return Answer{Revision: newest, InForce: true, Unchanged: true}, nil
	}
	revision := &configuration.Revision{Number: newest + 1, By: r.By, Why: r.Why, AtMS: a.clock.Now().UnixMilli(), Document: r.Document.Text}
	change := configuration.NewRollout(active, r.Document.Over(a.files, revision.Number), a.leader.Peers())
	done := make(chan error, 1)
	go func() {
		defer a.endTurn()
		done <- a.carryOut(change, revision, r.Document, stamp)
	}()
	return a.wait(ctx, change, done)
}

func (a *Applier) takeTurn(ctx context.Context) error {
	select {
	case a.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
	case <-a.ctx.Done():
	case <-a.clock.After(tuning.ConfigurationTurn):
	}
	return ErrBusy
}

func (a *Applier) endTurn() { <-a.turn }

// wait waits for a change to be in force, or for as long as its user can be kept.
func (a *Applier) wait(ctx context.Context, change *configuration.Rollout, done <-chan error) (Answer, error) {
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
	switch change.Stage() {
	case configuration.Storing:
		return Answer{}, ErrUnknown
	case configuration.Refused:
		return Answer{}, ErrUnavailable
	}
	return Answer{Revision: change.After.Revision, InForce: change.Stage() == configuration.InForce, WaitsFor: change.WaitsFor(a.clock.Now())}, nil
}

// Progress is how far the last change of this term has come; false: there was none.
func (a *Applier) Progress() (Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.change == nil || a.change.Stage() == configuration.Refused || a.change.Stage() == configuration.Storing {
		return Answer{}, false
	}
	return Answer{Revision: a.change.After.Revision, InForce: a.change.Stage() == configuration.InForce, WaitsFor: a.change.WaitsFor(a.clock.Now())}, true
}

// carryOut takes a change from before it is stored until it is in force. The error tells why it is not stored.
func (a *Applier) carryOut(change *configuration.Rollout, revision *configuration.Revision, document *configuration.Document, stamp uint64) error {
	a.mu.Lock()
	a.change = change
	a.mu.Unlock()
	// From here on the lower limits of both count, whatever becomes of it.
	undecided := a.leader.Adopt(change.Effective())
	epoch, err := a.store(revision, stamp)
	if err != nil {
		a.mu.Lock()
		change.MarkRefused()
		a.mu.Unlock()
		a.leader.Adopt(change.Before)
		return err
	}
	a.mu.Lock()
	change.MarkStored(a.clock.Now())
	a.active, a.document, a.stamp = change.After, document, epoch
	a.mu.Unlock()
	a.take(configuration.ValidityLease{Active: change.After, StoreRevision: epoch, RequestedAt: a.clock.Now()}, revision, revision.Number, "")
	began := a.clock.Now()
	a.spread(change, undecided)
	if change.Stage() != configuration.InForce {
		return ErrNotLeader
	}
	slog.Info("configuration in force", "revision", revision.Number, "by", revision.By, "why", revision.Why, "stored_to_in_force_ms", a.clock.Since(began).Milliseconds())
	a.sweep(revision.Number)
	return nil
}

// spread waits until a stored change is in force, or the term is over.
func (a *Applier) spread(change *configuration.Rollout, undecided func() int) {
	for _, member := range a.leader.Peers() {
		go a.confirm(change, member)
	}
	for a.ctx.Err() == nil {
		n := undecided()
		a.mu.Lock()
		change.SetUnrecorded(n)
		// What is decided from here on goes by the new one alone, before anybody hears that it is in force.
		done := change.Advance(a.clock.Now()) == configuration.InForce
		if done {
			a.leader.Adopt(change.Effective())
		}
		a.mu.Unlock()
		if done {
			return
		}
		select {
		case <-a.ctx.Done():
		case <-a.clock.After(tuning.ConfigurationStep):
		}
	}
}

// confirm asks a sibling until it has read the change, or that no longer matters.
func (a *Applier) confirm(change *configuration.Rollout, member string) {
	for a.ctx.Err() == nil {
		number, err := a.leader.RefreshPeer(a.ctx, member, change.After.Revision)
		a.mu.Lock()
		if err == nil {
			change.Confirm(member, number)
		}
		over := change.Stage() == configuration.InForce || err == nil && number >= change.After.Revision
		a.mu.Unlock()
		if over {
			return
		}
		select {
		case <-a.ctx.Done():
		case <-a.clock.After(tuning.ConfigurationEvery / 4):
		}
	}
}

// store writes a revision's parts and then its head, on condition that this controller leads and the head is as it was.
// Once the outcome of a transaction is not known it is sent again until it is: a second execution of the same changes
// nothing. The error is ErrUnavailable where nothing can have been stored.
func (a *Applier) store(revision *configuration.Revision, stamp uint64) (epoch uint64, err error) {
	head, parts, err := configuration.Encode(revision, a.limits.ValueBytes())
	if err != nil {
		return 0, err
	}
	conds := []store.Condition{{Key: configuration.HeadKey, Revision: stamp}}
	var ops []store.Operation
	for i, part := range parts {
		key := configuration.PartKey(revision.Number, i)
		ops = append(ops, store.Operation{Set: key, Value: part})
		if len(ops)+1 < a.limits.TxnOps || i == len(parts)-1 {
			continue
		}
		if epoch, err = a.write(conds, ops, nil); err != nil {
			return 0, err
		}
		// A late copy of an earlier try must not change what the head will name.
		for _, op := range ops {
			conds = append(conds, store.Condition{Key: op.Set, Revision: epoch})
		}
		ops = nil
	}
	ops = append(ops, store.Operation{Set: configuration.HeadKey, Value: head})
	return a.write(conds, ops, &head)
}

// write runs one transaction to a known outcome. Head is what it makes the head, if it does.
func (a *Applier) write(conds []store.Condition, ops []store.Operation, head *configuration.Head) (epoch uint64, err error) {
	unknown := false
	for a.ctx.Err() == nil {
		lead, ok := a.leader.Condition()
		if !ok && !unknown {
			return 0, ErrNotLeader
		}
		epoch, failed, err := a.client.Transact(a.ctx, append([]store.Condition{lead}, conds...), ops)
		switch {
		case err == nil:
			return epoch, nil
		case errors.Is(err, store.ErrConflict):
			if unknown && head != nil {
				if found, ok := a.wrote(head); ok {
					return found, nil
				}
			}
			if len(failed) > 0 && failed[0] == store.LeaderKey {
				return 0, ErrNotLeader
			}
			return 0, fmt.Errorf("%w: %v", ErrConflict, failed)
		case errors.Is(err, store.ErrRateLimited), unknown && errors.Is(err, store.ErrBusy):
		case errors.Is(err, store.ErrBusy):
			return 0, ErrUnavailable
		case errors.Is(err, store.ErrInvalidRequest):
			return 0, err
		default:
			unknown = true
		}
		select {
		case <-a.ctx.Done():
		case <-a.clock.After(tuning.ElectRetry):
		}
	}
	return 0, ErrUnknown
}

// wrote tells whether the head is what was to be written, and at which revision of the state service.
func (a *Applier) wrote(head *configuration.Head) (epoch uint64, ok bool) {
	for a.ctx.Err() == nil {
		item, err := a.client.Get(a.ctx, configuration.HeadKey)
		if err == nil {
			found, err := configuration.ParseHead(item.Value)
			return item.Revision, err == nil && found == *head
		}
		if errors.Is(err, store.ErrNotFound) {
			return 0, false
		}
		select {
		case <-a.ctx.Done():
		case <-a.clock.After(tuning.ElectRetry):
		}
	}
	return 0, false
}

// sweep removes revisions that are older than the last ones that are kept. What fails is tried with a later change.
func (a *Applier) sweep(newest uint64) {
	for back := uint64(tuning.ConfigurationKept); back < tuning.ConfigurationKept+tuning.ConfigurationSwept && back < newest; back++ {
		old := newest - back
		item, err := a.client.Get(a.ctx, configuration.PartKey(old, 0))
		if err != nil {
			continue
		}
		part, err := configuration.ParsePart(item.Value)
		if err != nil {
			continue
		}
		lead, ok := a.leader.Condition()
		if !ok {
			return
		}
		// The first part goes last: it tells how many there are.
		for i := part.Of - 1; i >= 0; i-- {
			if _, _, err := a.client.Transact(a.ctx, []store.Condition{lead}, []store.Operation{{Delete: configuration.PartKey(old, i)}}); err != nil {
				slog.Info("an old revision is not removed yet", "revision", old, "err", err)
				return
			}
		}
	}
}
