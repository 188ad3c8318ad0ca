package scheduler

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/feasibility"
	"switchferry/policy"
	"switchferry/reachability"
	"switchferry/settings"
	"switchferry/tuning"
)

// capacityPool is one kind of machine that the cloud has.
type capacityPool struct {
	machineType, zone string
	spot              bool
}

// demand returns the CPUs that unfinished jobs need, and how many of these may not be on spot machines. A task that
// requests much memory counts as the CPUs that such memory comes with. s.mu must be held.
func (s *Scheduler) demand() (all, ordinary float64) {
	memoryPerCPU := 0.0
	for _, machineType := range s.machineTypes {
		memoryPerCPU = math.Max(memoryPerCPU, machineType.MemoryGB/machineType.CPUs)
	}
	for _, job := range s.jobOrder {
		if !job.accepted || job.FinalState != "" || job.waitsForDependencies && !s.dependencies.startsSoon(job) {
			continue
		}
		taskCPUs := job.request.CPUs
		if memoryPerCPU > 0 {
			// Until the catalog is read, memory cannot be converted to CPUs.
			taskCPUs = math.Max(taskCPUs, job.request.MemoryGB/memoryPerCPU)
		}
		tasks := float64(s.demandedTasks(job))
		if team, ok := s.configuration.Team(job.Job.Team); ok && team.CPUsMax > 0 && job.request.CPUs > 0 {
			tasks = math.Min(tasks, team.CPUsMax/job.request.CPUs)
		}
		all += tasks * taskCPUs
		if !job.Job.Spot {
			ordinary += tasks * taskCPUs
		}
	}
	return all, ordinary
}

// supply returns the CPUs of machines that are up or expected to come up, and how many of these are on spot machines.
// s.mu must be held.
func (s *Scheduler) supply() (all, spot float64) {
	for _, machine := range s.machines {
		if machine.Spec == nil || !s.countsAsSupply(machine) {
			continue
		}
		all += machine.Spec.CPUs
		if machine.Spot {
			spot += machine.Spec.CPUs
		}
	}
	return all, spot
}

// countsAsSupply reports whether a machine is up or expected to come up, and stays. s.mu must be held.
func (s *Scheduler) countsAsSupply(machine *machineState) bool {
	return !machine.releasing && machine.PreemptedAt.IsZero() && !s.mayNeverStart(machine) && !s.startupOverdue(machine)
}

// startupOverdue reports whether a machine that is not up yet is unlikely to come up, by how long others took. Others
// are requested in its place while it still has time. s.mu must be held.
func (s *Scheduler) startupOverdue(machine *machineState) bool {
	if machine.Up || !machine.requestedHere || machine.Spec == nil {
		return false
	}
	age := s.since(machine.RequestedAt)
	overdue, othersTook := s.startupTimes.Overdue(machine.Type, machine.RequestedAt, age, settings.Seconds(machine.Spec.BootS))
	if overdue && !machine.faultLogged {
		machine.faultLogged = true
		slog.Info("startup deadline exceeded", "machine", machine.Name, "type", machine.Type,
			"age", age.Round(time.Second), "others_took", othersTook.Round(time.Second))
	}
	return overdue
}

// mayNeverStart reports whether a machine's heartbeats are overdue, or it does not get our commands. It may yet come
// back, but others are requested in the meantime, since they take long to boot. s.mu must be held.
func (s *Scheduler) mayNeverStart(machine *machineState) bool {
	if machine.Up {
		if machine.link.State(s.now(), s.lease()) == reachability.OutboundLost {
			return true
		}
		if !machine.link.AliveThisTerm() && !machine.listed && len(machine.allocations) == 0 {
			return true
		}
		silentSince := latest(machine.LastHeartbeat, s.detector.ResumedAt())
		if s.since(machine.LastHeartbeat) <= settings.Seconds(s.settings.Facts.Workers.LeaseS) {
			silentSince = latest(silentSince, s.detector.PathLostAt(machine.lastPeer))
		}
		return s.since(silentSince) > 2*s.heartbeatTimeout(machine)
	}
	return machine.listedRunning && s.since(s.termStarted) > 2*s.heartbeatTimeout(machine)
}

