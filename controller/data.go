package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/cost"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/placement"
	"switchferry/policy"
	"switchferry/relay/exchange"
	"switchferry/replicas"
	"switchferry/staging"
	"switchferry/store"
	"switchferry/tuning"
)

// A task with inputs is queued like any other, but starts only once its inputs are proved
// whole and pinned on its machine. Until then it holds no room: others take what is free.
// What is copied where follows from the queues, anew in each round, so it needs no record:
// a new leader builds its queues as ever and learns from the agents who holds what.

// followDatasets is what one term knows of datasets.
type datasetState struct {
	settings features.Data
	index    *replicas.Index
	planner  *staging.Planner
	entries  map[string]*dataset.Entry
	// snapshot is who holds what, for one round of the placer.
	snapshot *replicas.Snapshot
	// stuckSince is since when a machine's cache has had no room for what it was to copy.
	stuckSince map[string]time.Time
	// waiting counts tasks that wait for bytes, by job, as of the last round.
	waiting map[string]int
	// hintedVersion is the version of the index that was last put on record, at hintStoredAt.
	hintedVersion uint64
	hintStoredAt  time.Time
	// followHeartbeatRelay are the agents whose last report came through a sibling; mail holds the
	// orders for those behind each.
	relayedReports map[string]*relayedReport
	orderMailboxes *exchange.Mailboxes
	// unlisted are datasets that are being removed, or were; inbox is the revision up to
	// which jobs are known that siblings accepted.
	unlisted      map[string]*dataset.Entry
	inboxRevision uint64
	// removing holds, for each whose removal is being stored, the state that was written.
	removing map[string]string
}

// input is a dataset that a job needs. Set is nil while the dataset is not known.
type input struct {
	name        string
	partPerTask bool
	summary     *dataset.Summary
}

// UseData switches datasets on, before anything is loaded.
func (s *Scheduler) UseData(set features.Data) {
	index := replicas.New()
	limits := staging.Limits{LinkRate: set.LinkMBs * 1e6, StoreRate: set.StoreMBs * 1e6, PerLink: set.PerLink, AtStore: set.AtStore,
		Peers: set.Placement == features.Local || set.Placement == features.Staged}
	s.datasets = &datasetState{settings: set, index: index, planner: staging.New(s.term, limits, index), entries: map[string]*dataset.Entry{},
		snapshot: index.Snapshot(), stuckSince: map[string]time.Time{}, waiting: map[string]int{},
		relayedReports: map[string]*relayedReport{}, orderMailboxes: newMailboxes(s, store.StageMailPrefix, store.StageMailKey, s.stageOrderBody), unlisted: map[string]*dataset.Entry{}, removing: map[string]string{}}
}

// localityAware tells whether the placer looks at who holds what.
func (d *datasetState) localityAware() bool {
	return d.settings.Placement == features.Local || d.settings.Placement == features.Staged
}

// AddDatasets takes in datasets as they stand on record.
func (s *Scheduler) AddDatasets(sets ...*dataset.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addDatasets(sets...)
}

func (s *Scheduler) addDatasets(sets ...*dataset.Entry) {
	if s.datasets == nil {
		return
	}
	fresh := false
	for _, entry := range sets {
		old := s.datasets.entries[entry.Name]
		if old == nil {
			x := *entry
			s.datasets.entries[entry.Name] = &x
			fresh = true
		} else if entry.Stamp > old.Stamp {
			// Jobs point to the summary, which never changes.
			old.State, old.Stamp = entry.State, entry.Stamp
		}
		if entry.State != dataset.Listed {
			s.datasets.unlisted[entry.Name] = s.datasets.entries[entry.Name]
		}
		if entry.State == dataset.Removed {
			s.datasets.planner.RemoveDataset(entry.Name, entry.Manifest.String())
		}
	}
	if !fresh {
		return
	}
	for _, job := range s.jobOrder {
		s.resolveInputs(job)
	}
	s.wakePlacer()
}

// resolveInputs finds a job's datasets.
func (s *Scheduler) resolveInputs(job *jobState) {
	if len(job.inputs) == 0 {
		for _, in := range job.Job.Inputs {
			job.inputs = append(job.inputs, input{name: in.Dataset, partPerTask: in.Use == api.UseOwn})
		}
	}
	for i := range job.inputs {
		if job.inputs[i].summary == nil && s.datasets != nil {
			if x := s.datasets.entries[job.inputs[i].name]; x != nil && x.State != dataset.Removed {
				job.inputs[i].summary = &x.Summary
			}
		}
	}
}

