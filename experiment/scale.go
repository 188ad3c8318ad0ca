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

// Scale plays a whole deployment at the operators' future size on this machine: three real controllers, a few real
// agents, and hollow workers in this process. It grows the fleet step by step, measures each, and at one size plays
// failures one after the other. Every rule that the audit finds broken makes the run fail.
type Scale struct {
	Program string
	Seed    uint64
	// Sizes are the steps, in workers, ascending; CasesAt is the one at which Cases are played.
	Sizes   []int
	CasesAt int
	Cases   []string
	// TasksPerWorker of the base load run for good; StartsPerS is how many tasks of arrays that come and go start a
	// second at CasesAt workers, and in proportion at others.
	TasksPerWorker float64
	StartsPerS     float64
	Teams, Agents  int
	// StepS is how long a step is measured, WatchS how long a case is watched after its cause is over, CutS how long
	// a rack or zone is lost, ApartS how long regions are apart, and OutageS how long the state service is out.
	StepS, WatchS, CutS, ApartS, OutageS float64
	// ChangesEveryS is how often the configuration is changed, in seconds; 0: never, and live configuration is off.
	ChangesEveryS float64
	// Workers are the workers' settings.
	Workers settings.Workers
	// LogDir is where the controllers' logs go, LogLevel their level; empty: dropped.
	LogDir, LogLevel string
	Progress         func(format string, a ...any)
}

// ScaleDefaults are the steps and cases of docs/CAPACITY.md.
func ScaleDefaults() *Scale {
	return &Scale{Seed: 1, Sizes: []int{200, 400, 800, 1600, 2400}, CasesAt: 1600, Cases: ScaleCases(), TasksPerWorker: 22.5, StartsPerS: 97, Teams: 110, Agents: 8,
		StepS: 20, WatchS: 15, CutS: 60, ApartS: 180, OutageS: 20, Workers: settings.Workers{HeartbeatIntervalS: 3, LeaseS: 17.5, CancelDeadlineS: 47.5}, Progress: func(string, ...any) {}}
}

// Bounds that the operators set for a run.
const (
	memoryShare      = 0.5
	processesMost    = 100
	bytesPerWorker   = 600 << 10
	bytesForTheRest  = 1 << 30
	teamsAtLimit     = 0.1
	slotsPerWorker   = 28.0
	urgentEvery      = 2 * time.Second
	cancelledShare   = 50 // one array in so many
	arrivalRunS      = 20.0
	longRunS         = 3600.0
	settleMost       = 2 * time.Minute
	controllerBackIn = 3 * time.Second
)

// SteadyStep names the steps at which the load is in proportion to the size.
const SteadyStep = "steady"

// scaleMeasured says where the figures come from.
const scaleMeasured = "real processes over loopback on this machine; hollow workers, stand-ins of state service and cloud"

// scaleZones are two regions of two zones; the state service and the cloud stand in the first region, as do two of
// the three controllers.
var (
	scaleZones      = []string{"a1", "a2", "b1", "b2"}
	controllerZones = []string{"a1", "a2", "b1"}
	secondRegion    = []string{"b1", "b2"}
)

