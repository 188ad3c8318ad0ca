package connlimit_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"switchferry/connlimit"
)

// serve starts an HTTP server whose connections a Limiter counts, and returns the Limiter and the server's address.
// Connections with requests for /v1/report are classified as those of workers, all others as those of users.
func serve(t *testing.T, limit int) (*connlimit.Limiter, string) {
	t.Helper()
	limiter := connlimit.NewLimiter(limit)
	listener := listen(t)
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
	server := &http.Server{ConnContext: connlimit.ConnContext, ConnState: limiter.ConnState, Handler: http.HandlerFunc(handle)}
	go func() { _ = server.Serve(limiter.Listen(listener, connlimit.Unclassified)) }()
	t.Cleanup(func() { _ = server.Close() })
	return limiter, listener.Addr().String()
}

// listen returns a listener on loopback.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// request opens a connection, sends one request on it and leaves the connection open. It returns whether the response
// announces that the server will close the connection.
func request(t *testing.T, addr, path string) (conn net.Conn, closed bool, err error) {
	t.Helper()
	conn = dial(t, addr)
	closed, err = requestOn(conn, path)
	return conn, closed, err
}

// requestOn sends one request on an open connection, and returns whether the response announces that the server will
// close it.
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

// Workers that number 80%, 100% and 120% of the limit connect and keep their connections open until the server asks
// them to close. Users must still be served and the limit must not be exceeded.
func TestWorkersLeaveConnectionsForUsers(t *testing.T) {
	const limit, users = 200, 20
	for _, workers := range []int{160, 200, 240} {
		t.Run(fmt.Sprintf("workers=%d", workers), func(t *testing.T) {
			limiter, addr := serve(t, limit)
			for range workers {
				conn, closed, err := request(t, addr, "/v1/report")
				if err != nil {
					t.Fatalf("heartbeat refused: %v", err)
				}
				if closed {
					_ = conn.Close()
				}
			}
			for range users {
				if _, _, err := request(t, addr, "/submissions/run-000001"); err != nil {
					t.Fatalf("user request refused: %v", err)
				}
			}
			if counts := limiter.Counts(); counts.Open > limit || counts.ByClass["user"] != users {
				t.Errorf("counts %+v, want at most %d open connections, %d of them of users", counts, limit, users)
			}
		})
	}
}

// closeTimeout is how long a connection may take to be closed.
const closeTimeout = 10 * time.Second

// expectClosed fails the test if the other side does not close the connection.
func expectClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(closeTimeout)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("idle worker connection was not closed: %v", err)
	}
}

// Near the limit, only idle worker connections are closed to make room for new connections.
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
	expectClosed(t, worker)
	closed, err := requestOn(user, "/submissions/x")
	if err != nil {
		t.Errorf("a user's connection was closed: %v", err)
	}
	if closed {
		t.Error("server announces that it will close a user's connection")
	}
	if counts := limiter.Counts(); counts.IdleClosed != 1 {
		t.Errorf("counts %+v, want one idle connection closed", counts)
	}
}

// A worker connection that becomes idle above the limit is closed at once. An HTTP server marks a connection idle only
// after it has written the response. A new connection accepted before that found no idle connection to close, and the
// worker's stayed open above the limit until the next one was accepted; under load, the test above then hung. This test
// forces that order of events.
func TestWorkerConnectionIsClosedOnceIdle(t *testing.T) {
	limiter := connlimit.NewLimiter(2)
	listener := listen(t)
	counted := limiter.Listen(listener, connlimit.Unclassified)
	connect := func() (client, accepted net.Conn) {
		client = dial(t, listener.Addr().String())
		accepted, err := counted.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = accepted.Close() })
		return client, accepted
	}
	worker, accepted := connect()
	limiter.Classify(accepted, connlimit.Worker)
	limiter.ConnState(accepted, http.StateActive)
	connect()
	limiter.ConnState(accepted, http.StateIdle)
	expectClosed(t, worker)
	if counts := limiter.Counts(); counts.IdleClosed != 1 || counts.Open != 1 {
		t.Errorf("counts %+v, want the worker's connection closed and the other one open", counts)
	}
}

// Command connections are refused before the limit is reached, so that the state service can still be reached. The
// error is a dial error, which shows that the command was not sent.
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
			t.Fatalf("after %d command connections: error %v, want ErrLimit after 5 to 9", sent, err)
		}
		break
	}
	dialService := limiter.Dial(func(string) connlimit.Class { return connlimit.Service })
	conn, err := dialService(t.Context(), "tcp4", addr)
	if err != nil {
		t.Fatalf("connection to the state service refused: %v", err)
	}
	_ = conn.Close()
}
