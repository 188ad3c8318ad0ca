// Package dataagent is the agent beside a worker. It copies parts of datasets to its machine, keeps
// them on disk, and serves them to other machines. It knows what the leader ordered it to keep, but
// neither the jobs that need it nor where else they might run.
//
// The protocol and the layout of the cache are described in docs/data.md.
package dataagent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/dataset"
	"switchferry/tuning"
)

const (
	// idleConnsPerHost and idleConnTimeout bound the connections that are kept to a source.
	idleConnsPerHost = 4
	idleConnTimeout  = 30 * time.Second
	// minBurst is the least burst of a limiter, in bytes, and burstsPerSecond into how many bursts
	// a second's bytes are split.
	minBurst        = 16 << 10
	burstsPerSecond = 20
)

// Options configure an agent.
type Options struct {
	// Machine is the name of the worker's machine, Address the host and port at which peers and
	// controllers reach this agent.
	Machine, Address string
	// Dir holds the cache, and CacheBytes is its size.
	Dir        string
	CacheBytes int64
	// Store is the base URL of the store, without a slash at its end.
	Store string
	// Controllers are the controllers' addresses by member name. Without any, Run sends no
	// heartbeats.
	Controllers map[string]string
	// DownRate and UpRate limit what is received and served, in bytes per second. Zero means no
	// limit.
	DownRate, UpRate float64
	// AtOnce is how many peers are served at once. Zero means tuning.StageAtOnce.
	AtOnce int
	// Pack asks peers to compress what they serve where that pays.
	Pack bool

	// Clock and Transport replace the real clock and the default transport unless they are nil.
	Clock     clockwork.Clock
	Transport http.RoundTripper
	// Step is called before each step of a write to the disk, so that tests can fail there. It may
	// be nil.
	Step func(string)
}

// Agent copies, keeps and serves parts of datasets. New returns one; its Handler must be served and
// its Run called once. All methods are safe for concurrent use.
type Agent struct {
	options Options
	clock   clockwork.Clock
	http    *http.Client
	cache   *Cache
	sources *sourceClient
	chunks  *chunkServer
	// ctx bounds downloads of chunks, which may outlive the transfer that started them.
	ctx context.Context
	// wake starts the next reconciliation, heartbeatDue sends the next heartbeat early.
	wake, heartbeatDue chan struct{}
	// goroutines are those that Run waits for.
	goroutines sync.WaitGroup

	// orderMu is held while an order is stored and adopted, so that orders are applied one after
	// the other. It is locked before mu.
	orderMu sync.Mutex

	// mu guards the fields below and the fields of desiredDataset. It is not held during I/O.
	mu       sync.Mutex
	state    storedState
	sequence uint64
	// desired is what the order asks for, by dataset name.
	desired map[string]*desiredDataset
	// transfers are the parts being copied, downloads the chunks being received.
	transfers map[partKey]*partTransfer
	downloads map[dataset.Digest]*chunkDownload
	// replicas is what is held, by the text of the manifest's digest. replicasVersion counts its
	// changes, and knownVersion is the version that the controllers know.
	replicas                      map[string]*replica
	replicasVersion, knownVersion uint64
	// lostChunks is the cache's count of lost chunks when replicas were last refreshed.
	lostChunks uint64
}

// New opens the cache and continues where an earlier process of this agent stopped: what it
// reported as pinned stays pinned. Downloads end with ctx.
func New(ctx context.Context, options Options) (*Agent, error) {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Transport == nil {
		options.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: tuning.DialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}
	}
	if options.AtOnce == 0 {
		options.AtOnce = tuning.StageAtOnce
	}
	cache, err := OpenCache(options.Dir, options.CacheBytes, options.Step)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: options.Transport}
	agent := &Agent{
		options:      options,
		clock:        options.Clock,
		http:         client,
		cache:        cache,
		sources:      &sourceClient{http: client, clock: options.Clock, store: options.Store, pack: options.Pack, limiter: newLimiter(options.DownRate)},
		chunks:       &chunkServer{cache: cache, limiter: newLimiter(options.UpRate), slots: make(chan struct{}, options.AtOnce)},
		ctx:          ctx,
		wake:         make(chan struct{}, 1),
		heartbeatDue: make(chan struct{}, 1),
		desired:      map[string]*desiredDataset{},
		transfers:    map[partKey]*partTransfer{},
		downloads:    map[dataset.Digest]*chunkDownload{},
		replicas:     map[string]*replica{},
	}
	if err := agent.restore(); err != nil {
		return nil, err
	}
	return agent, nil
}

// newLimiter returns a limiter of bytes per second, nil if the rate is not positive.
func newLimiter(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	burst := min(tuning.StageBlock, int(bytesPerSecond/burstsPerSecond))
	return rate.NewLimiter(rate.Limit(bytesPerSecond), max(minBurst, burst))
}

// Run carries out the orders, and sends heartbeats if there are controllers, until ctx ends. It
// returns once all transfers and downloads have ended.
func (agent *Agent) Run(ctx context.Context) {
	defer agent.goroutines.Wait()
	if len(agent.options.Controllers) > 0 {
		agent.goroutines.Go(func() { agent.sendHeartbeats(ctx) })
	}
	for {
		var retry <-chan time.Time
		if agent.reconcile(ctx) {
			retry = agent.clock.After(tuning.StageBackoff)
		}
		select {
		case <-ctx.Done():
			return
		case <-agent.wake:
		case <-retry:
		}
	}
}

// wakeReconciler makes Run reconcile soon.
func (agent *Agent) wakeReconciler() { signal(agent.wake) }

// requestHeartbeat makes the next heartbeat due soon.
func (agent *Agent) requestHeartbeat() { signal(agent.heartbeatDue) }

// signal puts a value into a channel of capacity one unless there is one already.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
