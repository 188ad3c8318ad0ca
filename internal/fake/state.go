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
	bodyBytes   = 64 << 10
	listItems   = 1000
	listBytes   = 512 << 10
	historyKept = 10_000
	keyBytes    = 200
	blockMost   = 60 * time.Second
	lifeLeast   = 100 * time.Millisecond
	lifeMost    = 600 * time.Second
)

type row struct {
	value  json.RawMessage
	stamp  uint64
	ticket uint64
}

type txn struct {
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

	mu     sync.Mutex
	rows   map[string]row
	leases map[uint64]time.Time
	life   map[uint64]time.Duration
	epoch  uint64
	// Down answers 503 to everything.
	Down bool
	// LoseAnswer executes the next transaction and loses its answer; HoldNext
	// holds it back until Deliver.
	LoseAnswer, HoldNext bool
	held                 []txn
	late                 *Late
	lateRead             *Late
	// Largest is the largest transaction so far: its changes, its bytes, and
	// the bytes of its largest value.
	Largest struct{ Ops, Bytes, Value int }
	// Requests counts all requests; Refused those over a limit, by what was wrong; changes what was put and deleted, by
	// the first two parts of the keys.
	Requests int
	Refused  map[string]int
	changes  map[string]int

	limits   Limits
	requests *rate.Limiter
	writes   *rate.Limiter
	// log holds the newest changes; every one up to gone is no longer kept.
	log  []change
	gone uint64
	// changed is closed at each change, and made anew.
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
	s := &State{clock: clock, rows: map[string]row{}, leases: map[uint64]time.Time{}, life: map[uint64]time.Duration{}, epoch: 10, gone: 10,
		Refused: map[string]int{}, changes: map[string]int{}, changed: make(chan struct{})}
	s.Limit(Limits{ValueKB: 16, TxnOps: 24})
	return s
}

// Limit sets the deployment's limits.
func (s *State) Limit(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	per := func(n float64) *rate.Limiter {
		if n <= 0 {
			return rate.NewLimiter(rate.Inf, 0)
		}
		return rate.NewLimiter(rate.Limit(n), max(1, int(n)))
	}
	s.limits, s.requests, s.writes = l, per(l.RPS), per(l.WriteRPS)
}

// Outage sets Down while others are at work.
func (s *State) Outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Down = down
}

// Refusals are the requests over a limit so far, by what was wrong.
func (s *State) Refusals() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.Refused)
}

// Changes are how many keys were put or deleted so far, by the first two parts of the keys.
func (s *State) Changes() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.changes)
}

// kindOf is the first two parts of a key.
func kindOf(key string) string {
	parts := strings.SplitN(key, "/", 3)
	return strings.Join(parts[:min(2, len(parts))], "/")
}

// refuse answers a request that breaks a limit.
func (s *State) refuse(status int, why string) (*http.Response, error) {
	s.Refused[why]++
	return reply(status, map[string]any{"error": why})
}

var errLost = errors.New("no answer")

func reply(status int, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(raw))}, nil
}

// RoundTrip answers one request.
func (s *State) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.Requests++
	if s.Down {
		return reply(503, map[string]any{})
	}
	if !s.requests.AllowN(s.clock.Now(), 1) {
		return s.refuse(429, "too many requests")
	}
	if len(body) > bodyBytes {
		return s.refuse(413, "body too large")
	}
	switch p := r.URL.Path; {
	case p == "/multi":
		return s.multi(body)
	case p == "/leases":
		return s.grant(body)
	case strings.HasPrefix(p, "/leases/"):
		return s.renewOrEnd(r)
	case p == "/watch":
		return s.watch(r)
	case p == "/store":
		return s.list(r.URL.Query())
	case strings.HasPrefix(p, "/store/"):
		return s.get(strings.TrimPrefix(p, "/store/"))
	}
	return reply(400, map[string]any{"error": "malformed"})
}

