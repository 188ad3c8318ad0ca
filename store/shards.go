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

// shardAlignment divides the size of every shard, so that the bitmap of a shard consists of whole bytes.
const shardAlignment = 8

// Shard is a range of a job's tasks that share one record: Size tasks, the first of which is
// Index*Size.
type Shard struct {
	Job         string
	Index, Size int
}

// ShardOf is the shard of a task among shards of the given size.
func ShardOf(id string, task, size int) Shard { return Shard{id, task / size, size} }

// Range returns the shard's tasks, from the first up to and without the last, of a job with so many
// tasks.
func (s Shard) Range(total int) (from, to int) {
	return min(total, s.Index*s.Size), min(total, (s.Index+1)*s.Size)
}

// Key is the key of the shard's record. It contains the size, unless that is the only one that data
// version 1 has (docs/upgrade.md).
func (s Shard) Key() string {
	if s.Size == tuning.ShardTasks {
		return fmt.Sprintf("%s%s/%d", ShardPrefix, s.Job, s.Index)
	}
	return fmt.Sprintf("%s%s/%d.%d", ShardPrefix, s.Job, s.Index, s.Size)
}

// ParseShard is the inverse of Shard.Key. It returns false if key is no such key.
func ParseShard(key string) (Shard, bool) {
	id, number, ok := strings.Cut(strings.TrimPrefix(key, ShardPrefix), "/")
	index, size, sized := strings.Cut(number, ".")
	shard := Shard{Job: id, Size: tuning.ShardTasks}
	var indexErr, sizeErr error
	shard.Index, indexErr = strconv.Atoi(index)
	if sized {
		shard.Size, sizeErr = strconv.Atoi(size)
	}
	valid := ok && indexErr == nil && sizeErr == nil &&
		shard.Index >= 0 && shard.Size > 0 && shard.Size%shardAlignment == 0 && shard.Index <= api.MaxTasks/shard.Size
	return shard, valid
}

// ShardSize is the size of shards whose records fit into values of valueBytes bytes even if all of their
// tasks are on machines, whose names have up to nameBytes bytes.
func ShardSize(valueBytes, nameBytes int) int {
	tasks := (valueBytes - tuning.ShardMargin) / (tuning.PlacedBytes + max(nameBytes, tuning.NameBytes))
	return min(tuning.ShardTasks, max(shardAlignment, tasks/shardAlignment*shardAlignment))
}

// ReadShards merges the records of shards into the machine of each task that is not done, by job and
// task.
//
// A job can have shards of several sizes, so that a task is in several records. It is done if it is done
// in any of them. Otherwise its highest attempt counts, since attempts only grow. The revision does not
// decide: a record that was created, replaced and deleted within seconds can be created again by a late
// execution of the first transaction, and is then the newest. A record without the task does not count
// against one that has it on a machine; that machine's heartbeat is waited for first.
//
// jobOf returns the bitmap of a job, to which done tasks are added, and its number of tasks, 0 if there is
// no such job. The keys of shards without a job are returned as orphans. Nothing is known of the jobs in
// damaged, since one of their records cannot be decoded.
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
		keepHighestAttempts(placed[shard.Job], record.On, shard, total)
	}
	for id := range damaged {
		delete(placed, id)
	}
	for id, tasks := range placed {
		maps.DeleteFunc(tasks, func(task int, _ PlacedTask) bool { return bitmaps[id].Has(task) })
	}
	return placed, orphans, damaged
}

// decodeShard decodes the record of a shard and adds its done tasks to the job's bitmap.
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

// keepHighestAttempts adds the tasks of one shard, of a job with total tasks, to those in placed.
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
