package placement

import "math"

// network is a flow network; maxFlow pushes flow along shortest paths (Dinic's algorithm).
type network struct {
	edges [][]edge
}

// edge leads to a node and has a residual capacity; back is the index of the reverse edge at that node.
type edge struct{ to, back, capacity int }

func (n *network) addEdge(from, to, capacity int) {
	n.edges[from] = append(n.edges[from], edge{to, len(n.edges[to]), capacity})
	n.edges[to] = append(n.edges[to], edge{from, len(n.edges[from]) - 1, 0})
}

func (n *network) maxFlow(source, sink int) (sum int) {
	for {
		distance := n.distances(source)
		if distance[sink] == 0 {
			return sum
		}
		next := make([]int, len(n.edges))
		for {
			pushed := n.push(source, sink, math.MaxInt, distance, next)
			if pushed == 0 {
				break
			}
			sum += pushed
		}
	}
}

// distances returns one plus the number of edges from the source to each node; 0: it is not reached.
func (n *network) distances(source int) []int {
	distance := make([]int, len(n.edges))
	distance[source] = 1
	for queue := []int{source}; len(queue) > 0; queue = queue[1:] {
		for _, e := range n.edges[queue[0]] {
			if e.capacity > 0 && distance[e.to] == 0 {
				distance[e.to] = distance[queue[0]] + 1
				queue = append(queue, e.to)
			}
		}
	}
	return distance
}

// push sends at most so much flow from a node to the sink on one path along growing distances, and returns how much.
// Next is, by node, the first edge that may lead on.
func (n *network) push(node, sink, limit int, distance, next []int) int {
	if node == sink {
		return limit
	}
	for ; next[node] < len(n.edges[node]); next[node]++ {
		e := &n.edges[node][next[node]]
		if e.capacity == 0 || distance[e.to] != distance[node]+1 {
			continue
		}
		if pushed := n.push(e.to, sink, min(limit, e.capacity), distance, next); pushed > 0 {
			e.capacity -= pushed
			n.edges[e.to][e.back].capacity += pushed
			return pushed
		}
	}
	return 0
}

// optimalLevel returns the least level at which a job's groups flow to their holders within (level-b)*mu tasks each, and
// the tasks of each server. Two groups may share a slot, which the paper's program (4) does not let them, so this is
// its exact optimum or below.
func optimalLevel(servers []Server, groups []Group) (level int, used []int) {
	all := 0
	low, high := 0, 0
	for _, g := range groups {
		all += len(g.Tasks)
		var holders []Server
		for _, i := range g.Holders {
			holders = append(holders, servers[i])
		}
		x, _ := Level(holders, len(g.Tasks)) // (6)
		low = max(low, x)
	}
	for _, server := range servers {
		high = max(high, server.Busy+ceil(float64(all)/server.Mu))
	}
	for low < high {
		middle := (low + high) / 2
		if _, ok := flowWithin(servers, groups, all, middle); ok {
			high = middle
		} else {
			low = middle + 1
		}
	}
	used, _ = flowWithin(servers, groups, all, low)
	return low, used
}

// flowWithin returns the tasks of each server if the groups flow to their holders within a level, and whether all tasks
// do.
func flowWithin(servers []Server, groups []Group, tasks, level int) (used []int, ok bool) {
	source, sink := len(groups)+len(servers), len(groups)+len(servers)+1
	flow := network{make([][]edge, sink+1)}
	for groupIndex := range groups {
		flow.addEdge(source, groupIndex, len(groups[groupIndex].Tasks))
		for _, holder := range groups[groupIndex].Holders {
			flow.addEdge(groupIndex, len(groups)+int(holder), tasks)
		}
	}
	for i, server := range servers {
		flow.addEdge(len(groups)+i, sink, int(float64(max(0, level-server.Busy))*server.Mu))
	}
	ok = flow.maxFlow(source, sink) == tasks
	used = make([]int, len(servers))
	for i := range servers {
		edges := flow.edges[len(groups)+i]
		toSink := edges[len(edges)-1]
		used[i] = flow.edges[sink][toSink.back].capacity
	}
	return used, ok
}
