package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/cloud"
	"switchferry/configuration"
	"switchferry/configuration/revisions"
	"switchferry/connlimit"
	"switchferry/cpupressure"
	"switchferry/dataset"
	"switchferry/election"
	"switchferry/features"
	"switchferry/lookup"
	"switchferry/membership"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/reachability"
	"switchferry/redirect"
	"switchferry/relay/exchange"
	"switchferry/retry"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/topology"
	"switchferry/traffic"
	"switchferry/tuning"
	"switchferry/upgrade"
	"switchferry/watermark"
	"switchferry/worker"
)

// Controller is one controller process.
type Controller struct {
	settings  *settings.Settings
	policy    *policy.Policy
	clock     clockwork.Clock
	client    *store.Client
	elector   *election.Elector
	peers     *peer.Network
	cloud     *cloud.Client
	worker    *worker.Client
	startedAt time.Time
	ctx       context.Context

	mu             sync.Mutex
	scheduler      *Scheduler
	endTerm        context.CancelFunc
	machineTypes   []api.MachineType
	stateServedAt  time.Time
	stateRefusedAt time.Time
	// lastHeartbeat is when a worker last reported to this node itself; newest are the reports that did.
	lastHeartbeat    time.Time
	newestHeartbeats *reachability.Deduplicator
	// watermark is what it knows of cancellations; loaded is the term whose records it has read, lone when it
	// last answered a worker by itself. keeping: leases were renewed at the last report.
	watermark       *watermark.Tracker
	loadedTerm      atomic.Uint64
	answeredAloneAt time.Time
	renewingLeases  bool
	redirects       redirect.Tracker
	requestCounts   traffic.Counter

	// readLimiter limits what questions of users take of the state service, records reads jobs' records
	// within that.
	readLimiter *rate.Limiter
	records     *lookup.Jobs
	// terminalStates are what it knows to be over, ends what it told users of that.
	terminalStates *lookup.TerminalStates
	notifications  *lookup.Notifications

	// topology is nil unless that feature is on.
	topology *topology.File
	// leaderlessWriter writes what is accepted without a leader.
	leaderlessWriter *store.HedgedClient
	// relayLimiter is what this node writes of letters, of all kinds together.
	relayLimiter *rate.Limiter
	// retries spreads the users that were refused over the time that it takes to take them.
	retries *retry.Spread

	// versions tells whose processes may be of an older version.
	versions *upgrade.VersionRegistry
	// useCurrentFormat has the records of the term written as this version has them; nil without a term.
	useCurrentFormat func()
	// members watches the siblings; nil unless that feature is on. leaving: this process ends
	// by plan.
	members      *membership.Watcher
	shuttingDown bool
	// fileConfiguration is what files and settings say, alone in its list.
	fileConfiguration []*configuration.Active
	// revisions keeps the configuration, which can change while this process runs, and applier changes it in the present
	// runTerm; both are nil unless that feature is on.
	revisions *revisions.Store
	applier   *revisions.Applier

	heartbeatRelay *heartbeatRelay
	cpuMonitor     *cpupressure.Monitor
	// transfer is used by the loop of a term alone.
	transfer cpupressure.LeadershipTransfer

	// followDatasets says whether datasets are on; sets are those read lately, agents the client
	// for orders to their agents.
	data         features.Data
	datasetCache map[string]*dataset.Entry
	agentClient  *http.Client
	// agentRedirects remembers agents that were sent to the leader; agentRelay answers
	// those that do not reach it.
	agentRedirects redirect.Tracker
	agentRelay     *agentRelay
}

// New makes a controller. Transport carries its calls to other services.
func New(ctx context.Context, set *settings.Settings, pol *policy.Policy, clock clockwork.Clock, transport http.RoundTripper) *Controller {
	n := &Controller{settings: set, policy: pol, clock: clock, ctx: ctx, startedAt: clock.Now(), renewingLeases: true, redirects: redirect.NewTracker(),
		newestHeartbeats: reachability.NewDeduplicator(tuning.NewestKept)}
	all := []string{set.Member}
	for _, s := range set.Peers {
		all = append(all, s.Member)
	}
	n.fileConfiguration = []*configuration.Active{configuration.FromFiles(set.Facts.Teams, pol)}
	n.watermark = watermark.New(n.startedAt, all[1:], watermark.NewLimits(seconds(set.Facts.Workers.CancelS), seconds(set.Facts.Workers.LeaseS)))
	n.client = store.NewClient(set.External.State, transport)
	n.versions = upgrade.NewVersionRegistry(set.Member, all, n.client, clock)
	n.client.OnResponse = n.recordStateResponse
	n.cloud = cloud.New(set.External.Cloud, set.Facts.Cloud.RPS, transport)
	n.worker = worker.New(transport)
	n.peers = peer.New(set.Peers, clock, n.hello, func(ctx context.Context, r peer.Request) peer.Response { return n.Handle(ctx, r, true) })
	n.peers.Watermarks = watermarks{n}
	n.elector = election.New(set.Member, n.client, clock, n)
	share := tuning.ReadShare * set.Facts.State.RPS / float64(1+len(set.Peers))
	n.readLimiter = rate.NewLimiter(rate.Limit(share), max(1, int(share)))
	n.records = &lookup.Jobs{Client: n.client, Recall: n.terminalState, Remember: n.rememberTerminal, Queue: lookup.NewFairQueue(clock, n.readLimiter)}
	n.terminalStates, n.notifications = lookup.NewTerminalStates(), lookup.NewNotifications()
	n.relayLimiter = exchange.WriteRate(n.settings.Facts.State)
	writes := set.Facts.State.Least().WriteRPS
	rest := writes * (1 - tuning.QuotaShare)
	n.leaderlessWriter = store.NewHedgedClient(n.client, n.clock, rate.NewLimiter(rate.Limit(rest), max(1, int(rest))), writes)
	var err error
	n.retries, err = retry.New(tuning.QuotaShare*writes/float64(1+len(set.Peers)), tuning.RetryAfterS, tuning.RetryAfterMost,
		tuning.RefusedFor, tuning.RefusedKept)
	if err != nil {
		panic(err) // only for a limit below one
	}
	n.heartbeatRelay = newHeartbeatRelay(n)
	n.cpuMonitor = cpupressure.NewMonitor(clock)
	n.agentClient = &http.Client{Transport: transport}
	return n
}

