// Package scheduler holds the leader's state during one term and makes its decisions: which jobs exist, where their
// tasks run, how the fleet scales out and in, and what is stored in the state service. A Scheduler does no I/O itself:
// the process (package controller) passes in heartbeats, records and responses, and does the I/O that the scheduler
// requests through its Collaborators. One lock, held briefly, guards all of a term's state.
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

	// Collaborators.

	records        RecordWriter
	sender         CommandSender
	leadership     Leadership
	zones          ZoneMonitor
	terminalStates TerminalStates
	fences         FenceRegistry

	// termStarted is when the Scheduler was created.
	termStarted time.Time
	// wake receives a value when a placement round should run before the next tick.
	wake chan struct{}

	// mu guards all fields below and everything they point to. It is held only briefly, and never during I/O.
	mu sync.Mutex

	// Configuration.

	configuration *configuration.Active
	// liveConfiguration is true once a configuration that may change within the term was applied.
	liveConfiguration bool
	// machineTypes holds the machine types in the cloud's catalog by name.
	machineTypes map[string]*api.MachineType
	// objectives holds, by job class, the times within which jobs should complete, in seconds, ascending.
	objectives map[string][]float64
	// deadlineMultiples holds, by job class, the multiples of their deadlines within which most jobs should complete;
	// all above one, ascending.
	deadlineMultiples map[string][]float64

	// Records.

	// loaded is true once the records have been read.
	loaded bool
	// damagedJobs holds the IDs of jobs that have a record that could not be read.
	damagedJobs map[string]bool
	// currentFormat is true once every member runs a version that can read records in this version's format.
	currentFormat bool
	// tasksPerShard is the number of tasks in a newly written shard record. With machine names of up to longestName
	// bytes, it keeps records within the state service's size limit.
	tasksPerShard int
	longestName   int

	// Jobs.

	jobs map[string]*jobState
	// jobOrder lists the jobs sorted by compareJobs as of the last placement round, followed by newer jobs.
	jobOrder     []*jobState
	archived     *archivedJobs
	dependencies *dependencies
	// lastAttempt and lastInstanceRequest are counters that make attempt numbers and idempotency keys unique within the
	// term.
	lastAttempt         uint64
	lastInstanceRequest uint64

	// Quotas, by team.

	// usage is the sum of the requests of allocated tasks; stoppingUsage is the part of it whose tasks are being
	// stopped.
	usage         map[string]fleet.Resources
	stoppingUsage map[string]fleet.Resources
	quotas        quota.Ledger

	// Machines.

	machines map[string]*machineState
	// machinesByName caches the result of sortedMachines; nil after machines were added or removed.
	machinesByName []*machineState
	// releasedAt holds, by machine name, when recently released machines were released.
	releasedAt    map[string]time.Time
	fleetLoggedAt time.Time
	// topology is nil if no topology is configured.
	topology *topologyState
	// datasets is nil unless datasets are enabled.
	datasets *datasetState
	// imageHints holds the images of machines that have not sent a heartbeat yet, as stored by the previous leader;
	// imagesChanged is true if the images changed since they were stored at imagesStoredAt.
	imageHints     map[string][]fleet.Image
	imagesChanged  bool
	imagesStoredAt time.Time

	// Requests to the cloud.

	// instanceRefusals holds, by pool, the time until which no instances are requested because the cloud refused a
	// request.
	instanceRefusals map[capacityPool]time.Time
	// instancesRequested is the number of open requests for instances.
	instancesRequested int
	startupTimes       failuredetector.StartupTimes

	// Commands.

	// fencing is whether the tokens of machines are raised.
	fencing Fencing
	// requiredToken is the highest token that the other controllers were told to give workers, and storedToken the highest
	// one that is in the state service or is being written; 0 if there is none.
	requiredToken, storedToken uint64
	// releaseStats counts released allocations by proof, and crossed messages.
	releaseStats releaseStats
	// commandsReady holds the machines whose commands can be sent because the records that they depend on are stored.
	commandsReady map[*machineState]bool
	// commandMailboxes holds the commands that are relayed through each peer.
	commandMailboxes *exchange.Mailboxes

	// Failure detection.

	lastHeartbeat time.Time
	detector      *failuredetector.Detector
	// evictionBudget limits how many machines are released for being silent; deferralLoggedAt is when it was last
	// logged that releases are deferred.
	evictionBudget   failuredetector.EvictionBudget
	deferralLoggedAt time.Time
	// lastDirectContact is when a worker last sent this controller a heartbeat directly or answered a command;
	// unansweredCommands counts the unanswered commands since then.
	lastDirectContact  time.Time
	unansweredCommands int

	// Placement round.

	// roundTime is the time of the current placement round; zero outside of one.
	roundTime time.Time
	// victimSearches counts how often a machine was searched for allocations to preempt.
	victimSearches int
	// scratchCounts and scratchQueued are reused by queuedAhead.
	scratchCounts map[*jobState]int
	scratchQueued []placement.QueuedJob
}

