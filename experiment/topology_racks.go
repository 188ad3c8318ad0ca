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

type rackTask struct {
	id, job string
	attempt uint64
	cpus    float64
	ends    time.Time // zero: a service
}

type rackMachine struct {
	name, rack, at string
	cpus           float64
	tasks          map[string]*rackTask
	ended          []api.TaskReport
	quiet          int
	session        uint64
	seq            uint64
	silent         int
	dead           bool
}

func (m *rackMachine) free() float64 {
	f := m.cpus
	for _, t := range m.tasks {
		f -= t.cpus
	}
	return f
}

// rackWorld is one seed under one placer.
type rackWorld struct {
	*Topology
	clock    *clockwork.FakeClock
	rng      *rand.Rand
	machines []*rackMachine
	byName   map[string]*rackMachine
	racks    []string
	switchOf map[string]string
	jobs     map[string]*rackJob
	order    []*rackJob
	placed   int
	next     int
}

type rackJob struct {
	s     api.Submission
	run   time.Duration
	at    time.Time
	ends  time.Time // of a service
	stood bool
	over  bool
	live  int
	done  int
	// could counts rounds in a row after which all of it would have fit somewhere.
	could int
}

const taskMemory = 1.0

func (w *rackWorld) add(rack, name string, cpus float64) {
	m := &rackMachine{name: name, rack: rack, at: w.switchOf[rack], cpus: cpus, tasks: map[string]*rackTask{}, session: 1}
	w.machines, w.byName[name] = append(w.machines, m), m
}

