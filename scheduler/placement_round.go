package scheduler

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

// Place runs one placement round: it assigns pending tasks to machines, starts queued tasks on machines with free
// resources, preempts allocations for arrays, and plans the staging of inputs. Tasks are allocated nowhere else.
// Place allocates nothing before the records are loaded or while this controller does not lead.
func (s *Scheduler) Place() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick(s.now())
	if !s.loaded || !s.leadership.Leading() {
		return
	}
	s.roundTime = s.clock.Now()
	defer func() { s.roundTime = time.Time{} }()
	s.prepareRound()
	s.placePendingTasks()
	machines := s.sortedMachines()
	s.serveQueues(machines)
	s.preemptForArrays(machines)
	s.planStaging()
}

// prepareRound updates the order of the jobs, the reservations, the queues and the dataset snapshot before a placement
// round. s.mu must be held.
func (s *Scheduler) prepareRound() {
	s.sortQueues()
	s.quotas.Reserve(s.roundTime, s.quotaDemands())
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
		s.requeueStuckStaging()
	}
	s.refreshTopology()
	s.reserveForStarved()
}

// placePendingTasks starts the pending tasks of services and gangs, and adds those of arrays to the queues of machines,
// in the order of the jobs. s.mu must be held.
func (s *Scheduler) placePendingTasks() {
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
}

// preemptForArrays preempts allocations for arrays that still have tasks to start. s.mu must be held.
func (s *Scheduler) preemptForArrays(machines []*machineState) {
	lowest := lowestRank(s.jobOrder)
	for _, job := range s.jobOrder {
		if job.rank <= lowest && (!job.guaranteed || s.since(job.learnedAt) < tuning.GuaranteeDelay) {
			// No allocation can be preempted for it.
			continue
		}
		if job.Job.Shape == api.JobArray && job.unplaced() > 0 {
			s.preempt(job, machines)
		}
	}
}

// queuedAhead returns the outstanding tasks on a machine of the given job and of all jobs before it in the order of the
// queues, in the form of equation (2) of the paper, and the machine's resources that are not used by services. The
// slice is valid until the next call. The parameter slotS is the length of a slot in seconds. s.mu must be held.
func (s *Scheduler) queuedAhead(machine *machineState, job *jobState, slotS float64) (_ []placement.QueuedJob, resources fleet.Resources) {
	resources = machine.capacity()
	// This method is called for each pair of job and machine, so the map and the slice are reused.
	if s.scratchCounts == nil {
		s.scratchCounts = map[*jobState]int{}
	}
	clear(s.scratchCounts)
	taskCounts, queued := s.scratchCounts, s.scratchQueued[:0]
	for _, alloc := range machine.allocations {
		if alloc.job.Job.Shape == api.Service {
			resources = resources.Sub(alloc.job.request)
		} else if !alloc.stopping && compareJobs(alloc.job, job) <= 0 {
			taskCounts[alloc.job]++
		}
	}
	for _, queue := range machine.queues {
		if compareJobs(queue.job, job) <= 0 {
			taskCounts[queue.job] += len(queue.tasks)
		}
	}
	for aheadJob, tasks := range taskCounts {
		mu := placement.Mu(max(1, resources.Count(aheadJob.request)), slotS, estimate(aheadJob))
		queued = append(queued, placement.QueuedJob{Tasks: tasks, Mu: mu})
	}
	s.scratchQueued = queued
	return queued, resources
}

// server returns a machine as a server of the water-filling for a job. Its busy time does not include the wait for an
// image or inputs. The parameter slotS is the length of a slot in seconds. s.mu must be held.
func (s *Scheduler) server(machine *machineState, job *jobState, slotS float64) placement.Server {
	queued, resources := s.queuedAhead(machine, job, slotS)
	return placement.Server{
		Busy:         placement.Busy(queued),
		Mu:           placement.Mu(resources.Count(job.request), slotS, estimate(job)),
		FreeCapacity: machine.free().Count(job.request),
	}
}

