package scheduler

import (
	"log/slog"
	"math"
	"slices"

	"switchferry/cost"
	"switchferry/features"
	"switchferry/placement"
	"switchferry/policy"
	"switchferry/replicas"
	"switchferry/tuning"
)

// inputCostModel implements placement.InputCost for one job: the cost of the inputs that a group of its tasks lacks on
// a machine. Results are cached, because in a fleet of thousands of machines the same few waits recur. Scheduler.mu
// must be held for all methods.
type inputCostModel struct {
	scheduler *Scheduler
	job       *jobState
	groups    []placement.Group
	// slotSeconds is the length of a slot in seconds.
	slotSeconds float64
	// localityAware is false if placement ignores where inputs are held; all costs are then zero.
	localityAware bool
	// singlePartPerTask is true if the job has one input, of which each task needs its own part.
	singlePartPerTask bool

	// machineIDs holds the ID of each server's machine.
	machineIDs []replicas.MachineID
	// machineNames holds the name of each server's machine.
	machineNames []string
	// backlog holds, for each server, the bytes that are already queued on the machine's link.
	backlog []float64
	// minBacklog is the minimum of backlog.
	minBacklog float64

	// slotsBySeconds caches the results of penaltySlots by its argument.
	slotsBySeconds map[float64]int
	// lastSeconds and lastSecondsSlots are the last argument and result of penaltySlots.
	lastSeconds      float64
	lastSecondsSlots int

	// lastGroup is the group in the last call of CopySlots.
	lastGroup int
	// transfer describes what a task of lastGroup needs. Its bytes and fromStore apply to all servers of the group if
	// singlePartPerTask is set, otherwise only to the server in the last call of CopySlots.
	transfer inputTransfer
	// lastBacklog and lastSlots are the backlog of the server in the last call of CopySlots and the result of that call.
	lastBacklog float64
	lastSlots   int
}

// inputTransfer describes what must be copied to a machine before a task can start there.
type inputTransfer struct {
	bytes float64
	// fromStore is true if some of the data is held by no machine and must come from the store.
	fromStore bool
	// spreadSeconds is the time in seconds that the sources need to deliver the task's own parts to one more machine.
	spreadSeconds float64
	// inFlight holds the bytes still to be transferred to each machine to which the task's part is being copied. It is
	// nil unless that part is the only input of the task.
	inFlight map[replicas.MachineID]float64
}

// penaltySlots returns the number of slots that the operators' policy charges for a wait in seconds.
func (m *inputCostModel) penaltySlots(seconds float64) int {
	if seconds == m.lastSeconds {
		return m.lastSecondsSlots
	}
	slots, ok := m.slotsBySeconds[seconds]
	if !ok {
		slots = fetchPenalty(m.scheduler.configuration.Policy, seconds, m.slotSeconds)
		m.slotsBySeconds[seconds] = slots
	}
	m.lastSeconds, m.lastSecondsSlots = seconds, slots
	return slots
}

// CopySlots returns how many slots a task of a group waits for its inputs on a server that does not hold all of them.
// Most servers have no backlog, so the last result is reused when the backlog is the same.
func (m *inputCostModel) CopySlots(group, server int) int {
	if group == m.lastGroup && m.transfer.inFlight == nil && m.singlePartPerTask && m.backlog[server] == m.lastBacklog {
		return m.lastSlots
	}
	if !m.localityAware {
		return 0
	}
	datasets := m.scheduler.datasets
	task := int(m.groups[group].Tasks[0])
	if group != m.lastGroup {
		m.lastGroup = group
		m.transfer.spreadSeconds = datasets.spreadSeconds(m.job, task)
		m.transfer.inFlight = datasets.inFlightCopies(m.job, task)
		if m.singlePartPerTask {
			// The task has a single part, so a server that is no holder lacks all of its input.
			jobInput := m.job.inputs[0]
			m.transfer.bytes = float64(jobInput.summary.PartBytes(task))
			m.transfer.fromStore = len(datasets.snapshot.Holders(jobInput.name, task)) == 0
		}
	}
	if !m.singlePartPerTask {
		m.transfer.bytes, m.transfer.fromStore = datasets.missingBytes(m.job, task, m.machineIDs[server])
	}
	slots := 0
	if m.transfer.bytes > 0 {
		slots = m.penaltySlots(datasets.transferSeconds(m.machineIDs[server], m.backlog[server], m.transfer))
	}
	m.lastBacklog, m.lastSlots = m.backlog[server], slots
	return slots
}

