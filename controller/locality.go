package controller

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

// missingInputs prices what a group lacks on a machine. A fleet of thousands asks for the same
// few waits over and over, so each is worked out once.
type missingInputs struct {
	scheduler    *Scheduler
	job          *jobState
	groups       []placement.Group
	machineIDs   []replicas.MachineID
	machineNames []string
	// backlog is what each machine's link has to bring already, in bytes; idle the least.
	backlog        []float64
	leastBacklog   float64
	slot           float64
	slotsBySeconds map[float64]int
	// lastSeconds is what was asked for last, lastSecondsSlots the answer.
	lastSeconds      float64
	lastSecondsSlots int
	// on: inputs are weighed at all; single: there is one, of which each task needs its
	// own part.
	localityAware, singlePartPerTask bool
	// lastBacklog and lastSlots are what a machine of the group had to bring already, and
	// what that came to.
	lastBacklog float64
	lastSlots   int
	// lastGroup is the one that was looked at last; of a single input, bytes is its size and
	// fromStore tells that nobody has it.
	lastGroup int
	partBytes float64
	fromStore bool
	// spreadSeconds is how long its sources take to give its parts to one more machine.
	spreadSeconds float64
	// inFlight are the machines that its part is on its way to.
	inFlight map[replicas.MachineID]float64
}

func (x *missingInputs) slotsOf(seconds float64) int {
	if seconds == x.lastSeconds {
		return x.lastSecondsSlots
	}
	n, ok := x.slotsBySeconds[seconds]
	if !ok {
		n = fetchPenalty(x.scheduler.configuration.Policy, seconds, x.slot)
		x.slotsBySeconds[seconds] = n
	}
	x.lastSeconds, x.lastSecondsSlots = seconds, n
	return n
}

// Slots is for machines that are no holders of the group. Most machines have the same to
// bring already, which is nothing, so the last answer mostly is the next one's.
func (x *missingInputs) Slots(group, server int) int {
	if group == x.lastGroup && x.inFlight == nil && x.singlePartPerTask && x.backlog[server] == x.lastBacklog {
		return x.lastSlots
	}
	if !x.localityAware {
		return 0
	}
	d := x.scheduler.datasets
	task := int(x.groups[group].Tasks[0])
	if group != x.lastGroup {
		x.lastGroup, x.spreadSeconds, x.inFlight = group, d.spreadSeconds(x.job, task), d.inFlightCopies(x.job, task)
		if x.singlePartPerTask {
			// What is no holder lacks it.
			in := x.job.inputs[0]
			x.partBytes, x.fromStore = float64(in.summary.PartBytes(task)), len(d.snapshot.Holders(in.name, task)) == 0
		}
	}
	if !x.singlePartPerTask {
		x.partBytes, x.fromStore = d.missingBytes(x.job, task, x.machineIDs[server])
	}
	n := 0
	if x.partBytes > 0 {
		n = x.slotsOf(d.transferSeconds(x.backlog[server], x.partBytes, x.fromStore, x.spreadSeconds, x.inFlight, x.machineIDs[server]))
	}
	x.lastBacklog, x.lastSlots = x.backlog[server], n
	return n
}

// Least is what the smallest input takes on the idlest link: a machine that is no holder
// lacks one at least.
func (x *missingInputs) Least(group int) int {
	if !x.localityAware {
		return 0
	}
	task, least := int(x.groups[group].Tasks[0]), math.Inf(1)
	for _, in := range x.job.inputs {
		if in.partPerTask {
			least = min(least, float64(in.summary.PartBytes(task)))
		} else {
			least = min(least, float64(in.summary.Usual))
			for _, b := range in.summary.Odd {
				least = min(least, float64(b))
			}
		}
	}
	if len(x.scheduler.datasets.inFlightCopies(x.job, task)) > 0 {
		return 0
	}
	return x.slotsOf(x.scheduler.datasets.planner.TransferDelay(x.leastBacklog, least, false))
}

// Rate is what an idle link brings of one task's inputs in a slot.
func (x *missingInputs) Rate(group int) float64 {
	if !x.localityAware {
		return math.Inf(1)
	}
	d, bytes := x.scheduler.datasets, 0.0
	for _, in := range x.job.inputs {
		if in.partPerTask {
			bytes += float64(in.summary.PartBytes(int(x.groups[group].Tasks[0])))
		}
	}
	if within := d.planner.TransferDelay(0, bytes, false); within > 0 {
		return x.slot / within
	}
	return math.Inf(1)
}

// Took counts what is to come to a machine now, for the jobs that follow in this round.
func (x *missingInputs) Took(group, server, tasks int) {
	if !x.localityAware {
		return
	}
	d := x.scheduler.datasets
	bytes, _ := d.missingBytes(x.job, int(x.groups[group].Tasks[0]), x.machineIDs[server])
	x.backlog[server] += bytes * float64(tasks)
	x.lastBacklog = -1
	d.planner.ReserveBytes(x.machineNames[server], bytes*float64(tasks))
}

