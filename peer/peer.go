// Package peer implements the protocol between controllers. Each controller opens one TCP connection to every other
// one. Over these connections they exchange hellos, watermark statements about cancellations (package watermark) and
// user requests that are forwarded to the leader, as FlatBuffers frames with a length prefix.
//
// The schema of a frame is in peer.fbs, and the code generated from it in peer/wire. Only these and encode.go and
// decode.go use the field names of the wire format.
package peer

import (
	"context"
	"errors"
	"time"

	"switchferry/watermark"
)

// Request is a request that one controller forwards to another.
type Request struct {
	// Verb is the operation that is requested. Package controller defines the verbs.
	Verb string
	// Job is the ID of the job or other object that the request refers to. It may be empty.
	Job string
	// Body is the body of the request. It may be empty.
	Body []byte
	// From is the member that forwards the request.
	From string
}

// Response is the response to a Request, with the fields of an HTTP response.
type Response struct {
	Status int
	Body   []byte
	// RetryAfterS is the time in seconds after which the request should be retried, or 0 if not specified.
	RetryAfterS int
}

// Hello is the state that a controller announces to its peers at regular intervals.
type Hello struct {
	Member string
	// Term is the leadership term of the member if it is the leader, otherwise 0.
	Term uint64
	// StateOK is true if the state service recently responded to the member.
	StateOK bool
	// BenchmarkUS is the time in microseconds that the member takes for a fixed benchmark, or 0 if not measured.
	BenchmarkUS uint32
	// ReceivesHeartbeats is true if the member recently received a heartbeat from a worker directly. Workers may
	// be able to reach only one of two controllers that reach each other.
	ReceivesHeartbeats bool
	// StartedMS is the start time of the member's process, in milliseconds on the member's own clock. Like
	// HeardPeers and Leaving, it is announced only if the membership feature is enabled.
	StartedMS uint64
	// HeardPeers lists the members whose hellos the member receives.
	HeardPeers []string
	// Leaving is true if the member is shutting down gracefully.
	Leaving bool
}

// ErrUnreachable means that a peer did not respond. The peer may or may not have handled the request.
var ErrUnreachable = errors.New("peer unreachable")

// ErrBusy means that a peer is alive but did not reply in time. The peer may have handled the request, or may still
// handle it later.
var ErrBusy = errors.New("peer busy")

// Handler handles the requests that peers forward. It is called concurrently. Its context is that of Network.Serve.
type Handler func(ctx context.Context, request Request) Response

// Watermarks is this controller's record of cancellations, its own and those of its peers. Its methods are called
// concurrently, and never while Network.mu is held.
type Watermarks interface {
	// Position returns the incarnation of the member at its last statement and the sequence number up to which its
	// cancellations were received. If ok is false, the member may run an older version, and no statement is
	// requested from it.
	Position(member string) (incarnation, afterSeq uint64, ok bool)
	// Statement returns this controller's statement for a peer that has its cancellations up to the sequence number
	// afterSeq of the given incarnation. If ok is false, there is no statement to send.
	Statement(incarnation, afterSeq uint64) (statement watermark.Statement, ok bool)
	// ApplyStatement applies the statement of a member. The parameter sent is when the statement was requested,
	// on the clock of the Network.
	ApplyStatement(member string, sent time.Time, statement watermark.Statement)
}
