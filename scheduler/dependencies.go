package scheduler

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

// dependencies connects the jobs of a term to the graph of those that wait for others. Everything in it follows from
// records: a job's dependencies from its own, that one of them is done or cancelled from that one's. So a cancellation
// needs no record but that of the cancelled job: its dependants are cancelled from then on, whichever controller is
// asked, and their own final records only make that cheaper to read. Scheduler.mu must be held for all methods.
type dependencies struct {
	scheduler *Scheduler
	graph     *dag.Graph
	// missing are dependencies that this leader does not know; lookupNeeded receives when there are more.
	missing      map[string]bool
	lookupNeeded chan struct{}
}

// newDependencies returns an empty graph for the jobs of a scheduler.
func newDependencies(sched *Scheduler) *dependencies {
	return &dependencies{scheduler: sched, graph: dag.New(), missing: map[string]bool{}, lookupNeeded: make(chan struct{}, 1)}
}

// terminalState returns the final state of a job that is on record, empty if there is none; known reports whether this
// leader knows the job. A final state that is decided and not on record yet does not count.
func (p *dependencies) terminalState(id string) (state string, known bool) {
	if job := p.scheduler.jobs[id]; job != nil {
		if job.terminalStored {
			return job.FinalState, true
		}
		return "", true
	}
	final, ok := p.scheduler.terminalStates.Get(id)
	return final.State, ok
}

// add adds an accepted job with the dependencies that are not done. It reports whether the job's tasks may not start:
// the job waits, or it was cancelled with one of its dependencies.
func (p *dependencies) add(job *jobState) bool {
	if job.completedCount > 0 || len(job.allocations) > 0 {
		// That one of its tasks was allocated proves that all its dependencies were done.
		return false
	}
	var unfinished []string
	for _, dependency := range job.Job.Awaits {
		state, known := p.terminalState(dependency)
		switch {
		case state == api.Cancelled:
			p.cancel(job, dependency)
			return true
		case state == api.Done:
			continue
		case !known:
			p.requestLookup(dependency)
		}
		unfinished = append(unfinished, dependency)
	}
	if len(unfinished) == 0 {
		return false
	}
	p.graph.Add(job.id, unfinished)
	job.waitsForDependencies = true
	return true
}

// answerBasis returns whether a job may be answered from memory as far as its dependencies go, direct or not: each of them
// may be cancelled, and with it the job, as soon as that is on record. An earlier leader may have cancelled one that has yet
// to be looked up, and a transaction of this one may have been executed without an answer.
func (p *dependencies) answerBasis(job *jobState) AnswerBasis {
	if !job.waitsForDependencies {
		return FromMemory
	}
	basis := FromMemory
	p.visitDependencies(job.id, func(dependency string) (goOn bool) {
		other := p.scheduler.jobs[dependency]
		switch {
		case p.missing[dependency]:
			basis = DependencyUnknown
		case other != nil && other.FinalState == api.Cancelled && !other.terminalStored:
			basis = DependencyEndUnderWay
		}
		return basis == FromMemory
	})
	return basis
}

// visitDependencies calls visit once for each job that a job depends on, directly or not, until visit returns false.
func (p *dependencies) visitDependencies(id string, visit func(dependency string) (goOn bool)) {
	seen := map[string]bool{}
	for unvisited := []string{id}; len(unvisited) > 0; unvisited = unvisited[1:] {
		for _, dependency := range p.graph.Dependencies(unvisited[0]) {
			if seen[dependency] {
				continue
			}
			if !visit(dependency) {
				return
			}
			seen[dependency] = true
			unvisited = append(unvisited, dependency)
		}
	}
}

// requestLookup asks for the final state of a dependency that this leader does not know.
func (p *dependencies) requestLookup(id string) {
	p.missing[id] = true
	select {
	case p.lookupNeeded <- struct{}{}:
	default:
	}
}

// onTerminal handles a job's final state that is on record now: its dependants may start if it was their last
// dependency, or are cancelled with it.
func (p *dependencies) onTerminal(jobID, state string) {
	lookedUp := p.missing[jobID]
	delete(p.missing, jobID)
	if state == api.Done {
		for _, dependant := range p.graph.Complete(jobID) {
			p.release(dependant, lookedUp)
		}
		return
	}
	for _, dependant := range p.graph.Cancel(jobID) {
		if job := p.scheduler.jobs[dependant]; job != nil && job.FinalState == "" {
			p.cancel(job, jobID)
		}
	}
}

// release lets a job start whose dependencies are all done. LookedUp tells that the last one was looked up: it may have
// been done long ago, under an earlier leader, so the job counts as waiting since its submission.
func (p *dependencies) release(jobID string, lookedUp bool) {
	job := p.scheduler.jobs[jobID]
	if job == nil || job.FinalState != "" {
		return
	}
	job.waitsForDependencies, job.learnedAt, job.eligibleAt = false, p.scheduler.now(), p.scheduler.now().UnixMilli()
	if !lookedUp {
		job.waitingSince = job.learnedAt
	}
	slog.Debug("job may start", "job", jobID, "waited", time.Duration(job.eligibleAt-job.AcceptedAt)*time.Millisecond)
	job.makeEligible()
	p.scheduler.wakePlacer()
}

