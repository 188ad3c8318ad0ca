package dag

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// model is a reference for Graph: it knows only who needs whom, who is done and who was cancelled, and derives everything
// else anew each time.
type model struct {
	ids             []string
	needs           map[string][]string
	done, cancelled map[string]bool
}

// lost reports whether a job is cancelled, itself or through a dependency.
func (m *model) lost(id string) bool {
	return m.cancelled[id] || slices.ContainsFunc(m.needs[id], m.lost)
}

// ready reports whether a job waits for nothing.
func (m *model) ready(id string) bool {
	return !m.lost(id) && !slices.ContainsFunc(m.needs[id], func(dependency string) bool { return !m.done[dependency] })
}

// all returns a predicate's value for every job.
func (m *model) all(predicate func(id string) bool) map[string]bool {
	values := map[string]bool{}
	for _, id := range m.ids {
		values[id] = predicate(id)
	}
	return values
}

// checkNewly checks that got holds the jobs for which a predicate is true now and was not before.
func (m *model) checkNewly(t *testing.T, operation string, got []string, before map[string]bool, now func(id string) bool) {
	t.Helper()
	var want []string
	for _, id := range m.ids {
		if !before[id] && now(id) {
			want = append(want, id)
		}
	}
	slices.Sort(want)
	got = slices.Sorted(slices.Values(got))
	if !slices.Equal(got, want) {
		t.Fatalf("%s: got %v, want %v", operation, got, want)
	}
}

// Random graphs with random completions and cancellations agree with the model after each step.
func TestGraphAgainstReference(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		graph := New()
		reference := &model{needs: map[string][]string{}, done: map[string]bool{}, cancelled: map[string]bool{}}
		for step := range 40 {
			switch pick := rng.IntN(4); {
			case pick < 2 || len(reference.ids) == 0:
				id := fmt.Sprintf("run-%d", step)
				var open []string
				for _, other := range reference.ids {
					if rng.IntN(4) == 0 && !reference.lost(other) {
						reference.needs[id] = append(reference.needs[id], other)
						if !reference.done[other] {
							open = append(open, other)
						}
					}
				}
				reference.ids = append(reference.ids, id)
				graph.Add(id, open)
			case pick == 2:
				id := reference.ids[rng.IntN(len(reference.ids))]
				if reference.done[id] || !reference.ready(id) {
					continue
				}
				before := reference.all(reference.ready)
				reference.done[id] = true
				reference.checkNewly(t, fmt.Sprintf("seed %d, complete %s", seed, id), graph.Complete(id), before, reference.ready)
			default:
				id := reference.ids[rng.IntN(len(reference.ids))]
				if reference.done[id] || reference.lost(id) {
					continue
				}
				before := reference.all(reference.lost)
				reference.cancelled[id] = true
				before[id] = true
				reference.checkNewly(t, fmt.Sprintf("seed %d, cancel %s", seed, id), graph.Cancel(id), before, reference.lost)
			}
			for _, id := range reference.ids {
				if want := !reference.ready(id) && !reference.lost(id) && !reference.done[id]; graph.Waiting(id) != want {
					t.Fatalf("seed %d: %s waits: %v, want %v", seed, id, graph.Waiting(id), want)
				}
			}
		}
	}
}
