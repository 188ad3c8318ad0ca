package controller

import (
	"cmp"
	"container/heap"
	"strings"
)

// candidate is a machine where room can be made, and what that costs.
type candidate struct {
	machine          *machineState
	leaving, victims []*allocation
	score            float64
}

// candidateHeap are the machines where room can be made for a job, cheapest first.
// They are looked at once for the job, not once for each of its tasks: a fleet
// of hundreds of machines and an array of hundreds of tasks would otherwise take
// the leader's whole processor. That is exact, since what is done on one machine
// makes no other one cheaper.
type candidateHeap []candidate

func (o candidateHeap) Len() int { return len(o) }

func (o candidateHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(o[a].score, o[b].score), strings.Compare(o[a].machine.Name, o[b].machine.Name)) < 0
}

func (o candidateHeap) Swap(a, b int) { o[a], o[b] = o[b], o[a] }

func (o *candidateHeap) Push(x any) { *o = append(*o, x.(candidate)) }

func (o *candidateHeap) Pop() any {
	last := len(*o) - 1
	x := (*o)[last]
	*o = (*o)[:last]
	return x
}

// candidateOn is what room for one task of a job costs on a machine.
func (s *Scheduler) candidateOn(job *jobState, machine *machineState) (candidate, bool) {
	if !s.eligible(job, machine) || !satisfiesSpread(job, machine) || len(job.inputs) > 0 && !s.hasStaged(job, machine) {
		return candidate{}, false
	}
	out, victims, ok := s.findVictims(job, machine)
	if !ok {
		return candidate{}, false
	}
	// Only machines that have a task's inputs are looked at.
	score := s.sharedStartCost(job, 0, machine).Image
	for _, alloc := range victims {
		score += float64(s.preemptionLoss(alloc)) / 1000
	}
	return candidate{machine, out, victims, score}, true
}

func (s *Scheduler) candidates(job *jobState, all []*machineState) *candidateHeap {
	o := &candidateHeap{}
	for _, machine := range all {
		if x, ok := s.candidateOn(job, machine); ok {
			*o = append(*o, x)
		}
	}
	heap.Init(o)
	return o
}

// bestCandidate takes the cheapest option that still stands. The caller puts the machine
// back once it has used it.
func (s *Scheduler) bestCandidate(job *jobState, o *candidateHeap) (candidate, bool) {
	for o.Len() > 0 {
		x := heap.Pop(o).(candidate)
		now, ok := s.candidateOn(job, x.machine)
		if !ok {
			continue
		}
		if now.score <= x.score || o.Len() == 0 || now.score <= (*o)[0].score {
			return now, true
		}
		heap.Push(o, now)
	}
	return candidate{}, false
}

// pushCandidate puts a machine back after its use.
func (s *Scheduler) pushCandidate(job *jobState, machine *machineState, o *candidateHeap) {
	if x, ok := s.candidateOn(job, machine); ok {
		heap.Push(o, x)
	}
}