func (w *rackWorld) declared() (*topology.Map, error) {
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

// arrive submits jobs while less is asked for than the load, and ends services.
func (w *rackWorld) arrive(p placer) {
	asked, all := 0.0, 0.0
	for _, m := range w.machines {
		all += m.cpus
	}
	now := w.clock.Now()
	for _, j := range w.order {
		if !j.over && !j.ends.IsZero() && now.After(j.ends) {
			j.over = true
			p.cancel(j.s.ID)
		}
		if !j.over {
			asked += float64(j.s.Tasks) * j.s.CPUs
		}
	}
	for asked < w.Load*all {
		j := w.draw()
		asked += float64(j.s.Tasks) * j.s.CPUs
		w.jobs[j.s.ID], w.order = j, append(w.order, j)
		p.submit(&j.s)
		if w.rng.IntN(8) == 0 {
			break
		}
	}
	w.order = slices.DeleteFunc(w.order, func(j *rackJob) bool { return j.over && j.live == 0 })
}

func (w *rackWorld) draw() *rackJob {
	w.next++
	j := &rackJob{at: w.clock.Now(), run: time.Duration(10+w.rng.IntN(50)) * time.Second}
	j.s = api.Submission{ID: fmt.Sprintf("run-%07d", w.next), Class: "c", Team: "team", Rank: "normal", MemoryGB: taskMemory, Image: "image", Spot: true,
		EstimateS: j.run.Seconds(), CPUs: float64(1 + w.rng.IntN(4)), Shape: api.JobArray, Tasks: 8 + w.rng.IntN(40)}
	switch k := w.rng.IntN(20); {
	case k < 6:
		j.s.Shape, j.s.Tasks, j.s.EstimateS = api.Service, 2+w.rng.IntN(11), 0
		j.ends = j.at.Add(time.Duration(60+w.rng.IntN(240)) * time.Second)
		j.s.Survive = &api.Survive{Level: "rack", MaxTasks: 1 + j.s.Tasks/3, Required: true}
		if k == 0 {
			j.s.Near = &api.Near{Level: "switch", Required: true}
		}
	case k < 11:
		j.s.Shape, j.s.Tasks, j.s.CPUs = api.Gang, 4+w.rng.IntN(20), 4
		j.s.Near = &api.Near{Level: "rack", Required: true}
	case k < 12:
		j.s.Shape, j.s.Tasks, j.s.CPUs = api.Gang, 30+w.rng.IntN(50), 4
		j.s.Near = &api.Near{Level: "switch", Required: true}
	}
	return j
}

// fail lets a switch fall silent now and then, some for longer than a lease.
func (w *rackWorld) fail() {
	if w.rng.IntN(60) > 0 {
		return
	}
	at, long := w.switchOf[w.racks[w.rng.IntN(len(w.racks))]], 3+w.rng.IntN(25)
	for _, m := range w.machines {
		if m.at == at {
			m.quiet = long
		}
	}
}

// leaseSeconds is the workers' lease.
const leaseSeconds = 12

// live lets machines report that can, and tasks end.
func (w *rackWorld) live(p placer) {
	now := w.clock.Now()
	for _, m := range w.machines {
		for id, t := range m.tasks {
			if !t.ends.IsZero() && !now.Before(t.ends) {
				m.ended = append(m.ended, api.TaskReport{Task: id, Attempt: t.attempt, State: api.TaskExited, Cause: api.CauseDone})
				w.off(m, t)
				j := w.jobs[t.job]
				j.done++
				j.over = j.over || j.done >= j.s.Tasks
			}
		}
		if m.dead || m.quiet > 0 {
			continue
		}
		p.report(m)
	}
}

func (w *rackWorld) on(m *rackMachine, id string, attempt uint64) {
	name, _, _ := strings.Cut(id, "/")
	j := w.jobs[name]
	if j == nil || m.tasks[id] != nil {
		return
	}
	t := &rackTask{id: id, job: name, attempt: attempt, cpus: j.s.CPUs}
	if j.ends.IsZero() {
		t.ends = w.clock.Now().Add(j.run)
	}
	m.tasks[id] = t
	j.live++
	w.placed++
}

func (w *rackWorld) off(m *rackMachine, t *rackTask) {
	delete(m.tasks, t.id)
	w.jobs[t.job].live--
}

// look counts what stands where it must not, and what could stand and does not.
func (w *rackWorld) look(p placer, f *TopologyFigures, waits *hdrhistogram.Histogram) {
	racks, switches := map[string]map[string]int{}, map[string]map[string]int{}
	count := func(in map[string]map[string]int, job, key string) {
		if in[job] == nil {
			in[job] = map[string]int{}
		}
		in[job][key]++
	}
	for _, m := range w.machines {
		if m.quiet > 0 {
			m.quiet--
			if m.silent++; m.silent == leaseSeconds {
				for _, t := range m.tasks {
					w.off(m, t)
				}
			}
		} else {
			m.silent = 0
		}
		for _, t := range m.tasks {
			count(racks, t.job, m.rack)
			count(switches, t.job, m.at)
		}
	}
	for _, j := range w.order {
		if x := j.s.Survive; x != nil {
			for _, n := range racks[j.s.ID] {
				if n > x.MaxTasks {
					f.Violations++
					break
				}
			}
		}
		if j.s.Near == nil || j.over {
			continue
		}
		in := racks
		if j.s.Near.Level == "switch" {
			in = switches
		}
		if len(in[j.s.ID]) > 1 {
			f.Violations++
		}
		switch {
		case j.stood:
		case j.live == j.s.Tasks && len(in[j.s.ID]) == 1:
			j.stood = true
			f.ClosePossible++
			f.CloseTogether++
			_ = waits.RecordValue(w.clock.Now().Sub(j.at).Milliseconds())
		case j.live == 0 && !p.decided(j.s.ID) && w.couldStand(p, j):
			// What came free after the round is there for the next.
			if j.could++; j.could == 2 {
				f.ClosePossible++
				j.stood = true // counted once
			}
		default:
			j.could = 0
		}
	}
}

// couldStand tells by an exact search whether all of a job fits into one domain now.
func (w *rackWorld) couldStand(p placer, j *rackJob) bool {
	domains := map[string][]*rackMachine{}
	for _, m := range w.machines {
		if m.quiet > 0 || m.silent > 0 || m.dead || m.free() < j.s.CPUs {
			continue
		}
		key := m.rack
		if j.s.Near.Level == "switch" {
			key = m.at
		}
		if p.barred(m.rack, j.s.ID) || p.barred(m.at, j.s.ID) {
			continue
		}
		domains[key] = append(domains[key], m)
	}
	for _, in := range domains {
		if fits(in, &j.s) {
			return true
		}
	}
	return false
}

// fits asks a solver how many of a job's tasks fit on machines at once: a variable for the
// machines of a rack with as much room each, bounded by that and, in sum over a rack, by what
// may stand there. It is a flow, so that the linear program's greatest sum is a whole number.
func fits(in []*rackMachine, s *api.Submission) bool {
	type group struct {
		rack string
		k    int
	}
	room := map[group]int{}
	for _, m := range in {
		if k := int(m.free()/s.CPUs + 1e-9); k > 0 {
			room[group{m.rack, k}] += k
		}
	}
	groups := slices.SortedFunc(maps.Keys(room), func(a, b group) int { return cmp.Or(cmp.Compare(a.rack, b.rack), a.k-b.k) })
	if len(groups) == 0 {
		return false
	}
	racks := map[string]int{}
	if s.Survive != nil {
		for _, g := range groups {
			if _, ok := racks[g.rack]; !ok {
				racks[g.rack] = len(racks)
			}
		}
	}
	// One slack for each bound, so that all are equations.
	rows := len(groups) + len(racks)
	a, b, c := mat.NewDense(rows, len(groups)+rows, nil), make([]float64, rows), make([]float64, len(groups)+rows)
	for i, g := range groups {
		a.Set(i, i, 1)
		b[i], c[i] = float64(room[g]), -1
		if r, ok := racks[g.rack]; ok {
			a.Set(len(groups)+r, i, 1)
			b[len(groups)+r] = float64(s.Survive.MaxTasks)
		}
	}
	for i := range rows {
		a.Set(i, len(groups)+i, 1)
	}
	most, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	return err == nil && -most >= float64(s.Tasks)-1e-6
}

// fragments is the share of the free room in which no task of 8 CPUs fits.
func (w *rackWorld) fragments() (float64, bool) {
	free, whole := 0.0, 0.0
	for _, m := range w.machines {
		if !m.dead && m.quiet == 0 {
			f := m.free()
			free, whole = free+f, whole+float64(int(f/8)*8)
		}
	}
	return 1 - whole/max(free, 1), free > 0
}
