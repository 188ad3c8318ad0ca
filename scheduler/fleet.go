package scheduler

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/failuredetector"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/tuning"
)

// MaintainFleet looks after machines: it returns the names to give back.
func (s *Scheduler) MaintainFleet() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tick(now)
	if !s.loaded || !s.leadership.Leading() {
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
		if v.Deferred > 0 && now.Sub(s.deferralLoggedAt) >= tuning.EvictionLogEvery {
			s.deferralLoggedAt = now
			slog.Info("many machines of a zone are silent; most are left for now", "zone", v.Zone, "silent_share", math.Round(100*v.SilentShare)/100,
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
			if since := latest(latest(job.waitingSince, job.lastStart), s.termStarted); !job.passedOverLogged && s.since(since) > tuning.PassedOverAfter && s.withinQuota(job) && slices.ContainsFunc(s.sortedMachines(), func(machine *machineState) bool {
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
		case j.Checkpoint > 0 && left < j.SaveS+2*tuning.PreemptionNoticeSlack+s.settings.Facts.Workers.ReportS:
			s.stopTask(alloc, j.SaveS, why)
		case j.Checkpoint == 0 && !finishes:
			s.stopTask(alloc, 0, why)
		}
	}
}

// idleMachines finds a machine that is plainly idle.
func (s *Scheduler) idleMachines(now time.Time) []string {
	want, ordWant := s.desiredCapacity()
	all, spot := s.supply()
	for _, machine := range s.sortedMachines() {
		if !s.schedulable(machine) || len(machine.allocations) > 0 || len(machine.queues) > 0 {
			continue
		}
		keep := settings.Seconds(s.configuration.Policy.Value(policy.IdleKeepS, policy.Vars{"boot_s": machine.Spec.BootS}))
		if now.Sub(machine.idleSince) < keep || all-machine.Spec.CPUs < want || !machine.Spot && all-spot-machine.Spec.CPUs < ordWant {
			continue
		}
		slog.Info("returning machine", "machine", machine.Name, "why", "idle")
		machine.releasing = true
		return []string{machine.Name}
	}
	return nil
}

// forgetMachine takes a machine that is gone, with all on it, off the lists.
func (s *Scheduler) forgetMachine(machine *machineState) {
	for _, queue := range machine.queues {
		queue.returnTasks()
	}
	s.stopRelayingCommands(machine)
	delete(s.machines, machine.Name)
	s.removeFromTopology(machine.Name)
	if s.datasets != nil {
		s.stopRelayingOrders(machine.Name)
		s.datasets.planner.RemoveMachine(machine.Name)
	}
	s.machinesByName = nil
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
			machine.RequestedAt = now.Add(-settings.Seconds(l.AgeS))
			slog.Info("machine listed", "machine", l.Name, "type", l.Type, "zone", l.Zone, "state", l.State)
		}
		machine.listed = true
		if !machine.Up {
			if l.State == "booting" && now.Sub(s.termStarted) > settings.Seconds(tuning.ListLagMost*s.settings.Facts.Cloud.ListLagS) {
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
