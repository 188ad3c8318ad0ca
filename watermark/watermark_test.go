package watermark

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// cluster simulates three controllers, a, b and c, with a common clock. The tests observe a, which is certain to have
// led until start.
type cluster struct {
	t        *testing.T
	now      time.Time
	trackers map[string]*Tracker
	// disconnected holds the pairs of controllers that cannot reach each other, "ab" for a and b.
	disconnected map[string]bool
}

var (
	start  = time.Unix(1_000_000, 0)
	limits = NewLimits(47*time.Second, 17*time.Second) // leases are renewed for 29 s without confirmation
)

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, now: start.Add(-20 * time.Second), trackers: map[string]*Tracker{}, disconnected: map[string]bool{}}
	for _, member := range []string{"a", "b", "c"} {
		c.restart(member)
	}
	for c.now.Before(start) {
		c.trackers["a"].MarkCurrent(c.now)
		c.exchangeAndAdvance()
	}
	c.trackers["a"].MarkCurrent(c.now)
	return c
}

// restart replaces a controller by a new process without any state.
func (c *cluster) restart(member string) {
	var others []string
	for _, other := range []string{"a", "b", "c"} {
		if other != member {
			others = append(others, other)
		}
	}
	c.trackers[member] = New(c.now, others, limits)
}

// exchangeAndAdvance lets every controller apply a statement of each peer that it reaches, and advances the clock by
// one second.
func (c *cluster) exchangeAndAdvance() {
	for member, tracker := range c.trackers {
		for other, peer := range c.trackers {
			if other == member || c.disconnected[member+other] || c.disconnected[other+member] {
				continue
			}
			incarnation, receivedSeq := tracker.Position(other)
			if err := tracker.ApplyStatement(c.now, other, c.now, peer.Statement(c.now, incarnation, receivedSeq)); err != nil {
				c.t.Errorf("%s rejected the statement of %s: %v", member, other, err)
			}
		}
	}
	c.now = c.now.Add(time.Second)
}

// kills reports whether a controller would kill a running task of run-1.
func (c *cluster) kills(member string) bool {
	running := []api.TaskReport{{Task: "run-1/0", State: api.TaskRunning}}
	return len(c.trackers[member].KillCommands(running, nil)) > 0
}

