package experiment

import (
	"fmt"
	"slices"
	"time"

	"switchferry/internal/cluster"
)

// Cases of Scale.
const (
	// ScaleLeader kills the leader and restarts it after controllerRestartDelay.
	ScaleLeader = "leader"
	// ScaleAll kills all controllers and restarts them after controllerRestartDelay.
	ScaleAll = "all"
	// ScaleRack cuts the workers of one rack off the network for CutS.
	ScaleRack = "rack"
	// ScaleZone partitions one zone from the others for CutS.
	ScaleZone = "zone"
	// ScaleOutage makes the state service unavailable for OutageS.
	ScaleOutage = "outage"
	// ScaleRestarts restarts some workers one after the other, spread over CutS.
	ScaleRestarts = "restarts"
	// ScaleRegions partitions the two regions from each other for RegionCutS.
	ScaleRegions = "regions"
	// ScaleFull observes a full fleet without a fault.
	ScaleFull = "full"
	// ScaleFullLeader is ScaleLeader on a full fleet.
	ScaleFullLeader = "full-leader"
	// ScaleFullRack is ScaleRack on a full fleet.
	ScaleFullRack = "full-rack"
	// ScaleLeaderZone partitions the leader's zone from the others for CutS.
	ScaleLeaderZone = "leader-zone"
)

// ScaleCases returns the names of all cases in the order in which they are run.
func ScaleCases() []string {
	return []string{ScaleLeader, ScaleAll, ScaleRack, ScaleZone, ScaleOutage, ScaleRestarts, ScaleRegions, ScaleLeaderZone, ScaleFull, ScaleFullLeader, ScaleFullRack}
}

// ScaleCase holds the measurements of one case. Times are in seconds since the fault began; -1 means that the event did
// not happen while the fleet was observed.
type ScaleCase struct {
	Case string `json:"case"`
	// FirstStart is when a new leader first started a task, AllWorkersAnswered when every worker had received an answer
	// from it. Both are set only for faults that change the leader.
	FirstStart         float64 `json:"first_start_s"`
	AllWorkersAnswered float64 `json:"heard_all_s"`
	// KilledByLease counts tasks that were killed because a lease expired, MachinesReturned the machines that were
	// returned to the cloud, and TasksOnReturned the tasks that ran on them.
	KilledByLease    int `json:"killed_by_lease"`
	MachinesReturned int `json:"machines_returned"`
	TasksOnReturned  int `json:"tasks_on_returned"`
	// TasksAffected counts the tasks that ran on the affected machines, Restarted those of them that were started again.
	// RestartedP50 and RestartedP95 are the 50th and the 95th percentile of the times of these starts.
	TasksAffected int     `json:"tasks_hit"`
	Restarted     int     `json:"restarted"`
	RestartedP50  float64 `json:"restarted_half_s"`
	RestartedP95  float64 `json:"restarted_95_s"`
	// RecoveredAfter is when at least recoveredPercent of the former number of tasks were running again.
	RecoveredAfter float64 `json:"whole_again_s"`
	// Step has the measurements from the beginning of the fault to the end of the observation.
	Step ScaleStep `json:"figures"`
}

// runCases runs all cases one after the other. Before the first case that needs a full fleet it fills the fleet.
func (run *scaleRun) runCases(res *ScaleResult) error {
	var filler []string
	for _, name := range run.Cases {
		full := name == ScaleFull || name == ScaleFullLeader || name == ScaleFullRack
		if full && filler == nil {
			filler = run.fillFleet(run.CasesAt)
			if err := run.waitForTasks(int(0.98 * slotsPerWorker * float64(run.CasesAt))); err != nil {
				return fmt.Errorf("filling the fleet: %w", err)
			}
		}
		if err := run.runCase(res, name, run.CasesAt); err != nil {
			return err
		}
	}
	for _, id := range filler {
		run.users.cancel(run.ctx, id)
	}
	return nil
}

