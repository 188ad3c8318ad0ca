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

// frameWait is how long a test waits for a frame, at most.
const frameWait = 10 * time.Second

// frame kinds, by the names of their golden files.
const (
	frameGreeting = "frames/greeting.hex"
	frameQuestion = "frames/question.hex"
	frameWord     = "frames/word.hex"
	frameRequest  = "frames/request.hex"
	frameReply    = "frames/reply.hex"
)

// memory is what a controller knows of cancellations, and what it is told of them.
type memory struct {
	says watermark.Statement
	told chan watermark.Statement
	// asked gets what each question says that the other one has.
	asked chan [2]uint64
}

func newMemory() *memory {
	return &memory{says: filled[watermark.Statement](), told: make(chan watermark.Statement, 1), asked: make(chan [2]uint64, 1)}
}

// Have tells what this controller has of the other's.
func (m *memory) Position(string) (life, have uint64, ok bool) { return 1234, 56, true }

// Say gives all there is.
func (m *memory) Statement(life, have uint64) (watermark.Statement, bool) {
	m.asked <- [2]uint64{life, have}
	return m.says, true
}

// Heard takes word in.
func (m *memory) ApplyStatement(_ string, _ time.Time, s watermark.Statement) { m.told <- s }

// wireEnd is the other end of a controller's connection.
type wireEnd struct {
	t    *testing.T
	conn net.Conn
	rd   *bufio.Reader
}

func newWireEnd(t *testing.T, conn net.Conn) *wireEnd {
	t.Helper()
	t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	if err := conn.SetDeadline(time.Now().Add(frameWait)); err != nil {
		t.Fatal(err)
	}
	return &wireEnd{t, conn, bufio.NewReader(conn)}
}

// read is the next frame, its length before it.
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

// expect reads a frame and compares it.
func (e *wireEnd) expect(file string) {
	e.t.Helper()
	compare(e.t, file, append([]byte(hex.EncodeToString(e.read())), '\n'))
}

// send writes a golden frame.
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

// onePipe is a listener with one connection.
type onePipe struct {
	conns chan net.Conn
	done  <-chan struct{}
}

// Accept gives the connection, and then waits for the end.
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

// Addr is not looked at.
func (l onePipe) Addr() net.Addr { return &net.TCPAddr{} }

// serve is the wire to a controller that answers.
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

// dial is the wire to a controller that asks, and the controller.
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

// receive waits for what another goroutine gives.
func receive[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(frameWait):
		t.Fatal("nothing came")
	}
	return value
}

// greetingSeen waits until a greeting is taken in.
func greetingSeen(t *testing.T, seen <-chan membership.Observation) membership.Hello {
	t.Helper()
	for {
		if g, ok := receive(t, seen).(membership.Hello); ok {
			return g
		}
	}
}

// A controller greets as the version in production does, alone and with a question about cancellations.
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

// A controller answers a greeting with a greeting, and a question with what it knows of cancellations.
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
			t.Errorf("the question is read as %v, want %v", got, want)
		}
		wire.expect(frameWord)
	})
}

// What a greeting says, and what comes with it, is read in full.
func TestGreetingsAreRead(t *testing.T) {
	words := newMemory()
	wire, n, seen := dial(t, words)
	wire.read()
	wire.send(frameWord)
	if got, want := receive(t, words.told), filled[watermark.Statement](); !reflect.DeepEqual(got, want) {
		t.Errorf("word is read as %+v, want %+v", got, want)
	}
	greetingSeen(t, seen)
	want := filled[peer.Hello]()
	want.Member = "n1"
	if got := n.LivePeers(); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("greetings are read as %+v, want %+v", got, want)
	}
}

// A user's request that is passed on, and its answer, cross as the version in production sends them.
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
	// A greeting goes with each request.
	wire.expect(frameGreeting)
	wire.expect(frameRequest)
	wire.send(frameReply)
	if got, want := receive(t, answers), filled[peer.Response](); !reflect.DeepEqual(got, want) {
		t.Errorf("the answer is read as %+v, want %+v", got, want)
	}
}

// The other controller reads the request as it was asked, and answers.
func TestRequestsAreReadAndAnswered(t *testing.T) {
	requests := make(chan peer.Request, 1)
	wire := serve(t, nil, func(_ context.Context, r peer.Request) peer.Response {
		requests <- r
		return filled[peer.Response]()
	})
	wire.send(frameRequest)
	if got, want := receive(t, requests), filled[peer.Request](); !reflect.DeepEqual(got, want) {
		t.Errorf("the request is read as %+v, want %+v", got, want)
	}
	wire.expect(frameReply)
}
