package controller

import (
	"context"
	"log/slog"
	"net/http"

	"switchferry/api"
	"switchferry/internal/sleep"
	"switchferry/peer"
	"switchferry/topology"
	"switchferry/tuning"
)

// UseTopologyFile switches topology on, unless the file is nil. It is called before Run.
func (c *Controller) UseTopologyFile(file *topology.File) {
	c.features.topology, c.submissions.TopologyOn = file, file != nil
}

// watchTopology reloads the topology file at intervals and applies changes while the process runs.
func (c *Controller) watchTopology() {
	for c.ctx.Err() == nil {
		sleep.For(c.ctx, c.clock, tuning.TopologyCheckInterval)
		reloaded, err := c.features.topology.Reload()
		if err != nil {
			slog.Error("topology file rejected", "err", err)
		}
		if sched := c.term.scheduler(); reloaded != nil && sched != nil {
			c.configuration.reapply(sched)
		}
	}
}

// TopologyOn reports whether a topology is declared.
func (c *Controller) TopologyOn() bool { return c.features.topology != nil }

// handleTopology serves requests about the topology and requests to explain why a job waits. Only the leader can answer
// them.
func (c *Controller) handleTopology(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	if c.features.topology == nil && request.Verb == VerbTopology {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no topology is declared"})
	}
	sched := c.term.scheduler()
	if sched == nil {
		return c.leader.forward(ctx, request, forwarded)
	}
	if request.Verb == VerbTopology {
		return peer.JSONResponse(http.StatusOK, sched.Topology())
	}
	if explanation, ok := sched.Explain(request.Job); ok {
		explanation.Reasons = append(explanation.Reasons, c.leases.renewalProblems()...)
		return peer.JSONResponse(http.StatusOK, explanation)
	}
	// The scheduler does not have the job: the records show whether it is in a terminal state or does not exist.
	job, found, err := c.jobs.LookUp(ctx, sched, request.Job, true)
	switch {
	case err != nil:
		return peer.RetryLater("the state service is out of reach")
	case !found:
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	return peer.JSONResponse(http.StatusOK, api.Explanation{Job: job.ID, State: job.State, Reasons: []string{}, Locations: []api.TaskLocation{}})
}
