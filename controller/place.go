package controller

import (
	"cmp"
	"container/heap"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/placement"
	"switchferry/policy"
	"switchferry/quota"
	"switchferry/reachability"
	"switchferry/store"
	"switchferry/tuning"
)

// capacity is a machine's whole room.
func (m *machineState) capacity() fleet.Resources {
	if m.Spec == nil {
		return fleet.Resources{}
	}
	return fleet.Resources{CPUs: m.Spec.CPUs, Cards: m.Spec.Cards, MemoryGB: m.Spec.MemoryGB}
}

// fetchSeconds is the time to get a job's image: none where it is held or, as far as
// the choice of a machine goes, already on its way.
func (m *machineState) fetchSeconds(job *jobState) float64 {
	if m.imagesInUse[job.Job.Image] > 0 {
		return 0
	}
	return m.FetchSeconds(job.Job.Image, job.Job.ImageGB)
}

func (m *machineState) free() fleet.Resources { return m.capacity().Sub(m.used) }

// schedulable tells whether a machine may get new work.
func (s *Scheduler) schedulable(machine *machineState) bool {
	return machine.Up && machine.Spec != nil && !machine.releasing && machine.PreemptedAt.IsZero() && !s.faulty(machine) &&
		s.now().After(machine.refusedUntil) && s.since(machine.LastHeartbeat) < s.heartbeatTimeout(machine) && machine.link.State(s.now(), s.lease()) == reachability.Reachable
}

// heartbeatTimeout is how long a machine may be unheard and still get work.
func (s *Scheduler) heartbeatTimeout(machine *machineState) time.Duration {
	d := seconds(2.5 * s.settings.Facts.Workers.ReportS)
	if machine.relayPeer != "" {
		d += tuning.RelayKeep
	}
	return d
}

// satisfiesConstraints tells whether a job's tasks may ever run on a machine.
func satisfiesConstraints(job *jobState, machine *machineState) bool {
	return machine.Spec.Fits(&job.Job) && (job.Job.Zone == "" || job.Job.Zone == machine.Zone) && (!machine.Spot || job.Job.Spot)
}

func (s *Scheduler) eligible(job *jobState, machine *machineState) bool {
	if !s.schedulable(machine) || !satisfiesConstraints(job, machine) {
		return false
	}
	until, ok := job.avoidUntil[machine.Name]
	return (!ok || s.now().After(until)) && !s.reservedForStarved(job, machine) && !s.reservedForOthers(job, machine)
}

// satisfiesSpread tells whether one more task may start in a machine's zone, given
// topology the others are or may be.
func satisfiesSpread(job *jobState, machine *machineState) bool {
	if job.site != nil && !job.site.Allows(machine.Name) {
		return false
	}
	if !job.Job.OneZone && !job.Job.Spread {
		return true
	}
	here := 0
	for _, alloc := range job.allocations {
		switch {
		case alloc.machine.Zone == machine.Zone:
			here++
		case job.Job.OneZone:
			return false
		case alloc.machine.Zone == "":
			// JobStatus from a record only, it may be in this zone.
			here++
		}
	}
	return !job.Job.Spread || here < (job.taskCount+1)/2
}

// withinQuota tells whether a job's team may use one more task's worth, beside what is reserved for another job that
// goes before it (package quota).
func (s *Scheduler) withinQuota(job *jobState) bool {
	limit, ok := s.configuration.Limit(job.Job.Team)
	if !ok {
		return false
	}
	use := s.usage[job.Job.Team].Add(job.request)
	if r, ok := s.quotas.Reservation(job.Job.Team); ok && r.ID != job.id {
		if o := s.jobs[r.ID]; o != nil && compareJobs(o, job) < 0 {
			use = use.Add(r.Resources)
		}
	}
	return limit.Allows(use)
}

