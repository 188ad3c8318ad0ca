package fake

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
)

// Worker is a fake worker that follows the protocol in full: incarnation, sequence numbers, fencing token, lease, the
// order in which it tries controllers, and commands. Its tasks execute nothing and complete after a duration that the
// caller determines. It is safe for concurrent use.
type Worker struct {
	Host
	clock clockwork.Clock
	// The following fields are copied from WorkerOptions.
	controllers  []string
	post         func(ctx context.Context, controller string, heartbeat *api.Heartbeat) (status int, body any)
	interval     time.Duration
	lease        time.Duration
	taskDuration func(task string) time.Duration

	// mu guards the fields below and the tasks.
	mu sync.Mutex
	// controllerIndex is the index of the controller to which the next heartbeat goes.
	controllerIndex int
	incarnation     uint64
	sequence        uint64
	// term is the highest fencing token seen since the last restart.
	term uint64
	// renewedAt is the start of the lease: when the last answered heartbeat was sent, or a later start of the worker.
	renewedAt time.Time
	// leaseTimer ends the tasks when the lease expires, whatever Run waits for then. It is nil while Run is not running.
	leaseTimer clockwork.Timer
	tasks      map[attemptKey]*workerTask
	// wakeups signals Run to send a heartbeat early.
	wakeups chan struct{}
	// killed counts the running tasks that ended because the lease expired or the worker restarted.
	killed int
	// answeredAt is when the last accepted answer to a heartbeat arrived.
	answeredAt time.Time
	// resumed is closed when a suspended machine continues, and nil while the machine is not suspended.
	resumed chan struct{}
	// suspendedAt is when the machine was last suspended.
	suspendedAt time.Time
	// imagePull returns a task's image and the duration of its pull, as in WorkerOptions. It may be nil.
	imagePull func(task string) (image string, d time.Duration)
	// cachedImages is when the pull of each image completes or completed.
	cachedImages map[string]time.Time
	// pullingUntil is when all pulls so far are complete.
	pullingUntil time.Time
	// The following callbacks are copied from WorkerOptions. They may be nil.
	onStart            func(task string, term uint64, at time.Time)
	onEnd              func(task string, done bool)
	startFailure       func(task string) (cause string)
	onIneffectiveStart func(kind IneffectiveStart)
	// preemptionAt is when the cloud will reclaim the machine, zero without a preemption notice.
	preemptionAt time.Time
}

// attemptKey identifies an attempt of a task. A worker may have several attempts of a task, of which at most one has
// not exited.
type attemptKey struct {
	task    string
	attempt uint64
}

// workerTask is an attempt on the machine. Its image is present at readyAt, when it starts, and it completes at endsAt.
type workerTask struct {
	api.TaskReport
	term            uint64
	readyAt, endsAt time.Time
}

// responseTimeout is the maximum time for which a worker waits for the answer to a heartbeat.
const responseTimeout = 4 * time.Second

// WorkerOptions configure a worker. A field is required unless its comment states what nil means.
type WorkerOptions struct {
	Host  Host
	Clock clockwork.Clock
	// Controllers are the controllers in the order in which the worker tries them.
	Controllers []string
	// Post sends a heartbeat to a controller and returns the status and the decoded body of the answer: an
	// api.HeartbeatResponse or an api.Redirect. It returns status 0 if there is no answer before the context ends.
	Post func(ctx context.Context, controller string, heartbeat *api.Heartbeat) (status int, body any)
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// Lease is the time for which tasks keep running after the last answered heartbeat was sent.
	Lease time.Duration
	// TaskDuration returns how long a task runs.
	TaskDuration func(task string) time.Duration
	// OnStart, if not nil, is called for each start of a task. If OnEnd is set too, the worker's lock is held; otherwise
	// the call is made in a new goroutine without the lock.
	OnStart func(task string, term uint64, at time.Time)
	// OnEnd, if not nil, is called for each end of a running task, with the worker's lock held and in order with the calls
	// of OnStart.
	OnEnd func(task string, done bool)
	// ImagePull returns the image that a task needs and how long its pull takes. Images are pulled one at a time and never
	// evicted. If it is nil, tasks need no image.
	ImagePull func(task string) (image string, d time.Duration)
	// StartFailure, if not nil, returns the exit cause with which a task that is being started ends at once, empty if the
	// task runs.
	StartFailure func(task string) (cause string)
	// OnIneffectiveStart, if not nil, is called with the worker's lock held for each start command that has no effect.
	OnIneffectiveStart func(kind IneffectiveStart)
}