// waterFillServer is a machine that takes part in the water-filling of one job.
type waterFillServer struct {
	machine *machineState
	server  placement.Server
	// freeCPUs is the secondary sort key, after server.Busy.
	freeCPUs float64
}

// waterFill queues a job's pending tasks by the paper's Algorithm 2. All tasks of a job need the same image, so they
// form one group. For machines that lack the image, the time to fetch it is added to the busy time. s.mu must be held.
func (s *Scheduler) waterFill(job *jobState) {
	placeable := s.placeableTasks(job)
	if placeable <= 0 {
		return
	}
	candidates := s.waterFillServers(job)
	servers := make([]placement.Server, len(candidates))
	for i, candidate := range candidates {
		servers[i] = candidate.server
	}
	shares := placement.Fill(servers, placeable)
	if shares == nil {
		return
	}
	slices.Sort(job.pending)
	for i, count := range shares {
		if count > 0 {
			candidates[i].machine.enqueue(job, job.pending[:count])
			job.pending = job.pending[count:]
			job.queued += count
		}
	}
	slog.Debug("job queued", "job", job.id, "machines", len(candidates), "shares", shares)
}

// waterFillServers returns the machines that may serve a job, sorted by busy time and then by free CPUs, both ascending.
// s.mu must be held.
func (s *Scheduler) waterFillServers(job *jobState) []waterFillServer {
	slotS := s.configuration.Policy.Value(policy.SlotS, nil)
	// The machines have only a few distinct waits, so the policy's expression is evaluated once for each of them.
	penalties := map[float64]int{}
	var candidates []waterFillServer
	for _, machine := range s.sortedMachines() {
		if !s.eligible(job, machine) || job.site != nil && !job.site.Allows(machine.Name) {
			continue
		}
		server := s.server(machine, job, slotS)
		if server.Mu <= 0 {
			continue
		}
		wait := s.sharedStartCost(job, 0, machine).Seconds()
		slots, known := penalties[wait]
		if !known {
			slots = fetchPenalty(s.configuration.Policy, wait, slotS)
			penalties[wait] = slots
		}
		server.Busy += slots
		candidates = append(candidates, waterFillServer{machine, server, machine.free().CPUs})
	}
	slices.SortStableFunc(candidates, func(a, b waterFillServer) int {
		return cmp.Or(cmp.Compare(a.server.Busy, b.server.Busy), cmp.Compare(a.freeCPUs, b.freeCPUs))
	})
	return candidates
}

// fetchPenalty returns the number of slots that the operators' policy charges for a wait in seconds. The parameter
// slotS is the length of a slot in seconds.
func fetchPenalty(operatorPolicy *policy.Policy, seconds, slotS float64) int {
	if seconds <= 0 {
		return 0
	}
	return int(operatorPolicy.Value(policy.FetchPenalty, policy.Vars{"fetch_s": seconds, "slot_s": slotS}))
}

// queueRound is the state of one run of serveQueues. Scheduler.mu must be held for all methods.
type queueRound struct {
	scheduler *Scheduler
	// queues holds the queues of each job, sorted by machine name.
	queues map[*jobState][]machineQueue
	// queuedTasks is the number of tasks in all queues of a machine.
	queuedTasks map[*machineState]int
	// smallestCPUs is the smallest CPU request of a queued task. Machines with fewer free CPUs are skipped, because most
	// machines are full most of the time.
	smallestCPUs float64
	// available are the schedulable machines with at least smallestCPUs free.
	available []*machineState
	// freeCPUs and reservedCPUs limit the starts of jobs of rank low, see lowRankReserve. They are zero if no such job is
	// queued.
	freeCPUs, reservedCPUs float64
}

