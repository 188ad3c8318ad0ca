// Package controller ties the parts together: Scheduler is the leader's view of
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

// jobState is a job that is not over.
type jobState struct {
	store.JobRecord
	id        string
	taskCount int
	rank      int
	request   fleet.Resources
	// accepted: its record is stored; before that nobody may be told of it.
	accepted bool
	// changed is closed when the job is accepted, and again when its final
	// state is stored; users wait on it.
	changed        chan struct{}
	completed      store.TaskBitmap
	completedCount int
	// allocations holds each task that is, or may be, on a machine: one at most.
	allocations map[int]*allocation
	// pending holds tasks that no queue has.
	pending []int32
	queued  int
	// preemptions counts how often a task was stopped to make room.
	preemptions map[int]int
	// shards that have a record, or are to get one.
	shards map[store.Shard]bool
	// resharding: they are being written in another size.
	resharding bool
	// failures counts machines on which it failed since a task of it completed, and
	// paces it; failedOn are all of them; avoid is until when they get no task of it.
	failures    int
	pausedUntil time.Time
	avoidUntil  map[string]time.Time
	failedOn    map[string]bool
	// terminalStored: the final state is on record and users may be told; filed: it
	// taskLocations under its own key, and the other records can go.
	terminalStored, archived bool
	onTerminal               []func()
	// terminalAt is when its cancellation was decided, if it was.
	terminalAt time.Time
	// latestStart orders it among those of its rank.
	latestStart int64
	// waitsForDependencies: jobs that it awaits are not known to be done, so none of its tasks is pending.
	// eligibleAt is when it came, or the last of those was done, in ms on the clock of At. reach is
	// what it has to keep for the sake of those behind it; it is only set while there are some.
	waitsForDependencies bool
	eligibleAt           int64
	inherited            dag.Stage
	// overQuota is 1 unless the job is within its team's guarantee.
	overQuota int
	// guaranteed: it was within the guarantee when this leader first looked, so it
	// request not wait for other teams. One that comes within as others end goes
	// precedence in the queues, but nothing is stopped for it. judged: that was
	// looked at.
	guaranteed, guaranteeChecked bool
	// learnedAt is when this leader got to know it.
	learnedAt time.Time
	// inputs are the datasets that its tasks need; meant are the machines that tasks of
	// a service or a gang wait for while these are copied there.
	inputs           []input
	intendedMachines map[int]*machineState
	// site is where its tasks stand, if it asks for that; why, what it waits for.
	site       *topology.Site
	waitReason string
	// nextDomainSearch is when it is next looked for where room can be made for it.
	nextDomainSearch time.Time
	// waitingSince is since when it could start, or earlier where that is not known; started is when a task
	// of it was last given to a machine. aged: nothing was for so long that its turn has come
	// whatever stands before it; nextMachineReservation is when room is next looked for.
	waitingSince           time.Time
	lastStart              time.Time
	starved                bool
	nextMachineReservation time.Time
	// nextDomainReservation is when it is next looked for what drains for it.
	nextDomainReservation time.Time
	reservedDomain        string
	// passedOverLogged: it was logged that it waits though there is room.
	passedOverLogged bool
}

// allocation puts one task on one machine. It stays until that machine is proved
// to be done with it, and until then counts for limits, zones and room.
type allocation struct {
	job     *jobState
	task    int
	key     string
	machine *machineState
	attempt uint64
	// committed: the record is stored, so the command may be sent.
	committed bool
	// runSent: a run was sent, by this leader or perhaps by an earlier one.
	runSent     bool
	incarnation uint64
	// unansweredRuns counts direct runs whose outcome is unknown: they may be executed
	// roundTime any later time of this term.
	unansweredRuns int
	// jsonAnswer is the report whose answer carried a run last; the worker is
	// completedCount with that answer when it sends the next report.
	answeredSeq uint64
	// runRelayed: a run went into a relay's mail. A relayed report cannot tell
	// whether it is still to come; one that reaches us directly can, since
	// the relay then starts afresh with that worker.
	runRelayed   bool
	reported     bool
	state        string
	allocatedAt  time.Time
	runningSince time.Time
	stopping     bool
	stopGraceS   float64
	// startedByAgeing: it was started because its job had waited long.
	startedByAgeing bool
	// victims make room for this task and are killed in the same command.
	victims []*allocation
}

