package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/membership"
	"switchferry/peer/wire"
	"switchferry/settings"
	"switchferry/tuning"
	"switchferry/watermark"
)

func TestFrameRoundTripKeepsFields(t *testing.T) {
	message := frame{kind: wire.KindRequest, seq: 7, verb: "submit", job: "run-1", body: []byte(`{"a":1}`), member: "n0", term: 9, stateOK: true, status: 503, retryAfterS: 2, benchmarkUS: 70, receivesHeartbeats: true}
	got, err := readFrame(bytes.NewReader(encodeFrame(message)))
	if err != nil || got.seq != 7 || got.verb != "submit" || got.job != "run-1" || string(got.body) != `{"a":1}` || got.term != 9 || !got.stateOK || got.status != 503 || got.retryAfterS != 2 || got.benchmarkUS != 70 || !got.receivesHeartbeats || got.member != "n0" {
		t.Errorf("%+v, %v", got, err)
	}
}

// listen opens a port on loopback, which is closed with the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // The test may have closed it.
	return listener
}

// dial connects to a listener.
func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // Its user may have closed it.
	return conn
}

// closeOrFail closes an end of a connection as its process would by ending.
func closeOrFail(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
}

// Damaged frames are errors, never panics: FlatBuffers checks nothing itself.
func TestDamagedFramesAreErrors(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	good := encodeFrame(frame{kind: wire.KindReply, seq: 1, body: make([]byte, 300), verb: "x"})
	for range 5000 {
		raw := bytes.Clone(good)
		for range 1 + rnd.IntN(8) {
			raw[4+rnd.IntN(len(raw)-4)] = byte(rnd.Uint32())
		}
		_, _ = readFrame(bytes.NewReader(raw))
	}
	huge := binary.LittleEndian.AppendUint32(nil, 1<<31)
	for _, raw := range [][]byte{huge, {4, 0, 0, 0, 1, 2, 3, 4}, good[:20], {0xff}} {
		if _, err := readFrame(bytes.NewReader(raw)); err == nil {
			t.Errorf("%d bytes of garbage were taken", len(raw))
		}
	}
}

// Bytes that are not a frame end that connection and nothing else, and a request gets its reply.
func TestGarbageClosesOnlyItsConnection(t *testing.T) {
	ctx := t.Context()
	listener := listen(t)
	clock := clockwork.NewFakeClock()
	self := func() Hello { return Hello{Member: "n0", Term: 5, StateOK: true} }
	server := New(nil, clock, self, func(_ context.Context, request Request) Response {
		return Response{Status: 200, Body: append([]byte(request.Verb+" "), request.Body...), RetryAfterS: 3}
	})
	go func() { _ = server.Serve(ctx, listener) }()

	bad := dial(t, listener)
	_, _ = bad.Write(bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 20))
	if _, err := bad.Read(make([]byte, 1)); err == nil {
		t.Error("garbage got an answer")
	}

	one := New([]settings.Peer{{Member: "n0", Address: listener.Addr().String()}}, clock, func() Hello { return Hello{Member: "n1"} }, nil)
	remote := one.peers["n0"]
	conn := dial(t, listener)
	go one.runConnection(ctx, remote, conn)
	for !one.Reachable("n0") {
		// The first greeting is on its way.
	}
	if h := one.LivePeers(); len(h) != 1 || h[0].Term != 5 || !h[0].StateOK || one.Isolated() {
		t.Errorf("alive %+v", h)
	}
	response, err := one.Ask(ctx, "n0", Request{Verb: "status", Body: []byte("x")}, time.Second)
	if err != nil || response.Status != 200 || string(response.Body) != "status x" || response.RetryAfterS != 3 {
		t.Errorf("%+v, %v", response, err)
	}
	if _, err := one.Ask(ctx, "n9", Request{}, time.Second); err == nil {
		t.Error("an unknown peer answered")
	}
}

