package scheduler

import (
	"switchferry/store"
)

// markShardDirty stores the record of a task's shard.
func (s *Scheduler) markShardDirty(job *jobState, task int, after func()) {
	s.hooks.MarkDirty(s.shardKey(job, task), job.urgency(), after)
}

// shardKey is the key of a task's record, which is to be written.
func (s *Scheduler) shardKey(job *jobState, task int) string {
	s.reshard(job)
	shard := store.ShardOf(job.id, task, s.tasksPerShard)
	job.shards[shard] = true
	return shard.Key()
}

// reshard writes what a job has in records of another size into such of the size that is
// written now, and then deletes those: which of them a crash leaves behind makes no difference.
func (s *Scheduler) reshard(job *jobState) {
	var old []store.Shard
	for shard := range job.shards {
		if shard.Size != s.tasksPerShard {
			old = append(old, shard)
		}
	}
	if len(old) == 0 || job.resharding {
		return
	}
	job.resharding = true
	fresh := map[store.Shard]bool{}
	for t := range job.taskCount {
		if job.completed.Has(t) || job.allocations[t] != nil {
			fresh[store.ShardOf(job.id, t, s.tasksPerShard)] = true
		}
	}
	left := len(fresh) + 1
	stored := func() {
		if left--; left > 0 {
			return
		}
		job.resharding = false
		for _, shard := range old {
			delete(job.shards, shard)
			s.hooks.MarkDirty(shard.Key(), store.Lazy, nil)
		}
	}
	for shard := range fresh {
		job.shards[shard] = true
		s.hooks.MarkDirty(shard.Key(), job.urgency(), s.withLock(stored))
	}
	stored()
}

// reshardAll writes all records of another size anew. A large one could not be written again once
// values must be smaller, and the starts that it holds would wait with it.
func (s *Scheduler) reshardAll() {
	for _, job := range s.jobOrder {
		s.reshard(job)
	}
}

// UseCurrentFormat writes records as this version has them from now on: no older process reads them.
func (s *Scheduler) UseCurrentFormat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentFormat = true
	s.fitShards()
}

// fitShards has as many tasks share a record as always fit.
func (s *Scheduler) fitShards() {
	s.tasksPerShard = store.ShardSize(s.settings.Facts.State.Least().ValueBytes(), s.longestName)
	s.reshardAll()
}
