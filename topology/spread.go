package topology

// Spread counts the tasks of a job by failure domain at a level. Every task that may still run must be counted until it
// is known to have ended, including tasks on machines that send no heartbeats and tasks that are being stopped. A
// Spread is not safe for concurrent use.
type Spread struct {
	tree    *Tree
	level   string
	tasksAt map[Place]int
	total   int
}

// NewSpread returns a Spread without tasks at a level.
func (t *Tree) NewSpread(level string) *Spread {
	return &Spread{tree: t, level: level, tasksAt: map[Place]int{}}
}

// Add adds a task on a machine.
func (s *Spread) Add(machine string) {
	s.tasksAt[s.tree.Place(machine, s.level)]++
	s.total++
}

// Remove removes a task that was added for a machine and is known to have ended.
func (s *Spread) Remove(machine string) {
	place := s.tree.Place(machine, s.level)
	if s.tasksAt[place]--; s.tasksAt[place] <= 0 {
		delete(s.tasksAt, place)
	}
	s.total--
}

// CountAt returns how many tasks are in the failure domain of a machine.
func (s *Spread) CountAt(machine string) int { return s.tasksAt[s.tree.Place(machine, s.level)] }

// Allows reports whether one more task may run on a machine if at most bound tasks may run in one failure domain.
func (s *Spread) Allows(machine string, bound int) bool { return s.CountAt(machine) < bound }
