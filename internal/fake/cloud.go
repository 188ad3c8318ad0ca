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
	maxRentCount   = 50
	maxReturnCount = 100
	maxPageSize    = 500
)

// Cloud is the stand-in of the cloud: an http.RoundTripper that rents machines, keeps the
// protocol's limits, and lists what it has without delay.
type Cloud struct {
	clock    clockwork.Clock
	types    []api.MachineType
	requests *rate.Limiter

	mu               sync.Mutex
	hosts            map[string]*Host
	rentalsByRequest map[string][]string
	nextHost         int
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
	rentedAt                  time.Time
}

// NewCloud makes a cloud of some machine types that answers so many requests a second.
func NewCloud(clock clockwork.Clock, types []api.MachineType, rps float64) *Cloud {
	return &Cloud{clock: clock, types: types, requests: rate.NewLimiter(rate.Limit(rps), max(1, int(2*rps))), hosts: map[string]*Host{},
		rentalsByRequest: map[string][]string{}, Up: func(Host) {}, Gone: func(Host) {}, Refused: map[string]int{}}
}

// Add makes a machine that is there from the start.
func (cloud *Cloud) Add(typ, zone string, spot bool) Host {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return *cloud.addHost(typ, zone, spot)
}

// AddAt is Add for a machine whose worker listens at an address of its own.
func (cloud *Cloud) AddAt(typ, zone, addr string) Host {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	host := cloud.addHost(typ, zone, false)
	host.Address = addr
	return *host
}

// Move gives a machine another address, as when it comes up; false: it was returned before.
func (cloud *Cloud) Move(name, addr string) (Host, bool) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	host := cloud.hosts[name]
	if host == nil {
		return Host{}, false
	}
	host.Address = addr
	return *host, true
}

func (cloud *Cloud) addHost(typ, zone string, spot bool) *Host {
	host := &Host{Name: fmt.Sprintf("n-%06d", cloud.nextHost), Address: fmt.Sprintf("worker-%d:9000", cloud.nextHost), Type: typ, Zone: zone, Spot: spot, rentedAt: cloud.clock.Now()}
	cloud.nextHost++
	cloud.hosts[host.Name] = host
	return host
}

// RoundTrip answers one request.
func (cloud *Cloud) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		body, _ = io.ReadAll(request.Body)
	}
	resp, up, gone, err := cloud.serve(request, body)
	for _, host := range up {
		cloud.Up(host)
	}
	for _, host := range gone {
		cloud.Gone(host)
	}
	return resp, err
}

func (cloud *Cloud) serve(request *http.Request, body []byte) (resp *http.Response, up, gone []Host, err error) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	refuse := func(status int, why string) {
		cloud.Refused[why]++
		resp, err = reply(status, map[string]any{"error": why})
	}
	if !cloud.requests.AllowN(cloud.clock.Now(), 1) {
		refuse(429, "too many requests")
		return
	}
	switch {
	case request.URL.Path == "/catalog":
		resp, err = reply(200, map[string]any{"hulls": cloud.types})
	case request.URL.Path == "/machines" && request.Method == http.MethodGet:
		resp, err = cloud.serveList(request)
	case request.URL.Path == "/machines":
		var q api.InstanceRequest
		if json.Unmarshal(body, &q) != nil || q.IdempotencyKey == "" || q.Count < 1 || q.Count > maxRentCount {
			refuse(400, "malformed rental")
			return
		}
		names, known := cloud.rentalsByRequest[q.IdempotencyKey]
		if !known {
			if cloud.Room <= 0 {
				resp, err = reply(503, map[string]any{"error": "no capacity"})
				return
			}
			for range min(q.Count, cloud.Room) {
				host := cloud.addHost(q.Type, q.Zone, q.Spot)
				names, up = append(names, host.Name), append(up, *host)
			}
			cloud.Room -= len(names)
			cloud.rentalsByRequest[q.IdempotencyKey] = names
		}
		resp, err = reply(200, map[string]any{"hosts": names})
	case request.URL.Path == "/machines/return":
		var q struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(body, &q) != nil || len(q.Hosts) > maxReturnCount {
			refuse(400, "malformed return")
			return
		}
		for _, name := range q.Hosts {
			if host := cloud.hosts[name]; host != nil {
				gone = append(gone, *host)
				delete(cloud.hosts, name)
				cloud.Room++
			}
		}
		resp, err = reply(200, map[string]any{})
	default:
		refuse(400, "malformed")
	}
	return
}

func (cloud *Cloud) serveList(request *http.Request) (*http.Response, error) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageSize {
		cloud.Refused["limit out of range"]++
		return reply(400, map[string]any{"error": "limit out of range"})
	}
	var names []string
	for name := range cloud.hosts {
		if strings.Compare(name, query.Get("after")) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := []api.Instance{}
	for _, name := range names[:min(limit, len(names))] {
		host := cloud.hosts[name]
		out = append(out, api.Instance{Name: host.Name, Address: host.Address, Type: host.Type, Zone: host.Zone, Spot: host.Spot, State: "running", AgeS: cloud.clock.Since(host.rentedAt).Seconds()})
	}
	return reply(200, map[string]any{"hosts": out, "more": len(names) > limit})
}
