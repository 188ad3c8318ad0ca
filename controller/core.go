// Package controller ties the parts together: Core is the leader's view of
// jobs and machines during one term, Controller is the process around it.
package controller

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/ageing"
	"switchferry/api"
	"switchferry/configuration"
	"switchferry/dag"
	"switchferry/failuredetector"
	"switchferry/fleet"
	"switchferry/placement"
	"switchferry/policy"
	"switchferry/quota"
	"switchferry/reachability"
	"switchferry/relay/exchange"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/topology"
	"switchferry/tuning"
)

// job is a job that is not over.
type job struct {
	store.JobRecord
	id    string
	total int
	rank  int
	need  fleet.Resources
	// accepted: its record is stored; before that nobody may be told of it.
	accepted bool
	// changed is closed when the job is accepted, and again when its final
	// state is stored; users wait on it.
	changed chan struct{}
	bits    store.TaskBitmap
	done    int
	// live holds each task that is, or may be, on a machine: one at most.
	live map[int]*assign
	// pending holds tasks that no queue has.
	pending []int32
	queued  int
	// moved counts how often a task was stopped to make room.
	moved map[int]int
	// shards that have a record, or are to get one.
	shards map[store.Shard]bool
	// resizing: they are being written in another size.
	resizing bool
	// errors counts machines on which it failed since a task of it completed, and
	// paces it; failedOn are all of them; avoid is until when they get no task of it.
	errors   int
	pause    time.Time
	avoid    map[string]time.Time
	failedOn map[string]bool
	// stored: the final state is on record and users may be told; filed: it
	// stands under its own key, and the other records can go.
	stored, filed bool
	told          []func()
	// withdrawn is when its cancellation was decided, if it was.
	withdrawn time.Time
	// latest orders it among those of its rank.
	latest int64
	// waits: jobs that it awaits are not known to be done, so none of its tasks is pending.
	// began is when it came, or the last of those was done, in ms on the clock of At. reach is
	// what it has to keep for the sake of those behind it; it is only set while there are some.
	waits bool
	began int64
	reach dag.Stage
	// beyond is 1 unless the job is within its team's guarantee.
	beyond int
	// entitled: it was within the guarantee when this leader first looked, so it
	// need not wait for other teams. One that comes within as others end goes
	// first in the queues, but nothing is stopped for it. judged: that was
	// looked at.
	entitled, judged bool
	// arrived is when this leader got to know it.
	arrived time.Time
	// inputs are the datasets that its tasks need; meant are the machines that tasks of
	// a service or a gang wait for while these are copied there.
	inputs []input
	meant  map[int]*machine
	// site is where its tasks stand, if it asks for that; why, what it waits for.
	site *topology.Site
	why  string
	// aimNext is when it is next looked for where room can be made for it.
	aimNext time.Time
	// ages is since when it could start, or earlier where that is not known; started is when a task
	// of it was last given to a machine. aged: nothing was for so long that its turn has come
	// whatever stands before it; roomNext is when room is next looked for.
	ages     time.Time
	started  time.Time
	aged     bool
	roomNext time.Time
	// reserveNext is when it is next looked for what drains for it.
	reserveNext time.Time
	kept        string
	// passed: it was logged that it waits though there is room.
	passed bool
}

// assign puts one task on one machine. It stays until that machine is proved
// to be done with it, and until then counts for limits, zones and room.
type assign struct {
	job     *job
	task    int
	key     string
	machine *machine
	attempt uint64
	// committed: the record is stored, so the command may be sent.
	committed bool
	// sent: a run was sent, by this leader or perhaps by an earlier one.
	sent    bool
	session uint64
	// open counts direct runs whose outcome is unknown: they may be executed
	// at any later time of this term.
	open int
	// answered is the report whose answer carried a run last; the worker is
	// done with that answer when it sends the next report.
	answered uint64
	// mailed: a run went into a relay's mail. A relayed report cannot tell
	// whether it is still to come; one that reaches us directly can, since
	// the relay then starts afresh with that worker.
	mailed  bool
	seen    bool
	state   string
	since   time.Time
	running time.Time
	stop    bool
	grace   float64
	// turn: it was started because its job had waited long.
	turn bool
	// victims make room for this task and are killed in the same command.
	victims []*assign
}

