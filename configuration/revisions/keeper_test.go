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

// site is a state service, two followers, and whoever leads.
type site struct {
	t         *testing.T
	ctx       context.Context
	state     *fake.State
	clock     clockwork.Clock
	limits    settings.State
	followers map[string]*Store
	// drop tells whether a transaction of the leader is executed and its answer lost, fail whether it is not executed.
	mu         sync.Mutex
	drop, fail func() bool
	// cut are the followers that answer no sibling, and whose readings get no answer.
	cut map[string]bool
	// undecided is what the leader still has to put on record.
	undecided int
	used      []*configuration.Active
	term      uint64
}

var files = configuration.FromFiles([]settings.Team{{Name: "a", CPUsMax: 100}}, policy.Default())

func newSite(t *testing.T, limits settings.State) *site {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	clock := clockwork.NewRealClock()
	s := &site{t: t, ctx: ctx, state: fake.NewState(clock), clock: clock, limits: limits, followers: map[string]*Store{}, cut: map[string]bool{},
		drop: func() bool { return false }, fail: func() bool { return false }}
	s.state.Limit(fake.Limits{ValueKB: limits.ValueKB, TxnOps: limits.TxnOps})
	for _, name := range []string{"x", "y"} {
		s.followers[name] = New(store.NewClient("state:1", line{s, name}), clock, files, limits)
		go s.followers[name].Run(ctx, func() bool { return false })
	}
	return s
}

// line is the way from one controller to the state service.
type line struct {
	*site
	name string
}

var errLost = errors.New("no answer")

func (l line) RoundTrip(q *http.Request) (*http.Response, error) {
	l.mu.Lock()
	cut := l.cut[l.name]
	drop, fail := false, false
	if q.URL.Path == "/multi" {
		drop, fail = l.drop(), l.fail()
	}
	l.mu.Unlock()
	if cut {
		<-q.Context().Done()
		return nil, q.Context().Err()
	}
	if fail {
		return nil, errLost
	}
	resp, err := l.state.RoundTrip(q)
	if drop && err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil, errLost
	}
	return resp, err
}

// leader is a term of a controller named z.
type leader struct {
	*site
	term uint64
}

func (l *leader) Condition() (store.Condition, bool) {
	return store.Condition{Key: store.LeaderKey, Revision: l.term}, true
}

func (l *leader) Adopt(active *configuration.Active) func() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = append(l.used, active)
	return func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.undecided
	}
}

func (l *leader) Peers() []string { return []string{"x", "y"} }

func (l *leader) RefreshPeer(ctx context.Context, member string, _ uint64) (uint64, error) {
	l.mu.Lock()
	cut := l.cut[member]
	l.mu.Unlock()
	if cut {
		return 0, errLost
	}
	return l.followers[member].Refresh(ctx)
}