// machineNamed is a fleet.Machine with what we want of it.
type machineState struct {
	*fleet.Machine
	allocations map[string]*allocation
	used        fleet.Resources
	// imagesInUse counts its tasks by their image: one that a task is waiting for
	// is on its way, and costs the next task less than a fetch.
	imagesInUse map[string]int
	queues      []*runQueue
	// exited holds exited tasks still reported; true: they can be cleared.
	exited map[string]*exitedTask
	// commandInFlight: a direct command is under way; again: another is wanted.
	commandInFlight, resendCommands bool
	// heartbeatRelay is the sibling that its reports come through; empty: directly.
	relayPeer string
	// relayedCommands is what stands for it in the letters to that sibling; nil: nothing.
	relayedCommands json.RawMessage
	// lastPeer is the sibling that its last report came through in any way.
	lastPeer string
	// link is whether it hears us; outboundLossLogged: that it does not was logged. listed: the cloud's list
	// had it in this term.
	link               reachability.Link
	outboundLossLogged bool
	listed             bool
	// reservedFor is the job that it drains for, until about reservedUntil.
	reservedFor   *jobState
	reservedUntil time.Time
	// probedAt is when it was last asked whether it hears.
	probedAt  time.Time
	releasing bool
	// requestedHere: this leader rented it, so it knows when.
	requestedHere bool
	// faultLogged: that it is suspect was logged.
	faultLogged bool
	// runningSince: the cloud lists it as up, though it has not reported yet; failed: it
	// lists it as stopped.
	listedRunning, listedFailed bool
	idleSince                   time.Time
	refusedUntil                time.Time
}

type exitedTask struct {
	attempt        uint64
	unansweredRuns int
	stored         bool
}

// runQueue is what one job has queued on one machine.
type runQueue struct {
	job   *jobState
	tasks []int32
}

// Hooks are the core's ways out. They are called with the core's lock held and
// must not block.
type Hooks struct {
	MarkDirty func(key string, urgency int, after func())
	// MarkDirtyWithin is MarkDirty for what may wait that long to be written with other changes of its key.
	MarkDirtyWithin func(key string, urgency int, wait time.Duration, after func())
	SendCommands    func(name, addr string, o api.HeartbeatResponse)
	// HandleStageHeartbeat sends an agent its order; it is used only with datasets on.
	SendStageOrder func(name, addr string, o api.StageOrder)
	Leading        func() bool
	// CommitDelay is how long a new accept would wait for the state service's limit.
	CommitDelay func() time.Duration
	// ZoneUnreachable tells whether no controller in a zone can be reached.
	ZoneUnreachable func(zone string) bool
	// JobTerminal tells that a job is over for good; TerminalState is what is remembered of that.
	JobTerminal   func(id string, f store.FinalRecord)
	TerminalState func(id string) (store.FinalRecord, bool)
}

// Scheduler is the leader's state in one term.
type Scheduler struct {
	term     uint64
	clock    clockwork.Clock
	settings *settings.Settings
	hooks    Hooks

	mu sync.Mutex
	// configuration is what operators have configured, as it counts now; configured: it may change.
	configuration     *configuration.Active
	liveConfiguration bool
	loaded            bool
	termStarted       time.Time
	machineTypes      map[string]*api.MachineType
	// topology is nil without a topology.
	topology *topologyView
	jobs     map[string]*jobState
	jobOrder []*jobState
	machines map[string]*machineState
	// machinesByName is the list of sortedMachines; nil once machines came or went.
	machinesByName []*machineState
	releasedAt     map[string]time.Time
	// usage is what each team's tasks take; leaving is the part of it that tasks
	// removeAt which are being stopped.
	usage               map[string]fleet.Resources
	stoppingUsage       map[string]fleet.Resources
	quotas              quota.Ledger
	lastAttempt         uint64
	lastInstanceRequest uint64
	// objectives are the classes' times of completion, sooner first.
	objectives map[string][]float64
	// stopGraceS are the multiples of their deadlines, above one, by which most
	// jobs of a class should be complete; smaller first.
	deadlineMultiples map[string][]float64
	// commandsReady are machines with commands that a commit has set free.
	commandsReady      map[*machineState]bool
	instanceRefusals   map[capacityPool]time.Time
	instancesRequested int
	wake               chan struct{}
	lastHeartbeat      time.Time
	detector           *failuredetector.Detector
	// evictionBudget bounds how many machines are given up for their silence; spared is when it was
	// last logged that some are left alone.
	evictionBudget   failuredetector.EvictionBudget
	deferralLoggedAt time.Time
	// lastDirectContact is when a worker last reported to us itself or answered a command;
	// unansweredCommands counts commands since that none answered.
	lastDirectContact  time.Time
	unansweredCommands int
	startupTimes       failuredetector.StartupTimes
	// imageHints are the images of machines that have not reported yet, as the last
	// leader knew them; imagesChanged: there is more to put on record since
	// imagesStoredAt.
	imageHints     map[string][]fleet.Image
	imagesChanged  bool
	imagesStoredAt time.Time
	// answerStatus is when the fleet was last logged.
	fleetLoggedAt time.Time
	// victimSearches counts the machines that were searched for something to stop.
	victimSearches int
	// scratchCounts and queued are what ahead counts in.
	scratchCounts map[*jobState]int
	scratchQueued []placement.Queued
	// roundTime is the time during a run of the placer; zero outside of it.
	roundTime time.Time
	// commandMailboxes holds what stands in the mail for the machines behind each sibling.
	commandMailboxes *exchange.Mailboxes
	// followDatasets is nil unless datasets are on.
	datasets *datasetState
	// tasksPerShard is how many tasks share a record that is written now; own: it is this version's
	// number, which keeps to the least limit, for machines with names of longestName.
	tasksPerShard int
	currentFormat bool
	longestName   int
	dependencies  *dependencies
	// damagedJobs are jobs of which a record could not be read.
	damagedJobs map[string]bool
}

