package controller

import (
	"sync"

	"switchferry/configuration/revisions"
	"switchferry/scheduler"
)

// currentTerm is the term in which this controller leads, if it does. Whether it certainly still leads is for the
// scheduler of the term to tell.
type currentTerm struct {
	// mu guards term, which is nil while this controller does not lead.
	mu   sync.Mutex
	term *leaderTerm
}

// begin makes a term the current one.
func (t *currentTerm) begin(term *leaderTerm) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term = term
}

// end ends the current term, if there is one.
func (t *currentTerm) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != nil && t.term.stop != nil {
		t.term.stop()
	}
	t.term = nil
}

// get returns the current term, or nil.
func (t *currentTerm) get() *leaderTerm {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term
}

// scheduler returns the scheduler of the current term, or nil.
func (t *currentTerm) scheduler() *scheduler.Scheduler {
	if term := t.get(); term != nil {
		return term.scheduler
	}
	return nil
}

// applier returns what changes the configuration in the current term, or nil: without a term, or without live
// configuration.
func (t *currentTerm) applier() *revisions.Applier {
	if term := t.get(); term != nil {
		return term.applier
	}
	return nil
}
