package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/policy"
	"switchferry/scheduler"
	"switchferry/settings"
)

// placer places the jobs of a rackSimulation on its machines.
type placer interface {
	submit(s *api.Submission)
	cancel(id string)
	// heartbeat passes a machine's heartbeat to the placer and executes the commands in the response.
	heartbeat(m *rackMachine)
	// round runs one placement round and returns how long the decisions took.
	round() time.Duration
	// allPlaced reports whether all tasks of a job have been placed, even if a machine became unreachable before it
	// received the command.
	allPlaced(job string) bool
	// reservedForOther reports whether a domain is reserved for another job.
	reservedForOther(domain, job string) bool
}

// newPlacer returns the placer with a name from TopologyPlacements.
func (w *rackSimulation) newPlacer(name string) (placer, error) {
	if name == "random" {
		return &randomPlacer{w: w, rng: rand.New(rand.NewPCG(w.Seed, 11))}, nil
	}
	p := &schedulerPlacer{w: w}
	set := &settings.Settings{Member: "experiment"}
	set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: leaseSeconds, CancelDeadlineS: 40}
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	var types []api.MachineType
	for _, c := range []float64{8, 16, 32} {
		types = append(types, api.MachineType{Name: fmt.Sprintf("m%g", c), CPUs: c, MemoryGB: 1000, CacheGB: 100, PullGBs: 1, BootS: 30, Zones: []string{"z"}})
	}
	p.scheduler = scheduler.New(1, w.clock, set, policy.Default(), types, scheduler.Collaborators{Records: unwrittenRecords{p.queueStored},
		Sender: placerCommands{p}, Leadership: alwaysLeading{}, Zones: alwaysLeading{}, TerminalStates: noTerminalStates{}})
	p.scheduler.SetFencing(scheduler.FencingOff)
	if name == "topology" {
		m, err := w.topologyMap()
		if err != nil {
			return nil, err
		}
		p.scheduler.UseTopology(m)
	}
	p.scheduler.Load(nil, nil)
	w.endTasksAndHeartbeat(p)
	return p, nil
}

// sentCommands is a set of commands that the scheduler sent to a machine directly.
type sentCommands struct {
	machine  string
	response api.HeartbeatResponse
}

// schedulerPlacer places jobs with a real Scheduler. Its records count as stored immediately.
type schedulerPlacer struct {
	w         *rackSimulation
	scheduler *scheduler.Scheduler
	onStored  []func()
	sent      []sentCommands
	view      api.TopologyView
}

func (p *schedulerPlacer) submit(s *api.Submission) {
	// The context has ended, so Submit does not wait until the record is stored. It counts as stored below.
	ended, stop := context.WithCancel(context.Background())
	stop()
	c := *s
	p.scheduler.Submit(ended, &c, p.w.clock.Now())
	p.runStoredCallbacks()
}

func (p *schedulerPlacer) cancel(id string) {
	ended, stop := context.WithCancel(context.Background())
	stop()
	p.scheduler.Cancel(ended, id)
	p.runStoredCallbacks()
}

func (p *schedulerPlacer) runStoredCallbacks() {
	for len(p.onStored) > 0 {
		callbacks := p.onStored
		p.onStored = nil
		for _, f := range callbacks {
			if f != nil {
				f()
			}
		}
	}
}

func (p *schedulerPlacer) execute(m *rackMachine, response api.HeartbeatResponse) {
	for _, c := range response.Commands {
		switch c.Verb {
		case api.CommandRun:
			p.w.startTask(m, c.Task, c.Attempt)
		case api.CommandKill:
			if t := m.tasks[c.Task]; t != nil {
				m.exited = append(m.exited, api.TaskReport{Task: c.Task, Attempt: t.attempt, State: api.TaskExited, Cause: api.CauseStopped})
				p.w.removeTask(m, t)
			}
		case api.CommandClear:
			m.exited = slices.DeleteFunc(m.exited, func(t api.TaskReport) bool { return t.Task == c.Task })
		}
	}
}

func (p *schedulerPlacer) heartbeat(m *rackMachine) {
	m.seq++
	heartbeat := api.Heartbeat{Machine: m.name, Address: m.name + ":1", Type: fmt.Sprintf("m%g", m.cpus), Zone: "z", Incarnation: m.incarnation, Seq: m.seq, Term: 1, Tasks: slices.Clone(m.exited)}
	for id, t := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, api.TaskReport{Task: id, Attempt: t.attempt, State: api.TaskRunning})
	}
	slices.SortFunc(heartbeat.Tasks, func(a, b api.TaskReport) int { return cmp.Compare(a.Task, b.Task) })
	response, _, refused := p.scheduler.HandleHeartbeat(&heartbeat, "")
	if refused {
		m.removed = true
		return
	}
	p.execute(m, response)
	p.runStoredCallbacks()
}

