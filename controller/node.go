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
	set     *settings.Settings
	policy  *policy.Policy
	clock   clockwork.Clock
	client  *store.Client
	elector *election.Elector
	peers   *peer.Network
	cloud   *cloud.Client
	worker  *worker.Client
	born    time.Time
	ctx     context.Context

	mu      sync.Mutex
	core    *Core
	end     context.CancelFunc
	types   []api.MachineType
	served  time.Time
	refused time.Time
	// hearing is when a worker last reported to this node itself; newest are the reports that did.
	hearing time.Time
	newest  *reachability.Deduplicator
	// watermark is what it knows of cancellations; loaded is the term whose records it has read, lone when it
	// last answered a worker by itself. keeping: leases were renewed at the last report.
	watermark *watermark.Tracker
	loaded    atomic.Uint64
	lone      time.Time
	keeping   bool
	bounces   redirect.Tracker
	users     traffic.Counter

	// reads limits what questions of users take of the state service, records reads jobs' records
	// within that.
	reads   *rate.Limiter
	records *lookup.Jobs
	// finals are what it knows to be over, ends what it told users of that.
	finals *lookup.TerminalStates
	ends   *lookup.Notifications

	// topology is nil unless that feature is on.
	topology *topology.File
	// alone writes what is accepted without a leader.
	alone *store.HedgedClient
	// letterRate is what this node writes of letters, of all kinds together.
	letterRate *rate.Limiter
	// retries spreads the users that were refused over the time that it takes to take them.
	retries *retry.Spread

	// marks tells whose processes may be of an older version.
	marks *upgrade.VersionRegistry
	// own has the records of the term written as this version has them; nil without a term.
	own func()
	// members watches the siblings; nil unless that feature is on. leaving: this process ends
	// by plan.
	members *membership.Watcher
	leaving bool
	// files is what files and settings say, alone in its list.
	files []*configuration.Active
	// config keeps the configuration, which can change while this process runs, and applier changes it in the present
	// term; both are nil unless that feature is on.
	config  *revisions.Store
	applier *revisions.Applier

	relay *heartbeatRelay
	pace  *cpupressure.Monitor
	// slow is used by the loop of a term alone.
	slow cpupressure.LeadershipTransfer

	// data says whether datasets are on; sets are those read lately, agents the client
	// for orders to their agents.
	data   features.Data
	sets   map[string]*dataset.Entry
	agents *http.Client
	// agentBounces remembers agents that were sent to the leader; agentRelay answers
	// those that do not reach it.
	agentBounces redirect.Tracker
	agentRelay   *agentRelay
}

// New makes a controller. Transport carries its calls to other services.
func New(ctx context.Context, set *settings.Settings, pol *policy.Policy, clock clockwork.Clock, transport http.RoundTripper) *Controller {
	n := &Controller{set: set, policy: pol, clock: clock, ctx: ctx, born: clock.Now(), keeping: true, bounces: redirect.NewTracker(),
		newest: reachability.NewDeduplicator(tuning.NewestKept)}
	all := []string{set.Member}
	for _, s := range set.Peers {
		all = append(all, s.Member)
	}
	n.files = []*configuration.Active{configuration.FromFiles(set.Facts.Teams, pol)}
	n.watermark = watermark.New(n.born, all[1:], watermark.NewLimits(seconds(set.Facts.Workers.CancelS), seconds(set.Facts.Workers.LeaseS)))
	n.client = store.NewClient(set.External.State, transport)
	n.marks = upgrade.NewVersionRegistry(set.Member, all, n.client, clock)
	n.client.OnResponse = n.stateSeen
	n.cloud = cloud.New(set.External.Cloud, set.Facts.Cloud.RPS, transport)
	n.worker = worker.New(transport)
	n.peers = peer.New(set.Peers, clock, n.hello, func(ctx context.Context, r peer.Request) peer.Response { return n.Handle(ctx, r, true) })
	n.peers.Watermarks = watermarks{n}
	n.elector = election.New(set.Member, n.client, clock, n)
	share := tuning.ReadShare * set.Facts.State.RPS / float64(1+len(set.Peers))
	n.reads = rate.NewLimiter(rate.Limit(share), max(1, int(share)))
	n.records = &lookup.Jobs{Client: n.client, Recall: n.finalOf, Remember: n.final, Queue: lookup.NewFairQueue(clock, n.reads)}
	n.finals, n.ends = lookup.NewTerminalStates(), lookup.NewNotifications()
	n.letterRate = exchange.WriteRate(n.set.Facts.State)
	writes := set.Facts.State.Least().WriteRPS
	rest := writes * (1 - tuning.QuotaShare)
	n.alone = store.NewHedgedClient(n.client, n.clock, rate.NewLimiter(rate.Limit(rest), max(1, int(rest))), writes)
	var err error
	n.retries, err = retry.New(tuning.QuotaShare*writes/float64(1+len(set.Peers)), tuning.RetryAfterS, tuning.RetryAfterMost,
		tuning.RefusedFor, tuning.RefusedKept)
	if err != nil {
		panic(err) // only for a limit below one
	}
	n.relay = newRelay(n)
	n.pace = cpupressure.NewMonitor(clock)
	n.agents = &http.Client{Transport: transport}
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
func (n *Controller) UseConnLimiter(b *connlimit.Limiter) {
	n.peers.Dial = b.Dial(func(string) connlimit.Class { return connlimit.Peer })
	go b.Watch(n.ctx, tuning.SocketsTold, func(c connlimit.Counts) {
		slog.Info("sockets are scarce", "open", c.Open, "limit", c.Limit, "by", c.ByClass, "idle_closed", c.IdleClosed, "commands_not_sent", c.Refused)
	})
}

// DialPeers has connections to siblings opened so; it is called before Run.
func (n *Controller) DialPeers(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	n.peers.Dial = dial
}

// Run starts everything and runs until the context ends.
func (n *Controller) Run(back net.Listener) {
	go func() {
		if err := n.peers.Serve(n.ctx, back); err != nil {
			slog.Error("back port", "err", err)
		}
	}()
	n.peers.Run(n.ctx)
	go n.catalog()
	go n.markVersion(n.ctx)
	go n.users.Log(n.ctx, n.clock, tuning.FleetLogEvery)
	go n.relay.post.Run(n.ctx)
	if n.data.On {
		go n.agentRelay.post.Run(n.ctx)
	}
	if n.topology != nil {
		go n.watchTopology()
	}
	go n.pace.Run(n.ctx)
	go n.readCancellations(n.ctx)
	if n.config != nil {
		go n.config.Run(n.ctx, func() bool { return n.leading() != nil })
	}
	if n.members != nil {
		go n.members.Run(n.ctx, func() membership.LocalState {
			return membership.LocalState{Leads: n.leading() != nil, StateOK: n.stateOK(), ReceivesHeartbeats: n.hears()}
		})
	}
	n.elector.Run(n.ctx)
}

func (n *Controller) stateSeen(served bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if served {
		n.served = n.clock.Now()
	} else {
		n.refused = n.clock.Now()
	}
}

func (n *Controller) stateOK() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.served.IsZero() && !n.refused.After(n.served)
}

