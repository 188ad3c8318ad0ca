package controller

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

// planStaging decides what is to be copied, after a round of the placer, and sends out the
// orders that changed. First stands what runs, which must stay where it is; then, job by
// job in the order of the queues, tasks that a machine has room for, and some more.
func (s *Scheduler) planStaging() {
	d := s.datasets
	if d == nil {
		return
	}
	if !s.demandsData() && d.planner.Idle() {
		// Most rounds of a fleet whose jobs have no inputs end here.
		clear(d.waiting)
		return
	}
	now := s.now()
	position := map[*jobState]int{}
	for i, job := range s.jobOrder {
		position[job] = i
	}
	type wanted struct {
		at   int
		j    *jobState
		m    *machineState
		task int
	}
	var list []wanted
	clear(d.waiting)
	for _, machine := range s.sortedMachines() {
		free, ahead := machine.free(), d.settings.Ahead
		if d.settings.Placement != features.Staged {
			ahead = 0
		}
		for _, queue := range machine.queues {
			if len(queue.job.inputs) == 0 {
				free = free.Sub(queue.job.request.Scale(len(queue.tasks)))
				continue
			}
			for _, t := range queue.tasks {
				if !s.inputsStaged(queue.job, int(t), machine) {
					d.waiting[queue.job.id]++
				}
				if free.Fits(queue.job.request) {
					free = free.Sub(queue.job.request)
				} else if ahead--; ahead < 0 {
					continue
				}
				list = append(list, wanted{position[queue.job], queue.job, machine, int(t)})
			}
		}
	}
	for _, job := range s.jobOrder {
		if len(job.inputs) == 0 {
			continue
		}
		for _, alloc := range job.allocations {
			list = append(list, wanted{-1, job, alloc.machine, alloc.task})
		}
		for task, machine := range job.intendedMachines {
			if job.FinalState != "" || job.allocations[task] != nil || job.completed.Has(task) {
				delete(job.intendedMachines, task)
				continue
			}
			d.waiting[job.id]++
			list = append(list, wanted{position[job], job, machine, task})
		}
	}
	slices.SortStableFunc(list, func(a, b wanted) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.m.Name, b.m.Name), cmp.Compare(a.task, b.task))
	})
	var wants []staging.Demand
	type whole struct {
		m   *machineState
		set string
	}
	seen := map[whole]bool{}
	for _, x := range list {
		for _, in := range x.j.inputs {
			switch {
			case in.summary == nil:
			case in.partPerTask:
				wants = append(wants, staging.Demand{Machine: x.m.Name, Set: in.summary, Part: x.task})
			case !seen[whole{x.m, in.name}]:
				seen[whole{x.m, in.name}] = true
				for k := range in.summary.Parts {
					wants = append(wants, staging.Demand{Machine: x.m.Name, Set: in.summary, Part: k})
				}
			}
		}
	}
	for _, name := range d.planner.Plan(wants, now) {
		if d.relayedReports[name] != nil {
			s.relayStageOrder(name)
			continue
		}
		if o, addr, ok := d.planner.Order(name); ok {
			s.hooks.SendStageOrder(name, addr, o)
		}
	}
}

// demandsData tells whether any job here has inputs.
func (s *Scheduler) demandsData() bool {
	return slices.ContainsFunc(s.jobOrder, func(job *jobState) bool { return len(job.inputs) > 0 })
}

// retryStuckStaging takes tasks back from machines that cannot get their inputs: the agent is
// silent, or the cache has been full for long of what must be kept.
func (s *Scheduler) retryStuckStaging() {
	d := s.datasets
	if !s.demandsData() {
		return
	}
	for _, machine := range s.sortedMachines() {
		if !d.planner.Full(machine.Name) {
			delete(d.stuckSince, machine.Name)
		} else if d.stuckSince[machine.Name].IsZero() {
			d.stuckSince[machine.Name] = s.now()
		}
		silent := !d.planner.Alive(machine.Name, s.now(), tuning.StageSilent)
		full := !d.stuckSince[machine.Name].IsZero() && s.since(d.stuckSince[machine.Name]) > tuning.StageMove
		if !silent && !full {
			continue
		}
		for _, queue := range machine.queues {
			if len(queue.job.inputs) == 0 || len(queue.tasks) == 0 {
				continue
			}
			slog.Info("inputs do not come", "machine", machine.Name, "job", queue.job.id, "tasks", len(queue.tasks), "agent_silent", silent, "cache_full", full)
			queue.returnTasks()
			queue.job.avoidUntil[machine.Name] = s.now().Add(tuning.BackoffMax)
		}
		machine.dropEmptyQueues()
		delete(d.stuckSince, machine.Name)
	}
}

// takeStaged takes a task of the job that could start on a machine out of that machine's
// queue; -1: none. Nothing is stopped to make room for a task that would only wait there.
func (s *Scheduler) takeStaged(job *jobState, machine *machineState) int {
	if queue, i := s.firstStaged(job, machine); i >= 0 {
		return queue.removeAt(i)
	}
	return -1
}

// firstStaged is where in a machine's queue the first task of the job stands that could start
// there; -1: nowhere.
func (s *Scheduler) firstStaged(job *jobState, machine *machineState) (*runQueue, int) {
	for _, queue := range machine.queues {
		if queue.job == job {
			return queue, s.nextTask(queue, machine)
		}
	}
	return nil, -1
}

func (s *Scheduler) hasStaged(job *jobState, machine *machineState) bool {
	_, i := s.firstStaged(job, machine)
	return i >= 0
}

// intendedMachine is the machine that a replica or a gang's task waits for, while its inputs are
// copied there.
func (s *Scheduler) intendedMachine(job *jobState, task int) *machineState {
	machine := job.intendedMachines[task]
	if machine == nil || s.machines[machine.Name] != machine || !s.eligible(job, machine) || !s.mayStage(job, machine) || !satisfiesSpread(job, machine) {
		delete(job.intendedMachines, task)
		return nil
	}
	return machine
}

func (j *jobState) setIntendedMachine(task int, machine *machineState) {
	if j.intendedMachines == nil {
		j.intendedMachines = map[int]*machineState{}
	}
	j.intendedMachines[task] = machine
}

// HandleStageHeartbeat takes in an agent's report and gives its order. Deposed: the agent has seen a
// higher term. ConnectionRefused: its machine was returned.
func (s *Scheduler) HandleStageHeartbeat(r *api.StageHeartbeat) (o api.StageOrder, deposed, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Term > s.term {
		return o, true, false
	}
	if _, gone := s.releasedAt[r.Machine]; gone || s.datasets == nil {
		return o, false, true
	}
	if s.datasets.planner.ApplyHeartbeat(r, s.now()) {
		s.agentReachedDirectly(r.Machine)
		s.wakePlacer()
	}
	o, _, ok := s.datasets.planner.Order(r.Machine)
	if !ok || !s.loaded || !s.hooks.Leading() {
		// What runs there is not known yet, or we may not lead: nothing may be let go. An
		// order of number 0 changes nothing.
		o = api.StageOrder{Term: r.Term, Sets: []api.StageSet{}}
	}
	return o, false, false
}
