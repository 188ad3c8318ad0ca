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

// Limits of the cloud's protocol.
const (
	// maxRentCount is the maximum number of machines in a rental request.
	maxRentCount = 50
	// maxReturnCount is the maximum number of machines in a return request.
	maxReturnCount = 100
	// maxPageSize is the maximum number of machines in a page of a list.
	maxPageSize = 500
)

// Cloud is an http.RoundTripper that fakes the cloud. It rents machines, enforces the protocol's limits, and lists
// rented machines immediately. It is safe for concurrent use.
type Cloud struct {
	clock    clockwork.Clock
	types    []api.MachineType
	requests *rate.Limiter

	// mu guards the fields below, except the callbacks.
	mu    sync.Mutex
	hosts map[string]*Host // by name
	// rentalsByRequest holds the names of the machines of each rental, by idempotency key.
	rentalsByRequest map[string][]string
	nextHost         int
	// Capacity is how many more machines can be rented.
	Capacity int
	// OnRented is called, without mu held, for each rented machine. It may be set only before the first request.
	OnRented func(Host)
	// OnReturned is called, without mu held, for each returned machine. It may be set only before the first request.
	OnReturned func(Host)
	// Refused counts the requests that violated a limit, by the error's text.
	Refused map[string]int
}

// Host is a machine of the cloud.
type Host struct {
	Name, Address, Type, Zone string
	Spot                      bool
	rentedAt                  time.Time
}

// NewCloud returns a cloud with the given machine types and no capacity, which accepts rps requests per second with
// bursts of two seconds' worth.
func NewCloud(clock clockwork.Clock, types []api.MachineType, rps float64) *Cloud {
	return &Cloud{clock: clock, types: types, requests: rate.NewLimiter(rate.Limit(rps), max(1, int(2*rps))), hosts: map[string]*Host{},
		rentalsByRequest: map[string][]string{}, OnRented: func(Host) {}, OnReturned: func(Host) {}, Refused: map[string]int{}}
}

// Add adds a machine, as if it had been rented earlier, and returns it. Capacity does not change.
func (cloud *Cloud) Add(machineType, zone string, spot bool) Host {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return *cloud.addHost(machineType, zone, spot)
}

// AddAt adds an on-demand machine whose worker listens at the given address.
func (cloud *Cloud) AddAt(machineType, zone, address string) Host {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	host := cloud.addHost(machineType, zone, false)
	host.Address = address
	return *host
}

// SetAddress changes the address of a machine. It reports false if the machine does not exist, as after its return.
func (cloud *Cloud) SetAddress(name, address string) (Host, bool) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	host := cloud.hosts[name]
	if host == nil {
		return Host{}, false
	}
	host.Address = address
	return *host, true
}

// addHost adds a machine with the next name. The caller holds mu.
func (cloud *Cloud) addHost(machineType, zone string, spot bool) *Host {
	host := &Host{Name: fmt.Sprintf("n-%06d", cloud.nextHost), Address: fmt.Sprintf("worker-%d:9000", cloud.nextHost), Type: machineType, Zone: zone, Spot: spot, rentedAt: cloud.clock.Now()}
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
	resp, rented, returned, err := cloud.serve(request, body)
	for _, host := range rented {
		cloud.OnRented(host)
	}
	for _, host := range returned {
		cloud.OnReturned(host)
	}
	return resp, err
}

// serve answers a request and returns the machines that the request rented and those that it returned.
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

// refuse counts and answers a request that violates a limit. The caller holds mu.
func (cloud *Cloud) refuse(status int, reason string) (*http.Response, error) {
	cloud.Refused[reason]++
	return reply(status, map[string]any{"error": reason})
}

// serveRent rents as many of the requested machines as the capacity allows. A request with a known idempotency key gets
// the first answer again. The caller holds mu.
func (cloud *Cloud) serveRent(body []byte) (resp *http.Response, rented []Host, err error) {
	var request api.InstanceRequest
	if json.Unmarshal(body, &request) != nil || request.IdempotencyKey == "" || request.Count < 1 || request.Count > maxRentCount {
		resp, err = cloud.refuse(http.StatusBadRequest, "malformed rental")
		return resp, nil, err
	}
	names, known := cloud.rentalsByRequest[request.IdempotencyKey]
	if !known {
		if cloud.Capacity <= 0 {
			resp, err = reply(http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
			return resp, nil, err
		}
		for range min(request.Count, cloud.Capacity) {
			host := cloud.addHost(request.Type, request.Zone, request.Spot)
			names, rented = append(names, host.Name), append(rented, *host)
		}
		cloud.Capacity -= len(names)
		cloud.rentalsByRequest[request.IdempotencyKey] = names
	}
	resp, err = reply(http.StatusOK, map[string]any{"hosts": names})
	return resp, rented, err
}

// serveReturn returns machines to the cloud and ignores unknown ones. The caller holds mu.
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
			cloud.Capacity++
		}
	}
	resp, err = reply(http.StatusOK, map[string]any{})
	return resp, returned, err
}

// serveList answers with a page of the machines, sorted by name. The caller holds mu.
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
