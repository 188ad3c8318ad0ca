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
	"switchferry/features"
	"switchferry/internal/rest"
	"switchferry/peer"
	"switchferry/redirect"
	"switchferry/store"
	"switchferry/tuning"
)

// Verbs of requests about datasets, which are served only with the feature on.
const (
	// VerbRegister makes a dataset known.
	VerbRegister = "register"
	// VerbData shows datasets, holders and copies.
	VerbData = "data"
	// VerbRemove removes a dataset, or tells how far that is; Request.Job names it.
	VerbRemove = "remove"
	// verbStage is an agent's report that a sibling passes on.
	verbStage = "stage"
)

// Enable switches features on; it is called before Run.
func (c *Controller) Enable(f *features.Features) {
	c.data = f.Data
	c.datasetCache = map[string]*dataset.Entry{}
	c.agentRedirects = redirect.NewTracker()
	c.agentRelay = newAgentRelay(c)
	if f.Membership.On {
		c.newMembershipWatcher()
	}
	if f.Configuration.On {
		c.newRevisionStore()
	}
}

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
	if entry, err = parseDataset(&it); err != nil {
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

// checkInputs reads a submission's inputs and finds out whether it can ever run with
// them. Undecided: that cannot be told now. The error says which field is wrong; it is
// a *api.FieldError, malformed or impossible as told by the status.
func (c *Controller) checkInputs(ctx context.Context, sched *Scheduler, submission *api.Submission, body []byte) (status int, err error, undecided bool) {
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

// registerDataset makes a dataset known: any controller can, since nothing but its key decides.
// Its name stands for the same content for ever.
func (c *Controller) registerDataset(ctx context.Context, body []byte) peer.Response {
	var s dataset.Entry
	if err := json.Unmarshal(body, &s.Summary); err != nil {
		return refusal(http.StatusBadRequest, &api.FieldError{Field: "body", Want: "must be a dataset's summary: " + err.Error()})
	}
	if err := s.Check(); err != nil {
		return refusal(http.StatusBadRequest, err)
	}
	epoch, _, err := c.client.Transact(ctx, []store.Condition{{Key: store.DatasetKey(s.Name)}}, []store.Operation{{Set: store.DatasetKey(s.Name), Value: s}})
	switch {
	case err == nil:
		s.Stamp = epoch
		c.cacheDataset(&s)
		if sched := c.leadingScheduler(); sched != nil {
			sched.AddDatasets(&s)
		}
		return jsonResponse(http.StatusCreated, s)
	case errors.Is(err, store.ErrConflict):
		it, err := c.client.Get(ctx, store.DatasetKey(s.Name))
		if err != nil {
			break
		}
		old, err := parseDataset(&it)
		if err == nil && old.State != dataset.Listed {
			return jsonResponse(http.StatusConflict, api.Error{Error: "dataset " + s.Name + " is " + old.State + "; its name is not used again, take a new one", Field: "name"})
		}
		if err == nil && old.Equal(&s.Summary) {
			return jsonResponse(http.StatusOK, s)
		}
		return jsonResponse(http.StatusConflict, api.Error{Error: "dataset " + s.Name + " is registered with other content; datasets do not change, use a new name", Field: "name"})
	}
	return retryLater("the state service is out of reach")
}

// handleDatasets serves requests about datasets; they know no job.
func (c *Controller) handleDatasets(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if !c.data.On {
		return jsonResponse(http.StatusNotFound, api.Error{Error: "datasets are off"})
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
			return jsonResponse(http.StatusOK, v)
		}
	}
	return c.forwardToLeader(ctx, r, forwarded)
}

// HandleStageHeartbeat answers an agent's report, which came as raw. Agents report to the leader; one
// that comes back from it is cut off, and its reports are passed on: over the back port
// while that leads there, else through the state service.
func (c *Controller) HandleStageHeartbeat(ctx context.Context, r *api.StageHeartbeat, raw []byte) (status int, body any) {
	if sched := c.leadingScheduler(); sched != nil {
		return c.stageOrderFor(sched, r)
	}
	leader, term := c.elector.Leader()
	leader, term, there := newestLeader(leader, term, c.peers.LivePeers())
	if leader == "" || leader == c.settings.Member {
		return http.StatusServiceUnavailable, api.Error{Error: "no leader yet"}
	}
	if there {
		c.mu.Lock()
		may := c.agentRedirects.Allow(c.clock.Now(), r.Machine, leader, true)
		c.mu.Unlock()
		if may {
			return http.StatusMisdirectedRequest, api.Redirect{Controller: leader}
		}
		if len(raw) <= tuning.BodyLimit {
			a, err := c.peers.Ask(ctx, leader, peer.Request{Verb: verbStage, Body: raw, From: c.settings.Member}, tuning.PeerTimeout)
			if err == nil && a.Status == http.StatusOK {
				return a.Status, json.RawMessage(a.Body)
			}
		}
	}
	if r.Term > term || !c.stateServiceHealthy() {
		// Nobody's word comes through here: another controller may do better.
		return http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}
	}
	o, err := c.agentRelay.handleHeartbeat(r, term)
	if err != nil {
		slog.Error("an agent's order in the mail is damaged", "machine", r.Machine, "err", err)
		return http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}
	}
	return http.StatusOK, o
}

