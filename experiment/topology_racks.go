package experiment

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"switchferry/api"
	"switchferry/topology"
)

// rackTask is a task that runs on a rackMachine.
type rackTask struct {
	id, job string
	attempt uint64
	cpus    float64
	ends    time.Time // zero for a task of a service
}

// rackMachine is a simulated machine in a rack.
type rackMachine struct {
	// switchName is the name of the machine's switch.
	name, rack, switchName string
	cpus                   float64
	tasks                  map[string]*rackTask
	// exited has the reports of tasks that have exited and that the scheduler has not cleared yet.
	exited []api.TaskReport
	// outageLeft is for how many more seconds the machine is unreachable, outageSeconds for how many it has been so far.
	outageLeft    int
	incarnation   uint64
	seq           uint64
	outageSeconds int
	// removed is true once the machine was refused or returned.
	removed bool
}

func (m *rackMachine) free() float64 {
	f := m.cpus
	for _, t := range m.tasks {
		f -= t.cpus
	}
	return f
}

// rackSimulation is the simulation of one seed with one placer.
type rackSimulation struct {
	*Topology
	clock    *clockwork.FakeClock
	rng      *rand.Rand
	machines []*rackMachine
	byName   map[string]*rackMachine
	racks    []string
	switchOf map[string]string
	jobs     map[string]*rackJob
	// jobOrder has the unfinished jobs in the order of their submission.
	jobOrder []*rackJob
	// placed counts the tasks that were started.
	placed int
	// nextNumber is the number of the latest job or replacement machine.
	nextNumber int
}

// rackJob is a job of the simulation.
type rackJob struct {
	submission api.Submission
	runTime    time.Duration
	submitted  time.Time
	cancelAt   time.Time // when a service is cancelled; zero for other jobs
	// counted is true once the job is counted in ClosePossible.
	counted bool
	ended   bool
	// running and completed count its tasks.
	running   int
	completed int
	// fitRounds counts the consecutive rounds after which all its tasks would have fit into one domain.
	fitRounds int
}

// taskMemory is the memory of a task in GB.
const taskMemory = 1.0

func (w *rackSimulation) addMachine(rack, name string, cpus float64) {
	m := &rackMachine{name: name, rack: rack, switchName: w.switchOf[rack], cpus: cpus, tasks: map[string]*rackTask{}, incarnation: 1}
	w.machines, w.byName[name] = append(w.machines, m), m
}

func (w *rackSimulation) topologyMap() (*topology.Map, error) {
	var b strings.Builder
	b.WriteString("version = 1\n")
	seen := map[string]bool{}
	for _, r := range w.racks {
		if s := w.switchOf[r]; !seen[s] {
			seen[s] = true
			fmt.Fprintf(&b, "[[domain]]\nname = %q\nlevel = \"switch\"\n", s)
		}
		fmt.Fprintf(&b, "[[domain]]\nname = %q\nlevel = \"rack\"\nin = %q\nmachines = [%q]\n", r, w.switchOf[r], r+"-*")
	}
	return topology.Parse([]byte(b.String()))
}

// submitJobs cancels the services that are due for cancellation, and submits jobs until the requested CPUs reach Load.
func (w *rackSimulation) submitJobs(p placer) {
	requested, total := 0.0, 0.0
	for _, m := range w.machines {
		total += m.cpus
	}
	now := w.clock.Now()
	for _, j := range w.jobOrder {
		if !j.ended && !j.cancelAt.IsZero() && now.After(j.cancelAt) {
			j.ended = true
			p.cancel(j.submission.ID)
		}
		if !j.ended {
			requested += float64(j.submission.Tasks) * j.submission.CPUs
		}
	}
	for requested < w.Load*total {
		j := w.drawJob()
		requested += float64(j.submission.Tasks) * j.submission.CPUs
		w.jobs[j.submission.ID], w.jobOrder = j, append(w.jobOrder, j)
		p.submit(&j.submission)
		if w.rng.IntN(8) == 0 {
			break
		}
	}
	w.jobOrder = slices.DeleteFunc(w.jobOrder, func(j *rackJob) bool { return j.ended && j.running == 0 })
}

