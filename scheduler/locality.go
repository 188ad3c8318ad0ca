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

// missingInputs is the placement.InputCost of one job: what the inputs cost that a group of its tasks lacks on a
// machine. A fleet of thousands asks for the same few waits over and over, so each is worked out once. s.mu must be
// held.
type missingInputs struct {
	scheduler *Scheduler
	job       *jobState
	groups    []placement.Group
	// slot is the length of a slot in seconds.
	slot float64
	// localityAware is false if inputs are not weighed at all.
	localityAware bool
	// singlePartPerTask is true if the job has one input, of which each task needs its own part.
	singlePartPerTask bool

	// machineIDs, machineNames and backlog are by server; backlog is what a machine's link has to bring already, in
	// bytes, and leastBacklog the least of these.
	machineIDs   []replicas.MachineID
	machineNames []string
	backlog      []float64
	leastBacklog float64

	// slotsBySeconds caches slotsOf; lastSeconds and lastSecondsSlots are its last argument and result.
	slotsBySeconds   map[float64]int
	lastSeconds      float64
	lastSecondsSlots int

	// lastGroup is the group that Slots was last asked for, and transfer what a task of it needs; transfer.bytes and
	// transfer.fromStore hold for all its servers if singlePartPerTask is set, else for the last one.
	lastGroup int
	transfer  inputTransfer
	// lastBacklog and lastSlots are the backlog of the server that Slots was last asked for, and its result.
	lastBacklog float64
	lastSlots   int
}

// inputTransfer is what must be copied to a machine before a task can start there.
type inputTransfer struct {
	bytes float64
	// fromStore is true if no machine holds some of it.
	fromStore bool
	// spreadSeconds is how long its sources take to give the task's own parts to one more machine.
	spreadSeconds float64
	// inFlight is how many bytes have yet to reach each machine that the task's part is being copied to; nil if
	// nothing is known of that.
	inFlight map[replicas.MachineID]float64
}

// slotsOf returns the slots that the operators' policy counts for a wait in seconds.
func (x *missingInputs) slotsOf(seconds float64) int {
	if seconds == x.lastSeconds {
		return x.lastSecondsSlots
	}
	slots, ok := x.slotsBySeconds[seconds]
	if !ok {
		slots = fetchPenalty(x.scheduler.configuration.Policy, seconds, x.slot)
		x.slotsBySeconds[seconds] = slots
	}
	x.lastSeconds, x.lastSecondsSlots = seconds, slots
	return slots
}

// Slots returns the wait for the inputs of a group's task on a server that does not hold all of them, in slots. Most
// servers have the same backlog, none, so the last result mostly is the next one.
func (x *missingInputs) Slots(group, server int) int {
	if group == x.lastGroup && x.transfer.inFlight == nil && x.singlePartPerTask && x.backlog[server] == x.lastBacklog {
		return x.lastSlots
	}
	if !x.localityAware {
		return 0
	}
	datasets := x.scheduler.datasets
	task := int(x.groups[group].Tasks[0])
	if group != x.lastGroup {
		x.lastGroup = group
		x.transfer.spreadSeconds = datasets.spreadSeconds(x.job, task)
		x.transfer.inFlight = datasets.inFlightCopies(x.job, task)
		if x.singlePartPerTask {
			// A server that is no holder lacks all of it.
			jobInput := x.job.inputs[0]
			x.transfer.bytes = float64(jobInput.summary.PartBytes(task))
			x.transfer.fromStore = len(datasets.snapshot.Holders(jobInput.name, task)) == 0
		}
	}
	if !x.singlePartPerTask {
		x.transfer.bytes, x.transfer.fromStore = datasets.missingBytes(x.job, task, x.machineIDs[server])
	}
	slots := 0
	if x.transfer.bytes > 0 {
		slots = x.slotsOf(datasets.transferSeconds(x.machineIDs[server], x.backlog[server], x.transfer))
	}
	x.lastBacklog, x.lastSlots = x.backlog[server], slots
	return slots
}

