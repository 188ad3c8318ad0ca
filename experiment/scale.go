package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/capacity"
	"switchferry/internal/cluster"
	"switchferry/settings"
)

// Scale runs a whole deployment at the operators' planned size on this machine: three real controllers, a few real
// agents, and hollow workers in this process. It grows the fleet in steps, measures each step, and at one size injects
// failures one after the other. The run fails if the audit finds a violated rule.
type Scale struct {
	// Program is the path of the switchferry program.
	Program string
	Seed    uint64
	// Sizes are the steps in workers, ascending. CasesAt is the size at which Cases, the names of failures, are run.
	Sizes   []int
	CasesAt int
	Cases   []string
	// TasksPerWorker is the base load: tasks that run until the end, per worker. StartsPerS is the rate at which tasks of
	// short arrays start at CasesAt workers, in tasks per second; at other sizes it is scaled with the number of workers.
	TasksPerWorker float64
	StartsPerS     float64
	Teams, Agents  int
	// StepS is how long a step is measured, WatchS how long a case is observed after its fault has ended, CutS how long
	// a rack or zone is partitioned, RegionCutS how long the regions are partitioned from each other, and OutageS how
	// long the state service is unavailable. All in seconds.
	StepS, WatchS, CutS, RegionCutS, OutageS float64
	// ChangeIntervalS is the interval between configuration changes in seconds; 0 means none, and disables live
	// configuration.
	ChangeIntervalS float64
	// Workers are the workers' settings.
	Workers settings.Workers
	// LogDir is the directory of the controllers' logs; empty means that they are discarded. LogLevel is their level.
	LogDir, LogLevel string
	// Progress receives a line after each measurement. It must not be nil.
	Progress func(format string, a ...any)
}

// ScaleDefaults returns the steps and cases of docs/CAPACITY.md.
func ScaleDefaults() *Scale {
	return &Scale{Seed: 1, Sizes: []int{200, 400, 800, 1600, 2400}, CasesAt: 1600, Cases: ScaleCases(), TasksPerWorker: 22.5, StartsPerS: 97, Teams: 110, Agents: 8,
		StepS: 20, WatchS: 15, CutS: 60, RegionCutS: 180, OutageS: 20, Workers: settings.Workers{HeartbeatIntervalS: 3, LeaseS: 17.5, CancelDeadlineS: 47.5}, Progress: func(string, ...any) {}}
}

// Bounds and load of a run.
const (
	// maxMemoryShare, a bound that the operators set, is the maximum share of the machine's memory that all processes
	// may use.
	maxMemoryShare = 0.5
	// maxProcesses, a bound that the operators set, is the maximum number of processes.
	maxProcesses = 100
	// bytesPerWorker is the estimated memory of a hollow worker, in bytes.
	bytesPerWorker = 600 << 10
	// fixedBytes is the estimated memory of everything else, in bytes.
	fixedBytes = 1 << 30
	// limitedTeamShare is the share of teams that use up their CPU limit.
	limitedTeamShare = 0.1
	// slotsPerWorker is the number of CPUs of a worker; each task uses one.
	slotsPerWorker = 28.0
	// urgentInterval is the interval between urgent jobs.
	urgentInterval = 2 * time.Second
	// cancelOneIn is the mean number of short arrays of which one is cancelled.
	cancelOneIn = 50
	// arrivalRunS is the run time of the tasks of short arrays, in seconds.
	arrivalRunS = 20.0
	// baseRunS is the run time of the tasks of the base load, in seconds.
	baseRunS = 3600.0
	// settleTimeout is how long to wait until the expected number of tasks is running.
	settleTimeout = 2 * time.Minute
	// controllerRestartDelay is the delay before a killed controller is restarted.
	controllerRestartDelay = 3 * time.Second
)

// SteadyStep is the name of the steps at which the load is proportional to the fleet size.
const SteadyStep = "steady"

// measuredOn describes the origin of the figures.
const measuredOn = "real processes over loopback on this machine; hollow workers, stand-ins of state service and cloud"

