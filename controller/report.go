package controller

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/reachability"
	"switchferry/tuning"
)

// HandleHeartbeat takes in a worker's report and returns the answer. Via is the sibling that
// passed it on; empty: it came directly. Deposed: the worker has seen a higher
// term, and we no longer lead.
func (c *Core) Report(r *api.Heartbeat, via string) (o api.HeartbeatResponse, deposed, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o = api.HeartbeatResponse{Term: c.term, Commands: []api.Command{}}
	if r.Term > c.term {
		return o, true, false
	}
	if _, ok := c.gone[r.Machine]; ok {
		return o, false, true
	}
	m := c.machine(r.Machine)
	if !c.hear(m, r, via, false) {
		// A copy: whoever waits for its answer keeps its lease, and that is all.
		return o, false, false
	}
	c.direct(m)
	// A report that a command's answer has overtaken is no copy, but its task list is old. Before
	// the records are read only the lease is kept.
	if !m.Newer(r) || !c.loaded {
		return o, false, false
	}
	c.take(m, r, byReport)
	o.Commands = c.commands(m, byReport)
	return o, false, false
}

// hear notes that a machine reports. False: the report is no newer than one that was heard before, so
// it shows nothing (package contact).
func (c *Core) hear(m *machine, r *api.Heartbeat, via string, relayed bool) bool {
	now := c.now()
	news, proof := m.line.Observe(now, reachability.Heartbeat{Incarnation: r.Incarnation, Seq: r.Seq, HighestTerm: r.Term, Term: c.term, Via: via, Relayed: relayed})
	if !news {
		return false
	}
	c.heard, m.LastHeartbeat, m.via = now, now, via
	if proof {
		m.deafTold = false
		if via == "" {
			c.reached, c.failed = now, 0
		}
	}
	return true
}

// way is how a report came, or how commands go.
type way int

const (
	byReport way = iota
	byOrders
	byRelay
)

// take works a newer report into the state.
func (c *Core) take(m *machine, r *api.Heartbeat, by way) {
	now := c.now()
	first := !m.Up
	if first {
		slog.Info("machine up", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "after", now.Sub(m.RequestedAt).Round(time.Second))
		m.idle = now
		m.noted = false
		if m.ours {
			c.boots.RecordStartup(m.Type, m.RequestedAt, now.Sub(m.RequestedAt))
		}
		c.kick()
	}
	if r.PreemptionNoticeS != nil && m.PreemptedAt.IsZero() {
		slog.Info("machine will be taken", "machine", r.Machine, "in_s", *r.PreemptionNoticeS)
		c.kick()
	}
	m.ApplyHeartbeat(r, now)
	if m.Spec == nil {
		m.Spec = c.types[m.Type]
	}
	if first {
		c.recall(m)
	}
	for key, a := range m.assigns {
		t, ok := m.Tasks[key]
		if ok && t.Attempt == a.attempt {
			c.progress(m, a, t)
			continue
		}
		c.absent(m, a, by)
	}
	for key, e := range m.ended {
		if t, ok := m.Tasks[key]; !ok || t.Attempt != e.attempt {
			delete(m.ended, key)
		}
	}
	for key, t := range m.Tasks {
		if a := m.assigns[key]; a != nil && a.attempt == t.Attempt {
			continue
		}
		if e := m.ended[key]; e != nil && e.attempt == t.Attempt {
			continue
		}
		c.stray(m, key, t)
	}
}

// progress notes the state of a task that is where it should be.
func (c *Core) progress(m *machine, a *assign, t api.TaskReport) {
	now := c.now()
	if !a.seen {
		a.seen, a.sent = true, true
		a.job.settledStarts()
	}
	if a.session == 0 {
		a.session = m.Incarnation
	}
	if a.state != t.State {
		a.state = t.State
		if t.State == api.TaskRunning {
			a.running = now
			slog.Debug("task running", "task", a.key, "machine", m.Name, "after", now.Sub(a.since).Round(time.Millisecond), "fetched", !m.HasImage(a.job.Job.Image))
			c.used(m, a.job)
		}
	}
	if t.State == api.TaskExited {
		c.ended(m, a, t)
	}
}