// Least returns a lower bound of Slots for all servers that are no holders of a group: each lacks one input at least,
// so the bound is the wait for the smallest on the link with the least backlog.
func (x *missingInputs) Least(group int) int {
	if !x.localityAware {
		return 0
	}
	task := int(x.groups[group].Tasks[0])
	leastBytes := math.Inf(1)
	for _, jobInput := range x.job.inputs {
		if jobInput.partPerTask {
			leastBytes = min(leastBytes, float64(jobInput.summary.PartBytes(task)))
			continue
		}
		leastBytes = min(leastBytes, float64(jobInput.summary.Usual))
		for _, partBytes := range jobInput.summary.Odd {
			leastBytes = min(leastBytes, float64(partBytes))
		}
	}
	if len(x.scheduler.datasets.inFlightCopies(x.job, task)) > 0 {
		return 0
	}
	return x.slotsOf(x.scheduler.datasets.planner.TransferDelay(x.leastBacklog, leastBytes, false))
}

// Rate returns for how many tasks of a group an idle link brings the inputs in a slot.
func (x *missingInputs) Rate(group int) float64 {
	if !x.localityAware {
		return math.Inf(1)
	}
	bytes := 0.0
	for _, jobInput := range x.job.inputs {
		if jobInput.partPerTask {
			bytes += float64(jobInput.summary.PartBytes(int(x.groups[group].Tasks[0])))
		}
	}
	if seconds := x.scheduler.datasets.planner.TransferDelay(0, bytes, false); seconds > 0 {
		return x.slot / seconds
	}
	return math.Inf(1)
}

// Took adds what tasks of a group lack on a server to its backlog, for the jobs that follow in this round.
func (x *missingInputs) Took(group, server, tasks int) {
	if !x.localityAware {
		return
	}
	datasets := x.scheduler.datasets
	bytes, _ := datasets.missingBytes(x.job, int(x.groups[group].Tasks[0]), x.machineIDs[server])
	x.backlog[server] += bytes * float64(tasks)
	x.lastBacklog = -1
	datasets.planner.ReserveBytes(x.machineNames[server], bytes*float64(tasks))
}

// startCost returns what a task would wait for on a machine, where an image that is on its way there costs as much as
// any other. s.mu must be held.
func (s *Scheduler) startCost(job *jobState, task int, machine *machineState) cost.Wait {
	return s.waitWith(machine.FetchSeconds(job.Job.Image, job.Job.ImageGB), job, task, machine)
}

// sharedStartCost is startCost where an image that is on its way to the machine counts as held. s.mu must be held.
func (s *Scheduler) sharedStartCost(job *jobState, task int, machine *machineState) cost.Wait {
	return s.waitWith(machine.fetchSeconds(job), job, task, machine)
}

