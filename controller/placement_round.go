package controller

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/placement"
	"switchferry/policy"
	"switchferry/tuning"
)

// Place gives work to machines. It is the only place where tasks get one.
func (s *Scheduler) Place() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick(s.now())
	if !s.loaded || !s.hooks.Leading() {
		return
	}
	s.roundTime = s.clock.Now()
	defer func() { s.roundTime = time.Time{} }()
	s.sortQueues()
	s.quotas.Reserve(s.roundTime, quotaDemands(s.jobOrder, s.configuration.Limit, s.usage, s.startableNow))
	for _, machine := range s.machines {
		if len(machine.queues) > 0 && !s.schedulable(machine) {
			for _, queue := range machine.queues {
				queue.returnTasks()
			}
			machine.queues = nil
		}
	}
	if s.datasets != nil {
		s.datasets.snapshot = s.datasets.index.Snapshot()
		s.retryStuckStaging()
		defer s.planStaging()
	}
	s.refreshTopology()
	s.reserveForStarved()
	for _, job := range s.jobOrder {
		if len(job.pending) == 0 || !s.startableNow(job) || !s.chooseDomain(job) {
			continue
		}
		switch {
		case job.Job.Shape == api.Service:
			s.placeService(job)
		case job.Job.Shape == api.Gang:
			s.placeGang(job)
		case s.withinQuota(job) && len(job.inputs) > 0:
			s.placeByLocality(job)
		case s.withinQuota(job):
			s.waterFill(job)
		}
	}
	ms := s.sortedMachines()
	s.serveQueues(ms)
	lowest := lowestRank(s.jobOrder)
	for _, job := range s.jobOrder {
		if job.rank <= lowest && (!job.guaranteed || s.since(job.learnedAt) < tuning.GuaranteePatience) {
			// Nothing may be stopped for it.
			continue
		}
		if job.Job.Shape == api.JobArray && len(job.pending)+job.queued > 0 {
			s.preempt(job, ms)
		}
	}
}

// queuedAhead is what a machine has outstanding for jobs up to and with j in the
// order of the queues, as equation (2) needs it, and the room that services
// leave.
func (s *Scheduler) queuedAhead(machine *machineState, job *jobState, slot float64) (_ []placement.Queued, room fleet.Resources) {
	room = machine.capacity()
	// It is asked for each job and machine: what it counts in is used again.
	if s.scratchCounts == nil {
		s.scratchCounts = map[*jobState]int{}
	}
	clear(s.scratchCounts)
	count, queued := s.scratchCounts, s.scratchQueued[:0]
	for _, alloc := range machine.allocations {
		if alloc.job.Job.Shape == api.Service {
			room = room.Sub(alloc.job.request)
		} else if !alloc.stopping && compareJobs(alloc.job, job) <= 0 {
			count[alloc.job]++
		}
	}
	for _, queue := range machine.queues {
		if compareJobs(queue.job, job) <= 0 {
			count[queue.job] += len(queue.tasks)
		}
	}
	for o, n := range count {
		mu := placement.Mu(max(1, room.Multiple(o.request)), slot, estimate(o))
		queued = append(queued, placement.Queued{Tasks: n, Mu: mu})
	}
	s.scratchQueued = queued
	return queued, room
}

// server is a machine as the water-filling sees it for a job, without what it must fetch.
func (s *Scheduler) server(machine *machineState, job *jobState, slot float64) placement.Server {
	queued, room := s.queuedAhead(machine, job, slot)
	return placement.Server{Busy: placement.Busy(queued), Mu: placement.Mu(room.Multiple(job.request), slot, estimate(job)), Free: machine.free().Multiple(job.request)}
}

// waterFill queues a job's waiting tasks by the paper's Algorithm 2. All tasks
// of a job need one image, so they form one group; the machines that lack the
// image take part with the fetch added to their busy time.
func (c *Scheduler) waterFill(job *jobState) {
	open := c.placeableTasks(job)
	if open <= 0 {
		return
	}
	slot := c.configuration.Policy.Value(policy.SlotS, nil)
	// Most machines wait for one of a few fetches: the policy's expression is asked once for
	// each.
	penalty := map[float64]int{}
	type candidate struct {
		m    *machineState
		s    placement.Server
		free float64
	}
	var all []candidate
	for _, machine := range c.sortedMachines() {
		if !c.eligible(job, machine) || job.site != nil && !job.site.Allows(machine.Name) {
			continue
		}
		server := c.server(machine, job, slot)
		if server.Mu <= 0 {
			continue
		}
		wait := c.startCost(job, 0, machine, true).Seconds()
		slots, known := penalty[wait]
		if !known {
			slots = fetchPenalty(c.configuration.Policy, wait, slot)
			penalty[wait] = slots
		}
		server.Busy += slots
		all = append(all, candidate{machine, server, machine.free().CPUs})
	}
	// Of machines that are as busy, those with the least room left come first.
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.s.Busy, b.s.Busy), cmp.Compare(a.free, b.free))
	})
	ms, servers := make([]*machineState, len(all)), make([]placement.Server, len(all))
	for i, x := range all {
		ms[i], servers[i] = x.m, x.s
	}
	share := placement.Fill(servers, open)
	if share == nil {
		return
	}
	slices.Sort(job.pending)
	for i, n := range share {
		if n > 0 {
			ms[i].enqueue(job, job.pending[:n])
			job.pending = job.pending[n:]
			job.queued += n
		}
	}
	slog.Debug("job queued", "job", job.id, "machines", len(ms), "shares", share)
}

// fetchPenalty is a wait in slots, as the operators' policy has it.
func fetchPenalty(pol *policy.Policy, seconds, slot float64) int {
	if seconds <= 0 {
		return 0
	}
	return int(pol.Value(policy.FetchPenalty, policy.Vars{"fetch_s": seconds, "slot_s": slot}))
}

