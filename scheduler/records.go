package scheduler

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"switchferry/api"
	"switchferry/store"
)

// Record builds a record for the committer.
func (s *Scheduler) Record(key string) (any, bool, []store.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case strings.HasPrefix(key, store.JobPrefix):
		job := s.jobs[strings.TrimPrefix(key, store.JobPrefix)]
		if job == nil {
			return nil, false, nil
		}
		var more []store.Condition
		if !job.accepted {
			// A job that is over must not come back to life.
			more = append([]store.Condition{{Key: store.FinalKey(job.id), Revision: 0}}, s.inputConditions(job)...)
		}
		rec := job.JobRecord
		if job.FinalState != "" {
			if raw, err := json.Marshal(rec); err == nil && len(raw) > s.settings.Facts.State.Least().ValueBytes() {
				// It was accepted when values could be larger. What only its starts need may go.
				rec.Job.Types, rec.Job.Inputs, rec.Job.Awaits, rec.Job.Image = nil, nil, nil, ""
			}
		}
		return rec, true, more
	case strings.HasPrefix(key, store.FinalPrefix):
		job := s.jobs[strings.TrimPrefix(key, store.FinalPrefix)]
		if job == nil || job.FinalState == "" {
			return nil, false, nil
		}
		return job.finalRecord(s.currentFormat), true, nil
	case strings.HasPrefix(key, store.DatasetPrefix):
		return s.datasetRecord(strings.TrimPrefix(key, store.DatasetPrefix))
	case strings.HasPrefix(key, store.ImagesPrefix):
		rec, ok := s.imagesRecord(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.ReplicasPrefix):
		rec, ok := s.replicaHintRecord(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.StageMailPrefix):
		if s.datasets == nil {
			return nil, false, nil
		}
		rec, ok := s.datasets.orderMailboxes.Packet(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.MailPrefix):
		rec, ok := s.commandMailboxes.Packet(key)
		return rec, ok, nil
	case strings.HasPrefix(key, store.ShardPrefix):
		shard, ok := store.ParseShard(key)
		job := s.jobs[shard.Job]
		if !ok || job == nil || !job.shards[shard] {
			return nil, false, nil
		}
		rec := store.ShardRecord{Done: job.completed.Pack(shard)}
		from, to := shard.Range(job.taskCount)
		for t := from; t < to; t++ {
			if alloc := job.allocations[t]; alloc != nil {
				rec.On = append(rec.On, store.PlacedTask{Task: t, Machine: alloc.machine.Name, Attempt: alloc.attempt})
			}
		}
		return rec, true, nil
	}
	return nil, false, nil
}

// Load takes in what the state service holds. A job of which a record is damaged is left out, and its records as
// they stand: nothing of it is started or written, what runs of it is ended, and questions about it are answered
// with 503 until the records are mended. Every leader once tried to read it for ever, and led nothing.
func (s *Scheduler) Load(jobs, shards []store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.damagedJobs = map[string]bool{}
	for _, it := range jobs {
		var rec store.JobRecord
		if id := strings.TrimPrefix(it.Key, store.JobPrefix); json.Unmarshal(it.Value, &rec) != nil || rec.Job.ID != id || rec.Job.Tasks < 1 || rec.Job.Tasks > api.MaxTasks {
			slog.Error("a job's record is damaged, and the job left out", "key", it.Key)
			s.damagedJobs[id] = true
		} else if s.jobs[id] == nil {
			s.addJob(rec, true)
		}
	}
	s.loadShards(shards)
	all := slices.Clone(s.jobOrder)
	for _, job := range all {
		for t := range job.taskCount {
			if job.completed.Has(t) {
				job.completedCount++
			}
		}
		if job.FinalState != "" {
			job.terminalStored = true
			s.hooks.JobTerminal(job.id, job.finalRecord(s.currentFormat))
		}
	}
	for _, job := range all {
		// One of these may have ended with another already.
		if job.FinalState == "" && !s.dependencies.add(job) {
			job.makeEligible()
		}
	}
	for _, job := range all {
		switch {
		case job.FinalState != "":
			for _, alloc := range job.allocations {
				s.stopTask(alloc, 0, "job is over")
			}
			s.archive(job)
		case job.completedCount == job.taskCount && job.Job.Shape != api.Service:
			s.finish(job, api.Done)
		}
	}
	if s.currentFormat {
		s.fitShards()
	}
	s.loaded = true
	s.wakePlacer()
	slog.Info("records loaded", "jobs", len(s.jobs), "damaged", len(s.damagedJobs))
}

