package store

import (
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/internal/fake"
	"switchferry/tuning"
)

// A resent transaction that fails because another controller wrote one of its keys must not be confused with one whose
// first attempt was executed. Otherwise, a job that a peer had cancelled would start.
func TestForeignWriteIsNotTakenForOwnTransaction(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(state *fake.State)
		err    error
	}{
		{"executed", func(*fake.State) {}, nil},
		{"one key written by another controller", func(state *fake.State) { state.Put(JobKey("run-2"), "withdrawn") }, ErrConflict},
		{"all keys written in separate transactions", func(state *fake.State) { state.Put(JobKey("run-1"), "a"); state.Put(JobKey("run-2"), "b") }, ErrConflict},
		{"deleted key written again", func(state *fake.State) { state.Put(JobKey("run-3"), "again") }, ErrConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			state := fake.NewState(clock)
			client := NewClient("state:1", state)
			deletedKey := Condition{JobKey("run-3"), state.Put(JobKey("run-3"), "old")}
			hedged := NewHedgedClient(client, clock, rate.NewLimiter(10, 10), 10)
			late := state.DelayNextTransaction(test.err == nil)
			done := make(chan error)
			go func() {
				_, _, err := hedged.Transact(t.Context(), []Condition{{Key: JobKey("run-1")}, {Key: JobKey("run-2")}, deletedKey},
					[]Operation{{Set: JobKey("run-1"), Value: "a"}, {Set: JobKey("run-2"), Value: "b"}, {Delete: deletedKey.Key}})
				done <- err
			}()
			<-late.Received
			test.before(state)
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			clock.Advance(tuning.HedgeDelay)
			if err := <-done; !errors.Is(err, test.err) {
				t.Errorf("error %v, want %v", err, test.err)
			}
			late.Release()
		})
	}
}

// The revision of a transaction whose execution was only found out by reading does not count as committed: a later leader
// may have written the same values at a revision above its own term.
func TestOnlyAnsweredTransactionsCountAsCommitted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	hedged := NewHedgedClient(NewClient("state:1", state), clock, rate.NewLimiter(10, 10), 10)
	late := state.DelayNextTransaction(true)
	revisions := make(chan uint64)
	go func() {
		revision, _, err := hedged.Transact(t.Context(), []Condition{{Key: JobKey("run-1")}}, []Operation{{Set: JobKey("run-1"), Value: "a"}})
		if err != nil {
			t.Error(err)
		}
		revisions <- revision
	}()
	<-late.Received
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(tuning.HedgeDelay)
	if revision := <-revisions; revision == 0 || hedged.CommittedRevision() != 0 {
		t.Errorf("revision %d was read, and %d counts as committed", revision, hedged.CommittedRevision())
	}
	late.Release()
	second, _, err := hedged.Transact(t.Context(), []Condition{{Key: JobKey("run-2")}}, []Operation{{Set: JobKey("run-2"), Value: "b"}})
	if err != nil || hedged.CommittedRevision() != second {
		t.Errorf("revision %d was answered, and %d counts as committed: %v", second, hedged.CommittedRevision(), err)
	}
	if _, _, err := hedged.Transact(t.Context(), []Condition{{Key: JobKey("run-2")}}, []Operation{{Set: JobKey("run-2"), Value: "c"}}); !errors.Is(err, ErrConflict) || hedged.CommittedRevision() != second {
		t.Errorf("after a conflict, %d counts as committed: %v", hedged.CommittedRevision(), err)
	}
}
