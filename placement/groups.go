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
	var out []Group
	for _, x := range all {
		if n := len(out); n == 0 || !slices.Equal(out[n-1].Holders, x.holders) {
			out = append(out, Group{Holders: x.holders})
		}
		g := &out[len(out)-1]
		g.Tasks = append(g.Tasks, x.task)
	}
	return out
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
// least level and gives each server below it (level-b)*mu tasks. Servers that hold not
// all inputs take part with b raised by what the missing ones cost; a nil extra leaves
// them out, as in equation (1). Servers' Busy and Now are updated as in (10), but for one
// that must get inputs first only by the work that it gets: while bytes come in, it can
// serve other tasks.
//
// The largest `most` groups are filled so, each in one or two passes over the servers. The
// tasks of all others are placed one by one, each a group of its own: on the holder where
// the level is least, or on the least busy server if that is sooner. So a decision takes
// at most `most` passes, and a few steps for each task, however many groups there are.
//
// Tasks that no server can take are left out.
func FillGroups(servers []Server, groups []Group, extra InputCost, most int) []Share {
	n := len(servers)
	f := filler{servers: servers, extra: extra, part: make([]Server, 0, n), of: make([]int32, 0, n), hold: make([]bool, 0, n), order: make([]int32, 0, n)}
	large := make([]bool, len(groups))
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(groups[b].Tasks), len(groups[a].Tasks)) })
	for _, i := range order[:min(most, len(order))] {
		large[i] = true
	}
	for i := range groups {
		if large[i] {
			f.fill(i, &groups[i])
		}
	}
	for i := range groups {
		if !large[i] {
			f.single(i, &groups[i])
		}
	}
	return f.out
}

type filler struct {
	servers []Server
	extra   InputCost
	out     []Share
	// part, of and hold are scratch: the servers that take part in a group, which
	// ones they are, and which of them hold the inputs.
	part []Server
	of   []int32
	hold []bool
	// order are those of them that get tasks, the least busy first.
	order []int32
	idle  *byBusy
}

// fill water-fills one group.
func (f *filler) fill(g int, group *Group) {
	part, of, hold := f.part[:0], f.of[:0], f.hold[:0]
	for _, i := range group.Holders {
		if f.servers[i].Mu > 0 {
			part, of, hold = append(part, f.servers[i]), append(of, i), append(hold, true)
		}
	}
	n := len(group.Tasks)
	level, ok := Level(part, n)
	if f.extra != nil && (!ok || f.leastBusy()+f.extra.Least(g) < level) {
		holders, rate := group.Holders, f.extra.Rate(g)
		for i, s := range f.servers {
			for len(holders) > 0 && int(holders[0]) < i {
				holders = holders[1:]
			}
			if s.Mu <= 0 || len(holders) > 0 && int(holders[0]) == i || ok && s.Busy+1 >= level {
				continue
			}
			// Its link brings the inputs of one task after the other: it has room for
			// one at once, however many processors are idle.
			s.Busy, s.Mu, s.Free = s.Busy+f.extra.Slots(g, i), min(s.Mu, rate), min(s.Free, 1)
			if !ok || s.Busy < level {
				part, of, hold = append(part, s), append(of, int32(i)), append(hold, false)
			}
		}
		level, ok = Level(part, n)
	}
	f.part, f.of, f.hold, f.idle = part, of, hold, nil
	if !ok {
		return
	}
	order, sorted := f.order[:0], true
	for i, s := range part {
		if s.Busy < level {
			sorted = sorted && (len(order) == 0 || part[order[len(order)-1]].Busy <= s.Busy)
			order = append(order, int32(i))
		}
	}
	if f.order = order; !sorted {
		slices.SortFunc(order, func(a, b int32) int { return cmp.Or(cmp.Compare(part[a].Busy, part[b].Busy), cmp.Compare(a, b)) })
	}
	tasks := group.Tasks
	for at, i := range order {
		if len(tasks) == 0 {
			break
		}
		s := part[i]
		n := min(len(tasks), max(s.Free, ceil(float64(level-s.Busy)*s.Mu)))
		if at == len(order)-1 {
			n = len(tasks)
		}
		to := &f.servers[of[i]]
		if hold[i] {
			to.Busy = max(to.Busy, level)
		} else {
			to.Busy += ceil(float64(n) / to.Mu)
			f.extra.Took(g, int(of[i]), n)
		}
		to.Free = max(0, to.Free-n)
		f.out = append(f.out, Share{int(of[i]), tasks[:n:n]})
		tasks = tasks[n:]
	}
}

func (f *filler) leastBusy() int {
	least := int(^uint(0) >> 1)
	for _, s := range f.servers {
		if s.Mu > 0 {
			least = min(least, s.Busy)
		}
	}
	return least
}

// single places the tasks of a small group one by one.
func (f *filler) single(g int, group *Group) {
	for i := range group.Tasks {
		best, level := -1, 0
		better := func(i, extra int) {
			s := f.servers[i]
			if s.Mu <= 0 {
				return
			}
			l := s.Busy + extra + ceil(1/s.Mu)
			if best < 0 || l < level || l == level && s.Free > f.servers[best].Free {
				best, level = i, l
			}
		}
		for _, i := range group.Holders {
			better(int(i), 0)
		}
		if f.extra != nil {
			if f.idle == nil {
				f.idle = newByBusy(f.servers)
			}
			if least := f.idle.least(); least >= 0 && (best < 0 || f.servers[least].Busy+f.extra.Least(g) < level) {
				better(least, f.extra.Slots(g, least))
			}
		}
		if best < 0 {
			continue
		}
		s := &f.servers[best]
		s.Busy += ceil(1 / s.Mu)
		s.Free = max(0, s.Free-1)
		if f.idle != nil {
			f.idle.raised(best)
		}
		if _, holds := slices.BinarySearch(group.Holders, int32(best)); !holds {
			f.extra.Took(g, best, 1)
		}
		f.out = append(f.out, Share{best, group.Tasks[i : i+1 : i+1]})
	}
}

// byBusy keeps servers in a heap, the least busy first, those with room first among them.
type byBusy struct {
	servers []Server
	heap    []int32
	at      []int32
}

func newByBusy(servers []Server) *byBusy {
	b := &byBusy{servers: servers, at: make([]int32, len(servers))}
	for i, s := range servers {
		b.at[i] = -1
		if s.Mu > 0 {
			b.at[i] = int32(len(b.heap))
			b.heap = append(b.heap, int32(i))
		}
	}
	heap.Init(b)
	return b
}

func (b *byBusy) least() int {
	if len(b.heap) == 0 {
		return -1
	}
	return int(b.heap[0])
}

func (b *byBusy) raised(i int) { heap.Fix(b, int(b.at[i])) }

func (b *byBusy) Len() int { return len(b.heap) }
func (b *byBusy) Less(x, y int) bool {
	p, q := b.servers[b.heap[x]], b.servers[b.heap[y]]
	return cmp.Or(cmp.Compare(p.Busy, q.Busy), cmp.Compare(q.Free, p.Free), cmp.Compare(b.heap[x], b.heap[y])) < 0
}
func (b *byBusy) Swap(x, y int) {
	b.heap[x], b.heap[y] = b.heap[y], b.heap[x]
	b.at[b.heap[x]], b.at[b.heap[y]] = int32(x), int32(y)
}
func (b *byBusy) Push(any) {}
func (b *byBusy) Pop() any { return nil }
