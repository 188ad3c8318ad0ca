package controller

import (
	"context"

	"switchferry/election"
	"switchferry/peer"
	"switchferry/tuning"
)

// leaderLocator finds the leader from the leader record that was last read and from the hellos of reachable peers, and
// forwards requests to it. It is stateless.
type leaderLocator struct {
	elector *election.Elector
	peers   *peer.Network
}

// locate returns the leader and its term; leader is empty if none is known. Reachable reports whether the leader is a
// live peer whose own hello says that it leads.
func (l *leaderLocator) locate() (leader string, term uint64, reachable bool) {
	leader, term = l.elector.Leader()
	return newestLeader(leader, term, l.peers.LivePeers())
}

// forward forwards a request to the leader and returns its response. A request that a peer has already forwarded is not
// forwarded again.
func (l *leaderLocator) forward(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	leader, _ := l.elector.Leader()
	leader, _, reachable := newestLeader(leader, 0, l.peers.LivePeers())
	if forwarded || !reachable {
		return peer.RetryLater("no leader answers")
	}
	response, err := l.peers.Call(ctx, leader, request, tuning.PeerTimeout)
	if err != nil {
		return peer.RetryLater("the leader does not answer")
	}
	return response
}

// newestLeader returns the live peer that claims the newest term, or else the leader and term passed in. Reachable
// reports whether a live peer claims to lead in that term. A former leader that restarted does not claim its term, and
// so does not count as the leader even if its key still exists because of an outage of the state service.
func newestLeader(leader string, term uint64, livePeers []peer.Hello) (string, uint64, bool) {
	reachable := false
	for _, hello := range livePeers {
		if hello.Term > 0 && hello.Term >= term {
			leader, term, reachable = hello.Member, hello.Term, true
		}
	}
	return leader, term, reachable
}
