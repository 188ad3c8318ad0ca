// Package placement assigns the tasks of a job to servers by water-filling, as in section III-B of "Data-Locality-Aware
// Task Assignment and Scheduling for Distributed Job Executions". Numbers in parentheses in its comments are the paper's
// equations, and b, mu and level are its symbols: b is the time in slots until a server has worked off what is queued,
// mu how many tasks of the job it finishes in a slot, and the level the time at which the job's tasks are finished.
//
// The package is pure: it takes numbers, returns numbers, and has no lock, clock or I/O.
package placement

import "math"

// Server is a machine as the tasks of one job see it.
type Server struct {
	// Busy is b: the slots until the queue ahead of the job is done.
	Busy int
	// Mu is how many of the job's tasks the machine finishes in a slot. A server with a Mu of zero takes no tasks.
	Mu float64
	// Free is how many of the job's tasks the machine could start at once.
	Free int
}

// Queued is what one job has outstanding on a machine: a number of tasks, of which the machine finishes Mu in a slot.
type Queued struct {
	Tasks int
	Mu    float64
}

// Busy returns b of a machine with such a queue by (2): the sum over the queued jobs of tasks by mu, each rounded up.
func Busy(queue []Queued) int {
	b := 0
	for _, queued := range queue {
		if queued.Tasks > 0 && queued.Mu > 0 {
			b += ceil(float64(queued.Tasks) / queued.Mu)
		}
	}
	return b
}

// Mu returns how many tasks of a job a machine finishes in a slot, if it runs so many of them at once and a slot and a
// task last so many seconds. It is zero if any of these is not positive.
func Mu(concurrent int, slotS, taskS float64) float64 {
	if concurrent <= 0 || slotS <= 0 || taskS <= 0 {
		return 0
	}
	return float64(concurrent) * slotS / taskS
}

// coveredTasks returns how many tasks the servers finish up to a level: the left side of (9).
func coveredTasks(servers []Server, level int) float64 {
	sum := 0.0
	for _, server := range servers {
		if level > server.Busy {
			sum += float64(level-server.Busy) * server.Mu
		}
	}
	return sum
}

// Level returns the least level at which the servers cover a number of tasks by (9), found by binary search. It returns
// false if no level does, as no server takes tasks.
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

// levelBounds returns levels between which, both included, the least one that covers the tasks lies, and false if no
// server takes tasks.
func levelBounds(servers []Server, tasks int) (low, high int, ok bool) {
	low, high = math.MaxInt, math.MaxInt
	totalMu, work := 0.0, 0.0
	for _, server := range servers {
		if server.Mu <= 0 {
			continue
		}
		ok = true
		// This server alone covers the tasks at this level, as in (5).
		high = min(high, server.Busy+ceil(float64(tasks)/server.Mu))
		// Below its queue no server takes any.
		low = min(low, server.Busy+1)
		totalMu += server.Mu
		work += float64(server.Busy) * server.Mu
	}
	// All servers together cover the tasks at this level even if each of them also has to catch up on a queue that is
	// longer than the level, which none has to.
	if combined := math.Ceil((float64(tasks)+work)/totalMu + epsilon); combined < float64(high) {
		high = max(low, int(combined))
	}
	return low, high, ok
}

// Fill assigns a number of tasks to the servers and returns how many each gets, or nil if no server takes tasks. Each
// server below the least level gets (level-b)*mu of them, and the last of these the rest; Busy of every server is raised
// to the level (10).
//
// A server that could start more than that at once (Free) gets as many as it can start. A task lasts many slots, so
// shares of a fraction of a task would scatter a job of small tasks over as many servers, none of which would then have
// the resources for a large task.
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

// share returns how many tasks a server gets that is below the level: (level-b)*mu, or as many as it can start at once.
func (s Server) share(level int) int {
	return max(s.Free, ceil(float64(level-s.Busy)*s.Mu))
}

// epsilon absorbs rounding in sums of fractions of tasks.
const epsilon = 1e-9

func ceil(x float64) int { return int(math.Ceil(x - epsilon)) }