// scaleZones are two regions of two zones each. The state service, the cloud and two of the three controllers are in
// the first region.
var (
	scaleZones      = []string{"a1", "a2", "b1", "b2"}
	controllerZones = []string{"a1", "a2", "b1"}
	secondRegion    = []string{"b1", "b2"}
)

// ProcessFigures holds one process's resource use during a measurement: its CPU time as a share of one core, as the
// mean and as the 99th percentile of one-second samples, and the maxima of its memory, descriptors and threads.
type ProcessFigures struct {
	CPUMean     float64 `json:"cpu_mean"`
	CPUP99      float64 `json:"cpu_p99"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
	Threads     int     `json:"threads"`
}

// ScaleStep holds the measurements of one period.
type ScaleStep struct {
	Name    string  `json:"name"`
	Workers int     `json:"workers"`
	Tasks   int     `json:"tasks_running"`
	Starts  float64 `json:"starts_per_s"`
	Jobs    int     `json:"jobs_unfinished"`
	Seconds float64 `json:"seconds"`
	// Follower is the busier follower. Agents is the mean over the agents. ThisProcess contains the hollow workers, the
	// stand-ins of the services and the users.
	Leader      ProcessFigures `json:"leader"`
	Follower    ProcessFigures `json:"follower"`
	Agents      ProcessFigures `json:"agent"`
	ThisProcess ProcessFigures `json:"this_process"`
	// Traffic is by kind of message. Writes are puts and deletes in the state service per second, by kind of key.
	Traffic     map[string]Flow       `json:"traffic"`
	Writes      map[string]float64    `json:"state_changes_per_s"`
	Waits       map[string]StartWaits `json:"start_waits"`
	Submissions Latency               `json:"submissions"`
	TimeToDone  Latency               `json:"time_to_done"`
	Refused     int                   `json:"submissions_refused"`
	Polls       int                   `json:"polls"`
	PollsFailed int                   `json:"polls_unanswered"`
	Changes     Changes               `json:"configuration_changes"`
}

// Flow is a mean rate of messages.
type Flow struct {
	Messages float64 `json:"messages_per_s"`
	Bytes    float64 `json:"bytes_per_s"`
}

// Latency is the distribution of the latency of requests, in milliseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"longest_ms"`
}

// ScaleResult is the result that the experiment prints.
type ScaleResult struct {
	Measured string      `json:"measured"`
	Seed     uint64      `json:"seed"`
	Steps    []ScaleStep `json:"steps"`
	Cases    []ScaleCase `json:"cases"`
	// Jobs has the number of writes that one job of each shape causes.
	Jobs []capacity.JobCost `json:"jobs"`
	// Violations has the number of violations of each rule; ViolationDetails describes the first ones. StateRefused
	// counts the requests that the state service refused, by reason.
	Violations       map[string]int `json:"rules_broken"`
	ViolationDetails []string       `json:"why,omitempty"`
	StateRefused     map[string]int `json:"state_refused"`
}

// Record returns the measurements that package capacity fits its models to. command is the command line that produced
// them.
func (r *ScaleResult) Record(command string) *capacity.Record {
	out := &capacity.Record{Measured: r.Measured, Command: command, Jobs: r.Jobs}
	for _, step := range r.Steps {
		out.Measurements = append(out.Measurements, step.measurement())
	}
	for _, c := range r.Cases {
		if c.Case == ScaleLeader && c.FirstStart >= 0 && c.AllWorkersAnswered >= 0 {
			out.Measurements = append(out.Measurements, capacity.Measurement{Name: "takeover", Workers: float64(c.Step.Workers), Tasks: float64(c.Step.Tasks), Starts: c.Step.Starts,
				Figures: map[string]float64{capacity.TakeoverCPUPeak: c.Step.Leader.CPUP99, capacity.TakeoverMemory: c.Step.Leader.MemoryMB,
					capacity.TakeoverFirstStart: c.FirstStart, capacity.TakeoverAllAnswered: c.AllWorkersAnswered}})
		}
	}
	return out
}

