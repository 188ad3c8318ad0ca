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

func newHeartbeatRelay(n *Controller) *heartbeatRelay {
	y := &heartbeatRelay{n: n, workers: map[string]*relayed{}, box: relay.NewOutbox(exchange.PacketLimits(n.settings.Facts.State), uint64(n.clock.Now().UnixMilli()))}
	y.post = n.newExchange(store.RelayKey, store.MailPrefix, tuning.RelayKeep)
	y.post.Lock, y.post.Outbox, y.post.Reader, y.post.Expire, y.post.TermEnded = &y.mu, y.box, &y.mail, y.expire, func() { y.reset(0) }
	return y
}

// reset starts anew for the leader of a term; 0: for none.
func (y *heartbeatRelay) reset(term uint64) {
	y.box.Reset(term)
	y.workers = map[string]*relayed{}
}

func (y *heartbeatRelay) expire(now time.Time) {
	for _, name := range y.box.Expire(now, 2*tuning.RelayKeep) {
		delete(y.workers, name)
	}
}

// handleHeartbeat answers a worker for the leader of a term.
func (y *heartbeatRelay) handleHeartbeat(r *api.Heartbeat, term uint64) api.HeartbeatResponse {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.box.Term() != term {
		y.reset(term)
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

// newExchange carries letters of one kind; what it carries for whom is to be filled in.
func (c *Controller) newExchange(up func(member string, i int) string, down string, keep time.Duration) *exchange.Exchange {
	return &exchange.Exchange{Member: c.settings.Member, Client: c.client, Clock: c.clock, Rate: c.relayLimiter, UplinkKey: up, DownlinkPrefix: down + c.settings.Member + "/", RefreshEvery: keep}
}

// followHeartbeatRelay is the leader's side: it takes in what siblings pass on.
func (c *Controller) followHeartbeatRelay(ctx context.Context, sched *Scheduler, committer *store.Committer, after uint64) {
	exchange.ClaimPackets(ctx, c.client, c.clock, committer, store.MailPrefix)
	exchange.Follow(ctx, c.client, c.clock, store.RelayPrefix, after, sched.Term(), sched.AcceptWorkerMessage)
}
