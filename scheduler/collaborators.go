package scheduler

import (
	"time"

	"switchferry/api"
	"switchferry/store"
)

// Collaborators holds the interfaces through which a Scheduler acts on its surroundings. Their methods may be called
// with the scheduler's lock held, so they must neither block nor call the scheduler.
type Collaborators struct {
	Records        RecordWriter
	Sender         CommandSender
	Leadership     Leadership
	Zones          ZoneMonitor
	TerminalStates TerminalStates
	Fences         FenceRegistry
}

// RecordWriter writes records to the state service asynchronously; store.Committer implements it. When it writes a key,
// it gets the key's current value from Scheduler.Record.
type RecordWriter interface {
	// MarkDirty schedules the record of a key to be written, the most urgent records first. Once a value at least as
	// new as the present one is stored, stored is called without the scheduler's lock held; it may be nil.
	MarkDirty(key string, urgency int, stored func())
	// MarkDirtyWithin is like MarkDirty, but the write may be delayed by up to wait to combine it with later changes of
	// the key.
	MarkDirtyWithin(key string, urgency int, wait time.Duration, stored func())
	// SetRevision sets the revision of a record that another controller wrote and that the scheduler has adopted.
	SetRevision(key string, revision uint64)
	// CommittedRevision returns the highest revision at which the state service has confirmed a write of this term, 0
	// before the first.
	CommittedRevision() uint64
	// Delay returns how long the record of a new job would wait because of the rate limits of the state service.
	Delay() time.Duration
}

// CommandSender sends commands to machines.
type CommandSender interface {
	// SendCommands sends commands to a worker without waiting for its next heartbeat.
	SendCommands(machine, address string, response api.HeartbeatResponse)
	// SendStageOrder sends a staging order to an agent. It is called only if datasets are enabled.
	SendStageOrder(machine, address string, order api.StageOrder)
}

// Leadership reports whether this controller still leads.
type Leadership interface {
	// Leading reports whether this controller is certain to be the leader still in this term.
	Leading() bool
}

// FenceRegistry tells the other controllers which fencing token they must give workers; watermark.Tracker implements it.
type FenceRegistry interface {
	// RequireToken records that a controller that answers a worker without the leader must give it at least this token.
	RequireToken(token uint64)
}

// ZoneMonitor reports which zones are unreachable.
type ZoneMonitor interface {
	// ZoneUnreachable reports whether none of the controllers in a zone can be reached.
	ZoneUnreachable(zone string) bool
}

// TerminalStates caches the terminal states of jobs; lookup.TerminalStates implements it.
type TerminalStates interface {
	// Remember adds the terminal state of a job.
	Remember(id string, final store.FinalRecord)
	// Get returns the terminal state of a job; ok is false if it is not known.
	Get(id string) (final store.FinalRecord, ok bool)
}
