package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/invariant"
	"switchferry/relay"
	"switchferry/relay/proxy"
	"switchferry/store"
	"switchferry/tuning"
)

// exchangedHeartbeat is a heartbeat whose worker waits for the response.
type exchangedHeartbeat struct {
	report *api.Heartbeat
	// response is what the worker will get; nil while nobody has answered.
	response *api.HeartbeatResponse
}

// mostOpenJobs is how many jobs there are at a time: their tasks are more than the machines can run.
const mostOpenJobs = 4

// settledWithin is how long jobs may take once all messages arrive: a job that failed pauses for tuning.BackoffMax at the
// most, and its tasks run after that.
const settledWithin = tuning.BackoffMax + time.Minute

// randomStarts plays a leader and workers that keep the protocol, with the messages between them late, lost, repeated and in
// any order, on all three paths: direct commands, responses to heartbeats, and packets of a relay.
type randomStarts struct {
	*playedWorkers
	rng   *rand.Rand
	names []string
	// waiting are the heartbeats without a response, by machine; copies are heartbeats that may arrive again.
	waiting map[string]*exchangedHeartbeat
	copies  []*api.Heartbeat
	// commands are direct commands that a worker may still receive. The leader has given up those in lost.
	commands, lost []sentCommands
	// relayed are the machines whose heartbeats a follower answers from the leader's packets.
	relayed map[string]bool
	relay   *proxy.Workers
	packets *packetCarrier
	jobs    int
}

func newRandomStarts(t *testing.T, seed uint64) *randomStarts {
	h := newHarness(t)
	names := []string{"a1", "a2", "b1"}
	random := &randomStarts{playedWorkers: newPlayedWorkers(t, h, names...), rng: rand.New(rand.NewPCG(seed, 0)), names: names, waiting: map[string]*exchangedHeartbeat{}, relayed: map[string]bool{}}
	random.runTime = 5 * time.Second
	random.relay = newFollowerRelay(h)
	random.packets = newWorkerPackets(h, random.relay.Exchange)
	return random
}

// step plays one random event.
func (r *randomStarts) step() {
	h, name := r.harness, r.names[r.rng.IntN(len(r.names))]
	h.clock.Advance(time.Duration(r.rng.IntN(100)) * time.Millisecond)
	switch r.rng.IntN(32) {
	case 0, 1, 2, 3, 4:
		r.send(name)
	case 5, 6, 7, 8, 9:
		r.answer(name)
	case 10, 11:
		r.respond(name)
	case 12, 13, 14, 15, 16, 17, 18, 19:
		for range 1 + r.rng.IntN(4) {
			r.deliverCommand()
		}
	case 20, 21:
		r.carry()
	case 22:
		if len(r.copies) > 0 {
			r.repeat(r.copies[r.rng.IntN(len(r.copies))])
		}
	case 23:
		r.disturb(name)
	case 24, 25, 26:
		r.stopOne()
	default:
		r.submitAndPlace()
	}
}

// send has a worker report, if it waits for no response.
func (r *randomStarts) send(name string) {
	if r.waiting[name] == nil {
		report := r.workers[name].Report()
		r.waiting[name] = &exchangedHeartbeat{report: report}
		if r.rng.IntN(4) == 0 {
			r.copies = append(r.copies, report)
		}
	}
}

// answer has a controller handle the heartbeat that a worker has sent.
func (r *randomStarts) answer(name string) {
	sent, h := r.waiting[name], r.harness
	if sent == nil || sent.response != nil || sent.report.Term > h.term {
		return
	}
	var response api.HeartbeatResponse
	switch {
	case !r.relayed[name]:
		response, _, _ = h.HandleHeartbeat(sent.report, "y")
	case r.rng.IntN(3) == 0:
		// The follower reached the leader again, whose reply was late.
		h.HandleHeartbeat(sent.report, "y")
		response = r.relay.HandleOfferedHeartbeat(sent.report, h.term)
	default:
		response = r.relay.HandleHeartbeat(sent.report, h.term)
		if r.rng.IntN(4) == 0 {
			// A copy reaches the leader before the worker has the response.
			h.HandleHeartbeat(sent.report, "")
		}
	}
	sent.response = &response
}

