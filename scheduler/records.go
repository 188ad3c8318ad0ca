package scheduler

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"switchferry/api"
	"switchferry/store"
)

// recordContent is the content of a record to be written.
type recordContent struct {
	// value is encoded as JSON. It is used only if exists is set; otherwise the key is deleted.
	value  any
	exists bool
	// conditions must hold besides the key's own revision.
	conditions []store.Condition
}

// recordKinds lists the kinds of records that a scheduler writes: the prefix of their keys and the function that builds
// one, which gets the key without the prefix and is called with s.mu held. No prefix is a prefix of another one.
var recordKinds = []struct {
	prefix string
	build  func(s *Scheduler, name string) recordContent
}{
	{store.JobPrefix, (*Scheduler).jobRecord},
	{store.FinalPrefix, (*Scheduler).finalRecord},
	{store.ShardPrefix, (*Scheduler).shardRecord},
	{store.DatasetPrefix, (*Scheduler).datasetRecord},
	{store.ImagesPrefix, (*Scheduler).imagesRecordContent},
	{store.ReplicasPrefix, (*Scheduler).replicaHintContent},
	{store.RelayResponsePrefix, (*Scheduler).commandPacket},
	{store.FenceKey, (*Scheduler).fenceRecord},
	{store.AgentResponsePrefix, (*Scheduler).stageOrderPacket},
}

// Record builds the record of a key from the scheduler's state, for the committer. If exists is false the key is to be
// deleted. The conditions must hold for the write in addition to the one on the key's own revision.
func (s *Scheduler) Record(key string) (value any, exists bool, conditions []store.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range recordKinds {
		if name, ok := strings.CutPrefix(key, kind.prefix); ok {
			content := kind.build(s, name)
			return content.value, content.exists, content.conditions
		}
	}
	return nil, false, nil
}

// jobRecord builds the record of a job that is not archived. Its conditions are that the job has no final record, so
// that a job in a terminal state is never restarted, and, before acceptance, that the job's inputs are unchanged since
// they were checked.
func (s *Scheduler) jobRecord(id string) recordContent {
	job := s.jobs[id]
	if job == nil {
		return recordContent{}
	}
	var conditions []store.Condition
	if job.finalRecord == nil && !job.archived {
		conditions = append(conditions, store.Condition{Key: store.FinalKey(job.id), Revision: 0})
	}
	if !job.accepted {
		conditions = append(conditions, s.inputConditions(job)...)
	}
	record := job.JobRecord
	if job.FinalState != "" && s.exceedsValueLimit(record) {
		// The job was accepted while the value limit was larger. Fields that are needed only to start tasks can be dropped.
		record.Job.Types, record.Job.Inputs, record.Job.Awaits, record.Job.Image = nil, nil, nil, ""
	}
	return recordContent{value: record, exists: true, conditions: conditions}
}

// exceedsValueLimit reports whether an encoded record is larger than the current limit on values.
func (s *Scheduler) exceedsValueLimit(record store.JobRecord) bool {
	raw, err := json.Marshal(record)
	return err == nil && len(raw) > s.settings.Facts.State.Strictest().MaxValueBytes()
}

// finalRecord builds the record of a job's terminal state. A final record that is already stored is kept unchanged.
func (s *Scheduler) finalRecord(id string) recordContent {
	job := s.jobs[id]
	if job == nil || job.FinalState == "" {
		return recordContent{}
	}
	if job.finalRecord != nil {
		return recordContent{value: *job.finalRecord, exists: true}
	}
	return recordContent{value: job.terminalRecord(s.currentFormat), exists: true}
}

// shardRecord builds the record of one shard of a job: which of its tasks completed, and where the others are placed.
func (s *Scheduler) shardRecord(name string) recordContent {
	shard, ok := store.ParseShard(store.ShardPrefix + name)
	job := s.jobs[shard.Job]
	if !ok || job == nil || !job.shards[shard] {
		return recordContent{}
	}
	record := store.ShardRecord{Done: job.completed.Pack(shard)}
	first, end := shard.Range(job.taskCount)
	for task := first; task < end; task++ {
		if alloc := job.allocations[task]; alloc != nil {
			record.Placed = append(record.Placed, store.PlacedTask{Task: task, Machine: alloc.machine.Name, Attempt: alloc.attempt})
		}
	}
	return recordContent{value: record, exists: true}
}

// imagesRecordContent builds one part of the image hint.
func (s *Scheduler) imagesRecordContent(part string) recordContent {
	record, ok := s.imagesRecord(store.ImagesPrefix + part)
	return recordContent{value: record, exists: ok}
}

