package main

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
)

// attempt identifies an attempt of a task.
type attempt struct {
	task   string
	number uint64
}

// machine is a worker with its own port and connections.
type machine struct {
	*fake.Worker
	world  *world
	client *http.Client

	// hold decides whether a direct command is held up on its way, and for how long. It is nil if none is.
	mu   sync.Mutex
	hold func(commands *api.HeartbeatResponse) (late time.Duration, held bool)
	// listed is the number of tasks in the last report, and endedSince is when each of the ended ones was first reported.
	listed     int
	endedSince map[attempt]time.Time
}

// addMachine starts a machine of the type with its worker.
func (w *world) addMachine(machineType, zone string) (*machine, error) {
	m := &machine{world: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, listed: -1}
	ready := make(chan struct{})
	address, err := w.serve(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		<-ready
		m.serveDirect(writer, request)
	}))
	if err != nil {
		return nil, err
	}
	host := w.cloud.AddAt(machineType, zone, address)
	var members []string
	for _, controller := range w.controllers {
		members = append(members, controller.member)
	}
	facts := w.options.facts.Workers
	m.Worker = fake.NewWorker(fake.WorkerOptions{
		Host: host, Clock: w.clock, Controllers: members, Post: m.report,
		HeartbeatInterval: seconds(facts.HeartbeatIntervalS), Lease: seconds(facts.LeaseS), TaskDuration: w.options.taskDuration,
		OnStart: func(task string, _ uint64, _ time.Time) { w.taskStarted(task, host.Name) },
		OnEnd:   func(task string, done bool) { w.taskEnded(task, host.Name, done) },
	})
	w.machines = append(w.machines, m)
	close(ready)
	go m.Run(w.ctx)
	return m, nil
}

// setHold replaces the decision which direct commands are held up.
func (m *machine) setHold(hold func(*api.HeartbeatResponse) (time.Duration, bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hold = hold
}

// report sends a report to a controller.
func (m *machine) report(ctx context.Context, member string, heartbeat *api.Heartbeat) (int, any) {
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		return 0, nil
	}
	m.noteTasks(member, heartbeat)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.world.addressOf(member)+"/v1/report", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	response, err := m.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	if response.StatusCode == http.StatusOK {
		var decoded api.HeartbeatResponse
		if json.Unmarshal(answer, &decoded) != nil {
			return 0, nil
		}
		if len(decoded.Commands) > 0 {
			m.world.record.note("%s: answer to report %d: %s", m.Name, heartbeat.Seq, summary(decoded.Commands))
		}
		return response.StatusCode, decoded
	}
	var redirect api.Redirect
	_ = json.Unmarshal(answer, &redirect)
	return response.StatusCode, redirect
}

// endedTasks returns the number of tasks that have been reported as ended for some time and were not cleared.
func (m *machine) endedTasks(forAtLeast time.Duration) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, since := range m.endedSince {
		if time.Since(since) >= forAtLeast {
			n++
		}
	}
	return n
}

// noteTasks keeps which tasks a report lists as ended, and records it if it lists another number of tasks than the last
// one.
func (m *machine) noteTasks(member string, heartbeat *api.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ended := map[attempt]time.Time{}
	for _, task := range heartbeat.Tasks {
		if task.State != api.TaskExited {
			continue
		}
		key := attempt{task.Task, task.Attempt}
		since, known := m.endedSince[key]
		if !known {
			since = time.Now()
		}
		ended[key] = since
	}
	if m.listed != len(heartbeat.Tasks) || len(m.endedSince) != len(ended) {
		m.world.record.note("%s: report %d to %s lists %d tasks, %d of them ended", m.Name, heartbeat.Seq, member, len(heartbeat.Tasks), len(ended))
	}
	m.listed, m.endedSince = len(heartbeat.Tasks), ended
}

// serveDirect serves /orders and /show.
func (m *machine) serveDirect(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/show" {
		_ = json.NewEncoder(writer).Encode(m.NextHeartbeat())
		return
	}
	var commands api.HeartbeatResponse
	if json.NewDecoder(request.Body).Decode(&commands) != nil || commands.Term == 0 || commands.Incarnation == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	hold := m.hold
	m.mu.Unlock()
	if hold != nil {
		if late, held := hold(&commands); held {
			m.world.record.note("%s: /orders held up for %v, unanswered: %s", m.Name, late, summary(commands.Commands))
			time.AfterFunc(late, func() {
				_, executed := m.ExecuteCommands(commands)
				m.world.record.note("%s: held /orders arrives, executed %v: %s", m.Name, executed, summary(commands.Commands))
			})
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	heartbeat, executed := m.ExecuteCommands(commands)
	m.world.record.note("%s: /orders, executed %v: %s", m.Name, executed, summary(commands.Commands))
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !executed {
		writer.WriteHeader(http.StatusConflict)
	}
	_, _ = writer.Write(raw)
}
