// Package soak injects random faults into a cluster of real controllers over loopback, with stand-ins of the state
// service, the cloud and the workers, while users submit, poll, resubmit and cancel jobs at all controllers.
// cluster.Audit checks the rules of the protocol from outside: from the answers that users receive and the actions of
// workers.
//
// A run's whole schedule is derived from one seed. Real processes are not deterministic, so the logs of a failed run
// are kept.
package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/cluster"
	"switchferry/internal/sleep"
	"switchferry/settings"
)

// teamName is the name of the only team.
const teamName = "team"

// Limits of a run.
const (
	// teamCPUsPerWorker is the team's CPU limit per worker; a worker has eight CPUs.
	teamCPUsPerWorker = 7
	// cancelDeadlineS is the time in seconds within which the tasks of a cancelled job must have ended.
	cancelDeadlineS = 20
	// controllers is the number of controllers.
	controllers = 3
	// maxWorkers is the maximum of Options.Workers.
	maxWorkers = 1000
	// maxSeeds is the maximum of Options.Seeds.
	maxSeeds = 1000
	// settleTimeout is how long a run waits after its faults for unfinished jobs.
	settleTimeout = 85 * time.Second
	// unansweredAfter is the time without an answer about a job after which the job counts as unanswered.
	unansweredAfter = 75 * time.Second
	// minAnswersPerS is the minimum rate of answers, per second, of a conclusive run.
	minAnswersPerS = 5
	// minTerms is the minimum number of terms of a conclusive run.
	minTerms = 2
	// settlePollInterval is the interval at which a run checks for unfinished jobs.
	settlePollInterval = 250 * time.Millisecond
	// cancelCheckInterval is the interval between the audit's checks of cancelled jobs.
	cancelCheckInterval = time.Second
	// leaderTimeout is how long to wait for the first leader.
	leaderTimeout = 20 * time.Second
)

// Options are the parameters of a soak test.
type Options struct {
	// Program is the path of the switchferry program; its command `serve` runs the controllers.
	Program string
	// First is the first seed, Seeds the number of consecutive seeds.
	First uint64
	Seeds int
	// Workers is the initial number of workers. ForS is how long faults are injected, in seconds.
	Workers int
	ForS    float64
	// Kinds are the kinds of faults to inject; empty means DefaultKinds.
	Kinds []string
	// AtOnce is the maximum number of concurrent runs.
	AtOnce int
	// LogDir is the directory that keeps the logs of failed runs; empty means a new temporary directory.
	LogDir string
	// LogLevel is the controllers' log level.
	LogLevel string
	// Progress receives the schedule and the outcome of each run. It must not be nil.
	Progress func(format string, args ...any)
}

// Defaults returns options for ten short runs of a small fleet.
func Defaults() *Options {
	return &Options{First: 1, Seeds: 10, Workers: 12, ForS: 30, AtOnce: 2, LogLevel: "info", Progress: func(string, ...any) {}}
}

// Errors that Options.Check returns. Each names the invalid option.
var (
	ErrSeeds   = fmt.Errorf("--seeds: from 1 to %d", maxSeeds)
	ErrWorkers = fmt.Errorf("--workers: from 1 to %d", maxWorkers)
	ErrFor     = errors.New("--for: from 5 to 3600 seconds")
	ErrAtOnce  = errors.New("--at-once: from 1 to 8 runs")
	ErrKind    = errors.New("--kinds: no such kind of fault")
	ErrProgram = errors.New("--program: no such program")
)

// Check returns an error that is or wraps ErrSeeds, ErrWorkers, ErrFor, ErrAtOnce, ErrKind or ErrProgram if an option
// is invalid.
func (o *Options) Check() error {
	switch {
	case o.Seeds < 1 || o.Seeds > maxSeeds:
		return ErrSeeds
	case o.Workers < 1 || o.Workers > maxWorkers:
		return ErrWorkers
	case o.ForS < 5 || o.ForS > 3600:
		return ErrFor
	case o.AtOnce < 1 || o.AtOnce > 8:
		return ErrAtOnce
	}
	for _, kind := range o.Kinds {
		if !slices.Contains(Kinds(), Kind(kind)) {
			return fmt.Errorf("%w: %q", ErrKind, kind)
		}
	}
	if info, err := os.Stat(o.Program); err != nil || info.IsDir() {
		return fmt.Errorf("%w: %q", ErrProgram, o.Program)
	}
	return nil
}