// Without confirmation by its peers, a controller renews leases of 17 s for 29 s and no longer. Each case also states
// whether a learns of the cancellation of run-1, which b acknowledges. After start no controller reads the state
// service or leads, except where a case calls MarkCurrent.
func TestLeaseRenewalEndsWithoutConfirmation(t *testing.T) {
	const lastSecond = 120
	for _, test := range []struct {
		name string
		// apply simulates the events of the given second after start.
		apply func(c *cluster, second int)
		// lastRenewal is the last second in which a may renew leases, -1 if there is none.
		lastRenewal int
		// knowsCancellation is true if a learns that run-1 is cancelled.
		knowsCancellation bool
	}{
		{"no fault", func(*cluster, int) {}, lastSecond, false},
		{"cancelled by a peer", func(c *cluster, second int) {
			if second == 5 {
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			}
		}, lastSecond, true},
		{"cancelled by a peer that reaches only the other peer", func(c *cluster, second int) {
			c.disconnected["ab"] = true
			if second == 5 {
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			}
			// c forwards the cancellation that b has stated.
		}, lastSecond, true},
		{"cancelled by a peer that is disconnected from then on", func(c *cluster, second int) {
			if c.disconnected["ab"], c.disconnected["bc"] = second >= 5, second >= 5; second == 5 {
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			}
		}, 4 + 29, false},
		{"disconnected briefly", func(c *cluster, second int) {
			c.disconnected["ab"], c.disconnected["ac"] = second > 5 && second < 20, second > 5 && second < 20
		}, lastSecond, false},
		{"peers disconnected one after the other", func(c *cluster, second int) {
			c.disconnected["ab"], c.disconnected["ac"] = second > 5 && second < 20, second > 30 && second < 50
		}, lastSecond, false},
		{"disconnected permanently", func(c *cluster, second int) { c.disconnected["ab"], c.disconnected["ac"] = second > 5, second > 5 }, 5 + 29, false},
		{"disconnected for longer than renewal is allowed", func(c *cluster, second int) {
			c.disconnected["ab"], c.disconnected["ac"] = second > 5 && second < 60, second > 5 && second < 60
		}, lastSecond, false},
		{"peer cancels and restarts at once", func(c *cluster, second int) {
			if second == 5 {
				c.trackers["b"].RecordCancellation(c.now, "run-1")
				c.restart("b")
			}
		}, 4 + 29, false},
		{"peer cancels, states it and restarts", func(c *cluster, second int) {
			switch second {
			case 5:
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			case 7:
				c.restart("b")
			}
		}, 6 + 29, true},
		{"peer cancels, states it, restarts and cancels", func(c *cluster, second int) {
			switch second {
			case 3:
				c.trackers["b"].RecordCancellation(c.now, "run-9")
			case 5:
				c.restart("b")
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			}
		}, 4 + 29, true},
		{"both peers restart one after the other", func(c *cluster, second int) {
			switch second {
			case 5:
				c.restart("b")
			case 20:
				c.restart("c")
			}
		}, 4 + 29, false},
		{"restart", func(c *cluster, second int) {
			if second == 10 {
				c.restart("a")
			}
			// The new process gets from b and c what they know, including what its previous process acknowledged until
			// second 9.
		}, 9 + 28, false},
		{"all restart at once", func(c *cluster, second int) {
			if second == 0 {
				c.restart("a")
				c.restart("b")
				c.restart("c")
			}
		}, -1, false},
		{"peer restarts and later leads", func(c *cluster, second int) {
			switch {
			case second == 5:
				c.restart("b")
			case second >= 30:
				c.trackers["b"].RecordCancellation(c.now, "run-1")
				c.trackers["b"].MarkCurrent(c.now)
			}
		}, lastSecond, true},
		{"more cancellations than a statement holds", func(c *cluster, second int) {
			if second == 5 {
				for i := range 2*tuning.MaxStatementCancellations + 1 {
					c.trackers["b"].RecordCancellation(c.now, fmt.Sprintf("run-%d", i+1))
				}
			}
		}, lastSecond, true},
		{"more cancellations than a tracker keeps", func(c *cluster, second int) {
			if second == 5 {
				for i := range tuning.CancellationsCapacity + 1 {
					c.trackers["b"].RecordCancellation(c.now, fmt.Sprintf("run-%d", i+1))
				}
			}
		}, 4 + 29, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newCluster(t)
			last, knows := -1, false
			for second := range lastSecond + 1 {
				test.apply(cluster, second)
				if allowed, _ := cluster.trackers["a"].MayRenew(cluster.now.Add(-time.Millisecond)); allowed {
					last = second
				} else if len(cluster.trackers["a"].UnconfirmedPeers()) == 0 {
					t.Errorf("second %d: UnconfirmedPeers gives no reason why leases are not renewed", second)
				}
				knows = knows || cluster.kills("a")
				cluster.exchangeAndAdvance()
			}
			if last != test.lastRenewal || knows != test.knowsCancellation {
				t.Errorf("renewal allowed until second %d, cancellation known %v; want %d, %v", last, knows, test.lastRenewal, test.knowsCancellation)
			}
		})
	}
}

// A cancellation is kept until its tasks are certain to have ended, counted from its last acknowledgement. After that
// every controller removes it, however often the peers have sent it to each other.
func TestCancellationsExpire(t *testing.T) {
	cluster := newCluster(t)
	cluster.trackers["b"].RecordCancellation(cluster.now, "run-1")
	for range 30 {
		cluster.exchangeAndAdvance()
	}
	cluster.trackers["b"].RecordCancellation(cluster.now, "run-1") // acknowledged again, because its record was stored only now
	for second := range 140 {
		cluster.exchangeAndAdvance()
		for member := range cluster.trackers {
			if second < 47 && !cluster.kills(member) {
				t.Fatalf("%s removed the cancellation after %d s", member, second)
			}
			if second > 70 && cluster.kills(member) {
				t.Fatalf("%s still keeps the cancellation after %d s", member, second)
			}
		}
	}
}
