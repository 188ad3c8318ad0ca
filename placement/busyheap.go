package placement

import (
	"cmp"
	"container/heap"
)

// busyHeap is a heap of the servers that take tasks, ordered by ascending Busy, then by descending FreeCapacity, then
// by index. Its elements are fixed when it is made, so Push and Pop, which heap.Interface requires, are never called.
type busyHeap struct {
	servers []Server
	// order holds the indices of the servers in heap order.
	order []int32
	// positions holds, by server, its index in order, or -1 if the server takes no tasks.
	positions []int32
}

func newBusyHeap(servers []Server) *busyHeap {
	b := &busyHeap{servers: servers, positions: make([]int32, len(servers))}
	for i, server := range servers {
		b.positions[i] = -1
		if server.Mu > 0 {
			b.positions[i] = int32(len(b.order))
			b.order = append(b.order, int32(i))
		}
	}
	heap.Init(b)
	return b
}

// minimum returns the index of the first server, or -1 if there is none.
func (b *busyHeap) minimum() int {
	if len(b.order) == 0 {
		return -1
	}
	return int(b.order[0])
}

// fix restores the order after a server's Busy or FreeCapacity changed.
func (b *busyHeap) fix(server int) { heap.Fix(b, int(b.positions[server])) }

// Len implements heap.Interface.
func (b *busyHeap) Len() int { return len(b.order) }

// Less implements heap.Interface.
func (b *busyHeap) Less(x, y int) bool {
	p, q := b.servers[b.order[x]], b.servers[b.order[y]]
	return cmp.Or(cmp.Compare(p.Busy, q.Busy), cmp.Compare(q.FreeCapacity, p.FreeCapacity), cmp.Compare(b.order[x], b.order[y])) < 0
}

// Swap implements heap.Interface.
func (b *busyHeap) Swap(x, y int) {
	b.order[x], b.order[y] = b.order[y], b.order[x]
	b.positions[b.order[x]], b.positions[b.order[y]] = int32(x), int32(y)
}

// Push implements heap.Interface and does nothing.
func (b *busyHeap) Push(any) {}

// Pop implements heap.Interface and does nothing.
func (b *busyHeap) Pop() any { return nil }