// Run is the outcome of the run of one seed.
type Run struct {
	Seed     uint64         `json:"seed"`
	Workers  int            `json:"workers"`
	Seconds  float64        `json:"seconds"`
	Schedule []string       `json:"schedule"`
	Faults   map[string]int `json:"faults"`
	// Requests counts the requests of users and Answers the answers to them. OutOfOrderAnswers counts the answers that
	// arrived after a newer one.
	Requests          int `json:"questions"`
	Answers           int `json:"answers"`
	OutOfOrderAnswers int `json:"crossed"`
	// TerminalJobs counts the jobs whose terminal state was reported to a user, Starts the task starts, and Terms the
	// leaders' terms.
	TerminalJobs int `json:"told"`
	Starts       int `json:"starts"`
	Terms        int `json:"terms"`
	// IneffectiveStarts counts start commands that had no effect because they crossed with another message. Releases
	// has the counts of the leaders' logs, by name: released allocations for each proof that allowed a release, and
	// messages about an attempt that crossed with a start command for it.
	IneffectiveStarts cluster.IneffectiveStarts `json:"crossings"`
	Releases          map[string]int            `json:"releases"`
	// Unfinished counts the accepted jobs that were not in a terminal state when the run ended.
	Unfinished int `json:"unfinished"`
	// UnexpectedExits counts the controllers whose last process exited without being killed.
	UnexpectedExits int `json:"ended_by_themselves"`
	// InvariantViolations counts the invariant violations that the controllers logged.
	InvariantViolations int `json:"contradictions"`
	// Violations has the number of violations of each rule; Details describes the first ones.
	Violations map[string]int `json:"broken"`
	Details    []string       `json:"why"`
	// InconclusiveReason is the reason why the run is inconclusive; empty if it is not.
	InconclusiveReason string `json:"vacuous,omitempty"`
	// Logs is the directory of the controllers' logs, if they were kept.
	Logs string `json:"logs,omitempty"`
}

// Failed reports whether a rule was violated, a controller logged an invariant violation, or a controller exited
// without being killed.
func (r *Run) Failed() bool {
	return len(r.Violations) > 0 || r.InvariantViolations > 0 || r.UnexpectedExits > 0
}

// Result is the result that the experiment prints.
type Result struct {
	Measured string `json:"measured"`
	Runs     []*Run `json:"runs"`
}

// Failed returns the failed runs.
func (r *Result) Failed() (failed []*Run) {
	for _, run := range r.Runs {
		if run.Failed() {
			failed = append(failed, run)
		}
	}
	return failed
}

// Run performs the runs of all seeds. All processes that it started have ended when it returns. It returns an error for
// invalid options, if a run cannot be set up, or if ctx ends; the result then has the runs that were completed.
func (o *Options) Run(ctx context.Context) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if err := o.makeLogDir(); err != nil {
		return nil, fmt.Errorf("creating log directory: %w", err)
	}
	runs := make([]*Run, o.Seeds)
	errs := make([]error, o.Seeds)
	slots := make(chan struct{}, o.AtOnce)
	var running sync.WaitGroup
	for number := range o.Seeds {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() == nil {
				runs[number], errs[number] = o.runSeed(ctx, o.First+uint64(number))
			}
		})
	}
	running.Wait()
	result := &Result{Measured: "real processes over loopback on this machine; simulated workers, state service and cloud", Runs: slices.DeleteFunc(runs, func(run *Run) bool { return run == nil })}
	return result, errors.Join(append(errs, ctx.Err())...)
}

