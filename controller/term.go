package controller

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/configuration/revisions"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// recordSource ties a term's core to its committer.
type recordSource struct {
	*scheduler.Scheduler
	n *Controller
}

func (s recordSource) Condition() (store.Condition, bool) {
	term, valid := s.n.elector.Term()
	return store.Condition{Key: store.LeaderKey, Revision: s.Term()}, valid && term == s.Term()
}

// Record has a cancellation known to the siblings before it can be read by anyone.
func (s recordSource) Record(key string) (value any, exists bool, more []store.Condition) {
	value, exists, more = s.Scheduler.Record(key)
	if rec, ok := value.(store.JobRecord); ok && rec.FinalState == api.Cancelled {
		s.n.watermark.RecordCancellation(s.n.clock.Now(), rec.Job.ID)
	}
	return value, exists, more
}

// Conflict lets this node forget what it believed of a dataset.
func (s recordSource) Conflict(key string, found *store.Item) {
	if strings.HasPrefix(key, store.DatasetPrefix) {
		if x, err := scheduler.DecodeDataset(found); err == nil {
			s.n.cacheDataset(x)
		}
	}
	s.Scheduler.Conflict(key, found)
}

func (s recordSource) Deposed() { s.n.elector.Resign("deposed") }

// Elected starts a term.
func (c *Controller) Elected(term uint64) {
	ctx, end := context.WithCancel(c.ctx)
	var committer *store.Committer
	hooks := scheduler.Hooks{
		MarkDirty: func(key string, urgency int, after func()) { committer.MarkDirty(key, urgency, after) },
		MarkDirtyWithin: func(key string, urgency int, wait time.Duration, after func()) {
			committer.MarkDirtyWithin(key, urgency, wait, after)
		},
		Leading: func() bool {
			t, valid := c.elector.Term()
			return valid && t == term
		},
		CommitDelay:     func() time.Duration { return committer.Delay() },
		ZoneUnreachable: c.zoneUnreachable,
		JobTerminal:     c.rememberTerminal,
		TerminalState:   c.terminalState,
	}
	c.mu.Lock()
	types := c.machineTypes
	c.mu.Unlock()
	var sched *scheduler.Scheduler
	hooks.SendCommands = func(name, addr string, o api.HeartbeatResponse) { go c.sendCommands(ctx, sched, name, addr, o) }
	hooks.SendStageOrder = func(name, addr string, o api.StageOrder) { go c.sendStageOrder(ctx, sched, name, addr, o) }
	sched = scheduler.New(term, c.clock, c.settings, c.policy, types, hooks)
	if c.data.On {
		sched.UseData(c.data)
	}
	if c.topology != nil {
		sched.UseTopology(c.topology.Map())
	}
	var applier *revisions.Applier
	if c.revisions != nil {
		applier = revisions.NewApplier(ctx, c.revisions, &configurationLeader{c, sched})
	}
	committer = store.NewCommitter(c.client, recordSource{sched, c}, c.clock, c.settings.Facts.State, map[string]uint64{})
	own := func() {
		sched.UseCurrentFormat()
		committer.SetValueLimit(c.settings.Facts.State.Least().ValueBytes())
	}
	c.mu.Lock()
	c.scheduler, c.endTerm, c.useCurrentFormat, c.applier = sched, end, own, applier
	c.mu.Unlock()
	if len(c.versions.Older()) == 0 {
		own()
	}
	go c.runTerm(ctx, sched, committer, applier)
}

// Lost ends a term.
func (c *Controller) Lost(uint64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endTerm != nil {
		c.endTerm()
	}
	c.scheduler, c.endTerm, c.useCurrentFormat, c.applier = nil, nil, nil, nil
}

