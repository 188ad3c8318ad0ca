package worker

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"switchferry/api"
)

type scriptedTransport func() (*http.Response, error)

func (s scriptedTransport) RoundTrip(*http.Request) (*http.Response, error) { return s() }

func respondWith(status int, body string) scriptedTransport {
	return func() (*http.Response, error) {
		return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// Only a failed connection attempt proves that a command was not sent. After any other error the command may
// still be executed.
func TestSendDistinguishesCommandsThatMayHaveArrived(t *testing.T) {
	for _, testCase := range []struct {
		name         string
		transport    scriptedTransport
		wantError    bool
		wantNotSent  bool
		wantExecuted bool
	}{
		{"executed", respondWith(200, `{"host":"m","watch":1}`), false, false, true},
		{"refused", respondWith(409, `{"host":"m","watch":2}`), false, false, false},
		{"no connection", func() (*http.Response, error) {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		}, true, true, false},
		{"connection reset", func() (*http.Response, error) {
			return nil, &net.OpError{Op: "read", Err: errors.New("reset")}
		}, true, false, false},
		{"malformed response", respondWith(200, `{"host":`), true, false, false},
		{"server error", respondWith(500, ``), true, false, false},
	} {
		_, executed, err := New(testCase.transport).Send(t.Context(), "m:1", api.HeartbeatResponse{})
		if (err != nil) != testCase.wantError || errors.Is(err, ErrNotSent) != testCase.wantNotSent || executed != testCase.wantExecuted {
			t.Errorf("%s: executed %v, error %v", testCase.name, executed, err)
		}
	}
}
