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
	"switchferry/scheduler"
	"switchferry/store"
)

// submitWithoutLeader accepts a job without the leader, which learns of it by the
// inbox, as long as further conditions hold.
func (s *submissionService) submitWithoutLeader(ctx context.Context, submission *api.Submission, body []byte, more ...store.Condition) peer.Response {
	rec := store.JobRecord{Job: *submission, AcceptedAt: s.clock.Now().UnixMilli()}
	conditions := []store.Condition{{Key: store.JobKey(submission.ID)}, {Key: store.FinalKey(submission.ID)}}
	inputs, err := s.inputConditions(ctx, submission)
	if err != nil {
		return peer.RetryLater("the state service is out of reach")
	}
	_, failed, err := s.leaderlessWriter.Transact(ctx, slices.Concat(conditions, more, inputs),
		[]store.Operation{{Set: store.JobKey(submission.ID), Value: rec}, {Set: store.InboxKey(submission.ID), Value: store.InboxRecord{}}})
	switch {
	case err == nil:
		return peer.JSONResponse(http.StatusCreated, api.JobStatus{ID: submission.ID, State: api.Pending})
	case errors.Is(err, store.ErrConflict) && !slices.Contains(failed, store.JobKey(submission.ID)) && !slices.Contains(failed, store.FinalKey(submission.ID)):
		if slices.Contains(failed, configuration.HeadKey) {
			return peer.RetryLater("the configuration has just changed")
		}
		// A dataset has changed since it was checked.
		s.datasets.cache.evict(submission)
		return s.answerChangedDataset(ctx, nil, submission, body)
	case errors.Is(err, store.ErrConflict):
		return s.jobs.answerStatus(ctx, nil, submission.ID, false)
	}
	return peer.RetryLater("the state service is out of reach")
}

// cancelWithoutLeader cancels while there is no leader; with one, only it may, since it
// answers polls from memory.
func (s *submissionService) cancelWithoutLeader(ctx context.Context, id string) peer.Response {
	if !api.ValidID(id) {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	item, err := s.client.Get(ctx, store.JobKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return s.jobs.answerStatus(ctx, nil, id, true)
	}
	var rec store.JobRecord
	if err != nil || json.Unmarshal(item.Value, &rec) != nil {
		return peer.RetryLater("the state service is out of reach")
	}
	if rec.FinalState == "" {
		rec.FinalState, rec.FinalAt = api.Cancelled, s.clock.Now().UnixMilli()
		_, _, err = s.leaderlessWriter.Transact(ctx,
			[]store.Condition{{Key: store.LeaderKey}, {Key: item.Key, Revision: item.Revision}},
			[]store.Operation{{Set: item.Key, Value: rec}})
		if errors.Is(err, store.ErrConflict) {
			// The leader is asked by way of the inbox; a retry finds its answer on record.
			_, _, _ = s.client.Transact(ctx, []store.Condition{{Key: item.Key, Revision: item.Revision}},
				[]store.Operation{{Set: store.InboxKey(id), Value: store.InboxRecord{Cancel: true}}})
		}
		if err != nil {
			return peer.RetryLater("the leader is out of reach")
		}
	}
	return peer.JSONResponse(http.StatusOK, api.JobStatus{ID: id, State: rec.FinalState})
}

// serveCancellation cancels a job as the leader or, if sched is nil, without one. A job that has ended is answered with its
// state.
func (s *submissionService) serveCancellation(ctx context.Context, sched *scheduler.Scheduler, id string) peer.Response {
	if sched == nil {
		return s.cancelWithoutLeader(ctx, id)
	}
	if response, ok := sched.Cancel(ctx, id); ok {
		return response
	}
	response := s.jobs.answerStatus(ctx, sched, id, true)
	if response.Status == http.StatusOK {
		if second, ok := sched.Cancel(ctx, id); ok {
			return second
		}
	}
	return response
}
