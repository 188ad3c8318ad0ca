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

// Behavior of users, as the protocol specifies it, and the range of histograms.
const (
	// pollInterval is the maximum interval between polls of a job's status.
	pollInterval = 5 * time.Second
	// pollTimeout is the timeout of a poll.
	pollTimeout = 2 * time.Second
	// callTimeout is the timeout of any other request.
	callTimeout = 5 * time.Second
	// submitTimeout is how long a user retries a submission.
	submitTimeout = time.Minute
	// minRetryDelay is the minimum delay before a submission is retried.
	minRetryDelay = time.Second
	// histogramMaxMS is the largest value that histograms record, in milliseconds.
	histogramMaxMS = 600_000
)

// population simulates the users of a cluster: each submits one job, polls it until it is in a terminal state, and may
// cancel it. All answers are passed to the audit.
type population struct {
	cluster *cluster.Cluster
	audit   *cluster.Audit
	users   sync.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	rng    *rand.Rand
	nextID int
	// submissionLatency has the times from the first attempt of a submission to its acceptance, and doneDelay those from
	// the end of the last task until the user receives the state done; both in milliseconds. refused counts
	// submission attempts without an acceptance, failedPolls the polls without a usable answer.
	submissionLatency, doneDelay *hdrhistogram.Histogram
	refused, failedPolls         int
	polls                        int
}

func newPopulation(c *cluster.Cluster, audit *cluster.Audit, seed uint64) *population {
	p := &population{cluster: c, audit: audit, rng: rand.New(rand.NewPCG(seed, 2))}
	p.reset()
	return p
}

// reset clears the counts and histograms.
func (p *population) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.submissionLatency, p.doneDelay = hdrhistogram.New(1, histogramMaxMS, 3), hdrhistogram.New(1, histogramMaxMS, 3)
	p.refused, p.failedPolls, p.polls = 0, 0, 0
}

// randomInt returns a random number in [0, n).
func (p *population) randomInt(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}

// newID returns an unused job ID.
func (p *population) newID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	return fmt.Sprintf("run-%06d", p.nextID)
}

// neverCancels is the value of cancelAfter for a user who does not cancel.
const neverCancels = time.Duration(-1)

// startUser starts a user who submits a job and polls it until it is in a terminal state. If cancelAfter is not
// negative, the user cancels the job that long after its acceptance. startUser does not block.
func (p *population) startUser(ctx context.Context, submission api.Submission, cancelAfter time.Duration) (id string) {
	submission.ID = p.newID()
	p.audit.Submit(submission)
	p.users.Go(func() { p.runUser(ctx, submission, cancelAfter) })
	return submission.ID
}

func (p *population) runUser(ctx context.Context, job api.Submission, cancelAfter time.Duration) {
	if !p.submit(ctx, job) {
		return
	}
	accepted := time.Now()
	cancelled := false
	for p.sleep(ctx, pollInterval-time.Duration(p.randomInt(1000))*time.Millisecond) {
		if cancelAfter >= 0 && !cancelled && time.Since(accepted) >= cancelAfter {
			cancelled = p.cancel(ctx, job.ID)
		}
		if p.poll(ctx, job.ID) {
			return
		}
	}
}

// sleep sleeps for d; it returns false if ctx ended first.
func (p *population) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// request sends a request about a job to a running controller. The status is 0 if no controller answered in time.
func (p *population) request(ctx context.Context, timeout time.Duration, method, path string, body []byte) (status int, answer api.JobStatus) {
	status, raw := p.requestRaw(ctx, timeout, method, path, body)
	_ = json.Unmarshal(raw, &answer)
	return status, answer
}

// requestRaw is like request but returns the undecoded body.
func (p *population) requestRaw(ctx context.Context, timeout time.Duration, method, path string, body []byte) (status int, answer []byte) {
	call, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	first := p.randomInt(len(p.cluster.Controllers))
	for i := range p.cluster.Controllers {
		x := p.cluster.Controllers[(first+i)%len(p.cluster.Controllers)]
		if x.PID() == 0 {
			continue
		}
		status, raw, err := p.cluster.Call(call, x, method, path, body)
		if err != nil && call.Err() == nil {
			continue // The connection was refused: the load balancer tries the next controller.
		}
		if err != nil {
			return 0, nil
		}
		return status, raw
	}
	return 0, nil
}