// startCost is what a task would wait for on a machine: the one place that says so. Joins: an
// image that is on its way there counts as held.
func (s *Scheduler) startCost(job *jobState, task int, machine *machineState, joins bool) cost.Wait {
	var w cost.Wait
	if joins {
		w.Image = machine.fetchSeconds(job)
	} else {
		w.Image = machine.FetchSeconds(job.Job.Image, job.Job.ImageGB)
	}
	d := s.datasets
	if d == nil {
		return w
	}
	if d.settings.Placement == features.Blind {
		w.Image = 0
	}
	if len(job.inputs) == 0 || !d.localityAware() {
		return w
	}
	id, ok := d.planner.ID(machine.Name)
	if !ok {
		return w
	}
	bytes, fromStore := d.missingBytes(job, task, id)
	if bytes > 0 {
		w.Data = d.transferSeconds(d.planner.QueuedBytes(machine.Name), bytes, fromStore, d.spreadSeconds(job, task), d.inFlightCopies(job, task), id)
	}
	return w
}

// transferSeconds is how long a task's inputs take to a machine: behind what its link has to bring
// already, and behind the machines that wait for the same parts, unless they are on their
// way there as well. Like an image, a part that comes anyway costs the next task little.
func (d *datasetState) transferSeconds(behind, bytes float64, fromStore bool, spread float64, coming map[replicas.MachineID]float64, id replicas.MachineID) float64 {
	if left, ok := coming[id]; ok {
		return d.planner.TransferDelay(max(0, behind-left), left, false)
	}
	return max(spread, d.planner.TransferDelay(behind, bytes, fromStore))
}

// inFlightCopies are the machines that a task's part is on its way to, for a job that needs
// nothing else.
func (d *datasetState) inFlightCopies(job *jobState, task int) map[replicas.MachineID]float64 {
	if len(job.inputs) == 1 && job.inputs[0].partPerTask && job.inputs[0].summary != nil {
		return d.planner.InFlight(job.inputs[0].name, task)
	}
	return nil
}

// spreadSeconds is how long a task's own parts take until one more machine has them, as many as
// wait for them already, in seconds.
func (d *datasetState) spreadSeconds(job *jobState, task int) (within float64) {
	for _, in := range job.inputs {
		if in.partPerTask && in.summary != nil {
			within = max(within, d.planner.Spread(in.summary, task, len(d.snapshot.Holders(in.name, task))))
		}
	}
	return within
}

// missingBytes is how many bytes of a task's inputs a machine lacks, and whether some of them
// are on no machine.
func (d *datasetState) missingBytes(job *jobState, task int, id replicas.MachineID) (bytes float64, fromStore bool) {
	for _, in := range job.inputs {
		switch {
		case in.summary == nil:
		case in.partPerTask:
			if !d.snapshot.Has(id, in.name, task) {
				bytes += float64(in.summary.PartBytes(task))
				fromStore = fromStore || len(d.snapshot.Holders(in.name, task)) == 0
			}
		default:
			if lacks := in.summary.Parts - d.snapshot.Count(id, in.name); lacks > 0 {
				bytes += float64(in.summary.Bytes) * float64(lacks) / float64(in.summary.Parts)
				fromStore = fromStore || len(d.snapshot.Complete(in.name)) == 0
			}
		}
	}
	return bytes, fromStore
}

// holders are the machines, by their numbers and in order, that hold all inputs of a task.
func (d *datasetState) holders(job *jobState, task int) (out []replicas.MachineID) {
	for i, in := range job.inputs {
		on := d.snapshot.Complete(in.name)
		if in.partPerTask {
			on = d.snapshot.Holders(in.name, task)
		}
		if i == 0 {
			out = on
			continue
		}
		both := []replicas.MachineID{}
		for _, m := range out {
			if _, ok := slices.BinarySearch(on, m); ok {
				both = append(both, m)
			}
		}
		out = both
	}
	return out
}

// mayStage tells whether a machine can be given tasks of a job as far as its inputs go.
func (s *Scheduler) mayStage(job *jobState, machine *machineState) bool {
	return len(job.inputs) == 0 || s.datasets != nil && s.datasets.planner.Alive(machine.Name, s.now(), tuning.StageSilent)
}

// placeByLocality is the water-filling of a job with inputs: its tasks in groups by the machines
// that hold what they need, the others with their busy time raised by what copying the
// rest takes as links are loaded now.
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

// nextTask is the first task of a queue that may start on a machine: the first one whose
// inputs are there; -1: none.
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
		capacity := machine.free().Multiple(job.request)
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
	wait := s.startCost(job, task, target, true)
	seconds := wait.Seconds()
	if couldStart && (wait.Data > 0 || s.startCost(job, task, source, true).Data == 0) {
		return false
	}
	return seconds <= tuning.FreeFetch || s.since(job.learnedAt).Seconds() >= tuning.PullPatience*seconds
}
