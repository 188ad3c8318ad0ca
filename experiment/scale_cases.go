package experiment

import (
	"fmt"
	"slices"
	"time"

	"switchferry/internal/cluster"
)

// Cases of Scale, in the order in which they are played.
const (
	ScaleLeader     = "leader"
	ScaleAll        = "all"
	ScaleRack       = "rack"
	ScaleZone       = "zone"
	ScaleOutage     = "outage"
	ScaleRestarts   = "restarts"
	ScaleRegions    = "regions"
	ScaleFull       = "full"
	ScaleFullLead   = "full-leader"
	ScaleFullRack   = "full-rack"
	ScaleLeaderZone = "leader-zone"
)

// ScaleCases are the names of all cases.
func ScaleCases() []string {
	return []string{ScaleLeader, ScaleAll, ScaleRack, ScaleZone, ScaleOutage, ScaleRestarts, ScaleRegions, ScaleLeaderZone, ScaleFull, ScaleFullLead, ScaleFullRack}
}

// ScaleCase is what a fleet went through. Times count from the cause, in seconds; -1: it did not happen while it was
// watched.
type ScaleCase struct {
	Case string `json:"case"`
	// FirstStart is the first start of a task by a new leader, HeardAll when every worker had been answered by it; both
	// only after a change of leader.
	FirstStart float64 `json:"first_start_s"`
	HeardAll   float64 `json:"heard_all_s"`
	// Killed are tasks that a lease ended, Returned machines that were given back, and LostOn the tasks on these.
	Killed   int `json:"killed_by_lease"`
	Returned int `json:"machines_returned"`
	LostOn   int `json:"tasks_on_returned"`
	// Hit are the tasks that ran where the cause struck; RestartedHalf and RestartedMost are when half, and 95%, of those
	// that were started again had been.
	Hit           int     `json:"tasks_hit"`
	Restarted     int     `json:"restarted"`
	RestartedHalf float64 `json:"restarted_half_s"`
	RestartedMost float64 `json:"restarted_95_s"`
	// Whole is when as many tasks ran again as before.
	Whole float64 `json:"whole_again_s"`
	// Step has the processes, waits and traffic from the cause until it was no longer watched.
	Step ScaleStep `json:"figures"`
}

// playCases plays all cases, each once the fleet is whole again after the one before.
func (run *scaleRun) playCases(res *ScaleResult) error {
	var filler []string
	for _, name := range run.Cases {
		full := name == ScaleFull || name == ScaleFullLead || name == ScaleFullRack
		if full && filler == nil {
			filler = run.fill(run.CasesAt)
			if err := run.settle(int(0.98 * slotsPerWorker * float64(run.CasesAt))); err != nil {
				return fmt.Errorf("a full fleet: %w", err)
			}
		}
		if err := run.playCase(res, name, run.CasesAt); err != nil {
			return err
		}
	}
	for _, id := range filler {
		run.users.cancel(run.ctx, id)
	}
	return nil
}

// playCase plays one case and adds it to the result.
func (run *scaleRun) playCase(res *ScaleResult, name string, workers int) error {
	c, err := run.strike(name, workers)
	if err != nil {
		return fmt.Errorf("case %s: %w", name, err)
	}
	urgent := c.Step.Waits["high"]
	run.Progress("%d workers, case %s: first start %.2f s, all heard %.1f s; hit %d, restarted %d (half %.1f s, 95%% %.1f s); killed by lease %d, returned %d with %d tasks; whole after %.1f s; urgent p99 %d ms of %d jobs, %d unstarted; leader's busiest second %.2f",
		workers, name, c.FirstStart, c.HeardAll, c.Hit, c.Restarted, c.RestartedHalf, c.RestartedMost, c.Killed, c.Returned, c.LostOn, c.Whole, urgent.P99, urgent.Jobs, urgent.Unstarted, c.Step.Leader.CPUP99)
	res.Cases = append(res.Cases, *c)
	return nil
}

// counted is what has been lost so far.
type counted struct{ killed, machines, tasks int }

func (run *scaleRun) losses() (c counted) {
	for _, w := range run.cluster.Workers() {
		_, _, killed, _ := w.Status()
		c.killed += killed
	}
	machines, tasks, killed := run.returned.counts()
	return counted{c.killed + killed, machines, tasks}
}

// highestTerm is the highest token that any worker has seen.
func (run *scaleRun) highestTerm() (term uint64) {
	for _, w := range run.cluster.Workers() {
		seen, _, _, _ := w.Status()
		term = max(term, seen)
	}
	return term
}

