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

// machine is a simulated worker with a real agent beside it.
type machine struct {
	name, addr string
	agent      *dataagent.Agent

	mu     sync.Mutex
	seq    uint64
	term   uint64
	tasks  map[string]*api.TaskReport
	images *simplelru.LRU[string, struct{}]
	kick   chan struct{}
}

func (p *playing) machine(ctx context.Context, dir string, i int) (*machine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	images, err := simplelru.NewLRU[string, struct{}](6, nil)
	if err != nil {
		return nil, err
	}
	m := &machine{name: fmt.Sprintf("n-%06d", i), addr: l.Addr().String(), tasks: map[string]*api.TaskReport{}, images: images, kick: make(chan struct{}, 1)}
	m.agent, err = dataagent.New(ctx, dataagent.Options{Machine: m.name, Address: m.addr, Dir: filepath.Join(dir, m.name), CacheBytes: int64(p.CachedParts * p.PartBytes),
		Store: p.store.url, DownRate: p.LinkRate, UpRate: p.LinkRate})
	if err != nil {
		return nil, err
	}
	go m.agent.Run(ctx)
	go httpapi.Serve(ctx, l, m.agent.Handler(), connlimit.NewLimiter(0))
	return m, nil
}

// live reports for worker and agent until the context ends.
func (m *machine) live(ctx context.Context, p *playing) {
	for ctx.Err() == nil {
		o, _, _ := p.core.HandleHeartbeat(m.report(), "")
		m.do(p, o)
		r := m.agent.NextHeartbeat()
		if so, _, refused := p.core.HandleStageHeartbeat(&r); !refused {
			_, _ = m.agent.Apply(&so)
		}
		select {
		case <-ctx.Done():
		case <-m.kick:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (m *machine) order(core *scheduler.Scheduler, o api.StageOrder) {
	_, _ = m.agent.Apply(&o)
	r := m.agent.NextHeartbeat()
	core.HandleStageHeartbeat(&r)
}

func (m *machine) report() *api.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	r := &api.Heartbeat{Machine: m.name, Address: m.addr, Type: "m", Zone: "z", Incarnation: 1, Seq: m.seq, Term: m.term}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, *t)
	}
	return r
}

// do carries out commands as a worker does.
func (m *machine) do(p *playing, o api.HeartbeatResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term = max(m.term, o.Term)
	for _, c := range o.Commands {
		t := m.tasks[c.Task]
		switch {
		case c.Verb == api.CommandRun && t == nil:
			t = &api.TaskReport{Task: c.Task, Attempt: c.Attempt, State: api.TaskFetching}
			m.tasks[c.Task] = t
			go m.run(p, t)
		case c.Verb == api.CommandClear && t != nil && t.State == api.TaskExited:
			delete(m.tasks, c.Task)
		}
	}
}

func (m *machine) run(p *playing, t *api.TaskReport) {
	id, _, _ := strings.Cut(t.Task, "/")
	p.mu.Lock()
	came, image := p.arrived[id], p.images[id]
	p.mu.Unlock()
	m.mu.Lock()
	has := m.images.Contains(image)
	m.images.Add(image, struct{}{})
	m.mu.Unlock()
	if !has {
		time.Sleep(500 * time.Millisecond)
	}
	p.mu.Lock()
	_ = p.delays.RecordValue(time.Since(came).Milliseconds())
	p.mu.Unlock()
	m.become(t, api.TaskRunning, "")
	time.Sleep(time.Duration(p.RunS * float64(time.Second)))
	p.mu.Lock()
	p.last = time.Now()
	p.mu.Unlock()
	m.become(t, api.TaskExited, api.CauseDone)
}

func (m *machine) become(t *api.TaskReport, state, cause string) {
	m.mu.Lock()
	t.State, t.Cause = state, cause
	m.mu.Unlock()
	select {
	case m.kick <- struct{}{}:
	default:
	}
}
