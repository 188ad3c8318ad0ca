package scheduler

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"switchferry/fleet"
	"switchferry/reachability"
	"switchferry/settings"
	"switchferry/tuning"
)

// machineState is a fleet.Machine with the state that this term's leader keeps about it. Scheduler.mu guards it.
type machineState struct {
	*fleet.Machine

	// allocations holds the machine's allocations by task key; used is the sum of their requests.
	allocations map[string]*allocation
	used        fleet.Resources
	// imagesInUse counts the allocations by image. An image that an allocated task still waits for is already being
	// fetched, so the next task that needs it does not wait for a whole fetch.
	imagesInUse map[string]int
	// queues holds the machine's run queues, sorted by compareJobs as of the last placement round.
	queues []*runQueue
	// exited holds the attempts that have exited and that the worker still reports.
	exited map[fleet.Attempt]*exitedAttempt

	// commandInFlight is true while a direct command awaits its answer; resendCommands is true if commands must be sent
	// again after it.
	commandInFlight, resendCommands bool
	// raisedToken is the fencing token that was issued to the machine instead of the term; 0 if none was.
	raisedToken uint64
	// leaseEndLogged is true once it was logged that the machine's lease is not renewed.
	leaseEndLogged bool
	// relayPeer is the peer that relays the machine's heartbeats; empty if they arrive directly.
	relayPeer string
	// relayedCommands are the machine's commands in the mailbox for relayPeer; nil if there are none.
	relayedCommands json.RawMessage
	// lastPeer is the peer that forwarded or relayed the last heartbeat; empty if the worker sent it directly.
	lastPeer string

	// link tracks whether this leader's commands reach the machine; outboundLossLogged is true once their loss was
	// logged.
	link               reachability.Link
	outboundLossLogged bool
	// probedAt is when the machine was last probed to confirm that commands reach it.
	probedAt time.Time

	// reservedFor is the starved job for which the machine drains, until about reservedUntil.
	reservedFor   *jobState
	reservedUntil time.Time

	// listed, listedRunning and listedFailed come from the cloud's instance list in this term: the machine exists; it
	// is running although its worker has sent no heartbeat; it has stopped.
	listed                      bool
	listedRunning, listedFailed bool
	// releasing is true while a request to the cloud to release the machine is open.
	releasing bool
	// requestedHere is true if this leader requested the machine, so that the time of the request is known.
	requestedHere bool
	// faultLogged is true once it was logged that the machine is faulty or its startup is overdue.
	faultLogged bool
	// idleSince is when the machine's last allocation was released, or when the machine came up.
	idleSince time.Time
	// refusedUntil is the time until which the machine gets no work because it refused a start.
	refusedUntil time.Time
}

// getOrAddMachine returns the machine with a name, and adds it if it is not known. s.mu must be held.
func (s *Scheduler) getOrAddMachine(name string) *machineState {
	machine := s.machines[name]
	if machine == nil {
		machine = &machineState{
			Machine:     &fleet.Machine{Name: name, LastHeartbeat: s.now(), RequestedAt: s.now()},
			allocations: map[string]*allocation{},
			imagesInUse: map[string]int{},
			exited:      map[fleet.Attempt]*exitedAttempt{},
			idleSince:   s.now(),
		}
		s.machines[name] = machine
		s.machinesByName = nil
		if len(name) > s.longestName {
			if s.longestName = len(name); s.currentFormat && s.loaded {
				s.updateShardSize()
			}
		}
	}
	return machine
}

// sortedMachines returns the machines sorted by name. The slice is shared and must not be modified. s.mu must be held.
func (s *Scheduler) sortedMachines() []*machineState {
	if s.machinesByName == nil {
		s.machinesByName = make([]*machineState, 0, len(s.machines))
		for _, machine := range s.machines {
			s.machinesByName = append(s.machinesByName, machine)
		}
		slices.SortFunc(s.machinesByName, func(a, b *machineState) int { return strings.Compare(a.Name, b.Name) })
	}
	return s.machinesByName
}

// capacity returns the total resources of a machine; zero if its type is unknown.
func (m *machineState) capacity() fleet.Resources {
	if m.Spec == nil {
		return fleet.Resources{}
	}
	return fleet.Resources{CPUs: m.Spec.CPUs, Cards: m.Spec.Cards, MemoryGB: m.Spec.MemoryGB}
}

// free returns the resources that no allocation uses.
func (m *machineState) free() fleet.Resources { return m.capacity().Sub(m.used) }

// fetchSeconds returns the time to fetch a job's image, in seconds; 0 if the image is present or already being fetched.
func (m *machineState) fetchSeconds(job *jobState) float64 {
	if m.imagesInUse[job.Job.Image] > 0 {
		return 0
	}
	return m.FetchSeconds(job.Job.Image, job.Job.ImageGB)
}

// schedulable reports whether a machine may get new work. s.mu must be held.
func (s *Scheduler) schedulable(machine *machineState) bool {
	return machine.Up && machine.Spec != nil && !machine.releasing && machine.PreemptedAt.IsZero() && !s.faulty(machine) &&
		s.now().After(machine.refusedUntil) && s.since(machine.LastHeartbeat) < s.heartbeatTimeout(machine) &&
		machine.link.State(s.now(), s.lease()) == reachability.Reachable
}

// heartbeatTimeout returns how long a machine may be silent and still get work. It is longer for a machine whose
// heartbeats are relayed.
func (s *Scheduler) heartbeatTimeout(machine *machineState) time.Duration {
	timeout := settings.Seconds(2.5 * s.settings.Facts.Workers.HeartbeatIntervalS)
	if machine.relayPeer != "" {
		timeout += tuning.RelayRefreshInterval
	}
	return timeout
}
