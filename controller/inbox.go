package controller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// followInbox takes in jobs that siblings accepted while they did not reach us.
func (c *Controller) followInbox(ctx context.Context, sched *scheduler.Scheduler, committer *store.Committer, after uint64) {
	// take is done with a key, or has to look again: a job that was passed over here stood
	// on record, accepted, and ran only once its user had asked for it.
	take := func(key string) bool {
		id := strings.TrimPrefix(key, store.InboxPrefix)
		it, err := c.client.Get(ctx, store.JobKey(id))
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return false
		}
		if err == nil && !sched.HasJob(id) {
			committer.SetRevision(it.Key, it.Revision)
			sched.Conflict(store.JobKey(id), &it)
		}
		in, err := c.client.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			return true
		}
		if err != nil {
			return false
		}
		var rec store.InboxRecord
		if json.Unmarshal(in.Value, &rec) == nil && rec.Cancel {
			sched.Cancel(ctx, id)
		}
		committer.SetRevision(key, in.Revision)
		committer.MarkDirty(key, store.Lazy, nil)
		return true
	}
	all := true
	var todo []string
	for ctx.Err() == nil {
		var log []store.Event
		var epoch uint64
		var err error
		if all {
			var old []store.Item
			old, epoch, err = c.client.List(ctx, store.InboxPrefix)
			for _, it := range old {
				todo = append(todo, it.Key)
			}
		} else {
			block := tuning.InboxBlock
			if len(todo) > 0 {
				block = tuning.ElectRetry
			}
			log, epoch, err = c.client.Watch(ctx, store.InboxPrefix, after, block)
		}
		if err != nil {
			all = all || errors.Is(err, store.ErrCompacted)
			c.sleep(ctx, tuning.ElectRetry)
			continue
		}
		all, after = false, max(after, epoch)
		for _, e := range log {
			if e.Set != "" {
				todo = append(todo, e.Set)
			}
		}
		todo = slices.DeleteFunc(todo, take)
		if len(todo) == 0 {
			sched.InboxSeen(after)
		}
	}
}
