package store

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/fake"
	"switchferry/settings"
	"switchferry/tuning"
)

// idle stands for seconds in which no transaction is sent.
const idle commitResult = "idle"

// observation is a result that is observed once in each of count seconds.
type observation struct {
	result  commitResult
	records []*pendingRecord
	count   int
}

// Only refusals of several records for their contents, over tuning.CommitStallTimeout in which the state service answers
// and commits nothing, are a stall.
func TestStallIsRefusalOfSeveralRecordsWhileStateServiceAnswers(t *testing.T) {
	timeout := int(tuning.CommitStallTimeout / time.Second)
	perRefusal := int(tuning.MaxRefusalInterval / time.Second)
	one, two := []*pendingRecord{{key: "a"}}, []*pendingRecord{{key: "a"}, {key: "b"}}
	deferred := func(key string) []*pendingRecord { return []*pendingRecord{{key: key, isolated: true}} }
	tests := map[string]struct {
		observations []observation
		want         bool
	}{
		"conflicts of two records":                    {[]observation{{conflicted, two, timeout + 1}}, true},
		"rejections of two records":                   {[]observation{{rejected, two, timeout + 1}}, true},
		"conflicts, not long enough":                  {[]observation{{conflicted, two, timeout}}, false},
		"conflicts of one record":                     {[]observation{{conflicted, one, 10 * timeout}}, false},
		"conflicts of one record, then of another":    {[]observation{{conflicted, one, timeout}, {conflicted, two[1:], 1}}, true},
		"a conflict, and another long afterwards":     {[]observation{{conflicted, one, 1}, {idle, nil, 10 * timeout}, {conflicted, two[1:], 1}}, false},
		"conflicts, each some time after the last":    {slices.Repeat([]observation{{conflicted, two, 1}, {idle, nil, perRefusal - 1}}, 4), true},
		"a commit between conflicts":                  {[]observation{{conflicted, two, timeout}, {committed, two, 1}, {conflicted, two, timeout}}, false},
		"a commit after the stall":                    {[]observation{{conflicted, two, 2 * timeout}, {committed, two, 1}}, false},
		"rate limits between conflicts":               {slices.Repeat([]observation{{conflicted, two, 1}, {rateLimited, two, perRefusal - 1}}, 4), true},
		"rate limits alone":                           {[]observation{{rateLimited, two, 10 * timeout}}, false},
		"an outage":                                   {[]observation{{notServed, two, 10 * timeout}}, false},
		"an outage after a conflict":                  {[]observation{{conflicted, two, 2}, {notServed, two, 10 * timeout}, {conflicted, two, 2}}, false},
		"lost responses after a conflict":             {[]observation{{conflicted, two, 2}, {outcomeUnknown, two, 10 * timeout}, {conflicted, two, 2}}, false},
		"conflicts before and after an outage":        {[]observation{{conflicted, two, timeout}, {notServed, two, 10 * timeout}, {conflicted, two, 2}}, true},
		"retries of deferred records":                 {[]observation{{conflicted, deferred("a"), timeout}, {conflicted, deferred("b"), timeout}}, false},
		"retries of deferred records between refused": {slices.Repeat([]observation{{conflicted, two, 1}, {conflicted, deferred("a"), perRefusal - 1}}, 4), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var detector stallDetector
			now := time.Unix(0, 0)
			for _, observation := range test.observations {
				for range observation.count {
					detector.observe(now, observation.result, observation.records)
					now = now.Add(time.Second)
				}
			}
			if got := detector.stalled(); got != test.want {
				t.Errorf("stalled %v, want %v; refused %v for %v", got, test.want, detector.refusedKeys, detector.answeredFor)
			}
		})
	}
}

// A committer whose transactions are all refused is stalled although each refused record is isolated, as long as new
// records arrive, and is no longer once a transaction is committed.
func TestCommitterIsStalledWhileAllTransactionsAreRefused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := settings.StateLimits{WriteRPS: 100, TxnOps: 12, ValueKB: 16}
	state, source, committer := newTestCommitterWithin(clock, limits)
	count := 0
	runFor := func(d time.Duration) {
		for end := clock.Now().Add(d); clock.Now().Before(end); {
			count++
			key := JobKey(fmt.Sprintf("run-%06d", count))
			source.values[key] = "job"
			committer.MarkDirty(key, Urgent, nil)
			for second := clock.Now().Add(time.Second); clock.Now().Before(second); {
				clock.Advance(max(time.Millisecond, committer.Step(t.Context())))
			}
		}
	}
	runFor(tuning.CommitStallTimeout)
	if committer.Stalled() {
		t.Fatal("stalled although all transactions are committed")
	}
	state.SetLimits(fake.Limits{TxnOps: 0, ValueKB: 16}) // every transaction is answered with status 400
	start := clock.Now()
	for !committer.Stalled() {
		runFor(time.Second)
		if clock.Since(start) > 2*tuning.CommitStallTimeout {
			t.Fatalf("not stalled %v after the last committed transaction", clock.Since(start))
		}
	}
	if after := clock.Since(start); after < tuning.CommitStallTimeout {
		t.Errorf("stalled already %v after the last committed transaction", after)
	}
	state.SetLimits(fake.Limits{TxnOps: 24, ValueKB: 16})
	runFor(time.Second)
	if committer.Stalled() {
		t.Error("still stalled after a transaction was committed")
	}
}
