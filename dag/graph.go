// Package dag knows which jobs wait for which: what follows from the end or the
// cancellation of one, and what the times and ranks of the last mean for those before them.
// It is pure: it has no lock, clock or I/O, and every list that it gives is in order.
package dag

import (
	"maps"
	"slices"
)

// Graph holds the jobs that wait. A job is in it from when it waits until all that it needs
// are done, or it is over itself. It is not safe for use from several goroutines at once.
type Graph struct {
	// dependencies are, of a job that waits, those that are not done; behind are, of any job, those
	// that wait for it.
	dependencies, dependents map[string]map[string]bool
}

// New makes an empty graph.
func New() *Graph {
	return &Graph{dependencies: map[string]map[string]bool{}, dependents: map[string]map[string]bool{}}
}

// Add lets a job wait for others that are not done. Jobs in needs may be unknown, and may wait
// themselves; a job that waits already waits for these as well.
func (g *Graph) Add(job string, dependencies []string) {
	for _, dependency := range dependencies {
		addEdge(g.dependencies, job, dependency)
		addEdge(g.dependents, dependency, job)
	}
}

func addEdge(edges map[string]map[string]bool, key, value string) {
	if edges[key] == nil {
		edges[key] = map[string]bool{}
	}
	edges[key][value] = true
}

func removeEdge(edges map[string]map[string]bool, key, value string) {
	delete(edges[key], value)
	if len(edges[key]) == 0 {
		delete(edges, key)
	}
}

// Waiting tells whether a job waits.
func (g *Graph) Waiting(job string) bool { return len(g.dependencies[job]) > 0 }

// Len is how many jobs wait.
func (g *Graph) Len() int { return len(g.dependencies) }

// Dependencies are those that a job waits for.
func (g *Graph) Dependencies(job string) []string {
	return slices.Sorted(maps.Keys(g.dependencies[job]))
}

// Dependents are those that wait for a job, directly.
func (g *Graph) Dependents(job string) []string { return slices.Sorted(maps.Keys(g.dependents[job])) }

// Complete notes that a job is done and gives those that now wait for nothing.
func (g *Graph) Complete(job string) (ready []string) {
	for _, dependent := range g.Dependents(job) {
		removeEdge(g.dependencies, dependent, job)
		removeEdge(g.dependents, job, dependent)
		if !g.Waiting(dependent) {
			ready = append(ready, dependent)
		}
	}
	return ready
}

// Cancel takes a cancelled job out, and gives all that are cancelled with it, directly or
// through others, those that are nearer first; they are taken out as well.
func (g *Graph) Cancel(job string) (transitive []string) {
	cancelled := map[string]bool{job: true}
	for frontier := []string{job}; len(frontier) > 0; frontier = frontier[1:] {
		for _, dependent := range g.Dependents(frontier[0]) {
			if !cancelled[dependent] {
				cancelled[dependent] = true
				transitive, frontier = append(transitive, dependent), append(frontier, dependent)
			}
		}
	}
	for id := range cancelled {
		g.removeWaiting(id)
		for _, dependent := range g.Dependents(id) {
			removeEdge(g.dependencies, dependent, id)
			removeEdge(g.dependents, id, dependent)
		}
	}
	return transitive
}

// removeWaiting takes a job out of those that wait; others still wait for it.
func (g *Graph) removeWaiting(job string) {
	for _, dependency := range g.Dependencies(job) {
		removeEdge(g.dependencies, job, dependency)
		removeEdge(g.dependents, dependency, job)
	}
}

// Stage is what a job's place in the queues follows from.
type Stage struct {
	// Rank is its priority, higher goes first.
	Rank int
	// TakesMS is how long it takes from when it may start until it is done, in ms.
	TakesMS int64
	// DuesMS are the times by which it should be done, in ms of one clock, the soonest
	// first: who misses one still has the next.
	DuesMS []int64
}

// Inherit gives for each job that others wait for what it has to keep for their sake and its own:
// the highest rank, and for each due time, by its number, the soonest. A job before another has
// to be done by that one's due time less what it takes. Of tells what a job asks for itself;
// false: it is not known.
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

type inheritanceWalk struct {
	graph   *Graph
	stageOf func(string) (Stage, bool)
	stages  map[string]Stage
}

func (w *inheritanceWalk) visit(job string) Stage {
	if stage, ok := w.stages[job]; ok {
		return stage
	}
	stage, _ := w.stageOf(job)
	// What stands here while those behind it are looked at ends a circle, which no accepted
	// jobs form.
	w.stages[job] = stage
	stage.DuesMS = slices.Clone(stage.DuesMS)
	for _, dependent := range w.graph.Dependents(job) {
		dependentStage := w.visit(dependent)
		stage.Rank = max(stage.Rank, dependentStage.Rank)
		for i, due := range dependentStage.DuesMS {
			due -= dependentStage.TakesMS
			if i == len(stage.DuesMS) {
				stage.DuesMS = append(stage.DuesMS, due)
			}
			stage.DuesMS[i] = min(stage.DuesMS[i], due)
		}
	}
	w.stages[job] = stage
	return stage
}
