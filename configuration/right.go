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
	// Asked is when the reading was sent that last found it the newest.
	Asked time.Time
}

// ValidAt tells whether it may still be gone by.
func (r ValidityLease) ValidAt(now time.Time) bool {
	return r.Active != nil && now.Sub(r.Asked) < tuning.ConfigurationRight
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
	between       *Active
	stage         Stage
	storedAt      time.Time
	waiting       map[string]bool
	undecided     int
}

// NewRollout is a change that is about to be stored. Siblings are all other controllers.
func NewRollout(before, after *Active, siblings []string) *Rollout {
	a := &Rollout{Before: before, After: after, between: Stricter(before, after), waiting: map[string]bool{}, undecided: 1}
	for _, s := range siblings {
		a.waiting[s] = true
	}
	return a
}

// Effective is what decisions go by now.
func (a *Rollout) Effective() *Active {
	switch a.stage {
	case Refused:
		return a.Before
	case InForce:
		return a.After
	}
	return a.between
}

// Stage is how far it has come.
func (a *Rollout) Stage() Stage { return a.stage }

// Refuse notes that it is not stored.
func (a *Rollout) Refuse() { a.stage = Refused }

// Stored notes that it is stored, as answered at that moment: at the latest then, since it is not known when before.
func (a *Rollout) Stored(answered time.Time) { a.stage, a.storedAt = Spreading, answered }

// Confirmed notes that a sibling's present process has read this revision, or a newer one, since it was stored.
func (a *Rollout) Confirmed(member string, revision uint64) {
	if a.stage == Spreading && revision >= a.After.Revision {
		delete(a.waiting, member)
	}
}

// Undecided notes how many decisions of before the change, starts and accepts, are not on record yet.
func (a *Rollout) Undecided(n int) { a.undecided = n }

// Step looks whether it is in force by now: once every sibling has confirmed it, or no right to an older one can last,
// and nothing that was decided before it is still to be recorded.
func (a *Rollout) Step(now time.Time) Stage {
	if a.stage == Spreading && a.undecided == 0 && (len(a.waiting) == 0 || !now.Before(a.rightsEnd())) {
		a.stage = InForce
	}
	return a.stage
}

// rightsEnd is when no right to an older revision can last: a reading that was sent after it was stored finds it, one
// sent before ends so much later on its controller's clock.
func (a *Rollout) rightsEnd() time.Time {
	return a.storedAt.Add(tuning.ConfigurationRight + tuning.ConfigurationGrain)
}

// WaitsFor tells whom and what it waits for; empty: for nothing.
func (a *Rollout) WaitsFor(now time.Time) (out []string) {
	if a.stage == Storing {
		return []string{"the state service"}
	}
	if a.stage != Spreading {
		return nil
	}
	if a.undecided > 0 {
		out = append(out, fmt.Sprintf("%d starts and accepts of before the change, which are not on record yet", a.undecided))
	}
	if left := a.rightsEnd().Sub(now); left > 0 {
		for member := range a.waiting {
			out = append(out, fmt.Sprintf("%s, for %.1f s at most", member, left.Seconds()))
		}
	}
	slices.Sort(out)
	return out
}