// ready waits until an applier has brought into force what it has read.
func (s *site) ready(a *Applier) *Applier {
	s.t.Helper()
	for range 1000 {
		if progress, ok := a.Progress(); !ok || progress.InForce {
			return a
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("what it has read does not come into force")
	return nil
}

// elect begins a term; any before it is over.
func (s *site) elect() *Applier {
	s.t.Helper()
	s.term = s.state.Put(store.LeaderKey, store.LeaderRecord{Member: "z"})
	k := New(store.NewClient("state:1", line{s, "z"}), s.clock, files, s.limits)
	a := NewApplier(s.ctx, k, &leader{s, s.term})
	if err := a.Load(s.ctx); err != nil {
		s.t.Fatal(err)
	}
	return a
}

func document(t *testing.T, text string) *configuration.Document {
	t.Helper()
	d, err := configuration.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func limited(t *testing.T, cpus int) *configuration.Document {
	return document(t, fmt.Sprintf("[[teams]]\nname = \"a\"\ncpus_max = %d\n", cpus))
}

// isolate cuts a follower off, or ends that.
func (s *site) isolate(name string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[name] = cut
}

// lastUsed is what the leader was last told to go by.
func (s *site) lastUsed() *configuration.Active {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used[len(s.used)-1]
}

// noOlder fails if a follower may go by an older revision than one that is in force.
func (s *site) noOlder(inForce uint64) {
	s.t.Helper()
	for name, k := range s.followers {
		if right, ok := k.Lease(); ok && right.Active.Revision < inForce {
			s.t.Errorf("%s may go by revision %d while %d is in force", name, right.Active.Revision, inForce)
		}
	}
}

var small = settings.State{RPS: 1000, WriteRPS: 1000, ValueKB: 1, TxnOps: 3}
var usual = settings.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}

// With everyone there a change is in force at once; with a sibling out of reach, once its right is over, and that one
// decides nothing by the old one from then on.
func TestApplyPutsInForce(t *testing.T) {
	for _, cut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, usual)
			a := s.elect()
			time.Sleep(time.Second)
			s.isolate("y", cut)
			began := time.Now()
			answer, err := a.Apply(s.ctx, Request{Document: limited(t, 50), By: "me", Why: "less"})
			if err != nil || answer.Revision != 1 || answer.InForce == cut {
				t.Fatalf("%+v, %v", answer, err)
			}
			if cut && (len(answer.WaitsFor) != 1 || !strings.HasPrefix(answer.WaitsFor[0], "y, for")) {
				t.Errorf("waits for %v", answer.WaitsFor)
			}
			for !answer.InForce {
				time.Sleep(10 * time.Millisecond)
				answer, _ = a.Progress()
			}
			s.noOlder(1)
			if took := time.Since(began); cut && took > 2*time.Second || !cut && took > 100*time.Millisecond {
				t.Errorf("in force after %v", took)
			}
			if last := s.lastUsed(); last.Revision != 1 {
				t.Errorf("the leader goes by revision %d", last.Revision)
			}
			if _, ok := s.followers["y"].Lease(); ok == cut {
				t.Errorf("y has a right: %v", ok)
			}
			s.stop()
		})
	}
}

// stop lets everything that a bubble has started end.
func (s *site) stop() { s.mu.Lock(); s.cut = map[string]bool{}; s.mu.Unlock() }

// A start that was decided before the change and is not on record holds it up, and is named.
func TestChangeWaitsForEarlierDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, usual)
		a := s.elect()
		s.mu.Lock()
		s.undecided = 3
		s.mu.Unlock()
		answer, err := a.Apply(s.ctx, Request{Document: limited(t, 50)})
		if err != nil || answer.InForce || len(answer.WaitsFor) == 0 || !strings.HasPrefix(answer.WaitsFor[0], "3 starts") {
			t.Fatalf("%+v, %v", answer, err)
		}
		if limit, _ := s.lastUsed().Limit("a"); limit.CPUs != 50 {
			t.Errorf("meanwhile the limit is %g", limit.CPUs)
		}
		s.mu.Lock()
		s.undecided = 0
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		if answer, _ = a.Progress(); !answer.InForce {
			t.Errorf("%+v", answer)
		}
	})
}

// Of two operators one wins, and the other hears of it; the same document once more changes nothing.
func TestTwoOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, usual)
		a := s.elect()
		expect := uint64(0)
		outcomes := make(chan error, 2)
		for i := range 2 {
			go func() {
				_, err := a.Apply(s.ctx, Request{Document: limited(t, 10+i), Expect: &expect})
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
		revision, newest, _ := a.Current()
		again, err := a.Apply(s.ctx, Request{Document: document(t, revision.Document)})
		if err != nil || !again.Unchanged || !again.InForce || newest != 1 || again.Revision != 1 {
			t.Errorf("%+v, %v", again, err)
		}
	})
}

