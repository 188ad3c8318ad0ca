// Package rest makes one HTTP request with a JSON body and returns the answer undecoded.
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

// Do sends a request with body as JSON, or without a body if it is nil, and returns the answer's status and its body, of
// which at most tuning.AnswerLimit bytes. An answer of any status is no error.
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
		return 0, nil, fmt.Errorf("making the request %s %s: %w", method, url, err)
	}
	response, err := client.Do(request)
	if err != nil {
		// The client's error names the method and the URL.
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // It was read; its close can't fail it.
	raw, err := io.ReadAll(io.LimitReader(response.Body, tuning.AnswerLimit))
	return response.StatusCode, raw, err
}