// multi runs a transaction; the lock is held, as in all that answers.
func (s *State) multi(body []byte) (*http.Response, error) {
	var t txn
	if json.Unmarshal(body, &t) != nil {
		return reply(400, map[string]any{"error": "malformed"})
	}
	if why := s.tooMuch(&t); why != "" {
		return s.refuse(400, why)
	}
	if !s.writes.AllowN(s.clock.Now(), len(t.Then)) {
		return s.refuse(429, "too many changes")
	}
	s.Largest.Ops = max(s.Largest.Ops, len(t.Then))
	s.Largest.Bytes = max(s.Largest.Bytes, len(body))
	for _, o := range t.Then {
		s.Largest.Value = max(s.Largest.Value, len(o.Value))
	}
	if l := s.late; l != nil {
		s.late = nil
		return s.answerLate(l, t)
	}
	if s.HoldNext {
		s.HoldNext = false
		s.held = append(s.held, t)
		return nil, errLost
	}
	resp, err := s.apply(t)
	if s.LoseAnswer {
		s.LoseAnswer = false
		return nil, errLost
	}
	return resp, err
}

func (s *State) grant(body []byte) (*http.Response, error) {
	var q struct {
		Life int64 `json:"life_ms"`
	}
	life := time.Duration(0)
	if json.Unmarshal(body, &q) == nil {
		life = time.Duration(q.Life) * time.Millisecond
	}
	if life < lifeLeast || life > lifeMost {
		return s.refuse(400, "life_ms out of range")
	}
	s.epoch++
	id := s.epoch
	s.life[id] = life
	s.leases[id] = s.clock.Now().Add(s.life[id])
	return reply(200, map[string]any{"ticket": id})
}

func (s *State) renewOrEnd(r *http.Request) (*http.Response, error) {
	id, _ := strconv.ParseUint(strings.Split(r.URL.Path, "/")[2], 10, 64)
	if _, ok := s.leases[id]; !ok {
		return reply(404, map[string]any{})
	}
	if r.Method == http.MethodDelete {
		s.leases[id] = time.Time{}
		s.expire()
	} else {
		s.leases[id] = s.clock.Now().Add(s.life[id])
	}
	return reply(200, map[string]any{})
}

func (s *State) get(k string) (*http.Response, error) {
	v, ok := s.rows[k]
	if l := s.lateRead; l != nil {
		s.lateRead = nil
		s.hold(l)
		if !l.executed {
			v, ok = s.rows[k]
		}
	}
	if !ok {
		return reply(404, map[string]any{"epoch": s.epoch})
	}
	return reply(200, map[string]any{"k": k, "value": v.value, "stamp": v.stamp, "ticket": v.ticket})
}

func (s *State) list(q url.Values) (*http.Response, error) {
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > listItems {
		return s.refuse(400, "limit out of range")
	}
	var keys []string
	for k := range s.rows {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	rows, bytes := []any{}, 0
	for _, k := range keys {
		if bytes += len(k) + len(s.rows[k].value); len(rows) == limit || len(rows) > 0 && bytes > listBytes {
			break
		}
		rows = append(rows, map[string]any{"k": k, "value": s.rows[k].value, "stamp": s.rows[k].stamp})
	}
	return reply(200, map[string]any{"rows": rows, "more": len(rows) < len(keys), "epoch": s.epoch})
}

// tooMuch is which limit a transaction breaks; empty: none.
func (s *State) tooMuch(t *txn) string {
	bad := func(k string) bool { return k == "" || len(k) > keyBytes || strings.ContainsAny(k, " \t\n") }
	switch {
	case len(t.Then) > s.limits.TxnOps:
		return "too many changes in a transaction"
	case len(t.If) > 4*s.limits.TxnOps:
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
		if float64(len(o.Value)) > s.limits.ValueKB*1024 {
			return "value too large"
		}
	}
	return ""
}

// watch waits for changes under a prefix; the lock is held but while it waits.
func (s *State) watch(r *http.Request) (*http.Response, error) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	block, berr := strconv.ParseInt(q.Get("block_ms"), 10, 64)
	wait := time.Duration(block) * time.Millisecond
	if err != nil || q.Get("block_ms") != "" && berr != nil || wait < 0 || wait > blockMost {
		return s.refuse(400, "malformed watch")
	}
	over := s.clock.After(wait)
	for late := wait == 0; ; {
		if after < s.gone {
			return reply(410, map[string]any{"epoch": s.epoch})
		}
		log := []change{}
		for _, c := range s.log {
			if c.Stamp > after && strings.HasPrefix(c.Set+c.Delete, q.Get("under")) {
				log = append(log, c)
			}
		}
		if len(log) > 0 || late {
			return reply(200, map[string]any{"epoch": s.epoch, "log": log})
		}
		changed := s.changed
		// A lease that ends is a change as well.
		var ends <-chan time.Time
		for _, end := range s.leases {
			if left := end.Sub(s.clock.Now()); ends == nil || left < wait {
				wait, ends = left, s.clock.After(left+time.Millisecond)
			}
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ends:
		case <-over:
			late = true
		case <-r.Context().Done():
		}
		s.mu.Lock()
		s.expire()
		if err := r.Context().Err(); err != nil {
			return nil, err
		}
	}
}

