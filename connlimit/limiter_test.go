package connlimit_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"switchferry/connlimit"
)

// served is a port with a budget, where /v1/report is a worker's path.
func served(t *testing.T, limit int) (*connlimit.Limiter, string) {
	b := connlimit.NewLimiter(limit)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{ConnContext: connlimit.Context, ConnState: b.State, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		class := connlimit.User
		if r.URL.Path == "/v1/report" {
			class = connlimit.Worker
			if b.NearLimit() {
				w.Header().Set("Connection", "close")
			}
		}
		b.Classify(connlimit.FromContext(r.Context()), class)
	})}
	go func() { _ = s.Serve(b.Listen(l, connlimit.Unclassified)) }()
	t.Cleanup(func() { _ = s.Close() })
	return b, l.Addr().String()
}

// ask opens a connection, asks once and leaves it open; closed: the server says it will close.
func ask(addr, path string) (c net.Conn, closed bool, err error) {
	c, err = net.Dial("tcp4", addr)
	if err != nil {
		return nil, false, err
	}
	if _, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
		return c, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return c, false, err
	}
	_ = resp.Body.Close()
	return c, resp.Close, nil
}

// Workers of 80%, 100% and 120% of the limit come and keep their connections as long as they
// may; users are answered all the same, and no more are open than the limit, whose last part
// stays free for them.
func TestWorkersLeaveSocketsForOthers(t *testing.T) {
	const limit = 200
	for _, workers := range []int{160, 200, 240} {
		b, addr := served(t, limit)
		var open []net.Conn
		for range workers {
			c, closed, err := ask(addr, "/v1/report")
			if err != nil {
				t.Fatalf("%d workers: a report is refused: %v", workers, err)
			}
			if closed {
				_ = c.Close()
			} else {
				open = append(open, c)
			}
		}
		for range 20 {
			c, _, err := ask(addr, "/submissions/run-000001")
			if err != nil {
				t.Fatalf("%d workers: a user is refused: %v", workers, err)
			}
			open = append(open, c)
		}
		if n := b.Counts(); n.Open > limit || n.ByClass["user"] != 20 {
			t.Errorf("%d workers: %+v", workers, n)
		}
		for _, c := range open {
			_ = c.Close()
		}
	}
}

// Near the limit idle workers' connections are closed for newcomers, the longest idle first,
// and nobody else's.
func TestIdleWorkerConnectionsAreClosedNearLimit(t *testing.T) {
	b, addr := served(t, 1000)
	first, _, err := ask(addr, "/v1/report")
	if err != nil {
		t.Fatal(err)
	}
	user, _, err := ask(addr, "/submissions/run-000001")
	if err != nil {
		t.Fatal(err)
	}
	b.SetLimit(3)
	if _, _, err := ask(addr, "/submissions/run-000002"); err != nil {
		t.Fatal(err)
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("an idle worker keeps its connection")
	}
	if _, err := fmt.Fprintf(user, "GET /submissions/x HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Error(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(user), nil); err != nil {
		t.Errorf("a user's connection was closed: %v", err)
	}
	if n := b.Counts(); n.IdleClosed != 1 {
		t.Errorf("%+v", n)
	}
}

// Commands leave the last sockets to the state service; one that finds none was never sent.
func TestCommandsAreRefusedNearLimit(t *testing.T) {
	_, addr := served(t, 0)
	b := connlimit.NewLimiter(10)
	dial := b.Dial(func(string) connlimit.Class { return connlimit.Command })
	for i := 0; ; i++ {
		_, err := dial(context.Background(), "tcp4", addr)
		if err == nil {
			continue
		}
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" || !errors.Is(err, connlimit.ErrLimit) || i < 5 || i > 9 {
			t.Fatalf("after %d commands: %v", i, err)
		}
		break
	}
	if _, err := b.Dial(func(string) connlimit.Class { return connlimit.Service })(context.Background(), "tcp4", addr); err != nil {
		t.Errorf("the state service: %v", err)
	}
}
