package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/settings"
)

// smallFacts are the facts of the first users' deployment, hofbauer-saves.
func smallFacts() settings.Facts {
	return settings.Facts{
		ControllerCount: 3, Zones: []string{"isar-nord", "lech-sued"}, MaxClockErrorMS: 250,
		Teams:     []settings.Team{{Name: "spielstand-betrieb"}, {Name: "matchlab"}},
		Workers:   settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40},
		State:     settings.StateLimits{RPS: 120, WriteRPS: 30, ValueKB: 16, TxnOps: 24},
		Cloud:     settings.CloudLimits{RPS: 4, ListLagS: 3},
		Resources: settings.Resources{CPU: 0.144, RAMMB: 70, MaxSockets: 700},
	}
}

// smallTypes are the machine types of that deployment.
func smallTypes() []api.MachineType {
	zones := []string{"isar-nord", "lech-sued"}
	return []api.MachineType{
		{Name: "brettl", CPUs: 8, MemoryGB: 32, CacheGB: 25, PullGBs: 0.4, Price: 0.44, SpotPrice: 0.19, BootS: 50, Zones: zones},
		{Name: "zwoelfer", CPUs: 16, MemoryGB: 64, CacheGB: 30, PullGBs: 0.6, Price: 0.94, SpotPrice: 0.37, BootS: 25, Zones: zones},
	}
}

// array returns a job array.
func array(number int, team, class, rank string, tasks int, cpus, memoryGB, estimateS float64, awaits ...string) *api.Submission {
	return &api.Submission{
		ID: jobID(number), Class: class, Team: team, Shape: api.JobArray, Rank: rank, Tasks: tasks, CPUs: cpus, MemoryGB: memoryGB,
		Image: "img-01", ImageGB: 0.5, Spot: true, EstimateS: estimateS, Awaits: awaits,
	}
}

func jobID(number int) string { return fmt.Sprintf("run-%06d", number) }

const (
	// sharedExports is the number of jobs that the sweep awaits, on which all pipelines of the case depend.
	sharedExports = 44
	// pipelineUsers is the number of users who submit pipelines, and pipelinePause their pause between two.
	pipelineUsers = 2
	pipelinePause = 250 * time.Millisecond
	// refusedFor is how long connections between controllers are refused.
	refusedFor = 16 * time.Second
	// forgottenAfter is the rule's limit, and forgottenCalm that of the later page, counted from the end of all troubles.
	forgottenAfter, forgottenCalm = 90 * time.Second, 75 * time.Second
)

func forgottenOptions() options {
	return options{
		facts: smallFacts(), zones: []string{"isar-nord", "lech-sued", "isar-nord"}, machineTypes: smallTypes(),
		taskDuration: func(string) time.Duration { return 10 * time.Minute },
		slowShare:    0.04, slowTime: 240 * time.Millisecond,
	}
}

// runForgotten submits pipelines, whose last job awaits a job of its own and the sweep, while connections between
// controllers are refused, and asks about their jobs until the end.
func runForgotten(w *world, trouble bool) error {
	for _, zone := range []string{"isar-nord", "lech-sued", "isar-nord", "lech-sued"} {
		if _, err := w.addMachine("zwoelfer", zone); err != nil {
			return err
		}
	}
	leader, follower, err := w.awaitService()
	if err != nil {
		return err
	}
	sweep, err := w.submitShared(leader)
	if err != nil {
		return err
	}
	if trouble {
		w.record.say("connections between controllers are refused from now on")
		for _, l := range w.links {
			l.refuse()
		}
		if !w.sleep(2 * time.Second) {
			return errors.New("ended early")
		}
	}
	polls := &pollLog{jobs: map[string]*jobPolls{}}
	submitters := make([]error, pipelineUsers)
	var users sync.WaitGroup
	for i, end := 0, time.Now().Add(refusedFor-2*time.Second); i < pipelineUsers; i++ {
		users.Go(func() {
			for number := 500 + 1000*i; time.Now().Before(end) && submitters[i] == nil; number += 2 {
				submitters[i] = w.submitPipeline(polls, follower, leader, sweep, number)
				w.sleep(pipelinePause)
			}
		})
	}
	users.Wait()
	if err := errors.Join(submitters...); err != nil {
		return err
	}
	if trouble {
		for _, l := range w.links {
			if err := l.restore(); err != nil {
				return err
			}
		}
		w.record.say("connections between controllers work again")
	}
	calmSince := time.Now()
	if !w.sleep(forgottenCalm + 13*time.Second) {
		return errors.New("ended early")
	}
	return polls.judge(w, calmSince)
}

// submitPipeline submits two jobs at a controller, the second as soon as the first, which it awaits besides the sweep, is
// accepted. Then it asks for the second one's state at another controller, at once and about every 5 s.
func (w *world) submitPipeline(polls *pollLog, node, other *process, sweep string, number int) error {
	owner := w.newUser(node)
	rewrite := array(number, "spielstand-betrieb", "blob-rewrite", "low", 1, 1, 3.2, 300)
	if _, err := owner.submit(rewrite); err != nil {
		return err
	}
	publish := array(number+1, "spielstand-betrieb", "cutover-publish", "high", 1, 1, 3.2, 8, sweep, rewrite.ID)
	if _, err := owner.submit(publish); err != nil {
		return err
	}
	polls.accepted(rewrite.ID)
	polls.accepted(publish.ID)
	go w.pollUntilEnd(polls, publish.ID, other)
	go w.pollUntilEnd(polls, rewrite.ID, other)
	return nil
}

