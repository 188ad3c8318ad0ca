package controller

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/tuning"
)

// notLeading is what a controller answers to what only a leader may be asked.
const notLeading = "not the leader"

// Handle serves a user's request, here or at the leader. Forwarded: it comes
// from a sibling and is not passed on.
func (c *Controller) Handle(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	if forwarded && request.Verb == verbReport {
		return c.handleForwardedHeartbeat(request.From, request.Body)
	}
	if forwarded && request.Verb == verbStage {
		return c.handleForwardedStageHeartbeat(request.Body)
	}
	from := c.clock.Now()
	response := c.publishAnswer(c.route(ctx, request, forwarded))
	if took := c.clock.Since(from); request.Verb == VerbSubmit && took > tuning.AcceptPatience {
		slog.Debug("submission answered late", "ms", took.Milliseconds(), "status", response.Status, "forwarded", forwarded, "leading", c.leadingScheduler() != nil)
	}
	if !forwarded && request.Verb == VerbSubmit {
		c.setRetryAfter(&response, request.Body)
	}
	if !forwarded {
		c.requestCounts.Add(request.Verb == VerbStatus, response.Status == http.StatusServiceUnavailable)
	}
	return response
}

func (c *Controller) route(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	if request.Verb == VerbMembers {
		return c.handleMembers()
	}
	if request.Verb == VerbTopology || request.Verb == VerbExplain {
		return c.handleTopology(ctx, request, forwarded)
	}
	if request.Verb == VerbConfiguration || request.Verb == VerbConfigure || request.Verb == verbConfirm {
		return c.handleConfiguration(ctx, request, forwarded)
	}
	if request.Verb == VerbRegister || request.Verb == VerbRemove || request.Verb == VerbData {
		return c.handleDatasets(ctx, request, forwarded)
	}
	if final, ok := c.terminalState(request.Job); ok && request.Verb != VerbSubmit {
		return peer.JSONResponse(http.StatusOK, final.JobStatus(request.Job))
	}
	if sched := c.leadingScheduler(); sched != nil {
		switch {
		case sched.Leading() && sched.Loaded():
			return c.serveAsLeader(ctx, sched, request)
		case !c.stateServiceHealthy():
			if request.Verb == VerbSubmit {
				_, id, _ := api.ParseSubmission(request.Body)
				if final, ok := c.terminalState(id); ok {
					return peer.JSONResponse(http.StatusOK, final.JobStatus(id))
				}
			}
			return peer.RetryLater("the state service is out of reach")
		}
		// Not the leader yet, or no more, and the state service answers: whatever
		// is read and written there is as good from us as from any node.
		return c.serveAsLeader(ctx, nil, request)
	}
	if forwarded {
		return peer.RetryLater(notLeading)
	}
	leader, term := c.elector.Leader()
	leader, _, reachable := newestLeader(leader, term, c.peers.LivePeers())
	if reachable {
		response, err := c.peers.Ask(ctx, leader, request, forwardPatience(request.Verb))
		switch {
		case err == nil && answeredByLeader(response):
			return response
		case err == nil:
			// It leads no more, and has not greeted since: whoever follows it need not be waited
			// for. Users were told to come back by the one that had just handed over.
		case errors.Is(err, peer.ErrBusy):
			// To do its work beside it would only take more of what it lacks.
			return peer.RetryLater("the leader is busy")
		}
		// It may have fallen silent: what it was asked is stored or read without
		// it, as conditions on the keys allow whether it goes on or not.
		c.requestCounts.LeaderBypassed()
	}
	return c.serveAsLeader(ctx, nil, request)
}

// setRetryAfter tells the user of a job that cannot be taken now when to come back: each another
// time, spread over as long as it takes to take all that wait.
func (c *Controller) setRetryAfter(response *peer.Response, body []byte) {
	refused := response.Status == http.StatusServiceUnavailable
	c.mu.Lock()
	none := c.retries.Waiting() == 0
	c.mu.Unlock()
	if !refused && none {
		return
	}
	_, id, _ := api.ParseSubmission(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if refused {
		response.RetryAfterS = max(response.RetryAfterS, c.retries.Refused(c.clock.Now(), id))
	} else {
		c.retries.Taken(id)
	}
}

// answeredByLeader tells whether an answer is a leader's.
func answeredByLeader(response peer.Response) bool {
	var e api.Error
	return response.Status != http.StatusServiceUnavailable || json.Unmarshal(response.Body, &e) != nil || e.Error != notLeading
}

// forwardPatience is how long the leader is waited for.
func forwardPatience(verb string) time.Duration {
	switch verb {
	case VerbSubmit:
		return tuning.AcceptPatience
	case VerbStatus:
		return tuning.PollPatience
	}
	return tuning.PeerTimeout
}

// forwardToLeader asks the leader.
func (c *Controller) forwardToLeader(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	leader, _ := c.elector.Leader()
	leader, _, reachable := newestLeader(leader, 0, c.peers.LivePeers())
	if forwarded || !reachable {
		return peer.RetryLater("no leader answers")
	}
	response, err := c.peers.Ask(ctx, leader, request, tuning.PeerTimeout)
	if err != nil {
		return peer.RetryLater("the leader does not answer")
	}
	return response
}

// serveAsLeader answers as the leader (core) or, while the leader is out of reach,
// from the state service itself.
func (c *Controller) serveAsLeader(ctx context.Context, sched *scheduler.Scheduler, request peer.Request) peer.Response {
	switch request.Verb {
	case VerbSubmit:
		return c.serveSubmission(ctx, sched, request.Body)
	case VerbStatus:
		if sched != nil {
			if job, ok := sched.JobStatus(request.Job); ok {
				return peer.JSONResponse(http.StatusOK, job)
			}
		}
		return c.answerStatus(ctx, sched, request.Job, true)
	case VerbCancel:
		return c.serveCancellation(ctx, sched, request.Job)
	}
	return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such request"})
}
