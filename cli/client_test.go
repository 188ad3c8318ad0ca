package cli

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// An answer with a status of 429 or 500 and above, or none, is to be asked for again, after the pause that it says.
func TestSendOnceTellsWhatToRetry(t *testing.T) {
	for _, test := range []struct {
		name       string
		status     int
		retryAfter string
		retry      bool
		pause      time.Duration
	}{
		{"done", http.StatusOK, "", false, 0},
		{"refused for good", http.StatusUnprocessableEntity, "", false, 0},
		{"unknown", http.StatusNotFound, "7", false, 0},
		{"put off", http.StatusServiceUnavailable, "7", true, 7 * time.Second},
		{"too many", http.StatusTooManyRequests, "", true, time.Second},
		{"broken", http.StatusInternalServerError, "soon", true, time.Second},
		{"no pause", http.StatusServiceUnavailable, "0", true, time.Second},
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
			t.Errorf("%s: status %d, error %v, want a retry: %v", test.name, status, err, test.retry)
		}
		if retryable && retry.pause != test.pause {
			t.Errorf("%s: a pause of %v, want %v", test.name, retry.pause, test.pause)
		}
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	_, _, err := sendOnce(t.Context(), http.DefaultClient, http.MethodGet, closed.URL, nil)
	if _, retryable := errors.AsType[*retryableError](err); !retryable {
		t.Errorf("a refused connection is not retried: %v", err)
	}
}
