// Package peer is the back port: controllers greet each other and pass users'
// requests to the leader, in FlatBuffers frames with a length before each.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"
	"github.com/jonboulle/clockwork"

	"switchferry/connlimit"
	"switchferry/membership"
	"switchferry/peer/wire"
	"switchferry/settings"
	"switchferry/tuning"
	"switchferry/watermark"
)

// Request is what a user asked of a sibling. Response is what to say.
type Request struct {
	Verb string
	Job  string
	Body []byte
	// From is the member that passes the request on.
	From string
}

// Response goes back to the user.
type Response struct {
	Status      int
	Body        []byte
	RetryAfterS int
}

// Hello is what a controller says of itself.
type Hello struct {
	Member  string
	Term    uint64
	StateOK bool
	// BenchmarkUS is how long a fixed piece of work takes it, in microseconds; 0: it
	// does not say.
	BenchmarkUS uint32
	// ReceivesHeartbeats: a worker reported to it a moment ago. That two controllers
	// reach each other does not show that workers reach both.
	ReceivesHeartbeats bool
	// StartedMS is when its process began, by its own time of day, HeardPeers whom it hears, and Leaving
	// that it leaves by plan. All are said only with membership on.
	StartedMS  uint64
	HeardPeers []string
	Leaving    bool
}

// ErrUnreachable means: the request may or may not have been handled.
var ErrUnreachable = errors.New("sibling out of reach")

// ErrBusy means: the sibling is there, but has not answered in time.
var ErrBusy = errors.New("sibling is busy")

// Handler serves a sibling's requests.
type Handler func(ctx context.Context, r Request) Response

// Watermarks is what this controller knows of cancellations. False: older processes may be there, to which
// nothing is said that they did not always hear.
type Watermarks interface {
	Position(member string) (life, have uint64, ok bool)
	Statement(life, have uint64) (watermark.Statement, bool)
	ApplyStatement(member string, sent time.Time, s watermark.Statement)
}

type remotePeer struct {
	settings.Peer
	// questionTimes is when each question of this connection was sent that has no answer yet.
	questionTimes map[uint64]time.Time
	conn          net.Conn
	writeMutex    sync.Mutex
	lastFrame     time.Time
	// lastActivity is when it last gave any sign of life, as of Unresponsive; receivedFrames counts what
	// it said.
	lastActivity   time.Time
	receivedFrames uint64
	// lastRefusal is when it last refused a connection: it is down or full, but
	// the way to it is open.
	lastRefusal     time.Time
	hello           Hello
	lastSeq         uint64
	pendingRequests map[uint64]chan Response
}

// Network is this controller's end of the back network.
type Network struct {
	clock  clockwork.Clock
	self   func() Hello
	handle Handler
	// Dial opens connections to siblings; it may be replaced before Run.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// OnObservation is told of all that is seen of siblings; it may be replaced before Run and must not
	// block.
	OnObservation func(membership.Observation)
	// Watermarks is nil, or set before Run.
	Watermarks Watermarks

	mu    sync.Mutex
	peers map[string]*remotePeer
}

// New makes the back network's end.
func New(peers []settings.Peer, clock clockwork.Clock, self func() Hello, handle Handler) *Network {
	n := &Network{clock: clock, self: self, handle: handle, Dial: (&net.Dialer{Timeout: tuning.PeerDead}).DialContext, peers: map[string]*remotePeer{},
		OnObservation: func(membership.Observation) {}}
	for _, s := range peers {
		n.peers[s.Member] = &remotePeer{Peer: s, pendingRequests: map[uint64]chan Response{}}
	}
	return n
}

// LivePeers is what each sibling within reach last said of itself.
func (network *Network) LivePeers() []Hello {
	network.mu.Lock()
	defer network.mu.Unlock()
	var out []Hello
	for _, remote := range network.peers {
		if !remote.lastFrame.IsZero() && network.clock.Since(remote.lastFrame) < tuning.PeerDead {
			out = append(out, remote.hello)
		}
	}
	return out
}

