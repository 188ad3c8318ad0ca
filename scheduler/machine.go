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

// machineState is a fleet.Machine with what we want of it.
type machineState struct {
	*fleet.Machine
	allocations map[string]*allocation
	used        fleet.Resources
	// imagesInUse counts its tasks by their image: one that a task is waiting for
	// is on its way, and costs the next task less than a fetch.
	imagesInUse map[string]int
	queues      []*runQueue
	// exited holds exited tasks still reported; true: they can be cleared.
	exited map[string]*exitedTask
	// commandInFlight: a direct command is under way; again: another is wanted.
	commandInFlight, resendCommands bool
	// relay is the sibling that its reports come through; empty: directly.
	relayPeer string
	// relayedCommands is what stands for it in the letters to that sibling; nil: nothing.
	relayedCommands json.RawMessage
	// lastPeer is the sibling that its last report came through in any way.
	lastPeer string
	// link is whether it hears us; outboundLossLogged: that it does not was logged. listed: the cloud's list
	// had it in this term.
	link               reachability.Link
	outboundLossLogged bool
	listed             bool
	// reservedFor is the job that it drains for, until about reservedUntil.
	reservedFor   *jobState
	reservedUntil time.Time
	// probedAt is when it was last asked whether it hears.
	probedAt  time.Time
	releasing bool
	// requestedHere: this leader rented it, so it knows when.
	requestedHere bool
	// faultLogged: that it is suspect was logged.
	faultLogged bool
	// running: the cloud lists it as up, though it has not reported yet; failed: it
	// lists it as stopped.
	listedRunning, listedFailed bool
	idleSince                   time.Time
	refusedUntil                time.Time
}

type exitedTask struct {
	attempt        uint64
	unansweredRuns int
	stored         bool
}

func (s *Scheduler) machineNamed(name string) *machineState {
	machine := s.machines[name]
	if machine == nil {
		machine = &machineState{Machine: &fleet.Machine{Name: name, LastHeartbeat: s.now(), RequestedAt: s.now()},
			allocations: map[string]*allocation{}, imagesInUse: map[string]int{}, exited: map[string]*exitedTask{}, idleSince: s.now()}
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

// sortedMachines lists the machines by name. The list is shared and must not be changed.
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

// capacity is a machine's whole room.
func (m *machineState) capacity() fleet.Resources {
	if m.Spec == nil {
		return fleet.Resources{}
	}
	return fleet.Resources{CPUs: m.Spec.CPUs, Cards: m.Spec.Cards, MemoryGB: m.Spec.MemoryGB}
}

func (m *machineState) free() fleet.Resources { return m.capacity().Sub(m.used) }

// fetchSeconds is the time to get a job's image: none where it is held or, as far as
// the choice of a machine goes, already on its way.
func (m *machineState) fetchSeconds(job *jobState) float64 {
	if m.imagesInUse[job.Job.Image] > 0 {
		return 0
	}
	return m.FetchSeconds(job.Job.Image, job.Job.ImageGB)
}

// schedulable tells whether a machine may get new work.
func (s *Scheduler) schedulable(machine *machineState) bool {
	return machine.Up && machine.Spec != nil && !machine.releasing && machine.PreemptedAt.IsZero() && !s.faulty(machine) &&
		s.now().After(machine.refusedUntil) && s.since(machine.LastHeartbeat) < s.heartbeatTimeout(machine) && machine.link.State(s.now(), s.lease()) == reachability.Reachable
}

// heartbeatTimeout is how long a machine may be unheard and still get work.
func (s *Scheduler) heartbeatTimeout(machine *machineState) time.Duration {
	d := settings.Seconds(2.5 * s.settings.Facts.Workers.ReportS)
	if machine.relayPeer != "" {
		d += tuning.RelayRefresh
	}
	return d
}
