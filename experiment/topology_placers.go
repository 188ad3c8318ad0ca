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

// placer is what is compared.
type placer interface {
	submit(s *api.Submission)
	cancel(id string)
	// report tells of a machine, and gives what it is told.
	report(m *rackMachine)
	// round places; how long the decision took.
	round() time.Duration
	// decided tells whether all of a job has a place, though machines may have fallen silent
	// before they heard of it.
	decided(job string) bool
	// barred tells whether a domain is kept for another job than this.
	barred(domain, job string) bool
}

// placer makes what is compared.
func (w *rackWorld) placer(name string) (placer, error) {
	if name == "random" {
		return &randomPlacer{w: w, rng: rand.New(rand.NewPCG(w.Seed, 11))}, nil
	}
	p := &corePlacer{w: w}
	set := &settings.Settings{Member: "experiment"}
	set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: leaseSeconds, CancelDeadlineS: 40}
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	var types []api.MachineType
	for _, c := range []float64{8, 16, 32} {
		types = append(types, api.MachineType{Name: fmt.Sprintf("m%g", c), CPUs: c, MemoryGB: 1000, CacheGB: 100, PullGBs: 1, BootS: 30, Zones: []string{"z"}})
	}
	p.core = scheduler.New(1, w.clock, set, policy.Default(), types, scheduler.Collaborators{Records: placerRecords{p},
		Sender: placerCommands{p}, Leadership: alwaysLeading{}, Zones: alwaysLeading{}, TerminalStates: noTerminalStates{}})
	if name == "topology" {
		m, err := w.declared()
		if err != nil {
			return nil, err
		}
		p.core.UseTopology(m)
	}
	p.core.Load(nil, nil)
	w.live(p)
	return p, nil
}

type order struct {
	name string
	o    api.HeartbeatResponse
}

// corePlacer is the leader's Core, whose records are stored at once.
type corePlacer struct {
	w      *rackWorld
	core   *scheduler.Scheduler
	stored []func()
	sent   []order
	view   api.TopologyView
}

func (p *corePlacer) submit(s *api.Submission) {
	// Nobody waits for the record here: it is stored below.
	gone, stop := context.WithCancel(context.Background())
	stop()
	c := *s
	p.core.Submit(gone, &c, p.w.clock.Now())
	p.store()
}

func (p *corePlacer) cancel(id string) {
	gone, stop := context.WithCancel(context.Background())
	stop()
	p.core.Cancel(gone, id)
	p.store()
}

func (p *corePlacer) store() {
	for len(p.stored) > 0 {
		now := p.stored
		p.stored = nil
		for _, f := range now {
			if f != nil {
				f()
			}
		}
	}
}

func (p *corePlacer) obey(m *rackMachine, o api.HeartbeatResponse) {
	for _, c := range o.Commands {
		switch c.Verb {
		case api.CommandRun:
			p.w.on(m, c.Task, c.Attempt)
		case api.CommandKill:
			if t := m.tasks[c.Task]; t != nil {
				m.ended = append(m.ended, api.TaskReport{Task: c.Task, Attempt: t.attempt, State: api.TaskExited, Cause: api.CauseStopped})
				p.w.off(m, t)
			}
		case api.CommandClear:
			m.ended = slices.DeleteFunc(m.ended, func(t api.TaskReport) bool { return t.Task == c.Task })
		}
	}
}

func (p *corePlacer) report(m *rackMachine) {
	m.seq++
	r := api.Heartbeat{Machine: m.name, Address: m.name + ":1", Type: fmt.Sprintf("m%g", m.cpus), Zone: "z", Incarnation: m.session, Seq: m.seq, Term: 1, Tasks: slices.Clone(m.ended)}
	for id, t := range m.tasks {
		r.Tasks = append(r.Tasks, api.TaskReport{Task: id, Attempt: t.attempt, State: api.TaskRunning})
	}
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int { return cmp.Compare(a.Task, b.Task) })
	o, _, refused := p.core.HandleHeartbeat(&r, "")
	if refused {
		m.dead = true
		return
	}
	p.obey(m, o)
	p.store()
}

func (p *corePlacer) round() time.Duration {
	began := time.Now()
	p.core.Place()
	took := time.Since(began)
	p.store()
	for _, x := range p.sent {
		if m := p.w.byName[x.name]; m != nil && m.quiet == 0 && !m.dead {
			p.obey(m, x.o)
		}
	}
	p.sent = nil
	if gone := p.core.MaintainFleet(); len(gone) > 0 {
		for _, name := range gone {
			p.w.replace(name)
		}
		p.core.InstancesReleased(gone, nil)
		p.store()
	}
	p.view = p.core.Topology()
	return took
}

