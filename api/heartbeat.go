package api

// Task states, as workers report them.
const (
	// TaskFetching means that the machine is fetching the task's image.
	TaskFetching = "fetching"
	// TaskRunning means that the task is running or waiting for the other tasks of its gang.
	TaskRunning = "running"
	// TaskSaving means that the task is being stopped and is saving its progress.
	TaskSaving = "flushing"
	// TaskExited means that the task has exited; TaskReport.Cause gives the reason.
	TaskExited = "ended"
)

// Exit causes, as workers report them.
const (
	// CauseDone means that the task completed.
	CauseDone = "done"
	// CauseStopped means that a command stopped the task.
	CauseStopped = "halted"
	// CauseError means that the task failed, in most cases because of a faulty machine.
	CauseError = "error"
	// CauseInsufficientResources means that the worker rejected the start for lack of free resources.
	CauseInsufficientResources = "no_room"
	// CauseConflictingAttempt means that the worker rejected the start because another attempt of the task is on the
	// machine.
	CauseConflictingAttempt = "busy"
	// CauseNotFound means that the worker rejected the start because it cannot find the job or task.
	CauseNotFound = "unknown"
)

// Values of Command.Verb.
const (
	// CommandRun starts an attempt of a task.
	CommandRun = "run"
	// CommandKill stops an attempt. The task saves its progress if the grace period is long enough.
	CommandKill = "kill"
	// CommandClear removes an exited attempt from the worker's heartbeats.
	CommandClear = "clear"
)

// TaskReport is the state of one task in a worker's heartbeat.
type TaskReport struct {
	Task    string `json:"part"`
	Attempt uint64 `json:"try"`
	// State is one of the task states, such as TaskRunning.
	State string `json:"status"`
	// Cause is one of the exit causes, such as CauseDone; empty unless the task has exited.
	Cause string `json:"cause"`
	// Saved is true if the progress of a stopped task was saved.
	Saved bool `json:"stored"`
}

// Heartbeat is the message in which a worker periodically reports its state.
type Heartbeat struct {
	Machine string `json:"host"`
	Address string `json:"address"`
	Type    string `json:"hull"`
	Zone    string `json:"berth"`
	Spot    bool   `json:"standby"`
	// Incarnation starts at 1 and increases each time the worker's lease expires. Seq increases with every heartbeat.
	Incarnation uint64 `json:"watch"`
	Seq         uint64 `json:"tally"`
	// Term is the highest fencing token that the worker has seen.
	Term uint64 `json:"helm"`
	// PreemptionNoticeS is the time in seconds until the cloud reclaims the machine; nil if no notice was given.
	PreemptionNoticeS *float64 `json:"recall_s"`
	// Tasks lists all tasks on the machine, including exited ones that no CommandClear has removed.
	Tasks []TaskReport `json:"parts"`
}

// NewerThan reports whether the heartbeat is newer than the one with the given incarnation and sequence number.
func (heartbeat *Heartbeat) NewerThan(incarnation, seq uint64) bool {
	return heartbeat.Incarnation > incarnation || heartbeat.Incarnation == incarnation && heartbeat.Seq > seq
}

// Check returns a *FieldError if a required field is missing.
func (heartbeat *Heartbeat) Check() error {
	switch {
	case heartbeat.Machine == "":
		return &FieldError{"host", "is missing"}
	case heartbeat.Incarnation == 0:
		return &FieldError{"watch", "is missing"}
	}
	return nil
}

// Command instructs a worker to start, stop or clear an attempt of a task.
type Command struct {
	// Verb is CommandRun, CommandKill or CommandClear.
	Verb    string `json:"verb"`
	Task    string `json:"part"`
	Attempt uint64 `json:"try"`
	// GraceS is the grace period of CommandKill in seconds, in which the task may save its progress; nil for other
	// verbs.
	GraceS *float64 `json:"wind_down_s,omitempty"`
}

// HeartbeatResponse is the response to a heartbeat. A controller also sends it to a worker directly, outside of a
// heartbeat. The worker executes the commands in order.
type HeartbeatResponse struct {
	// Term is the fencing token.
	Term uint64 `json:"helm"`
	// Incarnation is the worker incarnation that the commands are for; set only in messages that are sent directly.
	Incarnation uint64    `json:"watch,omitempty"`
	Commands    []Command `json:"orders"`
}

// Redirect is the response that directs a worker to send its heartbeats to another controller. If Controller is empty,
// the worker tries the next one.
type Redirect struct {
	Controller string `json:"harbor,omitempty"`
}
