package scheduler

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/settings"
	"switchferry/topology"
	"switchferry/tuning"
)

// topologyState is the scheduler's state of the topology domains. Scheduler.mu guards it.
type topologyState struct {
	tree *topology.Tree
	// loggedUnlisted is the last logged number of machines in no domain.
	loggedUnlisted int
	// loggedAmbiguous is the last logged number of machines in several domains.
	loggedAmbiguous int
	// scaleUp decides how many CPUs to request for tasks that the topology allows on no machine with free resources.
	scaleUp topology.StrandedScaleUp
	// reservations are the domains that are reserved for waiting jobs until they drain.
	reservations topology.Reservations
}

// UseTopology sets the topology, so that the near and survive constraints of jobs are applied. It must be called before
// the records are loaded.
func (s *Scheduler) UseTopology(topologyMap *topology.Map) {
	s.topology = &topologyState{tree: topology.NewTree(topologyMap)}
}

// ReplaceTopology switches to another version of the topology. Running tasks are not moved; they count for the domains
// that their machines have in the new version. Only later placements follow the new version.
func (s *Scheduler) ReplaceTopology(topologyMap *topology.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceTopology(topologyMap)
}

// replaceTopology is ReplaceTopology with s.mu held. It does nothing if no topology was set or the given one is in use.
func (s *Scheduler) replaceTopology(topologyMap *topology.Map) {
	if s.topology == nil || s.topology.tree.Map() == topologyMap {
		return
	}
	s.topology.tree = s.topology.tree.Rebased(topologyMap)
	s.topology.loggedUnlisted, s.topology.loggedAmbiguous = 0, 0
	for _, job := range s.jobs {
		if job.site != nil {
			job.site = job.site.Rebased(s.topology.tree)
		}
	}
	slog.Info("topology changed", "version", topologyMap.Version())
	s.wakePlacer()
}

// initSite initializes the per-domain task counts of a job, which its near and survive constraints need.
// s.mu must be held.
func (s *Scheduler) initSite(job *jobState) {
	if s.topology == nil {
		return
	}
	job.site = s.topology.tree.NewJobPlacement(job.Job.Near, job.Job.Survive)
}

// updateFreeResources updates a machine's free resources in its domains. s.mu must be held.
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

// refreshTopology updates which machines are schedulable, since that also changes with time. It requeues the tasks of
// jobs that chose a domain but started nothing there, and expires reservations. s.mu must be held.
func (s *Scheduler) refreshTopology() {
	state := s.topology
	if state == nil {
		return
	}
	for _, machine := range s.machines {
		s.updateFreeResources(machine)
	}
	for _, job := range s.jobOrder {
		if job.Job.Near != nil && job.queued > 0 && len(job.allocations) == 0 {
			// The job chooses a domain again, because the previous one may be full.
			s.reclaimQueued(job)
		}
	}
	// Otherwise each start would be checked against reservations that no job needs any more.
	state.reservations.Expire(s.now())
	unlisted, ambiguous := state.tree.Unlisted(), state.tree.Ambiguous()
	if unlisted > state.loggedUnlisted || ambiguous > state.loggedAmbiguous {
		state.loggedUnlisted, state.loggedAmbiguous = unlisted, ambiguous
		slog.Warn("machines not in exactly one topology domain", "not_named", unlisted, "named_twice", ambiguous)
	}
}

// chooseDomain chooses the domain for a job's pending tasks, and reports whether they may be placed now. If no domain
// has enough free resources and the job is a service or a gang, it searches for a domain where allocations may be
// preempted, and then for a domain to reserve. s.mu must be held.
func (s *Scheduler) chooseDomain(job *jobState) bool {
	if job.site == nil {
		return true
	}
	allowed := func(name string) bool {
		machine := s.machines[name]
		return machine != nil && s.eligible(job, machine) && s.mayStage(job, machine)
	}
	// Arrays do not need a domain for all tasks at once. They preempt one task at a time, as without a topology.
	isArray := job.Job.Shape == api.JobArray
	found := job.site.ChooseDomain(job.request, len(job.pending), !isArray, allowed)
	reason := job.site.Reason()
	if !found && !isArray && job.rank > lowestRank(s.jobOrder) && !s.failsEverywhere(job) && !s.now().Before(job.nextDomainSearch) {
		job.nextDomainSearch = s.now().Add(tuning.DomainSearchInterval)
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

// unplaceableCPUs returns the CPUs of the pending tasks that fit on some machine but that topology constraints do not
// allow on any of them. For a job with a survive constraint, only as many tasks count as one more domain could take.
// s.mu must be held.
func (s *Scheduler) unplaceableCPUs() (cpus float64) {
	for _, job := range s.jobOrder {
		if job.site == nil || len(job.pending) == 0 || !s.startableNow(job) || !s.withinQuota(job) || !s.onlyTopologyForbids(job) {
			continue
		}
		count := len(job.pending)
		if survive := job.Job.Survive; survive != nil && survive.Required {
			count = min(count, survive.MaxTasks)
		}
		cpus += float64(count) * job.request.CPUs
	}
	return cpus
}

// onlyTopologyForbids reports whether some machine has free resources for a task of a job, but topology constraints
// allow the task on none of these machines. s.mu must be held.
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

// topologyTargetCPUs returns the minimum number of CPUs that the fleet should have so that tasks that fit into no
// domain now can be placed. It returns zero if there are no such tasks, between attempts to start machines for them,
// and without a topology. s.mu must be held.
func (s *Scheduler) topologyTargetCPUs(now time.Time) float64 {
	if s.topology == nil {
		return 0
	}
	supply, _ := s.supply()
	return s.topology.scaleUp.TargetCPUs(now, s.unplaceableCPUs(), supply, settings.Seconds(s.longestBootS()))
}
