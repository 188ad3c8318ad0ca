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
	frameGreeting = "frames/greeting.hex"
	frameQuestion = "frames/question.hex"
	frameWord     = "frames/word.hex"
	frameRequest  = "frames/request.hex"
	frameReply    = "frames/reply.hex"
)

// memory is a fake peer.Watermarks, which exchanges knowledge of cancellations between controllers.
type memory struct {
	// says is the statement that is sent to the other controller.
	says watermark.Statement
	// told receives the statements of the other controller.
	told chan watermark.Statement
	// asked receives the position in each question of the other controller.
	asked chan [2]uint64
}

func newMemory() *memory {
	return &memory{says: filled[watermark.Statement](), told: make(chan watermark.Statement, 1), asked: make(chan [2]uint64, 1)}
}

// Position returns a fixed position in the other controller's statements.
func (m *memory) Position(string) (life, have uint64, ok bool) { return 1234, 56, true }

// Statement records the position in the question and returns the fake's statement.
func (m *memory) Statement(life, have uint64) (watermark.Statement, bool) {
	m.asked <- [2]uint64{life, have}
	return m.says, true
}

// ApplyStatement records a statement of the other controller.
func (m *memory) ApplyStatement(_ string, _ time.Time, s watermark.Statement) { m.told <- s }

// wireEnd is the test's end of a connection to a controller.
type wireEnd struct {
	t    *testing.T
	conn net.Conn
	rd   *bufio.Reader
}

func newWireEnd(t *testing.T, conn net.Conn) *wireEnd {
	t.Helper()
	t.Cleanup(func() { _ = conn.Close() }) // the error is ignored because the connection may be closed already
	if err := conn.SetDeadline(time.Now().Add(frameWait)); err != nil {
		t.Fatal(err)
	}
	return &wireEnd{t, conn, bufio.NewReader(conn)}
}

// read returns the next frame with its length prefix.
func (e *wireEnd) read() []byte {
	e.t.Helper()
	head, err := e.rd.Peek(4)
	if err != nil {
		e.t.Fatal(err)
	}
	raw := make([]byte, 4+binary.LittleEndian.Uint32(head))
	if _, err := io.ReadFull(e.rd, raw); err != nil {
		e.t.Fatal(err)
	}
	return raw
}

// expect reads a frame and compares it with a golden file.
func (e *wireEnd) expect(file string) {
	e.t.Helper()
	compare(e.t, file, append([]byte(hex.EncodeToString(e.read())), '\n'))
}

// send sends the frame in a golden file.
func (e *wireEnd) send(file string) {
	e.t.Helper()
	raw, err := hex.DecodeString(string(bytes.TrimSpace(golden(e.t, file))))
	if err != nil {
		e.t.Fatal(err)
	}
	if _, err := e.conn.Write(raw); err != nil {
		e.t.Fatal(err)
	}
}

// onePipe is a listener that accepts a single connection.
type onePipe struct {
	conns chan net.Conn
	done  <-chan struct{}
}

// Accept returns the connection. Further calls block until done is closed.
func (l onePipe) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close does nothing.
func (l onePipe) Close() error { return nil }

// Addr returns a placeholder that no code reads.
func (l onePipe) Addr() net.Addr { return &net.TCPAddr{} }

// serve starts a controller that accepts a connection, and returns the test's end of that connection.
func serve(t *testing.T, words peer.Watermarks, handle peer.Handler) *wireEnd {
	t.Helper()
	n := peer.New(nil, clockwork.NewFakeClock(), filled[peer.Hello], handle)
	n.Watermarks = words
	here, there := net.Pipe()
	l := onePipe{make(chan net.Conn, 1), t.Context().Done()}
	l.conns <- there
	go func() { _ = n.Serve(t.Context(), l) }()
	return newWireEnd(t, here)
}