// quotaDemands are those of the jobs that go before others in their teams, by rank or age, and wait.
func quotaDemands(jobs []*jobState, limitOf func(string) (quota.Limit, bool), use map[string]fleet.Resources, ready func(*jobState) bool) (out []quota.Demand) {
	stays := map[string]fleet.Resources{}
	for _, job := range jobs {
		if job.Job.Shape == api.Service {
			stays[job.Job.Team] = stays[job.Job.Team].Add(job.request.Scale(len(job.allocations)))
		}
	}
	for _, job := range jobs {
		limit, ok := limitOf(job.Job.Team)
		if !ok || job.precedence() == 0 || len(job.pending)+job.queued == 0 || !ready(job) {
			continue
		}
		need := job.request
		if job.Job.Shape == api.Gang {
			need = need.Scale(len(job.pending))
		}
		out = append(out, quota.Demand{Team: job.Job.Team, ID: job.id, Limit: limit, Request: need, Use: use[job.Job.Team], Permanent: stays[job.Job.Team]})
	}
	return out
}

func (s *Scheduler) startableNow(job *jobState) bool {
	return job.accepted && job.FinalState == "" && !s.now().Before(job.pausedUntil) && s.inputsReady(job) && (len(job.allocations) == 0 || job.Job.Shape == api.Gang || !s.failsEverywhere(job))
}

// estimate is how long a task of the job runs, in seconds.
func estimate(job *jobState) float64 { return math.Max(tuning.MinRun, job.Job.EstimateS) }

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

// lowestRank is the least rank of those of the jobs that are on machines.
func lowestRank(jobs []*jobState) int {
	lowest := api.RankProduction
	for _, job := range jobs {
		if len(job.allocations) > 0 {
			lowest = min(lowest, job.rank)
		}
	}
	return lowest
}

// sortedMachines lists the machines by name. The list is shared and must not be changed.
func (s *Scheduler) sortedMachines() []*machineState {
	if s.machinesByName == nil {
		s.machinesByName = make([]*machineState, 0, len(s.machines))
		for _, machine := range s.machines {
			s.machinesByName = append(s.machinesByName, machine)
		}
		slices.SortFunc(s.machinesByName, func(a, b *machineState) int { return strings.Compare(a.Name, b.Name) })
	}
	return s.machinesByName
}

// queuedAhead is what a machine has outstanding for jobs up to and with j in the
// sendStageOrder of the queues, as equation (2) needs it, and the room that services
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

// enqueue puts tasks into a machine's queue in the order of the jobs.
func (m *machineState) enqueue(job *jobState, tasks []int32) {
	at, ok := slices.BinarySearchFunc(m.queues, job, func(queue *runQueue, job *jobState) int { return compareJobs(queue.job, job) })
	if !ok {
		m.queues = slices.Insert(m.queues, at, &runQueue{job: job})
	}
	m.queues[at].tasks = append(m.queues[at].tasks, tasks...)
}

// pop takes the first task of a queue.
func (q *runQueue) pop() int {
	t := q.tasks[0]
	q.tasks = q.tasks[1:]
	q.job.queued--
	return int(t)
}

// releaseMachines returns a queue's tasks to their job, to be placed again.
func (q *runQueue) returnTasks() {
	q.job.pending = append(q.job.pending, q.tasks...)
	q.job.queued -= len(q.tasks)
	q.tasks = nil
}

func (m *machineState) dropEmptyQueues() {
	m.queues = slices.DeleteFunc(m.queues, func(queue *runQueue) bool { return len(queue.tasks) == 0 })
}

// canStart tells whether a task of the job can start on the machine now.
func (s *Scheduler) canStart(job *jobState, machine *machineState) bool {
	return s.startableNow(job) && machine.free().Fits(job.request) && len(machine.allocations)+len(machine.exited) < tuning.ReportTasks && s.eligible(job, machine) && satisfiesSpread(job, machine) && s.withinQuota(job)
}

// queuedOn is a queue and the machine that it is on.
type queuedOn struct {
	m *machineState
	q *runQueue
}

