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

// Upgrade plays real processes of two versions against the project's stand-ins on loopback: three
// controllers of the older program serve, are killed at random moments, and come back one after
// the other as the newer one, while users submit, ask and cancel.
type Upgrade struct {
	// From and To are the programs.
	From, To string
	Runs     int
	Workers  int
	Seed     uint64
	Progress func(format string, a ...any)
}

// UpgradeDefaults are three runs.
func UpgradeDefaults() *Upgrade { return &Upgrade{Runs: 3, Workers: 12, Seed: 1} }

// Upgraded is one run. All counts below Tasks must be 0.
type Upgraded struct {
	Seed uint64 `json:"seed"`
	// Kills are the processes that were ended, of which OldBack came back old.
	Kills   int `json:"kills"`
	OldBack int `json:"came_back_old"`
	Jobs    int `json:"jobs"`
	// Awaiting are those that await others; Tasks all tasks that were started.
	Awaiting  int `json:"jobs_that_await"`
	Tasks     int `json:"tasks_started"`
	RanTwice  int `json:"ran_twice"`
	TooEarly  int `json:"too_early"`
	Wrong     int `json:"wrong_states"`
	Unended   int `json:"not_over"`
	Forgotten int `json:"forgotten"`
	// TooLarge are requests that the state service refused for their size.
	TooLarge int `json:"refused_for_size"`
	// SwitchedS is the time from the start of the last newer process to the first accepted job
	// that awaits another.
	SwitchedS float64 `json:"switched_s"`
}

// UpgradeResult is what the experiment prints.
type UpgradeResult struct {
	Measured string     `json:"measured"`
	Runs     []Upgraded `json:"runs"`
}

// Run plays all runs.
func (x *Upgrade) Run(ctx context.Context) (*UpgradeResult, error) {
	for _, p := range []string{x.From, x.To} {
		if info, err := os.Stat(p); err != nil || info.IsDir() {
			return nil, fmt.Errorf("--from: %q is no program; build the older version and name its file", p)
		}
	}
	res := &UpgradeResult{Measured: "real processes over loopback on this machine; simulated workers, state service and cloud"}
	for i := range x.Runs {
		r, err := x.play(ctx, x.Seed+uint64(i))
		if err != nil {
			return nil, fmt.Errorf("seed %d: %w", x.Seed+uint64(i), err)
		}
		res.Runs = append(res.Runs, *r)
		x.Progress("seed %d: %d kills, %d jobs, %d tasks, switched after %.1f s", r.Seed, r.Kills, r.Jobs, r.Tasks, r.SwitchedS)
	}
	return res, nil
}

// upgraded is one run under way. It observes the workers.
type upgraded struct {
	*Upgrade
	rng     *rand.Rand
	cluster *cluster.Cluster
	limits  settings.StateLimits

	mu    sync.Mutex
	res   Upgraded
	on    map[string]string // task -> machine that runs it
	ended map[string]bool   // tasks that are done
	jobs  map[string]*asked
	// lastStart is when a task was last started, idle the longest time without.
	lastStart time.Time
	idle      time.Duration
}

// asked is a job as its user knows it.
type asked struct {
	api.Submission
	accepted, cancelled bool
	told                string
}

// sunken are the limits of the state service from some moment on.
var sunken = settings.AnnouncedStateLimits{WriteRPS: 42, ValueKB: 2, TxnOps: 4}

