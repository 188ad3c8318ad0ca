package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// Group is the tasks of one job whose inputs the same machines hold (equation (3)).
type Group struct {
	Tasks []int32
	// Holders are the servers, by index and in order, that hold all inputs of the
	// group's tasks (equation (1)).
	Holders []int32
}

// Groups sorts tasks into groups by their holders, given in order for each task. Groups
// with the fewest holders come first: they have the least choice, and the bad case of the
// paper's theorem 1 is the other way round.
func Groups(tasks []int32, holders func(task int32) []int32) []Group {
	type one struct {
		task    int32
		holders []int32
	}
	all := make([]one, len(tasks))
	for i, t := range tasks {
		all[i] = one{t, holders(t)}
	}
	slices.SortFunc(all, func(a, b one) int {
		return cmp.Or(cmp.Compare(len(a.holders), len(b.holders)), slices.Compare(a.holders, b.holders),
			cmp.Compare(a.task, b.task))
	})
	var groups []Group
	for _, x := range all {
		if n := len(groups); n == 0 || !slices.Equal(groups[n-1].Holders, x.holders) {
			groups = append(groups, Group{Holders: x.holders})
		}
		g := &groups[len(groups)-1]
		g.Tasks = append(g.Tasks, x.task)
	}
	return groups
}

// InputCost tells what missing inputs cost; groups and servers are given by index. Slots are
// what a server needs to get what it lacks for one task of a group, Least a lower bound of
// that over all servers that do not hold everything. Rate is for how many tasks of a group,
// whose inputs may all differ, a server gets them in a slot. Took is told that a server was
// given tasks for which it must get them.
type InputCost interface {
	Slots(group, server int) int
	Least(group int) int
	Rate(group int) float64
	Took(group, server, tasks int)
}

// Share is the tasks of one group that a server gets.
type Share struct {
	Server int
	Tasks  []int32
}

// FillGroups is Algorithm 2 for a job of several groups: group after group it finds the
// minimum level and gives each server below it (level-b)*mu tasks. Servers that hold not
// all inputs take part with b raised by what the missing ones cost; a nil extra leaves
// them out, as in equation (1). Servers' Busy and Now are updated as in (10), but for one
// that must get inputs first only by the work that it gets: while bytes come in, it can
// serve other tasks.
//
// The largest `most` groups are filled so, each in one or two passes over the servers. The
// tasks of all others are placed one by one, each a group of its own: on the holder where
// the level is least, or on the least busy server if that is sooner. So a decision takes
// positions most `most` passes, and a few steps for each task, however many groups there are.
//
// Tasks that no server can take are left out.
func FillGroups(servers []Server, groups []Group, inputCost InputCost, waterFilled int) []Share {
	n := len(servers)
	f := filler{servers: servers, inputCost: inputCost, participants: make([]Server, 0, n), indices: make([]int32, 0, n), holdsInputs: make([]bool, 0, n), byLoad: make([]int32, 0, n)}
	large := make([]bool, len(groups))
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(groups[b].Tasks), len(groups[a].Tasks)) })
	for _, i := range order[:min(waterFilled, len(order))] {
		large[i] = true
	}
	for i := range groups {
		if large[i] {
			f.waterFill(i, &groups[i])
		}
	}
	for i := range groups {
		if !large[i] {
			f.placeSingly(i, &groups[i])
		}
	}
	return f.shares
}

type filler struct {
	servers   []Server
	inputCost InputCost
	shares    []Share
	// participants, of and hold are scratch: the servers that take part in a group, which
	// ones they are, and which of them hold the inputs.
	participants []Server
	indices      []int32
	holdsInputs  []bool
	// byLoad are those of them that get tasks, the least busy first.
	byLoad      []int32
	leastLoaded *busyHeap
}