// Isolated tells whether no sibling answers in any way, not even by refusing:
// then more likely our own network is at fault.
func (network *Network) Isolated() bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, remote := range network.peers {
		last := remote.lastFrame
		if remote.lastRefusal.After(last) {
			last = remote.lastRefusal
		}
		if !last.IsZero() && network.clock.Since(last) < tuning.PeerDead+tuning.PeerHello {
			return false
		}
	}
	return len(network.peers) > 0
}

// Unresponsive tells whether a sibling gives no sign of life at all: it answers nothing and
// refuses nothing, so that whoever tries it waits in vain.
func (network *Network) Unresponsive(member string) bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote := network.peers[member]
	return remote != nil && network.clock.Since(remote.lastActivity) > tuning.PeerDead+tuning.PeerHello
}

// ReceivedCount is how often a sibling said anything.
func (network *Network) ReceivedCount(member string) uint64 {
	network.mu.Lock()
	defer network.mu.Unlock()
	if remote := network.peers[member]; remote != nil {
		return remote.receivedFrames
	}
	return 0
}

// Reachable tells whether a sibling answered lately.
func (network *Network) Reachable(member string) bool {
	for _, hello := range network.LivePeers() {
		if hello.Member == member {
			return true
		}
	}
	return false
}

// Serve accepts siblings.
func (network *Network) Serve(ctx context.Context, listener net.Listener) error {
	go func() { <-ctx.Done(); listener.Close() }()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			slog.Error("back port", "err", err)
			network.clock.Sleep(tuning.ElectRetry)
			continue
		}
		go network.serveConn(ctx, conn)
	}
}

// serveConn answers one sibling. Whatever is not a frame closes this
// connection and nothing else.
func (network *Network) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	var writeMutex sync.Mutex
	reader := bufio.NewReader(conn)
	for {
		message, err := readFrame(reader)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				slog.Debug("back port: closing a connection", "from", conn.RemoteAddr(), "err", err)
			}
			return
		}
		switch message.kind {
		case wire.KindHello:
			if writeFrame(conn, &writeMutex, network.newHelloReply(message)) != nil {
				return
			}
		case wire.KindRequest:
			go func() {
				response := network.handle(ctx, Request{message.verb, message.job, message.body, message.member})
				_ = writeFrame(conn, &writeMutex, frame{kind: wire.KindReply, seq: message.seq, status: response.Status, body: response.Body, retryAfterS: response.RetryAfterS})
			}()
		}
	}
}

func (network *Network) newHello() frame {
	hello := network.self()
	return frame{kind: wire.KindHello, member: hello.Member, term: hello.Term, stateOK: hello.StateOK, benchmarkUS: hello.BenchmarkUS, receivesHeartbeats: hello.ReceivesHeartbeats,
		startedMS: hello.StartedMS, heardPeers: hello.HeardPeers, leaving: hello.Leaving}
}

// newHelloReply greets back, and answers what a greeting asks.
func (network *Network) newHelloReply(message frame) frame {
	hello := network.newHello()
	if message.seq == 0 || network.Watermarks == nil {
		return hello
	}
	if s, ok := network.Watermarks.Statement(message.incarnation, message.watermarkFrom); ok {
		hello.seq, hello.incarnation, hello.watermarkFrom, hello.watermarkTo, hello.watermarkLatest, hello.cancellations, hello.watermarkCurrent, hello.watermarkAge = message.seq, s.Incarnation, s.From, s.To, s.Latest, s.Cancellations, s.Current, s.Age
	}
	return hello
}