// NewScheduler makes the state of a term.
func NewScheduler(term uint64, clock clockwork.Clock, set *settings.Settings, pol *policy.Policy, types []api.MachineType, hooks Hooks) *Scheduler {
	sched := &Scheduler{term: term, clock: clock, settings: set, configuration: configuration.FromFiles(set.Facts.Teams, pol), hooks: hooks,
		machineTypes: map[string]*api.MachineType{}, jobs: map[string]*jobState{}, machines: map[string]*machineState{},
		releasedAt: map[string]time.Time{}, commandsReady: map[*machineState]bool{}, usage: map[string]fleet.Resources{}, stoppingUsage: map[string]fleet.Resources{}, imageHints: map[string][]fleet.Image{}, instanceRefusals: map[capacityPool]time.Time{},
		wake: make(chan struct{}, 1), termStarted: clock.Now(), tasksPerShard: tuning.ShardTasks}
	sched.dependencies = newDependencies(sched)
	sched.lastHeartbeat = sched.termStarted
	sched.detector = failuredetector.New(sched.termStarted, seconds(set.Facts.Workers.LeaseS))
	sched.lastDirectContact = sched.termStarted
	sched.commandMailboxes = newMailboxes(sched, store.MailPrefix, store.MailKey, sched.relayedCommandBody)
	sched.objectives, sched.deadlineMultiples = map[string][]float64{}, map[string][]float64{}
	for _, o := range set.Facts.Objectives {
		if o.Kind == "finished" && o.WithinS > 0 {
			sched.objectives[o.Class] = append(sched.objectives[o.Class], o.WithinS)
			slices.Sort(sched.objectives[o.Class])
		}
		if o.Kind == "deadline" && o.Times > 1 {
			sched.deadlineMultiples[o.Class] = append(sched.deadlineMultiples[o.Class], o.Times)
			slices.Sort(sched.deadlineMultiples[o.Class])
		}
	}
	sched.SetTypes(types)
	return sched
}

// SetTypes takes in the cloud's catalog.
func (s *Scheduler) SetTypes(types []api.MachineType) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range types {
		t := types[i]
		s.machineTypes[t.Name] = &t
	}
	for _, machine := range s.machines {
		machine.Spec = s.machineTypes[machine.Type]
	}
}

func (s *Scheduler) wakePlacer() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// now is the time, which stands still during one run of the placer: it asks for
// every machine and task.
func (s *Scheduler) now() time.Time {
	if !s.roundTime.IsZero() {
		return s.roundTime
	}
	return s.clock.Now()
}

func (s *Scheduler) since(t time.Time) time.Duration { return s.now().Sub(t) }

// lease is the workers' lease.
func (s *Scheduler) lease() time.Duration { return seconds(s.settings.Facts.Workers.LeaseS) }

func seconds(within float64) time.Duration { return time.Duration(within * float64(time.Second)) }

func taskKey(id string, task int) string { return id + "/" + strconv.Itoa(task) }

func splitTask(key string) (string, int, bool) {
	id, num, ok := strings.Cut(key, "/")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return id, n, err == nil && n >= 0
}

// markCurrentIfLeading is 1 for a job that came within its team's guarantee, and lies in it: it need not
// waitForChange. One that comes within it as earlier ones end does not count: under a backlog these are
// the jobs that have waited longest, so the queues went by arrival, whatever the deadlines
// (docs/incidents/fleet-guarantee-by-arrival.md).
func (j *jobState) guaranteeRank() int {
	if j.guaranteed && j.overQuota == 0 {
		return 1
	}
	return 0
}

