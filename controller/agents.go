package controller

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/internal/rest"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

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
	o, err := c.agentProxy.HandleHeartbeat(r, term)
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
		return peer.JSONResponse(http.StatusMisdirectedRequest, api.Redirect{})
	}
	a := peer.JSONResponse(c.stageOrderFor(sched, &r))
	if len(a.Body) > tuning.BodyLimit {
		return peer.JSONResponse(http.StatusRequestEntityTooLarge, api.Error{Error: "the order is too large to be passed on"})
	}
	return a
}

// stageOrderFor answers an agent as the leader.
func (c *Controller) stageOrderFor(sched *scheduler.Scheduler, r *api.StageHeartbeat) (status int, body any) {
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
func (c *Controller) sendStageOrder(ctx context.Context, sched *scheduler.Scheduler, name, addr string, o api.StageOrder) {
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
func (c *Controller) followDatasets(ctx context.Context, sched *scheduler.Scheduler, after uint64) {
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
			if entry, err := scheduler.DecodeDataset(&it); e.Set != "" && err == nil {
				sched.AddDatasets(entry)
				c.cacheDataset(entry)
			}
		}
		after = max(after, epoch)
	}
}

// loadDatasets reads all datasets.
func (c *Controller) loadDatasets(ctx context.Context, sched *scheduler.Scheduler) (uint64, error) {
	items, epoch, err := c.client.List(ctx, store.DatasetPrefix)
	if err != nil {
		return 0, err
	}
	var sets []*dataset.Entry
	for i := range items {
		entry, err := scheduler.DecodeDataset(&items[i])
		if err != nil {
			slog.Error("a dataset's record is damaged; jobs that need it wait", "key", items[i].Key, "err", err)
			continue
		}
		sets = append(sets, entry)
	}
	sched.AddDatasets(sets...)
	return epoch, nil
}
