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

// dependencies connects the jobs of a term to the graph of jobs that wait for others. Its whole state follows from
// stored records: the job's own record lists its dependencies, and the record of each dependency tells whether that one
// is done or cancelled. A cancellation therefore needs only the record of the cancelled job: from then on every
// controller treats its dependants as cancelled, and their own final records only make that cheaper to read.
// Scheduler.mu must be held for all methods.
type dependencies struct {
	scheduler *Scheduler
	graph     *dag.Graph
	// missing holds the dependencies whose state this leader does not know; lookupNeeded receives a signal when one is
	// added.
	missing      map[string]bool
	lookupNeeded chan struct{}
}

// newDependencies returns an empty graph for the jobs of a scheduler.
func newDependencies(sched *Scheduler) *dependencies {
	return &dependencies{scheduler: sched, graph: dag.New(), missing: map[string]bool{}, lookupNeeded: make(chan struct{}, 1)}
}

// terminalState returns the stored terminal state of a job, empty if there is none; known reports whether this leader
// knows the job. A terminal state that is decided but not stored yet does not count.
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

// add adds an accepted job to the graph with its dependencies that are not done. It returns true if the job's tasks
// must not start, because the job waits or because it was cancelled with one of its dependencies.
func (p *dependencies) add(job *jobState) bool {
	if job.completedCount > 0 || len(job.allocations) > 0 {
		// Tasks are allocated only after all dependencies are done, so a lookup is not needed.
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

// answerBasis returns FromMemory if the job's direct and transitive dependencies allow its status to be given from
// memory, and otherwise the reason why not. A stored cancellation of any of them cancels the job: an earlier leader may
// have cancelled one that has not been looked up yet, and a transaction of this leader may have been executed without a
// response.
func (p *dependencies) answerBasis(job *jobState) AnswerBasis {
	if !job.waitsForDependencies {
		return FromMemory
	}
	basis := FromMemory
	p.visitDependencies(job.id, func(dependency string) (proceed bool) {
		other := p.scheduler.jobs[dependency]
		switch {
		case p.missing[dependency]:
			basis = DependencyUnknown
		case other != nil && other.FinalState == api.Cancelled && !other.terminalStored:
			basis = DependencyCancellationUnconfirmed
		}
		return basis == FromMemory
	})
	return basis
}

// visitDependencies calls visit once for each direct or transitive dependency of a job, until visit returns false.
func (p *dependencies) visitDependencies(id string, visit func(dependency string) (proceed bool)) {
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

// requestLookup requests a lookup of the terminal state of a dependency that this leader does not know.
func (p *dependencies) requestLookup(id string) {
	p.missing[id] = true
	select {
	case p.lookupNeeded <- struct{}{}:
	default:
	}
}

// onTerminal handles the stored terminal state of a job. If the job is done, dependants without further unfinished
// dependencies may start; if it is cancelled, its direct and transitive dependants are cancelled.
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

// release makes the tasks of a job whose dependencies are all done eligible to start. The flag lookedUp is set if the
// state of the last dependency was looked up: that dependency may have been done for a long time, under an earlier
// leader, so the job's waiting time keeps counting from its submission.
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

// cancel cancels a job because a direct or transitive dependency is cancelled. No task of the job has started, so only
// its final record needs to be written.
func (p *dependencies) cancel(job *jobState, dependency string) {
	sched := p.scheduler
	job.waitsForDependencies = false
	job.setTerminal(sched, api.Cancelled)
	slog.Info("job over", "job", job.id, "class", job.Job.Class, "state", job.FinalState, "with", dependency)
	for _, alloc := range job.allocations {
		// There are allocations only if a record is damaged.
		sched.stopTask(alloc, tuning.CancelGraceS, "cancelled")
	}
	sched.onTerminalStored(job)
}

// inheritUrgency gives each job the ranks and deadlines of its dependants where these are more urgent than its own. A
// rank is never raised to the production rank, so that pipelines cannot starve production jobs. The parameter fleetCPUs
// is the total number of CPUs of the machines that are up.
func (p *dependencies) inheritUrgency(fleetCPUs float64) {
	sched := p.scheduler
	stages := p.graph.Inherit(func(id string) (dag.Stage, bool) {
		job := sched.jobs[id]
		if job == nil || job.FinalState != "" {
			return dag.Stage{}, false
		}
		return dag.Stage{Rank: job.Job.RankLevel(), DurationMS: p.durationMS(job, fleetCPUs), DueTimesMS: sched.deadlines(job)}, true
	})
	for _, job := range sched.jobOrder {
		job.inherited = stages[job.id]
		job.rank = max(job.Job.RankLevel(), min(job.inherited.Rank, api.RankProduction-1))
	}
}

// durationMS returns the expected time, in ms, from the moment that a job may start to its completion: the fetch of its
// image, and the run time of its tasks in as many waves as they need when the whole fleet is available to them.
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
	return tuning.DependencyStartDelayMS + int64(1000*(fetchSeconds+waves*estimate(job)))
}

// startsSoon reports whether machines should already be requested for a job that waits for dependencies: all of these
// are running and by their estimates complete within the longest boot time of a machine. s.mu must be held.
func (p *dependencies) startsSoon(job *jobState) bool {
	bootS := p.scheduler.longestBootS()
	for _, id := range p.graph.Dependencies(job.id) {
		if dependency := p.scheduler.jobs[id]; dependency == nil || !p.endsWithin(dependency, bootS) {
			return false
		}
	}
	return true
}

// endsWithin reports whether each task of a job either is done, or is running and by the job's estimate ends within the
// given seconds. s.mu must be held.
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

// waitReasons returns one text for each dependency that a job waits for, to be shown to operators and users.
func (p *dependencies) waitReasons(job *jobState) (reasons []string) {
	for _, dependencyID := range p.graph.Dependencies(job.id) {
		var state string
		switch dependency := p.scheduler.jobs[dependencyID]; {
		case dependency == nil:
			state = "is being looked up"
		case dependency.waitsForDependencies:
			state = fmt.Sprintf("itself waits for %s", strings.Join(p.graph.Dependencies(dependencyID), ", "))
		case dependency.FinalState != "":
			state = "has a terminal state, which is being stored"
		default:
			state = fmt.Sprintf("has %d of %d tasks done", dependency.completedCount, dependency.taskCount)
		}
		reasons = append(reasons, fmt.Sprintf("it awaits %s, which %s", dependencyID, state))
	}
	return reasons
}

// makeEligible makes pending all tasks of a job that are neither done nor allocated. No task of the job may be queued.
// Scheduler.mu must be held.
func (j *jobState) makeEligible() {
	j.pending = j.pending[:0]
	for task := range j.taskCount {
		if !j.completed.Has(task) && j.allocations[task] == nil {
			j.pending = append(j.pending, int32(task))
		}
	}
}

// UnresolvedDependencies returns the IDs of the dependencies whose state this leader has yet to look up.
func (s *Scheduler) UnresolvedDependencies() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.dependencies.missing {
		ids = append(ids, id)
	}
	return ids
}

// ResolveDependency handles the looked-up terminal state of a job that was done or cancelled before this term. It does
// nothing if the job is in memory.
func (s *Scheduler) ResolveDependency(id string, final store.FinalRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[id] == nil {
		s.terminalStates.Remember(id, final)
		s.dependencies.onTerminal(id, final.State)
	}
}
