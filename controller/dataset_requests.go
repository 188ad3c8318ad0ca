package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// DataOn tells whether datasets are on.
func (c *Controller) DataOn() bool { return c.data.On }

// lookUpDataset finds a registered dataset, in memory or in the state service. The error is
// store.ErrNotFound where there is none.
func (c *Controller) lookUpDataset(ctx context.Context, name string) (*dataset.Entry, error) {
	c.mu.Lock()
	entry := c.datasetCache[name]
	c.mu.Unlock()
	if entry != nil {
		return entry, nil
	}
	if !dataset.ValidName(name) {
		return nil, store.ErrNotFound
	}
	if !c.readLimiter.AllowN(c.clock.Now(), 1) {
		return nil, store.ErrBusy
	}
	it, err := c.client.Get(ctx, store.DatasetKey(name))
	if err != nil {
		return nil, err
	}
	if entry, err = scheduler.DecodeDataset(&it); err != nil {
		return nil, fmt.Errorf("record %s is damaged: %w", it.Key, err)
	}
	c.cacheDataset(entry)
	return entry, nil
}

func (c *Controller) cacheDataset(entry *dataset.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.datasetCache[entry.Name]; old != nil && old.Stamp > entry.Stamp {
		return
	}
	if len(c.datasetCache) >= tuning.DatasetsLimit {
		// Any may go: what is asked for again is read again.
		for name := range c.datasetCache {
			delete(c.datasetCache, name)
			break
		}
	}
	c.datasetCache[entry.Name] = entry
}

// evictDatasets lets a job's datasets be read anew.
func (c *Controller) evictDatasets(submission *api.Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range submission.Inputs {
		delete(c.datasetCache, in.Dataset)
	}
}

// checkInputs reads a submission's inputs and finds out whether it can ever run with
// them. Undecided: that cannot be told now. The error says which field is wrong; it is
// a *api.FieldError, malformed or impossible as told by the status.
func (c *Controller) checkInputs(ctx context.Context, sched *scheduler.Scheduler, submission *api.Submission, body []byte) (status int, err error, undecided bool) {
	if submission.Inputs, err = api.ParseInputs(body, submission.Tasks); err != nil {
		return http.StatusBadRequest, err, false
	}
	bytes := int64(0)
	var sets []*dataset.Entry
	for i, in := range submission.Inputs {
		f := fmt.Sprintf("inputs[%d]", i)
		set, err := c.lookUpDataset(ctx, in.Dataset)
		if errors.Is(err, store.ErrNotFound) {
			return http.StatusUnprocessableEntity, &api.FieldError{Field: f + ".dataset",
				Want: fmt.Sprintf("no dataset %.80q is registered; `switchferry data add` registers one", in.Dataset)}, false
		}
		if err != nil {
			return 0, nil, true
		}
		if set.State != dataset.Listed {
			return http.StatusUnprocessableEntity, &api.FieldError{Field: f + ".dataset",
				Want: fmt.Sprintf("dataset %q is %s; new jobs cannot use it", in.Dataset, set.State)}, false
		}
		sets = append(sets, set)
		if in.Use == api.UseAll {
			bytes += set.Bytes
			continue
		}
		if submission.Tasks > set.Parts {
			return http.StatusUnprocessableEntity, &api.FieldError{Field: f + ".use",
				Want: fmt.Sprintf("the job has %d tasks, but dataset %q has %d parts, one for each", submission.Tasks, in.Dataset, set.Parts)}, false
		}
		most := int64(0)
		for k := range submission.Tasks {
			most = max(most, set.PartBytes(k))
		}
		bytes += most
	}
	c.mu.Lock()
	types := c.machineTypes
	c.mu.Unlock()
	largest := 0.0
	for i := range types {
		if types[i].Fits(submission) {
			largest = max(largest, c.data.Cache(types[i].Name))
		}
	}
	if len(types) > 0 && float64(bytes) > largest {
		return http.StatusUnprocessableEntity, &api.FieldError{Field: "inputs",
			Want: fmt.Sprintf("a task needs %.3f GB of data; the largest cache of an allowed machine type holds %.3f GB", float64(bytes)/1e9, largest/1e9)}, false
	}
	if sched != nil {
		sched.AddDatasets(sets...)
	}
	return 0, nil, false
}

