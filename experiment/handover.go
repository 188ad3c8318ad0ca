package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"switchferry/api"
	"switchferry/settings"
)

// Handover performs rolling restarts of three real controller processes on loopback, by SIGTERM or SIGKILL,
// while users submit jobs to the controllers that a load balancer considers ready.
type Handover struct {
	// Program is the path of the switchferry program.
	Program string
	// Rolls is the number of rolling restarts of all controllers with each kind of shutdown.
	Rolls int
	Seed  uint64
	// Progress receives a line after each kind of shutdown. It must not be nil.
	Progress func(format string, a ...any)
}

// HandoverDefaults returns three rolling restarts for each kind of shutdown.
func HandoverDefaults() *Handover { return &Handover{Rolls: 3, Seed: 1} }

// HandoverResult is what users observed during the rolling restarts with one kind of shutdown.
type HandoverResult struct {
	// Shutdown is "told" (SIGTERM) or "killed" (SIGKILL).
	Shutdown       string `json:"way"`
	ProcessesEnded int    `json:"processes_ended"`
	Submissions    int64  `json:"submissions"`
	Refused        int    `json:"refused"`
	// P50MS, P99MS and MaxMS are the median, the 99th percentile and the maximum of the time until a submission was
	// answered.
	P50MS int64 `json:"p50_ms"`
	P99MS int64 `json:"p99_ms"`
	MaxMS int64 `json:"longest_ms"`
	// LongestAcceptGapMS is the longest interval between two acceptances of submissions.
	LongestAcceptGapMS int64 `json:"longest_without_an_accept_ms"`
	// LongestStartGapMS is the longest interval between two task starts while jobs kept arriving.
	LongestStartGapMS int64 `json:"longest_without_a_start_ms"`
	// ExitP50MS is the median time from the signal to the exit of a process.
	ExitP50MS int64 `json:"end_p50_ms"`
}

// Run performs the rolling restarts, first with SIGTERM and then with SIGKILL.
func (x *Handover) Run(ctx context.Context) ([]HandoverResult, error) {
	var out []HandoverResult
	for _, graceful := range []bool{true, false} {
		h, err := x.runRolls(ctx, graceful)
		if err != nil {
			return nil, err
		}
		x.Progress("%s: %d processes ended, %d submissions, %d refused, longest time without an acceptance %d ms, without a task start %d ms", h.Shutdown, h.ProcessesEnded, h.Submissions, h.Refused, h.LongestAcceptGapMS, h.LongestStartGapMS)
		out = append(out, *h)
	}
	return out, nil
}

func (x *Handover) runRolls(ctx context.Context, graceful bool) (*HandoverResult, error) {
	r, err := newUpgradeRun(ctx, UpgradeDefaults(), x.Seed, settings.StateLimits{RPS: 2000, WriteRPS: 800, ValueKB: 16, TxnOps: 12})
	if err != nil {
		return nil, err
	}
	defer r.cluster.Close()
	if err := r.cluster.EnableFeatures("[membership]\non = true\n"); err != nil {
		return nil, err
	}
	if err := r.startAll(x.Program); err != nil {
		return nil, err
	}
	if err := r.waitUntil(ctx, 20*time.Second, func() bool { return r.submit(ctx, nil, 1) }); err != nil {
		return nil, err
	}
	r.pause(ctx, 3000)
	u := &submitters{run: r, ready: map[int]bool{}, latency: hdrhistogram.New(1, 60_000, 3), lastAccept: time.Now()}
	var done sync.WaitGroup
	userCtx, stopUsers := context.WithCancel(ctx)
	done.Go(func() { u.probeReady(userCtx) })
	r.pause(ctx, 1000)
	u.lastAccept = time.Now()
	done.Go(func() { u.submitAll(userCtx) })
	r.pause(ctx, 3000)
	r.mu.Lock()
	r.longestStartGap = 0
	r.mu.Unlock()
	res := &HandoverResult{Shutdown: "killed"}
	shutdownTimes := hdrhistogram.New(1, 60_000, 3)
	for range x.Rolls {
		for _, m := range r.cluster.Controllers {
			began := time.Now()
			if graceful {
				res.Shutdown = "told"
				m.Terminate()
			} else {
				m.Kill()
			}
			_ = shutdownTimes.RecordValue(time.Since(began).Milliseconds())
			res.ProcessesEnded++
			if err := m.Start(x.Program); err != nil {
				stopUsers()
				return nil, err
			}
			r.pause(ctx, 4000)
		}
	}
	stopUsers()
	done.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	res.Submissions, res.Refused, res.LongestAcceptGapMS = u.latency.TotalCount(), u.refused, u.longestGap.Milliseconds()
	r.mu.Lock()
	res.LongestStartGapMS = r.longestStartGap.Milliseconds()
	r.mu.Unlock()
	res.P50MS, res.P99MS, res.MaxMS, res.ExitP50MS = u.latency.ValueAtQuantile(50), u.latency.ValueAtQuantile(99), u.latency.Max(), shutdownTimes.ValueAtQuantile(50)
	return res, ctx.Err()
}