// serveAsLeader starts queued tasks, job by job in the order of the queues: first where
// they are queued, then on other machines with room, out of the longest queue
// that holds the job. A machine does not start a later job of its own queue while
// it could serve an earlier one that waits elsewhere: one task left behind a long
// one, on one machine, keeps its whole job from being done.
func (s *Scheduler) serveQueues(ms []*machineState) {
	where := map[*jobState][]queuedOn{}
	length := map[*machineState]int{}
	least := math.Inf(1)
	low := false
	for _, machine := range ms {
		for _, queue := range machine.queues {
			where[queue.job] = append(where[queue.job], queuedOn{machine, queue})
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
			for len(p.q.tasks) > 0 && spare() && s.canStart(job, p.m) {
				i := s.nextTask(p.q, p.m)
				if i < 0 {
					break
				}
				s.startTask(job, p.q.removeAt(i), p.m, nil, "queued here")
				length[p.m]--
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
						if len(p.q.tasks) > 0 && (from < 0 || length[p.m] > length[at[from].m]) {
							from = i
						}
					}
					s.startTask(job, at[from].q.pop(), machine, nil, "pulled")
					length[at[from].m]--
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

// freeSoon is what a machine has free once the tasks being stopped are gone.
func (m *machineState) freeSoon() (fleet.Resources, []*allocation) {
	free := m.free()
	var leaving []*allocation
	for _, alloc := range m.allocations {
		if alloc.stopping {
			free = free.Add(alloc.job.request)
			leaving = append(leaving, alloc)
		}
	}
	return free, leaving
}

// mayPreempt tells whether a task may be stopped for a job: work of lower rank, or,
// for a job that waits within its team's guarantee, work of the same rank that
// another team runs beyond its own. Were higher ranks stopped as well, which is
// satisfiesConstraints, they would stop the job's tasks in turn, and so on without end.
// Production is left alone.
func (s *Scheduler) mayPreempt(alloc *allocation, job *jobState) bool {
	o := alloc.job
	if alloc.startedByAgeing && job.rank < api.RankProduction && s.since(alloc.allocatedAt) < tuning.TurnKept {
		// Stopped at once, its turn would have come in vain.
		return false
	}
	if o.rank < job.rank {
		return true
	}
	if o.rank > job.rank || !job.guaranteed || o.overQuota == 0 || o.Job.Team == job.Job.Team || o.rank == api.RankProduction ||
		s.since(job.learnedAt) < tuning.GuaranteePatience {
		return false
	}
	// What is being stopped already is not there to be stopped again: counted as
	// use, it made the other team lose far more than it had borrowed, and that
	// one then took as much back, all over again.
	t, _ := s.configuration.Team(o.Job.Team)
	stays := s.usage[t.Name].Sub(s.stoppingUsage[t.Name]).Sub(o.request)
	return stays.CPUs+tuning.RoomSlack >= t.CPUs && stays.Cards+tuning.RoomSlack >= t.Cards
}

// preemptible is what may be stopped on a machine for a job, in no order.
func (s *Scheduler) preemptible(job *jobState, machine *machineState) (can []*allocation) {
	for _, alloc := range machine.allocations {
		if !alloc.stopping && alloc.reported && s.mayPreempt(alloc, job) {
			can = append(can, alloc)
		}
	}
	return can
}

// findVictims finds what to stop so that one task fits, and of that what loses the
// least. False: it cannot be done.
func (s *Scheduler) findVictims(job *jobState, machine *machineState) (leaving, victims []*allocation, ok bool) {
	s.victimSearches++
	free, leaving := machine.freeSoon()
	if free.Fits(job.request) {
		return leaving, nil, true
	}
	can := s.preemptible(job, machine)
	most := free
	for _, alloc := range can {
		most = most.Add(alloc.job.request)
	}
	if !most.Fits(job.request) {
		return nil, nil, false
	}
	s.sortByLoss(can)
	for _, alloc := range can {
		free = free.Add(alloc.job.request)
		victims = append(victims, alloc)
		if free.Fits(job.request) {
			return leaving, victims, true
		}
	}
	return nil, nil, false
}

// sortByLoss puts tasks in the order in which they are stopped.
func (s *Scheduler) sortByLoss(can []*allocation) {
	slices.SortFunc(can, func(alloc, b *allocation) int {
		return cmp.Or(cmp.Compare(alloc.job.rank, b.job.rank), cmp.Compare(s.preemptionLoss(alloc), s.preemptionLoss(b)), strings.Compare(alloc.key, b.key))
	})
}

// preemptVictims stops tasks to make room for a job.
func (s *Scheduler) preemptVictims(victims []*allocation, job *jobState) {
	for _, v := range victims {
		v.job.preemptions[v.task]++
		s.stopTask(v, 0, "room for "+job.id)
	}
}

// preemptionLoss is the work, in ms, that stopping a task at once throws away. A task that
// made room before counts for more: it is the youngest again each time.
func (s *Scheduler) preemptionLoss(alloc *allocation) int64 {
	before := int64(alloc.job.preemptions[alloc.task]) * tuning.MovedLoss.Milliseconds()
	if alloc.runningSince.IsZero() {
		return before
	}
	run := s.since(alloc.runningSince)
	if cp := seconds(alloc.job.Job.Checkpoint); cp > 0 {
		run = run % cp
	}
	return before + run.Milliseconds()
}

// placeService starts replicas at once: they skip the water-filling, since
// they run until they are cancelled. A machine that holds the image is worth
// more than one that must fetch it, and worth stopping lower work for.
func (s *Scheduler) placeService(job *jobState) {
	var unstaged []int32
	defer func() { job.pending = append(job.pending, unstaged...) }()
	for len(job.pending) > 0 && s.withinQuota(job) && s.startableNow(job) {
		task := int(job.pending[0])
		var best *machineState
		var bestOut, bestVictims []*allocation
		bestScore := math.Inf(1)
		meant := s.intendedMachine(job, task)
		for _, machine := range s.sortedMachines() {
			if !s.eligible(job, machine) || !satisfiesSpread(job, machine) || !s.mayStage(job, machine) || meant != nil && meant != machine {
				continue
			}
			score := s.startCost(job, task, machine, false).Seconds()
			if job.site != nil {
				score += tuning.SitePrice * job.site.Cost(machine.Name)
			}
			// Replicas on one machine are lost together.
			for _, alloc := range machine.allocations {
				if alloc.job == job {
					score += 0.5
				} else if alloc.job.Job.Shape == api.Service {
					score += 0.2
				}
			}
			score += 0.1 * machine.used.CPUs / machine.Spec.CPUs
			var out, victims []*allocation
			if !machine.free().Fits(job.request) {
				ok := false
				if !s.failsEverywhere(job) {
					out, victims, ok = s.findVictims(job, machine)
				}
				if !ok {
					continue
				}
				score += 1 + 0.2*float64(len(victims))
			}
			if score < bestScore {
				best, bestOut, bestVictims, bestScore = machine, out, victims, score
			}
		}
		if best == nil {
			if meant == nil {
				return
			}
			// What it waited for has no room any more: another is looked for.
			delete(job.intendedMachines, task)
			job.pending, unstaged = job.pending[1:], append(unstaged, int32(task))
			continue
		}
		job.pending = job.pending[1:]
		if !s.inputsStaged(job, task, best) {
			// Nothing is stopped, and no room held, while its inputs are copied there.
			job.setIntendedMachine(task, best)
			unstaged = append(unstaged, int32(task))
			continue
		}
		s.preemptVictims(bestVictims, job)
		s.startTask(job, task, best, append(bestOut, bestVictims...), "service")
	}
}

// placeGang starts all waiting tasks of a gang, or none: a few of them would
// only hold room while they wait for the others.
func (s *Scheduler) placeGang(job *jobState) {
	if len(job.allocations) > 0 {
		// The rest of an earlier try ends by itself, for want of its mates.
		return
	}
	ms := slices.Clone(s.sortedMachines())
	holders := func(a, b *machineState) int {
		return int(s.startCost(job, 0, a, false).Seconds() - s.startCost(job, 0, b, false).Seconds())
	}
	// A gang whose inputs are being copied keeps to its machines while they will do.
	kept := len(job.intendedMachines) > 0
	for _, t := range job.pending {
		kept = kept && s.intendedMachine(job, int(t)) != nil
	}
	slices.SortStableFunc(ms, holders)
	var held []*allocation
	// Workers bring those together that have the same attempt.
	attempt := s.nextAttempt()
	zone := ""
	for _, first := range ms {
		if !s.eligible(job, first) || !satisfiesSpread(job, first) || job.Job.OneZone && first.Zone == zone {
			continue
		}
		zone = first.Zone
		for _, machine := range ms {
			for len(held) < len(job.pending) && s.canStart(job, machine) && s.mayStage(job, machine) && (!job.Job.OneZone || machine.Zone == zone) {
				held = append(held, s.allocate(job, int(job.pending[len(held)]), machine, attempt))
			}
		}
		if kept {
			for _, alloc := range held {
				s.removeAllocation(alloc)
			}
			if held = s.allocateIntended(job, attempt); held == nil {
				clear(job.intendedMachines)
				return
			}
		}
		if len(held) == len(job.pending) {
			break
		}
		for _, alloc := range held {
			s.removeAllocation(alloc)
		}
		held = nil
	}
	if held == nil {
		if job.site != nil && job.Job.Near != nil && job.Job.Near.Must && job.rank > lowestRank(s.jobOrder) && len(job.inputs) == 0 && !s.failsEverywhere(job) {
			s.placeGangByPreemption(job, ms)
		}
		return
	}
	for _, alloc := range held {
		if !s.inputsStaged(job, alloc.task, alloc.machine) {
			// All of it starts, or nothing: room is held by none meanwhile.
			for _, alloc := range held {
				job.setIntendedMachine(alloc.task, alloc.machine)
				s.removeAllocation(alloc)
			}
			return
		}
	}
	job.pending = nil
	for _, alloc := range held {
		s.commitStart(alloc, "gang")
	}
}

// allocateIntended makes a gang's tasks count on the machines that their inputs are copied to;
// nil: one of them has no room.
func (s *Scheduler) allocateIntended(job *jobState, attempt uint64) (held []*allocation) {
	for _, t := range job.pending {
		machine := job.intendedMachines[int(t)]
		if machine == nil || !s.canStart(job, machine) {
			for _, alloc := range held {
				s.removeAllocation(alloc)
			}
			return nil
		}
		held = append(held, s.allocate(job, int(t), machine, attempt))
	}
	return held
}

// candidate is a machine where room can be made, and what that costs.
type candidate struct {
	m               *machineState
	leaving, victim []*allocation
	score           float64
}

// candidateHeap are the machines where room can be made for a job, cheapest first.
// They are looked at once for the job, not once for each of its tasks: a fleet
// of hundreds of machines and an array of hundreds of tasks would otherwise take
// the leader's whole processor. That is exact, since what is done on one machine
// makes no other one cheaper.
type candidateHeap []candidate

func (o candidateHeap) Len() int { return len(o) }
func (o candidateHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(o[a].score, o[b].score), strings.Compare(o[a].m.Name, o[b].m.Name)) < 0
}
func (o candidateHeap) Swap(a, b int) { o[a], o[b] = o[b], o[a] }
func (o *candidateHeap) Push(x any)   { *o = append(*o, x.(candidate)) }
func (o *candidateHeap) Pop() any {
	last := len(*o) - 1
	x := (*o)[last]
	*o = (*o)[:last]
	return x
}

// candidateOn is what room for one task of a job costs on a machine.
func (s *Scheduler) candidateOn(job *jobState, machine *machineState) (candidate, bool) {
	if !s.eligible(job, machine) || !satisfiesSpread(job, machine) || len(job.inputs) > 0 && !s.hasStaged(job, machine) {
		return candidate{}, false
	}
	out, victims, ok := s.findVictims(job, machine)
	if !ok {
		return candidate{}, false
	}
	// Only machines that have a task's inputs are looked at.
	score := s.startCost(job, 0, machine, true).Image
	for _, alloc := range victims {
		score += float64(s.preemptionLoss(alloc)) / 1000
	}
	return candidate{machine, out, victims, score}, true
}

func (s *Scheduler) candidates(job *jobState, all []*machineState) *candidateHeap {
	o := &candidateHeap{}
	for _, machine := range all {
		if x, ok := s.candidateOn(job, machine); ok {
			*o = append(*o, x)
		}
	}
	heap.Init(o)
	return o
}

// bestCandidate takes the cheapest option that still stands. The caller puts the machine
// back once it has used it.
func (s *Scheduler) bestCandidate(job *jobState, o *candidateHeap) (candidate, bool) {
	for o.Len() > 0 {
		x := heap.Pop(o).(candidate)
		now, ok := s.candidateOn(job, x.m)
		if !ok {
			continue
		}
		if now.score <= x.score || o.Len() == 0 || now.score <= (*o)[0].score {
			return now, true
		}
		heap.Push(o, now)
	}
	return candidate{}, false
}

// pushCandidate puts a machine back after its use.
func (s *Scheduler) pushCandidate(job *jobState, machine *machineState, o *candidateHeap) {
	if x, ok := s.candidateOn(job, machine); ok {
		heap.Push(o, x)
	}
}

// preempt makes room for an array of higher rank that found none.
func (s *Scheduler) preempt(job *jobState, all []*machineState) {
	if !s.startableNow(job) || s.failsEverywhere(job) || !s.withinQuota(job) || !s.preemptsAny(job) {
		return
	}
	opts := s.candidates(job, all)
	var queues []*runQueue
	for _, machine := range all {
		for _, queue := range machine.queues {
			if queue.job == job {
				queues = append(queues, queue)
			}
		}
	}
	for len(job.pending)+job.queued > 0 && s.withinQuota(job) {
		x, ok := s.bestCandidate(job, opts)
		if !ok {
			break
		}
		task := -1
		if len(job.inputs) > 0 {
			if task = s.takeStaged(job, x.m); task < 0 {
				break
			}
		} else if len(job.pending) > 0 {
			task = int(job.pending[0])
			job.pending = job.pending[1:]
		} else {
			for len(queues) > 0 && len(queues[0].tasks) == 0 {
				queues = queues[1:]
			}
			if len(queues) == 0 {
				break
			}
			task = queues[0].pop()
		}
		s.preemptVictims(x.victim, job)
		s.startTask(job, task, x.m, append(x.leaving, x.victim...), "preempting")
		s.pushCandidate(job, x.m, opts)
	}
	for _, machine := range all {
		machine.dropEmptyQueues()
	}
}

// preemptsAny tells whether anything may be stopped for a job at all. Most jobs
// that wait are of the lowest rank, and need not search the fleet.
func (s *Scheduler) preemptsAny(job *jobState) bool {
	for _, o := range s.jobOrder {
		for _, alloc := range o.allocations {
			if s.mayPreempt(alloc, job) {
				return true
			}
			if !alloc.startedByAgeing {
				break // what a job's tasks may be stopped for is the same for all others
			}
		}
	}
	return false
}

// Conflict takes in a job record that another node, or a lost answer of ours,
// has written.
func (s *Scheduler) Conflict(key string, found *store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptRecord(key, found)
}