// precedence is 2 for production, 1 for a job whose turn has come by its age, else 0.
func (j *jobState) precedence() int {
	switch {
	case j.rank == api.RankProduction:
		return 2
	case j.starved:
		return 1
	}
	return 0
}

// compareJobs is the order of the queues: production, then jobs whose turn has come by their age, then
// rank, then jobs that came within their team's
// guarantee, then the jobs that can still be in time by their latest start, then
// arrival.
func compareJobs(a, b *jobState) int {
	return cmp.Or(
		cmp.Compare(b.precedence(), a.precedence()),
		cmp.Compare(b.rank, a.rank),
		cmp.Compare(b.guaranteeRank(), a.guaranteeRank()),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(a.eligibleAt, b.eligibleAt),
		strings.Compare(a.id, b.id))
}

// sortQueues brings jobs and queues into order as of now.
func (s *Scheduler) sortQueues() {
	s.markGuaranteed()
	now := s.now().UnixMilli()
	fleet := 0.0
	for _, machine := range s.machines {
		if machine.Up && machine.Spec != nil {
			fleet += machine.Spec.CPUs
		}
	}
	waiting := 0.0
	s.dependencies.inheritUrgency(fleet)
	for _, job := range s.jobOrder {
		if job.FinalState == "" && len(job.pending)+job.queued > 0 {
			waiting++
		}
	}
	weight := math.Max(tuning.WorkWeight, tuning.WorkWaiting*waiting)
	by := seconds(s.configuration.Policy.Value(policy.BeginByS, nil))
	for _, job := range s.jobOrder {
		job.starved = len(job.pending)+job.queued > 0 && job.rank != api.RankProduction && ageing.Due(s.now(), job.waitingSince, job.lastStart, by) && s.startableNow(job)
		job.latestStart = s.latestStart(job, now)
		if job.latestStart < math.MaxInt64 && fleet > 0 {
			// Of two jobs that are as urgent, the one that takes less of the
			// fleet goes first: when not all can be in time, more are.
			work := float64(job.taskCount-job.completedCount) * estimate(job) * job.request.CPUs / fleet
			job.latestStart += int64(weight * math.Min(work, tuning.WorkMost) * 1000)
		}
	}
	slices.SortFunc(s.jobOrder, compareJobs)
	for _, machine := range s.machines {
		slices.SortFunc(machine.queues, func(a, b *runQueue) int { return compareJobs(a.job, b.job) })
	}
}

// markGuaranteed tells the jobs that fit into their team's guarantee together
// with the team's earlier unfinished ones: these need not wait for other teams.
func (s *Scheduler) markGuaranteed() {
	slices.SortFunc(s.jobOrder, func(a, b *jobState) int { return cmp.Compare(a.eligibleAt, b.eligibleAt) })
	sum := map[string]fleet.Resources{}
	for _, job := range s.jobOrder {
		if job.FinalState != "" || job.waitsForDependencies {
			continue
		}
		n := float64(job.taskCount - job.completedCount)
		u := sum[job.Job.Team].Add(fleet.Resources{CPUs: n * job.request.CPUs, Cards: n * job.request.Cards})
		sum[job.Job.Team] = u
		t, _ := s.configuration.Team(job.Job.Team)
		job.overQuota = 1
		if t.CPUs > 0 && u.CPUs <= t.CPUs+tuning.RoomSlack && u.Cards <= t.Cards+tuning.RoomSlack {
			job.overQuota = 0
		}
		if !job.guaranteeChecked {
			job.guaranteeChecked, job.guaranteed = true, job.overQuota == 0
		}
	}
}

// latestStart is when the rest of a job must start to be in time, in ms. A job
// that can no longer be in time yields to those that can.
func (s *Scheduler) latestStart(job *jobState, now int64) int64 {
	run := int64(estimate(job) * 1000)
	dues := job.inherited.DuesMS
	if dues == nil {
		dues = s.deadlines(job)
	}
	for _, due := range dues {
		if t := due - run; t >= now {
			return t
		}
	}
	return math.MaxInt64
}

// deadlines are the times by which a job should be complete, in ms, sooner first: its own
// deadline, and the multiples of it that its class has aims for, or, without a deadline, the
// objectives of its class. A job that missed the first one still has the next to meet. A deadline
// counts from the submission, aims from when the job could start.
func (s *Scheduler) deadlines(job *jobState) (out []int64) {
	if job.Job.DeadlineS <= 0 {
		for _, within := range s.objectives[job.Job.Class] {
			out = append(out, job.eligibleAt+int64(within*1000))
		}
		return out
	}
	out = append(out, job.At+int64(job.Job.DeadlineS*1000))
	for _, times := range s.deadlineMultiples[job.Job.Class] {
		out = append(out, job.At+int64(times*job.Job.DeadlineS*1000))
	}
	return out
}

