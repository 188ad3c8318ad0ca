package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pelletier/go-toml/v2"

	"switchferry/api"
	"switchferry/internal/standin"
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

// upgraded is one run under way.
type upgraded struct {
	*Upgrade
	dir   string
	rng   *rand.Rand
	clock clockwork.Clock
	nodes []*member
	http  *http.Client
	// args are further arguments of the programs.
	args   []string
	state  *standin.State
	limits standin.Limits

	mu    sync.Mutex
	res   Upgraded
	on    map[string]string // task -> machine that runs it
	ended map[string]bool   // tasks that are done
	jobs  map[string]*asked
	// lastStart is when a task was last started, idle the longest time without.
	lastStart time.Time
	idle      time.Duration
}

type member struct {
	set     *settings.Settings
	program string
	cmd     *exec.Cmd
}

// asked is a job as its user knows it.
type asked struct {
	api.Submission
	accepted, cancelled bool
	told                string
}

// serve answers on a loopback port with what a stand-in says.
func serve(rt http.RoundTripper) (addr string, stop func(), err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := rt.RoundTrip(r)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

func (x *Upgrade) play(ctx context.Context, seed uint64) (*Upgraded, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	dir, err := os.MkdirTemp("", "upgrade")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &upgraded{Upgrade: x, dir: dir, rng: rand.New(rand.NewPCG(seed, 0)), clock: clockwork.NewRealClock(), http: &http.Client{Timeout: 4 * time.Second},
		limits: standin.Limits{RPS: 400, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		res:    Upgraded{Seed: seed}, on: map[string]string{}, ended: map[string]bool{}, jobs: map[string]*asked{}}
	end, err := r.world(ctx)
	if err != nil {
		return nil, err
	}
	defer end()
	for _, m := range r.nodes {
		if err := r.start(m, x.From); err != nil {
			return nil, err
		}
	}
	if err := r.users(ctx); err != nil {
		return nil, err
	}
	for why, n := range r.state.Refusals() {
		if !strings.HasPrefix(why, "too many requests") && why != "too many changes" {
			slog.Info("refused", "why", why, "times", n)
			r.res.TooLarge += n
		}
	}
	return &r.res, ctx.Err()
}

// world starts the stand-ins and workers, and writes the controllers' settings. End stops what
// was started, controllers as well.
func (r *upgraded) world(ctx context.Context) (end func(), err error) {
	r.state = standin.NewState(r.clock)
	r.state.Limit(r.limits)
	types := []api.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 50, PullGBs: 1, BootS: 40, Price: 1, SpotPrice: 0.5, Zones: []string{"east"}}}
	cloud := standin.NewCloud(r.clock, types, 20)
	stateAddr, endState, err := serve(r.state)
	if err != nil {
		return nil, err
	}
	cloudAddr, endCloud, err := serve(cloud)
	if err != nil {
		endState()
		return nil, err
	}
	end = func() {
		for _, m := range r.nodes {
			m.end()
		}
		endCloud()
		endState()
	}
	if err = r.configure(stateAddr, cloudAddr, r.limits); err == nil {
		for i := 0; i < r.Workers && err == nil; i++ {
			err = r.work(ctx, cloud)
		}
	}
	if err != nil {
		end()
		return nil, err
	}
	return end, nil
}

// configure makes the settings of three controllers.
func (r *upgraded) configure(state, cloud string, l standin.Limits) error {
	var addrs []string
	for range 6 {
		s, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer s.Close()
		addrs = append(addrs, s.Addr().String())
	}
	for i := range 3 {
		set := &settings.Settings{Member: fmt.Sprintf("n%d", i), Zone: "east", Listen: addrs[i], Back: addrs[3+i], External: settings.External{Cloud: cloud, State: state}}
		for j := range 3 {
			if j != i {
				set.Siblings = append(set.Siblings, settings.Sibling{Member: fmt.Sprintf("n%d", j), Zone: "east", Address: addrs[3+j]})
			}
		}
		set.Facts = settings.Facts{Nodes: 3, Zones: []string{"east"}, Teams: []settings.Team{{Name: "team"}}, Workers: settings.Workers{ReportS: 0.5, LeaseS: 5, CancelS: 20},
			State: settings.State{RPS: l.RPS, WriteRPS: l.WriteRPS, ValueKB: l.ValueKB, TxnOps: l.TxnOps, Next: settings.NextState{WriteRPS: 42, ValueKB: 2, TxnOps: 4}},
			Cloud: settings.Cloud{RPS: 20, ListLagS: 1}, Resources: settings.Resources{CPU: 1, RAMMB: 200, Sockets: 500}}
		raw, err := toml.Marshal(set)
		if err == nil {
			err = os.WriteFile(filepath.Join(r.dir, set.Member+".toml"), raw, 0o600)
		}
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, &member{set: set})
	}
	return nil
}

