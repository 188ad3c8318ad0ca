// Package cloud speaks to the cloud that rents machines.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/internal/rest"
	"switchferry/tuning"
)

// Outcomes of a call.
var (
	ErrNoCapacity = errors.New("no capacity")
	ErrTrouble    = errors.New("the cloud is in trouble")
)

// Client speaks to the cloud, within its limit of requests.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

// New makes a client.
func New(addr string, rps float64, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: transport},
		limiter: rate.NewLimiter(rate.Limit(rps*tuning.QuotaShare), max(1, int(rps)))}
}

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
		if into == nil {
			return nil
		}
		if err := json.Unmarshal(raw, into); err != nil {
			return fmt.Errorf("malformed answer: %w", err)
		}
		return nil
	case http.StatusServiceUnavailable:
		var e api.Error
		if json.Unmarshal(raw, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrTrouble
	}
	return fmt.Errorf("status %d: %.100s", status, raw)
}

// Catalog reads the types of machines.
func (client *Client) Catalog(ctx context.Context) ([]api.MachineType, error) {
	var ans struct {
		Types []api.MachineType `json:"hulls"`
	}
	err := client.call(ctx, http.MethodGet, "/catalog", nil, &ans)
	if err == nil && len(ans.Types) == 0 {
		err = errors.New("an empty catalog")
	}
	return ans.Types, err
}

// Rent asks for machines.
func (client *Client) Rent(ctx context.Context, r api.InstanceRequest) ([]string, error) {
	var ans struct {
		Machines []string `json:"hosts"`
	}
	err := client.call(ctx, http.MethodPost, "/machines", r, &ans)
	return ans.Machines, err
}

// Return gives machines back: with nil, they and all on them are gone.
func (client *Client) Return(ctx context.Context, names []string) error {
	return client.call(ctx, http.MethodPost, "/machines/return", map[string][]string{"hosts": names}, nil)
}

// List reads all machines, as the cloud saw them a while ago.
func (client *Client) List(ctx context.Context) ([]api.Instance, error) {
	var out []api.Instance
	after := ""
	for {
		q := url.Values{"limit": {"500"}}
		if after != "" {
			q.Set("after", after)
		}
		var page struct {
			Machines []api.Instance `json:"hosts"`
			More     bool           `json:"more"`
		}
		if err := client.call(ctx, http.MethodGet, "/machines?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		out = append(out, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return out, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
