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
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/configuration"
	"switchferry/internal/compress"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	// The packer is made once; what is made within one bubble cannot be used in another.
	if _, err := compress.EncodeSmall(0); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testCluster is a state service, two followers, and whoever leads.
type testCluster struct {
	t         *testing.T
	ctx       context.Context
	state     *fake.State
	clock     clockwork.Clock
	limits    settings.State
	followers map[string]*Store
	// dropAnswer tells whether a transaction of the leader is executed and its answer lost, fail whether it is not executed.
	mu                      sync.Mutex
	dropAnswer, dropRequest func() bool
	// isolated are the followers that answer no sibling, and whose readings get no answer.
	isolated map[string]bool
	// unrecorded is what the leader still has to put on record.
	unrecorded int
	adopted    []*configuration.Active
	term       uint64
}

var fileConfiguration = configuration.FromFiles([]settings.Team{{Name: "a", CPUsMax: 100}}, policy.Default())

func newTestCluster(t *testing.T, limits settings.State) *testCluster {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	clock := clockwork.NewRealClock()
	cluster := &testCluster{t: t, ctx: ctx, state: fake.NewState(clock), clock: clock, limits: limits, followers: map[string]*Store{}, isolated: map[string]bool{},
		dropAnswer: func() bool { return false }, dropRequest: func() bool { return false }}
	cluster.state.Limit(fake.Limits{ValueKB: limits.ValueKB, TxnOps: limits.TxnOps})
	for _, name := range []string{"x", "y"} {
		cluster.followers[name] = New(store.NewClient("state:1", transport{cluster, name}), clock, fileConfiguration, limits)
		go cluster.followers[name].Run(ctx, func() bool { return false })
	}
	return cluster
}

// transport is the way from one controller to the state service.
type transport struct {
	*testCluster
	name string
}

var errNoAnswer = errors.New("no answer")

func (l transport) RoundTrip(request *http.Request) (*http.Response, error) {
	l.mu.Lock()
	cut := l.isolated[l.name]
	drop, fail := false, false
	if request.URL.Path == "/multi" {
		drop, fail = l.dropAnswer(), l.dropRequest()
	}
	l.mu.Unlock()
	if cut {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if fail {
		return nil, errNoAnswer
	}
	resp, err := l.state.RoundTrip(request)
	if drop && err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil, errNoAnswer
	}
	return resp, err
}

// testLeader is a term of a controller named z.
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
		return l.unrecorded
	}
}

func (l *testLeader) Peers() []string { return []string{"x", "y"} }

func (l *testLeader) RefreshPeer(ctx context.Context, member string, _ uint64) (uint64, error) {
	l.mu.Lock()
	cut := l.isolated[member]
	l.mu.Unlock()
	if cut {
		return 0, errNoAnswer
	}
	return l.followers[member].Refresh(ctx)
}

// awaitSettled waits until an applier has brought into force what it has read.
func (c *testCluster) awaitSettled(applier *Applier) *Applier {
	c.t.Helper()
	for range 1000 {
		if progress, ok := applier.Progress(); !ok || progress.InForce {
			return applier
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatal("what it has read does not come into force")
	return nil
}

// elect begins a term; any before it is over.
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

func parseDocument(t *testing.T, text string) *configuration.Document {
	t.Helper()
	parsed, err := configuration.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func documentWithLimit(t *testing.T, cpus int) *configuration.Document {
	return parseDocument(t, fmt.Sprintf("[[teams]]\nname = \"a\"\ncpus_max = %d\n", cpus))
}

// isolate cuts a follower off, or ends that.
func (c *testCluster) isolate(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[name] = cut
}

// lastAdopted is what the leader was last told to go by.
func (c *testCluster) lastAdopted() *configuration.Active {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.adopted[len(c.adopted)-1]
}

// requireNoOlderLease fails if a follower may go by an older revision than one that is in force.
func (c *testCluster) requireNoOlderLease(inForce uint64) {
	c.t.Helper()
	for name, configStore := range c.followers {
		if lease, ok := configStore.Lease(); ok && lease.Active.Revision < inForce {
			c.t.Errorf("%s may go by revision %d while %d is in force", name, lease.Active.Revision, inForce)
		}
	}
}

var smallLimits = settings.State{RPS: 1000, WriteRPS: 1000, ValueKB: 1, TxnOps: 3}
var usualLimits = settings.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}

// With everyone there a change is in force at once; with a sibling out of reach, once its right is over, and that one
// decides nothing by the old one from then on.
func TestApplyWaitsForPeersOrTheirLeases(t *testing.T) {
	for _, cut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t, usualLimits)
			applier := cluster.elect()
			time.Sleep(time.Second)
			cluster.isolate("y", cut)
			began := time.Now()
			answer, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 50), By: "me", Why: "less"})
			if err != nil || answer.Revision != 1 || answer.InForce == cut {
				t.Fatalf("%+v, %v", answer, err)
			}
			if cut && (len(answer.WaitsFor) != 1 || !strings.HasPrefix(answer.WaitsFor[0], "y, for")) {
				t.Errorf("waits for %v", answer.WaitsFor)
			}
			for !answer.InForce {
				time.Sleep(10 * time.Millisecond)
				answer, _ = applier.Progress()
			}
			cluster.requireNoOlderLease(1)
			if took := time.Since(began); cut && took > 2*time.Second || !cut && took > 100*time.Millisecond {
				t.Errorf("in force after %v", took)
			}
			if last := cluster.lastAdopted(); last.Revision != 1 {
				t.Errorf("the leader goes by revision %d", last.Revision)
			}
			if _, ok := cluster.followers["y"].Lease(); ok == cut {
				t.Errorf("y has a right: %v", ok)
			}
			cluster.reconnectAll()
		})
	}
}

