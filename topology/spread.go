package topology

// TaskCounts counts the tasks of a job by failure domain at a level. Every task that may still run must be counted
// until it is known to have ended, including tasks on machines that send no heartbeats and tasks that are being
// stopped. A TaskCounts is not safe for concurrent use.
type TaskCounts struct {
	tree    *Tree
	level   string
	tasksAt map[FailureDomain]int
	total   int
}

// NewTaskCounts returns a TaskCounts without tasks at a level.
func (t *Tree) NewTaskCounts(level string) *TaskCounts {
	return &TaskCounts{tree: t, level: level, tasksAt: map[FailureDomain]int{}}
}

// Add adds a task on a machine.
func (s *TaskCounts) Add(machine string) {
	s.tasksAt[s.tree.FailureDomain(machine, s.level)]++
	s.total++
}

// Remove removes a task that was added for a machine and is known to have ended.
func (s *TaskCounts) Remove(machine string) {
	failureDomain := s.tree.FailureDomain(machine, s.level)
	if s.tasksAt[failureDomain]--; s.tasksAt[failureDomain] <= 0 {
		delete(s.tasksAt, failureDomain)
	}
	s.total--
}

// CountAt returns how many tasks are in the failure domain of a machine.
func (s *TaskCounts) CountAt(machine string) int {
	return s.tasksAt[s.tree.FailureDomain(machine, s.level)]
}

// Allows reports whether one more task may run on a machine if at most limit tasks may run in one failure domain.
func (s *TaskCounts) Allows(machine string, limit int) bool { return s.CountAt(machine) < limit }