// MinCopySlots returns a lower bound of CopySlots for all servers that do not hold the inputs of a group. Each of them
// lacks at least one part, so the bound is the wait for the smallest part on the link with the smallest backlog.
func (m *inputCostModel) MinCopySlots(group int) int {
	if !m.localityAware {
		return 0
	}
	task := int(m.groups[group].Tasks[0])
	leastBytes := math.Inf(1)
	for _, jobInput := range m.job.inputs {
		if jobInput.partPerTask {
			leastBytes = min(leastBytes, float64(jobInput.summary.PartBytes(task)))
			continue
		}
		leastBytes = min(leastBytes, float64(jobInput.summary.CommonPartBytes))
		for _, partBytes := range jobInput.summary.OtherPartBytes {
			leastBytes = min(leastBytes, float64(partBytes))
		}
	}
	if len(m.scheduler.datasets.inFlightCopies(m.job, task)) > 0 {
		return 0
	}
	return m.penaltySlots(m.scheduler.datasets.planner.TransferDelay(m.minBacklog, leastBytes, false))
}

// TasksCopiedPerSlot returns the number of tasks of a group whose own parts an idle link can transfer per slot. It is
// +Inf if that takes no time.
func (m *inputCostModel) TasksCopiedPerSlot(group int) float64 {
	if !m.localityAware {
		return math.Inf(1)
	}
	bytes := 0.0
	for _, jobInput := range m.job.inputs {
		if jobInput.partPerTask {
			bytes += float64(jobInput.summary.PartBytes(int(m.groups[group].Tasks[0])))
		}
	}
	if seconds := m.scheduler.datasets.planner.TransferDelay(0, bytes, false); seconds > 0 {
		return m.slotSeconds / seconds
	}
	return math.Inf(1)
}

// RecordAssignment adds the bytes that must be copied to a server for the given number of tasks of a group to the
// backlog of that server, so that the jobs that follow in this round take them into account.
func (m *inputCostModel) RecordAssignment(group, server, tasks int) {
	if !m.localityAware {
		return
	}
	datasets := m.scheduler.datasets
	bytes, _ := datasets.missingBytes(m.job, int(m.groups[group].Tasks[0]), m.machineIDs[server])
	m.backlog[server] += bytes * float64(tasks)
	m.lastBacklog = -1
	datasets.planner.ReserveBytes(m.machineNames[server], bytes*float64(tasks))
}

// startCost returns how long a task would wait for its image and inputs on a machine. An image that is already being
// fetched there counts in full. s.mu must be held.
func (s *Scheduler) startCost(job *jobState, task int, machine *machineState) cost.Wait {
	return s.startCostWithImage(machine.FetchSeconds(job.Job.Image, job.Job.ImageGB), job, task, machine)
}

// sharedStartCost is like startCost, but an image that is already being fetched to the machine counts as held.
// s.mu must be held.
func (s *Scheduler) sharedStartCost(job *jobState, task int, machine *machineState) cost.Wait {
	return s.startCostWithImage(machine.fetchSeconds(job), job, task, machine)
}