// submitters submits a job every 20 ms to a controller that the load balancer considers ready.
type submitters struct {
	run *upgradeRun

	// mu guards the fields below.
	mu         sync.Mutex
	ready      map[int]bool // by index of the controller
	latency    *hdrhistogram.Histogram
	refused    int
	lastAccept time.Time
	longestGap time.Duration
	nextID     int
}

// probeReady probes the controllers once a second, as the load balancer of the protocol does. A controller is not ready
// after two consecutive failed probes.
func (u *submitters) probeReady(ctx context.Context) {
	failed := map[int]int{}
	for ctx.Err() == nil {
		for i, m := range u.run.cluster.Controllers {
			call, stop := context.WithTimeout(ctx, time.Second)
			status, _, err := u.run.call(call, http.MethodGet, m, "/ready", nil)
			stop()
			if err == nil && status == http.StatusOK {
				failed[i] = 0
			} else {
				failed[i]++
			}
			u.mu.Lock()
			u.ready[i] = failed[i] < 2
			u.mu.Unlock()
		}
		u.run.pause(ctx, 1000)
	}
}

func (u *submitters) submitAll(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		all.Go(func() { u.submitOne(ctx) })
		u.run.pause(ctx, 20)
	}
}

// submitOne submits one job; if a controller does not answer, it tries the next one that is ready.
func (u *submitters) submitOne(ctx context.Context) {
	u.mu.Lock()
	u.nextID++
	id, first := fmt.Sprintf("run-9%06d", u.nextID), u.nextID
	u.mu.Unlock()
	job := api.Submission{ID: id, Class: "c", Team: "team", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 0.1, MemoryGB: 0.1, Image: "img", EstimateS: 1}
	u.run.mu.Lock()
	u.run.jobs[id] = &userJob{Submission: job}
	u.run.mu.Unlock()
	raw, err := json.Marshal(&job)
	began := time.Now()
	status, body := 0, []byte(nil)
	for try := 0; try < 3 && err == nil && status == 0; try++ {
		u.mu.Lock()
		i := (first + try) % len(u.run.cluster.Controllers)
		ready := u.ready[i]
		u.mu.Unlock()
		if ready {
			status, body, _ = u.run.call(ctx, http.MethodPost, u.run.cluster.Controllers[i], "/submissions", raw)
		}
	}
	if ctx.Err() != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.latency.RecordValue(max(1, time.Since(began).Milliseconds()))
	if status != http.StatusCreated && status != http.StatusOK {
		slog.Info("submission refused", "status", status, "body", string(body))
		u.refused++
		return
	}
	now := time.Now()
	u.longestGap, u.lastAccept = max(u.longestGap, now.Sub(u.lastAccept)), now
}
