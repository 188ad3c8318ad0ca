package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/scheduler"
)

// answerStatus answers from the state service.
func (c *Controller) answerStatus(ctx context.Context, sched *scheduler.Scheduler, id string, waits bool) peer.Response {
	st, found, err := c.lookUp(ctx, sched, id, waits)
	switch {
	case err != nil:
		return peer.RetryLater("the state service is out of reach")
	case !found:
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	return peer.JSONResponse(http.StatusOK, st)
}

// lookUp reads a job's record: its own key first, since the final one is
// written before that goes. Waits: a question's user waits for its turn; a submission is refused at once.
func (c *Controller) lookUp(ctx context.Context, sched *scheduler.Scheduler, id string, waits bool) (_ api.JobStatus, found bool, err error) {
	if !api.ValidID(id) {
		return api.JobStatus{}, false, nil
	}
	asked := ""
	if waits {
		asked = id
		defer func() {
			if err == nil {
				c.records.Queue.Answered(id)
			}
		}()
	}
	// Questions must not take the requests that leading needs.
	x, err := c.records.ReadInTurn(ctx, id, asked)
	if err != nil || !x.Found {
		return api.JobStatus{}, false, err
	}
	if _, over := c.terminalState(id); x.Record != nil && !over && sched != nil {
		sched.Conflict(x.Record.Key, x.Record)
		if st, ok := sched.JobStatus(id); ok {
			return st, true, nil
		}
	}
	st, err := c.records.Status(ctx, id, x, asked)
	return st, err == nil, err
}

func (c *Controller) serveCancellation(ctx context.Context, sched *scheduler.Scheduler, id string) peer.Response {
	if sched == nil {
		return c.cancelWithoutLeader(ctx, id)
	}
	if a, ok := sched.Cancel(ctx, id); ok {
		return a
	}
	a := c.answerStatus(ctx, sched, id, true)
	if a.Status == http.StatusOK {
		if b, ok := sched.Cancel(ctx, id); ok {
			return b
		}
	}
	return a
}

// noteAnswer has a cancellation known to the siblings before its user is told, and gives what may be told: a poll that was
// read before its job ended, here or at the leader, may be answered after the end was told.
func (c *Controller) noteAnswer(a peer.Response) peer.Response {
	if a.Status != http.StatusOK && a.Status != http.StatusCreated || !bytes.Contains(a.Body, []byte(`"status"`)) {
		return a
	}
	var st api.JobStatus
	if json.Unmarshal(a.Body, &st) != nil || !api.ValidID(st.ID) {
		return a
	}
	if st.State == api.Cancelled {
		c.watermark.RecordCancellation(c.clock.Now(), st.ID)
	}
	if newest, older := c.notifications.Newest(st); older {
		return peer.JSONResponse(http.StatusOK, newest)
	}
	return a
}
