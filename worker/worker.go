// Package worker sends commands directly to workers.
package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"

	"switchferry/api"
	"switchferry/internal/rest"
	"switchferry/tuning"
)

// ErrNotSent means: the command certainly did not reach the worker. Any other error
// leaves it open whether and when the command is executed.
var ErrNotSent = errors.New("not sent")

// Client sends commands.
type Client struct{ http *http.Client }

// New makes a client.
func New(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Send delivers commands. The report is the worker's, after them if executed.
func (client *Client) Send(ctx context.Context, addr string, o api.HeartbeatResponse) (*api.Heartbeat, bool, error) {
	ctx, stop := context.WithTimeout(ctx, tuning.WorkerTimeout)
	defer stop()
	status, body, err := rest.Do(ctx, client.http, http.MethodPost, "http://"+addr+"/orders", o)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		// A connection attempt that was given up does not complete later.
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		return nil, false, err
	case status != http.StatusOK && status != http.StatusConflict:
		return nil, false, fmt.Errorf("status %d", status)
	}
	var r api.Heartbeat
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, false, fmt.Errorf("malformed report: %w", err)
	}
	return &r, status == http.StatusOK, r.Check()
}