// newUpgraded starts the stand-ins and workers of a run; no controller runs yet.
func newUpgraded(ctx context.Context, x *Upgrade, seed uint64, limits settings.StateLimits) (*upgraded, error) {
	limits.Announced = sunken
	r := &upgraded{Upgrade: x, rng: rand.New(rand.NewPCG(seed, 0)), limits: limits, res: Upgraded{Seed: seed}, on: map[string]string{}, ended: map[string]bool{}, jobs: map[string]*asked{}}
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
func (r *upgraded) startAll(program string) error {
	for _, c := range r.cluster.Controllers {
		if err := c.Start(program); err != nil {
			return err
		}
	}
	return nil
}

func (x *Upgrade) play(ctx context.Context, seed uint64) (*Upgraded, error) {
	r, err := newUpgraded(ctx, x, seed, settings.StateLimits{RPS: 400, WriteRPS: 60, ValueKB: 16, TxnOps: 12})
	if err != nil {
		return nil, err
	}
	defer r.cluster.Close()
	if err := r.startAll(x.From); err != nil {
		return nil, err
	}
	if err := r.users(ctx); err != nil {
		return nil, err
	}
	for why, n := range r.cluster.State.Refusals() {
		if !strings.HasPrefix(why, "too many requests") && why != "too many changes" {
			slog.Info("refused", "why", why, "times", n)
			r.res.TooLarge += n
		}
	}
	return &r.res, ctx.Err()
}

// any is a controller chosen at random.
func (r *upgraded) any() *cluster.Controller {
	return r.cluster.Controllers[r.rng.IntN(len(r.cluster.Controllers))]
}

// call sends a user's request.
func (r *upgraded) call(ctx context.Context, method string, to *cluster.Controller, path string, body []byte) (int, []byte, error) {
	return r.cluster.Call(ctx, to, method, path, body)
}

// Started checks a start against what is known of the jobs.
func (r *upgraded) Started(task, machine string, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Tasks++
	now := time.Now()
	if !r.lastStart.IsZero() {
		r.idle = max(r.idle, now.Sub(r.lastStart))
	}
	r.lastStart = now
	if on, ok := r.on[task]; ok && on != machine {
		r.res.RanTwice++
	}
	r.on[task] = machine
	id, _, _ := strings.Cut(task, "/")
	for _, n := range r.jobs[id].Awaits {
		for t := range r.jobs[n].Tasks {
			if !r.ended[fmt.Sprintf("%s/%d", n, t)] {
				r.res.TooEarly++
				return
			}
		}
	}
}

// Ended notes that a task is no longer on a machine.
func (r *upgraded) Ended(task, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on[task] == machine {
		delete(r.on, task)
	}
	r.ended[task] = r.ended[task] || done
}

// users submit, ask and cancel while the processes are replaced, and look at all in the end.
func (r *upgraded) users(ctx context.Context) error {
	if err := r.until(ctx, 20*time.Second, func() bool { return r.submit(ctx, nil, 4) }); err != nil {
		return fmt.Errorf("the older version takes no job: %w", err)
	}
	for next := 0; next < 3; {
		for range 4 + r.rng.IntN(6) {
			r.submit(ctx, nil, 1+r.rng.IntN(12))
			r.ask(ctx)
			r.pause(ctx, 150)
		}
		// One dies before its turn, and comes back old; then one is replaced.
		for _, i := range []int{next + r.rng.IntN(3-next), next} {
			m, to := r.cluster.Controllers[i], r.From
			m.Kill()
			r.res.Kills++
			r.pause(ctx, r.rng.IntN(1500))
			if i == next && to == r.From && r.res.Kills%2 == 0 {
				to = r.To
				next++
			} else {
				r.res.OldBack++
			}
			if err := m.Start(to); err != nil {
				return err
			}
			r.pause(ctx, r.rng.IntN(1500))
		}
	}
	began := time.Now()
	if err := r.until(ctx, 30*time.Second, func() bool { return r.submit(ctx, r.some(), 3) }); err != nil {
		return fmt.Errorf("no job that awaits another is taken after the roll: %w", err)
	}
	r.res.SwitchedS = time.Since(began).Seconds()
	for i := range 40 {
		r.submit(ctx, r.some(), 1+r.rng.IntN(12))
		switch {
		case i == 10:
			r.cluster.State.SetLimits(fake.Limits{RPS: r.limits.RPS, WriteRPS: sunken.WriteRPS, ValueKB: sunken.ValueKB, TxnOps: sunken.TxnOps})
		case i%7 == 3:
			r.cancel(ctx)
		case i%13 == 5:
			m := r.any()
			m.Kill()
			r.res.Kills++
			if err := m.Start(r.To); err != nil {
				return err
			}
		}
		r.ask(ctx)
		r.pause(ctx, 100)
	}
	over := func() bool {
		r.ask(ctx)
		return r.open() == 0
	}
	if err := r.until(ctx, 60*time.Second, over); err != nil && ctx.Err() != nil {
		return err
	}
	r.res.Unended = r.open()
	return nil
}

func (r *upgraded) pause(ctx context.Context, ms int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(ms) * time.Millisecond):
	}
}