// dial starts a controller that opens a connection. It returns the test's end of that connection, the controller's network
// and the network's observations.
func dial(t *testing.T, words peer.Watermarks) (*wireEnd, *peer.Network, chan membership.Observation) {
	t.Helper()
	n := peer.New([]settings.Peer{{Member: "n1", Address: "10.0.0.2:7000"}}, clockwork.NewFakeClock(), filled[peer.Hello], nil)
	n.Watermarks = words
	here, there := net.Pipe()
	conns := make(chan net.Conn, 1)
	conns <- there
	n.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case c := <-conns:
			return c, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	seen := make(chan membership.Observation, 64)
	n.OnObservation = func(o membership.Observation) { seen <- o }
	n.Run(t.Context())
	return newWireEnd(t, here), n, seen
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

// greetingSeen waits until the network has processed a greeting, and returns it.
func greetingSeen(t *testing.T, seen <-chan membership.Observation) membership.Hello {
	t.Helper()
	for {
		if g, ok := receive(t, seen).(membership.Hello); ok {
			return g
		}
	}
}

// A controller sends the same greeting as the version in production, with and without a question about cancellations.
func TestGreetingsStayOnTheWire(t *testing.T) {
	t.Run("greeting", func(t *testing.T) {
		wire, _, _ := dial(t, nil)
		wire.expect(frameGreeting)
	})
	t.Run("question", func(t *testing.T) {
		wire, _, _ := dial(t, newMemory())
		wire.expect(frameQuestion)
	})
}

// A controller answers a greeting with a greeting, and a question about cancellations with its statement.
func TestAnswersToGreetingsStayOnTheWire(t *testing.T) {
	t.Run("greeting", func(t *testing.T) {
		wire := serve(t, nil, nil)
		wire.send(frameGreeting)
		wire.expect(frameGreeting)
	})
	t.Run("question", func(t *testing.T) {
		words := newMemory()
		wire := serve(t, words, nil)
		wire.send(frameQuestion)
		if got, want := receive(t, words.asked), [2]uint64{1234, 56}; got != want {
			t.Errorf("position in the question %v, want %v", got, want)
		}
		wire.expect(frameWord)
	})
}

// All fields of a greeting, and of the statement that comes with it, are decoded.
func TestGreetingsAreRead(t *testing.T) {
	words := newMemory()
	wire, n, seen := dial(t, words)
	wire.read()
	wire.send(frameWord)
	if got, want := receive(t, words.told), filled[watermark.Statement](); !reflect.DeepEqual(got, want) {
		t.Errorf("statement decoded as %+v, want %+v", got, want)
	}
	greetingSeen(t, seen)
	want := filled[peer.Hello]()
	want.Member = "n1"
	if got := n.LivePeers(); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("greetings decoded as %+v, want %+v", got, want)
	}
}

// A controller forwards a user's request with the same frame as the version in production, and decodes the answer.
func TestRequestsStayOnTheWire(t *testing.T) {
	wire, n, seen := dial(t, nil)
	wire.read()
	wire.send(frameGreeting)
	greetingSeen(t, seen)
	answers := make(chan peer.Response, 1)
	go func() {
		a, err := n.Ask(t.Context(), "n1", filled[peer.Request](), frameWait)
		if err == nil {
			answers <- a
		}
	}()
	// Each request is preceded by a greeting.
	wire.expect(frameGreeting)
	wire.expect(frameRequest)
	wire.send(frameReply)
	if got, want := receive(t, answers), filled[peer.Response](); !reflect.DeepEqual(got, want) {
		t.Errorf("answer decoded as %+v, want %+v", got, want)
	}
}

// A controller decodes a forwarded request and answers it with the same frame as the version in production.
func TestRequestsAreReadAndAnswered(t *testing.T) {
	requests := make(chan peer.Request, 1)
	wire := serve(t, nil, func(_ context.Context, r peer.Request) peer.Response {
		requests <- r
		return filled[peer.Response]()
	})
	wire.send(frameRequest)
	if got, want := receive(t, requests), filled[peer.Request](); !reflect.DeepEqual(got, want) {
		t.Errorf("request decoded as %+v, want %+v", got, want)
	}
	wire.expect(frameReply)
}