// machine is a fleet.Machine with what we want of it.
type machine struct {
	*fleet.Machine
	assigns map[string]*assign
	used    fleet.Resources
	// images counts its tasks by their image: one that a task is waiting for
	// is on its way, and costs the next task less than a fetch.
	images map[string]int
	queue  []*queue
	// ended holds exited tasks still reported; true: they can be cleared.
	ended map[string]*ended
	// sending: a direct command is under way; again: another is wanted.
	sending, again bool
	// heartbeatRelay is the sibling that its reports come through; empty: directly.
	relay string
	// mail is what stands for it in the letters to that sibling; nil: nothing.
	mail json.RawMessage
	// via is the sibling that its last report came through in any way.
	via string
	// line is whether it hears us; deafTold: that it does not was logged. listed: the cloud's list
	// had it in this term.
	line     reachability.Link
	deafTold bool
	listed   bool
	// keptFor is the job that it drains for, until about keptUntil.
	keptFor   *job
	keptUntil time.Time
	// asked is when it was last asked whether it hears.
	asked     time.Time
	returning bool
	// ours: this leader rented it, so it knows when.
	ours bool
	// noted: that it is suspect was logged.
	noted bool
	// running: the cloud lists it as up, though it has not reported yet; failed: it
	// lists it as stopped.
	running, failed bool
	idle            time.Time
	refused         time.Time
}

type ended struct {
	attempt uint64
	open    int
	stored  bool
}

// queue is what one job has queued on one machine.
type queue struct {
	job   *job
	tasks []int32
}

// Hooks are the core's ways out. They are called with the core's lock held and
// must not block.
type Hooks struct {
	Touch func(key string, urgency int, after func())
	// Later is Touch for what may wait that long to be written with other changes of its key.
	Later func(key string, urgency int, wait time.Duration, after func())
	Send  func(name, addr string, o api.HeartbeatResponse)
	// HandleStageHeartbeat sends an agent its order; it is used only with datasets on.
	Stage func(name, addr string, o api.StageOrder)
	Valid func() bool
	// Delay is how long a new accept would wait for the state service's limit.
	Delay func() time.Duration
	// Cut tells whether no controller in a zone can be reached.
	Cut func(zone string) bool
	// Final tells that a job is over for good; Ended is what is remembered of that.
	Final func(id string, f store.FinalRecord)
	Ended func(id string) (store.FinalRecord, bool)
}

// Core is the leader's state in one term.
type Core struct {
	term  uint64
	clock clockwork.Clock
	set   *settings.Settings
	hooks Hooks

	mu sync.Mutex
	// active is what operators have configured, as it counts now; configured: it may change.
	active     *configuration.Active
	configured bool
	loaded     bool
	started    time.Time
	types      map[string]*api.MachineType
	// where is nil without a topology.
	where    *where
	jobs     map[string]*job
	order    []*job
	machines map[string]*machine
	// sorted is the list of byName; nil once machines came or went.
	sorted []*machine
	gone   map[string]time.Time
	// use is what each team's tasks take; leaving is the part of it that tasks
	// take which are being stopped.
	use      map[string]fleet.Resources
	leaving  map[string]fleet.Resources
	quotas   quota.Ledger
	attempts uint64
	charters uint64
	// aims are the classes' times of completion, sooner first.
	aims map[string][]float64
	// grace are the multiples of their deadlines, above one, by which most
	// jobs of a class should be complete; smaller first.
	grace map[string][]float64
	// toPush are machines with commands that a commit has set free.
	toPush   map[*machine]bool
	refusals map[pool]time.Time
	renting  int
	wake     chan struct{}
	heard    time.Time
	silence  *failuredetector.Detector
	// budget bounds how many machines are given up for their silence; spared is when it was
	// last logged that some are left alone.
	budget failuredetector.EvictionBudget
	spared time.Time
	// reached is when a worker last reported to us itself or answered a command;
	// failed counts commands since that none answered.
	reached time.Time
	failed  int
	boots   failuredetector.StartupTimes
	// hints are the images of machines that have not reported yet, as the last
	// leader knew them; imagesNew: there is more to put on record since
	// imagesAt.
	hints     map[string][]fleet.Image
	imagesNew bool
	imagesAt  time.Time
	// told is when the fleet was last logged.
	told time.Time
	// searched counts the machines that were searched for something to stop.
	searched int
	// count and queued are what ahead counts in.
	count  map[*job]int
	queued []placement.Queued
	// at is the time during a run of the placer; zero outside of it.
	at time.Time
	// workerMail holds what stands in the mail for the machines behind each sibling.
	workerMail *exchange.Mailboxes
	// data is nil unless datasets are on.
	data *data
	// shardTasks is how many tasks share a record that is written now; own: it is this version's
	// number, which keeps to the least limit, for machines with names of nameBytes.
	shardTasks int
	own        bool
	nameBytes  int
	pipes      *pipes
	// damaged are jobs of which a record could not be read.
	damaged map[string]bool
}

