package controller

import (
	"context"
	"time"

	"switchferry/api"
	"switchferry/election"
	"switchferry/scheduler"
)

// termCollaborators returns the components of this process that the scheduler of a term uses. The context is that of
// the term.
func termCollaborators(ctx context.Context, term *leaderTerm, number uint64) scheduler.Collaborators {
	return scheduler.Collaborators{
		Records:        termRecords{term},
		Sender:         termSender{ctx, term},
		Leadership:     termLeadership{term.controller.elector, number},
		Zones:          term.controller.workers,
		TerminalStates: term.controller.jobs.TerminalStates,
		Fences:         term.controller.leases.watermark,
	}
}

// termRecords gives the scheduler of a term access to the term's committer, which is created after the scheduler.
type termRecords struct{ term *leaderTerm }

// MarkDirty schedules the record of a key to be written.
func (r termRecords) MarkDirty(key string, urgency int, stored func()) {
	r.term.committer.MarkDirty(key, urgency, stored)
}

// MarkDirtyWithin is MarkDirty for a change that may be delayed by up to wait, to be written together with others.
func (r termRecords) MarkDirtyWithin(key string, urgency int, wait time.Duration, stored func()) {
	r.term.committer.MarkDirtyWithin(key, urgency, wait, stored)
}

// SetRevision sets the stored revision of a record that was adopted.
func (r termRecords) SetRevision(key string, revision uint64) {
	r.term.committer.SetRevision(key, revision)
}

// CommittedRevision returns the highest revision at which the committer has written.
func (r termRecords) CommittedRevision() uint64 { return r.term.committer.CommittedRevision() }

// Delay returns how long the record of a new job would wait to be written.
func (r termRecords) Delay() time.Duration { return r.term.committer.Delay() }

// termSender sends the commands and orders of a term's scheduler, each in a goroutine that ends with the context of the
// term.
type termSender struct {
	ctx  context.Context
	term *leaderTerm
}

// SendCommands sends commands to a worker.
func (s termSender) SendCommands(machine, address string, response api.HeartbeatResponse) {
	go s.term.sendCommands(s.ctx, machine, address, response)
}

// SendStageOrder sends a stage order to an agent.
func (s termSender) SendStageOrder(machine, address string, order api.StageOrder) {
	go s.term.controller.agents.sendOrder(s.ctx, s.term.scheduler, machine, address, order)
}

// termLeadership reports whether this controller still leads in a term.
type termLeadership struct {
	elector *election.Elector
	number  uint64
}

// Leading reports whether this controller certainly leads in the term.
func (l termLeadership) Leading() bool {
	current, valid := l.elector.Term()
	return valid && current == l.number
}
