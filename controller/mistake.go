package controller

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// A job that was submitted with a mistake fails on every machine, at once, until its
// user cancels it. Its errors say nothing of the machines; and it fails again and
// again, so it gets one machine at a time, now and then, until a task of it works.

// mistaken tells whether a job fails wherever it goes: on several machines, with
// nothing done and nothing that has been running for a while. A job whose first tasks
// met faulty machines is so only until another of its tasks has run that long.
func (c *Core) mistaken(j *job) bool {
	if len(j.failedOn) < tuning.MistakeMachines || j.done > 0 {
		return false
	}
	for _, a := range j.live {
		if !a.running.IsZero() && c.since(a.running) > tuning.MistakeRun {
			return false
		}
	}
	return true
}

// suspect tells whether a machine fails what works elsewhere.
func (c *Core) suspect(m *machine) bool {
	return m.Faulty(func(id string) bool {
		j := c.jobs[id]
		return j == nil || !c.mistaken(j)
	})
}

// erred notes an error of a job's task on a machine. Several tasks that fail on one
// machine are one sign.
func (c *Core) erred(j *job, m *machine, now time.Time) {
	m.RecordFailure(j.id)
	if !m.noted && c.suspect(m) {
		m.noted = true
		slog.Info("machine suspect", "machine", m.Name, "errors", m.Failures)
	}
	again := now.Before(j.avoid[m.Name])
	j.avoid[m.Name] = now.Add(tuning.BackoffMax)
	if again {
		return
	}
	was := c.mistaken(j)
	j.failedOn[m.Name] = true
	j.errors++
	if j.errors >= tuning.BackoffErrors {
		d := min(tuning.BackoffMax, tuning.BackoffBase<<min(j.errors-tuning.BackoffErrors, 6))
		j.pause = now.Add(d)
		slog.Debug("job paused", "job", j.id, "errors", j.errors, "for", d)
	}
	if !was && c.mistaken(j) {
		slog.Info("job fails on every machine", "job", j.id, "class", j.Job.Class, "team", j.Job.Team, "machines", len(j.failedOn))
		c.recallQueued(j)
	}
}

// worked: a task of the job completed, so whatever failed was not the job.
func (j *job) worked() {
	if j.errors > 0 {
		j.errors, j.pause = 0, time.Time{}
	}
}

// forgive takes a mistaken job's errors off the machines when it is over: they would
// count against these once nobody remembers the job.
func (c *Core) forgive(j *job) {
	if !c.mistaken(j) {
		return
	}
	for name := range j.failedOn {
		if m := c.machines[name]; m != nil {
			m.ClearJobFailures(j.id)
		}
	}
}

// recallQueued takes what a job has queued on machines back.
func (c *Core) recallQueued(j *job) {
	for _, m := range c.machines {
		for _, q := range m.queue {
			if q.job == j {
				q.giveBack()
			}
		}
		m.trim()
	}
}

// open is how many of a job's tasks may be given to machines now.
func (c *Core) open(j *job) int {
	if c.mistaken(j) {
		return max(0, 1-len(j.live)-j.queued)
	}
	return len(j.pending)
}

// asks is how many tasks a job needs machines for.
func (c *Core) asks(j *job) int {
	if c.mistaken(j) && j.Job.Shape != api.Gang {
		return max(1, len(j.live))
	}
	return j.total - j.done
}
