package topology

import (
	"testing"

	"switchferry/fleet"
)

// A task on a machine that sends no heartbeats counts until it is known to have ended.
func TestTasksCountUntilTheyHaveEnded(t *testing.T) {
	tree := NewTree(mustParse(t, smallTopology))
	for _, machine := range []string{"n-1a", "n-1b", "n-2a", "n-3a"} {
		tree.Set(machine, fleet.Resources{CPUs: 8}, true)
	}
	spread := tree.NewTaskCounts(Rack)
	spread.Add("n-1a")
	if spread.Allows("n-1b", 1) || !spread.Allows("n-2a", 1) {
		t.Fatal("a rack may exceed the limit, or another rack may not reach it")
	}
	tree.Set("n-1a", fleet.Resources{}, false) // The machine sends no heartbeats.
	if spread.Allows("n-1b", 1) {
		t.Fatal("a task on an unusable machine does not count")
	}
	spread.Remove("n-1a")
	if !spread.Allows("n-1b", 1) || len(spread.tasksAt) != 0 {
		t.Fatal("a task that has ended still counts")
	}
}
