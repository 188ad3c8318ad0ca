package golden_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/membership"
	"switchferry/peer"
	"switchferry/settings"
	"switchferry/watermark"
)

// frameWait is the maximum time for which a test waits for a frame.
const frameWait = 10 * time.Second

// Golden files of the kinds of frames.
const (
	frameHello                    = "frames/greeting.hex"
	frameHelloRequestingStatement = "frames/question.hex"
	frameStatement                = "frames/word.hex"
	frameRequest                  = "frames/request.hex"
	frameReply                    = "frames/reply.hex"
)

// fakeWatermarks is a fake peer.Watermarks, which exchanges knowledge of cancellations between controllers.
type fakeWatermarks struct {
	// statement is the statement that is sent to the other controller.
	statement watermark.Statement
	// applied receives the statements of the other controller.
	applied chan watermark.Statement
	// positions receives the position in each request of the other controller for a statement.
	positions chan [2]uint64
}

func newFakeWatermarks() *fakeWatermarks {
	return &fakeWatermarks{statement: filled[watermark.Statement](), applied: make(chan watermark.Statement, 1), positions: make(chan [2]uint64, 1)}
}

// Position returns a fixed position in the other controller's statements.
func (fake *fakeWatermarks) Position(string) (incarnation, have uint64, ok bool) {
	return 1234, 56, true
}

// Statement records the position in the request and returns the fake's statement.
func (fake *fakeWatermarks) Statement(incarnation, have uint64) (watermark.Statement, bool) {
	fake.positions <- [2]uint64{incarnation, have}
	return fake.statement, true
}

// ApplyStatement records a statement of the other controller.
func (fake *fakeWatermarks) ApplyStatement(_ string, _ time.Time, statement watermark.Statement) {
	fake.applied <- statement
}

// testConn is the test's end of a connection to a controller.
type testConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func newTestConn(t *testing.T, conn net.Conn) *testConn {
	t.Helper()
	t.Cleanup(func() { _ = conn.Close() }) // the error is ignored because the connection may be closed already
	if err := conn.SetDeadline(time.Now().Add(frameWait)); err != nil {
		t.Fatal(err)
	}
	return &testConn{t, conn, bufio.NewReader(conn)}
}

// read returns the next frame with its length prefix.
func (connection *testConn) read() []byte {
	connection.t.Helper()
	head, err := connection.reader.Peek(4)
	if err != nil {
		connection.t.Fatal(err)
	}
	raw := make([]byte, 4+binary.LittleEndian.Uint32(head))
	if _, err := io.ReadFull(connection.reader, raw); err != nil {
		connection.t.Fatal(err)
	}
	return raw
}

// expect reads a frame and compares it with a golden file.
func (connection *testConn) expect(file string) {
	connection.t.Helper()
	compare(connection.t, file, append([]byte(hex.EncodeToString(connection.read())), '\n'))
}

// send sends the frame in a golden file.
func (connection *testConn) send(file string) {
	connection.t.Helper()
	raw, err := hex.DecodeString(string(bytes.TrimSpace(golden(connection.t, file))))
	if err != nil {
		connection.t.Fatal(err)
	}
	if _, err := connection.conn.Write(raw); err != nil {
		connection.t.Fatal(err)
	}
}

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	conns chan net.Conn
	done  <-chan struct{}
}

// Accept returns the connection. Further calls block until done is closed.
func (l singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close does nothing.
func (l singleConnListener) Close() error { return nil }

// Addr returns a placeholder that no code reads.
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// startAccepting starts a controller that accepts a connection, and returns the test's end of that connection.
func startAccepting(t *testing.T, watermarks peer.Watermarks, handle peer.Handler) *testConn {
	t.Helper()
	network := peer.New(nil, clockwork.NewFakeClock(), filled[peer.Hello], handle)
	network.Watermarks = watermarks
	here, there := net.Pipe()
	l := singleConnListener{make(chan net.Conn, 1), t.Context().Done()}
	l.conns <- there
	go func() { _ = network.Serve(t.Context(), l) }()
	return newTestConn(t, here)
}

// startDialing starts a controller that opens a connection. It returns the test's end of that connection, the
// controller's network and the network's observations.
func startDialing(t *testing.T, watermarks peer.Watermarks) (*testConn, *peer.Network, chan membership.Observation) {
	t.Helper()
	network := peer.New([]settings.Peer{{Member: "n1", Address: "10.0.0.2:7000"}}, clockwork.NewFakeClock(), filled[peer.Hello], nil)
	network.Watermarks = watermarks
	here, there := net.Pipe()
	conns := make(chan net.Conn, 1)
	conns <- there
	network.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case c := <-conns:
			return c, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	observations := make(chan membership.Observation, 64)
	network.OnObservation = func(o membership.Observation) { observations <- o }
	network.Run(t.Context())
	return newTestConn(t, here), network, observations
}

// receive waits for a value from a channel, for frameWait at most.
func receive[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(frameWait):
		t.Fatal("no value received in time")
	}
	return value
}

