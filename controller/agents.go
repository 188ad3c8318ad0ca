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
func (c *Controller) HandleStageHeartbeat(ctx context.Context, heartbeat *api.StageHeartbeat, raw []byte) (status int, body any) {
	if sched := c.leadingScheduler(); sched != nil {
		return c.stageOrderFor(sched, heartbeat)
	}
	leader, term := c.elector.Leader()
	leader, term, reachable := newestLeader(leader, term, c.peers.LivePeers())
	if leader == "" || leader == c.settings.Member {
		return http.StatusServiceUnavailable, api.Error{Error: "no leader yet"}
	}
	if reachable {
		c.mu.Lock()
		may := c.agentRedirects.Allow(c.clock.Now(), heartbeat.Machine, leader, true)
		c.mu.Unlock()
		if may {
			return http.StatusMisdirectedRequest, api.Redirect{Controller: leader}
		}
		if len(raw) <= tuning.BodyLimit {
			response, err := c.peers.Ask(ctx, leader, peer.Request{Verb: verbStage, Body: raw, From: c.settings.Member}, tuning.PeerTimeout)
			if err == nil && response.Status == http.StatusOK {
				return response.Status, json.RawMessage(response.Body)
			}
		}
	}
	if heartbeat.Term > term || !c.stateServiceHealthy() {
		// Nobody's word comes through here: another controller may do better.
		return http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}
	}
	order, err := c.agentProxy.HandleHeartbeat(heartbeat, term)
	if err != nil {
		slog.Error("an agent's order in the mail is damaged", "machine", heartbeat.Machine, "err", err)
		return http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}
	}
	return http.StatusOK, order
}

// handleForwardedStageHeartbeat serves an agent's report that a sibling passes on. An order that no frame
// holds goes through the state service.
func (c *Controller) handleForwardedStageHeartbeat(raw []byte) peer.Response {
	sched := c.leadingScheduler()
	var heartbeat api.StageHeartbeat
	if err := json.Unmarshal(raw, &heartbeat); err != nil || heartbeat.Check() != nil || sched == nil {
		return peer.JSONResponse(http.StatusMisdirectedRequest, api.Redirect{})
	}
	response := peer.JSONResponse(c.stageOrderFor(sched, &heartbeat))
	if len(response.Body) > tuning.BodyLimit {
		return peer.JSONResponse(http.StatusRequestEntityTooLarge, api.Error{Error: "the order is too large to be passed on"})
	}
	return response
}

// stageOrderFor answers an agent as the leader.
func (c *Controller) stageOrderFor(sched *scheduler.Scheduler, heartbeat *api.StageHeartbeat) (status int, body any) {
	order, deposed, refused := sched.HandleStageHeartbeat(heartbeat)
	switch {
	case deposed:
		c.elector.Resign("an agent has seen a higher term")
		return http.StatusMisdirectedRequest, api.Redirect{}
	case refused:
		return http.StatusServiceUnavailable, api.Error{Error: "this machine was returned"}
	}
	return http.StatusOK, order
}

// sendStageOrder delivers an order to an agent. One that is lost is sent again, and goes out with
// the answer to the agent's next report in any case.
func (c *Controller) sendStageOrder(ctx context.Context, sched *scheduler.Scheduler, name, addr string, order api.StageOrder) {
	ctx, stop := context.WithTimeout(ctx, tuning.WorkerTimeout)
	defer stop()
	status, body, err := rest.Do(ctx, c.agentClient, http.MethodPost, "http://"+addr+"/stage", order)
	var heartbeat api.StageHeartbeat
	if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
		if err = json.Unmarshal(body, &heartbeat); err == nil {
			err = heartbeat.Check()
		}
	}
	if err != nil || heartbeat.Machine != name {
		slog.Debug("order not delivered", "machine", name, "status", status, "err", err)
		return
	}
	if _, deposed, _ := sched.HandleStageHeartbeat(&heartbeat); deposed {
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
		for _, event := range log {
			item := store.Item{Key: event.Set, Value: event.Value, Revision: event.Revision}
			if entry, err := scheduler.DecodeDataset(&item); event.Set != "" && err == nil {
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
