// Package peer connects the controllers with each other. Over one TCP connection in each direction,
// in FlatBuffers frames with a length before each, they exchange greetings, statements about
// cancellations, and requests of users that another controller passes on to the leader.
//
// The layout of a frame is in peer.fbs, its generated code in peer/wire. Names of the wire stand
// only there and in encode.go and decode.go.
package peer

import (
	"context"
	"errors"
	"time"

	"switchferry/watermark"
)

// Request is a request that one controller passes on to another.
type Request struct {
	// Verb says what is asked for. The verbs are those of package controller.
	Verb string
	// Job is the id of the job, or of another object, that the request is about; it may be empty.
	Job string
	// Body is the request's body; it may be empty.
	Body []byte
	// From is the member that passes the request on.
	From string
}

// Response is the answer to a Request, in the terms of HTTP.
type Response struct {
	Status int
	Body   []byte
	// RetryAfterS is the pause in seconds before the request should be sent again; 0 means not said.
	RetryAfterS int
}

// Hello is the state that a controller announces in its greetings.
type Hello struct {
	Member string
	// Term is the term that the member leads, or 0.
	Term uint64
	// StateOK tells that the state service answered the member lately.
	StateOK bool
	// BenchmarkUS is the time in microseconds that a fixed piece of work takes the member; 0 means not measured.
	BenchmarkUS uint32
	// ReceivesHeartbeats tells that a worker reported to the member itself a moment ago. Controllers that
	// reach each other may still not both be reached by workers.
	ReceivesHeartbeats bool
	// StartedMS is the start of the member's process, in milliseconds of its own time of day. Like
	// HeardPeers and Leaving, it is announced only if the membership feature is on.
	StartedMS uint64
	// HeardPeers lists the members whose greetings the member receives.
	HeardPeers []string
	// Leaving tells that the member is shutting down gracefully.
	Leaving bool
}

// ErrUnreachable tells that a peer gave no answer. It may or may not have handled the request.
var ErrUnreachable = errors.New("peer unreachable")

// ErrBusy tells that a peer is alive but has not answered in time. It may or may not have handled the
// request, or may handle it later.
var ErrBusy = errors.New("peer busy")

// Handler handles the requests that peers pass on. It is called concurrently; its context ends with
// that of Network.Serve.
type Handler func(ctx context.Context, request Request) Response

// Watermarks is this controller's record of cancellations, its own and those of its peers. Its methods
// are called concurrently, and never while a lock of the Network is held.
type Watermarks interface {
	// Position returns the incarnation of the member that its last statement came from, and how far
	// that was; ok is false while a member of an older version may be there, which is asked nothing.
	Position(member string) (incarnation, have uint64, ok bool)
	// Statement returns what this controller says to a peer that is at the given position; ok is false
	// while it says nothing.
	Statement(incarnation, have uint64) (statement watermark.Statement, ok bool)
	// ApplyStatement takes in the statement of a member that was asked for it at the time sent, on the
	// clock of the Network.
	ApplyStatement(member string, sent time.Time, statement watermark.Statement)
}
