// Package ageing prevents starvation: it decides when a job has waited so long that it is served before others, and which
// machines to keep free so that its tasks can start soonest.
//
// Priorities and due times alone starve jobs: while small jobs, or those of higher priority, keep coming, the largest jobs
// of a class, those that can no longer meet their due time and those that need a whole machine are passed over each time.
// So a job of which nothing has started for a while may start one task, or a gang as a whole, before all but production
// jobs; after that it has its ordinary position again. This costs the other jobs one task for each waiting job in that
// time, and bounds the wait of each by that time plus the time that a machine takes to drain.
//
// The package knows times, zones and when tasks could start, not jobs or machines. It has no clock and no lock.
package ageing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Due reports whether a job has starved for limit or longer. It could have started since waitingSince, and a task of it
// was last started at lastStart; zero: none was.
func Due(now, waitingSince, lastStart time.Time, limit time.Duration) bool {
	if lastStart.After(waitingSince) {
		waitingSince = lastStart
	}
	return now.Sub(waitingSince) >= limit
}

// Machine is when further tasks of a job could start on one machine, as what runs there ends.
type Machine struct {
	Name, Zone string
	// At are the times from now at which one more task each could start, in ascending order; none: never.
	At []time.Duration
}

// EarliestMachines chooses the machines on which so many tasks can all have started soonest, with oneZone in a single zone, and
// returns their names and in how long that is. The names are nil if the tasks can never all start.
func EarliestMachines(machines []Machine, tasks int, oneZone bool) (names []string, at time.Duration) {
	if !oneZone {
		return earliest(machines, tasks)
	}
	zones := map[string][]Machine{}
	for _, machine := range machines {
		zones[machine.Zone] = append(zones[machine.Zone], machine)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		zoneNames, zoneAt := earliest(zones[zone], tasks)
		if zoneNames != nil && (names == nil || zoneAt < at) {
			names, at = zoneNames, zoneAt
		}
	}
	return names, at
}

// earliest is EarliestMachines without regard to zones.
func earliest(machines []Machine, tasks int) (names []string, at time.Duration) {
	type start struct {
		at   time.Duration
		name string
	}
	var starts []start
	for _, machine := range machines {
		for _, at := range machine.At[:min(tasks, len(machine.At))] {
			starts = append(starts, start{at, machine.Name})
		}
	}
	if tasks <= 0 || len(starts) < tasks {
		return nil, 0
	}
	slices.SortFunc(starts, func(a, b start) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name))
	})
	starts = starts[:tasks]
	for _, start := range starts {
		if !slices.Contains(names, start.name) {
			names = append(names, start.name)
		}
	}
	return names, starts[tasks-1].at
}
