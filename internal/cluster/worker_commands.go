package cluster

import (
	"encoding/json"
	"net/http"
	"time"

	"switchferry/api"
)

// HoldCommands interrupts the path of direct commands to the worker or restores it. Heartbeats and their responses pass.
// Commands that arrive meanwhile get no answer, and the worker executes them in order when the path is restored, if they
// still apply. HoldCommands returns after that.
func (worker *Worker) HoldCommands(hold bool) {
	worker.mu.Lock()
	worker.holdingCommands = hold
	var released []api.HeartbeatResponse
	if !hold {
		released, worker.heldCommands = worker.heldCommands, nil
	}
	worker.mu.Unlock()
	for _, commands := range released {
		worker.ExecuteCommands(commands)
	}
}

// holdIfInterrupted keeps commands whose path is interrupted, and reports whether it is.
func (worker *Worker) holdIfInterrupted(commands api.HeartbeatResponse) bool {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.holdingCommands {
		worker.heldCommands = append(worker.heldCommands, commands)
	}
	return worker.holdingCommands
}

// resetFirstCommand resets the record of direct commands when a heartbeat is sent.
func (worker *Worker) resetFirstCommand() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.firstCommandAt = time.Time{}
}

// recordCommand records the time of a direct command if it is the first since the last heartbeat was sent.
func (worker *Worker) recordCommand() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.firstCommandAt.IsZero() {
		worker.firstCommandAt = time.Now()
	}
}

// firstCommand returns when the first direct command arrived since the last heartbeat was sent, zero if none did.
func (worker *Worker) firstCommand() time.Time {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.firstCommandAt
}

// serveCommand executes commands that a leader sends directly, subject to the network faults and the message faults.
// While the leader's zone and the worker do not reach each other, it waits. It aborts the request if the request's
// context ends first, or if the commands are held.
func (worker *Worker) serveCommand(writer http.ResponseWriter, request *http.Request) {
	var commands api.HeartbeatResponse
	if err := json.NewDecoder(request.Body).Decode(&commands); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if worker.holdIfInterrupted(commands) {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	fromZone := worker.cluster.zoneOfToken(commands.Term)
	if !worker.waitUntilReachable(request.Context(), fromZone, toWorker) {
		panic(http.ErrAbortHandler)
	}
	faults := worker.cluster.messages.current()
	if withProbability(faults.LateCommands) {
		time.AfterFunc(randomLateDelay(), func() { worker.ExecuteCommands(commands) })
		panic(http.ErrAbortHandler)
	}
	if !delayShare(request.Context(), faults.SlowCommands) {
		panic(http.ErrAbortHandler)
	}
	worker.recordCommand()
	heartbeat, executed := worker.ExecuteCommands(commands)
	if executed && withProbability(faults.RepeatedCommands) {
		time.AfterFunc(randomRepeatDelay(), func() { worker.ExecuteCommands(commands) })
	}
	raw, err := json.Marshal(heartbeat)
	if err != nil || !worker.waitUntilReachable(request.Context(), fromZone, toWorker) {
		panic(http.ErrAbortHandler)
	}
	worker.cluster.Traffic.Add("commands", int(max(0, request.ContentLength))+len(raw))
	if !executed {
		writer.WriteHeader(http.StatusConflict)
	}
	_, _ = writer.Write(raw)
}