// reconnectAll lets everything that a bubble has started end.
func (c *testCluster) reconnectAll() { c.mu.Lock(); c.isolated = map[string]bool{}; c.mu.Unlock() }

// A start that was decided before the change and is not on record holds it up, and is named.
func TestChangeWaitsForEarlierDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, usualLimits)
		applier := cluster.elect()
		cluster.mu.Lock()
		cluster.unrecorded = 3
		cluster.mu.Unlock()
		answer, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 50)})
		if err != nil || answer.InForce || len(answer.WaitsFor) == 0 || !strings.HasPrefix(answer.WaitsFor[0], "3 starts") {
			t.Fatalf("%+v, %v", answer, err)
		}
		if limit, _ := cluster.lastAdopted().Limit("a"); limit.CPUs != 50 {
			t.Errorf("meanwhile the limit is %g", limit.CPUs)
		}
		cluster.mu.Lock()
		cluster.unrecorded = 0
		cluster.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		if answer, _ = applier.Progress(); !answer.InForce {
			t.Errorf("%+v", answer)
		}
	})
}

// Of two operators one wins, and the other hears of it; the same document once more changes nothing.
func TestOneOfTwoConcurrentChangesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, usualLimits)
		applier := cluster.elect()
		expect := uint64(0)
		outcomes := make(chan error, 2)
		for i := range 2 {
			go func() {
				_, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 10+i), Expect: &expect})
				outcomes <- err
			}()
		}
		first, second := <-outcomes, <-outcomes
		if first == nil {
			first, second = second, first
		}
		if !errors.Is(first, ErrConflict) || second != nil {
			t.Errorf("%v and %v", first, second)
		}
		revision, newest, _ := applier.Current()
		again, err := applier.Apply(cluster.ctx, Request{Document: parseDocument(t, revision.Document)})
		if err != nil || !again.Unchanged || !again.InForce || newest != 1 || again.Revision != 1 {
			t.Errorf("%+v, %v", again, err)
		}
	})
}

// A flood of changes: each is in force or refused at once, none is lost, and the last 50 stay on record.
func TestManyConcurrentChangesAllComeIntoForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, smallLimits)
		applier := cluster.elect()
		var wg sync.WaitGroup
		var mu sync.Mutex
		inForce := 0
		for i := range 100 {
			wg.Go(func() {
				for {
					answer, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 10+i)})
					if err == nil && answer.InForce {
						break
					}
					if err != nil && !errors.Is(err, ErrBusy) {
						t.Error(err)
					}
					time.Sleep(100 * time.Millisecond)
				}
				mu.Lock()
				inForce++
				mu.Unlock()
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
		_, newest, _ := applier.Current()
		history, err := applier.History(cluster.ctx)
		if inForce != 100 || newest != 100 || err != nil || len(history) != tuning.ConfigurationKept || cluster.state.Under(configuration.PartPrefix) != tuning.ConfigurationKept {
			t.Errorf("%d in force, newest %d, %d in the history, %d on record, %v", inForce, newest, len(history), cluster.state.Under(configuration.PartPrefix), err)
		}
	})
}

// largeDocument is a document of many parts in small values.
func largeDocument(n int) string {
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	var b strings.Builder
	for i := range 160 {
		fmt.Fprintf(&b, "[[teams]]\nname = \"team-%d\"\ncpus_max = %d\n", rng.IntN(1e9)*100+i, 1+rng.IntN(1e9))
	}
	return b.String()
}