// awaitHello waits until the network has processed a hello, and returns it.
func awaitHello(t *testing.T, observations <-chan membership.Observation) membership.Hello {
	t.Helper()
	for {
		if g, ok := receive(t, observations).(membership.Hello); ok {
			return g
		}
	}
}

// A controller sends the same hello as the version in production, with and without a request for a statement about
// cancellations.
func TestHelloFramesMatchGolden(t *testing.T) {
	t.Run("hello", func(t *testing.T) {
		wire, _, _ := startDialing(t, nil)
		wire.expect(frameHello)
	})
	t.Run("hello requesting a statement", func(t *testing.T) {
		wire, _, _ := startDialing(t, newFakeWatermarks())
		wire.expect(frameHelloRequestingStatement)
	})
}

// A controller answers a hello with a hello, which contains its statement about cancellations if that is requested.
func TestAnswersToHellosMatchGolden(t *testing.T) {
	t.Run("hello", func(t *testing.T) {
		wire := startAccepting(t, nil, nil)
		wire.send(frameHello)
		wire.expect(frameHello)
	})
	t.Run("hello requesting a statement", func(t *testing.T) {
		watermarks := newFakeWatermarks()
		wire := startAccepting(t, watermarks, nil)
		wire.send(frameHelloRequestingStatement)
		if got, want := receive(t, watermarks.positions), [2]uint64{1234, 56}; got != want {
			t.Errorf("position in the request %v, want %v", got, want)
		}
		wire.expect(frameStatement)
	})
}

// All fields of a hello, and of the statement that comes with it, are decoded.
func TestHellosAreDecoded(t *testing.T) {
	watermarks := newFakeWatermarks()
	wire, network, observations := startDialing(t, watermarks)
	wire.read()
	wire.send(frameStatement)
	if got, want := receive(t, watermarks.applied), filled[watermark.Statement](); !reflect.DeepEqual(got, want) {
		t.Errorf("statement decoded as %+v, want %+v", got, want)
	}
	awaitHello(t, observations)
	want := filled[peer.Hello]()
	want.Member = "n1"
	if got := network.LivePeers(); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("hellos decoded as %+v, want %+v", got, want)
	}
}

// A controller forwards a user's request with the same frame as the version in production, and decodes the answer.
func TestRequestFramesMatchGolden(t *testing.T) {
	wire, network, observations := startDialing(t, nil)
	wire.read()
	wire.send(frameHello)
	awaitHello(t, observations)
	answers := make(chan peer.Response, 1)
	go func() {
		a, err := network.Call(t.Context(), "n1", filled[peer.Request](), frameWait)
		if err == nil {
			answers <- a
		}
	}()
	// Each request is preceded by a hello.
	wire.expect(frameHello)
	wire.expect(frameRequest)
	wire.send(frameReply)
	if got, want := receive(t, answers), filled[peer.Response](); !reflect.DeepEqual(got, want) {
		t.Errorf("answer decoded as %+v, want %+v", got, want)
	}
}

// A controller decodes a forwarded request and answers it with the same frame as the version in production.
func TestRequestsAreDecodedAndAnswered(t *testing.T) {
	requests := make(chan peer.Request, 1)
	wire := startAccepting(t, nil, func(_ context.Context, r peer.Request) peer.Response {
		requests <- r
		return filled[peer.Response]()
	})
	wire.send(frameRequest)
	if got, want := receive(t, requests), filled[peer.Request](); !reflect.DeepEqual(got, want) {
		t.Errorf("request decoded as %+v, want %+v", got, want)
	}
	wire.expect(frameReply)
}
