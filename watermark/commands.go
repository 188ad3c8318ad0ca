package watermark

import (
	"slices"

	"switchferry/api"
	"switchferry/tuning"
)

// KillCommands returns commands that kill a machine's tasks of cancelled jobs without a grace period. It omits those
// that are already among the machine's pending commands. The commands are safe under any fencing token, since a
// cancelled job never runs again.
func (t *Tracker) KillCommands(tasks []api.TaskReport, pending []api.Command) (kills []api.Command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byJob) == 0 {
		return nil
	}
	for _, task := range tasks {
		if task.State == api.TaskExited || !t.isCancelled(task.Task) || killsAtOnce(pending, task) {
			continue
		}
		grace := tuning.CancelGraceS
		kills = append(kills, api.Command{Verb: api.CommandKill, Task: task.Task, Attempt: task.Attempt, GraceS: &grace})
	}
	return kills
}

// killsAtOnce reports whether commands contains one that kills this attempt of the task without giving it time to save.
func killsAtOnce(commands []api.Command, task api.TaskReport) bool {
	return slices.ContainsFunc(commands, func(command api.Command) bool {
		return command.Verb == api.CommandKill && command.Task == task.Task && command.Attempt == task.Attempt &&
			command.GraceS != nil && *command.GraceS == tuning.CancelGraceS
	})
}

// WithoutCancelledStarts returns commands without those that start tasks of cancelled jobs. Such commands may have been
// created before the cancellation was known. It does not change its argument.
func (t *Tracker) WithoutCancelledStarts(commands []api.Command) []api.Command {
	t.mu.Lock()
	defer t.mu.Unlock()
	startsCancelled := func(command api.Command) bool {
		return command.Verb == api.CommandRun && t.isCancelled(command.Task)
	}
	if !slices.ContainsFunc(commands, startsCancelled) {
		return commands
	}
	return slices.DeleteFunc(slices.Clone(commands), startsCancelled)
}
