package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/cluster"
	"switchferry/internal/sleep"
)

// Behavior of users.
const (
	// pollTimeout is the timeout of a poll.
	pollTimeout = 2 * time.Second
	// callTimeout is the timeout of any other request.
	callTimeout = 5 * time.Second
	// retryPause is the delay before a request is retried, and the minimum interval between polls.
	retryPause = 200 * time.Millisecond
	// maxPollJitter is the maximum random addition to the interval between polls.
	maxPollJitter = 900 * time.Millisecond
	// maxSubmitPause is the maximum pause of a user between submissions.
	maxSubmitPause = 1500 * time.Millisecond
	// terminalJobInterval is the interval between requests about jobs in a terminal state.
	terminalJobInterval = 60 * time.Millisecond
	// unknownIDStart is the lowest number in the IDs of jobs that do not exist.
	unknownIDStart = 900_000
	// pipelineShare is the share of submissions that start a pipeline.
	pipelineShare = 0.3
	// sendToAllShare is the probability that a call of sendToAllControllers sends requests.
	sendToAllShare = 0.4
	// cancelNowShare is the share of jobs that are cancelled immediately, and the share whose tasks are very short.
	cancelNowShare = 0.2
	// cancelLaterShare is the share of jobs that are cancelled after some time.
	cancelLaterShare = 0.2
	// serviceShare is the share of services among the jobs that await no other job.
	serviceShare = 0.1
	// unknownShare is the share of requests of requestTerminalJobs that are about jobs that do not exist.
	unknownShare = 0.05
	// maxPipelineJobs is the maximum number of jobs in a pipeline.
	maxPipelineJobs = 3
	// maxTasks is the maximum number of tasks of a job.
	maxTasks = 5
	// maxCPUs is the maximum number of CPUs of a task.
	maxCPUs = 3
	// shortTaskS is the run time of very short tasks, in seconds.
	shortTaskS = 0.01
)

// users simulates users, who submit jobs, poll and resubmit them at all controllers, and cancel some. All answers are
// passed to the audit.
type users struct {
	cluster *cluster.Cluster
	audit   *cluster.Audit

	// mu guards the fields below.
	mu sync.Mutex
	// jobs is the number of jobs created so far.
	jobs int
	// open has the accepted jobs that are not in a terminal state, by ID; terminal has those that are.
	open     map[string]*job
	terminal []*job
}

// job is a job as its user knows it.
type job struct {
	api.Submission
	body []byte
}

func newUsers(run *cluster.Cluster, audit *cluster.Audit) *users {
	return &users{cluster: run, audit: audit, open: map[string]*job{}}
}

// newJob creates a random job that awaits the given jobs, and registers it with the audit.
func (u *users) newJob(awaits []string) *job {
	u.mu.Lock()
	u.jobs++
	number := u.jobs
	u.mu.Unlock()
	ranks := []string{"low", "normal", "high"}
	submission := api.Submission{ID: fmt.Sprintf("run-%06d", number), Class: "soak", Team: teamName, Shape: api.JobArray, Rank: ranks[rand.IntN(len(ranks))], Tasks: 1 + rand.IntN(maxTasks),
		CPUs: float64(1 + rand.IntN(maxCPUs)), MemoryGB: 1, Image: "img", ImageGB: 0.1, Spot: true, EstimateS: 0.3 + 3*rand.Float64(), Awaits: awaits}
	if rand.Float64() < cancelNowShare {
		submission.EstimateS = shortTaskS
	}
	if len(awaits) == 0 && rand.Float64() < serviceShare {
		submission.Shape, submission.Rank, submission.EstimateS = api.Service, "prod", 0
	}
	body, err := json.Marshal(&submission)
	if err != nil {
		panic(err) // A Submission can always be encoded.
	}
	u.audit.Submit(submission)
	return &job{submission, body}
}

// submitJobs submits jobs and pipelines one after the other until ctx ends. Each submitted job is polled in a goroutine
// of the group pollers until it is in a terminal state or settled ends.
func (u *users) submitJobs(ctx, settled context.Context, pollers *sync.WaitGroup) {
	for ctx.Err() == nil {
		length := 1
		if rand.Float64() < pipelineShare {
			length = 2 + rand.IntN(maxPipelineJobs-1)
		}
		var awaits []string
		for range length {
			next := u.newJob(awaits)
			if !u.submit(settled, next) {
				break
			}
			pollers.Go(func() { u.pollUntilTerminal(settled, next) })
			awaits = []string{next.ID}
		}
		sleep.OnRealClock(ctx, rand.N(maxSubmitPause))
	}
}

// submit retries a submission at random controllers until it is accepted. It returns false if ctx ended first.
func (u *users) submit(ctx context.Context, job *job) bool {
	for ctx.Err() == nil {
		if status, _ := u.request(ctx, cluster.SubmitRequest, job, u.randomController()); status == http.StatusOK || status == http.StatusCreated {
			u.mu.Lock()
			u.open[job.ID] = job
			u.mu.Unlock()
			return true
		}
		sleep.OnRealClock(ctx, retryPause)
	}
	return false
}

