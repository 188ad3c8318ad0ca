package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"switchferry/api"
	"switchferry/reachability"
	"switchferry/topology"
)

// Topology returns the state of the topology for operators: its domains in the order of the file, reservations, and
// jobs that wait because of placement restrictions. It is empty if no topology is configured.
func (s *Scheduler) Topology() api.TopologyView {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := api.TopologyView{Domains: []api.DomainView{}, Waiting: []api.WaitingView{}, Reserved: []api.ReservedView{}}
	if s.topology == nil {
		return view
	}
	tree := s.topology.tree
	view.Version, view.Unlisted, view.Ambiguous = tree.Map().Version(), tree.Unlisted(), tree.Ambiguous()
	for _, domain := range tree.Map().Domains() {
		view.Domains = append(view.Domains, domainView(tree, domain))
	}
	for _, reservation := range s.topology.reservations.All(s.now()) {
		view.Reserved = append(view.Reserved, api.ReservedView{
			Domain:  reservation.Domain.Name,
			Job:     reservation.Job,
			EndsInS: reservation.NeededAt.Sub(s.now()).Seconds(),
		})
	}
	for _, job := range s.jobOrder {
		if job.waitReason != "" && len(job.pending) > 0 {
			view.Waiting = append(view.Waiting, api.WaitingView{Job: job.id, Tasks: len(job.pending), Reason: job.waitReason})
		}
	}
	return view
}

// domainView returns a domain with its machines and free resources.
func domainView(tree *topology.Tree, domain *topology.Domain) api.DomainView {
	free := tree.Free(domain)
	view := api.DomainView{
		Name:         domain.Name,
		Level:        domain.Level,
		Machines:     tree.Machines(domain),
		Usable:       tree.Usable(domain),
		FreeCPUs:     free.CPUs,
		FreeCards:    free.Cards,
		FreeMemoryGB: free.MemoryGB,
	}
	view.Unavailable = view.Machines > 0 && view.Usable == 0
	if domain.Parent != nil {
		view.Parent = domain.Parent.Name
	}
	return view
}

// Explain returns where a job's tasks are placed and why the others wait; ok is false if the job's status must not be
// given from memory (see Answer).
func (s *Scheduler) Explain(id string) (explanation api.Explanation, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs[id]
	status, basis := s.answer(job)
	if !basis.Known() {
		return explanation, false
	}
	explanation = api.Explanation{
		Job:       id,
		State:     status.State,
		Tasks:     job.taskCount,
		Done:      job.completedCount,
		Waiting:   job.unplaced(),
		Reasons:   []string{},
		Locations: s.taskLocations(job),
	}
	if job.waitsForDependencies {
		explanation.Waiting = job.taskCount - job.completedCount - len(job.allocations)
	}
	if job.FinalState == "" && explanation.Waiting > 0 {
		explanation.Reasons = s.waitReasons(job)
	}
	return explanation, true
}

// taskLocations counts a job's allocated tasks by domain, or by machine for machines that are in no domain.
// Tasks on a machine whose heartbeats are overdue or that does not receive commands also count as unconfirmed. The
// result is sorted by descending number of tasks. s.mu must be held.
func (s *Scheduler) taskLocations(job *jobState) []api.TaskLocation {
	locations := map[string]*api.TaskLocation{}
	for _, alloc := range job.allocations {
		machine := alloc.machine
		location := api.TaskLocation{Domain: machine.Name, Level: "machine"}
		if s.topology != nil {
			if domain := s.topology.tree.DomainOf(machine.Name); domain != nil {
				location.Domain, location.Level = domain.Name, domain.Level
			}
		}
		key := location.Level + " " + location.Domain
		if locations[key] == nil {
			locations[key] = &location
		}
		locations[key].Tasks++
		silent := s.since(machine.LastHeartbeat) >= s.heartbeatTimeout(machine)
		if silent || machine.link.State(s.now(), s.lease()) == reachability.OutboundLost {
			locations[key].Unconfirmed++
		}
	}
	sorted := make([]api.TaskLocation, 0, len(locations))
	for _, location := range locations {
		sorted = append(sorted, *location)
	}
	slices.SortFunc(sorted, func(a, b api.TaskLocation) int { return cmp.Or(b.Tasks-a.Tasks, cmp.Compare(a.Domain, b.Domain)) })
	return sorted
}

// waitReasons returns why a job's tasks wait, for operators and users: reasons in the job itself come first, then the
// state of the machines. s.mu must be held.
func (s *Scheduler) waitReasons(job *jobState) (reasons []string) {
	switch {
	case !job.accepted:
		return []string{"it is not on record yet"}
	case job.waitsForDependencies:
		return s.dependencies.waitReasons(job)
	case s.now().Before(job.pausedUntil):
		reasons = append(reasons, fmt.Sprintf("its tasks failed on %d machines in a row; it is tried again in %.0f s", job.failures, job.pausedUntil.Sub(s.now()).Seconds()))
	case !s.withinQuota(job):
		reasons = append(reasons, limitReason(s.configuration, job))
	case !s.inputsReady(job):
		reasons = append(reasons, "its datasets are not known yet")
	}
	if job.waitReason != "" {
		reasons = append(reasons, job.waitReason)
	}
	counts := s.countMachines(job)
	switch {
	case counts.allowed == 0:
		reasons = append(reasons, "no machine that it may run on is up; one must be rented first")
	case counts.available() == 0:
		reasons = append(reasons, fmt.Sprintf("of %d machines that it may run on, %d get no work now (silent, failing or leaving), %d have not recently confirmed that they receive commands, %d answer commands but their heartbeats reach no controller (inbound lost), %d stand where it must not, %d are full",
			counts.allowed, counts.unschedulable, counts.outboundUnconfirmed, counts.inboundLost, counts.forbiddenBySpread, counts.full))
	case len(reasons) == 0:
		reasons = append(reasons, fmt.Sprintf("it is about to start: %d of %d machines have enough free resources", counts.available(), counts.allowed))
	}
	return reasons
}

// machineCounts counts the machines that satisfy a job's constraints. Each of them that cannot start a task of the job
// now is also counted under exactly one reason.
type machineCounts struct {
	allowed int
	// outboundUnconfirmed counts machines that have not recently confirmed that they receive commands.
	outboundUnconfirmed int
	// inboundLost counts machines that answer commands but whose heartbeats reach no controller.
	inboundLost       int
	unschedulable     int
	forbiddenBySpread int
	full              int
}

// available returns how many machines can start a task.
func (c machineCounts) available() int {
	return c.allowed - c.outboundUnconfirmed - c.inboundLost - c.unschedulable - c.forbiddenBySpread - c.full
}

// countMachines counts the machines that a job's tasks may run on, by the reason why they cannot start a task now.
// s.mu must be held.
func (s *Scheduler) countMachines(job *jobState) (counts machineCounts) {
	for _, machine := range s.machines {
		switch {
		case machine.Spec == nil || !satisfiesConstraints(job, machine):
			continue
		case machine.Up && !machine.releasing && machine.link.State(s.now(), s.lease()) != reachability.Reachable:
			counts.outboundUnconfirmed++
		case s.inboundLost(machine):
			counts.inboundLost++
		case !s.eligible(job, machine):
			counts.unschedulable++
		case !satisfiesSpread(job, machine):
			counts.forbiddenBySpread++
		case !machine.free().Fits(job.request):
			counts.full++
		}
		counts.allowed++
	}
	return counts
}
