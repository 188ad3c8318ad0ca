package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"switchferry/api"
	"switchferry/settings"
)

const (
	// cancelledJobs is the number of jobs that are cancelled before: more than a controller states at once.
	cancelledJobs = 830
	// statementBytes is the size from which on an answer between controllers holds a statement that is cut off.
	statementBytes = 20_000
	// deafFor is how long the machine receives no direct commands.
	deafFor = 2 * time.Second
)

func cancelledOptions() options {
	opts := wedgedOptions()
	opts.facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}
	opts.taskDuration = func(string) time.Duration { return time.Hour }
	return opts
}

// runCancelled has a controller restart after a wave of cancellations, and ends the leader and the state service between
// the restarted controller's first and second exchange with the leader, just after another job was cancelled. The task
// of that job must be gone within cancel_s.
func runCancelled(w *world, trouble bool) error {
	if _, err := w.addMachine("kubwa", "dar-pwani"); err != nil {
		return err
	}
	leader, restarted, err := w.awaitService()
	if err != nil {
		return err
	}
	third := w.controllers[0]
	for _, controller := range w.controllers {
		if controller != leader && controller != restarted {
			third = controller
		}
	}
	job := array(900_000, "usomaji", "photo-recognize", "normal", 1, 4, 8, 600)
	if _, err := w.newUser(leader).submit(job); err != nil {
		return err
	}
	if err := w.waitUntil("the job runs", 10*time.Second, func() bool { return w.startsOf(job.ID) > 0 }); err != nil {
		return err
	}
	w.cancelWave(leader)
	w.record.say("%d jobs were cancelled", cancelledJobs)
	if !w.sleep(1500 * time.Millisecond) {
		return errors.New("ended early")
	}
	if trouble {
		if err := w.awaitFirstExchange(leader, restarted, third); err != nil {
			return err
		}
		w.machines[0].setHold(func(*api.HeartbeatResponse) (time.Duration, bool) { return time.Hour, true })
		time.AfterFunc(deafFor, func() { w.machines[0].setHold(nil) })
	}
	got := w.newUser(leader).call(http.MethodPost, "/submissions/"+job.ID+"/cancel", nil, 5*time.Second)
	toldAt := time.Now()
	if trouble {
		w.state.SetDown(true)
		w.kill(leader)
	}
	w.record.say("the user of %s was told %d %s", job.ID, got.status, got.body)
	if got.state() != api.Cancelled {
		return errors.New("the cancellation was not confirmed")
	}
	limit := seconds(w.options.facts.Workers.CancelDeadlineS)
	for w.sleep(500 * time.Millisecond) {
		running, _ := w.counts()
		switch since := time.Since(toldAt); {
		case running == 0:
			w.record.say("the task is gone after %v", since.Round(100*time.Millisecond))
			return nil
		case since > limit+5*time.Second:
			return broken{fmt.Sprintf("ran_cancelled: the task of %s is on its machine %v after its user was told that the job is cancelled", job.ID, since.Round(time.Second))}
		}
	}
	return errors.New("ended early")
}

// cancelWave has users submit jobs for which there is no room, and cancel them.
func (w *world) cancelWave(node *process) {
	var next atomic.Int64
	var users sync.WaitGroup
	for range 24 {
		users.Go(func() {
			owner := w.newUser(node)
			for number := int(next.Add(1)); number <= cancelledJobs; number = int(next.Add(1)) {
				if _, err := owner.submit(array(number, "usomaji", "photo-recognize", "low", 1, 32, 8, 600)); err != nil {
					return
				}
				for owner.call(http.MethodPost, "/submissions/"+jobID(number)+"/cancel", nil, 5*time.Second).state() != api.Cancelled {
					if !w.sleep(200 * time.Millisecond) {
						return
					}
				}
			}
		})
	}
	users.Wait()
}

// awaitFirstExchange restarts a controller and returns after the leader has answered it with a first statement, and the
// third controller with another one after that.
func (w *world) awaitFirstExchange(leader, restarted, third *process) error {
	var firstAt atomic.Int64
	first, second := make(chan struct{}, 1), make(chan struct{}, 1)
	signal := func(done chan struct{}) {
		select {
		case done <- struct{}{}:
		default:
		}
	}
	for _, path := range w.links {
		switch {
		case path.to == leader.member && path.from == restarted.member:
			received, lastAt := 0, time.Time{}
			path.setOnReply(func(bytes int) {
				if time.Since(lastAt) > 100*time.Millisecond {
					received = 0
				}
				received, lastAt = received+bytes, time.Now()
				if received > statementBytes && firstAt.CompareAndSwap(0, time.Now().UnixNano()) {
					signal(first)
				}
			})
		case path.to == leader.member && path.from == third.member:
			path.setOnReply(func(int) {
				if at := firstAt.Load(); at != 0 && time.Since(time.Unix(0, at)) > 70*time.Millisecond {
					signal(second)
				}
			})
		}
	}
	w.kill(restarted)
	if err := w.startProcess(restarted); err != nil {
		return err
	}
	for _, done := range []chan struct{}{first, second} {
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			return errors.New("the controllers did not exchange statements in time")
		}
	}
	return nil
}
