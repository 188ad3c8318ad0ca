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
	// pollPatience is the timeout of a poll, callPatience that of any other request.
	pollPatience = 2 * time.Second
	callPatience = 5 * time.Second
	// retryPause is the delay before a request is retried, and the minimum interval between polls.
	retryPause = 200 * time.Millisecond
	// longestPoll is the maximum random addition to the interval between polls.
	longestPoll = 900 * time.Millisecond
	// longestPause is the maximum pause of a user between submissions.
	longestPause = 1500 * time.Millisecond
	// revisitPause is the interval between requests about jobs that have ended.
	revisitPause = 60 * time.Millisecond
	// invalidIDStart is the lowest number in the IDs of jobs that do not exist.
	invalidIDStart = 900_000
	// pipelineShare is the share of submissions that start a pipeline.
	pipelineShare = 0.3
	// closeLookShare is the share of events in a job's life after which all controllers are asked about it at once.
	closeLookShare = 0.4
	// atOnceShare is the share of jobs that are cancelled immediately, and the share whose tasks are very short.
	atOnceShare = 0.2
	// laterShare is the share of jobs that are cancelled after some time.
	laterShare = 0.2
	// serviceShare is the share of services among the jobs that await no other job.
	serviceShare = 0.1
	// unknownShare is the share of requests of revisit that are about jobs that do not exist.
	unknownShare = 0.05
	// longestPipeline is the maximum number of jobs in a pipeline.
	longestPipeline = 3
	// mostTasks is the maximum number of tasks of a job.
	mostTasks = 5
	// mostCPUs is the maximum number of CPUs of a task.
	mostCPUs = 3
	// shortestTask is the run time of very short tasks, in seconds.
	shortestTask = 0.01
)