func (w *rackSimulation) drawJob() *rackJob {
	w.nextNumber++
	j := &rackJob{submitted: w.clock.Now(), runTime: time.Duration(10+w.rng.IntN(50)) * time.Second}
	j.submission = api.Submission{ID: fmt.Sprintf("run-%07d", w.nextNumber), Class: "c", Team: "team", Rank: "normal", MemoryGB: taskMemory, Image: "image", Spot: true,
		EstimateS: j.runTime.Seconds(), CPUs: float64(1 + w.rng.IntN(4)), Shape: api.JobArray, Tasks: 8 + w.rng.IntN(40)}
	switch k := w.rng.IntN(20); {
	case k < 6:
		j.submission.Shape, j.submission.Tasks, j.submission.EstimateS = api.Service, 2+w.rng.IntN(11), 0
		j.cancelAt = j.submitted.Add(time.Duration(60+w.rng.IntN(240)) * time.Second)
		j.submission.Survive = &api.Survive{Level: "rack", MaxTasks: 1 + j.submission.Tasks/3, Required: true}
		if k == 0 {
			j.submission.Near = &api.Near{Level: "switch", Required: true}
		}
	case k < 11:
		j.submission.Shape, j.submission.Tasks, j.submission.CPUs = api.Gang, 4+w.rng.IntN(20), 4
		j.submission.Near = &api.Near{Level: "rack", Required: true}
	case k < 12:
		j.submission.Shape, j.submission.Tasks, j.submission.CPUs = api.Gang, 30+w.rng.IntN(50), 4
		j.submission.Near = &api.Near{Level: "switch", Required: true}
	}
	return j
}

// failSwitch makes a random switch unreachable about once a minute, sometimes for longer than a lease.
func (w *rackSimulation) failSwitch() {
	if w.rng.IntN(60) > 0 {
		return
	}
	at, seconds := w.switchOf[w.racks[w.rng.IntN(len(w.racks))]], 3+w.rng.IntN(25)
	for _, m := range w.machines {
		if m.switchName == at {
			m.outageLeft = seconds
		}
	}
}

// leaseSeconds is the duration of a worker's lease.
const leaseSeconds = 12

// endTasksAndHeartbeat ends the tasks whose run time has passed and sends the heartbeats of all reachable machines.
func (w *rackSimulation) endTasksAndHeartbeat(p placer) {
	now := w.clock.Now()
	for _, m := range w.machines {
		for id, t := range m.tasks {
			if !t.ends.IsZero() && !now.Before(t.ends) {
				m.exited = append(m.exited, api.TaskReport{Task: id, Attempt: t.attempt, State: api.TaskExited, Cause: api.CauseDone})
				w.removeTask(m, t)
				j := w.jobs[t.job]
				j.completed++
				j.ended = j.ended || j.completed >= j.submission.Tasks
			}
		}
		if m.removed || m.outageLeft > 0 {
			continue
		}
		p.heartbeat(m)
	}
}

func (w *rackSimulation) startTask(m *rackMachine, id string, attempt uint64) {
	name, _, _ := strings.Cut(id, "/")
	j := w.jobs[name]
	if j == nil || m.tasks[id] != nil {
		return
	}
	t := &rackTask{id: id, job: name, attempt: attempt, cpus: j.submission.CPUs}
	if j.cancelAt.IsZero() {
		t.ends = w.clock.Now().Add(j.runTime)
	}
	m.tasks[id] = t
	j.running++
	w.placed++
}

func (w *rackSimulation) removeTask(m *rackMachine, t *rackTask) {
	delete(m.tasks, t.id)
	w.jobs[t.job].running--
}