// loadShards takes in the records of tasks, but of damaged jobs.
func (s *Scheduler) loadShards(items []store.Item) {
	on, stray, bad := store.ReadShards(items, func(id string, shard store.Shard) (store.TaskBitmap, int) {
		job := s.jobs[id]
		if job == nil {
			return nil, 0
		}
		job.shards[shard] = true
		return job.completed, job.taskCount
	})
	for id, err := range bad {
		slog.Error("a record of a job's tasks is damaged, and the job left out", "job", id, "err", err)
		s.damagedJobs[id] = true
		s.removeJob(s.jobs[id])
	}
	for _, key := range stray {
		if shard, ok := store.ParseShard(key); !ok || !s.damagedJobs[shard.Job] {
			s.hooks.MarkDirty(key, store.Lazy, nil)
		}
	}
	for id, placed := range on {
		job := s.jobs[id]
		for _, t := range slices.Sorted(maps.Keys(placed)) {
			// It may run there, or its command was never sent: until the
			// machine proves otherwise it counts as running.
			alloc := s.allocate(job, t, s.machineNamed(placed[t].Machine), placed[t].Attempt)
			alloc.committed, alloc.runSent = true, true
			job.lastStart = s.now()
		}
	}
}

// Conflict takes in a job record that another node, or a lost answer of ours,
// has written.
func (s *Scheduler) Conflict(key string, found *store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptRecord(key, found)
}

// markAccepted: the job's record is stored.
func (s *Scheduler) markAccepted(id string) {
	job := s.jobs[id]
	if job == nil || job.accepted {
		return
	}
	job.accepted = true
	if job.FinalState == "" && !s.dependencies.add(job) {
		job.makeEligible()
	}
	slog.Info("job accepted", "job", id, "class", job.Job.Class, "team", job.Job.Team, "tasks", job.taskCount, "cpus", job.request.CPUs, "rank", job.Job.Rank, "expect_s", job.Job.EstimateS, "due_s", job.Job.DeadlineS, "awaits", strings.Join(job.Job.Awaits, ","))
	job.notify()
	s.wakePlacer()
}

// adoptRecord takes in a job's record as the state service holds it.
func (s *Scheduler) adoptRecord(key string, found *store.Item) {
	switch {
	case strings.HasPrefix(key, store.DatasetPrefix):
		s.datasetFound(found)
	case strings.HasPrefix(key, store.FinalPrefix):
		id := strings.TrimPrefix(key, store.FinalPrefix)
		var f store.FinalRecord
		job := s.jobs[id]
		if json.Unmarshal(found.Value, &f) != nil || job == nil || job.accepted {
			return
		}
		s.removeJob(job)
		s.hooks.JobTerminal(id, f)
		job.notify()
		s.dependencies.onTerminal(id, f.State)
	case strings.HasPrefix(key, store.JobPrefix):
		id := strings.TrimPrefix(key, store.JobPrefix)
		var rec store.JobRecord
		if json.Unmarshal(found.Value, &rec) != nil || rec.Job.ID != id {
			slog.Error("a job's record is damaged", "key", key)
			return
		}
		job := s.jobs[id]
		if job != nil && job.accepted {
			return
		}
		var changed chan struct{}
		if job != nil {
			changed = job.changed
			s.removeJob(job)
		}
		job = s.addJob(rec, false)
		if changed != nil {
			job.changed = changed
		}
		if rec.FinalState != "" {
			job.terminalStored = true
			s.hooks.JobTerminal(id, job.finalRecord(s.currentFormat))
		}
		s.markAccepted(id)
		if job.terminalStored {
			s.dependencies.onTerminal(id, job.FinalState)
		}
		s.archive(job)
	}
}