func (n *Controller) hello() peer.Hello {
	term, _ := n.elector.Term()
	h := peer.Hello{Member: n.set.Member, Term: term, StateOK: n.stateOK(), BenchmarkUS: n.pace.PublishedUS(), ReceivesHeartbeats: n.hears()}
	if n.members != nil {
		h.StartedMS, h.HeardPeers, h.Leaving = uint64(n.born.UnixMilli()), n.members.HeardPeers(), n.leaves()
	}
	return h
}

// hears tells whether a worker reported to this node itself a moment ago.
func (n *Controller) hears() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.hearing.IsZero() && n.clock.Since(n.hearing) < seconds(tuning.HearsReports*n.set.Facts.Workers.ReportS)
}

// Isolated is for the elector: we reach no sibling in any way.
func (n *Controller) Isolated() bool {
	return n.clock.Since(n.born) > tuning.PeerDead && n.peers.Isolated()
}

// Ready tells whether users should come here: not to a node without the state
// service while a sibling has it, and not to one that is cut off. In an outage
// every node is as good, and the load balancer would take seconds to come back
// to nodes that it had given up.
func (n *Controller) Ready() bool {
	if n.leaves() {
		return false
	}
	if n.stateOK() {
		return true
	}
	for _, h := range n.peers.LivePeers() {
		if h.StateOK {
			return false
		}
	}
	return !n.peers.Isolated()
}

func (n *Controller) leading() *Core {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core
}

func (n *Controller) catalog() {
	for n.ctx.Err() == nil {
		types, err := n.cloud.Catalog(n.ctx)
		wait := tuning.CatalogEvery
		if err != nil {
			slog.Info("catalog not read", "err", err)
			wait = tuning.BackoffBase
		} else {
			n.mu.Lock()
			n.types = types
			core := n.core
			n.mu.Unlock()
			if core != nil {
				core.SetTypes(types)
			}
		}
		n.sleep(n.ctx, wait)
	}
}

func (n *Controller) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.clock.After(d):
	}
}

func (n *Controller) final(id string, f store.FinalRecord) {
	if f.State == api.Cancelled {
		n.watermark.RecordCancellation(n.clock.Now(), id)
	}
	n.finals.Remember(id, f)
}

func (n *Controller) finalOf(id string) (store.FinalRecord, bool) { return n.finals.Get(id) }

// source ties a term's core to its committer.
type source struct {
	*Core
	n *Controller
}

func (s source) Condition() (store.Condition, bool) {
	term, valid := s.n.elector.Term()
	return store.Condition{Key: store.LeaderKey, Revision: s.term}, valid && term == s.term
}

// Record has a cancellation known to the siblings before it can be read by anyone.
func (s source) Record(key string) (value any, exists bool, more []store.Condition) {
	value, exists, more = s.Core.Record(key)
	if rec, ok := value.(store.JobRecord); ok && rec.FinalState == api.Cancelled {
		s.n.watermark.RecordCancellation(s.n.clock.Now(), rec.Job.ID)
	}
	return value, exists, more
}

// Conflict lets this node forget what it believed of a dataset.
func (s source) Conflict(key string, found *store.Item) {
	if strings.HasPrefix(key, store.DatasetPrefix) {
		if x, err := parseDataset(found); err == nil {
			s.n.keepDataset(x)
		}
	}
	s.Core.Conflict(key, found)
}

func (s source) Deposed() { s.n.elector.Resign("deposed") }

