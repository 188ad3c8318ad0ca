package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/peer"
)

// What users bear, as the protocol and operators say.
const (
	pollInterval      = 5 * time.Second
	pollTimeout       = 2 * time.Second
	forgottenAfter    = 75 * time.Second
	doneReportLag     = 3 * time.Second
	largestStartLimit = 240 * time.Second
	starvationLimit   = 90 * time.Second
)

// Result is what is found of a day.
type Result struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks_started"`
	// TasksRestarted are those of them that had begun before.
	TasksRestarted int `json:"tasks_started_again"`
	// Rules are the broken ones and how often; Why are the first few.
	Rules        map[string]int `json:"rules_broken"`
	Explanations []string       `json:"why,omitempty"`
	// LongestUnansweredS is the longest that no question about a job was answered, once all troubles
	// were over; Forgotten are jobs with over 75 s of that.
	LongestUnansweredS float64 `json:"longest_unanswered_s"`
	Forgotten          int     `json:"forgotten"`
	// PendingForGood are accepted jobs that nobody cancelled, and that had not begun in the end.
	PendingForGood int `json:"pending_for_good"`
	// ClassesMinShare is the least share of a class, a team, or a class's largest jobs that began;
	// LargestBeginP99S is after how long the largest of all classes did.
	ClassesMinShare  float64 `json:"classes_min_share"`
	LargestBeginP99S float64 `json:"largest_begin_p99_s"`
	// StartsInVain are tasks given to half-deaf machines later than a lease after they became so,
	// for each such machine and lease; ReturnedInVain are machines with work that no trouble had
	// met in the last minute.
	StartsInVain   float64 `json:"starts_in_vain"`
	ReturnedInVain int     `json:"returned_in_vain"`
	// StartedAfterCancel are tasks that began after their users were told of the cancellation; StarvedJobs are jobs
	// that waited 90 s once troubles were over while a machine that fits had room and their team was under its
	// teamLimit; WrongAnswers are odd requests that were answered otherwise than the protocol says.
	StartedAfterCancel int `json:"started_cancelled"`
	StarvedJobs        int `json:"waited_in_vain"`
	WrongAnswers       int `json:"wrong_answers"`
	// ConfigurationChanges are those of the configuration that came into force.
	ConfigurationChanges int `json:"changes_in_force,omitempty"`
}

// invariantChecker is what users and an all-seeing observer know.
type invariantChecker struct {
	sim *simulation

	mu            sync.Mutex
	jobs          map[string]*trackedJob
	jobsInOrder   []*trackedJob
	machineByTask map[string]*simulatedMachine
	faultsOverAt  time.Time
	// starved are starts for half-deaf machines, deaf how long machines were so, in leases.
	wastedStarts map[string]bool
	lostLeases   float64
	// overdueTasks are tasks of cancelled jobs that were found on machines too late.
	overdueTasks map[string]bool
	// startedTasks are the tasks that began.
	startedTasks map[string]bool
	result       Result
}

// trackedJob is one job as its user knows it.
type trackedJob struct {
	api.Submission
	acceptedAt, cancelledAt, doneAt time.Time
	// finalState is the last state that a user was told for good; answered is when a question was.
	finalState string
	finalAt    time.Time
	answeredAt time.Time
	startedAt  time.Time
	// readyAt is when the last job that it awaits was done.
	readyAt   time.Time
	doneTasks map[int]bool
	// cancelRequested: its user has asked to cancel it, whether that was answered or not.
	cancelRequested bool
	// orphanedAt is when a job before it was told to be cancelled.
	orphanedAt time.Time
	// starvedSince is since when it waits in vain, with no break; vain: that was noted.
	starvedSince time.Time
	starved      bool
}

func newInvariantChecker(sim *simulation) *invariantChecker {
	return &invariantChecker{sim: sim, jobs: map[string]*trackedJob{}, machineByTask: map[string]*simulatedMachine{}, wastedStarts: map[string]bool{}, overdueTasks: map[string]bool{}, startedTasks: map[string]bool{}, result: Result{Rules: map[string]int{}}}
}

// recordViolation notes a broken rule; the lock is held.
func (checker *invariantChecker) recordViolation(rule, format string, a ...any) {
	checker.result.Rules[rule]++
	if len(checker.result.Explanations) < 20 {
		checker.result.Explanations = append(checker.result.Explanations, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, a...))
	}
}

// taskRunTime is how long a task runs, which its name fixes.
func (checker *invariantChecker) taskRunTime(task string) time.Duration {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return checker.taskRunTimeLocked(task)
}

