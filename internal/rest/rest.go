// Package rest sends an HTTP request with a JSON body and returns the response undecoded.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"switchferry/tuning"
)

// Do sends a request with body encoded as JSON, or without a body if it is nil. It returns the status of the response
// and at most the first tuning.MaxResponseBytes bytes of its body. No response status is treated as an error.
func Do(ctx context.Context, client *http.Client, method, url string, body any) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encoding the body of %s %s: %w", method, url, err)
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, fmt.Errorf("creating the request %s %s: %w", method, url, err)
	}
	response, err := client.Do(request)
	if err != nil {
		// The client's error already contains the method and the URL.
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // The body has been read, so an error of Close has no effect.
	raw, err := io.ReadAll(io.LimitReader(response.Body, tuning.MaxResponseBytes))
	return response.StatusCode, raw, err
}
