// Package placement assigns the tasks of a job to servers by water-filling, as in section III-B of "Data-Locality-Aware
// Task Assignment and Scheduling for Distributed Job Executions". Numbers in parentheses in its comments are the
// paper's equations, and b, mu and level are its symbols. Time is divided into slots of equal length: b is the number
// of slots until a server has finished the tasks in its queue, mu the number of tasks of the job that it finishes in a
// slot, and the level the slot by which the job's tasks are finished.
//
// The package has no locks, clock or I/O; its results depend on the arguments only.
package placement

import "math"

// Server is the state of a machine with respect to the tasks of one job.
type Server struct {
	// Busy is b: the number of slots until the tasks queued ahead of the job are finished.
	Busy int
	// Mu is how many of the job's tasks the machine finishes in a slot. A server whose Mu is zero takes no tasks.
	Mu float64
	// FreeCapacity is how many of the job's tasks the machine could start immediately.
	FreeCapacity int
}

// QueuedJob is the unfinished work of one job on a machine: the number of its tasks, of which the machine finishes Mu
// in a slot.
type QueuedJob struct {
	Tasks int
	Mu    float64
}

// Busy returns b of a machine with a queue by (2): the sum, over the queued jobs, of tasks divided by mu, each rounded
// up.
func Busy(queue []QueuedJob) int {
	b := 0
	for _, queued := range queue {
		if queued.Tasks > 0 && queued.Mu > 0 {
			b += ceil(float64(queued.Tasks) / queued.Mu)
		}
	}
	return b
}

// Mu returns how many tasks of a job a machine finishes in a slot if it runs concurrent of them at once; slotS and
// taskS are the durations of a slot and of a task in seconds. It returns zero if an argument is not positive.
func Mu(concurrent int, slotS, taskS float64) float64 {
	if concurrent <= 0 || slotS <= 0 || taskS <= 0 {
		return 0
	}
	return float64(concurrent) * slotS / taskS
}

// coveredTasks returns how many tasks the servers can finish by a level: the left side of (9).
func coveredTasks(servers []Server, level int) float64 {
	sum := 0.0
	for _, server := range servers {
		if level > server.Busy {
			sum += float64(level-server.Busy) * server.Mu
		}
	}
	return sum
}

// Level returns the least level by which the servers can finish a number of tasks, as in (9). It returns false if there
// is no such level because no server takes tasks.
func Level(servers []Server, tasks int) (level int, ok bool) {
	if tasks <= 0 {
		return 0, true
	}
	low, high, ok := levelBounds(servers, tasks)
	if !ok {
		return 0, false
	}
	for low < high {
		middle := low + (high-low)/2
		if coveredTasks(servers, middle) >= float64(tasks)-epsilon {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low, true
}

// levelBounds returns an inclusive lower and upper bound of the least level by which the servers can finish the tasks,
// and false if no server takes tasks.
func levelBounds(servers []Server, tasks int) (low, high int, ok bool) {
	low, high = math.MaxInt, math.MaxInt
	totalMu, work := 0.0, 0.0
	for _, server := range servers {
		if server.Mu <= 0 {
			continue
		}
		ok = true
		// This server alone finishes the tasks by this level, as in (5).
		high = min(high, server.Busy+ceil(float64(tasks)/server.Mu))
		// No server gets tasks at a level at or below its Busy.
		low = min(low, server.Busy+1)
		totalMu += server.Mu
		work += float64(server.Busy) * server.Mu
	}
	// All servers together finish the tasks by this level even if the tasks queued beyond the level counted against it,
	// which they do not.
	if combined := math.Ceil((float64(tasks)+work)/totalMu + epsilon); combined < float64(high) {
		high = max(low, int(combined))
	}
	return low, high, ok
}

// Fill assigns a number of tasks to the servers and returns how many each gets, or nil if no server takes tasks. Each
// server below the least level gets (level-b)*mu tasks, and the last of these servers gets the rest. Busy of every
// server is raised to the level, as in (10).
//
// A server that could start more tasks than that immediately (FreeCapacity) gets as many as it could start. Since a
// task lasts many slots, (level-b)*mu may be less than one task; a job of small tasks would then be scattered over as
// many servers as it has tasks, and none of these would have the resources for a large task.
func Fill(servers []Server, tasks int) []int {
	level, ok := Level(servers, tasks)
	if !ok {
		return nil
	}
	shares := make([]int, len(servers))
	last := -1
	left := tasks
	for i, server := range servers {
		if server.Busy >= level || server.Mu <= 0 {
			continue
		}
		last = i
		n := min(left, server.share(level))
		shares[i] = n
		left -= n
	}
	if last >= 0 {
		shares[last] += left
	}
	for i := range servers {
		servers[i].Busy = max(servers[i].Busy, level)
	}
	return shares
}

// share returns how many tasks a server below the level gets: (level-b)*mu, or as many as it can start immediately if
// that is more.
func (s Server) share(level int) int {
	return max(s.FreeCapacity, ceil(float64(level-s.Busy)*s.Mu))
}

// epsilon is the tolerance, in tasks or slots, for rounding errors in sums of fractions.
const epsilon = 1e-9

func ceil(x float64) int { return int(math.Ceil(x - epsilon)) }
