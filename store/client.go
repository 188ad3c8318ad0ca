// Package store keeps the service's records in the state service.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"switchferry/internal/rest"
	"switchferry/tuning"
)

// Outcomes of a call. ErrOutcomeUnknown: it may have been executed, or may be later.
var (
	ErrConflict = errors.New("a condition failed")
	ErrNotFound = errors.New("no such key")
	ErrNoLease  = errors.New("no such lease")
	ErrBusy     = errors.New("refused, not executed")
	// ErrRateLimited is an ErrBusy: refused for the number of requests or changes.
	ErrRateLimited    = fmt.Errorf("%w: status 429", ErrBusy)
	ErrOutcomeUnknown = errors.New("no answer, outcome unknown")
	// ErrInvalidRequest: what was sent is not allowed, and will not be when it is sent again.
	ErrInvalidRequest = errors.New("refused for what it is")
	ErrCompacted      = errors.New("revision no longer kept")
)

// Item is a key with its value and the revision of its last change.
type Item struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
	Lease    uint64          `json:"ticket"`
}

// Condition holds if Key has this revision; 0: it does not exist.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Operation sets or deletes a key.
type Operation struct {
	Set    string `json:"set,omitempty"`
	Value  any    `json:"value,omitempty"`
	Lease  uint64 `json:"ticket,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// Event is one change that a watch saw.
type Event struct {
	Set      string          `json:"set"`
	Value    json.RawMessage `json:"value"`
	Delete   string          `json:"delete"`
	Revision uint64          `json:"stamp"`
}

// Client speaks to the state service.
type Client struct {
	base string
	http *http.Client
	// OnResponse is told of every answer: true when the service served the call.
	OnResponse func(served bool)
}

// NewClient makes a client for an address.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: transport}, OnResponse: func(bool) {}}
}

func (c *Client) call(ctx context.Context, method, path string, body, into any, timeout time.Duration) (int, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	status, encoded, err := rest.Do(ctx, c.http, method, c.base+path, body)
	if err != nil {
		c.OnResponse(false)
		return 0, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	switch status {
	case http.StatusServiceUnavailable:
		c.OnResponse(false)
		return status, fmt.Errorf("%w: status 503", ErrBusy)
	case http.StatusTooManyRequests:
		return status, ErrRateLimited
	}
	c.OnResponse(true)
	if into != nil && len(encoded) > 0 {
		if err := json.Unmarshal(encoded, into); err != nil {
			return status, fmt.Errorf("%w: malformed answer: %v", ErrOutcomeUnknown, err)
		}
	}
	return status, nil
}

func unexpectedStatus(status int) error {
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	status, err := c.call(ctx, http.MethodGet, "/store/"+key, nil, &item, tuning.StateTimeout)
	switch {
	case err != nil:
		return item, err
	case status == http.StatusOK:
		return item, nil
	case status == http.StatusNotFound:
		return item, ErrNotFound
	}
	return item, unexpectedStatus(status)
}

// List reads all keys under a prefix, and the revision before the first page.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	var out []Item
	var first uint64
	after := ""
	for {
		query := url.Values{"under": {prefix}, "limit": {"500"}}
		if after != "" {
			query.Set("after", after)
		}
		var page struct {
			Rows  []Item `json:"rows"`
			More  bool   `json:"more"`
			Epoch uint64 `json:"epoch"`
		}
		status, err := c.call(ctx, http.MethodGet, "/store?"+query.Encode(), nil, &page, tuning.StateTimeout)
		if err != nil {
			return nil, 0, err
		}
		if status != http.StatusOK {
			return nil, 0, unexpectedStatus(status)
		}
		if first == 0 {
			first = page.Epoch
		}
		out = append(out, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return out, first, nil
		}
		after = page.Rows[len(page.Rows)-1].Key
	}
}

// Transact runs a transaction and returns its revision; on ErrConflict the keys
// whose conditions failed.
func (c *Client) Transact(ctx context.Context, conditions []Condition, operations []Operation) (uint64, []string, error) {
	body := struct {
		If   []Condition `json:"if"`
		Then []Operation `json:"then,omitempty"`
	}{conditions, operations}
	var answer struct {
		Epoch  uint64   `json:"epoch"`
		Failed []string `json:"failed"`
		Error  string   `json:"error"`
	}
	status, err := c.call(ctx, http.MethodPost, "/multi", body, &answer, tuning.StateTimeout)
	switch {
	case err != nil:
		return 0, nil, err
	case status == http.StatusOK && answer.Epoch > 0:
		return answer.Epoch, nil, nil
	case status == http.StatusConflict:
		return answer.Epoch, answer.Failed, ErrConflict
	case status == http.StatusBadRequest && answer.Error == "no such lease":
		return 0, nil, ErrNoLease
	case status >= 400 && status < 500:
		return 0, nil, fmt.Errorf("%w: status %d %s", ErrInvalidRequest, status, answer.Error)
	}
	return 0, nil, unexpectedStatus(status)
}

// GrantLease makes a lease.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	var answer struct {
		Ticket uint64 `json:"ticket"`
	}
	status, err := c.call(ctx, http.MethodPost, "/leases", map[string]int64{"life_ms": life.Milliseconds()}, &answer, tuning.StateTimeout)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK || answer.Ticket == 0 {
		return 0, unexpectedStatus(status)
	}
	return answer.Ticket, nil
}

func leasePath(id uint64) string { return "/leases/" + strconv.FormatUint(id, 10) }

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	status, err := c.call(ctx, http.MethodPost, leasePath(id)+"/renew", nil, nil, tuning.StateTimeout)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNoLease
	}
	return unexpectedStatus(status)
}

// RevokeLease ends a lease at once, and the keys on it.
func (c *Client) RevokeLease(ctx context.Context, id uint64) error {
	_, err := c.call(ctx, http.MethodDelete, leasePath(id), nil, nil, tuning.StateTimeout)
	return err
}

// Watch waits for changes under a prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, block time.Duration) ([]Event, uint64, error) {
	query := url.Values{"under": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"block_ms": {strconv.FormatInt(block.Milliseconds(), 10)}}
	var answer struct {
		Epoch uint64  `json:"epoch"`
		Log   []Event `json:"log"`
	}
	status, err := c.call(ctx, http.MethodGet, "/watch?"+query.Encode(), nil, &answer, block+tuning.StateTimeout)
	switch {
	case err != nil:
		return nil, 0, err
	case status == http.StatusOK:
		return answer.Log, answer.Epoch, nil
	case status == http.StatusGone:
		return nil, 0, ErrCompacted
	}
	return nil, 0, unexpectedStatus(status)
}
