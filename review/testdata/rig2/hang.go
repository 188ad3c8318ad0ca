package main

import (
	"fmt"
	"net/http"
	"time"

	"switchferry/api"
)

// forgottenAfter is the time without an answer about a job after which the job counts as forgotten.
const forgottenAfter = 75 * time.Second

// manyReplicas asks about a running service every few seconds, at every controller, while another service with the
// largest number of replicas that a submission may have is accepted. No process, machine or connection is disturbed.
// Without the disruption the other service has 100 replicas.
func manyReplicas(r *rig) (breaches []string, err error) {
	if err := r.start(hofbauer(), 2, func(string) time.Duration { return 300 * time.Second }); err != nil {
		return nil, err
	}
	const asked = "run-000001"
	if err := r.submit(r.leader(), service(asked, 2)); err != nil {
		return nil, err
	}
	if err := r.cluster.WaitUntil(40*time.Second, func() bool { return r.running() == 2 }); err != nil {
		return nil, notRun("the first service does not run: %v", err)
	}
	other := service("run-000002", 100)
	other["cores"], other["ram_gb"] = 0.0001, 0.0001
	if r.trouble {
		other["parts"] = api.MaxTasks
	}
	// The user is not always answered. That does not matter here: what counts are the answers about the first service.
	if result := r.call(r.leader(), http.MethodPost, "/submissions", other, 5*time.Second); result.status >= 400 && result.status < 500 {
		return nil, notRun("the submission was refused: %s", result.body)
	}
	const pollInterval = 5 * time.Second
	answeredAt, longest := time.Now(), time.Duration(0)
	for end := time.Now().Add(forgottenAfter + 2*pollInterval); time.Now().Before(end) && r.ctx.Err() == nil; r.sleep(pollInterval) {
		answered := false
		for _, controller := range r.cluster.Controllers {
			if r.call(controller, http.MethodGet, "/submissions/"+asked, nil, 2*time.Second).status == http.StatusOK {
				answered = true
			}
		}
		longest = max(longest, time.Since(answeredAt))
		if answered {
			answeredAt = time.Now()
		}
	}
	r.record.add("the longest time without an answer about %s: %.1f s", asked, longest.Seconds())
	if longest >= forgottenAfter {
		breaches = append(breaches, fmt.Sprintf("forgotten: no question about %s was answered for %.0f s, at any controller, with no trouble at all", asked, longest.Seconds()))
	}
	return breaches, nil
}