// The observations of a peer are: connected, its greeting, connection reset when its process ends, and
// connection refused after that.
func TestConnectionOutcomesAreObserved(t *testing.T) {
	ctx := t.Context()
	listener := listen(t)
	clock := clockwork.NewFakeClock()
	self := func() Hello {
		return Hello{Member: "n0", StateOK: true, ReceivesHeartbeats: true, StartedMS: 17, HeardPeers: []string{"n1", "n2"}, Leaving: true}
	}
	life, end := context.WithCancel(ctx)
	conns := make(chan net.Conn, 1)
	server := New(nil, clock, self, nil)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			conns <- conn
			server.serveConn(life, conn)
		}
	}()
	seen := make(chan membership.Observation, 64)
	network := New([]settings.Peer{{Member: "n0", Address: listener.Addr().String()}}, clock, func() Hello { return Hello{Member: "n1"} }, nil)
	network.OnObservation = func(o membership.Observation) { seen <- o }
	network.Run(ctx)
	want := func(w membership.Observation) {
		t.Helper()
		if got := <-seen; !reflect.DeepEqual(got, w) {
			t.Fatalf("observed %+v, want %+v", got, w)
		}
	}
	want(membership.Connection{To: "n0", Outcome: membership.Established})
	want(membership.Hello{From: "n0", StartedMS: 17, HeardPeers: []string{"n1", "n2"}, StateOK: true, ReceivesHeartbeats: true, Leaving: true})
	end()
	closeOrFail(t, listener)
	closeOrFail(t, <-conns)
	want(membership.Connection{To: "n0", Outcome: membership.Reset})
	for {
		clock.Advance(tuning.PeerHello)
		select {
		case o := <-seen:
			if o != (membership.Connection{To: "n0", Outcome: membership.Refused}) {
				t.Fatalf("observed %+v", o)
			}
			return
		default:
		}
	}
}

// fakeWatermarks replies to every question with one statement, and records what is applied.
type fakeWatermarks struct {
	reply       watermark.Statement
	applied     chan time.Time
	lastApplied watermark.Statement
}

func (s *fakeWatermarks) Position(string) (uint64, uint64, bool) { return 3, 1, true }
func (s *fakeWatermarks) Statement(incarnation, have uint64) (watermark.Statement, bool) {
	s.reply.Incarnation, s.reply.From = incarnation, have
	return s.reply, true
}
func (s *fakeWatermarks) ApplyStatement(_ string, sent time.Time, w watermark.Statement) {
	s.lastApplied = w
	s.applied <- sent
}

// A statement counts from when its question was sent, however late the answer is. An answer that was not
// asked for is ignored, and too many cancellations end the connection.
func TestWatermarkCountsFromQuestion(t *testing.T) {
	clock := clockwork.NewFakeClock()
	here, there := net.Pipe()
	t.Cleanup(func() { _ = there.Close() })
	network := New([]settings.Peer{{Member: "n1"}}, clock, func() Hello { return Hello{Member: "n0"} }, nil)
	mine := &fakeWatermarks{applied: make(chan time.Time, 4)}
	network.Watermarks = mine
	other := New(nil, clock, func() Hello { return Hello{Member: "n1"} }, nil)
	other.Watermarks = &fakeWatermarks{reply: watermark.Statement{To: 2, Latest: 5, Cancellations: []watermark.Cancellation{{Job: "run-1", Age: 1500 * time.Millisecond}}, Current: true, Age: 20*time.Millisecond + 1}}
	sent := clock.Now()
	done := make(chan membership.ConnectionOutcome)
	go func() { done <- network.runConnection(t.Context(), network.peers["n1"], here) }()
	question, err := readFrame(there)
	if err != nil || question.seq == 0 || question.incarnation != 3 || question.watermarkFrom != 1 {
		t.Fatalf("question %+v, %v", question, err)
	}
	clock.Advance(time.Second)
	reply := other.newHelloReply(question)
	stray := reply
	stray.seq += 7
	var mu sync.Mutex
	for _, message := range []frame{stray, reply, reply} {
		if err := writeFrame(there, &mu, message); err != nil {
			t.Fatal(err)
		}
	}
	if at := <-mine.applied; !at.Equal(sent) {
		t.Errorf("counts from %v after the question", at.Sub(sent))
	}
	want := watermark.Statement{Incarnation: 3, From: 1, To: 2, Latest: 5, Cancellations: []watermark.Cancellation{{Job: "run-1", Age: 1500 * time.Millisecond}}, Current: true, Age: 21 * time.Millisecond}
	if !reflect.DeepEqual(mine.lastApplied, want) {
		t.Errorf("applied %+v, want %+v", mine.lastApplied, want)
	}
	for range tuning.CancellationsAtOnce {
		reply.cancellations = append(reply.cancellations, watermark.Cancellation{Job: "run-1"})
	}
	reply.cancellations = append(reply.cancellations, reply.cancellations[0])
	if err := writeFrame(there, &mu, reply); err != nil {
		t.Fatal(err)
	}
	<-done
	if len(mine.applied) > 0 {
		t.Error("an answer that nobody asked for, or one that came twice, was taken")
	}
}
