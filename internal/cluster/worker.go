package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/store"
)

// Worker is a fake worker with its own listening port and connections. It executes no tasks.
type Worker struct {
	*fake.Worker
	cluster *Cluster
	stop    context.CancelFunc
	client  *http.Client

	// mu guards the fields below.
	mu sync.Mutex
	// outboundBlocked blocks messages from the worker, inboundBlocked those to it. On a dead worker both stay blocked.
	outboundBlocked, inboundBlocked, dead bool
	// changed is closed and replaced at each change of outboundBlocked or inboundBlocked.
	changed chan struct{}
	// firstCommandAt is when the first direct command arrived since the last heartbeat was sent, zero if none did.
	firstCommandAt time.Time
	// holdingCommands is set while direct commands are held. heldCommands has those that arrived, in order.
	holdingCommands bool
	heldCommands    []api.HeartbeatResponse
}

// AddWorkers starts n machines with their workers, distributed evenly over the zones.
func (cluster *Cluster) AddWorkers(n int, zones []string) error {
	cluster.mu.Lock()
	existing := len(cluster.workers)
	cluster.mu.Unlock()
	for index := range n {
		if err := cluster.addWorker(func(address string) (fake.Host, bool) {
			return cluster.Cloud.AddAt(cluster.options.MachineType.Name, zones[(existing+index)%len(zones)], address), true
		}); err != nil {
			return err
		}
	}
	return nil
}

// addWorker opens a worker's port and runs the worker. obtainHost returns the machine for a worker with that address,
// and false if the machine no longer exists; then no worker is started.
func (cluster *Cluster) addWorker(obtainHost func(address string) (fake.Host, bool)) error {
	ctx, stop := context.WithCancel(cluster.ctx)
	worker := &Worker{cluster: cluster, stop: stop, changed: make(chan struct{}), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 20 * time.Second}}}
	ready := make(chan struct{})
	address, err := cluster.serve(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		<-ready
		worker.serveCommand(writer, request)
	}))
	if err != nil {
		stop()
		return err
	}
	host, ok := obtainHost(address)
	if !ok {
		stop()
		return nil
	}
	var members []string
	for _, controller := range cluster.Controllers {
		members = append(members, controller.Settings.Member)
	}
	options := fake.WorkerOptions{Host: host, Clock: cluster.clock, Controllers: members, Post: worker.post, HeartbeatInterval: seconds(cluster.options.Facts.Workers.HeartbeatIntervalS), Lease: seconds(cluster.options.Facts.Workers.LeaseS),
		TaskDuration: cluster.options.TaskDuration, OnIneffectiveStart: cluster.options.OnIneffectiveStart, StartFailure: func(string) string { return cluster.messages.current().startFailure() }}
	if observer := cluster.options.Observer; observer != nil {
		options.OnStart = func(task string, token uint64, _ time.Time) { observer.Started(task, host.Name, cluster.TermOf(token)) }
		options.OnEnd = func(task string, done bool) { observer.Ended(task, host.Name, done) }
	}
	worker.Worker = fake.NewWorker(options)
	cluster.mu.Lock()
	cluster.workers[host.Name] = worker
	cluster.mu.Unlock()
	close(ready)
	go worker.Run(ctx)
	return nil
}

// seconds converts seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Workers returns the current workers, in no order.
func (cluster *Cluster) Workers() []*Worker {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	out := make([]*Worker, 0, len(cluster.workers))
	for _, worker := range cluster.workers {
		out = append(out, worker)
	}
	return out
}

// RunningTasks returns the number of tasks that run on all workers.
func (cluster *Cluster) RunningTasks() (n int) {
	for _, worker := range cluster.Workers() {
		_, _, _, running := worker.Status()
		n += running
	}
	return n
}

// machineRented starts the worker of a rented machine after the machine's boot time.
func (cluster *Cluster) machineRented(host fake.Host) {
	time.AfterFunc(seconds(cluster.options.MachineType.BootS), func() {
		if cluster.ctx.Err() != nil {
			return
		}
		_ = cluster.addWorker(func(address string) (fake.Host, bool) { return cluster.Cloud.SetAddress(host.Name, address) })
	})
}

// machineReturned stops the worker of a machine that a controller returned to the cloud.
func (cluster *Cluster) machineReturned(host fake.Host) {
	cluster.mu.Lock()
	worker := cluster.workers[host.Name]
	delete(cluster.workers, host.Name)
	cluster.mu.Unlock()
	if worker == nil {
		return
	}
	worker.stop()
	_, _, _, running := worker.Status()
	// With the new incarnation the worker rejects commands that are still in transit.
	worker.Restart()
	cluster.OnReturned(worker, running)
}

