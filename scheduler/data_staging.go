package scheduler

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"

	"switchferry/api"
	"switchferry/features"
	"switchferry/staging"
	"switchferry/tuning"
)

// stagingDemand is a task whose inputs should be staged on a machine.
type stagingDemand struct {
	// jobPosition is the index of the job in Scheduler.jobOrder, or allocatedPosition for an allocated task.
	jobPosition int
	job         *jobState
	machine     *machineState
	task        int
}

// allocatedPosition sorts before every job, because the inputs of an allocated task must not be evicted.
const allocatedPosition = -1

// planStaging plans which dataset parts are copied to which machines after a placement round, and sends the staging
// orders that changed. Inputs of allocated tasks come first, because they must not be evicted. Then follow, in the
// order of the jobs, the inputs of queued tasks for which a machine has free resources, and of a limited number of
// queued tasks beyond these. s.mu must be held.
func (s *Scheduler) planStaging() {
	datasets := s.datasets
	if datasets == nil {
		return
	}
	clear(datasets.waiting)
	if !s.anyJobHasInputs() && datasets.planner.Idle() {
		// No job has inputs and no copy is in progress.
		return
	}
	now := s.now()
	positions := make(map[*jobState]int, len(s.jobOrder))
	for i, job := range s.jobOrder {
		positions[job] = i
	}
	demands := slices.Concat(s.queuedStagingDemands(positions), s.assignedStagingDemands(positions))
	slices.SortStableFunc(demands, func(a, b stagingDemand) int {
		return cmp.Or(cmp.Compare(a.jobPosition, b.jobPosition), strings.Compare(a.machine.Name, b.machine.Name), cmp.Compare(a.task, b.task))
	})
	for _, name := range datasets.planner.Plan(partDemands(demands), now) {
		if datasets.relayedOrders[name] != nil {
			s.relayStageOrder(name)
			continue
		}
		if order, addr, ok := datasets.planner.Order(name); ok {
			s.sender.SendStageOrder(name, addr, order)
		}
	}
}

// queuedStagingDemands returns the queued tasks for which their machines have free resources, and on each machine as
// many further tasks as the setting AheadTasks allows. It also counts the queued tasks that wait for inputs, in
// datasetState.waiting. s.mu must be held.
func (s *Scheduler) queuedStagingDemands(positions map[*jobState]int) (demands []stagingDemand) {
	ahead := s.datasets.settings.AheadTasks
	if s.datasets.settings.Placement != features.PlacementStaged {
		ahead = 0
	}
	for _, machine := range s.sortedMachines() {
		free, aheadRemaining := machine.free(), ahead
		for _, queue := range machine.queues {
			if len(queue.job.inputs) == 0 {
				free = free.Sub(queue.job.request.Scale(len(queue.tasks)))
				continue
			}
			for _, task := range queue.tasks {
				if !s.inputsStaged(queue.job, int(task), machine) {
					s.datasets.waiting[queue.job.id]++
				}
				if free.Fits(queue.job.request) {
					free = free.Sub(queue.job.request)
				} else if aheadRemaining--; aheadRemaining < 0 {
					continue
				}
				demands = append(demands, stagingDemand{positions[queue.job], queue.job, machine, int(task)})
			}
		}
	}
	return demands
}

// assignedStagingDemands returns the allocated tasks of jobs with inputs, and the tasks of services and gangs whose
// inputs are being copied to an intended machine. It removes the intended machines of tasks that are allocated,
// completed or part of a job in a terminal state, and counts the remaining tasks as waiting. s.mu must be held.
func (s *Scheduler) assignedStagingDemands(positions map[*jobState]int) (demands []stagingDemand) {
	for _, job := range s.jobOrder {
		if len(job.inputs) == 0 {
			continue
		}
		for _, alloc := range job.allocations {
			demands = append(demands, stagingDemand{allocatedPosition, job, alloc.machine, alloc.task})
		}
		for task, machine := range job.intendedMachines {
			if job.FinalState != "" || job.allocations[task] != nil || job.completed.Has(task) {
				delete(job.intendedMachines, task)
				continue
			}
			s.datasets.waiting[job.id]++
			demands = append(demands, stagingDemand{positions[job], job, machine, task})
		}
	}
	return demands
}

// partDemands returns the dataset parts that the tasks need, in the order of the tasks. For an input with one part per
// task, that is the task's own part; for any other input it is every part, listed once per machine.
func partDemands(demands []stagingDemand) (parts []staging.Demand) {
	type wholeDataset struct {
		machine *machineState
		name    string
	}
	seen := map[wholeDataset]bool{}
	for _, demand := range demands {
		for _, jobInput := range demand.job.inputs {
			whole := wholeDataset{demand.machine, jobInput.name}
			switch {
			case jobInput.summary == nil:
			case jobInput.partPerTask:
				parts = append(parts, staging.Demand{Machine: demand.machine.Name, Dataset: jobInput.summary, Part: demand.task})
			case !seen[whole]:
				seen[whole] = true
				for part := range jobInput.summary.PartCount {
					parts = append(parts, staging.Demand{Machine: demand.machine.Name, Dataset: jobInput.summary, Part: part})
				}
			}
		}
	}
	return parts
}