func (s *Scheduler) addJob(rec store.JobRecord, accepted bool) *jobState {
	job := &jobState{JobRecord: rec, id: rec.Job.ID, taskCount: rec.Job.Tasks, rank: rec.Job.RankLevel(), request: fleet.RequestOf(&rec.Job), accepted: accepted, changed: make(chan struct{}),
		completed: store.NewTaskBitmap(rec.Job.Tasks), allocations: map[int]*allocation{}, shards: map[store.Shard]bool{}, eligibleAt: rec.At, avoidUntil: map[string]time.Time{}, failedOn: map[string]bool{}, preemptions: map[int]int{}, learnedAt: s.now(), waitingSince: time.UnixMilli(rec.At)}
	if job.FinalState != "" {
		// Its user was told by then, if at all; an earlier version left no time.
		job.terminalAt = job.learnedAt
		if at := time.UnixMilli(job.FinalAt); job.FinalAt > 0 && at.Before(job.terminalAt) {
			job.terminalAt = at
		}
	}
	s.resolveInputs(job)
	s.initSite(job)
	s.jobs[job.id] = job
	s.jobOrder = append(s.jobOrder, job)
	return job
}

// notify wakes the users that wait for the job's record.
func (j *jobState) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (s *Scheduler) removeJob(job *jobState) {
	delete(s.jobs, job.id)
	s.jobOrder = slices.DeleteFunc(s.jobOrder, func(o *jobState) bool { return o == job })
	s.removeFromQueues(job)
}

// reclaimQueued gives a job the tasks back that are in queues.
func (s *Scheduler) reclaimQueued(job *jobState) {
	for _, machine := range s.machines {
		for _, queue := range machine.queues {
			if queue.job == job {
				queue.returnTasks()
			}
		}
		machine.dropEmptyQueues()
	}
}

// removeFromQueues takes a job out of all queues.
func (s *Scheduler) removeFromQueues(job *jobState) {
	s.reclaimQueued(job)
	job.pending = nil
}

func (s *Scheduler) machineNamed(name string) *machineState {
	machine := s.machines[name]
	if machine == nil {
		machine = &machineState{Machine: &fleet.Machine{Name: name, LastHeartbeat: s.now(), RequestedAt: s.now()},
			allocations: map[string]*allocation{}, imagesInUse: map[string]int{}, exited: map[string]*exitedTask{}, idleSince: s.now()}
		s.machines[name] = machine
		s.machinesByName = nil
		if len(name) > s.longestName {
			if s.longestName = len(name); s.currentFormat && s.loaded {
				s.fitShards()
			}
		}
	}
	return machine
}

func (s *Scheduler) nextAttempt() uint64 {
	s.lastAttempt++
	return s.term<<tuning.AttemptBits | s.lastAttempt
}

// allocate makes an assignment count.
func (s *Scheduler) allocate(job *jobState, task int, machine *machineState, attempt uint64) *allocation {
	alloc := &allocation{job: job, task: task, key: taskKey(job.id, task), machine: machine, attempt: attempt, allocatedAt: s.now()}
	job.allocations[task] = alloc
	machine.allocations[alloc.key] = alloc
	machine.used = machine.used.Add(job.request)
	if job.site != nil {
		job.site.Add(machine.Name)
	}
	s.updateFreeResources(machine)
	machine.imagesInUse[job.Job.Image]++
	s.usage[job.Job.Team] = s.usage[job.Job.Team].Add(job.request)
	return alloc
}

// releaseAllocation ends an assignment that is proved to be over.
func (s *Scheduler) releaseAllocation(alloc *allocation) {
	if alloc.job.allocations[alloc.task] != alloc {
		return
	}
	s.removeAllocation(alloc)
	alloc.job.notifySettledStarts()
	s.archive(alloc.job)
	s.wakePlacer()
}

