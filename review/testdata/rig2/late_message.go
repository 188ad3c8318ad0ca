package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"switchferry/api"
)

// lateMessage holds up one direct message with the starts of a service, cancels the service when it runs, and then
// submits a small job for the same machine, which is idle.
func lateMessage(r *rig) (breaches []string, err error) {
	const (
		replicas = 300
		array    = "run-000002"
		maxWait  = 90 * time.Second
	)
	duration := func(task string) time.Duration {
		if strings.HasPrefix(task, array+"/") {
			return 5 * time.Second
		}
		return time.Hour
	}
	if err := r.start(mwakilema(), 1, duration); err != nil {
		return nil, err
	}
	only := r.workers[0]
	if r.trouble {
		only.holdUpNext(165)
	}
	first := service("run-000001", replicas)
	first["jobclass"], first["owner"], first["cores"], first["ram_gb"], first["apart"] = "reading-intake", "usomaji", 0.1, 0.5, false
	if err := r.submit(r.leader(), first); err != nil {
		return nil, err
	}
	if err := r.cluster.WaitUntil(20*time.Second, func() bool { return r.running() == replicas }); err != nil {
		return nil, notRun("the service does not run: %v", err)
	}
	if r.trouble {
		if err := r.cluster.WaitUntil(lateBy+2*time.Second, only.lateArrived); err != nil {
			return nil, notRun("no direct message was held up: %v", err)
		}
	}
	if _, err := r.cancel(r.leader(), "run-000001"); err != nil {
		return nil, err
	}
	if err := r.cluster.WaitUntil(10*time.Second, func() bool { return r.running() == 0 }); err != nil {
		return nil, notRun("the cancelled service still runs: %v", err)
	}
	r.record.add("the machine is idle, and the trouble is over")
	second := job(array, 4, 1)
	second["jobclass"], second["owner"], second["expect_s"] = "photo-recognize", "usomaji", 5.0
	if err := r.submit(r.leader(), second); err != nil {
		return nil, err
	}
	accepted := time.Now()
	started := func() bool { return len(only.spansOf(array+"/0")) > 0 }
	for !started() && time.Since(accepted) < maxWait+time.Second && r.ctx.Err() == nil {
		r.sleep(3 * time.Second)
		r.call(r.leader(), http.MethodGet, "/submissions/"+array, nil, 2*time.Second)
	}
	heartbeat := only.NextHeartbeat()
	ended := 0
	for _, task := range heartbeat.Tasks {
		if task.State == api.TaskExited {
			ended++
		}
	}
	r.record.add("%s reports %d tasks, of which %d have ended and were not cleared", only.Name, len(heartbeat.Tasks), ended)
	if !started() {
		breaches = append(breaches, fmt.Sprintf("%s has waited for %.0f s while the only machine, which fits, was idle; its team is under its limit", array, time.Since(accepted).Seconds()))
	}
	return breaches, nil
}