// runCase runs one case and adds it to the result.
func (run *scaleRun) runCase(res *ScaleResult, name string, workers int) error {
	c, err := run.injectFault(name, workers)
	if err != nil {
		return fmt.Errorf("case %s: %w", name, err)
	}
	urgent := c.Step.Waits["high"]
	run.Progress("%d workers, case %s: first start %.2f s, all workers answered %.1f s; %d tasks affected, %d restarted (p50 %.1f s, p95 %.1f s); %d killed by lease, %d machines returned with %d tasks; recovered after %.1f s; urgent p99 %d ms of %d jobs, %d unstarted; leader's CPU p99 %.2f",
		workers, name, c.FirstStart, c.AllWorkersAnswered, c.TasksAffected, c.Restarted, c.RestartedP50, c.RestartedP95, c.KilledByLease, c.MachinesReturned, c.TasksOnReturned, c.RecoveredAfter, urgent.P99, urgent.Jobs, urgent.Unstarted, c.Step.Leader.CPUP99)
	res.Cases = append(res.Cases, *c)
	return nil
}

// lossCounts holds the numbers of killed tasks, of returned machines, and of tasks that ran on returned machines, since
// the beginning of the run.
type lossCounts struct{ killed, machines, tasks int }

func (run *scaleRun) countLosses() (c lossCounts) {
	for _, w := range run.cluster.Workers() {
		_, _, killed, _ := w.Status()
		c.killed += killed
	}
	machines, tasks, killed := run.returned.get()
	return lossCounts{c.killed + killed, machines, tasks}
}

// highestTerm returns the highest term of which any worker has seen a fencing token.
func (run *scaleRun) highestTerm() (term uint64) {
	for _, w := range run.cluster.Workers() {
		token, _, _, _ := w.Status()
		term = max(term, run.cluster.TermOf(token))
	}
	return term
}

// injectFault injects the fault of a case and observes the fleet until WatchS after the fault has ended.
func (run *scaleRun) injectFault(name string, workers int) (*ScaleCase, error) {
	if run.cluster.Leader() == nil {
		return nil, fmt.Errorf("nobody leads")
	}
	before, term, lost := run.cluster.RunningTasks(), run.highestTerm(), run.countLosses()
	record := run.record()
	began := time.Now()
	machines, inject, changesLeader := run.fault(name)
	affected := run.audit.RunningOn(machines)
	c := &ScaleCase{Case: name, FirstStart: -1, AllWorkersAnswered: -1, RestartedP50: -1, RestartedP95: -1, RecoveredAfter: -1, TasksAffected: len(affected)}
	faultEnded := make(chan time.Time, 1)
	go func() {
		inject()
		faultEnded <- time.Now()
	}()
	run.observe(c, began, before, term, changesLeader, faultEnded)
	after := run.countLosses()
	c.KilledByLease, c.MachinesReturned, c.TasksOnReturned = after.killed-lost.killed, after.machines-lost.machines, after.tasks-lost.tasks
	if first := run.audit.FirstStart(term); changesLeader && !first.IsZero() {
		c.FirstStart = first.Sub(began).Seconds()
	}
	times := run.audit.StartedSince(began, affected)
	c.Restarted = len(times)
	c.RestartedP50, c.RestartedP95 = quantile(times, 0.5), quantile(times, 0.95)
	step, err := record.stop(name, workers)
	if err != nil {
		return nil, err
	}
	c.Step = *step
	return c, nil
}

// recoveredPercent is the percentage of the former number of running tasks at which the fleet counts as recovered. It
// is below 100 because the number of running tasks varies with the arrivals.
const recoveredPercent = 97

// observe observes the fleet five times a second until WatchS after the fault has ended.
func (run *scaleRun) observe(c *ScaleCase, began time.Time, runningBefore int, term uint64, changesLeader bool, faultEnded <-chan time.Time) {
	var ended time.Time
	for run.cluster.Sleep(200 * time.Millisecond) {
		select {
		case ended = <-faultEnded:
		default:
		}
		since := time.Since(began).Seconds()
		if changesLeader && c.AllWorkersAnswered < 0 && run.allSawTermAbove(term) {
			c.AllWorkersAnswered = since
		}
		switch running := run.cluster.RunningTasks(); {
		case running < runningBefore*recoveredPercent/100:
			c.RecoveredAfter = -1
		case c.RecoveredAfter < 0:
			c.RecoveredAfter = since
		}
		if !ended.IsZero() && time.Since(ended) > secondsDuration(run.WatchS) {
			return
		}
	}
}

