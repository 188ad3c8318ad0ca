package experiment

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"switchferry/api"
	"switchferry/upperbound"
)

// Order compares how many jobs of a class met their deadline on a day with an upper bound of how many could
// have. It reads the debug logs of that day, of one controller or of several.
type Order struct {
	Class string
	// WithinS is the allowed time from when a job may start, in seconds. If it is 0, a job's allowed time is its own
	// deadline multiplied by DeadlineFactor, counted from its submission.
	WithinS, DeadlineFactor float64
	// FromS and ToS bound the jobs' submission times, in seconds since the first log line.
	FromS, ToS float64
	// SlotS is the length of a time slot in which capacity is counted, in seconds.
	SlotS float64
	// Rounds is the number of iterations of upperbound.Compute.
	Rounds int
}

// OrderDefaults returns options that cover a whole day.
func OrderDefaults() *Order {
	return &Order{DeadlineFactor: 1, ToS: math.MaxFloat32, SlotS: 5, Rounds: 600}
}

// OrderResult compares the jobs of a class that met their deadline with those that could have. ImpossibleAlone counts
// jobs that would have missed it with the whole fleet to themselves. UpperBound is the bound that package upperbound
// computes for the others, after subtracting the capacity that jobs of other classes with the same or a higher rank
// used. Jobs with a task that never completed are not counted.
type OrderResult struct {
	Class string `json:"class"`
	// Aim describes the deadline that the jobs are compared with.
	Aim             string  `json:"aim"`
	Jobs            int     `json:"jobs"`
	InTime          int     `json:"in_time"`
	ImpossibleAlone int     `json:"impossible_alone"`
	UpperBound      float64 `json:"most"`
	// Late counts the jobs that missed their deadline, by cause.
	Late LateJobs `json:"late"`
}

// LateJobs counts late jobs by cause. Each job counts once, for the first cause that applies: a single task
// ran longer than the job's allowed time; a task was lost with its machine or ended without success; a task was
// stopped; or the job waited for capacity, an image or a machine.
type LateJobs struct {
	LongTask    int `json:"long_task"`
	TaskLost    int `json:"task_lost"`
	TaskStopped int `json:"task_stopped"`
	Waited      int `json:"waited"`
}

func (l *LateJobs) add(j *loggedJob, allowed float64) {
	longest := 0.0
	for _, run := range j.runTimes {
		longest = math.Max(longest, run)
	}
	switch {
	case longest >= allowed:
		l.LongTask++
	case j.lost > 0:
		l.TaskLost++
	case j.stopped > 0:
		l.TaskStopped++
	default:
		l.Waited++
	}
}

// loggedJob is a job as the logs show it. All times are in seconds since the first log line; 0 means that the event did
// not happen.
type loggedJob struct {
	class           string
	rank, size      int
	cpus            float64
	deadlineS       float64
	submitted, done float64
	// awaits are the jobs that this job awaits. ready is when the last of them was done, or the time of submission if
	// there are none.
	awaits []string
	ready  float64
	// runTimes has the run time of each completed task, by task ID.
	runTimes map[string]float64
	// lastEnd is when its last task completed, firstPlaced when its first task was placed, and firstStart when its first
	// task started to run.
	lastEnd, firstPlaced, firstStart float64
	// lost and stopped count task attempts that ended without completing.
	lost, stopped int
}

// loggedRun is one run of a task on a machine.
type loggedRun struct {
	job      string
	from, to float64
}

// dayLog is the content of a day's logs. Each element of fleetCPUs is a time and the fleet's CPUs at that time.
// lastAt is the time of the last log line. All times are in seconds since the first log line.
type dayLog struct {
	jobs      map[string]*loggedJob
	runs      []loggedRun
	fleetCPUs [][2]float64
	lastAt    float64
}

