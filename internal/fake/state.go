// Package fake holds scripted stand-ins of the services around the
// controllers, for tests. They run in process and on a fake clock.
package fake

import (
	"bytes"
	"encoding/json"
	"errors"
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

// Limits are those of the protocol that each deployment sets; the others are the same
// everywhere and always kept.
type Limits struct {
	// RPS are requests, WriteRPS changes a second, each with bursts of one second's
	// worth; 0: not limited, for tests whose clock stands still.
	RPS, WriteRPS float64
	// ValueKB are KiB a value, TxnOps changes a transaction.
	ValueKB float64
	TxnOps  int
}

// The protocol's own limits.
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

type record struct {
	value    json.RawMessage
	revision uint64
	leaseID  uint64
}

// State is the state service: an http.RoundTripper that answers by itself.
type State struct {
	clock clockwork.Clock

	mu        sync.Mutex
	records   map[string]record
	leases    map[uint64]time.Time
	leaseLife map[uint64]time.Duration
	revision  uint64
	// Down answers 503 to everything.
	Down bool
	// LoseAnswer executes the next transaction and loses its answer; HoldNext
	// holds it back until Deliver.
	LoseAnswer, HoldNext bool
	heldTransactions     []transactionRequest
	delayedWrite         *Late
	delayedRead          *Late
	// Largest is the largest transaction so far: its changes, its bytes, and
	// the bytes of its largest value.
	Largest struct{ Ops, Bytes, Value int }
	// Requests counts all requests; Refused those over a limit, by what was wrong; changes what was put and deleted, by
	// the first two parts of the keys.
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

// NewState makes an empty service.
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

// Outage sets Down while others are at work.
func (state *State) Outage(down bool) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.Down = down
}

// Refusals are the requests over a limit so far, by what was wrong.
func (state *State) Refusals() map[string]int {
	state.mu.Lock()
	defer state.mu.Unlock()
	return maps.Clone(state.Refused)
}

// Changes are how many keys were put or deleted so far, by the first two parts of the keys.
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

// refuse answers a request that breaks a limit.
func (state *State) refuse(status int, why string) (*http.Response, error) {
	state.Refused[why]++
	return reply(status, map[string]any{"error": why})
}

var errAnswerLost = errors.New("no answer")

func reply(status int, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
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
		return reply(503, map[string]any{})
	}
	if !state.requests.AllowN(state.clock.Now(), 1) {
		return state.refuse(429, "too many requests")
	}
	if len(body) > maxBodyBytes {
		return state.refuse(413, "body too large")
	}
	switch p := request.URL.Path; {
	case p == "/multi":
		return state.serveTransaction(body)
	case p == "/leases":
		return state.grantLease(body)
	case strings.HasPrefix(p, "/leases/"):
		return state.renewOrRevokeLease(request)
	case p == "/watch":
		return state.serveWatch(request)
	case p == "/store":
		return state.serveList(request.URL.Query())
	case strings.HasPrefix(p, "/store/"):
		return state.serveGet(strings.TrimPrefix(p, "/store/"))
	}
	return reply(400, map[string]any{"error": "malformed"})
}

func (state *State) serveGet(key string) (*http.Response, error) {
	v, ok := state.records[key]
	if late := state.delayedRead; late != nil {
		state.delayedRead = nil
		state.awaitRelease(late)
		if !late.executed {
			v, ok = state.records[key]
		}
	}
	if !ok {
		return reply(404, map[string]any{"epoch": state.revision})
	}
	return reply(200, map[string]any{"k": key, "value": v.value, "stamp": v.revision, "ticket": v.leaseID})
}

func (state *State) serveList(query url.Values) (*http.Response, error) {
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxListItems {
		return state.refuse(400, "limit out of range")
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
	return reply(200, map[string]any{"rows": rows, "more": len(rows) < len(keys), "epoch": state.revision})
}

// Put sets a key as if another node had.
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

// Get reads a key; nil: it does not exist.
func (state *State) Get(key string) json.RawMessage {
	value, _ := state.Read(key)
	return value
}

// Under is how many keys begin with a prefix.
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

// Read reads a key and the revision of its last change; nil and 0: it does not exist.
func (state *State) Read(key string) (value json.RawMessage, stamp uint64) {
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.records[key].value, state.records[key].revision
}
