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

// dependencies ties the jobs of a term to the graph of those that wait. Everything in it follows from
// records: who awaits whom stands in the job's own, that one is done or cancelled in that one's.
// So a cancellation needs no record but its own: the jobs after it are cancelled from then on,
// whoever is asked, and what is written of them is for the readers' convenience. The core's lock
// is held.
type dependencies struct {
	scheduler *Scheduler
	graph     *dag.Graph
	// missing are awaited jobs that this leader does not know; ask tells that there are more.
	missing      map[string]bool
	lookupNeeded chan struct{}
}

func newDependencies(sched *Scheduler) *dependencies {
	return &dependencies{scheduler: sched, graph: dag.New(), missing: map[string]bool{}, lookupNeeded: make(chan struct{}, 1)}
}

// terminalState is the final state of a job that is on record; known: the job is. A final state that is
// only decided does not count.
func (p *dependencies) terminalState(id string) (state string, known bool) {
	if job := p.scheduler.jobs[id]; job != nil {
		if job.terminalStored {
			return job.FinalState, true
		}
		return "", true
	}
	f, ok := p.scheduler.hooks.TerminalState(id)
	return f.State, ok
}

// add looks what an accepted job awaits. True: it waits, or is over with a cancelled one.
func (p *dependencies) add(job *jobState) bool {
	if job.completedCount > 0 || len(job.allocations) > 0 {
		// That one of its tasks was given to a machine proves that all it awaits was done.
		return false
	}
	var open []string
	for _, id := range job.Job.Awaits {
		state, known := p.terminalState(id)
		switch {
		case state == api.Cancelled:
			p.cancel(job, id)
			return true
		case state == api.Done:
			continue
		case !known:
			p.requestLookup(id)
		}
		open = append(open, id)
	}
	if len(open) == 0 {
		return false
	}
	p.graph.Add(job.id, open)
	job.waitsForDependencies = true
	return true
}

