package controller

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/store"
	"switchferry/tuning"
)

// relay answers workers in place of a leader that this node does not reach,
// while the state service says that it leads. Their reports go to the leader,
// and its commands come back, through the state service. Without it, every
// worker on the far side of a cut would kill its tasks when its lease ends.
type relay struct {
	n *Node

	mu      sync.Mutex
	term    uint64
	workers map[string]*relayed
	mail    store.MailRecord
}

type relayed struct {
	report api.Report
	// streak is the first of the reports that came to us without a gap. Mail
	// derived from an earlier one may be overtaken by what other nodes told
	// the worker in between.
	streak  uint64
	heard   time.Time
	written time.Time
	changed bool
}

func newRelay(n *Node) *relay { return &relay{n: n, workers: map[string]*relayed{}} }

// report answers a worker for the leader of a term.
func (y *relay) report(r *api.Report, term uint64) api.Orders {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.term != term {
		y.term, y.workers, y.mail = term, map[string]*relayed{}, store.MailRecord{}
	}
	w := y.workers[r.Machine]
	if w == nil || w.report.Session != r.Session || r.Seq != w.report.Seq+1 {
		slog.Info("relaying a machine's reports", "machine", r.Machine, "session", r.Session)
		w = &relayed{streak: r.Seq, changed: true}
		y.workers[r.Machine] = w
	}
	w.changed = w.changed || r.Helm != w.report.Helm || (r.NoticeS == nil) != (w.report.NoticeS == nil) || !slices.Equal(r.Tasks, w.report.Tasks)
	w.report, w.heard = *r, y.n.clock.Now()
	o := api.Orders{Helm: term, Commands: []api.Command{}}
	if m, ok := y.mail.Machines[r.Machine]; ok && y.mail.Term == term && m.Session == r.Session && m.Seq >= w.streak {
		o.Commands = m.Commands
	}
	return o
}

// run writes reports and reads mail while there are workers to relay.
func (y *relay) run(ctx context.Context) {
	go y.read(ctx)
	for ctx.Err() == nil {
		y.n.sleep(ctx, tuning.RelayEvery)
		y.write(ctx)
	}
}

func (y *relay) active() (term uint64, ok bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for name, w := range y.workers {
		if y.n.clock.Since(w.heard) > 2*tuning.RelayKeep {
			delete(y.workers, name)
		}
	}
	return y.term, len(y.workers) > 0
}

func (y *relay) write(ctx context.Context) {
	term, ok := y.active()
	if !ok {
		return
	}
	now := y.n.clock.Now()
	y.mu.Lock()
	chunks := []store.RelayRecord{{Term: term}}
	size := 0
	for _, w := range y.workers {
		if !w.changed && now.Sub(w.written) < tuning.RelayKeep {
			continue
		}
		raw, err := json.Marshal(w.report)
		if err != nil {
			continue
		}
		if size += len(raw); size > tuning.RelayBytes {
			chunks, size = append(chunks, store.RelayRecord{Term: term}), len(raw)
		}
		last := &chunks[len(chunks)-1]
		last.Reports = append(last.Reports, w.report)
		w.changed, w.written = false, now
	}
	y.mu.Unlock()
	if len(chunks[0].Reports) == 0 {
		return
	}
	var ops []store.Op
	for i, rec := range chunks {
		ops = append(ops, store.Op{Set: store.RelayKey(y.n.set.Member, i), Value: rec})
	}
	// Only the leader that they are meant for may be told.
	_, _, err := y.n.client.Multi(ctx, []store.Cond{{Key: store.LeaderKey, Stamp: term}}, ops)
	if err != nil {
		slog.Info("reports not passed on", "err", err)
		y.mu.Lock()
		if errors.Is(err, store.ErrConflict) {
			// That leader's term is over; so is the relay.
			y.workers = map[string]*relayed{}
		}
		for _, w := range y.workers {
			w.changed = true
		}
		y.mu.Unlock()
	}
}

// read follows the leader's mail.
func (y *relay) read(ctx context.Context) {
	key := store.MailKey(y.n.set.Member)
	for ctx.Err() == nil {
		if _, ok := y.active(); !ok {
			y.n.sleep(ctx, tuning.RelayEvery)
			continue
		}
		after := uint64(0)
		if it, err := y.n.client.Get(ctx, key); err == nil {
			y.take(it.Value)
			after = it.Stamp
		} else if !errors.Is(err, store.ErrNotFound) {
			y.n.sleep(ctx, tuning.RelayEvery)
			continue
		}
		if after == 0 {
			y.n.sleep(ctx, tuning.RelayEvery)
			continue
		}
		if _, _, err := y.n.client.Watch(ctx, key, after, tuning.WatchBlock); err != nil {
			y.n.sleep(ctx, tuning.RelayEvery)
		}
	}
}

func (y *relay) take(raw json.RawMessage) {
	var rec store.MailRecord
	if err := json.Unmarshal(raw, &rec); err != nil {
		slog.Error("the leader's mail is damaged", "err", err)
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.mail = rec
}

// relayed is the leader's side: it takes in what siblings pass on.
func (n *Node) relayed(ctx context.Context, core *Core, com *store.Committer, after uint64) {
	for _, s := range n.set.Siblings {
		if it, err := n.client.Get(ctx, store.MailKey(s.Member)); err == nil {
			com.Know(it.Key, it.Stamp)
		}
	}
	for ctx.Err() == nil {
		log, epoch, err := n.client.Watch(ctx, store.RelayPrefix, after, tuning.InboxBlock)
		if errors.Is(err, store.ErrTooOld) {
			// Reports are sent again and again: only the revision matters.
			_, epoch, err = n.client.List(ctx, store.RelayPrefix)
		}
		if err != nil {
			n.sleep(ctx, tuning.ElectRetry)
			continue
		}
		for _, e := range log {
			var rec store.RelayRecord
			if e.Set == "" || json.Unmarshal(e.Value, &rec) != nil {
				continue
			}
			member, _, _ := strings.Cut(strings.TrimPrefix(e.Set, store.RelayPrefix), "/")
			core.Relayed(member, rec)
		}
		after = max(after, epoch)
	}
}
