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
		t.Errorf("decoded frame %+v, error %v", got, err)
	}
}

// listen opens a TCP port on the loopback interface and closes it at the end of the test.
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

// dial connects to a listener and closes the connection at the end of the test.
func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // The test may have closed it.
	return conn
}

// requireClose closes one end of a connection or a listener, as the end of its process would, and fails the test on an
// error.
func requireClose(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
}

// Malformed frames cause errors and never panics. FlatBuffers does not verify its input.
func TestMalformedFramesCauseErrorsNotPanics(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	valid := encodeFrame(frame{kind: wire.KindReply, seq: 1, body: make([]byte, 300), verb: "x"})
	for range 5000 {
		raw := bytes.Clone(valid)
		for range 1 + rnd.IntN(8) {
			raw[4+rnd.IntN(len(raw)-4)] = byte(rnd.Uint32())
		}
		_, _ = readFrame(bytes.NewReader(raw))
	}
	oversized := binary.LittleEndian.AppendUint32(nil, 1<<31)
	for _, raw := range [][]byte{oversized, {4, 0, 0, 0, 1, 2, 3, 4}, valid[:20], {0xff}} {
		if _, err := readFrame(bytes.NewReader(raw)); err == nil {
			t.Errorf("a malformed frame of %d bytes was accepted", len(raw))
		}
	}
}

// Malformed input ends only the connection on which it arrives. On another connection, hellos and requests are still
// answered.
func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	ctx := t.Context()
	listener := listen(t)
	clock := clockwork.NewFakeClock()
	self := func() Hello { return Hello{Member: "n0", Term: 5, StateOK: true} }
	server := New(nil, clock, self, func(_ context.Context, request Request) Response {
		return Response{Status: 200, Body: append([]byte(request.Verb+" "), request.Body...), RetryAfterS: 3}
	})
	go func() { _ = server.Serve(ctx, listener) }()

	malformedConn := dial(t, listener)
	_, _ = malformedConn.Write(bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 20))
	if _, err := malformedConn.Read(make([]byte, 1)); err == nil {
		t.Error("malformed input was answered")
	}

	client := New([]settings.Peer{{Member: "n0", Address: listener.Addr().String()}}, clock, func() Hello { return Hello{Member: "n1"} }, nil)
	remote := client.peers["n0"]
	conn := dial(t, listener)
	go client.runConnection(ctx, remote, conn)
	for !client.Reachable("n0") {
		// Wait for the first hello.
	}
	if h := client.LivePeers(); len(h) != 1 || h[0].Term != 5 || !h[0].StateOK || client.Isolated() {
		t.Errorf("live peers %+v", h)
	}
	response, err := client.Call(ctx, "n0", Request{Verb: "status", Body: []byte("x")}, time.Second)
	if err != nil || response.Status != 200 || string(response.Body) != "status x" || response.RetryAfterS != 3 {
		t.Errorf("response %+v, error %v", response, err)
	}
	if _, err := client.Call(ctx, "n9", Request{}, time.Second); err == nil {
		t.Error("a request to an unknown peer was answered")
	}
}

// A peer that starts and then ends causes these observations, in this order: connection established, hello, connection
// reset, connection refused.
func TestConnectionOutcomesAreObserved(t *testing.T) {
	ctx := t.Context()
	listener := listen(t)
	clock := clockwork.NewFakeClock()
	self := func() Hello {
		return Hello{Member: "n0", StateOK: true, ReceivesHeartbeats: true, StartedMS: 17, HeardPeers: []string{"n1", "n2"}, Leaving: true}
	}
	serveCtx, stopServing := context.WithCancel(ctx)
	conns := make(chan net.Conn, 1)
	server := New(nil, clock, self, nil)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			conns <- conn
			server.serveConn(serveCtx, conn)
		}
	}()
	observations := make(chan membership.Observation, 64)
	network := New([]settings.Peer{{Member: "n0", Address: listener.Addr().String()}}, clock, func() Hello { return Hello{Member: "n1"} }, nil)
	network.OnObservation = func(o membership.Observation) { observations <- o }
	network.Run(ctx)
	want := func(w membership.Observation) {
		t.Helper()
		if got := <-observations; !reflect.DeepEqual(got, w) {
			t.Fatalf("observed %+v, want %+v", got, w)
		}
	}
	want(membership.Connection{To: "n0", Outcome: membership.Established})
	want(membership.Hello{From: "n0", StartedMS: 17, HeardPeers: []string{"n1", "n2"}, StateOK: true, ReceivesHeartbeats: true, Leaving: true})
	stopServing()
	requireClose(t, listener)
	requireClose(t, <-conns)
	want(membership.Connection{To: "n0", Outcome: membership.Reset})
	for {
		clock.Advance(tuning.PeerHelloInterval)
		select {
		case o := <-observations:
			if o != (membership.Connection{To: "n0", Outcome: membership.Refused}) {
				t.Fatalf("observed %+v, want a refused connection", o)
			}
			return
		default:
		}
	}
}

