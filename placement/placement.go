// Package placement is the water-filling of "Data-Locality-Aware Task
// Assignment and Scheduling for Distributed Job Executions", section III-B.
// It is pure: numbers in, numbers out.
package placement

import "math"

// Server is a machine as one group of a job's tasks sees it.
type Server struct {
	// Busy is b: the slots until the queue ahead of this job is done.
	Busy int
	// Mu is how many of the job's tasks the machine finishes in a slot.
	Mu float64
	// Free is how many of the job's tasks it has room for at once.
	Free int
}

// Queued is what one job has outstanding on a machine.
type Queued struct {
	Tasks int
	Mu    float64
}

// Busy is equation (2): the sum over the queued jobs of tasks by mu, rounded up.
func Busy(queue []Queued) int {
	b := 0
	for _, queued := range queue {
		if queued.Tasks > 0 && queued.Mu > 0 {
			b += ceil(float64(queued.Tasks) / queued.Mu)
		}
	}
	return b
}

// Mu is the tasks of one job that a machine with room for `room` of them at
// once finishes in a slot.
func Mu(concurrent int, slotS, taskS float64) float64 {
	if concurrent <= 0 || slotS <= 0 || taskS <= 0 {
		return 0
	}
	return float64(concurrent) * slotS / taskS
}

// coveredTasks is the left side of condition (9) at a level.
func coveredTasks(servers []Server, level int) float64 {
	sum := 0.0
	for _, s := range servers {
		if level > s.Busy {
			sum += float64(level-s.Busy) * s.Mu
		}
	}
	return sum
}

// Level is the least integer level at which the servers cover the tasks, found
// by binary search; false if no level does.
func Level(servers []Server, tasks int) (int, bool) {
	if tasks <= 0 {
		return 0, true
	}
	low, high, ok := math.MaxInt, 0, false
	mu, work := 0.0, 0.0
	for _, s := range servers {
		if s.Mu > 0 {
			// This server alone covers the tasks here, as in (5).
			bound := s.Busy + ceil(float64(tasks)/s.Mu)
			if !ok || bound < high {
				high = bound
			}
			ok = true
			// Below its queue no server takes any.
			low = min(low, s.Busy+1)
			mu += s.Mu
			work += float64(s.Busy) * s.Mu
		}
	}
	// All together cover them where they would if each began at this level with a debt
	// indices what it is short of b, which some do not have.
	if combined := math.Ceil((float64(tasks)+work)/mu + epsilon); combined < float64(high) {
		high = max(low, int(combined))
	}
	if !ok {
		return 0, false
	}
	for low < high {
		mid := low + (high-low)/2
		if coveredTasks(servers, mid) >= float64(tasks)-epsilon {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low, true
}

// Fill gives each server below the level (level-b)*mu tasks, and the last
// taking part the rest, and raises b to the level, as in (10). A server with room
// for more at once takes them: a task lasts many slots, so that shares of one
// task would scatter a job of small tasks over as many servers, each of which
// then has no room for a large one. It returns the tasks of each server, or nil
// if none can take them.
func Fill(servers []Server, tasks int) []int {
	level, ok := Level(servers, tasks)
	if !ok {
		return nil
	}
	shares := make([]int, len(servers))
	last := -1
	left := tasks
	for i, s := range servers {
		if s.Busy >= level || s.Mu <= 0 {
			continue
		}
		last = i
		n := min(left, max(s.Free, ceil(float64(level-s.Busy)*s.Mu)))
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

const epsilon = 1e-9

func ceil(x float64) int { return int(math.Ceil(x - epsilon)) }
