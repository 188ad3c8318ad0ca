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

// serve starts an HTTP server whose connections a Limiter counts; /v1/report is the path of workers. It returns the
// server's address.
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
	server := &http.Server{ConnContext: connlimit.Context, ConnState: limiter.State, Handler: http.HandlerFunc(handle)}
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

// request opens a connection, sends one request and leaves the connection open. It returns whether the server says that
// it will close it.
func request(t *testing.T, addr, path string) (conn net.Conn, closed bool, err error) {
	t.Helper()
	conn = dial(t, addr)
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
		t.Errorf("a worker keeps its idle connection: %v", err)
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
	expectClosed(t, worker)
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

// Seen: beside load, the test above waited for ever. A server counts a connection as idle only after it has written the
// response. A new connection that came in between found none idle to close, and the worker's stayed open above the limit
// until the next new connection. Here the order of the two is fixed.
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
	limiter.State(accepted, http.StateActive)
	connect()
	limiter.State(accepted, http.StateIdle)
	expectClosed(t, worker)
	if counts := limiter.Counts(); counts.IdleClosed != 1 || counts.Open != 1 {
		t.Errorf("%+v, want the worker's connection closed, the other one open", counts)
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