// BlockAllMessages blocks or unblocks the worker's messages in both directions.
func (worker *Worker) BlockAllMessages(blocked bool) { worker.BlockMessages(blocked, blocked) }

// BlockMessages sets which messages are blocked: outbound those from the worker, which are heartbeats and answers to
// commands, and inbound those to the worker, which are responses to heartbeats and commands.
func (worker *Worker) BlockMessages(outbound, inbound bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.outboundBlocked, worker.inboundBlocked = outbound || worker.dead, inbound || worker.dead
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// HoldCommands interrupts the path of direct commands to the worker or restores it. Heartbeats and their responses pass.
// Commands that arrive meanwhile get no answer, and the worker executes them in order when the path is restored, if they
// still apply. HoldCommands returns after that.
func (worker *Worker) HoldCommands(hold bool) {
	worker.mu.Lock()
	worker.holdingCommands = hold
	var released []api.HeartbeatResponse
	if !hold {
		released, worker.heldCommands = worker.heldCommands, nil
	}
	worker.mu.Unlock()
	for _, commands := range released {
		worker.ExecuteCommands(commands)
	}
}

// holdIfInterrupted keeps commands whose path is interrupted, and reports whether it is.
func (worker *Worker) holdIfInterrupted(commands api.HeartbeatResponse) bool {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.holdingCommands {
		worker.heldCommands = append(worker.heldCommands, commands)
	}
	return worker.holdingCommands
}

// Fail fails the machine permanently and ends all tasks on it.
func (worker *Worker) Fail() {
	worker.mu.Lock()
	worker.dead = true
	worker.mu.Unlock()
	worker.BlockAllMessages(true)
	worker.Restart()
}

// messageDirection is a direction of messages between a worker and a controller.
type messageDirection int

const (
	// fromWorker is the direction of heartbeats and of answers to commands.
	fromWorker messageDirection = iota
	// toWorker is the direction of responses to heartbeats and of commands.
	toWorker
)

// waitUntilReachable waits until messages of a direction pass between the worker and a zone, which may be
// RegionalServices. It reports false if ctx ended before.
func (worker *Worker) waitUntilReachable(ctx context.Context, zone string, direction messageDirection) bool {
	return waitUntilUnblocked(ctx, func() (bool, <-chan struct{}) {
		if blocked, changed := worker.cluster.network.blocked(worker.Zone, zone); blocked {
			return true, changed
		}
		return worker.isBlocked(direction)
	})
}

// isBlocked reports whether messages of a direction are blocked, and returns a channel that is closed when that may
// have changed.
func (worker *Worker) isBlocked(direction messageDirection) (bool, <-chan struct{}) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if direction == toWorker {
		return worker.inboundBlocked, worker.changed
	}
	return worker.outboundBlocked, worker.changed
}

// post sends a heartbeat to a controller, subject to the network faults and the message faults. It returns status 0 if
// there is no answer.
func (worker *Worker) post(ctx context.Context, member string, heartbeat *api.Heartbeat) (status int, body any) {
	var recipient *Controller
	for _, controller := range worker.cluster.Controllers {
		if controller.Settings.Member == member {
			recipient = controller
		}
	}
	raw, err := json.Marshal(heartbeat)
	if err != nil || !worker.waitUntilReachable(ctx, recipient.Settings.Zone, fromWorker) {
		return 0, nil
	}
	faults := worker.cluster.messages.current()
	if withProbability(faults.RepeatedHeartbeats) {
		late := context.WithoutCancel(ctx)
		time.AfterFunc(randomLateDelay(), func() { worker.repeatHeartbeat(late, raw) })
	}
	if withProbability(faults.LostHeartbeats) || !delayShare(ctx, faults.SlowHeartbeats) {
		<-ctx.Done()
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+recipient.Settings.Listen+"/v1/report", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	worker.resetFirstCommand()
	sent := time.Now()
	response, err := worker.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || !worker.waitUntilReachable(ctx, recipient.Settings.Zone, toWorker) || !delayShare(ctx, faults.SlowHeartbeats) {
		return 0, nil
	}
	worker.cluster.delays.recordHeartbeat(sent, worker.firstCommand(), time.Now())
	worker.cluster.Traffic.Add("reports to "+member, len(raw)+len(answer))
	return response.StatusCode, decodeAnswer(response.StatusCode, answer)
}

// resetFirstCommand resets the record of direct commands when a heartbeat is sent.
func (worker *Worker) resetFirstCommand() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.firstCommandAt = time.Time{}
}