// NewCore makes the state of a term.
func NewCore(term uint64, clock clockwork.Clock, set *settings.Settings, pol *policy.Policy, types []api.MachineType, hooks Hooks) *Core {
	c := &Core{term: term, clock: clock, set: set, active: configuration.FromFiles(set.Facts.Teams, pol), hooks: hooks,
		types: map[string]*api.MachineType{}, jobs: map[string]*job{}, machines: map[string]*machine{},
		gone: map[string]time.Time{}, toPush: map[*machine]bool{}, use: map[string]fleet.Resources{}, leaving: map[string]fleet.Resources{}, hints: map[string][]fleet.Image{}, refusals: map[pool]time.Time{},
		wake: make(chan struct{}, 1), started: clock.Now(), shardTasks: tuning.ShardTasks}
	c.pipes = newPipes(c)
	c.heard = c.started
	c.silence = failuredetector.New(c.started, seconds(set.Facts.Workers.LeaseS))
	c.reached = c.started
	c.workerMail = mailroom(c, store.MailPrefix, store.MailKey, c.mailBody)
	c.aims, c.grace = map[string][]float64{}, map[string][]float64{}
	for _, o := range set.Facts.Objectives {
		if o.Kind == "finished" && o.WithinS > 0 {
			c.aims[o.Class] = append(c.aims[o.Class], o.WithinS)
			slices.Sort(c.aims[o.Class])
		}
		if o.Kind == "deadline" && o.Times > 1 {
			c.grace[o.Class] = append(c.grace[o.Class], o.Times)
			slices.Sort(c.grace[o.Class])
		}
	}
	c.SetTypes(types)
	return c
}

// SetTypes takes in the cloud's catalog.
func (c *Core) SetTypes(types []api.MachineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range types {
		t := types[i]
		c.types[t.Name] = &t
	}
	for _, m := range c.machines {
		m.Spec = c.types[m.Type]
	}
}

func (c *Core) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// now is the time, which stands still during one run of the placer: it asks for
// every machine and task.
func (c *Core) now() time.Time {
	if !c.at.IsZero() {
		return c.at
	}
	return c.clock.Now()
}

func (c *Core) since(t time.Time) time.Duration { return c.now().Sub(t) }