// newHelloQuestion greets a sibling, and asks it for word.
func (network *Network) newHelloQuestion(remote *remotePeer) frame {
	hello := network.newHello()
	if network.Watermarks == nil {
		return hello
	}
	incarnation, have, ok := network.Watermarks.Position(remote.Member)
	if !ok {
		return hello
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	if len(remote.questionTimes) == tuning.WatermarksAsked {
		// An older process answers none.
		clear(remote.questionTimes)
	}
	remote.lastSeq++
	hello.seq, hello.incarnation, hello.watermarkFrom = remote.lastSeq, incarnation, have
	remote.questionTimes[remote.lastSeq] = network.clock.Now()
	return hello
}

// Run keeps a connection to every sibling.
func (network *Network) Run(ctx context.Context) {
	for _, remote := range network.peers {
		go network.maintainConnection(ctx, remote)
	}
}

func (network *Network) maintainConnection(ctx context.Context, remote *remotePeer) {
	for ctx.Err() == nil {
		conn, err := network.Dial(ctx, "tcp", remote.Address)
		switch {
		case err == nil:
			network.OnObservation(membership.Connection{To: remote.Member, Outcome: membership.Established})
			network.OnObservation(membership.Connection{To: remote.Member, Outcome: network.runConnection(ctx, remote, conn)})
		case errors.Is(err, syscall.ECONNREFUSED):
			network.mu.Lock()
			remote.lastRefusal = network.clock.Now()
			remote.lastActivity = remote.lastRefusal
			network.mu.Unlock()
			network.OnObservation(membership.Connection{To: remote.Member, Outcome: membership.Refused})
		case errors.Is(err, syscall.EMFILE), errors.Is(err, connlimit.ErrLimit):
			network.OnObservation(membership.Connection{To: remote.Member, Outcome: membership.NoSocket})
		default:
			network.OnObservation(membership.Connection{To: remote.Member, Outcome: membership.Hanging})
		}
		select {
		case <-ctx.Done():
		case <-network.clock.After(tuning.PeerHello):
		}
	}
}

// runConnection greets a sibling until the connection ends, and gives how it did.
func (network *Network) runConnection(ctx context.Context, remote *remotePeer, conn net.Conn) membership.Outcome {
	var silent atomic.Bool
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	network.mu.Lock()
	remote.conn = conn
	remote.questionTimes = map[uint64]time.Time{}
	network.mu.Unlock()
	go func() {
		defer conn.Close()
		started := network.clock.Now()
		for {
			if writeFrame(conn, &remote.writeMutex, network.newHelloQuestion(remote)) != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-network.clock.After(tuning.PeerHello):
			}
			network.mu.Lock()
			last := remote.lastFrame
			network.mu.Unlock()
			if last.Before(started) {
				last = started
			}
			// A peer behind a cut says nothing and raises no error.
			if network.clock.Since(last) > tuning.PeerDead {
				silent.Store(true)
				return
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		message, err := readFrame(reader)
		if err != nil {
			break
		}
		network.mu.Lock()
		remote.lastFrame = network.clock.Now()
		remote.lastActivity = remote.lastFrame
		remote.receivedFrames++
		sent, asked := remote.questionTimes[message.seq]
		switch message.kind {
		case wire.KindHello:
			remote.hello = Hello{remote.Member, message.term, message.stateOK, message.benchmarkUS, message.receivesHeartbeats, message.startedMS, message.heardPeers, message.leaving}
			delete(remote.questionTimes, message.seq)
		case wire.KindReply:
			if waiter := remote.pendingRequests[message.seq]; waiter != nil {
				waiter <- Response{message.status, message.body, message.retryAfterS}
				delete(remote.pendingRequests, message.seq)
			}
		}
		network.mu.Unlock()
		if message.kind == wire.KindHello && message.seq != 0 {
			if asked {
				network.Watermarks.ApplyStatement(remote.Member, sent, watermark.Statement{Incarnation: message.incarnation, From: message.watermarkFrom, To: message.watermarkTo, Latest: message.watermarkLatest, Cancellations: message.cancellations, Current: message.watermarkCurrent, Age: message.watermarkAge})
			} else {
				slog.Info("a sibling answers what it was not asked", "member", remote.Member, "seq", message.seq)
			}
		}
		if message.kind == wire.KindHello {
			network.OnObservation(membership.Hello{From: remote.Member, StartedMS: message.startedMS, HeardPeers: message.heardPeers, Leads: message.term > 0, StateOK: message.stateOK, ReceivesHeartbeats: message.receivesHeartbeats, BenchmarkUS: message.benchmarkUS, Leaving: message.leaving})
		}
	}
	conn.Close()
	network.mu.Lock()
	remote.conn = nil
	remote.lastFrame = time.Time{}
	for seq, waiter := range remote.pendingRequests {
		close(waiter)
		delete(remote.pendingRequests, seq)
	}
	network.mu.Unlock()
	if silent.Load() || ctx.Err() != nil {
		return membership.Hanging
	}
	return membership.Reset
}

// Ask passes a request to a sibling, and a greeting with it, which is answered at once.
// One that gives no sign within patience is silent; one that does is only busy, and is
// waited for.
func (network *Network) Ask(ctx context.Context, member string, request Request, patience time.Duration) (Response, error) {
	network.mu.Lock()
	remote := network.peers[member]
	if remote == nil || remote.conn == nil || network.clock.Since(remote.lastFrame) > tuning.PeerDead {
		network.mu.Unlock()
		return Response{}, ErrUnreachable
	}
	remote.lastSeq++
	seq, conn, signs := remote.lastSeq, remote.conn, remote.receivedFrames
	wait := make(chan Response, 1)
	remote.pendingRequests[seq] = wait
	network.mu.Unlock()
	defer func() {
		network.mu.Lock()
		delete(remote.pendingRequests, seq)
		network.mu.Unlock()
	}()
	if err := writeFrame(conn, &remote.writeMutex, network.newHello()); err != nil {
		return Response{}, ErrUnreachable
	}
	if err := writeFrame(conn, &remote.writeMutex, frame{kind: wire.KindRequest, seq: seq, member: request.From, verb: request.Verb, job: request.Job, body: request.Body}); err != nil {
		return Response{}, ErrUnreachable
	}
	silent, over := network.clock.After(min(patience, tuning.PeerTimeout)), network.clock.After(tuning.PeerTimeout)
	for {
		select {
		case response, ok := <-wait:
			if !ok {
				return Response{}, ErrUnreachable
			}
			return response, nil
		case <-silent:
			network.mu.Lock()
			alive := remote.receivedFrames > signs
			network.mu.Unlock()
			if !alive {
				return Response{}, ErrUnreachable
			}
			silent = nil
		case <-over:
			return Response{}, ErrBusy
		case <-ctx.Done():
			return Response{}, ErrUnreachable
		}
	}
}

// frame is a decoded wire.Frame.
type frame struct {
	kind               wire.Kind
	seq, term          uint64
	member             string
	stateOK            bool
	verb, job          string
	body               []byte
	status             int
	retryAfterS        int
	benchmarkUS        uint32
	receivesHeartbeats bool
	startedMS          uint64
	heardPeers         []string
	leaving            bool

	incarnation, watermarkFrom, watermarkTo, watermarkLatest uint64
	cancellations                                            []watermark.Cancellation
	watermarkCurrent                                         bool
	watermarkAge                                             time.Duration
}

// clampedMilliseconds is a duration in whole milliseconds; what does not fit is the most that does.
func clampedMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func encodeFrame(message frame) []byte {
	builder := flatbuffers.NewBuilder(256 + len(message.body))
	text := func(s string) flatbuffers.UOffsetT {
		if s == "" {
			return 0
		}
		return builder.CreateString(s)
	}
	member, verb, job := text(message.member), text(message.verb), text(message.job)
	var body flatbuffers.UOffsetT
	if len(message.body) > 0 {
		body = builder.CreateByteVector(message.body)
	}
	var whom flatbuffers.UOffsetT
	if len(message.heardPeers) > 0 {
		var names []flatbuffers.UOffsetT
		for _, m := range message.heardPeers {
			names = append(names, builder.CreateString(m))
		}
		whom = builder.CreateVectorOfTables(names)
	}
	var told flatbuffers.UOffsetT
	if len(message.cancellations) > 0 {
		var all []flatbuffers.UOffsetT
		for _, cancellation := range message.cancellations {
			job := builder.CreateString(cancellation.Job)
			wire.ToldStart(builder)
			wire.ToldAddJob(builder, job)
			wire.ToldAddAgeMs(builder, clampedMilliseconds(cancellation.Age))
			all = append(all, wire.ToldEnd(builder))
		}
		told = builder.CreateVectorOfTables(all)
	}
	wire.FrameStart(builder)
	wire.FrameAddKind(builder, message.kind)
	wire.FrameAddSeq(builder, message.seq)
	wire.FrameAddMember(builder, member)
	wire.FrameAddTerm(builder, message.term)
	wire.FrameAddStateOk(builder, message.stateOK)
	wire.FrameAddVerb(builder, verb)
	wire.FrameAddJob(builder, job)
	wire.FrameAddBody(builder, body)
	wire.FrameAddStatus(builder, uint16(message.status))
	wire.FrameAddRetryAfterS(builder, uint16(message.retryAfterS))
	wire.FrameAddPaceUs(builder, message.benchmarkUS)
	wire.FrameAddHearsWorkers(builder, message.receivesHeartbeats)
	wire.FrameAddBornMs(builder, message.startedMS)
	wire.FrameAddHears(builder, whom)
	wire.FrameAddLeaving(builder, message.leaving)
	wire.FrameAddLife(builder, message.incarnation)
	wire.FrameAddToldFrom(builder, message.watermarkFrom)
	wire.FrameAddToldTo(builder, message.watermarkTo)
	wire.FrameAddToldLatest(builder, message.watermarkLatest)
	wire.FrameAddTold(builder, told)
	wire.FrameAddKnows(builder, message.watermarkCurrent)
	// Rounded up: what is said is known is never more than what is.
	wire.FrameAddWordAgeMs(builder, clampedMilliseconds(message.watermarkAge+time.Millisecond-1))
	builder.FinishSizePrefixed(wire.FrameEnd(builder))
	return builder.FinishedBytes()
}

func writeFrame(conn net.Conn, mu *sync.Mutex, message frame) error {
	raw := encodeFrame(message)
	mu.Lock()
	defer mu.Unlock()
	if err := conn.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(raw)
	return err
}

// readFrame reads one frame. FlatBuffers for Go has no verifier: a damaged
// frame shows as a panic of its accessors, which ends up as an error here.
func readFrame(reader io.Reader) (message frame, err error) {
	var head [4]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return message, err
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < 8 || size > tuning.FrameLimit {
		return message, fmt.Errorf("frame of %d bytes", size)
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(reader, raw); err != nil {
		return message, err
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("damaged frame: %v", p)
		}
	}()
	encoded := wire.GetRootAsFrame(raw, 0)
	message = frame{kind: encoded.Kind(), seq: encoded.Seq(), term: encoded.Term(), member: string(encoded.Member()), stateOK: encoded.StateOk(),
		verb: string(encoded.Verb()), job: string(encoded.Job()), body: encoded.BodyBytes(), status: int(encoded.Status()), retryAfterS: int(encoded.RetryAfterS()), benchmarkUS: encoded.PaceUs(), receivesHeartbeats: encoded.HearsWorkers(),
		startedMS: encoded.BornMs(), leaving: encoded.Leaving()}
	for i := range min(encoded.HearsLength(), tuning.FrameMembers) {
		message.heardPeers = append(message.heardPeers, string(encoded.Hears(i)))
	}
	message.incarnation, message.watermarkFrom, message.watermarkTo, message.watermarkLatest, message.watermarkCurrent = encoded.Life(), encoded.ToldFrom(), encoded.ToldTo(), encoded.ToldLatest(), encoded.Knows()
	message.watermarkAge = time.Duration(encoded.WordAgeMs()) * time.Millisecond
	if encoded.ToldLength() > tuning.CancellationsAtOnce {
		return message, fmt.Errorf("%d cancellations", encoded.ToldLength())
	}
	for i := range encoded.ToldLength() {
		var told wire.Told
		if encoded.Told(&told, i) {
			message.cancellations = append(message.cancellations, watermark.Cancellation{Job: string(told.Job()), Age: time.Duration(told.AgeMs()) * time.Millisecond})
		}
	}
	if message.kind > wire.KindReply {
		return message, fmt.Errorf("unknown kind %d", message.kind)
	}
	return message, nil
}
