// Package fake holds working fakes of what surrounds the controllers, for tests, the simulation and experiments: the
// state service, the cloud, a store of datasets and the workers. They keep the protocol and its limits, can be made to
// fail, and run in process on a clock that the caller gives. Nothing is stored on disk, and tasks run nothing.
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

// Limits are the state service's limits that each deployment sets. The others are the same everywhere and always kept.
type Limits struct {
	// RPS limits requests a second, WriteRPS changes a second, each with bursts of one second's worth; 0 is no
	// limit, for tests whose clock does not advance.
	RPS, WriteRPS float64
	// ValueKB limits a value in KiB, TxnOps the changes of a transaction.
	ValueKB float64
	TxnOps  int
}

// Limits that the protocol sets.
const (
	maxBodyBytes  = 64 << 10
	maxListItems  = 1000
	maxListBytes  = 512 << 10
	maxHistory    = 10_000
	maxKeyBytes   = 200
	maxWatchBlock = 60 * time.Second
	minLeaseLife  = 100 * time.Millisecond
	maxLeaseLife  = 600 * time.Second
)

// record is a key's value, the revision of its last change, and the lease that it hangs on, 0 if on none.
type record struct {
	value    json.RawMessage
	revision uint64
	leaseID  uint64
}

// State is a fake of the state service, a key-value store with leases, watches and transactions on conditions. It is an
// http.RoundTripper that answers requests itself.
type State struct {
	clock clockwork.Clock

	// mu guards the fields below, also the exported ones while requests are served.
	mu        sync.Mutex
	records   map[string]record
	leases    map[uint64]time.Time
	leaseLife map[uint64]time.Duration
	revision  uint64
	// Down has every request answered with 503.
	Down bool
	// LoseAnswer has the next transaction executed and its answer lost; HoldNext has it held back until
	// Deliver.
	LoseAnswer, HoldNext bool
	heldTransactions     []transactionRequest
	delayedWrite         *Late
	delayedRead          *Late
	// Largest is the largest transaction so far: its changes, its bytes, and
	// the bytes of its largest value.
	Largest struct{ Ops, Bytes, Value int }
	// Requests counts all requests, Refused those that break a limit, by its name. changesByKind counts puts and
	// deletes by the first two parts of the keys.
	Requests      int
	Refused       map[string]int
	changesByKind map[string]int

	limits   Limits
	requests *rate.Limiter
	writes   *rate.Limiter
	// history holds the newest changes; every one up to gone is no longer kept.
	history       []change
	oldestDropped uint64
	// notifyChange is closed at each change, and made anew.
	changed chan struct{}
}

// NewState makes an empty service with the default limits.
func NewState(clock clockwork.Clock) *State {
	s := &State{clock: clock, records: map[string]record{}, leases: map[uint64]time.Time{}, leaseLife: map[uint64]time.Duration{}, revision: 10, oldestDropped: 10,
		Refused: map[string]int{}, changesByKind: map[string]int{}, changed: make(chan struct{})}
	s.Limit(Limits{ValueKB: 16, TxnOps: 24})
	return s
}

// Limit sets the deployment's limits.
func (state *State) Limit(limits Limits) {
	state.mu.Lock()
	defer state.mu.Unlock()
	per := func(n float64) *rate.Limiter {
		if n <= 0 {
			return rate.NewLimiter(rate.Inf, 0)
		}
		return rate.NewLimiter(rate.Limit(n), max(1, int(n)))
	}
	state.limits, state.requests, state.writes = limits, per(limits.RPS), per(limits.WriteRPS)
}

// Outage sets Down while requests may be served.
func (state *State) Outage(down bool) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.Down = down
}

// Refusals counts the requests that broke a limit so far, by its name.
func (state *State) Refusals() map[string]int {
	state.mu.Lock()
	defer state.mu.Unlock()
	return maps.Clone(state.Refused)
}

// Changes counts the puts and deletes so far, by the first two parts of the keys.
func (state *State) Changes() map[string]int {
	state.mu.Lock()
	defer state.mu.Unlock()
	return maps.Clone(state.changesByKind)
}

// keyKind is the first two parts of a key.
func keyKind(key string) string {
	parts := strings.SplitN(key, "/", 3)
	return strings.Join(parts[:min(2, len(parts))], "/")
}

// refuse counts and answers a request that breaks a limit; mu is held.
func (state *State) refuse(status int, why string) (*http.Response, error) {
	state.Refused[why]++
	return reply(status, map[string]any{"error": why})
}

// errAnswerLost is what a client gets whose request is executed, or held back, without an answer.
var errAnswerLost = errors.New("no answer")

// reply makes an answer with a JSON body.
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

// serveGet answers with a key's record.
func (state *State) serveGet(key string) (*http.Response, error) {
	found, ok := state.records[key]
	if late := state.delayedRead; late != nil {
		state.delayedRead = nil
		state.awaitRelease(late)
		if !late.executed {
			found, ok = state.records[key]
		}
	}
	if !ok {
		return reply(http.StatusNotFound, map[string]any{"epoch": state.revision})
	}
	return reply(http.StatusOK, map[string]any{"k": key, "value": found.value, "stamp": found.revision, "ticket": found.leaseID})
}

// serveList answers with a page of the records under a prefix, in the order of their keys.
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

// Put sets a key as another client of the service would; it returns the new revision.
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

// Get is a key's value, nil if it does not exist.
func (state *State) Get(key string) json.RawMessage {
	value, _ := state.Read(key)
	return value
}

// Under counts the keys that begin with a prefix.
func (state *State) Under(prefix string) (n int) {
	state.mu.Lock()
	defer state.mu.Unlock()
	for key := range state.records {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Read is a key's value and the revision of its last change, nil and 0 if it does not exist.
func (state *State) Read(key string) (value json.RawMessage, stamp uint64) {
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.records[key].value, state.records[key].revision
}