// NewWorker returns a worker without tasks, whose lease begins now.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{Host: options.Host, clock: options.Clock, controllers: options.Controllers, post: options.Post, interval: options.HeartbeatInterval, lease: options.Lease, taskDuration: options.TaskDuration, onStart: options.OnStart, onEnd: options.OnEnd, imagePull: options.ImagePull, startFailure: options.StartFailure, onIneffectiveStart: options.OnIneffectiveStart, cachedImages: map[string]time.Time{},
		incarnation: 1, renewedAt: options.Clock.Now(), tasks: map[attemptKey]*workerTask{}, wakeups: make(chan struct{}, 1)}
}

// Status returns as term the highest fencing token that the worker has seen since its last restart, the time of the last
// accepted answer to a heartbeat, the number of running tasks that ended because the lease expired or the worker
// restarted, and the number of tasks that run now.
func (worker *Worker) Status() (term uint64, answered time.Time, killed, running int) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.applyDueTransitions()
	for _, t := range worker.tasks {
		if t.State == api.TaskRunning {
			running++
		}
	}
	return worker.term, worker.answeredAt, worker.killed, running
}

// Suspend suspends the machine or resumes it. A suspended machine executes nothing and sends neither heartbeats nor
// answers, but its clock keeps running. Commands that arrive in the meantime are executed after it resumes, if their
// term and incarnation are still current.
func (worker *Worker) Suspend(suspend bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	switch {
	case suspend && worker.resumed == nil:
		worker.applyDueTransitions()
		worker.resumed, worker.suspendedAt = make(chan struct{}), worker.clock.Now()
	case !suspend && worker.resumed != nil:
		suspendedFor := worker.clock.Since(worker.suspendedAt)
		for _, current := range worker.tasks {
			current.readyAt, current.endsAt = current.readyAt.Add(suspendedFor), current.endsAt.Add(suspendedFor)
			worker.scheduleTransitions(current)
		}
		worker.pullingUntil = worker.pullingUntil.Add(suspendedFor)
		close(worker.resumed)
		worker.resumed = nil
		worker.applyDueTransitions()
	}
}

// endAllTasks ends and removes all tasks. The caller holds mu.
func (worker *Worker) endAllTasks() {
	for _, current := range worker.tasks {
		if current.State == api.TaskRunning {
			worker.killed++
			worker.endTask(current.Task, false)
		}
	}
	worker.tasks = map[attemptKey]*workerTask{}
}

// waitWhileSuspended waits until the machine is not suspended. The caller must not hold mu.
func (worker *Worker) waitWhileSuspended() {
	for {
		worker.mu.Lock()
		resumed := worker.resumed
		worker.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// applyDueTransitions ends all tasks if the lease has expired, starts tasks whose image is present and completes tasks
// whose run time has passed. While the machine is suspended, tasks only end; the worker detects the expiry of the lease
// after it resumes. The caller holds mu.
func (worker *Worker) applyDueTransitions() {
	now := worker.clock.Now()
	expired := now.Sub(worker.renewedAt) > worker.lease
	if expired {
		worker.endAllTasks()
	}
	if worker.resumed != nil {
		return
	}
	if expired {
		worker.incarnation++
		worker.beginLease(now)
	}
	for _, current := range worker.tasks {
		if current.State == api.TaskFetching && !now.Before(current.readyAt) {
			worker.startTask(current)
		}
		if current.State == api.TaskRunning && !now.Before(current.endsAt) {
			current.State, current.Cause = api.TaskExited, api.CauseDone
			worker.endTask(current.Task, true)
			worker.wakeRun()
		}
	}
}

// beginLease begins a lease at the given time. The caller holds mu.
func (worker *Worker) beginLease(at time.Time) {
	worker.renewedAt = at
	if worker.leaseTimer != nil {
		worker.leaseTimer.Reset(worker.untilLeaseExpired())
	}
}

// untilLeaseExpired returns the time until the lease has expired. The caller holds mu.
func (worker *Worker) untilLeaseExpired() time.Duration {
	return worker.lease - worker.clock.Since(worker.renewedAt) + time.Nanosecond
}

// startLeaseTimer starts the timer that ends the tasks and reports the new incarnation when the lease expires, also
// while Run waits for the response to a heartbeat. It returns a function that stops the timer.
func (worker *Worker) startLeaseTimer() (stop func()) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	timer := worker.clock.AfterFunc(worker.untilLeaseExpired(), func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		worker.applyDueTransitions()
		worker.wakeRun()
	})
	worker.leaseTimer = timer
	return func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		timer.Stop()
		worker.leaseTimer = nil
	}
}

