package controller

import (
	"encoding/json"
	"log/slog"
	"time"

	"switchferry/replicas"
	"switchferry/store"
	"switchferry/tuning"
)

// Agents tell a new leader what they hold, but it takes some seconds until all have found
// it. Tasks would meanwhile be given to the machines that were heard first, and their
// inputs copied there though others hold them. So who holds what is put on record now and
// then, packed, as with images.

// keepHolds asks for who holds what to be stored, if that changed.
func (c *Core) keepHolds(now time.Time) {
	d := c.data
	if d == nil || now.Sub(d.hintAt) < tuning.HoldsEvery || d.index.Snapshot().Version() == d.hinted {
		return
	}
	d.hinted, d.hintAt = d.index.Snapshot().Version(), now
	for i := range c.recordParts() {
		c.hooks.Touch(store.ReplicasKey(i), store.Lazy, nil)
	}
}

// holdsRecord is one part of that record.
func (c *Core) holdsRecord(key string) (replicas.Hint, bool) {
	ms := c.recordPart(key, store.ReplicasPrefix)
	if c.data == nil || ms == nil {
		return replicas.Hint{}, false
	}
	var names []string
	for _, m := range ms {
		names = append(names, m.Name)
	}
	h, _, err := replicas.EncodeHint(c.data.index.Snapshot(), names, c.data.desk.ID, c.set.Facts.State.Least().ValueBytes()-tuning.HoldsMargin)
	if err != nil {
		slog.Error("holdings not packed", "err", err)
		return h, false
	}
	return h, true
}

// HoldsHint takes in what an earlier leader knew of who holds what. Machines that it
// names may be chosen for a while as if their agents had been heard; nothing starts there
// before they are.
func (c *Core) HoldsHint(items []store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data == nil {
		return
	}
	for _, it := range items {
		var h replicas.Hint
		err := json.Unmarshal(it.Value, &h)
		var all map[string]map[string]replicas.Replica
		if err == nil {
			all, err = h.Decode()
		}
		if err != nil {
			slog.Error("a record of holdings is damaged", "key", it.Key, "err", err)
			continue
		}
		for name, holds := range all {
			for d := range holds {
				if s := c.data.sets[d]; s == nil || s.Parts != holds[d].Of {
					delete(holds, d)
				}
			}
			c.data.desk.ApplyHint(name, holds, c.now())
		}
	}
}
