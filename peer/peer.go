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

type sibling struct {
	settings.Peer
	// asked is when each question of this connection was sent that has no answer yet.
	asked map[uint64]time.Time
	conn  net.Conn
	wmu   sync.Mutex
	heard time.Time
	// sign is when it last gave any sign of life, as of Unresponsive; signs counts what
	// it said.
	sign  time.Time
	signs uint64
	// refused is when it last refused a connection: it is down or full, but
	// the way to it is open.
	refused time.Time
	hello   Hello
	seq     uint64
	waits   map[uint64]chan Response
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

	mu       sync.Mutex
	siblings map[string]*sibling
}

// New makes the back network's end.
func New(sibs []settings.Peer, clock clockwork.Clock, self func() Hello, handle Handler) *Network {
	n := &Network{clock: clock, self: self, handle: handle, Dial: (&net.Dialer{Timeout: tuning.PeerDead}).DialContext, siblings: map[string]*sibling{},
		OnObservation: func(membership.Observation) {}}
	for _, s := range sibs {
		n.siblings[s.Member] = &sibling{Peer: s, waits: map[uint64]chan Response{}}
	}
	return n
}

// LivePeers is what each sibling within reach last said of itself.
func (n *Network) LivePeers() []Hello {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Hello
	for _, s := range n.siblings {
		if !s.heard.IsZero() && n.clock.Since(s.heard) < tuning.PeerDead {
			out = append(out, s.hello)
		}
	}
	return out
}

// Isolated tells whether no sibling answers in any way, not even by refusing:
// then more likely our own network is at fault.
func (n *Network) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.siblings {
		last := s.heard
		if s.refused.After(last) {
			last = s.refused
		}
		if !last.IsZero() && n.clock.Since(last) < tuning.PeerDead+tuning.PeerHello {
			return false
		}
	}
	return len(n.siblings) > 0
}

// Unresponsive tells whether a sibling gives no sign of life at all: it answers nothing and
// refuses nothing, so that whoever tries it waits in vain.
func (n *Network) Unresponsive(member string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.siblings[member]
	return s != nil && n.clock.Since(s.sign) > tuning.PeerDead+tuning.PeerHello
}

// ReceivedCount is how often a sibling said anything.
func (n *Network) ReceivedCount(member string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.siblings[member]; s != nil {
		return s.signs
	}
	return 0
}

// Reachable tells whether a sibling answered lately.
func (n *Network) Reachable(member string) bool {
	for _, h := range n.LivePeers() {
		if h.Member == member {
			return true
		}
	}
	return false
}

// Serve accepts siblings.
func (n *Network) Serve(ctx context.Context, l net.Listener) error {
	go func() { <-ctx.Done(); l.Close() }()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			slog.Error("back port", "err", err)
			n.clock.Sleep(tuning.ElectRetry)
			continue
		}
		go n.serveConn(ctx, c)
	}
}

// serveConn answers one sibling. Whatever is not a frame closes this
// connection and nothing else.
func (n *Network) serveConn(ctx context.Context, c net.Conn) {
	defer c.Close()
	var wmu sync.Mutex
	rd := bufio.NewReader(c)
	for {
		f, err := readFrame(rd)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				slog.Debug("back port: closing a connection", "from", c.RemoteAddr(), "err", err)
			}
			return
		}
		switch f.kind {
		case wire.KindHello:
			if write(c, &wmu, n.answer(f)) != nil {
				return
			}
		case wire.KindRequest:
			go func() {
				a := n.handle(ctx, Request{f.verb, f.job, f.body, f.member})
				_ = write(c, &wmu, frame{kind: wire.KindReply, seq: f.seq, status: a.Status, body: a.Body, retry: a.RetryAfterS})
			}()
		}
	}
}

func (n *Network) helloFrame() frame {
	h := n.self()
	return frame{kind: wire.KindHello, member: h.Member, term: h.Term, stateOK: h.StateOK, pace: h.BenchmarkUS, hears: h.ReceivesHeartbeats,
		born: h.StartedMS, whom: h.HeardPeers, leaving: h.Leaving}
}