// startTask starts a task whose image is present. The caller holds mu.
func (worker *Worker) startTask(current *workerTask) {
	current.State = api.TaskRunning
	worker.wakeRun()
	switch {
	case worker.onStart == nil:
	case worker.onEnd != nil:
		worker.onStart(current.Task, current.term, worker.clock.Now())
	default:
		go worker.onStart(current.Task, current.term, worker.clock.Now())
	}
}

// scheduleTransitions sets timers for the start and the completion of a task. The caller holds mu.
func (worker *Worker) scheduleTransitions(current *workerTask) {
	for _, at := range []time.Time{current.readyAt, current.endsAt} {
		if duration := at.Sub(worker.clock.Now()); duration > 0 {
			worker.clock.AfterFunc(duration, func() {
				worker.mu.Lock()
				defer worker.mu.Unlock()
				worker.applyDueTransitions()
			})
		}
	}
}

// imageReadyAt returns when the image of a task that is assigned now is present, and starts its pull if there is none
// yet. The caller holds mu.
func (worker *Worker) imageReadyAt(task string, now time.Time) time.Time {
	if worker.imagePull == nil {
		return now
	}
	image, pullDuration := worker.imagePull(task)
	readyAt, ok := worker.cachedImages[image]
	if !ok {
		if worker.pullingUntil.Before(now) {
			worker.pullingUntil = now
		}
		worker.pullingUntil = worker.pullingUntil.Add(pullDuration)
		readyAt = worker.pullingUntil
		worker.cachedImages[image] = readyAt
	}
	if readyAt.Before(now) {
		return now
	}
	return readyAt
}

// endTask reports the end of a task that was running. The caller holds mu.
func (worker *Worker) endTask(task string, done bool) {
	if worker.onEnd != nil {
		worker.onEnd(task, done)
	}
}

// UnfinishedUse returns the sum of the resource use of all tasks that have not exited, where use returns the resource
// use of a task.
func (worker *Worker) UnfinishedUse(use func(task string) float64) (sum float64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for _, current := range worker.tasks {
		if current.State != api.TaskExited {
			sum += use(current.Task)
		}
	}
	return sum
}

// wakeRun signals Run to send the next heartbeat before the interval ends.
func (worker *Worker) wakeRun() {
	select {
	case worker.wakeups <- struct{}{}:
	default:
	}
}

// heartbeat returns the next heartbeat, with tasks sorted by name. The protocol does not order the attempts of a task,
// so every second heartbeat lists the newest attempt first. The caller holds mu.
func (worker *Worker) heartbeat() *api.Heartbeat {
	worker.sequence++
	heartbeat := &api.Heartbeat{Machine: worker.Name, Address: worker.Address, Type: worker.Type, Zone: worker.Zone, Spot: worker.Spot, Incarnation: worker.incarnation, Seq: worker.sequence, Term: worker.term, Tasks: []api.TaskReport{}}
	if !worker.preemptionAt.IsZero() {
		left := max(0, worker.preemptionAt.Sub(worker.clock.Now()).Seconds())
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

// Restart ends all tasks, as if the worker's process had crashed and restarted. The worker continues with a new
// incarnation and without a fencing token. A suspended machine resumes.
func (worker *Worker) Restart() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.endAllTasks()
	worker.term = 0
	worker.incarnation++
	worker.beginLease(worker.clock.Now())
	if worker.resumed != nil {
		close(worker.resumed)
		worker.resumed = nil
	}
	worker.wakeRun()
}

// Run sends heartbeats until ctx ends, and ends the tasks when the lease expires.
func (worker *Worker) Run(ctx context.Context) {
	stopLeaseTimer := worker.startLeaseTimer()
	defer stopLeaseTimer()
	for ctx.Err() == nil {
		worker.waitWhileSuspended()
		worker.mu.Lock()
		worker.applyDueTransitions()
		heartbeat, controller, sent := worker.heartbeat(), worker.controllers[worker.controllerIndex], worker.clock.Now()
		worker.mu.Unlock()
		call, stop := context.WithTimeout(ctx, responseTimeout)
		status, body := worker.post(call, controller, heartbeat)
		stop()
		worker.waitWhileSuspended()
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
		case <-worker.wakeups:
		case <-worker.clock.After(worker.interval - wait):
		}
	}
}

// AnnouncePreemption has the worker report a preemption notice: the cloud will reclaim the machine after the given
// time.
func (worker *Worker) AnnouncePreemption(after time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.preemptionAt = worker.clock.Now().Add(after)
	worker.wakeRun()
}

// NextHeartbeat returns the next heartbeat. Each call takes a sequence number. It is for callers that send heartbeats
// themselves and do not use Run.
func (worker *Worker) NextHeartbeat() *api.Heartbeat {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.applyDueTransitions()
	return worker.heartbeat()
}
