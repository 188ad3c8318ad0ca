package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// DataOn reports whether datasets are on.
func (c *Controller) DataOn() bool { return c.features.data.On }

// datasetService registers, removes and lists datasets.
type datasetService struct {
	client   *store.Client
	peers    *peer.Network
	features *optionalFeatures
	term     *currentTerm
	leader   *leaderLocator
	cache    *datasetCache
}

// newDatasetService returns the dataset service of a controller.
func newDatasetService(controller *Controller) *datasetService {
	return &datasetService{client: controller.client, peers: controller.peers, features: controller.features, term: controller.term, leader: controller.leader,
		cache: newDatasetCache(controller.clock, controller.client, controller.readLimiter)}
}

// register registers a dataset. Any controller can do so, since the record is written only if its key does not exist. A
// name refers to the same content permanently.
func (d *datasetService) register(ctx context.Context, body []byte) peer.Response {
	var entry dataset.Entry
	if err := json.Unmarshal(body, &entry.Summary); err != nil {
		return peer.ErrorResponse(http.StatusBadRequest, &api.FieldError{Field: "body", Want: "must be a dataset's summary: " + err.Error()})
	}
	if err := entry.Check(); err != nil {
		return peer.ErrorResponse(http.StatusBadRequest, err)
	}
	revision, _, err := d.client.Transact(ctx, []store.Condition{{Key: store.DatasetKey(entry.Name)}}, []store.Operation{{Set: store.DatasetKey(entry.Name), Value: entry}})
	if errors.Is(err, store.ErrConflict) {
		return d.answerRegistered(ctx, &entry)
	}
	if err != nil {
		return peer.RetryLater("the state service is out of reach")
	}
	entry.Revision = revision
	d.cache.add(&entry)
	if sched := d.term.scheduler(); sched != nil {
		sched.AddDatasets(&entry)
	}
	return peer.JSONResponse(http.StatusCreated, entry)
}

// answerRegistered answers the registration of a dataset whose name is taken. Registering the same content again
// succeeds.
func (d *datasetService) answerRegistered(ctx context.Context, entry *dataset.Entry) peer.Response {
	item, err := d.client.Get(ctx, store.DatasetKey(entry.Name))
	if err != nil {
		return peer.RetryLater("the state service is out of reach")
	}
	registered, err := scheduler.DecodeDataset(&item)
	if err == nil && registered.State != dataset.Listed {
		return peer.JSONResponse(http.StatusConflict, api.Error{Error: "dataset " + entry.Name + " is " + registered.State + "; its name is not used again, take a new one", Field: "name"})
	}
	if err == nil && registered.Equal(&entry.Summary) {
		return peer.JSONResponse(http.StatusOK, entry)
	}
	return peer.JSONResponse(http.StatusConflict, api.Error{Error: "dataset " + entry.Name + " is registered with other content; datasets do not change, use a new name", Field: "name"})
}

// RemovalView is the progress of a dataset's removal as shown to users.
type RemovalView struct {
	Name  string `json:"name"`
	State string `json:"state"`
	// Jobs is the number of jobs that still need the dataset, or -1 if this controller does not know it.
	Jobs int `json:"jobs"`
}

// remove starts the removal of a dataset and reports the progress. Any controller can do so, since the record alone
// determines the state. The operation is idempotent.
func (d *datasetService) remove(ctx context.Context, name string) peer.Response {
	if !dataset.ValidName(name) {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such dataset"})
	}
	for range tuning.MaxRemoveAttempts {
		item, err := d.client.Get(ctx, store.DatasetKey(name))
		if errors.Is(err, store.ErrNotFound) {
			return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such dataset"})
		}
		if err != nil {
			break
		}
		entry, err := scheduler.DecodeDataset(&item)
		if err != nil {
			return peer.JSONResponse(http.StatusInternalServerError, api.Error{Error: "its record is damaged: " + err.Error()})
		}
		if entry.State == dataset.Listed {
			entry, err = d.markRemoving(ctx, item, entry)
			if errors.Is(err, store.ErrConflict) {
				continue
			}
			if err != nil {
				break
			}
		}
		return d.answerRemoval(name, entry)
	}
	return peer.RetryLater("the state service is out of reach")
}

// markRemoving stores that a dataset is being removed and returns its new entry; item is its record as read. The error
// is store.ErrConflict if the record has changed since then.
func (d *datasetService) markRemoving(ctx context.Context, item store.Item, entry *dataset.Entry) (*dataset.Entry, error) {
	next := *entry
	next.State = dataset.Removing
	revision, _, err := d.client.Transact(ctx, []store.Condition{{Key: item.Key, Revision: item.Revision}}, []store.Operation{{Set: item.Key, Value: next}})
	if err != nil {
		return nil, fmt.Errorf("store %s as being removed: %w", item.Key, err)
	}
	slog.Info("dataset no longer listed", "dataset", strings.TrimPrefix(item.Key, store.DatasetPrefix))
	next.Revision = revision
	return &next, nil
}

// answerRemoval reports the progress of the removal of the named dataset.
func (d *datasetService) answerRemoval(name string, entry *dataset.Entry) peer.Response {
	d.cache.add(entry)
	view := RemovalView{Name: name, State: entry.State, Jobs: -1}
	if sched := d.term.scheduler(); sched != nil {
		sched.AddDatasets(entry)
		view.Jobs = sched.JobsUsing(name)
	}
	return peer.JSONResponse(http.StatusOK, view)
}

// handle serves requests about datasets.
func (d *datasetService) handle(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	if !d.features.data.On {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "datasets are off"})
	}
	switch request.Verb {
	case VerbRegister:
		return d.register(ctx, request.Body)
	case VerbRemove:
		// Only the leader knows how many jobs still need the dataset.
		if d.term.scheduler() == nil && !forwarded {
			if leader, _, reachable := d.leader.locate(); reachable {
				if response, err := d.peers.Call(ctx, leader, request, tuning.PeerTimeout); err == nil {
					return response
				}
			}
		}
		return d.remove(ctx, request.Job)
	}
	if sched := d.term.scheduler(); sched != nil {
		if view, on := sched.Datasets(); on {
			return peer.JSONResponse(http.StatusOK, view)
		}
	}
	return d.leader.forward(ctx, request, forwarded)
}
