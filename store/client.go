// Package store is the client of the state service, a small consistent key-value store with
// transactions, leases and watches, and the layer that keeps the scheduler's records there:
//
//   - Client makes one call, and distinguishes a refusal from an unknown outcome.
//   - HedgedClient sends transactions and reads again while they are unanswered.
//   - Committer writes the leader's records in groups, within the limits of the state service.
//   - The remaining files define the keys and the records.
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

// Errors of a call, to be tested with errors.Is.
var (
	// ErrConflict means that a condition of the transaction did not hold; nothing was executed.
	ErrConflict = errors.New("a condition failed")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("no such key")
	// ErrNoLease means that the lease does not exist or has expired.
	ErrNoLease = errors.New("no such lease")
	// ErrBusy means that the call was refused and not executed; it may be repeated.
	ErrBusy = errors.New("refused, not executed")
	// ErrRateLimited is the ErrBusy of a caller that exceeds the rate of requests or changes.
	ErrRateLimited = fmt.Errorf("%w: status 429", ErrBusy)
	// ErrOutcomeUnknown means that no usable response arrived. The call may have been executed, and
	// may still be executed at any later time.
	ErrOutcomeUnknown = errors.New("no answer, outcome unknown")
	// ErrInvalidRequest means that the request is not allowed, and will not be when it is repeated.
	ErrInvalidRequest = errors.New("refused for what it is")
	// ErrCompacted means that the changes since the revision of a watch are no longer kept.
	ErrCompacted = errors.New("revision no longer kept")
)

// Item is a key with its value, the revision of its last change, and the lease that deletes it when
// it expires (0: none).
type Item struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
	Lease    uint64          `json:"ticket"`
}