// awaitService waits until there is a leader and all controllers are ready, and returns the leader and another
// controller.
func (w *world) awaitService() (leader, follower *process, err error) {
	probe := &http.Client{Timeout: time.Second}
	err = w.waitUntil("three ready controllers and a leader", 20*time.Second, func() bool {
		for _, controller := range w.controllers {
			response, err := probe.Get("http://" + controller.address + "/ready")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return w.leader() != nil
	})
	if err != nil {
		return nil, nil, err
	}
	leader = w.leader()
	for _, controller := range w.controllers {
		if controller != leader {
			follower = controller
		}
	}
	w.record.say("%s leads", leader.member)
	return leader, follower, nil
}

// submitShared submits the exports and the sweep that awaits them, and returns the id of the sweep.
func (w *world) submitShared(leader *process) (sweep string, err error) {
	const concurrent = 4
	exports := make([]string, sharedExports)
	errs := make([]error, concurrent)
	var users sync.WaitGroup
	for u := range errs {
		users.Go(func() {
			owner := w.newUser(leader)
			for i := u; i < sharedExports && errs[u] == nil; i += concurrent {
				exports[i] = jobID(100 + i)
				_, errs[u] = owner.submit(array(100+i, "spielstand-betrieb", "shard-export", "low", 1, 1, 3.2, 300))
			}
		})
	}
	users.Wait()
	if err := errors.Join(errs...); err != nil {
		return "", err
	}
	sweep = jobID(200)
	_, err = w.newUser(leader).submit(array(200, "spielstand-betrieb", "integrity-sweep", "normal", 2, 2, 6.4, 20, exports...))
	return sweep, err
}

// pollLog holds how the questions about each job were answered. It is safe for concurrent use.
type pollLog struct {
	mu   sync.Mutex
	jobs map[string]*jobPolls
}

// jobPolls holds the questions about one job: how many were asked and answered, when the first one was sent, when the last
// one that was answered was, when the last result came, and which one it was.
type jobPolls struct {
	asked, answered                       int
	firstAt, lastAnsweredAt, lastResultAt time.Time
	lastStatus                            int
	lastBody                              string
}

// accepted adds a job that was accepted.
func (p *pollLog) accepted(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[id] = &jobPolls{}
}

// add adds a question and its answer.
func (p *pollLog) add(id string, sentAt time.Time, got answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := p.jobs[id]
	if job.asked == 0 {
		job.firstAt = sentAt
	}
	job.asked++
	job.lastResultAt, job.lastStatus, job.lastBody = time.Now(), got.status, got.body
	if got.status == http.StatusOK {
		job.answered++
		job.lastAnsweredAt = time.Now()
	}
}

// pollUntilEnd asks about a job about every 5 s until the world ends.
func (w *world) pollUntilEnd(polls *pollLog, id string, node *process) {
	asker := w.newUser(node)
	for w.ctx.Err() == nil {
		sentAt := time.Now()
		got := asker.poll(id)
		if w.ctx.Err() != nil {
			return
		}
		polls.add(id, sentAt, got)
		if !w.sleep(5*time.Second - time.Since(sentAt)) {
			return
		}
	}
}

// judge returns a broken error if all questions about an accepted job failed for as long as the rule says, while most
// others were answered.
func (p *pollLog) judge(w *world, calmSince time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	forgotten, answeredPolls, otherPolls := []string{}, 0, 0
	for id, job := range p.jobs {
		silentSince := job.firstAt
		if job.answered > 0 {
			silentSince = job.lastAnsweredAt
		}
		silent := job.lastResultAt.Sub(silentSince)
		calm := job.lastResultAt.Sub(latest(silentSince, calmSince))
		w.record.note("%s: %d questions, %d answered; the last %v without an answer, %v of them after the end of the trouble; last answer %d %s", id, job.asked, job.answered, silent.Round(time.Second), calm.Round(time.Second), job.lastStatus, job.lastBody)
		if silent >= forgottenAfter && calm >= forgottenCalm {
			forgotten = append(forgotten, id)
			continue
		}
		answeredPolls += job.answered
		otherPolls += job.asked
	}
	w.record.say("%d accepted jobs asked about, %d of them without an answer for %v; of the questions about the others %d of %d were answered", len(p.jobs), len(forgotten), forgottenAfter, answeredPolls, otherPolls)
	if len(forgotten) == 0 {
		return nil
	}
	for _, controller := range w.controllers {
		got := w.newUser(controller).poll(forgotten[0])
		w.record.say("%s asked about at %s in the end: %d %s", forgotten[0], controller.member, got.status, got.body)
	}
	if 2*answeredPolls <= otherPolls {
		return errors.New("most questions failed, so the rule does not apply")
	}
	return broken{fmt.Sprintf("forgotten: all questions about %v failed for %v and more, while most others were answered", forgotten, forgottenAfter)}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