// Elected starts a term.
func (n *Controller) Elected(term uint64) {
	ctx, end := context.WithCancel(n.ctx)
	var com *store.Committer
	hooks := Hooks{
		Touch: func(key string, urgency int, after func()) { com.MarkDirty(key, urgency, after) },
		Later: func(key string, urgency int, wait time.Duration, after func()) {
			com.MarkDirtyWithin(key, urgency, wait, after)
		},
		Valid: func() bool {
			t, valid := n.elector.Term()
			return valid && t == term
		},
		Delay: func() time.Duration { return com.Delay() },
		Cut:   n.cut,
		Final: n.final,
		Ended: n.finalOf,
	}
	n.mu.Lock()
	types := n.types
	n.mu.Unlock()
	core := NewCore(term, n.clock, n.set, n.policy, types, hooks)
	core.hooks.Send = func(name, addr string, o api.HeartbeatResponse) { go n.send(ctx, core, name, addr, o) }
	if n.data.On {
		core.hooks.Stage = func(name, addr string, o api.StageOrder) { go n.order(ctx, core, name, addr, o) }
		core.UseData(n.data)
	}
	if n.topology != nil {
		core.UseTopology(n.topology.Map())
	}
	var applier *revisions.Applier
	if n.config != nil {
		applier = revisions.NewApplier(ctx, n.config, &configurationLeader{n, core})
	}
	com = store.NewCommitter(n.client, source{core, n}, n.clock, n.set.Facts.State, map[string]uint64{})
	own := func() {
		core.OwnRecords()
		com.SetValueLimit(n.set.Facts.State.Least().ValueBytes())
	}
	n.mu.Lock()
	n.core, n.end, n.own, n.applier = core, end, own, applier
	n.mu.Unlock()
	if len(n.marks.Older()) == 0 {
		own()
	}
	go n.term(ctx, core, com, applier)
}

// cut tells whether no controller in another zone can be reached.
func (n *Controller) cut(zone string) bool {
	there := false
	for _, s := range n.set.Peers {
		if s.Zone == zone {
			there = true
			if n.peers.Reachable(s.Member) {
				return false
			}
		}
	}
	return there && zone != n.set.Zone
}

// Lost ends a term.
func (n *Controller) Lost(uint64, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.end != nil {
		n.end()
	}
	n.core, n.end, n.own, n.applier = nil, nil, nil, nil
}

func (n *Controller) term(ctx context.Context, core *Core, com *store.Committer, applier *revisions.Applier) {
	var inbox, known uint64
	for ctx.Err() == nil {
		if applier != nil {
			// What was read before this term may be older than what the last leader put in force.
			if err := applier.Load(ctx); err != nil {
				slog.Error("configuration not read", "err", err)
				n.sleep(ctx, tuning.ElectRetry)
				continue
			}
		}
		if n.data.On {
			var err error
			if known, err = n.learnAll(ctx, core); err != nil {
				slog.Error("datasets not read", "err", err)
				n.sleep(ctx, tuning.ElectRetry)
				continue
			}
		}
		jobs, epoch, err := n.client.List(ctx, store.JobPrefix)
		var shards []store.Item
		if err == nil {
			shards, _, err = n.client.List(ctx, store.ShardPrefix)
		}
		if err == nil {
			if images, _, ierr := n.client.List(ctx, store.ImagesPrefix); ierr == nil {
				core.Hint(images)
				for _, it := range images {
					com.SetRevision(it.Key, it.Revision)
				}
			}
			if n.data.On {
				if holds, _, herr := n.client.List(ctx, store.ReplicasPrefix); herr == nil {
					core.HoldsHint(holds)
					for _, it := range holds {
						com.SetRevision(it.Key, it.Revision)
					}
				}
			}
			for _, it := range append(jobs, shards...) {
				com.SetRevision(it.Key, it.Revision)
			}
			core.Load(jobs, shards)
		}
		if err == nil {
			n.loaded.Store(core.term)
			inbox = epoch
			break
		}
		slog.Error("records not read", "err", err)
		n.sleep(ctx, tuning.ElectRetry)
	}
	go com.Run(ctx)
	go n.inbox(ctx, core, com, inbox)
	go n.seekAwaited(ctx, core, com)
	go n.relayed(ctx, core, com, inbox)
	go n.machines(ctx, core)
	if n.data.On {
		go n.datasets(ctx, core, known)
		go n.agentLetters(ctx, core, com, inbox)
	}
	go n.tend(ctx, core)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-core.wake:
		case <-n.clock.After(tuning.Tick):
		}
		began := n.clock.Now()
		core.Place()
		took := n.clock.Since(began)
		if why := n.unfit(core); why != "" {
			n.elector.Resign(why)
		}
		n.sleep(ctx, max(tuning.PlaceGap, tuning.PlaceRest*took))
	}
}

// unfit is why this node should no longer lead; empty: it should.
func (n *Controller) unfit(core *Core) string {
	for _, h := range n.peers.LivePeers() {
		if h.Term > core.term {
			return "a sibling has a higher term"
		}
	}
	if core.hooks.Valid() && n.slow.Due(n.clock.Now(), core.started, n.pace.ComparisonUS(), n.peers.LivePeers()) {
		return "computes slower than a sibling"
	}
	if core.hooks.Valid() && core.deafened(n.peers.LivePeers()) {
		return "reaches no worker, a sibling does"
	}
	if !n.peers.Isolated() {
		return ""
	}
	switch {
	case n.deaf(core):
		return "hears neither workers nor siblings"
	case n.elector.ExpiredFor() > tuning.DeafAfter:
		// With the siblings answering this would be an outage, in which
		// workers must go on being answered.
		return "reaches neither the state service nor siblings"
	}
	return ""
}

