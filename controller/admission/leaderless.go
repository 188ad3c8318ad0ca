package admission

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

// SubmitWithoutLeader accepts a job without the leader, provided that the given conditions hold too. It writes the
// job's record together with an inbox entry, from which the leader learns of the job.
func (s *Service) SubmitWithoutLeader(ctx context.Context, submission *api.Submission, body []byte, extraConditions ...store.Condition) peer.Response {
	record := store.JobRecord{Job: *submission, AcceptedAt: s.clock.Now().UnixMilli()}
	conditions := []store.Condition{{Key: store.JobKey(submission.ID)}, {Key: store.FinalKey(submission.ID)}}
	inputs, err := s.inputConditions(ctx, submission)
	if err != nil {
		return peer.RetryLater("the state service is out of reach")
	}
	_, failed, err := s.leaderlessWriter.Transact(ctx, slices.Concat(conditions, extraConditions, inputs),
		[]store.Operation{{Set: store.JobKey(submission.ID), Value: record}, {Set: store.InboxKey(submission.ID), Value: store.InboxRecord{}}})
	switch {
	case err == nil:
		return peer.JSONResponse(http.StatusCreated, api.JobStatus{ID: submission.ID, State: api.Pending})
	case errors.Is(err, store.ErrConflict) && !slices.Contains(failed, store.JobKey(submission.ID)) && !slices.Contains(failed, store.FinalKey(submission.ID)):
		if slices.Contains(failed, configuration.HeadKey) {
			return peer.RetryLater("the configuration has just changed")
		}
		// The record of a dataset has changed since it was checked.
		s.datasets.Evict(submission)
		return s.answerChangedDataset(ctx, nil, submission, body)
	case errors.Is(err, store.ErrConflict):
		return s.jobs.AnswerStatus(ctx, nil, submission.ID, false)
	}
	return peer.RetryLater("the state service is out of reach")
}

// CancelWithoutLeader cancels a job while no leader's key exists in the state service. If one exists, only that leader
// may cancel the job, since it answers status requests from memory; the cancellation is then requested through the
// inbox. A start that a former leader sent may still be under way, so workers must get a token above that leader's.
func (s *Service) CancelWithoutLeader(ctx context.Context, id string) peer.Response {
	if !api.ValidID(id) {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	item, err := s.client.Get(ctx, store.JobKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return s.jobs.AnswerStatus(ctx, nil, id, true)
	}
	var record store.JobRecord
	if err != nil || json.Unmarshal(item.Value, &record) != nil {
		return peer.RetryLater("the state service is out of reach")
	}
	if record.FinalState == "" {
		record.FinalState, record.FinalAt = api.Cancelled, s.clock.Now().UnixMilli()
		_, _, err = s.leaderlessCanceller.Transact(ctx,
			[]store.Condition{{Key: store.LeaderKey}, {Key: item.Key, Revision: item.Revision}},
			[]store.Operation{{Set: item.Key, Value: record}})
		if errors.Is(err, store.ErrConflict) {
			// Request the cancellation through the inbox; a retry finds the leader's answer in the job's record.
			_, _, _ = s.client.Transact(ctx, []store.Condition{{Key: item.Key, Revision: item.Revision}},
				[]store.Operation{{Set: store.InboxKey(id), Value: store.InboxRecord{Cancel: true}}})
		}
		if err != nil {
			return peer.RetryLater("the leader is out of reach")
		}
		s.requireToken(s.leaderlessCanceller.CommittedRevision())
	}
	return peer.JSONResponse(http.StatusOK, api.JobStatus{ID: id, State: record.FinalState})
}

// Cancel cancels a job as the leader or, if sched is nil, without one. For a job that is already in a terminal state,
// it returns that state.
func (s *Service) Cancel(ctx context.Context, sched *scheduler.Scheduler, id string) peer.Response {
	if sched == nil {
		return s.CancelWithoutLeader(ctx, id)
	}
	if response, ok := sched.Cancel(ctx, id); ok {
		return response
	}
	response := s.jobs.AnswerStatus(ctx, sched, id, true)
	if response.Status == http.StatusOK {
		if second, ok := sched.Cancel(ctx, id); ok {
			return second
		}
	}
	return response
}
