package scheduler

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/dag"
	"switchferry/fleet"
	"switchferry/store"
	"switchferry/topology"
)

// jobState is a job whose records are not archived yet. All of it is guarded by Scheduler.mu.
type jobState struct {
	store.JobRecord
	id        string
	taskCount int
	// rank is the job's priority level, which dependants in a pipeline may raise.
	rank    int
	request fleet.Resources

	// accepted is set once the job's record is stored. Until then no user may learn of the job.
	accepted bool
	// changed is closed, and replaced, when the job is accepted, when its terminal state is stored, and
	// when the last unsettled start of a cancelled job settles. Requests of users wait on it.
	changed chan struct{}
	// learnedAt is when this leader learned of the job, or released it from its dependencies.
	learnedAt time.Time

	completed      store.TaskBitmap
	completedCount int
	// allocations holds, by task, the tasks that are or may be on a machine, at most one attempt each.
	allocations map[int]*allocation
	// pending holds the tasks that are neither completed nor allocated nor in a machine's run queue.
	pending []int32
	// queued counts the tasks in run queues of machines.
	queued int
	// preemptions counts, by task, how often it was stopped for other work.
	preemptions map[int]int

	// shards are the job's shard records that exist or are about to be written.
	shards map[store.Shard]bool
	// resharding is set while the shard records are rewritten in the current size.
	resharding bool

	// terminalStored is set once the terminal state is stored and users may be told.
	terminalStored bool
	// archived is set once the terminal state has been handed to the committer under its own key, after which the
	// job's other records are deleted.
	archived bool
	// finalRecord is the job's final record as it was found in the state service; nil if none was found.
	finalRecord *store.FinalRecord
	// onTerminal are called in order once the terminal state is stored.
	onTerminal []func()
	// terminalAt is when the terminal state was decided; zero while there is none.
	terminalAt time.Time

	// failures counts the machines on which the job failed since one of its tasks completed; it sets the backoff.
	failures int
	// pausedUntil is the end of the job's backoff.
	pausedUntil time.Time
	// avoidUntil is, by machine, until when the machine gets no task of the job.
	avoidUntil map[string]time.Time
	// failedOn are all machines on which the job has ever failed in this term.
	failedOn map[string]bool

	// waitsForDependencies is set while some job that this one depends on is not known to be done; none of its
	// tasks is pending then.
	waitsForDependencies bool
	// eligibleAt is when the job was submitted or, if later, its last dependency was done, in ms on the clock of At.
	eligibleAt int64
	// inherited is the rank and the deadlines that dependants pass down to the job; empty without dependants.
	inherited dag.Stage

	// latestStart orders the job among those of its rank.
	latestStart int64
	// overQuota is 0 while the job is within its team's guarantee and 1 otherwise; it is a key of the order.
	overQuota int
	// guaranteed is set if the job was within the guarantee when this leader first checked. Other teams' work is
	// stopped only for such a job; one that comes within the guarantee later is merely ordered first.
	guaranteed bool
	// guaranteeChecked is set once guaranteed has been decided.
	guaranteeChecked bool

	// inputs are the datasets that the job's tasks need.
	inputs []input
	// intendedMachines are, by task of a service or a gang, the machines that its inputs are being copied to.
	intendedMachines map[int]*machineState

	// site counts where the job's tasks are in the topology; nil if the job constrains no domains.
	site *topology.Site
	// waitReason is the topology constraint that keeps the job from being placed, in the operator's words.
	waitReason string
	// nextDomainSearch is when a domain that preemption could free for the job is next searched for.
	nextDomainSearch time.Time
	// nextDomainReservation is when the domain to be reserved for the job is next chosen.
	nextDomainReservation time.Time
	// reservedDomain describes the reserved domain to operators; empty without one.
	reservedDomain string

	// waitingSince is when the job could first start. Where that is not known it is an earlier time.
	waitingSince time.Time
	// lastStart is when a task of the job was last allocated.
	lastStart time.Time
	// starved is set while the job has waited so long that it goes before all but production work.
	starved bool
	// nextMachineReservation is when machines to be reserved for the starved job are next chosen.
	nextMachineReservation time.Time
	// passedOverLogged is set once it was logged that the job waits although a machine has enough resources.
	passedOverLogged bool
}

// newJobState returns the state of a job that has no tasks on machines yet. Accepted says that the record is stored;
// now is when this leader learns of the job.
func newJobState(record store.JobRecord, accepted bool, now time.Time) *jobState {
	job := &jobState{
		JobRecord:    record,
		id:           record.Job.ID,
		taskCount:    record.Job.Tasks,
		rank:         record.Job.RankLevel(),
		request:      fleet.RequestOf(&record.Job),
		accepted:     accepted,
		changed:      make(chan struct{}),
		learnedAt:    now,
		completed:    store.NewTaskBitmap(record.Job.Tasks),
		allocations:  map[int]*allocation{},
		preemptions:  map[int]int{},
		shards:       map[store.Shard]bool{},
		avoidUntil:   map[string]time.Time{},
		failedOn:     map[string]bool{},
		eligibleAt:   record.AcceptedAt,
		waitingSince: time.UnixMilli(record.AcceptedAt),
	}
	if record.FinalState != "" {
		job.terminalAt = recordedTerminalTime(record, now)
	}
	return job
}

// recordedTerminalTime returns when a recorded terminal state was decided, now at the latest: users can have been told
// by then at most. Records of version 1 have no time, for which now stands in.
func recordedTerminalTime(record store.JobRecord, now time.Time) time.Time {
	if decided := time.UnixMilli(record.FinalAt); record.FinalAt > 0 && decided.Before(now) {
		return decided
	}
	return now
}

// notify wakes the requests that wait for a change of the job.
func (j *jobState) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// urgency returns how urgent the records of the job's tasks are, by its rank. An array of rank low with 25,000 short
// tasks always has something to write: written in order of arrival, all other starts waited for seconds behind it.
func (j *jobState) urgency() int { return store.Ordinary + api.RankProduction - j.rank }

// addJob adds a job to the job table. Accepted says that its record is stored. s.mu must be held.
func (s *Scheduler) addJob(record store.JobRecord, accepted bool) *jobState {
	job := newJobState(record, accepted, s.now())
	s.resolveInputs(job)
	s.initSite(job)
	s.jobs[job.id] = job
	s.jobOrder = append(s.jobOrder, job)
	return job
}

// removeJob removes a job from the job table and from the run queues. s.mu must be held.
func (s *Scheduler) removeJob(job *jobState) {
	if s.jobs[job.id] == job {
		delete(s.jobs, job.id)
	}
	s.jobOrder = slices.DeleteFunc(s.jobOrder, func(other *jobState) bool { return other == job })
	s.removeFromQueues(job)
}

// parseTaskKey parses the name of a task, as taskKey makes it. It returns false if the name is malformed.
func parseTaskKey(key string) (jobID string, task int, ok bool) {
	jobID, number, ok := strings.Cut(key, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(number)
	return jobID, task, err == nil && task >= 0
}

// taskKey returns the name that the protocol gives a task: the job's id and the task's number.
func taskKey(id string, task int) string { return id + "/" + strconv.Itoa(task) }