// makeLogDir creates LogDir, or a temporary directory if it is empty.
func (o *Options) makeLogDir() (err error) {
	if o.LogDir == "" {
		o.LogDir, err = os.MkdirTemp("", "soak")
		return err
	}
	return os.MkdirAll(o.LogDir, 0o750)
}

// runSeed runs one seed.
func (o *Options) runSeed(ctx context.Context, seed uint64) (*Run, error) {
	// A new directory keeps the logs apart from those of an earlier run of the same seed.
	logs, err := os.MkdirTemp(o.LogDir, fmt.Sprintf("seed-%d-", seed))
	if err != nil {
		return nil, fmt.Errorf("creating log directory: %w", err)
	}
	facts := o.facts()
	audit := cluster.NewAudit(facts.Teams, facts.Workers)
	running, err := cluster.New(ctx, o.clusterOptions(facts, logs, audit))
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	defer running.Close()
	if err := o.start(running); err != nil { //nolint:contextcheck // Workers end with the cluster.
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	duration := time.Duration(o.ForS * float64(time.Second))
	faults := DrawSchedule(seed, o.kinds(), controllers, duration)
	o.Progress("seed %d: %s", seed, formatFaults(faults))
	run := &Run{Seed: seed, Workers: o.Workers, Faults: map[string]int{}}
	for _, fault := range faults {
		run.Schedule = append(run.Schedule, fault.String())
		run.Faults[string(fault.Kind)]++
	}
	began := time.Now()
	run.Unfinished = o.runFaults(ctx, running, audit, faults, duration)
	run.Seconds = time.Since(began).Seconds()
	run.Terms = running.Terms()
	for _, controller := range running.Controllers {
		if controller.EndedByItself() {
			run.UnexpectedExits++
		}
	}
	running.Close()
	o.evaluate(run, audit, logs)
	return run, ctx.Err()
}

// kinds returns the kinds of faults to inject.
func (o *Options) kinds() []Kind {
	if len(o.Kinds) == 0 {
		return DefaultKinds()
	}
	kinds := make([]Kind, len(o.Kinds))
	for i, kind := range o.Kinds {
		kinds[i] = Kind(kind)
	}
	return kinds
}

// facts returns the platform facts for the controllers of a run. The limits of the state service grow with the fleet.
func (o *Options) facts() settings.Facts {
	const smallFleet = 50
	scale := max(1, float64(o.Workers)/smallFleet)
	return settings.Facts{
		ControllerCount: controllers, Zones: []string{"a"},
		Teams:     []settings.Team{{Name: teamName, CPUsMax: float64(teamCPUsPerWorker * o.Workers)}},
		Workers:   settings.Workers{HeartbeatIntervalS: 0.5, LeaseS: 5, CancelDeadlineS: cancelDeadlineS},
		State:     settings.StateLimits{RPS: 400 * scale, WriteRPS: 80 * scale, ValueKB: 16, TxnOps: 12},
		Cloud:     settings.CloudLimits{RPS: 20, ListLagS: 1},
		Resources: settings.Resources{CPU: 1, RAMMB: 300, MaxSockets: 3000},
	}
}

// clusterOptions returns the options of the cluster of a run.
func (o *Options) clusterOptions(facts settings.Facts, logs string, audit *cluster.Audit) cluster.Options {
	machine := api.MachineType{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 50, PullGBs: 1, BootS: 2, Price: 1, SpotPrice: 0.5, Zones: facts.Zones}
	return cluster.Options{
		Zones: slices.Repeat(facts.Zones, controllers), Facts: facts, MachineType: machine, RentalCapacity: o.Workers, LogDir: logs, LogLevel: o.LogLevel,
		TaskDuration: audit.Estimate, Observer: audit, OnIneffectiveStart: audit.RecordIneffectiveStart,
	}
}

// start starts workers and controllers, and waits for a leader.
func (o *Options) start(running *cluster.Cluster) error {
	if err := running.AddWorkers(o.Workers, []string{"a"}); err != nil {
		return err
	}
	for _, controller := range running.Controllers {
		if err := controller.Start(o.Program); err != nil {
			return err
		}
	}
	if err := running.WaitForLeader(leaderTimeout); err != nil {
		return fmt.Errorf("no controller leads: %w", err)
	}
	return nil
}

// runFaults runs the users while the faults are injected, and afterwards until all jobs are in a terminal state or
// settleTimeout has passed. It returns the number of unfinished jobs.
func (o *Options) runFaults(ctx context.Context, running *cluster.Cluster, audit *cluster.Audit, faults []Fault, duration time.Duration) int {
	users := newUsers(running, audit)
	settled, stop := context.WithCancel(ctx)
	defer stop()
	submitting, stopSubmitting := context.WithTimeout(ctx, duration)
	defer stopSubmitting()
	var pollers, background sync.WaitGroup
	for range 6 + o.Workers/8 {
		pollers.Go(func() { users.submitJobs(submitting, settled, &pollers) })
	}
	background.Go(func() { users.requestTerminalJobs(settled) })
	background.Go(func() {
		for sleep.OnRealClock(settled, cancelCheckInterval) {
			audit.CheckCancelledJobs()
		}
	})
	newInjector(running, o.Program, users).run(ctx, faults)
	<-submitting.Done()
	for end := time.Now().Add(settleTimeout); users.unfinished() > 0 && time.Now().Before(end) && sleep.OnRealClock(ctx, settlePollInterval); {
		// Users keep polling.
	}
	if ctx.Err() == nil {
		reportUnanswered(audit)
	}
	unfinished := users.unfinished()
	stop()
	pollers.Wait()
	background.Wait()
	return unfinished
}

// reportUnanswered reports to the audit the accepted jobs about which no controller has answered for unansweredAfter.
func reportUnanswered(audit *cluster.Audit) {
	unanswered := map[string]time.Duration{}
	audit.Jobs(func(job *cluster.AuditedJob) {
		if since := time.Since(job.AnsweredAt); job.TerminalState == "" && !job.Accepted.IsZero() && since > unansweredAfter {
			unanswered[job.ID] = since
		}
	})
	for id, since := range unanswered {
		audit.RecordUnanswered(id, since)
	}
}

// evaluate fills in the findings of the audit and of the logs, and removes the logs unless the run failed.
func (o *Options) evaluate(run *Run, audit *cluster.Audit, logs string) {
	counts := audit.Counts()
	run.Requests, run.Answers, run.OutOfOrderAnswers, run.TerminalJobs, run.Starts = counts.Requests, counts.Answers, counts.OutOfOrderAnswers, counts.TerminalJobs, audit.Starts()
	run.Violations, run.Details = audit.Violations()
	texts := readLogs(logs)
	run.InvariantViolations, run.Releases, run.IneffectiveStarts = countInvariantViolations(texts), countReleases(texts), audit.IneffectiveStarts()
	switch {
	case float64(run.Answers) < minAnswersPerS*o.ForS:
		run.InconclusiveReason = "too few questions were answered"
	case run.Terms < minTerms:
		run.InconclusiveReason = "no leader changed"
	case run.IneffectiveStarts.Sum() == 0:
		run.InconclusiveReason = "no start crossed with anything"
	}
	if run.Failed() {
		run.Logs = logs
	} else {
		_ = os.RemoveAll(logs) // The logs of a passed run are not needed; errors are ignored.
	}
	o.Progress("seed %d: %.0f s, %d of %d requests answered, %d terminal states reported, %d starts, %d terms, %d crossed starts, %d unfinished, %d unexpected exits, %d invariant violations, rules violated %v %s", run.Seed, run.Seconds,
		run.Answers, run.Requests, run.TerminalJobs, run.Starts, run.Terms, run.IneffectiveStarts.Sum(), run.Unfinished, run.UnexpectedExits, run.InvariantViolations, run.Violations, run.InconclusiveReason)
	for _, why := range run.Details {
		o.Progress("seed %d: %s", run.Seed, why)
	}
}
