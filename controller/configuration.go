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

// keepConfiguration switches live configuration on; it is called before Run.
func (n *Controller) keepConfiguration() {
	n.config = revisions.New(n.client, n.clock, n.files[0], n.set.Facts.State)
	n.marks.Configuration = true
}

// ConfigurationOn tells whether the configuration can change while this controller runs.
func (n *Controller) ConfigurationOn() bool { return n.config != nil }

// changing is what changes the configuration in the present term; nil: this controller does not lead.
func (n *Controller) changing() *revisions.Applier {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applier
}

// configurationLeader is a term's side of a change.
type configurationLeader struct {
	n    *Controller
	core *Core
}

// Condition holds while the term lasts.
func (l *configurationLeader) Condition() (store.Condition, bool) {
	return source{l.core, l.n}.Condition()
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
	return l.core.Configure(&withFiles)
}

// Peers are all other controllers.
func (l *configurationLeader) Peers() (members []string) {
	for _, s := range l.n.set.Peers {
		members = append(members, s.Member)
	}
	return members
}

// RefreshPeer has a sibling look for the newest revision now.
func (l *configurationLeader) RefreshPeer(ctx context.Context, member string, _ uint64) (revision uint64, err error) {
	a, err := l.n.peers.Ask(ctx, member, peer.Request{Verb: verbConfirm, From: l.n.set.Member}, tuning.PeerTimeout)
	if err != nil {
		return 0, err
	}
	if a.Status != http.StatusOK {
		return 0, fmt.Errorf("%s answers with status %d", member, a.Status)
	}
	return revision, json.Unmarshal(a.Body, &revision)
}

// useAgain has the leader go by its present configuration once more, after the topology file has changed.
func (n *Controller) useAgain(core *Core) {
	if applier := n.changing(); applier != nil {
		applier.Reapply()
		return
	}
	core.MoveTopology(n.topology.Map())
}

// Configure has decisions go by this from now on. The result counts the starts and accepts of before that are not on
// record yet.
func (c *Core) Configure(active *configuration.Active) (undecided func() int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.configured = active, true
	if c.data != nil && active.AheadTasks != nil {
		c.data.set.Ahead = *active.AheadTasks
	}
	if active.Topology != nil {
		moveTopology(c, active.Topology)
	}
	var starts []*assign
	var accepts []*job
	for _, j := range c.order {
		if !j.accepted {
			accepts = append(accepts, j)
		}
		for _, a := range j.live {
			if !a.committed {
				starts = append(starts, a)
			}
		}
	}
	c.kick()
	return func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		starts = slices.DeleteFunc(starts, func(a *assign) bool { return a.committed || a.job.live[a.task] != a })
		accepts = slices.DeleteFunc(accepts, func(j *job) bool { return j.accepted || c.jobs[j.id] != j })
		return len(starts) + len(accepts)
	}
}

// admits tells whether a job may be accepted under a configuration: its team is there, and its limit has room for the
// least that the job needs at once.
func admits(active *configuration.Active, s *api.Submission) bool {
	limit, ok := active.Limit(s.Team)
	return ok && limit.Allows(feasibility.ConcurrentRequest(s))
}

// limitReason is why a job waits for its team's limit, for operators and users.
func limitReason(active *configuration.Active, j *job) string {
	limit, ok := active.Limit(j.Job.Team)
	switch {
	case !ok:
		return fmt.Sprintf("team %s is not in the configuration any more (revision %d); it waits until a team of this name is", j.Job.Team, active.Revision)
	case !limit.Allows(feasibility.ConcurrentRequest(&j.Job)):
		return fmt.Sprintf("it needs more at once than the limit of team %s allows since revision %d; it waits until that is raised", j.Job.Team, active.Revision)
	}
	return fmt.Sprintf("team %s has as much as its limit allows", j.Job.Team)
}

// stopExcess stops what runs above a limit that has sunk, if the configuration says so; the lock is held.
func stopExcess(c *Core) {
	if c.active.OverLimit.Running != configuration.Stop {
		return
	}
	for _, team := range c.active.Teams() {
		limit, _ := c.active.Limit(team.Name)
		use := c.use[team.Name].Sub(c.leaving[team.Name])
		if limit.Allows(use) {
			continue
		}
		tasks, held := heldBy(c, team.Name)
		for _, i := range quota.Excess(limit, use, held) {
			c.stopTask(tasks[i], min(c.active.OverLimit.StopWithinS, tasks[i].job.Job.SaveS), "its team's limit has sunk")
		}
	}
}

