// Package worker sends commands directly to workers.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"switchferry/api"
	"switchferry/tuning"
)

// ErrNotSent: the command certainly did not reach the worker. Any other error
// leaves it open whether and when the command is executed.
var ErrNotSent = errors.New("not sent")

// Client sends commands.
type Client struct{ http *http.Client }

// New makes a client.
func New(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Send delivers commands. The report is the worker's, after them if executed.
func (c *Client) Send(ctx context.Context, addr string, o api.Orders) (*api.Report, bool, error) {
	ctx, stop := context.WithTimeout(ctx, tuning.WorkerTimeout)
	defer stop()
	raw, err := json.Marshal(o)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/orders", bytes.NewReader(raw))
	if err != nil {
		return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			// A connection attempt that was given up does not complete later.
			return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		return nil, false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, tuning.AnswerLimit))
	if err != nil {
		return nil, false, err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, false, fmt.Errorf("status %d", resp.StatusCode)
	}
	var r api.Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, false, fmt.Errorf("malformed report: %w", err)
	}
	return &r, resp.StatusCode == http.StatusOK, r.Check()
}
