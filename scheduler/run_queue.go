package scheduler

import (
	"slices"
)

// runQueue holds the tasks of one job that are queued on one machine. They are included in jobState.queued.
type runQueue struct {
	job   *jobState
	tasks []int32
}

// unplaced returns the number of a job's tasks that are pending or queued, that is, not allocated. s.mu must be held.
func (j *jobState) unplaced() int { return len(j.pending) + j.queued }

// machineQueue is a queue together with its machine.
type machineQueue struct {
	machine *machineState
	queue   *runQueue
}

// enqueue adds tasks to a job's queue on a machine and keeps the machine's queues in the order of compareJobs. The
// caller must update jobState.queued. s.mu must be held.
func (m *machineState) enqueue(job *jobState, tasks []int32) {
	i, found := slices.BinarySearchFunc(m.queues, job, func(queue *runQueue, job *jobState) int { return compareJobs(queue.job, job) })
	if !found {
		m.queues = slices.Insert(m.queues, i, &runQueue{job: job})
	}
	m.queues[i].tasks = append(m.queues[i].tasks, tasks...)
}

// pop removes and returns the first task of a queue. The queue must not be empty. s.mu must be held.
func (q *runQueue) pop() int {
	task := q.tasks[0]
	q.tasks = q.tasks[1:]
	q.job.queued--
	return int(task)
}

// removeAt removes and returns the task at index i of a queue. s.mu must be held.
func (q *runQueue) removeAt(i int) int {
	task := q.tasks[i]
	if i == 0 {
		return q.pop()
	}
	q.tasks = slices.Delete(q.tasks, i, i+1)
	q.job.queued--
	return int(task)
}

// returnTasks moves all tasks of a queue back to the job's pending tasks. s.mu must be held.
func (q *runQueue) returnTasks() {
	q.job.pending = append(q.job.pending, q.tasks...)
	q.job.queued -= len(q.tasks)
	q.tasks = nil
}

// dropEmptyQueues removes a machine's empty queues. s.mu must be held.
func (m *machineState) dropEmptyQueues() {
	m.queues = slices.DeleteFunc(m.queues, func(queue *runQueue) bool { return len(queue.tasks) == 0 })
}

// reclaimQueued moves all queued tasks of a job back to its pending tasks. s.mu must be held.
func (s *Scheduler) reclaimQueued(job *jobState) {
	for _, machine := range s.machines {
		for _, queue := range machine.queues {
			if queue.job == job {
				queue.returnTasks()
			}
		}
		machine.dropEmptyQueues()
	}
}

// removeFromQueues removes all queued and pending tasks of a job that is in a terminal state. s.mu must be held.
func (s *Scheduler) removeFromQueues(job *jobState) {
	s.reclaimQueued(job)
	job.pending = nil
}

// removeQueuedTask removes a task of a job from the job's pending tasks and from its queues. s.mu must be held.
func (s *Scheduler) removeQueuedTask(job *jobState, task int) {
	isTask := func(other int32) bool { return int(other) == task }
	job.pending = slices.DeleteFunc(job.pending, isTask)
	if job.queued == 0 {
		return
	}
	for _, machine := range s.machines {
		for _, queue := range machine.queues {
			if queue.job == job {
				before := len(queue.tasks)
				queue.tasks = slices.DeleteFunc(queue.tasks, isTask)
				job.queued -= before - len(queue.tasks)
			}
		}
	}
}