// measurement converts the step to the form that package capacity fits.
func (s *ScaleStep) measurement() capacity.Measurement {
	workers := float64(s.Workers)
	figures := map[string]float64{
		capacity.LeaderCPU: s.Leader.CPUMean, capacity.LeaderCPUP99: s.Leader.CPUP99, capacity.LeaderMemory: s.Leader.MemoryMB, capacity.LeaderDescriptors: float64(s.Leader.Descriptors),
		capacity.FollowerCPU: s.Follower.CPUMean, capacity.FollowerMemory: s.Follower.MemoryMB, capacity.FollowerDescriptors: float64(s.Follower.Descriptors),
		capacity.FakeWorkerCPU: s.ThisProcess.CPUMean,
	}
	for kind, f := range s.Traffic {
		switch {
		case strings.HasPrefix(kind, "state "):
			figures[capacity.StateRequests] += f.Messages
			if strings.HasPrefix(kind, "state POST /multi") {
				figures[capacity.StateTransactions] += f.Messages
			}
		case strings.HasPrefix(kind, "reports "):
			figures[capacity.HeartbeatBytes] += f.Bytes
		case strings.HasPrefix(kind, "cloud "):
			figures[capacity.CloudRequests] += f.Messages
		case strings.HasPrefix(kind, "siblings "):
			figures[capacity.PeerBytes] += f.Bytes
		case kind == "commands":
			figures[capacity.CommandMessages] += f.Messages
		}
	}
	for _, n := range s.Writes {
		figures[capacity.StateChanges] += n
	}
	return capacity.Measurement{Name: s.Name, Workers: workers, Tasks: float64(s.Tasks), Starts: s.Starts, Figures: figures}
}

// Run runs all steps and cases. It returns an error for invalid options and if a rule was violated; in the latter case
// the result is valid too.
func (x *Scale) Run(ctx context.Context) (*ScaleResult, error) {
	if err := x.validate(); err != nil {
		return nil, err
	}
	run, err := x.start(ctx)
	if err != nil {
		return nil, err
	}
	defer run.close()
	res := &ScaleResult{Seed: x.Seed, Measured: measuredOn}
	if err := run.runSteps(res); err != nil {
		return nil, err
	}
	run.audit.CheckCancelledJobs()
	res.Violations, res.ViolationDetails = run.audit.Violations()
	res.StateRefused = run.cluster.State.Refusals()
	if len(res.Violations) > 0 {
		return res, fmt.Errorf("rules were violated: %v: %v", res.Violations, res.ViolationDetails)
	}
	return res, nil
}

// validate returns an error if the options are invalid or exceed this machine's memory or the operators' bounds.
func (x *Scale) validate() error {
	if len(x.Sizes) == 0 || !slices.IsSorted(x.Sizes) || x.Sizes[0] < 4 {
		return fmt.Errorf("--sizes: must be numbers of workers from 4 on, ascending")
	}
	for _, name := range x.Cases {
		if !slices.Contains(ScaleCases(), name) {
			return fmt.Errorf("--cases: there is no case %q; there are %v", name, ScaleCases())
		}
	}
	if len(x.Cases) > 0 && !slices.Contains(x.Sizes, x.CasesAt) {
		return fmt.Errorf("--cases-at: %d is none of the sizes %v", x.CasesAt, x.Sizes)
	}
	if x.Teams < 2 || x.StepS <= 0 || x.TasksPerWorker <= 0 || x.StartsPerS < 0 {
		return fmt.Errorf("--teams must be 2 or more; --step and --tasks-per-worker above 0; --starts 0 or more")
	}
	if n := len(controllerZones) + x.Agents + 1; n > maxProcesses {
		return fmt.Errorf("--agents: %d processes in all, at most %d are allowed", n, maxProcesses)
	}
	total, err := cluster.MemoryBytes()
	if err != nil {
		return err
	}
	need := float64(x.Sizes[len(x.Sizes)-1])*bytesPerWorker + fixedBytes
	if need > maxMemoryShare*float64(total) {
		return fmt.Errorf("--sizes: %d workers need some %.0f MB, over %.0f%% of this machine's %.0f MB", x.Sizes[len(x.Sizes)-1], need/(1<<20), 100*maxMemoryShare, float64(total)/(1<<20))
	}
	return nil
}

