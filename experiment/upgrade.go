package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/cluster"
	"switchferry/internal/fake"
	"switchferry/settings"
)

// Upgrade runs real processes of two versions against stand-ins of the external services on loopback. Three
// controllers start with the older program, are killed at random times, and are upgraded one after the other to
// the newer program, while users submit, poll and cancel jobs.
type Upgrade struct {
	// From and To are the paths of the older and the newer program.
	From, To string
	// Runs is the number of runs; each uses the next seed, starting with Seed.
	Runs    int
	Workers int
	Seed    uint64
	// Progress receives a line after each run. It must not be nil.
	Progress func(format string, a ...any)
}

// UpgradeDefaults returns an experiment of three runs with twelve workers.
func UpgradeDefaults() *Upgrade { return &Upgrade{Runs: 3, Workers: 12, Seed: 1} }

// UpgradeFigures is the outcome of one run. All counts below Tasks must be 0.
type UpgradeFigures struct {
	Seed uint64 `json:"seed"`
	// Kills counts the processes that were killed; RestartedOld counts those restarted with the older program.
	Kills        int `json:"kills"`
	RestartedOld int `json:"came_back_old"`
	Jobs         int `json:"jobs"`
	// Awaiting counts the jobs that await other jobs, Tasks all task starts.
	Awaiting int `json:"jobs_that_await"`
	Tasks    int `json:"tasks_started"`
	// RanTwice counts starts of a task that still ran on another machine; TooEarly counts starts before an awaited job
	// was done; WrongStates counts impossible states and refused submissions; Unfinished counts jobs that reached no
	// terminal state; Forgotten counts answers that an accepted job is unknown.
	RanTwice    int `json:"ran_twice"`
	TooEarly    int `json:"too_early"`
	WrongStates int `json:"wrong_states"`
	Unfinished  int `json:"not_over"`
	Forgotten   int `json:"forgotten"`
	// RefusedForSize counts requests that the state service refused because of their size.
	RefusedForSize int `json:"refused_for_size"`
	// AwaitingAcceptedAfterS is the time from the end of the rolling upgrade to the first accepted job that awaits
	// another job, in seconds.
	AwaitingAcceptedAfterS float64 `json:"switched_s"`
}

// UpgradeResult is the result that the experiment prints.
type UpgradeResult struct {
	Measured string           `json:"measured"`
	Runs     []UpgradeFigures `json:"runs"`
}

// Run performs all runs. It returns an error if a program does not exist or a run cannot be completed.
func (x *Upgrade) Run(ctx context.Context) (*UpgradeResult, error) {
	for _, p := range []string{x.From, x.To} {
		if info, err := os.Stat(p); err != nil || info.IsDir() {
			return nil, fmt.Errorf("--from: %q is no program; build the older version and name its file", p)
		}
	}
	res := &UpgradeResult{Measured: "real processes over loopback on this machine; simulated workers, state service and cloud"}
	for i := range x.Runs {
		r, err := x.runOnce(ctx, x.Seed+uint64(i))
		if err != nil {
			return nil, fmt.Errorf("seed %d: %w", x.Seed+uint64(i), err)
		}
		res.Runs = append(res.Runs, *r)
		x.Progress("seed %d: %d kills, %d jobs, %d tasks, first job that awaits another accepted after %.1f s", r.Seed, r.Kills, r.Jobs, r.Tasks, r.AwaitingAcceptedAfterS)
	}
	return res, nil
}

// upgradeRun is a run in progress. It receives the starts and ends of tasks from the workers.
type upgradeRun struct {
	*Upgrade
	rng     *rand.Rand
	cluster *cluster.Cluster
	limits  settings.StateLimits

	// mu guards the fields below.
	mu        sync.Mutex
	res       UpgradeFigures
	runningOn map[string]string   // machine that runs a task, by task ID
	completed map[string]bool     // IDs of completed tasks
	jobs      map[string]*userJob // by job ID
	// lastStart is when a task was last started, longestStartGap the longest interval between two starts.
	lastStart       time.Time
	longestStartGap time.Duration
}

// userJob is a job as its user knows it.
type userJob struct {
	api.Submission
	accepted, cancelled bool
	terminalState       string // terminal state that was reported to the user; empty before
}

// reducedLimits are the lower limits that the state service applies from some time during a run.
var reducedLimits = settings.AnnouncedStateLimits{WriteRPS: 42, ValueKB: 2, TxnOps: 4}

