package cluster

import (
	"testing"
	"time"
)

// A command counts as overtaking only if it arrived while the heartbeat waited, and a span does not count what was taken
// before it.
func TestDelaysOfOneSpan(t *testing.T) {
	recorder := delayRecorder{delays: newDelays()}
	sent := time.Unix(1000, 0)
	recorder.responded(sent, time.Time{}, sent.Add(20*time.Millisecond))
	recorder.responded(sent, sent.Add(100*time.Millisecond), sent.Add(3*time.Second))
	recorder.responded(sent, time.Time{}, sent.Add(time.Hour))
	delays := recorder.take()
	if count, longest := delays.Heartbeats.TotalCount(), delays.Heartbeats.Max(); count != 3 || longest < delayLimitMS {
		t.Errorf("%d heartbeats, the longest %d ms, want 3 and the limit", count, longest)
	}
	if count, longest := delays.Overtaken.TotalCount(), delays.Overtaken.Max(); count != 1 || longest < 2890 || longest > 2910 {
		t.Errorf("%d overtaken, the longest %d ms, want 1 of 2900", count, longest)
	}
	if again := recorder.take(); again.Heartbeats.TotalCount() != 0 || again.Overtaken.TotalCount() != 0 {
		t.Error("delays count for two spans")
	}
}

// The first direct command of an exchange counts, and none of the exchange before.
func TestCommandsAreNotedForTheirExchange(t *testing.T) {
	worker := &Worker{}
	worker.noteCommand()
	worker.beginExchange()
	if at := worker.firstCommand(); !at.IsZero() {
		t.Error("a command of the exchange before counts")
	}
	worker.noteCommand()
	first := worker.firstCommand()
	worker.noteCommand()
	if again := worker.firstCommand(); first.IsZero() || !again.Equal(first) {
		t.Errorf("%v, want the first command's %v", again, first)
	}
}
