package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/store"
	"switchferry/tuning"
)

// heartbeatRelay answers workers in place of a leader that this node does not reach,
// while the state service says that it leads. Their reports go to the leader,
// and its commands come back, in letters through the state service (package courier).
// Without it, every worker on the far side of a cut would kill its tasks when its lease
// ends.
type heartbeatRelay struct {
	n    *Controller
	post *exchange.Exchange

	mu      sync.Mutex
	workers map[string]*relayed
	box     *relay.Outbox
	mail    relay.Reader
}

type relayed struct {
	report api.Heartbeat
	// streak is the first of the reports that came to us without a gap. Mail
	// derived from an earlier one may be overtaken by what other nodes told
	// the worker in between; told is the report that the mail was derived from
	// which we delivered last: an older one is not delivered after it.
	streak, told uint64
}

func newRelay(n *Controller) *heartbeatRelay {
	y := &heartbeatRelay{n: n, workers: map[string]*relayed{}, box: relay.NewOutbox(exchange.PacketLimits(n.set.Facts.State), uint64(n.clock.Now().UnixMilli()))}
	y.post = n.exchange(store.RelayKey, store.MailPrefix, tuning.RelayKeep)
	y.post.Lock, y.post.Outbox, y.post.Reader, y.post.Expire, y.post.TermEnded = &y.mu, y.box, &y.mail, y.forget, func() { y.begin(0) }
	return y
}

// mailroom holds a leader's letters of one kind.
func mailroom(c *Core, prefix string, key func(string, int) string, body func(member, machine string) json.RawMessage) *exchange.Mailboxes {
	return &exchange.Mailboxes{Term: c.term, Limits: exchange.PacketLimits(c.set.Facts.State), Prefix: prefix, Key: key, Body: body,
		MarkDirty: func(key string, urgency int, after func()) { c.hooks.Touch(key, urgency, after) }}
}

// exchange carries letters of one kind; what it carries for whom is to be filled in.
func (n *Controller) exchange(up func(member string, i int) string, down string, keep time.Duration) *exchange.Exchange {
	return &exchange.Exchange{Member: n.set.Member, Client: n.client, Clock: n.clock, Rate: n.letterRate, UplinkKey: up, DownlinkPrefix: down + n.set.Member + "/", RefreshEvery: keep}
}

// begin starts anew for the leader of a term; 0: for none.
func (y *heartbeatRelay) begin(term uint64) {
	y.box.Reset(term)
	y.workers = map[string]*relayed{}
}

func (y *heartbeatRelay) forget(now time.Time) {
	for _, name := range y.box.Expire(now, 2*tuning.RelayKeep) {
		delete(y.workers, name)
	}
}

// report answers a worker for the leader of a term.
func (y *heartbeatRelay) report(r *api.Heartbeat, term uint64) api.HeartbeatResponse {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.box.Term() != term {
		y.begin(term)
	}
	w := y.workers[r.Machine]
	if w != nil && !r.NewerThan(w.report.Incarnation, w.report.Seq) {
		// A copy that came late: passed on, it would undo what the worker said since, and the mail
		// that answered it would count as told.
		return api.HeartbeatResponse{Term: term, Commands: []api.Command{}}
	}
	changed := false
	if w == nil || w.report.Incarnation != r.Incarnation || r.Seq != w.report.Seq+1 {
		slog.Debug("relaying a machine's reports", "machine", r.Machine, "session", r.Incarnation)
		w, changed = &relayed{streak: r.Seq}, true
		y.workers[r.Machine] = w
	}
	changed = changed || r.Term != w.report.Term || (r.PreemptionNoticeS == nil) != (w.report.PreemptionNoticeS == nil) || !slices.Equal(r.Tasks, w.report.Tasks)
	w.report = *r
	o := api.HeartbeatResponse{Term: term, Commands: []api.Command{}}
	body, err := json.Marshal(r)
	if err != nil {
		slog.Error("a report cannot be passed on", "machine", r.Machine, "err", err)
		return o
	}
	y.box.Put(r.Machine, body, changed, y.n.clock.Now())
	var m store.RelayedCommands
	if raw := y.mail.MessageFor(term, r.Machine); raw == nil {
		return o
	} else if err := json.Unmarshal(raw, &m); err != nil {
		slog.Error("the leader's mail is damaged", "machine", r.Machine, "err", err)
		return o
	}
	if m.Incarnation == r.Incarnation && m.Seq >= max(w.streak, w.told) {
		o.Commands, w.told = m.Commands, m.Seq
	}
	return o
}

// relayed is the leader's side: it takes in what siblings pass on.
func (n *Controller) relayed(ctx context.Context, core *Core, com *store.Committer, after uint64) {
	exchange.ClaimPackets(ctx, n.client, n.clock, com, store.MailPrefix)
	exchange.Follow(ctx, n.client, n.clock, store.RelayPrefix, after, core.term, core.workerSays)
}

// workerSays takes in one report that a sibling passed on.
func (c *Core) workerSays(member string, m relay.Message) {
	var r api.Heartbeat
	err := json.Unmarshal(m.Body, &r)
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		slog.Error("malformed report", "through", member, "err", err)
		return
	}
	c.Relayed(member, &r)
}

// Relayed takes in a report that a sibling passed on.
func (c *Core) Relayed(member string, r *api.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Term > c.term {
		return
	}
	if _, ok := c.gone[r.Machine]; ok {
		return
	}
	m := c.machine(r.Machine)
	if !c.hear(m, r, member, true) || !m.Newer(r) || !c.loaded {
		return
	}
	if m.relay != member {
		slog.Debug("machine reports through a sibling", "machine", r.Machine, "sibling", member)
		c.direct(m)
	}
	m.relay = member
	c.take(m, r, byRelay)
	c.mail(m)
}

// direct notes that a machine reports without a relay, or through another one.
func (c *Core) direct(m *machine) {
	if m.relay == "" {
		return
	}
	c.workerMail.Remove(m.relay, m.Name, m.mail != nil)
	m.relay, m.mail = "", nil
}

// mail puts the commands for a machine behind a sibling into its letter. They are derived
// from its newest report, which Session and Seq name.
func (c *Core) mail(m *machine) {
	cmds := c.commands(m, byRelay)
	if len(cmds) == 0 && m.mail == nil {
		return
	}
	m.mail = nil
	if len(cmds) > 0 {
		raw, err := json.Marshal(store.RelayedCommands{Incarnation: m.Incarnation, Seq: m.Seq, Commands: cmds})
		if err != nil {
			slog.Error("commands cannot be encoded", "machine", m.Name, "err", err)
			return
		}
		m.mail = raw
	}
	c.workerMail.Update(m.relay, m.Name)
}

// mailBody is what stands in the mail for a machine behind a sibling.
func (c *Core) mailBody(member, name string) json.RawMessage {
	if m := c.machines[name]; m != nil && m.relay == member {
		return m.mail
	}
	return nil
}