// pollUntilTerminal polls a job until it is in a terminal state. It cancels some of the jobs.
func (u *users) pollUntilTerminal(ctx context.Context, job *job) {
	u.sendToAllControllers(ctx, job)
	choice := rand.Float64()
	switch {
	case choice < cancelNowShare:
		u.cancel(ctx, job)
	case choice < cancelNowShare+cancelLaterShare || job.Shape == api.Service:
		go func() {
			sleep.OnRealClock(ctx, rand.N(4*time.Second))
			u.cancel(ctx, job)
		}()
	}
	for {
		if _, terminal := u.request(ctx, cluster.StatusRequest, job, u.randomController()); terminal {
			break
		}
		if !sleep.OnRealClock(ctx, retryPause+rand.N(maxPollJitter)) {
			return
		}
	}
	u.sendToAllControllers(ctx, job)
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.open, job.ID)
	u.terminal = append(u.terminal, job)
}

// cancel retries a cancellation until the job is in a terminal state, and then calls sendToAllControllers.
func (u *users) cancel(ctx context.Context, job *job) {
	u.audit.CancelRequested(job.ID)
	for ctx.Err() == nil {
		if _, terminal := u.request(ctx, cluster.CancelRequest, job, u.randomController()); terminal {
			u.sendToAllControllers(ctx, job)
			return
		}
		sleep.OnRealClock(ctx, retryPause)
	}
}

// cancelMany cancels up to limit of the jobs that are not in a terminal state, all at once. It does not wait for the
// answers.
func (u *users) cancelMany(ctx context.Context, limit int) {
	u.mu.Lock()
	var chosen []*job
	for _, open := range u.open {
		if chosen = append(chosen, open); len(chosen) == limit {
			break
		}
	}
	u.mu.Unlock()
	for _, open := range chosen {
		go u.cancel(ctx, open)
	}
}

// sendToAllControllers sends a status request and a resubmission of a job to all controllers, all at once. It does so
// with probability sendToAllShare.
func (u *users) sendToAllControllers(ctx context.Context, job *job) {
	if rand.Float64() >= sendToAllShare {
		return
	}
	var requests sync.WaitGroup
	for _, controller := range u.cluster.Controllers {
		for _, kind := range []cluster.RequestKind{cluster.StatusRequest, cluster.SubmitRequest} {
			requests.Go(func() { u.request(ctx, kind, job, controller) })
		}
	}
	requests.Wait()
}

// requestTerminalJobs polls, resubmits and cancels jobs in a terminal state, and polls jobs that do not exist, until
// ctx ends.
func (u *users) requestTerminalJobs(ctx context.Context) {
	for sleep.OnRealClock(ctx, terminalJobInterval) {
		if rand.Float64() < unknownShare {
			unknown := &job{Submission: api.Submission{ID: fmt.Sprintf("run-%06d", unknownIDStart+rand.IntN(1000))}}
			u.request(ctx, cluster.StatusRequest, unknown, u.randomController())
			continue
		}
		u.mu.Lock()
		var chosen *job
		if len(u.terminal) > 0 {
			chosen = u.terminal[rand.IntN(len(u.terminal))]
		}
		u.mu.Unlock()
		if chosen == nil {
			continue
		}
		kinds := []cluster.RequestKind{cluster.StatusRequest, cluster.SubmitRequest, cluster.CancelRequest}
		kind := kinds[rand.IntN(len(kinds))]
		if kind == cluster.CancelRequest {
			// The job is in a terminal state, so the answer must be that state.
			u.audit.CancelRequested(chosen.ID)
		}
		u.request(ctx, kind, chosen, u.randomController())
	}
}

// randomController returns a random controller.
func (u *users) randomController() *cluster.Controller {
	return u.cluster.Controllers[rand.IntN(len(u.cluster.Controllers))]
}

// request sends a request to a controller and passes the answer to the audit. The status is 0 if there was no answer;
// terminal reports whether the job is in a terminal state.
func (u *users) request(ctx context.Context, kind cluster.RequestKind, job *job, controller *cluster.Controller) (status int, terminal bool) {
	method, path, timeout := http.MethodPost, "/submissions", callTimeout
	var body []byte
	switch kind {
	case cluster.SubmitRequest:
		body = job.body
	case cluster.CancelRequest:
		path += "/" + job.ID + "/cancel"
	case cluster.StatusRequest:
		method, path, timeout = http.MethodGet, path+"/"+job.ID, pollTimeout
	}
	call, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	sent := cluster.JobRequest{JobID: job.ID, Kind: kind, Controller: controller.Settings.Member, SentAt: time.Now()}
	status, raw, err := u.cluster.Call(call, controller, method, path, body)
	sent.AnsweredAt = time.Now()
	var answer api.JobStatus
	if err == nil {
		sent.Status = status
		_ = json.Unmarshal(raw, &answer) // An error response has no state.
		sent.State = answer.State
	}
	return sent.Status, u.audit.CheckAnswer(sent)
}

// unfinished returns the number of accepted jobs that are not in a terminal state.
func (u *users) unfinished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.open)
}
