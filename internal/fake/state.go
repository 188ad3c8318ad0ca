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

type transactionRequest struct {
	If []struct {
		K     string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Then []struct {
		Set    string          `json:"set"`
		Value  json.RawMessage `json:"value"`
		Ticket uint64          `json:"ticket"`
		Delete string          `json:"delete"`
	} `json:"then"`
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

type change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
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

// serveTransaction runs a transaction; the lock is held, as in all that answers.
func (state *State) serveTransaction(body []byte) (*http.Response, error) {
	var transaction transactionRequest
	if json.Unmarshal(body, &transaction) != nil {
		return reply(400, map[string]any{"error": "malformed"})
	}
	if why := state.violatedLimit(&transaction); why != "" {
		return state.refuse(400, why)
	}
	if !state.writes.AllowN(state.clock.Now(), len(transaction.Then)) {
		return state.refuse(429, "too many changes")
	}
	state.Largest.Ops = max(state.Largest.Ops, len(transaction.Then))
	state.Largest.Bytes = max(state.Largest.Bytes, len(body))
	for _, o := range transaction.Then {
		state.Largest.Value = max(state.Largest.Value, len(o.Value))
	}
	if late := state.delayedWrite; late != nil {
		state.delayedWrite = nil
		return state.serveDelayed(late, transaction)
	}
	if state.HoldNext {
		state.HoldNext = false
		state.heldTransactions = append(state.heldTransactions, transaction)
		return nil, errAnswerLost
	}
	resp, err := state.apply(transaction)
	if state.LoseAnswer {
		state.LoseAnswer = false
		return nil, errAnswerLost
	}
	return resp, err
}

func (state *State) grantLease(body []byte) (*http.Response, error) {
	var q struct {
		Life int64 `json:"life_ms"`
	}
	life := time.Duration(0)
	if json.Unmarshal(body, &q) == nil {
		life = time.Duration(q.Life) * time.Millisecond
	}
	if life < minLeaseLife || life > maxLeaseLife {
		return state.refuse(400, "life_ms out of range")
	}
	state.revision++
	id := state.revision
	state.leaseLife[id] = life
	state.leases[id] = state.clock.Now().Add(state.leaseLife[id])
	return reply(200, map[string]any{"ticket": id})
}

func (state *State) renewOrRevokeLease(request *http.Request) (*http.Response, error) {
	id, _ := strconv.ParseUint(strings.Split(request.URL.Path, "/")[2], 10, 64)
	if _, ok := state.leases[id]; !ok {
		return reply(404, map[string]any{})
	}
	if request.Method == http.MethodDelete {
		state.leases[id] = time.Time{}
		state.expireLeases()
	} else {
		state.leases[id] = state.clock.Now().Add(state.leaseLife[id])
	}
	return reply(200, map[string]any{})
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

// violatedLimit is which limit a transaction breaks; empty: none.
func (state *State) violatedLimit(t *transactionRequest) string {
	bad := func(key string) bool { return key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\n") }
	switch {
	case len(t.Then) > state.limits.TxnOps:
		return "too many changes in a transaction"
	case len(t.If) > 4*state.limits.TxnOps:
		return "too many conditions"
	}
	for _, c := range t.If {
		if bad(c.K) {
			return "malformed key"
		}
	}
	for _, o := range t.Then {
		if bad(o.Set + o.Delete) {
			return "malformed key"
		}
		if float64(len(o.Value)) > state.limits.ValueKB*1024 {
			return "value too large"
		}
	}
	return ""
}

// serveWatch waits for changes under a prefix; the lock is held but while it waits.
func (state *State) serveWatch(request *http.Request) (*http.Response, error) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	block, berr := strconv.ParseInt(query.Get("block_ms"), 10, 64)
	wait := time.Duration(block) * time.Millisecond
	if err != nil || query.Get("block_ms") != "" && berr != nil || wait < 0 || wait > maxWatchBlock {
		return state.refuse(400, "malformed watch")
	}
	over := state.clock.After(wait)
	for late := wait == 0; ; {
		if after < state.oldestDropped {
			return reply(410, map[string]any{"epoch": state.revision})
		}
		log := []change{}
		for _, c := range state.history {
			if c.Stamp > after && strings.HasPrefix(c.Set+c.Delete, query.Get("under")) {
				log = append(log, c)
			}
		}
		if len(log) > 0 || late {
			return reply(200, map[string]any{"epoch": state.revision, "log": log})
		}
		changed := state.changed
		// A lease that ends is a change as well.
		var ends <-chan time.Time
		for _, end := range state.leases {
			if left := end.Sub(state.clock.Now()); ends == nil || left < wait {
				wait, ends = left, state.clock.After(left+time.Millisecond)
			}
		}
		state.mu.Unlock()
		select {
		case <-changed:
		case <-ends:
		case <-over:
			late = true
		case <-request.Context().Done():
		}
		state.mu.Lock()
		state.expireLeases()
		if err := request.Context().Err(); err != nil {
			return nil, err
		}
	}
}

// recordChanges keeps changes for watches.
func (state *State) recordChanges(cs ...change) {
	state.history = append(state.history, cs...)
	if n := len(state.history) - maxHistory; n > 0 {
		state.oldestDropped = state.history[n-1].Stamp
		state.history = slices.Clone(state.history[n:])
	}
	close(state.changed)
	state.changed = make(chan struct{})
}

func (state *State) expireLeases() {
	for id, end := range state.leases {
		if state.clock.Now().After(end) {
			delete(state.leases, id)
			for key, v := range state.records {
				if v.leaseID == id {
					state.revision++
					delete(state.records, key)
					state.recordChanges(change{Delete: key, Stamp: state.revision})
				}
			}
		}
	}
}

func (state *State) apply(transaction transactionRequest) (*http.Response, error) {
	var failed []string
	for _, c := range transaction.If {
		if state.records[c.K].revision != c.Stamp {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return reply(409, map[string]any{"failed": failed, "epoch": state.revision})
	}
	for _, o := range transaction.Then {
		if _, ok := state.leases[o.Ticket]; o.Ticket != 0 && !ok {
			return reply(400, map[string]any{"error": "no such lease"})
		}
	}
	if len(transaction.Then) > 0 {
		state.revision++
	}
	for _, o := range transaction.Then {
		state.changesByKind[keyKind(o.Set+o.Delete)]++
		if o.Delete != "" {
			delete(state.records, o.Delete)
			state.recordChanges(change{Delete: o.Delete, Stamp: state.revision})
		} else {
			state.records[o.Set] = record{o.Value, state.revision, o.Ticket}
			state.recordChanges(change{Set: o.Set, Value: o.Value, Stamp: state.revision})
		}
	}
	return reply(200, map[string]any{"epoch": state.revision})
}

// Late is a transaction whose answer is held back.
type Late struct {
	// Asked is closed once it came in.
	Asked    chan struct{}
	released chan struct{}
	executed bool
}

// Answer lets the answer go.
func (l *Late) Answer() { close(l.released) }

// LateNext holds back the answer of the next transaction until Answer; it is executed
// before that, or only then.
func (state *State) LateNext(executed bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedWrite = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executed: executed}
	return state.delayedWrite
}

// LateRead holds back the answer of the next reading of a key until Answer; it is executed before that, or only
// then.
func (state *State) LateRead(executed bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedRead = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executed: executed}
	return state.delayedRead
}

// awaitRelease waits until the answer may go; it is called, and returns, with the lock held.
func (state *State) awaitRelease(late *Late) {
	close(late.Asked)
	state.mu.Unlock()
	<-late.released
	state.mu.Lock()
}

// serveDelayed is called, and returns, with the lock held.
func (state *State) serveDelayed(late *Late, transaction transactionRequest) (resp *http.Response, err error) {
	if late.executed {
		resp, err = state.apply(transaction)
	}
	state.awaitRelease(late)
	if !late.executed {
		resp, err = state.apply(transaction)
	}
	return resp, err
}

// Deliver applies the transactions that were held back, late.
func (state *State) Deliver() {
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, transaction := range state.heldTransactions {
		_, _ = state.apply(transaction)
	}
	state.heldTransactions = nil
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