// replicaHintContent builds one part of the replica hint.
func (s *Scheduler) replicaHintContent(part string) recordContent {
	record, ok := s.replicaHintRecord(store.ReplicasPrefix + part)
	return recordContent{value: record, exists: ok}
}

// commandPacket builds one packet of commands that a peer relays to workers.
func (s *Scheduler) commandPacket(name string) recordContent {
	packet, ok := s.commandMailboxes.Packet(store.RelayResponsePrefix + name)
	return recordContent{value: packet, exists: ok}
}

// stageOrderPacket builds one packet of staging orders that a peer relays to data agents.
func (s *Scheduler) stageOrderPacket(name string) recordContent {
	if s.datasets == nil {
		return recordContent{}
	}
	packet, ok := s.datasets.orderMailboxes.Packet(store.AgentResponsePrefix + name)
	return recordContent{value: packet, exists: ok}
}

// Load restores the scheduler's state from the records of jobs and of shards. A job with a corrupt record is not loaded
// and its records are left unchanged: none of its tasks is started, none of its records is written, its running tasks
// are stopped, and requests about it get status 503 until the records are repaired. One corrupt record must not stop
// the whole load, because then every new leader would retry it forever and schedule nothing.
func (s *Scheduler) Load(jobs, shards []store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.damagedJobs = map[string]bool{}
	s.loadJobs(jobs)
	s.loadShards(shards)
	loaded := slices.Clone(s.jobOrder)
	for _, job := range loaded {
		s.restoreProgress(job)
	}
	for _, job := range loaded {
		// An earlier iteration may have cancelled this job together with a dependency.
		if job.FinalState == "" && !s.dependencies.add(job) {
			job.makeEligible()
		}
	}
	for _, job := range loaded {
		s.resumeTermination(job)
	}
	if s.currentFormat {
		s.updateShardSize()
	}
	s.loaded = true
	s.wakePlacer()
	slog.Info("records loaded", "term", s.term, "jobs", len(s.jobs), "damaged", len(s.damagedJobs))
}

// loadJobs adds the jobs from their stored records. A job with an invalid record is added to s.damagedJobs instead.
// s.mu must be held.
func (s *Scheduler) loadJobs(items []store.Item) {
	for _, item := range items {
		id := strings.TrimPrefix(item.Key, store.JobPrefix)
		record, err := decodeJobRecord(id, item.Value)
		if err == nil && (record.Job.Tasks < 1 || record.Job.Tasks > api.MaxTasks) {
			err = fmt.Errorf("invalid number of tasks %d, must be 1 to %d", record.Job.Tasks, api.MaxTasks)
		}
		if err != nil {
			slog.Error("corrupt job record, leaving the job out", "key", item.Key, "err", err)
			s.damagedJobs[id] = true
			continue
		}
		if s.jobs[id] == nil {
			s.addJob(record, true)
		}
	}
}

// decodeFinalRecord decodes a job's final record.
func decodeFinalRecord(found *store.Item) (store.FinalRecord, error) {
	var final store.FinalRecord
	if err := json.Unmarshal(found.Value, &final); err != nil {
		return final, fmt.Errorf("decoding %s: %w", found.Key, err)
	}
	return final, nil
}

// decodeJobRecord decodes a job's record and checks that the job in it has the given ID.
func decodeJobRecord(id string, value []byte) (store.JobRecord, error) {
	var record store.JobRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("decoding the record of job %s: %w", id, err)
	}
	if record.Job.ID != id {
		return record, fmt.Errorf("the record of job %s contains job ID %.40q", id, record.Job.ID)
	}
	return record, nil
}

// loadShards restores from shard records which tasks completed and where the others are placed. s.mu must be held.
func (s *Scheduler) loadShards(items []store.Item) {
	placedTasks, orphans, damaged := store.ReadShards(items, func(id string, shard store.Shard) (store.TaskBitmap, int) {
		job := s.jobs[id]
		if job == nil {
			return nil, 0
		}
		job.shards[shard] = true
		return job.completed, job.taskCount
	})
	for id, err := range damaged {
		slog.Error("corrupt shard record, leaving the job out", "job", id, "err", err)
		s.damagedJobs[id] = true
		s.removeJob(s.jobs[id])
	}
	for _, key := range orphans {
		if shard, ok := store.ParseShard(key); !ok || !s.damagedJobs[shard.Job] {
			s.records.MarkDirty(key, store.Lazy, nil)
		}
	}
	for id, placed := range placedTasks {
		s.restoreAllocations(s.jobs[id], placed)
	}
}

