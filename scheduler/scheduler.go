// Package scheduler is the leader's state and decisions during one term: which jobs there are, where their tasks run, how
// the fleet scales out and in, and what is put on record. A Scheduler does no I/O of its own: the process (package
// controller) passes heartbeats, records and answers in, and carries out what the scheduler asks of its collaborators.
// One lock, held briefly, guards all of a term's state.
package scheduler

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/failuredetector"
	"switchferry/fleet"
	"switchferry/placement"
	"switchferry/policy"
	"switchferry/quota"
	"switchferry/relay/exchange"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// Scheduler is the state of one leadership term. Its exported methods may be called from any goroutine.
type Scheduler struct {
	term     uint64
	clock    clockwork.Clock
	settings *settings.Settings

	// What the Scheduler asks of the process that runs it.

	records        RecordWriter
	sender         CommandSender
	leadership     Leadership
	zones          ZoneMonitor
	terminalStates TerminalStates

	// termStarted is when the Scheduler was made.
	termStarted time.Time
	// wake receives when there is something to place before the next tick.
	wake chan struct{}

	// mu guards all fields below and all that they point to. It is held for short, and never during I/O.
	mu sync.Mutex

	// Configuration.

	configuration *configuration.Active
	// liveConfiguration is true once a configuration was applied that may change within the term.
	liveConfiguration bool
	// machineTypes is the cloud's catalog by name.
	machineTypes map[string]*api.MachineType
	// objectives are the times within which jobs of each class should be complete, in seconds, ascending.
	objectives map[string][]float64
	// deadlineMultiples are the multiples of their deadlines, above one, by which most jobs of a class should be
	// complete, ascending.
	deadlineMultiples map[string][]float64

	// Records.

	// loaded is true once the records have been read.
	loaded bool
	// damagedJobs are jobs of which a record could not be read.
	damagedJobs map[string]bool
	// currentFormat is true once every member runs a version that reads this version's records.
	currentFormat bool
	// tasksPerShard is how many tasks share a record that is written now; it keeps records within the state service's
	// limit for machine names of up to longestName bytes.
	tasksPerShard int
	longestName   int

	// Jobs.

	jobs map[string]*jobState
	// jobOrder lists the jobs in the order of compareJobs as of the last placement round; new ones are at the end.
	jobOrder     []*jobState
	archived     *archivedJobs
	dependencies *dependencies
	// lastAttempt and lastInstanceRequest make attempts and idempotency keys unique within the term.
	lastAttempt         uint64
	lastInstanceRequest uint64

	// Quotas, by team.

	// usage is what allocated tasks request; stoppingUsage is the part of it that is being stopped.
	usage         map[string]fleet.Resources
	stoppingUsage map[string]fleet.Resources
	quotas        quota.Ledger

	// Machines.

	machines map[string]*machineState
	// machinesByName is the result of sortedMachines; nil once machines came or went.
	machinesByName []*machineState
	// releasedAt is when machines were released lately.
	releasedAt    map[string]time.Time
	fleetLoggedAt time.Time
	// topology is nil without a topology.
	topology *topologyView
	// datasets is nil unless datasets are on.
	datasets *datasetState
	// imageHints are the images of machines that have not reported yet, as the last leader knew them;
	// imagesChanged is true if there are changes since they were stored at imagesStoredAt.
	imageHints     map[string][]fleet.Image
	imagesChanged  bool
	imagesStoredAt time.Time

	// Requests to the cloud.

	// instanceRefusals is until when a pool that refused a request is not asked again.
	instanceRefusals map[capacityPool]time.Time
	// instancesRequested counts open requests.
	instancesRequested int
	startupTimes       failuredetector.StartupTimes

	// Commands.

	// evidence counts what moves of tasks have rested on.
	evidence attemptEvidence
	// commandsReady are machines with commands whose records have been stored.
	commandsReady map[*machineState]bool
	// commandMailboxes holds the commands that are relayed through each peer.
	commandMailboxes *exchange.Mailboxes

	// Failure detection.

	lastHeartbeat time.Time
	detector      *failuredetector.Detector
	// evictionBudget bounds how many machines are released for their silence; deferralLoggedAt is when it was last
	// logged that some are not.
	evictionBudget   failuredetector.EvictionBudget
	deferralLoggedAt time.Time
	// lastDirectContact is when a worker last sent us a heartbeat itself or answered a command; unansweredCommands
	// counts the commands since then that none answered.
	lastDirectContact  time.Time
	unansweredCommands int

	// Placement round.

	// roundTime is the time of the current placement round; zero outside of one.
	roundTime time.Time
	// victimSearches counts how often a machine was searched for allocations to preempt.
	victimSearches int
	// scratchCounts and scratchQueued are reused by queuedAhead.
	scratchCounts map[*jobState]int
	scratchQueued []placement.Queued
}

