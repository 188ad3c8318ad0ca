package controller

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/dag"
	"switchferry/store"
	"switchferry/tuning"
)

// pipes ties the jobs of a term to the graph of those that wait. Everything in it follows from
// records: who awaits whom stands in the job's own, that one is done or cancelled in that one's.
// So a cancellation needs no record but its own: the jobs after it are cancelled from then on,
// whoever is asked, and what is written of them is for the readers' convenience. The core's lock
// is held.
type pipes struct {
	core  *Core
	graph *dag.Graph
	// missing are awaited jobs that this leader does not know; ask tells that there are more.
	missing map[string]bool
	ask     chan struct{}
}

func newPipes(c *Core) *pipes {
	return &pipes{core: c, graph: dag.New(), missing: map[string]bool{}, ask: make(chan struct{}, 1)}
}

// ended is the final state of a job that is on record; known: the job is. A final state that is
// only decided does not count.
func (p *pipes) ended(id string) (state string, known bool) {
	if j := p.core.jobs[id]; j != nil {
		if j.stored {
			return j.FinalState, true
		}
		return "", true
	}
	f, ok := p.core.hooks.Ended(id)
	return f.State, ok
}

// enter looks what an accepted job awaits. True: it waits, or is over with a cancelled one.
func (p *pipes) enter(j *job) bool {
	if j.done > 0 || len(j.live) > 0 {
		// That one of its tasks was given to a machine proves that all it awaits was done.
		return false
	}
	var open []string
	for _, id := range j.Job.Awaits {
		state, known := p.ended(id)
		switch {
		case state == api.Cancelled:
			p.withdraw(j, id)
			return true
		case state == api.Done:
			continue
		case !known:
			p.seek(id)
		}
		open = append(open, id)
	}
	if len(open) == 0 {
		return false
	}
	p.graph.Add(j.id, open)
	j.waits = true
	return true
}

// unsure tells whether a job before one has yet to be looked up: it may be cancelled, and the
// one's user may have been told so by an earlier leader, so the records answer for it meanwhile.
func (p *pipes) unsure(j *job) bool {
	if !j.waits || len(p.missing) == 0 {
		return false
	}
	seen := map[string]bool{}
	for todo := []string{j.id}; len(todo) > 0; todo = todo[1:] {
		for _, id := range p.graph.Dependencies(todo[0]) {
			if p.missing[id] {
				return true
			}
			if !seen[id] {
				seen[id] = true
				todo = append(todo, id)
			}
		}
	}
	return false
}

// seek has an unknown awaited job looked up.
func (p *pipes) seek(id string) {
	p.missing[id] = true
	select {
	case p.ask <- struct{}{}:
	default:
	}
}

// over: a job's final state is on record, so those that await it start, or end with it.
func (p *pipes) over(id, state string) {
	sought := p.missing[id]
	delete(p.missing, id)
	if state == api.Done {
		for _, next := range p.graph.Complete(id) {
			p.release(next, sought)
		}
		return
	}
	for _, next := range p.graph.Cancel(id) {
		if j := p.core.jobs[next]; j != nil && j.FinalState == "" {
			p.withdraw(j, id)
		}
	}
}

// release lets a job start. Sought: what it awaited was looked up, so it may have been over long ago,
// under an earlier leader, and the job may have waited since.
func (p *pipes) release(id string, sought bool) {
	j := p.core.jobs[id]
	if j == nil || j.FinalState != "" {
		return
	}
	j.waits, j.arrived, j.began = false, p.core.now(), p.core.now().UnixMilli()
	if !sought {
		j.ages = j.arrived
	}
	slog.Debug("job may start", "job", id, "waited", time.Duration(j.began-j.At)*time.Millisecond)
	j.open()
	p.core.kick()
}

// withdraw ends a job with a cancelled one that it awaits, directly or through others. Nothing
// of it has started, so its final record is all that there is to write.
func (p *pipes) withdraw(j *job, with string) {
	c := p.core
	j.waits = false
	j.decide(c, api.Cancelled)
	slog.Info("job over", "job", j.id, "class", j.Job.Class, "state", j.FinalState, "with", with)
	for _, a := range j.live {
		// Only a damaged record says so.
		c.stopTask(a, tuning.CancelKill, "cancelled")
	}
	c.overNow(j)
}