// A flood of changes: each is in force or refused at once, none is lost, and the last 50 stay on record.
func TestFloodOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, small)
		a := s.elect()
		var wg sync.WaitGroup
		var mu sync.Mutex
		inForce := 0
		for i := range 100 {
			wg.Go(func() {
				for {
					answer, err := a.Apply(s.ctx, Request{Document: limited(t, 10+i)})
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
		_, newest, _ := a.Current()
		history, err := a.History(s.ctx)
		if inForce != 100 || newest != 100 || err != nil || len(history) != tuning.ConfigurationKept || s.state.Under(configuration.PartPrefix) != tuning.ConfigurationKept {
			t.Errorf("%d in force, newest %d, %d in the history, %d on record, %v", inForce, newest, len(history), s.state.Under(configuration.PartPrefix), err)
		}
	})
}

// large is a document of many parts in small values.
func large(n int) string {
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	var b strings.Builder
	for i := range 160 {
		fmt.Fprintf(&b, "[[teams]]\nname = \"team-%d\"\ncpus_max = %d\n", rng.IntN(1e9)*100+i, 1+rng.IntN(1e9))
	}
	return b.String()
}

// The leader ends between any two of its writes: the next one goes by a whole revision, the former or the new one, and
// can change it again.
func TestCrashBetweenAnyTwoWrites(t *testing.T) {
	for writes := range 12 {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, small)
			a := s.elect()
			if _, err := a.Apply(s.ctx, Request{Document: document(t, large(1))}); err != nil {
				t.Fatal(err)
			}
			n := 0
			s.mu.Lock()
			s.fail = func() bool { n++; return n > writes }
			s.mu.Unlock()
			ctx, stop := context.WithTimeout(s.ctx, 2*time.Second)
			_, _ = a.Apply(ctx, Request{Document: document(t, large(2))})
			stop()
			s.mu.Lock()
			s.fail = func() bool { return false }
			s.mu.Unlock()
			b := s.ready(s.elect())
			revision, newest, trouble := b.Current()
			if trouble != "" || revision.Number != newest || revision.Document != large(int(revision.Number)) {
				t.Fatalf("after %d writes: revision %d, newest %d, %s", writes, revision.Number, newest, trouble)
			}
			answer, err := b.Apply(s.ctx, Request{Document: document(t, large(3))})
			if err != nil || !answer.InForce || answer.Revision != newest+1 {
				t.Errorf("after %d writes: %+v, %v", writes, answer, err)
			}
		})
	}
}

// A revision that is damaged, or of a newer format, is not taken: the last good one counts, and a change goes on from
// there.
func TestDamagedAndNewerRevisions(t *testing.T) {
	for name, damage := range map[string]func(s *site){
		"a part": func(s *site) {
			s.state.Put(configuration.PartKey(2, 0), configuration.Part{Format: 1, Of: 1, Text: "x"})
		},
		"no JSON": func(s *site) { s.state.Put(configuration.PartKey(2, 0), "x") },
		"newer": func(s *site) {
			s.state.Put(configuration.PartKey(2, 0), configuration.Part{Format: 2, Of: 1, Text: "x"})
		},
		"the head": func(s *site) {
			s.state.Put(configuration.PartKey(2, 0), "x")
			s.state.Put(configuration.HeadKey, "x")
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, usual)
			a := s.elect()
			for i := range 2 {
				if _, err := a.Apply(s.ctx, Request{Document: limited(t, 10+i)}); err != nil {
					t.Fatal(err)
				}
			}
			damage(s)
			b := s.ready(s.elect())
			revision, newest, trouble := b.Current()
			if revision == nil || revision.Number != 1 || newest != 2 || trouble == "" || b.active.Revision != 1 {
				t.Fatalf("%s: %+v, newest %d, trouble %q", name, revision, newest, trouble)
			}
			answer, err := b.Apply(s.ctx, Request{Document: limited(t, 30)})
			if revision, _, trouble = b.Current(); err != nil || answer.Revision != 3 || revision.Number != 3 || trouble != "" {
				t.Errorf("%s: %+v, %v", name, answer, err)
			}
		})
	}
}

// In an outage a change is refused at once, and what is in force stays in force.
func TestOutageRefusesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, usual)
		a := s.elect()
		if _, err := a.Apply(s.ctx, Request{Document: limited(t, 10)}); err != nil {
			t.Fatal(err)
		}
		s.state.Outage(true)
		began := time.Now()
		if _, err := a.Apply(s.ctx, Request{Document: limited(t, 11)}); !errors.Is(err, ErrUnavailable) || time.Since(began) > time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if last := s.lastUsed(); last.Revision != 1 {
			t.Errorf("the leader goes by revision %d", last.Revision)
		}
		time.Sleep(3 * time.Second)
		if _, ok := s.followers["x"].Lease(); ok {
			t.Error("a follower that cannot confirm it still goes by it")
		}
	})
}

