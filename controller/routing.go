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
func (c *Controller) Handle(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if forwarded && r.Verb == verbReport {
		return c.handleForwardedHeartbeat(r.From, r.Body)
	}
	if forwarded && r.Verb == verbStage {
		return c.handleForwardedStageHeartbeat(r.Body)
	}
	from := c.clock.Now()
	a := c.noteAnswer(c.route(ctx, r, forwarded))
	if took := c.clock.Since(from); r.Verb == VerbSubmit && took > tuning.AcceptPatience {
		slog.Debug("submission answered late", "ms", took.Milliseconds(), "status", a.Status, "forwarded", forwarded, "leading", c.leadingScheduler() != nil)
	}
	if !forwarded && r.Verb == VerbSubmit {
		c.setRetryAfter(&a, r.Body)
	}
	if !forwarded {
		c.requestCounts.Add(r.Verb == VerbStatus, a.Status == http.StatusServiceUnavailable)
	}
	return a
}

func (c *Controller) route(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if r.Verb == VerbMembers {
		return c.handleMembers()
	}
	if r.Verb == VerbTopology || r.Verb == VerbExplain {
		return c.handleTopology(ctx, r, forwarded)
	}
	if r.Verb == VerbConfiguration || r.Verb == VerbConfigure || r.Verb == verbConfirm {
		return c.handleConfiguration(ctx, r, forwarded)
	}
	if r.Verb == VerbRegister || r.Verb == VerbRemove || r.Verb == VerbData {
		return c.handleDatasets(ctx, r, forwarded)
	}
	if f, ok := c.terminalState(r.Job); ok && r.Verb != VerbSubmit {
		return peer.JSONResponse(http.StatusOK, f.JobStatus(r.Job))
	}
	if sched := c.leadingScheduler(); sched != nil {
		switch {
		case sched.Leading() && sched.Loaded():
			return c.serveAsLeader(ctx, sched, r)
		case !c.stateServiceHealthy():
			if r.Verb == VerbSubmit {
				_, id, _ := api.ParseSubmission(r.Body)
				if f, ok := c.terminalState(id); ok {
					return peer.JSONResponse(http.StatusOK, f.JobStatus(id))
				}
			}
			return peer.RetryLater("the state service is out of reach")
		}
		// Not the leader yet, or no more, and the state service answers: whatever
		// is read and written there is as good from us as from any node.
		return c.serveAsLeader(ctx, nil, r)
	}
	if forwarded {
		return peer.RetryLater(notLeading)
	}
	leader, term := c.elector.Leader()
	leader, _, there := newestLeader(leader, term, c.peers.LivePeers())
	if there {
		a, err := c.peers.Ask(ctx, leader, r, forwardPatience(r.Verb))
		switch {
		case err == nil && answeredByLeader(a):
			return a
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
	return c.serveAsLeader(ctx, nil, r)
}

// setRetryAfter tells the user of a job that cannot be taken now when to come back: each another
// time, spread over as long as it takes to take all that wait.
func (c *Controller) setRetryAfter(a *peer.Response, body []byte) {
	refused := a.Status == http.StatusServiceUnavailable
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
		a.RetryAfterS = max(a.RetryAfterS, c.retries.Refused(c.clock.Now(), id))
	} else {
		c.retries.Taken(id)
	}
}

// answeredByLeader tells whether an answer is a leader's.
func answeredByLeader(a peer.Response) bool {
	var e api.Error
	return a.Status != http.StatusServiceUnavailable || json.Unmarshal(a.Body, &e) != nil || e.Error != notLeading
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
func (c *Controller) forwardToLeader(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	leader, _ := c.elector.Leader()
	leader, _, there := newestLeader(leader, 0, c.peers.LivePeers())
	if forwarded || !there {
		return peer.RetryLater("no leader answers")
	}
	a, err := c.peers.Ask(ctx, leader, r, tuning.PeerTimeout)
	if err != nil {
		return peer.RetryLater("the leader does not answer")
	}
	return a
}

// serveAsLeader answers as the leader (core) or, while the leader is out of reach,
// from the state service itself.
func (c *Controller) serveAsLeader(ctx context.Context, sched *scheduler.Scheduler, r peer.Request) peer.Response {
	switch r.Verb {
	case VerbSubmit:
		return c.serveSubmission(ctx, sched, r.Body)
	case VerbStatus:
		if sched != nil {
			if st, ok := sched.JobStatus(r.Job); ok {
				return peer.JSONResponse(http.StatusOK, st)
			}
		}
		return c.answerStatus(ctx, sched, r.Job, true)
	case VerbCancel:
		return c.serveCancellation(ctx, sched, r.Job)
	}
	return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such request"})
}