// longestBootS returns the longest boot time of the catalog's machine types, in seconds. s.mu must be held.
func (s *Scheduler) longestBootS() (bootS float64) {
	for _, machineType := range s.machineTypes {
		bootS = max(bootS, machineType.BootS)
	}
	return bootS
}

// desiredCapacity returns how many CPUs the fleet should have in all, and how many of them on ordinary machines.
// s.mu must be held.
func (s *Scheduler) desiredCapacity() (all, ordinary float64) {
	allDemand, ordinaryDemand := s.demand()
	// No headroom is kept for the guarantee of a team without work: its machines would be idle.
	busyTeams := map[string]bool{}
	for _, job := range s.jobOrder {
		if job.FinalState == "" && !job.waitsForDependencies {
			busyTeams[job.Job.Team] = true
		}
	}
	guaranteed := 0.0
	for _, team := range s.configuration.Teams() {
		if busyTeams[team.Name] {
			guaranteed += team.CPUs
		}
	}
	headroom := s.configuration.Policy.Value(policy.HeadroomCPUs, policy.Vars{"demand_cpus": allDemand, "guaranteed_cpus": guaranteed})
	return allDemand + headroom, tuning.ServiceHeadroom * ordinaryDemand
}

// maxInstanceRequests is how many requests to the cloud are made at once.
const maxInstanceRequests = 2

// InstanceRequests returns what the cloud should be asked for now; nothing while an earlier request is open, or in
// the first two report intervals of a term. It goes on while the state service is out: the requests' idempotency
// keys are this term's own, and the machines will be needed whoever leads.
func (s *Scheduler) InstanceRequests() []api.InstanceRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.loaded || s.instancesRequested > 0 || now.Sub(s.termStarted) < settings.Seconds(2*s.settings.Facts.Workers.ReportS) {
		return nil
	}
	desired, desiredOrdinary := s.desiredCapacity()
	desired = math.Max(desired, s.topologySearchCPUs(now))
	supply, spotSupply := s.supply()
	pools := s.availablePools(now)
	spotShare := s.configuration.Policy.Value(policy.SpotShare, policy.Vars{"demand_cpus": desired})
	requests := s.requestForUnplaceable(pools)
	for _, pool := range pools {
		if len(requests) >= maxInstanceRequests {
			break
		}
		missing := desired - supply
		if !pool.spot {
			missing = math.Max(missing, desiredOrdinary-(supply-spotSupply))
		} else {
			missing = math.Min(missing, spotShare*desired-spotSupply)
		}
		if missing <= 0 {
			continue
		}
		cpus := s.machineTypes[pool.machineType].CPUs
		count := min(tuning.InstanceRequestBatch, int(math.Ceil(missing/cpus)))
		requests = append(requests, s.instanceRequest(pool, count))
		// How many of them will come is not known; the next round sees it.
		supply += float64(count) * cpus
	}
	s.instancesRequested = len(requests)
	return requests
}

