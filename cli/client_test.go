package cli

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A request is retryable if there is no response, or one with status 429 or 5xx. The pause before the retry is that of
// the Retry-After header, or the default if the header is missing, malformed or zero.
func TestSendOnceMarksRetryableErrors(t *testing.T) {
	for _, test := range []struct {
		name       string
		status     int
		retryAfter string
		retry      bool
		pause      time.Duration
	}{
		{"success", http.StatusOK, "", false, 0},
		{"permanent refusal", http.StatusUnprocessableEntity, "", false, 0},
		{"not found", http.StatusNotFound, "7", false, 0},
		{"unavailable, with Retry-After", http.StatusServiceUnavailable, "7", true, 7 * time.Second},
		{"too many requests", http.StatusTooManyRequests, "", true, time.Second},
		{"server error, malformed Retry-After", http.StatusInternalServerError, "soon", true, time.Second},
		{"unavailable, Retry-After of zero", http.StatusServiceUnavailable, "0", true, time.Second},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if test.retryAfter != "" {
				w.Header().Set("Retry-After", test.retryAfter)
			}
			w.WriteHeader(test.status)
		}))
		status, _, err := sendOnce(t.Context(), server.Client(), http.MethodGet, server.URL, nil)
		server.Close()
		retry, retryable := errors.AsType[*retryableError](err)
		if retryable != test.retry || !retryable && (err != nil || status != test.status) {
			t.Errorf("%s: status %d, error %v, want retryable: %v", test.name, status, err, test.retry)
		}
		if retryable && retry.pause != test.pause {
			t.Errorf("%s: pause %v, want %v", test.name, retry.pause, test.pause)
		}
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	_, _, err := sendOnce(t.Context(), http.DefaultClient, http.MethodGet, closed.URL, nil)
	if _, retryable := errors.AsType[*retryableError](err); !retryable {
		t.Errorf("the error of a refused connection is not retryable: %v", err)
	}
}
