package scheduler

import (
	"testing"

	"switchferry/features"
)

// A setting that a later revision leaves out is as the files have it again.
func TestAheadTasksOfAConfigurationCount(t *testing.T) {
	s := newDataStage(t, features.Staged)
	for _, ahead := range []int{9, 5} {
		active := configured(t, "")
		active.AheadTasks = &ahead
		s.ApplyConfiguration(active)
		if s.datasets.settings.Ahead != ahead {
			t.Errorf("ahead %d with %d configured", s.datasets.settings.Ahead, ahead)
		}
	}
}
