package controller

import (
	"context"
	"errors"
	"log/slog"

	"switchferry/api"
	"switchferry/connlimit"
	"switchferry/scheduler"
	"switchferry/tuning"
	"switchferry/worker"
)

// sendCommands delivers a direct command.
func (t *leaderTerm) sendCommands(ctx context.Context, name, addr string, response api.HeartbeatResponse) {
	heartbeat, _, err := t.controller.worker.Send(ctx, addr, response)
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

// resignIfDeposed ends the term if a worker's word of a higher one can be true: while our key certainly
// stands nobody else can have won one, and a worker that claims it must not end every term.
func (c *Controller) resignIfDeposed(sched *scheduler.Scheduler) bool {
	if sched.Leading() {
		return false
	}
	c.elector.Resign("a worker has seen a higher term")
	return true
}

// refreshMachines reads the cloud's list. The first one tells a new leader whom to
// show its term, so that workers turn to it at once.
func (t *leaderTerm) refreshMachines(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		list, err := t.controller.cloud.List(ctx)
		if err != nil {
			slog.Info("machine list not read", "err", err)
			sleep(ctx, t.controller.clock, tuning.BackoffBase)
			continue
		}
		t.scheduler.ApplyInstanceList(list)
		if first {
			first = false
			for name, addr := range t.scheduler.Addresses() {
				go t.announceTerm(ctx, name, addr)
			}
		}
		sleep(ctx, t.controller.clock, tuning.ListEvery)
	}
}

// announceTerm lets a worker see our term. Its session is not known: a wrong guess is
// encodeResponse with the right one.
func (t *leaderTerm) announceTerm(ctx context.Context, name, addr string) {
	session := uint64(1)
	for range 2 {
		response := api.HeartbeatResponse{Term: t.scheduler.Term(), Incarnation: session, Commands: []api.Command{}}
		heartbeat, done, err := t.controller.worker.Send(ctx, addr, response)
		if err != nil {
			return
		}
		if done || heartbeat.Incarnation == session {
			t.scheduler.CommandsAnswered(name, response, heartbeat, true)
			return
		}
		session = heartbeat.Incarnation
	}
}

// maintainFleet rents and returns machines.
func (t *leaderTerm) maintainFleet(ctx context.Context) {
	for ctx.Err() == nil {
		if names := t.scheduler.MaintainFleet(); len(names) > 0 {
			for len(names) > 0 {
				some := names[:min(len(names), tuning.ReleaseBatch)]
				names = names[len(some):]
				go t.releaseMachines(ctx, some)
			}
		}
		for _, r := range t.scheduler.InstanceRequests() {
			go func() {
				names, err := t.controller.cloud.Rent(ctx, r)
				t.scheduler.InstancesGranted(r, names, err)
			}()
		}
		sleep(ctx, t.controller.clock, tuning.MaintainEvery)
	}
}

// errNotLeading: what was decided is not carried out, since the term may be over.
var errNotLeading = errors.New("no longer certain to lead")

// releaseMachines returns machines to the cloud. Whether we lead is looked at once more: this
// process may have stood still since that was decided, and the machines may work for
// another leader by now.
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
