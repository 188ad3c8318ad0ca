// Package store contains the client of the state service, which is a small consistent key-value store with
// transactions, leases and watches, and the layer that stores the scheduler's records in it:
//
//   - Client makes single calls and distinguishes refused calls from those with an unknown outcome.
//   - HedgedClient resends transactions and reads that are not answered in time.
//   - Committer writes the leader's records in batches, within the limits of the state service.
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

// Errors of calls, to be tested with errors.Is.
var (
	// ErrConflict means that a condition of the transaction did not hold. No operation was executed.
	ErrConflict = errors.New("a condition failed")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("no such key")
	// ErrNoLease means that the lease does not exist or has expired.
	ErrNoLease = errors.New("no such lease")
	// ErrBusy means that the call was refused and not executed. It may be retried.
	ErrBusy = errors.New("refused, not executed")
	// ErrRateLimited wraps ErrBusy. It means that the caller exceeded its rate of requests or changes.
	ErrRateLimited = fmt.Errorf("%w: status 429", ErrBusy)
	// ErrOutcomeUnknown means that no usable response arrived. The call may have been executed, and
	// may still be executed at any later time.
	ErrOutcomeUnknown = errors.New("no usable response, outcome unknown")
	// ErrInvalidRequest means that the request is invalid. A retry fails as well.
	ErrInvalidRequest = errors.New("invalid request")
	// ErrCompacted means that the state service has discarded changes since the revision of a watch.
	ErrCompacted = errors.New("revision no longer kept")
)

// Item is a key with its value.
type Item struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"value"`
	// Revision is the revision of the key's last change.
	Revision uint64 `json:"stamp"`
	// Lease is the lease that deletes the key when it expires, or 0 if there is none.
	Lease uint64 `json:"ticket"`
}

// Condition is a condition of a transaction: the last change of Key has this revision. Revision 0 means
// that Key does not exist.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Operation is one change of a transaction. It either sets the key Set to Value or deletes the key Delete;
// the other key is empty.
type Operation struct {
	Set   string `json:"set,omitempty"`
	Value any    `json:"value,omitempty"`
	// Lease is the lease that the key Set is attached to, or 0 for none.
	Lease  uint64 `json:"ticket,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// key returns the key that the operation sets or deletes.
func (o Operation) key() string { return o.Set + o.Delete }

// Event is one change that a watch reports: the key Set has a new value, or the key Delete was deleted. The
// other key is empty.
type Event struct {
	Set      string          `json:"set"`
	Value    json.RawMessage `json:"value"`
	Delete   string          `json:"delete"`
	Revision uint64          `json:"stamp"`
}

// Client makes calls to the state service. It is safe for concurrent use once OnResponse is set.
type Client struct {
	baseURL    string
	httpClient *http.Client
	// OnResponse is called after every call that was not rate-limited. The parameter served is false if the
	// state service refused the call with status 503 or did not respond. OnResponse may be replaced before the
	// first call and must not block.
	OnResponse func(served bool)
}

// NewClient returns a client of the state service at the address addr (host:port) that sends its requests
// over transport.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: &http.Client{Transport: transport}, OnResponse: func(bool) {}}
}

// call makes one call and decodes the response into the value that target points to, unless it is nil. It
// returns the HTTP status, and an error that matches ErrBusy, ErrRateLimited or ErrOutcomeUnknown. The caller
// handles all statuses other than 429 and 503.
func (c *Client) call(ctx context.Context, method, path string, body, target any, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, response, err := rest.Do(ctx, c.httpClient, method, c.baseURL+path, body)
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
	if target != nil && len(response) > 0 {
		if err := json.Unmarshal(response, target); err != nil {
			return status, fmt.Errorf("%s %s: %w: malformed response: %w", method, path, ErrOutcomeUnknown, err)
		}
	}
	return status, nil
}

// unexpectedStatus returns the error for a response status that the protocol does not define for the call.
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

// listPageSize is the number of keys per page of List.
const listPageSize = "500"

// List reads all keys under a prefix, page by page. The pages are not a consistent snapshot. A watch from the
// returned revision, which is that of the first page, reports every change that List may have missed.
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

// Transact executes the operations atomically if all conditions hold, and returns the revision of the change.
// With ErrConflict, no operation was executed, and failedKeys has the keys whose conditions did not hold. With
// ErrNoLease, no operation was executed because the lease of one of them has expired.
func (c *Client) Transact(ctx context.Context, conditions []Condition, operations []Operation) (revision uint64, failedKeys []string, err error) {
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

// GrantLease creates a lease that expires ttl after its creation or last renewal, and returns its ID.
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

// leasePath returns the URL path of a lease.
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

// RevokeLease ends a lease at once and deletes the keys that are attached to it. It returns no error if the
// lease has already expired.
func (c *Client) RevokeLease(ctx context.Context, id uint64) error {
	_, err := c.call(ctx, http.MethodDelete, leasePath(id), nil, nil, tuning.StateTimeout)
	return err
}

// Watch waits at most block for changes under a prefix that are newer than the revision after. It returns them
// with the revision from which to continue, or no events if there was no change. It returns ErrCompacted if
// changes since that revision have been discarded; the caller must then list the prefix again.
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