// strike plays one case and watches until the fleet is whole again, or for WatchS after the cause is over.
func (run *scaleRun) strike(name string, workers int) (*ScaleCase, error) {
	if run.cluster.Leader() == nil {
		return nil, fmt.Errorf("nobody leads")
	}
	before, term, lost := run.cluster.Running(), run.highestTerm(), run.losses()
	record := run.record()
	began := time.Now()
	machines, cause, changesLeader := run.cause(name)
	hit := run.audit.RunningOn(machines)
	c := &ScaleCase{Case: name, FirstStart: -1, HeardAll: -1, RestartedHalf: -1, RestartedMost: -1, Whole: -1, Hit: len(hit)}
	over := make(chan time.Time, 1)
	go func() {
		cause()
		over <- time.Now()
	}()
	run.watch(c, began, before, term, changesLeader, over)
	after := run.losses()
	c.Killed, c.Returned, c.LostOn = after.killed-lost.killed, after.machines-lost.machines, after.tasks-lost.tasks
	if first := run.audit.FirstStart(term); changesLeader && !first.IsZero() {
		c.FirstStart = first.Sub(began).Seconds()
	}
	times := run.audit.StartedSince(began, hit)
	c.Restarted = len(times)
	c.RestartedHalf, c.RestartedMost = quantile(times, 0.5), quantile(times, 0.95)
	step, err := record.stop(name, workers)
	if err != nil {
		return nil, err
	}
	c.Step = *step
	return c, nil
}

// wholeShare is the percentage of the former tasks from which on the fleet counts as whole: as many as vary by arrivals.
const wholeShare = 97

// watch looks at the fleet five times a second.
func (run *scaleRun) watch(c *ScaleCase, began time.Time, before int, term uint64, changesLeader bool, over <-chan time.Time) {
	var ended time.Time
	for run.cluster.Sleep(200 * time.Millisecond) {
		select {
		case ended = <-over:
		default:
		}
		since := time.Since(began).Seconds()
		if changesLeader && c.HeardAll < 0 && run.allSaw(term) {
			c.HeardAll = since
		}
		switch running := run.cluster.Running(); {
		case running < before*wholeShare/100:
			c.Whole = -1
		case c.Whole < 0:
			c.Whole = since
		}
		if !ended.IsZero() && time.Since(ended) > span(run.WatchS) {
			return
		}
	}
}

// allSaw tells whether every worker has seen a higher term.
func (run *scaleRun) allSaw(above uint64) bool {
	for _, w := range run.cluster.Workers() {
		if term, _, _, _ := w.Status(); term <= above {
			return false
		}
	}
	return true
}

// cause gives what strikes, and the machines that it strikes; run, it lasts until the cause is over.
func (run *scaleRun) cause(name string) (machines map[string]bool, cause func(), changesLeader bool) {
	cut := func(zones []string) (map[string]bool, func(), bool) {
		length := run.CutS
		if name == ScaleRegions {
			length = run.ApartS
		}
		return run.in(zones), func() {
			run.cluster.Isolate(zones...)
			run.cluster.Sleep(span(length))
			run.cluster.Isolate()
		}, false
	}
	crash := func(some []*cluster.Controller) (map[string]bool, func(), bool) {
		return nil, func() {
			for _, x := range some {
				x.Kill()
			}
			run.cluster.Sleep(controllerBackIn)
			for _, x := range some {
				_ = x.Start(run.Program)
			}
		}, true
	}
	switch name {
	case ScaleLeader, ScaleFullLead:
		return crash([]*cluster.Controller{run.cluster.Leader()})
	case ScaleAll:
		return crash(run.cluster.Controllers)
	case ScaleZone:
		return cut([]string{scaleZones[len(scaleZones)-1]})
	case ScaleLeaderZone:
		machines, cause, _ = cut([]string{run.cluster.Leader().Settings.Zone})
		return machines, cause, true
	case ScaleRegions:
		return cut(secondRegion)
	case ScaleRack, ScaleFullRack:
		return run.loseRack()
	case ScaleOutage:
		return nil, func() {
			run.cluster.State.SetDown(true)
			run.cluster.Sleep(span(run.OutageS))
			run.cluster.State.SetDown(false)
		}, false
	case ScaleRestarts:
		return nil, run.restartSome, false
	}
	return nil, func() { run.cluster.Sleep(span(run.CutS / 2)) }, false
}

// in are the machines of some zones.
func (run *scaleRun) in(zones []string) map[string]bool {
	out := map[string]bool{}
	for _, w := range run.cluster.Workers() {
		for _, zone := range zones {
			if w.Zone == zone {
				out[w.Name] = true
			}
		}
	}
	return out
}

// rackShare is a rack's part of the fleet, restartShare that of the machines restarted in a minute.
const (
	rackShare    = 1.0 / 40
	restartShare = 1.0 / 100
)

// loseRack has a rack's workers lose the network.
func (run *scaleRun) loseRack() (map[string]bool, func(), bool) {
	rack := run.cluster.Workers()[:max(1, int(rackShare*float64(run.CasesAt)))]
	machines := map[string]bool{}
	for _, w := range rack {
		machines[w.Name] = true
	}
	lose := func(on bool) {
		for _, w := range rack {
			w.BlockAllMessages(on)
		}
	}
	return machines, func() {
		lose(true)
		run.cluster.Sleep(span(run.CutS))
		lose(false)
	}, false
}

// restartSome restarts workers one after the other, over a minute.
func (run *scaleRun) restartSome() {
	some := run.cluster.Workers()[:max(1, int(restartShare*float64(run.CasesAt)))]
	for _, w := range some {
		w.Restart()
		run.cluster.Sleep(span(run.CutS / float64(len(some))))
	}
}

// quantile of some times, in seconds; -1: there are none.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Seconds()
}
