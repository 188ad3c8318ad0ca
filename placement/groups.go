package placement

import (
	"cmp"
	"slices"
)

// Group is the tasks of one job whose inputs are held by the same servers (3).
type Group struct {
	Tasks []int32
	// Holders are the indices, in ascending order, of the servers that hold all inputs of the group's tasks (1).
	Holders []int32
}

// Groups sorts tasks into groups by their holders, which are given in ascending order for each task. Groups with the
// fewest holders come first, since they have the least choice; the worst case of the paper's theorem 1 is the reverse
// order.
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

// InputCost is what it costs to run a task on a server that does not hold all its inputs. Groups and servers are given
// by index.
type InputCost interface {
	// Slots returns how many slots a server takes to copy what it lacks for one task of a group.
	Slots(group, server int) int
	// Least returns a lower bound of Slots over all servers that do not hold all inputs of the group.
	Least(group int) int
	// Rate returns for how many tasks of a group, whose inputs may all differ, a server copies the inputs in a slot.
	Rate(group int) float64
	// Took is called when a server is assigned a number of tasks of a group whose inputs it must copy.
	Took(group, server, tasks int)
}

// Share is the tasks of one group that a server is assigned.
type Share struct {
	Server int
	Tasks  []int32
}

// FillGroups is Algorithm 2, the water-filling of a job of several groups: group after group it finds the least level
// and assigns (level-b)*mu tasks to each server below it. Servers that do not hold all inputs take part with b raised by
// what the missing ones cost; a nil inputCost leaves them out, as in (1). Tasks that no server can take are left out of
// the shares.
//
// Busy and Free of the servers are updated as in (10), but Busy of a server that must copy inputs rises only by the work
// that it gets, since it can serve other tasks while it copies.
//
// The groups with the most tasks, as many as waterFilled, are filled so, each in one or two passes over the servers.
// The tasks of the others are placed one by one: on the holder with the least level, or on the least busy server if that
// is sooner. So a decision takes at most waterFilled passes and a few steps for each task, however many groups there are.
func FillGroups(servers []Server, groups []Group, inputCost InputCost, waterFilled int) []Share {
	filler := newFiller(servers, inputCost)
	large := largest(groups, waterFilled)
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

// largest marks the n groups with the most tasks, the first ones among equals.
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
