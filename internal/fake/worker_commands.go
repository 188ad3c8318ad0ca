package fake

import (
	"net/http"
	"slices"
	"time"

	"switchferry/api"
)

// IneffectiveStart is the reason why a start command had no effect at a worker. It happens when commands and heartbeats
// pass each other in transit.
type IneffectiveStart int

const (
	// RepeatedStart means that the worker has the attempt, which has not exited.
	RepeatedStart IneffectiveStart = iota
	// LateStart means that the worker has the attempt, which has exited.
	LateStart
	// BusyStart means that the worker has another attempt of the task, which has not exited. The started attempt exits
	// with api.CauseConflictingAttempt.
	BusyStart
)

// acceptResponse applies the answer to a heartbeat that was sent at the given time. It returns the minimum time to wait
// before the next heartbeat.
func (worker *Worker) acceptResponse(heartbeat *api.Heartbeat, sent time.Time, status int, body any) time.Duration {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.applyDueTransitions()
	if status == http.StatusOK {
		response, ok := body.(api.HeartbeatResponse)
		if !ok || heartbeat.Incarnation != worker.incarnation || response.Term < worker.term || response.Term == 0 {
			return worker.interval / 2
		}
		worker.beginLease(sent)
		worker.answeredAt = worker.clock.Now()
		worker.executeCommands(response)
		return 500 * time.Millisecond
	}
	if to, ok := body.(api.Redirect); ok && status == http.StatusMisdirectedRequest {
		if i := slices.Index(worker.controllers, to.Controller); i >= 0 && i != worker.controllerIndex {
			worker.controllerIndex = i
			worker.wakeRun()
			return 100 * time.Millisecond
		}
	}
	worker.controllerIndex = (worker.controllerIndex + 1) % len(worker.controllers)
	return time.Second
}

// executeCommands executes the commands of a response in order. The caller holds mu.
func (worker *Worker) executeCommands(response api.HeartbeatResponse) {
	if response.Term > worker.term {
		worker.term = response.Term
		worker.wakeRun()
	}
	for _, command := range response.Commands {
		key := attemptKey{command.Task, command.Attempt}
		current := worker.tasks[key]
		switch {
		case command.Verb == api.CommandRun && current == nil:
			worker.runAttempt(key, response.Term)
		case command.Verb == api.CommandRun && current.State == api.TaskExited:
			worker.reportIneffectiveStart(LateStart)
		case command.Verb == api.CommandRun:
			worker.reportIneffectiveStart(RepeatedStart)
		case current == nil:
		case command.Verb == api.CommandKill && current.State != api.TaskExited:
			ran := current.State == api.TaskRunning
			current.State, current.Cause = api.TaskExited, api.CauseStopped
			if ran {
				worker.endTask(current.Task, false)
			}
			worker.wakeRun()
		case command.Verb == api.CommandClear && current.State == api.TaskExited:
			delete(worker.tasks, key)
		}
	}
}

// runAttempt starts or refuses an attempt that the worker does not have. The caller holds mu.
func (worker *Worker) runAttempt(key attemptKey, term uint64) {
	now := worker.clock.Now()
	current := &workerTask{TaskReport: api.TaskReport{Task: key.task, Attempt: key.attempt, State: api.TaskFetching}, term: term}
	busy := worker.hasUnfinishedAttempt(key.task)
	worker.tasks[key] = current
	if busy {
		worker.reportIneffectiveStart(BusyStart)
		current.State, current.Cause = api.TaskExited, api.CauseConflictingAttempt
		worker.wakeRun()
		return
	}
	if worker.startFailure != nil {
		if cause := worker.startFailure(key.task); cause != "" {
			current.State, current.Cause = api.TaskExited, cause
			worker.wakeRun()
			return
		}
	}
	current.readyAt = worker.imageReadyAt(key.task, now)
	current.endsAt = current.readyAt.Add(worker.taskDuration(key.task))
	worker.scheduleTransitions(current)
	if current.readyAt.After(now) {
		worker.wakeRun()
	} else {
		worker.startTask(current)
	}
}

// reportIneffectiveStart reports a start command that had no effect. The caller holds mu.
func (worker *Worker) reportIneffectiveStart(kind IneffectiveStart) {
	if worker.onIneffectiveStart != nil {
		worker.onIneffectiveStart(kind)
	}
}

// hasUnfinishedAttempt reports whether the worker has an attempt of a task that has not exited. The caller holds mu.
func (worker *Worker) hasUnfinishedAttempt(task string) bool {
	for key, current := range worker.tasks {
		if key.task == task && current.State != api.TaskExited {
			return true
		}
	}
	return false
}

// ApplyResponse applies a successful answer to a heartbeat that was sent at the given time.
func (worker *Worker) ApplyResponse(heartbeat *api.Heartbeat, sent time.Time, response api.HeartbeatResponse) {
	worker.acceptResponse(heartbeat, sent, http.StatusOK, response)
}

// ExecuteCommands executes commands that were sent directly to the worker, as POST /orders does. It returns a heartbeat
// with the worker's state afterwards, and whether the commands were executed: they are not if their term is outdated or
// they are for another incarnation. While the machine is suspended, it waits.
func (worker *Worker) ExecuteCommands(response api.HeartbeatResponse) (*api.Heartbeat, bool) {
	worker.waitWhileSuspended()
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.applyDueTransitions()
	if response.Term < worker.term || response.Incarnation != worker.incarnation {
		return worker.heartbeat(), false
	}
	worker.executeCommands(response)
	return worker.heartbeat(), true
}
