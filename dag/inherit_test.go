package dag

import (
	"maps"
	"slices"
	"testing"
)

// A job's due times follow from the critical path through its dependents, separately for each index, and its rank is
// the highest of its own and its dependents' ranks.
func TestInheritPropagatesRankAndDueTimes(t *testing.T) {
	graph := New()
	graph.Add("rewrite", []string{"export"})
	graph.Add("sweep", []string{"rewrite"})
	graph.Add("publish", []string{"export", "sweep"})
	graph.Add("other", []string{"export"})
	stages := map[string]Stage{
		"export": {DurationMS: 15}, "rewrite": {DurationMS: 25}, "sweep": {Rank: 1, DurationMS: 20, DueTimesMS: []int64{500}},
		"publish": {Rank: 2, DurationMS: 8, DueTimesMS: []int64{200, 300}}, "other": {Rank: 3, DurationMS: 5},
	}
	stageOf := func(job string) (Stage, bool) { stage, ok := stages[job]; return stage, ok }
	got := graph.Inherit(stageOf)
	want := map[string]struct {
		rank int
		dues []int64
	}{
		"sweep": {2, []int64{192, 292}}, "rewrite": {2, []int64{172, 272}}, "export": {3, []int64{147, 247}},
	}
	if !slices.Equal(slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want))) {
		t.Fatalf("stages of %v, want those of %v", slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
	}
	for job, w := range want {
		if got[job].Rank != w.rank || !slices.Equal(got[job].DueTimesMS, w.dues) {
			t.Errorf("%s: %+v, want %+v", job, got[job], w)
		}
	}
	if !slices.Equal(stages["sweep"].DueTimesMS, []int64{500}) {
		t.Error("a job's own due times were changed")
	}
	graph.Complete("export")
	if got := graph.Inherit(stageOf); len(got) != 2 {
		t.Errorf("after the first job is complete: %v, want 2 stages", got)
	}
}
