package ageing

import (
	"slices"
	"testing"
	"time"
)

func TestStarvedAfterWaitingSinceLastStart(t *testing.T) {
	waitingSince := time.Unix(1_800_000_000, 0)
	for _, testCase := range []struct {
		name             string
		after, lastStart time.Duration
		want             bool
	}{
		{"never started, waits for less than the limit", 149 * time.Second, 0, false},
		{"never started, waits for the limit", 150 * time.Second, 0, true},
		{"started since, waits for less than the limit", 200 * time.Second, 60 * time.Second, false},
		{"started since, waits for the limit", 210 * time.Second, 60 * time.Second, true},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			var lastStart time.Time
			if testCase.lastStart > 0 {
				lastStart = waitingSince.Add(testCase.lastStart)
			}
			if got := Starved(waitingSince.Add(testCase.after), waitingSince, lastStart, 150*time.Second); got != testCase.want {
				t.Errorf("starved %v, want %v", got, testCase.want)
			}
		})
	}
}

func TestEarliestMachinesChoosesThoseThatDrainSoonest(t *testing.T) {
	seconds := func(list ...int) (at []time.Duration) {
		for _, s := range list {
			at = append(at, time.Duration(s)*time.Second)
		}
		return at
	}
	machines := []Machine{
		{"a1", "a", seconds(5, 9)}, {"a2", "a", seconds(30)},
		{"b1", "b", seconds(1, 2)}, {"b2", "b", seconds(40, 40)}, {"b3", "b", nil},
	}
	for _, testCase := range []struct {
		name    string
		tasks   int
		oneZone bool
		want    []string
		seconds int
	}{
		{"one task", 1, false, []string{"b1"}, 1},
		{"any zone", 3, false, []string{"b1", "a1"}, 5},
		{"the zone that is sooner", 3, true, []string{"a1", "a2"}, 30},
		{"the only zone that is large enough", 4, true, []string{"b1", "b2"}, 40},
		{"no zone is large enough", 5, true, nil, 0},
		{"the fleet is not large enough", 8, false, nil, 0},
		{"no tasks", 0, false, nil, 0},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			names, at := EarliestMachines(machines, testCase.tasks, testCase.oneZone)
			if !slices.Equal(names, testCase.want) || at != time.Duration(testCase.seconds)*time.Second {
				t.Errorf("%v in %v, want %v in %d s", names, at, testCase.want, testCase.seconds)
			}
		})
	}
}