// New returns the Scheduler of a new term. Its records are not loaded yet.
func New(term uint64, clock clockwork.Clock, memberSettings *settings.Settings, schedulingPolicy *policy.Policy, machineTypes []api.MachineType, collaborators Collaborators) *Scheduler {
	started := clock.Now()
	scheduler := &Scheduler{
		term:              term,
		clock:             clock,
		settings:          memberSettings,
		records:           collaborators.Records,
		sender:            collaborators.Sender,
		leadership:        collaborators.Leadership,
		zones:             collaborators.Zones,
		terminalStates:    collaborators.TerminalStates,
		fences:            collaborators.Fences,
		configuration:     configuration.FromFiles(memberSettings.Facts.Teams, schedulingPolicy),
		termStarted:       started,
		lastHeartbeat:     started,
		lastDirectContact: started,
		machineTypes:      map[string]*api.MachineType{},
		jobs:              map[string]*jobState{},
		archived:          newArchivedJobs(tuning.ArchivedJobsCapacity),
		machines:          map[string]*machineState{},
		releasedAt:        map[string]time.Time{},
		commandsReady:     map[*machineState]bool{},
		releaseStats:      releaseStats{proofs: map[releaseProof]int{}},
		usage:             map[string]fleet.Resources{},
		stoppingUsage:     map[string]fleet.Resources{},
		imageHints:        map[string][]fleet.Image{},
		instanceRefusals:  map[capacityPool]time.Time{},
		wake:              make(chan struct{}, 1),
		detector:          failuredetector.New(started, settings.Seconds(memberSettings.Facts.Workers.LeaseS)),
		tasksPerShard:     tuning.TasksPerShard,
	}
	scheduler.dependencies = newDependencies(scheduler)
	scheduler.commandMailboxes = newMailboxes(scheduler, store.RelayResponsePrefix, store.RelayResponseKey, scheduler.relayedCommandBody)
	scheduler.objectives, scheduler.deadlineMultiples = objectivesByClass(memberSettings.Facts.Objectives)
	scheduler.UpdateMachineTypes(machineTypes)
	return scheduler
}

// objectivesByClass returns, by job class, the times within which jobs should complete, in seconds, and the multiples
// of their deadlines that are above one; both ascending.
func objectivesByClass(objectives []settings.Objective) (withinS, deadlineMultiples map[string][]float64) {
	withinS, deadlineMultiples = map[string][]float64{}, map[string][]float64{}
	for _, objective := range objectives {
		switch {
		case objective.Kind == "finished" && objective.WithinS > 0:
			withinS[objective.Class] = append(withinS[objective.Class], objective.WithinS)
		case objective.Kind == "deadline" && objective.DeadlineFactor > 1:
			deadlineMultiples[objective.Class] = append(deadlineMultiples[objective.Class], objective.DeadlineFactor)
		}
	}
	for _, byClass := range []map[string][]float64{withinS, deadlineMultiples} {
		for _, values := range byClass {
			slices.Sort(values)
		}
	}
	return withinS, deadlineMultiples
}

// Term returns the number of this leadership term, which is the fencing token of its commands.
func (s *Scheduler) Term() uint64 { return s.term }

// TermStarted returns when this term began.
func (s *Scheduler) TermStarted() time.Time { return s.termStarted }

// Leading reports whether this controller is certain to be the leader still in this term.
func (s *Scheduler) Leading() bool { return s.leadership.Leading() }

// Wake returns a channel that receives a value when a placement round should run before the next tick.
func (s *Scheduler) Wake() <-chan struct{} { return s.wake }

// LookupNeeded returns a channel that receives a value when UnresolvedDependencies has new entries.
func (s *Scheduler) LookupNeeded() <-chan struct{} { return s.dependencies.lookupNeeded }

// UpdateMachineTypes adds or replaces machine types from the cloud's catalog. Types that are not in machineTypes are
// kept.
func (s *Scheduler) UpdateMachineTypes(machineTypes []api.MachineType) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range machineTypes {
		machineType := machineTypes[i]
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

// Committed sends the commands whose records have been stored, in one message for each machine.
func (s *Scheduler) Committed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for machine := range s.commandsReady {
		s.pushCommands(machine)
	}
	clear(s.commandsReady)
}

// withLock returns a callback for the committer that calls f with s.mu held.
func (s *Scheduler) withLock(f func()) func() {
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	}
}

// wakePlacer requests a placement round before the next tick.
func (s *Scheduler) wakePlacer() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// now returns the current time. During a placement round, which calls it for every machine and task, it returns the
// time at which the round began. s.mu must be held.
func (s *Scheduler) now() time.Time {
	if !s.roundTime.IsZero() {
		return s.roundTime
	}
	return s.clock.Now()
}

// since returns the time elapsed between t and now. s.mu must be held.
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
