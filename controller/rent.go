package controller

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/failuredetector"
	"switchferry/feasibility"
	"switchferry/policy"
	"switchferry/reachability"
	"switchferry/tuning"
)

// capacityPool is one kind of machine that the cloud rents.
type capacityPool struct {
	typ, zone string
	spot      bool
}

// MaintainFleet looks after machines: it returns the names to give back.
func (s *Scheduler) MaintainFleet() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tick(now)
	if !s.loaded || !s.hooks.Leading() {
		return nil
	}
	var out []string
	giveUp := func(machine *machineState, why string) {
		slog.Info("returning machine", "machine", machine.Name, "why", why, "tasks", len(machine.allocations))
		machine.releasing = true
		out = append(out, machine.Name)
	}
	s.detectPartitions(now)
	why := map[string]string{}
	var due []failuredetector.Candidate
	for _, machine := range s.sortedMachines() {
		if machine.releasing {
			continue
		}
		// A return proves that the machine's tasks are gone.
		switch act, reason := s.decideMachine(machine, now); act {
		case failuredetector.Release:
			giveUp(machine, reason)
		case failuredetector.ReleaseWithinBudget:
			why[machine.Name] = reason
			due = append(due, failuredetector.Candidate{Name: machine.Name, Zone: machine.Zone, Tasks: len(machine.allocations)})
		case failuredetector.Drain:
			until := machine.PreemptedAt
			if until.IsZero() {
				until, reason = machine.LastHeartbeat.Add(s.lease()), "machine reaches no controller"
			}
			s.drain(machine, until, cmp.Or(reason, "machine is taken back"))
		case failuredetector.Forget:
			slog.Info("machine forgotten", "machine", machine.Name, "why", reason)
			s.forgetMachine(machine)
		}
	}
	s.probeUnconfirmed(now)
	for _, v := range s.evictionBudget.Spend(now, due, s.detector.SilentShare) {
		for _, name := range v.Release {
			giveUp(s.machines[name], why[name])
		}
		if v.Deferred > 0 && now.Sub(s.deferralLoggedAt) >= tuning.ReturnTold {
			s.deferralLoggedAt = now
			slog.Info("many machines of a zone are silent; most are left for now", "zone", v.Zone, "silent_share", math.Round(100*v.Share)/100,
				"machines", v.Machines, "left", v.Deferred, "tasks_that_wait_for_them", v.DeferredTasks, "returned", len(v.Release))
		}
	}
	stopExcess(s)
	for _, machine := range s.overdueCancellations(now) {
		if !machine.releasing {
			giveUp(machine, "holds a cancelled task")
		}
	}
	out = append(out, s.idleMachines(now)...)
	s.storeImageHints(now)
	s.storeReplicaHints(now)
	s.finishRemovals()
	if now.Sub(s.fleetLoggedAt) >= tuning.FleetLogEvery {
		s.fleetLoggedAt = now
		s.logDatasets()
		s.logFleet()
	}
	for name, at := range s.releasedAt {
		if now.Sub(at) > 10*time.Minute {
			delete(s.releasedAt, name)
		}
	}
	return out
}

// logFleet writes how full the fleet is: processors that are up, taken by tasks
// that run, that fetch or are about to start, and that are being stopped; and
// what waits.
func (s *Scheduler) logFleet() {
	var up, running, starting, stopping float64
	machines := 0
	for _, machine := range s.machines {
		if !machine.Up || machine.Spec == nil || machine.releasing {
			continue
		}
		machines++
		up += machine.Spec.CPUs
		for _, alloc := range machine.allocations {
			switch {
			case alloc.stopping:
				stopping += alloc.job.request.CPUs
			case alloc.state == api.TaskRunning:
				running += alloc.job.request.CPUs
			default:
				starting += alloc.job.request.CPUs
			}
		}
	}
	jobs, waiting := 0, 0.0
	for _, job := range s.jobOrder {
		if n := len(job.pending) + job.queued; n > 0 && job.FinalState == "" {
			jobs++
			waiting += float64(n) * job.request.CPUs
			if since := latest(latest(job.waitingSince, job.lastStart), s.termStarted); !job.passedOverLogged && s.since(since) > tuning.PassedBy && s.withinQuota(job) && slices.ContainsFunc(s.sortedMachines(), func(machine *machineState) bool {
				return machine.Up && !machine.releasing && machine.Spec != nil && satisfiesConstraints(job, machine) && machine.free().Fits(job.request)
			}) {
				// Users expect that nobody waits 90 s so. Said once.
				job.passedOverLogged = true
				slog.Warn("job waits though a machine has room for it", "job", job.id, "class", job.Job.Class, "waited", s.since(since).Round(time.Second), "why", s.waitReasons(job))
			}
		}
	}
	slog.Info("fleet", "machines", machines, "cpus", up, "running", running, "starting", starting, "stopping", stopping, "waiting_jobs", jobs, "waiting_cpus", waiting)
}

