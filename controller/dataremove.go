package controller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/peer"
	"switchferry/store"
	"switchferry/tuning"
)

// A dataset is removed in two steps, each a change of its record. First it is no longer
// listed: whoever accepts a job does so on condition that the records of its datasets
// stand as they were read, so no job comes to need it from then on. Those accepted before
// run as ever. Once none is left, which only a leader can tell that knows all that
// siblings accepted until the first step, it is removed, and agents let its bytes go.

// inputConds are the conditions under which a job with these inputs may be accepted. They
// cannot hold for one that is not known, or no longer listed.
func (c *Core) inputConds(j *job) (out []store.Condition) {
	if c.data == nil {
		return nil
	}
	for _, in := range j.inputs {
		cond := store.Condition{Key: store.DatasetKey(in.name)}
		if x := c.data.sets[in.name]; x != nil && x.State == dataset.Listed {
			cond.Revision = x.Stamp
		}
		out = append(out, cond)
	}
	return out
}

// datasetFound takes in a dataset's record that is not as a job's acceptance took it to
// be. Jobs that nobody was told of, and that may not name it any more, are dropped: the
// users who wait for them are told why by whoever checks the inputs anew.
func (c *Core) datasetFound(found *store.Item) {
	x, err := parseDataset(found)
	if err != nil {
		slog.Error("a dataset's record is damaged", "key", found.Key, "err", err)
		return
	}
	c.learn(x)
	if x.State == dataset.Listed {
		return
	}
	for _, j := range append([]*job{}, c.order...) {
		if !j.accepted && j.needs(x.Name) {
			c.dropJob(j)
			j.notify()
		}
	}
}

func (j *job) needs(name string) bool {
	for _, in := range j.inputs {
		if in.name == name {
			return true
		}
	}
	return false
}

// InboxSeen notes up to which revision the jobs are known that siblings accepted.
func (c *Core) InboxSeen(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data != nil {
		c.data.inbox = max(c.data.inbox, epoch)
	}
}

// neededBy counts the jobs that need a dataset.
func (c *Core) neededBy(name string) (n int) {
	for _, j := range c.order {
		if j.needs(name) {
			n++
		}
	}
	return n
}

// finishRemovals records datasets as removed that nothing needs any more. A job whose
// acceptance is not certain counts: it may stand on record.
func (c *Core) finishRemovals() {
	if c.data == nil {
		return
	}
	for _, x := range c.data.unlisted {
		if x.State != dataset.Removing || c.data.inbox < x.Stamp || c.data.removing[x.Name] != "" || c.neededBy(x.Name) > 0 {
			continue
		}
		c.data.removing[x.Name] = dataset.Removing
		c.hooks.Touch(store.DatasetKey(x.Name), store.Lazy, c.locked(func() {
			wrote := c.data.removing[x.Name]
			delete(c.data.removing, x.Name)
			if wrote != dataset.Removed || x.State == dataset.Removed {
				return
			}
			slog.Info("dataset removed", "dataset", x.Name)
			x.State = dataset.Removed
			c.data.desk.RemoveDataset(x.Name, x.Manifest.String())
			c.kick()
		}))
	}
}

// datasetRecord is a dataset's record as the leader writes it: it does so only to remove
// it. More: it must stand as it was when that was decided.
func (c *Core) datasetRecord(name string) (rec dataset.Entry, exists bool, more []store.Condition) {
	if c.data == nil || c.data.unlisted[name] == nil {
		return rec, false, nil
	}
	rec = *c.data.unlisted[name]
	more = []store.Condition{{Key: store.DatasetKey(name), Revision: rec.Stamp}}
	if c.neededBy(name) == 0 {
		rec.State = dataset.Removed
	}
	c.data.removing[name] = rec.State
	return rec, true, more
}

// RemovalView is how far a dataset's removal is. Jobs still need it; -1: this controller
// cannot tell.
type RemovalView struct {
	Name  string `json:"name"`
	State string `json:"state"`
	Jobs  int    `json:"jobs"`
}

// removeDataset takes a dataset off the list: any controller can, since nothing but its
// record decides. Asking again tells how far it is.
func (n *Controller) removeDataset(ctx context.Context, name string) peer.Response {
	if !dataset.ValidName(name) {
		return answer(http.StatusNotFound, api.Error{Error: "no such dataset"})
	}
	for range tuning.RemoveTries {
		it, err := n.client.Get(ctx, store.DatasetKey(name))
		if errors.Is(err, store.ErrNotFound) {
			return answer(http.StatusNotFound, api.Error{Error: "no such dataset"})
		}
		if err != nil {
			break
		}
		x, err := parseDataset(&it)
		if err != nil {
			return answer(http.StatusInternalServerError, api.Error{Error: "its record is damaged: " + err.Error()})
		}
		if x.State == dataset.Listed {
			next := *x
			next.State = dataset.Removing
			epoch, _, err := n.client.Transact(ctx, []store.Condition{{Key: it.Key, Revision: it.Revision}}, []store.Operation{{Set: it.Key, Value: next}})
			if errors.Is(err, store.ErrConflict) {
				continue
			}
			if err != nil {
				break
			}
			slog.Info("dataset no longer listed", "dataset", name)
			next.Stamp = epoch
			x = &next
		}
		n.keepDataset(x)
		v := RemovalView{Name: name, State: x.State, Jobs: -1}
		if core := n.leading(); core != nil {
			core.Learn(x)
			v.Jobs = core.NeededBy(name)
		}
		return answer(http.StatusOK, v)
	}
	return later("the state service is out of reach")
}

// NeededBy counts the jobs that need a dataset.
func (c *Core) NeededBy(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.neededBy(name)
}
