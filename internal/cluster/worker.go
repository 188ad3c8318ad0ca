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