// cancel cancels a job whose dependency, direct or not, is cancelled. Nothing of it has started, so that its final record
// is all that there is to write.
func (p *dependencies) cancel(job *jobState, dependency string) {
	sched := p.scheduler
	job.waitsForDependencies = false
	job.setTerminal(sched, api.Cancelled)
	slog.Info("job over", "job", job.id, "class", job.Job.Class, "state", job.FinalState, "with", dependency)
	for _, alloc := range job.allocations {
		// Only with a damaged record can there be any.
		sched.stopTask(alloc, tuning.CancelKill, "cancelled")
	}
	sched.onTerminalStored(job)
}

// inheritUrgency gives each job the rank and the deadlines of its dependants, where they are more urgent than its own. A
// rank is not raised to that of production, which no pipeline may starve. FleetCPUs are those of machines that are up.
func (p *dependencies) inheritUrgency(fleetCPUs float64) {
	sched := p.scheduler
	stages := p.graph.Inherit(func(id string) (dag.Stage, bool) {
		job := sched.jobs[id]
		if job == nil || job.FinalState != "" {
			return dag.Stage{}, false
		}
		return dag.Stage{Rank: job.Job.RankLevel(), TakesMS: p.durationMS(job, fleetCPUs), DuesMS: sched.deadlines(job)}, true
	})
	for _, job := range sched.jobOrder {
		job.inherited = stages[job.id]
		job.rank = max(job.Job.RankLevel(), min(job.inherited.Rank, api.RankProduction-1))
	}
}

// durationMS returns how long a job that waits needs once it may start, in ms: a fetch of its image, and its tasks in as
// many waves as they need if they have the whole fleet.
func (p *dependencies) durationMS(job *jobState, fleetCPUs float64) int64 {
	waves := 1.0
	if fleetCPUs > 0 {
		waves = max(1, float64(job.taskCount-job.completedCount)*job.request.CPUs/fleetCPUs)
	}
	totalPullGBs, types := 0.0, 0.0
	for _, machineType := range p.scheduler.machineTypes {
		if machineType.Fits(&job.Job) && machineType.PullGBs > 0 {
			totalPullGBs, types = totalPullGBs+machineType.PullGBs, types+1
		}
	}
	fetchSeconds := 0.0
	if types > 0 {
		fetchSeconds = job.Job.ImageGB / (totalPullGBs / types)
	}
	return tuning.StageGapMS + int64(1000*(fetchSeconds+waves*estimate(job)))
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
	if job.waitsForDependencies || job.FinalState == "" && (job.unplaced() > 0 || len(job.allocations) == 0) {
		return false
	}
	for _, alloc := range job.allocations {
		if alloc.runningSince.IsZero() || estimate(job)-p.scheduler.since(alloc.runningSince).Seconds() > seconds {
			return false
		}
	}
	return true
}

// waitReasons returns what a job waits for, one dependency each, for operators and users.
func (p *dependencies) waitReasons(job *jobState) (reasons []string) {
	for _, dependencyID := range p.graph.Dependencies(job.id) {
		var state string
		switch dependency := p.scheduler.jobs[dependencyID]; {
		case dependency == nil:
			state = "is being looked up"
		case dependency.waitsForDependencies:
			state = fmt.Sprintf("waits itself for %s", strings.Join(p.graph.Dependencies(dependencyID), ", "))
		case dependency.FinalState != "":
			state = "is over; its record is being stored"
		default:
			state = fmt.Sprintf("has %d of %d tasks done", dependency.completedCount, dependency.taskCount)
		}
		reasons = append(reasons, fmt.Sprintf("it awaits %s, which %s", dependencyID, state))
	}
	return reasons
}

// makeEligible makes all tasks of a job pending that are neither done nor allocated. No task may be queued.
// Scheduler.mu must be held.
func (j *jobState) makeEligible() {
	j.pending = j.pending[:0]
	for task := range j.taskCount {
		if !j.completed.Has(task) && j.allocations[task] == nil {
			j.pending = append(j.pending, int32(task))
		}
	}
}

// UnresolvedDependencies returns the dependencies whose final state this leader has yet to look up.
func (s *Scheduler) UnresolvedDependencies() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.dependencies.missing {
		ids = append(ids, id)
	}
	return ids
}

// ResolveDependency handles the final state, as looked up, of a job that was over before this term.
func (s *Scheduler) ResolveDependency(id string, final store.FinalRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[id] == nil {
		s.terminalStates.Remember(id, final)
		s.dependencies.onTerminal(id, final.State)
	}
}
