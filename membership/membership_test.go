package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"switchferry/tuning"
)

// cluster is three controllers that send each other hellos on one simulated clock. The tests cut links between
// them, and pause, stop and restart processes.
type cluster struct {
	*testing.T
	now       time.Time
	rng       *rand.Rand
	lists     map[string]*MemberList
	startedMS map[string]uint64
	// running and pausedUntil describe each process; cutLinks has the directions in which nothing arrives, "ab"
	// from a to b.
	running     map[string]bool
	pausedUntil map[string]time.Time
	cutLinks    map[string]bool
	// loss is the share of messages that are lost and arrive, sent again, up to a second later.
	loss      float64
	leaving   map[string]bool
	nextHello map[string]time.Time
	messages  []message
	log       []string
	failed    map[string]time.Time
}

type message struct {
	deliverAt   time.Time
	to          string
	observation Observation
}

var names = []string{"a", "b", "c"}

func newCluster(t *testing.T) *cluster {
	cluster := &cluster{T: t, now: time.Unix(1_790_000_000, 0), rng: rand.New(rand.NewPCG(1, 2)), lists: map[string]*MemberList{}, startedMS: map[string]uint64{}, running: map[string]bool{},
		pausedUntil: map[string]time.Time{}, cutLinks: map[string]bool{}, leaving: map[string]bool{}, nextHello: map[string]time.Time{}, failed: map[string]time.Time{}}
	for _, name := range names {
		cluster.start(name)
	}
	cluster.run(10 * time.Second)
	cluster.log, cluster.failed = nil, map[string]time.Time{}
	return cluster
}

func (c *cluster) start(name string) {
	c.running[name], c.startedMS[name] = true, uint64(c.now.UnixMilli())
	c.lists[name] = New(name, slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name }), c.now)
	for _, other := range names {
		if other != name {
			c.send(other, name, Connection{name, Established})
			c.send(name, other, Connection{other, Established})
		}
	}
}

func (c *cluster) send(to, from string, observation Observation) {
	delay := time.Duration(c.rng.IntN(4)) * time.Millisecond
	if c.rng.Float64() < c.loss {
		delay += 200*time.Millisecond + time.Duration(c.rng.IntN(800))*time.Millisecond
	}
	if !c.cutLinks[from+to] {
		c.messages = append(c.messages, message{c.now.Add(delay), to, observation})
	}
}

// crash ends a process: the connections of the others are reset, and new ones refused.
func (c *cluster) crash(name string) {
	c.running[name] = false
	for _, other := range names {
		if other != name {
			c.send(other, name, Connection{name, Reset})
		}
	}
}

func (c *cluster) paused(name string) bool { return c.pausedUntil[name].After(c.now) }

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(50 * time.Millisecond) {
		for _, name := range names {
			if c.paused(name) || c.now.Before(c.nextHello[name]) {
				continue
			}
			c.nextHello[name] = c.now.Add(tuning.PeerHello)
			for _, other := range names {
				switch {
				case other == name:
				case c.running[name]:
					c.send(other, name, Hello{From: name, StartedMS: c.startedMS[name], HeardPeers: c.lists[name].HeardPeers(), StateOK: true, ReceivesHeartbeats: true, BenchmarkUS: 100, Leaving: c.leaving[name]})
				default:
					c.send(other, name, Connection{name, Refused})
				}
			}
		}
		for _, name := range names {
			if !c.running[name] || c.paused(name) {
				continue
			}
			observations := []Observation{LocalState{StateOK: true, ReceivesHeartbeats: true}}
			c.messages = slices.DeleteFunc(c.messages, func(m message) bool {
				if m.to == name && !m.deliverAt.After(c.now) {
					observations = append(observations, m.observation)
					return true
				}
				return false
			})
			for _, change := range c.lists[name].Step(c.now, observations...) {
				c.log = append(c.log, fmt.Sprintf("%s: %s %s %v", name, change.Member, change.To, change.Parts))
				if change.To == Failed {
					c.failed[name+change.Member] = c.now
				}
			}
		}
	}
}

// level returns the level that one controller gives to another.
func (c *cluster) level(name, of string) Level {
	for _, view := range c.lists[name].Views(c.now) {
		if view.Member == of {
			return view.Level
		}
	}
	return ""
}

func (c *cluster) want(name, of string, level Level) {
	c.Helper()
	if got := c.level(name, of); got != level {
		c.Errorf("%s sees %s as %s, want %s; %v", name, of, got, level, c.log)
	}
}

// A crash shows by its connections before its silence does. The controller is suspected at once, and counts as
// failed as soon as a second one does not hear it.
func TestCrashNeedsTwoObservers(t *testing.T) {
	cluster := newCluster(t)
	at := cluster.now
	cluster.crash("c")
	cluster.run(3 * time.Second)
	cluster.want("a", "c", Failed)
	cluster.want("b", "c", Failed)
	cluster.want("a", "b", Alive)
	for _, name := range []string{"ac", "bc"} {
		if took := cluster.failed[name].Sub(at); took > 1500*time.Millisecond {
			t.Errorf("%s after %v", name, took)
		}
	}
	cluster.start("c")
	cluster.run(2 * time.Second)
	cluster.want("a", "c", Alive)
	if !slices.Contains(cluster.log, "a: c alive []") {
		t.Error("its restart is no change:", cluster.log)
	}
}

