package traffic

import (
	"testing"
	"time"
)

func TestTakeReturnsCountsSinceLastTaken(t *testing.T) {
	var counter Counter
	counter.Add(true, false)
	counter.Add(true, true)
	counter.Add(false, true)
	counter.LeaderBypassed()
	counter.StaleAnswerDropped()
	counter.AnsweredFromRecord(time.Second)
	counter.AnsweredFromRecord(time.Millisecond)
	want := Counts{StateQueries: 2, OtherRequests: 1, Refused: 2, LeaderBypassed: 1, StaleAnswers: 1, RecordAnswers: 2, OldestRead: time.Second}
	if got := counter.Take(); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	if got := counter.Take(); got != (Counts{}) {
		t.Errorf("counts %+v after they were taken, want none", got)
	}
}
