package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/store"
	"switchferry/tuning"
)

// Verbs of requests between controllers.
const (
	VerbSubmit = "submit"
	VerbStatus = "status"
	VerbCancel = "cancel"
	// verbReport is a worker's report that a sibling passes on.
	verbReport = "report"
)

func answer(status int, body any) peer.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		return later("internal error")
	}
	return peer.Response{Status: status, Body: raw}
}

// later refuses at once and tells when to come back.
func later(why string) peer.Response {
	a := answer(http.StatusServiceUnavailable, api.Error{Error: why})
	a.RetryAfterS = tuning.RetryAfterS
	return a
}

// laterBy is the same with the time that it will take.
func laterBy(why string, after time.Duration) peer.Response {
	a := later(why)
	a.RetryAfterS = min(tuning.RetryAfterMost, max(a.RetryAfterS, int(math.Ceil(after.Seconds()))))
	return a
}

func refusal(status int, err error) peer.Response {
	e := api.Error{Error: err.Error()}
	if fe, ok := err.(*api.FieldError); ok {
		e.Field = fe.Field
	}
	return answer(status, e)
}

func finalStatus(id string, f store.FinalRecord) api.JobStatus {
	return api.JobStatus{ID: id, State: f.State, Done: f.Tasks}
}

// status is what a user is told of a job, with the lock held.
func (c *Core) status(j *job) api.JobStatus {
	if j.stored {
		return finalStatus(j.id, j.finalRecord(c.own))
	}
	st := api.JobStatus{ID: j.id, State: api.Pending, Done: j.done}
	for _, a := range j.live {
		if a.state == api.TaskRunning {
			st.Running++
		}
	}
	if st.Running > 0 {
		st.State = api.Running
	}
	return st
}

// Known answers for a job in memory; false: it is not here, or what is here may be
// old. That is looked at last: this process can stand still between any two steps,
// while another one leads and cancels the job.
func (c *Core) Known(id string) (api.JobStatus, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || !j.accepted || c.pipes.unsure(j) {
		return api.JobStatus{}, false
	}
	st := c.status(j)
	return st, j.stored || c.hooks.Valid()
}

// Has tells whether an accepted job is in memory, whoever leads.
func (c *Core) Has(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	return j != nil && j.accepted
}

// Submit stores a new job and waits until it is stored. False: look again.
func (c *Core) Submit(ctx context.Context, s *api.Submission, now time.Time) (peer.Response, bool) {
	c.mu.Lock()
	j := c.jobs[s.ID]
	fresh := j == nil
	if delay := c.hooks.Delay(); fresh && delay > tuning.AcceptWait {
		// Its user would have been told to come back by the time it is stored:
		// better now, and when the backlog is written.
		c.mu.Unlock()
		return laterBy("more jobs come in than can be stored", delay), true
	}
	if c.damaged[s.ID] {
		// What its user was told before is not known: to write it anew might go back on that.
		c.mu.Unlock()
		return later("the job's record is damaged"), true
	}
	if fresh && c.configured && !admits(c.active, s) {
		// The configuration has changed since this was looked at.
		c.mu.Unlock()
		return later("the configuration has just changed"), true
	}
	if fresh {
		j = c.addJob(store.JobRecord{Job: *s, At: now.UnixMilli()}, false)
		c.hooks.Touch(store.JobKey(s.ID), store.Urgent, c.locked(func() { c.accept(s.ID) }))
	}
	if j.accepted {
		c.mu.Unlock()
		st, ok := c.Known(s.ID)
		return answer(http.StatusOK, st), ok
	}
	changed := j.changed
	c.mu.Unlock()
	if !c.wait(ctx, changed, tuning.AcceptWait) {
		return laterBy("the record is not stored yet", c.hooks.Delay()), true
	}
	st, ok := c.Known(s.ID)
	if !ok {
		return peer.Response{}, false
	}
	if fresh && st.State == api.Pending {
		return answer(http.StatusCreated, st), true
	}
	return answer(http.StatusOK, st), true
}

