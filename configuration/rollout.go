package configuration

import (
	"fmt"
	"slices"
	"time"

	"switchferry/tuning"
)

// Stage is how far a rollout has come.
type Stage int

// The stages of a rollout. It begins with Storing, and ends with Refused or InForce.
const (
	// Storing: the revision is not known to be stored. The lower limits of both revisions apply.
	Storing Stage = iota
	// Refused: the revision is not stored, and will not be. The former one applies.
	Refused
	// Spreading: the revision is stored, and some controllers may still use the former one. The
	// lower limits of both apply.
	Spreading
	// InForce: no controller decides or answers by an older revision. The new one applies.
	InForce
)

// Rollout is the change from one revision to the next as the leader sees it, from before the new one
// is stored until it is in force. It is not safe for concurrent use.
type Rollout struct {
	// Before and After do not change.
	Before, After *Active
	// stricter is Stricter(Before, After).
	stricter *Active
	stage    Stage
	// storedAt is when the state service answered that the revision is stored.
	storedAt time.Time
	// unconfirmed are the peers that may use a revision older than After.
	unconfirmed map[string]bool
	// unrecorded is the number of decisions from before the change that are not persisted.
	unrecorded int
}

// NewRollout returns a rollout in stage Storing. Peers are all other controllers. Until SetUnrecorded
// is called, it counts as having unrecorded decisions.
func NewRollout(before, after *Active, peers []string) *Rollout {
	rollout := &Rollout{Before: before, After: after, stricter: Stricter(before, after), unconfirmed: map[string]bool{}, unrecorded: 1}
	for _, peer := range peers {
		rollout.unconfirmed[peer] = true
	}
	return rollout
}

// Effective returns the configuration that decisions are to use now.
func (r *Rollout) Effective() *Active {
	switch r.stage {
	case Refused:
		return r.Before
	case InForce:
		return r.After
	}
	return r.stricter
}

// Stage returns how far the rollout has come.
func (r *Rollout) Stage() Stage { return r.stage }

// MarkRefused notes that the revision is not stored.
func (r *Rollout) MarkRefused() { r.stage = Refused }

// MarkStored notes that the revision is stored, and when the state service answered so. The revision
// may have been stored earlier; the answer is the latest that it can have been.
func (r *Rollout) MarkStored(answered time.Time) { r.stage, r.storedAt = Spreading, answered }

// Confirm notes that the present process of a peer has read the revision, or a newer one. It has no
// effect before MarkStored.
func (r *Rollout) Confirm(member string, revision uint64) {
	if r.stage == Spreading && revision >= r.After.Revision {
		delete(r.unconfirmed, member)
	}
}

// SetUnrecorded sets the number of decisions from before the change, starts and accepts, that are not
// persisted.
func (r *Rollout) SetUnrecorded(n int) { r.unrecorded = n }

// Advance moves a stored revision to InForce once all decisions from before the change are persisted,
// and either each peer has confirmed the revision or no lease on an older one can be valid. It
// returns the stage.
func (r *Rollout) Advance(now time.Time) Stage {
	if r.stage == Spreading && r.unrecorded == 0 && (len(r.unconfirmed) == 0 || !now.Before(r.leasesExpireAt())) {
		r.stage = InForce
	}
	return r.stage
}

// leasesExpireAt returns when no lease on an older revision can be valid any more. A request that was
// sent after the revision was stored finds it; a lease by an earlier one has expired by then, even
// with the drift between the clocks of two controllers.
func (r *Rollout) leasesExpireAt() time.Time {
	return r.storedAt.Add(tuning.ConfigurationLease + tuning.ConfigurationGrain)
}

// WaitsFor returns what the rollout waits for, sorted, in words for operators; empty: nothing.
func (r *Rollout) WaitsFor(now time.Time) (out []string) {
	if r.stage == Storing {
		return []string{"the state service"}
	}
	if r.stage != Spreading {
		return nil
	}
	if r.unrecorded > 0 {
		out = append(out, fmt.Sprintf("%d starts and accepts of before the change, which are not on record yet", r.unrecorded))
	}
	if left := r.leasesExpireAt().Sub(now); left > 0 {
		for member := range r.unconfirmed {
			out = append(out, fmt.Sprintf("%s, for %.1f s at most", member, left.Seconds()))
		}
	}
	slices.Sort(out)
	return out
}
