// Command rig2 plays the cases of the second review. It starts the controllers as separate processes with the command
// of the deploy file, beside the project's stand-ins of the state service, the cloud and the workers, and checks one
// rule of the operators' pages from outside.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/cluster"
	"switchferry/internal/fake"
	"switchferry/settings"
	"switchferry/store"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun is how long a case may take in all.
const maxRun = 115 * time.Second

// errNotRun is the error of a case that could not run, so that nothing follows about the rule.
var errNotRun = errors.New("the case could not run")

// notRun returns an error that wraps errNotRun.
func notRun(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errNotRun, fmt.Sprintf(format, args...))
}

// cases has the function of each case by its name. A function returns a text for each breach of the rule.
var cases = map[string]func(*rig) (breaches []string, err error){
	"held-start":    heldStart,
	"many-replicas": manyReplicas,
	"long-report":   longReport,
}

func main() { os.Exit(run()) }

// run plays the case that the flags name and returns the exit code.
func run() int {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/switchferry", "the program of the controllers")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	logs := flag.String("logs", "", "a folder for the controllers' logs at level info; empty: none are kept")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	ctx, stop := context.WithTimeout(context.Background(), maxRun)
	defer stop()
	r := &rig{
		ctx: ctx, program: *program, logs: *logs, trouble: os.Getenv("TROUBLE") != "0",
		record: &recorder{out: io.MultiWriter(file, os.Stdout), began: time.Now()},
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	defer r.close()
	breaches, err := play(r)
	if err == nil && ctx.Err() != nil {
		err = notRun("it took longer than %v", maxRun)
	}
	switch {
	case err != nil:
		r.record.add("RESULT: %v", err)
		return exitNotRun
	case len(breaches) > 0:
		for _, breach := range breaches {
			r.record.add("BROKEN: %s", breach)
		}
		r.record.add("RESULT: the rule was broken, %d times", len(breaches))
		return exitBroken
	}
	r.record.add("RESULT: the rule held")
	return exitHeld
}

// recorder writes what was sent, answered and run, with the seconds since the start of the case.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// add writes one line.
func (rec *recorder) add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_, _ = fmt.Fprintf(rec.out, "%8.3f %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

// rig is a small deployment with its users and workers.
type rig struct {
	ctx           context.Context
	program, logs string
	// trouble is false if the case is to be played without its disruption.
	trouble bool
	record  *recorder
	http    *http.Client
	site    deployment
	cluster *cluster.Cluster
	// mu guards workers.
	mu      sync.Mutex
	workers []*machine
	// refused counts the reports that were answered with 400.
	refused atomic.Int64
}

// deployment is what the operators' pages say of a deployment (BRIEF and DEPLOY), with one machine type.
type deployment struct {
	facts       settings.Facts
	controllers []string // zone of each controller
	machineType api.MachineType
}

// hofbauer returns the first deployment, with two zones.
func hofbauer() deployment {
	return deployment{
		facts: settings.Facts{
			ControllerCount: 3, Zones: []string{"isar-nord", "lech-sued"}, MaxClockErrorMS: 250,
			Teams:     []settings.Team{{Name: "spielstand-betrieb"}, {Name: "matchlab"}},
			Workers:   settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40},
			State:     settings.StateLimits{RPS: 120, WriteRPS: 30, ValueKB: 16, TxnOps: 24},
			Cloud:     settings.CloudLimits{RPS: 4, ListLagS: 3},
			Resources: settings.Resources{CPU: 0.144, RAMMB: 70, MaxSockets: 700},
		},
		controllers: []string{"isar-nord", "lech-sued", "isar-nord"},
		machineType: api.MachineType{Name: "brettl", CPUs: 8, MemoryGB: 32, CacheGB: 25, PullGBs: 0.4, Price: 0.44, SpotPrice: 0.19, BootS: 50, Zones: []string{"isar-nord", "lech-sued"}},
	}
}

// mwakilema returns the second deployment, with one zone.
func mwakilema() deployment {
	return deployment{
		facts: settings.Facts{
			ControllerCount: 3, Zones: []string{"dar-pwani"}, MaxClockErrorMS: 250,
			Teams:     []settings.Team{{Name: "usomaji", CPUs: 88, CPUsMax: 500}, {Name: "malipo", CPUs: 120, CPUsMax: 500}, {Name: "ramani-lab"}},
			Workers:   settings.Workers{HeartbeatIntervalS: 1.5, LeaseS: 10, CancelDeadlineS: 35},
			State:     settings.StateLimits{RPS: 200, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
			Cloud:     settings.CloudLimits{RPS: 3, ListLagS: 12},
			Resources: settings.Resources{CPU: 0.12, RAMMB: 98, MaxSockets: 900},
		},
		controllers: []string{"dar-pwani", "dar-pwani", "dar-pwani"},
		machineType: api.MachineType{Name: "kubwa", CPUs: 32, MemoryGB: 256, CacheGB: 40, PullGBs: 0.8, Price: 2.64, SpotPrice: 0.66, BootS: 30, Zones: []string{"dar-pwani"}},
	}
}

// start starts the stand-ins and the controllers of a deployment with that many machines in each zone, and waits until
// the controllers are ready. Tasks run for the time that taskDuration returns.
func (r *rig) start(site deployment, machinesPerZone int, taskDuration func(task string) time.Duration) error {
	facts := site.facts
	r.site = site
	c, err := cluster.New(r.ctx, cluster.Options{
		Zones: site.controllers, Facts: facts, MachineType: site.machineType,
		LogDir: r.logs, LogLevel: "info", TaskDuration: taskDuration,
	})
	if err != nil {
		return notRun("%v", err)
	}
	r.cluster = c
	c.Cloud.OnReturned = r.machineReturned
	for _, controller := range c.Controllers {
		if err := controller.Start(r.program); err != nil {
			return notRun("%v", err)
		}
	}
	if err := c.WaitForLeader(20 * time.Second); err != nil {
		return notRun("no leader: %v", err)
	}
	for range machinesPerZone {
		for _, zone := range facts.Zones {
			if err := r.addMachine(zone, taskDuration); err != nil {
				return err
			}
		}
	}
	ended := ""
	ready := func() bool {
		for _, controller := range c.Controllers {
			if controller.EndedByItself() {
				ended = controller.Settings.Member
				return true
			}
			if status, _, err := c.Call(r.ctx, controller, http.MethodGet, "/ready", nil); err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	}
	if err := c.WaitUntil(20*time.Second, ready); err != nil {
		return notRun("the controllers are not ready: %v", err)
	}
	if ended != "" {
		return notRun("controller %s ended by itself; another process may have its ports", ended)
	}
	r.record.add("the controllers are ready; leader %s", c.Leader().Settings.Member)
	return nil
}

// machineReturned ends a machine that a controller returned to the cloud: with the answer it is gone, and all on it.
func (r *rig) machineReturned(host fake.Host) {
	for _, m := range r.machines() {
		if m.Name == host.Name {
			r.record.add("%s is returned to the cloud and gone", m.Name)
			m.stop()
			m.Restart()
		}
	}
}

// machines returns the machines that the rig has started.
func (r *rig) machines() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.workers)
}

// close ends everything that the rig started.
func (r *rig) close() {
	for _, m := range r.machines() {
		m.stop()
	}
	if r.cluster != nil {
		r.cluster.Close()
	}
}

// sleep waits for a duration, or until the case has to end.
func (r *rig) sleep(d time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-time.After(d):
	}
}