// deaf tells whether nobody is heard for long. The workers of silent siblings try one
// dead end after the other: whoever leads alone must give them a lease's time, or
// they find nobody when they come.
func (n *Controller) deaf(core *Core) bool {
	return n.clock.Since(core.started) > seconds(n.set.Facts.Workers.LeaseS) && n.clock.Since(core.listening()) > tuning.DeafAfter
}

// inbox takes in jobs that siblings accepted while they did not reach us.
func (n *Controller) inbox(ctx context.Context, core *Core, com *store.Committer, after uint64) {
	// take is done with a key, or has to look again: a job that was passed over here stood
	// on record, accepted, and ran only once its user had asked for it.
	take := func(key string) bool {
		id := strings.TrimPrefix(key, store.InboxPrefix)
		it, err := n.client.Get(ctx, store.JobKey(id))
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return false
		}
		if err == nil && !core.Has(id) {
			com.SetRevision(it.Key, it.Revision)
			core.Conflict(store.JobKey(id), &it)
		}
		in, err := n.client.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			return true
		}
		if err != nil {
			return false
		}
		var rec store.InboxRecord
		if json.Unmarshal(in.Value, &rec) == nil && rec.Cancel {
			core.Cancel(ctx, id)
		}
		com.SetRevision(key, in.Revision)
		com.MarkDirty(key, store.Lazy, nil)
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
			old, epoch, err = n.client.List(ctx, store.InboxPrefix)
			for _, it := range old {
				todo = append(todo, it.Key)
			}
		} else {
			block := tuning.InboxBlock
			if len(todo) > 0 {
				block = tuning.ElectRetry
			}
			log, epoch, err = n.client.Watch(ctx, store.InboxPrefix, after, block)
		}
		if err != nil {
			all = all || errors.Is(err, store.ErrCompacted)
			n.sleep(ctx, tuning.ElectRetry)
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
			core.InboxSeen(after)
		}
	}
}

// send delivers a direct command.
func (n *Controller) send(ctx context.Context, core *Core, name, addr string, o api.HeartbeatResponse) {
	r, _, err := n.worker.Send(ctx, addr, o)
	if err != nil {
		slog.Debug("direct command failed", "machine", name, "err", err)
		if errors.Is(err, worker.ErrNotSent) && !errors.Is(err, connlimit.ErrLimit) {
			core.Refused(name)
		}
		core.Answered(name, o, nil, errors.Is(err, worker.ErrNotSent))
		return
	}
	if r.Term > core.term {
		n.deposed(core)
	}
	core.Answered(name, o, r, true)
}

// deposed ends the term if a worker's word of a higher one can be true: while our key certainly
// stands nobody else can have won one, and a worker that claims it must not end every term.
func (n *Controller) deposed(core *Core) bool {
	if core.hooks.Valid() {
		return false
	}
	n.elector.Resign("a worker has seen a higher term")
	return true
}

// machines reads the cloud's list. The first one tells a new leader whom to
// show its term, so that workers turn to it at once.
func (n *Controller) machines(ctx context.Context, core *Core) {
	first := true
	for ctx.Err() == nil {
		list, err := n.cloud.List(ctx)
		if err != nil {
			slog.Info("machine list not read", "err", err)
			n.sleep(ctx, tuning.BackoffBase)
			continue
		}
		core.Listed(list)
		if first {
			first = false
			for name, addr := range core.Addresses() {
				go n.show(ctx, core, name, addr)
			}
		}
		n.sleep(ctx, tuning.ListEvery)
	}
}

// show lets a worker see our term. Its session is not known: a wrong guess is
// answered with the right one.
func (n *Controller) show(ctx context.Context, core *Core, name, addr string) {
	session := uint64(1)
	for range 2 {
		o := api.HeartbeatResponse{Term: core.term, Incarnation: session, Commands: []api.Command{}}
		r, done, err := n.worker.Send(ctx, addr, o)
		if err != nil {
			return
		}
		if done || r.Incarnation == session {
			core.Answered(name, o, r, true)
			return
		}
		session = r.Incarnation
	}
}

// tend rents and returns machines.
func (n *Controller) tend(ctx context.Context, core *Core) {
	for ctx.Err() == nil {
		if names := core.Tend(); len(names) > 0 {
			for len(names) > 0 {
				some := names[:min(len(names), tuning.ReturnBatch)]
				names = names[len(some):]
				go n.giveBack(ctx, core, some)
			}
		}
		for _, r := range core.Rentals() {
			go func() {
				names, err := n.cloud.Rent(ctx, r)
				core.Rented(r, names, err)
			}()
		}
		n.sleep(ctx, tuning.TendEvery)
	}
}

// errNoTerm: what was decided is not carried out, since the term may be over.
var errNoTerm = errors.New("no longer certain to lead")

