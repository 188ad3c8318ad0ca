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
func (n *Controller) Enable(f *features.Features) {
	n.data = f.Data
	n.sets = map[string]*dataset.Entry{}
	n.agentBounces = redirect.NewTracker()
	n.agentRelay = newAgentRelay(n)
	if f.Membership.On {
		n.watchMembers()
	}
	if f.Configuration.On {
		n.keepConfiguration()
	}
}

// DataOn tells whether datasets are on.
func (n *Controller) DataOn() bool { return n.data.On }

// dataset finds a registered dataset, in memory or in the state service. The error is
// store.ErrNotFound where there is none.
func (n *Controller) dataset(ctx context.Context, name string) (*dataset.Entry, error) {
	n.mu.Lock()
	s := n.sets[name]
	n.mu.Unlock()
	if s != nil {
		return s, nil
	}
	if !dataset.ValidName(name) {
		return nil, store.ErrNotFound
	}
	if !n.reads.AllowN(n.clock.Now(), 1) {
		return nil, store.ErrBusy
	}
	it, err := n.client.Get(ctx, store.DatasetKey(name))
	if err != nil {
		return nil, err
	}
	if s, err = parseDataset(&it); err != nil {
		return nil, fmt.Errorf("record %s is damaged: %w", it.Key, err)
	}
	n.keepDataset(s)
	return s, nil
}

func (n *Controller) keepDataset(s *dataset.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.sets[s.Name]; old != nil && old.Stamp > s.Stamp {
		return
	}
	if len(n.sets) >= tuning.DatasetsLimit {
		// Any may go: what is asked for again is read again.
		for name := range n.sets {
			delete(n.sets, name)
			break
		}
	}
	n.sets[s.Name] = s
}

// checkInputs reads a submission's inputs and finds out whether it can ever run with
// them. Undecided: that cannot be told now. The error says which field is wrong; it is
// a *api.FieldError, malformed or impossible as told by the status.
func (n *Controller) checkInputs(ctx context.Context, core *Core, s *api.Submission, body []byte) (status int, err error, undecided bool) {
	if s.Inputs, err = api.ParseInputs(body, s.Tasks); err != nil {
		return http.StatusBadRequest, err, false
	}
	bytes := int64(0)
	var sets []*dataset.Entry
	for i, in := range s.Inputs {
		f := fmt.Sprintf("inputs[%d]", i)
		set, err := n.dataset(ctx, in.Dataset)
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
		if s.Tasks > set.Parts {
			return http.StatusUnprocessableEntity, &api.FieldError{Field: f + ".use",
				Want: fmt.Sprintf("the job has %d tasks, but dataset %q has %d parts, one for each", s.Tasks, in.Dataset, set.Parts)}, false
		}
		most := int64(0)
		for k := range s.Tasks {
			most = max(most, set.PartBytes(k))
		}
		bytes += most
	}
	n.mu.Lock()
	types := n.types
	n.mu.Unlock()
	largest := 0.0
	for i := range types {
		if types[i].Fits(s) {
			largest = max(largest, n.data.Cache(types[i].Name))
		}
	}
	if len(types) > 0 && float64(bytes) > largest {
		return http.StatusUnprocessableEntity, &api.FieldError{Field: "inputs",
			Want: fmt.Sprintf("a task needs %.3f GB of data; the largest cache of an allowed machine type holds %.3f GB", float64(bytes)/1e9, largest/1e9)}, false
	}
	if core != nil {
		core.Learn(sets...)
	}
	return 0, nil, false
}

// register makes a dataset known: any controller can, since nothing but its key decides.
// Its name stands for the same content for ever.
func (n *Controller) register(ctx context.Context, body []byte) peer.Response {
	var s dataset.Entry
	if err := json.Unmarshal(body, &s.Summary); err != nil {
		return refusal(http.StatusBadRequest, &api.FieldError{Field: "body", Want: "must be a dataset's summary: " + err.Error()})
	}
	if err := s.Check(); err != nil {
		return refusal(http.StatusBadRequest, err)
	}
	epoch, _, err := n.client.Transact(ctx, []store.Condition{{Key: store.DatasetKey(s.Name)}}, []store.Operation{{Set: store.DatasetKey(s.Name), Value: s}})
	switch {
	case err == nil:
		s.Stamp = epoch
		n.keepDataset(&s)
		if core := n.leading(); core != nil {
			core.Learn(&s)
		}
		return answer(http.StatusCreated, s)
	case errors.Is(err, store.ErrConflict):
		it, err := n.client.Get(ctx, store.DatasetKey(s.Name))
		if err != nil {
			break
		}
		old, err := parseDataset(&it)
		if err == nil && old.State != dataset.Listed {
			return answer(http.StatusConflict, api.Error{Error: "dataset " + s.Name + " is " + old.State + "; its name is not used again, take a new one", Field: "name"})
		}
		if err == nil && old.Equal(&s.Summary) {
			return answer(http.StatusOK, s)
		}
		return answer(http.StatusConflict, api.Error{Error: "dataset " + s.Name + " is registered with other content; datasets do not change, use a new name", Field: "name"})
	}
	return later("the state service is out of reach")
}

// aboutData serves requests about datasets; they know no job.
func (n *Controller) aboutData(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if !n.data.On {
		return answer(http.StatusNotFound, api.Error{Error: "datasets are off"})
	}
	switch r.Verb {
	case VerbRegister:
		return n.register(ctx, r.Body)
	case VerbRemove:
		// The leader can tell besides who still needs it.
		if n.leading() == nil && !forwarded {
			leader, term := n.elector.Leader()
			if leader, _, there := whoLeads(leader, term, n.peers.LivePeers()); there {
				if a, err := n.peers.Ask(ctx, leader, r, tuning.PeerTimeout); err == nil {
					return a
				}
			}
		}
		return n.removeDataset(ctx, r.Job)
	}
	if core := n.leading(); core != nil {
		if v, on := core.Data(); on {
			return answer(http.StatusOK, v)
		}
	}
	return n.passOn(ctx, r, forwarded)
}

