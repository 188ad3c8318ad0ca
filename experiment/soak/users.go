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

// What users do.
const (
	pollPatience   = 2 * time.Second
	callPatience   = 5 * time.Second
	retryPause     = 200 * time.Millisecond
	longestPoll    = 900 * time.Millisecond
	longestPause   = 1500 * time.Millisecond
	revisitPause   = 60 * time.Millisecond
	invalidIDStart = 900_000
	// pipelineShare of the submissions are the first job of a pipeline, closeLookShare of the events in a job's life are
	// followed by a question to each controller at once, and atOnceShare and laterShare of the jobs are cancelled.
	pipelineShare   = 0.3
	closeLookShare  = 0.4
	atOnceShare     = 0.2
	laterShare      = 0.2
	serviceShare    = 0.1
	unknownShare    = 0.05
	longestPipeline = 3
	mostTasks       = 5
	mostCPUs        = 3
	shortestTask    = 0.01
)

// users submit jobs, ask about them at all controllers, repeat their submissions and cancel some. What they are answered goes
// to the audit.
type users struct {
	cluster *cluster.Cluster
	audit   *cluster.Audit

	// mu guards the fields below: how many jobs there were, those that go on, and those that are over.
	mu      sync.Mutex
	jobs    int
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

// newJob makes up a job that awaits others, and makes it known to the audit.
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
		panic(err) // Only for a type that cannot be encoded.
	}
	u.audit.Submit(submission)
	return &job{submission, body}
}

// run has users come one after the other until ctx ends; those who are there go on until their jobs are over or settled ends.
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
		sleep.OnRealClock(ctx, rand.N(longestPause))
	}
}

// submit repeats a submission at any controllers until it is accepted; it reports false if ctx ended before.
func (u *users) submit(ctx context.Context, job *job) bool {
	for ctx.Err() == nil {
		if status, _ := u.ask(ctx, cluster.SubmitRequest, job, u.anyController()); status == http.StatusOK || status == http.StatusCreated {
			u.mu.Lock()
			u.open[job.ID] = job
			u.mu.Unlock()
			return true
		}
		sleep.OnRealClock(ctx, retryPause)
	}
	return false
}

// follow asks about a job until it is over, and cancels some.
func (u *users) follow(ctx context.Context, job *job) {
	u.lookClosely(ctx, job)
	fate := rand.Float64()
	switch {
	case fate < atOnceShare:
		u.cancel(ctx, job)
	case fate < atOnceShare+laterShare || job.Shape == api.Service:
		go func() {
			sleep.OnRealClock(ctx, rand.N(4*time.Second))
			u.cancel(ctx, job)
		}()
	}
	for {
		if _, over := u.ask(ctx, cluster.StatusRequest, job, u.anyController()); over {
			break
		}
		if !sleep.OnRealClock(ctx, retryPause+rand.N(longestPoll)) {
			return
		}
	}
	u.lookClosely(ctx, job)
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.open, job.ID)
	u.endedID = append(u.endedID, job)
}

// cancel repeats a cancellation until it is answered, and then looks closely.
func (u *users) cancel(ctx context.Context, job *job) {
	u.audit.CancelRequested(job.ID)
	for ctx.Err() == nil {
		if _, over := u.ask(ctx, cluster.CancelRequest, job, u.anyController()); over {
			u.lookClosely(ctx, job)
			return
		}
		sleep.OnRealClock(ctx, retryPause)
	}
}

// cancelMany cancels some of the jobs that go on, at once.
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

// lookClosely asks all controllers at once, and repeats the submission there, after some of the events in a job's life.
func (u *users) lookClosely(ctx context.Context, job *job) {
	if rand.Float64() >= closeLookShare {
		return
	}
	var asking sync.WaitGroup
	for _, controller := range u.cluster.Controllers {
		for _, kind := range []cluster.RequestKind{cluster.StatusRequest, cluster.SubmitRequest} {
			asking.Go(func() { u.ask(ctx, kind, job, controller) })
		}
	}
	asking.Wait()
}

// revisit asks about jobs that are over, repeats their submissions, and asks about jobs of nobody, until ctx ends.
func (u *users) revisit(ctx context.Context) {
	for sleep.OnRealClock(ctx, revisitPause) {
		if rand.Float64() < unknownShare {
			unknown := &job{Submission: api.Submission{ID: fmt.Sprintf("run-%06d", invalidIDStart+rand.IntN(1000))}}
			u.ask(ctx, cluster.StatusRequest, unknown, u.anyController())
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
		kinds := []cluster.RequestKind{cluster.StatusRequest, cluster.SubmitRequest, cluster.CancelRequest}
		kind := kinds[rand.IntN(len(kinds))]
		if kind == cluster.CancelRequest {
			// It is over: the answer is its final state.
			u.audit.CancelRequested(ended.ID)
		}
		u.ask(ctx, kind, ended, u.anyController())
	}
}

// anyController is any controller.
func (u *users) anyController() *cluster.Controller {
	return u.cluster.Controllers[rand.IntN(len(u.cluster.Controllers))]
}

// ask asks a controller, and has the audit judge the answer. Status is 0 if there is none.
func (u *users) ask(ctx context.Context, kind cluster.RequestKind, job *job, controller *cluster.Controller) (status int, over bool) {
	method, path, patience := http.MethodPost, "/submissions", callPatience
	var body []byte
	switch kind {
	case cluster.SubmitRequest:
		body = job.body
	case cluster.CancelRequest:
		path += "/" + job.ID + "/cancel"
	case cluster.StatusRequest:
		method, path, patience = http.MethodGet, path+"/"+job.ID, pollPatience
	}
	call, stop := context.WithTimeout(ctx, patience)
	defer stop()
	question := cluster.JobRequest{JobID: job.ID, Kind: kind, Controller: controller.Settings.Member, SentAt: time.Now()}
	status, raw, err := u.cluster.Call(call, controller, method, path, body)
	question.AnsweredAt = time.Now()
	var answer api.JobStatus
	if err == nil {
		question.Status = status
		_ = json.Unmarshal(raw, &answer) // A failure has no state.
		question.State = answer.State
	}
	return question.Status, u.audit.CheckAnswer(question)
}

// unfinished returns how many accepted jobs are not over.
func (u *users) unfinished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.open)
}
