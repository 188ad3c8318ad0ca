package dag

import "slices"

// Stage is what a job's position in the run queues follows from.
type Stage struct {
	// Rank is its priority; higher goes first.
	Rank int
	// TakesMS is how long it takes from when it may start until it completes, in milliseconds.
	TakesMS int64
	// DuesMS are its due times in milliseconds of one clock, the soonest first: a job that misses one still has the
	// next.
	DuesMS []int64
}

// Inherit returns, for each job that others wait for, the stage that it has to keep for their sake and its own: the
// highest rank and, for each due time by its index, the soonest. A dependency is due by the due time of its dependent
// less what the dependent takes. StageOf returns a job's own stage, and false for a job that is not known.
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

// inheritanceWalk is a depth-first walk along the dependents of a graph's jobs.
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
	// This entry ends a cycle, which no accepted jobs form, while the dependents are visited.
	w.stages[job] = stage
	stage.DuesMS = slices.Clone(stage.DuesMS)
	for _, dependent := range w.graph.Dependents(job) {
		stage.inherit(w.visit(dependent))
	}
	w.stages[job] = stage
	return stage
}

// inherit applies to a stage what one of its dependents requires.
func (s *Stage) inherit(dependent Stage) {
	s.Rank = max(s.Rank, dependent.Rank)
	for i, due := range dependent.DuesMS {
		due -= dependent.TakesMS
		if i == len(s.DuesMS) {
			s.DuesMS = append(s.DuesMS, due)
		}
		s.DuesMS[i] = min(s.DuesMS[i], due)
	}
}