// lease is the workers' lease.
func (c *Core) lease() time.Duration { return seconds(c.set.Facts.Workers.LeaseS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func taskKey(id string, task int) string { return id + "/" + strconv.Itoa(task) }

func splitTask(key string) (string, int, bool) {
	id, num, ok := strings.Cut(key, "/")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return id, n, err == nil && n >= 0
}

// sure is 1 for a job that came within its team's guarantee, and lies in it: it need not
// wait. One that comes within it as earlier ones end does not count: under a backlog these are
// the jobs that have waited longest, so the queues went by arrival, whatever the deadlines
// (docs/incidents/fleet-guarantee-by-arrival.md).
func (j *job) sure() int {
	if j.entitled && j.beyond == 0 {
		return 1
	}
	return 0
}

// first is 2 for production, 1 for a job whose turn has come by its age, else 0.
func (j *job) first() int {
	switch {
	case j.rank == api.RankProduction:
		return 2
	case j.aged:
		return 1
	}
	return 0
}

// before is the order of the queues: production, then jobs whose turn has come by their age, then
// rank, then jobs that came within their team's
// guarantee, then the jobs that can still be in time by their latest start, then
// arrival.
func before(a, b *job) int {
	return cmp.Or(
		cmp.Compare(b.first(), a.first()),
		cmp.Compare(b.rank, a.rank),
		cmp.Compare(b.sure(), a.sure()),
		cmp.Compare(a.latest, b.latest),
		cmp.Compare(a.began, b.began),
		strings.Compare(a.id, b.id))
}

// sortQueues brings jobs and queues into order as of now.
func (c *Core) sortQueues() {
	c.markGuaranteed()
	now := c.now().UnixMilli()
	fleet := 0.0
	for _, m := range c.machines {
		if m.Up && m.Spec != nil {
			fleet += m.Spec.CPUs
		}
	}
	waiting := 0.0
	c.pipes.reach(fleet)
	for _, j := range c.order {
		if j.FinalState == "" && len(j.pending)+j.queued > 0 {
			waiting++
		}
	}
	weight := math.Max(tuning.WorkWeight, tuning.WorkWaiting*waiting)
	by := seconds(c.active.Policy.Value(policy.BeginByS, nil))
	for _, j := range c.order {
		j.aged = len(j.pending)+j.queued > 0 && j.rank != api.RankProduction && ageing.Due(c.now(), j.ages, j.started, by) && c.ready(j)
		j.latest = c.latestStart(j, now)
		if j.latest < math.MaxInt64 && fleet > 0 {
			// Of two jobs that are as urgent, the one that takes less of the
			// fleet goes first: when not all can be in time, more are.
			work := float64(j.total-j.done) * estimate(j) * j.need.CPUs / fleet
			j.latest += int64(weight * math.Min(work, tuning.WorkMost) * 1000)
		}
	}
	slices.SortFunc(c.order, before)
	for _, m := range c.machines {
		slices.SortFunc(m.queue, func(a, b *queue) int { return before(a.job, b.job) })
	}
}

// markGuaranteed tells the jobs that fit into their team's guarantee together
// with the team's earlier unfinished ones: these need not wait for other teams.
func (c *Core) markGuaranteed() {
	slices.SortFunc(c.order, func(a, b *job) int { return cmp.Compare(a.began, b.began) })
	sum := map[string]fleet.Resources{}
	for _, j := range c.order {
		if j.FinalState != "" || j.waits {
			continue
		}
		n := float64(j.total - j.done)
		u := sum[j.Job.Team].Add(fleet.Resources{CPUs: n * j.need.CPUs, Cards: n * j.need.Cards})
		sum[j.Job.Team] = u
		t, _ := c.active.Team(j.Job.Team)
		j.beyond = 1
		if t.CPUs > 0 && u.CPUs <= t.CPUs+tuning.RoomSlack && u.Cards <= t.Cards+tuning.RoomSlack {
			j.beyond = 0
		}
		if !j.judged {
			j.judged, j.entitled = true, j.beyond == 0
		}
	}
}

// latestStart is when the rest of a job must start to be in time, in ms. A job
// that can no longer be in time yields to those that can.
func (c *Core) latestStart(j *job, now int64) int64 {
	run := int64(estimate(j) * 1000)
	dues := j.reach.DuesMS
	if dues == nil {
		dues = c.dues(j)
	}
	for _, due := range dues {
		if t := due - run; t >= now {
			return t
		}
	}
	return math.MaxInt64
}

// dues are the times by which a job should be complete, in ms, sooner first: its own
// deadline, and the multiples of it that its class has aims for, or, without a deadline, the
// aims of its class. A job that missed the first one still has the next to meet. A deadline
// counts from the submission, aims from when the job could start.
func (c *Core) dues(j *job) (out []int64) {
	if j.Job.DeadlineS <= 0 {
		for _, s := range c.aims[j.Job.Class] {
			out = append(out, j.began+int64(s*1000))
		}
		return out
	}
	out = append(out, j.At+int64(j.Job.DeadlineS*1000))
	for _, times := range c.grace[j.Job.Class] {
		out = append(out, j.At+int64(times*j.Job.DeadlineS*1000))
	}
	return out
}

func (c *Core) addJob(rec store.JobRecord, accepted bool) *job {
	j := &job{JobRecord: rec, id: rec.Job.ID, total: rec.Job.Tasks, rank: rec.Job.RankLevel(), need: fleet.RequestOf(&rec.Job), accepted: accepted, changed: make(chan struct{}),
		bits: store.NewTaskBitmap(rec.Job.Tasks), live: map[int]*assign{}, shards: map[store.Shard]bool{}, began: rec.At, avoid: map[string]time.Time{}, failedOn: map[string]bool{}, moved: map[int]int{}, arrived: c.now(), ages: time.UnixMilli(rec.At)}
	if j.FinalState != "" {
		// Its user was told by then, if at all; an earlier version left no time.
		j.withdrawn = j.arrived
		if at := time.UnixMilli(j.FinalAt); j.FinalAt > 0 && at.Before(j.withdrawn) {
			j.withdrawn = at
		}
	}
	c.resolve(j)
	c.sited(j)
	c.jobs[j.id] = j
	c.order = append(c.order, j)
	return j
}

// notify wakes the users that wait for the job's record.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (c *Core) dropJob(j *job) {
	delete(c.jobs, j.id)
	c.order = slices.DeleteFunc(c.order, func(o *job) bool { return o == j })
	c.unqueue(j)
}

// takeBack gives a job the tasks back that are in queues.
func (c *Core) takeBack(j *job) {
	for _, m := range c.machines {
		for _, q := range m.queue {
			if q.job == j {
				q.giveBack()
			}
		}
		m.trim()
	}
}

// unqueue takes a job out of all queues.
func (c *Core) unqueue(j *job) {
	c.takeBack(j)
	j.pending = nil
}

func (c *Core) machine(name string) *machine {
	m := c.machines[name]
	if m == nil {
		m = &machine{Machine: &fleet.Machine{Name: name, LastHeartbeat: c.now(), RequestedAt: c.now()},
			assigns: map[string]*assign{}, images: map[string]int{}, ended: map[string]*ended{}, idle: c.now()}
		c.machines[name] = m
		c.sorted = nil
		if len(name) > c.nameBytes {
			if c.nameBytes = len(name); c.own && c.loaded {
				c.sizeRecords()
			}
		}
	}
	return m
}

func (c *Core) nextAttempt() uint64 {
	c.attempts++
	return c.term<<tuning.AttemptBits | c.attempts
}

// hold makes an assignment count.
func (c *Core) hold(j *job, task int, m *machine, attempt uint64) *assign {
	a := &assign{job: j, task: task, key: taskKey(j.id, task), machine: m, attempt: attempt, since: c.now()}
	j.live[task] = a
	m.assigns[a.key] = a
	m.used = m.used.Add(j.need)
	if j.site != nil {
		j.site.Add(m.Name)
	}
	c.roomChanged(m)
	m.images[j.Job.Image]++
	c.use[j.Job.Team] = c.use[j.Job.Team].Add(j.need)
	return a
}

// release ends an assignment that is proved to be over.
func (c *Core) release(a *assign) {
	if a.job.live[a.task] != a {
		return
	}
	c.drop(a)
	a.job.settledStarts()
	c.settle(a.job)
	c.kick()
}

// drop makes an assignment count no more.
func (c *Core) drop(a *assign) {
	delete(a.job.live, a.task)
	delete(a.machine.assigns, a.key)
	defer c.roomChanged(a.machine)
	if a.job.site != nil {
		a.job.site.Remove(a.machine.Name)
	}
	a.machine.used = a.machine.used.Sub(a.job.need)
	if a.machine.images[a.job.Job.Image]--; a.machine.images[a.job.Job.Image] == 0 {
		delete(a.machine.images, a.job.Job.Image)
	}
	c.use[a.job.Job.Team] = c.use[a.job.Job.Team].Sub(a.job.need)
	if a.stop {
		c.leaving[a.job.Job.Team] = c.leaving[a.job.Job.Team].Sub(a.job.need)
	}
	if len(a.machine.assigns) == 0 {
		a.machine.idle = c.now()
		a.machine.used = fleet.Resources{}
	}
}

// lost ends an assignment whose task must run again elsewhere.
func (c *Core) lost(a *assign, why string) {
	slog.Info("task lost", "task", a.key, "machine", a.machine.Name, "attempt", a.attempt, "why", why)
	c.release(a)
	c.requeue(a.job, a.task)
}

func (c *Core) requeue(j *job, task int) {
	if j.FinalState != "" || j.waits || j.bits.Has(task) {
		return
	}
	j.pending = append(j.pending, int32(task))
	c.kick()
}

// touchShard stores the record of a task's shard.
func (c *Core) touchShard(j *job, task int, after func()) {
	c.hooks.Touch(c.shardKey(j, task), j.urgency(), after)
}

// shardKey is the key of a task's record, which is to be written.
func (c *Core) shardKey(j *job, task int) string {
	c.resize(j)
	shard := store.ShardOf(j.id, task, c.shardTasks)
	j.shards[shard] = true
	return shard.Key()
}

// urgency is how urgent the records of a job's tasks are. A guest's array of 25,000
// short tasks has something to write all the time: in the order of their coming the
// starts of all others waited for seconds behind it.
func (j *job) urgency() int { return store.Ordinary + api.RankProduction - j.rank }

// markDone notes a completed task; stored runs once that is on record.
func (c *Core) markDone(j *job, task int, stored func()) {
	if j.FinalState == "" && !j.bits.Has(task) {
		j.bits.Set(task)
		j.done++
		if a := j.live[task]; a != nil {
			c.stopTask(a, 0, "done elsewhere")
		}
		if j.done == j.total && j.Job.Shape != api.Service {
			c.finish(j, api.Done)
		}
	}
	switch {
	case j.stored:
		stored()
	case j.FinalState != "":
		j.told = append(j.told, stored)
	default:
		// Until it is on record the worker goes on reporting the end, so nothing is lost with
		// this leader; each end written by itself took a third of the limit of writes.
		c.hooks.Later(c.shardKey(j, task), j.urgency(), tuning.EndsTogether, c.locked(stored))
	}
}

// takeOut removes a task from where it waits.
func (c *Core) takeOut(j *job, task int) {
	is := func(t int32) bool { return int(t) == task }
	j.pending = slices.DeleteFunc(j.pending, is)
	if j.queued == 0 {
		return
	}
	for _, m := range c.machines {
		for _, q := range m.queue {
			if q.job == j {
				n := len(q.tasks)
				q.tasks = slices.DeleteFunc(q.tasks, is)
				j.queued -= n - len(q.tasks)
			}
		}
	}
}

// locked makes a callback of the committer take the lock.
func (c *Core) locked(f func()) func() {
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		f()
	}
}

