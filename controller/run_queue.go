package controller

import (
	"slices"
)

// runQueue is what one job has queued on one machine.
type runQueue struct {
	job   *jobState
	tasks []int32
}

// machineQueue is a queue and the machine that it is on.
type machineQueue struct {
	machine *machineState
	queue   *runQueue
}

// enqueue puts tasks into a machine's queue in the order of the jobs.
func (m *machineState) enqueue(job *jobState, tasks []int32) {
	at, ok := slices.BinarySearchFunc(m.queues, job, func(queue *runQueue, job *jobState) int { return compareJobs(queue.job, job) })
	if !ok {
		m.queues = slices.Insert(m.queues, at, &runQueue{job: job})
	}
	m.queues[at].tasks = append(m.queues[at].tasks, tasks...)
}

// pop takes the first task of a queue.
func (q *runQueue) pop() int {
	t := q.tasks[0]
	q.tasks = q.tasks[1:]
	q.job.queued--
	return int(t)
}

// removeAt takes one task out of a queue.
func (q *runQueue) removeAt(i int) int {
	t := q.tasks[i]
	if i == 0 {
		return q.pop()
	}
	q.tasks = slices.Delete(q.tasks, i, i+1)
	q.job.queued--
	return int(t)
}

// returnTasks returns a queue's tasks to their job, to be placed again.
func (q *runQueue) returnTasks() {
	q.job.pending = append(q.job.pending, q.tasks...)
	q.job.queued -= len(q.tasks)
	q.tasks = nil
}

func (m *machineState) dropEmptyQueues() {
	m.queues = slices.DeleteFunc(m.queues, func(queue *runQueue) bool { return len(queue.tasks) == 0 })
}

// reclaimQueued gives a job the tasks back that are in queues.
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

// removeFromQueues takes a job out of all queues.
func (s *Scheduler) removeFromQueues(job *jobState) {
	s.reclaimQueued(job)
	job.pending = nil
}

// removeQueuedTask removes a task from where it waits.
func (s *Scheduler) removeQueuedTask(job *jobState, task int) {
	is := func(t int32) bool { return int(t) == task }
	job.pending = slices.DeleteFunc(job.pending, is)
	if job.queued == 0 {
		return
	}
	for _, machine := range s.machines {
		for _, queue := range machine.queues {
			if queue.job == job {
				n := len(queue.tasks)
				queue.tasks = slices.DeleteFunc(queue.tasks, is)
				job.queued -= n - len(queue.tasks)
			}
		}
	}
}
