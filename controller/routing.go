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

// notLeading is the error with which a controller that does not lead answers a forwarded request.
const notLeading = "not the leader"

// Handle serves a request, either here or by forwarding it to the leader. Forwarded is set if the request comes from a
// peer; it is then not forwarded again.
func (c *Controller) Handle(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	if forwarded && request.Verb == verbForwardHeartbeat {
		return c.handleForwardedHeartbeat(request.From, request.Body)
	}
	if forwarded && request.Verb == verbForwardStageHeartbeat {
		return c.agents.handleForwardedHeartbeat(request.Body)
	}
	began := c.clock.Now()
	response := c.jobs.PublishAnswer(c.route(ctx, request, forwarded))
	if duration := c.clock.Since(began); request.Verb == VerbSubmit && duration > tuning.SubmitPeerTimeout {
		slog.Debug("submission answered late", "ms", duration.Milliseconds(), "status", response.Status, "forwarded", forwarded, "leading", c.term.scheduler() != nil)
	}
	if !forwarded && request.Verb == VerbSubmit {
		c.submissions.SetRetryAfter(&response, request.Body)
	}
	if !forwarded {
		c.requestCounts.Add(request.Verb == VerbStatus, response.Status == http.StatusServiceUnavailable)
	}
	return response
}

// route dispatches a request according to its verb and to which controller leads.
func (c *Controller) route(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	switch request.Verb {
	case VerbMembers:
		return c.handleMembers()
	case VerbTopology, VerbExplain:
		return c.handleTopology(ctx, request, forwarded)
	case VerbConfiguration, VerbConfigure, verbRefreshConfiguration:
		return c.configuration.handle(ctx, request, forwarded)
	case VerbRegister, VerbRemove, VerbData:
		return c.datasets.handle(ctx, request, forwarded)
	}
	if job, ok := c.jobs.StatusFromMemory(nil, request.Job); ok && request.Verb != VerbSubmit {
		return peer.JSONResponse(http.StatusOK, job)
	}
	if sched := c.term.scheduler(); sched != nil {
		return c.routeInTerm(ctx, sched, request)
	}
	if forwarded {
		return peer.RetryLater(notLeading)
	}
	if response, ok := c.forwardJobRequest(ctx, request); ok {
		return response
	}
	return c.serveJobRequest(ctx, nil, request)
}

// routeInTerm serves a request about a job during a term of this controller, whether or not it certainly leads.
func (c *Controller) routeInTerm(ctx context.Context, sched *scheduler.Scheduler, request peer.Request) peer.Response {
	if sched.Leading() && sched.Loaded() {
		return c.serveJobRequest(ctx, sched, request)
	}
	if c.health.healthy() {
		// This controller does not lead yet or no longer leads. Since it reaches the state service, it can serve the request
		// from there like any follower.
		return c.serveJobRequest(ctx, nil, request)
	}
	if request.Verb == VerbSubmit {
		_, id, _ := api.ParseSubmission(request.Body)
		if job, ok := c.jobs.StatusFromMemory(nil, id); ok {
			return peer.JSONResponse(http.StatusOK, job)
		}
	}
	return peer.RetryLater("the state service is out of reach")
}

// forwardJobRequest forwards a request about a job to the leader. Ok is false if the request is to be served without
// the leader, because it is unreachable, has lost its term or does not answer in time. Serving a request that the
// leader may still carry out is safe, since conditions on the keys guard all writes.
func (c *Controller) forwardJobRequest(ctx context.Context, request peer.Request) (response peer.Response, ok bool) {
	leader, _, reachable := c.leader.locate()
	if !reachable {
		return response, false
	}
	response, err := c.peers.Call(ctx, leader, request, forwardTimeout(request.Verb))
	switch {
	case err == nil && answeredByLeader(response):
		return response, true
	case errors.Is(err, peer.ErrBusy):
		// The leader is waiting for the state service, and serving the request here would add to the load of that service.
		return peer.RetryLater("the leader is busy"), true
	}
	// A former leader whose next hello is still due refuses the request. It is then served here too, so that its user need
	// not retry.
	c.requestCounts.LeaderBypassed()
	return response, false
}

// answeredByLeader reports whether a response was given by a controller that leads.
func answeredByLeader(response peer.Response) bool {
	var failure api.Error
	return response.Status != http.StatusServiceUnavailable || json.Unmarshal(response.Body, &failure) != nil || failure.Error != notLeading
}

// forwardTimeout returns how long to wait for the leader's response to a forwarded request.
func forwardTimeout(verb string) time.Duration {
	switch verb {
	case VerbSubmit:
		return tuning.SubmitPeerTimeout
	case VerbStatus:
		return tuning.StatusPeerTimeout
	}
	return tuning.PeerTimeout
}

// serveJobRequest serves a request about a job as the leader or, if sched is nil, from the state service.
func (c *Controller) serveJobRequest(ctx context.Context, sched *scheduler.Scheduler, request peer.Request) peer.Response {
	switch request.Verb {
	case VerbSubmit:
		return c.submissions.Submit(ctx, sched, request.Body)
	case VerbStatus:
		if job, ok := c.jobs.StatusFromMemory(sched, request.Job); ok {
			return peer.JSONResponse(http.StatusOK, job)
		}
		return c.jobs.AnswerStatus(ctx, sched, request.Job, true)
	case VerbCancel:
		return c.submissions.Cancel(ctx, sched, request.Job)
	}
	return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such request"})
}
