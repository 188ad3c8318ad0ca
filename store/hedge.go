package store

import (
	"context"
	"errors"

	"switchferry/tuning"
)

// outcome is what became of a transaction.
type outcome struct {
	epoch  uint64
	failed []string
	err    error
}

// commit sends a transaction, and once more if it is not answered in a few times what that
// takes as a rule: one answer in some is late by hundreds of milliseconds, and whoever is
// to be accepted waits behind it. At most one of the two is executed: every key that is
// written is conditional on its revision, and the first changes it. That the second fails
// for that reason is no conflict, if the first answers soon; else it is read again like any
// other.
func (c *Committer) commit(ctx context.Context, conds []Cond, ops []Op) (uint64, []string, error) {
	answers := make(chan outcome, 2)
	send := func() {
		epoch, failed, err := c.client.Multi(ctx, conds, ops)
		answers <- outcome{epoch, failed, err}
	}
	go send()
	select {
	case o := <-answers:
		return o.epoch, o.failed, o.err
	case <-c.clock.After(tuning.HedgeAfter):
	}
	now := c.clock.Now()
	if !c.hedges.AllowN(now, len(ops)) {
		o := <-answers
		return o.epoch, o.failed, o.err
	}
	c.limiter.AllowN(now, len(ops))
	go send()
	o := <-answers
	if o.err == nil {
		return o.epoch, nil, nil
	}
	over := c.clock.After(tuning.HedgeAfter)
	if !errors.Is(o.err, ErrConflict) {
		// Not executed, or not known: the other may do better.
		over = nil
	}
	select {
	case p := <-answers:
		if p.err == nil || errors.Is(p.err, ErrConflict) {
			o = p
		}
	case <-over:
	}
	return o.epoch, o.failed, o.err
}
