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

func answering(status int, body string) scriptedTransport {
	return func() (*http.Response, error) {
		return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// Only a connection that never came about proves that a command was not sent;
// everything else may still be executed.
func TestSendTellsWhetherCommandsMayHaveArrived(t *testing.T) {
	for _, test := range []struct {
		name    string
		rt      scriptedTransport
		fails   bool
		notSent bool
		done    bool
	}{
		{"executed", answering(200, `{"host":"m","watch":1}`), false, false, true},
		{"refused", answering(409, `{"host":"m","watch":2}`), false, false, false},
		{"no connection", func() (*http.Response, error) {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		}, true, true, false},
		{"reset", func() (*http.Response, error) {
			return nil, &net.OpError{Op: "read", Err: errors.New("reset")}
		}, true, false, false},
		{"garbage", answering(200, `{"host":`), true, false, false},
		{"trouble", answering(500, ``), true, false, false},
	} {
		_, done, err := New(test.rt).Send(t.Context(), "m:1", api.HeartbeatResponse{})
		if (err != nil) != test.fails || errors.Is(err, ErrNotSent) != test.notSent || done != test.done {
			t.Errorf("%s: done %v, %v", test.name, done, err)
		}
	}
}
