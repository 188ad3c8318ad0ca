// Package standin holds scripted stand-ins of the services around the
// controllers, for tests. They run in process and on a fake clock.
package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
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
	// Largest is the largest transaction so far: its changes, its bytes, and
	// the bytes of its largest value.
	Largest struct{ Ops, Bytes, Value int }
	// Requests counts all requests.
	Requests int
}

// NewState makes an empty service.
func NewState(clock clockwork.Clock) *State {
	return &State{clock: clock, rows: map[string]row{}, leases: map[uint64]time.Time{}, life: map[uint64]time.Duration{}, epoch: 10}
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
	switch p := r.URL.Path; {
	case p == "/multi":
		var t txn
		if json.Unmarshal(body, &t) != nil {
			return reply(400, map[string]any{"error": "malformed"})
		}
		s.Largest.Ops = max(s.Largest.Ops, len(t.Then))
		s.Largest.Bytes = max(s.Largest.Bytes, len(body))
		for _, o := range t.Then {
			s.Largest.Value = max(s.Largest.Value, len(o.Value))
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
	case p == "/leases":
		var q struct {
			Life int64 `json:"life_ms"`
		}
		_ = json.Unmarshal(body, &q)
		s.epoch++
		id := s.epoch
		s.life[id] = time.Duration(q.Life) * time.Millisecond
		s.leases[id] = s.clock.Now().Add(s.life[id])
		return reply(200, map[string]any{"ticket": id})
	case strings.HasPrefix(p, "/leases/"):
		id, _ := strconv.ParseUint(strings.Split(p, "/")[2], 10, 64)
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
	case p == "/store":
		return s.list(r.URL.Query())
	case strings.HasPrefix(p, "/store/"):
		k := strings.TrimPrefix(p, "/store/")
		v, ok := s.rows[k]
		if !ok {
			return reply(404, map[string]any{"epoch": s.epoch})
		}
		return reply(200, map[string]any{"k": k, "value": v.value, "stamp": v.stamp, "ticket": v.ticket})
	}
	return reply(400, map[string]any{"error": "malformed"})
}

func (s *State) list(q url.Values) (*http.Response, error) {
	limit, _ := strconv.Atoi(q.Get("limit"))
	var keys []string
	for k := range s.rows {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > limit
	rows := []any{}
	for _, k := range keys[:min(limit, len(keys))] {
		rows = append(rows, map[string]any{"k": k, "value": s.rows[k].value, "stamp": s.rows[k].stamp})
	}
	return reply(200, map[string]any{"rows": rows, "more": more, "epoch": s.epoch})
}

func (s *State) expire() {
	for id, end := range s.leases {
		if s.clock.Now().After(end) {
			delete(s.leases, id)
			for k, v := range s.rows {
				if v.ticket == id {
					s.epoch++
					delete(s.rows, k)
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
	s.epoch++
	for _, o := range t.Then {
		if o.Delete != "" {
			delete(s.rows, o.Delete)
		} else {
			s.rows[o.Set] = row{o.Value, s.epoch, o.Ticket}
		}
	}
	return reply(200, map[string]any{"epoch": s.epoch})
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
	return s.epoch
}

// Get reads a key; nil: it does not exist.
func (s *State) Get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].value
}
