package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"

	"switchferry/api"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/upgrade"
)

// errTooDeep: more jobs stand before one than are looked at to answer a question.
var errTooDeep = errors.New("too many jobs before this one to look at without the leader")

// awaited is what the records tell of a job that another awaits.
type awaited struct {
	found, service bool
	// final is empty while the job is not over by its own records; awaits are then what it
	// waits for itself.
	final  string
	awaits []string
	// at is its own record, while it has one.
	at *store.Item
}

// readAwaited reads a job's records, as lookUp does: its own key first.
func (n *Node) readAwaited(ctx context.Context, id string) (x awaited, err error) {
	if f, ok := n.finalOf(id); ok {
		return awaited{found: true, final: f.State}, nil
	}
	it, err := n.client.Get(ctx, store.JobKey(id))
	if err == nil {
		var rec store.JobRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return x, fmt.Errorf("record %s is damaged: %w", it.Key, err)
		}
		return awaited{true, rec.Job.Shape == api.Service, rec.Final, rec.Job.Awaits, &it}, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return x, err
	}
	it, err = n.client.Get(ctx, store.FinalKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return x, nil
	}
	var f store.FinalRecord
	if err == nil {
		err = json.Unmarshal(it.Value, &f)
	}
	if err != nil {
		return x, err
	}
	n.final(id, f)
	return awaited{found: true, final: f.State}, nil
}

// each calls f for all ids, a bounded number at once.
func each(ids []string, f func(i int, id string)) {
	slots := make(chan struct{}, tuning.AwaitsAtOnce)
	var all sync.WaitGroup
	for i, id := range ids {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			f(i, id)
		})
	}
	all.Wait()
}

// checkAwaits looks at the jobs that a submission awaits. Not decided: why it cannot be told
// yet whether all of them were accepted.
func (n *Node) checkAwaits(ctx context.Context, core *Core, s *api.Submission) (undecided string, err error) {
	if len(s.Awaits) > tuning.AwaitsMost {
		return "", &api.FieldError{Field: "awaits", Want: fmt.Sprintf("names %d jobs, at most %d can be awaited; let a job between them await some", len(s.Awaits), tuning.AwaitsMost)}
	}
	if old := n.older(); len(old) > 0 {
		return "a job can only await others once all controllers have the new version; not seen yet of " + strings.Join(old, ", "), nil
	}
	refused := make([]error, len(s.Awaits))
	late := make([]string, len(s.Awaits))
	each(s.Awaits, func(i int, id string) { late[i], refused[i] = n.awaitable(ctx, core, s.ID, id) })
	for i := range s.Awaits {
		if refused[i] != nil {
			return "", refused[i]
		}
		undecided = max(undecided, late[i])
	}
	return undecided, nil
}

// awaitable tells whether a job may await another.
func (n *Node) awaitable(ctx context.Context, core *Core, job, id string) (undecided string, err error) {
	bad := func(why string) error { return &api.FieldError{Field: "awaits", Want: id + " " + why} }
	if id == job {
		return "", bad("is the job itself")
	}
	for again := false; ; again = true {
		if core != nil {
			switch here, accepted, service := core.Awaitable(id); {
			case service:
				return "", bad("is a service, which is never done")
			case accepted:
				return "", nil
			case here:
				return id + " is just being accepted", nil
			}
		}
		if _, ok := n.finalOf(id); !ok && !n.reads.AllowN(n.clock.Now(), 1) {
			return "too many questions at once to look up " + id, nil
		}
		x, err := n.readAwaited(ctx, id)
		switch {
		case err != nil:
			return "the state service is out of reach", nil
		case x.service:
			return "", bad("is a service, which is never done")
		case x.found:
			return "", nil
		case again:
			return "", bad("was never accepted")
		}
		n.sleep(ctx, tuning.AwaitsAgain)
	}
}

