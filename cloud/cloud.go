// Package cloud is the client of the cloud that rents machines by the second. It keeps to the cloud's
// limit of requests, and tells apart the outcomes that the scheduler decides by.
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

// Outcomes of a call that callers decide by. After any other error, and after ErrTrouble, a request for
// machines may still be carried out later.
var (
	// ErrNoCapacity tells that no machine of the type, zone and kind is available now.
	ErrNoCapacity = errors.New("no capacity")
	// ErrTrouble tells that the cloud has an outage.
	ErrTrouble = errors.New("the cloud is in trouble")
)

// errEmptyCatalog refuses a catalog without machine types, with which nothing could be decided.
var errEmptyCatalog = errors.New("an empty catalog")

// noCapacity is the text of the cloud's 503 that means ErrNoCapacity.
const noCapacity = "no capacity"

// pageLimit is the number of machines in a page of the list, the most that the cloud gives.
const pageLimit = 500

// Client is a client of the cloud. Its methods may be called concurrently; each waits until the limit of
// requests allows a call, and gives the call up after tuning.CloudTimeout.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client for an address, with the cloud's limit of requests per second.
func New(addr string, rps float64, transport http.RoundTripper) *Client {
	return &Client{
		base:    "http://" + addr,
		http:    &http.Client{Transport: transport},
		limiter: rate.NewLimiter(rate.Limit(rps*tuning.QuotaShare), max(1, int(rps))),
	}
}

// call makes one request and decodes the answer, unless into is nil.
func (client *Client) call(ctx context.Context, method, path string, body, into any) error {
	if err := client.limiter.Wait(ctx); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer stop()
	status, raw, err := rest.Do(ctx, client.http, method, client.base+path, body)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		return decode(raw, into)
	case http.StatusServiceUnavailable:
		return unavailableError(raw)
	}
	return fmt.Errorf("status %d: %.100s", status, raw)
}

// decode decodes an answer, unless into is nil.
func decode(raw []byte, into any) error {
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	return nil
}

// unavailableError returns what a 503 with the given body means.
func unavailableError(raw []byte) error {
	var refusal api.Error
	if json.Unmarshal(raw, &refusal) == nil && refusal.Error == noCapacity {
		return ErrNoCapacity
	}
	return ErrTrouble
}

// Catalog returns the machine types, with current prices. There is at least one.
func (client *Client) Catalog(ctx context.Context) ([]api.MachineType, error) {
	var answer struct {
		Types []api.MachineType `json:"hulls"`
	}
	if err := client.call(ctx, http.MethodGet, "/catalog", nil, &answer); err != nil {
		return nil, fmt.Errorf("reading the catalog: %w", err)
	}
	if len(answer.Types) == 0 {
		return answer.Types, fmt.Errorf("reading the catalog: %w", errEmptyCatalog)
	}
	return answer.Types, nil
}

// Rent asks for machines and returns the names of those rented, which may be fewer than asked for. The
// error is ErrNoCapacity if there are none; then the same request can be sent again.
func (client *Client) Rent(ctx context.Context, request api.InstanceRequest) ([]string, error) {
	var answer struct {
		Machines []string `json:"hosts"`
	}
	if err := client.call(ctx, http.MethodPost, "/machines", request, &answer); err != nil {
		return nil, fmt.Errorf("renting %d of %s in %s: %w", request.Count, request.Type, request.Zone, err)
	}
	return answer.Machines, nil
}

// Return gives machines back. Without an error, they and everything on them are gone. Unknown names are
// ignored; the cloud takes 100 at most.
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
// delayed: new machines may be missing, and machines that are gone may still be in it.
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