// allSawTermAbove reports whether every worker has seen a fencing token of a higher term than the given one.
func (run *scaleRun) allSawTermAbove(previousTerm uint64) bool {
	for _, w := range run.cluster.Workers() {
		if token, _, _, _ := w.Status(); run.cluster.TermOf(token) <= previousTerm {
			return false
		}
	}
	return true
}

// fault returns the machines that a case's fault affects, a function that injects the fault and returns when it has
// ended, and whether the fault changes the leader.
func (run *scaleRun) fault(name string) (machines map[string]bool, inject func(), changesLeader bool) {
	cut := func(zones []string) (map[string]bool, func(), bool) {
		length := run.CutS
		if name == ScaleRegions {
			length = run.RegionCutS
		}
		return run.machinesIn(zones), func() {
			run.cluster.Isolate(zones...)
			run.cluster.Sleep(secondsDuration(length))
			run.cluster.Isolate()
		}, false
	}
	crash := func(controllers []*cluster.Controller) (map[string]bool, func(), bool) {
		return nil, func() {
			for _, x := range controllers {
				x.Kill()
			}
			run.cluster.Sleep(controllerRestartDelay)
			for _, x := range controllers {
				_ = x.Start(run.Program)
			}
		}, true
	}
	switch name {
	case ScaleLeader, ScaleFullLeader:
		return crash([]*cluster.Controller{run.cluster.Leader()})
	case ScaleAll:
		return crash(run.cluster.Controllers)
	case ScaleZone:
		return cut([]string{scaleZones[len(scaleZones)-1]})
	case ScaleLeaderZone:
		machines, inject, _ = cut([]string{run.cluster.Leader().Settings.Zone})
		return machines, inject, true
	case ScaleRegions:
		return cut(secondRegion)
	case ScaleRack, ScaleFullRack:
		return run.cutRack()
	case ScaleOutage:
		return nil, func() {
			run.cluster.State.SetDown(true)
			run.cluster.Sleep(secondsDuration(run.OutageS))
			run.cluster.State.SetDown(false)
		}, false
	case ScaleRestarts:
		return nil, run.restartWorkers, false
	}
	return nil, func() { run.cluster.Sleep(secondsDuration(run.CutS / 2)) }, false
}

// machinesIn returns the names of the machines in the given zones.
func (run *scaleRun) machinesIn(zones []string) map[string]bool {
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

const (
	// rackShare is the share of the fleet that is in one rack.
	rackShare = 1.0 / 40
	// restartShare is the share of the fleet that ScaleRestarts restarts.
	restartShare = 1.0 / 100
)

// cutRack returns the fault that cuts the workers of one rack off the network.
func (run *scaleRun) cutRack() (map[string]bool, func(), bool) {
	rack := run.cluster.Workers()[:max(1, int(rackShare*float64(run.CasesAt)))]
	machines := map[string]bool{}
	for _, w := range rack {
		machines[w.Name] = true
	}
	setBlocked := func(on bool) {
		for _, w := range rack {
			w.BlockAllMessages(on)
		}
	}
	return machines, func() {
		setBlocked(true)
		run.cluster.Sleep(secondsDuration(run.CutS))
		setBlocked(false)
	}, false
}

// restartWorkers restarts some workers one after the other, spread over CutS.
func (run *scaleRun) restartWorkers() {
	workers := run.cluster.Workers()[:max(1, int(restartShare*float64(run.CasesAt)))]
	for _, w := range workers {
		w.Restart()
		run.cluster.Sleep(secondsDuration(run.CutS / float64(len(workers))))
	}
}

// quantile returns the quantile q of times in seconds, or -1 if times is empty.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Seconds()
}