// waitWith returns what a task would wait for on a machine if its image took so many seconds to fetch there.
// s.mu must be held.
func (s *Scheduler) waitWith(imageSeconds float64, job *jobState, task int, machine *machineState) cost.Wait {
	wait := cost.Wait{Image: imageSeconds}
	datasets := s.datasets
	if datasets == nil {
		return wait
	}
	if datasets.settings.Placement == features.Blind {
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

// transferSeconds returns how long a task's inputs take to a machine: after the bytes of its link's backlog, and
// after the machines that wait for the same parts, unless the parts are on their way there already. Like an image,
// a part that is copied anyway costs the next task little.
func (d *datasetState) transferSeconds(id replicas.MachineID, backlog float64, transfer inputTransfer) float64 {
	if left, ok := transfer.inFlight[id]; ok {
		return d.planner.TransferDelay(max(0, backlog-left), left, false)
	}
	return max(transfer.spreadSeconds, d.planner.TransferDelay(backlog, transfer.bytes, transfer.fromStore))
}

// inFlightCopies returns the machines that a task's part is being copied to, with the bytes that they still lack;
// nil unless the part is all that the task needs. The map must not be changed.
func (d *datasetState) inFlightCopies(job *jobState, task int) map[replicas.MachineID]float64 {
	if len(job.inputs) == 1 && job.inputs[0].partPerTask && job.inputs[0].summary != nil {
		return d.planner.InFlight(job.inputs[0].name, task)
	}
	return nil
}

// spreadSeconds returns how long the sources of a task's own parts take until one more machine has them, in seconds.
func (d *datasetState) spreadSeconds(job *jobState, task int) (seconds float64) {
	for _, jobInput := range job.inputs {
		if jobInput.partPerTask && jobInput.summary != nil {
			seconds = max(seconds, d.planner.Spread(jobInput.summary, task, len(d.snapshot.Holders(jobInput.name, task))))
		}
	}
	return seconds
}

// missingBytes returns how many bytes of a task's inputs a machine lacks, and whether no machine holds some of them.
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
			if missingParts := jobInput.summary.Parts - d.snapshot.Count(id, jobInput.name); missingParts > 0 {
				bytes += float64(jobInput.summary.Bytes) * float64(missingParts) / float64(jobInput.summary.Parts)
				fromStore = fromStore || len(d.snapshot.Complete(jobInput.name)) == 0
			}
		}
	}
	return bytes, fromStore
}

