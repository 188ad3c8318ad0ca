package scheduler

import (
	"switchferry/store"
)

// markShardDirty marks the shard record of a task for writing; the committer calls onStored, which
// may be nil, once the record is stored. s.mu must be held.
func (s *Scheduler) markShardDirty(job *jobState, task int, onStored func()) {
	s.records.MarkDirty(s.shardKey(job, task), job.urgency(), onStored)
}

// shardKey returns the key of the shard record that holds a task, adds the shard to the job's shards and reshards the
// job if it has records of another size. s.mu must be held.
func (s *Scheduler) shardKey(job *jobState, task int) string {
	s.reshard(job)
	shard := store.ShardOf(job.id, task, s.tasksPerShard)
	job.shards[shard] = true
	return shard.Key()
}

// reshard rewrites a job's shard records of other sizes in the current size, and deletes the old records once all new
// ones are stored. A crash may leave any mix of old and new records, which Load reads correctly. s.mu must be held.
func (s *Scheduler) reshard(job *jobState) {
	oldShards := s.shardsOfOtherSize(job)
	if len(oldShards) == 0 || job.resharding {
		return
	}
	job.resharding = true
	newShards := s.shardsToWrite(job)
	remaining := len(newShards) + 1
	stored := func() {
		if remaining--; remaining > 0 {
			return
		}
		job.resharding = false
		for _, shard := range oldShards {
			delete(job.shards, shard)
			s.records.MarkDirty(shard.Key(), store.Lazy, nil)
		}
	}
	for shard := range newShards {
		job.shards[shard] = true
		s.records.MarkDirty(shard.Key(), job.urgency(), s.withLock(stored))
	}
	stored()
}

// shardsOfOtherSize returns a job's shards that do not have the current size. s.mu must be held.
func (s *Scheduler) shardsOfOtherSize(job *jobState) []store.Shard {
	var shards []store.Shard
	for shard := range job.shards {
		if shard.Size != s.tasksPerShard {
			shards = append(shards, shard)
		}
	}
	return shards
}

// shardsToWrite returns the shards of the current size that hold completed or allocated tasks. s.mu must be held.
func (s *Scheduler) shardsToWrite(job *jobState) map[store.Shard]bool {
	shards := map[store.Shard]bool{}
	for task := range job.taskCount {
		if job.completed.Has(task) || job.allocations[task] != nil {
			shards[store.ShardOf(job.id, task, s.tasksPerShard)] = true
		}
	}
	return shards
}

// reshardAll rewrites all shard records that do not have the current size. After the limit on values is lowered, a
// larger record could not be written any more, and task starts that must be stored in it would never be sent. s.mu must
// be held.
func (s *Scheduler) reshardAll() {
	for _, job := range s.jobOrder {
		s.reshard(job)
	}
}

// UseCurrentFormat makes the scheduler write records in this version's format from now on. The caller must ensure that
// no controller of an older version reads them any more.
func (s *Scheduler) UseCurrentFormat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentFormat = true
	s.updateShardSize()
}

// updateShardSize sets s.tasksPerShard to the largest shard size whose records always fit into a value, and rewrites
// the shard records of other sizes. s.mu must be held.
func (s *Scheduler) updateShardSize() {
	s.tasksPerShard = store.ShardSize(s.settings.Facts.State.Strictest().MaxValueBytes(), s.longestName)
	s.reshardAll()
}
