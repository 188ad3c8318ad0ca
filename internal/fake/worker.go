package fake

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
)

// Worker plays a worker to the letter of the protocol: session, tally, token, lease, its turns
// from node to node, commands. Its tasks run as long as Runs says and need no image.
type Worker struct {
	Host
	clock clockwork.Clock
	// Nodes are the controllers in order; Post sends a report to one. A status of 0: no
	// answer within the time of the context.
	nodes []string
	post  func(ctx context.Context, node string, r *api.Heartbeat) (status int, body any)
	every time.Duration
	lease time.Duration
	runs  func(task string) time.Duration

	mu      sync.Mutex
	at      int
	session uint64
	seq     uint64
	term    uint64
	renewed time.Time
	tasks   map[string]*workerTask
	change  chan struct{}
	// Killed counts tasks that its lease ended; Started all that it started.
	killed, started int
	answered        time.Time
	// hung is closed when the machine goes on, nil while it does; hungAt is since when it hangs.
	hung   chan struct{}
	hungAt time.Time
	// fetch is how long a task waits for its image; busy until when the machine's link is taken.
	fetch func(task string) (image string, d time.Duration)
	has   map[string]time.Time
	busy  time.Time
	// Starts is told of each start, without the lock.
	starts func(task string, term uint64, at time.Time)
	ends   func(task string, done bool)
}

// workerTask is a task on the machine: it has its image at ready, and completes at ends.
type workerTask struct {
	api.TaskReport
	term        uint64
	ready, ends time.Time
}

// answerPatience is how long a worker waits for the answer to a report.
const answerPatience = 4 * time.Second

// WorkerOptions are what a worker is made of.
type WorkerOptions struct {
	Host         Host
	Clock        clockwork.Clock
	Nodes        []string
	Post         func(ctx context.Context, node string, r *api.Heartbeat) (status int, body any)
	Every, Lease time.Duration
	Runs         func(task string) time.Duration
	Starts       func(task string, term uint64, at time.Time)
	// Ends is told of each end, in order with the starts and with the lock; nil: not told.
	Ends func(task string, done bool)
	// Fetch is the image that a task needs and how long it takes to fetch alone: images come one after the other
	// over the machine's link, and stay. Nil: tasks need none.
	Fetch func(task string) (image string, d time.Duration)
}

// NewWorker makes a worker that has just begun.
func NewWorker(o WorkerOptions) *Worker {
	return &Worker{Host: o.Host, clock: o.Clock, nodes: o.Nodes, post: o.Post, every: o.Every, lease: o.Lease, runs: o.Runs, starts: o.Starts, ends: o.Ends, fetch: o.Fetch, has: map[string]time.Time{},
		session: 1, renewed: o.Clock.Now(), tasks: map[string]*workerTask{}, change: make(chan struct{}, 1)}
}

// Seen is the highest token it has seen, when it was last answered, and how many of its
// tasks its lease ended.
func (w *Worker) Seen() (term uint64, answered time.Time, killed, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pass()
	for _, t := range w.tasks {
		if t.State == api.TaskRunning {
			running++
		}
	}
	return w.term, w.answered, w.killed, running
}

// Hang has the machine stand still, or go on: meanwhile it executes nothing, reports nothing and answers nobody,
// while its clock runs on. What it was sent meanwhile it executes when it goes on, if it still may.
func (w *Worker) Hang(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case on && w.hung == nil:
		w.pass()
		w.hung, w.hungAt = make(chan struct{}), w.clock.Now()
		hung := w.hung
		w.clock.AfterFunc(w.lease-w.clock.Since(w.renewed), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.hung == hung {
				// It may go on at any time within its lease, and no later: its tasks are over, though it finds that
				// out only when it does.
				w.forget()
			}
		})
	case !on && w.hung != nil:
		stood := w.clock.Since(w.hungAt)
		for _, t := range w.tasks {
			t.ready, t.ends = t.ready.Add(stood), t.ends.Add(stood)
			w.passAt(t)
		}
		w.busy = w.busy.Add(stood)
		close(w.hung)
		w.hung = nil
		w.pass()
	}
}

// forget kills and forgets all tasks.
func (w *Worker) forget() {
	for _, t := range w.tasks {
		if t.State == api.TaskRunning {
			w.killed++
			w.over(t.Task, false)
		}
	}
	w.tasks = map[string]*workerTask{}
}

// awake waits, without the lock, until the machine does not hang.
func (w *Worker) awake() {
	for {
		w.mu.Lock()
		hung := w.hung
		w.mu.Unlock()
		if hung == nil {
			return
		}
		<-hung
	}
}

// pass lets time pass: tasks get their images and end, and so may the lease.
func (w *Worker) pass() {
	if w.hung != nil {
		return
	}
	now := w.clock.Now()
	if now.Sub(w.renewed) > w.lease {
		w.forget()
		w.session++
		w.renewed = now
	}
	for _, t := range w.tasks {
		if t.State == api.TaskFetching && !now.Before(t.ready) {
			w.begin(t)
		}
		if t.State == api.TaskRunning && !now.Before(t.ends) {
			t.State, t.Cause = api.TaskExited, api.CauseDone
			w.over(t.Task, true)
			w.changed()
		}
	}
}

// begin has a task run that has its image.
func (w *Worker) begin(t *workerTask) {
	t.State = api.TaskRunning
	w.started++
	w.changed()
	switch {
	case w.starts == nil:
	case w.ends != nil:
		w.starts(t.Task, t.term, w.clock.Now())
	default:
		go w.starts(t.Task, t.term, w.clock.Now())
	}
}