// answer greets back, and answers what a greeting asks.
func (n *Network) answer(f frame) frame {
	h := n.helloFrame()
	if f.seq == 0 || n.Watermarks == nil {
		return h
	}
	if s, ok := n.Watermarks.Statement(f.life, f.toldFrom); ok {
		h.seq, h.life, h.toldFrom, h.toldTo, h.toldLatest, h.told, h.knows, h.watermarkAge = f.seq, s.Incarnation, s.From, s.To, s.Latest, s.Cancellations, s.Current, s.Age
	}
	return h
}

// question greets a sibling, and asks it for word.
func (n *Network) question(s *sibling) frame {
	h := n.helloFrame()
	if n.Watermarks == nil {
		return h
	}
	life, have, ok := n.Watermarks.Position(s.Member)
	if !ok {
		return h
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(s.asked) == tuning.WatermarksAsked {
		// An older process answers none.
		clear(s.asked)
	}
	s.seq++
	h.seq, h.life, h.toldFrom = s.seq, life, have
	s.asked[s.seq] = n.clock.Now()
	return h
}

// Run keeps a connection to every sibling.
func (n *Network) Run(ctx context.Context) {
	for _, s := range n.siblings {
		go n.keep(ctx, s)
	}
}

func (n *Network) keep(ctx context.Context, s *sibling) {
	for ctx.Err() == nil {
		c, err := n.Dial(ctx, "tcp", s.Address)
		switch {
		case err == nil:
			n.OnObservation(membership.Connection{To: s.Member, Outcome: membership.Established})
			n.OnObservation(membership.Connection{To: s.Member, Outcome: n.talk(ctx, s, c)})
		case errors.Is(err, syscall.ECONNREFUSED):
			n.mu.Lock()
			s.refused = n.clock.Now()
			s.sign = s.refused
			n.mu.Unlock()
			n.OnObservation(membership.Connection{To: s.Member, Outcome: membership.Refused})
		case errors.Is(err, syscall.EMFILE), errors.Is(err, connlimit.ErrLimit):
			n.OnObservation(membership.Connection{To: s.Member, Outcome: membership.NoSocket})
		default:
			n.OnObservation(membership.Connection{To: s.Member, Outcome: membership.Hanging})
		}
		select {
		case <-ctx.Done():
		case <-n.clock.After(tuning.PeerHello):
		}
	}
}

// talk greets a sibling until the connection ends, and gives how it did.
func (n *Network) talk(ctx context.Context, s *sibling, c net.Conn) membership.Outcome {
	var silent atomic.Bool
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	n.mu.Lock()
	s.conn = c
	s.asked = map[uint64]time.Time{}
	n.mu.Unlock()
	go func() {
		defer c.Close()
		started := n.clock.Now()
		for {
			if write(c, &s.wmu, n.question(s)) != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-n.clock.After(tuning.PeerHello):
			}
			n.mu.Lock()
			last := s.heard
			n.mu.Unlock()
			if last.Before(started) {
				last = started
			}
			// A peer behind a cut says nothing and raises no error.
			if n.clock.Since(last) > tuning.PeerDead {
				silent.Store(true)
				return
			}
		}
	}()
	rd := bufio.NewReader(c)
	for {
		f, err := readFrame(rd)
		if err != nil {
			break
		}
		n.mu.Lock()
		s.heard = n.clock.Now()
		s.sign = s.heard
		s.signs++
		sent, asked := s.asked[f.seq]
		switch f.kind {
		case wire.KindHello:
			s.hello = Hello{s.Member, f.term, f.stateOK, f.pace, f.hears, f.born, f.whom, f.leaving}
			delete(s.asked, f.seq)
		case wire.KindReply:
			if w := s.waits[f.seq]; w != nil {
				w <- Response{f.status, f.body, f.retry}
				delete(s.waits, f.seq)
			}
		}
		n.mu.Unlock()
		if f.kind == wire.KindHello && f.seq != 0 {
			if asked {
				n.Watermarks.ApplyStatement(s.Member, sent, watermark.Statement{Incarnation: f.life, From: f.toldFrom, To: f.toldTo, Latest: f.toldLatest, Cancellations: f.told, Current: f.knows, Age: f.watermarkAge})
			} else {
				slog.Info("a sibling answers what it was not asked", "member", s.Member, "seq", f.seq)
			}
		}
		if f.kind == wire.KindHello {
			n.OnObservation(membership.Hello{From: s.Member, StartedMS: f.born, HeardPeers: f.whom, Leads: f.term > 0, StateOK: f.stateOK, ReceivesHeartbeats: f.hears, BenchmarkUS: f.pace, Leaving: f.leaving})
		}
	}
	c.Close()
	n.mu.Lock()
	s.conn = nil
	s.heard = time.Time{}
	for seq, w := range s.waits {
		close(w)
		delete(s.waits, seq)
	}
	n.mu.Unlock()
	if silent.Load() || ctx.Err() != nil {
		return membership.Hanging
	}
	return membership.Reset
}