// ended handles an exit.
func (c *Core) ended(m *machine, a *assign, t api.TaskReport) {
	j := a.job
	now := c.now()
	e := &ended{attempt: a.attempt, open: a.open, stored: t.Cause != api.CauseDone}
	m.ended[a.key] = e
	slog.Debug("task ended", "task", a.key, "machine", m.Name, "cause", t.Cause)
	if t.Cause == api.CauseDone {
		// The clear waits for the record: until it is stored, only the
		// worker knows that the task is done.
		m.ClearFailures()
		m.noted = false
		j.worked()
		c.used(m, j)
		c.release(a)
		c.markDone(j, a.task, func() {
			e.stored = true
			c.toPush[m] = true
		})
		return
	}
	switch t.Cause {
	case api.CauseError:
		c.erred(j, m, now)
	case api.CauseNoRoom, api.CauseBusy, api.CauseUnknown:
		slog.Info("start refused", "task", a.key, "machine", m.Name, "cause", t.Cause)
		m.refused = now.Add(tuning.BackoffBase)
		if t.Cause == api.CauseUnknown {
			j.pause = now.Add(tuning.BackoffBase)
		}
	}
	c.release(a)
	c.requeue(j, a.task)
	c.push(m)
}

// absent judges a task that the newest report lacks. Only a report that no
// command under way can overtake proves that the task is not there.
func (c *Core) absent(m *machine, a *assign, by way) {
	if !a.sent {
		return
	}
	if m.Term != c.term {
		// The worker has not seen our term: an earlier leader's command may
		// still reach it.
		return
	}
	if a.session != 0 && m.Incarnation > a.session {
		c.lost(a, "the worker began a new session")
		return
	}
	if a.open > 0 || a.answered > 0 && (by == byOrders || m.Seq <= a.answered) || a.mailed && !a.seen && by != byReport {
		return
	}
	switch {
	case a.seen:
		c.lost(a, "the worker no longer has it")
	case a.session == 0:
		c.lost(a, "an earlier leader's start never arrived")
	case a.stop:
		c.lost(a, "stopped before it started")
	default:
		// The command was lost: the same attempt goes out again.
		a.sent, a.answered, a.mailed = false, 0, false
	}
}

// stray judges a task that should not be there.
func (c *Core) stray(m *machine, key string, t api.TaskReport) {
	id, task, ok := splitTask(key)
	j := c.jobs[id]
	if !ok || j == nil || task >= j.total {
		if t.State == api.TaskExited {
			m.ended[key] = &ended{attempt: t.Attempt, stored: true}
		}
		return
	}
	if t.State == api.TaskExited {
		e := &ended{attempt: t.Attempt, stored: t.Cause != api.CauseDone}
		m.ended[key] = e
		if t.Cause == api.CauseDone {
			c.takeOut(j, task)
			c.markDone(j, task, func() {
				e.stored = true
				c.toPush[m] = true
			})
		}
		return
	}
	if j.live[task] == nil && m.assigns[key] == nil {
		// A task that we know nothing of runs: from here on it counts.
		slog.Info("task found", "task", key, "machine", m.Name, "attempt", t.Attempt)
		a := c.hold(j, task, m, t.Attempt)
		a.committed = true
		c.progress(m, a, t)
		c.takeOut(j, task)
		if j.FinalState != "" || j.bits.Has(task) {
			c.stopTask(a, 0, "not wanted")
			return
		}
		c.touchShard(j, task, nil)
	}
}

// stopTask asks for a task to be stopped.
func (c *Core) stopTask(a *assign, grace float64, why string) {
	if a.stop && a.grace <= grace {
		return
	}
	slog.Info("stopping task", "task", a.key, "machine", a.machine.Name, "why", why, "wind_down_s", grace)
	if !a.stop {
		c.leaving[a.job.Job.Team] = c.leaving[a.job.Job.Team].Add(a.job.need)
	}
	a.stop, a.grace = true, grace
	if !a.sent {
		// Never sent by anyone, so it is nowhere.
		c.release(a)
		c.requeue(a.job, a.task)
		return
	}
	c.push(a.machine)
}

