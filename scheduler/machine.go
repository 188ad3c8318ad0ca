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

// machineState is a fleet.Machine with what this term's leader has decided and knows of it. Scheduler.mu guards it.
type machineState struct {
	*fleet.Machine

	// allocations are by task key; used is the sum of what they request.
	allocations map[string]*allocation
	used        fleet.Resources
	// imagesInUse counts the allocations by image: one that a task waits for is on its way, and costs the next task
	// less than a fetch.
	imagesInUse map[string]int
	// queues are in the order of compareJobs as of the last placement round.
	queues []*runQueue
	// exited are the attempts that have ended and that the worker still reports.
	exited map[fleet.Attempt]*exitedTask

	// commandInFlight is true while a direct command awaits its answer; resendCommands, if another must follow it.
	commandInFlight, resendCommands bool
	// relayPeer is the peer that relays its heartbeats; empty if they come directly.
	relayPeer string
	// relayedCommands are its commands in the mailbox for that peer; nil if there are none.
	relayedCommands json.RawMessage
	// lastPeer is the peer that its last heartbeat came through in any way.
	lastPeer string

	// link is whether our commands reach it; outboundLossLogged is true once it was logged that they do not.
	link               reachability.Link
	outboundLossLogged bool
	// probedAt is when it was last probed to confirm that.
	probedAt time.Time

	// reservedFor is the starved job that it drains for, until about reservedUntil.
	reservedFor   *jobState
	reservedUntil time.Time

	// listed, listedRunning and listedFailed are what the cloud's list of this term says: that it exists, that it is
	// up though its worker has sent no heartbeat, that it has stopped.
	listed                      bool
	listedRunning, listedFailed bool
	// releasing is true while the cloud is asked to release it.
	releasing bool
	// requestedHere is true if this leader requested it, and so knows when.
	requestedHere bool
	// faultLogged is true once it was logged that it is faulty or overdue.
	faultLogged bool
	// idleSince is when its last allocation ended.
	idleSince time.Time
	// refusedUntil is until when it gets no work because it refused a start.
	refusedUntil time.Time
}

// machineNamed returns a machine by its name, and adds it if it is not known. s.mu must be held.
func (s *Scheduler) machineNamed(name string) *machineState {
	machine := s.machines[name]
	if machine == nil {
		machine = &machineState{
			Machine:     &fleet.Machine{Name: name, LastHeartbeat: s.now(), RequestedAt: s.now()},
			allocations: map[string]*allocation{},
			imagesInUse: map[string]int{},
			exited:      map[fleet.Attempt]*exitedTask{},
			idleSince:   s.now(),
		}
		s.machines[name] = machine
		s.machinesByName = nil
		if len(name) > s.longestName {
			if s.longestName = len(name); s.currentFormat && s.loaded {
				s.fitShards()
			}
		}
	}
	return machine
}

// sortedMachines returns the machines by name. The list is shared and must not be changed. s.mu must be held.
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

// capacity returns all resources of a machine; none if its type is unknown.
func (m *machineState) capacity() fleet.Resources {
	if m.Spec == nil {
		return fleet.Resources{}
	}
	return fleet.Resources{CPUs: m.Spec.CPUs, Cards: m.Spec.Cards, MemoryGB: m.Spec.MemoryGB}
}

// free returns the resources that no allocation takes.
func (m *machineState) free() fleet.Resources { return m.capacity().Sub(m.used) }

// fetchSeconds returns the time to fetch a job's image, in seconds: none where it is held or on its way already.
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

// heartbeatTimeout returns how long a machine may be silent and still get work; longer for one whose heartbeats are
// relayed.
func (s *Scheduler) heartbeatTimeout(machine *machineState) time.Duration {
	timeout := settings.Seconds(2.5 * s.settings.Facts.Workers.ReportS)
	if machine.relayPeer != "" {
		timeout += tuning.RelayRefresh
	}
	return timeout
}