// Ask passes a request to a sibling, and a greeting with it, which is answered at once.
// One that gives no sign within patience is silent; one that does is only busy, and is
// waited for.
func (n *Network) Ask(ctx context.Context, member string, r Request, patience time.Duration) (Response, error) {
	n.mu.Lock()
	s := n.siblings[member]
	if s == nil || s.conn == nil || n.clock.Since(s.heard) > tuning.PeerDead {
		n.mu.Unlock()
		return Response{}, ErrUnreachable
	}
	s.seq++
	seq, c, signs := s.seq, s.conn, s.signs
	wait := make(chan Response, 1)
	s.waits[seq] = wait
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(s.waits, seq)
		n.mu.Unlock()
	}()
	if err := write(c, &s.wmu, n.helloFrame()); err != nil {
		return Response{}, ErrUnreachable
	}
	if err := write(c, &s.wmu, frame{kind: wire.KindRequest, seq: seq, member: r.From, verb: r.Verb, job: r.Job, body: r.Body}); err != nil {
		return Response{}, ErrUnreachable
	}
	silent, over := n.clock.After(min(patience, tuning.PeerTimeout)), n.clock.After(tuning.PeerTimeout)
	for {
		select {
		case a, ok := <-wait:
			if !ok {
				return Response{}, ErrUnreachable
			}
			return a, nil
		case <-silent:
			n.mu.Lock()
			alive := s.signs > signs
			n.mu.Unlock()
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
	kind      wire.Kind
	seq, term uint64
	member    string
	stateOK   bool
	verb, job string
	body      []byte
	status    int
	retry     int
	pace      uint32
	hears     bool
	born      uint64
	whom      []string
	leaving   bool

	life, toldFrom, toldTo, toldLatest uint64
	told                               []watermark.Cancellation
	knows                              bool
	watermarkAge                       time.Duration
}

// ms is a duration in whole milliseconds; what does not fit is the most that does.
func ms(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func encode(f frame) []byte {
	b := flatbuffers.NewBuilder(256 + len(f.body))
	text := func(s string) flatbuffers.UOffsetT {
		if s == "" {
			return 0
		}
		return b.CreateString(s)
	}
	member, verb, job := text(f.member), text(f.verb), text(f.job)
	var body flatbuffers.UOffsetT
	if len(f.body) > 0 {
		body = b.CreateByteVector(f.body)
	}
	var whom flatbuffers.UOffsetT
	if len(f.whom) > 0 {
		var names []flatbuffers.UOffsetT
		for _, m := range f.whom {
			names = append(names, b.CreateString(m))
		}
		whom = b.CreateVectorOfTables(names)
	}
	var told flatbuffers.UOffsetT
	if len(f.told) > 0 {
		var all []flatbuffers.UOffsetT
		for _, t := range f.told {
			job := b.CreateString(t.Job)
			wire.ToldStart(b)
			wire.ToldAddJob(b, job)
			wire.ToldAddAgeMs(b, ms(t.Age))
			all = append(all, wire.ToldEnd(b))
		}
		told = b.CreateVectorOfTables(all)
	}
	wire.FrameStart(b)
	wire.FrameAddKind(b, f.kind)
	wire.FrameAddSeq(b, f.seq)
	wire.FrameAddMember(b, member)
	wire.FrameAddTerm(b, f.term)
	wire.FrameAddStateOk(b, f.stateOK)
	wire.FrameAddVerb(b, verb)
	wire.FrameAddJob(b, job)
	wire.FrameAddBody(b, body)
	wire.FrameAddStatus(b, uint16(f.status))
	wire.FrameAddRetryAfterS(b, uint16(f.retry))
	wire.FrameAddPaceUs(b, f.pace)
	wire.FrameAddHearsWorkers(b, f.hears)
	wire.FrameAddBornMs(b, f.born)
	wire.FrameAddHears(b, whom)
	wire.FrameAddLeaving(b, f.leaving)
	wire.FrameAddLife(b, f.life)
	wire.FrameAddToldFrom(b, f.toldFrom)
	wire.FrameAddToldTo(b, f.toldTo)
	wire.FrameAddToldLatest(b, f.toldLatest)
	wire.FrameAddTold(b, told)
	wire.FrameAddKnows(b, f.knows)
	// Rounded up: what is said is known is never more than what is.
	wire.FrameAddWordAgeMs(b, ms(f.watermarkAge+time.Millisecond-1))
	b.FinishSizePrefixed(wire.FrameEnd(b))
	return b.FinishedBytes()
}

func write(c net.Conn, mu *sync.Mutex, f frame) error {
	raw := encode(f)
	mu.Lock()
	defer mu.Unlock()
	if err := c.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout)); err != nil {
		return err
	}
	_, err := c.Write(raw)
	return err
}