// The leader ends between any two of its writes: the next one goes by a whole revision, the former or the new one, and
// can change it again.
func TestCrashBetweenWritesLeavesWholeRevision(t *testing.T) {
	for writes := range 12 {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t, smallLimits)
			applier := cluster.elect()
			if _, err := applier.Apply(cluster.ctx, Request{Document: parseDocument(t, largeDocument(1))}); err != nil {
				t.Fatal(err)
			}
			executed := 0
			cluster.mu.Lock()
			cluster.dropRequest = func() bool { executed++; return executed > writes }
			cluster.mu.Unlock()
			ctx, stop := context.WithTimeout(cluster.ctx, 2*time.Second)
			_, _ = applier.Apply(ctx, Request{Document: parseDocument(t, largeDocument(2))})
			stop()
			cluster.mu.Lock()
			cluster.dropRequest = func() bool { return false }
			cluster.mu.Unlock()
			next := cluster.awaitSettled(cluster.elect())
			revision, newest, rejection := next.Current()
			if rejection != "" || revision.Number != newest || revision.Document != largeDocument(int(revision.Number)) {
				t.Fatalf("after %d writes: revision %d, newest %d, %s", writes, revision.Number, newest, rejection)
			}
			answer, err := next.Apply(cluster.ctx, Request{Document: parseDocument(t, largeDocument(3))})
			if err != nil || !answer.InForce || answer.Revision != newest+1 {
				t.Errorf("after %d writes: %+v, %v", writes, answer, err)
			}
		})
	}
}

// A revision that is damaged, or of a newer format, is not taken: the last good one counts, and a change goes on from
// there.
func TestUnreadableRevisionFallsBackToLastGood(t *testing.T) {
	for name, damage := range map[string]func(cluster *testCluster){
		"a part": func(cluster *testCluster) {
			cluster.state.Put(configuration.PartKey(2, 0), configuration.Part{Format: 1, Of: 1, Text: "x"})
		},
		"no JSON": func(cluster *testCluster) { cluster.state.Put(configuration.PartKey(2, 0), "x") },
		"newer": func(cluster *testCluster) {
			cluster.state.Put(configuration.PartKey(2, 0), configuration.Part{Format: 2, Of: 1, Text: "x"})
		},
		"the head": func(cluster *testCluster) {
			cluster.state.Put(configuration.PartKey(2, 0), "x")
			cluster.state.Put(configuration.HeadKey, "x")
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t, usualLimits)
			applier := cluster.elect()
			for i := range 2 {
				if _, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 10+i)}); err != nil {
					t.Fatal(err)
				}
			}
			damage(cluster)
			next := cluster.awaitSettled(cluster.elect())
			revision, newest, rejection := next.Current()
			if revision == nil || revision.Number != 1 || newest != 2 || rejection == "" || next.active.Revision != 1 {
				t.Fatalf("%s: %+v, newest %d, trouble %q", name, revision, newest, rejection)
			}
			answer, err := next.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 30)})
			if revision, _, rejection = next.Current(); err != nil || answer.Revision != 3 || revision.Number != 3 || rejection != "" {
				t.Errorf("%s: %+v, %v", name, answer, err)
			}
		})
	}
}

// In an outage a change is refused at once, and what is in force stays in force.
func TestOutageRefusesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, usualLimits)
		applier := cluster.elect()
		if _, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 10)}); err != nil {
			t.Fatal(err)
		}
		cluster.state.Outage(true)
		began := time.Now()
		if _, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 11)}); !errors.Is(err, ErrUnavailable) || time.Since(began) > time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if last := cluster.lastAdopted(); last.Revision != 1 {
			t.Errorf("the leader goes by revision %d", last.Revision)
		}
		time.Sleep(3 * time.Second)
		if _, ok := cluster.followers["x"].Lease(); ok {
			t.Error("a follower that cannot confirm it still goes by it")
		}
	})
}

// A leader that has just begun does not call in force what it has read: its former one may have stored it a moment ago,
// and a controller that is cut off may still go by the older one.
func TestNewLeaderCallsNothingInForceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, usualLimits)
		applier := cluster.elect()
		if _, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 10)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		cluster.isolate("y", true)
		ctx, stop := context.WithTimeout(cluster.ctx, 10*time.Millisecond)
		stored, err := applier.Apply(ctx, Request{Document: documentWithLimit(t, 20)})
		stop()
		if err != nil || stored.Revision != 2 || stored.InForce {
			t.Fatalf("%+v, %v", stored, err)
		}
		next := cluster.elect()
		if _, err := next.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 20)}); !errors.Is(err, ErrBusy) {
			t.Errorf("the same once more, at once: %v", err)
		}
		for {
			progress, ok := next.Progress()
			if lease, holds := cluster.followers["y"].Lease(); ok && progress.InForce && holds && lease.Active.Revision < 2 {
				t.Fatal("called in force while y may go by revision 1")
			}
			if progress.InForce {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		again, err := next.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 20)})
		if err != nil || !again.Unchanged || !again.InForce {
			t.Errorf("%+v, %v", again, err)
		}
	})
}

