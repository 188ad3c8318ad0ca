package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"switchferry/peer/wire"
	"switchferry/tuning"
)

// pendingRequest is a request that was sent to a peer and has no reply yet.
type pendingRequest struct {
	remote *remotePeer
	conn   net.Conn
	seq    uint64
	reply  <-chan Response
	// receivedBefore is the number of frames received from the peer before the request was sent.
	receivedBefore uint64
}

// Call forwards a request to a peer and waits at most tuning.PeerTimeout for the reply. It sends a hello before the
// request, which a live peer answers at once. A peer from which no frame arrives within livenessTimeout counts as
// unreachable. If a frame arrives but no reply, the peer is busy, and Call continues to wait.
//
// The error matches ErrUnreachable or ErrBusy.
func (network *Network) Call(ctx context.Context, member string, request Request, livenessTimeout time.Duration) (Response, error) {
	pending, ok := network.beginRequest(member)
	if !ok {
		return Response{}, fmt.Errorf("%w: no connection to %q", ErrUnreachable, member)
	}
	defer network.endRequest(pending)
	for _, message := range []frame{network.newHello(), requestFrame(pending.seq, request)} {
		if err := writeFrame(pending.conn, &pending.remote.writeMutex, message); err != nil {
			return Response{}, fmt.Errorf("%w: sending a request to %s: %w", ErrUnreachable, member, err)
		}
	}
	return network.awaitReply(ctx, pending, livenessTimeout)
}

// beginRequest registers a request to a peer. It returns false if no connection to the peer is alive.
func (network *Network) beginRequest(member string) (pendingRequest, bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote := network.peers[member]
	if remote == nil || remote.conn == nil || network.clock.Since(remote.lastFrameAt) > tuning.PeerSilenceTimeout {
		return pendingRequest{}, false
	}
	remote.lastSeq++
	reply := make(chan Response, 1) // The goroutine that receives frames must not block.
	remote.pendingRequests[remote.lastSeq] = reply
	return pendingRequest{remote, remote.conn, remote.lastSeq, reply, remote.receivedFrames}, true
}

// endRequest unregisters a request. A reply that arrives later is ignored.
func (network *Network) endRequest(pending pendingRequest) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(pending.remote.pendingRequests, pending.seq)
}

// requestFrame returns the frame of a request.
func requestFrame(seq uint64, request Request) frame {
	return frame{
		kind: wire.KindRequest, seq: seq,
		member: request.From, verb: request.Verb, job: request.Job, body: request.Body,
	}
}

// awaitReply waits for the reply to a request that was sent. Call documents the time limits and errors.
func (network *Network) awaitReply(ctx context.Context, pending pendingRequest, livenessTimeout time.Duration) (Response, error) {
	member := pending.remote.Member
	livenessTimer := network.clock.After(min(livenessTimeout, tuning.PeerTimeout))
	timeout := network.clock.After(tuning.PeerTimeout)
	for {
		select {
		case response, ok := <-pending.reply:
			if !ok {
				return Response{}, fmt.Errorf("%w: the connection to %s ended", ErrUnreachable, member)
			}
			return response, nil
		case <-livenessTimer:
			if network.ReceivedFrames(member) == pending.receivedBefore {
				return Response{}, fmt.Errorf("%w: %s sent no frame since the request", ErrUnreachable, member)
			}
			livenessTimer = nil
		case <-timeout:
			return Response{}, fmt.Errorf("%w: no reply from %s within %v", ErrBusy, member, tuning.PeerTimeout)
		case <-ctx.Done():
			return Response{}, fmt.Errorf("%w: waiting for %s: %w", ErrUnreachable, member, ctx.Err())
		}
	}
}
