// Package controller is the process of one controller: election, forwarding of requests to the leader, admission of
// jobs, renewal of workers' leases, relays past broken links, and the loops of a term. What a term of the leader
// decides is up to its Scheduler.
package controller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
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
	"switchferry/relay/proxy"
	"switchferry/retry"
	"switchferry/scheduler"
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
	scheduler      *scheduler.Scheduler
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
	// term; both are nil unless that feature is on.
	revisions *revisions.Store
	applier   *revisions.Applier

	workerProxy *proxy.Workers
	cpuMonitor  *cpupressure.Monitor
	// transfer is used by the loop of a term alone.
	transfer cpupressure.LeadershipTransfer

	// datasets says whether datasets are on; sets are those read lately, agents the client
	// for orders to their agents.
	data         features.Data
	datasetCache map[string]*dataset.Entry
	agentClient  *http.Client
	// agentRedirects remembers agents that were sent to the leader; agentRelay answers
	// those that do not reach it.
	agentRedirects redirect.Tracker
	agentProxy     *proxy.Agents
}

// New makes a controller. Transport carries its calls to other services.
func New(ctx context.Context, set *settings.Settings, pol *policy.Policy, clock clockwork.Clock, transport http.RoundTripper) *Controller {
	n := &Controller{settings: set, policy: pol, clock: clock, ctx: ctx, startedAt: clock.Now(), renewingLeases: true, redirects: redirect.NewTracker(),
		newestHeartbeats: reachability.NewDeduplicator(tuning.HeartbeatsKept)}
	all := []string{set.Member}
	for _, s := range set.Peers {
		all = append(all, s.Member)
	}
	n.fileConfiguration = []*configuration.Active{configuration.FromFiles(set.Facts.Teams, pol)}
	n.watermark = watermark.New(n.startedAt, all[1:], watermark.NewLimits(settings.Seconds(set.Facts.Workers.CancelS), settings.Seconds(set.Facts.Workers.LeaseS)))
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
	n.workerProxy = proxy.NewWorkers(n.proxyOptions())
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
	go b.Watch(c.ctx, tuning.ConnLogEvery, func(counts connlimit.Counts) {
		slog.Info("sockets are scarce", "open", counts.Open, "limit", counts.Limit, "by", counts.ByClass, "idle_closed", counts.IdleClosed, "commands_not_sent", counts.Refused)
	})
}

// DialPeers has connections to siblings opened so; it is called before Run.
func (c *Controller) DialPeers(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.peers.Dial = dial
}

// Enable switches features on; it is called before Run.
func (c *Controller) Enable(f *features.Features) {
	c.data = f.Data
	c.datasetCache = map[string]*dataset.Entry{}
	c.agentRedirects = redirect.NewTracker()
	c.agentProxy = proxy.NewAgents(c.proxyOptions())
	if f.Membership.On {
		c.newMembershipWatcher()
	}
	if f.Configuration.On {
		c.newRevisionStore()
	}
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
	go c.workerProxy.Exchange.Run(c.ctx)
	if c.data.On {
		go c.agentProxy.Exchange.Run(c.ctx)
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

// Isolated is for the elector: we reach no sibling in any way.
func (c *Controller) Isolated() bool {
	return c.clock.Since(c.startedAt) > tuning.PeerDead && c.peers.Isolated()
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
	return !c.lastHeartbeat.IsZero() && c.clock.Since(c.lastHeartbeat) < settings.Seconds(tuning.RecentHeartbeats*c.settings.Facts.Workers.ReportS)
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

func (c *Controller) leadingScheduler() *scheduler.Scheduler {
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
