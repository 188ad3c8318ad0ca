package fake

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
)

// Worker is a fake worker that keeps the protocol exactly: incarnation, sequence numbers, fencing token, lease, the
// order in which it tries controllers, and commands. Its tasks run nothing; they last as long as WorkerOptions.Runs
// says.
type Worker struct {
	Host
	clock clockwork.Clock
	// controllers are tried in this order; post sends a heartbeat to one and returns status 0 if there is no
	// answer until the context ends.
	controllers []string
	post        func(ctx context.Context, node string, r *api.Heartbeat) (status int, body any)
	interval    time.Duration
	lease       time.Duration
	runTime     func(task string) time.Duration

	// mu guards the fields below and the tasks.
	mu              sync.Mutex
	controllerIndex int
	incarnation     uint64
	sequence        uint64
	term            uint64
	renewedAt       time.Time
	tasks           map[attemptKey]*workerTask
	changes         chan struct{}
	// killed counts tasks that ended with the lease or the worker.
	killed     int
	answeredAt time.Time
	// hung is closed when the machine continues, and nil while it is not suspended; hungAt is when it was.
	hung   chan struct{}
	hungAt time.Time
	// imagePull is WorkerOptions.Fetch; pullingUntil is when the machine's link is free for the next image.
	imagePull    func(task string) (image string, d time.Duration)
	cachedImages map[string]time.Time
	pullingUntil time.Time
	// onStart and onEnd are WorkerOptions.Starts and Ends.
	onStart func(task string, term uint64, at time.Time)
	onEnd   func(task string, done bool)
	// failure and crossed are WorkerOptions.Fails and Crossed.
	failure func(task string) (cause string)
	crossed func(kind CrossedStart)
	// noticeAt is when the machine will be taken; zero without a notice.
	noticeAt time.Time
}

// CrossedStart is a kind of start that changed nothing, since it had crossed with another message.
type CrossedStart int

// A RepeatedStart is of an attempt that has not ended, a LateStart of one that has, and a BusyStart of one beside another
// attempt of its task that has not ended.
const (
	RepeatedStart CrossedStart = iota
	LateStart
	BusyStart
)

// attemptKey names one attempt of a task. A worker may have several attempts of a task, of which one has not exited.
type attemptKey struct {
	task    string
	attempt uint64
}

// workerTask is an attempt on the machine: its image is there at readyAt, and it completes at endsAt.
type workerTask struct {
	api.TaskReport
	term            uint64
	readyAt, endsAt time.Time
}

// responseTimeout is how long a worker waits for the answer to a heartbeat.
const responseTimeout = 4 * time.Second

// WorkerOptions configure a worker. Nodes, Post, Every, Lease and Runs are required.
type WorkerOptions struct {
	Host  Host
	Clock clockwork.Clock
	// Nodes are the controllers in the order in which the worker tries them.
	Nodes []string
	// Post sends a heartbeat to a controller; status 0 stands for no answer until the context ends.
	Post func(ctx context.Context, node string, r *api.Heartbeat) (status int, body any)
	// Every is the time between heartbeats, Lease how long tasks outlive the last answered one.
	Every, Lease time.Duration
	// Runs is how long a task runs.
	Runs func(task string) time.Duration
	// Starts, if not nil, is called for each start: with the worker's lock if Ends is set, else without.
	Starts func(task string, term uint64, at time.Time)
	// Ends, if not nil, is called for each end of a running task, in order with the starts and with the lock.
	Ends func(task string, done bool)
	// Fetch is the image that a task needs and how long its pull takes. Images are pulled one after the other
	// and stay. Nil: tasks need none.
	Fetch func(task string) (image string, d time.Duration)
	// Fails, if not nil, is why a task that is started ends at once, one of the causes of exits; empty if it runs.
	Fails func(task string) (cause string)
	// Crossed, if not nil, is called with the lock for each start that changes nothing.
	Crossed func(kind CrossedStart)
}

// NewWorker makes a worker without tasks, whose lease begins now.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{Host: options.Host, clock: options.Clock, controllers: options.Nodes, post: options.Post, interval: options.Every, lease: options.Lease, runTime: options.Runs, onStart: options.Starts, onEnd: options.Ends, imagePull: options.Fetch, failure: options.Fails, crossed: options.Crossed, cachedImages: map[string]time.Time{},
		incarnation: 1, renewedAt: options.Clock.Now(), tasks: map[attemptKey]*workerTask{}, changes: make(chan struct{}, 1)}
}

