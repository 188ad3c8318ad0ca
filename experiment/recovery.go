package experiment

import (
	"context"
	"fmt"
	"slices"

	"switchferry/settings"
)

// Cases of Recovery: what happens to a fleet at work.
const (
	// CrashLeader ends the leading controller, CrashAll all three; they come back after three seconds. CutZone cuts the
	// leader's zone off from everything for CutS.
	CrashLeader = "leader"
	CrashAll    = "all"
	CutZone     = "zone"
)

// recoveryCases are the cases of Scale that they are.
var recoveryCases = map[string]string{CrashLeader: ScaleLeader, CrashAll: ScaleAll, CutZone: ScaleLeaderZone}

// Recovery is an experiment: how a fleet with little work comes through a crash of the leader, of all controllers, and
// a cut of the leader's zone. It is Scale with a small load, one size and one case at a time.
type Recovery struct {
	Program string
	Seed    uint64
	Sizes   []int
	Cases   []string
	// Workers are the workers' settings, CutS how long a zone is cut off, WatchS how long it is watched afterwards.
	Workers      settings.Workers
	CutS, WatchS float64
	Progress     func(format string, a ...any)
}

// RecoveryDefaults are the sizes and times of the tables in docs/fleet.md.
func RecoveryDefaults() *Recovery {
	return &Recovery{Seed: 1, Sizes: []int{300, 1000, 2500}, Cases: []string{CrashLeader, CrashAll, CutZone},
		Workers: settings.Workers{HeartbeatIntervalS: 3, LeaseS: 17.5, CancelDeadlineS: 47.5}, CutS: 30, WatchS: 60, Progress: func(string, ...any) {}}
}

// Recovered is how one fleet came through one case. Times count from the fault, in seconds; -1: it did not happen
// while it was watched.
type Recovered struct {
	Machines int    `json:"machines"`
	Case     string `json:"case"`
	// FirstStart is the first start of a task by a new leader, HeardAll when every worker had been answered by it.
	FirstStart float64 `json:"first_start_s"`
	HeardAll   float64 `json:"heard_all_s"`
	// ReturnedInVain are machines that were returned though nothing was wrong with them, LostInVain tasks that ended
	// with them or with a lease.
	ReturnedInVain int `json:"returned_in_vain"`
	LostInVain     int `json:"lost_in_vain"`
	// PeakShare is the most of one processor core that the leader's process took in a second.
	PeakShare float64 `json:"peak_share"`
}

// RecoveryResult is what the experiment prints.
type RecoveryResult struct {
	Seed     uint64      `json:"seed"`
	Measured string      `json:"measured"`
	Sizes    []Recovered `json:"sizes"`
}

// Run plays every case at every size, one after the other.
func (x *Recovery) Run(ctx context.Context) (*RecoveryResult, error) {
	res := &RecoveryResult{Seed: x.Seed, Measured: scaleMeasured}
	for _, machines := range x.Sizes {
		for _, name := range x.Cases {
			if _, ok := recoveryCases[name]; !ok {
				return nil, fmt.Errorf("case %q: must be leader, all or zone", name)
			}
			r, err := x.play(ctx, machines, name)
			if err != nil {
				return nil, fmt.Errorf("%d machines, %s: %w", machines, name, err)
			}
			x.Progress("%d machines, %s: first start %.1f s, all heard %.1f s, returned in vain %d, tasks lost in vain %d, peak %.2f of a core",
				machines, name, r.FirstStart, r.HeardAll, r.ReturnedInVain, r.LostInVain, r.PeakShare)
			res.Sizes = append(res.Sizes, r)
		}
	}
	return res, nil
}

func (x *Recovery) play(ctx context.Context, machines int, name string) (Recovered, error) {
	scale := ScaleDefaults()
	scale.Program, scale.Seed, scale.Workers, scale.Agents = x.Program, x.Seed, x.Workers, 0
	scale.Sizes, scale.CasesAt, scale.Cases = []int{machines}, machines, []string{recoveryCases[name]}
	scale.TasksPerWorker, scale.StartsPerS, scale.Teams = 2, float64(machines)/40, 2
	scale.CutS, scale.WatchS, scale.StepS = x.CutS, x.WatchS, recoveryStepS
	res, err := scale.Run(ctx)
	if err != nil {
		return Recovered{}, err
	}
	i := slices.IndexFunc(res.Cases, func(c ScaleCase) bool { return c.Case == recoveryCases[name] })
	if i < 0 {
		return Recovered{}, fmt.Errorf("the case was not played")
	}
	c := res.Cases[i]
	return Recovered{Machines: machines, Case: name, FirstStart: c.FirstStart, HeardAll: c.HeardAll, ReturnedInVain: c.Returned, LostInVain: c.Killed + c.LostOn,
		PeakShare: c.Step.Leader.CPUP99}, nil
}

// recoveryStepS is how long a fleet is at work before the fault.
const recoveryStepS = 5.0
