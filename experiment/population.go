package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"switchferry/api"
	"switchferry/internal/cluster"
)

// What users do, as the protocol says.
const (
	pollEvery     = 5 * time.Second
	pollPatience  = 2 * time.Second
	callPatience  = 5 * time.Second
	submitsFor    = time.Minute
	retryAtLeast  = time.Second
	histogramMost = 600_000 // milliseconds
)

// population are the users of a cluster: each submits one job, asks about it until it is over, and may cancel it.
// What they are told goes to the audit.
type population struct {
	cluster *cluster.Cluster
	audit   *cluster.Audit
	users   sync.WaitGroup

	mu     sync.Mutex
	rng    *rand.Rand
	nextID int
	// submissions and dones are how long users waited for their accept, and from the end of the last task for the
	// word that the job is done, in ms; refused counts submissions that were refused for now, failed polls without
	// an answer.
	submissions, dones *hdrhistogram.Histogram
	refused, failed    int
	polls              int
}

func newPopulation(c *cluster.Cluster, audit *cluster.Audit, seed uint64) *population {
	p := &population{cluster: c, audit: audit, rng: rand.New(rand.NewPCG(seed, 2))}
	p.reset()
	return p
}

// reset begins the counts anew.
func (p *population) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.submissions, p.dones = hdrhistogram.New(1, histogramMost, 3), hdrhistogram.New(1, histogramMost, 3)
	p.refused, p.failed, p.polls = 0, 0, 0
}

// random gives a number below n.
func (p *population) random(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}

// newID is an id that no job has yet.
func (p *population) newID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	return fmt.Sprintf("run-%06d", p.nextID)
}

// neverCancels is the cancelAfter of a user who does not cancel.
const neverCancels = time.Duration(-1)

// begin has a user submit a job and attend to it. It does not block.
func (p *population) begin(ctx context.Context, job api.Submission, cancelAfter time.Duration) (id string) {
	job.ID = p.newID()
	p.audit.Submit(job)
	p.users.Go(func() { p.attend(ctx, job, cancelAfter) })
	return job.ID
}

func (p *population) attend(ctx context.Context, job api.Submission, cancelAfter time.Duration) {
	if !p.submit(ctx, job) {
		return
	}
	accepted := time.Now()
	cancelled := false
	for p.pause(ctx, pollEvery-time.Duration(p.random(1000))*time.Millisecond) {
		if cancelAfter >= 0 && !cancelled && time.Since(accepted) >= cancelAfter {
			cancelled = p.cancel(ctx, job.ID)
		}
		if p.poll(ctx, job.ID) {
			return
		}
	}
}

// pause is false once the context has ended.
func (p *population) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// ask sends a request about a job to a controller that runs; 0: nobody answered in time.
func (p *population) ask(ctx context.Context, patience time.Duration, method, path string, body []byte) (status int, answer api.JobStatus) {
	status, raw := p.askRaw(ctx, patience, method, path, body)
	_ = json.Unmarshal(raw, &answer)
	return status, answer
}

// askRaw is ask with the answer as it is.
func (p *population) askRaw(ctx context.Context, patience time.Duration, method, path string, body []byte) (status int, answer []byte) {
	call, stop := context.WithTimeout(ctx, patience)
	defer stop()
	first := p.random(len(p.cluster.Controllers))
	for i := range p.cluster.Controllers {
		x := p.cluster.Controllers[(first+i)%len(p.cluster.Controllers)]
		if x.PID() == 0 {
			continue
		}
		status, raw, err := p.cluster.Call(call, x, method, path, body)
		if err != nil && call.Err() == nil {
			continue // refused: the load balancer tries the next
		}
		if err != nil {
			return 0, nil
		}
		return status, raw
	}
	return 0, nil
}

// submit is true once the job is accepted.
func (p *population) submit(ctx context.Context, job api.Submission) bool {
	body, err := json.Marshal(&job)
	if err != nil {
		return false
	}
	for began := time.Now(); time.Since(began) < submitsFor; {
		askedAt := time.Now()
		status, answer := p.ask(ctx, callPatience, http.MethodPost, "/submissions", body)
		if status == http.StatusCreated || status == http.StatusOK {
			p.judge(cluster.SubmitRequest, job.ID, askedAt, status, answer.State)
			p.note(func() { _ = p.submissions.RecordValue(max(1, time.Since(began).Milliseconds())) })
			return true
		}
		p.note(func() { p.refused++ })
		if !p.pause(ctx, retryAtLeast+time.Duration(p.random(1000))*time.Millisecond) {
			return false
		}
	}
	return false
}

func (p *population) cancel(ctx context.Context, id string) bool {
	p.audit.CancelRequested(id)
	askedAt := time.Now()
	status, answer := p.ask(ctx, callPatience, http.MethodPost, "/submissions/"+id+"/cancel", nil)
	if status != http.StatusOK {
		return false
	}
	p.judge(cluster.CancelRequest, id, askedAt, status, answer.State)
	return true
}

// judge has the audit check an answer; it reports whether the job is over.
func (p *population) judge(kind cluster.RequestKind, id string, askedAt time.Time, status int, state string) (over bool) {
	return p.audit.CheckAnswer(cluster.JobRequest{JobID: id, Kind: kind, SentAt: askedAt, AnsweredAt: time.Now(), Status: status, State: state})
}

// poll asks once; true: the job is over.
func (p *population) poll(ctx context.Context, id string) bool {
	askedAt := time.Now()
	status, answer := p.ask(ctx, pollPatience, http.MethodGet, "/submissions/"+id, nil)
	p.note(func() { p.polls++ })
	if status != http.StatusOK && status != http.StatusNotFound {
		p.note(func() { p.failed++ })
		return false
	}
	over := p.judge(cluster.StatusRequest, id, askedAt, status, answer.State)
	if over && answer.State == api.Done {
		p.audit.Jobs(func(j *cluster.AuditedJob) {
			if at := j.Finished(); j.ID == id && !at.IsZero() {
				p.note(func() { _ = p.dones.RecordValue(max(1, time.Since(at).Milliseconds())) })
			}
		})
	}
	return over
}

func (p *population) note(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// Waits are the start waits of jobs of one rank: from the first submission to the start of the last task, in ms.
type Waits struct {
	Jobs int   `json:"jobs"`
	P50  int64 `json:"p50_ms"`
	P99  int64 `json:"p99_ms"`
	Most int64 `json:"longest_ms"`
	// Unstarted are jobs of which a task has not started yet.
	Unstarted int `json:"unstarted"`
}

// waits are those of the jobs that were submitted within a span, by rank.
func (p *population) waits(from, to time.Time) map[string]Waits {
	all := map[string]*hdrhistogram.Histogram{}
	unstarted := map[string]int{}
	p.audit.Jobs(func(j *cluster.AuditedJob) {
		if j.Submitted.Before(from) || j.Submitted.After(to) || j.TerminalState == api.Cancelled {
			return
		}
		if all[j.Rank] == nil {
			all[j.Rank] = hdrhistogram.New(1, histogramMost, 3)
		}
		if j.TasksStarted < j.Tasks {
			unstarted[j.Rank]++
			return
		}
		_ = all[j.Rank].RecordValue(max(1, j.LastTaskStartedAt.Sub(j.Submitted).Milliseconds()))
	})
	out := map[string]Waits{}
	for rank, h := range all {
		out[rank] = Waits{Jobs: int(h.TotalCount()), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Most: h.Max(), Unstarted: unstarted[rank]}
	}
	return out
}
