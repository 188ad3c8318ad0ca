package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/store"
)

// Worker is one hollow worker: a stand-in worker with a port of its own and connections of its own.
type Worker struct {
	*fake.Worker
	cluster *Cluster
	stop    context.CancelFunc
	client  *http.Client

	mu sync.Mutex
	// lost: neither its reports nor answers and commands get through.
	lost    bool
	changed chan struct{}
}

// AddWorkers starts so many machines, spread evenly over the zones.
func (c *Cluster) AddWorkers(n int, zones []string) error {
	c.mu.Lock()
	have := len(c.workers)
	c.mu.Unlock()
	for i := range n {
		if err := c.addWorker(func(address string) (fake.Host, bool) {
			return c.Cloud.AddAt(c.options.Type.Name, zones[(have+i)%len(zones)], address), true
		}); err != nil {
			return err
		}
	}
	return nil
}

// addWorker opens a worker's port and runs the worker; host gives its machine, given that port, unless there is none.
func (c *Cluster) addWorker(host func(address string) (fake.Host, bool)) error {
	ctx, stop := context.WithCancel(c.ctx)
	w := &Worker{cluster: c, stop: stop, changed: make(chan struct{}), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 20 * time.Second}}}
	ready := make(chan struct{})
	address, err := c.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		<-ready
		w.serveCommand(rw, r)
	}))
	if err != nil {
		stop()
		return err
	}
	h, there := host(address)
	if !there {
		stop()
		return nil
	}
	var members []string
	for _, x := range c.Controllers {
		members = append(members, x.Settings.Member)
	}
	o := fake.WorkerOptions{Host: h, Clock: c.clock, Nodes: members, Post: w.post, Every: seconds(c.options.Facts.Workers.ReportS), Lease: seconds(c.options.Facts.Workers.LeaseS),
		Runs: c.options.Runs}
	if audit := c.options.Audit; audit != nil {
		o.Starts = func(task string, term uint64, _ time.Time) { audit.Started(task, h.Name, term) }
		o.Ends = func(task string, done bool) { audit.Ended(task, h.Name, done) }
	}
	w.Worker = fake.NewWorker(o)
	c.mu.Lock()
	c.workers[h.Name] = w
	c.mu.Unlock()
	close(ready)
	go w.Run(ctx)
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Workers are all that run now.
func (c *Cluster) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*Worker, 0, len(c.workers))
	for _, w := range c.workers {
		out = append(out, w)
	}
	return out
}

// Running is how many tasks run on all workers.
func (c *Cluster) Running() (n int) {
	for _, w := range c.Workers() {
		_, _, _, running := w.Seen()
		n += running
	}
	return n
}

// rented boots a machine that a controller rented.
func (c *Cluster) rented(h fake.Host) {
	time.AfterFunc(seconds(c.options.Type.BootS), func() {
		if c.ctx.Err() != nil {
			return
		}
		_ = c.addWorker(func(address string) (fake.Host, bool) { return c.Cloud.Move(h.Name, address) })
	})
}

// returned ends a machine that a controller gave back.
func (c *Cluster) returned(h fake.Host) {
	c.mu.Lock()
	w := c.workers[h.Name]
	delete(c.workers, h.Name)
	c.mu.Unlock()
	if w == nil {
		return
	}
	w.stop()
	_, _, _, running := w.Seen()
	w.Restart()
	c.Returned(w, running)
}

// Lose lets nothing through to the worker or from it, or ends that.
func (w *Worker) Lose(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = on
	close(w.changed)
	w.changed = make(chan struct{})
}

// reachable waits until the worker and a place reach each other; false: the context ended before.
func (w *Worker) reachable(ctx context.Context, place string) bool {
	for w.cluster.network.wait(ctx, w.Zone, place) {
		w.mu.Lock()
		lost, changed := w.lost, w.changed
		w.mu.Unlock()
		if !lost {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
	return false
}

// post sends a report to a controller.
func (w *Worker) post(ctx context.Context, member string, report *api.Heartbeat) (status int, body any) {
	var to *Controller
	for _, x := range w.cluster.Controllers {
		if x.Settings.Member == member {
			to = x
		}
	}
	raw, err := json.Marshal(report)
	if err != nil || !w.reachable(ctx, to.Settings.Zone) {
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Settings.Listen+"/v1/report", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil || !w.reachable(ctx, to.Settings.Zone) {
		return 0, nil
	}
	w.cluster.Traffic.Add("reports to "+member, len(raw)+len(answer))
	return response.StatusCode, decodeAnswer(response.StatusCode, answer)
}

// decodeAnswer is an answer to a report as a worker understands it; nil: it does not.
func decodeAnswer(status int, raw []byte) any {
	if status == http.StatusOK {
		var orders api.HeartbeatResponse
		if json.Unmarshal(raw, &orders) != nil {
			return nil
		}
		return orders
	}
	var redirect api.Redirect
	_ = json.Unmarshal(raw, &redirect)
	return redirect
}

// serveCommand answers a direct command, as far as the leader that sent it reaches this worker.
func (w *Worker) serveCommand(rw http.ResponseWriter, r *http.Request) {
	var orders api.HeartbeatResponse
	if err := json.NewDecoder(r.Body).Decode(&orders); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	from := w.cluster.zoneOfTerm(orders.Term)
	if !w.reachable(r.Context(), from) {
		panic(http.ErrAbortHandler)
	}
	report, executed := w.Direct(orders)
	raw, err := json.Marshal(report)
	if err != nil || !w.reachable(r.Context(), from) {
		panic(http.ErrAbortHandler)
	}
	w.cluster.Traffic.Add("commands", int(max(0, r.ContentLength))+len(raw))
	if !executed {
		rw.WriteHeader(http.StatusConflict)
	}
	_, _ = rw.Write(raw)
}

// leading is who leads by the state service, and the term.
func (c *Cluster) leading() (member string, term uint64) {
	raw, stamp := c.State.Read(store.LeaderKey)
	var l store.LeaderRecord
	if json.Unmarshal(raw, &l) != nil {
		return "", 0
	}
	return l.Member, stamp
}

// watchLeader notes where the leader of each term is: commands carry a term, and no sender.
func (c *Cluster) watchLeader() {
	for c.Sleep(20 * time.Millisecond) {
		member, term := c.leading()
		if term == 0 {
			continue
		}
		for _, x := range c.Controllers {
			if x.Settings.Member == member {
				c.mu.Lock()
				c.terms[term] = x.Settings.Zone
				c.mu.Unlock()
			}
		}
	}
}

// zoneOfTerm is where the leader of a term is; RegionalServices where that is not known.
func (c *Cluster) zoneOfTerm(term uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.terms[term]
}