// Condition holds if the last change of Key has this revision. Revision 0 means that Key does not
// exist.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Operation is one change of a transaction: it either sets the key Set to Value, optionally attached
// to a lease, or deletes the key Delete.
type Operation struct {
	Set    string `json:"set,omitempty"`
	Value  any    `json:"value,omitempty"`
	Lease  uint64 `json:"ticket,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// key is the key that the operation sets or deletes.
func (o Operation) key() string { return o.Set + o.Delete }

// Event is one change that a watch reports: the key Set has a new value, or the key Delete is gone.
type Event struct {
	Set      string          `json:"set"`
	Value    json.RawMessage `json:"value"`
	Delete   string          `json:"delete"`
	Revision uint64          `json:"stamp"`
}

// Client makes calls to the state service. It keeps no state of its own and is safe for concurrent
// use once OnResponse is set.
type Client struct {
	base string
	http *http.Client
	// OnResponse is called after every call that was not rate-limited, with true if the state
	// service served it and false if it refused it (status 503) or did not respond. It must not
	// block.
	OnResponse func(served bool)
}

// NewClient returns a client of the state service at the address addr (host:port).
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: transport}, OnResponse: func(bool) {}}
}

// call makes one call and decodes the response into the value that into points to (nil: none).
// It returns the status, or ErrBusy, ErrRateLimited or ErrOutcomeUnknown; other statuses are left to
// the caller.
func (c *Client) call(ctx context.Context, method, path string, body, into any, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, response, err := rest.Do(ctx, c.http, method, c.base+path, body)
	if err != nil {
		c.OnResponse(false)
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch status {
	case http.StatusServiceUnavailable:
		c.OnResponse(false)
		return status, fmt.Errorf("%s %s: %w: status 503", method, path, ErrBusy)
	case http.StatusTooManyRequests:
		return status, fmt.Errorf("%s %s: %w", method, path, ErrRateLimited)
	}
	c.OnResponse(true)
	if into != nil && len(response) > 0 {
		if err := json.Unmarshal(response, into); err != nil {
			return status, fmt.Errorf("%s %s: %w: malformed response: %w", method, path, ErrOutcomeUnknown, err)
		}
	}
	return status, nil
}

// unexpectedStatus is the error of a call that was answered with a status that it does not define.
func unexpectedStatus(method, path string, status int) error {
	return fmt.Errorf("%s %s: %w: status %d", method, path, ErrOutcomeUnknown, status)
}

// Get reads a key. It returns ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	path := "/store/" + key
	status, err := c.call(ctx, http.MethodGet, path, nil, &item, tuning.StateTimeout)
	switch {
	case err != nil:
		return item, err
	case status == http.StatusOK:
		return item, nil
	case status == http.StatusNotFound:
		return item, ErrNotFound
	}
	return item, unexpectedStatus(http.MethodGet, path, status)
}

// listPageSize is the number of keys that List reads at once.
const listPageSize = "500"

// List reads all keys under a prefix, page by page. The pages are not one snapshot: a watch from
// the returned revision, which is that of the first page, reports every change that List may have
// missed.
func (c *Client) List(ctx context.Context, prefix string) (items []Item, revision uint64, err error) {
	after := ""
	for {
		query := url.Values{"under": {prefix}, "limit": {listPageSize}}
		if after != "" {
			query.Set("after", after)
		}
		var page struct {
			Rows  []Item `json:"rows"`
			More  bool   `json:"more"`
			Epoch uint64 `json:"epoch"`
		}
		path := "/store?" + query.Encode()
		status, err := c.call(ctx, http.MethodGet, path, nil, &page, tuning.StateTimeout)
		if err != nil {
			return nil, 0, err
		}
		if status != http.StatusOK {
			return nil, 0, unexpectedStatus(http.MethodGet, path, status)
		}
		if revision == 0 {
			revision = page.Epoch
		}
		items = append(items, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return items, revision, nil
		}
		after = page.Rows[len(page.Rows)-1].Key
	}
}

// Transact executes the operations if all conditions hold, and returns the revision of the change.
// Otherwise nothing is executed: with ErrConflict, failed are the keys whose conditions did not
// hold; ErrNoLease means that the lease of an operation has expired.
func (c *Client) Transact(ctx context.Context, conditions []Condition, operations []Operation) (revision uint64, failed []string, err error) {
	const path = "/multi"
	body := struct {
		If   []Condition `json:"if"`
		Then []Operation `json:"then,omitempty"`
	}{conditions, operations}
	var response struct {
		Epoch  uint64   `json:"epoch"`
		Failed []string `json:"failed"`
		Error  string   `json:"error"`
	}
	status, err := c.call(ctx, http.MethodPost, path, body, &response, tuning.StateTimeout)
	switch {
	case err != nil:
		return 0, nil, err
	case status == http.StatusOK && response.Epoch > 0:
		return response.Epoch, nil, nil
	case status == http.StatusConflict:
		return response.Epoch, response.Failed, ErrConflict
	case status == http.StatusBadRequest && response.Error == "no such lease":
		return 0, nil, ErrNoLease
	case status >= 400 && status < 500:
		return 0, nil, fmt.Errorf("%w: status %d %s", ErrInvalidRequest, status, response.Error)
	}
	return 0, nil, unexpectedStatus(http.MethodPost, path, status)
}

// GrantLease creates a lease that expires ttl after its last renewal, and returns its id.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	const path = "/leases"
	body := struct {
		Milliseconds int64 `json:"life_ms"`
	}{ttl.Milliseconds()}
	var response struct {
		Ticket uint64 `json:"ticket"`
	}
	status, err := c.call(ctx, http.MethodPost, path, body, &response, tuning.StateTimeout)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK || response.Ticket == 0 {
		return 0, unexpectedStatus(http.MethodPost, path, status)
	}
	return response.Ticket, nil
}

// leasePath is the path of a lease.
func leasePath(id uint64) string { return "/leases/" + strconv.FormatUint(id, 10) }

// RenewLease renews a lease. It returns ErrNoLease if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	path := leasePath(id) + "/renew"
	status, err := c.call(ctx, http.MethodPost, path, nil, nil, tuning.StateTimeout)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNoLease
	}
	return unexpectedStatus(http.MethodPost, path, status)
}

// RevokeLease ends a lease at once and deletes the keys that are attached to it. A lease that has
// already expired is not an error.
func (c *Client) RevokeLease(ctx context.Context, id uint64) error {
	_, err := c.call(ctx, http.MethodDelete, leasePath(id), nil, nil, tuning.StateTimeout)
	return err
}

// Watch waits up to block for changes under a prefix that are newer than the revision after, and
// returns them with the revision to continue from. Without a change it returns no events. It returns
// ErrCompacted if changes after that revision are no longer kept; the caller then lists the prefix
// again.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, block time.Duration) ([]Event, uint64, error) {
	query := url.Values{
		"under":    {prefix},
		"after":    {strconv.FormatUint(after, 10)},
		"block_ms": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	var response struct {
		Epoch uint64  `json:"epoch"`
		Log   []Event `json:"log"`
	}
	path := "/watch?" + query.Encode()
	status, err := c.call(ctx, http.MethodGet, path, nil, &response, block+tuning.StateTimeout)
	switch {
	case err != nil:
		return nil, 0, err
	case status == http.StatusOK:
		return response.Log, response.Epoch, nil
	case status == http.StatusGone:
		return nil, 0, ErrCompacted
	}
	return nil, 0, unexpectedStatus(http.MethodGet, path, status)
}