// Seen is the highest fencing token that the worker has seen, when it was last answered, how many tasks ended with its
// lease, and how many run.
func (worker *Worker) Seen() (term uint64, answered time.Time, killed, running int) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.completeDueTasks()
	for _, t := range worker.tasks {
		if t.State == api.TaskRunning {
			running++
		}
	}
	return worker.term, worker.answeredAt, worker.killed, running
}

// Hang suspends the machine or lets it continue. While suspended it executes, reports and answers nothing, but its clock
// runs on. Commands that arrive meanwhile are executed afterwards if their term and incarnation are still current.
func (worker *Worker) Hang(suspend bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	switch {
	case suspend && worker.hung == nil:
		worker.completeDueTasks()
		worker.hung, worker.hungAt = make(chan struct{}), worker.clock.Now()
		hung := worker.hung
		worker.clock.AfterFunc(worker.lease-worker.clock.Since(worker.renewedAt), func() {
			worker.mu.Lock()
			defer worker.mu.Unlock()
			if worker.hung == hung {
				// Tasks end with the lease, although the worker notices that only when it continues.
				worker.loseTasks()
			}
		})
	case !suspend && worker.hung != nil:
		stood := worker.clock.Since(worker.hungAt)
		for _, current := range worker.tasks {
			current.readyAt, current.endsAt = current.readyAt.Add(stood), current.endsAt.Add(stood)
			worker.scheduleTransitions(current)
		}
		worker.pullingUntil = worker.pullingUntil.Add(stood)
		close(worker.hung)
		worker.hung = nil
		worker.completeDueTasks()
	}
}

// loseTasks ends and removes all tasks; mu is held.
func (worker *Worker) loseTasks() {
	for _, current := range worker.tasks {
		if current.State == api.TaskRunning {
			worker.killed++
			worker.endTask(current.Task, false)
		}
	}
	worker.tasks = map[attemptKey]*workerTask{}
}

// waitWhileHung waits until the machine is not suspended; mu is not held.
func (worker *Worker) waitWhileHung() {
	for {
		worker.mu.Lock()
		hung := worker.hung
		worker.mu.Unlock()
		if hung == nil {
			return
		}
		<-hung
	}
}

// completeDueTasks ends the lease if it has expired, starts the tasks whose image is there and completes those whose time
// has come; mu is held.
func (worker *Worker) completeDueTasks() {
	if worker.hung != nil {
		return
	}
	now := worker.clock.Now()
	if now.Sub(worker.renewedAt) > worker.lease {
		worker.loseTasks()
		worker.incarnation++
		worker.renewedAt = now
	}
	for _, current := range worker.tasks {
		if current.State == api.TaskFetching && !now.Before(current.readyAt) {
			worker.startTask(current)
		}
		if current.State == api.TaskRunning && !now.Before(current.endsAt) {
			current.State, current.Cause = api.TaskExited, api.CauseDone
			worker.endTask(current.Task, true)
			worker.notifyChange()
		}
	}
}

// startTask starts a task whose image is there; mu is held.
func (worker *Worker) startTask(current *workerTask) {
	current.State = api.TaskRunning
	worker.notifyChange()
	switch {
	case worker.onStart == nil:
	case worker.onEnd != nil:
		worker.onStart(current.Task, current.term, worker.clock.Now())
	default:
		go worker.onStart(current.Task, current.term, worker.clock.Now())
	}
}

// scheduleTransitions has a task start and complete at the right moments; mu is held.
func (worker *Worker) scheduleTransitions(current *workerTask) {
	for _, at := range []time.Time{current.readyAt, current.endsAt} {
		if duration := at.Sub(worker.clock.Now()); duration > 0 {
			worker.clock.AfterFunc(duration, func() {
				worker.mu.Lock()
				defer worker.mu.Unlock()
				worker.completeDueTasks()
			})
		}
	}
}