func (p *schedulerPlacer) round() time.Duration {
	began := time.Now()
	p.scheduler.Place()
	took := time.Since(began)
	p.runStoredCallbacks()
	for _, x := range p.sent {
		if m := p.w.byName[x.machine]; m != nil && m.outageLeft == 0 && !m.removed {
			p.execute(m, x.response)
		}
	}
	p.sent = nil
	if returned := p.scheduler.MaintainFleet(); len(returned) > 0 {
		for _, name := range returned {
			p.w.replaceMachine(name)
		}
		p.scheduler.InstancesReleased(returned, nil)
		p.runStoredCallbacks()
	}
	p.view = p.scheduler.Topology()
	return took
}

// replaceMachine replaces a returned machine with a new one in the same rack.
func (w *rackSimulation) replaceMachine(name string) {
	m := w.byName[name]
	if m == nil || m.removed {
		return
	}
	m.removed = true
	for _, t := range m.tasks {
		w.removeTask(m, t)
	}
	w.nextNumber++
	w.machines = slices.DeleteFunc(w.machines, func(o *rackMachine) bool { return o == m })
	w.addMachine(m.rack, fmt.Sprintf("%s-x%d", m.rack, w.nextNumber), m.cpus)
	w.machines[len(w.machines)-1].outageLeft = m.outageLeft
}

func (p *schedulerPlacer) allPlaced(job string) bool {
	x, ok := p.scheduler.Explain(job)
	return ok && x.Waiting == 0
}

func (p *schedulerPlacer) reservedForOther(domain, job string) bool {
	return slices.ContainsFunc(p.view.Reserved, func(r api.ReservedView) bool { return r.Domain == domain && r.Job != job })
}

// randomPlacer chooses machines at random, subject to the jobs' bounds.
type randomPlacer struct {
	w       *rackSimulation
	rng     *rand.Rand
	attempt uint64
}

func (p *randomPlacer) submit(*api.Submission) {}

func (p *randomPlacer) cancel(id string) {
	for _, m := range p.w.machines {
		for _, t := range m.tasks {
			if t.job == id {
				p.w.removeTask(m, t)
			}
		}
	}
}

func (p *randomPlacer) allPlaced(string) bool { return false }

func (p *randomPlacer) reservedForOther(string, string) bool { return false }

func (p *randomPlacer) heartbeat(m *rackMachine) {
	m.exited = nil
}

func (p *randomPlacer) round() time.Duration {
	began := time.Now()
	for _, j := range p.w.jobOrder {
		if j.ended || j.running+j.completed >= j.submission.Tasks || j.submission.Near != nil && j.running > 0 {
			continue
		}
		domains := map[string][]*rackMachine{}
		var names []string
		for _, m := range p.w.machines {
			if m.outageLeft > 0 || m.outageSeconds > 0 || m.free() < j.submission.CPUs {
				continue
			}
			key := ""
			if j.submission.Near != nil {
				key = map[bool]string{true: m.rack, false: m.switchName}[j.submission.Near.Level == "rack"]
			}
			if domains[key] == nil {
				names = append(names, key)
			}
			domains[key] = append(domains[key], m)
		}
		p.rng.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		for _, key := range names {
			if p.placeJob(j, domains[key]) {
				break
			}
		}
	}
	return time.Since(began)
}

// placeJob places those tasks of a job that neither run nor have completed. If the tasks must be close together, it
// places all or none, and returns false if it placed none for that reason.
func (p *randomPlacer) placeJob(j *rackJob, machines []*rackMachine) bool {
	p.rng.Shuffle(len(machines), func(a, b int) { machines[a], machines[b] = machines[b], machines[a] })
	inRack := map[string]int{}
	if j.submission.Survive != nil {
		for _, m := range p.w.machines {
			for _, t := range m.tasks {
				if t.job == j.submission.ID {
					inRack[m.rack]++
				}
			}
		}
	}
	var chosen []*rackMachine
	for _, m := range machines {
		for f := m.free(); f >= j.submission.CPUs && j.running+j.completed+len(chosen) < j.submission.Tasks; f -= j.submission.CPUs {
			if j.submission.Survive != nil && inRack[m.rack] >= j.submission.Survive.MaxTasks {
				break
			}
			inRack[m.rack]++
			chosen = append(chosen, m)
		}
	}
	if j.submission.Near != nil && len(chosen) < j.submission.Tasks-j.completed {
		return false
	}
	for _, m := range chosen {
		p.attempt++
		p.w.startTask(m, fmt.Sprintf("%s/%d", j.submission.ID, p.attempt), p.attempt)
	}
	return true
}

// queueStored keeps the callback of a record until runStoredCallbacks is called.
func (p *schedulerPlacer) queueStored(stored func()) { p.onStored = append(p.onStored, stored) }

// placerCommands queues commands until the end of the round.
type placerCommands struct{ placer *schedulerPlacer }

// SendCommands queues commands.
func (c placerCommands) SendCommands(machine, _ string, response api.HeartbeatResponse) {
	c.placer.sent = append(c.placer.sent, sentCommands{machine, response})
}

// SendStageOrder does nothing: there are no datasets.
func (c placerCommands) SendStageOrder(string, string, api.StageOrder) {}
