package connlimit_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"switchferry/connlimit"
)

// serve starts an HTTP server whose connections a Limiter counts; /v1/report is the path of workers. It returns the
// server's address.
func serve(t *testing.T, limit int) (*connlimit.Limiter, string) {
	t.Helper()
	limiter := connlimit.NewLimiter(limit)
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handle := func(w http.ResponseWriter, r *http.Request) {
		class := connlimit.User
		if r.URL.Path == "/v1/report" {
			class = connlimit.Worker
			if limiter.NearLimit() {
				w.Header().Set("Connection", "close")
			}
		}
		limiter.Classify(connlimit.FromContext(r.Context()), class)
	}
	server := &http.Server{ConnContext: connlimit.Context, ConnState: limiter.State, Handler: http.HandlerFunc(handle)}
	go func() { _ = server.Serve(limiter.Listen(listener, connlimit.Unclassified)) }()
	t.Cleanup(func() { _ = server.Close() })
	return limiter, listener.Addr().String()
}

// request opens a connection, sends one request and leaves the connection open. It returns whether the server says that
// it will close it.
func request(t *testing.T, addr, path string) (conn net.Conn, closed bool, err error) {
	t.Helper()
	var dialer net.Dialer
	conn, err = dialer.DialContext(t.Context(), "tcp4", addr)
	if err != nil {
		return nil, false, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	closed, err = requestOn(conn, path)
	return conn, closed, err
}

// requestOn sends one request on an open connection.
func requestOn(conn net.Conn, path string) (closed bool, err error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, err
	}
	return response.Close, response.Body.Close()
}

// Workers of 80%, 100% and 120% of the limit connect and keep their connections as long as they may. Users are still
// served, and never are more connections open than the limit, since its last part is kept free for users.
func TestWorkersLeaveSocketsForOthers(t *testing.T) {
	const limit, users = 200, 20
	for _, workers := range []int{160, 200, 240} {
		t.Run(fmt.Sprintf("workers=%d", workers), func(t *testing.T) {
			limiter, addr := serve(t, limit)
			for range workers {
				conn, closed, err := request(t, addr, "/v1/report")
				if err != nil {
					t.Fatalf("a heartbeat is refused: %v", err)
				}
				if closed {
					_ = conn.Close()
				}
			}
			for range users {
				if _, _, err := request(t, addr, "/submissions/run-000001"); err != nil {
					t.Fatalf("a user is refused: %v", err)
				}
			}
			if counts := limiter.Counts(); counts.Open > limit || counts.ByClass["user"] != users {
				t.Errorf("%+v, want %d open at most, %d of them users", counts, limit, users)
			}
		})
	}
}

// Near the limit the connections of workers that are idle for longest are closed for new ones, and no others.
func TestIdleWorkerConnectionsAreClosedNearLimit(t *testing.T) {
	limiter, addr := serve(t, 1000)
	worker, _, err := request(t, addr, "/v1/report")
	if err != nil {
		t.Fatal(err)
	}
	user, _, err := request(t, addr, "/submissions/run-000001")
	if err != nil {
		t.Fatal(err)
	}
	limiter.SetLimit(3)
	if _, _, err := request(t, addr, "/submissions/run-000002"); err != nil {
		t.Fatal(err)
	}
	if _, err := worker.Read(make([]byte, 1)); err == nil {
		t.Error("an idle worker keeps its connection")
	}
	closed, err := requestOn(user, "/submissions/x")
	if err != nil {
		t.Errorf("a user's connection was closed: %v", err)
	}
	if closed {
		t.Error("the server closes a user's connection after a response")
	}
	if counts := limiter.Counts(); counts.IdleClosed != 1 {
		t.Errorf("%+v, want one idle connection closed", counts)
	}
}

// Commands leave the last connections to the state service; a command that is refused was never sent.
func TestCommandsAreRefusedNearLimit(t *testing.T) {
	_, addr := serve(t, 0)
	limiter := connlimit.NewLimiter(10)
	dialCommand := limiter.Dial(func(string) connlimit.Class { return connlimit.Command })
	for sent := 0; ; sent++ {
		conn, err := dialCommand(t.Context(), "tcp4", addr)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			continue
		}
		var opError *net.OpError
		if !errors.As(err, &opError) || opError.Op != "dial" || !errors.Is(err, connlimit.ErrLimit) || sent < 5 || sent > 9 {
			t.Fatalf("after %d commands: %v, want ErrLimit after 5 to 9", sent, err)
		}
		break
	}
	dialService := limiter.Dial(func(string) connlimit.Class { return connlimit.Service })
	conn, err := dialService(t.Context(), "tcp4", addr)
	if err != nil {
		t.Fatalf("the state service is refused: %v", err)
	}
	_ = conn.Close()
}
