package controller

import (
	"context"
	"slices"
	"testing"

	"switchferry/policy"
	"switchferry/settings"
	"switchferry/upgrade"
)

// A controller records its version once, and excludes processes of older versions only when the version records of all
// members exist. A restarted controller determines this from the records.
func TestVersionMarksShowWhenNoOlderProcessCanReturn(t *testing.T) {
	leader := newLeader(t)
	set := &settings.Settings{Member: "y", Peers: []settings.Peer{{Member: "z", Address: "127.0.0.1:1"}}}
	set.Facts.State = settings.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 24, Next: settings.NextState{ValueKB: 2}}
	begin := func() *Controller {
		return New(context.Background(), set, policy.Default(), leader.clock, leader.state)
	}
	controller := begin()
	if controller.versions.RecordOwn(context.Background()) || string(leader.state.Get("sf/version/y")) != `{"data":2}` {
		t.Fatalf("marked %s", leader.state.Get("sf/version/y"))
	}
	stamp := leader.state.Put("sf/test", 1)
	if !controller.versions.RecordOwn(context.Background()) || leader.state.Put("sf/test", 1) != stamp+1 {
		t.Error("the version record was written again")
	}
	if existing := controller.versions.Older(); !slices.Equal(existing, []string{"z"}) {
		t.Errorf("older %v", existing)
	}
	leader.state.Put("sf/version/z", upgrade.VersionMark{Data: upgrade.DataVersion})
	again := begin()
	again.markVersion(context.Background()) // Returns once the records of all members exist.
	if existing := again.versions.Older(); len(existing) > 0 {
		t.Errorf("older %v", existing)
	}
}
