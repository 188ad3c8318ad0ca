// Package rest makes one HTTP call with JSON in and the raw answer out.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"switchferry/tuning"
)

// Do sends body (nil: none) and reads the whole answer, up to a limit.
func Do(ctx context.Context, hc *http.Client, method, url string, body any) (int, []byte, error) {
	var rd io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		rd = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, rd)
	if err != nil {
		return 0, nil, err
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.AnswerLimit))
	return resp.StatusCode, raw, err
}
