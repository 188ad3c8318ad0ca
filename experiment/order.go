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

// Order compares how many jobs of a class were in time on a day with how many could have been, by
// the controllers' logs of that day at level debug, of one or of all.
type Order struct {
	Class string
	// WithinS is the time that a job may take; 0: its own deadline, Times over.
	WithinS, Times float64
	// FromS and ToS bound when the jobs came, in seconds of the day.
	FromS, ToS float64
	// SlotS is the length of the stretches of which capacity is counted.
	SlotS  float64
	Rounds int
}

// OrderDefaults are a whole day's.
func OrderDefaults() *Order { return &Order{Times: 1, ToS: math.MaxFloat32, SlotS: 5, Rounds: 600} }

// OrderResult is what a day's logs say. Alone could not have been in time with the whole fleet
// for themselves; Most is the bound of package bound for the others, given what jobs of other
// classes and of the same or a higher rank took. Tasks that never completed are left out with
// their jobs.
type OrderResult struct {
	Class  string  `json:"class"`
	Aim    string  `json:"aim"`
	Jobs   int     `json:"jobs"`
	InTime int     `json:"in_time"`
	Alone  int     `json:"impossible_alone"`
	Most   float64 `json:"most"`
	// Late are the jobs that were not, by what kept them.
	Late LateJobs `json:"late"`
}

// LateJobs counts late jobs by cause, each once, in this order: a task of it alone ran longer
// than the job may take; a task was lost with its machine or ended without success; one was
// stopped; or they waited, for room, an image or a machine.
type LateJobs struct {
	Long    int `json:"long_task"`
	Lost    int `json:"task_lost"`
	Stopped int `json:"task_stopped"`
	Waited  int `json:"waited"`
}

func (l *LateJobs) add(j *loggedJob, due float64) {
	longest := 0.0
	for _, run := range j.took {
		longest = math.Max(longest, run)
	}
	switch {
	case longest >= due:
		l.Long++
	case j.lost > 0:
		l.Lost++
	case j.stopped > 0:
		l.Stopped++
	default:
		l.Waited++
	}
}

type loggedJob struct {
	class      string
	rank, size int
	cpus       float64
	due        float64
	at, over   float64
	// awaits are the jobs that it waits for, ready when the last of them was done: as it came
	// if there are none.
	awaits []string
	ready  float64
	took   map[string]float64
	// lastEnd is when the last of its tasks was done; placed and running are the first start of
	// one; 0: there was none.
	lastEnd, placed, running float64
	// lost and stopped count tasks that ended without being done.
	lost, stopped int
}

type loggedRun struct {
	job      string
	from, to float64
}

// dayLog is what logs tell of a day.
type dayLog struct {
	jobs map[string]*loggedJob
	runs []loggedRun
	cpus [][2]float64
	last float64
}