// finish stores a job's final state; from then on users may be told.
func (c *Core) finish(j *job, state string) {
	if j.FinalState != "" {
		return
	}
	j.decide(c, state)
	slog.Info("job over", "job", j.id, "class", j.Job.Class, "state", state, "after", c.since(time.UnixMilli(j.At)).Round(time.Millisecond))
	urgency := store.Urgent
	if state == api.Done && j.rank == api.RankLow {
		urgency = j.urgency()
	}
	c.hooks.Touch(store.JobKey(j.id), urgency, c.locked(func() {
		c.overNow(j)
	}))
}

// decide ends a job; nobody may be told before that is on record.
func (j *job) decide(c *Core, state string) {
	j.FinalState, j.withdrawn = state, c.now()
	if state == api.Cancelled {
		j.FinalAt = j.withdrawn.UnixMilli()
	}
	c.unqueue(j)
	c.forgive(j)
}

// overNow: the final state is on record, or follows from what is.
func (c *Core) overNow(j *job) {
	j.stored = true
	c.hooks.Final(j.id, j.finalRecord(c.own))
	j.notify()
	for _, f := range j.told {
		f()
	}
	j.told = nil
	c.pipes.over(j.id, j.FinalState)
	c.settle(j)
}

// finalRecord is what is kept of a job that is over; own: as this version has it.
func (j *job) finalRecord(own bool) store.FinalRecord {
	return store.FinalRecord{State: j.FinalState, Tasks: j.done, Service: own && j.Job.Shape == api.Service}
}