// startsUnderWay tells whether a start that this leader sent may still be executed, of a task that is not seen yet.
func (j *job) startsUnderWay() bool {
	for _, a := range j.live {
		if !a.seen && (a.open > 0 || a.answered > 0) {
			return true
		}
	}
	return false
}

// settledStarts wakes whoever waits for the starts of a cancelled job, once none is under way.
func (j *job) settledStarts() {
	if j.FinalState == api.Cancelled && j.stored && !j.startsUnderWay() {
		j.notify()
	}
}

// wait waits until a job has changed, for so long at most.
func (c *Core) wait(ctx context.Context, changed chan struct{}, most time.Duration) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
	case <-c.clock.After(most):
	}
	return false
}

// accept: the job's record is stored.
func (c *Core) accept(id string) {
	j := c.jobs[id]
	if j == nil || j.accepted {
		return
	}
	j.accepted = true
	if j.FinalState == "" && !c.pipes.enter(j) {
		j.open()
	}
	slog.Info("job accepted", "job", id, "class", j.Job.Class, "team", j.Job.Team, "tasks", j.total, "cpus", j.need.CPUs, "rank", j.Job.Rank, "expect_s", j.Job.EstimateS, "due_s", j.Job.DeadlineS, "awaits", strings.Join(j.Job.Awaits, ","))
	j.notify()
	c.kick()
}

// adopt takes in a job's record as the state service holds it.
func (c *Core) adopt(key string, found *store.Item) {
	switch {
	case strings.HasPrefix(key, store.DatasetPrefix):
		c.datasetFound(found)
	case strings.HasPrefix(key, store.FinalPrefix):
		id := strings.TrimPrefix(key, store.FinalPrefix)
		var f store.FinalRecord
		j := c.jobs[id]
		if json.Unmarshal(found.Value, &f) != nil || j == nil || j.accepted {
			return
		}
		c.dropJob(j)
		c.hooks.Final(id, f)
		j.notify()
		c.pipes.over(id, f.State)
	case strings.HasPrefix(key, store.JobPrefix):
		id := strings.TrimPrefix(key, store.JobPrefix)
		var rec store.JobRecord
		if json.Unmarshal(found.Value, &rec) != nil || rec.Job.ID != id {
			slog.Error("a job's record is damaged", "key", key)
			return
		}
		j := c.jobs[id]
		if j != nil && j.accepted {
			return
		}
		var changed chan struct{}
		if j != nil {
			changed = j.changed
			c.dropJob(j)
		}
		j = c.addJob(rec, false)
		if changed != nil {
			j.changed = changed
		}
		if rec.FinalState != "" {
			j.stored = true
			c.hooks.Final(id, j.finalRecord(c.own))
		}
		c.accept(id)
		if j.stored {
			c.pipes.over(id, j.FinalState)
		}
		c.settle(j)
	}
}

// Cancel stores that a job is cancelled and waits until that is stored.
func (c *Core) Cancel(ctx context.Context, id string) (peer.Response, bool) {
	c.mu.Lock()
	j := c.jobs[id]
	if j == nil {
		c.mu.Unlock()
		return peer.Response{}, false
	}
	if !j.accepted {
		c.mu.Unlock()
		return later("the job is not accepted yet"), true
	}
	if j.FinalState == "" {
		c.finish(j, api.Cancelled)
		for _, a := range j.live {
			c.stopTask(a, tuning.CancelKill, "cancelled")
		}
	}
	stored, changed := j.stored, j.changed
	c.mu.Unlock()
	if !stored && !c.wait(ctx, changed, tuning.AcceptWait) {
		return later("the record is not stored yet"), true
	}
	c.mu.Lock()
	if changed = j.changed; j.FinalState == api.Cancelled && j.startsUnderWay() {
		// Whoever is told now may see one of them begin: it is stopped then, but nothing should start after that
		// answer. Most are answered within milliseconds.
		c.mu.Unlock()
		c.wait(ctx, changed, tuning.CancelStarts)
		c.mu.Lock()
	}
	c.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return answer(http.StatusOK, api.JobStatus{ID: id, State: j.FinalState, Done: j.done}), true
}
