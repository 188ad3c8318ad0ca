package revisions

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"switchferry/configuration"
	"switchferry/settings"
	"switchferry/tuning"
)

// If all peers can be reached, a change is in force at once. If a peer is isolated, the change is in force once
// that peer's lease has expired, and the peer does not use the old revision from then on.
func TestApplyWaitsForPeersOrTheirLeases(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t, usualLimits)
			applier := cluster.elect()
			time.Sleep(time.Second)
			cluster.isolate("y", isolated)
			began := time.Now()
			answer, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 50), Operator: "me", Reason: "less"})
			if err != nil || answer.Revision != 1 || answer.InForce == isolated {
				t.Fatalf("%+v, %v", answer, err)
			}
			if isolated && (len(answer.WaitsFor) != 1 || !strings.HasPrefix(answer.WaitsFor[0], "y, for")) {
				t.Errorf("waits for %v", answer.WaitsFor)
			}
			for !answer.InForce {
				time.Sleep(10 * time.Millisecond)
				answer, _ = applier.Progress()
			}
			cluster.requireNoOlderLease(1)
			if took := time.Since(began); isolated && took > 2*time.Second || !isolated && took > 100*time.Millisecond {
				t.Errorf("in force after %v", took)
			}
			if last := cluster.lastAdopted(); last.Revision != 1 {
				t.Errorf("the leader uses revision %d", last.Revision)
			}
			if _, ok := cluster.followers["y"].Lease(); ok == isolated {
				t.Errorf("y has a lease: %v", ok)
			}
			cluster.reconnectFollowers()
		})
	}
}

// A change is not in force before all starts that were decided before it are persisted, and the answer lists them as
// what the change waits for.
func TestChangeWaitsUntilEarlierDecisionsArePersisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, usualLimits)
		applier := cluster.elect()
		cluster.mu.Lock()
		cluster.unpersisted = 3
		cluster.mu.Unlock()
		answer, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 50)})
		if err != nil || answer.InForce || len(answer.WaitsFor) == 0 || !strings.HasPrefix(answer.WaitsFor[0], "3 starts") {
			t.Fatalf("%+v, %v", answer, err)
		}
		if limit, _ := cluster.lastAdopted().Limit("a"); limit.CPUs != 50 {
			t.Errorf("before the change is in force, the limit is %g, want 50", limit.CPUs)
		}
		cluster.mu.Lock()
		cluster.unpersisted = 0
		cluster.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		if answer, _ = applier.Progress(); !answer.InForce {
			t.Errorf("%+v", answer)
		}
	})
}

// Of two concurrent changes that expect the same revision, one is made and the other is refused. Applying the
// current document again changes nothing.
func TestOneOfTwoConcurrentChangesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, usualLimits)
		applier := cluster.elect()
		expect := uint64(0)
		outcomes := make(chan error, 2)
		for i := range 2 {
			go func() {
				_, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 10+i), ExpectedRevision: &expect})
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
		repeated, err := applier.Apply(cluster.ctx, Request{Document: parseDocument(t, revision.Document)})
		if err != nil || !repeated.Unchanged || !repeated.InForce || newest != 1 || repeated.Revision != 1 {
			t.Errorf("%+v, %v", repeated, err)
		}
	})
}

// Many concurrent changes all come into force in the end, and only the last tuning.ConfigurationRetention revisions
// are kept.
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
		if inForce != 100 || newest != 100 || err != nil || len(history) != tuning.ConfigurationRetention || cluster.state.CountPrefix(configuration.PartPrefix) != tuning.ConfigurationRetention {
			t.Errorf("%d in force, newest %d, %d in the history, %d stored, %v", inForce, newest, len(history), cluster.state.CountPrefix(configuration.PartPrefix), err)
		}
	})
}

// If the leader crashes between any two of its writes, the next leader uses a complete revision, either the
// previous or the new one, and can make another change.
func TestCrashBetweenWritesLeavesCompleteRevision(t *testing.T) {
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
			nextApplier := cluster.awaitSettled(cluster.elect())
			revision, newest, rejection := nextApplier.Current()
			if rejection != "" || revision.Number != newest || revision.Document != largeDocument(int(revision.Number)) {
				t.Fatalf("after %d writes: revision %d, newest %d, %s", writes, revision.Number, newest, rejection)
			}
			answer, err := nextApplier.Apply(cluster.ctx, Request{Document: parseDocument(t, largeDocument(3))})
			if err != nil || !answer.InForce || answer.Revision != newest+1 {
				t.Errorf("after %d writes: %+v, %v", writes, answer, err)
			}
		})
	}
}

// A stored revision that is damaged or of a newer format is not used. The last usable one is used instead, and
// another change can be made.
func TestUnusableRevisionFallsBackToLastUsable(t *testing.T) {
	for name, damage := range map[string]func(cluster *testCluster){
		"a damaged part": func(cluster *testCluster) {
			cluster.state.Put(configuration.PartKey(2, 0), configuration.Part{Format: 1, PartCount: 1, Text: "x"})
		},
		"a part that is not JSON": func(cluster *testCluster) { cluster.state.Put(configuration.PartKey(2, 0), "x") },
		"a newer format": func(cluster *testCluster) {
			cluster.state.Put(configuration.PartKey(2, 0), configuration.Part{Format: 2, PartCount: 1, Text: "x"})
		},
		"a damaged head": func(cluster *testCluster) {
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
			nextApplier := cluster.awaitSettled(cluster.elect())
			revision, newest, rejection := nextApplier.Current()
			if revision == nil || revision.Number != 1 || newest != 2 || rejection == "" || nextApplier.active.Revision != 1 {
				t.Fatalf("%s: %+v, newest %d, rejection %q", name, revision, newest, rejection)
			}
			answer, err := nextApplier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 30)})
			if revision, _, rejection = nextApplier.Current(); err != nil || answer.Revision != 3 || revision.Number != 3 || rejection != "" {
				t.Errorf("%s: %+v, %v", name, answer, err)
			}
		})
	}
}

