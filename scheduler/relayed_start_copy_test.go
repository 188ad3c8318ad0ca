package scheduler

import (
	"testing"
	"time"

	"switchferry/api"
)

// Guards against a task that ran on two machines, found with seed 2352 of the random test, which is beyond the seeds
// that the checks run. A follower relays a start and repeats it in the slow response to a later heartbeat. A copy of
// that heartbeat reaches the leader, which took it as sent to the leader alone, and so as proof that the relay delivers
// no earlier start. The leader stopped and cleared the attempt by direct commands and started the task elsewhere; then
// the slow response arrived.
func TestCopyOfARelayedHeartbeatSettlesNoStart(t *testing.T) {
	const task = "run-000001/0"
	h := newHarness(t)
	simulated := newSimulatedWorkers(t, h, "a1", "b1")
	follower := newFollowerRelay(h)
	packets := newWorkerPackets(h, follower.Exchange)
	exchangePackets := func() {
		packets.toLeader(h.AcceptWorkerMessage)
		h.commit()
		packets.toFollower()
		h.clock.Advance(time.Second)
	}
	a1 := simulated.workers["a1"]
	relayHeartbeat := func() (heartbeat *api.Heartbeat, response api.HeartbeatResponse) {
		heartbeat = a1.NextHeartbeat()
		return heartbeat, follower.HandleHeartbeat(heartbeat, h.term)
	}
	simulated.join("a1")
	h.submit("run-000001", 1, nil)
	heartbeat, response := relayHeartbeat()
	a1.ApplyResponse(heartbeat, h.clock.Now(), response)
	exchangePackets()
	h.Place()
	exchangePackets()

	started, response := relayHeartbeat()
	exchangePackets()
	a1.ApplyResponse(started, h.clock.Now(), response)
	if !simulated.running[task]["a1"] {
		t.Fatalf("the relayed start did not arrive: %+v", response)
	}
	repeated, lateResponse := relayHeartbeat()
	if !hasCommand(lateResponse, api.CommandRun, task) {
		t.Fatalf("the relay did not repeat the start: %+v", lateResponse)
	}
	h.HandleHeartbeat(repeated, "")
	h.mu.Lock()
	h.stopTask(h.jobs["run-000001"].allocations[0], 0, "test")
	h.mu.Unlock()
	simulated.deliverCommands()
	h.machines["a1"].refusedUntil = h.clock.Now().Add(time.Minute)
	simulated.join("b1")
	simulated.place()
	simulated.deliverCommands()
	if !simulated.running[task]["b1"] {
		t.Fatal("the task does not run on the second machine")
	}
	a1.ApplyResponse(repeated, h.clock.Now(), lateResponse)
	if twice := simulated.startedTwice(); len(twice) > 0 {
		t.Errorf("tasks ran on two machines: %v", twice)
	}
	simulated.expectAttemptsCleared("a1", 20)
}
