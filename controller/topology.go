package controller

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/topology"
	"switchferry/tuning"
)

// UseTopologyFile switches topology on, unless the file is nil; it is called before Run.
func (c *Controller) UseTopologyFile(f *topology.File) { c.topology = f }

// checkSite reads what a submission asks of where its tasks stand, and whether that can be.
func checkSite(submission *api.Submission, body []byte) (status int, err error) {
	if submission.Near, submission.Survive, err = api.ParseSite(body, submission.Tasks); err != nil {
		return http.StatusBadRequest, err
	}
	if submission.Shape == api.JobArray {
		// Its tasks can run a few at a time.
		return 0, nil
	}
	if why := topology.Infeasible(submission.Near, submission.Survive, submission.Tasks); why != "" {
		return http.StatusUnprocessableEntity, &api.FieldError{Field: "survive", Want: why}
	}
	return 0, nil
}

// watchTopology takes new versions of the file while the node runs.
func (c *Controller) watchTopology() {
	for c.ctx.Err() == nil {
		c.sleep(c.ctx, tuning.TopologyEvery)
		m, err := c.topology.Reload()
		if err != nil {
			slog.Error("topology file not taken", "err", err)
		}
		if sched := c.leadingScheduler(); m != nil && sched != nil {
			c.reapplyConfiguration(sched)
		}
	}
}

// topology is what the leader knows of where machines stand.
type topologyView struct {
	tree *topology.Tree
	// unlisted and ambiguous are how many machines were last complained about.
	unlisted, ambiguous int
	search              topology.Search
	reservations        topology.Reservations
}

// UseTopology switches near and survive on, before anything is loaded.
func (s *Scheduler) UseTopology(m *topology.Map) {
	s.topology = &topologyView{tree: topology.NewTree(m)}
}

// ReplaceTopology goes over to another version of the topology. What runs stays where it is and
// counts where it stands now; only what is placed from here on goes by the new one.
func (s *Scheduler) ReplaceTopology(m *topology.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replaceTopology(s, m)
}

// replaceTopology is ReplaceTopology with the lock held; it does nothing without a topology, or with the one that is used.
func replaceTopology(sched *Scheduler, m *topology.Map) {
	if sched.topology == nil || sched.topology.tree.Map() == m {
		return
	}
	sched.topology.tree = sched.topology.tree.Rebased(m)
	sched.topology.unlisted, sched.topology.ambiguous = 0, 0
	for _, job := range sched.jobs {
		if job.site != nil {
			job.site = job.site.Rebased(sched.topology.tree)
		}
	}
	slog.Info("topology changed", "version", m.Version())
	sched.wakePlacer()
}

// initSite gives a job that asks where its tasks stand the count of where they do.
func (s *Scheduler) initSite(job *jobState) {
	if s.topology == nil {
		return
	}
	job.site = s.topology.tree.NewSite(job.Job.Near, job.Job.Survive)
}

// updateFreeResources keeps the summed room of domains.
func (s *Scheduler) updateFreeResources(machine *machineState) {
	if s.topology != nil && machine.Spec != nil {
		s.topology.tree.Set(machine.Name, machine.free(), s.schedulable(machine))
	}
}

func (s *Scheduler) removeFromTopology(name string) {
	if s.topology != nil {
		s.topology.tree.Remove(name)
	}
}

// refreshTopology takes in which machines may get work now: that ends by time as well, with no
// event of their own.
func (s *Scheduler) refreshTopology() {
	if s.topology == nil {
		return
	}
	w := s.topology
	for _, machine := range s.machines {
		s.updateFreeResources(machine)
	}
	for _, job := range s.jobOrder {
		if job.Job.Near != nil && job.queued > 0 && len(job.allocations) == 0 {
			// Where it goes is chosen anew: a domain may have filled up since.
			s.reclaimQueued(job)
		}
	}
	// Else each start would be weighed against reservations that nobody asks for any more.
	w.reservations.Expire(s.now())
	if l, a := w.tree.Unlisted(), w.tree.Ambiguous(); l > w.unlisted || a > w.ambiguous {
		w.unlisted, w.ambiguous = l, a
		slog.Warn("machines that the topology does not name stand alone; of those that two domains name the first counts", "not_named", l, "named_twice", a)
	}
}

