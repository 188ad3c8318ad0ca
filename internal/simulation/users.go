package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/peer"
)

// Behaviour of the simulated users.
const (
	// pollInterval is the longest time between two requests of a user for a job's status.
	pollInterval = 5 * time.Second
	// pollTimeout is how long a user waits for the response with the status.
	pollTimeout = 2 * time.Second
	// requestTimeout is how long users and operators wait for the response to any other request.
	requestTimeout = 5 * time.Second
	// submitRetryLimit is how long a user repeats a submission that gets no response.
	submitRetryLimit = time.Minute
	// waveInterval is the time between two cancellation requests of one user in a cancellation wave.
	waveInterval = 50 * time.Millisecond
	// defaultCancelShare is the share of job arrays that are cancelled if a scenario does not set one.
	defaultCancelShare = 1.0 / 15
	// noCancellation means that a user does not cancel the job.
	noCancellation = time.Duration(-1)
)

// user is the simulated user of one job. Only its own goroutine uses it.
type user struct {
	sim *simulation
	job *trackedJob
	rng *rand.Rand
	// cancelAfter is how long after its acceptance the job is cancelled, or noCancellation.
	cancelAfter time.Duration
}

// followJob submits a job and then polls its status until its terminal state was reported; some users poll again after
// that.
func (sim *simulation) followJob(ctx context.Context, job *trackedJob, cancelAfter time.Duration) {
	user := &user{sim: sim, job: job, rng: sim.actorRNG(job.ID), cancelAfter: cancelAfter}
	if !user.submit(ctx) {
		return
	}
	for user.waitForPoll(ctx) && user.poll(ctx) {
	}
}

// request sends a request with the user's own random numbers.
func (user *user) request(ctx context.Context, timeout time.Duration, request peer.Request) (int, api.JobStatus) {
	return user.sim.request(ctx, user.rng, timeout, request)
}

// submit repeats the submission until a controller accepts or refuses it, for up to submitRetryLimit; it reports
// whether the job was accepted.
func (user *user) submit(ctx context.Context) bool {
	body := encodeSubmission(&user.job.Submission)
	for start := time.Now(); ; {
		code, status := user.request(ctx, requestTimeout, peer.Request{Verb: controller.VerbSubmit, Body: body})
		if code == http.StatusOK || code == http.StatusCreated {
			user.sim.checker.jobAccepted(user.job, status)
			return true
		}
		if code == http.StatusBadRequest || code == http.StatusUnprocessableEntity {
			user.sim.checker.recordRefusal(user.job, code)
			return false
		}
		if time.Since(start) > submitRetryLimit || !user.sim.sleep(ctx, time.Second+time.Duration(user.rng.IntN(2000))*time.Millisecond) {
			return false
		}
	}
}

// waitForPoll waits until the next poll is due or a cancellation wave begins, in which the user may take part. It
// reports false once the simulation has ended.
func (user *user) waitForPoll(ctx context.Context) bool {
	wait := time.NewTimer(pollInterval - time.Duration(user.rng.IntN(1000))*time.Millisecond)
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
	case fault := <-user.sim.cancellations:
		if user.rng.IntN(10) < fault.Count && user.job.Shape != api.Service {
			user.joinCancellationWave(ctx, fault)
		}
	}
	return true
}

// joinCancellationWave repeatedly requests the cancellation of the job until a terminal state is reported or the wave
// ends. If none was reported, the user cancels the job with the next poll.
func (user *user) joinCancellationWave(ctx context.Context, fault Fault) {
	user.sim.checker.recordCancelRequest(user.job)
	user.cancelAfter = 0
	if fault.HangMachinesFor > 0 {
		user.sim.hangMachineOf(ctx, user.job, fault.HangMachinesFor)
	}
	for start := time.Now(); time.Since(start) < fault.For && user.job.terminalState == ""; user.sim.sleep(ctx, waveInterval) {
		user.cancel(ctx, time.Second)
	}
	if user.job.terminalState != "" {
		user.cancelAfter = noCancellation
	}
}

// cancel requests the cancellation of the job once; it reports whether a controller accepted the request.
func (user *user) cancel(ctx context.Context, timeout time.Duration) bool {
	code, status := user.request(ctx, timeout, peer.Request{Verb: controller.VerbCancel, Job: user.job.ID})
	if code != http.StatusOK {
		return false
	}
	user.sim.checker.recordResponse(user.job, code, status)
	return true
}