// serveQueues starts queued tasks, job by job in the order of the queues: first where
// they are queued, then on other machines with room, out of the longest queue
// that holds the job. A machine does not start a later job of its own queue while
// it could serve an earlier one that waits elsewhere: one task left behind a long
// one, on one machine, keeps its whole job from being done.
func (s *Scheduler) serveQueues(ms []*machineState) {
	where := map[*jobState][]machineQueue{}
	length := map[*machineState]int{}
	least := math.Inf(1)
	low := false
	for _, machine := range ms {
		for _, queue := range machine.queues {
			where[queue.job] = append(where[queue.job], machineQueue{machine, queue})
			length[machine] += len(queue.tasks)
			least = math.Min(least, queue.job.request.CPUs)
			low = low || queue.job.rank == api.RankLow
		}
	}
	if len(where) == 0 {
		return
	}
	// Most machines are full most of the time: those without room for the
	// smallest queued task are passed over.
	var roomy []*machineState
	for _, machine := range ms {
		if machine.free().CPUs+tuning.RoomSlack >= least && s.schedulable(machine) {
			roomy = append(roomy, machine)
		}
	}
	room, reserve := 0.0, 0.0
	if low {
		room, reserve = s.lowRankReserve(ms)
	}
	for _, job := range s.jobOrder {
		if job.queued == 0 || len(roomy) == 0 || !s.startableNow(job) || !s.withinQuota(job) {
			continue
		}
		at := where[job]
		spare := func() bool {
			if job.starved {
				// One task's turn.
				return !job.lastStart.Equal(s.now())
			}
			return job.rank > api.RankLow || room-job.request.CPUs >= reserve
		}
		for _, p := range at {
			for len(p.queue.tasks) > 0 && spare() && s.canStart(job, p.machine) {
				i := s.nextTask(p.queue, p.machine)
				if i < 0 {
					break
				}
				s.startTask(job, p.queue.removeAt(i), p.machine, nil, "queued here")
				length[p.machine]--
				room -= job.request.CPUs
			}
		}
		if job.queued > 0 && len(job.inputs) > 0 {
			s.rebalance(job, roomy, at)
		} else if job.queued > 0 && spare() {
			for _, machine := range s.pullCandidates(job, roomy) {
				for job.queued > 0 && spare() && s.canStart(job, machine) {
					from := -1
					for i, p := range at {
						if len(p.queue.tasks) > 0 && (from < 0 || length[p.machine] > length[at[from].machine]) {
							from = i
						}
					}
					s.startTask(job, at[from].queue.pop(), machine, nil, "pulled")
					length[at[from].machine]--
					room -= job.request.CPUs
				}
			}
		}
		roomy = slices.DeleteFunc(roomy, func(machine *machineState) bool { return machine.free().CPUs+tuning.RoomSlack < least })
	}
	for machine := range length {
		machine.dropEmptyQueues()
	}
}

// lowRankReserve is the room there is, and how much of it jobs of rank low leave to others.
// Tiny tasks that filled every gap at once had to be stopped by the dozen for each of
// the owners' tasks, and started again elsewhere.
func (s *Scheduler) lowRankReserve(ms []*machineState) (room, reserve float64) {
	owned := 0.0
	for _, machine := range ms {
		if !s.schedulable(machine) {
			continue
		}
		room += machine.free().CPUs
		for _, alloc := range machine.allocations {
			if alloc.job.rank > api.RankLow {
				owned += alloc.job.request.CPUs
			}
		}
	}
	return room, s.configuration.Policy.Value(policy.ReserveCPUs, policy.Vars{"owned_cpus": owned})
}

// pullCandidates are the machines that may take a job's task off another's queue, those
// that hold the image first, and of those the ones with the least room left.
func (s *Scheduler) pullCandidates(job *jobState, roomy []*machineState) []*machineState {
	var out []*machineState
	for _, machine := range roomy {
		if s.canStart(job, machine) && s.worthPulling(job, machine) {
			out = append(out, machine)
		}
	}
	slices.SortStableFunc(out, func(a, b *machineState) int {
		return cmp.Or(cmp.Compare(s.startCost(job, 0, a, true).Seconds(), s.startCost(job, 0, b, true).Seconds()),
			cmp.Compare(a.free().CPUs, b.free().CPUs))
	})
	return out
}

// worthPulling tells whether a machine without the image should take a job's
// task off a holder's queue: once the job has waited as long as the fetch takes,
// so that at worst it waits twice what was best.
func (s *Scheduler) worthPulling(job *jobState, machine *machineState) bool {
	f := s.startCost(job, 0, machine, true).Seconds()
	return f <= tuning.FreeFetch || s.since(job.learnedAt).Seconds() >= tuning.PullPatience*f
}

// startTask records a task's machine; the command goes out once that is stored.
func (s *Scheduler) startTask(job *jobState, task int, machine *machineState, victims []*allocation, why string) {
	alloc := s.allocate(job, task, machine, s.nextAttempt())
	alloc.victims = victims
	s.commitStart(alloc, why)
}

func (s *Scheduler) commitStart(alloc *allocation, why string) {
	alloc.startedByAgeing, alloc.job.lastStart = alloc.job.starved, s.now()
	slog.Debug("task placed", "task", alloc.key, "machine", alloc.machine.Name, "attempt", alloc.attempt, "why", why, "image", alloc.machine.HasImage(alloc.job.Job.Image))
	s.markShardDirty(alloc.job, alloc.task, s.withLock(func() {
		alloc.committed = true
		if alloc.job.allocations[alloc.task] == alloc {
			s.commandsReady[alloc.machine] = true
		}
	}))
}
