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
	"switchferry/store"
)

const (
	// finishedJobs is the number of jobs that are over when the controllers start, as their final records show.
	finishedJobs = 4010
	// retryingUsers is the number of users who repeat submissions at the same time.
	retryingUsers = 32
)

func wedgedOptions() options {
	opts := waitingOptions()
	opts.facts.Workers = settings.Workers{HeartbeatIntervalS: 4, LeaseS: 22, CancelDeadlineS: 47}
	opts.facts.State = settings.StateLimits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}
	opts.facts.Cloud = settings.CloudLimits{RPS: 6, ListLagS: 12}
	opts.taskDuration = func(string) time.Duration { return 3 * time.Second }
	return opts
}

// finished returns a job that was over before.
func finished(number int) *api.Submission {
	return array(number, "usomaji", "photo-recognize", "normal", 1, 4, 8, 35)
}

// runWedged has users repeat the submissions of jobs that are over, each once, and of the first one a second time while
// an array runs.
func runWedged(w *world, trouble bool) error {
	for number := range finishedJobs {
		w.state.Put(store.FinalKey(jobID(number)), store.FinalRecord{State: api.Done, Tasks: 1})
	}
	for range 2 {
		if _, err := w.addMachine("kubwa", "dar-pwani"); err != nil {
			return err
		}
	}
	leader, _, err := w.awaitService()
	if err != nil {
		return err
	}
	// Only a leader that knows the machine types decides about submissions.
	if _, err := w.newUser(leader).submit(array(800_000, "malipo", "dispute-recheck", "high", 1, 4, 8, 3)); err != nil {
		return err
	}
	if err := w.repeatAll(leader, 0, 1); err != nil {
		return err
	}
	if err := w.repeatAll(leader, 1, finishedJobs); err != nil {
		return err
	}
	w.record.say("the submissions of %d jobs that are over were repeated, and all were answered with done", finishedJobs)
	owner := w.newUser(leader)
	accepted := array(900_000, "malipo", "dispute-recheck", "high", 300, 4, 8, 3)
	if _, err := owner.submit(accepted); err != nil {
		return err
	}
	if err := w.waitUntil("the array runs", 15*time.Second, func() bool { return w.startsOf(accepted.ID) > 0 }); err != nil {
		return err
	}
	if trouble {
		w.record.say("the submission of %s is repeated once more", jobID(0))
		go func() { _, _ = w.newUser(leader).submit(finished(0)) }()
		w.sleep(time.Second)
	}
	calmSince := time.Now()
	later := array(900_001, "usomaji", "photo-recognize", "normal", 4, 4, 8, 3)
	var laterState atomic.Value
	laterState.Store("not accepted")
	go func() {
		if state, err := w.newUser(w.controllers[0]).submit(later); err == nil {
			laterState.Store(state)
		}
	}()
	for {
		got := owner.poll(accepted.ID)
		running, lastStartAt := w.counts()
		if got.state() == api.Done {
			w.record.say("%s is done after %v; %s was answered with: %v", accepted.ID, time.Since(calmSince).Round(time.Second), later.ID, laterState.Load())
			return nil
		}
		if idle := time.Since(lastStartAt); idle > waitLimit && running == 0 {
			return broken{fmt.Sprintf("left waiting: %s, which was accepted, has %d of its %d tasks started; for %v nothing has started, while no task is on the two machines of 32 processors; %s, submitted since at %s and repeated for 60 s: %v",
				accepted.ID, w.startsOf(accepted.ID), accepted.Tasks, idle.Round(time.Second), later.ID, w.controllers[0].member, laterState.Load())}
		}
		if !w.sleep(2 * time.Second) {
			return errors.New("ended early")
		}
	}
}

// repeatAll has users repeat the submissions of the finished jobs from one number up to another.
func (w *world) repeatAll(node *process, from, to int) error {
	var next atomic.Int64
	next.Store(int64(from))
	errs := make([]error, retryingUsers)
	var users sync.WaitGroup
	for u := range errs {
		users.Go(func() {
			owner := w.newUser(node)
			for errs[u] == nil {
				number := int(next.Add(1)) - 1
				if number >= to {
					return
				}
				state, err := owner.submit(finished(number))
				if err == nil && state != api.Done {
					err = fmt.Errorf("%s: answered %s, want %d with done", jobID(number), state, http.StatusOK)
				}
				errs[u] = err
			}
		})
	}
	users.Wait()
	return errors.Join(errs...)
}