// startCostWithImage returns how long a task would wait for its image and inputs on a machine, given the time in seconds
// that it takes to fetch the image. s.mu must be held.
func (s *Scheduler) startCostWithImage(imageSeconds float64, job *jobState, task int, machine *machineState) cost.Wait {
	wait := cost.Wait{Image: imageSeconds}
	datasets := s.datasets
	if datasets == nil {
		return wait
	}
	if datasets.settings.Placement == features.PlacementBlind {
		wait.Image = 0
	}
	if len(job.inputs) == 0 || !datasets.localityAware() {
		return wait
	}
	id, ok := datasets.planner.ID(machine.Name)
	if !ok {
		return wait
	}
	bytes, fromStore := datasets.missingBytes(job, task, id)
	if bytes > 0 {
		wait.Data = datasets.transferSeconds(id, datasets.planner.QueuedBytes(machine.Name), inputTransfer{
			bytes:         bytes,
			fromStore:     fromStore,
			spreadSeconds: datasets.spreadSeconds(job, task),
			inFlight:      datasets.inFlightCopies(job, task),
		})
	}
	return wait
}

// transferSeconds returns the time in seconds until a task's inputs are on a machine. They are transferred after the
// backlog of the machine's link, and after the machines that already wait for the same parts. If the task's part is
// already being copied there, only the remaining bytes count, so a task that shares a copy costs little.
func (d *datasetState) transferSeconds(id replicas.MachineID, backlog float64, transfer inputTransfer) float64 {
	if remainingBytes, ok := transfer.inFlight[id]; ok {
		return d.planner.TransferDelay(max(0, backlog-remainingBytes), remainingBytes, false)
	}
	return max(transfer.spreadSeconds, d.planner.TransferDelay(backlog, transfer.bytes, transfer.fromStore))
}

// inFlightCopies returns the machines to which a task's part is being copied, with the bytes still to be transferred. It
// returns nil unless that part is the only input of the task. The caller must not modify the map.
func (d *datasetState) inFlightCopies(job *jobState, task int) map[replicas.MachineID]float64 {
	if len(job.inputs) == 1 && job.inputs[0].partPerTask && job.inputs[0].summary != nil {
		return d.planner.MissingBytes(job.inputs[0].name, task)
	}
	return nil
}

// spreadSeconds returns the time in seconds that the sources of a task's own parts need to deliver them to one more
// machine.
func (d *datasetState) spreadSeconds(job *jobState, task int) (seconds float64) {
	for _, jobInput := range job.inputs {
		if jobInput.partPerTask && jobInput.summary != nil {
			seconds = max(seconds, d.planner.SpreadDelay(jobInput.summary, task, len(d.snapshot.Holders(jobInput.name, task))))
		}
	}
	return seconds
}

// missingBytes returns the number of bytes of a task's inputs that a machine lacks. It returns fromStore if some of them
// are held by no machine, or, for a whole dataset, if no machine holds all of it.
func (d *datasetState) missingBytes(job *jobState, task int, id replicas.MachineID) (bytes float64, fromStore bool) {
	for _, jobInput := range job.inputs {
		switch {
		case jobInput.summary == nil:
		case jobInput.partPerTask:
			if !d.snapshot.Has(id, jobInput.name, task) {
				bytes += float64(jobInput.summary.PartBytes(task))
				fromStore = fromStore || len(d.snapshot.Holders(jobInput.name, task)) == 0
			}
		default:
			if missingParts := jobInput.summary.PartCount - d.snapshot.HeldPartCount(id, jobInput.name); missingParts > 0 {
				bytes += float64(jobInput.summary.Bytes) * float64(missingParts) / float64(jobInput.summary.PartCount)
				fromStore = fromStore || len(d.snapshot.CompleteHolders(jobInput.name)) == 0
			}
		}
	}
	return bytes, fromStore
}

// holders returns the IDs of the machines that hold all inputs of a task, ascending. The caller must not modify the
// slice.
func (d *datasetState) holders(job *jobState, task int) (common []replicas.MachineID) {
	for i, jobInput := range job.inputs {
		holders := d.snapshot.CompleteHolders(jobInput.name)
		if jobInput.partPerTask {
			holders = d.snapshot.Holders(jobInput.name, task)
		}
		if i == 0 {
			common = holders
			continue
		}
		// The slices belong to the snapshot and must not be modified.
		intersection := []replicas.MachineID{}
		for _, id := range common {
			if _, ok := slices.BinarySearch(holders, id); ok {
				intersection = append(intersection, id)
			}
		}
		common = intersection
	}
	return common
}