// anyJobHasInputs reports whether any job has inputs. s.mu must be held.
func (s *Scheduler) anyJobHasInputs() bool {
	return slices.ContainsFunc(s.jobOrder, func(job *jobState) bool { return len(job.inputs) > 0 })
}

// requeueStuckStaging requeues the tasks of machines that cannot receive inputs, because the data agent is silent or the
// cache has been full of pinned parts for too long. The jobs avoid such a machine for tuning.BackoffMax.
// s.mu must be held.
func (s *Scheduler) requeueStuckStaging() {
	if !s.anyJobHasInputs() {
		return
	}
	for _, machine := range s.sortedMachines() {
		agentSilent, cacheFull := s.stagingStuck(machine)
		if !agentSilent && !cacheFull {
			continue
		}
		for _, queue := range machine.queues {
			if len(queue.job.inputs) == 0 || len(queue.tasks) == 0 {
				continue
			}
			slog.Info("staging stuck, requeueing tasks", "machine", machine.Name, "job", queue.job.id, "tasks", len(queue.tasks),
				"agent_silent", agentSilent, "cache_full", cacheFull)
			queue.returnTasks()
			queue.job.avoidUntil[machine.Name] = s.now().Add(tuning.BackoffMax)
		}
		machine.dropEmptyQueues()
		delete(s.datasets.stuckSince, machine.Name)
	}
}

// stagingStuck reports whether a machine's agent is silent, and whether its cache has been full for longer than
// tuning.StageMoveDelay. It records in datasetState.stuckSince when the cache became full. s.mu must be held.
func (s *Scheduler) stagingStuck(machine *machineState) (agentSilent, cacheFull bool) {
	datasets := s.datasets
	if !datasets.planner.CacheFull(machine.Name) {
		delete(datasets.stuckSince, machine.Name)
	} else if datasets.stuckSince[machine.Name].IsZero() {
		datasets.stuckSince[machine.Name] = s.now()
	}
	since := datasets.stuckSince[machine.Name]
	agentSilent = !datasets.planner.Alive(machine.Name, s.now(), tuning.StageSilenceTimeout)
	cacheFull = !since.IsZero() && s.since(since) > tuning.StageMoveDelay
	return agentSilent, cacheFull
}

// takeStaged removes the first task of a job whose inputs are staged on a machine from the job's queue there and returns
// it, or -1 if there is none. Preemption uses it, so that nothing is preempted for a task that would still wait for its
// inputs. s.mu must be held.
func (s *Scheduler) takeStaged(job *jobState, machine *machineState) int {
	if queue, i := s.firstStaged(job, machine); i >= 0 {
		return queue.removeAt(i)
	}
	return -1
}

// firstStaged returns a job's queue on a machine and the index of the first task whose inputs are staged there. The
// index is -1 if there is none. s.mu must be held.
func (s *Scheduler) firstStaged(job *jobState, machine *machineState) (*runQueue, int) {
	for _, queue := range machine.queues {
		if queue.job == job {
			return queue, s.nextTask(queue, machine)
		}
	}
	return nil, -1
}

// hasStaged reports whether a task of a job is queued on a machine with its inputs staged. s.mu must be held.
func (s *Scheduler) hasStaged(job *jobState, machine *machineState) bool {
	_, i := s.firstStaged(job, machine)
	return i >= 0
}

// intendedMachine returns the machine to which the inputs of a task of a service or gang are being copied. It returns
// nil if there is none, or if the task may no longer be placed there; it then removes the entry. s.mu must be held.
func (s *Scheduler) intendedMachine(job *jobState, task int) *machineState {
	machine := job.intendedMachines[task]
	if machine == nil || s.machines[machine.Name] != machine || !s.mayPlace(job, machine) {
		delete(job.intendedMachines, task)
		return nil
	}
	return machine
}

// setIntendedMachine records the machine to which the inputs of a task are to be copied. s.mu must be held.
func (j *jobState) setIntendedMachine(task int, machine *machineState) {
	if j.intendedMachines == nil {
		j.intendedMachines = map[int]*machineState{}
	}
	j.intendedMachines[task] = machine
}

// HandleStageHeartbeat applies a data agent's heartbeat and returns the staging order for the agent. It returns deposed
// if the agent has seen a higher term, and refused if the agent's machine was released or datasets are off. The order is
// empty in both cases.
func (s *Scheduler) HandleStageHeartbeat(heartbeat *api.StageHeartbeat) (order api.StageOrder, deposed, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if heartbeat.Term > s.term {
		return order, true, false
	}
	if _, released := s.releasedAt[heartbeat.Machine]; released || s.datasets == nil {
		return order, false, true
	}
	if s.datasets.planner.ApplyHeartbeat(heartbeat, s.now()) {
		s.stopRelayingOrders(heartbeat.Machine)
		s.wakePlacer()
	}
	order, _, ok := s.datasets.planner.Order(heartbeat.Machine)
	if !ok || !s.loaded || !s.leadership.Leading() {
		// There is no order, the records are not loaded or this controller does not lead, so nothing may be evicted. An
		// order with sequence number 0 changes nothing.
		order = api.StageOrder{Term: heartbeat.Term, Sets: []api.StageSet{}}
	}
	return order, false, false
}
