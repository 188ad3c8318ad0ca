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

// Workers answers workers in place of an unreachable leader. It is safe for use from several goroutines at once.
type Workers struct {
	// Exchange carries the packets of workers; its owner runs it.
	Exchange *exchange.Exchange

	clock clockwork.Clock

	mu sync.Mutex
	// All below is guarded by mu. workers are by machine name.
	workers map[string]*workerState
	outbox  *relay.Outbox
	inbox   relay.Reader
}

// workerState is what a proxy knows of one worker.
type workerState struct {
	heartbeat api.Heartbeat
	// firstSeq is the first of the heartbeats that came here without a gap and that nobody else was offered. Commands derived
	// from an earlier one may be overtaken by what other controllers told the worker in between.
	firstSeq uint64
	// deliveredSeq is the heartbeat from which the last delivered commands were derived: commands derived from an older
	// one are not delivered after it.
	deliveredSeq uint64
}

// NewWorkers returns a proxy that knows no worker yet.
func NewWorkers(options Options) *Workers {
	w := &Workers{clock: options.Clock, workers: map[string]*workerState{}, outbox: options.newOutbox()}
	w.Exchange = options.newExchange(store.RelayKey, store.RelayResponsePrefix, tuning.RelayRefresh)
	w.Exchange.Lock, w.Exchange.Outbox, w.Exchange.Reader = &w.mu, w.outbox, &w.inbox
	w.Exchange.Expire, w.Exchange.TermEnded = w.expire, func() { w.reset(0) }
	return w
}

// reset starts anew for the leader of a term; 0 stands for none. w.mu must be held.
func (w *Workers) reset(term uint64) {
	w.outbox.Reset(term)
	w.workers = map[string]*workerState{}
}

// expire forgets workers that have been silent for too long. w.mu must be held.
func (w *Workers) expire(now time.Time) {
	for _, name := range w.outbox.Expire(now, senderTimeout) {
		delete(w.workers, name)
	}
}

// HandleHeartbeat takes in a worker's heartbeat for the leader of a term and returns the commands that the leader has sent
// for it, none if they could be out of date.
func (w *Workers) HandleHeartbeat(heartbeat *api.Heartbeat, term uint64) api.HeartbeatResponse {
	return w.handleHeartbeat(heartbeat, term, false)
}

// HandleOfferedHeartbeat is HandleHeartbeat for a heartbeat that was forwarded to the leader without a reply in time. The
// leader may have handled it, and sent other commands since; one of an older version then counts all relayed starts as settled.
func (w *Workers) HandleOfferedHeartbeat(heartbeat *api.Heartbeat, term uint64) api.HeartbeatResponse {
	return w.handleHeartbeat(heartbeat, term, true)
}

// handleHeartbeat is HandleHeartbeat, or HandleOfferedHeartbeat if offered is set.
func (w *Workers) handleHeartbeat(heartbeat *api.Heartbeat, term uint64, offered bool) api.HeartbeatResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	response := api.HeartbeatResponse{Term: term, Commands: []api.Command{}}
	if w.outbox.Term() != term {
		w.reset(term)
	}
	worker := w.workers[heartbeat.Machine]
	if worker != nil && !heartbeat.NewerThan(worker.heartbeat.Incarnation, worker.heartbeat.Seq) {
		// A late copy. Relayed, it would undo what the worker has said since, and the commands that answered it would
		// count as delivered.
		return response
	}
	begins := worker == nil || worker.heartbeat.Incarnation != heartbeat.Incarnation || heartbeat.Seq != worker.heartbeat.Seq+1
	if begins {
		slog.Debug("relaying a machine's reports", "machine", heartbeat.Machine, "session", heartbeat.Incarnation)
	}
	changed := begins || !sameStatus(heartbeat, &worker.heartbeat)
	if begins || offered {
		// Commands derived from earlier heartbeats are not delivered any more: newer ones may have gone another way.
		worker = &workerState{firstSeq: heartbeat.Seq}
		w.workers[heartbeat.Machine] = worker
	}
	worker.heartbeat = *heartbeat
	body, err := json.Marshal(heartbeat)
	if err != nil {
		slog.Error("a report cannot be passed on", "machine", heartbeat.Machine, "err", err)
		return response
	}
	commands, outdated := w.deliver(worker, term)
	// The leader derives outdated commands anew from this heartbeat.
	w.outbox.Put(heartbeat.Machine, body, changed || outdated, w.clock.Now())
	response.Commands = commands
	return response
}

// sameStatus reports whether two heartbeats of a worker say the same, save for their numbers.
func sameStatus(a, b *api.Heartbeat) bool {
	return a.Term == b.Term && (a.PreemptionNoticeS == nil) == (b.PreemptionNoticeS == nil) && slices.Equal(a.Tasks, b.Tasks)
}

// deliver returns the commands that the leader of a term has sent for a worker, and notes that they are delivered. Outdated
// is set if there are some that were derived from too old a heartbeat to be delivered: the leader counts a start among them
// as settled once it has seen a later heartbeat (rule 4 of docs/design.md). w.mu must be held.
func (w *Workers) deliver(worker *workerState, term uint64) (commands []api.Command, outdated bool) {
	none := []api.Command{}
	machine := worker.heartbeat.Machine
	raw := w.inbox.MessageFor(term, machine)
	if raw == nil {
		return none, false
	}
	var message store.RelayedCommands
	if err := json.Unmarshal(raw, &message); err != nil {
		slog.Error("corrupt relayed message", "machine", machine, "err", err)
		return none, false
	}
	if message.Incarnation != worker.heartbeat.Incarnation || message.Seq < max(worker.firstSeq, worker.deliveredSeq) {
		return none, false
	}
	if worker.heartbeat.Seq > message.Seq+tuning.RelayedCommandsSpan {
		return none, true
	}
	worker.deliveredSeq = message.Seq
	return message.Commands, false
}