// imageReadyAt is when the image of a task that was assigned now is there; it begins the pull if need be. mu is held.
func (worker *Worker) imageReadyAt(task string, now time.Time) time.Time {
	if worker.imagePull == nil {
		return now
	}
	image, duration := worker.imagePull(task)
	readyAt, ok := worker.cachedImages[image]
	if !ok {
		if worker.pullingUntil.Before(now) {
			worker.pullingUntil = now
		}
		worker.pullingUntil = worker.pullingUntil.Add(duration)
		readyAt = worker.pullingUntil
		worker.cachedImages[image] = readyAt
	}
	if readyAt.Before(now) {
		return now
	}
	return readyAt
}

// endTask reports the end of a task that was running; mu is held.
func (worker *Worker) endTask(task string, done bool) {
	if worker.onEnd != nil {
		worker.onEnd(task, done)
	}
}

// Taken sums up what the tasks that have not ended take, by the given function of a task's name.
func (worker *Worker) Taken(of func(task string) float64) (sum float64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for _, current := range worker.tasks {
		if current.State != api.TaskExited {
			sum += of(current.Task)
		}
	}
	return sum
}

// notifyChange has Run send the next heartbeat without waiting for the interval's end.
func (worker *Worker) notifyChange() {
	select {
	case worker.changes <- struct{}{}:
	default:
	}
}

// heartbeat makes the next heartbeat, its tasks in the order of their names. The protocol gives the attempts of one task
// no order, so every second heartbeat has the newest first; mu is held.
func (worker *Worker) heartbeat() *api.Heartbeat {
	worker.sequence++
	heartbeat := &api.Heartbeat{Machine: worker.Name, Address: worker.Address, Type: worker.Type, Zone: worker.Zone, Spot: worker.Spot, Incarnation: worker.incarnation, Seq: worker.sequence, Term: worker.term, Tasks: []api.TaskReport{}}
	if !worker.noticeAt.IsZero() {
		left := max(0, worker.noticeAt.Sub(worker.clock.Now()).Seconds())
		heartbeat.PreemptionNoticeS = &left
	}
	for _, current := range worker.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, current.TaskReport)
	}
	newestFirst := worker.sequence%2 == 0
	slices.SortFunc(heartbeat.Tasks, func(a, b api.TaskReport) int {
		if newestFirst {
			return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(b.Attempt, a.Attempt))
		}
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return heartbeat
}

// Restart ends all tasks at once, as if the worker's process had died and started again: with a new incarnation and
// without a fencing token.
func (worker *Worker) Restart() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.loseTasks()
	worker.term = 0
	worker.incarnation++
	worker.renewedAt = worker.clock.Now()
	if worker.hung != nil {
		close(worker.hung)
		worker.hung = nil
	}
	worker.notifyChange()
}

// Run sends heartbeats until ctx ends.
func (worker *Worker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		worker.waitWhileHung()
		worker.mu.Lock()
		worker.completeDueTasks()
		heartbeat, node, sent := worker.heartbeat(), worker.controllers[worker.controllerIndex], worker.clock.Now()
		worker.mu.Unlock()
		call, stop := context.WithTimeout(ctx, responseTimeout)
		status, body := worker.post(call, node, heartbeat)
		stop()
		worker.waitWhileHung()
		if worker.clock.Since(sent) > responseTimeout {
			status, body = 0, nil
		}
		wait := worker.acceptResponse(heartbeat, sent, status, body)
		select {
		case <-ctx.Done():
			return
		case <-worker.clock.After(wait):
		}
		if wait >= time.Second {
			continue
		}
		select {
		case <-ctx.Done():
		case <-worker.changes:
		case <-worker.clock.After(worker.interval - wait):
		}
	}
}

// acceptResponse applies the answer to a heartbeat that was sent at a time. It returns how long to wait at least until the
// next one.
func (worker *Worker) acceptResponse(heartbeat *api.Heartbeat, sent time.Time, status int, body any) time.Duration {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.completeDueTasks()
	if status == http.StatusOK {
		response, ok := body.(api.HeartbeatResponse)
		if !ok || heartbeat.Incarnation != worker.incarnation || response.Term < worker.term || response.Term == 0 {
			return worker.interval / 2
		}
		worker.renewedAt, worker.answeredAt = sent, worker.clock.Now()
		worker.executeCommands(response)
		return 500 * time.Millisecond
	}
	if to, ok := body.(api.Redirect); ok && status == http.StatusMisdirectedRequest {
		if i := slices.Index(worker.controllers, to.Controller); i >= 0 && i != worker.controllerIndex {
			worker.controllerIndex = i
			worker.notifyChange()
			return 100 * time.Millisecond
		}
	}
	worker.controllerIndex = (worker.controllerIndex + 1) % len(worker.controllers)
	return time.Second
}

