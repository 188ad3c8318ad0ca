package dag

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// model is a reference implementation of Graph: it stores only the dependencies, the completed and the cancelled jobs,
// and computes everything else on each call.
type model struct {
	ids                  []string
	dependencies         map[string][]string
	completed, cancelled map[string]bool
}

// isCancelled reports whether a job is cancelled, directly or through a dependency.
func (m *model) isCancelled(job string) bool {
	return m.cancelled[job] || slices.ContainsFunc(m.dependencies[job], m.isCancelled)
}

// isReady reports whether a job is not cancelled and all its dependencies are complete.
func (m *model) isReady(job string) bool {
	return !m.isCancelled(job) && !slices.ContainsFunc(m.dependencies[job], func(dependency string) bool { return !m.completed[dependency] })
}

// evaluate returns a predicate's value for every job.
func (m *model) evaluate(predicate func(job string) bool) map[string]bool {
	values := map[string]bool{}
	for _, job := range m.ids {
		values[job] = predicate(job)
	}
	return values
}

// checkNewlyTrue checks that got holds exactly the jobs for which the predicate now is true and was not true before.
func (m *model) checkNewlyTrue(t *testing.T, operation string, got []string, before map[string]bool, now func(job string) bool) {
	t.Helper()
	var want []string
	for _, job := range m.ids {
		if !before[job] && now(job) {
			want = append(want, job)
		}
	}
	slices.Sort(want)
	got = slices.Sorted(slices.Values(got))
	if !slices.Equal(got, want) {
		t.Fatalf("%s: got %v, want %v", operation, got, want)
	}
}

// After each step of random additions, completions and cancellations, the graph agrees with the model.
func TestGraphAgreesWithReferenceModel(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		graph := New()
		reference := &model{dependencies: map[string][]string{}, completed: map[string]bool{}, cancelled: map[string]bool{}}
		for step := range 40 {
			switch pick := rng.IntN(4); {
			case pick < 2 || len(reference.ids) == 0:
				job := fmt.Sprintf("run-%d", step)
				var open []string
				for _, other := range reference.ids {
					if rng.IntN(4) == 0 && !reference.isCancelled(other) {
						reference.dependencies[job] = append(reference.dependencies[job], other)
						if !reference.completed[other] {
							open = append(open, other)
						}
					}
				}
				reference.ids = append(reference.ids, job)
				graph.Add(job, open)
			case pick == 2:
				job := reference.ids[rng.IntN(len(reference.ids))]
				if reference.completed[job] || !reference.isReady(job) {
					continue
				}
				before := reference.evaluate(reference.isReady)
				reference.completed[job] = true
				reference.checkNewlyTrue(t, fmt.Sprintf("seed %d, complete %s", seed, job), graph.Complete(job), before, reference.isReady)
			default:
				job := reference.ids[rng.IntN(len(reference.ids))]
				if reference.completed[job] || reference.isCancelled(job) {
					continue
				}
				before := reference.evaluate(reference.isCancelled)
				reference.cancelled[job] = true
				before[job] = true
				reference.checkNewlyTrue(t, fmt.Sprintf("seed %d, cancel %s", seed, job), graph.Cancel(job), before, reference.isCancelled)
			}
			for _, job := range reference.ids {
				if want := !reference.isReady(job) && !reference.isCancelled(job) && !reference.completed[job]; graph.Waiting(job) != want {
					t.Fatalf("seed %d: %s waits: %v, want %v", seed, job, graph.Waiting(job), want)
				}
			}
		}
	}
}