// withdrawnBefore tells, from the records alone, whether one of the jobs that a job awaits is
// cancelled, itself or through others: whoever answers without the leader must not call the job
// anything else.
func (n *Node) withdrawnBefore(ctx context.Context, awaits []string) (bool, error) {
	seen := map[string]bool{}
	todo := awaits
	for len(todo) > 0 {
		id := todo[0]
		todo = todo[1:]
		if seen[id] {
			continue
		}
		seen[id] = true
		if _, ok := n.finalOf(id); !ok {
			if len(seen) > tuning.AwaitsReads {
				return false, errTooDeep
			}
			if !n.reads.AllowN(n.clock.Now(), 1) {
				return false, store.ErrBusy
			}
		}
		x, err := n.readAwaited(ctx, id)
		switch {
		case err != nil:
			return false, err
		case x.final == api.Withdrawn:
			return true, nil
		case x.final == "":
			todo = append(todo, x.awaits...)
		}
	}
	return false, nil
}

// seekAwaited looks up the jobs that others await and the leader does not know: they were over
// before its term, or a sibling has just accepted them. What does not wait for one of them
// starts meanwhile.
func (n *Node) seekAwaited(ctx context.Context, core *Core, com *store.Committer) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-core.pipes.ask:
		}
		ids := core.Missing()
		for len(ids) > 0 && ctx.Err() == nil {
			n.lookAwaited(ctx, core, com, ids)
			if ids = core.Missing(); len(ids) > 0 {
				n.sleep(ctx, tuning.AwaitsRetry)
			}
		}
	}
}

// lookAwaited looks some jobs up and tells the leader.
func (n *Node) lookAwaited(ctx context.Context, core *Core, com *store.Committer, ids []string) {
	each(ids, func(_ int, id string) {
		x, err := n.readAwaited(ctx, id)
		switch {
		case err != nil:
			slog.Info("an awaited job is not looked up yet", "job", id, "err", err)
		case x.at != nil:
			if !core.Has(id) {
				com.Know(x.at.Key, x.at.Stamp)
				core.Conflict(x.at.Key, x.at)
			}
		case x.found:
			core.Learned(id, store.FinalRecord{State: x.final})
		default:
			slog.Error("a job is awaited of which nothing is on record", "job", id)
		}
	})
}

// older are the controllers of which an older process may run, or come back.
func (n *Node) older() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.marks.Older()
}

// mark puts on record which version this controller has, and looks for the others' marks until
// it has seen all.
func (n *Node) mark(ctx context.Context) {
	own := false
	for ctx.Err() == nil {
		if !own {
			own = n.markOwn(ctx)
		}
		for _, m := range n.older() {
			if it, err := n.client.Get(ctx, upgrade.MarkPrefix+m); err == nil {
				n.marked(m, it)
			}
		}
		if own && len(n.older()) == 0 {
			slog.Info("all controllers have this version of data", "data", upgrade.Data)
			n.mu.Lock()
			core := n.core
			n.mu.Unlock()
			if core != nil {
				core.SizeRecords(n.recordSize())
			}
			return
		}
		n.sleep(ctx, tuning.UpgradeEvery)
	}
}

func (n *Node) marked(member string, it store.Item) {
	var m upgrade.Mark
	if err := json.Unmarshal(it.Value, &m); err != nil {
		slog.Error("a controller's mark is damaged", "key", it.Key, "err", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.marks.Seen(member, m)
}

// markOwn puts this controller's mark on record, unless it stands there; true: it does.
func (n *Node) markOwn(ctx context.Context) bool {
	key := upgrade.MarkPrefix + n.set.Member
	it, err := n.client.Get(ctx, key)
	var m upgrade.Mark
	if err == nil && json.Unmarshal(it.Value, &m) == nil && m.Data >= upgrade.Data {
		n.marked(n.set.Member, it)
		return true
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	_, _, err = n.client.Multi(ctx, []store.Cond{{Key: key, Stamp: it.Stamp}}, []store.Op{{Set: key, Value: upgrade.Mark{Data: upgrade.Data}}})
	if err != nil {
		slog.Info("this controller's version is not on record yet", "err", err)
	}
	return false
}

// recordSize is how many tasks share a record: as the first version has it until no process of
// it can come back, then what always fits.
func (n *Node) recordSize() int {
	if len(n.older()) > 0 {
		return tuning.ShardTasks
	}
	return store.ShardSize(n.set.Facts.State.Least().ValueBytes())
}
