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

// data is what one term knows of datasets.
type data struct {
	set   features.Data
	index *replicas.Index
	desk  *staging.Planner
	sets  map[string]*dataset.Entry
	// snap is who holds what, for one round of the placer.
	snap *replicas.Snapshot
	// stuck is since when a machine's cache has had no room for what it was to copy.
	stuck map[string]time.Time
	// waiting counts tasks that wait for bytes, by job, as of the last round.
	waiting map[string]int
	// hinted is the version of the index that was last put on record, at hintAt.
	hinted uint64
	hintAt time.Time
	// relayed are the agents whose last report came through a sibling; mail holds the
	// orders for those behind each.
	relayed map[string]*mailed
	mail    *exchange.Mailboxes
	// unlisted are datasets that are being removed, or were; inbox is the revision up to
	// which jobs are known that siblings accepted.
	unlisted map[string]*dataset.Entry
	inbox    uint64
	// removing holds, for each whose removal is being stored, the state that was written.
	removing map[string]string
}

// input is a dataset that a job needs. Set is nil while the dataset is not known.
type input struct {
	name string
	own  bool
	set  *dataset.Summary
}

// UseData switches datasets on, before anything is loaded.
func (c *Core) UseData(set features.Data) {
	index := replicas.New()
	limits := staging.Limits{LinkRate: set.LinkMBs * 1e6, StoreRate: set.StoreMBs * 1e6, PerLink: set.PerLink, AtStore: set.AtStore,
		Peers: set.Placement == features.Local || set.Placement == features.Staged}
	c.data = &data{set: set, index: index, desk: staging.New(c.term, limits, index), sets: map[string]*dataset.Entry{},
		snap: index.Snapshot(), stuck: map[string]time.Time{}, waiting: map[string]int{},
		relayed: map[string]*mailed{}, mail: mailroom(c, store.StageMailPrefix, store.StageMailKey, c.orderBody), unlisted: map[string]*dataset.Entry{}, removing: map[string]string{}}
}

// weighs tells whether the placer looks at who holds what.
func (d *data) weighs() bool {
	return d.set.Placement == features.Local || d.set.Placement == features.Staged
}

// Learn takes in datasets as they stand on record.
func (c *Core) Learn(sets ...*dataset.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learn(sets...)
}

func (c *Core) learn(sets ...*dataset.Entry) {
	if c.data == nil {
		return
	}
	fresh := false
	for _, s := range sets {
		old := c.data.sets[s.Name]
		if old == nil {
			x := *s
			c.data.sets[s.Name] = &x
			fresh = true
		} else if s.Stamp > old.Stamp {
			// Jobs point to the summary, which never changes.
			old.State, old.Stamp = s.State, s.Stamp
		}
		if s.State != dataset.Listed {
			c.data.unlisted[s.Name] = c.data.sets[s.Name]
		}
		if s.State == dataset.Removed {
			c.data.desk.RemoveDataset(s.Name, s.Manifest.String())
		}
	}
	if !fresh {
		return
	}
	for _, j := range c.order {
		c.resolve(j)
	}
	c.kick()
}

// resolve finds a job's datasets.
func (c *Core) resolve(j *job) {
	if len(j.inputs) == 0 {
		for _, in := range j.Job.Inputs {
			j.inputs = append(j.inputs, input{name: in.Dataset, own: in.Use == api.UseOwn})
		}
	}
	for i := range j.inputs {
		if j.inputs[i].set == nil && c.data != nil {
			if x := c.data.sets[j.inputs[i].name]; x != nil && x.State != dataset.Removed {
				j.inputs[i].set = &x.Summary
			}
		}
	}
}

// dataReady tells whether a job's inputs are known here at all. A job that was accepted
// while the feature was on must not start without its inputs now that it is off.
func (c *Core) dataReady(j *job) bool {
	for _, in := range j.inputs {
		if c.data == nil || in.set == nil {
			return false
		}
	}
	return true
}