// giveBack returns machines to the cloud. Whether we lead is looked at once more: this
// process may have stood still since that was decided, and the machines may work for
// another leader by now.
func (n *Controller) giveBack(ctx context.Context, core *Core, names []string) {
	err := errNoTerm
	if core.hooks.Valid() {
		err = n.cloud.Return(ctx, names)
	}
	if err != nil {
		slog.Info("machines not returned", "machines", names, "err", err)
	}
	core.Returned(names, err)
}

// HandleHeartbeat answers a worker. Its zone's own controller is its home, so that a cut
// between zones does not take its answers away: that one passes reports on to
// the leader, and relays them once it cannot.
func (n *Controller) HandleHeartbeat(ctx context.Context, r *api.Heartbeat, raw []byte) (status int, body any) {
	n.mu.Lock()
	fresh := n.newest.Accept(r)
	if fresh {
		n.hearing = n.clock.Now()
	}
	n.mu.Unlock()
	if !fresh {
		// A copy that came late shows neither that workers reach this node nor where one is; an
		// answer without a token renews nothing.
		return http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}
	}
	if core := n.leading(); core != nil {
		if to := n.nodeFor(r.Zone, n.set.Member); to != n.set.Member && n.bounce(r.Machine, to) {
			return http.StatusMisdirectedRequest, api.Redirect{Controller: to}
		}
		return n.judge(core, r, "")
	}
	leader, term := n.elector.Leader()
	leader, term, there := whoLeads(leader, term, n.peers.LivePeers())
	if prev := n.previous(); !n.stateOK() && n.peers.Isolated() && n.bounce(r.Machine, prev) {
		// Reaching neither the state service nor any sibling, we are the one
		// that is cut off, or all of our zone is. A worker that comes back
		// reaches nobody else either, and stays.
		return http.StatusMisdirectedRequest, api.Redirect{Controller: prev}
	}
	if leader == "" || leader == n.set.Member {
		last, since := n.elector.LeaderlessFor()
		if last == 0 || r.Term > last || since > tuning.Interregnum && n.stateOK() {
			return http.StatusServiceUnavailable, api.Error{Error: "no leader yet"}
		}
		if !n.keeps() {
			return n.unkept()
		}
		// Between two leaders the last one's token still keeps leases. Sent
		// away, a worker might try nodes beyond a cut until its lease ends.
		return http.StatusOK, n.ending(r, api.HeartbeatResponse{Term: last, Commands: []api.Command{}})
	}
	if there {
		if to := n.nodeFor(r.Zone, leader); to != n.set.Member && n.bounce(r.Machine, to) {
			return http.StatusMisdirectedRequest, api.Redirect{Controller: to}
		}
		if a, err := n.peers.Ask(ctx, leader, peer.Request{Verb: verbReport, Body: raw, From: n.set.Member}, tuning.PeerTimeout); err == nil && a.Status != http.StatusMisdirectedRequest {
			return a.Status, json.RawMessage(a.Body)
		}
		// Whatever the leader answered, this report's answer is ours now: it
		// keeps the lease and carries nothing that was not in the mail.
	}
	if r.Term > term {
		return http.StatusServiceUnavailable, api.Error{Error: "the leader is out of reach"}
	}
	if !n.keeps() {
		return n.unkept()
	}
	return http.StatusOK, n.ending(r, n.relay.report(r, term))
}

// previous is the sibling that comes before us in the order in which workers try
// nodes: one that finds nobody there comes straight back.
func (n *Controller) previous() string {
	prev, last := "", ""
	for _, s := range n.set.Peers {
		last = max(last, s.Member)
		if s.Member < n.set.Member {
			prev = max(prev, s.Member)
		}
	}
	if prev == "" {
		return last
	}
	return prev
}