// scaleRun is a run in progress.
type scaleRun struct {
	*Scale
	ctx     context.Context
	cluster *cluster.Cluster
	audit   *cluster.Audit
	users   *population
	agents  []*cluster.Agent
	// arrivals is the rate at which users submit tasks of short arrays, in tasks per second.
	arrivals adjustableRate
	// baseJobs are the IDs of the jobs of the base load.
	baseJobs []string
	returned returnCounts
	changer  *limitChanger
}

// teams returns the settings of as many teams as Teams says. A share limitedTeamShare of them, but at least one, have a
// CPU limit that their jobs use up; the others never reach theirs. Each team is guaranteed a part of the fleet.
func (x *Scale) teams() []settings.Team {
	maxWorkers := float64(x.Sizes[len(x.Sizes)-1])
	var out []settings.Team
	for i := range x.Teams {
		t := settings.Team{Name: fmt.Sprintf("team-%03d", i), CPUsMax: 4 * slotsPerWorker * maxWorkers, CPUs: 10 * maxWorkers / float64(x.Teams)}
		if x.usesUpLimit(i) {
			t.CPUsMax, t.CPUs = limitedCPUs, limitedCPUs
		}
		out = append(out, t)
	}
	return out
}

// limitedCPUs is the limit, in CPUs, of each team that uses up its limit.
const limitedCPUs = 40

// usesUpLimit reports whether a team uses up its limit.
func (x *Scale) usesUpLimit(team int) bool {
	return team < max(1, int(limitedTeamShare*float64(x.Teams)))
}

func (x *Scale) facts() settings.Facts {
	return settings.Facts{ControllerCount: len(controllerZones), Zones: scaleZones, Teams: x.teams(), Workers: x.Workers,
		State: settings.StateLimits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}, Cloud: settings.CloudLimits{RPS: 8, ListLagS: 3},
		Resources: settings.Resources{CPU: 1, RAMMB: 512, MaxSockets: 10_000}}
}

var hollowType = api.MachineType{Name: "hollow", CPUs: slotsPerWorker, MemoryGB: 4 * slotsPerWorker, CacheGB: 50, PullGBs: 1, BootS: 40, Price: 1, SpotPrice: 0.5, Zones: scaleZones}

func (x *Scale) start(ctx context.Context) (*scaleRun, error) {
	facts := x.facts()
	run := &scaleRun{Scale: x, ctx: ctx, audit: cluster.NewAudit(facts.Teams, facts.Workers)}
	var err error
	run.cluster, err = cluster.New(ctx, cluster.Options{Zones: controllerZones, Facts: facts, MachineType: hollowType, RentalCapacity: x.Sizes[len(x.Sizes)-1] / 4,
		LogDir: x.LogDir, LogLevel: x.LogLevel, TaskDuration: run.taskRunTime, Observer: run.audit})
	if err != nil {
		return nil, err
	}
	run.cluster.OnReturned = run.returned.add
	run.users = newPopulation(run.cluster, run.audit, x.Seed)
	run.changer = newLimitChanger(run)
	if err = run.startProcesses(); err != nil {
		run.close()
		return nil, err
	}
	go run.submitArrivals()
	if x.ChangeIntervalS > 0 {
		go run.changer.loop()
	}
	return run, nil
}

func (run *scaleRun) startProcesses() error {
	if run.Agents > 0 {
		if err := run.cluster.ServeDatasets(); err != nil {
			return err
		}
	}
	if run.ChangeIntervalS > 0 {
		if err := run.cluster.EnableFeatures("[configuration]\non = true\n"); err != nil {
			return err
		}
	}
	policy := filepath.Join(run.cluster.Dir(), "scale.policy")
	// Without a reserve, jobs of rank low can fill the fleet, so that urgent jobs arrive at a full fleet.
	if err := os.WriteFile(policy, []byte("reserve_cpus = 0\n"), 0o600); err != nil {
		return err
	}
	run.cluster.AddArguments("--policy", policy)
	for _, controller := range run.cluster.Controllers {
		if err := controller.Start(run.Program); err != nil {
			return err
		}
	}
	if err := run.cluster.WaitForLeader(10 * time.Second); err != nil {
		return fmt.Errorf("nobody leads: %w", err)
	}
	if err := run.cluster.AddWorkers(run.Sizes[0], scaleZones); err != nil {
		return err
	}
	var err error
	if run.Agents > 0 {
		run.agents, err = run.cluster.StartAgents(run.Program, run.Agents)
	}
	return err
}

