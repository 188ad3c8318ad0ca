package experiment

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/api"
	"switchferry/connlimit"
	"switchferry/dataagent"
	"switchferry/httpapi"
	"switchferry/scheduler"
)

// machine is a simulated worker with a real data agent.
type machine struct {
	name, addr string
	agent      *dataagent.Agent

	// mu guards the fields below.
	mu     sync.Mutex
	seq    uint64
	term   uint64
	tasks  map[string]*api.TaskReport
	images *simplelru.LRU[string, struct{}]
	wake   chan struct{}
}

func (p *localityRun) startMachine(ctx context.Context, dir string, i int) (*machine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	images, err := simplelru.NewLRU[string, struct{}](6, nil)
	if err != nil {
		return nil, err
	}
	m := &machine{name: fmt.Sprintf("n-%06d", i), addr: l.Addr().String(), tasks: map[string]*api.TaskReport{}, images: images, wake: make(chan struct{}, 1)}
	m.agent, err = dataagent.New(ctx, dataagent.Options{Machine: m.name, Address: m.addr, Dir: filepath.Join(dir, m.name), CacheBytes: int64(p.CachedParts * p.PartBytes),
		Store: p.store.url, DownRate: p.LinkRate, UpRate: p.LinkRate})
	if err != nil {
		return nil, err
	}
	go m.agent.Run(ctx)
	go httpapi.Serve(ctx, l, m.agent.Handler(), connlimit.NewLimiter(0))
	return m, nil
}

// sendHeartbeats sends the heartbeats of the worker and of the agent until ctx ends.
func (m *machine) sendHeartbeats(ctx context.Context, p *localityRun) {
	for ctx.Err() == nil {
		response, _, _ := p.scheduler.HandleHeartbeat(m.heartbeat(), "")
		m.execute(p, response)
		stageHeartbeat := m.agent.NextHeartbeat()
		if stageOrder, _, refused := p.scheduler.HandleStageHeartbeat(&stageHeartbeat); !refused {
			_, _ = m.agent.Apply(&stageOrder)
		}
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (m *machine) applyStageOrder(leader *scheduler.Scheduler, order api.StageOrder) {
	_, _ = m.agent.Apply(&order)
	heartbeat := m.agent.NextHeartbeat()
	leader.HandleStageHeartbeat(&heartbeat)
}

func (m *machine) heartbeat() *api.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	r := &api.Heartbeat{Machine: m.name, Address: m.addr, Type: "m", Zone: "z", Incarnation: 1, Seq: m.seq, Term: m.term}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, *t)
	}
	return r
}

// execute executes commands as a worker does.
func (m *machine) execute(p *localityRun, response api.HeartbeatResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term = max(m.term, response.Term)
	for _, c := range response.Commands {
		t := m.tasks[c.Task]
		switch {
		case c.Verb == api.CommandRun && t == nil:
			t = &api.TaskReport{Task: c.Task, Attempt: c.Attempt, State: api.TaskFetching}
			m.tasks[c.Task] = t
			go m.runTask(p, t)
		case c.Verb == api.CommandClear && t != nil && t.State == api.TaskExited:
			delete(m.tasks, c.Task)
		}
	}
}

func (m *machine) runTask(p *localityRun, t *api.TaskReport) {
	id, _, _ := strings.Cut(t.Task, "/")
	p.mu.Lock()
	submittedAt, image := p.submittedAt[id], p.imageOf[id]
	p.mu.Unlock()
	m.mu.Lock()
	cached := m.images.Contains(image)
	m.images.Add(image, struct{}{})
	m.mu.Unlock()
	if !cached {
		time.Sleep(500 * time.Millisecond)
	}
	p.mu.Lock()
	_ = p.startDelays.RecordValue(time.Since(submittedAt).Milliseconds())
	p.mu.Unlock()
	m.setState(t, api.TaskRunning, "")
	time.Sleep(time.Duration(p.TaskRunS * float64(time.Second)))
	p.mu.Lock()
	p.lastEnd = time.Now()
	p.mu.Unlock()
	m.setState(t, api.TaskExited, api.CauseDone)
}

func (m *machine) setState(t *api.TaskReport, state, cause string) {
	m.mu.Lock()
	t.State, t.Cause = state, cause
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