// waterFill water-fills one group.
func (f *filler) waterFill(g int, group *Group) {
	participants, indices, holdsInputs := f.participants[:0], f.indices[:0], f.holdsInputs[:0]
	for _, i := range group.Holders {
		if f.servers[i].Mu > 0 {
			participants, indices, holdsInputs = append(participants, f.servers[i]), append(indices, i), append(holdsInputs, true)
		}
	}
	n := len(group.Tasks)
	level, ok := Level(participants, n)
	if f.inputCost != nil && (!ok || f.minBusy()+f.inputCost.Least(g) < level) {
		holders, rate := group.Holders, f.inputCost.Rate(g)
		for i, s := range f.servers {
			for len(holders) > 0 && int(holders[0]) < i {
				holders = holders[1:]
			}
			if s.Mu <= 0 || len(holders) > 0 && int(holders[0]) == i || ok && s.Busy+1 >= level {
				continue
			}
			// Its link brings the inputs of one task after the other: it has room for
			// one at once, however many processors are idle.
			s.Busy, s.Mu, s.Free = s.Busy+f.inputCost.Slots(g, i), min(s.Mu, rate), min(s.Free, 1)
			if !ok || s.Busy < level {
				participants, indices, holdsInputs = append(participants, s), append(indices, int32(i)), append(holdsInputs, false)
			}
		}
		level, ok = Level(participants, n)
	}
	f.participants, f.indices, f.holdsInputs, f.leastLoaded = participants, indices, holdsInputs, nil
	if !ok {
		return
	}
	order, sorted := f.byLoad[:0], true
	for i, s := range participants {
		if s.Busy < level {
			sorted = sorted && (len(order) == 0 || participants[order[len(order)-1]].Busy <= s.Busy)
			order = append(order, int32(i))
		}
	}
	if f.byLoad = order; !sorted {
		slices.SortFunc(order, func(a, b int32) int {
			return cmp.Or(cmp.Compare(participants[a].Busy, participants[b].Busy), cmp.Compare(a, b))
		})
	}
	tasks := group.Tasks
	for at, i := range order {
		if len(tasks) == 0 {
			break
		}
		s := participants[i]
		n := min(len(tasks), max(s.Free, ceil(float64(level-s.Busy)*s.Mu)))
		if at == len(order)-1 {
			n = len(tasks)
		}
		server := &f.servers[indices[i]]
		if holdsInputs[i] {
			server.Busy = max(server.Busy, level)
		} else {
			server.Busy += ceil(float64(n) / server.Mu)
			f.inputCost.Took(g, int(indices[i]), n)
		}
		server.Free = max(0, server.Free-n)
		f.shares = append(f.shares, Share{int(indices[i]), tasks[:n:n]})
		tasks = tasks[n:]
	}
}

func (f *filler) minBusy() int {
	least := int(^uint(0) >> 1)
	for _, s := range f.servers {
		if s.Mu > 0 {
			least = min(least, s.Busy)
		}
	}
	return least
}

// placeSingly places the tasks of a small group one by one.
func (f *filler) placeSingly(g int, group *Group) {
	for i := range group.Tasks {
		chosen, level := -1, 0
		consider := func(i, extra int) {
			s := f.servers[i]
			if s.Mu <= 0 {
				return
			}
			l := s.Busy + extra + ceil(1/s.Mu)
			if chosen < 0 || l < level || l == level && s.Free > f.servers[chosen].Free {
				chosen, level = i, l
			}
		}
		for _, i := range group.Holders {
			consider(int(i), 0)
		}
		if f.inputCost != nil {
			if f.leastLoaded == nil {
				f.leastLoaded = newBusyHeap(f.servers)
			}
			if least := f.leastLoaded.minimum(); least >= 0 && (chosen < 0 || f.servers[least].Busy+f.inputCost.Least(g) < level) {
				consider(least, f.inputCost.Slots(g, least))
			}
		}
		if chosen < 0 {
			continue
		}
		s := &f.servers[chosen]
		s.Busy += ceil(1 / s.Mu)
		s.Free = max(0, s.Free-1)
		if f.leastLoaded != nil {
			f.leastLoaded.fix(chosen)
		}
		if _, holds := slices.BinarySearch(group.Holders, int32(chosen)); !holds {
			f.inputCost.Took(g, chosen, 1)
		}
		f.shares = append(f.shares, Share{chosen, group.Tasks[i : i+1 : i+1]})
	}
}

// busyHeap keeps servers in a heap, the least busy first, those with room first among them.
type busyHeap struct {
	servers   []Server
	order     []int32
	positions []int32
}

func newBusyHeap(servers []Server) *busyHeap {
	b := &busyHeap{servers: servers, positions: make([]int32, len(servers))}
	for i, s := range servers {
		b.positions[i] = -1
		if s.Mu > 0 {
			b.positions[i] = int32(len(b.order))
			b.order = append(b.order, int32(i))
		}
	}
	heap.Init(b)
	return b
}

func (b *busyHeap) minimum() int {
	if len(b.order) == 0 {
		return -1
	}
	return int(b.order[0])
}

func (b *busyHeap) fix(i int) { heap.Fix(b, int(b.positions[i])) }

func (b *busyHeap) Len() int { return len(b.order) }
func (b *busyHeap) Less(x, y int) bool {
	p, q := b.servers[b.order[x]], b.servers[b.order[y]]
	return cmp.Or(cmp.Compare(p.Busy, q.Busy), cmp.Compare(q.Free, p.Free), cmp.Compare(b.order[x], b.order[y])) < 0
}
func (b *busyHeap) Swap(x, y int) {
	b.order[x], b.order[y] = b.order[y], b.order[x]
	b.positions[b.order[x]], b.positions[b.order[y]] = int32(x), int32(y)
}
func (b *busyHeap) Push(any) {}
func (b *busyHeap) Pop() any { return nil }