// staged tells whether a task's inputs are proved to be on a machine. Jobs without inputs
// are always staged.
func (c *Core) staged(j *job, task int, m *machine) bool {
	for _, in := range j.inputs {
		ok := false
		switch {
		case c.data == nil || in.set == nil:
		case in.own:
			ok = c.data.desk.Confirmed(m.Name, in.set, task)
		default:
			ok = c.data.desk.ConfirmedAll(m.Name, in.set)
		}
		if !ok {
			return false
		}
	}
	return true
}

// costs is what a task would wait for on a machine: the one place that says so. Joins: an
// image that is on its way there counts as held.
func (c *Core) costs(j *job, task int, m *machine, joins bool) cost.Wait {
	var w cost.Wait
	if joins {
		w.Image = m.fetchS(j)
	} else {
		w.Image = m.FetchSeconds(j.Job.Image, j.Job.ImageGB)
	}
	d := c.data
	if d == nil {
		return w
	}
	if d.set.Placement == features.Blind {
		w.Image = 0
	}
	if len(j.inputs) == 0 || !d.weighs() {
		return w
	}
	id, ok := d.desk.ID(m.Name)
	if !ok {
		return w
	}
	bytes, fromStore := d.lacks(j, task, id)
	if bytes > 0 {
		w.Data = d.delay(d.desk.QueuedBytes(m.Name), bytes, fromStore, d.spread(j, task), d.coming(j, task), id)
	}
	return w
}

// delay is how long a task's inputs take to a machine: behind what its link has to bring
// already, and behind the machines that wait for the same parts, unless they are on their
// way there as well. Like an image, a part that comes anyway costs the next task little.
func (d *data) delay(behind, bytes float64, fromStore bool, spread float64, coming map[replicas.MachineID]float64, id replicas.MachineID) float64 {
	if left, ok := coming[id]; ok {
		return d.desk.TransferDelay(max(0, behind-left), left, false)
	}
	return max(spread, d.desk.TransferDelay(behind, bytes, fromStore))
}

// coming are the machines that a task's part is on its way to, for a job that needs
// nothing else.
func (d *data) coming(j *job, task int) map[replicas.MachineID]float64 {
	if len(j.inputs) == 1 && j.inputs[0].own && j.inputs[0].set != nil {
		return d.desk.InFlight(j.inputs[0].name, task)
	}
	return nil
}

// spread is how long a task's own parts take until one more machine has them, as many as
// wait for them already, in seconds.
func (d *data) spread(j *job, task int) (s float64) {
	for _, in := range j.inputs {
		if in.own && in.set != nil {
			s = max(s, d.desk.Spread(in.set, task, len(d.snap.Holders(in.name, task))))
		}
	}
	return s
}

// lacks is how many bytes of a task's inputs a machine lacks, and whether some of them
// are on no machine.
func (d *data) lacks(j *job, task int, id replicas.MachineID) (bytes float64, fromStore bool) {
	for _, in := range j.inputs {
		switch {
		case in.set == nil:
		case in.own:
			if !d.snap.Has(id, in.name, task) {
				bytes += float64(in.set.PartBytes(task))
				fromStore = fromStore || len(d.snap.Holders(in.name, task)) == 0
			}
		default:
			if lacks := in.set.Parts - d.snap.Count(id, in.name); lacks > 0 {
				bytes += float64(in.set.Bytes) * float64(lacks) / float64(in.set.Parts)
				fromStore = fromStore || len(d.snap.Complete(in.name)) == 0
			}
		}
	}
	return bytes, fromStore
}

// stages tells whether a machine can be given tasks of a job as far as its inputs go.
func (c *Core) stages(j *job, m *machine) bool {
	return len(j.inputs) == 0 || c.data != nil && c.data.desk.Alive(m.Name, c.now(), tuning.StageSilent)
}