func (r *upgraded) until(ctx context.Context, most time.Duration, f func() bool) error {
	for end := time.Now().Add(most); ; r.pause(ctx, 200) {
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case f():
			return nil
		case time.Now().After(end):
			return errors.New("not within " + most.String())
		}
	}
}

// some are the job that was accepted last, which still runs, and perhaps an earlier one.
func (r *upgraded) some() (ids []string) {
	all := r.ids()
	slices.Reverse(all)
	for _, id := range all {
		if r.jobs[id].accepted && (len(ids) == 0 || len(ids) == 1 && r.rng.IntN(4) == 0) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (r *upgraded) ids() (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// submit tries one job at two controllers; true: it was accepted.
func (r *upgraded) submit(ctx context.Context, awaits []string, tasks int) bool {
	r.mu.Lock()
	id := fmt.Sprintf("run-%06d", len(r.jobs))
	a := &asked{Submission: api.Submission{ID: id, Class: "c", Team: "team", Shape: api.JobArray, Rank: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimateS: 1, Awaits: awaits}}
	r.jobs[id] = a
	r.mu.Unlock()
	raw, err := json.Marshal(&a.Submission)
	for try := 0; try < 4 && err == nil; try++ {
		status, body, cerr := r.call(ctx, http.MethodPost, r.any(), "/submissions", raw)
		if cerr == nil && (status == http.StatusCreated || status == http.StatusOK) {
			a.accepted = true
			r.res.Jobs++
			if len(awaits) > 0 {
				r.res.Awaiting++
			}
			return true
		}
		if cerr == nil && status < 500 {
			slog.Error("a submission is refused", "status", status, "body", string(body))
			r.res.Wrong++
			break
		}
		r.pause(ctx, 300)
	}
	return false
}

func (r *upgraded) cancel(ctx context.Context) {
	id := r.ids()[r.rng.IntN(len(r.jobs))]
	var st api.JobStatus
	status, body, err := r.call(ctx, http.MethodPost, r.any(), "/submissions/"+id+"/cancel", nil)
	if err == nil && status == http.StatusOK && json.Unmarshal(body, &st) == nil && st.State == api.Cancelled {
		r.jobs[id].cancelled = true
	}
}

// gone tells whether a job, or one before it, was told to be cancelled.
func (r *upgraded) gone(id string) bool {
	return r.jobs[id].cancelled || slices.ContainsFunc(r.jobs[id].Awaits, r.gone)
}

// ask polls all jobs that are not over, each once, at any controller.
func (r *upgraded) ask(ctx context.Context) {
	for _, id := range r.ids() {
		a := r.jobs[id]
		if !a.accepted || a.told != "" && r.rng.IntN(10) > 0 {
			continue
		}
		status, body, err := r.call(ctx, http.MethodGet, r.any(), "/submissions/"+id, nil)
		var st api.JobStatus
		switch {
		case err != nil || status >= 500:
			continue
		case status == http.StatusNotFound:
			r.res.Forgotten++
			continue
		case json.Unmarshal(body, &st) != nil:
			r.res.Wrong++
			continue
		}
		wrong := a.told != "" && st.State != a.told || st.State == api.Cancelled && !r.gone(id) || st.State == api.Done && r.gone(id)
		if wrong {
			slog.Error("a wrong state", "job", id, "state", st.State, "told", a.told)
			r.res.Wrong++
		}
		if st.State == api.Done || st.State == api.Cancelled {
			a.told = st.State
		}
	}
}

// open is how many accepted jobs are not over.
func (r *upgraded) open() (n int) {
	for _, a := range r.jobs {
		if a.accepted && a.told == "" {
			n++
		}
	}
	return n
}
