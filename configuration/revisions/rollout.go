package revisions

import (
	"log/slog"
	"time"

	"switchferry/configuration"
	"switchferry/internal/sleep"
	"switchferry/tuning"
)

// change is a change that is in progress.
type change struct {
	// rollout is guarded by Applier.mu.
	rollout  *configuration.Rollout
	revision *configuration.Revision
	document *configuration.Document
	// headRevision is the state service's revision of the head that the change replaces.
	headRevision uint64
}

// rollOut takes a change from before it is stored until it is in force. The error says why the
// revision is not stored, or is ErrNotLeader if the term ended before it was in force.
func (a *Applier) rollOut(change change) error {
	rollout, revision := change.rollout, change.revision
	a.mu.Lock()
	a.rollout = rollout
	a.mu.Unlock()
	// From here on the lower limits of both revisions apply, whatever becomes of the change.
	unrecordedCount := a.leader.Adopt(rollout.Effective())
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
	if !a.awaitInForce(rollout, unrecordedCount) {
		return ErrNotLeader
	}
	slog.Info("configuration in force", "revision", revision.Number, "by", revision.By, "why", revision.Why, "stored_to_in_force_ms", a.clock.Since(storedAt).Milliseconds())
	a.removeOldRevisions(revision.Number)
	return nil
}

// resumeRollout brings the revision into force that the last leader stored. That leader may have ended
// before the revision was in force, and some controllers may still use an older one.
func (a *Applier) resumeRollout(active *configuration.Active) {
	rollout := configuration.NewRollout(active, active, a.leader.Peers())
	rollout.MarkStored(a.clock.Now())
	a.mu.Lock()
	a.rollout = rollout
	a.mu.Unlock()
	// This does not block: no change has been requested in this term yet.
	a.inProgress <- struct{}{}
	go func() {
		defer a.release()
		a.awaitInForce(rollout, func() int { return 0 })
	}()
}

// awaitInForce waits until a stored revision is in force, and returns true then. It returns false if
// the term ends before. The goroutines that it starts end with the rollout or the term.
func (a *Applier) awaitInForce(rollout *configuration.Rollout, unrecordedCount func() int) bool {
	for _, member := range a.leader.Peers() {
		go a.awaitConfirmation(rollout, member)
	}
	for a.termCtx.Err() == nil {
		unrecorded := unrecordedCount()
		if a.advance(rollout, unrecorded) {
			return true
		}
		a.sleep(tuning.ConfigurationStep)
	}
	return false
}

// advance moves a rollout on, and returns true once the revision is in force. The leader then decides
// by the new revision alone, before anybody is told that it is in force.
func (a *Applier) advance(rollout *configuration.Rollout, unrecorded int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	rollout.SetUnrecorded(unrecorded)
	if rollout.Advance(a.clock.Now()) != configuration.InForce {
		return false
	}
	a.leader.Adopt(rollout.Effective())
	return true
}

// awaitConfirmation asks a peer until it has read the revision, or the revision is in force without.
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
		a.sleep(tuning.ConfigurationEvery / 4)
	}
}

// sleep waits for a duration, or until the term ends.
func (a *Applier) sleep(duration time.Duration) { sleep.For(a.termCtx, a.clock, duration) }
