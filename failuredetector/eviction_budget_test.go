package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// If a quarter of a zone is lost, each machine is released without delay when it becomes due. Unconditional
// releases ignore the budget, and machines with the most tasks are released first.
func TestBudgetReleasesMachinesWithMostTasksFirst(t *testing.T) {
	fleet := newFleet()
	fleet.run(30*time.Second, allSendHeartbeats)
	taken := func(name string) bool { return fleet.zone[name] == "far" && name >= "n-1500" }
	if released := fleet.run(15*time.Second, func(name string) bool { return !taken(name) }); released["far"] != 500 || released["near"] != 0 {
		t.Errorf("released %v, want 500 of 2,000 in zone far", released)
	}
	var budget EvictionBudget
	var candidates []Candidate
	for i := range 100 {
		candidates = append(candidates, Candidate{Name: fmt.Sprintf("m%03d", i), Zone: "z", Tasks: i % 10, Unconditional: i == 0})
	}
	decisions := budget.Spend(fleet.now, candidates, func(string) (float64, int) { return 0.9, 100 })
	if len(decisions) != 1 || len(decisions[0].Release) != 9 || decisions[0].Deferred != 91 || decisions[0].Release[0] != "m009" || !slices.Contains(decisions[0].Release, "m000") || decisions[0].DeferredTasks != 450-8*9 {
		t.Errorf("%+v", decisions)
	}
	if decisions = budget.Spend(fleet.now.Add(10*time.Second), candidates[9:], func(string) (float64, int) { return 0.9, 100 }); len(decisions[0].Release) != 4 {
		t.Errorf("released %v after 10 s, want 4", decisions[0].Release)
	}
}