// commands derives what to tell a worker from what is wanted and what it
// reported. Repeating them is harmless.
func (c *Core) commands(m *machine, by way) []api.Command {
	out := []api.Command{}
	kill := func(key string, attempt uint64, grace float64) {
		out = append(out, api.Command{Verb: api.CommandKill, Task: key, Attempt: attempt, GraceS: &grace})
	}
	for _, a := range m.assigns {
		if a.stop && a.seen && (a.state != api.TaskSaving || a.grace == 0) {
			kill(a.key, a.attempt, a.grace)
		}
	}
	for key, t := range m.Tasks {
		if a := m.assigns[key]; a != nil && a.attempt == t.Attempt {
			continue
		}
		if e := m.ended[key]; e != nil && e.attempt == t.Attempt {
			// A run of this attempt that is still under way would start it
			// again after a clear.
			if e.stored && e.open == 0 {
				out = append(out, api.Command{Verb: api.CommandClear, Task: key, Attempt: t.Attempt})
			}
			continue
		}
		if t.State != api.TaskExited {
			kill(key, t.Attempt, 0)
		}
	}
	if !c.hooks.Valid() || m.returning {
		return out
	}
	for _, a := range m.assigns {
		if !a.committed || a.stop || a.seen || a.sent && (a.session == 0 || a.session != m.Incarnation) {
			continue
		}
		if by == byOrders && (a.open > 0 || a.answered > 0 || a.mailed) {
			continue
		}
		ready := true
		for _, v := range a.victims {
			if v.job.live[v.task] == v && !(v.stop && v.grace == 0 && v.seen) {
				ready = false
			}
		}
		if !ready {
			continue
		}
		a.sent, a.session = true, m.Incarnation
		switch by {
		case byReport:
			a.answered = m.Seq
		case byOrders:
			a.open++
		case byRelay:
			a.mailed = true
		}
		slog.Debug("starting task", "task", a.key, "machine", m.Name, "attempt", a.attempt, "direct", by == byOrders)
		out = append(out, api.Command{Verb: api.CommandRun, Task: a.key, Attempt: a.attempt})
	}
	return out
}

// push sends a machine its commands directly, one request at a time.
func (c *Core) push(m *machine) {
	if !m.Up || m.returning || c.gone[m.Name] != (time.Time{}) {
		return
	}
	if m.relay != "" {
		c.mail(m)
		return
	}
	if m.sending {
		m.again = true
		return
	}
	cmds := c.commands(m, byOrders)
	if len(cmds) == 0 {
		return
	}
	m.sending = true
	c.hooks.Send(m.Name, m.Address, api.HeartbeatResponse{Term: c.term, Incarnation: m.Incarnation, Commands: cmds})
}

// Refused takes in that a machine took no connection for a command.
func (c *Core) Refused(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[name]; m != nil {
		m.line.CommandLost()
	}
}

// Answered takes in the outcome of a direct command. Certain: the worker
// answered, or the command never left; otherwise it may still be executed.
func (c *Core) Answered(name string, o api.HeartbeatResponse, r *api.Heartbeat, certain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[name]
	if m == nil {
		return
	}
	m.sending = false
	if certain {
		for _, cmd := range o.Commands {
			if cmd.Verb != api.CommandRun {
				continue
			}
			if a := m.assigns[cmd.Task]; a != nil && a.attempt == cmd.Attempt {
				a.open--
				if r == nil && a.open == 0 && !a.seen && a.answered == 0 && !a.mailed {
					a.sent = false
				}
			}
			if e := m.ended[cmd.Task]; e != nil && e.attempt == cmd.Attempt && e.open > 0 {
				e.open--
			}
		}
	}
	switch {
	case r != nil && r.Machine == name:
		// A worker that answers shows that our own network works.
		c.heard = c.now()
		c.reached, c.failed = c.heard, 0
		m.line.CommandAnswered(c.heard, r.Seq)
		m.deafTold = false
	case r == nil:
		c.failed++
		if !certain {
			m.line.CommandLost()
		}
	}
	// A machine that has not reported in this term has its whole lease to find
	// us; only its own report makes it count as heard.
	if r != nil && m.Up && r.Machine == name && r.Term <= c.term && m.Newer(r) {
		c.take(m, r, byOrders)
	}
	again := m.again
	m.again = false
	if again && (certain || r != nil) {
		c.push(m)
	}
}