// chooseDomain chooses where a job's waiting tasks go, and tells whether they go anywhere now.
func (s *Scheduler) chooseDomain(job *jobState) bool {
	if job.site == nil {
		return true
	}
	may := func(name string) bool {
		machine := s.machines[name]
		return machine != nil && s.eligible(job, machine) && s.mayStage(job, machine)
	}
	ok := job.site.ChooseDomain(job.request, len(job.pending), job.Job.Shape != api.JobArray, may)
	why := job.site.Reason()
	if !ok && job.Job.Shape != api.JobArray && job.rank > lowestRank(s.jobOrder) && !s.failsEverywhere(job) && !s.now().Before(job.nextDomainSearch) {
		// Arrays stop others one task at a time, like all arrays.
		job.nextDomainSearch = s.now().Add(tuning.AimAgain)
		ok = job.site.ChooseDomainByPreemption(job.request, len(job.pending), may, func(name string) []int64 { return s.preemptionCosts(job, s.machines[name]) })
	}
	if !ok && job.Job.Shape != api.JobArray {
		if kept := s.reserveDomain(job, may); kept != "" {
			why = kept
		}
	}
	if why != job.waitReason {
		job.waitReason = why
		if why != "" {
			slog.Info("job waits for a place", "job", job.id, "why", why)
		}
	}
	return ok
}

// strandedCPUs are the CPUs of tasks that must stand where no machine with room does, of each job
// those of as many tasks as could stand on a machine more.
func (s *Scheduler) strandedCPUs() (cpus float64) {
	for _, job := range s.jobOrder {
		if job.site == nil || len(job.pending) == 0 || !s.startableNow(job) || !s.withinQuota(job) {
			continue
		}
		bound := false
		room := false
		for _, machine := range s.machines {
			if !s.eligible(job, machine) || !machine.free().Fits(job.request) {
				continue
			}
			if satisfiesSpread(job, machine) && job.waitReason == "" {
				room = true
				break
			}
			bound = true
		}
		if bound && !room {
			n := len(job.pending)
			if x := job.Job.Survive; x != nil && x.Must {
				n = min(n, x.AtMost)
			}
			cpus += float64(n) * job.request.CPUs
		}
	}
	return cpus
}

// topologySearchCPUs is what the fleet should have at least for tasks without a place, in CPUs.
func (s *Scheduler) topologySearchCPUs(now time.Time) float64 {
	if s.topology == nil {
		return 0
	}
	boot := 0.0
	for _, t := range s.machineTypes {
		boot = max(boot, t.BootS)
	}
	supply, _ := s.supply()
	return s.topology.search.TargetCPUs(now, s.strandedCPUs(), supply, seconds(boot))
}

// reserveDomain reserves a domain that drains before a machine boots for a job that has none, and
// says so.
func (s *Scheduler) reserveDomain(job *jobState, may func(string) bool) string {
	if s.now().Before(job.nextDomainReservation) {
		return job.reservedDomain
	}
	job.reservedDomain = ""
	job.nextDomainReservation = s.now().Add(tuning.AimAgain)
	boot := 0.0
	for _, t := range s.machineTypes {
		if t.Fits(&job.Job) && (boot == 0 || t.BootS < boot) {
			boot = t.BootS
		}
	}
	d, ms := job.site.SoonestDomain(job.request, len(job.pending), may, func(name string) []int64 { return s.freeTimes(job, s.machines[name], len(job.pending)) })
	if d == nil || float64(ms) > boot*1000 {
		return ""
	}
	at := s.now().Add(time.Duration(ms) * time.Millisecond)
	if s.topology.reservations.Reserve(s.now(), topology.Reservation{Job: job.id, Rank: job.rank, Domain: d, At: at}) {
		job.reservedDomain = fmt.Sprintf("%s %q is kept for it until it drains", d.Level, d.Name)
	}
	return job.reservedDomain
}

