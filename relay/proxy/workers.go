package proxy

import (
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/store"
	"switchferry/tuning"
)

// Workers answers workers in place of an unreachable leader. It is safe for concurrent use.
type Workers struct {
	// Exchange relays the packets of workers. The owner of the Workers must run it.
	Exchange *exchange.Exchange

	clock clockwork.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// workers maps machine names to workers.
	workers map[string]*workerState
	outbox  *relay.Outbox
	inbox   relay.Reader
}

// workerState is a proxy's state of one worker.
type workerState struct {
	heartbeat api.Heartbeat
	// firstSeq is the number of the first heartbeat of the current sequence. A new sequence begins after a gap in the
	// numbers, with a new fencing token above the leader's term, and with each heartbeat that was forwarded to the leader
	// directly. Commands derived from an earlier heartbeat may be out of date, since the worker may have received newer
	// ones from other controllers in between, also from a later leader.
	firstSeq uint64
	// deliveredSeq is the number of the heartbeat from which the last delivered commands were derived. Commands derived
	// from an earlier heartbeat are not delivered after them.
	deliveredSeq uint64
}

// NewWorkers returns a proxy that has received no heartbeat yet.
func NewWorkers(options Options) *Workers {
	w := &Workers{clock: options.Clock, workers: map[string]*workerState{}, outbox: options.newOutbox()}
	w.Exchange = options.newExchange(store.RelayKey, store.RelayResponsePrefix, tuning.RelayRefreshInterval)
	w.Exchange.Lock, w.Exchange.Outbox, w.Exchange.Reader = &w.mu, w.outbox, &w.inbox
	w.Exchange.Expire, w.Exchange.TermEnded = w.expire, func() { w.reset(0) }
	return w
}

// reset removes all workers and addresses the outbox to the leader of a term, or to none if the term is 0. w.mu must be
// held.
func (w *Workers) reset(term uint64) {
	w.outbox.Reset(term)
	w.workers = map[string]*workerState{}
}

// expire removes the workers that have sent no heartbeat for senderTimeout. w.mu must be held.
func (w *Workers) expire(now time.Time) {
	for _, name := range w.outbox.Expire(now, senderTimeout) {
		delete(w.workers, name)
	}
}

// HandleHeartbeat relays a worker's heartbeat to the leader of a term and returns the commands that the leader has sent
// for the worker. It returns none if they may be out of date. The response carries the worker's own fencing token if that
// is above the term, because the leader raised it or because a later leader issued it.
func (w *Workers) HandleHeartbeat(heartbeat *api.Heartbeat, term uint64) api.HeartbeatResponse {
	return w.handleHeartbeat(heartbeat, term, false)
}

// HandleForwardedHeartbeat is HandleHeartbeat for a heartbeat that was forwarded to the leader directly, but without a
// reply in time. The leader may have handled the heartbeat and sent other commands since. A leader of an older version
// then counts all relayed starts as settled.
func (w *Workers) HandleForwardedHeartbeat(heartbeat *api.Heartbeat, term uint64) api.HeartbeatResponse {
	return w.handleHeartbeat(heartbeat, term, true)
}

// handleHeartbeat implements HandleHeartbeat, and HandleForwardedHeartbeat if forwarded is set.
func (w *Workers) handleHeartbeat(heartbeat *api.Heartbeat, term uint64, forwarded bool) api.HeartbeatResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	response := api.HeartbeatResponse{Term: max(term, heartbeat.Term), Commands: []api.Command{}}
	if w.outbox.Term() != term {
		w.reset(term)
	}
	worker := w.workers[heartbeat.Machine]
	if worker != nil && !heartbeat.NewerThan(worker.heartbeat.Incarnation, worker.heartbeat.Seq) {
		// This is a delayed duplicate. If it were relayed, the leader would replace the worker's newer status by an old one,
		// and the commands in the answer to it would count as delivered.
		return response
	}
	newSequence := worker == nil || worker.heartbeat.Incarnation != heartbeat.Incarnation || heartbeat.Seq != worker.heartbeat.Seq+1 ||
		heartbeat.Term > term && heartbeat.Term != worker.heartbeat.Term
	if newSequence {
		slog.Debug("relaying a worker's heartbeats", "machine", heartbeat.Machine, "session", heartbeat.Incarnation)
	}
	changed := newSequence || !sameStatus(heartbeat, &worker.heartbeat)
	if newSequence || forwarded {
		// Commands derived from earlier heartbeats are not delivered any more: the worker may have received newer ones from
		// another controller.
		worker = &workerState{firstSeq: heartbeat.Seq}
		w.workers[heartbeat.Machine] = worker
	}
	worker.heartbeat = *heartbeat
	body, err := json.Marshal(heartbeat)
	if err != nil {
		slog.Error("heartbeat cannot be encoded", "machine", heartbeat.Machine, "err", err)
		return response
	}
	commands, outdated := w.deliver(worker, term)
	// If commands are outdated, the heartbeat is sent at once, so that the leader derives them again from it.
	w.outbox.Put(heartbeat.Machine, body, changed || outdated, w.clock.Now())
	response.Commands = commands
	return response
}

// sameStatus reports whether two heartbeats of a worker are equal in term, tasks and whether there is a preemption
// notice.
func sameStatus(a, b *api.Heartbeat) bool {
	return a.Term == b.Term && (a.PreemptionNoticeS == nil) == (b.PreemptionNoticeS == nil) && slices.Equal(a.Tasks, b.Tasks)
}

// deliver returns the commands that the leader of a term has sent for a worker, and records that they are delivered.
// The result outdated is set if there are commands that are not delivered because they were derived more than
// tuning.RelayedCommandHeartbeats heartbeats ago: the leader counts a start among them as settled once it has seen a
// later heartbeat (rule 4 of docs/design.md). w.mu must be held.
func (w *Workers) deliver(worker *workerState, term uint64) (commands []api.Command, outdated bool) {
	noCommands := []api.Command{}
	machine := worker.heartbeat.Machine
	encoded := w.inbox.MessageFor(term, machine)
	if encoded == nil {
		return noCommands, false
	}
	var message store.RelayedCommands
	if err := json.Unmarshal(encoded, &message); err != nil {
		slog.Error("corrupt relayed message", "machine", machine, "err", err)
		return noCommands, false
	}
	if message.Incarnation != worker.heartbeat.Incarnation || message.Seq < max(worker.firstSeq, worker.deliveredSeq) {
		return noCommands, false
	}
	if worker.heartbeat.Seq > message.Seq+tuning.RelayedCommandHeartbeats {
		return noCommands, true
	}
	worker.deliveredSeq = message.Seq
	return message.Commands, false
}
