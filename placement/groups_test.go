package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// tasks returns the tasks numbered from `from` up to, but not including, `to`.
func tasks(from, to int) (list []int32) {
	for t := from; t < to; t++ {
		list = append(list, int32(t))
	}
	return list
}

func TestGroupsAreOrderedByNumberOfHolders(t *testing.T) {
	holders := [][]int32{{1, 2}, {0}, {1, 2}, nil, {0, 1, 2}}
	got := Groups(tasks(0, 5), func(t int32) []int32 { return holders[t] })
	want := []Group{{[]int32{3}, nil}, {[]int32{1}, []int32{0}}, {[]int32{0, 2}, []int32{1, 2}}, {[]int32{4}, []int32{0, 1, 2}}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("groups %v, want %v", got, want)
	}
}

// flatCost is an InputCost that is the same for every group and server, without a limit of the copy rate.
type flatCost struct{ slots int }

func (f flatCost) CopySlots(int, int) int         { return f.slots }
func (f flatCost) MinCopySlots(int) int           { return f.slots }
func (f flatCost) TasksCopiedPerSlot(int) float64 { return math.Inf(1) }
func (f flatCost) RecordAssignment(int, int, int) {}

// slowLinkCost is a flatCost with links that copy the inputs of one task per slot.
type slowLinkCost struct{ flatCost }

func (slowLinkCost) TasksCopiedPerSlot(int) float64 { return 1 }

// Tasks whose inputs no server holds form one group, although their inputs may differ. A machine copies the inputs of
// one task after the other, so two tasks must not be assigned to one idle machine while other machines are idle.
func TestTasksWithMissingInputsAreSpreadOverMachines(t *testing.T) {
	servers := make([]Server, 4)
	for i := range servers {
		servers[i] = Server{Mu: 4, FreeCapacity: 4}
	}
	for _, s := range FillGroups(servers, []Group{{Tasks: tasks(0, 4)}}, slowLinkCost{flatCost{1}}, 64) {
		if len(s.Tasks) != 1 {
			t.Fatalf("%d tasks whose inputs must be copied are assigned to one server, want 1", len(s.Tasks))
		}
	}
}

// A machine without the inputs gets tasks only if their holders are busy for longer than copying the inputs takes.
func TestMachineWithoutInputsIsUsedOnlyIfCopyingIsSooner(t *testing.T) {
	for _, testCase := range []struct{ copySlots, wantRemoteTasks int }{{100, 0}, {2, 8}} {
		servers := []Server{{Busy: 10, Mu: 1}, {Busy: 0, Mu: 1}}
		groups := []Group{{tasks(0, 10), []int32{0}}}
		remoteTasks := 0
		for _, s := range FillGroups(servers, groups, flatCost{testCase.copySlots}, 64) {
			if s.Server == 1 {
				remoteTasks += len(s.Tasks)
			}
		}
		if (remoteTasks > 0) != (testCase.wantRemoteTasks > 0) || remoteTasks < testCase.wantRemoteTasks {
			t.Errorf("copying takes %d slots: %d tasks on the machine without inputs", testCase.copySlots, remoteTasks)
		}
		if testCase.wantRemoteTasks > 0 && servers[1].Busy != remoteTasks {
			t.Errorf("the machine that copies is busy for %d slots with %d tasks", servers[1].Busy, remoteTasks)
		}
	}
}

// Whatever the number of water-filled groups, each task is assigned to exactly one server, which is a holder of its
// inputs if there is no InputCost.
func TestFillGroupsAssignsEveryTaskOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	for range 300 {
		servers := make([]Server, 1+rng.IntN(30))
		for i := range servers {
			servers[i] = Server{Busy: rng.IntN(20), Mu: 0.2 + rng.Float64()*3, FreeCapacity: rng.IntN(3)}
		}
		n := rng.IntN(200)
		holders := make([][]int32, n)
		for k := range holders {
			for i := range servers {
				if rng.IntN(4) == 0 {
					holders[k] = append(holders[k], int32(i))
				}
			}
		}
		groups := Groups(tasks(0, n), func(t int32) []int32 { return holders[t] })
		var inputCost InputCost
		if rng.IntN(2) == 0 {
			inputCost = flatCost{rng.IntN(10)}
		}
		seen := map[int32]bool{}
		for _, s := range FillGroups(servers, groups, inputCost, rng.IntN(6)) {
			for _, k := range s.Tasks {
				if seen[k] {
					t.Fatalf("task %d is assigned twice", k)
				}
				seen[k] = true
				if inputCost == nil && !slices.Contains(holders[k], int32(s.Server)) {
					t.Fatalf("task %d is assigned to a server without its inputs", k)
				}
			}
		}
		for k := range holders {
			if !seen[int32(k)] && (inputCost != nil || len(holders[k]) > 0) {
				t.Fatalf("task %d is not assigned", k)
			}
		}
	}
}

// BenchmarkFleet measures one decision for a job of 1,000 tasks whose inputs have up to three holders each. The tasks
// are either in 64 groups, all of which are water-filled, or in up to 1,000 groups, of which all but 64 are placed task
// by task.
func BenchmarkFleet(b *testing.B) {
	for _, machines := range []int{250, 500, 1000, 2000} {
		for _, kind := range []string{"groups=64", "scattered"} {
			b.Run(fmt.Sprintf("machines=%d/%s", machines, kind), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(5, uint64(machines)))
				servers := make([]Server, machines)
				for i := range servers {
					servers[i] = Server{Busy: rng.IntN(40), Mu: 0.1 + rng.Float64(), FreeCapacity: rng.IntN(4)}
				}
				sets := make([][]int32, 64)
				if kind == "scattered" {
					sets = make([][]int32, 1000)
				}
				for i := range sets {
					sets[i] = []int32{int32(rng.IntN(machines)), int32(rng.IntN(machines)), int32(rng.IntN(machines))}
					slices.Sort(sets[i])
					sets[i] = slices.Compact(sets[i])
				}
				all := tasks(0, 1000)
				for b.Loop() {
					s := slices.Clone(servers)
					groups := Groups(all, func(t int32) []int32 { return sets[int(t)%len(sets)] })
					FillGroups(s, groups, flatCost{12}, 64)
				}
			})
		}
	}
}
