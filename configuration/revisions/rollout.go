package revisions

import (
	"log/slog"
	"time"

	"switchferry/configuration"
	"switchferry/internal/sleep"
	"switchferry/tuning"
)

// change is a configuration change in progress.
type change struct {
	// rollout is guarded by Applier.mu.
	rollout  *configuration.Rollout
	revision *configuration.Revision
	document *configuration.Document
	// headRevision is the state service's revision of the head that the change replaces.
	headRevision uint64
}

// rollOut stores the revision of a change and waits until it is in force. The error is the reason why
// the revision is not stored, or ErrNotLeader if the term ended before the revision was in force.
func (a *Applier) rollOut(change change) error {
	rollout, revision := change.rollout, change.revision
	a.mu.Lock()
	a.rollout = rollout
	a.mu.Unlock()
	// From here on the lower limits of both revisions apply, so that the decisions comply with both
	// whether or not the new revision is stored.
	unpersistedCount := a.leader.Adopt(rollout.Effective())
	headRevision, err := a.persist(revision, change.headRevision)
	if err != nil {
		a.mu.Lock()
		rollout.MarkRefused()
		a.mu.Unlock()
		a.leader.Adopt(rollout.Before)
		return err
	}
	a.mu.Lock()
	rollout.MarkStored(a.clock.Now())
	a.active, a.document, a.headRevision = rollout.After, change.document, headRevision
	a.mu.Unlock()
	lease := configuration.ValidityLease{Active: rollout.After, StoreRevision: headRevision, RequestedAt: a.clock.Now()}
	a.setCurrent(lease, revision, revision.Number, "")
	storedAt := a.clock.Now()
	if !a.awaitInForce(rollout, unpersistedCount) {
		return ErrNotLeader
	}
	slog.Info("configuration in force", "revision", revision.Number, "by", revision.Operator, "why", revision.Reason, "stored_to_in_force_ms", a.clock.Since(storedAt).Milliseconds())
	a.removeOldRevisions(revision.Number)
	return nil
}

// resumeRollout brings the revision that the previous leader stored into force. That leader's term may
// have ended before the revision was in force, so some controllers may still use an older one.
func (a *Applier) resumeRollout(active *configuration.Active) {
	rollout := configuration.NewRollout(active, active, a.leader.Peers())
	rollout.MarkStored(a.clock.Now())
	a.mu.Lock()
	a.rollout = rollout
	a.mu.Unlock()
	// This does not block: no change has been requested in this term yet.
	a.changeSemaphore <- struct{}{}
	go func() {
		defer a.release()
		a.awaitInForce(rollout, func() int { return 0 })
	}()
}

// awaitInForce waits until a stored revision is in force, and returns false if the term ends before
// that. The goroutines that it starts end when the revision is in force or the term ends.
func (a *Applier) awaitInForce(rollout *configuration.Rollout, unpersistedCount func() int) bool {
	for _, member := range a.leader.Peers() {
		go a.awaitConfirmation(rollout, member)
	}
	for a.termCtx.Err() == nil {
		unpersisted := unpersistedCount()
		if a.advance(rollout, unpersisted) {
			return true
		}
		a.sleep(tuning.ConfigurationCheckInterval)
	}
	return false
}

// advance updates the stage of a rollout and reports whether the revision is in force. If it is, the
// leader adopts the new revision before a.mu is released, and thus before any answer says that the
// revision is in force.
func (a *Applier) advance(rollout *configuration.Rollout, unpersisted int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	rollout.SetUnpersisted(unpersisted)
	if rollout.Advance(a.clock.Now()) != configuration.InForce {
		return false
	}
	a.leader.Adopt(rollout.Effective())
	return true
}

// awaitConfirmation asks a peer repeatedly to read the revision, until the peer has confirmed it, the
// revision is in force without that confirmation, or the term ends.
func (a *Applier) awaitConfirmation(rollout *configuration.Rollout, member string) {
	for a.termCtx.Err() == nil {
		number, err := a.leader.RefreshPeer(a.termCtx, member, rollout.After.Revision)
		confirmed := err == nil && number >= rollout.After.Revision
		a.mu.Lock()
		if confirmed {
			rollout.Confirm(member, number)
		}
		finished := confirmed || rollout.Stage() == configuration.InForce
		a.mu.Unlock()
		if finished {
			return
		}
		a.sleep(tuning.ConfigurationInterval / 4)
	}
}

// sleep waits for a duration or until the term ends.
func (a *Applier) sleep(duration time.Duration) { sleep.For(a.termCtx, a.clock, duration) }
