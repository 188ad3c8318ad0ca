package controller

import (
	"time"

	"switchferry/api"
	"switchferry/lookup"
	"switchferry/scheduler"
)

// testCollaborators returns collaborators of a scheduler that write no records and send no commands.
func testCollaborators(leading func() bool) scheduler.Collaborators {
	return scheduler.Collaborators{Records: discardedRecords{}, Sender: discardedCommands{}, Leadership: leadershipFunc(leading),
		Zones: reachableZones{}, TerminalStates: lookup.NewTerminalStates(), Fences: discardedFences{}}
}

// leadershipFunc implements the scheduler's leadership check with a function.
type leadershipFunc func() bool

func (f leadershipFunc) Leading() bool { return f() }

// reachableZones reports all zones as reachable.
type reachableZones struct{}

func (reachableZones) ZoneUnreachable(string) bool { return false }

// discardedFences tells no other controller of required tokens.
type discardedFences struct{}

func (discardedFences) RequireToken(uint64) {}

// discardedRecords writes no records.
type discardedRecords struct{}

func (discardedRecords) MarkDirty(string, int, func())                      {}
func (discardedRecords) MarkDirtyWithin(string, int, time.Duration, func()) {}
func (discardedRecords) SetRevision(string, uint64)                         {}
func (discardedRecords) CommittedRevision() uint64                          { return 0 }
func (discardedRecords) Delay() time.Duration                               { return 0 }

// discardedCommands sends no commands or orders.
type discardedCommands struct{}

func (discardedCommands) SendCommands(string, string, api.HeartbeatResponse) {}
func (discardedCommands) SendStageOrder(string, string, api.StageOrder)      {}

// leaderRecords passes records to the committer of a testLeader without delay.
type leaderRecords struct{ leader *testLeader }

func (r leaderRecords) MarkDirty(key string, urgency int, stored func()) {
	r.leader.committer.MarkDirty(key, urgency, stored)
}

func (r leaderRecords) MarkDirtyWithin(key string, urgency int, _ time.Duration, stored func()) {
	r.leader.committer.MarkDirty(key, urgency, stored)
}

func (r leaderRecords) SetRevision(key string, revision uint64) {
	r.leader.committer.SetRevision(key, revision)
}

func (r leaderRecords) CommittedRevision() uint64 { return r.leader.committer.CommittedRevision() }

func (r leaderRecords) Delay() time.Duration { return r.leader.committer.Delay() }

// leaderCommands collects the commands that a testLeader sends.
type leaderCommands struct {
	discardedCommands
	leader *testLeader
}

func (c leaderCommands) SendCommands(machine, _ string, response api.HeartbeatResponse) {
	c.leader.sent = append(c.leader.sent, directCommands{machine, response})
	for _, command := range response.Commands {
		c.leader.commands[command.Task] = append(c.leader.commands[command.Task], command)
	}
}
