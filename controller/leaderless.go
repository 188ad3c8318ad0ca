package controller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/peer"
	"switchferry/store"
)

// submitWithoutLeader accepts a job without the leader, which learns of it by the
// inbox, as long as further conditions hold.
func (c *Controller) submitWithoutLeader(ctx context.Context, submission *api.Submission, body []byte, more ...store.Condition) peer.Response {
	rec := store.JobRecord{Job: *submission, AcceptedAt: c.clock.Now().UnixMilli()}
	conds := []store.Condition{{Key: store.JobKey(submission.ID)}, {Key: store.FinalKey(submission.ID)}}
	inputs, err := c.inputConditions(ctx, submission)
	if err != nil {
		return peer.RetryLater("the state service is out of reach")
	}
	_, failed, err := c.leaderlessWriter.Transact(ctx, slices.Concat(conds, more, inputs),
		[]store.Operation{{Set: store.JobKey(submission.ID), Value: rec}, {Set: store.InboxKey(submission.ID), Value: store.InboxRecord{}}})
	switch {
	case err == nil:
		return peer.JSONResponse(http.StatusCreated, api.JobStatus{ID: submission.ID, State: api.Pending})
	case errors.Is(err, store.ErrConflict) && !slices.Contains(failed, store.JobKey(submission.ID)) && !slices.Contains(failed, store.FinalKey(submission.ID)):
		if slices.Contains(failed, configuration.HeadKey) {
			return peer.RetryLater("the configuration has just changed")
		}
		// A dataset is not as it was.
		c.evictDatasets(submission)
		if status, err, _ := c.checkInputs(ctx, nil, submission, body); err != nil {
			return peer.Refusal(status, err)
		}
		return peer.RetryLater("a dataset of the job has just changed")
	case errors.Is(err, store.ErrConflict):
		return c.answerStatus(ctx, nil, submission.ID, false)
	}
	return peer.RetryLater("the state service is out of reach")
}

// cancelWithoutLeader cancels while there is no leader; with one, only it may, since it
// answers polls from memory.
func (c *Controller) cancelWithoutLeader(ctx context.Context, id string) peer.Response {
	if !api.ValidID(id) {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	it, err := c.client.Get(ctx, store.JobKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return c.answerStatus(ctx, nil, id, true)
	}
	var rec store.JobRecord
	if err != nil || json.Unmarshal(it.Value, &rec) != nil {
		return peer.RetryLater("the state service is out of reach")
	}
	if rec.FinalState == "" {
		rec.FinalState, rec.FinalAt = api.Cancelled, c.clock.Now().UnixMilli()
		_, _, err = c.leaderlessWriter.Transact(ctx,
			[]store.Condition{{Key: store.LeaderKey}, {Key: it.Key, Revision: it.Revision}},
			[]store.Operation{{Set: it.Key, Value: rec}})
		if errors.Is(err, store.ErrConflict) {
			// The leader is asked through the state service; the user's next
			// try finds its answer there.
			_, _, _ = c.client.Transact(ctx, []store.Condition{{Key: it.Key, Revision: it.Revision}},
				[]store.Operation{{Set: store.InboxKey(id), Value: store.InboxRecord{Cancel: true}}})
		}
		if err != nil {
			return peer.RetryLater("the leader is out of reach")
		}
	}
	return peer.JSONResponse(http.StatusOK, api.JobStatus{ID: id, State: rec.FinalState})
}
