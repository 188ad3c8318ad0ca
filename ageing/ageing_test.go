package ageing

import (
	"slices"
	"testing"
	"time"
)

func TestDueAfterWaitingSinceLastStart(t *testing.T) {
	waitingSince := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		after, started time.Duration
		want           bool
	}{{149 * time.Second, 0, false}, {150 * time.Second, 0, true}, {200 * time.Second, 60 * time.Second, false}, {210 * time.Second, 60 * time.Second, true}} {
		var started time.Time
		if c.started > 0 {
			started = waitingSince.Add(c.started)
		}
		if got := Due(waitingSince.Add(c.after), waitingSince, started, 150*time.Second); got != c.want {
			t.Errorf("%v after it could start, last start at %v: due %v", c.after, c.started, got)
		}
	}
}

// The machines that drain soonest are kept, in one zone where all must stand there, and none where
// there is no room for all.
func TestKeepChoosesMachinesThatDrainSoonest(t *testing.T) {
	s := func(secs ...int) (out []time.Duration) {
		for _, x := range secs {
			out = append(out, time.Duration(x)*time.Second)
		}
		return out
	}
	machines := []Machine{{"a1", "a", s(5, 9)}, {"a2", "a", s(30)}, {"b1", "b", s(1, 2)}, {"b2", "b", s(40, 40)}, {"b3", "b", nil}}
	for _, c := range []struct {
		tasks   int
		oneZone bool
		want    []string
		at      int
	}{{1, false, []string{"b1"}, 1}, {3, false, []string{"b1", "a1"}, 5}, {3, true, []string{"a1", "a2"}, 30}, {4, true, []string{"b1", "b2"}, 40}, {5, true, nil, 0}, {8, false, nil, 0}, {0, false, nil, 0}} {
		names, at := Keep(machines, c.tasks, c.oneZone)
		if !slices.Equal(names, c.want) || at != time.Duration(c.at)*time.Second {
			t.Errorf("%d tasks, one zone %v: %v in %v, want %v in %d s", c.tasks, c.oneZone, names, at, c.want, c.at)
		}
	}
}
