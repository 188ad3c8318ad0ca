package controller

import (
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

// capacityPool is one kind of machine that the cloud rents.
type capacityPool struct {
	machineType, zone string
	spot              bool
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

// startupOverdue tells whether a machine that is not up yet more likely never will be: others are rented instead, while it
// still has its time.
func (s *Scheduler) startupOverdue(machine *machineState) bool {
	if machine.Up || !machine.requestedHere || machine.Spec == nil {
		return false
	}
	age := s.since(machine.RequestedAt)
	late, others := s.startupTimes.Overdue(machine.Type, machine.RequestedAt, age, settings.Seconds(machine.Spec.BootS))
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
		if s.since(machine.LastHeartbeat) <= settings.Seconds(s.settings.Facts.Workers.LeaseS) {
			heard = latest(heard, s.detector.PathLostAt(machine.lastPeer))
		}
		return s.since(heard) > 2*s.heartbeatTimeout(machine)
	}
	return machine.listedRunning && s.since(s.termStarted) > 2*s.heartbeatTimeout(machine)
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
	if !c.loaded || c.instancesRequested > 0 || now.Sub(c.termStarted) < settings.Seconds(2*c.settings.Facts.Workers.ReportS) {
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
		if d := c.machineTypes[a.machineType].BootS - c.machineTypes[b.machineType].BootS; d != 0 {
			return int(math.Copysign(1, d))
		}
		if a.machineType+a.zone < b.machineType+b.zone {
			return -1
		}
		return 1
	})
	spotShare := c.configuration.Policy.Value(policy.SpotShare, policy.Vars{"demand_cpus": want})
	out := c.requestForUnplaceable(pools)
	for _, p := range pools {
		t := c.machineTypes[p.machineType]
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
		kinds = append(kinds, feasibility.Pool{Type: s.machineTypes[p.machineType], Zone: p.zone, Spot: p.spot})
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
	return api.InstanceRequest{IdempotencyKey: fmt.Sprintf("t%d-%d", s.term, s.lastInstanceRequest), Type: p.machineType, Zone: p.zone, Spot: p.spot, Count: count}
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
