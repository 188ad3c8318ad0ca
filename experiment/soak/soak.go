// Package soak plays random faults against real controllers over loopback, with the project's stand-ins of the state service,
// the cloud and the workers, while users submit, ask, repeat and cancel at all controllers. Whether the protocol's rules hold
// is checked from outside, by what users are answered and what workers do (cluster.Observer).
//
// One seed draws a run's whole schedule. Real processes do not repeat exactly, so a run that broke a rule keeps its logs.
package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/cluster"
	"switchferry/internal/sleep"
	"switchferry/settings"
)

// teamName is the only team.
const teamName = "team"

// Limits of a run.
const (
	// limitPerWorker is the team's limit in processors for each worker of eight: nearly all of them.
	limitPerWorker = 7
	controllers    = 3
	mostWorkers    = 1000
	mostSeeds      = 1000
	// settleLimit is how long a run goes on after its faults while jobs are not over. A job about which nothing was to be
	// learnt for forgottenAfter counts as forgotten.
	settleLimit    = 85 * time.Second
	forgottenAfter = 75 * time.Second
	// A run in which fewer questions were answered for each second, fewer terms began or no start crossed with anything shows
	// nothing.
	leastAnswersPerS = 5
	leastTerms       = 2
	settleLook       = 250 * time.Millisecond
	sweepEvery       = time.Second
	readyLimit       = 20 * time.Second
)

// Options say what is played.
type Options struct {
	// Program is the program whose `serve` is run.
	Program string
	// First is the first seed, and Seeds how many there are.
	First uint64
	Seeds int
	// Workers is how many machines there are from the beginning, and ForS how long faults are played, in seconds.
	Workers int
	ForS    float64
	// Kinds are the kinds of faults that are played; none: all.
	Kinds []string
	// AtOnce is how many runs are played at the same time.
	AtOnce int
	// LogDir is where the logs of runs that broke something are kept; empty: a directory of its own.
	LogDir string
	// LogLevel is the controllers'.
	LogLevel string
	Progress func(format string, args ...any)
}

// Defaults are ten short runs of a small fleet.
func Defaults() *Options {
	return &Options{First: 1, Seeds: 10, Workers: 12, ForS: 30, AtOnce: 2, LogLevel: "info", Progress: func(string, ...any) {}}
}

// Errors of the options, which say what a user has to change.
var (
	ErrSeeds   = fmt.Errorf("--seeds: from 1 to %d", mostSeeds)
	ErrWorkers = fmt.Errorf("--workers: from 1 to %d", mostWorkers)
	ErrFor     = errors.New("--for: from 5 to 3600 seconds")
	ErrAtOnce  = errors.New("--at-once: from 1 to 8 runs")
	ErrKind    = errors.New("--kinds: no such kind of fault")
	ErrProgram = errors.New("--program: no such program")
)

// Check returns what is wrong with the options.
func (o *Options) Check() error {
	switch {
	case o.Seeds < 1 || o.Seeds > mostSeeds:
		return ErrSeeds
	case o.Workers < 1 || o.Workers > mostWorkers:
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

// Run is the outcome of one seed.
type Run struct {
	Seed     uint64         `json:"seed"`
	Workers  int            `json:"workers"`
	Seconds  float64        `json:"seconds"`
	Schedule []string       `json:"schedule"`
	Faults   map[string]int `json:"faults"`
	// Questions were asked, Answers came, and Crossed are those that a newer one overtook.
	Questions int `json:"questions"`
	Answers   int `json:"answers"`
	Crossed   int `json:"crossed"`
	// Told are jobs of which a user was told the end, Starts tasks that were started, Terms those of leaders.
	Told   int `json:"told"`
	Starts int `json:"starts"`
	Terms  int `json:"terms"`
	// Crossings are starts that reached a worker in vain. Releases are the proofs on which allocations were released, and how
	// often messages about an attempt crossed, as far as the leaders' logs count them.
	Crossings cluster.IneffectiveStarts `json:"crossings"`
	Releases  map[string]int            `json:"releases"`
	// Unfinished are accepted jobs that were not over when the run ended.
	Unfinished int `json:"unfinished"`
	// EndedByThemselves are controllers whose last process ended although nothing ended it.
	EndedByThemselves int `json:"ended_by_themselves"`
	// Contradictions are those that the controllers reported of themselves.
	Contradictions int            `json:"contradictions"`
	Broken         map[string]int `json:"broken"`
	Why            []string       `json:"why"`
	// Vacuous is why the run shows nothing; empty if it does.
	Vacuous string `json:"vacuous,omitempty"`
	// Logs is where the controllers' logs are, if they were kept.
	Logs string `json:"logs,omitempty"`
}

// Failed reports whether a rule was broken, or a controller contradicted itself or ended by itself.
func (r *Run) Failed() bool {
	return len(r.Broken) > 0 || r.Contradictions > 0 || r.EndedByThemselves > 0
}

// Result is what the experiment prints.
type Result struct {
	Measured string `json:"measured"`
	Runs     []*Run `json:"runs"`
}

// Failed returns the runs that broke something.
func (r *Result) Failed() (failed []*Run) {
	for _, run := range r.Runs {
		if run.Failed() {
			failed = append(failed, run)
		}
	}
	return failed
}

// Play plays all seeds. Everything that it started is gone when it returns.
func (o *Options) Play(ctx context.Context) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if err := o.makeLogDir(); err != nil {
		return nil, fmt.Errorf("making a directory for logs: %w", err)
	}
	runs := make([]*Run, o.Seeds)
	errs := make([]error, o.Seeds)
	slots := make(chan struct{}, o.AtOnce)
	var playing sync.WaitGroup
	for number := range o.Seeds {
		slots <- struct{}{}
		playing.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() == nil {
				runs[number], errs[number] = o.play(ctx, o.First+uint64(number))
			}
		})
	}
	playing.Wait()
	result := &Result{Measured: "real processes over loopback on this machine; simulated workers, state service and cloud", Runs: slices.DeleteFunc(runs, func(run *Run) bool { return run == nil })}
	return result, errors.Join(append(errs, ctx.Err())...)
}

