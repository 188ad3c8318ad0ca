package store

import (
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/internal/fake"
	"switchferry/tuning"
)

// A transaction that was sent twice and failed because another controller wrote one of its keys must not be
// taken for one whose first attempt took effect: a job that a peer had cancelled would start.
func TestForeignWriteIsNoLateAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(state *fake.State)
		err    error
	}{
		{"executed", func(*fake.State) {}, nil},
		{"one key another's", func(state *fake.State) { state.Put(JobKey("run-2"), "withdrawn") }, ErrConflict},
		{"all written, by two", func(state *fake.State) { state.Put(JobKey("run-1"), "a"); state.Put(JobKey("run-2"), "b") }, ErrConflict},
		{"not deleted", func(state *fake.State) { state.Put(JobKey("run-3"), "again") }, ErrConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			state := fake.NewState(clock)
			client := NewClient("state:1", state)
			gone := Condition{JobKey("run-3"), state.Put(JobKey("run-3"), "old")}
			hedged := NewHedgedClient(client, clock, rate.NewLimiter(10, 10), 10)
			late := state.LateNext(test.err == nil)
			done := make(chan error)
			go func() {
				_, _, err := hedged.Transact(t.Context(), []Condition{{Key: JobKey("run-1")}, {Key: JobKey("run-2")}, gone},
					[]Operation{{Set: JobKey("run-1"), Value: "a"}, {Set: JobKey("run-2"), Value: "b"}, {Delete: gone.Key}})
				done <- err
			}()
			<-late.Asked
			test.before(state)
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			clock.Advance(tuning.HedgeAfter)
			if err := <-done; !errors.Is(err, test.err) {
				t.Errorf("error %v, want %v", err, test.err)
			}
			late.Answer()
		})
	}
}