// holders are the machines, by their numbers and in order, that hold all inputs of a task.
func (d *data) holders(j *job, task int) (out []replicas.MachineID) {
	for i, in := range j.inputs {
		on := d.snap.Complete(in.name)
		if in.own {
			on = d.snap.Holders(in.name, task)
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

// dataFill is the water-filling of a job with inputs: its tasks in groups by the machines
// that hold what they need, the others with their busy time raised by what copying the
// rest takes as links are loaded now.
func (c *Core) dataFill(j *job) {
	d := c.data
	slot := c.active.Policy.Value(policy.SlotS, nil)
	var ms []*machine
	var servers []placement.Server
	index := map[replicas.MachineID]int32{}
	x := &missing{c: c, j: j, slot: slot, idle: math.Inf(1), memo: map[float64]int{}, group: -1,
		on: d.weighs(), single: len(j.inputs) == 1 && j.inputs[0].own}
	for _, m := range c.byName() {
		if !c.eligible(j, m) || !c.stages(j, m) {
			continue
		}
		s := c.server(m, j, slot)
		if s.Mu <= 0 {
			continue
		}
		if d.set.Placement != features.Blind {
			s.Busy += x.slots(m.fetchS(j))
		}
		id, _ := d.desk.ID(m.Name)
		index[id] = int32(len(ms))
		behind := d.desk.QueuedBytes(m.Name)
		x.ids, x.names = append(x.ids, id), append(x.names, m.Name)
		x.backlog, x.idle = append(x.backlog, behind), min(x.idle, behind)
		ms, servers = append(ms, m), append(servers, s)
	}
	if len(ms) == 0 {
		return
	}
	slices.Sort(j.pending)
	open := c.open(j)
	// Whoever does not look at inputs sees one group that all machines hold.
	everyone := make([]int32, len(ms))
	for i := range ms {
		everyone[i] = int32(i)
	}
	groups := []placement.Group{{Tasks: j.pending[:open], Holders: everyone}}
	if d.weighs() {
		groups = placement.Groups(j.pending[:open], func(t int32) []int32 {
			var out []int32
			for _, id := range d.holders(j, int(t)) {
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
		ms[s.Server].enqueue(j, s.Tasks)
		j.queued += len(s.Tasks)
		for _, t := range s.Tasks {
			given[t] = true
		}
	}
	j.pending = slices.DeleteFunc(j.pending, func(t int32) bool { return given[t] })
	slog.Debug("job queued", "job", j.id, "machines", len(ms), "groups", len(groups), "tasks", len(given))
}

// missing prices what a group lacks on a machine. A fleet of thousands asks for the same
// few waits over and over, so each is worked out once.
type missing struct {
	c      *Core
	j      *job
	groups []placement.Group
	ids    []replicas.MachineID
	names  []string
	// backlog is what each machine's link has to bring already, in bytes; idle the least.
	backlog []float64
	idle    float64
	slot    float64
	memo    map[float64]int
	// lastS is what was asked for last, lastN the answer.
	lastS float64
	lastN int
	// on: inputs are weighed at all; single: there is one, of which each task needs its
	// own part.
	on, single bool
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
	// coming are the machines that its part is on its way to.
	coming map[replicas.MachineID]float64
}

func (x *missing) slots(seconds float64) int {
	if seconds == x.lastS {
		return x.lastN
	}
	n, ok := x.memo[seconds]
	if !ok {
		n = fetchPenalty(x.c.active.Policy, seconds, x.slot)
		x.memo[seconds] = n
	}
	x.lastS, x.lastN = seconds, n
	return n
}

// Slots is for machines that are no holders of the group. Most machines have the same to
// bring already, which is nothing, so the last answer mostly is the next one's.
func (x *missing) Slots(group, server int) int {
	if group == x.group && x.coming == nil && x.single && x.backlog[server] == x.lastBehind {
		return x.lastSlots
	}
	if !x.on {
		return 0
	}
	d := x.c.data
	task := int(x.groups[group].Tasks[0])
	if group != x.group {
		x.group, x.spread, x.coming = group, d.spread(x.j, task), d.coming(x.j, task)
		if x.single {
			// What is no holder lacks it.
			in := x.j.inputs[0]
			x.bytes, x.fromStore = float64(in.set.PartBytes(task)), len(d.snap.Holders(in.name, task)) == 0
		}
	}
	if !x.single {
		x.bytes, x.fromStore = d.lacks(x.j, task, x.ids[server])
	}
	n := 0
	if x.bytes > 0 {
		n = x.slots(d.delay(x.backlog[server], x.bytes, x.fromStore, x.spread, x.coming, x.ids[server]))
	}
	x.lastBehind, x.lastSlots = x.backlog[server], n
	return n
}

// Least is what the smallest input takes on the idlest link: a machine that is no holder
// lacks one at least.
func (x *missing) Least(group int) int {
	if !x.on {
		return 0
	}
	task, least := int(x.groups[group].Tasks[0]), math.Inf(1)
	for _, in := range x.j.inputs {
		if in.own {
			least = min(least, float64(in.set.PartBytes(task)))
		} else {
			least = min(least, float64(in.set.Usual))
			for _, b := range in.set.Odd {
				least = min(least, float64(b))
			}
		}
	}
	if len(x.c.data.coming(x.j, task)) > 0 {
		return 0
	}
	return x.slots(x.c.data.desk.TransferDelay(x.idle, least, false))
}

// Rate is what an idle link brings of one task's inputs in a slot.
func (x *missing) Rate(group int) float64 {
	if !x.on {
		return math.Inf(1)
	}
	d, bytes := x.c.data, 0.0
	for _, in := range x.j.inputs {
		if in.own {
			bytes += float64(in.set.PartBytes(int(x.groups[group].Tasks[0])))
		}
	}
	if s := d.desk.TransferDelay(0, bytes, false); s > 0 {
		return x.slot / s
	}
	return math.Inf(1)
}

// Took counts what is to come to a machine now, for the jobs that follow in this round.
func (x *missing) Took(group, server, tasks int) {
	if !x.on {
		return
	}
	d := x.c.data
	bytes, _ := d.lacks(x.j, int(x.groups[group].Tasks[0]), x.ids[server])
	x.backlog[server] += bytes * float64(tasks)
	x.lastBehind = -1
	d.desk.ReserveBytes(x.names[server], bytes*float64(tasks))
}

// fetchPenalty is a wait in slots, as the operators' policy has it.
func fetchPenalty(pol *policy.Policy, seconds, slot float64) int {
	if seconds <= 0 {
		return 0
	}
	return int(pol.Value(policy.FetchPenalty, policy.Vars{"fetch_s": seconds, "slot_s": slot}))
}

// next is the first task of a queue that may start on a machine: the first one whose
// inputs are there; -1: none.
func (c *Core) next(q *queue, m *machine) int {
	if len(q.job.inputs) == 0 {
		return 0
	}
	return slices.IndexFunc(q.tasks, func(t int32) bool { return c.staged(q.job, int(t), m) })
}

// take takes one task out of a queue.
func (q *queue) take(i int) int {
	t := q.tasks[i]
	if i == 0 {
		return q.pop()
	}
	q.tasks = slices.Delete(q.tasks, i, i+1)
	q.job.queued--
	return int(t)
}

// shift gives tasks that wait on machines without room to machines that have some: at
// once where their inputs are held, and after the same patience as with images where they
// must be copied. Tasks that wait for bytes on a machine with room go where the bytes are,
// and nowhere else. They start there once that is proved. Queues are those of the job.
func (c *Core) shift(j *job, roomy []*machine, queues []place) {
	for _, m := range roomy {
		if !c.startable(j, m) || !c.stages(j, m) {
			continue
		}
		room := m.free().Multiple(j.need)
		for _, q := range m.queue {
			room -= len(q.tasks)
		}
		for _, p := range queues {
			from, q := p.m, p.q
			if room <= 0 {
				break
			}
			if from == m {
				continue
			}
			couldStart := from.free().Fits(j.need) && c.usable(from) && c.stages(j, from)
			for i := 0; i < len(q.tasks) && room > 0; {
				here := c.costs(j, int(q.tasks[i]), m, true)
				w := here.Seconds()
				if couldStart && (here.Data > 0 || c.costs(j, int(q.tasks[i]), from, true).Data == 0) || w > tuning.FreeFetch && c.since(j.arrived).Seconds() < tuning.PullPatience*w {
					i++
					continue
				}
				t := q.take(i)
				m.enqueue(j, []int32{int32(t)})
				j.queued++
				room--
			}
		}
	}
}

// takeStaged takes a task of the job that could start on a machine out of that machine's
// queue; -1: none. Nothing is stopped to make room for a task that would only wait there.
func (c *Core) takeStaged(j *job, m *machine) int {
	if q, i := c.stagedOn(j, m); i >= 0 {
		return q.take(i)
	}
	return -1
}

// stagedOn is where in a machine's queue the first task of the job stands that could start
// there; -1: nowhere.
func (c *Core) stagedOn(j *job, m *machine) (*queue, int) {
	for _, q := range m.queue {
		if q.job == j {
			return q, c.next(q, m)
		}
	}
	return nil, -1
}

func (c *Core) hasStaged(j *job, m *machine) bool {
	_, i := c.stagedOn(j, m)
	return i >= 0
}

// meant is the machine that a replica or a gang's task waits for, while its inputs are
// copied there.
func (c *Core) meant(j *job, task int) *machine {
	m := j.meant[task]
	if m == nil || c.machines[m.Name] != m || !c.eligible(j, m) || !c.stages(j, m) || !zoneOK(j, m) {
		delete(j.meant, task)
		return nil
	}
	return m
}

func (j *job) mean(task int, m *machine) {
	if j.meant == nil {
		j.meant = map[int]*machine{}
	}
	j.meant[task] = m
}

// stage decides what is to be copied, after a round of the placer, and sends out the
// orders that changed. First stands what runs, which must stay where it is; then, job by
// job in the order of the queues, tasks that a machine has room for, and some more.
func (c *Core) stage() {
	d := c.data
	if d == nil {
		return
	}
	if !c.wantsData() && d.desk.Idle() {
		// Most rounds of a fleet whose jobs have no inputs end here.
		clear(d.waiting)
		return
	}
	now := c.now()
	position := map[*job]int{}
	for i, j := range c.order {
		position[j] = i
	}
	type wanted struct {
		at   int
		j    *job
		m    *machine
		task int
	}
	var list []wanted
	clear(d.waiting)
	for _, m := range c.byName() {
		free, ahead := m.free(), d.set.Ahead
		if d.set.Placement != features.Staged {
			ahead = 0
		}
		for _, q := range m.queue {
			if len(q.job.inputs) == 0 {
				free = free.Sub(q.job.need.Scale(len(q.tasks)))
				continue
			}
			for _, t := range q.tasks {
				if !c.staged(q.job, int(t), m) {
					d.waiting[q.job.id]++
				}
				if free.Fits(q.job.need) {
					free = free.Sub(q.job.need)
				} else if ahead--; ahead < 0 {
					continue
				}
				list = append(list, wanted{position[q.job], q.job, m, int(t)})
			}
		}
	}
	for _, j := range c.order {
		if len(j.inputs) == 0 {
			continue
		}
		for _, a := range j.live {
			list = append(list, wanted{-1, j, a.machine, a.task})
		}
		for task, m := range j.meant {
			if j.FinalState != "" || j.live[task] != nil || j.bits.Has(task) {
				delete(j.meant, task)
				continue
			}
			d.waiting[j.id]++
			list = append(list, wanted{position[j], j, m, task})
		}
	}
	slices.SortStableFunc(list, func(a, b wanted) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.m.Name, b.m.Name), cmp.Compare(a.task, b.task))
	})
	var wants []staging.Demand
	type whole struct {
		m   *machine
		set string
	}
	seen := map[whole]bool{}
	for _, x := range list {
		for _, in := range x.j.inputs {
			switch {
			case in.set == nil:
			case in.own:
				wants = append(wants, staging.Demand{Machine: x.m.Name, Set: in.set, Part: x.task})
			case !seen[whole{x.m, in.name}]:
				seen[whole{x.m, in.name}] = true
				for k := range in.set.Parts {
					wants = append(wants, staging.Demand{Machine: x.m.Name, Set: in.set, Part: k})
				}
			}
		}
	}
	for _, name := range d.desk.Plan(wants, now) {
		if d.relayed[name] != nil {
			c.mailOrder(name)
			continue
		}
		if o, addr, ok := d.desk.Order(name); ok {
			c.hooks.Stage(name, addr, o)
		}
	}
}

// wantsData tells whether any job here has inputs.
func (c *Core) wantsData() bool {
	return slices.ContainsFunc(c.order, func(j *job) bool { return len(j.inputs) > 0 })
}

// unstick takes tasks back from machines that cannot get their inputs: the agent is
// silent, or the cache has been full for long of what must be kept.
func (c *Core) unstick() {
	d := c.data
	if !c.wantsData() {
		return
	}
	for _, m := range c.byName() {
		if !d.desk.Full(m.Name) {
			delete(d.stuck, m.Name)
		} else if d.stuck[m.Name].IsZero() {
			d.stuck[m.Name] = c.now()
		}
		silent := !d.desk.Alive(m.Name, c.now(), tuning.StageSilent)
		full := !d.stuck[m.Name].IsZero() && c.since(d.stuck[m.Name]) > tuning.StageMove
		if !silent && !full {
			continue
		}
		for _, q := range m.queue {
			if len(q.job.inputs) == 0 || len(q.tasks) == 0 {
				continue
			}
			slog.Info("inputs do not come", "machine", m.Name, "job", q.job.id, "tasks", len(q.tasks), "agent_silent", silent, "cache_full", full)
			q.giveBack()
			q.job.avoid[m.Name] = c.now().Add(tuning.BackoffMax)
		}
		m.trim()
		delete(d.stuck, m.Name)
	}
}

// Staging takes in an agent's report and gives its order. Deposed: the agent has seen a
// higher term. Refused: its machine was returned.
func (c *Core) Staging(r *api.StageHeartbeat) (o api.StageOrder, deposed, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Term > c.term {
		return o, true, false
	}
	if _, gone := c.gone[r.Machine]; gone || c.data == nil {
		return o, false, true
	}
	if c.data.desk.ApplyHeartbeat(r, c.now()) {
		c.agentDirect(r.Machine)
		c.kick()
	}
	o, _, ok := c.data.desk.Order(r.Machine)
	if !ok || !c.loaded || !c.hooks.Valid() {
		// What runs there is not known yet, or we may not lead: nothing may be let go. An
		// order of number 0 changes nothing.
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

// Data shows datasets, who holds them, and what is copied. Who holds what is read from a
// snapshot, without the core's lock.
func (c *Core) Data() (v DataView, on bool) {
	c.mu.Lock()
	d := c.data
	if d == nil {
		c.mu.Unlock()
		return v, false
	}
	v = DataView{Datasets: []DatasetView{}, Copies: []CopyView{}, Waiting: []api.WaitingView{}}
	jobs := map[string]int{}
	for _, j := range c.order {
		for _, in := range j.inputs {
			jobs[in.name]++
		}
	}
	snap := d.index.Snapshot()
	for _, s := range d.sets {
		if s.State == dataset.Removed && !snap.Known(s.Name) {
			continue
		}
		v.Datasets = append(v.Datasets, DatasetView{Name: s.Name, Bytes: s.Bytes, Parts: s.Parts, State: s.State, Jobs: jobs[s.Name]})
	}
	for _, x := range d.desk.Copies() {
		v.Copies = append(v.Copies, CopyView{Machine: x.Machine, Dataset: x.Dataset, Part: x.Part, Got: x.Got, Of: x.Of,
			From: x.From[0].String(), Failed: x.Failed, Full: x.Full})
	}
	for _, j := range c.order {
		switch n := d.waiting[j.id]; {
		case !c.dataReady(j):
			v.Waiting = append(v.Waiting, api.WaitingView{Job: j.id, Tasks: j.total - j.done, Why: "a dataset is not known to this controller yet"})
		case n > 0:
			v.Waiting = append(v.Waiting, api.WaitingView{Job: j.id, Tasks: n, Why: "inputs are not on their machines yet"})
		}
	}
	c.mu.Unlock()
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

// tellData logs how staging stands.
func (c *Core) tellData() {
	if c.data == nil {
		return
	}
	tasks := 0
	for _, n := range c.data.waiting {
		tasks += n
	}
	slog.Info("staging", "tasks_waiting", tasks, "jobs_waiting", len(c.data.waiting), "copies", len(c.data.desk.Copies()),
		"backlog_mb", int(c.data.desk.Backlog()/1e6), "planned", c.data.desk.Planned, "failed", c.data.desk.Failed)
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
