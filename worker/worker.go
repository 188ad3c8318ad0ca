// Package worker is the client for commands that controllers send directly to workers, in addition to those in
// the responses to heartbeats.
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

// ErrNotSent means that the commands did not reach the worker, and never will. After any other error it is
// unknown whether and when they are executed.
var ErrNotSent = errors.New("not sent")

// Client sends commands to workers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client that uses the given transport.
func New(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Send sends commands to the worker at an address and waits for tuning.WorkerTimeout at most. It returns the
// heartbeat with which the worker responds. If executed is true, the heartbeat describes the state after the
// commands; otherwise the worker refused them, because of a lower term or another incarnation, and executed
// none.
func (client *Client) Send(ctx context.Context, addr string, commands api.HeartbeatResponse) (heartbeat *api.Heartbeat, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.WorkerTimeout)
	defer cancel()
	status, body, err := rest.Do(ctx, client.http, http.MethodPost, "http://"+addr+"/orders", commands)
	if networkError, ok := errors.AsType[*net.OpError](err); ok && networkError.Op == "dial" {
		// An abandoned connection attempt does not complete later.
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, false, fmt.Errorf("sending commands to %s: %w", addr, err)
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, false, fmt.Errorf("sending commands to %s: status %d", addr, status)
	}
	heartbeat = &api.Heartbeat{}
	if err := json.Unmarshal(body, heartbeat); err != nil {
		return nil, false, fmt.Errorf("malformed heartbeat of %s: %w", addr, err)
	}
	return heartbeat, status == http.StatusOK, heartbeat.Check()
}