// replace puts another machine where one was returned.
func (w *rackWorld) replace(name string) {
	m := w.byName[name]
	if m == nil || m.dead {
		return
	}
	m.dead = true
	for _, t := range m.tasks {
		w.off(m, t)
	}
	w.next++
	w.machines = slices.DeleteFunc(w.machines, func(o *rackMachine) bool { return o == m })
	w.add(m.rack, fmt.Sprintf("%s-x%d", m.rack, w.next), m.cpus)
	w.machines[len(w.machines)-1].quiet = m.quiet
}

func (p *corePlacer) decided(job string) bool {
	x, ok := p.core.Explain(job)
	return ok && x.Waiting == 0
}

func (p *corePlacer) barred(domain, job string) bool {
	return slices.ContainsFunc(p.view.Reserved, func(r api.ReservedView) bool { return r.Domain == domain && r.Job != job })
}

// randomPlacer takes machines at random and keeps the bounds.
type randomPlacer struct {
	w       *rackWorld
	rng     *rand.Rand
	attempt uint64
}

func (p *randomPlacer) submit(*api.Submission) {}

func (p *randomPlacer) cancel(id string) {
	for _, m := range p.w.machines {
		for _, t := range m.tasks {
			if t.job == id {
				p.w.off(m, t)
			}
		}
	}
}

func (p *randomPlacer) decided(string) bool { return false }

func (p *randomPlacer) barred(string, string) bool { return false }

func (p *randomPlacer) report(m *rackMachine) {
	m.ended = nil
}

func (p *randomPlacer) round() time.Duration {
	began := time.Now()
	for _, j := range p.w.order {
		if j.over || j.live+j.done >= j.s.Tasks || j.s.Near != nil && j.live > 0 {
			continue
		}
		domains := map[string][]*rackMachine{}
		var names []string
		for _, m := range p.w.machines {
			if m.quiet > 0 || m.silent > 0 || m.free() < j.s.CPUs {
				continue
			}
			key := ""
			if j.s.Near != nil {
				key = map[bool]string{true: m.rack, false: m.at}[j.s.Near.Level == "rack"]
			}
			if domains[key] == nil {
				names = append(names, key)
			}
			domains[key] = append(domains[key], m)
		}
		p.rng.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		for _, key := range names {
			if p.take(j, domains[key]) {
				break
			}
		}
	}
	return time.Since(began)
}

// take puts a job's missing tasks on machines, all of them if it must stand near.
func (p *randomPlacer) take(j *rackJob, in []*rackMachine) bool {
	p.rng.Shuffle(len(in), func(a, b int) { in[a], in[b] = in[b], in[a] })
	here := map[string]int{}
	if j.s.Survive != nil {
		for _, m := range p.w.machines {
			for _, t := range m.tasks {
				if t.job == j.s.ID {
					here[m.rack]++
				}
			}
		}
	}
	var on []*rackMachine
	for _, m := range in {
		for f := m.free(); f >= j.s.CPUs && j.live+j.done+len(on) < j.s.Tasks; f -= j.s.CPUs {
			if j.s.Survive != nil && here[m.rack] >= j.s.Survive.MaxTasks {
				break
			}
			here[m.rack]++
			on = append(on, m)
		}
	}
	if j.s.Near != nil && len(on) < j.s.Tasks-j.done {
		return false
	}
	for _, m := range on {
		p.attempt++
		p.w.on(m, fmt.Sprintf("%s/%d", j.s.ID, p.attempt), p.attempt)
	}
	return true
}

// placerRecords count as stored when the experiment says so.
type placerRecords struct{ placer *corePlacer }

// MarkDirty notes what is to be called once the record is stored.
func (r placerRecords) MarkDirty(_ string, _ int, stored func()) {
	r.placer.stored = append(r.placer.stored, stored)
}

// MarkDirtyWithin is MarkDirty.
func (r placerRecords) MarkDirtyWithin(key string, urgency int, _ time.Duration, stored func()) {
	r.MarkDirty(key, urgency, stored)
}

// SetRevision does nothing.
func (placerRecords) SetRevision(string, uint64) {}

// Delay returns zero: there is no limit of writes.
func (r placerRecords) Delay() time.Duration { return 0 }

// placerCommands are kept until the experiment delivers them.
type placerCommands struct{ placer *corePlacer }

// SendCommands keeps commands.
func (c placerCommands) SendCommands(machine, _ string, response api.HeartbeatResponse) {
	c.placer.sent = append(c.placer.sent, order{machine, response})
}

// SendStageOrder is never called: there are no datasets.
func (c placerCommands) SendStageOrder(string, string, api.StageOrder) {}
