package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/settings"
)

const (
	// heldFor is how much later a command that is held up on its way is carried out, troubleFor the longest time for which
	// commands are held up, and waitLimit the limit of the rule.
	heldFor    = 2500 * time.Millisecond
	troubleFor = 20 * time.Second
	waitLimit  = 90 * time.Second
	// backfillTasks is the number of tasks of the array; the two machines run 320 of them at once.
	backfillTasks = 2500
	// fullReport is the number of ended tasks in a machine's report, none of them cleared for clearTime, at which the trouble
	// ends early.
	fullReport = 160
	clearTime  = 6 * time.Second
)

func waitingOptions() options {
	facts := settings.Facts{
		ControllerCount: 3, Zones: []string{"dar-pwani"}, MaxClockErrorMS: 250,
		Teams:     []settings.Team{{Name: "usomaji", CPUs: 88, CPUsMax: 500}, {Name: "malipo", CPUs: 120, CPUsMax: 500}, {Name: "ramani-lab", CPUsMax: 500}},
		Workers:   settings.Workers{HeartbeatIntervalS: 1.5, LeaseS: 10, CancelDeadlineS: 35},
		State:     settings.StateLimits{RPS: 200, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:     settings.CloudLimits{RPS: 3, ListLagS: 12},
		Resources: settings.Resources{CPU: 0.12, RAMMB: 98, MaxSockets: 900},
	}
	zones := []string{"dar-pwani"}
	return options{
		facts: facts, zones: []string{"dar-pwani", "dar-pwani", "dar-pwani"},
		machineTypes: []api.MachineType{{Name: "kubwa", CPUs: 32, MemoryGB: 256, CacheGB: 100, PullGBs: 1, Price: 2.64, SpotPrice: 0.66, BootS: 30, Zones: zones}},
		taskDuration: func(string) time.Duration { return time.Second },
	}
}

// runWaiting runs an array of short tasks while direct commands with starts are held up on their way, and waits for the
// rest of it and for a job that is submitted later.
func runWaiting(w *world, trouble bool) error {
	for range 2 {
		if _, err := w.addMachine("kubwa", "dar-pwani"); err != nil {
			return err
		}
	}
	leader, _, err := w.awaitService()
	if err != nil {
		return err
	}
	if err := w.waitUntil("machines are up", 10*time.Second, func() bool {
		for _, m := range w.machines {
			if term, _, _, _ := m.Status(); term == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	if trouble {
		w.record.say("direct commands with starts are held up for %v from now on", heldFor)
		for _, m := range w.machines {
			m.setHold(func(commands *api.HeartbeatResponse) (time.Duration, bool) {
				return heldFor, slices.ContainsFunc(commands.Commands, func(c api.Command) bool { return c.Verb == api.CommandRun })
			})
		}
	}
	troubleSince := time.Now()
	owner := w.newUser(leader)
	backfill := array(100, "ramani-lab", "geo-backfill", "normal", backfillTasks, 0.2, 0.9, 4)
	if _, err := owner.submit(backfill); err != nil {
		return err
	}
	for time.Since(troubleSince) < troubleFor && owner.poll(backfill.ID).state() != api.Done {
		free := slices.ContainsFunc(w.machines, func(m *machine) bool { return m.endedTasks(clearTime) < fullReport })
		if !free || !w.sleep(200*time.Millisecond) {
			break
		}
	}
	for _, m := range w.machines {
		m.setHold(nil)
		w.record.say("%s has reported %d ended tasks for %v and more, %v after the start", m.Name, m.endedTasks(clearTime), clearTime, time.Since(troubleSince).Round(100*time.Millisecond))
	}
	if !w.sleep(heldFor) {
		return errors.New("ended early")
	}
	w.record.say("no command is held up or on its way any more")
	calmSince := time.Now()
	photos := array(200, "usomaji", "photo-recognize", "normal", 4, 4, 8, 4)
	if _, err := owner.submit(photos); err != nil {
		return err
	}
	jobs := []*api.Submission{backfill, photos}
	for {
		var waiting []string
		for _, job := range jobs {
			if owner.poll(job.ID).state() != api.Done {
				waiting = append(waiting, fmt.Sprintf("%s (%d of its %d tasks have started)", job.ID, w.startsOf(job.ID), job.Tasks))
			}
		}
		running, lastStartAt := w.counts()
		if len(waiting) == 0 {
			w.record.say("all %d jobs are done %v after the end of the trouble", len(jobs), time.Since(calmSince).Round(time.Second))
			return nil
		}
		if idle := time.Since(latest(lastStartAt, calmSince)); idle > waitLimit && running == 0 {
			return broken{fmt.Sprintf("left waiting: %s. For %v nothing has started, while no task is on the two machines of 32 processors and no trouble is left", strings.Join(waiting, ", "), idle.Round(time.Second))}
		}
		if !w.sleep(time.Second) {
			return errors.New("ended early")
		}
	}
}
