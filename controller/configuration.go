package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/configuration/httpapi"
	"switchferry/configuration/revisions"
	"switchferry/feasibility"
	"switchferry/fleet"
	"switchferry/peer"
	"switchferry/quota"
	"switchferry/store"
	"switchferry/tuning"
)

// Verbs of requests about the configuration.
const (
	// VerbConfiguration shows the configuration; Request.Job is empty for the present one, a revision's number, or
	// port.History. VerbConfigure changes it.
	VerbConfiguration = "configuration"
	VerbConfigure     = "configure"
	// verbConfirm has a sibling look for the newest revision now.
	verbConfirm = "confirm-configuration"
)

// newRevisionStore switches live configuration on; it is called before Run.
func (c *Controller) newRevisionStore() {
	c.revisions = revisions.New(c.client, c.clock, c.fileConfiguration[0], c.settings.Facts.State)
	c.versions.Configuration = true
}

// ConfigurationOn tells whether the configuration can change while this controller runs.
func (c *Controller) ConfigurationOn() bool { return c.revisions != nil }

// currentApplier is what changes the configuration in the present term; nil: this controller does not lead.
func (c *Controller) currentApplier() *revisions.Applier {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applier
}

// configurationLeader is a term's side of a change.
type configurationLeader struct {
	n    *Controller
	core *Scheduler
}

// Condition holds while the term lasts.
func (l *configurationLeader) Condition() (store.Condition, bool) {
	return recordSource{l.core, l.n}.Condition()
}

// Adopt has the term's decisions go by a configuration. What it lacks is as this controller's files have it, also where the
// revision before had something else.
func (l *configurationLeader) Adopt(active *configuration.Active) (undecided func() int) {
	withFiles := *active
	if withFiles.Topology == nil && l.n.topology != nil {
		withFiles.Topology = l.n.topology.Map()
	}
	if withFiles.AheadTasks == nil {
		withFiles.AheadTasks = &l.n.data.Ahead
	}
	return l.core.ApplyConfiguration(&withFiles)
}

// Peers are all other controllers.
func (l *configurationLeader) Peers() (members []string) {
	for _, s := range l.n.settings.Peers {
		members = append(members, s.Member)
	}
	return members
}

// RefreshPeer has a sibling look for the newest revision now.
func (l *configurationLeader) RefreshPeer(ctx context.Context, member string, _ uint64) (revision uint64, err error) {
	a, err := l.n.peers.Ask(ctx, member, peer.Request{Verb: verbConfirm, From: l.n.settings.Member}, tuning.PeerTimeout)
	if err != nil {
		return 0, err
	}
	if a.Status != http.StatusOK {
		return 0, fmt.Errorf("%s answers with status %d", member, a.Status)
	}
	return revision, json.Unmarshal(a.Body, &revision)
}

// reapplyConfiguration has the leader go by its present configuration once more, after the topology file has changed.
func (c *Controller) reapplyConfiguration(sched *Scheduler) {
	if applier := c.currentApplier(); applier != nil {
		applier.Reapply()
		return
	}
	sched.ReplaceTopology(c.topology.Map())
}

// ApplyConfiguration has decisions go by this from now on. The result counts the starts and accepts of before that are not on
// record yet.
func (s *Scheduler) ApplyConfiguration(active *configuration.Active) (undecided func() int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration, s.liveConfiguration = active, true
	if s.datasets != nil && active.AheadTasks != nil {
		s.datasets.settings.Ahead = *active.AheadTasks
	}
	if active.Topology != nil {
		replaceTopology(s, active.Topology)
	}
	var starts []*allocation
	var accepts []*jobState
	for _, job := range s.jobOrder {
		if !job.accepted {
			accepts = append(accepts, job)
		}
		for _, alloc := range job.allocations {
			if !alloc.committed {
				starts = append(starts, alloc)
			}
		}
	}
	s.wakePlacer()
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		starts = slices.DeleteFunc(starts, func(alloc *allocation) bool { return alloc.committed || alloc.job.allocations[alloc.task] != alloc })
		accepts = slices.DeleteFunc(accepts, func(job *jobState) bool { return job.accepted || s.jobs[job.id] != job })
		return len(starts) + len(accepts)
	}
}

// admits tells whether a job may be accepted under a configuration: its team is there, and its limit has room for the
// least that the job needs at once.
func admits(active *configuration.Active, submission *api.Submission) bool {
	limit, ok := active.Limit(submission.Team)
	return ok && limit.Allows(feasibility.ConcurrentRequest(submission))
}

// limitReason is why a job waits for its team's limit, for operators and users.
func limitReason(active *configuration.Active, job *jobState) string {
	limit, ok := active.Limit(job.Job.Team)
	switch {
	case !ok:
		return fmt.Sprintf("team %s is not in the configuration any more (revision %d); it waits until a team of this name is", job.Job.Team, active.Revision)
	case !limit.Allows(feasibility.ConcurrentRequest(&job.Job)):
		return fmt.Sprintf("it needs more at once than the limit of team %s allows since revision %d; it waits until that is raised", job.Job.Team, active.Revision)
	}
	return fmt.Sprintf("team %s has as much as its limit allows", job.Job.Team)
}