// settle files a job that is over and has nothing left on machines: its final
// state under a key of its own first, so that at every moment one of the two
// keys answers for it; then its own key and its shards go.
func (c *Core) settle(j *job) {
	if !j.stored || j.filed || len(j.live) > 0 {
		return
	}
	j.filed = true
	c.hooks.Touch(store.FinalKey(j.id), store.Lazy, c.locked(func() {
		c.dropJob(j)
		c.hooks.Touch(store.JobKey(j.id), store.Lazy, func() {
			for s := range j.shards {
				c.hooks.Touch(s.Key(), store.Lazy, nil)
			}
		})
	}))
}

// Record builds a record for the committer.
func (c *Core) Record(key string) (any, bool, []store.Condition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case strings.HasPrefix(key, store.JobPrefix):
		j := c.jobs[strings.TrimPrefix(key, store.JobPrefix)]
		if j == nil {
			return nil, false, nil
		}
		var more []store.Condition
		if !j.accepted {
			// A job that is over must not come back to life.
			more = append([]store.Condition{{Key: store.FinalKey(j.id), Revision: 0}}, c.inputConds(j)...)
		}
		rec := j.JobRecord
		if j.FinalState != "" {
			if raw, err := json.Marshal(rec); err == nil && len(raw) > c.set.Facts.State.Least().ValueBytes() {
				// It was accepted when values could be larger. What only its starts need may go.
				rec.Job.Types, rec.Job.Inputs, rec.Job.Awaits, rec.Job.Image = nil, nil, nil, ""
			}
		}
		return rec, true, more
	case strings.HasPrefix(key, store.FinalPrefix):
		j := c.jobs[strings.TrimPrefix(key, store.FinalPrefix)]
		if j == nil || j.FinalState == "" {
			return nil, false, nil
		}
		return j.finalRecord(c.own), true, nil
	case strings.HasPrefix(key, store.DatasetPrefix):
		return c.datasetRecord(strings.TrimPrefix(key, store.DatasetPrefix))
	case strings.HasPrefix(key, store.ImagesPrefix):
		rec, ok := c.imagesRecord(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.ReplicasPrefix):
		rec, ok := c.holdsRecord(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.StageMailPrefix):
		if c.data == nil {
			return nil, false, nil
		}
		rec, ok := c.data.mail.Packet(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.MailPrefix):
		rec, ok := c.workerMail.Packet(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.ShardPrefix):
		shard, ok := store.ParseShard(key)
		j := c.jobs[shard.Job]
		if !ok || j == nil || !j.shards[shard] {
			return nil, false, nil
		}
		rec := store.ShardRecord{Done: j.bits.Pack(shard)}
		from, to := shard.Range(j.total)
		for t := from; t < to; t++ {
			if a := j.live[t]; a != nil {
				rec.On = append(rec.On, store.PlacedTask{Task: t, Machine: a.machine.Name, Attempt: a.attempt})
			}
		}
		return rec, true, nil
	}
	return nil, false, nil
}