// leader returns the controller that leads according to the state service, or nil.
func (r *rig) leader() *cluster.Controller { return r.cluster.Leader() }

// beginOutage begins an outage of the state service, which then answers every controller with 503. The function that it
// returns ends the outage; all leases then have their full time again, as the protocol says.
func (r *rig) beginOutage() (end func()) {
	refuse := func(refused bool) {
		for _, controller := range r.cluster.Controllers {
			r.cluster.SetStateFaults(controller.Settings.Member, cluster.StateFaults{Refused: refused})
		}
	}
	refuse(true)
	r.record.add("TROUBLE: the state service is down")
	ended, kept := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(kept)
		for {
			r.renewLeaderLease()
			select {
			case <-ended:
				r.renewLeaderLease()
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(ended)
		<-kept
		refuse(false)
		r.record.add("TROUBLE: the state service is back")
	}
}

// renewLeaderLease renews the lease of the leader's key in the stand-in of the state service.
func (r *rig) renewLeaderLease() {
	var item struct {
		Ticket uint64 `json:"ticket"`
	}
	if json.Unmarshal(r.stateCall(http.MethodGet, "/store/"+store.LeaderKey), &item) == nil && item.Ticket > 0 {
		r.stateCall(http.MethodPost, fmt.Sprintf("/leases/%d/renew", item.Ticket))
	}
}

// stateCall makes a call to the stand-in of the state service and returns the body of the answer, nil without one.
func (r *rig) stateCall(method, path string) []byte {
	request, err := http.NewRequestWithContext(r.ctx, method, "http://state"+path, http.NoBody)
	if err != nil {
		return nil
	}
	response, err := r.cluster.State.RoundTrip(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	return raw
}

// answer is a controller's answer to a user. Status is 0 without one.
type answer struct {
	status int
	body   string
	state  string
}

// call sends a user's request to a controller, waits for the given time at most, and records request and answer.
func (r *rig) call(to *cluster.Controller, method, path string, body any, timeout time.Duration) answer {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	ctx, stop := context.WithTimeout(r.ctx, timeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.Settings.Listen+path, bytes.NewReader(raw))
	if err != nil {
		return answer{}
	}
	var result answer
	response, err := r.http.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(response.Body)
		var status api.JobStatus
		_ = json.Unmarshal(text, &status)
		result = answer{response.StatusCode, strings.TrimSpace(string(text)), status.State}
	}
	r.record.add("user -> %s: %s %s %s; answer %d %s", to.Settings.Member, method, path, raw, result.status, result.body)
	return result
}

// submit submits a job and repeats it like a user until it is accepted or refused for good.
func (r *rig) submit(to *cluster.Controller, job map[string]any) error {
	for began := time.Now(); time.Since(began) < 30*time.Second && r.ctx.Err() == nil; r.sleep(time.Second) {
		switch result := r.call(to, http.MethodPost, "/submissions", job, 5*time.Second); {
		case result.status == http.StatusOK || result.status == http.StatusCreated:
			return nil
		case result.status == http.StatusBadRequest || result.status == http.StatusUnprocessableEntity:
			return notRun("the submission was refused: %s", result.body)
		}
	}
	return notRun("the submission was not accepted in 30 s")
}

// job returns a submission like those of inventory-reconcile.
func job(id string, parts int, cores float64) map[string]any {
	return map[string]any{
		"name_id": id, "jobclass": "inventory-reconcile", "owner": "spielstand-betrieb", "shape": "sweep", "rank": "normal", "parts": parts,
		"cores": cores, "cards": 0.0, "ram_gb": 2.0, "bundle": "img-07", "size_gb": 0.7, "hulls": nil, "berth": nil, "together": false, "apart": false,
		"standby": true, "expect_s": 40.0, "snapshot_s": 0.0, "stow_s": 0.0, "due_s": 600.0,
	}
}

// machine is a worker whose direct commands pass a proxy. It executes no tasks.
type machine struct {
	*fake.Worker
	proxy *proxy
	stop  func()

	mu sync.Mutex
	// cutFrom is the controller whose host the machine's reports do not reach, empty for none.
	cutFrom string
	// starts and ends hold when each task started and ended here.
	starts, ends map[string][]time.Time
}

// interrupt begins an interruption of the path between the machine and the host of a controller, in both directions.
func (m *machine) interrupt(controller string) {
	m.mu.Lock()
	m.cutFrom = controller
	m.mu.Unlock()
	m.proxy.interrupt()
}

// heal ends the interruption.
func (m *machine) heal() error {
	m.mu.Lock()
	m.cutFrom = ""
	m.mu.Unlock()
	return m.proxy.heal()
}

// cutOff reports whether the machine's reports do not reach a controller. A report that is held longer than its worker
// waits would be a late copy, which this stand-in does not deliver.
func (m *machine) cutOff(controller string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutFrom == controller
}

// span is the time for which a task was on a machine. It ends in the future if the task is still there.
type span struct{ from, to time.Time }

// spansOf returns when a task was on the machine.
func (m *machine) spansOf(task string) (spans []span) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, from := range m.starts[task] {
		to := time.Now().Add(time.Hour)
		if i < len(m.ends[task]) {
			to = m.ends[task][i]
		}
		spans = append(spans, span{from, to})
	}
	return spans
}

