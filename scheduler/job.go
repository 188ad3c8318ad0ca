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
	// stands under its own key, and the other records can go.
	terminalStored, archived bool
	onTerminal               []func()
	// terminalAt is when its cancellation was decided, if it was.
	terminalAt time.Time
	// latestStart orders it among those of its rank.
	latestStart int64
	// waitsForDependencies: jobs that it awaits are not known to be done, so none of its tasks is pending.
	// began is when it came, or the last of those was done, in ms on the clock of At. reach is
	// what it has to keep for the sake of those behind it; it is only set while there are some.
	waitsForDependencies bool
	eligibleAt           int64
	inherited            dag.Stage
	// overQuota is 1 unless the job is within its team's guarantee.
	overQuota int
	// guaranteed: it was within the guarantee when this leader first looked, so it
	// need not wait for other teams. One that comes within as others end goes
	// first in the queues, but nothing is stopped for it. judged: that was
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

// notify wakes the users that wait for the job's record.
func (j *jobState) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// urgency is how urgent the records of a job's tasks are. A guest's array of 25,000
// short tasks has something to write all the time: in the order of their coming the
// starts of all others waited for seconds behind it.
func (j *jobState) urgency() int { return store.Ordinary + api.RankProduction - j.rank }

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

func (s *Scheduler) removeJob(job *jobState) {
	delete(s.jobs, job.id)
	s.jobOrder = slices.DeleteFunc(s.jobOrder, func(o *jobState) bool { return o == job })
	s.removeFromQueues(job)
}

func splitTask(key string) (string, int, bool) {
	id, num, ok := strings.Cut(key, "/")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return id, n, err == nil && n >= 0
}

func taskKey(id string, task int) string { return id + "/" + strconv.Itoa(task) }