// hasUnknown tells whether a job before one has yet to be looked up: it may be cancelled, and the
// one's user may have been told so by an earlier leader, so the records answer for it meanwhile.
func (p *dependencies) hasUnknown(job *jobState) bool {
	if !job.waitsForDependencies || len(p.missing) == 0 {
		return false
	}
	seen := map[string]bool{}
	for todo := []string{job.id}; len(todo) > 0; todo = todo[1:] {
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

// requestLookup has an unknown awaited job looked up.
func (p *dependencies) requestLookup(id string) {
	p.missing[id] = true
	select {
	case p.lookupNeeded <- struct{}{}:
	default:
	}
}

// onTerminal: a job's final state is on record, so those that await it start, or end with it.
func (p *dependencies) onTerminal(id, state string) {
	sought := p.missing[id]
	delete(p.missing, id)
	if state == api.Done {
		for _, next := range p.graph.Complete(id) {
			p.release(next, sought)
		}
		return
	}
	for _, next := range p.graph.Cancel(id) {
		if job := p.scheduler.jobs[next]; job != nil && job.FinalState == "" {
			p.cancel(job, id)
		}
	}
}

// release lets a job start. Sought: what it awaited was looked up, so it may have been over long ago,
// under an earlier leader, and the job may have waited since.
func (p *dependencies) release(id string, sought bool) {
	job := p.scheduler.jobs[id]
	if job == nil || job.FinalState != "" {
		return
	}
	job.waitsForDependencies, job.learnedAt, job.eligibleAt = false, p.scheduler.now(), p.scheduler.now().UnixMilli()
	if !sought {
		job.waitingSince = job.learnedAt
	}
	slog.Debug("job may start", "job", id, "waited", time.Duration(job.eligibleAt-job.At)*time.Millisecond)
	job.makeEligible()
	p.scheduler.wakePlacer()
}

// cancel ends a job with a cancelled one that it awaits, directly or through others. Nothing
// of it has started, so its final record is all that there is to write.
func (p *dependencies) cancel(job *jobState, with string) {
	sched := p.scheduler
	job.waitsForDependencies = false
	job.setTerminal(sched, api.Cancelled)
	slog.Info("job over", "job", job.id, "class", job.Job.Class, "state", job.FinalState, "with", with)
	for _, alloc := range job.allocations {
		// Only a damaged record says so.
		sched.stopTask(alloc, tuning.CancelKill, "cancelled")
	}
	sched.terminalStored(job)
}

// inheritUrgency brings down to each job the rank and the due times of those behind it. A rank is
// not raised to that of production, which no pipeline may starve. Cpus are those of the fleet
// that is up.
func (p *dependencies) inheritUrgency(cpus float64) {
	sched := p.scheduler
	got := p.graph.Inherit(func(id string) (dag.Stage, bool) {
		job := sched.jobs[id]
		if job == nil || job.FinalState != "" {
			return dag.Stage{}, false
		}
		return dag.Stage{Rank: job.Job.RankLevel(), TakesMS: p.durationMS(job, cpus), DuesMS: sched.deadlines(job)}, true
	})
	for _, job := range sched.jobOrder {
		job.inherited = got[job.id]
		job.rank = max(job.Job.RankLevel(), min(job.inherited.Rank, api.RankProduction-1))
	}
}

// durationMS is how long a job that waits needs once it may start, in ms: a fetch, and its tasks in as
// many waves as the fleet, all of it, lets them have.
func (p *dependencies) durationMS(job *jobState, cpus float64) int64 {
	waves := 1.0
	if cpus > 0 {
		waves = max(1, float64(job.taskCount-job.completedCount)*job.request.CPUs/cpus)
	}
	pull, n := 0.0, 0.0
	for _, t := range p.scheduler.machineTypes {
		if t.Fits(&job.Job) && t.PullGBs > 0 {
			pull, n = pull+t.PullGBs, n+1
		}
	}
	fetch := 0.0
	if n > 0 {
		fetch = job.Job.ImageGB / (pull / n)
	}
	return tuning.StageGapMS + int64(1000*(fetch+waves*estimate(job)))
}

// startsSoon reports whether machines for a job that waits should be requested already: all its dependencies run, and
// by the estimates end within the boot of a machine. s.mu must be held.
func (p *dependencies) startsSoon(job *jobState) bool {
	bootS := p.scheduler.longestBootS()
	for _, id := range p.graph.Dependencies(job.id) {
		if dependency := p.scheduler.jobs[id]; dependency == nil || !p.endsWithin(dependency, bootS) {
			return false
		}
	}
	return true
}

// endsWithin reports whether all tasks of a job are done or run and, by its estimate, end within the given seconds.
// s.mu must be held.
func (p *dependencies) endsWithin(job *jobState, seconds float64) bool {
	if job.waitsForDependencies || job.FinalState == "" && (len(job.pending)+job.queued > 0 || len(job.allocations) == 0) {
		return false
	}
	for _, alloc := range job.allocations {
		if alloc.runningSince.IsZero() || estimate(job)-p.scheduler.since(alloc.runningSince).Seconds() > seconds {
			return false
		}
	}
	return true
}

// waitReasons says what a job waits for.
func (p *dependencies) waitReasons(job *jobState) (why []string) {
	for _, id := range p.graph.Dependencies(job.id) {
		state := "is not over"
		switch o := p.scheduler.jobs[id]; {
		case o == nil:
			state = "is being looked up"
		case o.waitsForDependencies:
			state = fmt.Sprintf("waits itself for %s", strings.Join(p.graph.Dependencies(id), ", "))
		case o.FinalState != "":
			state = "is over; its record is being stored"
		default:
			state = fmt.Sprintf("has %d of %d tasks done", o.completedCount, o.taskCount)
		}
		why = append(why, fmt.Sprintf("it awaits %s, which %s", id, state))
	}
	return why
}

// makeEligible makes all tasks of a job wait for machines that are neither done nor on one.
func (j *jobState) makeEligible() {
	j.pending = j.pending[:0]
	for t := range j.taskCount {
		if !j.completed.Has(t) && j.allocations[t] == nil {
			j.pending = append(j.pending, int32(t))
		}
	}
}

// UnresolvedDependencies are jobs that others await and this leader does not know.
func (s *Scheduler) UnresolvedDependencies() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.dependencies.missing {
		ids = append(ids, id)
	}
	return ids
}

// ResolveDependency takes in the final state of a job that is over since before this term.
func (s *Scheduler) ResolveDependency(id string, f store.FinalRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[id] == nil {
		s.hooks.JobTerminal(id, f)
		s.dependencies.onTerminal(id, f.State)
	}
}

// DependencyState tells what this leader knows of a job that another names: whether it is here,
// accepted, and runs until it is cancelled.
func (s *Scheduler) DependencyState(id string) (here, accepted, service bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs[id]
	if job == nil {
		return false, false, false
	}
	return true, job.accepted, job.Job.Shape == api.Service
}
