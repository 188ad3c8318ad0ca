package controller

import (
	"sync"

	"switchferry/configuration/revisions"
	"switchferry/scheduler"
)

// currentTerm holds the term in which this controller leads, if any. The term may already be lost without this process
// knowing; Leading of the term's scheduler reports whether the controller certainly still leads.
type currentTerm struct {
	// mu guards term, which is nil while this controller does not lead.
	mu   sync.Mutex
	term *leaderTerm
}

// begin sets the current term.
func (t *currentTerm) begin(term *leaderTerm) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term = term
}

// end stops the loops of the current term, if there is one, and clears it.
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

// applier returns the applier of configuration changes of the current term. It is nil without a term or without live
// configuration.
func (t *currentTerm) applier() *revisions.Applier {
	if term := t.get(); term != nil {
		return term.applier
	}
	return nil
}