// makeLogDir makes the directory for logs, a new one if none is named.
func (o *Options) makeLogDir() (err error) {
	if o.LogDir == "" {
		o.LogDir, err = os.MkdirTemp("", "soak")
		return err
	}
	return os.MkdirAll(o.LogDir, 0o750)
}

// play plays one seed.
func (o *Options) play(ctx context.Context, seed uint64) (*Run, error) {
	// Logs of an earlier run of the seed are another run's.
	logs, err := os.MkdirTemp(o.LogDir, fmt.Sprintf("seed-%d-", seed))
	if err != nil {
		return nil, fmt.Errorf("making a directory for logs: %w", err)
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
	faults := Draw(seed, o.kinds(), controllers, duration)
	o.Progress("seed %d: %s", seed, describe(faults))
	run := &Run{Seed: seed, Workers: o.Workers, Faults: map[string]int{}}
	for _, fault := range faults {
		run.Schedule = append(run.Schedule, fault.String())
		run.Faults[string(fault.Kind)]++
	}
	began := time.Now()
	run.Unfinished = o.playFaults(ctx, running, audit, faults, duration)
	run.Seconds = time.Since(began).Seconds()
	run.Terms = running.Terms()
	for _, controller := range running.Controllers {
		if controller.EndedByItself() {
			run.EndedByThemselves++
		}
	}
	running.Close()
	o.judge(run, audit, logs)
	return run, ctx.Err()
}

// kinds are the kinds of faults that are played.
func (o *Options) kinds() []Kind {
	if len(o.Kinds) == 0 {
		return Kinds()
	}
	kinds := make([]Kind, len(o.Kinds))
	for i, kind := range o.Kinds {
		kinds[i] = Kind(kind)
	}
	return kinds
}

// facts are what the platform tells the controllers of a run. Limits grow with the fleet.
func (o *Options) facts() settings.Facts {
	const smallFleet = 50
	scale := max(1, float64(o.Workers)/smallFleet)
	return settings.Facts{
		ControllerCount: controllers, Zones: []string{"a"},
		Teams:     []settings.Team{{Name: teamName, CPUsMax: float64(limitPerWorker * o.Workers)}},
		Workers:   settings.Workers{HeartbeatIntervalS: 0.5, LeaseS: 5, CancelDeadlineS: 20},
		State:     settings.StateLimits{RPS: 400 * scale, WriteRPS: 80 * scale, ValueKB: 16, TxnOps: 12},
		Cloud:     settings.CloudLimits{RPS: 20, ListLagS: 1},
		Resources: settings.Resources{CPU: 1, RAMMB: 300, MaxSockets: 3000},
	}
}

// clusterOptions are those of the cluster of a run.
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
	if err := running.WaitForLeader(readyLimit); err != nil {
		return fmt.Errorf("no controller leads: %w", err)
	}
	return nil
}

