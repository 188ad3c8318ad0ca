package configuration

import (
	"fmt"
	"slices"
	"time"

	"switchferry/tuning"
)

// Stage is the stage that a rollout has reached.
type Stage int

// The stages of a rollout. Storing is the first; Refused and InForce are terminal.
const (
	// Storing means that the revision is not known to be stored. The lower limits of both revisions
	// apply.
	Storing Stage = iota
	// Refused means that the revision is not stored and will not be. The previous one applies.
	Refused
	// Propagating means that the revision is stored, but some controllers may still use the previous
	// one. The lower limits of both revisions apply.
	Propagating
	// InForce means that no controller uses an older revision for decisions or answers. The new
	// revision applies.
	InForce
)

// Rollout is the leader's state of the change from one revision to the next, from before the new
// revision is stored until it is in force. It is not safe for concurrent use.
type Rollout struct {
	// Before and After are the configurations of the previous and the new revision. They are immutable.
	Before, After *Active
	// stricter is Stricter(Before, After).
	stricter *Active
	stage    Stage
	// storedAt is the time at which the state service answered that the revision is stored.
	storedAt time.Time
	// unconfirmed is the set of peers that may still use a revision older than After.
	unconfirmed map[string]bool
	// unpersisted is the number of decisions made before the change that are not persisted yet.
	unpersisted int
}

// NewRollout returns a rollout in stage Storing. Peers are the names of all other controllers. Until
// SetUnpersisted is called, the rollout assumes that there are decisions that are not persisted.
func NewRollout(before, after *Active, peers []string) *Rollout {
	rollout := &Rollout{Before: before, After: after, stricter: Stricter(before, after), unconfirmed: map[string]bool{}, unpersisted: 1}
	for _, peer := range peers {
		rollout.unconfirmed[peer] = true
	}
	return rollout
}

// Effective returns the configuration that decisions must use in the present stage.
func (r *Rollout) Effective() *Active {
	switch r.stage {
	case Refused:
		return r.Before
	case InForce:
		return r.After
	}
	return r.stricter
}

// Stage returns the stage that the rollout has reached.
func (r *Rollout) Stage() Stage { return r.stage }

// MarkRefused records that the revision is not stored and will not be.
func (r *Rollout) MarkRefused() { r.stage = Refused }

// MarkStored records that the revision is stored, and the time at which the state service's answer
// arrived. The revision was stored at that time or earlier.
func (r *Rollout) MarkStored(answeredAt time.Time) { r.stage, r.storedAt = Propagating, answeredAt }

// Confirm records that the process that now runs as the given peer has read the given revision. It has
// no effect before MarkStored, or if the revision is older than After.
func (r *Rollout) Confirm(member string, revision uint64) {
	if r.stage == Propagating && revision >= r.After.Revision {
		delete(r.unconfirmed, member)
	}
}

// SetUnpersisted sets the number of decisions (starts and accepts) that were made before the change and
// are not persisted yet.
func (r *Rollout) SetUnpersisted(count int) { r.unpersisted = count }

// Advance moves a stored revision to InForce once all decisions made before the change are persisted,
// and either each peer has confirmed the revision or no lease on an older one can be valid any more.
// It returns the stage.
func (r *Rollout) Advance(now time.Time) Stage {
	if r.stage == Propagating && r.unpersisted == 0 && (len(r.unconfirmed) == 0 || !now.Before(r.leasesExpireAt())) {
		r.stage = InForce
	}
	return r.stage
}

// leasesExpireAt returns the time from which no lease on an older revision can be valid. A request that
// is sent after the revision was stored finds the revision. A lease that an earlier request renewed has
// expired by the returned time, even if the clocks of the two controllers drift apart.
func (r *Rollout) leasesExpireAt() time.Time {
	return r.storedAt.Add(tuning.ConfigurationLease + tuning.ConfigurationMargin)
}

// WaitsFor returns sorted descriptions, for operators, of what the rollout waits for. It returns none
// if the rollout waits for nothing.
func (r *Rollout) WaitsFor(now time.Time) (reasons []string) {
	if r.stage == Storing {
		return []string{"the state service"}
	}
	if r.stage != Propagating {
		return nil
	}
	if r.unpersisted > 0 {
		reasons = append(reasons, fmt.Sprintf("%d starts and accepts from before the change that are not on record yet", r.unpersisted))
	}
	if remaining := r.leasesExpireAt().Sub(now); remaining > 0 {
		for member := range r.unconfirmed {
			reasons = append(reasons, fmt.Sprintf("%s, for %.1f s at most", member, remaining.Seconds()))
		}
	}
	slices.Sort(reasons)
	return reasons
}