// drain saves what can be saved of a machine that is about to be taken, or whose lease is about to end.
func (s *Scheduler) drain(machine *machineState, until time.Time, why string) {
	left := until.Sub(s.now()).Seconds()
	for _, alloc := range machine.allocations {
		if alloc.stopping || !alloc.reported {
			continue
		}
		j := &alloc.job.Job
		ran := 0.0
		if !alloc.runningSince.IsZero() {
			ran = s.since(alloc.runningSince).Seconds()
		}
		finishes := j.Shape == api.JobArray && estimate(alloc.job)-ran < left
		switch {
		case j.Checkpoint > 0 && left < j.SaveS+2*tuning.SpotNoticeSlack+s.settings.Facts.Workers.ReportS:
			s.stopTask(alloc, j.SaveS, why)
		case j.Checkpoint == 0 && !finishes:
			s.stopTask(alloc, 0, why)
		}
	}
}

// demand is what unfinished jobs ask for, in processors, and how much of that
// may not run on spot machines.
func (s *Scheduler) demand() (all, ordinary float64) {
	perCPU := 0.0
	for _, t := range s.machineTypes {
		perCPU = math.Max(perCPU, t.MemoryGB/t.CPUs)
	}
	for _, job := range s.jobOrder {
		if !job.accepted || job.FinalState != "" || job.waitsForDependencies && !s.dependencies.startsSoon(job) {
			continue
		}
		one := job.request.CPUs
		if perCPU > 0 {
			// Until the catalog is read, memory says nothing of processors: a
			// new leader took it for a thousandfold demand.
			one = math.Max(one, job.request.MemoryGB/perCPU)
		}
		n := float64(s.demandedTasks(job))
		if t, ok := s.configuration.Team(job.Job.Team); ok && t.CPUsMax > 0 && job.request.CPUs > 0 {
			n = math.Min(n, t.CPUsMax/job.request.CPUs)
		}
		all += n * one
		if !job.Job.Spot {
			ordinary += n * one
		}
	}
	return all, ordinary
}

// startupOverdue tells whether a machine that is not up yet more likely never will be: others are rented instead, while it
// still has its time.
func (s *Scheduler) startupOverdue(machine *machineState) bool {
	if machine.Up || !machine.requestedHere || machine.Spec == nil {
		return false
	}
	age := s.since(machine.RequestedAt)
	late, others := s.startupTimes.Overdue(machine.Type, machine.RequestedAt, age, seconds(machine.Spec.BootS))
	if late && !machine.faultLogged {
		machine.faultLogged = true
		slog.Info("machine overdue", "machine", machine.Name, "type", machine.Type, "age", age.Round(time.Second), "others_took", others.Round(time.Second))
	}
	return late
}

// mayNeverStart tells whether a machine should have reported by now. It may yet come
// back, but others are rented in the meantime: they take long to boot.
func (s *Scheduler) mayNeverStart(machine *machineState) bool {
	if machine.Up {
		if machine.link.State(s.now(), s.lease()) == reachability.OutboundLost || !machine.link.AliveThisTerm() && !machine.listed && len(machine.allocations) == 0 {
			return true
		}
		heard := latest(machine.LastHeartbeat, s.detector.ResumedAt())
		if s.since(machine.LastHeartbeat) <= seconds(s.settings.Facts.Workers.LeaseS) {
			heard = latest(heard, s.detector.PathLostAt(machine.lastPeer))
		}
		return s.since(heard) > 2*s.heartbeatTimeout(machine)
	}
	return machine.listedRunning && s.since(s.termStarted) > 2*s.heartbeatTimeout(machine)
}

// supply is the processors that are up or coming.
func (s *Scheduler) supply() (all, spot float64) {
	for _, machine := range s.machines {
		if machine.releasing || !machine.PreemptedAt.IsZero() || machine.Spec == nil || s.mayNeverStart(machine) || s.startupOverdue(machine) {
			continue
		}
		all += machine.Spec.CPUs
		if machine.Spot {
			spot += machine.Spec.CPUs
		}
	}
	return all, spot
}