// repeat has a copy of a heartbeat arrive at the leader or the follower, wherever the heartbeat itself went.
func (r *randomStarts) repeat(heartbeat *api.Heartbeat) {
	if r.rng.IntN(2) == 0 {
		r.harness.HandleHeartbeat(heartbeat, "")
		return
	}
	r.relay.HandleHeartbeat(heartbeat, r.harness.term)
}

// respond has a worker execute the response to its heartbeat, or drop it because it comes too late.
func (r *randomStarts) respond(name string) {
	sent := r.waiting[name]
	switch {
	case sent == nil:
	case r.rng.IntN(5) == 0:
		delete(r.waiting, name)
	case sent.response != nil:
		r.workers[name].Answer(sent.report, r.harness.clock.Now(), *sent.response)
		delete(r.waiting, name)
	}
}

// submitAndPlace has the leader place, store and send, with more jobs than there is room for.
func (r *randomStarts) submitAndPlace() {
	if len(r.harness.jobs) < mostOpenJobs {
		r.jobs++
		r.harness.submit(fmt.Sprintf("run-%06d", r.jobs), 3, nil)
	}
	r.placeAndSend()
}

// placeAndSend has the leader place, store and send.
func (r *randomStarts) placeAndSend() {
	h := r.harness
	r.place()
	r.commands = append(r.commands, h.sent[h.answered:]...)
	h.answered = len(h.sent)
}

// deliverCommand has a worker receive a direct command, in any order. Its answer may be lost, and a command that the leader
// has given up may be received later, or never.
func (r *randomStarts) deliverCommand() {
	if len(r.lost) > 0 && r.rng.IntN(4) == 0 {
		sent := r.takeCommand(&r.lost)
		r.workers[sent.machine].Direct(sent.response)
		return
	}
	if len(r.commands) == 0 {
		return
	}
	sent, h := r.takeCommand(&r.commands), r.harness
	var heartbeat *api.Heartbeat
	settled := false
	switch r.rng.IntN(20) {
	case 0:
		r.lost = append(r.lost, sent)
	case 1:
		settled = true
	case 2:
		r.workers[sent.machine].Direct(sent.response)
	default:
		heartbeat, _ = r.workers[sent.machine].Direct(sent.response)
		settled = true
	}
	if sent.response.Term == h.term {
		h.CommandsAnswered(sent.machine, sent.response, heartbeat, settled)
	}
}

// takeCommand takes a random command out of a list.
func (r *randomStarts) takeCommand(list *[]sentCommands) sentCommands {
	index := r.rng.IntN(len(*list))
	sent := (*list)[index]
	*list = slices.Delete(*list, index, index+1)
	return sent
}

// carry carries packets between the follower and the leader, in one direction or both.
func (r *randomStarts) carry() {
	if r.rng.IntN(3) > 0 {
		r.packets.toLeader(r.harness.AcceptWorkerMessage)
		r.harness.commit()
	}
	if r.rng.IntN(3) > 0 {
		r.packets.toFollower()
	}
}

// disturb has something go wrong with a machine or the leader.
func (r *randomStarts) disturb(name string) {
	causes := []string{"", "", "", api.CauseError, api.CauseNoRoom, api.CauseUnknown}
	switch r.rng.IntN(8) {
	case 0:
		r.workers[name].Restart()
	case 1:
		r.elect()
	case 2, 3, 4:
		r.relayed[name] = !r.relayed[name]
	default:
		r.failures[name] = causes[r.rng.IntN(len(causes))]
	}
}

// stopOne has the leader stop a task that a heartbeat has shown, or whose start was not sent, as for other work.
func (r *randomStarts) stopOne() {
	h := r.harness
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		for _, task := range slices.Sorted(maps.Keys(h.jobs[id].allocations)) {
			alloc := h.jobs[id].allocations[task]
			if (alloc.reported || !alloc.runSent) && r.rng.IntN(2) == 0 {
				h.stopTask(alloc, 0, "test")
				return
			}
		}
	}
}

// elect begins a new term. Commands of the former leader may still arrive.
func (r *randomStarts) elect() {
	h := r.harness
	r.placeAndSend()
	r.lost = append(r.lost, r.commands...)
	r.commands = nil
	h.elect()
	r.packets.reassembler = relay.Reassembler{}
}