// submit retries a submission until it is accepted. It returns false if it was not accepted within submitTimeout or ctx
// ended.
func (p *population) submit(ctx context.Context, job api.Submission) bool {
	body, err := json.Marshal(&job)
	if err != nil {
		return false
	}
	for began := time.Now(); time.Since(began) < submitTimeout; {
		sentAt := time.Now()
		status, answer := p.request(ctx, callTimeout, http.MethodPost, "/submissions", body)
		if status == http.StatusCreated || status == http.StatusOK {
			p.checkAnswer(cluster.SubmitRequest, job.ID, sentAt, status, answer.State)
			p.locked(func() { _ = p.submissionLatency.RecordValue(max(1, time.Since(began).Milliseconds())) })
			return true
		}
		p.locked(func() { p.refused++ })
		if !p.sleep(ctx, minRetryDelay+time.Duration(p.randomInt(1000))*time.Millisecond) {
			return false
		}
	}
	return false
}

func (p *population) cancel(ctx context.Context, id string) bool {
	p.audit.CancelRequested(id)
	sentAt := time.Now()
	status, answer := p.request(ctx, callTimeout, http.MethodPost, "/submissions/"+id+"/cancel", nil)
	if status != http.StatusOK {
		return false
	}
	p.checkAnswer(cluster.CancelRequest, id, sentAt, status, answer.State)
	return true
}

// checkAnswer passes an answer to the audit, which checks it, and reports whether the job is in a terminal state.
func (p *population) checkAnswer(kind cluster.RequestKind, id string, sentAt time.Time, status int, state string) (terminal bool) {
	return p.audit.CheckAnswer(cluster.JobRequest{JobID: id, Kind: kind, SentAt: sentAt, AnsweredAt: time.Now(), Status: status, State: state})
}

// poll polls a job once and reports whether it is in a terminal state.
func (p *population) poll(ctx context.Context, id string) bool {
	sentAt := time.Now()
	status, answer := p.request(ctx, pollTimeout, http.MethodGet, "/submissions/"+id, nil)
	p.locked(func() { p.polls++ })
	if status != http.StatusOK && status != http.StatusNotFound {
		p.locked(func() { p.failedPolls++ })
		return false
	}
	terminal := p.checkAnswer(cluster.StatusRequest, id, sentAt, status, answer.State)
	if terminal && answer.State == api.Done {
		p.audit.Jobs(func(j *cluster.AuditedJob) {
			if at := j.Finished(); j.ID == id && !at.IsZero() {
				p.locked(func() { _ = p.doneDelay.RecordValue(max(1, time.Since(at).Milliseconds())) })
			}
		})
	}
	return terminal
}

func (p *population) locked(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// StartWaits is the distribution, in milliseconds, of the start waits of the jobs of one rank. A start wait is the time
// from the submission of a job to the start of its last task.
type StartWaits struct {
	Jobs int   `json:"jobs"`
	P50  int64 `json:"p50_ms"`
	P99  int64 `json:"p99_ms"`
	Max  int64 `json:"longest_ms"`
	// Unstarted counts the jobs that have tasks that did not start.
	Unstarted int `json:"unstarted"`
}

// startWaits returns, by rank, the start waits of the jobs that were submitted between from and to and were not
// cancelled.
func (p *population) startWaits(from, to time.Time) map[string]StartWaits {
	all := map[string]*hdrhistogram.Histogram{}
	unstarted := map[string]int{}
	p.audit.Jobs(func(j *cluster.AuditedJob) {
		if j.Submitted.Before(from) || j.Submitted.After(to) || j.TerminalState == api.Cancelled {
			return
		}
		if all[j.Rank] == nil {
			all[j.Rank] = hdrhistogram.New(1, histogramMaxMS, 3)
		}
		if j.TasksStarted < j.Tasks {
			unstarted[j.Rank]++
			return
		}
		_ = all[j.Rank].RecordValue(max(1, j.LastTaskStartedAt.Sub(j.Submitted).Milliseconds()))
	})
	out := map[string]StartWaits{}
	for rank, h := range all {
		out[rank] = StartWaits{Jobs: int(h.TotalCount()), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max(), Unstarted: unstarted[rank]}
	}
	return out
}
