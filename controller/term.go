package controller

import (
	"context"
	"slices"

	"switchferry/configuration/revisions"
	"switchferry/controller/inbox"
	"switchferry/internal/sleep"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/upgrade"
)

// leaderTerm is one term in which this controller leads. It holds the scheduler of the term, and runs the loops that
// pass input to the scheduler and carry out its decisions. The loops end with the context passed to run. The fields do
// not change after run is called.
type leaderTerm struct {
	controller *Controller
	scheduler  *scheduler.Scheduler
	// committer writes the scheduler's records.
	committer *store.Committer
	// applier changes the configuration in this term; it is nil unless live configuration is on.
	applier *revisions.Applier
	// stop ends the context of the term.
	stop context.CancelFunc
}

// Elected starts a term. The elector calls it.
func (c *Controller) Elected(number uint64) {
	ctx, stop := context.WithCancel(c.ctx)
	term := c.newLeaderTerm(ctx, number)
	term.stop = stop
	c.leases.watermark.RequireToken(number)
	c.term.begin(term)
	if len(c.versions.Older()) == 0 {
		term.useCurrentFormat()
	}
	c.applyTokenSupport(c.tokens.Support())
	go term.run(ctx)
}

// applyTokenSupport lets the scheduler of the current term, if there is one, raise fencing tokens if all members accept
// them.
func (c *Controller) applyTokenSupport(support upgrade.TokenSupport) {
	fencing := map[upgrade.TokenSupport]scheduler.Fencing{
		upgrade.TokenSupportUnknown:  scheduler.FencingUndecided,
		upgrade.TokenSupportMissing:  scheduler.FencingOff,
		upgrade.TokenSupportComplete: scheduler.FencingOn,
	}
	if sched := c.term.scheduler(); sched != nil {
		sched.SetFencing(fencing[support])
	}
}

// requireTokenOfCancellation requires the revision of a cancellation that was stored while no leader's key existed as the
// fencing token of workers, unless a member may not accept tokens that are no leader's term.
func (c *Controller) requireTokenOfCancellation(revision uint64) {
	if c.tokens.Support() == upgrade.TokenSupportComplete {
		c.leases.watermark.RequireToken(revision)
	}
}

// Lost ends the current term. The elector calls it.
func (c *Controller) Lost(uint64, string) { c.term.end() }

// newLeaderTerm returns a term whose loops have not been started. The context is that of the term.
func (c *Controller) newLeaderTerm(ctx context.Context, number uint64) *leaderTerm {
	term := &leaderTerm{controller: c}
	term.scheduler = scheduler.New(number, c.clock, c.settings, c.policy, c.catalog.MachineTypes(), termCollaborators(ctx, term, number))
	if c.features.data.On {
		term.scheduler.UseData(c.features.data)
	}
	if c.features.topology != nil {
		term.scheduler.UseTopology(c.features.topology.Map())
	}
	if c.configuration.revisions != nil {
		term.applier = revisions.NewApplier(ctx, c.configuration.revisions, &configurationTerm{c, term.scheduler})
	}
	term.committer = store.NewCommitter(c.client, recordSource{term.scheduler, c}, c.clock, c.settings.Facts.State, map[string]uint64{})
	return term
}

// useCurrentFormat makes the term write records in the format of this version. It is called once no process of an older
// version may read them.
func (t *leaderTerm) useCurrentFormat() {
	t.scheduler.UseCurrentFormat()
	t.committer.SetValueLimit(t.controller.settings.Facts.State.Strictest().MaxValueBytes())
}

// run reads the records, starts the loops of the term, and then places tasks until the context ends.
func (t *leaderTerm) run(ctx context.Context) {
	t.startLoops(ctx, t.loadWithRetry(ctx))
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.scheduler.Wake():
		case <-t.controller.clock.After(tuning.PlacementInterval):
		}
		began := t.controller.clock.Now()
		t.scheduler.Place()
		duration := t.controller.clock.Since(began)
		if reason := t.resignReason(); reason != "" {
			t.controller.elector.Resign(reason)
		}
		sleep.For(ctx, t.controller.clock, max(tuning.MinPlacementInterval, tuning.PlacementPauseFactor*duration))
	}
}

// startLoops starts the loops of the term other than placement. They continue from the revisions that were read.
func (t *leaderTerm) startLoops(ctx context.Context, loaded loadedRevisions) {
	go t.committer.Run(ctx)
	go inbox.NewFollower(t.controller.clock, t.controller.client, t.scheduler, t.committer, loaded.jobs).Run(ctx)
	go t.lookUpDependencies(ctx)
	go t.followWorkerRelay(ctx, loaded.jobs)
	go t.refreshMachines(ctx)
	if t.controller.features.data.On {
		go t.followDatasets(ctx, loaded.datasets)
		go t.followAgentRelay(ctx, loaded.jobs)
	}
	go t.maintainFleet(ctx)
}

// resignReason returns the reason why this controller should resign, or an empty string if it should not.
func (t *leaderTerm) resignReason() string {
	peers := t.controller.peers.LivePeers()
	hasHigherTerm := func(hello peer.Hello) bool { return hello.Term > t.scheduler.Term() }
	switch {
	case slices.ContainsFunc(peers, hasHigherTerm):
		return "a peer has a higher term"
	case t.scheduler.Leading() && t.computesSlowerThan(peers):
		return "computes slower than a peer"
	case t.scheduler.Leading() && t.scheduler.OutboundLost(peers):
		return "reaches no worker, a peer does"
	case t.committer.Stalled():
		return "stores nothing although the state service answers"
	case !t.controller.peers.Isolated():
		return ""
	case t.isolatedFromWorkers():
		return "receives from neither workers nor peers"
	case t.controller.elector.ExpiredFor() > tuning.IsolationTimeout:
		// If peers were reachable, this would be an outage of the state service alone, during which the leader must still
		// answer workers.
		return "reaches neither the state service nor peers"
	}
	return ""
}

// computesSlowerThan reports whether the leadership should be transferred to one of the peers because it computes faster.
func (t *leaderTerm) computesSlowerThan(peers []peer.Hello) bool {
	now, started := t.controller.clock.Now(), t.scheduler.TermStarted()
	return t.controller.leadershipTransfer.Due(now, started, t.controller.cpuMonitor.ComparisonUS(), peers)
}

// isolatedFromWorkers reports whether no heartbeat has been received for tuning.IsolationTimeout, and the term has
// lasted for longer than a lease. Workers of unresponsive peers try unreachable controllers in turn. If a new leader
// resigned before they reached it, they would find no controller at all.
func (t *leaderTerm) isolatedFromWorkers() bool {
	clock, lease := t.controller.clock, settings.Seconds(t.controller.settings.Facts.Workers.LeaseS)
	return clock.Since(t.scheduler.TermStarted()) > lease && clock.Since(t.scheduler.LastContact()) > tuning.IsolationTimeout
}
