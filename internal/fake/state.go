// Package fake provides in-process fakes of the services around the controllers, for tests, the simulation and
// experiments: the state service, the cloud, the dataset store and the workers. They follow the protocol and enforce
// its limits, support fault injection, and run on the caller's clock. They store nothing on disk, and their tasks
// execute nothing.
package fake

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Limits are the state service's limits that differ between deployments. The protocol's other limits always apply.
type Limits struct {
	// RPS is the maximum number of requests per second, WriteRPS that of changes per second, each with bursts of one
	// second's worth. 0 means no limit, for tests whose clock does not advance.
	RPS, WriteRPS float64
	// ValueKB is the maximum size of a value in KiB.
	ValueKB float64
	// TxnOps is the maximum number of changes in a transaction.
	TxnOps int
}

// Limits that the protocol sets for all deployments.
const (
	// maxBodyBytes is the maximum size of a request's body.
	maxBodyBytes = 64 << 10
	// maxListItems is the maximum number of records in a page of a list.
	maxListItems = 1000
	// maxListBytes is the maximum size of a page's keys and values, unless a single record is larger.
	maxListBytes = 512 << 10
	// maxHistory is the number of changes that are kept for watches.
	maxHistory = 10_000
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 200
	// maxWatchWait is the maximum time for which a watch waits.
	maxWatchWait = 60 * time.Second
	// minLeaseLifetime is the minimum lifetime of a lease.
	minLeaseLifetime = 100 * time.Millisecond
	// maxLeaseLifetime is the maximum lifetime of a lease.
	maxLeaseLifetime = 600 * time.Second
)

// record is a key's value, the revision of its last change, and the id of the lease to which it is attached, 0 if none.
type record struct {
	value    json.RawMessage
	revision uint64
	leaseID  uint64
}

// State is an http.RoundTripper that fakes the state service, a key-value store with leases, watches and conditional
// transactions. Its methods are safe for concurrent use.
type State struct {
	clock clockwork.Clock

	// mu guards the fields below. Callers may use the exported ones only while no request is served.
	mu             sync.Mutex
	records        map[string]record
	leaseExpiries  map[uint64]time.Time     // expiry, by lease id
	leaseLifetimes map[uint64]time.Duration // lifetime, by lease id
	revision       uint64
	// Down answers all requests with 503.
	Down bool
	// LoseNextAnswer executes the next transaction without answering it.
	LoseNextAnswer bool
	// HoldNextTransaction holds the next transaction back and does not answer it.
	HoldNextTransaction bool
	heldTransactions    []transactionRequest
	// delayedTransaction and delayedRead delay the answer to the next transaction and the next read of a key, if not nil.
	delayedTransaction *DelayedAnswer
	delayedRead        *DelayedAnswer
	// LargestTransaction holds the maxima over all transactions so far: the number of changes, the size of the body in
	// bytes, and the size of a value in bytes.
	LargestTransaction struct{ Ops, Bytes, Value int }
	// Requests counts all requests.
	Requests int
	// Refused counts the requests that violated a limit, by the error's text.
	Refused map[string]int
	// changesByKind counts puts and deletes in transactions, by the first two segments of the key.
	changesByKind map[string]int

	limits   Limits
	requests *rate.Limiter
	writes   *rate.Limiter
	// history holds the newest changes, oldest first, for watches.
	history []change
	// newestDropped is the newest revision whose changes may have been dropped from history.
	newestDropped uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewState returns an empty service that accepts values of 16 KiB and transactions of 24 changes, without rate limits.
func NewState(clock clockwork.Clock) *State {
	s := &State{clock: clock, records: map[string]record{}, leaseExpiries: map[uint64]time.Time{}, leaseLifetimes: map[uint64]time.Duration{}, revision: 10, newestDropped: 10,
		Refused: map[string]int{}, changesByKind: map[string]int{}, changed: make(chan struct{})}
	s.SetLimits(Limits{ValueKB: 16, TxnOps: 24})
	return s
}

// SetLimits replaces the deployment's limits.
func (state *State) SetLimits(limits Limits) {
	state.mu.Lock()
	defer state.mu.Unlock()
	limiter := func(n float64) *rate.Limiter {
		if n <= 0 {
			return rate.NewLimiter(rate.Inf, 0)
		}
		return rate.NewLimiter(rate.Limit(n), max(1, int(n)))
	}
	state.limits, state.requests, state.writes = limits, limiter(limits.RPS), limiter(limits.WriteRPS)
}

// SetDown sets Down. Unlike the field it may be used while requests are served.
func (state *State) SetDown(down bool) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.Down = down
}