// Random troubles: answers lost, transactions not executed, followers out of reach, leaders that change at any moment.
// Whatever happens, no follower may go by a revision older than one that was told to be in force, and every leader
// begins with one that is as new.
func TestNoLeaseIsOlderThanRevisionInForce(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			cluster := newTestCluster(t, []settings.State{smallLimits, usualLimits}[seed%2])
			cluster.mu.Lock()
			// Drawn with the lock held, by whoever calls.
			network := rand.New(rand.NewPCG(seed, 4))
			cluster.dropAnswer = func() bool { return network.IntN(4) == 0 }
			cluster.dropRequest = func() bool { return network.IntN(6) == 0 }
			cluster.mu.Unlock()
			applier := cluster.elect()
			inForce := uint64(0)
			for step := range 40 {
				cluster.mu.Lock()
				for _, name := range []string{"x", "y"} {
					cluster.isolated[name] = rng.IntN(3) == 0
				}
				cluster.mu.Unlock()
				ctx, stop := context.WithTimeout(cluster.ctx, time.Duration(rng.IntN(2500))*time.Millisecond)
				text := largeDocument(step)
				if rng.IntN(2) == 0 {
					text = fmt.Sprintf("[[teams]]\nname = \"a\"\ncpus_max = %d\n", 1+step)
				}
				answer, err := applier.Apply(ctx, Request{Document: parseDocument(t, text)})
				stop()
				if err == nil && answer.InForce {
					inForce = max(inForce, answer.Revision)
				}
				cluster.requireNoOlderLease(inForce)
				for range rng.IntN(20) {
					time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
					if progress, ok := applier.Progress(); ok && progress.InForce {
						inForce = max(inForce, progress.Revision)
					}
					cluster.requireNoOlderLease(inForce)
				}
				if rng.IntN(4) == 0 {
					applier = cluster.elect()
					if applier.active.Revision < inForce {
						t.Fatalf("seed %d: a leader begins with revision %d, %d is in force", seed, applier.active.Revision, inForce)
					}
				}
			}
			if inForce < 5 {
				t.Errorf("seed %d: only %d changes came into force", seed, inForce)
			}
		})
	}
}

// A part that was written for a change which was then refused is executed once more, late, between the parts and the
// head of the next change: that one is not stored with a part of the other.
func TestLateCopyOfEarlierPartIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, smallLimits)
		applier := cluster.elect()
		_, parts, err := configuration.Encode(&configuration.Revision{Number: 1, AtMS: time.Now().UnixMilli(), Document: largeDocument(2)}, smallLimits.ValueBytes())
		if err != nil || len(parts) < 3 {
			t.Fatalf("%d parts, %v", len(parts), err)
		}
		transactions := 0
		atTransaction := func(n int, what func()) func() bool {
			transactions = 0
			return func() bool {
				if transactions++; transactions == n {
					what()
				}
				return false
			}
		}
		// The first try's first parts are held back, and sent again; then the state service is out.
		cluster.state.HoldNext = true
		cluster.mu.Lock()
		cluster.dropRequest = atTransaction(3, func() { cluster.state.Outage(true) })
		cluster.mu.Unlock()
		if _, err := applier.Apply(cluster.ctx, Request{Document: parseDocument(t, largeDocument(1))}); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("the first change: %v", err)
		}
		cluster.state.Outage(false)
		cluster.mu.Lock()
		cluster.dropRequest = atTransaction((len(parts)-1)/2+1, cluster.state.Deliver)
		cluster.mu.Unlock()
		if _, err := applier.Apply(cluster.ctx, Request{Document: parseDocument(t, largeDocument(2))}); !errors.Is(err, ErrConflict) {
			t.Errorf("the second change: %v", err)
		}
		cluster.mu.Lock()
		cluster.dropRequest = func() bool { return false }
		cluster.mu.Unlock()
		answer, err := applier.Apply(cluster.ctx, Request{Document: parseDocument(t, largeDocument(2))})
		next := cluster.elect()
		if revision, _, rejection := next.Current(); err != nil || !answer.InForce || rejection != "" || revision == nil || revision.Document != largeDocument(2) {
			t.Errorf("tried again: %+v, %v, trouble %q", answer, err, rejection)
		}
	})
}
