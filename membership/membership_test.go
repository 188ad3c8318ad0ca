package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"switchferry/tuning"
)

// cluster simulates three controllers that send each other hellos, on one simulated clock. Tests cut links between
// them and pause, stop and restart their processes.
type cluster struct {
	*testing.T
	now       time.Time
	rng       *rand.Rand
	lists     map[string]*MemberList
	startedMS map[string]uint64
	// running and pausedUntil describe each process.
	running     map[string]bool
	pausedUntil map[string]time.Time
	// cutLinks has the directions in which all messages are lost: "ab" means from a to b.
	cutLinks map[string]bool
	// lossRate is the fraction of messages that are lost and retransmitted, which delays them by up to a second.
	lossRate  float64
	leaving   map[string]bool
	nextHello map[string]time.Time
	// messages are those in transit.
	messages []message
	// log has one line for each change of level, in the form "observer: member level [impaired components]".
	log []string
	// failedAt has the time of each change to Failed: "ab" means that a declared b failed.
	failedAt map[string]time.Time
}

// message is an observation in transit.
type message struct {
	deliverAt   time.Time
	to          string
	observation Observation
}

var memberNames = []string{"a", "b", "c"}

// newCluster returns a cluster whose members are all running and have exchanged hellos for 10 s.
func newCluster(t *testing.T) *cluster {
	cluster := &cluster{T: t, now: time.Unix(1_790_000_000, 0), rng: rand.New(rand.NewPCG(1, 2)), lists: map[string]*MemberList{}, startedMS: map[string]uint64{}, running: map[string]bool{},
		pausedUntil: map[string]time.Time{}, cutLinks: map[string]bool{}, leaving: map[string]bool{}, nextHello: map[string]time.Time{}, failedAt: map[string]time.Time{}}
	for _, name := range memberNames {
		cluster.start(name)
	}
	cluster.run(10 * time.Second)
	cluster.log, cluster.failedAt = nil, map[string]time.Time{}
	return cluster
}

// start starts a process, or restarts it with a new member list, and establishes its connections.
func (c *cluster) start(name string) {
	c.running[name], c.startedMS[name] = true, uint64(c.now.UnixMilli())
	c.lists[name] = New(name, slices.DeleteFunc(slices.Clone(memberNames), func(other string) bool { return other == name }), c.now)
	for _, other := range memberNames {
		if other != name {
			c.send(other, name, Connection{name, Established})
			c.send(name, other, Connection{other, Established})
		}
	}
}

// send delivers an observation from sender after a random delay, unless the link is cut.
func (c *cluster) send(to, sender string, observation Observation) {
	delay := time.Duration(c.rng.IntN(4)) * time.Millisecond
	if c.rng.Float64() < c.lossRate {
		delay += 200*time.Millisecond + time.Duration(c.rng.IntN(800))*time.Millisecond
	}
	if !c.cutLinks[sender+to] {
		c.messages = append(c.messages, message{c.now.Add(delay), to, observation})
	}
}

// crash ends a process: the connections of the others to it are reset, and new ones are refused.
func (c *cluster) crash(name string) {
	c.running[name] = false
	for _, other := range memberNames {
		if other != name {
			c.send(other, name, Connection{name, Reset})
		}
	}
}

func (c *cluster) paused(name string) bool { return c.pausedUntil[name].After(c.now) }

// run advances the simulation by duration in steps of 50 ms.
func (c *cluster) run(duration time.Duration) {
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(50 * time.Millisecond) {
		for _, name := range memberNames {
			if c.paused(name) || c.now.Before(c.nextHello[name]) {
				continue
			}
			c.nextHello[name] = c.now.Add(tuning.PeerHelloInterval)
			for _, other := range memberNames {
				switch {
				case other == name:
				case c.running[name]:
					c.send(other, name, Hello{From: name, StartedMS: c.startedMS[name], HeardPeers: c.lists[name].HeardPeers(), StateOK: true, ReceivesHeartbeats: true, BenchmarkUS: 100, Leaving: c.leaving[name]})
				default:
					c.send(other, name, Connection{name, Refused})
				}
			}
		}
		for _, name := range memberNames {
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
				c.log = append(c.log, fmt.Sprintf("%s: %s %s %v", name, change.Member, change.To, change.ImpairedComponents))
				if change.To == Failed {
					c.failedAt[name+change.Member] = c.now
				}
			}
		}
	}
}

// level returns the level of member in the view of observer.
func (c *cluster) level(observer, member string) Level {
	for _, view := range c.lists[observer].Views(c.now) {
		if view.Member == member {
			return view.Level
		}
	}
	return ""
}

func (c *cluster) expectLevel(observer, member string, level Level) {
	c.Helper()
	if got := c.level(observer, member); got != level {
		c.Errorf("%s sees %s as %s, want %s; %v", observer, member, got, level, c.log)
	}
}

// A crash is detected by reset and refused connections before the hellos are overdue. The crashed controller is
// suspected at once, and declared failed as soon as a second controller does not receive its hellos either.
func TestCrashIsConfirmedByTwoObservers(t *testing.T) {
	cluster := newCluster(t)
	at := cluster.now
	cluster.crash("c")
	cluster.run(3 * time.Second)
	cluster.expectLevel("a", "c", Failed)
	cluster.expectLevel("b", "c", Failed)
	cluster.expectLevel("a", "b", Alive)
	for _, name := range []string{"ac", "bc"} {
		if took := cluster.failedAt[name].Sub(at); took > 1500*time.Millisecond {
			t.Errorf("observer and member %s: declared failed %v after the crash", name, took)
		}
	}
	cluster.start("c")
	cluster.run(2 * time.Second)
	cluster.expectLevel("a", "c", Alive)
	if !slices.Contains(cluster.log, "a: c alive []") {
		t.Error("the restart was not reported as a change:", cluster.log)
	}
}

