package scheduler

import (
	"time"

	"switchferry/api"
	"switchferry/store"
)

// Collaborators are what a Scheduler asks of the process that runs it. All methods may be called with the scheduler's lock
// held: they must not block, nor call the scheduler.
type Collaborators struct {
	Records        RecordWriter
	Sender         CommandSender
	Leadership     Leadership
	Zones          ZoneMonitor
	TerminalStates TerminalStates
}

// RecordWriter writes records to the state service, later; store.Committer is one. What it writes of a key it asks of the
// scheduler (Record) at that time.
type RecordWriter interface {
	// MarkDirty has the record of a key written, the most urgent first. Stored is called once a value at least as new as
	// now is stored, without the scheduler's lock held; it may be nil.
	MarkDirty(key string, urgency int, stored func())
	// MarkDirtyWithin is MarkDirty for a change that may wait that long to be written with others of its key.
	MarkDirtyWithin(key string, urgency int, wait time.Duration, stored func())
	// SetRevision notes the revision of a record that another controller wrote and that the scheduler has adopted.
	SetRevision(key string, revision uint64)
	// Delay returns how long a record of a new job would wait for the limits of the state service.
	Delay() time.Duration
}

// CommandSender sends commands to machines.
type CommandSender interface {
	// SendCommands delivers a response to a worker before its next heartbeat.
	SendCommands(machine, address string, response api.HeartbeatResponse)
	// SendStageOrder delivers an order to an agent; it is used only with datasets on.
	SendStageOrder(machine, address string, order api.StageOrder)
}

// Leadership tells whether the term lasts.
type Leadership interface {
	// Leading reports whether this controller certainly still leads in the term.
	Leading() bool
}

// ZoneMonitor tells which zones can be reached.
type ZoneMonitor interface {
	// ZoneUnreachable reports whether no controller in a zone can be reached.
	ZoneUnreachable(zone string) bool
}

// TerminalStates remembers what became of jobs that have ended; lookup.TerminalStates is one.
type TerminalStates interface {
	// Remember notes the terminal state of a job.
	Remember(id string, final store.FinalRecord)
	// Get returns the terminal state of a job; ok is false if it is not known.
	Get(id string) (final store.FinalRecord, ok bool)
}
