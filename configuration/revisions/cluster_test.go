package revisions

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/configuration"
	"switchferry/internal/compress"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	// The compressor is created on first use, which must not happen inside a synctest bubble.
	if _, err := compress.EncodeSmall(0); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testCluster has a state service, two followers x and y, and a leader z.
type testCluster struct {
	t         *testing.T
	ctx       context.Context
	state     *fake.State
	clock     clockwork.Clock
	limits    settings.StateLimits
	followers map[string]*Store
	// term is the leader's latest term.
	term uint64

	// mu guards the fields below.
	mu sync.Mutex
	// dropAnswer reports whether the answer to a transaction of the leader is lost after the transaction
	// was executed, dropRequest whether the request is lost before that. Both are called with mu held.
	dropAnswer, dropRequest func() bool
	// isolated is the set of followers that can reach neither the leader nor the state service.
	isolated map[string]bool
	// unpersisted is the number of the leader's decisions that are not persisted yet.
	unpersisted int
	// adopted are the configurations that the leader has adopted, in order.
	adopted []*configuration.Active
}

// fileConfiguration is the configuration that applies without any revision.
var fileConfiguration = configuration.FromFiles([]settings.Team{{Name: "a", CPUsMax: 100}}, policy.Default())

// newTestCluster returns a cluster without a leader, whose followers run until the test ends.
func newTestCluster(t *testing.T, limits settings.StateLimits) *testCluster {
	t.Helper()
	ctx := t.Context()
	clock := clockwork.NewRealClock()
	cluster := &testCluster{t: t, ctx: ctx, state: fake.NewState(clock), clock: clock, limits: limits, followers: map[string]*Store{}, isolated: map[string]bool{},
		dropAnswer: func() bool { return false }, dropRequest: func() bool { return false }}
	cluster.state.SetLimits(fake.Limits{ValueKB: limits.ValueKB, TxnOps: limits.TxnOps})
	for _, name := range []string{"x", "y"} {
		cluster.followers[name] = New(store.NewClient("state:1", transport{cluster, name}), clock, fileConfiguration, limits)
		go cluster.followers[name].Run(ctx, func() bool { return false })
	}
	return cluster
}

// transport is the connection of one controller to the state service.
type transport struct {
	*testCluster
	name string
}

// errNoAnswer is the error of a request that was lost or whose answer was lost.
var errNoAnswer = errors.New("no answer")

func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.mu.Lock()
	isolated := t.isolated[t.name]
	dropAnswer, dropRequest := false, false
	if request.URL.Path == "/multi" {
		dropAnswer, dropRequest = t.dropAnswer(), t.dropRequest()
	}
	t.mu.Unlock()
	if isolated {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if dropRequest {
		return nil, errNoAnswer
	}
	resp, err := t.state.RoundTrip(request)
	if dropAnswer && err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil, errNoAnswer
	}
	return resp, err
}

// testLeader is the controller z in one term.
type testLeader struct {
	*testCluster
	term uint64
}

func (l *testLeader) Condition() (store.Condition, bool) {
	return store.Condition{Key: store.LeaderKey, Revision: l.term}, true
}

func (l *testLeader) Adopt(active *configuration.Active) func() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopted = append(l.adopted, active)
	return func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.unpersisted
	}
}

func (l *testLeader) Peers() []string { return []string{"x", "y"} }

func (l *testLeader) RefreshPeer(ctx context.Context, member string, _ uint64) (uint64, error) {
	l.mu.Lock()
	isolated := l.isolated[member]
	l.mu.Unlock()
	if isolated {
		return 0, errNoAnswer
	}
	return l.followers[member].Refresh(ctx)
}

// awaitSettled waits until the revision that an applier has loaded is in force.
func (c *testCluster) awaitSettled(applier *Applier) *Applier {
	c.t.Helper()
	for range 1000 {
		if progress, ok := applier.Progress(); !ok || progress.InForce {
			return applier
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatal("the revision that was loaded does not come into force")
	return nil
}

// elect begins a new term of the leader, which ends the previous one, and returns its applier.
func (c *testCluster) elect() *Applier {
	c.t.Helper()
	c.term = c.state.Put(store.LeaderKey, store.LeaderRecord{Member: "z"})
	configStore := New(store.NewClient("state:1", transport{c, "z"}), c.clock, fileConfiguration, c.limits)
	applier := NewApplier(c.ctx, configStore, &testLeader{c, c.term})
	if err := applier.Load(c.ctx); err != nil {
		c.t.Fatal(err)
	}
	return applier
}

// parseDocument parses a document and fails the test if it is not valid.
func parseDocument(t *testing.T, text string) *configuration.Document {
	t.Helper()
	parsed, err := configuration.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// documentWithLimit returns a document that limits team a to a number of CPUs.
func documentWithLimit(t *testing.T, cpus int) *configuration.Document {
	return parseDocument(t, fmt.Sprintf("[[teams]]\nname = \"a\"\ncpus_max = %d\n", cpus))
}

// isolate disconnects a follower from the leader and the state service if isolated is set, or else reconnects it.
func (c *testCluster) isolate(name string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[name] = isolated
}

// lastAdopted returns the configuration that the leader adopted last.
func (c *testCluster) lastAdopted() *configuration.Active {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.adopted[len(c.adopted)-1]
}

// requireNoOlderLease fails the test if a follower may use an older revision than the one in force.
func (c *testCluster) requireNoOlderLease(inForce uint64) {
	c.t.Helper()
	for name, configStore := range c.followers {
		if lease, ok := configStore.Lease(); ok && lease.Active.Revision < inForce {
			c.t.Errorf("%s may use revision %d while %d is in force", name, lease.Active.Revision, inForce)
		}
	}
}

// smallLimits are limits under which a large document takes many parts and several transactions.
var smallLimits = settings.StateLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 1, TxnOps: 3}

// usualLimits are limits under which a small document takes one part.
var usualLimits = settings.StateLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}

// reconnectFollowers reconnects all followers.
func (c *testCluster) reconnectFollowers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated = map[string]bool{}
}

// largeDocument returns the text of a document that takes many parts under smallLimits. It differs for each n.
func largeDocument(n int) string {
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	var b strings.Builder
	for i := range 160 {
		fmt.Fprintf(&b, "[[teams]]\nname = \"team-%d\"\ncpus_max = %d\n", rng.IntN(1e9)*100+i, 1+rng.IntN(1e9))
	}
	return b.String()
}