// A paused controller is at most suspected until its next hello, and never declared failed. After the pause, it does
// not suspect the others because of the hellos that it could not read during the pause.
func TestPausedControllerIsNotDeclaredFailed(t *testing.T) {
	for _, pause := range []time.Duration{600 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			cluster := newCluster(t)
			cluster.pausedUntil["c"] = cluster.now.Add(pause)
			cluster.run(pause + 5*time.Second)
			cluster.expectLevel("a", "c", Alive)
			for _, line := range cluster.log {
				if line[:2] == "c:" && line[3] != 'c' {
					t.Errorf("the paused controller changed the level of another: %v", cluster.log)
					break
				}
			}
			if len(cluster.failedAt) > 0 {
				t.Errorf("declared failed: %v", cluster.log)
			}
		})
	}
}

// Hellos that arrived while this controller was paused are read only after the pause, so the pause does not count
// towards the silence of its peers.
func TestLocalPauseDoesNotCountAsPeerSilence(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	list := New("a", []string{"b"}, now)
	for range 20 {
		now = now.Add(tuning.PeerHelloInterval)
		list.Step(now, Hello{From: "b", StartedMS: 1, StateOK: true})
	}
	if changes := list.Step(now.Add(10 * time.Second)); len(changes) > 0 {
		t.Errorf("changes after a pause of this controller: %+v", changes)
	}
}

// If one peer receives no hellos from a controller and another one does, the link has failed, in one direction or in
// both, and not the controller. It is suspected with an impaired link and not declared failed.
func TestLinkFailureIsNotDeclaredProcessFailure(t *testing.T) {
	for name, links := range map[string][]string{"one direction": {"ca"}, "both directions": {"ca", "ac"}} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t)
			for _, link := range links {
				cluster.cutLinks[link] = true
			}
			cluster.run(20 * time.Second)
			cluster.expectLevel("a", "c", Suspected)
			cluster.expectLevel("b", "c", Alive)
			cluster.expectLevel("b", "a", Alive)
			if len(cluster.failedAt) > 0 {
				t.Errorf("declared failed: %v", cluster.log)
			}
			for _, view := range cluster.lists["a"].Views(cluster.now) {
				if view.Member == "c" && !slices.Equal(view.ImpairedComponents, []string{Link}) {
					t.Errorf("impaired components %v, want only the link", view.ImpairedComponents)
				}
			}
			clear(cluster.cutLinks)
			cluster.run(5 * time.Second)
			cluster.expectLevel("a", "c", Alive)
		})
	}
}

// A controller that receives no hellos, and whose connections nobody refuses, suspects itself and declares no other
// controller failed.
func TestIsolatedControllerSuspectsItself(t *testing.T) {
	cluster := newCluster(t)
	for _, other := range []string{"ba", "ca", "ab", "ac"} {
		cluster.cutLinks[other] = true
	}
	cluster.run(20 * time.Second)
	cluster.expectLevel("a", "a", Suspected)
	cluster.expectLevel("a", "b", Suspected)
	cluster.expectLevel("b", "a", Failed)
	if _, ok := cluster.failedAt["ab"]; ok {
		t.Error("the isolated controller declared another one failed")
	}
}

// A delayed hello of an earlier process does not override those of the restarted one, and a graceful shutdown is not
// a failure.
func TestGracefulShutdownAndRestartAreNotFailures(t *testing.T) {
	cluster := newCluster(t)
	cluster.leaving["c"] = true
	cluster.run(time.Second)
	cluster.expectLevel("a", "c", Left)
	cluster.crash("c")
	cluster.run(5 * time.Second)
	cluster.expectLevel("a", "c", Left)
	old := Hello{From: "c", StartedMS: cluster.startedMS["c"], StateOK: true, ReceivesHeartbeats: true, Leaving: true}
	cluster.leaving["c"] = false
	cluster.start("c")
	cluster.run(2 * time.Second)
	cluster.lists["a"].Step(cluster.now, old)
	cluster.expectLevel("a", "c", Alive)
}

// A leader that receives no heartbeats while another controller does has impaired access to workers. A follower that
// receives none is healthy: within a single zone, all workers send their heartbeats to the
// leader.
func TestOnlyTheLeaderMustReceiveHeartbeats(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprintf("leads %v", leads), func(t *testing.T) {
			list := New("a", []string{"b"}, now)
			list.Step(now, LocalState{StateOK: true, ReceivesHeartbeats: true}, Hello{From: "b", StartedMS: 1, StateOK: true, Leads: leads})
			view := list.Views(now)[1]
			if view.Level != Alive || slices.Contains(view.ImpairedComponents, Workers) != leads {
				t.Errorf("level %s, impaired components %v", view.Level, view.ImpairedComponents)
			}
		})
	}
}

// With 1 % of messages lost for two hours, no controller is declared failed, and few are suspected.
func TestMessageLossDoesNotCauseFailedLevel(t *testing.T) {
	cluster := newCluster(t)
	cluster.lossRate = 0.01
	cluster.run(2 * time.Hour)
	if len(cluster.failedAt) > 0 {
		t.Error("a controller was declared failed because of message loss")
	}
	if n := len(cluster.log); n > 40 {
		t.Errorf("%d changes of level in two hours, want at most 40", n)
	} else {
		t.Logf("%d changes of level in two hours among three controllers", n)
	}
}
