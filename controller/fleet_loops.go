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
func (c *Controller) sendCommands(ctx context.Context, sched *scheduler.Scheduler, name, addr string, o api.HeartbeatResponse) {
	r, _, err := c.worker.Send(ctx, addr, o)
	if err != nil {
		slog.Debug("direct command failed", "machine", name, "err", err)
		if errors.Is(err, worker.ErrNotSent) && !errors.Is(err, connlimit.ErrLimit) {
			sched.ConnectionRefused(name)
		}
		sched.CommandsAnswered(name, o, nil, errors.Is(err, worker.ErrNotSent))
		return
	}
	if r.Term > sched.Term() {
		c.deposed(sched)
	}
	sched.CommandsAnswered(name, o, r, true)
}

// deposed ends the term if a worker's word of a higher one can be true: while our key certainly
// stands nobody else can have won one, and a worker that claims it must not end every term.
func (c *Controller) deposed(sched *scheduler.Scheduler) bool {
	if sched.Leading() {
		return false
	}
	c.elector.Resign("a worker has seen a higher term")
	return true
}

// refreshMachines reads the cloud's list. The first one tells a new leader whom to
// show its term, so that workers turn to it at once.
func (c *Controller) refreshMachines(ctx context.Context, sched *scheduler.Scheduler) {
	first := true
	for ctx.Err() == nil {
		list, err := c.cloud.List(ctx)
		if err != nil {
			slog.Info("machine list not read", "err", err)
			c.sleep(ctx, tuning.BackoffBase)
			continue
		}
		sched.ApplyInstanceList(list)
		if first {
			first = false
			for name, addr := range sched.Addresses() {
				go c.announceTerm(ctx, sched, name, addr)
			}
		}
		c.sleep(ctx, tuning.ListEvery)
	}
}

// announceTerm lets a worker see our term. Its session is not known: a wrong guess is
// encodeResponse with the right one.
func (c *Controller) announceTerm(ctx context.Context, sched *scheduler.Scheduler, name, addr string) {
	session := uint64(1)
	for range 2 {
		o := api.HeartbeatResponse{Term: sched.Term(), Incarnation: session, Commands: []api.Command{}}
		r, done, err := c.worker.Send(ctx, addr, o)
		if err != nil {
			return
		}
		if done || r.Incarnation == session {
			sched.CommandsAnswered(name, o, r, true)
			return
		}
		session = r.Incarnation
	}
}

// maintainFleet rents and returns machines.
func (c *Controller) maintainFleet(ctx context.Context, sched *scheduler.Scheduler) {
	for ctx.Err() == nil {
		if names := sched.MaintainFleet(); len(names) > 0 {
			for len(names) > 0 {
				some := names[:min(len(names), tuning.ReleaseBatch)]
				names = names[len(some):]
				go c.releaseMachines(ctx, sched, some)
			}
		}
		for _, r := range sched.InstanceRequests() {
			go func() {
				names, err := c.cloud.Rent(ctx, r)
				sched.InstancesGranted(r, names, err)
			}()
		}
		c.sleep(ctx, tuning.MaintainEvery)
	}
}

// errNoTerm: what was decided is not carried out, since the term may be over.
var errNoTerm = errors.New("no longer certain to lead")

// releaseMachines returns machines to the cloud. Whether we lead is looked at once more: this
// process may have stood still since that was decided, and the machines may work for
// another leader by now.
func (c *Controller) releaseMachines(ctx context.Context, sched *scheduler.Scheduler, names []string) {
	err := errNoTerm
	if sched.Leading() {
		err = c.cloud.Return(ctx, names)
	}
	if err != nil {
		slog.Info("machines not returned", "machines", names, "err", err)
	}
	sched.InstancesReleased(names, err)
}
