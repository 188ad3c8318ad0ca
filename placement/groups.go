package placement

import (
	"cmp"
	"slices"
)

// Group is a set of tasks of one job whose inputs are held by the same servers, as in (3).
type Group struct {
	Tasks []int32
	// Holders are the indices, in ascending order, of the servers that hold all inputs of the group's tasks, as in (1).
	Holders []int32
}

// Groups divides tasks into groups with the same holders; the function holders returns those of a task in ascending
// order. Groups with the fewest holders come first, since they can choose among the fewest servers. The reverse order
// is the worst case of the paper's theorem 1.
func Groups(tasks []int32, holders func(task int32) []int32) []Group {
	type locatedTask struct {
		task    int32
		holders []int32
	}
	all := make([]locatedTask, len(tasks))
	for i, task := range tasks {
		all[i] = locatedTask{task, holders(task)}
	}
	slices.SortFunc(all, func(a, b locatedTask) int {
		return cmp.Or(cmp.Compare(len(a.holders), len(b.holders)), slices.Compare(a.holders, b.holders),
			cmp.Compare(a.task, b.task))
	})
	var groups []Group
	for _, located := range all {
		if n := len(groups); n == 0 || !slices.Equal(groups[n-1].Holders, located.holders) {
			groups = append(groups, Group{Holders: located.holders})
		}
		group := &groups[len(groups)-1]
		group.Tasks = append(group.Tasks, located.task)
	}
	return groups
}

// InputCost estimates what it costs to run a task on a server that does not hold all of the task's inputs. Groups and
// servers are given by index.
type InputCost interface {
	// CopySlots returns how many slots a server needs to copy the inputs that it lacks for one task of a group.
	CopySlots(group, server int) int
	// MinCopySlots returns a lower bound of CopySlots for a group over all servers that do not hold all of the group's
	// inputs.
	MinCopySlots(group int) int
	// TasksCopiedPerSlot returns the number of tasks of a group whose inputs a server can copy in a slot. Every task
	// may have different inputs.
	TasksCopiedPerSlot(group int) float64
	// RecordAssignment is called when a server that must copy a group's inputs has been assigned a number of the
	// group's tasks.
	RecordAssignment(group, server, tasks int)
}

// Share is the tasks of one group that one server is assigned. Server is its index.
type Share struct {
	Server int
	Tasks  []int32
}

// FillGroups assigns the tasks of a job with several groups by the paper's Algorithm 2. For one group after another, it
// finds the least level and assigns (level-b)*mu tasks to each server below it. For a server that does not hold all
// inputs, the cost of copying them is added to b; if inputCost is nil, such servers get no tasks, as in (1). Tasks that
// no server can take are in none of the shares.
//
// Busy of the servers is updated as in (10), and FreeCapacity is reduced by the tasks assigned. Busy of a server that
// must copy inputs rises only by the work that it is assigned, since it can run other tasks while it copies.
//
// Only the maxWaterFilled groups with the most tasks are assigned in this way, each in one or two passes over the
// servers. The tasks of the other groups are then placed one by one: on the holder where the task finishes first, or on
// the least busy server if it finishes sooner there. This bounds the time of a decision to two passes for each of the
// maxWaterFilled groups and a few steps for each task, whatever the number of groups.
func FillGroups(servers []Server, groups []Group, inputCost InputCost, maxWaterFilled int) []Share {
	filler := newFiller(servers, inputCost)
	large := largest(groups, maxWaterFilled)
	for i := range groups {
		if large[i] {
			filler.waterFill(i, &groups[i])
		}
	}
	for i := range groups {
		if !large[i] {
			filler.placeSingly(i, &groups[i])
		}
	}
	return filler.shares
}

// largest returns, by group, whether it is one of the n with the most tasks. Of groups of equal size, earlier ones come
// first.
func largest(groups []Group, n int) []bool {
	large := make([]bool, len(groups))
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(groups[b].Tasks), len(groups[a].Tasks)) })
	for _, i := range order[:min(n, len(order))] {
		large[i] = true
	}
	return large
}
