package cluster

import (
	"testing"
	"time"
)

// A heartbeat without a direct command in between adds nothing to the histogram of direct commands, and each delay is
// returned by one call only.
func TestTakeDelaysReturnsEachDelayOnce(t *testing.T) {
	recorder := delayRecorder{delays: newDelays()}
	sent := time.Unix(1000, 0)
	recorder.recordHeartbeat(sent, time.Time{}, sent.Add(20*time.Millisecond))
	recorder.recordHeartbeat(sent, sent.Add(100*time.Millisecond), sent.Add(3*time.Second))
	recorder.recordHeartbeat(sent, time.Time{}, sent.Add(time.Hour))
	delays := recorder.takeDelays()
	if count, longest := delays.Heartbeats.TotalCount(), delays.Heartbeats.Max(); count != 3 || longest < maxDelayMS {
		t.Errorf("%d heartbeats, the longest %d ms, want 3 and the limit", count, longest)
	}
	if count, longest := delays.DirectCommandLead.TotalCount(), delays.DirectCommandLead.Max(); count != 1 || longest < 2890 || longest > 2910 {
		t.Errorf("%d direct commands, the longest lead %d ms, want 1 of 2900", count, longest)
	}
	if again := recorder.takeDelays(); again.Heartbeats.TotalCount() != 0 || again.DirectCommandLead.TotalCount() != 0 {
		t.Error("delays are returned by two calls")
	}
}

// The time of the first direct command since the last heartbeat is kept, and commands before that heartbeat do not
// count.
func TestFirstCommandSinceLastHeartbeatIsRecorded(t *testing.T) {
	worker := &Worker{}
	worker.recordCommand()
	worker.resetFirstCommand()
	if at := worker.firstCommand(); !at.IsZero() {
		t.Error("a command before the heartbeat counts")
	}
	worker.recordCommand()
	first := worker.firstCommand()
	worker.recordCommand()
	if again := worker.firstCommand(); first.IsZero() || !again.Equal(first) {
		t.Errorf("time %v, want that of the first command, %v", again, first)
	}
}
