package dataagent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/internal/sleep"
	"switchferry/tuning"
)

// nextControllerDelay is the pause before a heartbeat is sent to the next controller after one did not
// accept it.
const nextControllerDelay = time.Second

// NextHeartbeat returns the next heartbeat to send. It lists all parts in the cache if the controllers have not
// acknowledged the current version of that list.
func (agent *Agent) NextHeartbeat() api.StageHeartbeat {
	agent.mu.Lock()
	listHeld := agent.knownVersion != agent.replicasVersion
	agent.mu.Unlock()
	return agent.Heartbeat(listHeld)
}

// Heartbeat returns a new heartbeat with the next sequence number. If listHeld is true, it lists all
// parts in the cache. Its lists are sorted by dataset and part.
func (agent *Agent) Heartbeat(listHeld bool) api.StageHeartbeat {
	agent.refreshReplicas()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.sequence++
	heartbeat := api.StageHeartbeat{
		Machine:          agent.options.Machine,
		Address:          agent.options.Address,
		Incarnation:      agent.state.Incarnation,
		Seq:              agent.sequence,
		Term:             agent.state.Term,
		Sequence:         agent.state.OrderNumber,
		Quota:            agent.options.CacheBytes,
		Used:             agent.cache.Used(),
		Version:          agent.replicasVersion,
		HoldingsComplete: listHeld,
		BytesFromStore:   agent.sourceClient.fromStore.Load(),
		BytesFromPeers:   agent.sourceClient.fromPeers.Load(),
	}
	if listHeld {
		heartbeat.Holdings = agent.heldParts()
	}
	for _, desired := range agent.desired {
		if !desired.verified.IsEmpty() {
			heartbeat.Pinned = append(heartbeat.Pinned, api.StageHolding{
				Dataset:  desired.set.Dataset,
				Manifest: desired.set.Manifest,
				Parts:    api.PartSet{Bitmap: desired.verified},
			})
		}
	}
	for _, transfer := range agent.transfers {
		heartbeat.Copies = append(heartbeat.Copies, transfer.status())
	}
	slices.SortFunc(heartbeat.Holdings, compareDatasets)
	slices.SortFunc(heartbeat.Pinned, compareDatasets)
	slices.SortFunc(heartbeat.Copies, func(first, second api.StageProgress) int {
		return cmp.Or(cmp.Compare(first.Dataset, second.Dataset), cmp.Compare(first.Part, second.Part))
	})
	return heartbeat
}

// heldParts returns all parts in the cache, by dataset, in no particular order. mu must be held.
func (agent *Agent) heldParts() []api.StageHolding {
	var held []api.StageHolding
	for _, replica := range agent.replicas {
		if !replica.parts.IsEmpty() {
			held = append(held, api.StageHolding{
				Dataset:   replica.manifest.Name,
				Manifest:  replica.manifestDigest.String(),
				PartCount: replica.manifest.PartCount(),
				Parts:     api.PartSet{Bitmap: replica.parts},
			})
		}
	}
	return held
}

// compareDatasets compares by dataset name.
func compareDatasets(first, second api.StageHolding) int {
	return cmp.Compare(first.Dataset, second.Dataset)
}

// sendHeartbeats sends heartbeats until ctx is cancelled. It tries the controllers in turn until one
// accepts the heartbeat, and follows redirects to the leader.
func (agent *Agent) sendHeartbeats(ctx context.Context) {
	names := slices.Sorted(maps.Keys(agent.options.Controllers))
	current := 0
	for ctx.Err() == nil {
		redirect, err := agent.sendHeartbeat(ctx, agent.options.Controllers[names[current]])
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && redirect == "":
			agent.awaitNextHeartbeat(ctx)
			continue
		case err == nil && redirect != names[current] && slices.Contains(names, redirect):
			current = slices.Index(names, redirect)
			sleep.For(ctx, agent.clock, tuning.MinStageHeartbeatInterval)
			continue
		case err != nil:
			slog.Debug("heartbeat not accepted", "by", names[current], "err", err)
		}
		current = (current + 1) % len(names)
		sleep.For(ctx, agent.clock, nextControllerDelay)
	}
}

// awaitNextHeartbeat waits for the minimum interval between two heartbeats, and then until the usual
// interval has passed or a heartbeat is requested.
func (agent *Agent) awaitNextHeartbeat(ctx context.Context) {
	interval := agent.clock.After(tuning.StageHeartbeatInterval)
	sleep.For(ctx, agent.clock, tuning.MinStageHeartbeatInterval)
	select {
	case <-ctx.Done():
	case <-interval:
	case <-agent.heartbeatDue:
	}
}

// sendHeartbeat sends one heartbeat to the controller at the given address and applies the order in its
// response. If that controller is not the leader, redirect is the member name of the controller to send
// heartbeats to instead.
func (agent *Agent) sendHeartbeat(ctx context.Context, address string) (redirect string, err error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StageCallTimeout)
	defer cancel()
	raw, err := json.Marshal(agent.NextHeartbeat())
	if err != nil {
		return "", fmt.Errorf("encode heartbeat: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/staging", bytes.NewReader(raw))
	if err != nil {
		return "", fmt.Errorf("send heartbeat: %w", err)
	}
	response, err := agent.http.Do(request)
	if err != nil {
		return "", fmt.Errorf("send heartbeat: %w", err)
	}
	defer closeBody(response)
	body, err := io.ReadAll(io.LimitReader(response.Body, tuning.MaxOrderBytes))
	if err != nil {
		return "", fmt.Errorf("read response to heartbeat: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		var order api.StageOrder
		if err := json.Unmarshal(body, &order); err != nil {
			return "", fmt.Errorf("malformed order: %w", err)
		}
		_, err = agent.Apply(&order)
		return "", err
	case http.StatusMisdirectedRequest:
		var target api.Redirect
		if json.Unmarshal(body, &target) == nil && target.Controller != "" {
			return target.Controller, nil
		}
	}
	return "", fmt.Errorf("status %d", response.StatusCode)
}
