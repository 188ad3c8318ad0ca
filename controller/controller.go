// Package controller implements the process of one controller: election, forwarding of requests to the leader, renewal
// of workers' leases, relaying through the state service when links between controllers fail, and the loops of a
// leader's term. Scheduling decisions are made by package scheduler, and package admission decides on submissions.
package controller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/cloud"
	"switchferry/connlimit"
	"switchferry/controller/admission"
	"switchferry/controller/jobstatus"
	"switchferry/cpupressure"
	"switchferry/election"
	"switchferry/features"
	"switchferry/membership"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/relay/exchange"
	"switchferry/relay/proxy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/traffic"
	"switchferry/tuning"
	"switchferry/upgrade"
	"switchferry/worker"
)

// Controller is one controller process. It composes the components of the process. Each component guards its own state
// and receives the components that it depends on when it is created. All methods may be called concurrently, except for
// those documented to be called before Run.
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
	// features holds the features that operators have switched on. It does not change after Run is called.
	features *optionalFeatures
	// versions tracks which members may still run a process of an older version.
	versions *upgrade.VersionRegistry
	// tokens tracks whether all members accept raised fencing tokens.
	tokens *upgrade.TokenRegistry

	health        *stateHealth
	catalog       *machineCatalog
	term          *currentTerm
	leader        *leaderLocator
	leases        *leaseRenewal
	workers       *workerRouter
	heartbeats    *heartbeatMonitor
	agents        *agentGateway
	jobs          *jobstatus.Reader
	datasets      *datasetService
	configuration *liveConfiguration
	submissions   *admission.Service

	// workerProxy relays heartbeats of workers while the leader is unreachable.
	workerProxy *proxy.Workers
	cpuMonitor  *cpupressure.Monitor
	// leadershipTransfer decides when leadership moves to a faster peer. Only the placement loop of a term uses it.
	leadershipTransfer cpupressure.LeadershipTransfer
	requestCounts      traffic.Counter
	// readLimiter limits reads from the state service for user requests to this controller's share.
	readLimiter *rate.Limiter
	// relayLimiter limits this controller's writes of relayed messages of all kinds together.
	relayLimiter *rate.Limiter
	// members is nil unless membership is on.
	members *membership.Watcher
	// shuttingDown is set once, when a graceful shutdown begins.
	shuttingDown atomic.Bool
}

// New returns a controller that does nothing before Run is called. All goroutines that it starts end with the context.
// The transport carries its calls to the state service, the cloud, workers and agents.
func New(ctx context.Context, set *settings.Settings, pol *policy.Policy, clock clockwork.Clock, transport http.RoundTripper) *Controller {
	controller := &Controller{settings: set, policy: pol, clock: clock, ctx: ctx, startedAt: clock.Now(), features: &optionalFeatures{}}
	controller.createClients(transport)
	controller.readLimiter = newReadLimiter(set)
	controller.relayLimiter = exchange.NewWriteLimiter(set.Facts.State)
	controller.health = &stateHealth{clock: clock}
	controller.client.OnResponse = controller.health.recordResponse
	controller.catalog = &machineCatalog{clock: clock, cloud: controller.cloud}
	controller.term = &currentTerm{}
	controller.leader = &leaderLocator{elector: controller.elector, peers: controller.peers}
	controller.leases = newLeaseRenewal(controller)
	controller.peers.Watermarks = cancellationExchange{controller.leases}
	controller.workers = newWorkerRouter(set, clock, controller.peers)
	controller.heartbeats = newHeartbeatMonitor(clock, set.Facts.Workers)
	controller.agents = newAgentGateway(controller, transport)
	controller.jobs = jobstatus.NewReader(clock, controller.client, controller.readLimiter, controller.leases.watermark, &controller.requestCounts)
	controller.datasets = newDatasetService(controller)
	controller.configuration = newLiveConfiguration(controller)
	controller.submissions = admission.New(admission.Options{Settings: set, Clock: clock, Client: controller.client, Versions: controller.versions,
		Catalog: controller.catalog, Configuration: controller.configuration, Datasets: controller.datasets.cache, Jobs: controller.jobs,
		RequireToken: controller.requireTokenOfCancellation})
	controller.workerProxy = proxy.NewWorkers(controller.proxyOptions())
	controller.cpuMonitor = cpupressure.NewMonitor(clock)
	return controller
}

// createClients creates the clients of other services, the network of peers and the elector.
func (c *Controller) createClients(transport http.RoundTripper) {
	members := []string{c.settings.Member}
	for _, other := range c.settings.Peers {
		members = append(members, other.Member)
	}
	c.client = store.NewClient(c.settings.External.State, transport)
	c.versions = upgrade.NewVersionRegistry(c.settings.Member, members, c.client, c.clock)
	c.tokens = upgrade.NewTokenRegistry(c.settings.Member, members, c.client, c.clock, c.applyTokenSupport)
	c.cloud = cloud.New(c.settings.External.Cloud, c.settings.Facts.Cloud.RPS, transport)
	c.worker = worker.New(transport)
	c.peers = peer.New(c.settings.Peers, c.clock, c.hello, func(ctx context.Context, request peer.Request) peer.Response {
		return c.Handle(ctx, request, true)
	})
	c.elector = election.New(c.settings.Member, c.client, c.clock, c)
}

