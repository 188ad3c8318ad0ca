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
func TestOlderVersionsAreExcludedByVersionRecords(t *testing.T) {
	leader := newLeader(t)
	set := &settings.Settings{Member: "y", Peers: []settings.Peer{{Member: "z", Address: "127.0.0.1:1"}}}
	set.Facts.State = settings.StateLimits{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 24, Announced: settings.AnnouncedStateLimits{ValueKB: 2}}
	newController := func() *Controller {
		return New(context.Background(), set, policy.Default(), leader.clock, leader.state)
	}
	controller := newController()
	if controller.versions.RecordOwn(context.Background()) || string(leader.state.Get("sf/version/y")) != `{"data":2}` {
		t.Fatalf("the version record is %s", leader.state.Get("sf/version/y"))
	}
	revision := leader.state.Put("sf/test", 1)
	if !controller.versions.RecordOwn(context.Background()) || leader.state.Put("sf/test", 1) != revision+1 {
		t.Error("the version record was written again")
	}
	if older := controller.versions.Older(); !slices.Equal(older, []string{"z"}) {
		t.Errorf("members that may run an older version: %v, want z", older)
	}
	leader.state.Put("sf/version/z", upgrade.VersionRecord{Data: upgrade.DataVersion})
	restarted := newController()
	restarted.markVersion(context.Background()) // Returns once the records of all members exist.
	if older := restarted.versions.Older(); len(older) > 0 {
		t.Errorf("members that may run an older version: %v, want none", older)
	}
}