func (run *scaleRun) close() { run.cluster.Close() }

// taskRunTime returns how long a task runs, which is the estimate of its job.
func (run *scaleRun) taskRunTime(task string) time.Duration {
	return run.audit.Estimate(task)
}

// runSteps grows the fleet, measures each size, and runs the cases at CasesAt.
func (run *scaleRun) runSteps(res *ScaleResult) error {
	workers, tasks := run.Sizes[0], 0
	if err := run.measureWrites(res); err != nil {
		return err
	}
	for i, size := range run.Sizes {
		if err := run.cluster.AddWorkers(size-workers, scaleZones); err != nil {
			return err
		}
		if i > 0 {
			// The number of tasks has not grown yet, so this measures the cost of a worker by itself.
			if err := run.recordStep(res, "workers without more tasks", size); err != nil {
				return err
			}
		}
		workers = size
		want := int(run.TasksPerWorker * float64(size))
		run.submitBaseLoad(want - tasks)
		tasks = want
		run.arrivals.set(run.StartsPerS * float64(size) / float64(run.CasesAt))
		if err := run.waitForTasks(want); err != nil {
			return fmt.Errorf("%d workers: %w", size, err)
		}
		if err := run.recordStep(res, SteadyStep, size); err != nil {
			return err
		}
		if i == 0 {
			run.arrivals.set(0)
			if err := run.recordStep(res, "no arrivals", size); err != nil {
				return err
			}
			run.arrivals.set(run.maxArrivals(size))
			if err := run.recordStep(res, "more arrivals", size); err != nil {
				return err
			}
			run.arrivals.set(run.StartsPerS * float64(size) / float64(run.CasesAt))
		}
		if size == run.CasesAt {
			if err := run.runCases(res); err != nil {
				return err
			}
		} else if len(run.Cases) > 0 {
			// The cost of a change of leader grows with the fleet.
			if err := run.runCase(res, ScaleLeader, size); err != nil {
				return err
			}
		}
	}
	return nil
}

// maxArrivalShare is the maximum share of the capacity left by the base load that short arrays may use.
const maxArrivalShare = 0.6

// maxArrivals returns the maximum rate of short tasks that causes no backlog, in tasks per second.
func (run *scaleRun) maxArrivals(workers int) float64 {
	free := (slotsPerWorker - run.TasksPerWorker) * float64(workers)
	return min(run.StartsPerS, maxArrivalShare*free/arrivalRunS)
}

// recordStep measures a period of StepS and adds it to the result.
func (run *scaleRun) recordStep(res *ScaleResult, name string, workers int) error {
	step, err := run.measure(name, workers, run.StepS)
	if err != nil {
		return err
	}
	run.Progress("%d workers, %s: %d tasks, %.0f starts/s; leader %.3f of a core (p99 %.2f), %.0f MB, %d descriptors; follower %.3f, %.0f MB",
		workers, name, step.Tasks, step.Starts, step.Leader.CPUMean, step.Leader.CPUP99, step.Leader.MemoryMB, step.Leader.Descriptors, step.Follower.CPUMean, step.Follower.MemoryMB)
	res.Steps = append(res.Steps, *step)
	return nil
}

// waitForTasks waits until the given number of tasks is running.
func (run *scaleRun) waitForTasks(tasks int) error {
	err := run.cluster.WaitUntil(settleTimeout, func() bool { return run.cluster.RunningTasks() >= tasks })
	if err != nil {
		return fmt.Errorf("only %d of %d tasks are running: %w", run.cluster.RunningTasks(), tasks, err)
	}
	return nil
}