// mayStage reports whether the inputs of a job can be copied to a machine, because its data agent is alive. It is always
// true for a job without inputs. s.mu must be held.
func (s *Scheduler) mayStage(job *jobState, machine *machineState) bool {
	return len(job.inputs) == 0 || s.datasets != nil && s.datasets.planner.Alive(machine.Name, s.now(), tuning.StageSilenceTimeout)
}

// placeByLocality is waterFill for a job with inputs. It groups the tasks by the machines that hold their inputs. For
// all other machines it adds the time to copy the missing inputs over their links, with the present backlog, to the
// busy time. s.mu must be held.
func (s *Scheduler) placeByLocality(job *jobState) {
	costModel := s.newInputCostModel(job)
	machines, servers, indexByID := s.localityServers(job, costModel)
	if len(machines) == 0 {
		return
	}
	slices.Sort(job.pending)
	costModel.groups = s.groupByHolders(job, job.pending[:s.placeableTasks(job)], indexByID, len(machines))
	assigned := map[int32]bool{}
	for _, share := range placement.FillGroups(servers, costModel.groups, costModel, tuning.MaxWaterFilledGroups) {
		machines[share.Server].enqueue(job, share.Tasks)
		job.queued += len(share.Tasks)
		for _, task := range share.Tasks {
			assigned[task] = true
		}
	}
	job.pending = slices.DeleteFunc(job.pending, func(task int32) bool { return assigned[task] })
	slog.Debug("job queued", "job", job.id, "machines", len(machines), "groups", len(costModel.groups), "tasks", len(assigned))
}

// newInputCostModel returns the input cost model of a job, without any machines. s.mu must be held.
func (s *Scheduler) newInputCostModel(job *jobState) *inputCostModel {
	return &inputCostModel{
		scheduler:         s,
		job:               job,
		slotSeconds:       s.configuration.Policy.Value(policy.SlotS, nil),
		minBacklog:        math.Inf(1),
		slotsBySeconds:    map[float64]int{},
		lastGroup:         -1,
		localityAware:     s.datasets.localityAware(),
		singlePartPerTask: len(job.inputs) == 1 && job.inputs[0].partPerTask,
	}
}

// localityServers returns the machines that may serve a job with inputs, sorted by name, the corresponding servers of
// the water-filling, and their indexes by machine ID. It adds the machines to the job's input cost model.
// s.mu must be held.
func (s *Scheduler) localityServers(job *jobState, costModel *inputCostModel) ([]*machineState, []placement.Server, map[replicas.MachineID]int32) {
	datasets := s.datasets
	var machines []*machineState
	var servers []placement.Server
	indexByID := map[replicas.MachineID]int32{}
	for _, machine := range s.sortedMachines() {
		if !s.eligible(job, machine) || !s.mayStage(job, machine) {
			continue
		}
		server := s.server(machine, job, costModel.slotSeconds)
		if server.Mu <= 0 {
			continue
		}
		if datasets.settings.Placement != features.PlacementBlind {
			server.Busy += costModel.penaltySlots(machine.fetchSeconds(job))
		}
		id, _ := datasets.planner.ID(machine.Name)
		indexByID[id] = int32(len(machines))
		costModel.addMachine(id, machine.Name, datasets.planner.QueuedBytes(machine.Name))
		machines, servers = append(machines, machine), append(servers, server)
	}
	return machines, servers, indexByID
}

// addMachine adds the machine of the next server, with the bytes that are already queued on its link.
func (m *inputCostModel) addMachine(id replicas.MachineID, name string, backlog float64) {
	m.machineIDs = append(m.machineIDs, id)
	m.machineNames = append(m.machineNames, name)
	m.backlog = append(m.backlog, backlog)
	m.minBacklog = min(m.minBacklog, backlog)
}