// open makes all tasks of a job wait for machines that are neither done nor on one.
func (j *job) open() {
	j.pending = j.pending[:0]
	for t := range j.total {
		if !j.bits.Has(t) && j.live[t] == nil {
			j.pending = append(j.pending, int32(t))
		}
	}
}

// reach brings down to each job the rank and the due times of those behind it. A rank is
// not raised to that of production, which no pipeline may starve. Cpus are those of the fleet
// that is up.
func (p *pipes) reach(cpus float64) {
	c := p.core
	got := p.graph.Inherit(func(id string) (dag.Stage, bool) {
		j := c.jobs[id]
		if j == nil || j.FinalState != "" {
			return dag.Stage{}, false
		}
		return dag.Stage{Rank: j.Job.RankLevel(), TakesMS: p.takes(j, cpus), DuesMS: c.dues(j)}, true
	})
	for _, j := range c.order {
		j.reach = got[j.id]
		j.rank = max(j.Job.RankLevel(), min(j.reach.Rank, api.RankProduction-1))
	}
}

// takes is how long a job that waits needs once it may start, in ms: a fetch, and its tasks in as
// many waves as the fleet, all of it, lets them have.
func (p *pipes) takes(j *job, cpus float64) int64 {
	waves := 1.0
	if cpus > 0 {
		waves = max(1, float64(j.total-j.done)*j.need.CPUs/cpus)
	}
	pull, n := 0.0, 0.0
	for _, t := range p.core.types {
		if t.Fits(&j.Job) && t.PullGBs > 0 {
			pull, n = pull+t.PullGBs, n+1
		}
	}
	fetch := 0.0
	if n > 0 {
		fetch = j.Job.ImageGB / (pull / n)
	}
	return tuning.StageGapMS + int64(1000*(fetch+waves*estimate(j)))
}

// soon tells whether machines for a job that waits are worth renting: all that it awaits runs,
// and by the estimates ends within the boot of a machine.
func (p *pipes) soon(j *job) bool {
	c := p.core
	boot := 0.0
	for _, t := range c.types {
		boot = max(boot, t.BootS)
	}
	for _, id := range p.graph.Dependencies(j.id) {
		o := c.jobs[id]
		if o == nil || o.waits || o.FinalState == "" && (len(o.pending)+o.queued > 0 || len(o.live) == 0) {
			return false
		}
		for _, a := range o.live {
			if a.running.IsZero() || estimate(o)-c.since(a.running).Seconds() > boot {
				return false
			}
		}
	}
	return true
}

// why says what a job waits for.
func (p *pipes) why(j *job) (why []string) {
	for _, id := range p.graph.Dependencies(j.id) {
		state := "is not over"
		switch o := p.core.jobs[id]; {
		case o == nil:
			state = "is being looked up"
		case o.waits:
			state = fmt.Sprintf("waits itself for %s", strings.Join(p.graph.Dependencies(id), ", "))
		case o.FinalState != "":
			state = "is over; its record is being stored"
		default:
			state = fmt.Sprintf("has %d of %d tasks done", o.done, o.total)
		}
		why = append(why, fmt.Sprintf("it awaits %s, which %s", id, state))
	}
	return why
}

// Missing are jobs that others await and this leader does not know.
func (c *Core) Missing() (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.pipes.missing {
		ids = append(ids, id)
	}
	return ids
}

// Learned takes in the final state of a job that is over since before this term.
func (c *Core) Learned(id string, f store.FinalRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] == nil {
		c.hooks.Final(id, f)
		c.pipes.over(id, f.State)
	}
}

// Awaitable tells what this leader knows of a job that another names: whether it is here,
// accepted, and runs until it is cancelled.
func (c *Core) Awaitable(id string) (here, accepted, service bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return false, false, false
	}
	return true, j.accepted, j.Job.Shape == api.Service
}
