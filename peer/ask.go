package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"switchferry/peer/wire"
	"switchferry/tuning"
)

// pendingRequest is a request to a peer whose reply is awaited.
type pendingRequest struct {
	remote *remotePeer
	conn   net.Conn
	seq    uint64
	reply  <-chan Response
	// receivedBefore is the number of frames that had come from the peer before the request.
	receivedBefore uint64
}

// Ask passes a request on to a peer and waits for the reply, for tuning.PeerTimeout at most. A greeting
// goes with the request, which a live peer answers at once. A peer that sends nothing within patience is
// taken for unreachable; one that does is only busy, and is waited for.
//
// The error is ErrUnreachable or ErrBusy.
func (network *Network) Ask(ctx context.Context, member string, request Request, patience time.Duration) (Response, error) {
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
	return network.awaitReply(ctx, pending, patience)
}

// beginRequest registers a request to a peer; false: the peer is not connected.
func (network *Network) beginRequest(member string) (pendingRequest, bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	remote := network.peers[member]
	if remote == nil || remote.conn == nil || network.clock.Since(remote.lastFrame) > tuning.PeerDead {
		return pendingRequest{}, false
	}
	remote.lastSeq++
	reply := make(chan Response, 1) // The receiver of frames must not block.
	remote.pendingRequests[remote.lastSeq] = reply
	return pendingRequest{remote, remote.conn, remote.lastSeq, reply, remote.receivedFrames}, true
}

// endRequest removes a request; a later reply to it is ignored.
func (network *Network) endRequest(pending pendingRequest) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(pending.remote.pendingRequests, pending.seq)
}

// requestFrame returns a request as a frame.
func requestFrame(seq uint64, request Request) frame {
	return frame{
		kind: wire.KindRequest, seq: seq,
		member: request.From, verb: request.Verb, job: request.Job, body: request.Body,
	}
}

// awaitReply waits for the reply to a request that was sent.
func (network *Network) awaitReply(ctx context.Context, pending pendingRequest, patience time.Duration) (Response, error) {
	member := pending.remote.Member
	firstSign := network.clock.After(min(patience, tuning.PeerTimeout))
	timeout := network.clock.After(tuning.PeerTimeout)
	for {
		select {
		case response, ok := <-pending.reply:
			if !ok {
				return Response{}, fmt.Errorf("%w: the connection to %s ended", ErrUnreachable, member)
			}
			return response, nil
		case <-firstSign:
			if network.ReceivedCount(member) == pending.receivedBefore {
				return Response{}, fmt.Errorf("%w: %s is silent", ErrUnreachable, member)
			}
			firstSign = nil
		case <-timeout:
			return Response{}, fmt.Errorf("%w: no reply of %s within %v", ErrBusy, member, tuning.PeerTimeout)
		case <-ctx.Done():
			return Response{}, fmt.Errorf("%w: waiting for %s: %w", ErrUnreachable, member, ctx.Err())
		}
	}
}
