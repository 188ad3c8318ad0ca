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

// placer places the jobs of a rackWorld on its machines.
type placer interface {
	submit(s *api.Submission)
	cancel(id string)
	// report passes a machine's heartbeat to the placer and executes the commands in the response.
	report(m *rackMachine)
	// round runs one round of placement and returns how long the decision took.
	round() time.Duration
	// decided reports whether all tasks of a job have been placed, even if a machine became unreachable before it
	// received the command.
	decided(job string) bool
	// barred reports whether a domain is reserved for another job.
	barred(domain, job string) bool
}

// placer returns the placer with a name from TopologyPlacements.
func (w *rackWorld) placer(name string) (placer, error) {
	if name == "random" {
		return &randomPlacer{w: w, rng: rand.New(rand.NewPCG(w.Seed, 11))}, nil
	}
	p := &corePlacer{w: w}
	set := &settings.Settings{Member: "experiment"}
	set.Facts.Workers = settings.Workers{ReportS: 1, LeaseS: leaseSeconds, CancelS: 40}
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

// order is a set of commands that the scheduler sent to a machine directly.
type order struct {
	name string
	o    api.HeartbeatResponse
}

// corePlacer places jobs with a real Scheduler. Its records count as stored immediately.
type corePlacer struct {
	w      *rackWorld
	core   *scheduler.Scheduler
	stored []func()
	sent   []order
	view   api.TopologyView
}

func (p *corePlacer) submit(s *api.Submission) {
	// The context has ended, so that Submit does not wait for the record, which is stored below.
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

// replace replaces a returned machine with a new one in the same rack.
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

// randomPlacer chooses machines at random, subject to the jobs' bounds.
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

// take places a job's missing tasks on some of the machines. If the tasks must be close together, it places all or none.
// It returns false if it placed none for that reason.
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
			if j.s.Survive != nil && here[m.rack] >= j.s.Survive.AtMost {
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

// placerRecords is a record writer whose records count as stored when corePlacer.store is called.
type placerRecords struct{ placer *corePlacer }

// MarkDirty queues the callback to be called once the record counts as stored.
func (r placerRecords) MarkDirty(_ string, _ int, stored func()) {
	r.placer.stored = append(r.placer.stored, stored)
}

// MarkDirtyWithin is MarkDirty; the time limit is ignored.
func (r placerRecords) MarkDirtyWithin(key string, urgency int, _ time.Duration, stored func()) {
	r.MarkDirty(key, urgency, stored)
}

// SetRevision does nothing.
func (placerRecords) SetRevision(string, uint64) {}

// Delay returns zero: the write rate is not limited.
func (r placerRecords) Delay() time.Duration { return 0 }

// placerCommands queues commands until the end of the round.
type placerCommands struct{ placer *corePlacer }

// SendCommands queues commands.
func (c placerCommands) SendCommands(machine, _ string, response api.HeartbeatResponse) {
	c.placer.sent = append(c.placer.sent, order{machine, response})
}

// SendStageOrder does nothing: there are no datasets.
func (c placerCommands) SendStageOrder(string, string, api.StageOrder) {}
