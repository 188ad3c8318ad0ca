package scheduler

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/failuredetector"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/tuning"
)

// releasedNameRetention is how long the name of a released machine is kept, so that late heartbeats and instance lists
// do not add the machine again.
const releasedNameRetention = 10 * time.Minute

// MaintainFleet drains, removes and releases machines, and stops tasks that exceed a lowered limit of their team. It
// returns the names of the machines that the cloud should release. It returns nil before the records are loaded and
// while this controller is not certain to lead.
func (s *Scheduler) MaintainFleet() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tick(now)
	for _, job := range s.jobOrder {
		s.requireFences(job)
	}
	if !s.loaded || !s.leadership.Leading() {
		s.logKeptCancellations(now)
		return nil
	}
	s.detectPartitions(now)
	released := s.releaseFailedMachines(now)
	s.stopOverLimit()
	for _, alloc := range s.overdueCancellations(now) {
		if !alloc.machine.releasing {
			released = append(released, alloc.machine.markReleasing("holds a cancelled task"))
		}
	}
	released = append(released, s.releaseIdleMachine(now)...)
	s.storeImageHints(now)
	s.storeReplicaHints(now)
	s.finishRemovals()
	if now.Sub(s.fleetLoggedAt) >= tuning.FleetLogInterval {
		s.fleetLoggedAt = now
		s.logDatasets()
		s.logFleet()
		s.releaseStats.log(s.term, s.fencing)
	}
	maps.DeleteFunc(s.releasedAt, func(_ string, at time.Time) bool { return now.Sub(at) > releasedNameRetention })
	return released
}

// markReleasing marks a machine as one that the cloud should release, and returns its name. The cloud's confirmation of
// the release proves that the tasks on the machine have ended.
func (m *machineState) markReleasing(reason string) string {
	slog.Info("releasing machine", "machine", m.Name, "why", reason, "tasks", len(m.allocations))
	m.releasing = true
	return m.Name
}

// releaseFailedMachines takes the action that the failure detector decided for each machine, and returns the names of
// the machines to release. The eviction budget bounds how many machines with overdue heartbeats are among them. s.mu
// must be held.
func (s *Scheduler) releaseFailedMachines(now time.Time) (released []string) {
	reasons := map[string]string{}
	var overdue []failuredetector.Candidate
	for _, machine := range s.sortedMachines() {
		if machine.releasing {
			continue
		}
		switch action, reason := s.decideMachine(machine, now); action {
		case failuredetector.Release:
			released = append(released, machine.markReleasing(reason))
		case failuredetector.ReleaseWithinBudget:
			reasons[machine.Name] = reason
			overdue = append(overdue, failuredetector.Candidate{Name: machine.Name, Zone: machine.Zone, Tasks: len(machine.allocations)})
		case failuredetector.Drain:
			until := machine.PreemptedAt
			if until.IsZero() {
				until, reason = machine.LastHeartbeat.Add(s.lease()), "machine reaches no controller"
			}
			s.drain(machine, until, cmp.Or(reason, "preemption notice"))
		case failuredetector.Forget:
			slog.Info("machine forgotten", "machine", machine.Name, "why", reason)
			s.forgetMachine(machine)
		}
	}
	s.probeUnconfirmed(now)
	for _, eviction := range s.evictionBudget.Spend(now, overdue, s.detector.SilentShare) {
		for _, name := range eviction.Release {
			released = append(released, s.machines[name].markReleasing(reasons[name]))
		}
		if eviction.Deferred > 0 && now.Sub(s.deferralLoggedAt) >= tuning.EvictionLogInterval {
			s.deferralLoggedAt = now
			slog.Info("deferring release of silent machines", "zone", eviction.Zone, "silent_share", math.Round(100*eviction.SilentShare)/100,
				"machines", eviction.Machines, "left", eviction.Deferred, "tasks_that_wait_for_them", eviction.DeferredTasks, "returned", len(eviction.Release))
		}
	}
	return released
}

// logFleet logs how many CPUs of the machines that are up are used by tasks that are running, starting (including
// fetches) and stopping, and how many CPUs waiting jobs need. s.mu must be held.
func (s *Scheduler) logFleet() {
	var cpus, running, starting, stopping float64
	machines := 0
	for _, machine := range s.machines {
		if !machine.Up || machine.Spec == nil || machine.releasing {
			continue
		}
		machines++
		cpus += machine.Spec.CPUs
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
		if n := job.unplaced(); n > 0 && job.FinalState == "" {
			jobs++
			waiting += float64(n) * job.request.CPUs
			s.logPassedOver(job)
		}
	}
	slog.Info("fleet", "machines", machines, "cpus", cpus, "running", running, "starting", starting, "stopping", stopping,
		"waiting_jobs", jobs, "waiting_cpus", waiting)
}