func (s *Scheduler) desiredCapacity() (want, ordinary float64) {
	all, ord := s.demand()
	// A team without work is not kept room for: its machines would be idle.
	busy := map[string]bool{}
	for _, job := range s.jobOrder {
		if job.FinalState == "" && !job.waitsForDependencies {
			busy[job.Job.Team] = true
		}
	}
	guaranteed := 0.0
	for _, t := range s.configuration.Teams() {
		if busy[t.Name] {
			guaranteed += t.CPUs
		}
	}
	head := s.configuration.Policy.Value(policy.HeadroomCPUs, policy.Vars{"demand_cpus": all, "guaranteed_cpus": guaranteed})
	return all + head, tuning.ServiceSpare * ord
}

// InstanceRequests says what to rent now.
func (c *Scheduler) InstanceRequests() []api.InstanceRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	// This goes on while the state service is out: the names of rentals are
	// this term's own, and the machines will be needed whoever leads.
	if !c.loaded || c.instancesRequested > 0 || now.Sub(c.termStarted) < seconds(2*c.settings.Facts.Workers.ReportS) {
		return nil
	}
	want, ordWant := c.desiredCapacity()
	want = math.Max(want, c.topologySearchCPUs(now))
	all, spot := c.supply()
	inZone := map[string]float64{}
	for _, machine := range c.machines {
		if machine.Spec != nil && !machine.releasing {
			inZone[machine.Zone] += machine.Spec.CPUs
		}
	}
	var pools []capacityPool
	for _, t := range c.machineTypes {
		for _, z := range t.Zones {
			for _, s := range []bool{false, true} {
				p := capacityPool{t.Name, z, s}
				if now.After(c.instanceRefusals[p]) {
					pools = append(pools, p)
				}
			}
		}
	}
	slices.SortFunc(pools, func(a, b capacityPool) int {
		// Ordinary machines first: nobody takes them back, and services need
		// them. Then the zone that has less, then the sooner one up.
		if a.spot != b.spot {
			if a.spot {
				return 1
			}
			return -1
		}
		if d := inZone[a.zone] - inZone[b.zone]; d != 0 {
			return int(math.Copysign(1, d))
		}
		if d := c.machineTypes[a.typ].BootS - c.machineTypes[b.typ].BootS; d != 0 {
			return int(math.Copysign(1, d))
		}
		if a.typ+a.zone < b.typ+b.zone {
			return -1
		}
		return 1
	})
	spotShare := c.configuration.Policy.Value(policy.SpotShare, policy.Vars{"demand_cpus": want})
	out := c.requestForUnplaceable(pools)
	for _, p := range pools {
		t := c.machineTypes[p.typ]
		missing := want - all
		if !p.spot {
			missing = math.Max(missing, ordWant-(all-spot))
		} else {
			missing = math.Min(missing, spotShare*want-spot)
		}
		if missing <= 0 || len(out) >= 2 {
			continue
		}
		n := min(tuning.RentBatch, int(math.Ceil(missing/t.CPUs)))
		out = append(out, c.instanceRequest(p, n))
		if len(out) == 2 {
			break
		}
		// What will come is unknown; the next round sees it.
		all += float64(n) * t.CPUs
	}
	c.instancesRequested = len(out)
	return out
}

// requestForUnplaceable rents a machine for a job that none that is there or coming can ever serve: with as many
// processors as are asked for in all, nothing of its type or zone was ever rented.
func (s *Scheduler) requestForUnplaceable(pools []capacityPool) []api.InstanceRequest {
	var jobs []*api.Submission
	for _, job := range s.jobOrder {
		if len(job.pending)+job.queued > 0 && s.startableNow(job) && s.withinQuota(job) {
			jobs = append(jobs, &job.Job)
		}
	}
	if len(jobs) == 0 {
		return nil
	}
	var ms []feasibility.Machine
	for _, machine := range s.machines {
		if machine.releasing || !machine.PreemptedAt.IsZero() || s.mayNeverStart(machine) || s.startupOverdue(machine) {
			continue
		}
		x := feasibility.Machine{Spec: machine.Spec, Zone: machine.Zone, Spot: machine.Spot}
		for _, alloc := range machine.allocations {
			if alloc.job.Job.Shape == api.Service {
				x.Used = x.Used.Add(alloc.job.request)
			}
		}
		ms = append(ms, x)
	}
	var kinds []feasibility.Pool
	for _, p := range pools {
		kinds = append(kinds, feasibility.Pool{Type: s.machineTypes[p.typ], Zone: p.zone, Spot: p.spot})
	}
	for _, submission := range feasibility.Unplaceable(jobs, ms) {
		if p, ok := feasibility.PoolFor(submission, kinds); ok {
			slog.Info("renting for a job that no machine can serve", "job", submission.ID, "type", p.Type.Name, "zone", p.Zone, "spot", p.Spot)
			return []api.InstanceRequest{s.instanceRequest(capacityPool{p.Type.Name, p.Zone, p.Spot}, 1)}
		}
	}
	return nil
}