// Load takes in what the state service holds. A job of which a record is damaged is left out, and its records as
// they stand: nothing of it is started or written, what runs of it is ended, and questions about it are answered
// with 503 until the records are mended. Every leader once tried to read it for ever, and led nothing.
func (c *Core) Load(jobs, shards []store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.damaged = map[string]bool{}
	for _, it := range jobs {
		var rec store.JobRecord
		if id := strings.TrimPrefix(it.Key, store.JobPrefix); json.Unmarshal(it.Value, &rec) != nil || rec.Job.ID != id || rec.Job.Tasks < 1 || rec.Job.Tasks > api.MaxTasks {
			slog.Error("a job's record is damaged, and the job left out", "key", it.Key)
			c.damaged[id] = true
		} else if c.jobs[id] == nil {
			c.addJob(rec, true)
		}
	}
	c.loadShards(shards)
	all := slices.Clone(c.order)
	for _, j := range all {
		for t := range j.total {
			if j.bits.Has(t) {
				j.done++
			}
		}
		if j.FinalState != "" {
			j.stored = true
			c.hooks.Final(j.id, j.finalRecord(c.own))
		}
	}
	for _, j := range all {
		// One of these may have ended with another already.
		if j.FinalState == "" && !c.pipes.enter(j) {
			j.open()
		}
	}
	for _, j := range all {
		switch {
		case j.FinalState != "":
			for _, a := range j.live {
				c.stopTask(a, 0, "job is over")
			}
			c.settle(j)
		case j.done == j.total && j.Job.Shape != api.Service:
			c.finish(j, api.Done)
		}
	}
	if c.own {
		c.sizeRecords()
	}
	c.loaded = true
	c.kick()
	slog.Info("records loaded", "jobs", len(c.jobs), "damaged", len(c.damaged))
}