// A leader that has just begun does not call in force what it has read: its former one may have stored it a moment ago,
// and a controller that is cut off may still go by the older one.
func TestNewLeaderCallsNothingInForceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, usual)
		a := s.elect()
		if _, err := a.Apply(s.ctx, Request{Document: limited(t, 10)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		s.isolate("y", true)
		ctx, stop := context.WithTimeout(s.ctx, 10*time.Millisecond)
		stored, err := a.Apply(ctx, Request{Document: limited(t, 20)})
		stop()
		if err != nil || stored.Revision != 2 || stored.InForce {
			t.Fatalf("%+v, %v", stored, err)
		}
		b := s.elect()
		if _, err := b.Apply(s.ctx, Request{Document: limited(t, 20)}); !errors.Is(err, ErrBusy) {
			t.Errorf("the same once more, at once: %v", err)
		}
		for {
			progress, ok := b.Progress()
			if right, holds := s.followers["y"].Lease(); ok && progress.InForce && holds && right.Active.Revision < 2 {
				t.Fatal("called in force while y may go by revision 1")
			}
			if progress.InForce {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		again, err := b.Apply(s.ctx, Request{Document: limited(t, 20)})
		if err != nil || !again.Unchanged || !again.InForce {
			t.Errorf("%+v, %v", again, err)
		}
	})
}

// Random troubles: answers lost, transactions not executed, followers out of reach, leaders that change at any moment.
// Whatever happens, no follower may go by a revision older than one that was told to be in force, and every leader
// begins with one that is as new.
func TestNothingOlderThanWhatIsInForce(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			s := newSite(t, []settings.State{small, usual}[seed%2])
			s.mu.Lock()
			// Drawn with the lock held, by whoever calls.
			network := rand.New(rand.NewPCG(seed, 4))
			s.drop = func() bool { return network.IntN(4) == 0 }
			s.fail = func() bool { return network.IntN(6) == 0 }
			s.mu.Unlock()
			a := s.elect()
			inForce := uint64(0)
			for step := range 40 {
				s.mu.Lock()
				for _, name := range []string{"x", "y"} {
					s.cut[name] = rng.IntN(3) == 0
				}
				s.mu.Unlock()
				ctx, stop := context.WithTimeout(s.ctx, time.Duration(rng.IntN(2500))*time.Millisecond)
				text := large(step)
				if rng.IntN(2) == 0 {
					text = fmt.Sprintf("[[teams]]\nname = \"a\"\ncpus_max = %d\n", 1+step)
				}
				answer, err := a.Apply(ctx, Request{Document: document(t, text)})
				stop()
				if err == nil && answer.InForce {
					inForce = max(inForce, answer.Revision)
				}
				s.noOlder(inForce)
				for range rng.IntN(20) {
					time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
					if progress, ok := a.Progress(); ok && progress.InForce {
						inForce = max(inForce, progress.Revision)
					}
					s.noOlder(inForce)
				}
				if rng.IntN(4) == 0 {
					a = s.elect()
					if a.active.Revision < inForce {
						t.Fatalf("seed %d: a leader begins with revision %d, %d is in force", seed, a.active.Revision, inForce)
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
func TestLateCopyOfAnEarlierPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, small)
		a := s.elect()
		_, parts, err := configuration.Encode(&configuration.Revision{Number: 1, AtMS: time.Now().UnixMilli(), Document: large(2)}, small.ValueBytes())
		if err != nil || len(parts) < 3 {
			t.Fatalf("%d parts, %v", len(parts), err)
		}
		transactions := 0
		at := func(n int, what func()) func() bool {
			transactions = 0
			return func() bool {
				if transactions++; transactions == n {
					what()
				}
				return false
			}
		}
		// The first try's first parts are held back, and sent again; then the state service is out.
		s.state.HoldNext = true
		s.mu.Lock()
		s.fail = at(3, func() { s.state.Outage(true) })
		s.mu.Unlock()
		if _, err := a.Apply(s.ctx, Request{Document: document(t, large(1))}); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("the first change: %v", err)
		}
		s.state.Outage(false)
		s.mu.Lock()
		s.fail = at((len(parts)-1)/2+1, s.state.Deliver)
		s.mu.Unlock()
		if _, err := a.Apply(s.ctx, Request{Document: document(t, large(2))}); !errors.Is(err, ErrConflict) {
			t.Errorf("the second change: %v", err)
		}
		s.mu.Lock()
		s.fail = func() bool { return false }
		s.mu.Unlock()
		answer, err := a.Apply(s.ctx, Request{Document: document(t, large(2))})
		b := s.elect()
		if revision, _, trouble := b.Current(); err != nil || !answer.InForce || trouble != "" || revision == nil || revision.Document != large(2) {
			t.Errorf("tried again: %+v, %v, trouble %q", answer, err, trouble)
		}
	})
}
