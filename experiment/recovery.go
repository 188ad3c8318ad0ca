package experiment

import (
	"context"
	"fmt"
	"slices"

	"switchferry/settings"
)

// Cases of Recovery. Each is a fault that is injected into a loaded fleet.
const (
	// CrashLeader kills the leader and restarts it after three seconds.
	CrashLeader = "leader"
	// CrashAll kills all three controllers and restarts them after three seconds.
	CrashAll = "all"
	// CutZone partitions the leader's zone from everything else for CutS.
	CutZone = "zone"
)

// recoveryCases maps the cases of Recovery to those of Scale.
var recoveryCases = map[string]string{CrashLeader: ScaleLeader, CrashAll: ScaleAll, CutZone: ScaleLeaderZone}

// Recovery is an experiment that measures how a lightly loaded fleet recovers from a crash of the leader, a crash of
// all controllers, and a partition of the leader's zone. It runs Scale with a small load, one size and one case at a
// time.
type Recovery struct {
	Program string
	Seed    uint64
	Sizes   []int
	Cases   []string
	// Workers are the workers' settings.
	Workers settings.Workers
	// CutS is how long a zone is partitioned; WatchS is how long the fleet is observed afterwards. Both in seconds.
	CutS, WatchS float64
	Progress     func(format string, a ...any)
}

// RecoveryDefaults returns the sizes and times of the tables in docs/fleet.md.
func RecoveryDefaults() *Recovery {
	return &Recovery{Seed: 1, Sizes: []int{300, 1000, 2500}, Cases: []string{CrashLeader, CrashAll, CutZone},
		Workers: settings.Workers{HeartbeatIntervalS: 3, LeaseS: 17.5, CancelDeadlineS: 47.5}, CutS: 30, WatchS: 60, Progress: func(string, ...any) {}}
}

// RecoveryFigures holds the measurements of one case at one fleet size. Times are in seconds since the fault; -1 means
// that the event did not happen while the fleet was observed.
type RecoveryFigures struct {
	Machines int    `json:"machines"`
	Case     string `json:"case"`
	// FirstStart is when a new leader first started a task, AllWorkersAnswered when every worker had received an answer
	// from it.
	FirstStart         float64 `json:"first_start_s"`
	AllWorkersAnswered float64 `json:"heard_all_s"`
	// HealthyReturned counts the healthy machines that were returned to the cloud. TasksLost counts the tasks that were
	// lost with them or killed because a lease expired.
	HealthyReturned int `json:"returned_in_vain"`
	TasksLost       int `json:"lost_in_vain"`
	// LeaderCPUP99 is the 99th percentile of the leader's CPU use in one second, as a share of one core.
	LeaderCPUP99 float64 `json:"peak_share"`
}

// RecoveryResult is the result that the experiment prints.
type RecoveryResult struct {
	Seed     uint64            `json:"seed"`
	Measured string            `json:"measured"`
	Sizes    []RecoveryFigures `json:"sizes"`
}

// Run runs every case at every size, one after the other.
func (x *Recovery) Run(ctx context.Context) (*RecoveryResult, error) {
	res := &RecoveryResult{Seed: x.Seed, Measured: measuredOn}
	for _, machines := range x.Sizes {
		for _, name := range x.Cases {
			if _, ok := recoveryCases[name]; !ok {
				return nil, fmt.Errorf("case %q: must be leader, all or zone", name)
			}
			r, err := x.runCase(ctx, machines, name)
			if err != nil {
				return nil, fmt.Errorf("%d machines, %s: %w", machines, name, err)
			}
			x.Progress("%d machines, %s: first start %.1f s, all workers answered %.1f s, %d healthy machines returned, %d tasks lost, leader's peak %.2f of a core",
				machines, name, r.FirstStart, r.AllWorkersAnswered, r.HealthyReturned, r.TasksLost, r.LeaderCPUP99)
			res.Sizes = append(res.Sizes, r)
		}
	}
	return res, nil
}

func (x *Recovery) runCase(ctx context.Context, machines int, name string) (RecoveryFigures, error) {
	scale := ScaleDefaults()
	scale.Program, scale.Seed, scale.Workers, scale.Agents = x.Program, x.Seed, x.Workers, 0
	scale.Sizes, scale.CasesAt, scale.Cases = []int{machines}, machines, []string{recoveryCases[name]}
	scale.TasksPerWorker, scale.StartsPerS, scale.Teams = 2, float64(machines)/40, 2
	scale.CutS, scale.WatchS, scale.StepS = x.CutS, x.WatchS, recoveryStepS
	res, err := scale.Run(ctx)
	if err != nil {
		return RecoveryFigures{}, err
	}
	i := slices.IndexFunc(res.Cases, func(c ScaleCase) bool { return c.Case == recoveryCases[name] })
	if i < 0 {
		return RecoveryFigures{}, fmt.Errorf("the case was not run")
	}
	c := res.Cases[i]
	return RecoveryFigures{Machines: machines, Case: name, FirstStart: c.FirstStart, AllWorkersAnswered: c.AllWorkersAnswered, HealthyReturned: c.MachinesReturned, TasksLost: c.KilledByLease + c.TasksOnReturned,
		LeaderCPUP99: c.Step.Leader.CPUP99}, nil
}

// recoveryStepS is how long the loaded fleet runs before the fault, in seconds.
const recoveryStepS = 5.0
