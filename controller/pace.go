package controller

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/peer"
	"switchferry/tuning"
)

// pace is how fast this controller computes: the time of a fixed piece of work,
// the least of the last few tries, so that a busy moment does not count.
type pace struct {
	clock clockwork.Clock

	mu    sync.Mutex
	tries []time.Duration
}

// run measures until the context ends.
func (p *pace) run(ctx context.Context) {
	work := make([]byte, tuning.PaceBytes)
	for ctx.Err() == nil {
		began := p.clock.Now()
		sha256.Sum256(work)
		p.add(p.clock.Since(began))
		select {
		case <-ctx.Done():
		case <-p.clock.After(tuning.PaceEvery):
		}
	}
}

func (p *pace) add(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tries = append(p.tries, took); len(p.tries) > tuning.PaceTries {
		p.tries = p.tries[1:]
	}
}

// us is the pace in microseconds; 0: not known yet.
func (p *pace) us() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tries) < tuning.PaceTries {
		return 0
	}
	return uint32(max(1, slices.Min(p.tries).Microseconds()))
}

// handover tells when a leader should leave the post to a sibling because it
// computes several times slower: with hundreds of machines its answers would be
// late for as long as that lasts. A load that is merely high slows every leader
// alike and is no reason.
type handover struct {
	since time.Time
}

func (h *handover) due(now, elected time.Time, mine uint32, siblings []peer.Hello) bool {
	best := uint32(0)
	for _, s := range siblings {
		if s.StateOK && s.PaceUS > 0 && (best == 0 || s.PaceUS < best) {
			best = s.PaceUS
		}
	}
	if mine == 0 || best == 0 || float64(mine) < tuning.SlowPace*float64(best) {
		h.since = time.Time{}
		return false
	}
	if h.since.IsZero() {
		h.since = now
		slog.Info("computing slower than a sibling", "pace_us", mine, "sibling_us", best)
	}
	return now.Sub(h.since) >= tuning.SlowFor && now.Sub(elected) >= tuning.SlowTerm
}