// note keeps changes for watches.
func (s *State) note(cs ...change) {
	s.log = append(s.log, cs...)
	if n := len(s.log) - historyKept; n > 0 {
		s.gone = s.log[n-1].Stamp
		s.log = slices.Clone(s.log[n:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) expire() {
	for id, end := range s.leases {
		if s.clock.Now().After(end) {
			delete(s.leases, id)
			for k, v := range s.rows {
				if v.ticket == id {
					s.epoch++
					delete(s.rows, k)
					s.note(change{Delete: k, Stamp: s.epoch})
				}
			}
		}
	}
}

func (s *State) apply(t txn) (*http.Response, error) {
	var failed []string
	for _, c := range t.If {
		if s.rows[c.K].stamp != c.Stamp {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return reply(409, map[string]any{"failed": failed, "epoch": s.epoch})
	}
	for _, o := range t.Then {
		if _, ok := s.leases[o.Ticket]; o.Ticket != 0 && !ok {
			return reply(400, map[string]any{"error": "no such lease"})
		}
	}
	if len(t.Then) > 0 {
		s.epoch++
	}
	for _, o := range t.Then {
		s.changes[kindOf(o.Set+o.Delete)]++
		if o.Delete != "" {
			delete(s.rows, o.Delete)
			s.note(change{Delete: o.Delete, Stamp: s.epoch})
		} else {
			s.rows[o.Set] = row{o.Value, s.epoch, o.Ticket}
			s.note(change{Set: o.Set, Value: o.Value, Stamp: s.epoch})
		}
	}
	return reply(200, map[string]any{"epoch": s.epoch})
}

// Late is a transaction whose answer is held back.
type Late struct {
	// Asked is closed once it came in.
	Asked    chan struct{}
	answer   chan struct{}
	executed bool
}

// Answer lets the answer go.
func (l *Late) Answer() { close(l.answer) }

// LateNext holds back the answer of the next transaction until Answer; it is executed
// before that, or only then.
func (s *State) LateNext(executed bool) *Late {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = &Late{Asked: make(chan struct{}), answer: make(chan struct{}), executed: executed}
	return s.late
}

// LateRead holds back the answer of the next reading of a key until Answer; it is executed before that, or only
// then.
func (s *State) LateRead(executed bool) *Late {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateRead = &Late{Asked: make(chan struct{}), answer: make(chan struct{}), executed: executed}
	return s.lateRead
}

// hold waits until the answer may go; it is called, and returns, with the lock held.
func (s *State) hold(l *Late) {
	close(l.Asked)
	s.mu.Unlock()
	<-l.answer
	s.mu.Lock()
}

// answerLate is called, and returns, with the lock held.
func (s *State) answerLate(l *Late, t txn) (resp *http.Response, err error) {
	if l.executed {
		resp, err = s.apply(t)
	}
	s.hold(l)
	if !l.executed {
		resp, err = s.apply(t)
	}
	return resp, err
}

// Deliver applies the transactions that were held back, late.
func (s *State) Deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.held {
		_, _ = s.apply(t)
	}
	s.held = nil
}

// Put sets a key as if another node had.
func (s *State) Put(key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.rows[key] = row{value: raw, stamp: s.epoch}
	s.note(change{Set: key, Value: raw, Stamp: s.epoch})
	return s.epoch
}

// Get reads a key; nil: it does not exist.
func (s *State) Get(key string) json.RawMessage {
	value, _ := s.Read(key)
	return value
}

// Under is how many keys begin with a prefix.
func (s *State) Under(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.rows {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Read reads a key and the revision of its last change; nil and 0: it does not exist.
func (s *State) Read(key string) (value json.RawMessage, stamp uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].value, s.rows[key].stamp
}