func (c *Controller) runTerm(ctx context.Context, sched *scheduler.Scheduler, committer *store.Committer, applier *revisions.Applier) {
	var inbox, known uint64
	for ctx.Err() == nil {
		if applier != nil {
			// What was read before this term may be older than what the last leader put in force.
			if err := applier.Load(ctx); err != nil {
				slog.Error("configuration not read", "err", err)
				c.sleep(ctx, tuning.ElectRetry)
				continue
			}
		}
		if c.data.On {
			var err error
			if known, err = c.loadDatasets(ctx, sched); err != nil {
				slog.Error("datasets not read", "err", err)
				c.sleep(ctx, tuning.ElectRetry)
				continue
			}
		}
		jobs, epoch, err := c.client.List(ctx, store.JobPrefix)
		var shards []store.Item
		if err == nil {
			shards, _, err = c.client.List(ctx, store.ShardPrefix)
		}
		if err == nil {
			if images, _, ierr := c.client.List(ctx, store.ImagesPrefix); ierr == nil {
				sched.LoadImageHints(images)
				for _, it := range images {
					committer.SetRevision(it.Key, it.Revision)
				}
			}
			if c.data.On {
				if holds, _, herr := c.client.List(ctx, store.ReplicasPrefix); herr == nil {
					sched.LoadReplicaHints(holds)
					for _, it := range holds {
						committer.SetRevision(it.Key, it.Revision)
					}
				}
			}
			for _, it := range append(jobs, shards...) {
				committer.SetRevision(it.Key, it.Revision)
			}
			sched.Load(jobs, shards)
		}
		if err == nil {
			c.loadedTerm.Store(sched.Term())
			inbox = epoch
			break
		}
		slog.Error("records not read", "err", err)
		c.sleep(ctx, tuning.ElectRetry)
	}
	go committer.Run(ctx)
	go c.followInbox(ctx, sched, committer, inbox)
	go c.lookUpDependencies(ctx, sched, committer)
	go c.followWorkerRelay(ctx, sched, committer, inbox)
	go c.refreshMachines(ctx, sched)
	if c.data.On {
		go c.followDatasets(ctx, sched, known)
		go c.followAgentRelay(ctx, sched, committer, inbox)
	}
	go c.maintainFleet(ctx, sched)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-sched.Wake():
		case <-c.clock.After(tuning.Tick):
		}
		began := c.clock.Now()
		sched.Place()
		took := c.clock.Since(began)
		if why := c.unfitReason(sched); why != "" {
			c.elector.Resign(why)
		}
		c.sleep(ctx, max(tuning.PlaceGap, tuning.PlaceRest*took))
	}
}

// unfitReason is why this node should no longer lead; empty: it should.
func (c *Controller) unfitReason(sched *scheduler.Scheduler) string {
	for _, h := range c.peers.LivePeers() {
		if h.Term > sched.Term() {
			return "a sibling has a higher term"
		}
	}
	if sched.Leading() && c.transfer.Due(c.clock.Now(), sched.TermStarted(), c.cpuMonitor.ComparisonUS(), c.peers.LivePeers()) {
		return "computes slower than a sibling"
	}
	if sched.Leading() && sched.OutboundLost(c.peers.LivePeers()) {
		return "reaches no worker, a sibling does"
	}
	if !c.peers.Isolated() {
		return ""
	}
	switch {
	case c.isolatedFromWorkers(sched):
		return "hears neither workers nor siblings"
	case c.elector.ExpiredFor() > tuning.IsolatedAfter:
		// With the siblings answering this would be an outage, in which
		// workers must go on being answered.
		return "reaches neither the state service nor siblings"
	}
	return ""
}

// isolatedFromWorkers tells whether nobody is heard for long. The workers of silent siblings try one
// dead end after the other: whoever leads alone must give them a lease's time, or
// they find nobody when they come.
func (c *Controller) isolatedFromWorkers(sched *scheduler.Scheduler) bool {
	return c.clock.Since(sched.TermStarted()) > settings.Seconds(c.settings.Facts.Workers.LeaseS) && c.clock.Since(sched.LastContact()) > tuning.IsolatedAfter
}

// zoneUnreachable tells whether no controller in another zone can be reached.
func (c *Controller) zoneUnreachable(zone string) bool {
	there := false
	for _, s := range c.settings.Peers {
		if s.Zone == zone {
			there = true
			if c.peers.Reachable(s.Member) {
				return false
			}
		}
	}
	return there && zone != c.settings.Zone
}

func (c *Controller) rememberTerminal(id string, f store.FinalRecord) {
	if f.State == api.Cancelled {
		c.watermark.RecordCancellation(c.clock.Now(), id)
	}
	c.terminalStates.Remember(id, f)
}

func (c *Controller) terminalState(id string) (store.FinalRecord, bool) {
	return c.terminalStates.Get(id)
}

// markVersion puts this controller's version on record; once all have this one, records are
// written as it has them.
func (c *Controller) markVersion(ctx context.Context) {
	if c.versions.Run(ctx) {
		c.mu.Lock()
		own := c.useCurrentFormat
		c.mu.Unlock()
		if own != nil {
			own()
		}
	}
}
