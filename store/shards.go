package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"

	"switchferry/api"
	"switchferry/tuning"
)

// shardAlignment is the number of tasks of which the size of every shard is a multiple, so that the bitmap of a shard
// consists of whole bytes.
const shardAlignment = 8

// Shard is a range of the tasks of a job that share one record. It has Size tasks, starting with task Index*Size.
type Shard struct {
	Job         string
	Index, Size int
}

// ShardOf returns the shard that contains a task if all shards have the given size.
func ShardOf(id string, task, size int) Shard { return Shard{id, task / size, size} }

// Range returns the half-open range [from, to) of the shard's tasks if the job has total tasks.
func (s Shard) Range(total int) (from, to int) {
	return min(total, s.Index*s.Size), min(total, (s.Index+1)*s.Size)
}

// Key returns the key of the shard's record. The key contains the size, unless it is tuning.TasksPerShard, the only
// size in data version 1 (docs/upgrade.md).
func (s Shard) Key() string {
	if s.Size == tuning.TasksPerShard {
		return fmt.Sprintf("%s%s/%d", ShardPrefix, s.Job, s.Index)
	}
	return fmt.Sprintf("%s%s/%d.%d", ShardPrefix, s.Job, s.Index, s.Size)
}

// ParseShard returns the shard whose record has the given key. It returns false if key is not a valid key of a shard.
func ParseShard(key string) (Shard, bool) {
	id, number, ok := strings.Cut(strings.TrimPrefix(key, ShardPrefix), "/")
	index, size, sized := strings.Cut(number, ".")
	shard := Shard{Job: id, Size: tuning.TasksPerShard}
	var indexErr, sizeErr error
	shard.Index, indexErr = strconv.Atoi(index)
	if sized {
		shard.Size, sizeErr = strconv.Atoi(size)
	}
	valid := ok && indexErr == nil && sizeErr == nil &&
		shard.Index >= 0 && shard.Size > 0 && shard.Size%shardAlignment == 0 && shard.Index <= api.MaxTasks/shard.Size
	return shard, valid
}

// ShardSize returns the number of tasks per shard with which a record fits into a value of valueBytes bytes even if all
// tasks of the shard are on machines. nameBytes is the maximum length of a machine name in bytes.
func ShardSize(valueBytes, nameBytes int) int {
	tasks := (valueBytes - tuning.ShardMarginBytes) / (tuning.MaxPlacedTaskBytes + max(nameBytes, tuning.MinMachineNameBytes))
	return min(tuning.TasksPerShard, max(shardAlignment, tasks/shardAlignment*shardAlignment))
}

// ReadShards merges the records of shards. In placed it returns, by job and task number, the placement of each task
// that is on a machine and not completed.
//
// A job can have shards of several sizes, so a task can be in several records. The task is completed if any of them
// says so. Otherwise the record with the highest attempt applies, because attempt numbers only increase. The revision
// is not used: a record that was created, replaced and deleted within seconds can be created again by a late execution
// of the first transaction, and then has the newest revision. A record without the task does not override one that
// has it on a machine; the caller waits for that machine's heartbeat first.
//
// jobOf returns the bitmap of a job, to which completed tasks are added, and the job's number of tasks, 0 if the job
// does not exist. ReadShards returns the keys of shards without a job in orphans. For each job with a record that
// cannot be decoded, it returns the error in damaged and nothing in placed.
func ReadShards(items []Item, jobOf func(id string, s Shard) (TaskBitmap, int)) (placed map[string]map[int]PlacedTask, orphans []string, damaged map[string]error) {
	placed, damaged = map[string]map[int]PlacedTask{}, map[string]error{}
	bitmaps := map[string]TaskBitmap{}
	for _, item := range items {
		shard, ok := ParseShard(item.Key)
		var bitmap TaskBitmap
		total := 0
		if ok {
			bitmap, total = jobOf(shard.Job, shard)
		}
		if total == 0 {
			orphans = append(orphans, item.Key)
			continue
		}
		record, err := decodeShard(item, shard, bitmap)
		if err != nil {
			damaged[shard.Job] = err
			continue
		}
		bitmaps[shard.Job] = bitmap
		if placed[shard.Job] == nil {
			placed[shard.Job] = map[int]PlacedTask{}
		}
		keepHighestAttempts(placed[shard.Job], record.Placed, shard, total)
	}
	for id := range damaged {
		delete(placed, id)
	}
	for id, tasks := range placed {
		maps.DeleteFunc(tasks, func(task int, _ PlacedTask) bool { return bitmaps[id].Has(task) })
	}
	return placed, orphans, damaged
}

// decodeShard decodes the record of a shard and adds its completed tasks to the job's bitmap.
func decodeShard(item Item, shard Shard, bitmap TaskBitmap) (ShardRecord, error) {
	var record ShardRecord
	err := json.Unmarshal(item.Value, &record)
	if err == nil {
		err = bitmap.Unpack(shard, record.Done)
	}
	if err != nil {
		return ShardRecord{}, fmt.Errorf("record %s is damaged: %w", item.Key, err)
	}
	return record, nil
}

// keepHighestAttempts adds the tasks of one shard to placed. Of several attempts of a task it keeps the highest. It
// ignores tasks outside the shard or beyond the total number of tasks of the job.
func keepHighestAttempts(placed map[int]PlacedTask, tasks []PlacedTask, shard Shard, total int) {
	from, to := shard.Range(total)
	for _, task := range tasks {
		if task.Task < from || task.Task >= to {
			continue
		}
		if known, ok := placed[task.Task]; !ok || task.Attempt > known.Attempt {
			placed[task.Task] = task
		}
	}
}