// fakeWatermarks answers every request with the same statement, and records the statements that are applied.
type fakeWatermarks struct {
	reply       watermark.Statement
	applied     chan time.Time
	lastApplied watermark.Statement
}

func (s *fakeWatermarks) Position(string) (uint64, uint64, bool) { return 3, 1, true }
func (s *fakeWatermarks) Statement(incarnation, afterSeq uint64) (watermark.Statement, bool) {
	s.reply.Incarnation, s.reply.From = incarnation, afterSeq
	return s.reply, true
}
func (s *fakeWatermarks) ApplyStatement(_ string, sent time.Time, w watermark.Statement) {
	s.lastApplied = w
	s.applied <- sent
}

// A watermark statement is applied with the time at which it was requested, however late it arrives. Unrequested and
// duplicate statements are ignored, and one with too many cancellations ends the connection.
func TestStatementIsAppliedAsOfItsRequest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	localConn, remoteConn := net.Pipe()
	t.Cleanup(func() { _ = remoteConn.Close() })
	network := New([]settings.Peer{{Member: "n1"}}, clock, func() Hello { return Hello{Member: "n0"} }, nil)
	watermarks := &fakeWatermarks{applied: make(chan time.Time, 4)}
	network.Watermarks = watermarks
	remoteNetwork := New(nil, clock, func() Hello { return Hello{Member: "n1"} }, nil)
	remoteNetwork.Watermarks = &fakeWatermarks{reply: watermark.Statement{To: 2, Latest: 5, Cancellations: []watermark.Cancellation{{Job: "run-1", Age: 1500 * time.Millisecond}}, Current: true, Age: 20*time.Millisecond + 1}}
	requestedAt := clock.Now()
	done := make(chan membership.ConnectionOutcome)
	go func() { done <- network.runConnection(t.Context(), network.peers["n1"], localConn) }()
	request, err := readFrame(remoteConn)
	if err != nil || request.seq == 0 || request.incarnation != 3 || request.statementFrom != 1 {
		t.Fatalf("statement request %+v, error %v", request, err)
	}
	clock.Advance(time.Second)
	reply := remoteNetwork.newHelloReply(request)
	unrequested := reply
	unrequested.seq += 7
	var mu sync.Mutex
	for _, message := range []frame{unrequested, reply, reply} {
		if err := writeFrame(remoteConn, &mu, message); err != nil {
			t.Fatal(err)
		}
	}
	if appliedAt := <-watermarks.applied; !appliedAt.Equal(requestedAt) {
		t.Errorf("applied with a time %v after the request", appliedAt.Sub(requestedAt))
	}
	want := watermark.Statement{Incarnation: 3, From: 1, To: 2, Latest: 5, Cancellations: []watermark.Cancellation{{Job: "run-1", Age: 1500 * time.Millisecond}}, Current: true, Age: 21 * time.Millisecond}
	if !reflect.DeepEqual(watermarks.lastApplied, want) {
		t.Errorf("applied %+v, want %+v", watermarks.lastApplied, want)
	}
	for range tuning.MaxStatementCancellations {
		reply.cancellations = append(reply.cancellations, watermark.Cancellation{Job: "run-1"})
	}
	reply.cancellations = append(reply.cancellations, reply.cancellations[0])
	if err := writeFrame(remoteConn, &mu, reply); err != nil {
		t.Fatal(err)
	}
	<-done
	if len(watermarks.applied) > 0 {
		t.Error("an unrequested or duplicate statement was applied")
	}
}
