// Package dag tracks the dependencies between jobs: which jobs wait for which, which jobs become ready when one
// completes or are cancelled with one, and which priority and due times a job inherits from the jobs that depend on it.
//
// The package has no lock, clock or I/O, and every list that it returns is in a deterministic order.
package dag

import (
	"maps"
	"slices"
)

// Graph holds the dependencies that are not complete. A job waits from Add until all its dependencies are complete, or
// until it is cancelled. A Graph is created by New and is not safe for concurrent use.
type Graph struct {
	// dependencies has an edge from each waiting job to each job that it waits for, dependents the reverse edges.
	dependencies, dependents edges
}

// edges holds the directed edges of a graph by their origin. An origin without edges has no entry.
type edges map[string]map[string]bool

func (e edges) add(from, to string) {
	if e[from] == nil {
		e[from] = map[string]bool{}
	}
	e[from][to] = true
}

func (e edges) remove(from, to string) {
	delete(e[from], to)
	if len(e[from]) == 0 {
		delete(e, from)
	}
}

// from returns the targets of the edges from an origin, sorted.
func (e edges) from(origin string) []string { return slices.Sorted(maps.Keys(e[origin])) }

// New returns an empty graph.
func New() *Graph {
	return &Graph{dependencies: edges{}, dependents: edges{}}
}

// Add makes a job wait for dependencies, which must not be complete. Dependencies may be unknown to the graph and may
// wait themselves. If the job waits already, the dependencies are added to the existing ones.
func (g *Graph) Add(job string, dependencies []string) {
	for _, dependency := range dependencies {
		g.dependencies.add(job, dependency)
		g.dependents.add(dependency, job)
	}
}

// removeEdge removes a dependency of a job.
func (g *Graph) removeEdge(job, dependency string) {
	g.dependencies.remove(job, dependency)
	g.dependents.remove(dependency, job)
}

// Waiting reports whether a job waits for any other.
func (g *Graph) Waiting(job string) bool { return len(g.dependencies[job]) > 0 }

// Len returns the number of jobs that wait.
func (g *Graph) Len() int { return len(g.dependencies) }

// Dependencies returns the jobs that a job waits for, sorted.
func (g *Graph) Dependencies(job string) []string { return g.dependencies.from(job) }

// Dependents returns the jobs that wait for a job directly, sorted.
func (g *Graph) Dependents(job string) []string { return g.dependents.from(job) }

// Complete removes a completed job from the dependencies of all others, and returns the jobs that have become ready,
// sorted.
func (g *Graph) Complete(job string) (ready []string) {
	for _, dependent := range g.Dependents(job) {
		g.removeEdge(dependent, job)
		if !g.Waiting(dependent) {
			ready = append(ready, dependent)
		}
	}
	return ready
}

// Cancel removes a cancelled job and every job that depends on it, directly or transitively. It returns the dependent
// jobs in breadth-first order.
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
		for _, dependency := range g.Dependencies(id) {
			g.removeEdge(id, dependency)
		}
		for _, dependent := range g.Dependents(id) {
			g.removeEdge(dependent, id)
		}
	}
	return transitive
}