// restoreAllocations restores the allocations of a job that earlier leaders recorded. Whether the command to run such a
// task was ever sent is not known, so the task is treated as running until its machine proves otherwise.
// s.mu must be held.
func (s *Scheduler) restoreAllocations(job *jobState, placed map[int]store.PlacedTask) {
	for _, task := range slices.Sorted(maps.Keys(placed)) {
		alloc := s.allocate(job, task, s.getOrAddMachine(placed[task].Machine), placed[task].Attempt)
		alloc.committed, alloc.runSent = true, true
		job.lastStart = s.now()
	}
}

// restoreProgress counts a loaded job's completed tasks and, if the job has a terminal state, marks that as stored.
// s.mu must be held.
func (s *Scheduler) restoreProgress(job *jobState) {
	for task := range job.taskCount {
		if job.completed.Has(task) {
			job.completedCount++
		}
	}
	if job.FinalState != "" {
		s.markTerminalStored(job)
	}
}

// markTerminalStored marks a job's terminal state as stored, because it was read from its record. From then on it may
// be reported to users. s.mu must be held.
func (s *Scheduler) markTerminalStored(job *jobState) {
	job.terminalStored = true
	s.terminalStates.Remember(job.id, job.terminalRecord(s.currentFormat))
}

// resumeTermination continues the termination of a job that an earlier leader may have begun: it stops the remaining
// tasks of a job in a terminal state and archives the job, and finishes a job whose tasks have all completed. s.mu must
// be held.
func (s *Scheduler) resumeTermination(job *jobState) {
	switch {
	case job.FinalState != "":
		for _, alloc := range job.allocations {
			s.stopTask(alloc, 0, "job is over")
		}
		s.archive(job)
	case job.allTasksCompleted():
		s.finish(job, api.Done)
	}
}

// Conflict adopts a stored record that prevented a write of this scheduler. It was written by another controller, or by
// this one in a transaction whose response was lost. Only the committer may call it, because it reads a record after
// all its own writes; other callers use AdoptJob.
func (s *Scheduler) Conflict(key string, found *store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptRecord(key, found)
}

// adoptRecord adopts a record as stored in the state service. s.mu must be held.
func (s *Scheduler) adoptRecord(key string, found *store.Item) {
	if strings.HasPrefix(key, store.DatasetPrefix) {
		s.adoptDatasetRecord(found)
	} else if id, ok := strings.CutPrefix(key, store.FinalPrefix); ok {
		s.adoptFinalRecord(id, found)
	} else if id, ok := strings.CutPrefix(key, store.JobPrefix); ok {
		s.adoptJobRecord(id, found)
	}
}

// adoptJobRecord adds a job from its stored record. It replaces a job of the same ID that is not accepted yet; requests
// that wait for the replaced job then wait for the new one. It does nothing if that job is already accepted.
// s.mu must be held.
func (s *Scheduler) adoptJobRecord(jobID string, found *store.Item) {
	record, err := decodeJobRecord(jobID, found.Value)
	if err != nil {
		slog.Error("corrupt job record", "key", store.JobKey(jobID), "err", err)
		return
	}
	replaced := s.jobs[jobID]
	if replaced != nil && replaced.accepted {
		return
	}
	if replaced != nil {
		s.removeJob(replaced)
	}
	job := s.addJob(record, false)
	if replaced != nil {
		job.changed = replaced.changed
	}
	if record.FinalState != "" {
		s.markTerminalStored(job)
	}
	s.markAccepted(job)
	if job.terminalStored {
		s.dependencies.onTerminal(jobID, job.FinalState)
	}
	s.archive(job)
}

// markAccepted records that a job's record is stored: the job may be reported to users, and its tasks may start once
// its dependencies are done. It does nothing if another job of the same ID has replaced this one meanwhile. s.mu must
// be held.
func (s *Scheduler) markAccepted(job *jobState) {
	if s.jobs[job.id] != job || job.accepted {
		return
	}
	job.accepted = true
	if job.FinalState == "" && !s.dependencies.add(job) {
		job.makeEligible()
	}
	slog.Info("job accepted", "job", job.id, "class", job.Job.Class, "team", job.Job.Team, "tasks", job.taskCount, "cpus", job.request.CPUs,
		"rank", job.Job.Rank, "expect_s", job.Job.EstimateS, "due_s", job.Job.DeadlineS, "awaits", strings.Join(job.Job.Awaits, ","))
	job.notify()
	s.wakePlacer()
}