// settle lets everything arrive until all jobs are done, and reports whether they are.
func (r *randomStarts) settle() bool {
	clear(r.failures)
	clear(r.relayed)
	r.replaceFaulty()
	for end := r.harness.clock.Now().Add(settledWithin); r.harness.clock.Now().Before(end); {
		for _, name := range r.names {
			r.respond(name)
			delete(r.waiting, name)
			r.heartbeat(name)
		}
		r.placeAndSend()
		for len(r.commands) > 0 {
			sent := r.takeCommand(&r.commands)
			heartbeat, _ := r.workers[sent.machine].Direct(sent.response)
			r.harness.CommandsAnswered(sent.machine, sent.response, heartbeat, true)
		}
		r.harness.clock.Advance(time.Second)
		done := 0
		for number := range r.jobs {
			id := fmt.Sprintf("run-%06d", number+1)
			if r.harness.status(id) == api.Done || r.harness.state.Get(store.FinalKey(id)) != nil {
				done++
			}
		}
		if done == r.jobs {
			return true
		}
	}
	return false
}

// replaceFaulty adds a machine, as the cloud does for a leader that has none to use: machines on which tasks of several jobs
// failed get no more work in a term.
func (r *randomStarts) replaceFaulty() {
	r.harness.mu.Lock()
	usable := false
	for _, machine := range r.harness.machines {
		usable = usable || !r.harness.faulty(machine)
	}
	r.harness.mu.Unlock()
	if usable {
		return
	}
	const replacement = "a3"
	r.add(replacement)
	r.names = append(r.names, replacement)
	r.join(replacement)
}

// openWork describes the jobs that are not over, and the machines.
func (r *randomStarts) openWork() string {
	var text strings.Builder
	for id, job := range r.harness.jobs {
		fmt.Fprintf(&text, "%s %q: %d of %d done, %v pending, %d queued, paused until %v\n", id, job.FinalState, job.completedCount, job.taskCount, job.pending, job.queued, job.pausedUntil)
		for _, alloc := range job.allocations {
			fmt.Fprintf(&text, "  %s attempt %d on %s: %+v, committed %v, %s\n", alloc.key, alloc.attempt, alloc.machine.Name, alloc.attemptState, alloc.committed, alloc.state)
		}
	}
	for name, machine := range r.harness.machines {
		fmt.Fprintf(&text, "%s: incarnation %d, seq %d, token seen %v, %v, command in flight %v, reported %v\n", name, machine.Incarnation, machine.Seq, machine.Term == r.harness.term,
			machine.link.State(r.harness.clock.Now(), r.harness.lease()), machine.commandInFlight, machine.Attempts)
		for attempt, exit := range machine.exited {
			fmt.Fprintf(&text, "  exited %v: %+v\n", attempt, *exit)
		}
	}
	return text.String()
}

// Whatever happens to the messages between the leaders and the workers, no task runs on two machines, nothing contradicts
// itself, and in the end all jobs are done: no proof is waited for that never comes.
func TestRandomMessagesRunNoTaskTwice(t *testing.T) {
	seeds := map[bool]uint64{false: 300, true: 30}[raceDetector]
	crossed := 0
	for seed := range seeds {
		random := newRandomStarts(t, seed)
		for _, name := range random.names {
			random.join(name)
		}
		for range 500 {
			random.step()
		}
		evidence := random.harness.evidence
		crossed += evidence.exitsCrossed + evidence.stopsCrossed + evidence.absencesCrossed
		if twice := random.startedTwice(); len(twice) > 0 {
			t.Fatalf("seed %d: ran twice: %v", seed, twice)
		}
		if !random.settle() {
			t.Fatalf("seed %d: not all of %d jobs are done in the end:\n%s", seed, random.jobs, random.openWork())
		}
		if twice := random.startedTwice(); len(twice) > 0 || invariant.Violations() > 0 {
			t.Fatalf("seed %d: ran twice: %v, %d contradictions", seed, twice, invariant.Violations())
		}
	}
	if crossed == 0 {
		t.Error("no messages crossed: this shows nothing")
	}
}
