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
func (c *Scheduler) placeByLocality(job *jobState) {
	d := c.datasets
	slot := c.configuration.Policy.Value(policy.SlotS, nil)
	var ms []*machineState
	var servers []placement.Server
	index := map[replicas.MachineID]int32{}
	x := &missingInputs{scheduler: c, job: job, slot: slot, leastBacklog: math.Inf(1), slotsBySeconds: map[float64]int{}, lastGroup: -1,
		localityAware: d.localityAware(), singlePartPerTask: len(job.inputs) == 1 && job.inputs[0].partPerTask}
	for _, machine := range c.sortedMachines() {
		if !c.eligible(job, machine) || !c.mayStage(job, machine) {
			continue
		}
		server := c.server(machine, job, slot)
		if server.Mu <= 0 {
			continue
		}
		if d.settings.Placement != features.Blind {
			server.Busy += x.slotsOf(machine.fetchSeconds(job))
		}
		id, _ := d.planner.ID(machine.Name)
		index[id] = int32(len(ms))
		behind := d.planner.QueuedBytes(machine.Name)
		x.machineIDs, x.machineNames = append(x.machineIDs, id), append(x.machineNames, machine.Name)
		x.backlog, x.leastBacklog = append(x.backlog, behind), min(x.leastBacklog, behind)
		ms, servers = append(ms, machine), append(servers, server)
	}
	if len(ms) == 0 {
		return
	}
	slices.Sort(job.pending)
	open := c.placeableTasks(job)
	// Whoever does not look at inputs sees one group that all machines hold.
	everyone := make([]int32, len(ms))
	for i := range ms {
		everyone[i] = int32(i)
	}
	groups := []placement.Group{{Tasks: job.pending[:open], Holders: everyone}}
	if d.localityAware() {
		groups = placement.Groups(job.pending[:open], func(t int32) []int32 {
			var out []int32
			for _, id := range d.holders(job, int(t)) {
				if i, ok := index[id]; ok {
					out = append(out, i)
				}
			}
			slices.Sort(out)
			return out
		})
	}
	x.groups = groups
	given := map[int32]bool{}
	for _, s := range placement.FillGroups(servers, groups, x, tuning.GroupsFilled) {
		ms[s.Server].enqueue(job, s.Tasks)
		job.queued += len(s.Tasks)
		for _, t := range s.Tasks {
			given[t] = true
		}
	}
	job.pending = slices.DeleteFunc(job.pending, func(t int32) bool { return given[t] })
	slog.Debug("job queued", "job", job.id, "machines", len(ms), "groups", len(groups), "tasks", len(given))
}

// nextTask is the first task of a queue that may start on a machine: the first one whose
// inputs are there; -1: none.
func (s *Scheduler) nextTask(queue *runQueue, machine *machineState) int {
	if len(queue.job.inputs) == 0 {
		return 0
	}
	return slices.IndexFunc(queue.tasks, func(t int32) bool { return s.inputsStaged(queue.job, int(t), machine) })
}

// rebalance gives tasks that wait on machines without room to machines that have some: at
// once where their inputs are held, and after the same patience as with images where they
// must be copied. Tasks that wait for bytes on a machine with room go where the bytes are,
// and nowhere else. They start there once that is proved. Queues are those of the job.
func (s *Scheduler) rebalance(job *jobState, roomy []*machineState, queues []machineQueue) {
	for _, machine := range roomy {
		if !s.canStart(job, machine) || !s.mayStage(job, machine) {
			continue
		}
		room := machine.free().Multiple(job.request)
		for _, queue := range machine.queues {
			room -= len(queue.tasks)
		}
		for _, p := range queues {
			from, queue := p.machine, p.queue
			if room <= 0 {
				break
			}
			if from == machine {
				continue
			}
			couldStart := from.free().Fits(job.request) && s.schedulable(from) && s.mayStage(job, from)
			for i := 0; i < len(queue.tasks) && room > 0; {
				here := s.startCost(job, int(queue.tasks[i]), machine, true)
				w := here.Seconds()
				if couldStart && (here.Data > 0 || s.startCost(job, int(queue.tasks[i]), from, true).Data == 0) || w > tuning.FreeFetch && s.since(job.learnedAt).Seconds() < tuning.PullPatience*w {
					i++
					continue
				}
				t := queue.removeAt(i)
				machine.enqueue(job, []int32{int32(t)})
				job.queued++
				room--
			}
		}
	}
}