// freeTimes is in how many ms each of so many further tasks of a job could start on a machine, as what
// runs there ends by its estimate.
func (s *Scheduler) freeTimes(job *jobState, machine *machineState, tasks int) (at []int64) {
	free := machine.free()
	type ending struct {
		ms   int64
		room fleet.Resources
	}
	var ends []ending
	for _, alloc := range machine.allocations {
		switch {
		case alloc.stopping:
			ends = append(ends, ending{0, alloc.job.request})
		case alloc.job.Job.Shape == api.Service:
			// It ends only by its user.
		default:
			left := estimate(alloc.job)
			if !alloc.runningSince.IsZero() {
				left = max(tuning.MinRun, left-s.since(alloc.runningSince).Seconds())
			}
			ends = append(ends, ending{int64(left * 1000), alloc.job.request})
		}
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.ms, b.ms) })
	now := int64(0)
	for len(at) < tasks {
		switch {
		case free.Fits(job.request):
			free = free.Sub(job.request)
			at = append(at, now)
		case len(ends) > 0:
			now, free = ends[0].ms, free.Add(ends[0].room)
			ends = ends[1:]
		default:
			return at
		}
	}
	return at
}

// reservedForOthers tells whether a machine stands in a domain that is kept for another job, in
// whose way this one would be.
func (s *Scheduler) reservedForOthers(job *jobState, machine *machineState) bool {
	if s.topology == nil || !s.topology.reservations.Any() {
		return false
	}
	var ends time.Time
	if job.Job.Shape != api.Service {
		ends = s.now().Add(seconds(estimate(job) + s.startCost(job, 0, machine, false).Seconds()))
	}
	return s.topology.reservations.Blocks(s.now(), s.topology.tree.Of(machine.Name), job.id, job.rank, ends)
}

// preemptionCosts is what each further task of a job costs on a machine, in work that is thrown away,
// until no more room can be made.
func (s *Scheduler) preemptionCosts(job *jobState, machine *machineState) (costs []int64) {
	free, _ := machine.freeSoon()
	can := s.preemptible(job, machine)
	s.sortByLoss(can)
	cost := int64(0)
	for len(costs) < len(job.pending) {
		switch {
		case free.Fits(job.request):
			free = free.Sub(job.request)
			costs = append(costs, cost)
			cost = 0
		case len(can) > 0:
			free, cost = free.Add(can[0].job.request), cost+s.preemptionLoss(can[0])
			can = can[1:]
		default:
			return costs
		}
	}
	return costs
}

// placeGangByPreemption starts a gang that is to stand near where room for all of it can be made, or
// does nothing: whatever is to be stopped for it counts as stopped while the rest is looked
// for, so that no team loses more than it may.
func (s *Scheduler) placeGangByPreemption(job *jobState, ms []*machineState) bool {
	attempt := s.nextAttempt()
	var held []*allocation
	victims := map[*allocation][]*allocation{}
	meant := func(v *allocation, stop bool) {
		v.stopping = stop
		team := v.job.Job.Team
		if stop {
			s.stoppingUsage[team] = s.stoppingUsage[team].Add(v.job.request)
		} else {
			s.stoppingUsage[team] = s.stoppingUsage[team].Sub(v.job.request)
		}
	}
	undo := func() {
		for _, alloc := range held {
			for _, v := range victims[alloc] {
				meant(v, false)
			}
		}
	}
	for _, t := range job.pending {
		var best candidate
		for _, machine := range ms {
			if !s.eligible(job, machine) || !satisfiesSpread(job, machine) || !s.mayStage(job, machine) || !s.withinQuota(job) || len(machine.allocations)+len(machine.exited) >= tuning.ReportTasks {
				continue
			}
			out, victims, ok := s.findVictims(job, machine)
			if !ok {
				continue
			}
			x := candidate{m: machine, leaving: out, victim: victims}
			for _, v := range victims {
				x.score += float64(s.preemptionLoss(v))
			}
			if best.m == nil || x.score < best.score {
				best = x
			}
		}
		if best.m == nil {
			undo()
			for _, alloc := range held {
				s.removeAllocation(alloc)
			}
			return false
		}
		alloc := s.allocate(job, int(t), best.m, attempt)
		alloc.victims = append(best.leaving, best.victim...)
		victims[alloc] = best.victim
		for _, v := range best.victim {
			meant(v, true)
		}
		held = append(held, alloc)
	}
	undo()
	job.pending = nil
	for _, alloc := range held {
		s.preemptVictims(victims[alloc], job)
		s.commitStart(alloc, "gang")
	}
	return true
}