// users simulates users, who submit jobs, ask about them at all controllers, resubmit them and cancel some. All answers are
// passed to the audit.
type users struct {
	cluster *cluster.Cluster
	audit   *cluster.Audit

	// mu guards the fields below.
	mu sync.Mutex
	// jobs is the number of jobs created so far.
	jobs int
	// open has the accepted jobs that have not ended, by ID; endedID has those that have ended.
	open    map[string]*job
	endedID []*job
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
	submission := api.Submission{ID: fmt.Sprintf("run-%06d", number), Class: "soak", Team: teamName, Shape: api.JobArray, Rank: ranks[rand.IntN(len(ranks))], Tasks: 1 + rand.IntN(mostTasks),
		CPUs: float64(1 + rand.IntN(mostCPUs)), MemoryGB: 1, Image: "img", ImageGB: 0.1, Spot: true, EstimateS: 0.3 + 3*rand.Float64(), Awaits: awaits}
	if rand.Float64() < atOnceShare {
		submission.EstimateS = shortestTask
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

// run submits jobs and pipelines one after the other until ctx ends. Submitted jobs are followed until they have ended or
// settled ends; following waits for that.
func (u *users) run(ctx, settled context.Context, following *sync.WaitGroup) {
	for ctx.Err() == nil {
		length := 1
		if rand.Float64() < pipelineShare {
			length = 2 + rand.IntN(longestPipeline-1)
		}
		var awaits []string
		for range length {
			next := u.newJob(awaits)
			if !u.submit(settled, next) {
				break
			}
			following.Go(func() { u.follow(settled, next) })
			awaits = []string{next.ID}
		}
		sleep.Real(ctx, rand.N(longestPause))
	}
}

// submit retries a submission at random controllers until it is accepted. It returns false if ctx ended first.
func (u *users) submit(ctx context.Context, job *job) bool {
	for ctx.Err() == nil {
		if status, _ := u.ask(ctx, cluster.AskSubmit, job, u.anyController()); status == http.StatusOK || status == http.StatusCreated {
			u.mu.Lock()
			u.open[job.ID] = job
			u.mu.Unlock()
			return true
		}
		sleep.Real(ctx, retryPause)
	}
	return false
}

// follow polls a job until it has ended, and cancels some jobs.
func (u *users) follow(ctx context.Context, job *job) {
	u.lookClosely(ctx, job)
	fate := rand.Float64()
	switch {
	case fate < atOnceShare:
		u.cancel(ctx, job)
	case fate < atOnceShare+laterShare || job.Shape == api.Service:
		go func() {
			sleep.Real(ctx, rand.N(4*time.Second))
			u.cancel(ctx, job)
		}()
	}
	for {
		if _, over := u.ask(ctx, cluster.AskStatus, job, u.anyController()); over {
			break
		}
		if !sleep.Real(ctx, retryPause+rand.N(longestPoll)) {
			return
		}
	}
	u.lookClosely(ctx, job)
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.open, job.ID)
	u.endedID = append(u.endedID, job)
}

// cancel retries a cancellation until the job has ended, and then calls lookClosely.
func (u *users) cancel(ctx context.Context, job *job) {
	u.audit.CancelRequested(job.ID)
	for ctx.Err() == nil {
		if _, over := u.ask(ctx, cluster.AskCancel, job, u.anyController()); over {
			u.lookClosely(ctx, job)
			return
		}
		sleep.Real(ctx, retryPause)
	}
}

// cancelMany cancels up to most of the jobs that have not ended, all at once. It does not wait for the answers.
func (u *users) cancelMany(ctx context.Context, most int) {
	u.mu.Lock()
	var chosen []*job
	for _, open := range u.open {
		if chosen = append(chosen, open); len(chosen) == most {
			break
		}
	}
	u.mu.Unlock()
	for _, open := range chosen {
		go u.cancel(ctx, open)
	}
}

// lookClosely asks all controllers about a job and resubmits it to them, all at once. It does so in closeLookShare of the
// calls.
func (u *users) lookClosely(ctx context.Context, job *job) {
	if rand.Float64() >= closeLookShare {
		return
	}
	var asking sync.WaitGroup
	for _, controller := range u.cluster.Controllers {
		for _, kind := range []cluster.QuestionKind{cluster.AskStatus, cluster.AskSubmit} {
			asking.Go(func() { u.ask(ctx, kind, job, controller) })
		}
	}
	asking.Wait()
}

// revisit polls, resubmits and cancels jobs that have ended, and polls jobs that do not exist, until ctx ends.
func (u *users) revisit(ctx context.Context) {
	for sleep.Real(ctx, revisitPause) {
		if rand.Float64() < unknownShare {
			unknown := &job{Submission: api.Submission{ID: fmt.Sprintf("run-%06d", invalidIDStart+rand.IntN(1000))}}
			u.ask(ctx, cluster.AskStatus, unknown, u.anyController())
			continue
		}
		u.mu.Lock()
		var ended *job
		if len(u.endedID) > 0 {
			ended = u.endedID[rand.IntN(len(u.endedID))]
		}
		u.mu.Unlock()
		if ended == nil {
			continue
		}
		kinds := []cluster.QuestionKind{cluster.AskStatus, cluster.AskSubmit, cluster.AskCancel}
		kind := kinds[rand.IntN(len(kinds))]
		if kind == cluster.AskCancel {
			// The job has ended, so the answer must be its final state.
			u.audit.CancelRequested(ended.ID)
		}
		u.ask(ctx, kind, ended, u.anyController())
	}
}

// anyController returns a random controller.
func (u *users) anyController() *cluster.Controller {
	return u.cluster.Controllers[rand.IntN(len(u.cluster.Controllers))]
}

// ask sends a request to a controller and passes the answer to the audit. The status is 0 if there was no answer; over reports
// whether the job has ended.
func (u *users) ask(ctx context.Context, kind cluster.QuestionKind, job *job, controller *cluster.Controller) (status int, over bool) {
	method, path, patience := http.MethodPost, "/submissions", callPatience
	var body []byte
	switch kind {
	case cluster.AskSubmit:
		body = job.body
	case cluster.AskCancel:
		path += "/" + job.ID + "/cancel"
	case cluster.AskStatus:
		method, path, patience = http.MethodGet, path+"/"+job.ID, pollPatience
	}
	call, stop := context.WithTimeout(ctx, patience)
	defer stop()
	question := cluster.Question{Job: job.ID, Kind: kind, Controller: controller.Settings.Member, AskedAt: time.Now()}
	status, raw, err := u.cluster.Call(call, controller, method, path, body)
	question.AnsweredAt = time.Now()
	var answer api.JobStatus
	if err == nil {
		question.Status = status
		_ = json.Unmarshal(raw, &answer) // An error response has no state.
		question.State = answer.State
	}
	return question.Status, u.audit.Judge(question)
}

// unfinished returns the number of accepted jobs that have not ended.
func (u *users) unfinished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.open)
}
