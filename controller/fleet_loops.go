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

// sendCommands sends commands to a worker and passes its response to the scheduler.
func (t *leaderTerm) sendCommands(ctx context.Context, name, address string, response api.HeartbeatResponse) {
	heartbeat, _, err := t.controller.worker.Send(ctx, address, response)
	if err != nil {
		slog.Debug("direct command failed", "machine", name, "err", err)
		if errors.Is(err, worker.ErrNotSent) && !errors.Is(err, connlimit.ErrLimit) {
			t.scheduler.ConnectionRefused(name)
		}
		t.scheduler.HandleCommandOutcome(name, response, nil, errors.Is(err, worker.ErrNotSent))
		return
	}
	t.resignIfDeposedBy(heartbeat)
	t.scheduler.HandleCommandOutcome(name, response, heartbeat, true)
}

// resignIfDeposedBy ends the term if a worker's token is that of a later leader, and reports whether it did.
func (t *leaderTerm) resignIfDeposedBy(heartbeat *api.Heartbeat) bool {
	return t.scheduler.FromLaterTerm(heartbeat.Term) && t.controller.resignIfDeposed(t.scheduler)
}

// resignIfDeposed ends the term after a worker has reported a higher one, and reports whether it did. While the
// leader's key is certainly valid, no other controller can have been elected. A worker that reports a term that was
// never issued must not end the leader's term.
func (c *Controller) resignIfDeposed(sched *scheduler.Scheduler) bool {
	if sched.Leading() {
		return false
	}
	c.elector.Resign("a worker has seen a higher term")
	return true
}

// refreshMachines passes the cloud's list of machines to the scheduler at intervals, until the context ends. After the
// first list it announces the term to all workers, so that they send heartbeats to the new leader at once.
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
		sleep.For(ctx, t.controller.clock, tuning.ListInterval)
	}
}

// announceTerm announces the term to a worker. The worker's incarnation is not known yet: a worker answers a wrong
// incarnation with the right one, with which the announcement is then repeated.
func (t *leaderTerm) announceTerm(ctx context.Context, name, address string) {
	incarnation := uint64(1)
	for range 2 {
		response := api.HeartbeatResponse{Term: t.scheduler.Term(), Incarnation: incarnation, Commands: []api.Command{}}
		heartbeat, done, err := t.controller.worker.Send(ctx, address, response)
		if err != nil {
			return
		}
		if done || heartbeat.Incarnation == incarnation {
			t.scheduler.HandleCommandOutcome(name, response, heartbeat, true)
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
				batch := names[:min(len(names), tuning.MaxMachinesPerReturn)]
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
		sleep.For(ctx, t.controller.clock, tuning.MaintenanceInterval)
	}
}

// errNotLeading is the result of a release that was not carried out because the term may have ended.
var errNotLeading = errors.New("no longer certain to lead")

// releaseMachines returns machines to the cloud. It first checks again that this controller leads: the process may have
// been paused after the decision, and the machines may be in use by another leader.
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
