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

// submitJobs submit jobs as long as the day lasts, and ask and cancel.
func (sim *simulation) submitJobs(ctx context.Context, began time.Time) {
	rng := sim.actorRNG("users")
	for i := 0; time.Since(began) < sim.SubmitFor; i++ {
		if !sim.sleep(ctx, time.Duration(rng.ExpFloat64()/sim.JobsPerSecond*float64(time.Second))) {
			return
		}
		job := &trackedJob{doneTasks: map[int]bool{}}
		job.Submission = api.Submission{ID: fmt.Sprintf("run-%06d", rng.IntN(1_000_000)), Team: []string{"one", "two"}[rng.IntN(2)], Shape: api.JobArray, Rank: "normal",
			CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 0.1, Spot: true, Class: "small", Tasks: 1 + rng.IntN(4), EstimateS: 5 + 10*rng.Float64()}
		switch k := rng.IntN(20); {
		case k < 2:
			job.Class, job.Tasks, job.CPUs = "large", sim.Machines/4+rng.IntN(sim.Machines), 2
		case k < 4:
			job.Class, job.Tasks, job.CPUs, job.MemoryGB = "whole", 1+rng.IntN(2), 8, 16
		case k < 7:
			job.Class, job.Rank = "guest", "low"
		case k < 8:
			job.Class, job.Shape, job.Rank, job.Tasks, job.Spread, job.EstimateS = "service", api.Service, "prod", 2, true, 0
		case k < 11:
			sim.checker.mu.Lock()
			for _, other := range sim.checker.jobsInOrder {
				if !other.acceptedAt.IsZero() && other.Shape == api.JobArray && len(job.Awaits) < 2 && rng.IntN(4) == 0 {
					job.Awaits = append(job.Awaits, other.ID)
				}
			}
			sim.checker.mu.Unlock()
			job.Class = "piped"
		}
		if sim.ImagePullS > 0 {
			job.Image = fmt.Sprint("img", rng.IntN(4))
		}
		if sim.ZoneBoundJobs && job.Shape == api.JobArray && job.Class != "large" && rng.IntN(3) == 0 {
			job.Zone = []string{"east", "west"}[rng.IntN(2)]
		}
		if sim.TaskRunS > 0 && job.Shape == api.JobArray && job.Class != "large" && job.Class != "whole" {
			job.EstimateS = sim.TaskRunS
		}
		cancels := sim.CancelShare
		if cancels == 0 {
			cancels = 1.0 / 15
		}
		cancel := time.Duration(-1)
		if job.Shape == api.Service || rng.Float64() < cancels {
			cancel = time.Duration(rng.IntN(60)) * time.Second
		}
		sim.checker.mu.Lock()
		known := sim.checker.jobs[job.ID] != nil
		if !known {
			sim.checker.jobs[job.ID] = job
			sim.checker.jobsInOrder = append(sim.checker.jobsInOrder, job)
		}
		sim.checker.mu.Unlock()
		if !known {
			sim.actors.Go(func() { sim.followJob(ctx, job, cancel) })
		}
	}
}

// request sends a request to a controller that takes requests; 0: nobody answered in time.
func (sim *simulation) request(ctx context.Context, rng *rand.Rand, patience time.Duration, request peer.Request) (int, api.JobStatus) {
	call, stop := context.WithTimeout(ctx, patience)
	defer stop()
	at := rng.IntN(3)
	for i := range 3 {
		name := controllerNames[(at+i)%3]
		instance := sim.runningController(name)
		if instance == nil || !instance.Ready() {
			continue
		}
		got := make(chan peer.Response, 1)
		go func() {
			sim.waitWhilePaused(name)
			response := instance.Handle(call, request, false)
			sim.waitWhilePaused(name)
			got <- response
		}()
		select {
		case response := <-got:
			var status api.JobStatus
			_ = json.Unmarshal(response.Body, &status)
			return response.Status, status
		case <-call.Done():
			return 0, api.JobStatus{}
		}
	}
	return 0, api.JobStatus{}
}