// newUpgradeRun starts the stand-ins and workers of a run, but no controllers.
func newUpgradeRun(ctx context.Context, x *Upgrade, seed uint64, limits settings.StateLimits) (*upgradeRun, error) {
	limits.Announced = reducedLimits
	r := &upgradeRun{Upgrade: x, rng: rand.New(rand.NewPCG(seed, 0)), limits: limits, res: UpgradeFigures{Seed: seed}, runningOn: map[string]string{}, completed: map[string]bool{}, jobs: map[string]*userJob{}}
	zones := []string{"east"}
	var err error
	r.cluster, err = cluster.New(ctx, cluster.Options{Zones: []string{"east", "east", "east"}, RentalCapacity: 0,
		MachineType: api.MachineType{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 50, PullGBs: 1, BootS: 40, Price: 1, SpotPrice: 0.5, Zones: zones},
		Facts: settings.Facts{ControllerCount: 3, Zones: zones, Teams: []settings.Team{{Name: "team"}}, Workers: settings.Workers{HeartbeatIntervalS: 0.5, LeaseS: 5, CancelDeadlineS: 20},
			State: limits, Cloud: settings.CloudLimits{RPS: 20, ListLagS: 1}, Resources: settings.Resources{CPU: 1, RAMMB: 200, MaxSockets: 500}},
		TaskDuration: func(task string) time.Duration { return time.Duration(500+200*(len(task)%7)) * time.Millisecond },
		Observer:     r})
	if err != nil {
		return nil, err
	}
	if err := r.cluster.AddWorkers(x.Workers, zones); err != nil {
		r.cluster.Close()
		return nil, err
	}
	return r, nil
}

// startAll starts every controller with a program.
func (r *upgradeRun) startAll(program string) error {
	for _, c := range r.cluster.Controllers {
		if err := c.Start(program); err != nil {
			return err
		}
	}
	return nil
}

func (x *Upgrade) runOnce(ctx context.Context, seed uint64) (*UpgradeFigures, error) {
	r, err := newUpgradeRun(ctx, x, seed, settings.StateLimits{RPS: 400, WriteRPS: 60, ValueKB: 16, TxnOps: 12})
	if err != nil {
		return nil, err
	}
	defer r.cluster.Close()
	if err := r.startAll(x.From); err != nil {
		return nil, err
	}
	if err := r.runUsers(ctx); err != nil {
		return nil, err
	}
	for why, n := range r.cluster.State.Refusals() {
		if !strings.HasPrefix(why, "too many requests") && why != "too many changes" {
			slog.Info("state service refused requests", "why", why, "times", n)
			r.res.RefusedForSize += n
		}
	}
	return &r.res, ctx.Err()
}

// randomController returns a random controller.
func (r *upgradeRun) randomController() *cluster.Controller {
	return r.cluster.Controllers[r.rng.IntN(len(r.cluster.Controllers))]
}

// call sends a user's request.
func (r *upgradeRun) call(ctx context.Context, method string, to *cluster.Controller, path string, body []byte) (int, []byte, error) {
	return r.cluster.Call(ctx, to, method, path, body)
}

// Started records the start of a task. It counts an error if the task still runs on another machine or if a job that it
// awaits is not done.
func (r *upgradeRun) Started(task, machine string, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Tasks++
	now := time.Now()
	if !r.lastStart.IsZero() {
		r.longestStartGap = max(r.longestStartGap, now.Sub(r.lastStart))
	}
	r.lastStart = now
	if on, ok := r.runningOn[task]; ok && on != machine {
		r.res.RanTwice++
	}
	r.runningOn[task] = machine
	id, _, _ := strings.Cut(task, "/")
	for _, n := range r.jobs[id].Awaits {
		for t := range r.jobs[n].Tasks {
			if !r.completed[fmt.Sprintf("%s/%d", n, t)] {
				r.res.TooEarly++
				return
			}
		}
	}
}

// Ended records that a task is no longer on a machine; done reports whether it completed.
func (r *upgradeRun) Ended(task, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runningOn[task] == machine {
		delete(r.runningOn, task)
	}
	r.completed[task] = r.completed[task] || done
}

// runUsers submits, polls and cancels jobs during the rolling upgrade and waits until all jobs are in a terminal state.
// It counts the jobs that do not get there.
func (r *upgradeRun) runUsers(ctx context.Context) error {
	if err := r.waitUntil(ctx, 20*time.Second, func() bool { return r.submit(ctx, nil, 4) }); err != nil {
		return fmt.Errorf("the older version accepted no job: %w", err)
	}
	for next := 0; next < 3; {
		for range 4 + r.rng.IntN(6) {
			r.submit(ctx, nil, 1+r.rng.IntN(12))
			r.pollJobs(ctx)
			r.pause(ctx, 150)
		}
		// First a random controller that is not upgraded yet is killed, then the next one in turn. Only the latter may be
		// restarted with the newer program.
		for _, i := range []int{next + r.rng.IntN(3-next), next} {
			m, to := r.cluster.Controllers[i], r.From
			m.Kill()
			r.res.Kills++
			r.pause(ctx, r.rng.IntN(1500))
			if i == next && to == r.From && r.res.Kills%2 == 0 {
				to = r.To
				next++
			} else {
				r.res.RestartedOld++
			}
			if err := m.Start(to); err != nil {
				return err
			}
			r.pause(ctx, r.rng.IntN(1500))
		}
	}
	began := time.Now()
	if err := r.waitUntil(ctx, 30*time.Second, func() bool { return r.submit(ctx, r.jobsToAwait(), 3) }); err != nil {
		return fmt.Errorf("no job that awaits another job was accepted after the rolling upgrade: %w", err)
	}
	r.res.AwaitingAcceptedAfterS = time.Since(began).Seconds()
	for i := range 40 {
		r.submit(ctx, r.jobsToAwait(), 1+r.rng.IntN(12))
		switch {
		case i == 10:
			r.cluster.State.SetLimits(fake.Limits{RPS: r.limits.RPS, WriteRPS: reducedLimits.WriteRPS, ValueKB: reducedLimits.ValueKB, TxnOps: reducedLimits.TxnOps})
		case i%7 == 3:
			r.cancel(ctx)
		case i%13 == 5:
			m := r.randomController()
			m.Kill()
			r.res.Kills++
			if err := m.Start(r.To); err != nil {
				return err
			}
		}
		r.pollJobs(ctx)
		r.pause(ctx, 100)
	}
	allTerminal := func() bool {
		r.pollJobs(ctx)
		return r.unfinished() == 0
	}
	if err := r.waitUntil(ctx, 60*time.Second, allTerminal); err != nil && ctx.Err() != nil {
		return err
	}
	r.res.Unfinished = r.unfinished()
	return nil
}