// holders returns the machines that hold all inputs of a task, ascending.
func (d *datasetState) holders(job *jobState, task int) (common []replicas.MachineID) {
	for i, jobInput := range job.inputs {
		holders := d.snapshot.Complete(jobInput.name)
		if jobInput.partPerTask {
			holders = d.snapshot.Holders(jobInput.name, task)
		}
		if i == 0 {
			common = holders
			continue
		}
		// The lists belong to the snapshot, so the intersection is a new one.
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

// mayStage reports whether a machine may get tasks of a job as far as its inputs go: they can be copied there.
// s.mu must be held.
func (s *Scheduler) mayStage(job *jobState, machine *machineState) bool {
	return len(job.inputs) == 0 || s.datasets != nil && s.datasets.planner.Alive(machine.Name, s.now(), tuning.StageSilent)
}

// placeByLocality is waterFill for a job with inputs: its tasks in groups by the machines that hold what they need,
// the busy time of the others raised by what copying the rest takes over the links as they are loaded now.
// s.mu must be held.
func (s *Scheduler) placeByLocality(job *jobState) {
	missing := s.newMissingInputs(job)
	machines, servers, indexByID := s.localityServers(job, missing)
	if len(machines) == 0 {
		return
	}
	slices.Sort(job.pending)
	missing.groups = s.groupByHolders(job, job.pending[:s.placeableTasks(job)], indexByID, len(machines))
	assigned := map[int32]bool{}
	for _, share := range placement.FillGroups(servers, missing.groups, missing, tuning.GroupsFilled) {
		machines[share.Server].enqueue(job, share.Tasks)
		job.queued += len(share.Tasks)
		for _, task := range share.Tasks {
			assigned[task] = true
		}
	}
	job.pending = slices.DeleteFunc(job.pending, func(task int32) bool { return assigned[task] })
	slog.Debug("job queued", "job", job.id, "machines", len(machines), "groups", len(missing.groups), "tasks", len(assigned))
}

// newMissingInputs returns what prices the inputs of a job, with no machines in it. s.mu must be held.
func (s *Scheduler) newMissingInputs(job *jobState) *missingInputs {
	return &missingInputs{
		scheduler:         s,
		job:               job,
		slot:              s.configuration.Policy.Value(policy.SlotS, nil),
		leastBacklog:      math.Inf(1),
		slotsBySeconds:    map[float64]int{},
		lastGroup:         -1,
		localityAware:     s.datasets.localityAware(),
		singlePartPerTask: len(job.inputs) == 1 && job.inputs[0].partPerTask,
	}
}

// localityServers returns the machines that may serve a job with inputs, by name, the same as servers of the
// water-filling, and their positions by machine ID; it adds them to what prices the inputs. s.mu must be held.
func (s *Scheduler) localityServers(job *jobState, missing *missingInputs) ([]*machineState, []placement.Server, map[replicas.MachineID]int32) {
	datasets := s.datasets
	var machines []*machineState
	var servers []placement.Server
	indexByID := map[replicas.MachineID]int32{}
	for _, machine := range s.sortedMachines() {
		if !s.eligible(job, machine) || !s.mayStage(job, machine) {
			continue
		}
		server := s.server(machine, job, missing.slot)
		if server.Mu <= 0 {
			continue
		}
		if datasets.settings.Placement != features.Blind {
			server.Busy += missing.slotsOf(machine.fetchSeconds(job))
		}
		id, _ := datasets.planner.ID(machine.Name)
		indexByID[id] = int32(len(machines))
		missing.addMachine(id, machine.Name, datasets.planner.QueuedBytes(machine.Name))
		machines, servers = append(machines, machine), append(servers, server)
	}
	return machines, servers, indexByID
}

// addMachine adds the next server, with the bytes that its link has to bring already.
func (x *missingInputs) addMachine(id replicas.MachineID, name string, backlog float64) {
	x.machineIDs = append(x.machineIDs, id)
	x.machineNames = append(x.machineNames, name)
	x.backlog = append(x.backlog, backlog)
	x.leastBacklog = min(x.leastBacklog, backlog)
}

// groupByHolders groups tasks by the servers that hold all their inputs. Without locality awareness all tasks are
// one group that every server holds. s.mu must be held.
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

// nextTask returns the index of the first task in a queue whose inputs are staged on a machine; -1 if there is none.
// The queue must not be empty. s.mu must be held.
func (s *Scheduler) nextTask(queue *runQueue, machine *machineState) int {
	if len(queue.job.inputs) == 0 {
		return 0
	}
	return slices.IndexFunc(queue.tasks, func(t int32) bool { return s.inputsStaged(queue.job, int(t), machine) })
}

// rebalance moves tasks that are queued on machines without free resources to machines that have some: at
// once where their inputs are held, and after the same patience as with images where they must be copied. A task
// that waits for bytes on a machine with free resources moves only to where the bytes are. It starts there once
// that is proved. The queues are those of the job. s.mu must be held.
func (s *Scheduler) rebalance(job *jobState, available []*machineState, queues []machineQueue) {
	for _, machine := range available {
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

// moveQueued moves up to limit tasks out of a queue to another machine, those that gain by it, and returns how many.
// s.mu must be held.
func (s *Scheduler) moveQueued(job *jobState, source machineQueue, target *machineState, limit int) (moved int) {
	couldStart := source.machine.free().Fits(job.request) && s.schedulable(source.machine) && s.mayStage(job, source.machine)
	for i := 0; i < len(source.queue.tasks) && moved < limit; {
		if !s.gainsByMove(job, int(source.queue.tasks[i]), source.machine, target, couldStart) {
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

// gainsByMove reports whether a queued task should move to a machine with free resources. One that could start
// where it is, but for its inputs, moves only to where it needs none copied; and one that must wait for a copy or
// its image there moves only after its job has waited in proportion. s.mu must be held.
func (s *Scheduler) gainsByMove(job *jobState, task int, source, target *machineState, couldStart bool) bool {
	wait := s.sharedStartCost(job, task, target)
	seconds := wait.Seconds()
	if couldStart && (wait.Data > 0 || s.sharedStartCost(job, task, source).Data == 0) {
		return false
	}
	return seconds <= tuning.FreeFetch || s.since(job.learnedAt).Seconds() >= tuning.PullPatience*seconds
}