// A paused controller is suspected until its next hello. The controller that was paused does not suspect the
// others for what it could not hear meanwhile.
func TestPauseIsNotAFailure(t *testing.T) {
	for _, pause := range []time.Duration{600 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			cluster := newCluster(t)
			cluster.pausedUntil["c"] = cluster.now.Add(pause)
			cluster.run(pause + 5*time.Second)
			cluster.want("a", "c", Alive)
			for _, line := range cluster.log {
				if line[:2] == "c:" && line[3] != 'c' {
					t.Errorf("the paused controller changes the level of another: %v", cluster.log)
					break
				}
			}
			if len(cluster.failed) > 0 {
				t.Errorf("declared failed: %v", cluster.log)
			}
		})
	}
}

// The hellos that arrived during this controller's own pause are still to be read after it, so the pause is not
// the silence of others.
func TestOwnPauseIsNotTheSilenceOfOthers(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	list := New("a", []string{"b"}, now)
	for range 20 {
		now = now.Add(tuning.PeerHello)
		list.Step(now, Hello{From: "b", StartedMS: 1, StateOK: true})
	}
	if changes := list.Step(now.Add(10 * time.Second)); len(changes) > 0 {
		t.Errorf("after a pause: %+v", changes)
	}
}

// A controller that one peer does not hear while the other does is behind a broken link, whether the link
// fails in one direction or in both. It has not failed.
func TestLinkFailureIsNotAProcessFailure(t *testing.T) {
	for name, links := range map[string][]string{"one direction": {"ca"}, "both directions": {"ca", "ac"}} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t)
			for _, link := range links {
				cluster.cutLinks[link] = true
			}
			cluster.run(20 * time.Second)
			cluster.want("a", "c", Suspected)
			cluster.want("b", "c", Alive)
			cluster.want("b", "a", Alive)
			if len(cluster.failed) > 0 {
				t.Errorf("declared failed: %v", cluster.log)
			}
			for _, view := range cluster.lists["a"].Views(cluster.now) {
				if view.Member == "c" && !slices.Equal(view.Parts, []string{Link}) {
					t.Errorf("suspected of %v", view.Parts)
				}
			}
			clear(cluster.cutLinks)
			cluster.run(5 * time.Second)
			cluster.want("a", "c", Alive)
		})
	}
}

// A controller that hears nobody, and is refused by nobody, suspects itself and declares nobody failed.
func TestIsolatedControllerSuspectsItself(t *testing.T) {
	cluster := newCluster(t)
	for _, other := range []string{"ba", "ca", "ab", "ac"} {
		cluster.cutLinks[other] = true
	}
	cluster.run(20 * time.Second)
	cluster.want("a", "a", Suspected)
	cluster.want("a", "b", Suspected)
	cluster.want("b", "a", Failed)
	if _, ok := cluster.failed["ab"]; ok {
		t.Error("the isolated controller declares another failed")
	}
}

// Of contradicting hellos that of the later process counts, and a graceful shutdown is no failure.
func TestRestartsAndGracefulShutdown(t *testing.T) {
	cluster := newCluster(t)
	cluster.leaving["c"] = true
	cluster.run(time.Second)
	cluster.want("a", "c", Left)
	cluster.crash("c")
	cluster.run(5 * time.Second)
	cluster.want("a", "c", Left)
	old := Hello{From: "c", StartedMS: cluster.startedMS["c"], StateOK: true, ReceivesHeartbeats: true, Leaving: true}
	cluster.leaving["c"] = false
	cluster.start("c")
	cluster.run(2 * time.Second)
	cluster.lists["a"].Step(cluster.now, old)
	cluster.want("a", "c", Alive)
}

// A leader that no worker reaches while workers reach others is in trouble. A follower is not: within a single
// zone all workers report to the leader.
func TestOnlyTheLeaderMustReceiveHeartbeats(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprintf("leads %v", leads), func(t *testing.T) {
			list := New("a", []string{"b"}, now)
			list.Step(now, LocalState{StateOK: true, ReceivesHeartbeats: true}, Hello{From: "b", StartedMS: 1, StateOK: true, Leads: leads})
			view := list.Views(now)[1]
			if view.Level != Alive || slices.Contains(view.Parts, Workers) != leads {
				t.Errorf("%s, in trouble %v", view.Level, view.Parts)
			}
		})
	}
}

// In two hours with one message lost in a hundred no controller is declared failed, and few are suspected.
func TestMessageLossIsNotAFailure(t *testing.T) {
	cluster := newCluster(t)
	cluster.loss = 0.01
	cluster.run(2 * time.Hour)
	if len(cluster.failed) > 0 {
		t.Error("a controller is declared failed without cause")
	}
	if n := len(cluster.log); n > 40 {
		t.Errorf("%d changes of level in two hours", n)
	} else {
		t.Logf("%d changes of level in two hours among three", n)
	}
}
