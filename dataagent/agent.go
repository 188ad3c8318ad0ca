// Package dataagent implements the data agent that runs on each worker machine. It copies parts of
// datasets to its machine, caches them on disk, and serves them to other machines. It knows which
// parts the leader ordered it to keep, but neither the jobs that read them nor the other machines on
// which these jobs could run.
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
	// idleConnsPerHost is the maximum number of idle connections kept open to a source.
	idleConnsPerHost = 4
	// idleConnTimeout is the time after which an idle connection to a source is closed.
	idleConnTimeout = 30 * time.Second
	// minBurst is the smallest burst of a rate limiter, in bytes.
	minBurst = 16 << 10
	// burstsPerSecond is the number of bursts into which a rate limiter divides the bytes of a second.
	burstsPerSecond = 20
)

// Options configure an agent.
type Options struct {
	// Machine is the name of the worker's machine. Address is the host and port at which peers and
	// controllers reach this agent.
	Machine, Address string
	// Dir is the directory of the cache.
	Dir string
	// CacheBytes is the maximum size of the cache, in bytes.
	CacheBytes int64
	// Store is the base URL of the dataset store, without a trailing slash.
	Store string
	// Controllers maps the member names of the controllers to their addresses. If it is empty, Run
	// sends no heartbeats.
	Controllers map[string]string
	// DownRate and UpRate limit the rates of receiving and serving, in bytes per second. Zero means
	// no limit.
	DownRate, UpRate float64
	// MaxConcurrentServes is the maximum number of chunk requests that are served concurrently. Zero means
	// tuning.MaxConcurrentCopies.
	MaxConcurrentServes int
	// Compress makes the agent ask peers for compressed chunks. A peer compresses a chunk only if that
	// reduces its size enough.
	Compress bool

	// Clock replaces the real clock unless it is nil.
	Clock clockwork.Clock
	// Transport replaces the default HTTP transport unless it is nil.
	Transport http.RoundTripper
	// BeforeStep is called with the name of each step of a write to the disk before the step is executed,
	// so that tests can inject a crash there. It may be nil.
	BeforeStep func(string)
}

// Agent copies, caches and serves parts of datasets. It is created by New. The caller must serve its
// Handler and call Run once. All methods are safe for concurrent use.
type Agent struct {
	options      Options
	clock        clockwork.Clock
	http         *http.Client
	cache        *Cache
	sourceClient *sourceClient
	chunkServer  *chunkServer
	// downloadCtx is the context of chunk downloads, which may outlive the transfer that started them.
	downloadCtx context.Context
	// reconcileDue requests a reconciliation.
	reconcileDue chan struct{}
	// heartbeatDue requests a heartbeat before the usual interval has passed.
	heartbeatDue chan struct{}
	// goroutines counts the goroutines that Run waits for before it returns.
	goroutines sync.WaitGroup

	// orderMu is held while an order is stored and adopted, so that orders are applied one at a
	// time. It is locked before mu.
	orderMu sync.Mutex

	// mu guards the fields below and the fields of desiredDataset. It is not held during I/O.
	mu    sync.Mutex
	state storedState
	// sequence is the sequence number of the last heartbeat.
	sequence uint64
	// desired maps dataset names to the desired state from the current order.
	desired map[string]*desiredDataset
	// transfers are the parts being copied.
	transfers map[partKey]*partTransfer
	// downloads are the chunks being received.
	downloads map[dataset.Digest]*chunkDownload
	// replicas maps manifest digests, as text, to the parts of that dataset in the cache.
	replicas map[string]*replica
	// replicasVersion counts the changes of replicas.
	replicasVersion uint64
	// knownVersion is the value of replicasVersion that the controllers last acknowledged.
	knownVersion uint64
	// lostChunks is the value of Cache.LostChunks at the last refresh of replicas.
	lostChunks uint64
}

// New opens the cache in Options.Dir and restores the stored order of an earlier process of this
// agent, so that the parts reported as pinned stay pinned. Cancelling ctx cancels all downloads.
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
	if options.MaxConcurrentServes == 0 {
		options.MaxConcurrentServes = tuning.MaxConcurrentCopies
	}
	cache, err := OpenCache(options.Dir, options.CacheBytes, options.BeforeStep)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: options.Transport}
	agent := &Agent{
		options:      options,
		clock:        options.Clock,
		http:         client,
		cache:        cache,
		sourceClient: &sourceClient{http: client, clock: options.Clock, store: options.Store, compress: options.Compress, limiter: newLimiter(options.DownRate)},
		chunkServer:  &chunkServer{cache: cache, limiter: newLimiter(options.UpRate), slots: make(chan struct{}, options.MaxConcurrentServes)},
		downloadCtx:  ctx,
		reconcileDue: make(chan struct{}, 1),
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

// newLimiter returns a rate limiter for a rate in bytes per second, or nil if the rate is not positive.
func newLimiter(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	burst := min(tuning.StageBlockBytes, int(bytesPerSecond/burstsPerSecond))
	return rate.NewLimiter(rate.Limit(bytesPerSecond), max(minBurst, burst))
}

// Run executes the orders, and sends heartbeats if controllers are configured, until ctx is
// cancelled. It returns once all transfers and downloads have ended.
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
		case <-agent.reconcileDue:
		case <-retry:
		}
	}
}

// requestReconciliation makes Run start a reconciliation, after the running one if there is one.
func (agent *Agent) requestReconciliation() { signal(agent.reconcileDue) }

// requestHeartbeat makes the next heartbeat due as soon as the minimum interval allows.
func (agent *Agent) requestHeartbeat() { signal(agent.heartbeatDue) }

// signal sends to a channel of capacity one, and does nothing if the channel is full.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
