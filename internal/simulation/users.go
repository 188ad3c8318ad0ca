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

// The users' habits.
const (
	// pollInterval is how often a user asks for a job's status, and pollTimeout how long it waits for the answer.
	pollInterval = 5 * time.Second
	pollTimeout  = 2 * time.Second
	// requestTimeout bounds submissions, cancellations and requests that are out of the ordinary.
	requestTimeout = 5 * time.Second
	// submitPatience is for how long a user repeats a submission that gets no answer.
	submitPatience = time.Minute
	// waveInterval is the pause between two cancellations of one user in a cancellation wave.
	waveInterval = 50 * time.Millisecond
	// defaultCancelShare is the share of job arrays that are cancelled where a scenario does not say.
	defaultCancelShare = 1.0 / 15
	// noCancellation stands for a user who does not cancel.
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

// followJob submits a job and then polls its status until the user loses interest, which is after the job's
// terminal state was reported.
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

// submit repeats the submission until a controller answers it; it reports whether the job was accepted.
func (user *user) submit(ctx context.Context) bool {
	body := encodeSubmission(&user.job.Submission)
	for from := time.Now(); ; {
		code, status := user.request(ctx, requestTimeout, peer.Request{Verb: controller.VerbSubmit, Body: body})
		if code == http.StatusOK || code == http.StatusCreated {
			user.sim.checker.jobAccepted(user.job, status)
			return true
		}
		if code == http.StatusBadRequest || code == http.StatusUnprocessableEntity {
			user.sim.checker.recordRefusal(user.job, code)
			return false
		}
		if time.Since(from) > submitPatience || !user.sim.sleep(ctx, time.Second+time.Duration(user.rng.IntN(2000))*time.Millisecond) {
			return false
		}
	}
}

// waitForPoll waits for the moment of the next poll, or for a cancellation wave, in which the user may take part;
// it reports false once the simulation is over.
func (user *user) waitForPoll(ctx context.Context) bool {
	wait := time.NewTimer(pollInterval - time.Duration(user.rng.IntN(1000))*time.Millisecond)
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
	case fault := <-user.sim.cancellations:
		if user.rng.IntN(10) < fault.Count && user.job.Shape != api.Service {
			user.joinWave(ctx, fault)
		}
	}
	return true
}

// joinWave cancels the job again and again for as long as the wave lasts or until it is answered. Where that is in
// vain, the job is cancelled with the next poll.
func (user *user) joinWave(ctx context.Context, fault Fault) {
	user.sim.checker.cancelRequested(user.job)
	user.cancelAfter = 0
	if fault.HangMachinesFor > 0 {
		user.sim.hangMachineOf(ctx, user.job, fault.HangMachinesFor)
	}
	for from := time.Now(); time.Since(from) < fault.For && user.job.finalState == ""; user.sim.sleep(ctx, waveInterval) {
		user.cancel(ctx, time.Second)
	}
	if user.job.finalState != "" {
		user.cancelAfter = noCancellation
	}
}

// cancel asks once to cancel the job; it reports whether a controller accepted that.
func (user *user) cancel(ctx context.Context, timeout time.Duration) bool {
	code, status := user.request(ctx, timeout, peer.Request{Verb: controller.VerbCancel, Job: user.job.ID})
	if code != http.StatusOK {
		return false
	}
	user.sim.checker.recordAnswer(user.job, code, status)
	return true
}

// poll cancels the job if its time has come and asks for its status; it reports false if the user asks no more.
func (user *user) poll(ctx context.Context) bool {
	sim, job := user.sim, user.job
	if user.cancelAfter >= 0 && time.Since(job.acceptedAt) > user.cancelAfter {
		sim.checker.cancelRequested(job)
		if user.cancel(ctx, requestTimeout) {
			user.cancelAfter = noCancellation
		}
	}
	sent := time.Now()
	code, status := user.request(ctx, pollTimeout, peer.Request{Verb: controller.VerbStatus, Job: job.ID})
	sim.checker.checkAnswer(job, sent, code, status, controller.VerbStatus)
	if sim.invalidRequestFaults.Load() > 0 && user.rng.IntN(3) == 0 {
		user.sendInvalidRequests(ctx)
	}
	if sim.checker.jobOver(job) && user.rng.IntN(3) > 0 {
		// Most users ask no more; some do so once again later.
		return false
	}
	if user.rng.IntN(10) == 0 {
		user.requestUnknownJob(ctx)
	}
	return true
}

// requestUnknownJob asks for a job that nobody submitted, which no controller may know.
func (user *user) requestUnknownJob(ctx context.Context) {
	code, _ := user.request(ctx, pollTimeout, peer.Request{Verb: controller.VerbStatus, Job: "run-9" + user.job.ID[4:] + "9"})
	if code == http.StatusOK {
		checker := user.sim.checker
		checker.mu.Lock()
		defer checker.mu.Unlock()
		checker.recordViolation("invented", "a job that nobody submitted")
	}
}

// cancelRequested notes that the user of a job asks to cancel it.
func (checker *invariantChecker) cancelRequested(job *trackedJob) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	job.cancelRequested = true
}

// encodeSubmission is a job's body of a submission request.
func encodeSubmission(submission *api.Submission) []byte {
	body, err := json.Marshal(submission)
	if err != nil {
		panic(fmt.Sprintf("encoding the submission of %s: %v", submission.ID, err))
	}
	return body
}

// requestAroundEnd cancels a job around the moment at which its last task ends, which is remaining from now, and
// asks for its status and repeats its submission beside that.
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
			if job.finalState != "" {
				// Its user may have asked no more.
				job.answeredAt = sent
			}
			sim.checker.mu.Unlock()
			code, status := sim.request(sim.ctx, rng, requestTimeout, request)
			sim.checker.checkAnswer(job, sent, code, status, request.Verb)
		})
	}
}

// request sends a request to the first ready controller, counted from a random one. It returns the HTTP status
// and the job's status, or 0 if no controller is ready or the answer does not come within the timeout.
func (sim *simulation) request(ctx context.Context, rng *rand.Rand, timeout time.Duration, request peer.Request) (int, api.JobStatus) {
	call, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	at := rng.IntN(3)
	for i := range 3 {
		name := controllerNames[(at+i)%3]
		instance := sim.runningController(name)
		if instance == nil || !instance.Ready() {
			continue
		}
		response, ok := sim.call(call, name, instance, request)
		if !ok {
			return 0, api.JobStatus{}
		}
		// Errors have no status: theirs stays empty.
		var status api.JobStatus
		_ = json.Unmarshal(response.Body, &status)
		return response.Status, status
	}
	return 0, api.JobStatus{}
}

// call has a controller handle a request, before and after which it may be paused. It reports false if there is no
// answer until ctx ends.
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

// cancelsAtEnd reports whether the user of a job cancels it around its last task's end: half of the job arrays,
// chosen by identifier, while a CancelAtEnd fault is active.
func (sim *simulation) cancelsAtEnd(job *trackedJob) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job.ID))
	return sim.cancelAtEndFaults.Load() > 0 && job.Shape == api.JobArray && h.Sum32()%2 == 0
}