// executeCommands executes the commands of an answer in order; mu is held.
func (worker *Worker) executeCommands(response api.HeartbeatResponse) {
	if response.Term > worker.term {
		worker.term = response.Term
		worker.notifyChange()
	}
	for _, command := range response.Commands {
		key := attemptKey{command.Task, command.Attempt}
		current := worker.tasks[key]
		switch {
		case command.Verb == api.CommandRun && current == nil:
			worker.runAttempt(key, response.Term)
		case command.Verb == api.CommandRun && current.State == api.TaskExited:
			worker.noteCrossed(LateStart)
		case command.Verb == api.CommandRun:
			worker.noteCrossed(RepeatedStart)
		case current == nil:
		case command.Verb == api.CommandKill && current.State != api.TaskExited:
			ran := current.State == api.TaskRunning
			current.State, current.Cause = api.TaskExited, api.CauseStopped
			if ran {
				worker.endTask(current.Task, false)
			}
			worker.notifyChange()
		case command.Verb == api.CommandClear && current.State == api.TaskExited:
			delete(worker.tasks, key)
		}
	}
}

// runAttempt starts an attempt that the worker does not know, or refuses it; mu is held.
func (worker *Worker) runAttempt(key attemptKey, term uint64) {
	now := worker.clock.Now()
	current := &workerTask{TaskReport: api.TaskReport{Task: key.task, Attempt: key.attempt, State: api.TaskFetching}, term: term}
	busy := worker.hasUnfinishedAttempt(key.task)
	worker.tasks[key] = current
	if busy {
		worker.noteCrossed(BusyStart)
		current.State, current.Cause = api.TaskExited, api.CauseBusy
		worker.notifyChange()
		return
	}
	if worker.failure != nil {
		if cause := worker.failure(key.task); cause != "" {
			current.State, current.Cause = api.TaskExited, cause
			worker.notifyChange()
			return
		}
	}
	current.readyAt = worker.imageReadyAt(key.task, now)
	current.endsAt = current.readyAt.Add(worker.runTime(key.task))
	worker.scheduleTransitions(current)
	if current.readyAt.After(now) {
		worker.notifyChange()
	} else {
		worker.startTask(current)
	}
}

// noteCrossed passes on that a start changed nothing; mu is held.
func (worker *Worker) noteCrossed(kind CrossedStart) {
	if worker.crossed != nil {
		worker.crossed(kind)
	}
}

// Notice announces that the machine will be taken after some time.
func (worker *Worker) Notice(after time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.noticeAt = worker.clock.Now().Add(after)
	worker.notifyChange()
}

// hasUnfinishedAttempt reports whether an attempt of a task is on the machine that has not exited; mu is held.
func (worker *Worker) hasUnfinishedAttempt(task string) bool {
	for key, current := range worker.tasks {
		if key.task == task && current.State != api.TaskExited {
			return true
		}
	}
	return false
}

// Report is the heartbeat that the worker would send now. Answer applies an answer to it, as Run does.
func (worker *Worker) Report() *api.Heartbeat {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.completeDueTasks()
	return worker.heartbeat()
}

// Answer applies the answer to a heartbeat that was sent at a time.
func (worker *Worker) Answer(heartbeat *api.Heartbeat, sent time.Time, response api.HeartbeatResponse) {
	worker.acceptResponse(heartbeat, sent, http.StatusOK, response)
}

// Direct serves POST /orders: it returns the worker's state after the commands, and whether they were executed.
func (worker *Worker) Direct(response api.HeartbeatResponse) (*api.Heartbeat, bool) {
	worker.waitWhileHung()
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.completeDueTasks()
	if response.Term < worker.term || response.Incarnation != worker.incarnation {
		return worker.heartbeat(), false
	}
	worker.executeCommands(response)
	return worker.heartbeat(), true
}
