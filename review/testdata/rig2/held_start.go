package main

import (
	"fmt"
	"net/http"
	"time"

	"switchferry/api"
	"switchferry/internal/cluster"
)

// heldStart cancels a job whose direct start command is held up between two hosts, while the state service is down for
// longer than cancel_s.
//
// The path between the leader's host and a machine of the other zone is interrupted just before a job for that zone is
// submitted. The machine's reports pass the controller of its own zone, so its lease goes on. The user cancels the job as
// soon as the command is on its way. The state service goes down a second after the user was told, and the path is
// restored when more than cancel_s have passed.
func heldStart(r *rig) (breaches []string, err error) {
	if err := r.start(hofbauer(), 1, func(string) time.Duration { return 300 * time.Second }); err != nil {
		return nil, err
	}
	leader := r.leader()
	machines := r.machines()
	target := machines[0]
	if target.Zone == leader.Settings.Zone {
		target = machines[1]
	}
	// A first service with a replica on both machines shows that they serve, and leaves the leader's connections to them open.
	if err := r.submit(leader, service("run-000001", 2)); err != nil {
		return nil, err
	}
	if err := r.cluster.WaitUntil(40*time.Second, func() bool { return r.running() == 2 }); err != nil {
		return nil, notRun("the first service does not run: %v", err)
	}
	r.sleep(3 * time.Second)
	if r.leader() != leader {
		return nil, notRun("the leader has changed")
	}
	if r.trouble {
		target.interrupt(leader.Settings.Member)
		r.record.add("TROUBLE: the path between the hosts of %s and %s is interrupted", leader.Settings.Member, target.Name)
	}
	// The machine's next report is most of an interval away, so that only the direct command can start the task.
	r.awaitReport(target)
	cancelled := job("run-000002", 1, 4)
	cancelled["berth"] = target.Zone
	if err := r.submit(leader, cancelled); err != nil {
		return nil, err
	}
	const task = "run-000002/0"
	sent := func() bool { return target.proxy.held() > 0 || len(target.spansOf(task)) > 0 }
	for end := time.Now().Add(3 * time.Second); !sent() && time.Now().Before(end); r.sleep(5 * time.Millisecond) {
	}
	if !sent() {
		return nil, notRun("no start was sent")
	}
	told, err := r.cancel(leader, "run-000002")
	if err != nil {
		return nil, err
	}
	cancelS := time.Duration(r.site.facts.Workers.CancelDeadlineS * float64(time.Second))
	endOutage := func() {}
	if r.trouble {
		r.sleep(time.Second)
		endOutage = r.beginOutage()
	}
	r.sleep(time.Until(told.Add(cancelS + 2*time.Second)))
	if r.trouble {
		r.record.add("TROUBLE: the path is restored, %.1f s after the user was told", time.Since(told).Seconds())
		if err := target.heal(); err != nil {
			return nil, notRun("%v", err)
		}
	}
	r.sleep(2 * time.Second)
	endOutage()
	r.sleep(3 * time.Second)
	for _, m := range r.machines() {
		for _, on := range m.spansOf(task) {
			switch from, to := on.from.Sub(told), on.to.Sub(told); {
			case from > cancelS:
				breaches = append(breaches, fmt.Sprintf("ran_cancelled: %s starts on %s %.1f s after its user was told that the job is cancelled; cancel_s is %.0f", task, m.Name, from.Seconds(), cancelS.Seconds()))
			case to > cancelS:
				breaches = append(breaches, fmt.Sprintf("ran_cancelled: %s is on %s more than %.0f s after its user was told that the job is cancelled", task, m.Name, cancelS.Seconds()))
			}
		}
	}
	return breaches, nil
}

// service returns a submission like those of save-gateway.
func service(id string, parts int) map[string]any {
	submission := job(id, parts, 2)
	submission["jobclass"], submission["shape"], submission["rank"], submission["standby"] = "save-gateway", api.Service, "prod", false
	submission["expect_s"], submission["due_s"], submission["apart"] = 0.0, nil, true
	return submission
}

// cancel cancels a job and repeats that until the user is told that it is cancelled. It returns when the user was told.
func (r *rig) cancel(to *cluster.Controller, id string) (told time.Time, err error) {
	for began := time.Now(); time.Since(began) < 20*time.Second && r.ctx.Err() == nil; r.sleep(time.Second) {
		result := r.call(to, http.MethodPost, "/submissions/"+id+"/cancel", nil, 5*time.Second)
		if result.status == http.StatusOK && result.state == api.Cancelled {
			return time.Now(), nil
		}
	}
	return time.Time{}, notRun("the cancellation was not confirmed")
}

// awaitReport waits until a machine's next report was answered.
func (r *rig) awaitReport(m *machine) {
	_, before, _, _ := m.Status()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); r.sleep(2 * time.Millisecond) {
		if _, answered, _, _ := m.Status(); answered.After(before) {
			return
		}
	}
}

// running returns the number of tasks that run on all machines.
func (r *rig) running() (n int) {
	for _, m := range r.machines() {
		_, _, _, running := m.Status()
		n += running
	}
	return n
}