// availablePools returns the pools that the cloud has not refused lately, in the order in which they are asked.
// s.mu must be held.
func (s *Scheduler) availablePools(now time.Time) []capacityPool {
	var pools []capacityPool
	for _, machineType := range s.machineTypes {
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				pool := capacityPool{machineType.Name, zone, spot}
				if now.After(s.instanceRefusals[pool]) {
					pools = append(pools, pool)
				}
			}
		}
	}
	cpusInZone := map[string]float64{}
	for _, machine := range s.machines {
		if machine.Spec != nil && !machine.releasing {
			cpusInZone[machine.Zone] += machine.Spec.CPUs
		}
	}
	slices.SortFunc(pools, func(a, b capacityPool) int {
		return cmp.Or(
			// Ordinary machines first: nobody takes them back, and services need them.
			compareBools(a.spot, b.spot),
			cmp.Compare(cpusInZone[a.zone], cpusInZone[b.zone]),
			cmp.Compare(s.machineTypes[a.machineType].BootS, s.machineTypes[b.machineType].BootS),
			cmp.Compare(a.machineType+a.zone, b.machineType+b.zone))
	})
	return pools
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// requestForUnplaceable returns a request for one machine for a job that no machine that is up or coming can ever
// serve, if there is such a job: with enough CPUs in all, none of its type or zone was ever requested.
// s.mu must be held.
func (s *Scheduler) requestForUnplaceable(pools []capacityPool) []api.InstanceRequest {
	var jobs []*api.Submission
	for _, job := range s.jobOrder {
		if job.unplaced() > 0 && s.startableNow(job) && s.withinQuota(job) {
			jobs = append(jobs, &job.Job)
		}
	}
	if len(jobs) == 0 {
		return nil
	}
	kinds := make([]feasibility.Pool, 0, len(pools))
	for _, pool := range pools {
		kinds = append(kinds, feasibility.Pool{Type: s.machineTypes[pool.machineType], Zone: pool.zone, Spot: pool.spot})
	}
	for _, submission := range feasibility.Unplaceable(jobs, s.machinesInUseOrComing()) {
		if kind, ok := feasibility.PoolFor(submission, kinds); ok {
			slog.Info("requesting instance for unplaceable job", "job", submission.ID, "type", kind.Type.Name, "zone", kind.Zone, "spot", kind.Spot)
			return []api.InstanceRequest{s.instanceRequest(capacityPool{kind.Type.Name, kind.Zone, kind.Spot}, 1)}
		}
	}
	return nil
}

// machinesInUseOrComing returns the machines that count as supply, each with what services use of it.
// s.mu must be held.
func (s *Scheduler) machinesInUseOrComing() (machines []feasibility.Machine) {
	for _, machine := range s.machines {
		if !s.countsAsSupply(machine) {
			continue
		}
		known := feasibility.Machine{Spec: machine.Spec, Zone: machine.Zone, Spot: machine.Spot}
		for _, alloc := range machine.allocations {
			if alloc.job.Job.Shape == api.Service {
				known.Used = known.Used.Add(alloc.job.request)
			}
		}
		machines = append(machines, known)
	}
	return machines
}

// instanceRequest returns a request for machines of a pool, with an idempotency key that is never used again.
// s.mu must be held.
func (s *Scheduler) instanceRequest(pool capacityPool, count int) api.InstanceRequest {
	s.lastInstanceRequest++
	return api.InstanceRequest{
		IdempotencyKey: fmt.Sprintf("t%d-%d", s.term, s.lastInstanceRequest),
		Type:           pool.machineType,
		Zone:           pool.zone,
		Spot:           pool.spot,
		Count:          count,
	}
}

// InstancesGranted handles the cloud's answer to a request of InstanceRequests: the names of the machines that it
// granted, or an error. A pool that granted fewer than were asked for is not asked again for a while.
func (s *Scheduler) InstancesGranted(request api.InstanceRequest, names []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instancesRequested--
	if err != nil || len(names) < request.Count {
		s.instanceRefusals[capacityPool{request.Type, request.Zone, request.Spot}] = s.now().Add(tuning.InstanceRefusalPause)
	}
	if err != nil {
		slog.Info("instance request refused", "type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count, "err", err)
		return
	}
	slog.Info("instances granted", "type", request.Type, "zone", request.Zone, "spot", request.Spot, "asked", request.Count, "got", len(names))
	for _, name := range names {
		if _, gone := s.releasedAt[name]; gone {
			continue
		}
		machine := s.machineNamed(name)
		if !machine.Up {
			machine.Type, machine.Zone, machine.Spot, machine.Spec = request.Type, request.Zone, request.Spot, s.machineTypes[request.Type]
			machine.requestedHere = true
			machine.link.MarkStarted()
		}
	}
}