// taskRunTimeLocked is runs with the lock held.
func (checker *invariantChecker) taskRunTimeLocked(task string) time.Duration {
	id, _, _ := strings.Cut(task, "/")
	job := checker.jobs[id]
	if job == nil || job.Shape == api.Service {
		return time.Hour
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return time.Duration((0.5 + float64(h.Sum32()%1000)/1000) * job.EstimateS * float64(time.Second))
}

// checkStart checks a start.
func (checker *invariantChecker) taskStarted(task string, machine *simulatedMachine) {
	id, num, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.result.Tasks++
	if checker.startedTasks[task] {
		checker.result.TasksRestarted++
	}
	checker.startedTasks[task] = true
	now := time.Now()
	if on := checker.machineByTask[task]; on != nil && on != machine {
		checker.recordViolation("ran_twice", "%s on %s and %s", task, on.Name, machine.Name)
	}
	checker.machineByTask[task] = machine
	job := checker.jobs[id]
	if job == nil {
		checker.recordViolation("invented", "%s was started", task)
		return
	}
	job.starvedSince = time.Time{}
	if !job.cancelledAt.IsZero() {
		checker.result.StartedAfterCancel++
		checker.explain("%s began on %s %v after its cancellation was told", task, machine.Name, now.Sub(job.cancelledAt))
	}
	if job.Zone != "" && job.Zone != machine.Zone {
		checker.recordViolation("wrong_place", "%s of zone %s in %s", task, job.Zone, machine.Zone)
	}
	if checker.sim.cancelsAtEnd(job) && len(job.doneTasks) == job.Tasks-1 {
		checker.sim.actors.Go(func() { checker.sim.requestAroundEnd(job, checker.taskRunTime(task)) })
	}
	if job.startedAt.IsZero() {
		job.startedAt = now
	}
	if !job.cancelledAt.IsZero() && now.Sub(job.cancelledAt) > seconds(checker.sim.Workers.CancelS) {
		checker.recordViolation("ran_cancelled", "%s was started %v after its cancellation was told", task, now.Sub(job.cancelledAt))
	}
	for _, a := range job.Awaits {
		if other := checker.jobs[a]; other != nil && len(other.doneTasks) < other.Tasks {
			checker.recordViolation("too_early", "%s before %s, of which %d of %d tasks are done", task, a, len(other.doneTasks), other.Tasks)
		}
	}
	use, here := 0.0, 0
	for t := range checker.machineByTask {
		id, _, _ := strings.Cut(t, "/")
		if other := checker.jobs[id]; other != nil && other.Team == job.Team {
			use += other.CPUs
		}
		if id == job.ID && checker.machineByTask[t].Zone == machine.Zone {
			here++
		}
	}
	if use > checker.sim.teamLimit()+1e-6 {
		checker.recordViolation("quota", "%s uses %.0f", job.Team, use)
	}
	if checker.sim.operators != nil {
		if why := checker.sim.operators.checkStart(task, job.Team, use); why != "" {
			checker.recordViolation("older_revision", "%s", why)
		}
	}
	if job.Spread && here > (job.Tasks+1)/2 {
		checker.recordViolation("wrong_place", "%d of %d of %s in %s, with %s", here, job.Tasks, job.ID, machine.Zone, num)
	}
}

// taskEnded notes that a task is no longer on a machine.
func (checker *invariantChecker) taskEnded(task string, machine *simulatedMachine, done bool) {
	id, num, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.machineByTask[task] == machine {
		delete(checker.machineByTask, task)
	}
	job := checker.jobs[id]
	if job == nil {
		return
	}
	if now := time.Now(); !job.cancelledAt.IsZero() && now.Sub(job.cancelledAt) > seconds(checker.sim.Workers.CancelS)+time.Second {
		checker.recordViolation("ran_cancelled", "%s on %s until %v after it was told", task, machine.Name, now.Sub(job.cancelledAt))
	}
	var n int
	if _, err := fmt.Sscan(num, &n); err == nil && done {
		job.doneTasks[n] = true
		if len(job.doneTasks) == job.Tasks && job.doneAt.IsZero() {
			job.doneAt = time.Now()
			for _, other := range checker.jobsInOrder {
				if slices.Contains(other.Awaits, id) {
					other.readyAt = job.doneAt
				}
			}
		}
	}
}

// explain adds to what is said of the day; the lock is held.
func (checker *invariantChecker) explain(format string, a ...any) {
	if len(checker.result.Explanations) < 20 {
		checker.result.Explanations = append(checker.result.Explanations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
	}
}

// taskImage is the image that a task needs.
func (checker *invariantChecker) taskImage(task string) string {
	id, _, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobs[id]; job != nil {
		return job.Image
	}
	return ""
}

// machineOf is a machine that runs a task of a job, the first by name; nil: none does.
func (checker *invariantChecker) machineOf(id string) (found *simulatedMachine) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for task, machine := range checker.machineByTask {
		if job, _, _ := strings.Cut(task, "/"); job == id && (found == nil || machine.Name < found.Name) {
			found = machine
		}
	}
	return found
}

// checkStarvation looks for jobs that wait although a machine has room for them. One moment without room, or a start,
// and the time counts anew. A service has to have room for all its tasks at once.
func (checker *invariantChecker) checkStarvation() {
	checker.sim.mu.Lock()
	sound := map[string]*simulatedMachine{}
	for _, machine := range checker.sim.machines {
		if !machine.dead && machine.outboundLostSince.IsZero() && machine.inboundLossCount+machine.hangCount == 0 {
			sound[machine.Name] = machine
		}
	}
	checker.sim.mu.Unlock()
	taken := map[string]float64{}
	for _, machine := range sound {
		taken[machine.Name] = machine.worker.Taken(checker.taskCPUs)
	}
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	if checker.faultsOverAt.IsZero() {
		return
	}
	use, placed := map[string]float64{}, map[string]int{}
	for task := range checker.machineByTask {
		id, _, _ := strings.Cut(task, "/")
		job := checker.jobs[id]
		use[job.Team] += job.CPUs
		placed[id]++
	}
	for _, job := range checker.jobsInOrder {
		left := job.Tasks - len(job.doneTasks) - placed[job.ID]
		fits := 0
		for _, machine := range sound {
			if job.Zone == "" || job.Zone == machine.Zone {
				fits += int((machineType.CPUs - taken[machine.Name] + 1e-9) / job.CPUs)
			}
		}
		need := 1
		if job.Shape == api.Service {
			need = left
		}
		if job.acceptedAt.IsZero() || job.finalState != "" || job.cancelRequested || !job.orphanedAt.IsZero() || left <= 0 || checker.awaitsDependency(job) || fits < need ||
			use[job.Team]+float64(need)*job.CPUs > checker.sim.teamLimit()+1e-9 {
			job.starvedSince = time.Time{}
			continue
		}
		if job.starvedSince.IsZero() {
			job.starvedSince = now
		}
		if now.Sub(job.starvedSince) > starvationLimit && !job.starved {
			job.starved = true
			checker.result.StarvedJobs++
			checker.explain("waits in vain: %s %s, %d of %d tasks, %g processors each", job.ID, job.Class, left, job.Tasks, job.CPUs)
		}
	}
}

// taskCPUs is what a task takes.
func (checker *invariantChecker) taskCPUs(task string) float64 {
	id, _, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobs[id]; job != nil {
		return job.CPUs
	}
	return 0
}

// checkOverdueTasks looks for tasks of cancelled jobs that are on machines later than they may, also on silent ones.
func (checker *invariantChecker) checkOverdueTasks() {
	checker.checkStarvation()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for task, machine := range checker.machineByTask {
		id, _, _ := strings.Cut(task, "/")
		job := checker.jobs[id]
		if job == nil || job.cancelledAt.IsZero() || machine.dead {
			continue
		}
		if over := time.Since(job.cancelledAt); over > seconds(checker.sim.Workers.CancelS) && !checker.overdueTasks[task] {
			checker.overdueTasks[task] = true
			checker.recordViolation("ran_cancelled", "%s is on %s %v after it was told", task, machine.Name, over)
		}
	}
}

// recordLostCommands notes starts that were told a machine which hears nobody.
func (checker *invariantChecker) recordLostCommands(machine *simulatedMachine, cs []api.Command) {
	checker.sim.mu.Lock()
	since := machine.outboundLostSince
	checker.sim.mu.Unlock()
	if since.IsZero() || time.Since(since) < seconds(checker.sim.Workers.LeaseS) {
		return
	}
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for _, c := range cs {
		if c.Verb == api.CommandRun {
			checker.wastedStarts[fmt.Sprint(machine.Name, c.Task, c.Attempt)] = true
		}
	}
}

// machineReturned notes a machine that was given back.
func (checker *invariantChecker) machineReturned(machine *simulatedMachine) {
	_, _, _, running := machine.worker.Seen()
	checker.sim.mu.Lock()
	sound := !machine.dead && machine.outboundLostSince.IsZero() && machine.inboundLossCount+machine.hangCount == 0 && (machine.lastFaultAt.IsZero() || time.Since(machine.lastFaultAt) > time.Minute)
	since := machine.outboundLostSince
	checker.sim.mu.Unlock()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if sound && running > 0 {
		checker.result.ReturnedInVain++
	}
	if !since.IsZero() {
		checker.lostLeases += time.Since(since).Seconds() / checker.sim.Workers.LeaseS
	}
}

// machineReachable notes that a machine which was half-deaf hears again.
func (checker *invariantChecker) machineReachable(since time.Time) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.lostLeases += time.Since(since).Seconds() / checker.sim.Workers.LeaseS
}