func (r *upgraded) start(m *member, program string) error {
	m.program, m.cmd = program, exec.Command(program, append([]string{"serve", "--config", filepath.Join(r.dir, m.set.Member+".toml")}, r.args...)...)
	m.cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	return m.cmd.Start()
}

// end kills a process and waits until it is gone.
func (m *member) end() {
	if m.cmd != nil {
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
	}
	m.cmd = nil
}

// work runs a machine's worker with a port of its own.
func (r *upgraded) work(ctx context.Context, cloud *standin.Cloud) error {
	var w *standin.Worker
	var ready sync.WaitGroup
	ready.Add(1)
	addr, end, err := serve(late{&ready, &w})
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, end)
	h := cloud.AddAt("m", "east", addr)
	var names []string
	for _, m := range r.nodes {
		names = append(names, m.set.Member)
	}
	w = standin.NewWorker(standin.WorkerOptions{Host: h, Clock: r.clock, Nodes: names, Post: r.post, Every: 500 * time.Millisecond, Lease: 5 * time.Second,
		Runs: func(task string) time.Duration { return time.Duration(500+200*(len(task)%7)) * time.Millisecond },
		Starts: func(task string, _ uint64, _ time.Time) {
			r.began(task, h.Name)
		},
		Ends: func(task string, done bool) { r.over(task, h.Name, done) }})
	ready.Done()
	go w.Run(ctx)
	return nil
}

// late is a worker's port, which is there before the worker.
type late struct {
	ready *sync.WaitGroup
	w     **standin.Worker
}

func (l late) RoundTrip(q *http.Request) (*http.Response, error) {
	l.ready.Wait()
	return direct{*l.w}.RoundTrip(q)
}

// post carries a worker's report.
func (r *upgraded) post(ctx context.Context, node string, rep *api.Report) (int, any) {
	i := slices.IndexFunc(r.nodes, func(m *member) bool { return m.set.Member == node })
	raw, err := json.Marshal(rep)
	if err != nil {
		return 0, nil
	}
	status, body, err := r.call(ctx, http.MethodPost, r.nodes[i].set.Listen, "/v1/report", raw)
	switch {
	case err != nil:
		return 0, nil
	case status == http.StatusOK:
		var o api.Orders
		if json.Unmarshal(body, &o) != nil {
			return 0, nil
		}
		return status, o
	}
	var to api.Redirect
	_ = json.Unmarshal(body, &to)
	return status, to
}

func (r *upgraded) call(ctx context.Context, method, addr, path string, body []byte) (int, []byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := r.http.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

// began checks a start against what is known of the jobs.
func (r *upgraded) began(task, machine string) {
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

// over notes that a task is no longer on a machine.
func (r *upgraded) over(task, machine string, done bool) {
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
			m, to := r.nodes[i], r.From
			m.end()
			r.res.Kills++
			r.pause(ctx, r.rng.IntN(1500))
			if i == next && to == r.From && r.res.Kills%2 == 0 {
				to = r.To
				next++
			} else {
				r.res.OldBack++
			}
			if err := r.start(m, to); err != nil {
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
			r.state.Limit(standin.Limits{RPS: r.limits.RPS, WriteRPS: 42, ValueKB: 2, TxnOps: 4})
		case i%7 == 3:
			r.cancel(ctx)
		case i%13 == 5:
			m := r.nodes[r.rng.IntN(3)]
			m.end()
			r.res.Kills++
			if err := r.start(m, r.To); err != nil {
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
	a := &asked{Submission: api.Submission{ID: id, Class: "c", Team: "team", Shape: api.Array, Rank: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimateS: 1, Awaits: awaits}}
	r.jobs[id] = a
	r.mu.Unlock()
	raw, err := json.Marshal(&a.Submission)
	for try := 0; try < 4 && err == nil; try++ {
		status, body, cerr := r.call(ctx, http.MethodPost, r.nodes[r.rng.IntN(3)].set.Listen, "/submissions", raw)
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
	status, body, err := r.call(ctx, http.MethodPost, r.nodes[r.rng.IntN(3)].set.Listen, "/submissions/"+id+"/cancel", nil)
	if err == nil && status == http.StatusOK && json.Unmarshal(body, &st) == nil && st.State == api.Withdrawn {
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
		status, body, err := r.call(ctx, http.MethodGet, r.nodes[r.rng.IntN(3)].set.Listen, "/submissions/"+id, nil)
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
		wrong := a.told != "" && st.State != a.told || st.State == api.Withdrawn && !r.gone(id) || st.State == api.Done && r.gone(id)
		if wrong {
			slog.Error("a wrong state", "job", id, "state", st.State, "told", a.told)
			r.res.Wrong++
		}
		if st.State == api.Done || st.State == api.Withdrawn {
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