// logPassedOver logs, once for each job, that the job has waited longer than tuning.PassedOverLogDelay although a
// machine has free resources for one of its tasks. Users expect that no job waits 90 s in this way. s.mu must be held.
func (s *Scheduler) logPassedOver(job *jobState) {
	waitingSince := latest(latest(job.waitingSince, job.lastStart), s.termStarted)
	if job.passedOverLogged || s.since(waitingSince) <= tuning.PassedOverLogDelay || !s.withinQuota(job) {
		return
	}
	fits := func(machine *machineState) bool {
		return machine.Up && !machine.releasing && machine.Spec != nil &&
			satisfiesConstraints(job, machine) && machine.free().Fits(job.request)
	}
	if !slices.ContainsFunc(s.sortedMachines(), fits) {
		return
	}
	job.passedOverLogged = true
	slog.Warn("job waits despite free resources", "job", job.id, "class", job.Job.Class,
		"waited", s.since(waitingSince).Round(time.Second), "why", s.waitReasons(job))
}

// drain stops the tasks of a machine that is about to be preempted or whose lease is about to expire: tasks with
// checkpoints early enough to save their state, the others at once unless they are expected to complete in time.
// s.mu must be held.
func (s *Scheduler) drain(machine *machineState, until time.Time, reason string) {
	secondsLeft := until.Sub(s.now()).Seconds()
	for _, alloc := range machine.allocations {
		if alloc.stopping || !alloc.reported {
			continue
		}
		submission := &alloc.job.Job
		ranSeconds := 0.0
		if !alloc.runningSince.IsZero() {
			ranSeconds = s.since(alloc.runningSince).Seconds()
		}
		completes := submission.Shape == api.JobArray && estimate(alloc.job)-ranSeconds < secondsLeft
		switch {
		case submission.CheckpointS > 0 && secondsLeft < submission.SaveS+2*tuning.PreemptionNoticeMarginS+s.settings.Facts.Workers.HeartbeatIntervalS:
			s.stopTask(alloc, submission.SaveS, reason)
		case submission.CheckpointS == 0 && !completes:
			s.stopTask(alloc, 0, reason)
		}
	}
}

// releaseIdleMachine marks at most one machine for release and returns its name: one that has been idle for the time
// that the policy sets and that the desired capacity does not need. s.mu must be held.
func (s *Scheduler) releaseIdleMachine(now time.Time) []string {
	desired, desiredOrdinary := s.desiredCapacity()
	supply, spotSupply := s.supply()
	for _, machine := range s.sortedMachines() {
		if !s.schedulable(machine) || len(machine.allocations) > 0 || len(machine.queues) > 0 {
			continue
		}
		keep := settings.Seconds(s.configuration.Policy.Value(policy.IdleKeepS, policy.Vars{"boot_s": machine.Spec.BootS}))
		if now.Sub(machine.idleSince) < keep || supply-machine.Spec.CPUs < desired {
			continue
		}
		if !machine.Spot && supply-spotSupply-machine.Spec.CPUs < desiredOrdinary {
			continue
		}
		slog.Info("releasing machine", "machine", machine.Name, "why", "idle")
		machine.releasing = true
		return []string{machine.Name}
	}
	return nil
}

// forgetMachine removes a machine that no longer exists, and makes its queued tasks pending again. The machine must
// have no allocations. s.mu must be held.
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

// Addresses returns the addresses, by machine name, of machines that have not sent a heartbeat yet in this term.
func (s *Scheduler) Addresses() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := map[string]string{}
	for _, machine := range s.machines {
		if !machine.Up && machine.Address != "" && !machine.releasing {
			addresses[machine.Name] = machine.Address
		}
	}
	return addresses
}

// InstancesReleased handles the cloud's response to a release. If err is nil, the machines and all tasks on them no
// longer exist, so the tasks may run elsewhere; otherwise the release of the machines may be requested again.
func (s *Scheduler) InstancesReleased(names []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		machine := s.machines[name]
		if machine == nil {
			continue
		}
		if err != nil {
			machine.releasing = false
			continue
		}
		s.releasedAt[name] = s.now()
		for _, alloc := range machine.allocations {
			s.releaseAndRequeue(alloc, proofMachineReleased)
		}
		s.forgetMachine(machine)
	}
	s.wakePlacer()
}

// ApplyInstanceList adds and updates the machines that the cloud lists. The list lags behind, so a machine that is
// missing from it may still exist and is kept.
func (s *Scheduler) ApplyInstanceList(list []api.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, instance := range list {
		if _, released := s.releasedAt[instance.Name]; released {
			continue
		}
		_, known := s.machines[instance.Name]
		machine := s.getOrAddMachine(instance.Name)
		if !known {
			machine.RequestedAt = now.Add(-settings.Seconds(instance.AgeS))
			slog.Info("machine listed", "machine", instance.Name, "type", instance.Type, "zone", instance.Zone, "state", instance.State)
		}
		machine.listed = true
		if !machine.Up {
			if instance.State == "booting" && now.Sub(s.termStarted) > settings.Seconds(tuning.MaxListLagFactor*s.settings.Facts.Cloud.ListLagS) {
				machine.link.MarkStarted()
			}
			machine.listedRunning = instance.State == "running"
			machine.Address = instance.Address
			machine.Type, machine.Spec = instance.Type, s.machineTypes[instance.Type]
			machine.Zone, machine.Spot = instance.Zone, instance.Spot
		}
		if instance.State == "failed" && !machine.releasing {
			machine.Up, machine.listedFailed = false, true
		}
	}
}
