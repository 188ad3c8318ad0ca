package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"switchferry/api"
	"switchferry/reachability"
)

// Topology is the tree, domains in the order of the file.
func (s *Scheduler) Topology() api.TopologyView {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := api.TopologyView{Domains: []api.DomainView{}, Waiting: []api.WaitingView{}, Reserved: []api.ReservedView{}}
	if s.topology == nil {
		return v
	}
	t := s.topology.tree
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
	for _, r := range s.topology.reservations.All(s.now()) {
		v.Reserved = append(v.Reserved, api.ReservedView{Domain: r.Domain.Name, Job: r.Job, InS: r.At.Sub(s.now()).Seconds()})
	}
	for _, job := range s.jobOrder {
		if job.waitReason != "" && len(job.pending) > 0 {
			v.Waiting = append(v.Waiting, api.WaitingView{Job: job.id, Tasks: len(job.pending), Why: job.waitReason})
		}
	}
	return v
}

// Explain tells about a job that this leader knows.
func (s *Scheduler) Explain(id string) (x api.Explanation, ok bool) {
	st, known := s.JobStatus(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs[id]
	if job == nil || !known {
		return x, false
	}
	x = api.Explanation{Job: id, State: st.State, Tasks: job.taskCount, Done: job.completedCount, Waiting: len(job.pending) + job.queued, Why: []string{}, Locations: s.taskLocations(job)}
	if job.waitsForDependencies {
		x.Waiting = job.taskCount - job.completedCount - len(job.allocations)
	}
	if job.FinalState == "" && x.Waiting > 0 {
		x.Why = s.waitReasons(job)
	}
	return x, true
}

func (c *Scheduler) taskLocations(job *jobState) []api.TaskLocation {
	by := map[string]*api.TaskLocation{}
	for _, alloc := range job.allocations {
		location := api.TaskLocation{Domain: alloc.machine.Name, Level: "machine"}
		if c.topology != nil {
			if d := c.topology.tree.Of(alloc.machine.Name); d != nil {
				location.Domain, location.Level = d.Name, d.Level
			}
		}
		key := location.Level + " " + location.Domain
		if by[key] == nil {
			by[key] = &location
		}
		by[key].Tasks++
		if c.since(alloc.machine.LastHeartbeat) >= c.heartbeatTimeout(alloc.machine) || alloc.machine.link.State(c.now(), c.lease()) == reachability.OutboundLost {
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

// waitReasons lists what keeps a job's waiting tasks, from the job's own reasons to the
// machines'.
func (s *Scheduler) waitReasons(job *jobState) (why []string) {
	switch {
	case !job.accepted:
		return []string{"it is not on record yet"}
	case job.waitsForDependencies:
		return s.dependencies.waitReasons(job)
	case s.now().Before(job.pausedUntil):
		why = append(why, fmt.Sprintf("its tasks failed on %d machines in a row; it is tried again in %.0f s", job.failures, job.pausedUntil.Sub(s.now()).Seconds()))
	case !s.withinQuota(job):
		why = append(why, limitReason(s.configuration, job))
	case !s.inputsReady(job):
		why = append(why, "its datasets are not known yet")
	}
	if job.waitReason != "" {
		why = append(why, job.waitReason)
	}
	var may, silent, mute, deaf, bounded, full int
	for _, machine := range s.machines {
		switch {
		case machine.Spec == nil || !satisfiesConstraints(job, machine):
			continue
		case machine.Up && !machine.releasing && machine.link.State(s.now(), s.lease()) != reachability.Reachable:
			deaf++
		case s.inboundLost(machine):
			mute++
		case !s.eligible(job, machine):
			silent++
		case !satisfiesSpread(job, machine):
			bounded++
		case !machine.free().Fits(job.request):
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
