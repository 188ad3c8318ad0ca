package fake

import "iter"

// Placements records all machines on which each task runs, so that a task on two machines at once is detected. M
// identifies a machine. It is created like a map and is not safe for concurrent use.
type Placements[M comparable] map[string]map[M]bool

// Start records that a machine starts a task. It returns the other machines that run the task, of which the protocol
// allows none, and whether this machine was already running it.
func (p Placements[M]) Start(task string, machine M) (otherMachines []M, alreadyRunning bool) {
	if p[task] == nil {
		p[task] = map[M]bool{}
	}
	for other := range p[task] {
		if other != machine {
			otherMachines = append(otherMachines, other)
		}
	}
	alreadyRunning = p[task][machine]
	p[task][machine] = true
	return otherMachines, alreadyRunning
}

// End records that a task no longer runs on a machine, and reports whether it ran there.
func (p Placements[M]) End(task string, machine M) bool {
	ran := p[task][machine]
	delete(p[task], machine)
	if len(p[task]) == 0 {
		delete(p, task)
	}
	return ran
}

// All yields each task with each machine on which it runs, in no order.
func (p Placements[M]) All() iter.Seq2[string, M] {
	return func(yield func(string, M) bool) {
		for task, machines := range p {
			for machine := range machines {
				if !yield(task, machine) {
					return
				}
			}
		}
	}
}
