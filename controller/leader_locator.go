package controller

import (
	"context"

	"switchferry/election"
	"switchferry/peer"
	"switchferry/tuning"
)

// leaderLocator finds the leader, by what was last read of the state service and what reachable peers say, and forwards
// requests to it. It has no state of its own.
type leaderLocator struct {
	elector *election.Elector
	peers   *peer.Network
}

// locate returns the leader and its term; leader is empty if none is known. Reachable reports whether the leader is a
// peer within reach that says itself that it leads.
func (l *leaderLocator) locate() (leader string, term uint64, reachable bool) {
	leader, term = l.elector.Leader()
	return newestLeader(leader, term, l.peers.LivePeers())
}

// forward has the leader answer a request. One that a peer has forwarded already is not forwarded again.
func (l *leaderLocator) forward(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	leader, _ := l.elector.Leader()
	leader, _, reachable := newestLeader(leader, 0, l.peers.LivePeers())
	if forwarded || !reachable {
		return peer.RetryLater("no leader answers")
	}
	response, err := l.peers.Ask(ctx, leader, request, tuning.PeerTimeout)
	if err != nil {
		return peer.RetryLater("the leader does not answer")
	}
	return response
}

// newestLeader returns the leader by what the live peers say of themselves, or else as last read; reachable reports
// whether a live peer says that it leads. A former leader that restarted without its term does not lead, even while its
// key still stands because the state service is out.
func newestLeader(leader string, term uint64, alive []peer.Hello) (string, uint64, bool) {
	reachable := false
	for _, hello := range alive {
		if hello.Term > 0 && hello.Term >= term {
			leader, term, reachable = hello.Member, hello.Term, true
		}
	}
	return leader, term, reachable
}