// groupByHolders groups tasks by the servers that hold all their inputs. If placement is not locality-aware, all tasks
// form one group and every server counts as a holder. s.mu must be held.
func (s *Scheduler) groupByHolders(job *jobState, tasks []int32, indexByID map[replicas.MachineID]int32, servers int) []placement.Group {
	if !s.datasets.localityAware() {
		everyServer := make([]int32, servers)
		for i := range everyServer {
			everyServer[i] = int32(i)
		}
		return []placement.Group{{Tasks: tasks, Holders: everyServer}}
	}
	return placement.Groups(tasks, func(task int32) []int32 {
		var holders []int32
		for _, id := range s.datasets.holders(job, int(task)) {
			if i, ok := indexByID[id]; ok {
				holders = append(holders, i)
			}
		}
		slices.Sort(holders)
		return holders
	})
}

// nextTask returns the index of the first task in a queue whose inputs are staged on a machine, or -1 if there is none.
// The queue must not be empty. s.mu must be held.
func (s *Scheduler) nextTask(queue *runQueue, machine *machineState) int {
	if len(queue.job.inputs) == 0 {
		return 0
	}
	return slices.IndexFunc(queue.tasks, func(t int32) bool { return s.inputsStaged(queue.job, int(t), machine) })
}

// rebalance moves queued tasks of a job with inputs to machines with free resources. A task whose machine has no free
// resources moves at once to a machine that holds its inputs. To a machine to which they must be copied it moves only
// after its job has waited in proportion to the time of the copy, as worthPulling requires for images. A task that
// waits for its inputs on a machine with free resources moves only to a machine that holds them. A moved task starts
// once its inputs are confirmed there. The queues must be those of the job. s.mu must be held.
func (s *Scheduler) rebalance(job *jobState, targets []*machineState, queues []machineQueue) {
	for _, machine := range targets {
		if !s.canStart(job, machine) || !s.mayStage(job, machine) {
			continue
		}
		capacity := machine.free().Count(job.request)
		for _, queue := range machine.queues {
			capacity -= len(queue.tasks)
		}
		for _, source := range queues {
			if capacity <= 0 {
				break
			}
			if source.machine != machine {
				capacity -= s.moveQueued(job, source, machine, capacity)
			}
		}
	}
}

// moveQueued moves up to limit tasks for which shouldMove is true out of a queue to another machine, and returns how
// many it moved. s.mu must be held.
func (s *Scheduler) moveQueued(job *jobState, source machineQueue, target *machineState, limit int) (moved int) {
	couldStart := source.machine.free().Fits(job.request) && s.schedulable(source.machine) && s.mayStage(job, source.machine)
	for i := 0; i < len(source.queue.tasks) && moved < limit; {
		if !s.shouldMove(job, int(source.queue.tasks[i]), source.machine, target, couldStart) {
			i++
			continue
		}
		task := source.queue.removeAt(i)
		target.enqueue(job, []int32{int32(task)})
		job.queued++
		moved++
	}
	return moved
}

// shouldMove reports whether a queued task should move to a machine with free resources. If couldStart is true, the
// source has free resources and the task waits only for its inputs. It then moves only from a source to which inputs
// must still be copied to a target that holds them. If the task would have to wait for inputs or its image on the
// target, it moves only after its job has waited in proportion to that time. s.mu must be held.
func (s *Scheduler) shouldMove(job *jobState, task int, source, target *machineState, couldStart bool) bool {
	wait := s.sharedStartCost(job, task, target)
	seconds := wait.Seconds()
	if couldStart && (wait.Data > 0 || s.sharedStartCost(job, task, source).Data == 0) {
		return false
	}
	return seconds <= tuning.MaxImmediateFetchS || s.since(job.learnedAt).Seconds() >= tuning.PullDelayShare*seconds
}
