package scheduler

import (
	"cmp"
	"container/heap"
	"strings"
)

// candidate is a machine on which one task of a job can start, by preemption if need be.
type candidate struct {
	machine *machineState
	// leaving are allocations that are being stopped already, victims those that would be.
	leaving, victims []*allocation
	// score is what the start costs; the candidates of one search have it in one unit.
	score float64
}

// candidateHeap is a heap (container/heap) of the machines on which tasks of one job can start, cheapest first. The
// fleet is searched once for the job, not once for each of its tasks: a fleet of hundreds of machines and an array of
// hundreds of tasks would otherwise take the leader's whole processor. That is exact, since what is done on one
// machine makes no other one cheaper.
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

// candidateOn returns what the start of one task of a job costs on a machine; false if none can start there, or, for a
// job with inputs, if none is staged there. s.mu must be held.
func (s *Scheduler) candidateOn(job *jobState, machine *machineState) (candidate, bool) {
	if !s.eligible(job, machine) || !satisfiesSpread(job, machine) || len(job.inputs) > 0 && !s.hasStaged(job, machine) {
		return candidate{}, false
	}
	leaving, victims, ok := s.findVictims(job, machine)
	if !ok {
		return candidate{}, false
	}
	// Inputs cost nothing here: they are staged.
	score := s.sharedStartCost(job, 0, machine).Image
	for _, alloc := range victims {
		score += float64(s.preemptionLoss(alloc)) / 1000
	}
	return candidate{machine, leaving, victims, score}, true
}

// candidates returns the machines on which a task of a job can start. s.mu must be held.
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

// bestCandidate removes and returns the cheapest machine as things are now; false if none is left. The caller puts it
// back by pushCandidate once it has used it. s.mu must be held.
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

// pushCandidate puts a machine back after its use, if one more task can start there. s.mu must be held.
func (s *Scheduler) pushCandidate(job *jobState, machine *machineState, candidates *candidateHeap) {
	if found, ok := s.candidateOn(job, machine); ok {
		heap.Push(candidates, found)
	}
}