// Transport is the transport for all calls to other services, within a budget of sockets.
func Transport(set *settings.Settings, budget *connlimit.Limiter) *http.Transport {
	return &http.Transport{
		DialContext: budget.Dial(func(addr string) connlimit.Class {
			if addr == set.External.State || addr == set.External.Cloud {
				return connlimit.Service
			}
			return connlimit.Command
		}),
		MaxIdleConns:        tuning.IdleConns,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// UseConnLimiter lets this node keep to a budget of sockets; it is called before Run.
func (c *Controller) UseConnLimiter(b *connlimit.Limiter) {
	c.peers.Dial = b.Dial(func(string) connlimit.Class { return connlimit.Peer })
	go b.Watch(c.ctx, tuning.SocketsTold, func(counts connlimit.Counts) {
		slog.Info("sockets are scarce", "open", counts.Open, "limit", counts.Limit, "by", counts.ByClass, "idle_closed", counts.IdleClosed, "commands_not_sent", counts.Refused)
	})
}

// DialPeers has connections to siblings opened so; it is called before Run.
func (c *Controller) DialPeers(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.peers.Dial = dial
}

// Run starts everything and runs until the context ends.
func (c *Controller) Run(back net.Listener) {
	go func() {
		if err := c.peers.Serve(c.ctx, back); err != nil {
			slog.Error("back port", "err", err)
		}
	}()
	c.peers.Run(c.ctx)
	go c.refreshCatalog()
	go c.markVersion(c.ctx)
	go c.requestCounts.Log(c.ctx, c.clock, tuning.FleetLogEvery)
	go c.heartbeatRelay.post.Run(c.ctx)
	if c.data.On {
		go c.agentRelay.post.Run(c.ctx)
	}
	if c.topology != nil {
		go c.watchTopology()
	}
	go c.cpuMonitor.Run(c.ctx)
	go c.followCancellations(c.ctx)
	if c.revisions != nil {
		go c.revisions.Run(c.ctx, func() bool { return c.leadingScheduler() != nil })
	}
	if c.members != nil {
		go c.members.Run(c.ctx, func() membership.LocalState {
			return membership.LocalState{Leads: c.leadingScheduler() != nil, StateOK: c.stateServiceHealthy(), ReceivesHeartbeats: c.receivesHeartbeats()}
		})
	}
	c.elector.Run(c.ctx)
}

func (c *Controller) recordStateResponse(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if served {
		c.stateServedAt = c.clock.Now()
	} else {
		c.stateRefusedAt = c.clock.Now()
	}
}

func (c *Controller) stateServiceHealthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stateServedAt.IsZero() && !c.stateRefusedAt.After(c.stateServedAt)
}

func (c *Controller) hello() peer.Hello {
	term, _ := c.elector.Term()
	h := peer.Hello{Member: c.settings.Member, Term: term, StateOK: c.stateServiceHealthy(), BenchmarkUS: c.cpuMonitor.PublishedUS(), ReceivesHeartbeats: c.receivesHeartbeats()}
	if c.members != nil {
		h.StartedMS, h.HeardPeers, h.Leaving = uint64(c.startedAt.UnixMilli()), c.members.HeardPeers(), c.isShuttingDown()
	}
	return h
}

// receivesHeartbeats tells whether a worker reported to this node itself a moment ago.
func (c *Controller) receivesHeartbeats() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lastHeartbeat.IsZero() && c.clock.Since(c.lastHeartbeat) < seconds(tuning.HearsReports*c.settings.Facts.Workers.ReportS)
}

// Isolated is for the elector: we reach no sibling in any way.
func (c *Controller) Isolated() bool {
	return c.clock.Since(c.startedAt) > tuning.PeerDead && c.peers.Isolated()
}

// Ready tells whether users should come here: not to a node without the state
// service while a sibling has it, and not to one that is cut off. In an outage
// every node is as good, and the load balancer would take seconds to come back
// to nodes that it had given up.
func (c *Controller) Ready() bool {
	if c.isShuttingDown() {
		return false
	}
	if c.stateServiceHealthy() {
		return true
	}
	for _, h := range c.peers.LivePeers() {
		if h.StateOK {
			return false
		}
	}
	return !c.peers.Isolated()
}

