package scheduler

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/settings"
	"switchferry/topology"
	"switchferry/tuning"
)

// topologyView is the state of the domains that machines are in. Scheduler.mu guards it.
type topologyView struct {
	tree *topology.Tree
	// unlisted and ambiguous are how many machines in no domain, or in several, were last logged.
	unlisted, ambiguous int
	search              topology.Search
	reservations        topology.Reservations
}

// UseTopology has near and survive of jobs count. It must be called before the records are loaded.
func (s *Scheduler) UseTopology(topologyMap *topology.Map) {
	s.topology = &topologyView{tree: topology.NewTree(topologyMap)}
}

// ReplaceTopology goes over to another version of the topology. Running tasks stay where they are and count for the
// domains that the new one has them in; only what is placed from here on follows it.
func (s *Scheduler) ReplaceTopology(topologyMap *topology.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceTopology(topologyMap)
}

// replaceTopology is ReplaceTopology with s.mu held. It does nothing without a topology, or with the one in use.
func (s *Scheduler) replaceTopology(topologyMap *topology.Map) {
	if s.topology == nil || s.topology.tree.Map() == topologyMap {
		return
	}
	s.topology.tree = s.topology.tree.Rebased(topologyMap)
	s.topology.unlisted, s.topology.ambiguous = 0, 0
	for _, job := range s.jobs {
		if job.site != nil {
			job.site = job.site.Rebased(s.topology.tree)
		}
	}
	slog.Info("topology changed", "version", topologyMap.Version())
	s.wakePlacer()
}

// initSite makes a job that asks where its tasks are count them by domain. s.mu must be held.
func (s *Scheduler) initSite(job *jobState) {
	if s.topology == nil {
		return
	}
	job.site = s.topology.tree.NewSite(job.Job.Near, job.Job.Survive)
}

// updateFreeResources updates the free resources of a machine's domains. s.mu must be held.
func (s *Scheduler) updateFreeResources(machine *machineState) {
	if s.topology != nil && machine.Spec != nil {
		s.topology.tree.Set(machine.Name, machine.free(), s.schedulable(machine))
	}
}

// removeFromTopology removes a machine from its domains. s.mu must be held.
func (s *Scheduler) removeFromTopology(name string) {
	if s.topology != nil {
		s.topology.tree.Remove(name)
	}
}

// refreshTopology updates which machines are schedulable, which changes with time as well, and forgets what is out of
// date: queues of jobs that chose a domain and started nothing, and reservations. s.mu must be held.
func (s *Scheduler) refreshTopology() {
	view := s.topology
	if view == nil {
		return
	}
	for _, machine := range s.machines {
		s.updateFreeResources(machine)
	}
	for _, job := range s.jobOrder {
		if job.Job.Near != nil && job.queued > 0 && len(job.allocations) == 0 {
			// Its domain is chosen anew: the one before may be full by now.
			s.reclaimQueued(job)
		}
	}
	// Else each start would be weighed against reservations that nobody asks for any more.
	view.reservations.Expire(s.now())
	unlisted, ambiguous := view.tree.Unlisted(), view.tree.Ambiguous()
	if unlisted > view.unlisted || ambiguous > view.ambiguous {
		view.unlisted, view.ambiguous = unlisted, ambiguous
		slog.Warn("machines not in exactly one topology domain", "not_named", unlisted, "named_twice", ambiguous)
	}
}

// chooseDomain chooses the domain for a job's pending tasks, and reports whether they may be placed now. If not, and
// the job is a service or a gang, it looks for a domain where allocations may be preempted, and then for one to
// reserve. s.mu must be held.
func (s *Scheduler) chooseDomain(job *jobState) bool {
	if job.site == nil {
		return true
	}
	allowed := func(name string) bool {
		machine := s.machines[name]
		return machine != nil && s.eligible(job, machine) && s.mayStage(job, machine)
	}
	// Arrays preempt one task at a time, like arrays without a topology.
	isArray := job.Job.Shape == api.JobArray
	found := job.site.ChooseDomain(job.request, len(job.pending), !isArray, allowed)
	reason := job.site.Reason()
	if !found && !isArray && job.rank > lowestRank(s.jobOrder) && !s.failsEverywhere(job) && !s.now().Before(job.nextDomainSearch) {
		job.nextDomainSearch = s.now().Add(tuning.DomainSearchEvery)
		costs := func(name string) []int64 { return s.preemptionCosts(job, s.machines[name]) }
		found = job.site.ChooseDomainByPreemption(job.request, len(job.pending), allowed, costs)
	}
	if !found && !isArray {
		if reservation := s.reserveDomain(job, allowed); reservation != "" {
			reason = reservation
		}
	}
	if reason != job.waitReason {
		job.waitReason = reason
		if reason != "" {
			slog.Info("job waits for a domain", "job", job.id, "why", reason)
		}
	}
	return found
}

// unplaceableCPUs returns the CPUs of pending tasks that no machine with free resources may take because of where it
// is. Of each job as many tasks count as could be placed if one more machine were up. s.mu must be held.
func (s *Scheduler) unplaceableCPUs() (cpus float64) {
	for _, job := range s.jobOrder {
		if job.site == nil || len(job.pending) == 0 || !s.startableNow(job) || !s.withinQuota(job) || !s.onlyTopologyForbids(job) {
			continue
		}
		count := len(job.pending)
		if survive := job.Job.Survive; survive != nil && survive.Must {
			count = min(count, survive.AtMost)
		}
		cpus += float64(count) * job.request.CPUs
	}
	return cpus
}

// onlyTopologyForbids reports whether machines have free resources for a task of a job, but none is where the task
// may be. s.mu must be held.
func (s *Scheduler) onlyTopologyForbids(job *jobState) bool {
	forbidden := false
	for _, machine := range s.machines {
		if !s.eligible(job, machine) || !machine.free().Fits(job.request) {
			continue
		}
		if satisfiesSpread(job, machine) && job.waitReason == "" {
			return false
		}
		forbidden = true
	}
	return forbidden
}

// topologySearchCPUs returns how many CPUs the fleet should have at least so that tasks which no domain can take now
// find one that can; zero without a topology. s.mu must be held.
func (s *Scheduler) topologySearchCPUs(now time.Time) float64 {
	if s.topology == nil {
		return 0
	}
	supply, _ := s.supply()
	return s.topology.search.TargetCPUs(now, s.unplaceableCPUs(), supply, settings.Seconds(s.longestBootS()))
}