// HandleStageHeartbeat answers an agent's report, which came as raw. Agents report to the leader; one
// that comes back from it is cut off, and its reports are passed on: over the back port
// while that leads there, else through the state service.
func (n *Controller) HandleStageHeartbeat(ctx context.Context, r *api.StageHeartbeat, raw []byte) (status int, body any) {
	if core := n.leading(); core != nil {
		return n.orderFor(core, r)
	}
	leader, term := n.elector.Leader()
	leader, term, there := whoLeads(leader, term, n.peers.LivePeers())
	if leader == "" || leader == n.set.Member {
		return http.StatusServiceUnavailable, api.Error{Error: "no leader yet"}
	}
	if there {
		n.mu.Lock()
		may := n.agentBounces.Allow(n.clock.Now(), r.Machine, leader, true)
		n.mu.Unlock()
		if may {
			return http.StatusMisdirectedRequest, api.Redirect{Controller: leader}
		}
		if len(raw) <= tuning.BodyLimit {
			a, err := n.peers.Ask(ctx, leader, peer.Request{Verb: verbStage, Body: raw, From: n.set.Member}, tuning.PeerTimeout)
			if err == nil && a.Status == http.StatusOK {
				return a.Status, json.RawMessage(a.Body)
			}
		}
	}
	if r.Term > term || !n.stateOK() {
		// Nobody's word comes through here: another controller may do better.
		return http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}
	}
	o, err := n.agentRelay.report(r, term)
	if err != nil {
		slog.Error("an agent's order in the mail is damaged", "machine", r.Machine, "err", err)
		return http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}
	}
	return http.StatusOK, o
}

// stagePassedOn serves an agent's report that a sibling passes on. An order that no frame
// holds goes through the state service.
func (n *Controller) stagePassedOn(raw []byte) peer.Response {
	core := n.leading()
	var r api.StageHeartbeat
	if err := json.Unmarshal(raw, &r); err != nil || r.Check() != nil || core == nil {
		return answer(http.StatusMisdirectedRequest, api.Redirect{})
	}
	a := answer(n.orderFor(core, &r))
	if len(a.Body) > tuning.BodyLimit {
		return answer(http.StatusRequestEntityTooLarge, api.Error{Error: "the order is too large to be passed on"})
	}
	return a
}

// orderFor answers an agent as the leader.
func (n *Controller) orderFor(core *Core, r *api.StageHeartbeat) (status int, body any) {
	o, deposed, refused := core.Staging(r)
	switch {
	case deposed:
		n.elector.Resign("an agent has seen a higher term")
		return http.StatusMisdirectedRequest, api.Redirect{}
	case refused:
		return http.StatusServiceUnavailable, api.Error{Error: "this machine was returned"}
	}
	return http.StatusOK, o
}

// order delivers an order to an agent. One that is lost is sent again, and goes out with
// the answer to the agent's next report in any case.
func (n *Controller) order(ctx context.Context, core *Core, name, addr string, o api.StageOrder) {
	ctx, stop := context.WithTimeout(ctx, tuning.WorkerTimeout)
	defer stop()
	status, body, err := rest.Do(ctx, n.agents, http.MethodPost, "http://"+addr+"/stage", o)
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
	if _, deposed, _ := core.Staging(&r); deposed {
		n.elector.Resign("an agent has seen a higher term")
	}
}

// datasets keeps a leader up to date with what is registered, by any controller.
func (n *Controller) datasets(ctx context.Context, core *Core, after uint64) {
	for ctx.Err() == nil {
		log, epoch, err := n.client.Watch(ctx, store.DatasetPrefix, after, tuning.InboxBlock)
		if errors.Is(err, store.ErrCompacted) {
			epoch, err = n.learnAll(ctx, core)
			log = nil
		}
		if err != nil {
			n.sleep(ctx, tuning.ElectRetry)
			continue
		}
		for _, e := range log {
			it := store.Item{Key: e.Set, Value: e.Value, Revision: e.Revision}
			if s, err := parseDataset(&it); e.Set != "" && err == nil {
				core.Learn(s)
				n.keepDataset(s)
			}
		}
		after = max(after, epoch)
	}
}

// learnAll reads all datasets.
func (n *Controller) learnAll(ctx context.Context, core *Core) (uint64, error) {
	items, epoch, err := n.client.List(ctx, store.DatasetPrefix)
	if err != nil {
		return 0, err
	}
	var sets []*dataset.Entry
	for i := range items {
		s, err := parseDataset(&items[i])
		if err != nil {
			slog.Error("a dataset's record is damaged; jobs that need it wait", "key", items[i].Key, "err", err)
			continue
		}
		sets = append(sets, s)
	}
	core.Learn(sets...)
	return epoch, nil
}

// inputsStand are the conditions under which a job's inputs are as they were checked.
func (n *Controller) inputsStand(ctx context.Context, s *api.Submission) (out []store.Condition, err error) {
	for _, in := range s.Inputs {
		x, err := n.dataset(ctx, in.Dataset)
		if err != nil {
			return nil, err
		}
		out = append(out, store.Condition{Key: store.DatasetKey(x.Name), Revision: x.Stamp})
	}
	return out, nil
}

// forgetDatasets lets a job's datasets be read anew.
func (n *Controller) forgetDatasets(s *api.Submission) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, in := range s.Inputs {
		delete(n.sets, in.Dataset)
	}
}