func (c *Controller) leadingScheduler() *Scheduler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler
}

func (c *Controller) refreshCatalog() {
	for c.ctx.Err() == nil {
		types, err := c.cloud.Catalog(c.ctx)
		wait := tuning.CatalogEvery
		if err != nil {
			slog.Info("catalog not read", "err", err)
			wait = tuning.BackoffBase
		} else {
			c.mu.Lock()
			c.machineTypes = types
			sched := c.scheduler
			c.mu.Unlock()
			if sched != nil {
				sched.SetTypes(types)
			}
		}
		c.sleep(c.ctx, wait)
	}
}

func (c *Controller) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.clock.After(d):
	}
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

// recordSource ties a term's core to its committer.
type recordSource struct {
	*Scheduler
	n *Controller
}

func (s recordSource) Condition() (store.Condition, bool) {
	term, valid := s.n.elector.Term()
	return store.Condition{Key: store.LeaderKey, Revision: s.term}, valid && term == s.term
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
		if x, err := parseDataset(found); err == nil {
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
	hooks := Hooks{
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
	sched := NewScheduler(term, c.clock, c.settings, c.policy, types, hooks)
	sched.hooks.SendCommands = func(name, addr string, o api.HeartbeatResponse) { go c.sendCommands(ctx, sched, name, addr, o) }
	if c.data.On {
		sched.hooks.SendStageOrder = func(name, addr string, o api.StageOrder) { go c.sendStageOrder(ctx, sched, name, addr, o) }
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

// Lost ends a term.
func (c *Controller) Lost(uint64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endTerm != nil {
		c.endTerm()
	}
	c.scheduler, c.endTerm, c.useCurrentFormat, c.applier = nil, nil, nil, nil
}

func (c *Controller) runTerm(ctx context.Context, sched *Scheduler, committer *store.Committer, applier *revisions.Applier) {
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
			c.loadedTerm.Store(sched.term)
			inbox = epoch
			break
		}
		slog.Error("records not read", "err", err)
		c.sleep(ctx, tuning.ElectRetry)
	}
	go committer.Run(ctx)
	go c.followInbox(ctx, sched, committer, inbox)
	go c.lookUpDependencies(ctx, sched, committer)
	go c.followHeartbeatRelay(ctx, sched, committer, inbox)
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
		case <-sched.wake:
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
func (c *Controller) unfitReason(sched *Scheduler) string {
	for _, h := range c.peers.LivePeers() {
		if h.Term > sched.term {
			return "a sibling has a higher term"
		}
	}
	if sched.hooks.Leading() && c.transfer.Due(c.clock.Now(), sched.termStarted, c.cpuMonitor.ComparisonUS(), c.peers.LivePeers()) {
		return "computes slower than a sibling"
	}
	if sched.hooks.Leading() && sched.outboundLost(c.peers.LivePeers()) {
		return "reaches no worker, a sibling does"
	}
	if !c.peers.Isolated() {
		return ""
	}
	switch {
	case c.isolatedFromWorkers(sched):
		return "hears neither workers nor siblings"
	case c.elector.ExpiredFor() > tuning.DeafAfter:
		// With the siblings answering this would be an outage, in which
		// workers must go on being answered.
		return "reaches neither the state service nor siblings"
	}
	return ""
}

// isolatedFromWorkers tells whether nobody is heard for long. The workers of silent siblings try one
// dead end after the other: whoever leads alone must give them a lease's time, or
// they find nobody when they come.
func (c *Controller) isolatedFromWorkers(sched *Scheduler) bool {
	return c.clock.Since(sched.termStarted) > seconds(c.settings.Facts.Workers.LeaseS) && c.clock.Since(sched.lastContact()) > tuning.DeafAfter
}

// followInbox takes in jobs that siblings accepted while they did not reach us.
func (c *Controller) followInbox(ctx context.Context, sched *Scheduler, committer *store.Committer, after uint64) {
	// removeAt is done with a key, or has to look again: a job that was passed over here stood
	// localityAware record, accepted, and ran only once its user had asked for it.
	take := func(key string) bool {
		id := strings.TrimPrefix(key, store.InboxPrefix)
		it, err := c.client.Get(ctx, store.JobKey(id))
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return false
		}
		if err == nil && !sched.HasJob(id) {
			committer.SetRevision(it.Key, it.Revision)
			sched.Conflict(store.JobKey(id), &it)
		}
		in, err := c.client.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			return true
		}
		if err != nil {
			return false
		}
		var rec store.InboxRecord
		if json.Unmarshal(in.Value, &rec) == nil && rec.Cancel {
			sched.Cancel(ctx, id)
		}
		committer.SetRevision(key, in.Revision)
		committer.MarkDirty(key, store.Lazy, nil)
		return true
	}
	all := true
	var todo []string
	for ctx.Err() == nil {
		var log []store.Event
		var epoch uint64
		var err error
		if all {
			var old []store.Item
			old, epoch, err = c.client.List(ctx, store.InboxPrefix)
			for _, it := range old {
				todo = append(todo, it.Key)
			}
		} else {
			block := tuning.InboxBlock
			if len(todo) > 0 {
				block = tuning.ElectRetry
			}
			log, epoch, err = c.client.Watch(ctx, store.InboxPrefix, after, block)
		}
		if err != nil {
			all = all || errors.Is(err, store.ErrCompacted)
			c.sleep(ctx, tuning.ElectRetry)
			continue
		}
		all, after = false, max(after, epoch)
		for _, e := range log {
			if e.Set != "" {
				todo = append(todo, e.Set)
			}
		}
		todo = slices.DeleteFunc(todo, take)
		if len(todo) == 0 {
			sched.InboxSeen(after)
		}
	}
}

// sendCommands delivers a direct command.
func (c *Controller) sendCommands(ctx context.Context, sched *Scheduler, name, addr string, o api.HeartbeatResponse) {
	r, _, err := c.worker.Send(ctx, addr, o)
	if err != nil {
		slog.Debug("direct command failed", "machine", name, "err", err)
		if errors.Is(err, worker.ErrNotSent) && !errors.Is(err, connlimit.ErrLimit) {
			sched.ConnectionRefused(name)
		}
		sched.CommandsAnswered(name, o, nil, errors.Is(err, worker.ErrNotSent))
		return
	}
	if r.Term > sched.term {
		c.deposed(sched)
	}
	sched.CommandsAnswered(name, o, r, true)
}

// deposed ends the term if a worker's word of a higher one can be true: while our key certainly
// taskLocations nobody else can have won one, and a worker that claims it must not end every term.
func (c *Controller) deposed(sched *Scheduler) bool {
	if sched.hooks.Leading() {
		return false
	}
	c.elector.Resign("a worker has seen a higher term")
	return true
}

// refreshMachines reads the cloud's list. The first one tells a new leader whom to
// announceTerm its term, so that workers turn to it at once.
func (c *Controller) refreshMachines(ctx context.Context, sched *Scheduler) {
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
// jsonAnswer with the right one.
func (c *Controller) announceTerm(ctx context.Context, sched *Scheduler, name, addr string) {
	session := uint64(1)
	for range 2 {
		o := api.HeartbeatResponse{Term: sched.term, Incarnation: session, Commands: []api.Command{}}
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
func (c *Controller) maintainFleet(ctx context.Context, sched *Scheduler) {
	for ctx.Err() == nil {
		if names := sched.MaintainFleet(); len(names) > 0 {
			for len(names) > 0 {
				some := names[:min(len(names), tuning.ReturnBatch)]
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
		c.sleep(ctx, tuning.TendEvery)
	}
}

// errNoTerm: what was decided is not carried out, since the term may be over.
var errNoTerm = errors.New("no longer certain to lead")

// releaseMachines returns machines to the cloud. Whether we lead is looked at once more: this
// process may have stood still since that was decided, and the machines may work for
// another leader by now.
func (c *Controller) releaseMachines(ctx context.Context, sched *Scheduler, names []string) {
	err := errNoTerm
	if sched.hooks.Leading() {
		err = c.cloud.Return(ctx, names)
	}
	if err != nil {
		slog.Info("machines not returned", "machines", names, "err", err)
	}
	sched.InstancesReleased(names, err)
}

// HandleHeartbeat answers a worker. Its zone's own controller is its home, so that a cut
// between zones does not take its answers away: that one passes reports on to
// the leader, and relays them once it cannot.
func (c *Controller) HandleHeartbeat(ctx context.Context, r *api.Heartbeat, raw []byte) (status int, body any) {
	c.mu.Lock()
	fresh := c.newestHeartbeats.Accept(r)
	if fresh {
		c.lastHeartbeat = c.clock.Now()
	}
	c.mu.Unlock()
	if !fresh {
		// A copy that came late shows neither that workers reach this node nor where one is; an
		// jsonResponse without a token renews nothing.
		return http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}
	}
	if sched := c.leadingScheduler(); sched != nil {
		if to := c.controllerFor(r.Zone, c.settings.Member); to != c.settings.Member && c.mayRedirect(r.Machine, to) {
			return http.StatusMisdirectedRequest, api.Redirect{Controller: to}
		}
		return c.answerAsLeader(sched, r, "")
	}
	leader, term := c.elector.Leader()
	leader, term, there := newestLeader(leader, term, c.peers.LivePeers())
	if prev := c.previousLeader(); !c.stateServiceHealthy() && c.peers.Isolated() && c.mayRedirect(r.Machine, prev) {
		// Reaching neither the state service nor any sibling, we are the one
		// that is cut off, or all of our zone is. A worker that comes back
		// reaches nobody else either, and stays.
		return http.StatusMisdirectedRequest, api.Redirect{Controller: prev}
	}
	if leader == "" || leader == c.settings.Member {
		last, since := c.elector.LeaderlessFor()
		if last == 0 || r.Term > last || since > tuning.Interregnum && c.stateServiceHealthy() {
			return http.StatusServiceUnavailable, api.Error{Error: "no leader yet"}
		}
		if !c.mayRenewLeases() {
			return c.refuseRenewal()
		}
		// Between two leaders the last one's token still keeps leases. Sent
		// away, a worker might try nodes beyond a cut until its lease ends.
		return http.StatusOK, c.enforceCancellations(r, api.HeartbeatResponse{Term: last, Commands: []api.Command{}})
	}
	if there {
		if to := c.controllerFor(r.Zone, leader); to != c.settings.Member && c.mayRedirect(r.Machine, to) {
			return http.StatusMisdirectedRequest, api.Redirect{Controller: to}
		}
		if a, err := c.peers.Ask(ctx, leader, peer.Request{Verb: verbReport, Body: raw, From: c.settings.Member}, tuning.PeerTimeout); err == nil && a.Status != http.StatusMisdirectedRequest {
			return a.Status, json.RawMessage(a.Body)
		}
		// Whatever the leader answered, this report's answer is ours now: it
		// mayRenewLeases the lease and carries nothing that was not in the mail.
	}
	if r.Term > term {
		return http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}
	}
	if !c.mayRenewLeases() {
		return c.refuseRenewal()
	}
	return http.StatusOK, c.enforceCancellations(r, c.heartbeatRelay.handleHeartbeat(r, term))
}

// previousLeader is the sibling that comes before us in the order in which workers try
// nodes: one that finds nobody there comes straight back.
func (c *Controller) previousLeader() string {
	prev, last := "", ""
	for _, s := range c.settings.Peers {
		last = max(last, s.Member)
		if s.Member < c.settings.Member {
			prev = max(prev, s.Member)
		}
	}
	if prev == "" {
		return last
	}
	return prev
}

// mayRedirect tells whether a worker may be sent to another node.
func (c *Controller) mayRedirect(worker, to string) bool {
	// One that greets nobody is judged by nothing but whether workers come back.
	hears := true
	for _, h := range c.peers.LivePeers() {
		if h.Member == to {
			hears = h.ReceivesHeartbeats
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.redirects.Allow(c.clock.Now(), worker, to, hears)
}

// newestLeader is the leader by the siblings' own word, or else as last read; there:
// a sibling within reach says that it leads. A former leader that came back
// without its term leads nothing, even while its key still stands because the
// state service is out.
func newestLeader(leader string, term uint64, alive []peer.Hello) (string, uint64, bool) {
	there := false
	for _, h := range alive {
		if h.Term > 0 && h.Term >= term {
			leader, term, there = h.Member, h.Term, true
		}
	}
	return leader, term, there
}

// decideMachine answers a report as the leader. Via is the sibling that passes it on.
func (c *Controller) answerAsLeader(sched *Scheduler, r *api.Heartbeat, via string) (status int, body any) {
	// A leader that has not read the records knows of cancellations what its siblings say, or nothing.
	sure := c.markCurrentIfLeading()
	kept := sure || c.mayRenewLeases()
	if !kept && !sched.hooks.Leading() {
		return http.StatusServiceUnavailable, api.Error{Error: "cut off for too long to keep tasks alive"}
	}
	o, deposed, refused := sched.HandleHeartbeat(r, via)
	switch {
	case deposed && c.deposed(sched):
		return http.StatusMisdirectedRequest, api.Redirect{}
	case deposed:
		return http.StatusBadRequest, api.Error{Error: "helm: is higher than any token that was given", Field: "helm"}
	case refused:
		return http.StatusServiceUnavailable, api.Error{Error: "this machine was returned"}
	case !kept:
		// The worker waits here, unanswered as far as its lease goes, until the records are read.
		return http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}
	case !sure:
		o = c.enforceCancellations(r, o)
	}
	return http.StatusOK, o
}

// controllerFor is the controller that a zone's workers should report to: the leader if it
// is there, else their home, or, next to a silent controller, the one behind it.
func (c *Controller) controllerFor(zone, leader string) string {
	to := leader
	if c.zoneOf(leader) != zone {
		if home := c.homeController(zone); home != "" {
			to = home
		}
	}
	ring := append([]settings.Peer{{Member: c.settings.Member, Zone: c.settings.Zone}}, c.settings.Peers...)
	return redirect.Target(ring, to, zone, func(m string) bool {
		return m != c.settings.Member && c.clock.Since(c.startedAt) > tuning.PeerDead+tuning.PeerHello && c.peers.Unresponsive(m)
	})
}

// homeController is the controller that a zone's workers report to: this one if it is
// there, else the first within reach that is; none if no one is.
func (c *Controller) homeController(zone string) string {
	if zone == c.settings.Zone {
		return c.settings.Member
	}
	for _, s := range c.settings.Peers {
		if s.Zone == zone && c.peers.Reachable(s.Member) {
			return s.Member
		}
	}
	return ""
}

func (c *Controller) zoneOf(member string) string {
	for _, s := range c.settings.Peers {
		if s.Member == member {
			return s.Zone
		}
	}
	return c.settings.Zone
}

// handleForwardedHeartbeat serves a report that a sibling passes on.
func (c *Controller) handleForwardedHeartbeat(from string, raw []byte) peer.Response {
	sched := c.leadingScheduler()
	var r api.Heartbeat
	if err := json.Unmarshal(raw, &r); err != nil || r.Check() != nil || sched == nil {
		return jsonResponse(http.StatusMisdirectedRequest, api.Redirect{})
	}
	return jsonResponse(c.answerAsLeader(sched, &r, from))
}

// Handle serves a user's request, here or at the leader. Forwarded: it comes
// from a sibling and is not passed on.
func (c *Controller) Handle(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if forwarded && r.Verb == verbReport {
		return c.handleForwardedHeartbeat(r.From, r.Body)
	}
	if forwarded && r.Verb == verbStage {
		return c.handleForwardedStageHeartbeat(r.Body)
	}
	from := c.clock.Now()
	a := c.noteAnswer(c.route(ctx, r, forwarded))
	if took := c.clock.Since(from); r.Verb == VerbSubmit && took > tuning.AcceptPatience {
		slog.Debug("submission answered late", "ms", took.Milliseconds(), "status", a.Status, "forwarded", forwarded, "leading", c.leadingScheduler() != nil)
	}
	if !forwarded && r.Verb == VerbSubmit {
		c.setRetryAfter(&a, r.Body)
	}
	if !forwarded {
		c.requestCounts.Add(r.Verb == VerbStatus, a.Status == http.StatusServiceUnavailable)
	}
	return a
}

// setRetryAfter tells the user of a job that cannot be taken now when to come back: each another
// time, spread over as long as it takes to take all that wait.
func (c *Controller) setRetryAfter(a *peer.Response, body []byte) {
	refused := a.Status == http.StatusServiceUnavailable
	c.mu.Lock()
	none := c.retries.Waiting() == 0
	c.mu.Unlock()
	if !refused && none {
		return
	}
	_, id, _ := api.ParseSubmission(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if refused {
		a.RetryAfterS = max(a.RetryAfterS, c.retries.Refused(c.clock.Now(), id))
	} else {
		c.retries.Taken(id)
	}
}

func (c *Controller) route(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if r.Verb == VerbMembers {
		return c.handleMembers()
	}
	if r.Verb == VerbTopology || r.Verb == VerbExplain {
		return c.handleTopology(ctx, r, forwarded)
	}
	if r.Verb == VerbConfiguration || r.Verb == VerbConfigure || r.Verb == verbConfirm {
		return c.handleConfiguration(ctx, r, forwarded)
	}
	if r.Verb == VerbRegister || r.Verb == VerbRemove || r.Verb == VerbData {
		return c.handleDatasets(ctx, r, forwarded)
	}
	if f, ok := c.terminalState(r.Job); ok && r.Verb != VerbSubmit {
		return jsonResponse(http.StatusOK, finalStatus(r.Job, f))
	}
	if sched := c.leadingScheduler(); sched != nil {
		switch {
		case sched.hooks.Leading() && sched.Loaded():
			return c.serveAsLeader(ctx, sched, r)
		case !c.stateServiceHealthy():
			if r.Verb == VerbSubmit {
				_, id, _ := api.ParseSubmission(r.Body)
				if f, ok := c.terminalState(id); ok {
					return jsonResponse(http.StatusOK, finalStatus(id, f))
				}
			}
			return retryLater("the state service is out of reach")
		}
		// Not the leader yet, or no more, and the state service answers: whatever
		// is read and written there is as good from us as from any node.
		return c.serveAsLeader(ctx, nil, r)
	}
	if forwarded {
		return retryLater(notLeading)
	}
	leader, term := c.elector.Leader()
	leader, _, there := newestLeader(leader, term, c.peers.LivePeers())
	if there {
		a, err := c.peers.Ask(ctx, leader, r, forwardPatience(r.Verb))
		switch {
		case err == nil && answeredByLeader(a):
			return a
		case err == nil:
			// It leads no more, and has not greeted since: whoever follows it need not be waited
			// for. Users were told to come back by the one that had just handed over.
		case errors.Is(err, peer.ErrBusy):
			// To do its work beside it would only take more of what it lacks.
			return retryLater("the leader is busy")
		}
		// It may have fallen silent: what it was asked is stored or read without
		// it, as conditions on the keys allow whether it goes on or not.
		c.requestCounts.Passed()
	}
	return c.serveAsLeader(ctx, nil, r)
}

// notLeading is what a controller answers to what only a leader may be asked.
const notLeading = "not the leader"

// answeredByLeader tells whether an answer is a leader's.
func answeredByLeader(a peer.Response) bool {
	var e api.Error
	return a.Status != http.StatusServiceUnavailable || json.Unmarshal(a.Body, &e) != nil || e.Error != notLeading
}

// forwardPatience is how long the leader is waited for.
func forwardPatience(verb string) time.Duration {
	switch verb {
	case VerbSubmit:
		return tuning.AcceptPatience
	case VerbStatus:
		return tuning.PollPatience
	}
	return tuning.PeerTimeout
}

// serveAsLeader answers as the leader (core) or, while the leader is out of reach,
// from the state service itself.
func (c *Controller) serveAsLeader(ctx context.Context, sched *Scheduler, r peer.Request) peer.Response {
	switch r.Verb {
	case VerbSubmit:
		return c.serveSubmission(ctx, sched, r.Body)
	case VerbStatus:
		if sched != nil {
			if st, ok := sched.JobStatus(r.Job); ok {
				return jsonResponse(http.StatusOK, st)
			}
		}
		return c.answerStatus(ctx, sched, r.Job, true)
	case VerbCancel:
		return c.serveCancellation(ctx, sched, r.Job)
	}
	return jsonResponse(http.StatusNotFound, api.Error{Error: "no such request"})
}

func (c *Controller) serveCancellation(ctx context.Context, sched *Scheduler, id string) peer.Response {
	if sched == nil {
		return c.cancelWithoutLeader(ctx, id)
	}
	if a, ok := sched.Cancel(ctx, id); ok {
		return a
	}
	a := c.answerStatus(ctx, sched, id, true)
	if a.Status == http.StatusOK {
		if b, ok := sched.Cancel(ctx, id); ok {
			return b
		}
	}
	return a
}

func (c *Controller) serveSubmission(ctx context.Context, sched *Scheduler, body []byte) peer.Response {
	submission, id, err := api.ParseSubmission(body)
	if id != "" {
		if f, ok := c.terminalState(id); ok {
			return jsonResponse(http.StatusOK, finalStatus(id, f))
		}
		if sched != nil {
			if st, ok := sched.JobStatus(id); ok {
				return jsonResponse(http.StatusOK, st)
			}
		}
	}
	v := submissionVerdict{status: http.StatusBadRequest, err: err}
	if err == nil {
		v = c.evaluateSubmission(ctx, sched, submission, body)
	}
	switch {
	case v.again != "":
		return retryLater(v.again)
	case v.err != nil || v.undecided:
		return c.refuseSubmission(ctx, sched, id, v)
	case sched == nil:
		return c.submitWithoutLeader(ctx, submission, body, v.judged.conds...)
	}
	if a, ok := sched.Submit(ctx, submission, c.clock.Now()); ok {
		return a
	}
	a := c.answerStatus(ctx, sched, id, false)
	if a.Status == http.StatusNotFound && len(submission.Inputs) > 0 {
		// One of its datasets was taken off the list meanwhile.
		if status, err, _ := c.checkInputs(ctx, sched, submission, body); err != nil {
			return refusal(status, err)
		}
		return retryLater("a dataset of the job has just changed")
	}
	return a
}

// submissionVerdict is what is thought of a submission. With neither an error nor a reason to ask again it can be accepted.
type submissionVerdict struct {
	// status goes with err, which refuses it for good.
	status int
	err    error
	// undecided: what it hangs on is not known, which leaves a known job its answer; again is why its user has to ask
	// resendCommands whatever is known.
	undecided bool
	again     string
	judged    admission
}

// evaluateSubmission checks what can be wrong with a submission, one thing after the other.
func (c *Controller) evaluateSubmission(ctx context.Context, sched *Scheduler, submission *api.Submission, body []byte) (v submissionVerdict) {
	v.status = http.StatusUnprocessableEntity
	v.judged, v.err, v.undecided = c.canRun(sched, submission)
	if v.err == nil {
		if v.err = c.fitsSomeMachineType(submission); v.err != nil {
			v.status = http.StatusBadRequest
		}
	}
	if v.err == nil && c.topology != nil {
		v.status, v.err = checkSite(submission, body)
	}
	if v.err == nil && !v.undecided && len(submission.Awaits) > 0 {
		if v.again, v.err = c.checkDependencies(ctx, sched, submission); v.again != "" {
			return v
		}
		v.status = http.StatusUnprocessableEntity
	}
	if v.err == nil && !v.undecided && c.data.On {
		v.status, v.err, v.undecided = c.checkInputs(ctx, sched, submission, body)
	}
	return v
}

// refuseSubmission answers a submission that cannot be accepted, for good or for now. A known id is never refused, whatever the
// body, nor sent away while nothing can be judged.
func (c *Controller) refuseSubmission(ctx context.Context, sched *Scheduler, id string, v submissionVerdict) peer.Response {
	if id != "" {
		if sched != nil {
			if here, _, _ := sched.DependencyState(id); here {
				return retryLater("the job is just being accepted")
			}
		}
		if st, found, err := c.lookUp(ctx, sched, id, false); err != nil {
			return retryLater("the state service is out of reach")
		} else if found {
			return jsonResponse(http.StatusOK, st)
		}
	}
	switch {
	case v.err != nil && !v.judged.stillValid(c, sched):
		return retryLater("the configuration has just changed")
	case v.err != nil:
		return refusal(v.status, v.err)
	case v.judged.why != "":
		return retryLater(v.judged.why)
	case c.data.On:
		return retryLater("the machine types, or the job's datasets, are not known yet")
	}
	return retryLater("the machine types are not known yet")
}

// fitsSomeMachineType finds a job whose record is too large for the state service.
func (c *Controller) fitsSomeMachineType(submission *api.Submission) error {
	raw, err := json.Marshal(store.JobRecord{Job: *submission, At: math.MaxInt64, FinalState: api.Cancelled, FinalAt: math.MaxInt64})
	if most := c.settings.Facts.State.Least().ValueBytes(); err == nil && len(raw) > most {
		err = &api.FieldError{Field: "body", Want: fmt.Sprintf("the job takes %d bytes on record, at most %d can be stored; use shorter names or fewer machine types", len(raw), most)}
	}
	return err
}

// answerStatus answers from the state service.
func (c *Controller) answerStatus(ctx context.Context, sched *Scheduler, id string, waits bool) peer.Response {
	st, found, err := c.lookUp(ctx, sched, id, waits)
	switch {
	case err != nil:
		return retryLater("the state service is out of reach")
	case !found:
		return jsonResponse(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	return jsonResponse(http.StatusOK, st)
}

// lookUp reads a job's record: its own key first, since the final one is
// written before that goes. Waits: a question's user waits for its turn; a submission is refused at once.
func (c *Controller) lookUp(ctx context.Context, sched *Scheduler, id string, waits bool) (_ api.JobStatus, found bool, err error) {
	if !api.ValidID(id) {
		return api.JobStatus{}, false, nil
	}
	asked := ""
	if waits {
		asked = id
		defer func() {
			if err == nil {
				c.records.Queue.Answered(id)
			}
		}()
	}
	// Questions must not take the requests that leading needs.
	x, err := c.records.ReadInTurn(ctx, id, asked)
	switch {
	case err != nil || !x.Found:
		return api.JobStatus{}, false, err
	case x.Record == nil:
		return finalStatus(id, x.Final), true, nil
	}
	if f, ok := c.terminalState(id); ok {
		// It ended while we read: the record is old by now.
		return finalStatus(id, f), true, nil
	}
	if sched != nil {
		sched.Conflict(x.Record.Key, x.Record)
		if st, ok := sched.JobStatus(id); ok {
			return st, true, nil
		}
	}
	st := api.JobStatus{ID: id, State: api.Pending}
	if x.Final.State != "" {
		st.State = x.Final.State
	} else if gone, err := c.records.DependsOnCancelled(ctx, x.Awaits, asked); err != nil {
		return st, false, err
	} else if gone {
		st.State = api.Cancelled
	}
	return st, true, nil
}

// submitWithoutLeader accepts a job without the leader, which learns of it by the
// followInbox, as long as further conditions hold.
func (c *Controller) submitWithoutLeader(ctx context.Context, submission *api.Submission, body []byte, more ...store.Condition) peer.Response {
	rec := store.JobRecord{Job: *submission, At: c.clock.Now().UnixMilli()}
	conds := []store.Condition{{Key: store.JobKey(submission.ID)}, {Key: store.FinalKey(submission.ID)}}
	inputs, err := c.inputConditions(ctx, submission)
	if err != nil {
		return retryLater("the state service is out of reach")
	}
	_, failed, err := c.leaderlessWriter.Transact(ctx, slices.Concat(conds, more, inputs),
		[]store.Operation{{Set: store.JobKey(submission.ID), Value: rec}, {Set: store.InboxKey(submission.ID), Value: store.InboxRecord{}}})
	switch {
	case err == nil:
		return jsonResponse(http.StatusCreated, api.JobStatus{ID: submission.ID, State: api.Pending})
	case errors.Is(err, store.ErrConflict) && !slices.Contains(failed, store.JobKey(submission.ID)) && !slices.Contains(failed, store.FinalKey(submission.ID)):
		if slices.Contains(failed, configuration.HeadKey) {
			return retryLater("the configuration has just changed")
		}
		// A dataset is not as it was.
		c.evictDatasets(submission)
		if status, err, _ := c.checkInputs(ctx, nil, submission, body); err != nil {
			return refusal(status, err)
		}
		return retryLater("a dataset of the job has just changed")
	case errors.Is(err, store.ErrConflict):
		return c.answerStatus(ctx, nil, submission.ID, false)
	}
	return retryLater("the state service is out of reach")
}

// cancelWithoutLeader cancels while there is no leader; with one, only it may, since it
// answers polls from memory.
func (c *Controller) cancelWithoutLeader(ctx context.Context, id string) peer.Response {
	if !api.ValidID(id) {
		return jsonResponse(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	it, err := c.client.Get(ctx, store.JobKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return c.answerStatus(ctx, nil, id, true)
	}
	var rec store.JobRecord
	if err != nil || json.Unmarshal(it.Value, &rec) != nil {
		return retryLater("the state service is out of reach")
	}
	if rec.FinalState == "" {
		rec.FinalState, rec.FinalAt = api.Cancelled, c.clock.Now().UnixMilli()
		_, _, err = c.leaderlessWriter.Transact(ctx,
			[]store.Condition{{Key: store.LeaderKey}, {Key: it.Key, Revision: it.Revision}},
			[]store.Operation{{Set: it.Key, Value: rec}})
		if errors.Is(err, store.ErrConflict) {
			// The leader is asked through the state service; the user's next
			// try finds its answer there.
			_, _, _ = c.client.Transact(ctx, []store.Condition{{Key: it.Key, Revision: it.Revision}},
				[]store.Operation{{Set: store.InboxKey(id), Value: store.InboxRecord{Cancel: true}}})
		}
		if err != nil {
			return retryLater("the leader is out of reach")
		}
	}
	return jsonResponse(http.StatusOK, api.JobStatus{ID: id, State: rec.FinalState})
}
