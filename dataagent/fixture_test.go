package dataagent

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/internal/fake"
	"switchferry/tuning"
)

// TestMain disables logging. In a child process of TestRestartAfterKillAtEachWriteStep it runs an agent instead of
// the tests.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError + 1})))
	if os.Getenv("DATAAGENT_KILL_AT_STEP") != "" {
		if err := killAtStep(); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// blockSize is the size of the blocks in which transfers write chunks, in bytes.
const blockSize = tuning.StageBlockBytes

// storeSource is the store as a source in orders.
var storeSource = api.StageSource{Store: true}

// randomBytes returns pseudo-random bytes that depend only on the seed and the size.
func randomBytes(seed uint64, size int) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

// eventually waits until a condition holds, and fails the test if that takes longer than 20 seconds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 20 s: %s", description)
		}
	}
}

// fixture has a fake store and a fake clock for the agents of a test.
type fixture struct {
	t *testing.T
	// clock advances only when the test advances it.
	clock *clockwork.FakeClock
	store *fake.Objects
	// url is the base URL of the store.
	url string
}

// newFixture starts a fake store that is closed when the test ends.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	store := fake.NewObjects()
	server := httptest.NewServer(store)
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	return &fixture{t: t, clock: clockwork.NewFakeClock(), store: store, url: server.URL}
}

// startAgent runs an agent with the given cache directory and quota, in bytes, until the test ends. It returns
// the agent, and the source under which peers reach it.
func (fixture *fixture) startAgent(dir string, quota int64) (*Agent, api.StageSource) {
	fixture.t.Helper()
	agent, err := New(fixture.t.Context(), Options{Machine: "n-1", Address: "127.0.0.1:1", Dir: dir, CacheBytes: quota, Store: fixture.url, Clock: fixture.clock, Compress: true})
	if err != nil {
		fixture.t.Fatal(err)
	}
	server := httptest.NewServer(agent.Handler())
	fixture.t.Cleanup(server.Close)
	fixture.run(agent)
	return agent, api.StageSource{Peer: address(server)}
}

// run starts an agent that runs until the test ends. The end of the test waits until Run has returned.
func (fixture *fixture) run(agent *Agent) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		agent.Run(fixture.t.Context())
	}()
	fixture.t.Cleanup(func() { <-ended })
}

// address returns the host and port of a server, separated by a colon.
func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// request sends an HTTP request and returns the status and the body of the response.
func (fixture *fixture) request(method, url string, body []byte) (status int, answer []byte) {
	fixture.t.Helper()
	request, err := http.NewRequestWithContext(fixture.t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		fixture.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fixture.t.Fatal(err)
	}
	defer closeBody(response)
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		fixture.t.Fatal(err)
	}
	return response.StatusCode, answer
}

// newOrder returns an order for parts of one dataset. If sources is not nil, the order lists a transfer of each
// part from these sources.
func newOrder(term, number uint64, name string, digest dataset.Digest, sources []api.StageSource, parts ...uint32) *api.StageOrder {
	set := api.StageSet{Dataset: name, Manifest: digest.String(), Parts: api.PartSet{Bitmap: roaring.BitmapOf(parts...)}}
	for _, part := range parts {
		if sources != nil {
			set.Copies = append(set.Copies, api.StageCopy{Part: int(part), Sources: sources})
		}
	}
	return &api.StageOrder{Term: term, Sequence: number, Sets: []api.StageSet{set}}
}

// apply applies an order, and fails the test if the agent does not adopt it.
func (fixture *fixture) apply(agent *Agent, order *api.StageOrder) {
	fixture.t.Helper()
	if adopted, err := agent.Apply(order); !adopted || err != nil {
		fixture.t.Fatalf("order %[2]d of term %[1]d: adopted %[3]v, error %[4]v", order.Term, order.Sequence, adopted, err)
	}
}

// advanceUntil advances the clock until a condition holds, so that backoffs end. It does so only while no chunk is
// being downloaded, so that no download is cancelled as stalled.
func (fixture *fixture) advanceUntil(agent *Agent, condition func() bool) {
	fixture.t.Helper()
	eventually(fixture.t, "the condition that advanceUntil waits for", func() bool {
		if condition() {
			return true
		}
		agent.mu.Lock()
		idle := len(agent.downloads) == 0
		agent.mu.Unlock()
		if idle {
			fixture.clock.Advance(tuning.StageBackoff)
		}
		return false
	})
}

// pinnedParts returns the parts of a dataset that an agent reports as pinned.
func pinnedParts(agent *Agent, name string) *roaring.Bitmap {
	for _, held := range agent.Heartbeat(false).Pinned {
		if held.Dataset == name {
			return held.Parts.Bitmap
		}
	}
	return roaring.New()
}