// serveQueues starts queued tasks, job by job in the order of the jobs: first on the machines where they are queued,
// then on other machines with free resources, taken from the job's queue on the machine with the most queued tasks. A
// machine does not start a later job from its own queue while it could serve an earlier job that is queued elsewhere:
// otherwise a single task queued behind a long one would delay the completion of its whole job. s.mu must be held.
func (s *Scheduler) serveQueues(machines []*machineState) {
	round := s.newQueueRound(machines)
	if len(round.queues) == 0 {
		return
	}
	for _, job := range s.jobOrder {
		if job.queued == 0 || len(round.available) == 0 || !s.startableNow(job) || !s.withinQuota(job) {
			continue
		}
		round.startWhereQueued(job)
		if job.queued > 0 && len(job.inputs) > 0 {
			s.rebalance(job, round.available, round.queues[job])
		} else if job.queued > 0 && round.mayStart(job) {
			round.pull(job)
		}
		round.available = slices.DeleteFunc(round.available, func(machine *machineState) bool { return !round.fitsSmallest(machine) })
	}
	for machine := range round.queuedTasks {
		machine.dropEmptyQueues()
	}
}

// newQueueRound returns a queueRound with the queues of all machines and the machines that have free resources.
// s.mu must be held.
func (s *Scheduler) newQueueRound(machines []*machineState) *queueRound {
	round := &queueRound{
		scheduler:    s,
		queues:       map[*jobState][]machineQueue{},
		queuedTasks:  map[*machineState]int{},
		smallestCPUs: math.Inf(1),
	}
	lowRankQueued := false
	for _, machine := range machines {
		for _, queue := range machine.queues {
			round.queues[queue.job] = append(round.queues[queue.job], machineQueue{machine, queue})
			round.queuedTasks[machine] += len(queue.tasks)
			round.smallestCPUs = min(round.smallestCPUs, queue.job.request.CPUs)
			lowRankQueued = lowRankQueued || queue.job.rank == api.RankLow
		}
	}
	if len(round.queues) == 0 {
		return round
	}
	for _, machine := range machines {
		if round.fitsSmallest(machine) && s.schedulable(machine) {
			round.available = append(round.available, machine)
		}
	}
	if lowRankQueued {
		round.freeCPUs, round.reservedCPUs = s.lowRankReserve(machines)
	}
	return round
}

// fitsSmallest reports whether a machine has enough free CPUs for the queued task that requests the fewest.
func (r *queueRound) fitsSmallest(machine *machineState) bool {
	return machine.free().CPUs+tuning.ResourceSlack >= r.smallestCPUs
}

// mayStart reports whether one more task of a job may start in this round. A starved job starts one task per round, and
// a job of rank low must leave a reserve of free CPUs to other jobs.
func (r *queueRound) mayStart(job *jobState) bool {
	if job.starved {
		return !job.lastStart.Equal(r.scheduler.now())
	}
	return job.rank > api.RankLow || r.freeCPUs-job.request.CPUs >= r.reservedCPUs
}

// startWhereQueued starts queued tasks of a job on the machines where they are queued.
func (r *queueRound) startWhereQueued(job *jobState) {
	s := r.scheduler
	for _, queued := range r.queues[job] {
		for len(queued.queue.tasks) > 0 && r.mayStart(job) && s.canStart(job, queued.machine) {
			i := s.nextTask(queued.queue, queued.machine)
			if i < 0 {
				break
			}
			s.startTask(job, queued.queue.removeAt(i), queued.machine, nil, "queued here")
			r.countStart(job, queued.machine)
		}
	}
}

// pull starts tasks of a job on machines with free resources, taken from the queues of other machines.
func (r *queueRound) pull(job *jobState) {
	s := r.scheduler
	for _, machine := range s.pullCandidates(job, r.available) {
		for job.queued > 0 && r.mayStart(job) && s.canStart(job, machine) {
			source := r.longestQueue(job)
			s.startTask(job, source.queue.pop(), machine, nil, "pulled")
			r.countStart(job, source.machine)
		}
	}
}

