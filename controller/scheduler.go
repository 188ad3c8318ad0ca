package controller

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

// Hooks are the core's ways out. They are called with the core's lock held and
// must not block.
type Hooks struct {
	MarkDirty func(key string, urgency int, after func())
	// MarkDirtyWithin is MarkDirty for what may wait that long to be written with other changes of its key.
	MarkDirtyWithin func(key string, urgency int, wait time.Duration, after func())
	SendCommands    func(name, addr string, o api.HeartbeatResponse)
	// HandleStageHeartbeat sends an agent its order; it is used only with datasets on.
	SendStageOrder func(name, addr string, o api.StageOrder)
	Leading        func() bool
	// CommitDelay is how long a new accept would wait for the state service's limit.
	CommitDelay func() time.Duration
	// ZoneUnreachable tells whether no controller in a zone can be reached.
	ZoneUnreachable func(zone string) bool
	// JobTerminal tells that a job is over for good; TerminalState is what is remembered of that.
	JobTerminal   func(id string, f store.FinalRecord)
	TerminalState func(id string) (store.FinalRecord, bool)
}

// Scheduler is the leader's state in one term.
type Scheduler struct {
	term     uint64
	clock    clockwork.Clock
	settings *settings.Settings
	hooks    Hooks

	mu sync.Mutex
	// configuration is what operators have configured, as it counts now; configured: it may change.
	configuration     *configuration.Active
	liveConfiguration bool
	loaded            bool
	termStarted       time.Time
	machineTypes      map[string]*api.MachineType
	// topology is nil without a topology.
	topology *topologyView
	jobs     map[string]*jobState
	jobOrder []*jobState
	machines map[string]*machineState
	// machinesByName is the list of sortedMachines; nil once machines came or went.
	machinesByName []*machineState
	releasedAt     map[string]time.Time
	// usage is what each team's tasks take; leaving is the part of it that tasks
	// take which are being stopped.
	usage               map[string]fleet.Resources
	stoppingUsage       map[string]fleet.Resources
	quotas              quota.Ledger
	lastAttempt         uint64
	lastInstanceRequest uint64
	// objectives are the classes' times of completion, sooner first.
	objectives map[string][]float64
	// grace are the multiples of their deadlines, above one, by which most
	// jobs of a class should be complete; smaller first.
	deadlineMultiples map[string][]float64
	// commandsReady are machines with commands that a commit has set free.
	commandsReady      map[*machineState]bool
	instanceRefusals   map[capacityPool]time.Time
	instancesRequested int
	wake               chan struct{}
	lastHeartbeat      time.Time
	detector           *failuredetector.Detector
	// evictionBudget bounds how many machines are given up for their silence; spared is when it was
	// last logged that some are left alone.
	evictionBudget   failuredetector.EvictionBudget
	deferralLoggedAt time.Time
	// lastDirectContact is when a worker last reported to us itself or answered a command;
	// failed counts commands since that none answered.
	lastDirectContact  time.Time
	unansweredCommands int
	startupTimes       failuredetector.StartupTimes
	// imageHints are the images of machines that have not reported yet, as the last
	// leader knew them; imagesChanged: there is more to put on record since
	// imagesStoredAt.
	imageHints     map[string][]fleet.Image
	imagesChanged  bool
	imagesStoredAt time.Time
	// told is when the fleet was last logged.
	fleetLoggedAt time.Time
	// victimSearches counts the machines that were searched for something to stop.
	victimSearches int
	// scratchCounts and queued are what ahead counts in.
	scratchCounts map[*jobState]int
	scratchQueued []placement.Queued
	// roundTime is the time during a run of the placer; zero outside of it.
	roundTime time.Time
	// commandMailboxes holds what stands in the mail for the machines behind each sibling.
	commandMailboxes *exchange.Mailboxes
	// datasets is nil unless datasets are on.
	datasets *datasetState
	// tasksPerShard is how many tasks share a record that is written now; own: it is this version's
	// number, which keeps to the least limit, for machines with names of longestName.
	tasksPerShard int
	currentFormat bool
	longestName   int
	dependencies  *dependencies
	// damagedJobs are jobs of which a record could not be read.
	damagedJobs map[string]bool
}

// NewScheduler returns the state of a new term. No record is read yet.
func NewScheduler(term uint64, clock clockwork.Clock, set *settings.Settings, pol *policy.Policy, types []api.MachineType, hooks Hooks) *Scheduler {
	started := clock.Now()
	s := &Scheduler{
		term:              term,
		clock:             clock,
		settings:          set,
		hooks:             hooks,
		configuration:     configuration.FromFiles(set.Facts.Teams, pol),
		termStarted:       started,
		lastHeartbeat:     started,
		lastDirectContact: started,
		machineTypes:      map[string]*api.MachineType{},
		jobs:              map[string]*jobState{},
		machines:          map[string]*machineState{},
		releasedAt:        map[string]time.Time{},
		commandsReady:     map[*machineState]bool{},
		usage:             map[string]fleet.Resources{},
		stoppingUsage:     map[string]fleet.Resources{},
		imageHints:        map[string][]fleet.Image{},
		instanceRefusals:  map[capacityPool]time.Time{},
		wake:              make(chan struct{}, 1),
		detector:          failuredetector.New(started, settings.Seconds(set.Facts.Workers.LeaseS)),
		tasksPerShard:     tuning.ShardTasks,
	}
	s.dependencies = newDependencies(s)
	s.commandMailboxes = newMailboxes(s, store.MailPrefix, store.MailKey, s.relayedCommandBody)
	s.objectives, s.deadlineMultiples = objectivesByClass(set.Facts.Objectives)
	s.SetTypes(types)
	return s
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
func (s *Scheduler) Leading() bool { return s.hooks.Leading() }

// Wake returns a channel that receives when there is something to place before the next tick.
func (s *Scheduler) Wake() <-chan struct{} { return s.wake }

// LookupNeeded returns a channel that receives when UnresolvedDependencies has grown.
func (s *Scheduler) LookupNeeded() <-chan struct{} { return s.dependencies.lookupNeeded }

// SetTypes takes in the cloud's catalog.
func (s *Scheduler) SetTypes(types []api.MachineType) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range types {
		t := types[i]
		s.machineTypes[t.Name] = &t
	}
	for _, machine := range s.machines {
		machine.Spec = s.machineTypes[machine.Type]
	}
}

// Loaded tells whether the records have been read.
func (s *Scheduler) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// Committed sends what a commit has set free, in one command a machine.
func (s *Scheduler) Committed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for machine := range s.commandsReady {
		s.pushCommands(machine)
	}
	clear(s.commandsReady)
}

// withLock makes a callback of the committer take the lock.
func (s *Scheduler) withLock(f func()) func() {
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	}
}

func (s *Scheduler) wakePlacer() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// now is the time, which stands still during one run of the placer: it asks for
// every machine and task.
func (s *Scheduler) now() time.Time {
	if !s.roundTime.IsZero() {
		return s.roundTime
	}
	return s.clock.Now()
}

func (s *Scheduler) since(t time.Time) time.Duration { return s.now().Sub(t) }

// lease is the workers' lease.
func (s *Scheduler) lease() time.Duration { return settings.Seconds(s.settings.Facts.Workers.LeaseS) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