// cancelsAtEnd tells whether a job is called off as it ends.
func (sim *simulation) cancelsAtEnd(job *trackedJob) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job.ID))
	return sim.cancelAtEndFaults.Load() > 0 && job.Shape == api.JobArray && h.Sum32()%2 == 0
}

// requestAroundEnd calls a job off around the moment at which its last task ends, so long from now, and asks about it and
// repeats its submission beside that.
func (sim *simulation) requestAroundEnd(job *trackedJob, in time.Duration) {
	body, err := json.Marshal(job.Submission)
	if err != nil {
		panic(err)
	}
	for i, request := range []peer.Request{{Verb: controller.VerbCancel, Job: job.ID}, {Verb: controller.VerbStatus, Job: job.ID}, {Verb: controller.VerbSubmit, Body: body},
		{Verb: controller.VerbStatus, Job: job.ID}, {Verb: controller.VerbCancel, Job: job.ID}} {
		sim.actors.Go(func() {
			rng := sim.actorRNG(fmt.Sprint("at the end of ", job.ID, i))
			at := time.Duration(rng.Int64N(int64(100*time.Millisecond))) - 50*time.Millisecond
			if rng.IntN(2) == 0 {
				at = time.Duration(rng.Int64N(int64(3*time.Second))) - 100*time.Millisecond
			}
			if !sim.sleep(sim.ctx, in+at) {
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
			code, status := sim.request(sim.ctx, rng, 5*time.Second, request)
			sim.checker.checkAnswer(job, sent, code, status, request.Verb)
		})
	}
}

// sendInvalidRequests sends what a user with a mistake would: about a job in any state, and jobs that cannot run.
func (sim *simulation) sendInvalidRequests(ctx context.Context, job *trackedJob, rng *rand.Rand) {
	body := func(change func(m map[string]any)) []byte {
		raw, err := json.Marshal(job.Submission)
		m := map[string]any{}
		if err == nil {
			err = json.Unmarshal(raw, &m)
		}
		if err != nil {
			panic(err)
		}
		change(m)
		raw, _ = json.Marshal(m)
		return raw
	}
	fields := []string{"jobclass", "owner", "shape", "rank", "parts", "cores", "cards", "ram_gb", "bundle", "size_gb", "together", "apart", "standby", "expect_s", "snapshot_s", "stow_s"}
	field := fields[rng.IntN(len(fields))]
	changes := []struct {
		refused int
		change  func(m map[string]any)
	}{
		{http.StatusBadRequest, func(m map[string]any) { delete(m, field) }},
		{http.StatusBadRequest, func(m map[string]any) { m[field] = nil }},
		{http.StatusBadRequest, func(m map[string]any) { m[field] = []int{1} }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["cores"] = 1000 }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["owner"] = "nobody" }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["hulls"] = []string{"none"} }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["berth"] = "nowhere" }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["shape"], m["parts"] = "standing", 90_000 }},
	}
	odd := changes[rng.IntN(len(changes))]
	// Known in other words, it has its state; unknown, it is refused.
	sent := time.Now()
	code, status := sim.request(ctx, rng, 5*time.Second, peer.Request{Verb: controller.VerbSubmit, Body: body(odd.change)})
	sim.checker.checkAnswer(job, sent, code, status, controller.VerbSubmit)
	id := fmt.Sprintf("run-7%s7", job.ID[4:])
	code, _ = sim.request(ctx, rng, 5*time.Second, peer.Request{Verb: controller.VerbSubmit, Body: body(func(m map[string]any) { odd.change(m); m["name_id"] = id })})
	if code != 0 && code != odd.refused && code < 500 {
		sim.checker.recordWrongAnswer("a job that %s: %d for %d", body(odd.change), code, odd.refused)
	}
	for _, verb := range []string{controller.VerbStatus, controller.VerbCancel} {
		if code, _ = sim.request(ctx, rng, 5*time.Second, peer.Request{Verb: verb, Job: id}); code != 0 && code != http.StatusNotFound && code < 500 {
			sim.checker.recordWrongAnswer("%s of a job that was refused: %d", verb, code)
		}
	}
	if sim.checker.jobOver(job) {
		sent = time.Now()
		code, status = sim.request(ctx, rng, 5*time.Second, peer.Request{Verb: controller.VerbCancel, Job: job.ID})
		sim.checker.checkAnswer(job, sent, code, status, controller.VerbCancel)
	}
}