// removeAllocation makes an assignment count no more.
func (s *Scheduler) removeAllocation(alloc *allocation) {
	delete(alloc.job.allocations, alloc.task)
	delete(alloc.machine.allocations, alloc.key)
	defer s.updateFreeResources(alloc.machine)
	if alloc.job.site != nil {
		alloc.job.site.Remove(alloc.machine.Name)
	}
	alloc.machine.used = alloc.machine.used.Sub(alloc.job.request)
	if alloc.machine.imagesInUse[alloc.job.Job.Image]--; alloc.machine.imagesInUse[alloc.job.Job.Image] == 0 {
		delete(alloc.machine.imagesInUse, alloc.job.Job.Image)
	}
	s.usage[alloc.job.Job.Team] = s.usage[alloc.job.Job.Team].Sub(alloc.job.request)
	if alloc.stopping {
		s.stoppingUsage[alloc.job.Job.Team] = s.stoppingUsage[alloc.job.Job.Team].Sub(alloc.job.request)
	}
	if len(alloc.machine.allocations) == 0 {
		alloc.machine.idleSince = s.now()
		alloc.machine.used = fleet.Resources{}
	}
}

// loseTask ends an assignment whose task must run again elsewhere.
func (s *Scheduler) loseTask(alloc *allocation, why string) {
	slog.Info("task lost", "task", alloc.key, "machine", alloc.machine.Name, "attempt", alloc.attempt, "why", why)
	s.releaseAllocation(alloc)
	s.requeue(alloc.job, alloc.task)
}

func (s *Scheduler) requeue(job *jobState, task int) {
	if job.FinalState != "" || job.waitsForDependencies || job.completed.Has(task) {
		return
	}
	job.pending = append(job.pending, int32(task))
	s.wakePlacer()
}

// markShardDirty stores the record of a task's shard.
func (s *Scheduler) markShardDirty(job *jobState, task int, after func()) {
	s.hooks.MarkDirty(s.shardKey(job, task), job.urgency(), after)
}

// shardKey is the key of a task's record, which is to be written.
func (s *Scheduler) shardKey(job *jobState, task int) string {
	s.reshard(job)
	shard := store.ShardOf(job.id, task, s.tasksPerShard)
	job.shards[shard] = true
	return shard.Key()
}

// urgency is how urgent the records of a job's tasks are. A guest's array of 25,000
// short tasks has something to write all the time: in the order of their coming the
// starts of all others waited for seconds behind it.
func (j *jobState) urgency() int { return store.Ordinary + api.RankProduction - j.rank }

// markCompleted notes a completed task; stored runs once that is on record.
func (s *Scheduler) markCompleted(job *jobState, task int, stored func()) {
	if job.FinalState == "" && !job.completed.Has(task) {
		job.completed.Set(task)
		job.completedCount++
		if alloc := job.allocations[task]; alloc != nil {
			s.stopTask(alloc, 0, "done elsewhere")
		}
		if job.completedCount == job.taskCount && job.Job.Shape != api.Service {
			s.finish(job, api.Done)
		}
	}
	switch {
	case job.terminalStored:
		stored()
	case job.FinalState != "":
		job.onTerminal = append(job.onTerminal, stored)
	default:
		// Until it is on record the worker goes on reporting the end, so nothing is lost with
		// this leader; each end written by itself took a third of the limit of writes.
		s.hooks.MarkDirtyWithin(s.shardKey(job, task), job.urgency(), tuning.EndsTogether, s.withLock(stored))
	}
}

// removeQueuedTask removes a task from where it waits.
func (s *Scheduler) removeQueuedTask(job *jobState, task int) {
	is := func(t int32) bool { return int(t) == task }
	job.pending = slices.DeleteFunc(job.pending, is)
	if job.queued == 0 {
		return
	}
	for _, machine := range s.machines {
		for _, queue := range machine.queues {
			if queue.job == job {
				n := len(queue.tasks)
				queue.tasks = slices.DeleteFunc(queue.tasks, is)
				job.queued -= n - len(queue.tasks)
			}
		}
	}
}

// withLock makes a callback of the committer take the lock.
func (s *Scheduler) withLock(f func()) func() {
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	}
}

// finish stores a job's final state; from then on users may be told.
func (s *Scheduler) finish(job *jobState, state string) {
	if job.FinalState != "" {
		return
	}
	job.setTerminal(s, state)
	slog.Info("job over", "job", job.id, "class", job.Job.Class, "state", state, "after", s.since(time.UnixMilli(job.At)).Round(time.Millisecond))
	urgency := store.Urgent
	if state == api.Done && job.rank == api.RankLow {
		urgency = job.urgency()
	}
	s.hooks.MarkDirty(store.JobKey(job.id), urgency, s.withLock(func() {
		s.terminalStored(job)
	}))
}

// setTerminal ends a job; nobody may be told before that is on record.
func (j *jobState) setTerminal(sched *Scheduler, state string) {
	j.FinalState, j.terminalAt = state, sched.now()
	if state == api.Cancelled {
		j.FinalAt = j.terminalAt.UnixMilli()
	}
	sched.removeFromQueues(j)
	sched.clearMachineFailures(j)
}