// Compare reads the logs.
func (o *Order) Compare(r io.Reader) (*OrderResult, error) {
	day, err := readDay(r)
	if err != nil {
		return nil, err
	}
	free := upperbound.FreeCapacity{SlotS: o.SlotS, CPUs: make([]float64, int(day.last/o.SlotS)+1)}
	at := 0
	for i := range free.CPUs {
		for at+1 < len(day.cpus) && day.cpus[at+1][0] <= float64(i)*o.SlotS {
			at++
		}
		if len(day.cpus) > 0 {
			// What is up between two lines is the larger of both, so that the bound holds.
			free.CPUs[i] = math.Max(day.cpus[at][1], day.cpus[min(at+1, len(day.cpus)-1)][1])
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
	res := &OrderResult{Class: o.Class, Aim: fmt.Sprintf("within %g s", o.WithinS)}
	if o.WithinS == 0 {
		res.Aim = fmt.Sprintf("within %g times the deadline", o.Times)
	}
	var jobs []upperbound.Job
	for _, j := range day.jobs {
		// A deadline counts from the submission, other times from when the job could start;
		// whichever it is, nothing of it could run before.
		by := j.ready + o.WithinS
		if o.WithinS == 0 {
			by = j.at + o.Times*j.due
		}
		if j.class != o.Class || j.at < o.FromS || j.at > o.ToS || len(j.took) < j.size || o.WithinS == 0 && o.Times*j.due <= 0 || by > day.last {
			continue
		}
		res.Jobs++
		if j.over > 0 && j.over <= by {
			res.InTime++
		} else {
			res.Late.add(j, by-j.ready)
		}
		x := upperbound.Job{Arrive: j.ready, Due: by}
		for _, run := range j.took {
			x.Tasks = append(x.Tasks, upperbound.Task{CPUs: j.cpus, RunS: run})
		}
		// In one order, so that two runs give the same.
		slices.SortFunc(x.Tasks, func(a, b upperbound.Task) int { return cmp.Compare(a.RunS, b.RunS) })
		jobs = append(jobs, x)
	}
	if res.Jobs == 0 {
		return nil, fmt.Errorf("no job of class %q that came and ended in time is in these logs; are they of LOG_LEVEL=debug?", o.Class)
	}
	slices.SortFunc(jobs, func(a, b upperbound.Job) int {
		return cmp.Or(cmp.Compare(a.Arrive, b.Arrive), len(a.Tasks)-len(b.Tasks))
	})
	b := upperbound.Compute(jobs, free, o.Rounds)
	res.Alone, res.Most = b.InfeasibleAlone, b.Bound
	return res, nil
}

// scan reads log lines; what stands before time= on a line does not matter. At is the time of a
// line in seconds since the first.
func scan(r io.Reader, take func(kv map[string]string, at float64)) error {
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
			continue // a line that was cut short
		}
		if begin.IsZero() {
			begin = when
		}
		take(kv, math.Max(0, when.Sub(begin).Seconds()))
	}
	if begin.IsZero() {
		return errors.New("these are no logs of switchferry: no line has time=")
	}
	return lines.Err()
}

// readDay takes in the logs of a day.
func readDay(r io.Reader) (*dayLog, error) {
	day := &dayLog{jobs: map[string]*loggedJob{}}
	on := map[string]float64{}
	if err := scan(r, func(kv map[string]string, at float64) { day.take(kv, at, on) }); err != nil {
		return nil, err
	}
	slices.SortFunc(day.cpus, func(a, b [2]float64) int { return cmp.Compare(a[0], b[0]) })
	return day, nil
}

func (day *dayLog) take(kv map[string]string, at float64, on map[string]float64) {
	number := func(key string) float64 {
		v, _ := strconv.ParseFloat(kv[key], 64)
		return v
	}
	day.last = math.Max(day.last, at)
	task := kv["task"]
	job, _, _ := strings.Cut(task, "/")
	off := func() {
		if from, ok := on[task]; ok {
			delete(on, task)
			day.runs = append(day.runs, loggedRun{job, from, at})
			switch j := day.jobs[job]; {
			case j == nil:
			case kv["cause"] == api.CauseDone:
				j.took[task] = at - from
				j.lastEnd = math.Max(j.lastEnd, at)
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
			day.jobs[kv["job"]] = &loggedJob{class: kv["class"], rank: s.RankLevel(), size: int(number("tasks")), cpus: number("cpus"), due: number("due_s"), at: at, ready: at, took: map[string]float64{}}
			if kv["awaits"] != "" {
				day.jobs[kv["job"]].awaits = strings.Split(kv["awaits"], ",")
			}
		}
	case "job may start":
		if j := day.jobs[kv["job"]]; j != nil && j.ready == j.at {
			j.ready = at // a new leader says it again
		}
	case "task placed":
		if j := day.jobs[job]; j != nil && j.placed == 0 {
			j.placed = at
		}
	case "job over":
		if j := day.jobs[kv["job"]]; j != nil && j.over == 0 && kv["state"] == api.Done {
			j.over = at
		}
	case "task running":
		on[task] = at
		if j := day.jobs[job]; j != nil && j.running == 0 {
			j.running = at
		}
	case "task ended", "task lost":
		off()
	case "fleet":
		day.cpus = append(day.cpus, [2]float64{at, number("cpus")})
	}
}
