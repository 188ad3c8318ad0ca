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

// jobState is the state of a job that is not archived yet. Scheduler.mu guards all of it.
type jobState struct {
	store.JobRecord
	id        string
	taskCount int
	// rank is the job's priority level; dependent jobs can raise it.
	rank    int
	request fleet.Resources

	// accepted is set once the job's record is stored. Until then the job must not be visible to users.
	accepted bool
	// changed is closed and replaced when the job is accepted, when its terminal state is stored, and when the last
	// pending start of a cancelled job is settled. User requests wait on it.
	changed chan struct{}
	// learnedAt is when this leader added the job, or when the job's last dependency was done.
	learnedAt time.Time

	completed      store.TaskBitmap
	completedCount int
	// allocations holds, by task, the attempts that are or may be on a machine, at most one for each task.
	allocations map[int]*allocation
	// pending holds the tasks that are neither completed nor allocated nor in a machine's run queue.
	pending []int32
	// queued counts the tasks in run queues of machines.
	queued int
	// preemptions counts, by task, how often the task was preempted.
	preemptions map[int]int

	// shards are the job's shard records that exist or are about to be written.
	shards map[store.Shard]bool
	// resharding is set while the shard records are rewritten with the current number of tasks per shard.
	resharding bool

	// terminalStored is set once the terminal state is stored and may be reported to users.
	terminalStored bool
	// archived is set once the job's final record has been passed to the committer. The job's other records are deleted
	// after it.
	archived bool
	// finalRecord is the job's final record as read from the state service; nil if none was found.
	finalRecord *store.FinalRecord
	// onTerminal are called in order once the terminal state is stored.
	onTerminal []func()
	// terminalAt is when the terminal state was decided; zero while there is none.
	terminalAt time.Time

	// failures counts the machines on which the job failed since one of its tasks last completed; it determines the
	// backoff.
	failures int
	// pausedUntil is the end of the job's backoff.
	pausedUntil time.Time
	// avoidUntil holds, by machine name, the time until which the machine gets no task of the job.
	avoidUntil map[string]time.Time
	// failedOn holds the names of all machines on which the job has failed in this term.
	failedOn map[string]bool

	// waitsForDependencies is set while a job that this one depends on is not known to be done. While it is set, no
	// task is pending.
	waitsForDependencies bool
	// eligibleAt is when the job was submitted or, if later, when its last dependency was done, in Unix ms.
	eligibleAt int64
	// inherited holds the rank and the deadlines that the job inherits from its dependants; empty if it has none.
	inherited dag.Stage

	// latestStart orders the job among those of its rank. It is the time, in Unix ms, by which the job must start to
	// meet its next deadline; for a job that needs a larger share of the fleet it is later.
	latestStart int64
	// overQuota is 0 while the job is within its team's guarantee and 1 otherwise; it is one of the sort keys of jobs.
	overQuota int
	// guaranteed is set if the job was within its team's guarantee when this leader first checked. Only for such a job
	// is other teams' work preempted; a job that comes within the guarantee later is only ordered first.
	guaranteed bool
	// guaranteeChecked is set once guaranteed has been decided.
	guaranteeChecked bool

	// inputs are the datasets that the job's tasks need.
	inputs []input
	// intendedMachines holds, by task of a service or a gang, the machine to which the task's inputs are being copied.
	intendedMachines map[int]*machineState

	// site counts the job's tasks by topology domain; nil if the job has no domain constraints.
	site *topology.JobPlacement
	// waitReason describes to operators the topology constraint that prevents the job from being placed.
	waitReason string
	// nextDomainSearch is when to search next for a domain that preemption could free for the job.
	nextDomainSearch time.Time
	// nextDomainReservation is when to choose next a domain to reserve for the job.
	nextDomainReservation time.Time
	// reservedDomain describes the reserved domain to operators; empty if there is none.
	reservedDomain string

	// waitingSince is when the job could first have started, or an earlier time if that is not known.
	waitingSince time.Time
	// lastStart is when a task of the job was last allocated.
	lastStart time.Time
	// starved is set while the job has waited so long that it precedes all work except production.
	starved bool
	// nextMachineReservation is when to choose next the machines to reserve for the starved job.
	nextMachineReservation time.Time
	// passedOverLogged is set once it has been logged that the job waits although a machine has enough free resources.
	passedOverLogged bool
}

// newJobState returns the state of a job that has no allocations yet. accepted means that the record is stored; now is
// the current time.
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

// recordedTerminalTime returns when a recorded terminal state was decided. It returns now if the recorded time is in
// the future, or missing as in records of version 1.
func recordedTerminalTime(record store.JobRecord, now time.Time) time.Time {
	if decided := time.UnixMilli(record.FinalAt); record.FinalAt > 0 && decided.Before(now) {
		return decided
	}
	return now
}

// notify wakes the requests that wait on changed.
func (j *jobState) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// urgency returns the write urgency of the records of the job's tasks, which depends on its rank. If records were
// written in order of arrival, a low-rank array of 25,000 short tasks, which always has records to write, would delay
// all other starts by seconds.
func (j *jobState) urgency() int { return store.Ordinary + api.RankProduction - j.rank }

// addJob adds a job to the job table. accepted means that its record is stored. s.mu must be held.
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

// parseTaskKey parses a task key made by taskKey. ok is false if the key is malformed.
func parseTaskKey(key string) (jobID string, task int, ok bool) {
	jobID, number, ok := strings.Cut(key, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(number)
	return jobID, task, err == nil && task >= 0
}

// taskKey returns the name of a task in the protocol: the job's ID and the task's number.
func taskKey(id string, task int) string { return id + "/" + strconv.Itoa(task) }