// terminalStored: the final state is on record, or follows from what is.
func (s *Scheduler) terminalStored(job *jobState) {
	job.terminalStored = true
	s.hooks.JobTerminal(job.id, job.finalRecord(s.currentFormat))
	job.notify()
	for _, f := range job.onTerminal {
		f()
	}
	job.onTerminal = nil
	s.dependencies.onTerminal(job.id, job.FinalState)
	s.archive(job)
}

// finalRecord is what is kept of a job that is over; own: as this version has it.
func (j *jobState) finalRecord(own bool) store.FinalRecord {
	return store.FinalRecord{State: j.FinalState, Tasks: j.completedCount, Service: own && j.Job.Shape == api.Service}
}

// archive files a job that is over and has nothing left on machines: its final
// state under a key of its own first, so that at every moment one of the two
// keys answers for it; then its own key and its shards go.
func (s *Scheduler) archive(job *jobState) {
	if !job.terminalStored || job.archived || len(job.allocations) > 0 {
		return
	}
	job.archived = true
	s.hooks.MarkDirty(store.FinalKey(job.id), store.Lazy, s.withLock(func() {
		s.removeJob(job)
		s.hooks.MarkDirty(store.JobKey(job.id), store.Lazy, func() {
			for shard := range job.shards {
				s.hooks.MarkDirty(shard.Key(), store.Lazy, nil)
			}
		})
	}))
}

// Record builds a record for the committer.
func (s *Scheduler) Record(key string) (any, bool, []store.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case strings.HasPrefix(key, store.JobPrefix):
		job := s.jobs[strings.TrimPrefix(key, store.JobPrefix)]
		if job == nil {
			return nil, false, nil
		}
		var more []store.Condition
		if !job.accepted {
			// A job that is over must not come back to life.
			more = append([]store.Condition{{Key: store.FinalKey(job.id), Revision: 0}}, s.inputConditions(job)...)
		}
		rec := job.JobRecord
		if job.FinalState != "" {
			if raw, err := json.Marshal(rec); err == nil && len(raw) > s.settings.Facts.State.Least().ValueBytes() {
				// It was accepted when values could be larger. What only its starts need may go.
				rec.Job.Types, rec.Job.Inputs, rec.Job.Awaits, rec.Job.Image = nil, nil, nil, ""
			}
		}
		return rec, true, more
	case strings.HasPrefix(key, store.FinalPrefix):
		job := s.jobs[strings.TrimPrefix(key, store.FinalPrefix)]
		if job == nil || job.FinalState == "" {
			return nil, false, nil
		}
		return job.finalRecord(s.currentFormat), true, nil
	case strings.HasPrefix(key, store.DatasetPrefix):
		return s.datasetRecord(strings.TrimPrefix(key, store.DatasetPrefix))
	case strings.HasPrefix(key, store.ImagesPrefix):
		rec, ok := s.imagesRecord(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.ReplicasPrefix):
		rec, ok := s.replicaHintRecord(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.StageMailPrefix):
		if s.datasets == nil {
			return nil, false, nil
		}
		rec, ok := s.datasets.orderMailboxes.Packet(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.MailPrefix):
		rec, ok := s.commandMailboxes.Packet(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.ShardPrefix):
		shard, ok := store.ParseShard(key)
		job := s.jobs[shard.Job]
		if !ok || job == nil || !job.shards[shard] {
			return nil, false, nil
		}
		rec := store.ShardRecord{Done: job.completed.Pack(shard)}
		from, to := shard.Range(job.taskCount)
		for t := from; t < to; t++ {
			if alloc := job.allocations[t]; alloc != nil {
				rec.On = append(rec.On, store.PlacedTask{Task: t, Machine: alloc.machine.Name, Attempt: alloc.attempt})
			}
		}
		return rec, true, nil
	}
	return nil, false, nil
}