// longestQueue returns the job's queue on the machine that has the most queued tasks in total. The job must have queued
// tasks.
func (r *queueRound) longestQueue(job *jobState) machineQueue {
	var longest machineQueue
	for _, queued := range r.queues[job] {
		if len(queued.queue.tasks) > 0 && (longest.queue == nil || r.queuedTasks[queued.machine] > r.queuedTasks[longest.machine]) {
			longest = queued
		}
	}
	return longest
}

// countStart updates the counters after the start of a task that was queued on a machine.
func (r *queueRound) countStart(job *jobState, queuedOn *machineState) {
	r.queuedTasks[queuedOn]--
	r.freeCPUs -= job.request.CPUs
}

// lowRankReserve returns the free CPUs of all machines, and how many of these jobs of rank low must leave free for
// other jobs. Without the reserve, small tasks of rank low would fill all free resources, and dozens of them would be
// preempted for each task of higher rank. s.mu must be held.
func (s *Scheduler) lowRankReserve(machines []*machineState) (freeCPUs, reservedCPUs float64) {
	higherRankCPUs := 0.0
	for _, machine := range machines {
		if !s.schedulable(machine) {
			continue
		}
		freeCPUs += machine.free().CPUs
		for _, alloc := range machine.allocations {
			if alloc.job.rank > api.RankLow {
				higherRankCPUs += alloc.job.request.CPUs
			}
		}
	}
	return freeCPUs, s.configuration.Policy.Value(policy.ReserveCPUs, policy.Vars{"owned_cpus": higherRankCPUs})
}

// pullCandidates returns the available machines that may start a task of a job from another machine's queue, sorted by
// the wait for the image and then by free CPUs, both ascending. s.mu must be held.
func (s *Scheduler) pullCandidates(job *jobState, available []*machineState) []*machineState {
	var candidates []*machineState
	for _, machine := range available {
		if s.canStart(job, machine) && s.worthPulling(job, machine) {
			candidates = append(candidates, machine)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *machineState) int {
		return cmp.Or(cmp.Compare(s.sharedStartCost(job, 0, a).Seconds(), s.sharedStartCost(job, 0, b).Seconds()),
			cmp.Compare(a.free().CPUs, b.free().CPUs))
	})
	return candidates
}

// worthPulling reports whether a machine should start a task of a job from another machine's queue although it may have
// to fetch the image. It may do so at once if the fetch is short, else only after the job has waited in proportion to
// the fetch, so that the wait is at most a multiple of the shortest possible wait. s.mu must be held.
func (s *Scheduler) worthPulling(job *jobState, machine *machineState) bool {
	seconds := s.sharedStartCost(job, 0, machine).Seconds()
	return seconds <= tuning.MaxImmediateFetchS || s.since(job.learnedAt).Seconds() >= tuning.PullDelayShare*seconds
}

// startTask allocates a task to a machine and commits its start. The parameter victims holds the allocations whose
// resources the task will use; they must already be stopping. The reason is logged. s.mu must be held.
func (s *Scheduler) startTask(job *jobState, task int, machine *machineState, victims []*allocation, reason string) {
	if !s.mayAllocate(job, task) {
		return
	}
	alloc := s.allocate(job, task, machine, s.nextAttempt())
	alloc.victims = victims
	s.commitStart(alloc, reason)
}

// commitStart schedules an allocation to be stored. The start command is sent once it is stored. s.mu must be held.
func (s *Scheduler) commitStart(alloc *allocation, reason string) {
	alloc.startedByAgeing, alloc.job.lastStart = alloc.job.starved, s.now()
	slog.Debug("task placed", "task", alloc.key, "machine", alloc.machine.Name, "attempt", alloc.attempt,
		"why", reason, "image", alloc.machine.HasImage(alloc.job.Job.Image))
	s.markShardDirty(alloc.job, alloc.task, s.withLock(func() {
		alloc.committed = true
		if alloc.job.allocations[alloc.task] == alloc {
			s.commandsReady[alloc.machine] = true
		}
	}))
}
