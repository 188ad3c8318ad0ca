package placement

import "math"

// network is a flow network, given as the edges from each node. Its maximum flow is computed with Dinic's algorithm.
type network struct {
	edges [][]edge
}

// edge is an edge to a node with its residual capacity; back is the index of the reverse edge at that node.
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

// distances returns, by node, one plus the least number of edges from the source to it, or 0 if it is not reachable.
func (n *network) distances(source int) []int {
	distance := make([]int, len(n.edges))
	distance[source] = 1
	for queue := []int{source}; len(queue) > 0; queue = queue[1:] {
		for _, edge := range n.edges[queue[0]] {
			if edge.capacity > 0 && distance[edge.to] == 0 {
				distance[edge.to] = distance[queue[0]] + 1
				queue = append(queue, edge.to)
			}
		}
	}
	return distance
}

// push sends flow up to a limit from a node to the sink along one shortest path, and returns its amount. Next holds, by
// node, the index of the first edge that may still lie on such a path.
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

// optimalLevel returns the least level at which all tasks of a job's groups can be assigned to holders with at most
// (level-b)*mu tasks for each server, and how many tasks each server then gets. Groups may share a slot of a server,
// which the paper's program (4) does not allow, so the result is at most the exact optimum of that program.
func optimalLevel(servers []Server, groups []Group) (level int, tasksByServer []int) {
	tasks := 0
	low, high := 0, 0
	for _, group := range groups {
		tasks += len(group.Tasks)
		var holders []Server
		for _, i := range group.Holders {
			holders = append(holders, servers[i])
		}
		groupLevel, _ := Level(holders, len(group.Tasks)) // (6)
		low = max(low, groupLevel)
	}
	for _, server := range servers {
		high = max(high, server.Busy+ceil(float64(tasks)/server.Mu))
	}
	for low < high {
		middle := (low + high) / 2
		if _, ok := flowWithin(servers, groups, tasks, middle); ok {
			high = middle
		} else {
			low = middle + 1
		}
	}
	tasksByServer, _ = flowWithin(servers, groups, tasks, low)
	return low, tasksByServer
}

// flowWithin assigns as many of the groups' tasks as possible to holders within a level, as a maximum flow. It returns
// how many tasks each server gets, and whether all tasks are assigned.
func flowWithin(servers []Server, groups []Group, tasks, level int) (tasksByServer []int, ok bool) {
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
	tasksByServer = make([]int, len(servers))
	for i := range servers {
		edges := flow.edges[len(groups)+i]
		toSink := edges[len(edges)-1]
		tasksByServer[i] = flow.edges[sink][toSink.back].capacity
	}
	return tasksByServer, ok
}
