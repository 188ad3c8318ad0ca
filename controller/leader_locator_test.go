package controller

import (
	"testing"

	"switchferry/peer"
)

// A leader that crashed during an outage of the state service and restarted does not count as the leader, although its
// key still exists. Workers that were redirected to it would be refused by all controllers until their leases expired.
func TestRestartedLeaderWithoutTermDoesNotLead(t *testing.T) {
	for _, testCase := range []struct {
		alive     []peer.Hello
		leader    string
		reachable bool
	}{
		{[]peer.Hello{{Member: "n2"}, {Member: "n1"}}, "n2", false},
		{[]peer.Hello{{Member: "n2", Term: 7}, {Member: "n1"}}, "n2", true},
		{[]peer.Hello{{Member: "n2", Term: 7}, {Member: "n1", Term: 9}}, "n1", true},
		{[]peer.Hello{{Member: "n1", Term: 5}}, "n2", false},
	} {
		if leader, _, reachable := newestLeader("n2", 7, testCase.alive); leader != testCase.leader || reachable != testCase.reachable {
			t.Errorf("%+v: %s %v", testCase.alive, leader, reachable)
		}
	}
}
