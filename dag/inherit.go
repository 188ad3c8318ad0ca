package dag

import "slices"

// Stage holds the attributes of a job that determine its position in the run queues.
type Stage struct {
	// Rank is the job's priority; jobs of higher rank are scheduled first.
	Rank int
	// DurationMS is the time from when the job may start until it completes, in milliseconds.
	DurationMS int64
	// DueTimesMS lists the job's due times in milliseconds of one clock, in ascending order. After a due time is
	// missed, the next one applies.
	DueTimesMS []int64
}

// Inherit returns, for each job that others wait for, the stage that results from its own and from those of its
// dependents: the highest rank and, at each index of the due times, the earliest. A dependency is due at the due time
// of its dependent less the dependent's DurationMS. The function stageOf returns a job's own stage, and false for an
// unknown job.
func (g *Graph) Inherit(stageOf func(job string) (Stage, bool)) map[string]Stage {
	walk := inheritanceWalk{graph: g, stageOf: stageOf, stages: map[string]Stage{}}
	for id := range g.dependents {
		walk.visit(id)
	}
	for id := range walk.stages {
		if len(g.dependents[id]) == 0 {
			delete(walk.stages, id)
		}
	}
	return walk.stages
}

// inheritanceWalk is a depth-first traversal of the dependents of a graph's jobs.
type inheritanceWalk struct {
	graph   *Graph
	stageOf func(job string) (Stage, bool)
	// stages are the inherited stages of the jobs visited so far.
	stages map[string]Stage
}

// visit returns a job's inherited stage.
func (w *inheritanceWalk) visit(job string) Stage {
	if stage, ok := w.stages[job]; ok {
		return stage
	}
	stage, _ := w.stageOf(job)
	// This entry ends the recursion if there is a cycle. Accepted jobs form no cycles.
	w.stages[job] = stage
	stage.DueTimesMS = slices.Clone(stage.DueTimesMS)
	for _, dependent := range w.graph.Dependents(job) {
		stage.inherit(w.visit(dependent))
	}
	w.stages[job] = stage
	return stage
}

// inherit merges the inherited stage of a dependent into a stage.
func (s *Stage) inherit(dependent Stage) {
	s.Rank = max(s.Rank, dependent.Rank)
	for i, due := range dependent.DueTimesMS {
		due -= dependent.DurationMS
		if i == len(s.DueTimesMS) {
			s.DueTimesMS = append(s.DueTimesMS, due)
		}
		s.DueTimesMS[i] = min(s.DueTimesMS[i], due)
	}
}
