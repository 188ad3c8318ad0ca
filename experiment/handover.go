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

// Handover rolls three real processes on loopback, each told to end, or killed, and begun again,
// while users submit jobs to those that a load balancer holds for ready.
type Handover struct {
	Program  string
	Rolls    int
	Seed     uint64
	Progress func(format string, a ...any)
}

// HandoverDefaults are three rolls each way.
func HandoverDefaults() *Handover { return &Handover{Rolls: 3, Seed: 1} }

// HandedOver is what users met in some rolls of all controllers.
type HandedOver struct {
	// Way is "told" or "killed".
	Way     string `json:"way"`
	Ends    int    `json:"processes_ended"`
	Asked   int64  `json:"submissions"`
	Refused int    `json:"refused"`
	P50MS   int64  `json:"p50_ms"`
	P99MS   int64  `json:"p99_ms"`
	MostMS  int64  `json:"longest_ms"`
	GapMS   int64  `json:"longest_without_an_accept_ms"`
	// IdleMS is the longest time in which no task was started, though some waited.
	IdleMS   int64 `json:"longest_without_a_start_ms"`
	EndP50MS int64 `json:"end_p50_ms"`
}

// Run plays both ways.
func (x *Handover) Run(ctx context.Context) ([]HandedOver, error) {
	var out []HandedOver
	for _, told := range []bool{true, false} {
		h, err := x.play(ctx, told)
		if err != nil {
			return nil, err
		}
		x.Progress("%s: %d ends, %d submissions, %d refused, longest without an accept %d ms, without a start %d ms", h.Way, h.Ends, h.Asked, h.Refused, h.GapMS, h.IdleMS)
		out = append(out, *h)
	}
	return out, nil
}

func (x *Handover) play(ctx context.Context, told bool) (*HandedOver, error) {
	r, err := newUpgraded(ctx, UpgradeDefaults(), x.Seed, settings.StateLimits{RPS: 2000, WriteRPS: 800, ValueKB: 16, TxnOps: 12})
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
	if err := r.until(ctx, 20*time.Second, func() bool { return r.submit(ctx, nil, 1) }); err != nil {
		return nil, err
	}
	r.pause(ctx, 3000)
	u := &users{r: r, ready: map[int]bool{}, took: hdrhistogram.New(1, 60_000, 3), last: time.Now()}
	var done sync.WaitGroup
	user, home := context.WithCancel(ctx)
	done.Go(func() { u.balance(user) })
	r.pause(ctx, 1000)
	u.last = time.Now()
	done.Go(func() { u.submit(user) })
	r.pause(ctx, 3000)
	r.mu.Lock()
	r.idle = 0
	r.mu.Unlock()
	res := &HandedOver{Way: "killed"}
	ends := hdrhistogram.New(1, 60_000, 3)
	for range x.Rolls {
		for _, m := range r.cluster.Controllers {
			began := time.Now()
			if told {
				res.Way = "told"
				m.Terminate()
			} else {
				m.Kill()
			}
			_ = ends.RecordValue(time.Since(began).Milliseconds())
			res.Ends++
			if err := m.Start(x.Program); err != nil {
				home()
				return nil, err
			}
			r.pause(ctx, 4000)
		}
	}
	home()
	done.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	res.Asked, res.Refused, res.GapMS = u.took.TotalCount(), u.refused, u.gap.Milliseconds()
	r.mu.Lock()
	res.IdleMS = r.idle.Milliseconds()
	r.mu.Unlock()
	res.P50MS, res.P99MS, res.MostMS, res.EndP50MS = u.took.ValueAtQuantile(50), u.took.ValueAtQuantile(99), u.took.Max(), ends.ValueAtQuantile(50)
	return res, ctx.Err()
}

// users submit a job every 20 ms to a controller that answered its last probes.
type users struct {
	r *upgraded

	mu      sync.Mutex
	ready   map[int]bool
	took    *hdrhistogram.Histogram
	refused int
	last    time.Time
	gap     time.Duration
	next    int
}

// balance probes as the protocol's load balancer does: once a second, out after two failures.
func (u *users) balance(ctx context.Context) {
	failed := map[int]int{}
	for ctx.Err() == nil {
		for i, m := range u.r.cluster.Controllers {
			call, stop := context.WithTimeout(ctx, time.Second)
			status, _, err := u.r.call(call, http.MethodGet, m, "/ready", nil)
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
		u.r.pause(ctx, 1000)
	}
}

func (u *users) submit(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		all.Go(func() { u.one(ctx) })
		u.r.pause(ctx, 20)
	}
}

// one submits one job, at another controller where a connection is refused.
func (u *users) one(ctx context.Context) {
	u.mu.Lock()
	u.next++
	id, first := fmt.Sprintf("run-9%06d", u.next), u.next
	u.mu.Unlock()
	job := api.Submission{ID: id, Class: "c", Team: "team", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 0.1, MemoryGB: 0.1, Image: "img", EstimateS: 1}
	u.r.mu.Lock()
	u.r.jobs[id] = &asked{Submission: job}
	u.r.mu.Unlock()
	raw, err := json.Marshal(&job)
	began := time.Now()
	status, why := 0, []byte(nil)
	for try := 0; try < 3 && err == nil && status == 0; try++ {
		u.mu.Lock()
		i := (first + try) % len(u.r.cluster.Controllers)
		ready := u.ready[i]
		u.mu.Unlock()
		if ready {
			status, why, _ = u.r.call(ctx, http.MethodPost, u.r.cluster.Controllers[i], "/submissions", raw)
		}
	}
	if ctx.Err() != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.took.RecordValue(max(1, time.Since(began).Milliseconds()))
	if status != http.StatusCreated && status != http.StatusOK {
		slog.Info("a submission is refused", "status", status, "body", string(why))
		u.refused++
		return
	}
	now := time.Now()
	u.gap, u.last = max(u.gap, now.Sub(u.last)), now
}