// addMachine starts a machine in a zone with its worker.
func (r *rig) addMachine(zone string, taskDuration func(task string) time.Duration) error {
	ctx, stop := context.WithCancel(r.ctx)
	m := &machine{starts: map[string][]time.Time{}, ends: map[string][]time.Time{}}
	ready := make(chan struct{})
	server, address, err := serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		<-ready
		r.serveOrders(m, w, request)
	}))
	if err != nil {
		stop()
		return notRun("%v", err)
	}
	if m.proxy, err = newProxy(ctx, address); err != nil {
		stop()
		return notRun("%v", err)
	}
	m.stop = func() {
		stop()
		_ = server.Close()
		m.proxy.close()
	}
	var members []string
	byName := map[string]*cluster.Controller{}
	for _, controller := range r.cluster.Controllers {
		members = append(members, controller.Settings.Member)
		byName[controller.Settings.Member] = controller
	}
	host := r.cluster.Cloud.AddAt(r.site.machineType.Name, zone, m.proxy.address)
	facts := r.site.facts.Workers
	m.Worker = fake.NewWorker(fake.WorkerOptions{
		Host: host, Clock: clockwork.NewRealClock(), Controllers: members,
		Post: func(ctx context.Context, controller string, heartbeat *api.Heartbeat) (int, any) {
			if m.cutOff(controller) {
				<-ctx.Done()
				return 0, nil
			}
			return r.post(ctx, byName[controller], heartbeat)
		},
		HeartbeatInterval: time.Duration(facts.HeartbeatIntervalS * float64(time.Second)), Lease: time.Duration(facts.LeaseS * float64(time.Second)),
		TaskDuration: taskDuration,
		OnStart: func(task string, token uint64, at time.Time) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.starts[task] = append(m.starts[task], at)
			r.record.add("%s: task %s starts, token %d", host.Name, task, token)
		},
		OnEnd: func(task string, done bool) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.ends[task] = append(m.ends[task], time.Now())
			r.record.add("%s: task %s ends, done %v", host.Name, task, done)
		},
	})
	r.mu.Lock()
	r.workers = append(r.workers, m)
	r.mu.Unlock()
	close(ready)
	go m.Run(ctx)
	return nil
}