// Compare reads logs and returns the comparison. It returns an error if no job of the class can be counted.
func (o *Order) Compare(r io.Reader) (*OrderResult, error) {
	day, err := readDayLog(r)
	if err != nil {
		return nil, err
	}
	res := &OrderResult{Class: o.Class, Aim: fmt.Sprintf("within %g s", o.WithinS)}
	if o.WithinS == 0 {
		res.Aim = fmt.Sprintf("within %g times the deadline", o.DeadlineFactor)
	}
	jobs := o.countJobs(day, res)
	if res.Jobs == 0 {
		return nil, fmt.Errorf("these logs hold no job of class %q that was submitted and completed in the given period; were they written with LOG_LEVEL=debug?", o.Class)
	}
	b := upperbound.Compute(jobs, o.freeCapacity(day), o.Rounds)
	res.ImpossibleAlone, res.UpperBound = b.InfeasibleAlone, b.Bound
	return res, nil
}

// freeCapacity returns the fleet's CPUs in each time slot of a day, less those used by jobs of other classes whose rank is
// not below that of the class.
func (o *Order) freeCapacity(day *dayLog) upperbound.FreeCapacity {
	free := upperbound.FreeCapacity{SlotS: o.SlotS, CPUs: make([]float64, int(day.lastAt/o.SlotS)+1)}
	sample := 0
	for i := range free.CPUs {
		for sample+1 < len(day.fleetCPUs) && day.fleetCPUs[sample+1][0] <= float64(i)*o.SlotS {
			sample++
		}
		if len(day.fleetCPUs) > 0 {
			// Between two log lines the larger capacity counts, so that the result remains an upper bound.
			free.CPUs[i] = math.Max(day.fleetCPUs[sample][1], day.fleetCPUs[min(sample+1, len(day.fleetCPUs)-1)][1])
		}
	}
	rank := 0
	for _, j := range day.jobs {
		if j.class == o.Class {
			rank = j.rank
		}
	}
	for _, x := range day.runs {
		j := day.jobs[x.job]
		if j == nil || j.class == o.Class || j.rank < rank {
			continue
		}
		for i := int(x.from / o.SlotS); i < len(free.CPUs) && float64(i)*o.SlotS < x.to; i++ {
			free.CPUs[i] -= j.cpus * (math.Min(x.to, float64(i+1)*o.SlotS) - math.Max(x.from, float64(i)*o.SlotS)) / o.SlotS
		}
	}
	return free
}

// countJobs counts the jobs of the class in res and returns them in the order of their arrival.
func (o *Order) countJobs(day *dayLog, res *OrderResult) []upperbound.Job {
	var jobs []upperbound.Job
	for _, j := range day.jobs {
		due, counts := o.dueTime(day, j)
		if !counts {
			continue
		}
		res.Jobs++
		if j.done > 0 && j.done <= due {
			res.InTime++
		} else {
			res.Late.add(j, due-j.ready)
		}
		x := upperbound.Job{Arrive: j.ready, Due: due}
		for _, run := range j.runTimes {
			x.Tasks = append(x.Tasks, upperbound.Task{CPUs: j.cpus, RunS: run})
		}
		// A fixed order makes the result reproducible.
		slices.SortFunc(x.Tasks, func(a, b upperbound.Task) int { return cmp.Compare(a.RunS, b.RunS) })
		jobs = append(jobs, x)
	}
	slices.SortFunc(jobs, func(a, b upperbound.Job) int {
		return cmp.Or(cmp.Compare(a.Arrive, b.Arrive), len(a.Tasks)-len(b.Tasks))
	})
	return jobs
}

// dueTime returns when a job was due, in seconds since the first log line, and whether it counts: it must belong to the
// class, have been submitted in the given period, have completed, and have been due before the end of the logs.
func (o *Order) dueTime(day *dayLog, j *loggedJob) (due float64, counts bool) {
	// A deadline counts from the submission, WithinS from when the job could start. In both cases no task could run before
	// the job was ready.
	due = j.ready + o.WithinS
	if o.WithinS == 0 {
		due = j.submitted + o.DeadlineFactor*j.deadlineS
	}
	switch {
	case j.class != o.Class, j.submitted < o.FromS, j.submitted > o.ToS, len(j.runTimes) < j.size, due > day.lastAt:
		return due, false
	}
	return due, o.WithinS != 0 || o.DeadlineFactor*j.deadlineS > 0
}

