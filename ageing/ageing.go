// Package ageing prevents starvation: it decides when a job has waited so long that it is scheduled before others, and
// which machines to reserve so that its tasks can start soonest.
//
// Scheduling by priority and due time alone starves jobs: while small jobs, or jobs of higher priority, keep arriving,
// the largest jobs of a class, those that can no longer meet their due time and those that need a whole machine are
// passed over in every round. So a job of which no task has started within a time limit may start one task, or a gang
// as a whole, before all but production jobs; after that it has its ordinary position again. This costs the other jobs
// one task for each waiting job per time limit, and bounds the wait of each job by the limit plus the time that a
// machine takes to drain.
//
// The package knows times, zones and when tasks could start, but no jobs. It has no clock and no lock.
package ageing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Starved reports whether a job has starved for limit or longer. The job has been ready to start since waitingSince,
// and one of its tasks was last started at lastStart, which is zero if none was.
func Starved(now, waitingSince, lastStart time.Time, limit time.Duration) bool {
	if lastStart.After(waitingSince) {
		waitingSince = lastStart
	}
	return now.Sub(waitingSince) >= limit
}

// Machine says when further tasks of a job could start on one machine, as the tasks running there end.
type Machine struct {
	Name, Zone string
	// StartDelays lists, for each further task, the time from now until it could start, in ascending order. It is empty
	// if none ever can.
	StartDelays []time.Duration
}

// EarliestMachines chooses the machines on which the given number of tasks can all have started soonest, in a single
// zone if oneZone is set. It returns their names and the time until the last task starts. The names are nil if the
// tasks can never all start, or if there are none.
func EarliestMachines(machines []Machine, tasks int, oneZone bool) (names []string, delay time.Duration) {
	if !oneZone {
		return earliest(machines, tasks)
	}
	zones := map[string][]Machine{}
	for _, machine := range machines {
		zones[machine.Zone] = append(zones[machine.Zone], machine)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		zoneNames, zoneDelay := earliest(zones[zone], tasks)
		if zoneNames != nil && (names == nil || zoneDelay < delay) {
			names, delay = zoneNames, zoneDelay
		}
	}
	return names, delay
}

// earliest implements EarliestMachines without regard to zones.
func earliest(machines []Machine, tasks int) (names []string, delay time.Duration) {
	type start struct {
		at   time.Duration
		name string
	}
	var starts []start
	for _, machine := range machines {
		for _, delay := range machine.StartDelays[:min(tasks, len(machine.StartDelays))] {
			starts = append(starts, start{delay, machine.Name})
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