// bounce tells whether a worker may be sent to another node.
func (n *Controller) bounce(worker, to string) bool {
	// One that greets nobody is judged by nothing but whether workers come back.
	hears := true
	for _, h := range n.peers.LivePeers() {
		if h.Member == to {
			hears = h.ReceivesHeartbeats
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bounces.Allow(n.clock.Now(), worker, to, hears)
}

// whoLeads is the leader by the siblings' own word, or else as last read; there:
// a sibling within reach says that it leads. A former leader that came back
// without its term leads nothing, even while its key still stands because the
// state service is out.
func whoLeads(leader string, term uint64, alive []peer.Hello) (string, uint64, bool) {
	there := false
	for _, h := range alive {
		if h.Term > 0 && h.Term >= term {
			leader, term, there = h.Member, h.Term, true
		}
	}
	return leader, term, there
}

// judge answers a report as the leader. Via is the sibling that passes it on.
func (n *Controller) judge(core *Core, r *api.Heartbeat, via string) (status int, body any) {
	// A leader that has not read the records knows of cancellations what its siblings say, or nothing.
	sure := n.sure()
	kept := sure || n.keeps()
	if !kept && !core.hooks.Valid() {
		return http.StatusServiceUnavailable, api.Error{Error: "cut off for too long to keep tasks alive"}
	}
	o, deposed, refused := core.Report(r, via)
	switch {
	case deposed && n.deposed(core):
		return http.StatusMisdirectedRequest, api.Redirect{}
	case deposed:
		return http.StatusBadRequest, api.Error{Error: "helm: is higher than any token that was given", Field: "helm"}
	case refused:
		return http.StatusServiceUnavailable, api.Error{Error: "this machine was returned"}
	case !kept:
		// The worker waits here, unanswered as far as its lease goes, until the records are read.
		return http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}
	case !sure:
		o = n.ending(r, o)
	}
	return http.StatusOK, o
}

// nodeFor is the controller that a zone's workers should report to: the leader if it
// is there, else their home, or, next to a silent controller, the one behind it.
func (n *Controller) nodeFor(zone, leader string) string {
	to := leader
	if n.zoneOf(leader) != zone {
		if home := n.home(zone); home != "" {
			to = home
		}
	}
	ring := append([]settings.Peer{{Member: n.set.Member, Zone: n.set.Zone}}, n.set.Peers...)
	return redirect.Target(ring, to, zone, func(m string) bool {
		return m != n.set.Member && n.clock.Since(n.born) > tuning.PeerDead+tuning.PeerHello && n.peers.Unresponsive(m)
	})
}

// home is the controller that a zone's workers report to: this one if it is
// there, else the first within reach that is; none if no one is.
func (n *Controller) home(zone string) string {
	if zone == n.set.Zone {
		return n.set.Member
	}
	for _, s := range n.set.Peers {
		if s.Zone == zone && n.peers.Reachable(s.Member) {
			return s.Member
		}
	}
	return ""
}

func (n *Controller) zoneOf(member string) string {
	for _, s := range n.set.Peers {
		if s.Member == member {
			return s.Zone
		}
	}
	return n.set.Zone
}

// passedOn serves a report that a sibling passes on.
func (n *Controller) passedOn(from string, raw []byte) peer.Response {
	core := n.leading()
	var r api.Heartbeat
	if err := json.Unmarshal(raw, &r); err != nil || r.Check() != nil || core == nil {
		return answer(http.StatusMisdirectedRequest, api.Redirect{})
	}
	return answer(n.judge(core, &r, from))
}

// Handle serves a user's request, here or at the leader. Forwarded: it comes
// from a sibling and is not passed on.
func (n *Controller) Handle(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if forwarded && r.Verb == verbReport {
		return n.passedOn(r.From, r.Body)
	}
	if forwarded && r.Verb == verbStage {
		return n.stagePassedOn(r.Body)
	}
	from := n.clock.Now()
	a := n.note(n.handle(ctx, r, forwarded))
	if took := n.clock.Since(from); r.Verb == VerbSubmit && took > tuning.AcceptPatience {
		slog.Debug("submission answered late", "ms", took.Milliseconds(), "status", a.Status, "forwarded", forwarded, "leading", n.leading() != nil)
	}
	if !forwarded && r.Verb == VerbSubmit {
		n.comeBack(&a, r.Body)
	}
	if !forwarded {
		n.users.Add(r.Verb == VerbStatus, a.Status == http.StatusServiceUnavailable)
	}
	return a
}

// comeBack tells the user of a job that cannot be taken now when to come back: each another
// time, spread over as long as it takes to take all that wait.
func (n *Controller) comeBack(a *peer.Response, body []byte) {
	refused := a.Status == http.StatusServiceUnavailable
	n.mu.Lock()
	none := n.retries.Waiting() == 0
	n.mu.Unlock()
	if !refused && none {
		return
	}
	_, id, _ := api.ParseSubmission(body)
	n.mu.Lock()
	defer n.mu.Unlock()
	if refused {
		a.RetryAfterS = max(a.RetryAfterS, n.retries.Refused(n.clock.Now(), id))
	} else {
		n.retries.Taken(id)
	}
}

func (n *Controller) handle(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if r.Verb == VerbMembers {
		return n.aboutMembers()
	}
	if r.Verb == VerbTopology || r.Verb == VerbExplain {
		return n.aboutPlaces(ctx, r, forwarded)
	}
	if r.Verb == VerbConfiguration || r.Verb == VerbConfigure || r.Verb == verbConfirm {
		return n.aboutConfiguration(ctx, r, forwarded)
	}
	if r.Verb == VerbRegister || r.Verb == VerbRemove || r.Verb == VerbData {
		return n.aboutData(ctx, r, forwarded)
	}
	if f, ok := n.finalOf(r.Job); ok && r.Verb != VerbSubmit {
		return answer(http.StatusOK, finalStatus(r.Job, f))
	}
	if core := n.leading(); core != nil {
		switch {
		case core.hooks.Valid() && core.Loaded():
			return n.serve(ctx, core, r)
		case !n.stateOK():
			if r.Verb == VerbSubmit {
				_, id, _ := api.ParseSubmission(r.Body)
				if f, ok := n.finalOf(id); ok {
					return answer(http.StatusOK, finalStatus(id, f))
				}
			}
			return later("the state service is out of reach")
		}
		// Not the leader yet, or no more, and the state service answers: whatever
		// is read and written there is as good from us as from any node.
		return n.serve(ctx, nil, r)
	}
	if forwarded {
		return later(notLeading)
	}
	leader, term := n.elector.Leader()
	leader, _, there := whoLeads(leader, term, n.peers.LivePeers())
	if there {
		a, err := n.peers.Ask(ctx, leader, r, patience(r.Verb))
		switch {
		case err == nil && leads(a):
			return a
		case err == nil:
			// It leads no more, and has not greeted since: whoever follows it need not be waited
			// for. Users were told to come back by the one that had just handed over.
		case errors.Is(err, peer.ErrBusy):
			// To do its work beside it would only take more of what it lacks.
			return later("the leader is busy")
		}
		// It may have fallen silent: what it was asked is stored or read without
		// it, as conditions on the keys allow whether it goes on or not.
		n.users.Passed()
	}
	return n.serve(ctx, nil, r)
}

// notLeading is what a controller answers to what only a leader may be asked.
const notLeading = "not the leader"

// leads tells whether an answer is a leader's.
func leads(a peer.Response) bool {
	var e api.Error
	return a.Status != http.StatusServiceUnavailable || json.Unmarshal(a.Body, &e) != nil || e.Error != notLeading
}

// patience is how long the leader is waited for.
func patience(verb string) time.Duration {
	switch verb {
	case VerbSubmit:
		return tuning.AcceptPatience
	case VerbStatus:
		return tuning.PollPatience
	}
	return tuning.PeerTimeout
}

// serve answers as the leader (core) or, while the leader is out of reach,
// from the state service itself.
func (n *Controller) serve(ctx context.Context, core *Core, r peer.Request) peer.Response {
	switch r.Verb {
	case VerbSubmit:
		return n.serveSubmission(ctx, core, r.Body)
	case VerbStatus:
		if core != nil {
			if st, ok := core.Known(r.Job); ok {
				return answer(http.StatusOK, st)
			}
		}
		return n.told(ctx, core, r.Job, true)
	case VerbCancel:
		return n.serveCancellation(ctx, core, r.Job)
	}
	return answer(http.StatusNotFound, api.Error{Error: "no such request"})
}

func (n *Controller) serveCancellation(ctx context.Context, core *Core, id string) peer.Response {
	if core == nil {
		return n.cancelAlone(ctx, id)
	}
	if a, ok := core.Cancel(ctx, id); ok {
		return a
	}
	a := n.told(ctx, core, id, true)
	if a.Status == http.StatusOK {
		if b, ok := core.Cancel(ctx, id); ok {
			return b
		}
	}
	return a
}

func (n *Controller) serveSubmission(ctx context.Context, core *Core, body []byte) peer.Response {
	s, id, err := api.ParseSubmission(body)
	if id != "" {
		if f, ok := n.finalOf(id); ok {
			return answer(http.StatusOK, finalStatus(id, f))
		}
		if core != nil {
			if st, ok := core.Known(id); ok {
				return answer(http.StatusOK, st)
			}
		}
	}
	v := verdict{status: http.StatusBadRequest, err: err}
	if err == nil {
		v = n.judgeSubmission(ctx, core, s, body)
	}
	switch {
	case v.again != "":
		return later(v.again)
	case v.err != nil || v.undecided:
		return n.refuse(ctx, core, id, v)
	case core == nil:
		return n.submitAlone(ctx, s, body, v.judged.conds...)
	}
	if a, ok := core.Submit(ctx, s, n.clock.Now()); ok {
		return a
	}
	a := n.told(ctx, core, id, false)
	if a.Status == http.StatusNotFound && len(s.Inputs) > 0 {
		// One of its datasets was taken off the list meanwhile.
		if status, err, _ := n.checkInputs(ctx, core, s, body); err != nil {
			return refusal(status, err)
		}
		return later("a dataset of the job has just changed")
	}
	return a
}

// verdict is what is thought of a submission. With neither an error nor a reason to ask again it can be accepted.
type verdict struct {
	// status goes with err, which refuses it for good.
	status int
	err    error
	// undecided: what it hangs on is not known, which leaves a known job its answer; again is why its user has to ask
	// again whatever is known.
	undecided bool
	again     string
	judged    judgement
}

// judgeSubmission checks what can be wrong with a submission, one thing after the other.
func (n *Controller) judgeSubmission(ctx context.Context, core *Core, s *api.Submission, body []byte) (v verdict) {
	v.status = http.StatusUnprocessableEntity
	v.judged, v.err, v.undecided = n.canRun(core, s)
	if v.err == nil {
		if v.err = n.fits(s); v.err != nil {
			v.status = http.StatusBadRequest
		}
	}
	if v.err == nil && n.topology != nil {
		v.status, v.err = checkSite(s, body)
	}
	if v.err == nil && !v.undecided && len(s.Awaits) > 0 {
		if v.again, v.err = n.checkAwaits(ctx, core, s); v.again != "" {
			return v
		}
		v.status = http.StatusUnprocessableEntity
	}
	if v.err == nil && !v.undecided && n.data.On {
		v.status, v.err, v.undecided = n.checkInputs(ctx, core, s, body)
	}
	return v
}

// refuse answers a submission that cannot be accepted, for good or for now. A known id is never refused, whatever the
// body, nor sent away while nothing can be judged.
func (n *Controller) refuse(ctx context.Context, core *Core, id string, v verdict) peer.Response {
	if id != "" {
		if core != nil {
			if here, _, _ := core.Awaitable(id); here {
				return later("the job is just being accepted")
			}
		}
		if st, found, err := n.lookUp(ctx, core, id, false); err != nil {
			return later("the state service is out of reach")
		} else if found {
			return answer(http.StatusOK, st)
		}
	}
	switch {
	case v.err != nil && !v.judged.stands(n, core):
		return later("the configuration has just changed")
	case v.err != nil:
		return refusal(v.status, v.err)
	case v.judged.why != "":
		return later(v.judged.why)
	case n.data.On:
		return later("the machine types, or the job's datasets, are not known yet")
	}
	return later("the machine types are not known yet")
}

// fits finds a job whose record is too large for the state service.
func (n *Controller) fits(s *api.Submission) error {
	raw, err := json.Marshal(store.JobRecord{Job: *s, At: math.MaxInt64, FinalState: api.Cancelled, FinalAt: math.MaxInt64})
	if most := n.set.Facts.State.Least().ValueBytes(); err == nil && len(raw) > most {
		err = &api.FieldError{Field: "body", Want: fmt.Sprintf("the job takes %d bytes on record, at most %d can be stored; use shorter names or fewer machine types", len(raw), most)}
	}
	return err
}

// told answers from the state service.
func (n *Controller) told(ctx context.Context, core *Core, id string, waits bool) peer.Response {
	st, found, err := n.lookUp(ctx, core, id, waits)
	switch {
	case err != nil:
		return later("the state service is out of reach")
	case !found:
		return answer(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	return answer(http.StatusOK, st)
}

// lookUp reads a job's record: its own key first, since the final one is
// written before that goes. Waits: a question's user waits for its turn; a submission is refused at once.
func (n *Controller) lookUp(ctx context.Context, core *Core, id string, waits bool) (_ api.JobStatus, found bool, err error) {
	if !api.ValidID(id) {
		return api.JobStatus{}, false, nil
	}
	asked := ""
	if waits {
		asked = id
		defer func() {
			if err == nil {
				n.records.Queue.Answered(id)
			}
		}()
	}
	// Questions must not take the requests that leading needs.
	x, err := n.records.ReadInTurn(ctx, id, asked)
	switch {
	case err != nil || !x.Found:
		return api.JobStatus{}, false, err
	case x.Record == nil:
		return finalStatus(id, x.Final), true, nil
	}
	if f, ok := n.finalOf(id); ok {
		// It ended while we read: the record is old by now.
		return finalStatus(id, f), true, nil
	}
	if core != nil {
		core.Conflict(x.Record.Key, x.Record)
		if st, ok := core.Known(id); ok {
			return st, true, nil
		}
	}
	st := api.JobStatus{ID: id, State: api.Pending}
	if x.Final.State != "" {
		st.State = x.Final.State
	} else if gone, err := n.records.DependsOnCancelled(ctx, x.Awaits, asked); err != nil {
		return st, false, err
	} else if gone {
		st.State = api.Cancelled
	}
	return st, true, nil
}

// submitAlone accepts a job without the leader, which learns of it by the
// inbox, as long as further conditions hold.
func (n *Controller) submitAlone(ctx context.Context, s *api.Submission, body []byte, more ...store.Condition) peer.Response {
	rec := store.JobRecord{Job: *s, At: n.clock.Now().UnixMilli()}
	conds := []store.Condition{{Key: store.JobKey(s.ID)}, {Key: store.FinalKey(s.ID)}}
	inputs, err := n.inputsStand(ctx, s)
	if err != nil {
		return later("the state service is out of reach")
	}
	_, failed, err := n.alone.Transact(ctx, slices.Concat(conds, more, inputs),
		[]store.Operation{{Set: store.JobKey(s.ID), Value: rec}, {Set: store.InboxKey(s.ID), Value: store.InboxRecord{}}})
	switch {
	case err == nil:
		return answer(http.StatusCreated, api.JobStatus{ID: s.ID, State: api.Pending})
	case errors.Is(err, store.ErrConflict) && !slices.Contains(failed, store.JobKey(s.ID)) && !slices.Contains(failed, store.FinalKey(s.ID)):
		if slices.Contains(failed, configuration.HeadKey) {
			return later("the configuration has just changed")
		}
		// A dataset is not as it was.
		n.forgetDatasets(s)
		if status, err, _ := n.checkInputs(ctx, nil, s, body); err != nil {
			return refusal(status, err)
		}
		return later("a dataset of the job has just changed")
	case errors.Is(err, store.ErrConflict):
		return n.told(ctx, nil, s.ID, false)
	}
	return later("the state service is out of reach")
}

// cancelAlone cancels while there is no leader; with one, only it may, since it
// answers polls from memory.
func (n *Controller) cancelAlone(ctx context.Context, id string) peer.Response {
	if !api.ValidID(id) {
		return answer(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	it, err := n.client.Get(ctx, store.JobKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return n.told(ctx, nil, id, true)
	}
	var rec store.JobRecord
	if err != nil || json.Unmarshal(it.Value, &rec) != nil {
		return later("the state service is out of reach")
	}
	if rec.FinalState == "" {
		rec.FinalState, rec.FinalAt = api.Cancelled, n.clock.Now().UnixMilli()
		_, _, err = n.alone.Transact(ctx,
			[]store.Condition{{Key: store.LeaderKey}, {Key: it.Key, Revision: it.Revision}},
			[]store.Operation{{Set: it.Key, Value: rec}})
		if errors.Is(err, store.ErrConflict) {
			// The leader is asked through the state service; the user's next
			// try finds its answer there.
			_, _, _ = n.client.Transact(ctx, []store.Condition{{Key: it.Key, Revision: it.Revision}},
				[]store.Operation{{Set: store.InboxKey(id), Value: store.InboxRecord{Cancel: true}}})
		}
		if err != nil {
			return later("the leader is out of reach")
		}
	}
	return answer(http.StatusOK, api.JobStatus{ID: id, State: rec.FinalState})
}
