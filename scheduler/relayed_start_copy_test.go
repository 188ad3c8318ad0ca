package scheduler

import (
	"testing"
	"time"

	"switchferry/api"
)

// Random messages beyond the seeds of the checks ran a task on two machines (seed 2352). A follower relays a start, and
// delivers it again in the response to a later heartbeat, which is slow. A copy of that heartbeat reaches the leader, which
// took it for one that the worker had sent to it alone, and so for proof that the relay delivers no earlier start. It ended
// the attempt and had it cleared by direct commands, the task went elsewhere, and then the response arrived.
func TestCopyOfARelayedHeartbeatSettlesNoStart(t *testing.T) {
	const task = "run-000001/0"
	h := newHarness(t)
	played := newPlayedWorkers(t, h, "a1", "b1")
	follower := newFollowerRelay(h)
	packets := newWorkerPackets(h, follower.Exchange)
	exchangePackets := func() {
		packets.toLeader(h.AcceptWorkerMessage)
		h.commit()
		packets.toFollower()
		h.clock.Advance(time.Second)
	}
	a1 := played.workers["a1"]
	relayed := func() (report *api.Heartbeat, response api.HeartbeatResponse) {
		report = a1.Report()
		return report, follower.HandleHeartbeat(report, h.term)
	}
	played.join("a1")
	h.submit("run-000001", 1, nil)
	report, response := relayed()
	a1.Answer(report, h.clock.Now(), response)
	exchangePackets()
	h.Place()
	exchangePackets()

	started, response := relayed()
	exchangePackets()
	a1.Answer(started, h.clock.Now(), response)
	if !played.running[task]["a1"] {
		t.Fatalf("the relayed start does not arrive: %+v", response)
	}
	repeated, late := relayed()
	if !hasCommand(late, api.CommandRun, task) {
		t.Fatalf("the relay repeats no start: %+v", late)
	}
	h.HandleHeartbeat(repeated, "")
	h.mu.Lock()
	h.stopTask(h.jobs["run-000001"].allocations[0], 0, "test")
	h.mu.Unlock()
	played.answerCommands()
	h.machines["a1"].refusedUntil = h.clock.Now().Add(time.Minute)
	played.join("b1")
	played.place()
	played.answerCommands()
	if !played.running[task]["b1"] {
		t.Fatal("the task does not run on the second machine")
	}
	a1.Answer(repeated, h.clock.Now(), late)
	if twice := played.startedTwice(); len(twice) > 0 {
		t.Errorf("ran twice: %v", twice)
	}
	played.expectForgotten("a1", 20)
}