// faultsOver: all troubles are over; from here on no question may go unanswered for long.
func (checker *invariantChecker) faultsOver() {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.faultsOverAt = time.Now()
	for _, job := range checker.jobsInOrder {
		if job.answeredAt.Before(checker.faultsOverAt) {
			job.answeredAt = checker.faultsOverAt
		}
	}
}

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

func (checker *invariantChecker) jobAccepted(job *trackedJob, status api.JobStatus) {
	checker.mu.Lock()
	job.acceptedAt = time.Now()
	job.answeredAt = job.acceptedAt
	if job.readyAt.IsZero() {
		job.readyAt = job.acceptedAt
	}
	checker.mu.Unlock()
	checker.recordAnswer(job, http.StatusOK, status)
}

// jobOver tells whether a job is over for its user.
func (checker *invariantChecker) jobOver(job *trackedJob) bool {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return job.finalState != ""
}

// recordWrongAnswer notes an answer that the protocol does not have.
func (checker *invariantChecker) recordWrongAnswer(format string, a ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.result.WrongAnswers++
	checker.explain("wrong answer: "+format, a...)
}

// answeredAt takes in the answer to a request that was sent then, beside others: what the user was told meanwhile
// may be newer, since the two crossed.
func (checker *invariantChecker) checkAnswer(job *trackedJob, sent time.Time, code int, status api.JobStatus, verb string) {
	checker.mu.Lock()
	crossed := job.finalAt.After(sent) && status.State != api.Done && status.State != api.Cancelled
	known := !job.acceptedAt.IsZero() && job.acceptedAt.Before(sent)
	checker.mu.Unlock()
	switch {
	case crossed:
	case verb == controller.VerbSubmit && known && (code == http.StatusBadRequest || code == http.StatusUnprocessableEntity):
		checker.recordRefusal(job, code)
	case verb == controller.VerbCancel && code == http.StatusOK && status.State != api.Done && status.State != api.Cancelled:
		checker.recordWrongAnswer("a cancellation of %s: %q", job.ID, status.State)
	default:
		checker.recordAnswer(job, code, status)
	}
}