func (r *upgradeRun) pause(ctx context.Context, ms int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(ms) * time.Millisecond):
	}
}

func (r *upgradeRun) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); ; r.pause(ctx, 200) {
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case condition():
			return nil
		case time.Now().After(end):
			return errors.New("not within " + timeout.String())
		}
	}
}

// jobsToAwait returns the last accepted job, which is still running, and at random one earlier job.
func (r *upgradeRun) jobsToAwait() (ids []string) {
	all := r.ids()
	slices.Reverse(all)
	for _, id := range all {
		if r.jobs[id].accepted && (len(ids) == 0 || len(ids) == 1 && r.rng.IntN(4) == 0) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (r *upgradeRun) ids() (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// submit tries to submit one job, up to four times, each at a random controller. It reports whether the job was
// accepted.
func (r *upgradeRun) submit(ctx context.Context, awaits []string, tasks int) bool {
	r.mu.Lock()
	id := fmt.Sprintf("run-%06d", len(r.jobs))
	job := &userJob{Submission: api.Submission{ID: id, Class: "c", Team: "team", Shape: api.JobArray, Rank: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimateS: 1, Awaits: awaits}}
	r.jobs[id] = job
	r.mu.Unlock()
	raw, err := json.Marshal(&job.Submission)
	for try := 0; try < 4 && err == nil; try++ {
		status, body, cerr := r.call(ctx, http.MethodPost, r.randomController(), "/submissions", raw)
		if cerr == nil && (status == http.StatusCreated || status == http.StatusOK) {
			job.accepted = true
			r.res.Jobs++
			if len(awaits) > 0 {
				r.res.Awaiting++
			}
			return true
		}
		if cerr == nil && status < 500 {
			slog.Error("submission refused", "status", status, "body", string(body))
			r.res.WrongStates++
			break
		}
		r.pause(ctx, 300)
	}
	return false
}

func (r *upgradeRun) cancel(ctx context.Context) {
	id := r.ids()[r.rng.IntN(len(r.jobs))]
	var st api.JobStatus
	status, body, err := r.call(ctx, http.MethodPost, r.randomController(), "/submissions/"+id+"/cancel", nil)
	if err == nil && status == http.StatusOK && json.Unmarshal(body, &st) == nil && st.State == api.Cancelled {
		r.jobs[id].cancelled = true
	}
}

// cancelConfirmed reports whether the cancellation of a job, or of one that it awaits directly or indirectly, was
// confirmed.
func (r *upgradeRun) cancelConfirmed(id string) bool {
	return r.jobs[id].cancelled || slices.ContainsFunc(r.jobs[id].Awaits, r.cancelConfirmed)
}

// pollJobs polls each accepted job once at a random controller, but only a tenth of the jobs whose terminal state has
// been reported to the user.
func (r *upgradeRun) pollJobs(ctx context.Context) {
	for _, id := range r.ids() {
		job := r.jobs[id]
		if !job.accepted || job.terminalState != "" && r.rng.IntN(10) > 0 {
			continue
		}
		status, body, err := r.call(ctx, http.MethodGet, r.randomController(), "/submissions/"+id, nil)
		var st api.JobStatus
		switch {
		case err != nil || status >= 500:
			continue
		case status == http.StatusNotFound:
			r.res.Forgotten++
			continue
		case json.Unmarshal(body, &st) != nil:
			r.res.WrongStates++
			continue
		}
		wrong := job.terminalState != "" && st.State != job.terminalState || st.State == api.Cancelled && !r.cancelConfirmed(id) || st.State == api.Done && r.cancelConfirmed(id)
		if wrong {
			slog.Error("wrong job state", "job", id, "state", st.State, "told", job.terminalState)
			r.res.WrongStates++
		}
		if st.State == api.Done || st.State == api.Cancelled {
			job.terminalState = st.State
		}
	}
}

// unfinished returns the number of accepted jobs for which no terminal state has been reported to the user.
func (r *upgradeRun) unfinished() (n int) {
	for _, job := range r.jobs {
		if job.accepted && job.terminalState == "" {
			n++
		}
	}
	return n
}
