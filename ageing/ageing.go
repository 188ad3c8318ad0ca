// Package ageing sees to it that no accepted job waits for ever behind others: when its turn comes
// whatever stands before it, and which machines are kept so that there is room for it then. It knows
// times, zones and when tasks could start, not jobs or machines; it has no clock and no lock.
//
// Ranks and latest starts alone starve: while small jobs, or those of higher rank, never stop coming,
// the largest of a class, those that can no longer be in time, and whatever needs a whole machine are
// passed over each time. So a job of which nothing started for a while has one task's turn, or a whole
// gang's, before all but production; then it stands where it stood. What that takes from the others is
// one task for each waiting job in that time, and it bounds the wait of each by the time plus what a
// machine takes to drain.
package ageing

import (
	"cmp"
	"slices"
	"time"
)

// Due tells whether a job's turn has come: it could start since began, a task of it was last started at
// started (zero: none), and by is how long that may be.
func Due(now, waitingSince, started time.Time, limit time.Duration) bool {
	if started.After(waitingSince) {
		waitingSince = started
	}
	return now.Sub(waitingSince) >= limit
}

// Machine is when further tasks of a job could start on a machine, as what runs there ends.
type Machine struct {
	Name, Zone string
	// At are the times from now, soonest first; none: never.
	At []time.Duration
}

// Keep chooses the machines on which so many tasks can start soonest, all in one zone if that is asked,
// and tells how soon. Nothing is chosen if there is no room for all of them ever.
func Keep(machines []Machine, tasks int, oneZone bool) (names []string, at time.Duration) {
	if !oneZone {
		return earliest(machines, tasks)
	}
	zones := map[string][]Machine{}
	for _, m := range machines {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	var order []string
	for z := range zones {
		order = append(order, z)
	}
	slices.Sort(order)
	for _, z := range order {
		if n, t := earliest(zones[z], tasks); n != nil && (names == nil || t < at) {
			names, at = n, t
		}
	}
	return names, at
}

func earliest(machines []Machine, tasks int) (names []string, at time.Duration) {
	type slot struct {
		at   time.Duration
		name string
	}
	var slots []slot
	for _, m := range machines {
		for _, t := range m.At[:min(tasks, len(m.At))] {
			slots = append(slots, slot{t, m.Name})
		}
	}
	if tasks <= 0 || len(slots) < tasks {
		return nil, 0
	}
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name)) })
	for _, s := range slots[:tasks] {
		if !slices.Contains(names, s.name) {
			names = append(names, s.name)
		}
	}
	return names, slots[tasks-1].at
}