// inputsReady tells whether a job's inputs are known here at all. A job that was accepted
// while the feature was on must not start without its inputs now that it is off.
func (s *Scheduler) inputsReady(job *jobState) bool {
	for _, in := range job.inputs {
		if s.datasets == nil || in.summary == nil {
			return false
		}
	}
	return true
}

// inputsStaged tells whether a task's inputs are proved to be on a machine. Jobs without inputs
// are always staged.
func (s *Scheduler) inputsStaged(job *jobState, task int, machine *machineState) bool {
	for _, in := range job.inputs {
		ok := false
		switch {
		case s.datasets == nil || in.summary == nil:
		case in.partPerTask:
			ok = s.datasets.planner.Confirmed(machine.Name, in.summary, task)
		default:
			ok = s.datasets.planner.ConfirmedAll(machine.Name, in.summary)
		}
		if !ok {
			return false
		}
	}
	return true
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
		w.Data = d.delay(d.planner.QueuedBytes(machine.Name), bytes, fromStore, d.spread(job, task), d.inFlightCopies(job, task), id)
	}
	return w
}

// delay is how long a task's inputs take to a machine: behind what its link has to bring
// already, and behind the machines that wait for the same parts, unless they are on their
// deliveryPath there as well. Like an image, a part that comes anyway costs the next task little.
func (d *datasetState) delay(behind, bytes float64, fromStore bool, spread float64, coming map[replicas.MachineID]float64, id replicas.MachineID) float64 {
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

// spread is how long a task's own parts take until one more machine has them, as many as
// waitForChange for them already, in seconds.
func (d *datasetState) spread(job *jobState, task int) (within float64) {
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

// mayStage tells whether a machine can be given tasks of a job as far as its inputs go.
func (s *Scheduler) mayStage(job *jobState, machine *machineState) bool {
	return len(job.inputs) == 0 || s.datasets != nil && s.datasets.planner.Alive(machine.Name, s.now(), tuning.StageSilent)
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

// placeByLocality is the water-filling of a job with inputs: its tasks in groups by the machines
// that hold what they need, the others with their busy time raised by what copying the
// rest takes as links are loaded now.
func (c *Scheduler) placeByLocality(job *jobState) {
	d := c.datasets
	slot := c.configuration.Policy.Value(policy.SlotS, nil)
	var ms []*machineState
	var servers []placement.Server
	index := map[replicas.MachineID]int32{}
	x := &missingInputs{scheduler: c, job: job, slot: slot, idle: math.Inf(1), slotsBySeconds: map[float64]int{}, group: -1,
		localityAware: d.localityAware(), single: len(job.inputs) == 1 && job.inputs[0].partPerTask}
	for _, machine := range c.sortedMachines() {
		if !c.eligible(job, machine) || !c.mayStage(job, machine) {
			continue
		}
		server := c.server(machine, job, slot)
		if server.Mu <= 0 {
			continue
		}
		if d.settings.Placement != features.Blind {
			server.Busy += x.slots(machine.fetchSeconds(job))
		}
		id, _ := d.planner.ID(machine.Name)
		index[id] = int32(len(ms))
		behind := d.planner.QueuedBytes(machine.Name)
		x.ids, x.names = append(x.ids, id), append(x.names, machine.Name)
		x.backlog, x.idle = append(x.backlog, behind), min(x.idle, behind)
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

// mayNeverStart prices what a group lacks on a machine. A fleet of thousands asks for the same
// few waits over and over, so each is worked out once.
type missingInputs struct {
	scheduler *Scheduler
	job       *jobState
	groups    []placement.Group
	ids       []replicas.MachineID
	names     []string
	// backlog is what each machine's link has to bring already, in bytes; idle the least.
	backlog        []float64
	idle           float64
	slot           float64
	slotsBySeconds map[float64]int
	// lastS is what was asked for last, lastN the answer.
	lastS float64
	lastN int
	// on: inputs are weighed at all; single: there is one, of which each task needs its
	// useCurrentFormat part.
	localityAware, single bool
	// lastBehind and lastSlots are what a machine of the group had to bring already, and
	// what that came to.
	lastBehind float64
	lastSlots  int
	// group is the one that was looked at last; of a single input, bytes is its size and
	// fromStore tells that nobody has it.
	group     int
	bytes     float64
	fromStore bool
	// spread is how long its sources take to give its parts to one more machine.
	spread float64
	// inFlightCopies are the machines that its part is on its way to.
	coming map[replicas.MachineID]float64
}

func (x *missingInputs) slots(seconds float64) int {
	if seconds == x.lastS {
		return x.lastN
	}
	n, ok := x.slotsBySeconds[seconds]
	if !ok {
		n = fetchPenalty(x.scheduler.configuration.Policy, seconds, x.slot)
		x.slotsBySeconds[seconds] = n
	}
	x.lastS, x.lastN = seconds, n
	return n
}

// Slots is for machines that are no holders of the group. Most machines have the same to
// bring already, which is nothing, so the last answer mostly is the next one's.
func (x *missingInputs) Slots(group, server int) int {
	if group == x.group && x.coming == nil && x.single && x.backlog[server] == x.lastBehind {
		return x.lastSlots
	}
	if !x.localityAware {
		return 0
	}
	d := x.scheduler.datasets
	task := int(x.groups[group].Tasks[0])
	if group != x.group {
		x.group, x.spread, x.coming = group, d.spread(x.job, task), d.inFlightCopies(x.job, task)
		if x.single {
			// What is no holder lacks it.
			in := x.job.inputs[0]
			x.bytes, x.fromStore = float64(in.summary.PartBytes(task)), len(d.snapshot.Holders(in.name, task)) == 0
		}
	}
	if !x.single {
		x.bytes, x.fromStore = d.missingBytes(x.job, task, x.ids[server])
	}
	n := 0
	if x.bytes > 0 {
		n = x.slots(d.delay(x.backlog[server], x.bytes, x.fromStore, x.spread, x.coming, x.ids[server]))
	}
	x.lastBehind, x.lastSlots = x.backlog[server], n
	return n
}

// Least is what the smallest input takes on the idlest link: a machine that is no holder
// missingBytes one at least.
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
	return x.slots(x.scheduler.datasets.planner.TransferDelay(x.idle, least, false))
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
	bytes, _ := d.missingBytes(x.job, int(x.groups[group].Tasks[0]), x.ids[server])
	x.backlog[server] += bytes * float64(tasks)
	x.lastBehind = -1
	d.planner.ReserveBytes(x.names[server], bytes*float64(tasks))
}

// fetchPenalty is a wait in slots, as the operators' policy has it.
func fetchPenalty(pol *policy.Policy, seconds, slot float64) int {
	if seconds <= 0 {
		return 0
	}
	return int(pol.Value(policy.FetchPenalty, policy.Vars{"fetch_s": seconds, "slot_s": slot}))
}

// nextTask is the first task of a queue that may start on a machine: the first one whose
// inputs are there; -1: none.
func (s *Scheduler) nextTask(queue *runQueue, machine *machineState) int {
	if len(queue.job.inputs) == 0 {
		return 0
	}
	return slices.IndexFunc(queue.tasks, func(t int32) bool { return s.inputsStaged(queue.job, int(t), machine) })
}

// removeAt takes one task out of a queue.
func (q *runQueue) removeAt(i int) int {
	t := q.tasks[i]
	if i == 0 {
		return q.pop()
	}
	q.tasks = slices.Delete(q.tasks, i, i+1)
	q.job.queued--
	return int(t)
}

// rebalance gives tasks that wait on machines without room to machines that have some: at
// once where their inputs are held, and after the same patience as with images where they
// must be copied. Tasks that wait for bytes on a machine with room go where the bytes are,
// and nowhere else. They start there once that is proved. Queues are those of the job.
func (s *Scheduler) rebalance(job *jobState, roomy []*machineState, queues []queuedOn) {
	for _, machine := range roomy {
		if !s.canStart(job, machine) || !s.mayStage(job, machine) {
			continue
		}
		room := machine.free().Multiple(job.request)
		for _, queue := range machine.queues {
			room -= len(queue.tasks)
		}
		for _, p := range queues {
			from, queue := p.m, p.q
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

// takeStaged takes a task of the job that could start on a machine out of that machine's
// runQueue; -1: none. Nothing is stopped to make room for a task that would only wait there.
func (s *Scheduler) takeStaged(job *jobState, machine *machineState) int {
	if queue, i := s.stagedOn(job, machine); i >= 0 {
		return queue.removeAt(i)
	}
	return -1
}

// stagedOn is where in a machine's queue the first task of the job stands that could start
// there; -1: nowhere.
func (s *Scheduler) stagedOn(job *jobState, machine *machineState) (*runQueue, int) {
	for _, queue := range machine.queues {
		if queue.job == job {
			return queue, s.nextTask(queue, machine)
		}
	}
	return nil, -1
}

func (s *Scheduler) hasStaged(job *jobState, machine *machineState) bool {
	_, i := s.stagedOn(job, machine)
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

// planStaging decides what is to be copied, after a round of the placer, and sends out the
// orders that changed. First stands what runs, which must stay where it is; then, job by
// jobState in the order of the queues, tasks that a machine has room for, and some more.
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
		// sendStageOrder of number 0 changes nothing.
		o = api.StageOrder{Term: r.Term, Sets: []api.StageSet{}}
	}
	return o, false, false
}

// DataView is what operators see of datasets.
type DataView struct {
	Datasets []DatasetView     `json:"datasets"`
	Copies   []CopyView        `json:"copies"`
	Waiting  []api.WaitingView `json:"waiting"`
}

// DatasetView is one dataset: how many machines hold all or some of it, and how many of
// its parts no machine holds.
type DatasetView struct {
	Name    string `json:"name"`
	Bytes   int64  `json:"bytes"`
	Parts   int    `json:"parts"`
	Whole   int    `json:"machines_whole"`
	Some    int    `json:"machines_some"`
	Nowhere int    `json:"parts_nowhere"`
	// State is empty, "removing" or "removed"; Jobs still need it.
	State string `json:"state,omitempty"`
	Jobs  int    `json:"jobs"`
}

// CopyView is one copy under way.
type CopyView struct {
	Machine string            `json:"machine"`
	Dataset string            `json:"dataset"`
	Part    int               `json:"part"`
	Got     int64             `json:"bytes_got"`
	Of      int64             `json:"bytes"`
	From    string            `json:"from"`
	Failed  map[string]string `json:"failed,omitempty"`
	Full    bool              `json:"cache_full,omitempty"`
}

// Datasets shows datasets, who holds them, and what is copied. Who holds what is read from a
// snapshot, without the core's lock.
func (s *Scheduler) Datasets() (v DataView, on bool) {
	s.mu.Lock()
	d := s.datasets
	if d == nil {
		s.mu.Unlock()
		return v, false
	}
	v = DataView{Datasets: []DatasetView{}, Copies: []CopyView{}, Waiting: []api.WaitingView{}}
	jobs := map[string]int{}
	for _, job := range s.jobOrder {
		for _, in := range job.inputs {
			jobs[in.name]++
		}
	}
	snap := d.index.Snapshot()
	for _, entry := range d.entries {
		if entry.State == dataset.Removed && !snap.Known(entry.Name) {
			continue
		}
		v.Datasets = append(v.Datasets, DatasetView{Name: entry.Name, Bytes: entry.Bytes, Parts: entry.Parts, State: entry.State, Jobs: jobs[entry.Name]})
	}
	for _, x := range d.planner.Copies() {
		v.Copies = append(v.Copies, CopyView{Machine: x.Machine, Dataset: x.Dataset, Part: x.Part, Got: x.Got, Of: x.Of,
			From: x.From[0].String(), Failed: x.Failed, Full: x.Full})
	}
	for _, job := range s.jobOrder {
		switch n := d.waiting[job.id]; {
		case !s.inputsReady(job):
			v.Waiting = append(v.Waiting, api.WaitingView{Job: job.id, Tasks: job.taskCount - job.completedCount, Why: "a dataset is not known to this controller yet"})
		case n > 0:
			v.Waiting = append(v.Waiting, api.WaitingView{Job: job.id, Tasks: n, Why: "inputs are not on their machines yet"})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(v.Datasets, func(a, b DatasetView) int { return strings.Compare(a.Name, b.Name) })
	for i := range v.Datasets {
		x := &v.Datasets[i]
		some := roaring.New()
		for k := range x.Parts {
			on := snap.Holders(x.Name, k)
			if len(on) == 0 {
				x.Nowhere++
			}
			for _, m := range on {
				some.Add(uint32(m))
			}
		}
		x.Whole = len(snap.Complete(x.Name))
		x.Some = int(some.GetCardinality())
	}
	return v, true
}

// logDatasets logs how staging stands.
func (s *Scheduler) logDatasets() {
	if s.datasets == nil {
		return
	}
	tasks := 0
	for _, n := range s.datasets.waiting {
		tasks += n
	}
	slog.Info("staging", "tasks_waiting", tasks, "jobs_waiting", len(s.datasets.waiting), "copies", len(s.datasets.planner.Copies()),
		"backlog_mb", int(s.datasets.planner.Backlog()/1e6), "planned", s.datasets.planner.Planned, "failed", s.datasets.planner.Failed)
}

// parseDataset reads a dataset's record.
func parseDataset(it *store.Item) (*dataset.Entry, error) {
	var s dataset.Entry
	if err := json.Unmarshal(it.Value, &s); err != nil {
		return nil, err
	}
	s.Stamp = it.Revision
	if s.State != dataset.Listed && s.State != dataset.Removing && s.State != dataset.Removed {
		return nil, fmt.Errorf("state %.20q is not known to this version", s.State)
	}
	return &s, s.Check()
}