// handleForwardedStageHeartbeat serves an agent's report that a sibling passes on. An order that no frame
// holds goes through the state service.
func (c *Controller) handleForwardedStageHeartbeat(raw []byte) peer.Response {
	sched := c.leadingScheduler()
	var r api.StageHeartbeat
	if err := json.Unmarshal(raw, &r); err != nil || r.Check() != nil || sched == nil {
		return jsonResponse(http.StatusMisdirectedRequest, api.Redirect{})
	}
	a := jsonResponse(c.stageOrderFor(sched, &r))
	if len(a.Body) > tuning.BodyLimit {
		return jsonResponse(http.StatusRequestEntityTooLarge, api.Error{Error: "the order is too large to be passed on"})
	}
	return a
}

// stageOrderFor answers an agent as the leader.
func (c *Controller) stageOrderFor(sched *Scheduler, r *api.StageHeartbeat) (status int, body any) {
	o, deposed, refused := sched.HandleStageHeartbeat(r)
	switch {
	case deposed:
		c.elector.Resign("an agent has seen a higher term")
		return http.StatusMisdirectedRequest, api.Redirect{}
	case refused:
		return http.StatusServiceUnavailable, api.Error{Error: "this machine was returned"}
	}
	return http.StatusOK, o
}

// sendStageOrder delivers an order to an agent. One that is lost is sent again, and goes out with
// the answer to the agent's next report in any case.
func (c *Controller) sendStageOrder(ctx context.Context, sched *Scheduler, name, addr string, o api.StageOrder) {
	ctx, stop := context.WithTimeout(ctx, tuning.WorkerTimeout)
	defer stop()
	status, body, err := rest.Do(ctx, c.agentClient, http.MethodPost, "http://"+addr+"/stage", o)
	var r api.StageHeartbeat
	if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
		if err = json.Unmarshal(body, &r); err == nil {
			err = r.Check()
		}
	}
	if err != nil || r.Machine != name {
		slog.Debug("order not delivered", "machine", name, "status", status, "err", err)
		return
	}
	if _, deposed, _ := sched.HandleStageHeartbeat(&r); deposed {
		c.elector.Resign("an agent has seen a higher term")
	}
}

// followDatasets keeps a leader up to date with what is registered, by any controller.
func (c *Controller) followDatasets(ctx context.Context, sched *Scheduler, after uint64) {
	for ctx.Err() == nil {
		log, epoch, err := c.client.Watch(ctx, store.DatasetPrefix, after, tuning.InboxBlock)
		if errors.Is(err, store.ErrCompacted) {
			epoch, err = c.loadDatasets(ctx, sched)
			log = nil
		}
		if err != nil {
			c.sleep(ctx, tuning.ElectRetry)
			continue
		}
		for _, e := range log {
			it := store.Item{Key: e.Set, Value: e.Value, Revision: e.Revision}
			if entry, err := parseDataset(&it); e.Set != "" && err == nil {
				sched.AddDatasets(entry)
				c.cacheDataset(entry)
			}
		}
		after = max(after, epoch)
	}
}

// loadDatasets reads all datasets.
func (c *Controller) loadDatasets(ctx context.Context, sched *Scheduler) (uint64, error) {
	items, epoch, err := c.client.List(ctx, store.DatasetPrefix)
	if err != nil {
		return 0, err
	}
	var sets []*dataset.Entry
	for i := range items {
		entry, err := parseDataset(&items[i])
		if err != nil {
			slog.Error("a dataset's record is damaged; jobs that need it wait", "key", items[i].Key, "err", err)
			continue
		}
		sets = append(sets, entry)
	}
	sched.AddDatasets(sets...)
	return epoch, nil
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

// evictDatasets lets a job's datasets be read anew.
func (c *Controller) evictDatasets(submission *api.Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range submission.Inputs {
		delete(c.datasetCache, in.Dataset)
	}
}
