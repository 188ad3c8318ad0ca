package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"switchferry/api"
)

// leftWaitingAfter is how long a job may wait while a machine that fits has room and its team is under its limit.
const leftWaitingAfter = 90 * time.Second

// longReport runs a job of two 40 s tasks beside a service of 1,500 small replicas, on a machine on which all of them fit.
// No process, machine or connection is disturbed. Without the disruption the service has 100 replicas.
func longReport(r *rig) (breaches []string, err error) {
	const array, tasks, runTime = "run-000001", 2, 40 * time.Second
	duration := func(task string) time.Duration {
		if strings.HasPrefix(task, array+"/") {
			return runTime
		}
		return time.Hour
	}
	if err := r.start(mwakilema(), 1, duration); err != nil {
		return nil, err
	}
	only := r.machines()[0]
	first := job(array, tasks, 4)
	first["jobclass"], first["owner"] = "photo-recognize", "usomaji"
	if err := r.submit(r.leader(), first); err != nil {
		return nil, err
	}
	if err := r.cluster.WaitUntil(40*time.Second, func() bool { return r.running() == tasks }); err != nil {
		return nil, notRun("the first job does not run: %v", err)
	}
	other := service("run-000002", 100)
	other["jobclass"], other["owner"], other["cores"], other["ram_gb"], other["apart"] = "reading-intake", "usomaji", 0.01, 0.05, false
	if r.trouble {
		other["parts"] = 1500
	}
	if err := r.submit(r.leader(), other); err != nil {
		return nil, err
	}
	done, waited := false, time.Duration(0)
	for !done && waited < leftWaitingAfter && r.ctx.Err() == nil {
		r.sleep(3 * time.Second)
		done = r.call(r.leader(), http.MethodGet, "/submissions/"+array, nil, 2*time.Second).state == api.Done
		waited = only.waitOf(array, tasks)
	}
	heartbeat := only.NextHeartbeat()
	r.record.add("%s is in session %d; %d of its reports were refused; %s has waited for %.0f s", heartbeat.Machine, heartbeat.Incarnation, r.refused.Load(), array, waited.Seconds())
	if !done && waited >= leftWaitingAfter {
		breaches = append(breaches, fmt.Sprintf("left_waiting: no task of %s has been on a machine for %.0f s, while the one machine, which nothing disturbs, has room for it; its worker is in session %d, and %d of its reports were refused",
			array, waited.Seconds(), heartbeat.Incarnation, r.refused.Load()))
	}
	return breaches, nil
}

// waitOf returns for how long no task of a job has been on the machine, 0 while one is.
func (m *machine) waitOf(job string, tasks int) time.Duration {
	var last time.Time
	for task := range tasks {
		for _, on := range m.spansOf(fmt.Sprintf("%s/%d", job, task)) {
			if on.to.After(last) {
				last = on.to
			}
		}
	}
	return max(0, time.Since(last))
}
