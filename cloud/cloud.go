// Package cloud is the client of the cloud that rents machines by the second. It respects the cloud's
// request rate limit, and distinguishes the errors that the scheduler handles differently.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/internal/rest"
	"switchferry/tuning"
)

// Errors that callers handle differently. After any other error, and after ErrOutage, a request for
// machines may still be executed later.
var (
	// ErrNoCapacity means that no machine of the type, zone and kind is available now.
	ErrNoCapacity = errors.New("no capacity")
	// ErrOutage means that the cloud has an outage.
	ErrOutage = errors.New("the cloud is in trouble")
)

// errEmptyCatalog means that the catalog has no machine types, so that no machine could be chosen.
var errEmptyCatalog = errors.New("an empty catalog")

// noCapacity is the error text of the 503 response that means ErrNoCapacity.
const noCapacity = "no capacity"

// pageLimit is the number of machines in a page of the list, the maximum that the cloud returns.
const pageLimit = 500

// Client is a client of the cloud. Its methods are safe for concurrent use; each waits until the rate limit
// allows a call, and cancels the call after tuning.CloudTimeout.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client for an address. The cloud's limit is requestsPerSecond, of which the client uses the share
// tuning.LeaderRateShare.
func New(addr string, requestsPerSecond float64, transport http.RoundTripper) *Client {
	return &Client{
		baseURL: "http://" + addr,
		http:    &http.Client{Transport: transport},
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond*tuning.LeaderRateShare), max(1, int(requestsPerSecond))),
	}
}

// call sends one request and decodes the response into target, unless target is nil.
func (client *Client) call(ctx context.Context, method, path string, body, target any) error {
	if err := client.limiter.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	status, raw, err := rest.Do(ctx, client.http, method, client.baseURL+path, body)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		return decode(raw, target)
	case http.StatusServiceUnavailable:
		return unavailableError(raw)
	}
	return fmt.Errorf("status %d: %.100s", status, raw)
}

// decode decodes a response into target, unless target is nil.
func decode(raw []byte, target any) error {
	if target == nil {
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return fmt.Errorf("malformed response: %w", err)
	}
	return nil
}

// unavailableError returns the error for a 503 response with the given body.
func unavailableError(raw []byte) error {
	var refusal api.Error
	if json.Unmarshal(raw, &refusal) == nil && refusal.Error == noCapacity {
		return ErrNoCapacity
	}
	return ErrOutage
}

// Catalog returns the machine types, with current prices. Without an error there is at least one.
func (client *Client) Catalog(ctx context.Context) ([]api.MachineType, error) {
	var response struct {
		Types []api.MachineType `json:"hulls"`
	}
	if err := client.call(ctx, http.MethodGet, "/catalog", nil, &response); err != nil {
		return nil, fmt.Errorf("reading the catalog: %w", err)
	}
	if len(response.Types) == 0 {
		return response.Types, fmt.Errorf("reading the catalog: %w", errEmptyCatalog)
	}
	return response.Types, nil
}

// Rent requests machines and returns the names of those rented, which may be fewer than requested. The
// error is ErrNoCapacity if none is available; then the same request can be sent again.
func (client *Client) Rent(ctx context.Context, request api.InstanceRequest) ([]string, error) {
	var response struct {
		Machines []string `json:"hosts"`
	}
	if err := client.call(ctx, http.MethodPost, "/machines", request, &response); err != nil {
		return nil, fmt.Errorf("renting %d of %s in %s: %w", request.Count, request.Type, request.Zone, err)
	}
	return response.Machines, nil
}

// Return returns machines to the cloud. Without an error, the machines and everything on them no longer
// exist. Unknown names are ignored; the cloud accepts 100 names at most.
func (client *Client) Return(ctx context.Context, names []string) error {
	request := struct {
		Machines []string `json:"hosts"`
	}{names}
	if err := client.call(ctx, http.MethodPost, "/machines/return", request, nil); err != nil {
		return fmt.Errorf("returning %d machines: %w", len(names), err)
	}
	return nil
}

// List returns all machines in the order of their names, which is that of their creation. The list is
// delayed: new machines may be missing, and returned or failed machines may still be in it.
func (client *Client) List(ctx context.Context) ([]api.Instance, error) {
	var instances []api.Instance
	after := ""
	for {
		query := url.Values{"limit": {strconv.Itoa(pageLimit)}}
		if after != "" {
			query.Set("after", after)
		}
		var page struct {
			Machines []api.Instance `json:"hosts"`
			More     bool           `json:"more"`
		}
		if err := client.call(ctx, http.MethodGet, "/machines?"+query.Encode(), nil, &page); err != nil {
			return nil, fmt.Errorf("listing machines after %q: %w", after, err)
		}
		instances = append(instances, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return instances, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