// newReadLimiter returns a limiter for a controller's share of the state service reads that user requests may take.
func newReadLimiter(set *settings.Settings) *rate.Limiter {
	share := tuning.ReadShare * set.Facts.State.RPS / float64(1+len(set.Peers))
	return rate.NewLimiter(rate.Limit(share), max(1, int(share)))
}

// Transport returns the transport for all calls to other services. Its connections count towards the limit of budget.
func Transport(set *settings.Settings, budget *connlimit.Limiter) *http.Transport {
	return &http.Transport{
		DialContext: budget.Dial(func(address string) connlimit.Class {
			if address == set.External.State || address == set.External.Cloud {
				return connlimit.Service
			}
			return connlimit.Command
		}),
		MaxIdleConns:        tuning.MaxIdleConns,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// UseConnLimiter limits this controller's connections to peers and logs when the limit is nearly reached. It is called
// before Run.
func (c *Controller) UseConnLimiter(limiter *connlimit.Limiter) {
	c.peers.Dial = limiter.Dial(func(string) connlimit.Class { return connlimit.Peer })
	go limiter.Watch(c.ctx, tuning.ConnLogInterval, func(counts connlimit.Counts) {
		slog.Info("connection limit nearly reached", "open", counts.Open, "limit", counts.Limit, "by", counts.ByClass, "idle_closed", counts.IdleClosed, "commands_not_sent", counts.Refused)
	})
}

// SetPeerDialer sets the function that opens connections to peers. It is called before Run.
func (c *Controller) SetPeerDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.peers.Dial = dial
}

// Enable switches features on; it is called before Run.
func (c *Controller) Enable(enabled *features.Features) {
	c.features.data, c.submissions.Data = enabled.Data, enabled.Data
	c.agents.proxy = proxy.NewAgents(c.proxyOptions())
	if enabled.Membership.On {
		c.newMembershipWatcher()
	}
	if enabled.Configuration.On {
		c.configuration.newRevisionStore()
	}
}

// Run starts all loops of the controller, serves peers on the listener, and returns once the context of New ends.
func (c *Controller) Run(peerListener net.Listener) {
	go func() {
		if err := c.peers.Serve(c.ctx, peerListener); err != nil {
			slog.Error("peer listener failed", "err", err)
		}
	}()
	c.peers.Run(c.ctx)
	go c.catalog.refresh(c.ctx, c.term)
	go c.markVersion(c.ctx)
	go c.tokens.Run(c.ctx)
	go c.requestCounts.Log(c.ctx, c.clock, tuning.FleetLogInterval)
	go c.workerProxy.Exchange.Run(c.ctx)
	if c.features.data.On {
		go c.agents.proxy.Exchange.Run(c.ctx)
	}
	if c.features.topology != nil {
		go c.watchTopology()
	}
	go c.cpuMonitor.Run(c.ctx)
	go c.leases.followCancellations(c.ctx)
	if c.configuration.revisions != nil {
		go c.configuration.revisions.Run(c.ctx, func() bool { return c.term.scheduler() != nil })
	}
	if c.members != nil {
		go c.members.Run(c.ctx, func() membership.LocalState {
			return membership.LocalState{Leads: c.term.scheduler() != nil, StateOK: c.health.healthy(), ReceivesHeartbeats: c.heartbeats.receivesHeartbeats()}
		})
	}
	c.elector.Run(c.ctx)
}

// Ready reports whether the load balancer should route users to this controller. It returns false during a shutdown, if
// this controller does not reach the state service while a peer does, and if it reaches neither. In an outage of the
// state service all connected controllers stay ready: none is better than another, and the load balancer takes seconds
// to return to a controller that it has removed.
func (c *Controller) Ready() bool {
	if c.isShuttingDown() {
		return false
	}
	if c.health.healthy() {
		return true
	}
	for _, hello := range c.peers.LivePeers() {
		if hello.StateOK {
			return false
		}
	}
	return !c.peers.Isolated()
}

// Isolated reports whether this controller reaches no peer. The elector calls it.
func (c *Controller) Isolated() bool {
	return c.clock.Since(c.startedAt) > tuning.PeerSilenceTimeout && c.peers.Isolated()
}

// hello returns the hello message that this controller sends to its peers.
func (c *Controller) hello() peer.Hello {
	term, _ := c.elector.Term()
	hello := peer.Hello{Member: c.settings.Member, Term: term, StateOK: c.health.healthy(), BenchmarkUS: c.cpuMonitor.PublishedUS(), ReceivesHeartbeats: c.heartbeats.receivesHeartbeats()}
	if c.members != nil {
		hello.StartedMS, hello.HeardPeers, hello.Leaving = uint64(c.startedAt.UnixMilli()), c.members.HeardPeers(), c.isShuttingDown()
	}
	return hello
}

// markVersion stores this controller's version. Once all members have recorded this version, records are written in its
// format.
func (c *Controller) markVersion(ctx context.Context) {
	if c.versions.Run(ctx) {
		if term := c.term.get(); term != nil {
			term.useCurrentFormat()
		}
	}
}
