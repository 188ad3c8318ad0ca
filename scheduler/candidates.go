package scheduler

import (
	"cmp"
	"container/heap"
	"strings"
)

// candidate is a machine on which one task of a job can start, if necessary by preemption.
type candidate struct {
	machine *machineState
	// stopping are the allocations that are already being stopped, victims those that would be preempted.
	stopping, victims []*allocation
	// score is the cost of the start. All candidates of one search use the same unit.
	score float64
}

// candidateHeap is a heap (container/heap) of the machines on which tasks of one job can start, cheapest first. The
// fleet is searched once per job instead of once per task: with hundreds of machines and an array of hundreds of tasks,
// a search per task would saturate the leader's CPU. The result is still exact, because a start on one machine never
// lowers the cost of another.
type candidateHeap []candidate

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h candidateHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(h[a].score, h[b].score), strings.Compare(h[a].machine.Name, h[b].machine.Name)) < 0
}

// Swap implements heap.Interface.
func (h candidateHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(x any) {
	*h = append(*h, x.(candidate)) //nolint:forcetypeassert // container/heap passes what was pushed
}

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// candidateOn returns a machine as a candidate for one task of a job, with the cost of the start. It returns false if no
// task of the job can start there or, for a job with inputs, if no queued task has its inputs staged there.
// s.mu must be held.
func (s *Scheduler) candidateOn(job *jobState, machine *machineState) (candidate, bool) {
	if !s.eligible(job, machine) || !satisfiesSpread(job, machine) || len(job.inputs) > 0 && !s.hasStaged(job, machine) {
		return candidate{}, false
	}
	stopping, victims, ok := s.findVictims(job, machine)
	if !ok {
		return candidate{}, false
	}
	// Inputs add no cost, because they are already staged.
	score := s.sharedStartCost(job, 0, machine).Image
	for _, alloc := range victims {
		score += float64(s.preemptionLoss(alloc)) / 1000
	}
	return candidate{machine, stopping, victims, score}, true
}

// candidates returns a heap of the machines on which a task of a job can start. s.mu must be held.
func (s *Scheduler) candidates(job *jobState, machines []*machineState) *candidateHeap {
	candidates := &candidateHeap{}
	for _, machine := range machines {
		if found, ok := s.candidateOn(job, machine); ok {
			*candidates = append(*candidates, found)
		}
	}
	heap.Init(candidates)
	return candidates
}

// bestCandidate removes the candidate with the lowest current score from the heap and returns it, or false if none is
// left. Scores in the heap may be stale, so they are recomputed. After a start the caller must call pushCandidate to put
// the machine back. s.mu must be held.
func (s *Scheduler) bestCandidate(job *jobState, candidates *candidateHeap) (candidate, bool) {
	for candidates.Len() > 0 {
		stale := heap.Pop(candidates).(candidate) //nolint:forcetypeassert // the heap holds nothing else
		current, ok := s.candidateOn(job, stale.machine)
		if !ok {
			continue
		}
		if current.score <= stale.score || candidates.Len() == 0 || current.score <= (*candidates)[0].score {
			return current, true
		}
		heap.Push(candidates, current)
	}
	return candidate{}, false
}

// pushCandidate puts a machine back into the heap if one more task of the job can start there. s.mu must be held.
func (s *Scheduler) pushCandidate(job *jobState, machine *machineState, candidates *candidateHeap) {
	if found, ok := s.candidateOn(job, machine); ok {
		heap.Push(candidates, found)
	}
}