// countPlacements counts violations of bounds and jobs that wait although they would fit. It also advances the outages
// of machines and ends the tasks of those whose lease has expired.
func (w *rackSimulation) countPlacements(p placer, f *TopologyFigures, waits *hdrhistogram.Histogram) {
	racks, switches := map[string]map[string]int{}, map[string]map[string]int{}
	count := func(tasksByDomain map[string]map[string]int, job, key string) {
		if tasksByDomain[job] == nil {
			tasksByDomain[job] = map[string]int{}
		}
		tasksByDomain[job][key]++
	}
	for _, m := range w.machines {
		if m.outageLeft > 0 {
			m.outageLeft--
			if m.outageSeconds++; m.outageSeconds == leaseSeconds {
				for _, t := range m.tasks {
					w.removeTask(m, t)
				}
			}
		} else {
			m.outageSeconds = 0
		}
		for _, t := range m.tasks {
			count(racks, t.job, m.rack)
			count(switches, t.job, m.switchName)
		}
	}
	for _, j := range w.jobOrder {
		if x := j.submission.Survive; x != nil {
			for _, n := range racks[j.submission.ID] {
				if n > x.MaxTasks {
					f.Violations++
					break
				}
			}
		}
		if j.submission.Near == nil || j.ended {
			continue
		}
		tasksByDomain := racks
		if j.submission.Near.Level == "switch" {
			tasksByDomain = switches
		}
		if len(tasksByDomain[j.submission.ID]) > 1 {
			f.Violations++
		}
		switch {
		case j.counted:
		case j.running == j.submission.Tasks && len(tasksByDomain[j.submission.ID]) == 1:
			j.counted = true
			f.ClosePossible++
			f.CloseTogether++
			_ = waits.RecordValue(w.clock.Now().Sub(j.submitted).Milliseconds())
		case j.running == 0 && !p.allPlaced(j.submission.ID) && w.fitsInOneDomain(p, j):
			// Capacity that became free after a round can only be used in the next one.
			if j.fitRounds++; j.fitRounds == 2 {
				f.ClosePossible++
				j.counted = true
			}
		default:
			j.fitRounds = 0
		}
	}
}

// fitsInOneDomain reports, by an exact search, whether all tasks of a job currently fit into one domain.
func (w *rackSimulation) fitsInOneDomain(p placer, j *rackJob) bool {
	domains := map[string][]*rackMachine{}
	for _, m := range w.machines {
		if m.outageLeft > 0 || m.outageSeconds > 0 || m.removed || m.free() < j.submission.CPUs {
			continue
		}
		key := m.rack
		if j.submission.Near.Level == "switch" {
			key = m.switchName
		}
		if p.reservedForOther(m.rack, j.submission.ID) || p.reservedForOther(m.switchName, j.submission.ID) {
			continue
		}
		domains[key] = append(domains[key], m)
	}
	for _, in := range domains {
		if fits(in, &j.submission) {
			return true
		}
	}
	return false
}

// fits reports whether all tasks of a job fit on the machines at once. It maximizes the number of tasks by a linear
// program with one variable for each group of machines in a rack that can hold the same number of tasks each. A
// variable is bounded by the number of tasks that fit on its group, and the sum over a rack by the job's spread bound.
// The program is a network flow, so its maximum is an integer.
func fits(machines []*rackMachine, submission *api.Submission) bool {
	type group struct {
		rack string
		k    int
	}
	capacity := map[group]int{}
	for _, m := range machines {
		if k := int(m.free()/submission.CPUs + 1e-9); k > 0 {
			capacity[group{m.rack, k}] += k
		}
	}
	groups := slices.SortedFunc(maps.Keys(capacity), func(a, b group) int { return cmp.Or(cmp.Compare(a.rack, b.rack), a.k-b.k) })
	if len(groups) == 0 {
		return false
	}
	racks := map[string]int{}
	if submission.Survive != nil {
		for _, g := range groups {
			if _, ok := racks[g.rack]; !ok {
				racks[g.rack] = len(racks)
			}
		}
	}
	// A slack variable for each bound turns the inequalities into equations.
	rows := len(groups) + len(racks)
	a, b, c := mat.NewDense(rows, len(groups)+rows, nil), make([]float64, rows), make([]float64, len(groups)+rows)
	for i, g := range groups {
		a.Set(i, i, 1)
		b[i], c[i] = float64(capacity[g]), -1
		if r, ok := racks[g.rack]; ok {
			a.Set(len(groups)+r, i, 1)
			b[len(groups)+r] = float64(submission.Survive.MaxTasks)
		}
	}
	for i := range rows {
		a.Set(i, len(groups)+i, 1)
	}
	negatedMax, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	return err == nil && -negatedMax >= float64(submission.Tasks)-1e-6
}

// fragmentation returns the share of the free CPUs on which no task of 8 CPUs fits. The second result is false if there
// are no free CPUs.
func (w *rackSimulation) fragmentation() (float64, bool) {
	free, usable := 0.0, 0.0
	for _, m := range w.machines {
		if !m.removed && m.outageLeft == 0 {
			f := m.free()
			free, usable = free+f, usable+float64(int(f/8)*8)
		}
	}
	return 1 - usable/max(free, 1), free > 0
}