// readFrame reads one frame. FlatBuffers for Go has no verifier: a damaged
// frame shows as a panic of its accessors, which ends up as an error here.
func readFrame(rd io.Reader) (f frame, err error) {
	var head [4]byte
	if _, err := io.ReadFull(rd, head[:]); err != nil {
		return f, err
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < 8 || size > tuning.FrameLimit {
		return f, fmt.Errorf("frame of %d bytes", size)
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(rd, raw); err != nil {
		return f, err
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("damaged frame: %v", p)
		}
	}()
	w := wire.GetRootAsFrame(raw, 0)
	f = frame{kind: w.Kind(), seq: w.Seq(), term: w.Term(), member: string(w.Member()), stateOK: w.StateOk(),
		verb: string(w.Verb()), job: string(w.Job()), body: w.BodyBytes(), status: int(w.Status()), retry: int(w.RetryAfterS()), pace: w.PaceUs(), hears: w.HearsWorkers(),
		born: w.BornMs(), leaving: w.Leaving()}
	for i := range min(w.HearsLength(), tuning.FrameMembers) {
		f.whom = append(f.whom, string(w.Hears(i)))
	}
	f.life, f.toldFrom, f.toldTo, f.toldLatest, f.knows = w.Life(), w.ToldFrom(), w.ToldTo(), w.ToldLatest(), w.Knows()
	f.watermarkAge = time.Duration(w.WordAgeMs()) * time.Millisecond
	if w.ToldLength() > tuning.CancellationsAtOnce {
		return f, fmt.Errorf("%d cancellations", w.ToldLength())
	}
	for i := range w.ToldLength() {
		var t wire.Told
		if w.Told(&t, i) {
			f.told = append(f.told, watermark.Cancellation{Job: string(t.Job()), Age: time.Duration(t.AgeMs()) * time.Millisecond})
		}
	}
	if f.kind > wire.KindReply {
		return f, fmt.Errorf("unknown kind %d", f.kind)
	}
	return f, nil
}