// recordCommand records the time of a direct command if it is the first since the last heartbeat was sent.
func (worker *Worker) recordCommand() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.firstCommandAt.IsZero() {
		worker.firstCommandAt = time.Now()
	}
}

// firstCommand returns when the first direct command arrived since the last heartbeat was sent, zero if none did.
func (worker *Worker) firstCommand() time.Time {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.firstCommandAt
}

// repeatHeartbeat sends a copy of an earlier heartbeat to a random controller and discards the answer.
func (worker *Worker) repeatHeartbeat(ctx context.Context, raw []byte) {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	controllers := worker.cluster.Controllers
	recipient := controllers[rand.IntN(len(controllers))]
	_, _, _ = worker.cluster.Call(ctx, recipient, http.MethodPost, "/v1/report", raw)
}

// decodeAnswer decodes an answer to a heartbeat: an api.HeartbeatResponse for status 200, nil if that is malformed, and
// an api.Redirect otherwise.
func decodeAnswer(status int, raw []byte) any {
	if status == http.StatusOK {
		var response api.HeartbeatResponse
		if json.Unmarshal(raw, &response) != nil {
			return nil
		}
		return response
	}
	var redirect api.Redirect
	_ = json.Unmarshal(raw, &redirect)
	return redirect
}

// serveCommand executes commands that a leader sends directly, subject to the network faults and the message faults.
// While the leader's zone and the worker do not reach each other, it waits. It aborts the request if the request's
// context ends first, or if the commands are held.
func (worker *Worker) serveCommand(writer http.ResponseWriter, request *http.Request) {
	var commands api.HeartbeatResponse
	if err := json.NewDecoder(request.Body).Decode(&commands); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if worker.holdIfInterrupted(commands) {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	fromZone := worker.cluster.zoneOfToken(commands.Term)
	if !worker.waitUntilReachable(request.Context(), fromZone, toWorker) {
		panic(http.ErrAbortHandler)
	}
	faults := worker.cluster.messages.current()
	if withProbability(faults.LateCommands) {
		time.AfterFunc(randomLateDelay(), func() { worker.ExecuteCommands(commands) })
		panic(http.ErrAbortHandler)
	}
	if !delayShare(request.Context(), faults.SlowCommands) {
		panic(http.ErrAbortHandler)
	}
	worker.recordCommand()
	heartbeat, executed := worker.ExecuteCommands(commands)
	if executed && withProbability(faults.RepeatedCommands) {
		time.AfterFunc(randomRepeatDelay(), func() { worker.ExecuteCommands(commands) })
	}
	raw, err := json.Marshal(heartbeat)
	if err != nil || !worker.waitUntilReachable(request.Context(), fromZone, toWorker) {
		panic(http.ErrAbortHandler)
	}
	worker.cluster.Traffic.Add("commands", int(max(0, request.ContentLength))+len(raw))
	if !executed {
		writer.WriteHeader(http.StatusConflict)
	}
	_, _ = writer.Write(raw)
}

// currentLeader returns the leader that is recorded in the state service, and its term; empty and 0 if there is none.
func (cluster *Cluster) currentLeader() (member string, term uint64) {
	raw, stamp := cluster.State.Read(store.LeaderKey)
	var record store.LeaderRecord
	if json.Unmarshal(raw, &record) != nil {
		return "", 0
	}
	return record.Member, stamp
}

// watchLeader records the zone of each term's leader until the cluster is closed. It is needed because commands carry
// a term but not their sender.
func (cluster *Cluster) watchLeader() {
	for cluster.Sleep(20 * time.Millisecond) {
		member, term := cluster.currentLeader()
		if term == 0 {
			continue
		}
		for _, controller := range cluster.Controllers {
			if controller.Settings.Member == member {
				cluster.mu.Lock()
				cluster.zonesByTerm[term] = controller.Settings.Zone
				cluster.mu.Unlock()
			}
		}
	}
}

// Terms returns the number of leader terms that were observed.
func (cluster *Cluster) Terms() int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return len(cluster.zonesByTerm)
}

// TermOf returns the term whose leader issued a fencing token: the newest observed term that is not above the token, 0 if
// there is none.
func (cluster *Cluster) TermOf(token uint64) (term uint64) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for observed := range cluster.zonesByTerm {
		if observed <= token {
			term = max(term, observed)
		}
	}
	return term
}

// zoneOfToken returns the zone of the leader that issued a fencing token, RegionalServices if it is not known.
func (cluster *Cluster) zoneOfToken(token uint64) string {
	term := cluster.TermOf(token)
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.zonesByTerm[term]
}