// If the state service's answer to a change is lost, the applier finds out that the change is stored.
func TestChangeWithLostAnswerIsFoundStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, usualLimits)
		applier := cluster.elect()
		lost := false
		cluster.mu.Lock()
		cluster.dropAnswer = func() bool {
			first := !lost
			lost = true
			return first
		}
		cluster.mu.Unlock()
		answer, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 10)})
		if err != nil || answer.Revision != 1 || !answer.InForce || !lost {
			t.Errorf("%+v, %v, answer lost: %v", answer, err, lost)
		}
		if limit, _ := cluster.lastAdopted().Limit("a"); limit.CPUs != 10 {
			t.Errorf("the leader limits the team to %g", limit.CPUs)
		}
	})
}

// During an outage of the state service a change is refused at once, and the current revision stays in force.
func TestOutageRefusesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, usualLimits)
		applier := cluster.elect()
		if _, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 10)}); err != nil {
			t.Fatal(err)
		}
		cluster.state.SetDown(true)
		began := time.Now()
		if _, err := applier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 11)}); !errors.Is(err, ErrUnavailable) || time.Since(began) > time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if last := cluster.lastAdopted(); last.Revision != 1 {
			t.Errorf("the leader uses revision %d", last.Revision)
		}
		time.Sleep(3 * time.Second)
		if _, ok := cluster.followers["x"].Lease(); ok {
			t.Error("a follower that cannot confirm its revision still uses it")
		}
	})
}

// A new leader does not at once report the revision that it has read as in force: the previous leader may just
// have stored it, and an isolated controller may still use an older one.
func TestNewLeaderDoesNotReportInForceBeforeLeasesExpire(t *testing.T) {
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
		nextApplier := cluster.elect()
		if _, err := nextApplier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 20)}); !errors.Is(err, ErrBusy) {
			t.Errorf("the same change again, before the rollout is finished: %v", err)
		}
		for {
			progress, ok := nextApplier.Progress()
			if lease, holds := cluster.followers["y"].Lease(); ok && progress.InForce && holds && lease.Active.Revision < 2 {
				t.Fatal("revision 2 is reported as in force while y may use revision 1")
			}
			if progress.InForce {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		repeated, err := nextApplier.Apply(cluster.ctx, Request{Document: documentWithLimit(t, 20)})
		if err != nil || !repeated.Unchanged || !repeated.InForce {
			t.Errorf("%+v, %v", repeated, err)
		}
	})
}

// Under random faults (lost answers, transactions that are not executed, isolated followers, changes of leader
// at any time), no follower may use a revision older than one that was reported as in force, and no leader
// begins with an older one.
func TestNoLeaseIsOlderThanRevisionInForce(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			cluster := newTestCluster(t, []settings.StateLimits{smallLimits, usualLimits}[seed%2])
			cluster.mu.Lock()
			// The functions are called with cluster.mu held, which also guards the generator.
			networkRNG := rand.New(rand.NewPCG(seed, 4))
			cluster.dropAnswer = func() bool { return networkRNG.IntN(4) == 0 }
			cluster.dropRequest = func() bool { return networkRNG.IntN(6) == 0 }
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

// A delayed duplicate of a write for a refused change is executed between the parts and the head of the next
// change. The next change must not be stored with a part of the refused one.
func TestDelayedDuplicateOfEarlierPartIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, smallLimits)
		applier := cluster.elect()
		_, parts, err := configuration.Encode(&configuration.Revision{Number: 1, AtMS: time.Now().UnixMilli(), Document: largeDocument(2)}, smallLimits.MaxValueBytes())
		if err != nil || len(parts) < 3 {
			t.Fatalf("%d parts, %v", len(parts), err)
		}
		transactions := 0
		atTransaction := func(n int, action func()) func() bool {
			transactions = 0
			return func() bool {
				if transactions++; transactions == n {
					action()
				}
				return false
			}
		}
		// The write of the first parts of the first change is held back and retried. Then the outage begins.
		cluster.state.HoldNextTransaction = true
		cluster.mu.Lock()
		cluster.dropRequest = atTransaction(3, func() { cluster.state.SetDown(true) })
		cluster.mu.Unlock()
		if _, err := applier.Apply(cluster.ctx, Request{Document: parseDocument(t, largeDocument(1))}); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("the first change: %v", err)
		}
		cluster.state.SetDown(false)
		cluster.mu.Lock()
		cluster.dropRequest = atTransaction((len(parts)-1)/2+1, cluster.state.ExecuteHeld)
		cluster.mu.Unlock()
		if _, err := applier.Apply(cluster.ctx, Request{Document: parseDocument(t, largeDocument(2))}); !errors.Is(err, ErrConflict) {
			t.Errorf("the second change: %v", err)
		}
		cluster.mu.Lock()
		cluster.dropRequest = func() bool { return false }
		cluster.mu.Unlock()
		answer, err := applier.Apply(cluster.ctx, Request{Document: parseDocument(t, largeDocument(2))})
		nextApplier := cluster.elect()
		if revision, _, rejection := nextApplier.Current(); err != nil || !answer.InForce || rejection != "" || revision == nil || revision.Document != largeDocument(2) {
			t.Errorf("second change retried: %+v, %v, rejection %q", answer, err, rejection)
		}
	})
}
