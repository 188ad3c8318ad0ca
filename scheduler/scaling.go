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

// capacityPool identifies a kind of machine that can be requested from the cloud: a machine type in a zone, spot or
// not.
type capacityPool struct {
	machineType, zone string
	spot              bool
}

// demand returns the number of CPUs that unfinished jobs need, and how many of these must not be on spot machines. A
// task whose memory request is large for its CPUs counts as the number of CPUs that come with that memory. s.mu must be
// held.
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
			// Memory cannot be converted to CPUs before the catalog is read.
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

// supply returns the number of CPUs of machines that count as supply, and how many of these are on spot machines.
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

// countsAsSupply reports whether a machine is up or expected to come up, and is neither being released nor preempted.
// s.mu must be held.
func (s *Scheduler) countsAsSupply(machine *machineState) bool {
	return !machine.releasing && machine.PreemptedAt.IsZero() && !s.presumedUnavailable(machine) && !s.startupOverdue(machine)
}

// startupOverdue reports whether a machine that is not up yet is unlikely to come up, judged by the startup times of
// other machines. Replacements are requested before the machine's own startup deadline has passed. s.mu must be held.
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

// presumedUnavailable reports whether a machine's heartbeats are overdue, it does not receive commands, or it is known
// only from heartbeats that may be old copies. The machine may recover, but replacements are requested in the meantime
// because they take long to boot. s.mu must be held.
func (s *Scheduler) presumedUnavailable(machine *machineState) bool {
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

// longestBootS returns the longest boot time of all machine types in the catalog, in seconds. s.mu must be held.
func (s *Scheduler) longestBootS() (bootS float64) {
	for _, machineType := range s.machineTypes {
		bootS = max(bootS, machineType.BootS)
	}
	return bootS
}

// desiredCapacity returns how many CPUs the fleet should have in total, and how many of them on machines that are not
// spot. s.mu must be held.
func (s *Scheduler) desiredCapacity() (all, ordinary float64) {
	allDemand, ordinaryDemand := s.demand()
	// Guarantees of teams without unfinished jobs get no headroom, because the machines for it would be idle.
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

// maxInstanceRequests is the maximum number of instance requests that are sent to the cloud at the same time.
const maxInstanceRequests = 2

// InstanceRequests returns the instance requests to send to the cloud now. It returns none while an earlier request is
// open, and during the first two heartbeat intervals of a term. It keeps requesting during an outage of the state
// service: the idempotency keys are unique to this term, and the machines are needed whichever controller leads. The
// caller must pass the result of each request to InstancesGranted.
func (s *Scheduler) InstanceRequests() []api.InstanceRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.loaded || s.instancesRequested > 0 || now.Sub(s.termStarted) < settings.Seconds(2*s.settings.Facts.Workers.HeartbeatIntervalS) {
		return nil
	}
	desired, desiredOrdinary := s.desiredCapacity()
	desired = math.Max(desired, s.topologyTargetCPUs(now))
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
		count := min(tuning.MaxMachinesPerRental, int(math.Ceil(missing/cpus)))
		requests = append(requests, s.instanceRequest(pool, count))
		// The cloud may grant fewer; the next round takes that into account.
		supply += float64(count) * cpus
	}
	s.instancesRequested = len(requests)
	return requests
}

// availablePools returns the pools that the cloud has not refused recently, in the order in which to request from them.
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
			// Machines that are not spot come first: the cloud does not preempt them, and services need them.
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

// requestForUnplaceable returns a request for one machine if there is a job that no machine in use or expected can ever
// run. The total number of CPUs may be sufficient in this case, so that no machine of the type or zone that the job
// needs would be requested otherwise. s.mu must be held.
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
	for _, submission := range feasibility.Unplaceable(jobs, s.supplyMachines()) {
		if kind, ok := feasibility.PoolFor(submission, kinds); ok {
			slog.Info("requesting instance for unplaceable job", "job", submission.ID, "type", kind.Type.Name, "zone", kind.Zone, "spot", kind.Spot)
			return []api.InstanceRequest{s.instanceRequest(capacityPool{kind.Type.Name, kind.Zone, kind.Spot}, 1)}
		}
	}
	return nil
}

// supplyMachines returns the machines that count as supply, each with the resources that services use on it.
// s.mu must be held.
func (s *Scheduler) supplyMachines() (machines []feasibility.Machine) {
	for _, machine := range s.machines {
		if !s.countsAsSupply(machine) {
			continue
		}
		supplied := feasibility.Machine{Spec: machine.Spec, Zone: machine.Zone, Spot: machine.Spot}
		for _, alloc := range machine.allocations {
			if alloc.job.Job.Shape == api.Service {
				supplied.UsedByServices = supplied.UsedByServices.Add(alloc.job.request)
			}
		}
		machines = append(machines, supplied)
	}
	return machines
}

// instanceRequest returns a request for machines of a pool, with an idempotency key that no other request uses.
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

// InstancesGranted handles the cloud's response to a request from InstanceRequests: the names of the granted machines,
// or an error. After an error or fewer machines than requested, the pool is not requested from for
// tuning.InstanceRefusalPause.
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
		if _, released := s.releasedAt[name]; released {
			continue
		}
		machine := s.getOrAddMachine(name)
		if !machine.Up {
			machine.Type, machine.Zone, machine.Spot, machine.Spec = request.Type, request.Zone, request.Spot, s.machineTypes[request.Type]
			machine.requestedHere = true
			machine.link.MarkStarted()
		}
	}
}