// loadShards takes in the records of tasks, but of damaged jobs.
func (c *Core) loadShards(items []store.Item) {
	on, stray, bad := store.ReadShards(items, func(id string, s store.Shard) (store.TaskBitmap, int) {
		j := c.jobs[id]
		if j == nil {
			return nil, 0
		}
		j.shards[s] = true
		return j.bits, j.total
	})
	for id, err := range bad {
		slog.Error("a record of a job's tasks is damaged, and the job left out", "job", id, "err", err)
		c.damaged[id] = true
		c.dropJob(c.jobs[id])
	}
	for _, key := range stray {
		if s, ok := store.ParseShard(key); !ok || !c.damaged[s.Job] {
			c.hooks.Touch(key, store.Lazy, nil)
		}
	}
	for id, placed := range on {
		j := c.jobs[id]
		for _, t := range slices.Sorted(maps.Keys(placed)) {
			// It may run there, or its command was never sent: until the
			// machine proves otherwise it counts as running.
			a := c.hold(j, t, c.machine(placed[t].Machine), placed[t].Attempt)
			a.committed, a.sent = true, true
			j.started = c.now()
		}
	}
}

// resize writes what a job has in records of another size into such of the size that is
// written now, and then deletes those: which of them a crash leaves behind makes no difference.
func (c *Core) resize(j *job) {
	var old []store.Shard
	for s := range j.shards {
		if s.Size != c.shardTasks {
			old = append(old, s)
		}
	}
	if len(old) == 0 || j.resizing {
		return
	}
	j.resizing = true
	fresh := map[store.Shard]bool{}
	for t := range j.total {
		if j.bits.Has(t) || j.live[t] != nil {
			fresh[store.ShardOf(j.id, t, c.shardTasks)] = true
		}
	}
	left := len(fresh) + 1
	stored := func() {
		if left--; left > 0 {
			return
		}
		j.resizing = false
		for _, s := range old {
			delete(j.shards, s)
			c.hooks.Touch(s.Key(), store.Lazy, nil)
		}
	}
	for s := range fresh {
		j.shards[s] = true
		c.hooks.Touch(s.Key(), j.urgency(), c.locked(stored))
	}
	stored()
}

// OwnRecords writes records as this version has them from now on: no older process reads them.
func (c *Core) OwnRecords() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = true
	c.sizeRecords()
}

// sizeRecords has as many tasks share a record as always fit.
func (c *Core) sizeRecords() {
	c.shardTasks = store.ShardSize(c.set.Facts.State.Least().ValueBytes(), c.nameBytes)
	c.resizeAll()
}

// resizeAll writes all records of another size anew. A large one could not be written again once
// values must be smaller, and the starts that it holds would wait with it.
func (c *Core) resizeAll() {
	for _, j := range c.order {
		c.resize(j)
	}
}

// Committed sends what a commit has set free, in one command a machine.
func (c *Core) Committed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for m := range c.toPush {
		c.push(m)
	}
	clear(c.toPush)
}

// Loaded tells whether the records have been read.
func (c *Core) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}
