package controller

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/reachability"
	"switchferry/tuning"
)

// Verbs of requests about where machines and jobs stand.
const (
	// VerbTopology shows the tree of domains; it is served only with a topology.
	VerbTopology = "topology"
	// VerbExplain tells why a job waits, or where it stands; Request.Job names it.
	VerbExplain = "explain"
)

// TopologyOn tells whether a topology is on.
func (n *Controller) TopologyOn() bool { return n.topology != nil }

// aboutPlaces serves requests about where things stand: the leader knows.
func (n *Controller) aboutPlaces(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if n.topology == nil && r.Verb == VerbTopology {
		return answer(http.StatusNotFound, api.Error{Error: "no topology is declared"})
	}
	core := n.leading()
	if core == nil {
		return n.passOn(ctx, r, forwarded)
	}
	if r.Verb == VerbTopology {
		return answer(http.StatusOK, core.Topology())
	}
	if x, ok := core.Explain(r.Job); ok {
		x.Why = append(x.Why, n.stopped()...)
		return answer(http.StatusOK, x)
	}
	// Over, or not known: its record tells.
	st, found, err := n.lookUp(ctx, core, r.Job, true)
	switch {
	case err != nil:
		return later("the state service is out of reach")
	case !found:
		return answer(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	return answer(http.StatusOK, api.Explanation{Job: st.ID, State: st.State, Why: []string{}, Locations: []api.TaskLocation{}})
}

// passOn asks the leader.
func (n *Controller) passOn(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	leader, _ := n.elector.Leader()
	leader, _, there := whoLeads(leader, 0, n.peers.LivePeers())
	if forwarded || !there {
		return later("no leader answers")
	}
	a, err := n.peers.Ask(ctx, leader, r, tuning.PeerTimeout)
	if err != nil {
		return later("the leader does not answer")
	}
	return a
}

// Topology is the tree, domains in the order of the file.
func (c *Core) Topology() api.TopologyView {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := api.TopologyView{Domains: []api.DomainView{}, Waiting: []api.WaitingView{}, Reserved: []api.ReservedView{}}
	if c.where == nil {
		return v
	}
	t := c.where.tree
	v.Version, v.Unlisted, v.Ambiguous = t.Map().Version(), t.Unlisted(), t.Ambiguous()
	for _, d := range t.Map().Domains() {
		free := t.Free(d)
		x := api.DomainView{Name: d.Name, Level: d.Level, Machines: t.Machines(d), Usable: t.Usable(d), CPUs: free.CPUs, Cards: free.Cards, MemoryGB: free.MemoryGB}
		x.Silent = x.Machines > 0 && x.Usable == 0
		if d.Parent != nil {
			x.In = d.Parent.Name
		}
		v.Domains = append(v.Domains, x)
	}
	for _, r := range c.where.held.All(c.now()) {
		v.Reserved = append(v.Reserved, api.ReservedView{Domain: r.Domain.Name, Job: r.Job, InS: r.At.Sub(c.now()).Seconds()})
	}
	for _, j := range c.order {
		if j.why != "" && len(j.pending) > 0 {
			v.Waiting = append(v.Waiting, api.WaitingView{Job: j.id, Tasks: len(j.pending), Why: j.why})
		}
	}
	return v
}

// Explain tells about a job that this leader knows.
func (c *Core) Explain(id string) (x api.Explanation, ok bool) {
	st, known := c.Known(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || !known {
		return x, false
	}
	x = api.Explanation{Job: id, State: st.State, Tasks: j.total, Done: j.done, Waiting: len(j.pending) + j.queued, Why: []string{}, Locations: c.stands(j)}
	if j.waits {
		x.Waiting = j.total - j.done - len(j.live)
	}
	if j.FinalState == "" && x.Waiting > 0 {
		x.Why = c.whyWaiting(j)
	}
	return x, true
}

func (c *Core) stands(j *job) []api.TaskLocation {
	by := map[string]*api.TaskLocation{}
	for _, a := range j.live {
		s := api.TaskLocation{Domain: a.machine.Name, Level: "machine"}
		if c.where != nil {
			if d := c.where.tree.Of(a.machine.Name); d != nil {
				s.Domain, s.Level = d.Name, d.Level
			}
		}
		key := s.Level + " " + s.Domain
		if by[key] == nil {
			by[key] = &s
		}
		by[key].Tasks++
		if c.since(a.machine.LastHeartbeat) >= c.quiet(a.machine) || a.machine.line.State(c.now(), c.lease()) == reachability.OutboundLost {
			by[key].Unconfirmed++
		}
	}
	out := []api.TaskLocation{}
	for _, s := range by {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b api.TaskLocation) int { return cmp.Or(b.Tasks-a.Tasks, cmp.Compare(a.Domain, b.Domain)) })
	return out
}

// whyWaiting lists what keeps a job's waiting tasks, from the job's own reasons to the
// machines'.
func (c *Core) whyWaiting(j *job) (why []string) {
	switch {
	case !j.accepted:
		return []string{"it is not on record yet"}
	case j.waits:
		return c.pipes.why(j)
	case c.now().Before(j.pause):
		why = append(why, fmt.Sprintf("its tasks failed on %d machines in a row; it is tried again in %.0f s", j.errors, j.pause.Sub(c.now()).Seconds()))
	case !c.withinLimit(j):
		why = append(why, limitReason(c.active, j))
	case !c.dataReady(j):
		why = append(why, "its datasets are not known yet")
	}
	if j.why != "" {
		why = append(why, j.why)
	}
	var may, silent, mute, deaf, bounded, full int
	for _, m := range c.machines {
		switch {
		case m.Spec == nil || !allowed(j, m):
			continue
		case m.Up && !m.returning && m.line.State(c.now(), c.lease()) != reachability.Reachable:
			deaf++
		case c.mute(m):
			mute++
		case !c.eligible(j, m):
			silent++
		case !zoneOK(j, m):
			bounded++
		case !m.free().Fits(j.need):
			full++
		}
		may++
	}
	if may == 0 {
		return append(why, "no machine that it may run on is up; one must be rented first")
	}
	if may == silent+mute+deaf+bounded+full {
		why = append(why, fmt.Sprintf("of %d machines that it may run on %d get no work now (silent, failing or leaving), %d have not shown lately that they hear us (half-deaf), %d answer commands and reach no controller (mute), %d stand where it must not, %d are full",
			may, silent, deaf, mute, bounded, full))
	} else if len(why) == 0 {
		why = append(why, fmt.Sprintf("it is about to start: %d of %d machines have room", may-silent-mute-deaf-bounded-full, may))
	}
	return why
}