// inputConditions are the conditions under which a job's inputs are as they were checked.
func (c *Controller) inputConditions(ctx context.Context, submission *api.Submission) (out []store.Condition, err error) {
	for _, in := range submission.Inputs {
		x, err := c.lookUpDataset(ctx, in.Dataset)
		if err != nil {
			return nil, err
		}
		out = append(out, store.Condition{Key: store.DatasetKey(x.Name), Revision: x.Stamp})
	}
	return out, nil
}

// registerDataset makes a dataset known: any controller can, since nothing but its key decides.
// Its name stands for the same content for ever.
func (c *Controller) registerDataset(ctx context.Context, body []byte) peer.Response {
	var s dataset.Entry
	if err := json.Unmarshal(body, &s.Summary); err != nil {
		return peer.Refusal(http.StatusBadRequest, &api.FieldError{Field: "body", Want: "must be a dataset's summary: " + err.Error()})
	}
	if err := s.Check(); err != nil {
		return peer.Refusal(http.StatusBadRequest, err)
	}
	epoch, _, err := c.client.Transact(ctx, []store.Condition{{Key: store.DatasetKey(s.Name)}}, []store.Operation{{Set: store.DatasetKey(s.Name), Value: s}})
	switch {
	case err == nil:
		s.Stamp = epoch
		c.cacheDataset(&s)
		if sched := c.leadingScheduler(); sched != nil {
			sched.AddDatasets(&s)
		}
		return peer.JSONResponse(http.StatusCreated, s)
	case errors.Is(err, store.ErrConflict):
		it, err := c.client.Get(ctx, store.DatasetKey(s.Name))
		if err != nil {
			break
		}
		old, err := scheduler.DecodeDataset(&it)
		if err == nil && old.State != dataset.Listed {
			return peer.JSONResponse(http.StatusConflict, api.Error{Error: "dataset " + s.Name + " is " + old.State + "; its name is not used again, take a new one", Field: "name"})
		}
		if err == nil && old.Equal(&s.Summary) {
			return peer.JSONResponse(http.StatusOK, s)
		}
		return peer.JSONResponse(http.StatusConflict, api.Error{Error: "dataset " + s.Name + " is registered with other content; datasets do not change, use a new name", Field: "name"})
	}
	return peer.RetryLater("the state service is out of reach")
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
func (c *Controller) removeDataset(ctx context.Context, name string) peer.Response {
	if !dataset.ValidName(name) {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such dataset"})
	}
	for range tuning.RemoveTries {
		it, err := c.client.Get(ctx, store.DatasetKey(name))
		if errors.Is(err, store.ErrNotFound) {
			return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such dataset"})
		}
		if err != nil {
			break
		}
		x, err := scheduler.DecodeDataset(&it)
		if err != nil {
			return peer.JSONResponse(http.StatusInternalServerError, api.Error{Error: "its record is damaged: " + err.Error()})
		}
		if x.State == dataset.Listed {
			next := *x
			next.State = dataset.Removing
			epoch, _, err := c.client.Transact(ctx, []store.Condition{{Key: it.Key, Revision: it.Revision}}, []store.Operation{{Set: it.Key, Value: next}})
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
		c.cacheDataset(x)
		v := RemovalView{Name: name, State: x.State, Jobs: -1}
		if sched := c.leadingScheduler(); sched != nil {
			sched.AddDatasets(x)
			v.Jobs = sched.JobsUsing(name)
		}
		return peer.JSONResponse(http.StatusOK, v)
	}
	return peer.RetryLater("the state service is out of reach")
}

// handleDatasets serves requests about datasets; they know no job.
func (c *Controller) handleDatasets(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if !c.data.On {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "datasets are off"})
	}
	switch r.Verb {
	case VerbRegister:
		return c.registerDataset(ctx, r.Body)
	case VerbRemove:
		// The leader can tell besides who still needs it.
		if c.leadingScheduler() == nil && !forwarded {
			leader, term := c.elector.Leader()
			if leader, _, there := newestLeader(leader, term, c.peers.LivePeers()); there {
				if a, err := c.peers.Ask(ctx, leader, r, tuning.PeerTimeout); err == nil {
					return a
				}
			}
		}
		return c.removeDataset(ctx, r.Job)
	}
	if sched := c.leadingScheduler(); sched != nil {
		if v, on := sched.Datasets(); on {
			return peer.JSONResponse(http.StatusOK, v)
		}
	}
	return c.forwardToLeader(ctx, r, forwarded)
}