func (checker *invariantChecker) recordRefusal(job *trackedJob, code int) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if !job.acceptedAt.IsZero() {
		checker.recordViolation("forgotten", "%s accepted, then %d", job.ID, code)
	} else {
		checker.recordViolation("refused", "%s: %d", job.ID, code)
	}
}

// recordAnswer takes in an answer, and tells whether the job is over for its user.
func (checker *invariantChecker) recordAnswer(job *trackedJob, code int, status api.JobStatus) bool {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	if code == http.StatusNotFound {
		checker.recordViolation("forgotten", "%s: 404", job.ID)
		return false
	}
	if code != http.StatusOK && code != http.StatusCreated {
		return false
	}
	if !checker.faultsOverAt.IsZero() {
		checker.result.LongestUnansweredS = max(checker.result.LongestUnansweredS, now.Sub(job.answeredAt).Seconds())
	}
	job.answeredAt = now
	if job.finalState != "" && status.State != job.finalState {
		checker.recordViolation("went_back", "%s was %s, now %s", job.ID, job.finalState, status.State)
	}
	switch status.State {
	case api.Done:
		if len(job.doneTasks) < job.Tasks {
			checker.recordViolation("not_done", "%s with %d of %d tasks done", job.ID, len(job.doneTasks), job.Tasks)
		}
		checker.recordFinalState(job, status.State)
	case api.Cancelled:
		if job.cancelledAt.IsZero() {
			job.cancelledAt = now
		}
		if !job.cancelRequested && !checker.dependencyCancelled(job) {
			checker.recordViolation("went_back", "%s is called cancelled, and was not", job.ID)
		}
		checker.recordFinalState(job, status.State)
		for _, other := range checker.jobsInOrder {
			if slices.Contains(other.Awaits, job.ID) && other.orphanedAt.IsZero() {
				other.orphanedAt = now
			}
		}
	default:
		if !job.orphanedAt.IsZero() && !job.acceptedAt.IsZero() && now.Sub(laterOf(job.orphanedAt, job.acceptedAt)) > seconds(checker.sim.Workers.CancelS) {
			checker.recordViolation("orphaned", "%s is %s", job.ID, status.State)
		}
	}
	return job.finalState != ""
}