// heldBy are the tasks of a team that can be stopped. A start whose answer is lost may be executed at any later time of
// this term. Stopped before it is seen, its task counted for the limit for ever; stopped after that, its exit is not
// cleared, and a new attempt that came to the same machine was never begun. Such a task runs to its end.
func heldBy(c *Core, team string) (tasks []*assign, held []quota.Usage) {
	for _, j := range c.order {
		if j.Job.Team != team {
			continue
		}
		for _, a := range j.live {
			if !a.stop && (a.seen && a.open == 0 || !a.sent) {
				tasks = append(tasks, a)
				held = append(held, quota.Usage{Rank: j.rank, Loss: c.loss(a), Resources: fleet.RequestOf(&j.Job)})
			}
		}
	}
	return tasks, held
}

// judgement is what a submission was judged by.
type judgement struct {
	// by are the configurations under which the answer must come out the same; conds hold while a follower's is the
	// newest.
	by    []*configuration.Active
	conds []store.Condition
	// why nothing could be judged, where it is the configuration's matter.
	why string
}

// judgeBy gives what a submission is judged by now.
func (n *Controller) judgeBy(core *Core) judgement {
	if n.config == nil {
		return judgement{by: n.files}
	}
	if applier := n.changing(); core != nil && applier != nil {
		by := applier.Candidates()
		if len(by) == 0 || !core.hooks.Valid() {
			return judgement{why: "the configuration is not known yet"}
		}
		return judgement{by: by}
	}
	right, ok := n.config.Lease()
	if !ok {
		return judgement{why: "the configuration cannot be confirmed now"}
	}
	return judgement{by: []*configuration.Active{right.Active}, conds: []store.Condition{{Key: configuration.HeadKey, Revision: right.StoreRevision}}}
}

// canRun checks a submission against teams, limits and machine types. Undecided: these are not known, the
// configuration is not, or it is just changing and the answers differ.
func (n *Controller) canRun(core *Core, s *api.Submission) (judged judgement, err error, undecided bool) {
	n.mu.Lock()
	types := n.types
	n.mu.Unlock()
	judged = n.judgeBy(core)
	if judged.why != "" {
		return judged, nil, true
	}
	for i, active := range judged.by {
		found, open := feasibility.CanRun(s, active.Limit, types)
		if i > 0 && (found == nil) != (err == nil) {
			judged.why = "the configuration is just changing"
			return judged, nil, true
		}
		err, undecided = found, undecided || open
	}
	return judged, err, undecided
}

// stands tells whether what a refusal was judged by still counts: it is looked at last, since the process can have
// stood still.
func (j judgement) stands(n *Controller, core *Core) bool {
	if n.config == nil || j.by == nil {
		return true
	}
	return slices.Equal(j.by, n.judgeBy(core).by)
}

// aboutConfiguration serves requests about the configuration.
func (n *Controller) aboutConfiguration(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if n.config == nil {
		return answer(http.StatusNotFound, api.Error{Error: "live configuration is off"})
	}
	if r.Verb == verbConfirm {
		number, err := n.config.Refresh(ctx)
		if err != nil {
			return later("the state service is out of reach")
		}
		return answer(http.StatusOK, number)
	}
	if r.Verb == VerbConfiguration && r.Job != "" {
		return answered(n.configurationPort().Revision(ctx, r.Job))
	}
	applier := n.changing()
	switch {
	case applier == nil && r.Verb == VerbConfigure:
		return n.passOn(ctx, r, forwarded)
	case applier == nil && !forwarded:
		if a := n.passOn(ctx, r, forwarded); a.Status == http.StatusOK {
			return a
		}
		// Nobody leads: the records tell.
		if _, err := n.config.Refresh(ctx); err != nil {
			return later("the state service is out of reach")
		}
		return answer(http.StatusOK, n.configurationPort().Present(nil))
	case r.Verb == VerbConfiguration:
		return answer(http.StatusOK, n.configurationPort().Present(applier))
	}
	return answered(n.configurationPort().Change(ctx, applier, r.Body))
}

func (n *Controller) configurationPort() *httpapi.Handler {
	return &httpapi.Handler{Store: n.config, Versions: n.marks, TopologyOn: n.topology != nil, DataOn: n.data.On}
}

// answered is a status and a body as an answer; whoever gets a 503 is told to come back.
func answered(status int, body any) peer.Response {
	a := answer(status, body)
	if status == http.StatusServiceUnavailable {
		a.RetryAfterS = tuning.RetryAfterS
	}
	return a
}
