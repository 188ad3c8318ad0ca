package api

// Task states, as workers report them.
const (
	// TaskFetching is a task that waits for its image.
	TaskFetching = "fetching"
	// TaskRunning is a task that runs, or that waits for the rest of its gang.
	TaskRunning = "running"
	// TaskSaving is a task that was told to stop and saves its progress.
	TaskSaving = "flushing"
	// TaskExited is a task that has ended; its cause says why.
	TaskExited = "ended"
)

// Causes of exits, as workers report them.
const (
	// CauseDone is a task that completed.
	CauseDone = "done"
	// CauseStopped is a task that was stopped by command.
	CauseStopped = "halted"
	// CauseError is a task that failed, mostly because its machine is faulty.
	CauseError = "error"
	// CauseNoRoom is a start that was refused for lack of free resources.
	CauseNoRoom = "no_room"
	// CauseBusy is a start that was refused because another attempt of the task is on the machine.
	CauseBusy = "busy"
	// CauseUnknown is a start that was refused because the worker cannot find the job or task.
	CauseUnknown = "unknown"
)

// Verbs of commands to workers.
const (
	// CommandRun starts an attempt of a task.
	CommandRun = "run"
	// CommandKill stops an attempt. It may save its progress if its grace period is long enough.
	CommandKill = "kill"
	// CommandClear removes an exited attempt from the worker's heartbeats.
	CommandClear = "clear"
)

// TaskReport is one task in a worker's heartbeat.
type TaskReport struct {
	Task    string `json:"part"`
	Attempt uint64 `json:"try"`
	// State is one of the task states.
	State string `json:"status"`
	// Cause is one of the causes of exits; empty unless the task has exited.
	Cause string `json:"cause"`
	// Saved tells that the progress of a stopped task was saved.
	Saved bool `json:"stored"`
}

// Heartbeat is a worker's report of its state.
type Heartbeat struct {
	Machine string `json:"host"`
	Address string `json:"address"`
	Type    string `json:"hull"`
	Zone    string `json:"berth"`
	Spot    bool   `json:"standby"`
	// Incarnation starts at 1 and grows each time the worker's lease expires, Seq with every heartbeat.
	Incarnation uint64 `json:"watch"`
	Seq         uint64 `json:"tally"`
	// Term is the highest fencing token that the worker has seen.
	Term uint64 `json:"helm"`
	// PreemptionNoticeS is the time in seconds until the cloud takes the machine away; nil means no notice.
	PreemptionNoticeS *float64 `json:"recall_s"`
	// Tasks are all tasks on the machine, including exited ones that no command has cleared.
	Tasks []TaskReport `json:"parts"`
}

// NewerThan tells whether a heartbeat is newer than the one with the given incarnation and seq.
func (heartbeat *Heartbeat) NewerThan(incarnation, seq uint64) bool {
	return heartbeat.Incarnation > incarnation || heartbeat.Incarnation == incarnation && heartbeat.Seq > seq
}

// Check returns a *FieldError if a field is missing without which a heartbeat cannot be handled.
func (heartbeat *Heartbeat) Check() error {
	switch {
	case heartbeat.Machine == "":
		return &FieldError{"host", "is missing"}
	case heartbeat.Incarnation == 0:
		return &FieldError{"watch", "is missing"}
	}
	return nil
}

// Command tells a worker what to do with an attempt of a task.
type Command struct {
	// Verb is CommandRun, CommandKill or CommandClear.
	Verb    string `json:"verb"`
	Task    string `json:"part"`
	Attempt uint64 `json:"try"`
	// GraceS is the time in seconds that CommandKill leaves the task to save; nil for other verbs.
	GraceS *float64 `json:"wind_down_s,omitempty"`
}

// HeartbeatResponse answers a heartbeat, or is sent directly to a worker. The worker executes the
// commands in order.
type HeartbeatResponse struct {
	// Term is the fencing token.
	Term uint64 `json:"helm"`
	// Incarnation is the worker's that the commands are for; only in what is sent directly.
	Incarnation uint64    `json:"watch,omitempty"`
	Commands    []Command `json:"orders"`
}

// Redirect names the controller to report to; empty means the next one.
type Redirect struct {
	Controller string `json:"harbor,omitempty"`
}