// stopExcess stops what runs above a limit that has sunk, if the configuration says so; the lock is held.
func stopExcess(sched *Scheduler) {
	if sched.configuration.OverLimit.Running != configuration.Stop {
		return
	}
	for _, team := range sched.configuration.Teams() {
		limit, _ := sched.configuration.Limit(team.Name)
		use := sched.usage[team.Name].Sub(sched.stoppingUsage[team.Name])
		if limit.Allows(use) {
			continue
		}
		tasks, held := usageOf(sched, team.Name)
		for _, i := range quota.Excess(limit, use, held) {
			sched.stopTask(tasks[i], min(sched.configuration.OverLimit.StopWithinS, tasks[i].job.Job.SaveS), "its team's limit has sunk")
		}
	}
}

// usageOf are the tasks of a team that can be stopped. A start whose answer is lost may be executed at any later time of
// this term. Stopped before it is seen, its task counted for the limit for ever; stopped after that, its exit is not
// cleared, and a new attempt that came to the same machine was never begun. Such a task runs to its end.
func usageOf(sched *Scheduler, team string) (tasks []*allocation, held []quota.Usage) {
	for _, job := range sched.jobOrder {
		if job.Job.Team != team {
			continue
		}
		for _, alloc := range job.allocations {
			if !alloc.stopping && (alloc.reported && alloc.unansweredRuns == 0 || !alloc.runSent) {
				tasks = append(tasks, alloc)
				held = append(held, quota.Usage{Rank: job.rank, Loss: sched.preemptionLoss(alloc), Resources: fleet.RequestOf(&job.Job)})
			}
		}
	}
	return tasks, held
}

// admission is what a submission was judged by.
type admission struct {
	// by are the configurations under which the answer must come out the same; conds hold while a follower's is the
	// newestHeartbeats.
	by    []*configuration.Active
	conds []store.Condition
	// waitReasons nothing could be judged, where it is the configuration's matter.
	why string
}

// admissionRules gives what a submission is judged by now.
func (c *Controller) admissionRules(sched *Scheduler) admission {
	if c.revisions == nil {
		return admission{by: c.fileConfiguration}
	}
	if applier := c.currentApplier(); sched != nil && applier != nil {
		by := applier.Candidates()
		if len(by) == 0 || !sched.hooks.Leading() {
			return admission{why: "the configuration is not known yet"}
		}
		return admission{by: by}
	}
	right, ok := c.revisions.Lease()
	if !ok {
		return admission{why: "the configuration cannot be confirmed now"}
	}
	return admission{by: []*configuration.Active{right.Active}, conds: []store.Condition{{Key: configuration.HeadKey, Revision: right.StoreRevision}}}
}

// canRun checks a submission against teams, limits and machine types. Undecided: these are not known, the
// configuration is not, or it is just changing and the answers differ.
func (c *Controller) canRun(sched *Scheduler, submission *api.Submission) (judged admission, err error, undecided bool) {
	c.mu.Lock()
	types := c.machineTypes
	c.mu.Unlock()
	judged = c.admissionRules(sched)
	if judged.why != "" {
		return judged, nil, true
	}
	for i, active := range judged.by {
		found, open := feasibility.CanRun(submission, active.Limit, types)
		if i > 0 && (found == nil) != (err == nil) {
			judged.why = "the configuration is just changing"
			return judged, nil, true
		}
		err, undecided = found, undecided || open
	}
	return judged, err, undecided
}

// taskLocations tells whether what a refusal was judged by still counts: it is looked at last, since the process can have
// stood still.
func (j admission) stillValid(n *Controller, sched *Scheduler) bool {
	if n.revisions == nil || j.by == nil {
		return true
	}
	return slices.Equal(j.by, n.admissionRules(sched).by)
}

// handleConfiguration serves requests about the configuration.
func (c *Controller) handleConfiguration(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if c.revisions == nil {
		return jsonResponse(http.StatusNotFound, api.Error{Error: "live configuration is off"})
	}
	if r.Verb == verbConfirm {
		number, err := c.revisions.Refresh(ctx)
		if err != nil {
			return retryLater("the state service is out of reach")
		}
		return jsonResponse(http.StatusOK, number)
	}
	if r.Verb == VerbConfiguration && r.Job != "" {
		return jsonAnswer(c.configurationHandler().Revision(ctx, r.Job))
	}
	applier := c.currentApplier()
	switch {
	case applier == nil && r.Verb == VerbConfigure:
		return c.forwardToLeader(ctx, r, forwarded)
	case applier == nil && !forwarded:
		if a := c.forwardToLeader(ctx, r, forwarded); a.Status == http.StatusOK {
			return a
		}
		// Nobody leads: the records tell.
		if _, err := c.revisions.Refresh(ctx); err != nil {
			return retryLater("the state service is out of reach")
		}
		return jsonResponse(http.StatusOK, c.configurationHandler().Present(nil))
	case r.Verb == VerbConfiguration:
		return jsonResponse(http.StatusOK, c.configurationHandler().Present(applier))
	}
	return jsonAnswer(c.configurationHandler().Change(ctx, applier, r.Body))
}

func (c *Controller) configurationHandler() *httpapi.Handler {
	return &httpapi.Handler{Store: c.revisions, Versions: c.versions, TopologyOn: c.topology != nil, DataOn: c.data.On}
}

// jsonAnswer is a status and a body as an answer; whoever gets a 503 is told to come back.
func jsonAnswer(status int, body any) peer.Response {
	a := jsonResponse(status, body)
	if status == http.StatusServiceUnavailable {
		a.RetryAfterS = tuning.RetryAfterS
	}
	return a
}
