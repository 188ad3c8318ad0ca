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

// Limits of the cloud's interface.
const (
	maxRentCount   = 50
	maxReturnCount = 100
	maxPageSize    = 500
)

// Cloud is a fake of the cloud: an http.RoundTripper that rents machines, keeps the protocol's limits, and lists its
// machines without delay.
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
	// Up is called for each machine that was rented, Gone for each that was returned, without the lock. Set both
	// before the first request.
	Up, Gone func(Host)
	// Refused counts requests that broke a limit, by its name.
	Refused map[string]int
}

// Host is one machine as the cloud knows it.
type Host struct {
	Name, Address, Type, Zone string
	Spot                      bool
	rentedAt                  time.Time
}

// NewCloud makes a cloud of some machine types without room, which answers rps requests a second.
func NewCloud(clock clockwork.Clock, types []api.MachineType, rps float64) *Cloud {
	return &Cloud{clock: clock, types: types, requests: rate.NewLimiter(rate.Limit(rps), max(1, int(2*rps))), hosts: map[string]*Host{},
		rentalsByRequest: map[string][]string{}, Up: func(Host) {}, Gone: func(Host) {}, Refused: map[string]int{}}
}

// Add makes a machine that was not requested, as if rented before.
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

// Move gives a machine another address; it reports false if the machine was returned.
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

// addHost makes a machine with the next name; mu is held.
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

// serve answers a request and returns the machines that it rented and returned.
func (cloud *Cloud) serve(request *http.Request, body []byte) (resp *http.Response, rented, returned []Host, err error) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if !cloud.requests.AllowN(cloud.clock.Now(), 1) {
		resp, err = cloud.refuse(http.StatusTooManyRequests, "too many requests")
		return resp, nil, nil, err
	}
	switch {
	case request.URL.Path == "/catalog":
		resp, err = reply(http.StatusOK, map[string]any{"hulls": cloud.types})
	case request.URL.Path == "/machines" && request.Method == http.MethodGet:
		resp, err = cloud.serveList(request)
	case request.URL.Path == "/machines":
		resp, rented, err = cloud.serveRent(body)
	case request.URL.Path == "/machines/return":
		resp, returned, err = cloud.serveReturn(body)
	default:
		resp, err = cloud.refuse(http.StatusBadRequest, "malformed")
	}
	return resp, rented, returned, err
}

// refuse counts and answers a request that breaks a limit; mu is held.
func (cloud *Cloud) refuse(status int, why string) (*http.Response, error) {
	cloud.Refused[why]++
	return reply(status, map[string]any{"error": why})
}

// serveRent rents as many of the requested machines as there is room for. A request with a known idempotency key is
// answered as before. mu is held.
func (cloud *Cloud) serveRent(body []byte) (resp *http.Response, rented []Host, err error) {
	var request api.InstanceRequest
	if json.Unmarshal(body, &request) != nil || request.IdempotencyKey == "" || request.Count < 1 || request.Count > maxRentCount {
		resp, err = cloud.refuse(http.StatusBadRequest, "malformed rental")
		return resp, nil, err
	}
	names, known := cloud.rentalsByRequest[request.IdempotencyKey]
	if !known {
		if cloud.Room <= 0 {
			resp, err = reply(http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
			return resp, nil, err
		}
		for range min(request.Count, cloud.Room) {
			host := cloud.addHost(request.Type, request.Zone, request.Spot)
			names, rented = append(names, host.Name), append(rented, *host)
		}
		cloud.Room -= len(names)
		cloud.rentalsByRequest[request.IdempotencyKey] = names
	}
	resp, err = reply(http.StatusOK, map[string]any{"hosts": names})
	return resp, rented, err
}

// serveReturn gives machines back; unknown ones are passed over. mu is held.
func (cloud *Cloud) serveReturn(body []byte) (resp *http.Response, returned []Host, err error) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if json.Unmarshal(body, &request) != nil || len(request.Hosts) > maxReturnCount {
		resp, err = cloud.refuse(http.StatusBadRequest, "malformed return")
		return resp, nil, err
	}
	for _, name := range request.Hosts {
		if host := cloud.hosts[name]; host != nil {
			returned = append(returned, *host)
			delete(cloud.hosts, name)
			cloud.Room++
		}
	}
	resp, err = reply(http.StatusOK, map[string]any{})
	return resp, returned, err
}

// serveList answers with a page of the machines, in the order of their names; mu is held.
func (cloud *Cloud) serveList(request *http.Request) (*http.Response, error) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageSize {
		return cloud.refuse(http.StatusBadRequest, "limit out of range")
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
	return reply(http.StatusOK, map[string]any{"hosts": out, "more": len(names) > limit})
}