// poll cancels the job if that is due, and requests its status. It reports false if the user stops polling.
func (user *user) poll(ctx context.Context) bool {
	sim, job := user.sim, user.job
	if user.cancelAfter >= 0 && time.Since(job.acceptedAt) > user.cancelAfter {
		sim.checker.recordCancelRequest(job)
		if user.cancel(ctx, requestTimeout) {
			user.cancelAfter = noCancellation
		}
	}
	sent := time.Now()
	code, status := user.request(ctx, pollTimeout, peer.Request{Verb: controller.VerbStatus, Job: job.ID})
	sim.checker.checkResponse(job, sent, code, status, controller.VerbStatus)
	if sim.invalidRequestFaults.Load() > 0 && user.rng.IntN(3) == 0 {
		user.sendInvalidRequests(ctx)
	}
	if sim.checker.terminalStateReported(job) && user.rng.IntN(3) > 0 {
		// Two thirds of the users stop polling now; the others poll again.
		return false
	}
	if user.rng.IntN(10) == 0 {
		user.requestUnknownJob(ctx)
	}
	return true
}

// requestUnknownJob requests the status of a job that nobody submitted. A response that knows the job is a violation.
func (user *user) requestUnknownJob(ctx context.Context) {
	code, _ := user.request(ctx, pollTimeout, peer.Request{Verb: controller.VerbStatus, Job: "run-9" + user.job.ID[4:] + "9"})
	if code == http.StatusOK {
		checker := user.sim.checker
		checker.mu.Lock()
		defer checker.mu.Unlock()
		checker.recordViolation("invented", "a controller reported the status of a job that nobody submitted")
	}
}

// recordCancelRequest records that the user of a job requests its cancellation.
func (checker *invariantChecker) recordCancelRequest(job *trackedJob) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	job.cancelRequested = true
}

// encodeSubmission returns the body of a job's submission request.
func encodeSubmission(submission *api.Submission) []byte {
	body, err := json.Marshal(submission)
	if err != nil {
		panic(fmt.Sprintf("encoding the submission of %s: %v", submission.ID, err))
	}
	return body
}

// requestAroundEnd cancels a job around the moment at which its last task ends, remaining from now, and concurrently
// requests its status and repeats its submission.
func (sim *simulation) requestAroundEnd(job *trackedJob, remaining time.Duration) {
	cancel := peer.Request{Verb: controller.VerbCancel, Job: job.ID}
	status := peer.Request{Verb: controller.VerbStatus, Job: job.ID}
	submit := peer.Request{Verb: controller.VerbSubmit, Body: encodeSubmission(&job.Submission)}
	for i, request := range []peer.Request{cancel, status, submit, status, cancel} {
		sim.actors.Go(func() {
			rng := sim.actorRNG(fmt.Sprint("at the end of ", job.ID, i))
			offset := time.Duration(rng.Int64N(int64(100*time.Millisecond))) - 50*time.Millisecond
			if rng.IntN(2) == 0 {
				offset = time.Duration(rng.Int64N(int64(3*time.Second))) - 100*time.Millisecond
			}
			if !sim.sleep(sim.ctx, remaining+offset) {
				return
			}
			sent := time.Now()
			sim.checker.mu.Lock()
			job.cancelRequested = job.cancelRequested || request.Verb == controller.VerbCancel
			if job.terminalState != "" {
				// The user may have stopped polling, so the time since the last response does not count.
				job.answeredAt = sent
			}
			sim.checker.mu.Unlock()
			code, status := sim.request(sim.ctx, rng, requestTimeout, request)
			sim.checker.checkResponse(job, sent, code, status, request.Verb)
		})
	}
}

// request sends a request to the first ready controller, in order from a random one. It returns the HTTP status code
// and the job's status, or 0 if no controller is ready or there is no response within the timeout.
func (sim *simulation) request(ctx context.Context, rng *rand.Rand, timeout time.Duration, request peer.Request) (int, api.JobStatus) {
	callContext, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	first := rng.IntN(3)
	for i := range 3 {
		name := controllerNames[(first+i)%3]
		instance := sim.runningController(name)
		if instance == nil || !instance.Ready() {
			continue
		}
		response, ok := sim.call(callContext, name, instance, request)
		if !ok {
			return 0, api.JobStatus{}
		}
		// The body of an error contains no status; the status then stays empty.
		var status api.JobStatus
		_ = json.Unmarshal(response.Body, &status)
		return response.Status, status
	}
	return 0, api.JobStatus{}
}

// call makes a controller handle a request. If the controller is paused, the request or its response waits until it is
// resumed. call reports false if ctx ends before there is a response.
func (sim *simulation) call(ctx context.Context, name string, instance *controller.Controller, request peer.Request) (peer.Response, bool) {
	answer := make(chan peer.Response, 1)
	go func() {
		sim.waitWhilePaused(name)
		response := instance.Handle(ctx, request, false)
		sim.waitWhilePaused(name)
		answer <- response
	}()
	select {
	case response := <-answer:
		return response, true
	case <-ctx.Done():
		return peer.Response{}, false
	}
}

// cancelsAtEnd reports whether the user of a job cancels it around the end of its last task. While a CancelAtEnd fault
// is active, that is so for half of the job arrays, chosen by a hash of the identifier.
func (sim *simulation) cancelsAtEnd(job *trackedJob) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job.ID))
	return sim.cancelAtEndFaults.Load() > 0 && job.Shape == api.JobArray && h.Sum32()%2 == 0
}
