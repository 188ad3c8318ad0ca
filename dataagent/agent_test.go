package dataagent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/tuning"
)

// The agent rejects an order from an older term, an older order of the current term, and an order for
// another incarnation, also after a restart.
func TestOutdatedOrdersAreRejected(t *testing.T) {
	fixture := newFixture(t)
	_, digest := fixture.store.Add("inv", randomBytes(4, 100), 10, 1)
	dir := t.TempDir()
	agent, source := fixture.startAgent(dir, 1<<20)
	fixture.apply(agent, newOrder(7, 3, "inv", digest, []api.StageSource{storeSource}, 0, 1))
	eventually(t, "both parts are pinned", func() bool { return pinnedParts(agent, "inv").GetCardinality() == 2 })
	for _, restarted := range []bool{false, true} {
		if restarted {
			agent, source = fixture.startAgent(dir, 1<<20)
			eventually(t, "both parts are pinned after the restart", func() bool { return pinnedParts(agent, "inv").GetCardinality() == 2 })
		}
		for _, order := range []*api.StageOrder{newOrder(6, 9, "inv", digest, nil), newOrder(7, 2, "inv", digest, nil), {Term: 7, Sequence: 4, Incarnation: 99}} {
			raw, err := json.Marshal(order)
			if err != nil {
				t.Fatal(err)
			}
			if status, answer := fixture.request(http.MethodPost, "http://"+source.Peer+"/stage", raw); status != http.StatusConflict {
				t.Fatalf("order %[2]d of term %[1]d: status %[3]d, want 409: %[4]s", order.Term, order.Sequence, status, answer)
			}
		}
		if pinnedParts(agent, "inv").GetCardinality() != 2 {
			t.Fatal("an old order unpinned parts")
		}
	}
}

// A dataset that the order drops is deleted from the disk, except the chunks that another dataset shares. A
// dataset that the same order asks for is kept. A drop that arrives after a restart of the agent has the same
// effect.
func TestRemovedDatasetIsDeletedExceptSharedChunks(t *testing.T) {
	fixture := newFixture(t)
	data := randomBytes(11, 3000)
	manifest, old := fixture.store.Add("old", data, 1000, 1)
	_, next := fixture.store.Add("next", append(data[1000:2000:2000], randomBytes(12, 1000)...), 1000, 1)
	dir := t.TempDir()
	agent, _ := fixture.startAgent(dir, 1<<20)
	from := []api.StageSource{storeSource}
	both := newOrder(1, 1, "old", old, from, 0, 1, 2)
	both.Sets = append(both.Sets, newOrder(1, 1, "next", next, from, 0, 1).Sets...)
	fixture.apply(agent, both)
	eventually(t, "all parts of both datasets are pinned", func() bool {
		return pinnedParts(agent, "old").GetCardinality() == 3 && pinnedParts(agent, "next").GetCardinality() == 2
	})
	stillDesired := *both
	stillDesired.Sequence, stillDesired.DropManifests = 2, []string{old.String(), "no digest", dataset.Sum(nil).String()}
	fixture.apply(agent, &stillDesired)
	if pinnedParts(agent, "old").GetCardinality() != 3 {
		t.Fatal("a dataset that the order asks for was removed")
	}
	order := newOrder(1, 3, "next", next, nil, 0, 1)
	fixture.apply(agent, order)
	agent, _ = fixture.startAgent(dir, 1<<20)
	order.DropManifests = stillDesired.DropManifests
	fixture.apply(agent, order)
	for _, held := range agent.Heartbeat(true).Holdings {
		if held.Dataset != "next" || held.Parts.GetCardinality() != 2 {
			t.Errorf("the agent holds the parts %v of dataset %s", held.Parts, held.Dataset)
		}
	}
	if err := agent.cache.Verify(manifest.Chunks[1]); err != nil || agent.cache.Used() != 2000 {
		t.Errorf("%d bytes in the cache, want 2000; error of the shared chunk: %v", agent.cache.Used(), err)
	}
	left, err := os.ReadDir(filepath.Join(dir, "chunks"))
	if err != nil || len(left) != 2 {
		t.Errorf("%d chunks on disk, want 2; error %v", len(left), err)
	}
}

// The agent reaches the leader although one controller is down and another one redirects it. It lists all
// parts in its cache until the leader has acknowledged the list.
func TestAgentFindsTheLeader(t *testing.T) {
	fixture := newFixture(t)
	_, digest := fixture.store.Add("inv", randomBytes(11, 300), 100, 1)
	var mu sync.Mutex
	var lastHeartbeat api.StageHeartbeat
	fullHeartbeats, knownVersion := 0, uint64(0)
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		lastHeartbeat = api.StageHeartbeat{}
		if err := json.NewDecoder(request.Body).Decode(&lastHeartbeat); err != nil || lastHeartbeat.Check() != nil || request.URL.Path != "/v1/staging" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		order := newOrder(4, 1, "inv", digest, []api.StageSource{storeSource}, 0, 2)
		if lastHeartbeat.HoldingsComplete {
			fullHeartbeats++
			knownVersion = lastHeartbeat.Version
		}
		order.KnownVersion = knownVersion
		_ = json.NewEncoder(w).Encode(order)
	}))
	t.Cleanup(leader.Close)
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = w.Write([]byte(`{"harbor":"c"}`))
	}))
	t.Cleanup(follower.Close)
	down := httptest.NewServer(nil)
	down.Close()
	agent, err := New(t.Context(), Options{Machine: "n-1", Address: "127.0.0.1:1", Dir: t.TempDir(), CacheBytes: 1 << 20, Store: fixture.url, Clock: fixture.clock,
		Controllers: map[string]string{"a": address(down), "b": address(follower), "c": address(leader)}})
	if err != nil {
		t.Fatal(err)
	}
	fixture.run(agent)
	eventually(t, "the leader knows the pinned parts and all held parts", func() bool {
		fixture.clock.Advance(tuning.MinStageHeartbeatInterval)
		mu.Lock()
		defer mu.Unlock()
		return len(lastHeartbeat.Pinned) == 1 && lastHeartbeat.Pinned[0].Parts.GetCardinality() == 2 && lastHeartbeat.Term == 4 && lastHeartbeat.Sequence == 1 && fullHeartbeats > 0
	})
	if agent.ReplicasVersion() == 0 {
		t.Fatal("the version of the held parts is still 0")
	}
}
