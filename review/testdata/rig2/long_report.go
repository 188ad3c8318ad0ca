package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"switchferry/api"
)

// longReport runs a job of two 40 s tasks beside a service of 1,500 small replicas, on a machine on which all of them fit.
// No process, machine or connection is disturbed. Without the disruption the service has 100 replicas.
func longReport(r *rig) (breaches []string, err error) {
	const array, runTime = "run-000001", 40 * time.Second
	duration := func(task string) time.Duration {
		if strings.HasPrefix(task, array+"/") {
			return runTime
		}
		return time.Hour
	}
	if err := r.start(mwakilema(), 1, duration); err != nil {
		return nil, err
	}
	first := job(array, 2, 4)
	first["jobclass"], first["owner"] = "photo-recognize", "usomaji"
	if err := r.submit(r.leader(), first); err != nil {
		return nil, err
	}
	if err := r.cluster.WaitUntil(40*time.Second, func() bool { return r.running() == 2 }); err != nil {
		return nil, notRun("the first job does not run: %v", err)
	}
	began := time.Now()
	other := service("run-000002", 100)
	other["jobclass"], other["owner"], other["cores"], other["ram_gb"], other["apart"] = "reading-intake", "usomaji", 0.01, 0.05, false
	if r.trouble {
		other["parts"] = 1500
	}
	if err := r.submit(r.leader(), other); err != nil {
		return nil, err
	}
	done := false
	for time.Since(began) < 100*time.Second && !done && r.ctx.Err() == nil {
		r.sleep(5 * time.Second)
		done = r.call(r.leader(), http.MethodGet, "/submissions/"+array, nil, 2*time.Second).state == api.Done
	}
	heartbeat := r.workers[0].NextHeartbeat()
	r.record.add("%s is in session %d after %.0f s; %d reports were refused", heartbeat.Machine, heartbeat.Incarnation, time.Since(began).Seconds(), r.refused.Load())
	if !done {
		breaches = append(breaches, fmt.Sprintf("%s, two tasks of %.0f s, is not done after %.0f s on a machine that nothing disturbs: its worker is in session %d, and %d of its reports were refused as too long",
			array, runTime.Seconds(), time.Since(began).Seconds(), heartbeat.Incarnation, r.refused.Load()))
	}
	return breaches, nil
}
