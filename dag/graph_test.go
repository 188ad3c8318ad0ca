package dag

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// Random graphs with random ends and cancellations, against a reference that knows nothing but
// who needs whom, who is done and who was cancelled, and counts all anew each time.
func TestGraphAgainstReference(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		g := New()
		needs := map[string][]string{}
		done, cancelled := map[string]bool{}, map[string]bool{}
		var ids []string
		lost := func(id string) bool { return false }
		lost = func(id string) bool { return cancelled[id] || slices.ContainsFunc(needs[id], lost) }
		ready := func(id string) bool {
			return !lost(id) && !slices.ContainsFunc(needs[id], func(dependency string) bool { return !done[dependency] })
		}
		check := func(what string, got []string, was map[string]bool, now func(string) bool) {
			var want []string
			for _, id := range ids {
				if !was[id] && now(id) {
					want = append(want, id)
				}
			}
			slices.Sort(want)
			got = slices.Sorted(slices.Values(got))
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d, %s: got %v, want %v", seed, what, got, want)
			}
		}
		state := func(f func(string) bool) map[string]bool {
			m := map[string]bool{}
			for _, id := range ids {
				m[id] = f(id)
			}
			return m
		}
		for step := range 40 {
			switch pick := rng.IntN(4); {
			case pick < 2 || len(ids) == 0:
				id := fmt.Sprintf("run-%d", step)
				var open []string
				for _, o := range ids {
					if rng.IntN(4) == 0 && !lost(o) {
						needs[id] = append(needs[id], o)
						if !done[o] {
							open = append(open, o)
						}
					}
				}
				ids = append(ids, id)
				g.Add(id, open)
			case pick == 2:
				id := ids[rng.IntN(len(ids))]
				if done[id] || !ready(id) {
					continue
				}
				was := state(ready)
				done[id] = true
				check("done "+id, g.Complete(id), was, ready)
			default:
				id := ids[rng.IntN(len(ids))]
				if done[id] || lost(id) {
					continue
				}
				was := state(lost)
				cancelled[id] = true
				was[id] = true
				check("cancelled "+id, g.Cancel(id), was, lost)
			}
			for _, id := range ids {
				if g.Waiting(id) != (!ready(id) && !lost(id) && !done[id]) {
					t.Fatalf("seed %d: %s waits: %v", seed, id, g.Waiting(id))
				}
			}
		}
	}
}

// What must be done by when follows from the critical path behind each job, and the rank from
// the highest behind it. A list of several due times keeps each by its number.
func TestInheritPropagatesRankAndDueTimes(t *testing.T) {
	g := New()
	g.Add("rewrite", []string{"export"})
	g.Add("sweep", []string{"rewrite"})
	g.Add("publish", []string{"export", "sweep"})
	g.Add("other", []string{"export"})
	stages := map[string]Stage{
		"export": {TakesMS: 15}, "rewrite": {TakesMS: 25}, "sweep": {Rank: 1, TakesMS: 20, DuesMS: []int64{500}},
		"publish": {Rank: 2, TakesMS: 8, DuesMS: []int64{200, 300}}, "other": {Rank: 3, TakesMS: 5},
	}
	got := g.Inherit(func(id string) (Stage, bool) { stage, ok := stages[id]; return stage, ok })
	want := map[string]struct {
		rank int
		dues []int64
	}{
		"sweep": {2, []int64{192, 292}}, "rewrite": {2, []int64{172, 272}}, "export": {3, []int64{147, 247}},
	}
	if !slices.Equal(slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want))) {
		t.Fatalf("got %v", got)
	}
	for id, w := range want {
		if got[id].Rank != w.rank || !slices.Equal(got[id].DuesMS, w.dues) {
			t.Errorf("%s: %+v, want %+v", id, got[id], w)
		}
	}
	if !slices.Equal(stages["sweep"].DuesMS, []int64{500}) {
		t.Error("a job's own due times were changed")
	}
	g.Complete("export")
	if got := g.Inherit(func(id string) (Stage, bool) { stage, ok := stages[id]; return stage, ok }); len(got) != 2 {
		t.Errorf("after the first stage: %v", got)
	}
}
