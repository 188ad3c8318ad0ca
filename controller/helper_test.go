package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"

	"switchferry/dataset"
	"switchferry/features"
	"switchferry/internal/fake"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/settings"
)

func testSettings() *settings.Settings {
	set := &settings.Settings{Member: "y"}
	set.Facts.State = settings.StateLimits{RPS: 120, WriteRPS: 30, ValueKB: 16, TxnOps: 24}
	return set
}

// newDataController returns a controller without a leader, with datasets on or off, and its state service.
func newDataController(on bool) (*Controller, *fake.State) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	set := testSettings()
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	controller := New(context.Background(), set, policy.Default(), clock, state)
	controller.catalog.types = testTypes
	controller.Enable(&features.Features{Data: features.Data{On: on, Placement: features.PlacementStaged, CacheGB: 5, LinkMBs: 100, StoreMBs: 100, CopiesPerLink: 1, CopiesAtStore: 8}})
	return controller, state
}

// sendRequest serves a user's request, without the limit on reads from the state service.
func (c *Controller) sendRequest(verb, body string) peer.Response {
	// Another test covers the limit on reads for status requests.
	c.readLimiter.SetLimit(1e9)
	c.readLimiter.SetBurst(1 << 30)
	return c.Handle(context.Background(), peer.Request{Verb: verb, Body: []byte(body)}, false)
}

// datasetSummary returns the JSON summary of a dataset whose parts are all of the same size.
func datasetSummary(name string, parts int, partBytes int64) string {
	raw, _ := json.Marshal(dataset.Summary{Name: name, PartCount: parts, CommonPartBytes: partBytes, Bytes: partBytes * int64(parts)})
	return string(raw)
}

// submissionBody returns the JSON body of a submission of team "team"; extraFields is appended to its fields.
func submissionBody(id string, tasks int, extraFields string) string {
	return fmt.Sprintf(`{"name_id":%q,"jobclass":"c","owner":%q,"shape":"sweep","rank":"normal","parts":%d,"cores":1,"cards":0,"ram_gb":1,
		"bundle":"img","size_gb":1,"hulls":null,"berth":null,"together":false,"apart":false,"standby":true,
		"expect_s":10,"snapshot_s":0,"stow_s":0,"due_s":null%s}`, id, "team", tasks, extraFields)
}

// newFollower returns a controller that has received a hello from its leader n0. Once unresponsive is set, connections
// to the leader stay open, but it sends no hellos.
func newFollower(t *testing.T, unresponsive *atomic.Bool, handle peer.Handler) (*Controller, *clockwork.FakeClock, *fake.State) {
	t.Helper()
	ctx := t.Context()
	clock := clockwork.NewFakeClock()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leader := peer.New(nil, clock, func() peer.Hello {
		if unresponsive.Load() {
			<-ctx.Done()
		}
		return peer.Hello{Member: "n0", Term: 5, StateOK: true}
	}, handle)
	go func() { _ = leader.Serve(ctx, listener) }()
	set := testSettings()
	set.Facts.Teams = []settings.Team{{Name: "t"}}
	set.Peers = []settings.Peer{{Member: "n0", Address: listener.Addr().String()}}
	state := fake.NewState(clock)
	controller := New(ctx, set, policy.Default(), clock, state)
	controller.catalog.types = testTypes
	controller.peers.Run(ctx)
	for !controller.peers.Reachable("n0") {
		// Wait for the hello.
	}
	return controller, clock, state
}

// neverAnswer is a handler that blocks until the context of the request ends.
func neverAnswer(ctx context.Context, _ peer.Request) peer.Response {
	<-ctx.Done()
	return peer.Response{}
}

// newIsolatedController returns the controller n1, whose peers n0 and n2 are unreachable.
func newIsolatedController() (*Controller, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	set := &settings.Settings{Member: "n1", Zone: "b", Peers: []settings.Peer{{Member: "n0", Zone: "a", Address: "127.0.0.1:1"}, {Member: "n2", Zone: "a", Address: "127.0.0.1:1"}}}
	set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10}
	return New(context.Background(), set, policy.Default(), clock, fake.NewState(clock)), clock
}