// recordFinalState notes the state that a user was told for good; the lock is held.
func (checker *invariantChecker) recordFinalState(job *trackedJob, state string) {
	if job.finalState == "" {
		job.finalAt = time.Now()
	}
	job.finalState = state
}

// dependencyCancelled tells whether the user of a job before one has asked to cancel it: the one's may hear first that
// it counts.
func (checker *invariantChecker) dependencyCancelled(job *trackedJob) bool {
	return slices.ContainsFunc(job.Awaits, func(id string) bool {
		other := checker.jobs[id]
		return other != nil && (other.cancelRequested || checker.dependencyCancelled(other))
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// evaluate is what is found in the end.
func (checker *invariantChecker) evaluate() *Result {
	checker.sim.mu.Lock()
	for _, machine := range checker.sim.machines {
		if !machine.outboundLostSince.IsZero() {
			checker.lostLeases += time.Since(machine.outboundLostSince).Seconds() / checker.sim.Workers.LeaseS
		}
	}
	checker.sim.mu.Unlock()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	var largest []float64
	classes := map[string][]*trackedJob{}
	for _, job := range checker.jobsInOrder {
		if job.acceptedAt.IsZero() {
			continue
		}
		checker.result.Jobs++
		if job.finalState == "" {
			gap := now.Sub(job.answeredAt)
			checker.result.LongestUnansweredS = max(checker.result.LongestUnansweredS, gap.Seconds())
			if gap > forgottenAfter {
				checker.result.Forgotten++
			}
			if job.startedAt.IsZero() && job.orphanedAt.IsZero() && job.cancelledAt.IsZero() && !checker.awaitsDependency(job) {
				checker.result.PendingForGood++
				checker.result.Explanations = append(checker.result.Explanations, fmt.Sprintf("pending for good: %s %s, %d tasks, accepted %v ago", job.ID, job.Class, job.Tasks, now.Sub(job.acceptedAt).Round(time.Second)))
			}
			if over := job.doneAt; !over.IsZero() && now.Sub(over) > doneReportLag+2*pollInterval && job.answeredAt.Sub(over) > doneReportLag {
				checker.result.Explanations = append(checker.result.Explanations, fmt.Sprintf("done late: %s", job.ID))
			}
		}
		if job.cancelledAt.IsZero() && job.orphanedAt.IsZero() && !checker.awaitsDependency(job) {
			classes[job.Class] = append(classes[job.Class], job)
			classes["team "+job.Team] = append(classes["team "+job.Team], job)
		}
	}
	checker.result.ClassesMinShare = 1
	share := func(jobs []*trackedJob, within time.Duration) {
		n := 0
		for _, job := range jobs {
			if !job.startedAt.IsZero() && (within == 0 || job.startedAt.Sub(laterOf(job.acceptedAt, job.readyAt)) <= within) {
				n++
			}
		}
		if len(jobs) > 0 {
			checker.result.ClassesMinShare = min(checker.result.ClassesMinShare, float64(n)/float64(len(jobs)))
		}
	}
	for name, jobs := range classes {
		share(jobs, 0)
		if strings.HasPrefix(name, "team ") {
			continue
		}
		sort.SliceStable(jobs, func(i, j int) bool { return float64(jobs[i].Tasks)*jobs[i].CPUs > float64(jobs[j].Tasks)*jobs[j].CPUs })
		top := jobs[:min(len(jobs), max(1, len(jobs)/10))]
		share(top, largestStartLimit)
		for _, job := range top {
			if job.startedAt.IsZero() {
				largest = append(largest, now.Sub(laterOf(job.acceptedAt, job.readyAt)).Seconds())
			} else {
				largest = append(largest, max(0, job.startedAt.Sub(laterOf(job.acceptedAt, job.readyAt)).Seconds()))
			}
		}
	}
	if len(largest) > 0 {
		sort.Float64s(largest)
		checker.result.LargestBeginP99S = largest[(len(largest)*99-1)/100]
	}
	if checker.lostLeases > 0 {
		checker.result.StartsInVain = float64(len(checker.wastedStarts)) / max(1, checker.lostLeases)
	}
	if checker.result.Tasks == 0 {
		checker.recordViolation("nothing_ran", "no task was started")
	}
	r := checker.result
	return &r
}

// awaitsDependency tells whether a job that one awaits is not done.
func (checker *invariantChecker) awaitsDependency(job *trackedJob) bool {
	for _, id := range job.Awaits {
		if other := checker.jobs[id]; other == nil || len(other.doneTasks) < other.Tasks {
			return true
		}
	}
	return false
}