// instanceRequest asks for so many machines under a name that is never used again.
func (s *Scheduler) instanceRequest(p capacityPool, count int) api.InstanceRequest {
	s.lastInstanceRequest++
	return api.InstanceRequest{IdempotencyKey: fmt.Sprintf("t%d-%d", s.term, s.lastInstanceRequest), Type: p.typ, Zone: p.zone, Spot: p.spot, Count: count}
}

// InstancesGranted takes in the outcome of a rental.
func (s *Scheduler) InstancesGranted(r api.InstanceRequest, names []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instancesRequested--
	if err != nil || len(names) < r.Count {
		s.instanceRefusals[capacityPool{r.Type, r.Zone, r.Spot}] = s.now().Add(tuning.RefusedPause)
	}
	if err != nil {
		slog.Info("rental refused", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count, "err", err)
		return
	}
	slog.Info("rented", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(names))
	for _, n := range names {
		if _, gone := s.releasedAt[n]; gone {
			continue
		}
		machine := s.machineNamed(n)
		if !machine.Up {
			machine.Type, machine.Zone, machine.Spot, machine.Spec = r.Type, r.Zone, r.Spot, s.machineTypes[r.Type]
			machine.requestedHere = true
			machine.link.MarkStarted()
		}
	}
}

// ApplyInstanceList takes in the cloud's list. It lags: absence from it proves nothing.
func (s *Scheduler) ApplyInstanceList(list []api.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, l := range list {
		if _, gone := s.releasedAt[l.Name]; gone {
			continue
		}
		_, known := s.machines[l.Name]
		machine := s.machineNamed(l.Name)
		if !known {
			machine.RequestedAt = now.Add(-seconds(l.AgeS))
			slog.Info("machine listed", "machine", l.Name, "type", l.Type, "zone", l.Zone, "state", l.State)
		}
		machine.listed = true
		if !machine.Up {
			if l.State == "booting" && now.Sub(s.termStarted) > seconds(tuning.ListLagMost*s.settings.Facts.Cloud.ListLagS) {
				machine.link.MarkStarted()
			}
			machine.listedRunning = l.State == "running"
			machine.Address, machine.Type, machine.Zone, machine.Spot, machine.Spec = l.Address, l.Type, l.Zone, l.Spot, s.machineTypes[l.Type]
		}
		if l.State == "failed" && !machine.releasing {
			machine.Up, machine.listedFailed = false, true
		}
	}
}

// Addresses are the machines that have not reported yet in this term.
func (s *Scheduler) Addresses() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for _, machine := range s.machines {
		if !machine.Up && machine.Address != "" && !machine.releasing {
			out[machine.Name] = machine.Address
		}
	}
	return out
}

// InstancesReleased means: the cloud has answered, so these machines and all on them are gone.
func (s *Scheduler) InstancesReleased(names []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range names {
		machine := s.machines[n]
		if machine == nil {
			continue
		}
		if err != nil {
			machine.releasing = false
			continue
		}
		s.releasedAt[n] = s.now()
		for _, alloc := range machine.allocations {
			s.loseTask(alloc, "its machine is gone")
		}
		s.forgetMachine(machine)
	}
	s.wakePlacer()
}

// expire takes a machine that is gone, with all on it, off the lists.
func (s *Scheduler) forgetMachine(machine *machineState) {
	for _, queue := range machine.queues {
		queue.returnTasks()
	}
	s.reachedDirectly(machine)
	delete(s.machines, machine.Name)
	s.removeFromTopology(machine.Name)
	if s.datasets != nil {
		s.agentReachedDirectly(machine.Name)
		s.datasets.planner.RemoveMachine(machine.Name)
	}
	s.machinesByName = nil
}

// idleMachines finds a machine that is plainly idle.
func (s *Scheduler) idleMachines(now time.Time) []string {
	want, ordWant := s.desiredCapacity()
	all, spot := s.supply()
	for _, machine := range s.sortedMachines() {
		if !s.schedulable(machine) || len(machine.allocations) > 0 || len(machine.queues) > 0 {
			continue
		}
		keep := seconds(s.configuration.Policy.Value(policy.IdleKeepS, policy.Vars{"boot_s": machine.Spec.BootS}))
		if now.Sub(machine.idleSince) < keep || all-machine.Spec.CPUs < want || !machine.Spot && all-spot-machine.Spec.CPUs < ordWant {
			continue
		}
		slog.Info("returning machine", "machine", machine.Name, "why", "idle")
		machine.releasing = true
		return []string{machine.Name}
	}
	return nil
}
