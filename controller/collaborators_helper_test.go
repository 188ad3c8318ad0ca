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
		Zones: reachableZones{}, TerminalStates: lookup.NewTerminalStates()}
}

// leadershipFunc reports whether the term lasts.
type leadershipFunc func() bool

func (f leadershipFunc) Leading() bool { return f() }

// reachableZones has all zones within reach.
type reachableZones struct{}

func (reachableZones) ZoneUnreachable(string) bool { return false }

// discardedRecords writes nothing.
type discardedRecords struct{}

func (discardedRecords) MarkDirty(string, int, func())                      {}
func (discardedRecords) MarkDirtyWithin(string, int, time.Duration, func()) {}
func (discardedRecords) SetRevision(string, uint64)                         {}
func (discardedRecords) Delay() time.Duration                               { return 0 }

// discardedCommands sends nothing.
type discardedCommands struct{}

func (discardedCommands) SendCommands(string, string, api.HeartbeatResponse) {}
func (discardedCommands) SendStageOrder(string, string, api.StageOrder)      {}

// leaderRecords are written by the committer of a test's leader, all without delay.
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

func (r leaderRecords) Delay() time.Duration { return r.leader.committer.Delay() }

// leaderCommands are kept by a test's leader.
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
