package controller

import (
	"context"
	"time"

	"switchferry/api"
	"switchferry/election"
	"switchferry/scheduler"
)

// termCollaborators returns what the scheduler of a term asks of this process. The context is that of the term.
func termCollaborators(ctx context.Context, term *leaderTerm, number uint64) scheduler.Collaborators {
	return scheduler.Collaborators{
		Records:        termRecords{term},
		Sender:         termSender{ctx, term},
		Leadership:     termLeadership{term.controller.elector, number},
		Zones:          term.controller.workers,
		TerminalStates: term.controller.jobs.TerminalStates,
	}
}

// termRecords is the committer of a term, which is made after the scheduler.
type termRecords struct{ term *leaderTerm }

// MarkDirty has the record of a key written.
func (r termRecords) MarkDirty(key string, urgency int, stored func()) {
	r.term.committer.MarkDirty(key, urgency, stored)
}

// MarkDirtyWithin is MarkDirty for a change that may wait.
func (r termRecords) MarkDirtyWithin(key string, urgency int, wait time.Duration, stored func()) {
	r.term.committer.MarkDirtyWithin(key, urgency, wait, stored)
}

// SetRevision notes the revision of a record that was adopted.
func (r termRecords) SetRevision(key string, revision uint64) {
	r.term.committer.SetRevision(key, revision)
}

// Delay returns how long a record of a new job would wait.
func (r termRecords) Delay() time.Duration { return r.term.committer.Delay() }

// termSender sends what the scheduler of a term orders, each in a goroutine that ends with the context of the term.
type termSender struct {
	ctx  context.Context
	term *leaderTerm
}

// SendCommands sends commands to a worker.
func (s termSender) SendCommands(machine, address string, response api.HeartbeatResponse) {
	go s.term.sendCommands(s.ctx, machine, address, response)
}

// SendStageOrder sends an order to an agent.
func (s termSender) SendStageOrder(machine, address string, order api.StageOrder) {
	go s.term.controller.agents.sendOrder(s.ctx, s.term.scheduler, machine, address, order)
}

// termLeadership tells whether a term lasts.
type termLeadership struct {
	elector *election.Elector
	number  uint64
}

// Leading reports whether this controller certainly leads in the term.
func (l termLeadership) Leading() bool {
	current, valid := l.elector.Term()
	return valid && current == l.number
}
