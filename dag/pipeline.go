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
	// needs are, of a job that waits, those that are not done; behind are, of any job, those
	// that wait for it.
	needs, behind map[string]map[string]bool
}

// New makes an empty graph.
func New() *Graph {
	return &Graph{needs: map[string]map[string]bool{}, behind: map[string]map[string]bool{}}
}

// Add lets a job wait for others that are not done. Jobs in needs may be unknown, and may wait
// themselves; a job that waits already waits for these as well.
func (g *Graph) Add(job string, needs []string) {
	for _, n := range needs {
		put(g.needs, job, n)
		put(g.behind, n, job)
	}
}

func put(m map[string]map[string]bool, key, value string) {
	if m[key] == nil {
		m[key] = map[string]bool{}
	}
	m[key][value] = true
}

func drop(m map[string]map[string]bool, key, value string) {
	delete(m[key], value)
	if len(m[key]) == 0 {
		delete(m, key)
	}
}

// Waiting tells whether a job waits.
func (g *Graph) Waiting(job string) bool { return len(g.needs[job]) > 0 }

// Len is how many jobs wait.
func (g *Graph) Len() int { return len(g.needs) }

// Dependencies are those that a job waits for.
func (g *Graph) Dependencies(job string) []string { return slices.Sorted(maps.Keys(g.needs[job])) }

// Dependents are those that wait for a job, directly.
func (g *Graph) Dependents(job string) []string { return slices.Sorted(maps.Keys(g.behind[job])) }

// Complete notes that a job is done and gives those that now wait for nothing.
func (g *Graph) Complete(job string) (ready []string) {
	for _, b := range g.Dependents(job) {
		drop(g.needs, b, job)
		drop(g.behind, job, b)
		if !g.Waiting(b) {
			ready = append(ready, b)
		}
	}
	return ready
}

// Cancel takes a cancelled job out, and gives all that are cancelled with it, directly or
// through others, those that are nearer first; they are taken out as well.
func (g *Graph) Cancel(job string) (with []string) {
	seen := map[string]bool{job: true}
	for all := []string{job}; len(all) > 0; all = all[1:] {
		for _, b := range g.Dependents(all[0]) {
			if !seen[b] {
				seen[b] = true
				with, all = append(with, b), append(all, b)
			}
		}
	}
	for id := range seen {
		g.leave(id)
		for _, b := range g.Dependents(id) {
			drop(g.needs, b, id)
			drop(g.behind, id, b)
		}
	}
	return with
}

// leave takes a job out of those that wait; others still wait for it.
func (g *Graph) leave(job string) {
	for _, n := range g.Dependencies(job) {
		drop(g.needs, job, n)
		drop(g.behind, n, job)
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
func (g *Graph) Inherit(of func(job string) (Stage, bool)) map[string]Stage {
	r := reach{g: g, of: of, got: map[string]Stage{}}
	for id := range g.behind {
		r.at(id)
	}
	for id := range r.got {
		if len(g.behind[id]) == 0 {
			delete(r.got, id)
		}
	}
	return r.got
}

type reach struct {
	g   *Graph
	of  func(string) (Stage, bool)
	got map[string]Stage
}

func (r *reach) at(job string) Stage {
	if s, ok := r.got[job]; ok {
		return s
	}
	s, _ := r.of(job)
	// What stands here while those behind it are looked at ends a circle, which no accepted
	// jobs form.
	r.got[job] = s
	s.DuesMS = slices.Clone(s.DuesMS)
	for _, b := range r.g.Dependents(job) {
		later := r.at(b)
		s.Rank = max(s.Rank, later.Rank)
		for i, due := range later.DuesMS {
			due -= later.TakesMS
			if i == len(s.DuesMS) {
				s.DuesMS = append(s.DuesMS, due)
			}
			s.DuesMS[i] = min(s.DuesMS[i], due)
		}
	}
	r.got[job] = s
	return s
}