// Load takes in what the state service holds. A job of which a record is damaged is left out, and its records as
// they stand: nothing of it is started or written, what runs of it is ended, and questions about it are answered
// with 503 until the records are mended. Every leader once tried to read it for ever, and led nothing.
func (s *Scheduler) Load(jobs, shards []store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.damagedJobs = map[string]bool{}
	for _, it := range jobs {
		var rec store.JobRecord
		if id := strings.TrimPrefix(it.Key, store.JobPrefix); json.Unmarshal(it.Value, &rec) != nil || rec.Job.ID != id || rec.Job.Tasks < 1 || rec.Job.Tasks > api.MaxTasks {
			slog.Error("a job's record is damaged, and the job left out", "key", it.Key)
			s.damagedJobs[id] = true
		} else if s.jobs[id] == nil {
			s.addJob(rec, true)
		}
	}
	s.loadShards(shards)
	all := slices.Clone(s.jobOrder)
	for _, job := range all {
		for t := range job.taskCount {
			if job.completed.Has(t) {
				job.completedCount++
			}
		}
		if job.FinalState != "" {
			job.terminalStored = true
			s.hooks.JobTerminal(job.id, job.finalRecord(s.currentFormat))
		}
	}
	for _, job := range all {
		// One of these may have ended with another already.
		if job.FinalState == "" && !s.dependencies.add(job) {
			job.makeEligible()
		}
	}
	for _, job := range all {
		switch {
		case job.FinalState != "":
			for _, alloc := range job.allocations {
				s.stopTask(alloc, 0, "job is over")
			}
			s.archive(job)
		case job.completedCount == job.taskCount && job.Job.Shape != api.Service:
			s.finish(job, api.Done)
		}
	}
	if s.currentFormat {
		s.fitShards()
	}
	s.loaded = true
	s.wakePlacer()
	slog.Info("records loaded", "jobs", len(s.jobs), "damaged", len(s.damagedJobs))
}

// loadShards takes in the records of tasks, but of damaged jobs.
func (s *Scheduler) loadShards(items []store.Item) {
	on, stray, bad := store.ReadShards(items, func(id string, shard store.Shard) (store.TaskBitmap, int) {
		job := s.jobs[id]
		if job == nil {
			return nil, 0
		}
		job.shards[shard] = true
		return job.completed, job.taskCount
	})
	for id, err := range bad {
		slog.Error("a record of a job's tasks is damaged, and the job left out", "job", id, "err", err)
		s.damagedJobs[id] = true
		s.removeJob(s.jobs[id])
	}
	for _, key := range stray {
		if shard, ok := store.ParseShard(key); !ok || !s.damagedJobs[shard.Job] {
			s.hooks.MarkDirty(key, store.Lazy, nil)
		}
	}
	for id, placed := range on {
		job := s.jobs[id]
		for _, t := range slices.Sorted(maps.Keys(placed)) {
			// It may run there, or its command was never sent: until the
			// machineNamed proves otherwise it counts as running.
			alloc := s.allocate(job, t, s.machineNamed(placed[t].Machine), placed[t].Attempt)
			alloc.committed, alloc.runSent = true, true
			job.lastStart = s.now()
		}
	}
}

// reshard writes what a job has in records of another size into such of the size that is
// written now, and then deletes those: which of them a crash leaves behind makes no difference.
func (s *Scheduler) reshard(job *jobState) {
	var old []store.Shard
	for shard := range job.shards {
		if shard.Size != s.tasksPerShard {
			old = append(old, shard)
		}
	}
	if len(old) == 0 || job.resharding {
		return
	}
	job.resharding = true
	fresh := map[store.Shard]bool{}
	for t := range job.taskCount {
		if job.completed.Has(t) || job.allocations[t] != nil {
			fresh[store.ShardOf(job.id, t, s.tasksPerShard)] = true
		}
	}
	left := len(fresh) + 1
	stored := func() {
		if left--; left > 0 {
			return
		}
		job.resharding = false
		for _, shard := range old {
			delete(job.shards, shard)
			s.hooks.MarkDirty(shard.Key(), store.Lazy, nil)
		}
	}
	for shard := range fresh {
		job.shards[shard] = true
		s.hooks.MarkDirty(shard.Key(), job.urgency(), s.withLock(stored))
	}
	stored()
}

// UseCurrentFormat writes records as this version has them from now on: no older process reads them.
func (s *Scheduler) UseCurrentFormat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentFormat = true
	s.fitShards()
}

// fitShards has as many tasks share a record as always fit.
func (s *Scheduler) fitShards() {
	s.tasksPerShard = store.ShardSize(s.settings.Facts.State.Least().ValueBytes(), s.longestName)
	s.reshardAll()
}

// reshardAll writes all records of another size anew. A large one could not be written again once
// values must be smaller, and the starts that it holds would wait with it.
func (s *Scheduler) reshardAll() {
	for _, job := range s.jobOrder {
		s.reshard(job)
	}
}

// Committed sends what a commit has set free, in one command a machine.
func (s *Scheduler) Committed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for machine := range s.commandsReady {
		s.pushCommands(machine)
	}
	clear(s.commandsReady)
}

// Loaded tells whether the records have been read.
func (s *Scheduler) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}