// playFaults has users at work while the faults are played, and afterwards until their jobs are over. It returns how many are
// not.
func (o *Options) playFaults(ctx context.Context, running *cluster.Cluster, audit *cluster.Audit, faults []Fault, duration time.Duration) int {
	users := newUsers(running, audit)
	settled, stop := context.WithCancel(ctx)
	defer stop()
	coming, stopComing := context.WithTimeout(ctx, duration)
	defer stopComing()
	var following, rest sync.WaitGroup
	for range 6 + o.Workers/8 {
		following.Go(func() { users.run(coming, settled, &following) })
	}
	rest.Go(func() { users.revisit(settled) })
	rest.Go(func() {
		for sleep.OnRealClock(settled, sweepEvery) {
			audit.CheckCancelledJobs()
		}
	})
	newInjector(running, o.Program, users).play(ctx, faults)
	<-coming.Done()
	for end := time.Now().Add(settleLimit); users.unfinished() > 0 && time.Now().Before(end) && sleep.OnRealClock(ctx, settleLook); {
		// Users go on asking.
	}
	if ctx.Err() == nil {
		reportUnanswered(audit)
	}
	unfinished := users.unfinished()
	stop()
	following.Wait()
	rest.Wait()
	return unfinished
}

// reportUnanswered has the audit count the jobs about which nothing was to be learnt for too long.
func reportUnanswered(audit *cluster.Audit) {
	silent := map[string]time.Duration{}
	audit.Jobs(func(job *cluster.AuditedJob) {
		if since := time.Since(job.AnsweredAt); job.TerminalState == "" && !job.Accepted.IsZero() && since > forgottenAfter {
			silent[job.ID] = since
		}
	})
	for id, since := range silent {
		audit.RecordUnanswered(id, since)
	}
}

// judge fills in what the audit and the logs say of a run, and removes the logs unless something broke.
func (o *Options) judge(run *Run, audit *cluster.Audit, logs string) {
	counts := audit.Counts()
	run.Questions, run.Answers, run.Crossed, run.Told, run.Starts = counts.Requests, counts.Answers, counts.OutOfOrderAnswers, counts.TerminalJobs, audit.Starts()
	run.Broken, run.Why = audit.Violations()
	texts := readLogs(logs)
	run.Contradictions, run.Releases, run.Crossings = countContradictions(texts), countReleases(texts), audit.IneffectiveStarts()
	switch {
	case float64(run.Answers) < leastAnswersPerS*o.ForS:
		run.Vacuous = "too few questions were answered"
	case run.Terms < leastTerms:
		run.Vacuous = "no leader changed"
	case run.Crossings.Sum() == 0:
		run.Vacuous = "no start crossed with anything"
	}
	if run.Failed() {
		run.Logs = logs
	} else {
		_ = os.RemoveAll(logs) // Nothing in them is missed.
	}
	o.Progress("seed %d: %.0f s, %d of %d questions answered, %d ends told, %d starts, %d terms, %d crossed starts, %d unfinished, %d ended by themselves, %d contradictions, broken %v %s", run.Seed, run.Seconds,
		run.Answers, run.Questions, run.Told, run.Starts, run.Terms, run.Crossings.Sum(), run.Unfinished, run.EndedByThemselves, run.Contradictions, run.Broken, run.Vacuous)
	for _, why := range run.Why {
		o.Progress("seed %d: %s", run.Seed, why)
	}
}

// releasesLine is what a term logs of the allocations that it has released.
const releasesLine = `msg="attempts released"`

// readLogs returns the texts of all logs in a directory. One that cannot be read is left out.
func readLogs(directory string) (texts []string) {
	files, _ := filepath.Glob(filepath.Join(directory, "*.log")) // The pattern is well-formed.
	for _, file := range files {
		if raw, err := os.ReadFile(file); err == nil {
			texts = append(texts, string(raw))
		}
	}
	return texts
}

// countReleases sums up what the terms in all logs have counted last.
func countReleases(logs []string) map[string]int {
	newest := map[string]string{}
	for _, text := range logs {
		for line := range strings.Lines(text) {
			if _, attributes, ok := strings.Cut(line, releasesLine); ok {
				term, rest, _ := strings.Cut(strings.TrimSpace(attributes), " ")
				newest[term] = rest
			}
		}
	}
	counts := map[string]int{}
	for _, attributes := range newest {
		addCounts(counts, attributes)
	}
	return counts
}

// attributePattern matches an attribute of a log line whose value is a number.
var attributePattern = regexp.MustCompile(`("[^"]+"|[a-z_]+)=(\d+)`)

// addCounts adds up the numbers among a log line's attributes, by name.
func addCounts(counts map[string]int, attributes string) {
	for _, match := range attributePattern.FindAllStringSubmatch(attributes, -1) {
		if count, err := strconv.Atoi(match[2]); err == nil {
			counts[strings.Trim(match[1], `"`)] += count
		}
	}
}

// countContradictions counts the contradictions that controllers have logged.
func countContradictions(logs []string) (count int) {
	for _, text := range logs {
		count += strings.Count(text, "invariant violated")
	}
	return count
}