// Refusals returns a copy of Refused. Unlike the field it may be used while requests are served.
func (state *State) Refusals() map[string]int {
	state.mu.Lock()
	defer state.mu.Unlock()
	return maps.Clone(state.Refused)
}

// Changes returns the number of puts and deletes in transactions so far, by the first two segments of the key.
func (state *State) Changes() map[string]int {
	state.mu.Lock()
	defer state.mu.Unlock()
	return maps.Clone(state.changesByKind)
}

// keyKind returns the first two segments of a key.
func keyKind(key string) string {
	parts := strings.SplitN(key, "/", 3)
	return strings.Join(parts[:min(2, len(parts))], "/")
}

// refuse counts and answers a request that violates a limit. The caller holds mu.
func (state *State) refuse(status int, reason string) (*http.Response, error) {
	state.Refused[reason]++
	return reply(status, map[string]any{"error": reason})
}

// errAnswerLost is returned for a transaction that is executed or held back without an answer.
var errAnswerLost = errors.New("no answer")

// reply returns a response with a JSON body.
func reply(status int, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encoding an answer: %w", err)
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(raw))}, nil
}

// RoundTrip answers one request.
func (state *State) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		body, _ = io.ReadAll(request.Body)
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	state.expireLeases()
	state.Requests++
	if state.Down {
		return reply(http.StatusServiceUnavailable, map[string]any{})
	}
	if !state.requests.AllowN(state.clock.Now(), 1) {
		return state.refuse(http.StatusTooManyRequests, "too many requests")
	}
	if len(body) > maxBodyBytes {
		return state.refuse(http.StatusRequestEntityTooLarge, "body too large")
	}
	switch path := request.URL.Path; {
	case path == "/multi":
		return state.serveTransaction(body)
	case path == "/leases":
		return state.grantLease(body)
	case strings.HasPrefix(path, "/leases/"):
		return state.renewOrRevokeLease(request)
	case path == "/watch":
		return state.serveWatch(request)
	case path == "/store":
		return state.serveList(request.URL.Query())
	case strings.HasPrefix(path, "/store/"):
		return state.serveGet(strings.TrimPrefix(path, "/store/"))
	}
	return reply(http.StatusBadRequest, map[string]any{"error": "malformed"})
}

// serveGet answers with a key's record. The caller holds mu, which is unlocked while the answer is delayed.
func (state *State) serveGet(key string) (*http.Response, error) {
	found, ok := state.records[key]
	if delayed := state.delayedRead; delayed != nil {
		state.delayedRead = nil
		state.awaitRelease(delayed)
		if !delayed.executeOnArrival {
			found, ok = state.records[key]
		}
	}
	if !ok {
		return reply(http.StatusNotFound, map[string]any{"epoch": state.revision})
	}
	return reply(http.StatusOK, map[string]any{"k": key, "value": found.value, "stamp": found.revision, "ticket": found.leaseID})
}

// serveList answers with a page of the records under a prefix, sorted by key. The caller holds mu.
func (state *State) serveList(query url.Values) (*http.Response, error) {
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxListItems {
		return state.refuse(http.StatusBadRequest, "limit out of range")
	}
	var keys []string
	for key := range state.records {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	rows, bytes := []any{}, 0
	for _, key := range keys {
		if bytes += len(key) + len(state.records[key].value); len(rows) == limit || len(rows) > 0 && bytes > maxListBytes {
			break
		}
		rows = append(rows, map[string]any{"k": key, "value": state.records[key].value, "stamp": state.records[key].revision})
	}
	return reply(http.StatusOK, map[string]any{"rows": rows, "more": len(rows) < len(keys), "epoch": state.revision})
}

// Put sets a key, as another client of the service would, and returns the new revision.
func (state *State) Put(key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	state.revision++
	state.records[key] = record{value: raw, revision: state.revision}
	state.recordChanges(change{Set: key, Value: raw, Stamp: state.revision})
	return state.revision
}

// Get returns a key's value, nil if the key does not exist.
func (state *State) Get(key string) json.RawMessage {
	value, _ := state.Read(key)
	return value
}

// CountPrefix returns the number of keys that begin with a prefix.
func (state *State) CountPrefix(prefix string) (n int) {
	state.mu.Lock()
	defer state.mu.Unlock()
	for key := range state.records {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Read returns a key's value and the revision of its last change, nil and 0 if the key does not exist.
func (state *State) Read(key string) (value json.RawMessage, revision uint64) {
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.records[key].value, state.records[key].revision
}
