package controller

import (
	"context"
	"errors"
	"log/slog"

	"switchferry/api"
	"switchferry/connlimit"
	"switchferry/internal/sleep"
	"switchferry/scheduler"
	"switchferry/tuning"
	"switchferry/worker"
)

// sendCommands sends commands to a worker, and hands its answer to the scheduler.
func (t *leaderTerm) sendCommands(ctx context.Context, name, address string, response api.HeartbeatResponse) {
	heartbeat, _, err := t.controller.worker.Send(ctx, address, response)
	if err != nil {
		slog.Debug("direct command failed", "machine", name, "err", err)
		if errors.Is(err, worker.ErrNotSent) && !errors.Is(err, connlimit.ErrLimit) {
			t.scheduler.ConnectionRefused(name)
		}
		t.scheduler.CommandsAnswered(name, response, nil, errors.Is(err, worker.ErrNotSent))
		return
	}
	if heartbeat.Term > t.scheduler.Term() {
		t.controller.resignIfDeposed(t.scheduler)
	}
	t.scheduler.CommandsAnswered(name, response, heartbeat, true)
}

// resignIfDeposed ends the term after a worker has reported a higher one, and reports whether it did. While the leader's
// key certainly stands nobody else can have been elected, and a worker that claims a higher term must not end every
// term.
func (c *Controller) resignIfDeposed(sched *scheduler.Scheduler) bool {
	if sched.Leading() {
		return false
	}
	c.elector.Resign("a worker has seen a higher term")
	return true
}

// refreshMachines has the scheduler know which machines the cloud lists. After the first list, all workers are told of
// the term, so that they turn to the new leader at once.
func (t *leaderTerm) refreshMachines(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		list, err := t.controller.cloud.List(ctx)
		if err != nil {
			slog.Info("machine list not read", "err", err)
			sleep.For(ctx, t.controller.clock, tuning.BackoffBase)
			continue
		}
		t.scheduler.ApplyInstanceList(list)
		if first {
			first = false
			for name, address := range t.scheduler.Addresses() {
				go t.announceTerm(ctx, name, address)
			}
		}
		sleep.For(ctx, t.controller.clock, tuning.ListEvery)
	}
}

// announceTerm tells a worker of the term. Its incarnation is not known: a worker answers a wrong one with the right
// one, which is then tried.
func (t *leaderTerm) announceTerm(ctx context.Context, name, address string) {
	incarnation := uint64(1)
	for range 2 {
		response := api.HeartbeatResponse{Term: t.scheduler.Term(), Incarnation: incarnation, Commands: []api.Command{}}
		heartbeat, done, err := t.controller.worker.Send(ctx, address, response)
		if err != nil {
			return
		}
		if done || heartbeat.Incarnation == incarnation {
			t.scheduler.CommandsAnswered(name, response, heartbeat, true)
			return
		}
		incarnation = heartbeat.Incarnation
	}
}

// maintainFleet requests and releases machines as the scheduler decides, until the context ends.
func (t *leaderTerm) maintainFleet(ctx context.Context) {
	defer t.scheduler.LogReleases()
	for ctx.Err() == nil {
		if names := t.scheduler.MaintainFleet(); len(names) > 0 {
			for len(names) > 0 {
				batch := names[:min(len(names), tuning.ReleaseBatch)]
				names = names[len(batch):]
				go t.releaseMachines(ctx, batch)
			}
		}
		for _, request := range t.scheduler.InstanceRequests() {
			go func() {
				names, err := t.controller.cloud.Rent(ctx, request)
				t.scheduler.InstancesGranted(request, names, err)
			}()
		}
		sleep.For(ctx, t.controller.clock, tuning.MaintainEvery)
	}
}

// errNotLeading is the outcome of a release that was not carried out, since the term may be over.
var errNotLeading = errors.New("no longer certain to lead")

// releaseMachines returns machines to the cloud. It checks again whether this controller leads: the process may have
// been paused since that was decided, and the machines may work for another leader by now.
func (t *leaderTerm) releaseMachines(ctx context.Context, names []string) {
	err := errNotLeading
	if t.scheduler.Leading() {
		err = t.controller.cloud.Return(ctx, names)
	}
	if err != nil {
		slog.Info("machines not returned", "machines", names, "err", err)
	}
	t.scheduler.InstancesReleased(names, err)
}
