package configuration

import (
	"fmt"
	"slices"
	"time"

	"switchferry/tuning"
)

// ValidityLease is what a controller has read, and since when it knows that it was the newest: it may go by it for a bounded
// time, by its own clock, from when it asked. So whoever stores a newer one knows, without asking, when nobody goes by
// the old one any more.
type ValidityLease struct {
	Active *Active
	// StoreRevision is the revision of HeadKey in the state service; 0: there is none.
	StoreRevision uint64
	// RequestedAt is when the reading was sent that last found it the newest.
	RequestedAt time.Time
}

// ValidAt tells whether it may still be gone by.
func (l ValidityLease) ValidAt(now time.Time) bool {
	return l.Active != nil && now.Sub(l.RequestedAt) < tuning.ConfigurationRight
}

// Stage is how far a change has come.
type Stage int

// Stages of a change.
const (
	// Storing: it is not known to be stored yet. Both revisions' lower limits count.
	Storing Stage = iota
	// Refused: it is not stored, and will not be. The former one counts.
	Refused
	// Spreading: it is stored; some may still go by the former one.
	Spreading
	// InForce: nobody decides or answers by an older one.
	InForce
)

// Rollout is one change, from before it is stored until it is in force, as the leader sees it. It is not safe for
// use from several goroutines at once.
type Rollout struct {
	Before, After *Active
	stricter      *Active
	stage         Stage
	storedAt      time.Time
	unconfirmed   map[string]bool
	unrecorded    int
}

// NewRollout is a change that is about to be stored. Siblings are all other controllers.
func NewRollout(before, after *Active, peers []string) *Rollout {
	rollout := &Rollout{Before: before, After: after, stricter: Stricter(before, after), unconfirmed: map[string]bool{}, unrecorded: 1}
	for _, peer := range peers {
		rollout.unconfirmed[peer] = true
	}
	return rollout
}

// Effective is what decisions go by now.
func (r *Rollout) Effective() *Active {
	switch r.stage {
	case Refused:
		return r.Before
	case InForce:
		return r.After
	}
	return r.stricter
}

// Stage is how far it has come.
func (r *Rollout) Stage() Stage { return r.stage }

// MarkRefused notes that it is not stored.
func (r *Rollout) MarkRefused() { r.stage = Refused }

// MarkStored notes that it is stored, as answered at that moment: at the latest then, since it is not known when before.
func (r *Rollout) MarkStored(answered time.Time) { r.stage, r.storedAt = Spreading, answered }

// Confirm notes that a sibling's present process has read this revision, or a newer one, since it was stored.
func (r *Rollout) Confirm(member string, revision uint64) {
	if r.stage == Spreading && revision >= r.After.Revision {
		delete(r.unconfirmed, member)
	}
}

// SetUnrecorded notes how many decisions of before the change, starts and accepts, are not on record yet.
func (r *Rollout) SetUnrecorded(n int) { r.unrecorded = n }

// Advance looks whether it is in force by now: once every sibling has confirmed it, or no right to an older one can last,
// and nothing that was decided before it is still to be recorded.
func (r *Rollout) Advance(now time.Time) Stage {
	if r.stage == Spreading && r.unrecorded == 0 && (len(r.unconfirmed) == 0 || !now.Before(r.leasesExpireAt())) {
		r.stage = InForce
	}
	return r.stage
}

// leasesExpireAt is when no right to an older revision can last: a reading that was sent after it was stored finds it, one
// sent before ends so much later on its controller's clock.
func (r *Rollout) leasesExpireAt() time.Time {
	return r.storedAt.Add(tuning.ConfigurationRight + tuning.ConfigurationGrain)
}

// WaitsFor tells whom and what it waits for; empty: for nothing.
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