// scanLog reads log lines and ignores what precedes time= on a line. For each line it calls handleLine with the line's
// attributes and its time in seconds since the first line.
func scanLog(r io.Reader, handleLine func(kv map[string]string, at float64)) error {
	var begin time.Time
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), 4<<20)
	for lines.Scan() {
		i := bytes.Index(lines.Bytes(), []byte("time="))
		if i < 0 {
			continue
		}
		d := logfmt.NewDecoder(bytes.NewReader(lines.Bytes()[i:]))
		kv := map[string]string{}
		for d.ScanRecord() {
			for d.ScanKeyval() {
				kv[string(d.Key())] = string(d.Value())
			}
		}
		when, err := time.Parse(time.RFC3339, kv["time"])
		if d.Err() != nil || err != nil {
			continue // The line is truncated.
		}
		if begin.IsZero() {
			begin = when
		}
		handleLine(kv, math.Max(0, when.Sub(begin).Seconds()))
	}
	if begin.IsZero() {
		return errors.New("not a switchferry log: no line has time=")
	}
	return lines.Err()
}

// readDayLog parses the logs of a day.
func readDayLog(r io.Reader) (*dayLog, error) {
	day := &dayLog{jobs: map[string]*loggedJob{}}
	startedAt := map[string]float64{}
	if err := scanLog(r, func(kv map[string]string, at float64) { day.addLine(kv, at, startedAt) }); err != nil {
		return nil, err
	}
	slices.SortFunc(day.fleetCPUs, func(a, b [2]float64) int { return cmp.Compare(a[0], b[0]) })
	return day, nil
}

func (day *dayLog) addLine(kv map[string]string, seconds float64, startedAt map[string]float64) {
	number := func(key string) float64 {
		v, _ := strconv.ParseFloat(kv[key], 64)
		return v
	}
	day.lastAt = math.Max(day.lastAt, seconds)
	task := kv["task"]
	job, _, _ := strings.Cut(task, "/")
	taskEnded := func() {
		if from, ok := startedAt[task]; ok {
			delete(startedAt, task)
			day.runs = append(day.runs, loggedRun{job, from, seconds})
			switch j := day.jobs[job]; {
			case j == nil:
			case kv["cause"] == api.CauseDone:
				j.runTimes[task] = seconds - from
				j.lastEnd = math.Max(j.lastEnd, seconds)
			case kv["cause"] == api.CauseStopped:
				j.stopped++
			default:
				j.lost++
			}
		}
	}
	switch kv["msg"] {
	case "job accepted":
		if day.jobs[kv["job"]] == nil {
			s := api.Submission{Rank: kv["rank"]}
			day.jobs[kv["job"]] = &loggedJob{class: kv["class"], rank: s.RankLevel(), size: int(number("tasks")), cpus: number("cpus"), deadlineS: number("due_s"), submitted: seconds, ready: seconds, runTimes: map[string]float64{}}
			if kv["awaits"] != "" {
				day.jobs[kv["job"]].awaits = strings.Split(kv["awaits"], ",")
			}
		}
	case "job may start":
		if j := day.jobs[kv["job"]]; j != nil && j.ready == j.submitted {
			j.ready = seconds // Only the first line counts: a new leader logs it again.
		}
	case "task placed":
		if j := day.jobs[job]; j != nil && j.firstPlaced == 0 {
			j.firstPlaced = seconds
		}
	case "job over":
		if j := day.jobs[kv["job"]]; j != nil && j.done == 0 && kv["state"] == api.Done {
			j.done = seconds
		}
	case "task running":
		startedAt[task] = seconds
		if j := day.jobs[job]; j != nil && j.firstStart == 0 {
			j.firstStart = seconds
		}
	case "task ended", "task lost":
		taskEnded()
	case "fleet":
		day.fleetCPUs = append(day.fleetCPUs, [2]float64{seconds, number("cpus")})
	}
}