// ProcessFigures are one process's while it was measured: processor time as a share of one core, mean of the span and
// 99th percentile of its seconds, and the most that it held.
type ProcessFigures struct {
	CPUMean     float64 `json:"cpu_mean"`
	CPUP99      float64 `json:"cpu_p99"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
	Threads     int     `json:"threads"`
}

// ScaleStep is one measured span.
type ScaleStep struct {
	Name    string  `json:"name"`
	Workers int     `json:"workers"`
	Tasks   int     `json:"tasks_running"`
	Starts  float64 `json:"starts_per_s"`
	Jobs    int     `json:"jobs_unfinished"`
	Seconds float64 `json:"seconds"`
	// Follower is the busier one. Agents is the mean agent's. Hollow is this process: workers, stand-ins and users.
	Leader   ProcessFigures `json:"leader"`
	Follower ProcessFigures `json:"follower"`
	Agents   ProcessFigures `json:"agent"`
	Hollow   ProcessFigures `json:"this_process"`
	// Traffic is per second, by kind; Writes are puts and deletes in the state service a second, by kind of key.
	Traffic     map[string]Flow    `json:"traffic"`
	Writes      map[string]float64 `json:"state_changes_per_s"`
	Waits       map[string]Waits   `json:"start_waits"`
	Submissions Latency            `json:"submissions"`
	Dones       Latency            `json:"time_to_done"`
	Refused     int                `json:"submissions_refused"`
	Polls       int                `json:"polls"`
	PollsFailed int                `json:"polls_unanswered"`
	Changes     Changes            `json:"configuration_changes"`
}

// Flow is what went by in a second on average.
type Flow struct {
	Messages float64 `json:"messages_per_s"`
	Bytes    float64 `json:"bytes_per_s"`
}

// Latency is of requests, in ms.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P99   int64 `json:"p99_ms"`
	Most  int64 `json:"longest_ms"`
}

// ScaleResult is what the experiment prints.
type ScaleResult struct {
	Measured string      `json:"measured"`
	Seed     uint64      `json:"seed"`
	Steps    []ScaleStep `json:"steps"`
	Cases    []ScaleCase `json:"cases"`
	// Jobs are what one job of each shape writes.
	Jobs []capacity.JobCost `json:"jobs"`
	// Broken are the rules that were broken; Why the first cases. StateRefused and CloudRefused are requests over a
	// stand-in's limit, by what was wrong.
	Broken       map[string]int `json:"rules_broken"`
	Why          []string       `json:"why,omitempty"`
	StateRefused map[string]int `json:"state_refused"`
}

// Record is what package capacity makes its fits of.
func (r *ScaleResult) Record(command string) *capacity.Record {
	out := &capacity.Record{Measured: r.Measured, Command: command, Jobs: r.Jobs}
	for _, step := range r.Steps {
		out.Measurements = append(out.Measurements, step.measurement())
	}
	for _, c := range r.Cases {
		if c.Case == ScaleLeader && c.FirstStart >= 0 && c.HeardAll >= 0 {
			out.Measurements = append(out.Measurements, capacity.Measurement{Name: "takeover", Workers: float64(c.Step.Workers), Tasks: float64(c.Step.Tasks), Starts: c.Step.Starts,
				Figures: map[string]float64{capacity.TakeoverCPUPeak: c.Step.Leader.CPUP99, capacity.TakeoverMemory: c.Step.Leader.MemoryMB,
					capacity.TakeoverFirstStart: c.FirstStart, capacity.TakeoverAllAnswered: c.HeardAll}})
		}
	}
	return out
}

// measurement is the step as package capacity fits it.
func (s *ScaleStep) measurement() capacity.Measurement {
	workers := float64(s.Workers)
	figures := map[string]float64{
		capacity.LeaderCPU: s.Leader.CPUMean, capacity.LeaderCPUP99: s.Leader.CPUP99, capacity.LeaderMemory: s.Leader.MemoryMB, capacity.LeaderDescriptors: float64(s.Leader.Descriptors),
		capacity.FollowerCPU: s.Follower.CPUMean, capacity.FollowerMemory: s.Follower.MemoryMB, capacity.FollowerDescriptors: float64(s.Follower.Descriptors),
		capacity.FakeWorkerCPU: s.Hollow.CPUMean,
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

// Run plays all steps and cases.
func (x *Scale) Run(ctx context.Context) (*ScaleResult, error) {
	if err := x.check(); err != nil {
		return nil, err
	}
	run, err := x.start(ctx)
	if err != nil {
		return nil, err
	}
	defer run.close()
	res := &ScaleResult{Seed: x.Seed, Measured: scaleMeasured}
	if err := run.steps(res); err != nil {
		return nil, err
	}
	run.audit.CheckCancelledJobs()
	res.Broken, res.Why = run.audit.Violations()
	res.StateRefused = run.cluster.State.Refusals()
	if len(res.Broken) > 0 {
		return res, fmt.Errorf("rules were broken: %v: %v", res.Broken, res.Why)
	}
	return res, nil
}

// check refuses what this machine, or the operators' bounds, do not carry.
func (x *Scale) check() error {
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
	if n := len(controllerZones) + x.Agents + 1; n > processesMost {
		return fmt.Errorf("--agents: %d processes in all, at most %d are allowed", n, processesMost)
	}
	total, err := cluster.MemoryBytes()
	if err != nil {
		return err
	}
	need := float64(x.Sizes[len(x.Sizes)-1])*bytesPerWorker + bytesForTheRest
	if need > memoryShare*float64(total) {
		return fmt.Errorf("--sizes: %d workers need some %.0f MB, over %.0f%% of this machine's %.0f MB", x.Sizes[len(x.Sizes)-1], need/(1<<20), 100*memoryShare, float64(total)/(1<<20))
	}
	return nil
}

// scaleRun is a run under way.
type scaleRun struct {
	*Scale
	ctx     context.Context
	cluster *cluster.Cluster
	audit   *cluster.Audit
	users   *population
	agents  []*cluster.Agent
	// arrivals is how many tasks of short arrays the users submit a second.
	arrivals rateSwitch
	longJobs []string
	returned returns
	changer  *changer
}

// teams are so many, of which a tenth have a limit that they use up, the others one that they never reach; all but the
// last, which has what nobody else needs, are guaranteed a part of the fleet.
func (x *Scale) teams() []settings.Team {
	most := float64(x.Sizes[len(x.Sizes)-1])
	var out []settings.Team
	for i := range x.Teams {
		t := settings.Team{Name: fmt.Sprintf("team-%03d", i), CPUsMax: 4 * slotsPerWorker * most, CPUs: 10 * most / float64(x.Teams)}
		if x.limited(i) {
			t.CPUsMax, t.CPUs = limitedCPUs, limitedCPUs
		}
		out = append(out, t)
	}
	return out
}

// limitedCPUs is what each team that is at its limit may use.
const limitedCPUs = 40

// limited tells whether a team is one that is at its limit.
func (x *Scale) limited(team int) bool { return team < max(1, int(teamsAtLimit*float64(x.Teams))) }

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
		LogDir: x.LogDir, LogLevel: x.LogLevel, TaskDuration: run.runs, Observer: run.audit})
	if err != nil {
		return nil, err
	}
	run.cluster.OnReturned = run.returned.add
	run.users = newPopulation(run.cluster, run.audit, x.Seed)
	run.changer = newChanger(run)
	if err = run.startProcesses(); err != nil {
		run.close()
		return nil, err
	}
	go run.arrive()
	if x.ChangesEveryS > 0 {
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
	if run.ChangesEveryS > 0 {
		if err := run.cluster.EnableFeatures("[configuration]\non = true\n"); err != nil {
			return err
		}
	}
	policy := filepath.Join(run.cluster.Dir(), "scale.policy")
	// Rank low may fill the fleet, so that urgent work meets a full one.
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

// runs is how long a task runs: the job's estimate tells.
func (run *scaleRun) runs(task string) time.Duration {
	return run.audit.Estimate(task)
}

// steps grows the fleet, measures each size, and plays the cases at theirs.
func (run *scaleRun) steps(res *ScaleResult) error {
	workers, tasks := run.Sizes[0], 0
	if err := run.writes(res); err != nil {
		return err
	}
	for i, size := range run.Sizes {
		if err := run.cluster.AddWorkers(size-workers, scaleZones); err != nil {
			return err
		}
		if i > 0 {
			// More workers than the tasks need: what a worker costs by itself.
			if err := run.measured(res, "workers without more tasks", size); err != nil {
				return err
			}
		}
		workers = size
		want := int(run.TasksPerWorker * float64(size))
		run.submitLong(want - tasks)
		tasks = want
		run.arrivals.set(run.StartsPerS * float64(size) / float64(run.CasesAt))
		if err := run.settle(want); err != nil {
			return fmt.Errorf("%d workers: %w", size, err)
		}
		if err := run.measured(res, SteadyStep, size); err != nil {
			return err
		}
		if i == 0 {
			run.arrivals.set(0)
			if err := run.measured(res, "no arrivals", size); err != nil {
				return err
			}
			run.arrivals.set(run.mostArrivals(size))
			if err := run.measured(res, "more arrivals", size); err != nil {
				return err
			}
			run.arrivals.set(run.StartsPerS * float64(size) / float64(run.CasesAt))
		}
		if size == run.CasesAt {
			if err := run.playCases(res); err != nil {
				return err
			}
		} else if len(run.Cases) > 0 {
			// What a change of leader takes grows with the fleet.
			if err := run.playCase(res, ScaleLeader, size); err != nil {
				return err
			}
		}
	}
	return nil
}

// arrivalsShare is how much of the room that the base load leaves arrays that come and go may take.
const arrivalsShare = 0.6

// mostArrivals is how many tasks may start a second without a backlog.
func (run *scaleRun) mostArrivals(workers int) float64 {
	free := (slotsPerWorker - run.TasksPerWorker) * float64(workers)
	return min(run.StartsPerS, arrivalsShare*free/arrivalRunS)
}

// measured measures a span of StepS and adds it to the result.
func (run *scaleRun) measured(res *ScaleResult, name string, workers int) error {
	step, err := run.measure(name, workers, run.StepS)
	if err != nil {
		return err
	}
	run.Progress("%d workers, %s: %d tasks, %.0f starts/s; leader %.3f of a core (p99 %.2f), %.0f MB, %d descriptors; follower %.3f, %.0f MB",
		workers, name, step.Tasks, step.Starts, step.Leader.CPUMean, step.Leader.CPUP99, step.Leader.MemoryMB, step.Leader.Descriptors, step.Follower.CPUMean, step.Follower.MemoryMB)
	res.Steps = append(res.Steps, *step)
	return nil
}

// settle waits until so many tasks run.
func (run *scaleRun) settle(tasks int) error {
	err := run.cluster.WaitUntil(settleMost, func() bool { return run.cluster.Running() >= tasks })
	if err != nil {
		return fmt.Errorf("%d of %d tasks run: %w", run.cluster.Running(), tasks, err)
	}
	return nil
}