// passAt lets time pass at the very moments at which a task has its image and completes.
func (w *Worker) passAt(t *workerTask) {
	for _, at := range []time.Time{t.ready, t.ends} {
		if d := at.Sub(w.clock.Now()); d > 0 {
			w.clock.AfterFunc(d, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.pass()
			})
		}
	}
}

// fetches is until when a task that is started now waits for its image.
func (w *Worker) fetches(task string, now time.Time) time.Time {
	if w.fetch == nil {
		return now
	}
	image, d := w.fetch(task)
	at, ok := w.has[image]
	if !ok {
		if w.busy.Before(now) {
			w.busy = now
		}
		w.busy = w.busy.Add(d)
		at = w.busy
		w.has[image] = at
	}
	if at.Before(now) {
		return now
	}
	return at
}

func (w *Worker) over(task string, done bool) {
	if w.ends != nil {
		w.ends(task, done)
	}
}

// Taken is the sum of what its tasks take that have not ended.
func (w *Worker) Taken(of func(task string) float64) (sum float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.State != api.TaskExited {
			sum += of(t.Task)
		}
	}
	return sum
}

func (w *Worker) changed() {
	select {
	case w.change <- struct{}{}:
	default:
	}
}

func (w *Worker) report() *api.Heartbeat {
	w.seq++
	r := &api.Heartbeat{Machine: w.Name, Address: w.Address, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Incarnation: w.session, Seq: w.seq, Term: w.term, Tasks: []api.TaskReport{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int {
		if a.Task < b.Task {
			return -1
		}
		return 1
	})
	return r
}

// Restart ends all tasks at once, as when the machine's worker dies and is back: in a new session, with
// no token seen.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget()
	w.term = 0
	w.session++
	w.renewed = w.clock.Now()
	if w.hung != nil {
		close(w.hung)
		w.hung = nil
	}
	w.changed()
}

// Run reports until the context ends.
func (w *Worker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.awake()
		w.mu.Lock()
		w.pass()
		r, node, sent := w.report(), w.nodes[w.at], w.clock.Now()
		w.mu.Unlock()
		call, stop := context.WithTimeout(ctx, answerPatience)
		status, body := w.post(call, node, r)
		stop()
		w.awake()
		if w.clock.Since(sent) > answerPatience {
			status, body = 0, nil
		}
		wait := w.take(r, sent, status, body)
		select {
		case <-ctx.Done():
			return
		case <-w.clock.After(wait):
		}
		if wait >= time.Second {
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.change:
		case <-w.clock.After(w.every - wait):
		}
	}
}

// take works an answer in, and gives how long to wait at least.
func (w *Worker) take(r *api.Heartbeat, sent time.Time, status int, body any) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pass()
	if status == http.StatusOK {
		o, ok := body.(api.HeartbeatResponse)
		if !ok || r.Incarnation != w.session || o.Term < w.term || o.Term == 0 {
			return w.every / 2
		}
		w.renewed, w.answered = sent, w.clock.Now()
		w.obey(o)
		return 500 * time.Millisecond
	}
	if to, ok := body.(api.Redirect); ok && status == http.StatusMisdirectedRequest {
		if i := slices.Index(w.nodes, to.Controller); i >= 0 && i != w.at {
			w.at = i
			w.changed()
			return 100 * time.Millisecond
		}
	}
	w.at = (w.at + 1) % len(w.nodes)
	return time.Second
}

// obey executes commands in order.
func (w *Worker) obey(o api.HeartbeatResponse) {
	if o.Term > w.term {
		w.term = o.Term
		w.changed()
	}
	now := w.clock.Now()
	for _, c := range o.Commands {
		t := w.tasks[c.Task]
		switch {
		case c.Verb == api.CommandRun && t == nil:
			ready := w.fetches(c.Task, now)
			t = &workerTask{TaskReport: api.TaskReport{Task: c.Task, Attempt: c.Attempt, State: api.TaskFetching}, term: o.Term, ready: ready, ends: ready.Add(w.runs(c.Task))}
			w.tasks[c.Task] = t
			w.passAt(t)
			if !ready.After(now) {
				w.begin(t)
			} else {
				w.changed()
			}
		case t == nil || t.Attempt != c.Attempt:
		case c.Verb == api.CommandKill && t.State != api.TaskExited:
			ran := t.State == api.TaskRunning
			t.State, t.Cause = api.TaskExited, api.CauseStopped
			if ran {
				w.over(t.Task, false)
			}
			w.changed()
		case c.Verb == api.CommandClear && t.State == api.TaskExited:
			delete(w.tasks, c.Task)
		}
	}
}

// Report is what it would report now; Answer has it take an answer to that, as Run does.
func (w *Worker) Report() *api.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pass()
	return w.report()
}

// Answer takes in the answer to a report that was sent then.
func (w *Worker) Answer(r *api.Heartbeat, sent time.Time, o api.HeartbeatResponse) {
	w.take(r, sent, http.StatusOK, o)
}

// Direct serves POST /orders: the report after them, and whether they were executed.
func (w *Worker) Direct(o api.HeartbeatResponse) (*api.Heartbeat, bool) {
	w.awake()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pass()
	if o.Term < w.term || o.Incarnation != w.session {
		return w.report(), false
	}
	w.obey(o)
	return w.report(), true
}