// New returns the state of a new term. No record is read yet.
func New(term uint64, clock clockwork.Clock, set *settings.Settings, pol *policy.Policy, types []api.MachineType, with Collaborators) *Scheduler {
	started := clock.Now()
	scheduler := &Scheduler{
		term:              term,
		clock:             clock,
		settings:          set,
		records:           with.Records,
		sender:            with.Sender,
		leadership:        with.Leadership,
		zones:             with.Zones,
		terminalStates:    with.TerminalStates,
		configuration:     configuration.FromFiles(set.Facts.Teams, pol),
		termStarted:       started,
		lastHeartbeat:     started,
		lastDirectContact: started,
		machineTypes:      map[string]*api.MachineType{},
		jobs:              map[string]*jobState{},
		archived:          newArchivedJobs(tuning.ArchivedKept),
		machines:          map[string]*machineState{},
		releasedAt:        map[string]time.Time{},
		commandsReady:     map[*machineState]bool{},
		evidence:          attemptEvidence{proofs: map[releaseProof]int{}},
		usage:             map[string]fleet.Resources{},
		stoppingUsage:     map[string]fleet.Resources{},
		imageHints:        map[string][]fleet.Image{},
		instanceRefusals:  map[capacityPool]time.Time{},
		wake:              make(chan struct{}, 1),
		detector:          failuredetector.New(started, settings.Seconds(set.Facts.Workers.LeaseS)),
		tasksPerShard:     tuning.ShardTasks,
	}
	scheduler.dependencies = newDependencies(scheduler)
	scheduler.commandMailboxes = newMailboxes(scheduler, store.RelayResponsePrefix, store.RelayResponseKey, scheduler.relayedCommandBody)
	scheduler.objectives, scheduler.deadlineMultiples = objectivesByClass(set.Facts.Objectives)
	scheduler.SetTypes(types)
	return scheduler
}

// objectivesByClass returns, for each class of jobs, the times within which its jobs should be complete, in seconds,
// and the multiples of their deadlines, above one; both ascending.
func objectivesByClass(objectives []settings.Objective) (withinS, deadlineMultiples map[string][]float64) {
	withinS, deadlineMultiples = map[string][]float64{}, map[string][]float64{}
	for _, objective := range objectives {
		switch {
		case objective.Kind == "finished" && objective.WithinS > 0:
			withinS[objective.Class] = append(withinS[objective.Class], objective.WithinS)
		case objective.Kind == "deadline" && objective.Times > 1:
			deadlineMultiples[objective.Class] = append(deadlineMultiples[objective.Class], objective.Times)
		}
	}
	for _, byClass := range []map[string][]float64{withinS, deadlineMultiples} {
		for _, values := range byClass {
			slices.Sort(values)
		}
	}
	return withinS, deadlineMultiples
}

// Term returns the number of this term of the leader, the fencing token of its commands.
func (s *Scheduler) Term() uint64 { return s.term }

// TermStarted returns when this term began.
func (s *Scheduler) TermStarted() time.Time { return s.termStarted }

// Leading reports whether this controller certainly still leads in this term.
func (s *Scheduler) Leading() bool { return s.leadership.Leading() }

// Wake returns a channel that receives when there is something to place before the next tick.
func (s *Scheduler) Wake() <-chan struct{} { return s.wake }

// LookupNeeded returns a channel that receives when UnresolvedDependencies has grown.
func (s *Scheduler) LookupNeeded() <-chan struct{} { return s.dependencies.lookupNeeded }

// SetTypes updates the machine types by the cloud's catalog. Types that it does not name stay.
func (s *Scheduler) SetTypes(types []api.MachineType) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range types {
		machineType := types[i]
		s.machineTypes[machineType.Name] = &machineType
	}
	for _, machine := range s.machines {
		machine.Spec = s.machineTypes[machine.Type]
	}
}

// Loaded reports whether the records have been read.
func (s *Scheduler) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// Committed sends the commands whose records have been stored, in one message a machine.
func (s *Scheduler) Committed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for machine := range s.commandsReady {
		s.pushCommands(machine)
	}
	clear(s.commandsReady)
}

// withLock returns f as a callback of the committer that holds s.mu while f runs.
func (s *Scheduler) withLock(f func()) func() {
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	}
}

// wakePlacer asks for a placement round before the next tick.
func (s *Scheduler) wakePlacer() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// now returns the time; during a placement round that is the time at which the round began, since it asks for every
// machine and task. s.mu must be held.
func (s *Scheduler) now() time.Time {
	if !s.roundTime.IsZero() {
		return s.roundTime
	}
	return s.clock.Now()
}

// since returns the time since t by now. s.mu must be held.
func (s *Scheduler) since(t time.Time) time.Duration { return s.now().Sub(t) }

// lease returns the duration of the workers' leases.
func (s *Scheduler) lease() time.Duration { return settings.Seconds(s.settings.Facts.Workers.LeaseS) }

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
