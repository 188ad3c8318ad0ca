package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/api"
)

// The cloud's own limits.
const (
	rentMost   = 50
	returnMost = 100
	pageMost   = 500
)

// Cloud is the stand-in of the cloud: an http.RoundTripper that rents machines, keeps the
// protocol's limits, and lists what it has without delay.
type Cloud struct {
	clock    clockwork.Clock
	types    []api.MachineType
	requests *rate.Limiter

	mu       sync.Mutex
	hosts    map[string]*Host
	charters map[string][]string
	next     int
	// Room is how many more machines can be rented.
	Room int
	// Up is called for a machine that was rented, Gone for one that was returned; without
	// the lock.
	Up, Gone func(Host)
	// Refused counts requests over a limit, by what was wrong.
	Refused map[string]int
}

// Host is one machine as the cloud knows it.
type Host struct {
	Name, Address, Type, Zone string
	Spot                      bool
	rented                    time.Time
}

// NewCloud makes a cloud of some machine types that answers so many requests a second.
func NewCloud(clock clockwork.Clock, types []api.MachineType, rps float64) *Cloud {
	return &Cloud{clock: clock, types: types, requests: rate.NewLimiter(rate.Limit(rps), max(1, int(2*rps))), hosts: map[string]*Host{},
		charters: map[string][]string{}, Up: func(Host) {}, Gone: func(Host) {}, Refused: map[string]int{}}
}

// Add makes a machine that is there from the start.
func (c *Cloud) Add(typ, zone string, spot bool) Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.add(typ, zone, spot)
}

// AddAt is Add for a machine whose worker listens at an address of its own.
func (c *Cloud) AddAt(typ, zone, addr string) Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.add(typ, zone, false)
	h.Address = addr
	return *h
}

// Move gives a machine another address, as when it comes up; false: it was returned before.
func (c *Cloud) Move(name, addr string) (Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[name]
	if h == nil {
		return Host{}, false
	}
	h.Address = addr
	return *h, true
}

func (c *Cloud) add(typ, zone string, spot bool) *Host {
	h := &Host{Name: fmt.Sprintf("n-%06d", c.next), Address: fmt.Sprintf("worker-%d:9000", c.next), Type: typ, Zone: zone, Spot: spot, rented: c.clock.Now()}
	c.next++
	c.hosts[h.Name] = h
	return h
}

// RoundTrip answers one request.
func (c *Cloud) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	resp, up, gone, err := c.answer(r, body)
	for _, h := range up {
		c.Up(h)
	}
	for _, h := range gone {
		c.Gone(h)
	}
	return resp, err
}

func (c *Cloud) answer(r *http.Request, body []byte) (resp *http.Response, up, gone []Host, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	refuse := func(status int, why string) {
		c.Refused[why]++
		resp, err = reply(status, map[string]any{"error": why})
	}
	if !c.requests.AllowN(c.clock.Now(), 1) {
		refuse(429, "too many requests")
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		resp, err = reply(200, map[string]any{"hulls": c.types})
	case r.URL.Path == "/machines" && r.Method == http.MethodGet:
		resp, err = c.list(r)
	case r.URL.Path == "/machines":
		var q api.InstanceRequest
		if json.Unmarshal(body, &q) != nil || q.IdempotencyKey == "" || q.Count < 1 || q.Count > rentMost {
			refuse(400, "malformed rental")
			return
		}
		names, known := c.charters[q.IdempotencyKey]
		if !known {
			if c.Room <= 0 {
				resp, err = reply(503, map[string]any{"error": "no capacity"})
				return
			}
			for range min(q.Count, c.Room) {
				h := c.add(q.Type, q.Zone, q.Spot)
				names, up = append(names, h.Name), append(up, *h)
			}
			c.Room -= len(names)
			c.charters[q.IdempotencyKey] = names
		}
		resp, err = reply(200, map[string]any{"hosts": names})
	case r.URL.Path == "/machines/return":
		var q struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(body, &q) != nil || len(q.Hosts) > returnMost {
			refuse(400, "malformed return")
			return
		}
		for _, name := range q.Hosts {
			if h := c.hosts[name]; h != nil {
				gone = append(gone, *h)
				delete(c.hosts, name)
				c.Room++
			}
		}
		resp, err = reply(200, map[string]any{})
	default:
		refuse(400, "malformed")
	}
	return
}

func (c *Cloud) list(r *http.Request) (*http.Response, error) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > pageMost {
		c.Refused["limit out of range"]++
		return reply(400, map[string]any{"error": "limit out of range"})
	}
	var names []string
	for name := range c.hosts {
		if strings.Compare(name, q.Get("after")) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := []api.Instance{}
	for _, name := range names[:min(limit, len(names))] {
		h := c.hosts[name]
		out = append(out, api.Instance{Name: h.Name, Address: h.Address, Type: h.Type, Zone: h.Zone, Spot: h.Spot, State: "running", AgeS: c.clock.Since(h.rented).Seconds()})
	}
	return reply(200, map[string]any{"hosts": out, "more": len(names) > limit})
}