// encodeReport encodes a report with the fields that the protocol shows, and no others.
func encodeReport(heartbeat *api.Heartbeat) ([]byte, error) {
	type part struct {
		Part   string `json:"part"`
		Try    uint64 `json:"try"`
		Status string `json:"status"`
		Cause  string `json:"cause,omitempty"`
		Stored bool   `json:"stored,omitempty"`
	}
	parts := []part{}
	for _, task := range heartbeat.Tasks {
		parts = append(parts, part{task.Task, task.Attempt, task.State, task.Cause, task.Saved})
	}
	return json.Marshal(map[string]any{
		"host": heartbeat.Machine, "address": heartbeat.Address, "hull": heartbeat.Type, "berth": heartbeat.Zone, "standby": heartbeat.Spot,
		"watch": heartbeat.Incarnation, "tally": heartbeat.Seq, "helm": heartbeat.Term, "recall_s": heartbeat.PreemptionNoticeS, "parts": parts,
	})
}

// post sends a worker's report to a controller and returns the answer, status 0 without one.
func (r *rig) post(ctx context.Context, to *cluster.Controller, heartbeat *api.Heartbeat) (int, any) {
	raw, err := encodeReport(heartbeat)
	if err != nil {
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Settings.Listen+"/v1/report", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	response, err := r.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	if response.StatusCode == http.StatusBadRequest {
		r.refused.Add(1)
	}
	if len(heartbeat.Tasks) > 0 || !strings.Contains(string(text), `"orders":[]`) {
		r.record.add("%s -> %s: report of %d bytes %.400s; answer %d of %d bytes %.400s", heartbeat.Machine, to.Settings.Member, len(raw), raw, response.StatusCode, len(text), strings.TrimSpace(string(text)))
	}
	if response.StatusCode == http.StatusOK {
		var reply api.HeartbeatResponse
		if json.Unmarshal(text, &reply) != nil {
			return 0, nil
		}
		return http.StatusOK, reply
	}
	var redirect api.Redirect
	_ = json.Unmarshal(text, &redirect)
	return response.StatusCode, redirect
}

// serveOrders executes commands that a controller sends to a worker directly.
func (r *rig) serveOrders(m *machine, w http.ResponseWriter, request *http.Request) {
	raw, err := io.ReadAll(request.Body)
	var commands api.HeartbeatResponse
	if err != nil || json.Unmarshal(raw, &commands) != nil || commands.Term == 0 || commands.Incarnation == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	heartbeat, executed := m.ExecuteCommands(commands)
	r.record.add("%s: direct commands of %d bytes %.400s; executed %v", m.Name, len(raw), strings.TrimSpace(string(raw)), executed)
	reply, err := encodeReport(heartbeat)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !executed {
		w.WriteHeader(http.StatusConflict)
	}
	_, _ = w.Write(reply)
}