// followJob submits one job and asks about it until it is over.
func (sim *simulation) followJob(ctx context.Context, job *trackedJob, cancel time.Duration) {
	rng := sim.actorRNG(job.ID)
	body, err := json.Marshal(job.Submission)
	if err != nil {
		panic(err)
	}
	ask := func(patience time.Duration, request peer.Request) (int, api.JobStatus) {
		return sim.request(ctx, rng, patience, request)
	}
	for from := time.Now(); ; {
		code, status := ask(5*time.Second, peer.Request{Verb: controller.VerbSubmit, Body: body})
		if code == http.StatusOK || code == http.StatusCreated {
			sim.checker.jobAccepted(job, status)
			break
		}
		if code == http.StatusBadRequest || code == http.StatusUnprocessableEntity {
			sim.checker.recordRefusal(job, code)
			return
		}
		if time.Since(from) > time.Minute || !sim.sleep(ctx, time.Second+time.Duration(rng.IntN(2000))*time.Millisecond) {
			return
		}
	}
	for {
		wait := time.NewTimer(pollInterval - time.Duration(rng.IntN(1000))*time.Millisecond)
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
		case fault := <-sim.cancellations:
			if rng.IntN(10) >= fault.Count || job.Shape == api.Service {
				break
			}
			sim.checker.mu.Lock()
			job.cancelRequested = true
			sim.checker.mu.Unlock()
			cancel = 0
			if fault.HangMachinesFor > 0 {
				sim.hangMachineOf(ctx, job, fault.HangMachinesFor)
			}
			for from := time.Now(); time.Since(from) < fault.For && job.finalState == ""; sim.sleep(ctx, 50*time.Millisecond) {
				if code, status := ask(time.Second, peer.Request{Verb: controller.VerbCancel, Job: job.ID}); code == http.StatusOK {
					sim.checker.recordAnswer(job, code, status)
				}
			}
			if job.finalState != "" {
				cancel = -1
			}
		}
		if cancel >= 0 && time.Since(job.acceptedAt) > cancel {
			sim.checker.mu.Lock()
			job.cancelRequested = true
			sim.checker.mu.Unlock()
			if code, status := ask(5*time.Second, peer.Request{Verb: controller.VerbCancel, Job: job.ID}); code == http.StatusOK {
				sim.checker.recordAnswer(job, code, status)
				cancel = -1
			}
		}
		sent := time.Now()
		code, status := ask(pollTimeout, peer.Request{Verb: controller.VerbStatus, Job: job.ID})
		sim.checker.checkAnswer(job, sent, code, status, controller.VerbStatus)
		if sim.invalidRequestFaults.Load() > 0 && rng.IntN(3) == 0 {
			sim.sendInvalidRequests(ctx, job, rng)
		}
		if sim.checker.jobOver(job) && rng.IntN(3) > 0 {
			// Most ask no more; some later once again.
			return
		}
		if rng.IntN(10) == 0 {
			if code, _ := ask(pollTimeout, peer.Request{Verb: controller.VerbStatus, Job: "run-9" + job.ID[4:] + "9"}); code == http.StatusOK {
				sim.checker.mu.Lock()
				sim.checker.recordViolation("invented", "a job that nobody submitted")
				sim.checker.mu.Unlock()
			}
		}
	}
}
