// Package tuning holds every constant of the service, with unit and reason.
package tuning

import "time"

// Leadership.
const (
	// TermTTL is the life of the leader's key: a leader that crashed is succeeded when it
	// ends. Long against a slow state answer (a few hundred ms) and a starved processor.
	TermTTL = 900 * time.Millisecond
	// RenewEvery leaves room for three renewals before the key ends; RenewAtOnce of them
	// may be under way, so that one whose answer is late, or lost, holds up no other.
	RenewEvery  = 200 * time.Millisecond
	RenewAtOnce = 8
	// TermMargin is taken off our own view of the key's life: 0.05% drift
	// plus the delay of a timer.
	TermMargin = 100 * time.Millisecond
	// Holdover bounds how long a leader that lost the state service goes on
	// answering reports. Long against an outage, and no proof rests on it.
	Holdover = 180 * time.Second
	// CampaignDelay is how long a leader that resigned leaves the post to others.
	CampaignDelay = 5 * time.Second
	// IsolatedDelay holds back a candidate that reaches no sibling, so that one
	// with a working network wins.
	IsolatedDelay = 1500 * time.Millisecond
	// IsolatedAfter: a leader that hears no worker and no sibling for so long,
	// while machines should report, resigns.
	IsolatedAfter = 3500 * time.Millisecond
	// OutboundLostCommands is how many commands in a row must have gone unanswered, besides,
	// before a leader holds itself and not the machines for cut off.
	OutboundLostCommands = 5
	// LeaderlessGrace is how long, with nobody leading although the state service answers,
	// workers are answered with the last term's token: several elections.
	LeaderlessGrace = 6 * time.Second
	// LeaseRenewalMargin is taken off the time for which a controller that hears of no
	// cancellation renews leases: drift and the worker's own delay. A command that was
	// lost just before the cut began is the second line's matter.
	LeaseRenewalMargin = time.Second
	// CancelReleaseMargin before a cancelled task must be gone, its machine is returned: a cloud
	// call takes up to 5 s.
	CancelReleaseMargin = 6 * time.Second
	// ElectRetry paces a candidate whose attempt failed.
	ElectRetry = 250 * time.Millisecond
)

// Pace of computing, which controllers compare.
const (
	// BenchmarkBytes are hashed so many times, BenchmarkRounds, to measure it: small enough to stay in
	// the nearest cache after the first time, long enough, some 80 microseconds, that this
	// first time does not count, and a thousandth of the processor.
	BenchmarkBytes  = 16 << 10
	BenchmarkRounds = 8
	// BenchmarkEvery and BenchmarkSamples: others compare with the most of so many tries, half a
	// minute's: however many a coarse clock shows as nothing, one of them shows its time.
	BenchmarkEvery   = 100 * time.Millisecond
	BenchmarkSamples = 300
	// BenchmarkRecent and BenchmarkRank: of its own last tries a controller compares the third largest:
	// one or two may have been disturbed.
	BenchmarkRecent = 30
	BenchmarkRank   = 3
	// TransferSlowdown is how many times slower than a sibling a leader may compute.
	// Machines of one kind differ by a tenth or so.
	TransferSlowdown = 2.0
	// TransferAfter is how long that must last: a change of leader costs a second or
	// two of starts.
	TransferAfter = 1500 * time.Millisecond
	// TransferMinTerm is the least length of a term that ends for this reason, so
	// that two slow controllers do not pass it back and forth.
	TransferMinTerm = 20 * time.Second
)

// Calls.
const (
	// StateTimeout bounds one state call; slow answers take a few hundred ms.
	StateTimeout = 1200 * time.Millisecond
	// HedgeAfter is how long a transaction may go unanswered before it is sent once more: a
	// few times the usual answer of under 10 ms.
	HedgeAfter = 30 * time.Millisecond
	// HedgeTries is how often it is sent at the most: with one answer in 25 late, one
	// transaction in 16,000 is then waited for.
	HedgeTries = 3
	// WatchBlock is how long a watch waits for changes. Short, since a watch
	// stays open through an outage and so hides it.
	WatchBlock = 2 * time.Second
	// InboxBlock is the same for the inbox, which nobody waits on.
	InboxBlock = 10 * time.Second
	// DialTimeout bounds a connection attempt; one that was given up does not
	// complete later.
	DialTimeout = time.Second
	// IdleConns bounds open connections to other services that wait for use,
	// against the limit of sockets.
	IdleConns = 100
	// WorkerTimeout bounds a direct command: past it, its outcome is unknown.
	WorkerTimeout = 2 * time.Second
	// CloudTimeout bounds a cloud call.
	CloudTimeout = 5 * time.Second
	// PeerTimeout bounds a request that is passed on to a sibling.
	PeerTimeout = 1500 * time.Millisecond
	// PollPatience is the same for a user's question, who waits 2 s in all: a read
	// of the state service must fit behind it.
	PollPatience = 700 * time.Millisecond
	// QuestionWait is how long a question waits for its turn to read the state service: with a leader
	// that did not answer and the read itself it fits into what its user waits.
	QuestionWait = time.Second
	// UnansweredKept is how many jobs a controller remembers whose questions went unanswered.
	UnansweredKept = 20_000
	// AcceptPatience is the same for a submission: several times what a sibling
	// needs to answer a greeting. One that answers that is busy, and is waited for.
	AcceptPatience = 150 * time.Millisecond
	// PeerHello is the interval of greetings between controllers.
	PeerHello = 500 * time.Millisecond
	// PeerDead: a sibling silent for so long counts as unreachable.
	PeerDead = 1600 * time.Millisecond
	// AcceptWait bounds how long a submission waits for its record; past it
	// the user is told to come back.
	AcceptWait = 1500 * time.Millisecond
	// BodyLimit is the protocol's limit of a request body in bytes.
	BodyLimit = 64 << 10
	// FrameLimit bounds a frame on the back port in bytes: a body and its names.
	FrameLimit = 80 << 10
	// FrameMembers bounds the members that a greeting names.
	FrameMembers = 64
	// AnswerLimit bounds what is read of an answer, in bytes. State lists
	// reach 512 KiB; watches have no limit of their own.
	AnswerLimit = 4 << 20
)

// Sockets, as parts of the platform's limit.
const (
	// ConnNearLimit: from here on workers close their connections after each answer.
	ConnNearLimit = 0.7
	// ConnCommandLimit: from here on commands to workers open none.
	ConnCommandLimit = 0.8
	// ConnFull: above it idle workers' connections are closed for newcomers. The rest
	// is what may open in the moments that this takes.
	ConnFull = 0.9
	// ConnLogEvery is how often it is logged that sockets are scarce.
	ConnLogEvery = 10 * time.Second
)

// RefusedKept is how many refused jobs a controller remembers to spread their users' retries.
const RefusedKept = 20_000

// RefusedFor is how long users retry in all.
const RefusedFor = 60 * time.Second

// RetryAfterS is what a user is told to wait, in seconds.
const RetryAfterS = 1

// RetryAfterMost is the longest that users heed, in seconds.
const RetryAfterMost = 30

// Records.
const (
	// ShardTasks is how many tasks share one record: with all of them on
	// machines, at under 30 bytes each, the record stays within 16 KiB.
	ShardTasks = 400
	// PlacedBytes is what a task on a machine takes in its record at most beside the machine's
	// name, NameBytes how long names are taken for at least; ShardMargin is the rest of the
	// record.
	PlacedBytes = 28
	NameBytes   = 20
	ShardMargin = 100
	// FinalCache is how many final jobs a controller keeps in memory.
	FinalCache = 4000
	// ImagesEvery is the pace of storing which machines hold which images: a
	// hint for the next leader, worth few writes.
	ImagesEvery = 8 * time.Second
	// ImagesMachines, ImagesEach, ImagesNames and ImagesNameBytes bound one such
	// record: so many machines, images of each, names in all, and bytes of a
	// name, at under 4 bytes an index, 20 a machine and 20 a size, stay within
	// 16 KiB.
	ImagesMachines  = 64
	ImagesEach      = 24
	ImagesNames     = 100
	ImagesNameBytes = 48
	// ImagesBytes: where a value holds less, records of what machines hold have half as many
	// machines, and of each only as many images as fit.
	ImagesBytes = 8 << 10
	// AttemptBits of an attempt number count within a term; the rest is the term.
	AttemptBits = 24
	// QuotaShare is the share of the write limit that the leader uses; the
	// rest is for siblings that accept jobs themselves.
	QuotaShare = 0.8
	// CompletionBatchDelay is how long the end of a task may wait to be recorded with others of its
	// shard, while its job is not over: what is lost if its machine dies meanwhile is one task.
	CompletionBatchDelay = 2 * time.Second
	// UrgentReserve of a second's changes are kept for accepts, cancellations, ends and what
	// production starts: a burst of some jobs is then stored at once whatever else waits.
	UrgentReserve = 0.25
	// RecordOverdueAfter is how long a record waits behind others before OverdueShare of all changes are for
	// those that have, oldest first.
	RecordOverdueAfter = 5 * time.Second
	OverdueShare       = 0.25
	// QuarantineTime is how long a record is left alone that the state service does not take.
	QuarantineTime = 10 * time.Second
	// ReservedFor is how long a domain stays reserved without being asked for again, some rounds;
	// ReservedMost is how many are at once: each keeps room empty that others wait for.
	ReservedFor  = 3 * time.Second
	ReservedMost = 4
	// SearchAfterBoot is how long a machine that was rented for a task without a place may take to
	// report and get it, beyond its boot; SearchPause and SearchPauseMax are the pauses between such
	// tries: a rack may be free at any time, but each try in vain costs a boot.
	SearchAfterBoot = 30 * time.Second
	SearchPause     = 2 * time.Minute
	SearchPauseMax  = time.Hour
	// DomainSearchEvery is how long it is not looked again for where room can be made for a job that must
	// stand near: all machines are looked at for that.
	DomainSearchEvery = time.Second
	// TopologyEvery is how often the topology file is looked at for a new version.
	TopologyEvery = 5 * time.Second
	// SiteCost is what each reason against a machine weighs in the choice for a replica that
	// only wishes to stand near or apart, in seconds until it starts: more than a fetch of a
	// large image, so that a wish counts for more than a start a minute earlier.
	SiteCost = 60.0
	// HedgeSpare is the share of what a writer may write at once that must be left for
	// transactions to be sent again.
	HedgeSpare = 0.5
	// HedgeShare is the share of the write limit that may go into that with less left.
	HedgeShare = 0.1
)

// Pipelines: jobs that await others.
const (
	// MaxDependencies is how many jobs one may await: at under 40 bytes each, and a job's other
	// fields, its record stays within 2 KiB for ids of usual length.
	MaxDependencies = 64
	// DependencyLookups bounds how many keys are read at once to look awaited jobs up.
	DependencyLookups = 8
	// DependencyRetryDelay is how long after an awaited job was not found it is looked for once more,
	// before its submission is refused for good: another node may just be storing it.
	DependencyRetryDelay = 250 * time.Millisecond
	// MaxDependencyReads is how many jobs before one are looked at to answer for it without the
	// leader; with more, its user is told to ask again.
	MaxDependencyReads = 40
	// DependencyRetryEvery paces looking up awaited jobs of which the state service did not tell.
	DependencyRetryEvery = 500 * time.Millisecond
	// StageGapMS is what passes between the end of a job and the first start of one that
	// waits for it, beside the fetch: the report of the end, its record, that of the start and
	// the command.
	StageGapMS = 1500
)

// Membership: how controllers judge each other by their greetings, which come every PeerHello.
const (
	// IntervalsKept are the last times between greetings that count, some 50 s of them;
	// IntervalsPrior is how many of them the priors weigh, IntervalsSpread the priors' deviation
	// as a part of the usual time, and the least at any time.
	IntervalsKept   = 100
	IntervalsPrior  = 10.0
	IntervalsSpread = 0.25
	// PhiSuspect is the phi from which on a member is suspected: one silence in 100,000 by
	// chance, 1.05 s with greetings as usual. PhiFail, after FailSilence at least, which a pause
	// seldom reaches, and with another controller that does not hear it either, is a verdict.
	// PhiMax bounds it, where numbers end.
	PhiSuspect  = 5.0
	PhiFail     = 12.0
	PhiMax      = 40.0
	FailSilence = 3500 * time.Millisecond
	// MinPause between two steps, which come four times a second or more, is a standstill of
	// our own.
	MinPause = 700 * time.Millisecond
	// HealthMost bounds how many times our own troubles stretch the time before others are
	// suspected; one of them is forgotten every HealthAgain; from HealthSlow on we call
	// ourselves slow.
	HealthMost  = 8
	HealthAgain = 5 * time.Second
	HealthSlow  = 2
	// CrashFresh is how long a refused connection counts.
	CrashFresh = 3 * time.Second
	// ViewFresh is how old a greeting may be for what it says of others to count: three of them.
	ViewFresh = 1500 * time.Millisecond
	// ShutdownMax bounds a planned end; ShutdownNoticeTime is how long siblings and load balancer are given
	// to hear of it (two probes, a second each), ShutdownLinger how long requests that still came
	// here are served once another leads.
	ShutdownMax        = 10 * time.Second
	ShutdownNoticeTime = 2500 * time.Millisecond
	ShutdownLinger     = 500 * time.Millisecond
	// MembersEvery is the pace of steps without observations.
	MembersEvery = 200 * time.Millisecond
)

// UpgradeEvery is how often a controller looks for the marks of those that have none yet.
const UpgradeEvery = time.Second

// ReadShare is the share of the state service's limit of requests that all
// controllers together use to answer users: renewals, records and elections come first.
const ReadShare = 0.5

// Machines.
const (
	// SilentReports: a machine unheard for so many report intervals is given
	// up and returned, which proves that its tasks are gone.
	SilentReports = 3.2
	// SilentMin is the least such time: loss and resending take a second.
	SilentMin = 3500 * time.Millisecond
	// MinProcessPause is the least gap between a leader's rounds, of which there are
	// two a second or more, that is a standstill and not load.
	MinProcessPause = 1500 * time.Millisecond
	// PartitionLeases times the workers' lease: so long a machine that may be behind
	// a cut is left alone. Its zone's controllers may be keeping its tasks
	// alive; replicas that are spread could not run elsewhere anyway.
	PartitionLeases = 6
	// ReadyUnknown is what a machine whose type is not known is taken to need to boot.
	ReadyUnknown = time.Minute
	// EvictFreelyShare is the silent share of a zone up to which its machines are given up as
	// they become due; up to EvictSlowlyShare, EvictShare of the zone's machines a second are,
	// above it a fifth of that. EvictBurstShare of them, and EvictBurstMachines machines, may go
	// at any moment. A third of a zone at once is more than spot waves took; above 55%
	// Kubernetes slows down as well.
	EvictFreelyShare   = 0.34
	EvictSlowlyShare   = 0.55
	EvictShare         = 0.02
	EvictBurstShare    = 0.05
	EvictBurstMachines = 8.0
	// EvictionLogEvery is how often it is logged that machines are not given up.
	EvictionLogEvery = 10 * time.Second
	// NewTermGrace is added to the workers' lease before a new leader gives
	// up a machine that it has not heard yet.
	NewTermGrace = 2 * time.Second
	// StartupUsualFactor times the catalog's boot time, or that of machines rented later, is
	// what a boot takes at most as a rule.
	StartupUsualFactor = 1.6
	// StartupDeadlineFactor times the catalog's boot time: later machines are replaced.
	StartupDeadlineFactor = 3.0
	// FaultyFailures: so many errors in a row, of two jobs or more, and the
	// machine is suspect.
	FaultyFailures = 3
	// BrokenJobMachines: a job that failed on so many machines, with nothing of it
	// working, more likely has a mistake than bad luck.
	BrokenJobMachines = 3
	// BrokenJobRunTime is how long a task runs that is not failing: mistakes and faulty
	// machines show at once.
	BrokenJobRunTime = 3 * time.Second
	// InstanceRefusalPause: after a 503 this kind of machine is not asked for again
	// for a while.
	InstanceRefusalPause = 12 * time.Second
	// ListLagMost times the cloud's lag is how old its list may be, as the protocol says.
	ListLagMost = 2.0
	// ListEvery paces the machine list.
	ListEvery = 5 * time.Second
	// CatalogEvery paces the catalog.
	CatalogEvery = 60 * time.Second
	// ServiceHeadroom times what may not run on spot machines is kept on ordinary
	// ones, so that replicas of a lost machine find room.
	ServiceHeadroom = 1.3
	// InstanceRequestBatch is the cloud's limit for one rental.
	InstanceRequestBatch = 50
	// ReleaseBatch is the cloud's limit for one return.
	ReleaseBatch = 100
	// PreemptionNoticeSlack is kept free before a machine is taken back, in seconds.
	PreemptionNoticeSlack = 1.0
)

// Workers that are sent from node to node.
const (
	// RedirectTrip is how long a worker may take to leave for the node that it
	// was sent to: half a second and a report already under way.
	RedirectTrip = 2 * time.Second
	// RedirectBackoff is how long a worker that came back is not sent there again.
	RedirectBackoff = 30 * time.Second
	// RedirectProbe is how often one worker may be sent to a controller that hears
	// none. It loses half its lease if that one is deaf.
	RedirectProbe = 10 * time.Second
	// RecentHeartbeats: a controller hears workers if one reported to it within so
	// many report intervals.
	RecentHeartbeats = 2.5
)

// Relay of reports through the state service, while a sibling does not reach
// the leader.
const (
	// RelayEvery is the pace of writing reports: a write a second is little
	// against the state service's limit.
	RelayEvery = 700 * time.Millisecond
	// RelayRefresh is how long an unchanged report is not written again.
	RelayRefresh = 3 * time.Second
	// RelayStageRefresh is RelayRefresh for agents: under their reports' usual interval, so that
	// each of these is passed on, and none is taken for silent.
	RelayStageRefresh = 1500 * time.Millisecond
	// PacketMargin is kept free in a value for the JSON around a letter, in bytes.
	PacketMargin = 160
	// PacketRequestBytes bounds a transaction of letters, in bytes, against 64 KiB: keys and
	// conditions are the rest.
	PacketRequestBytes = 56 << 10
	// PacketRatio bounds how many bytes of messages are packed at once for each byte that
	// a letter holds.
	PacketRatio = 12.0
	// MaxPacketPieces is the most pieces of one message: 1 MiB that does not pack.
	MaxPacketPieces = 256
	// PacketMachines is how many machines' mail stands in one letter as a rule: a change
	// for one of them writes it anew.
	PacketMachines = 48
	// RelayShare is the share of the state service's limit of writes that each controller
	// takes to pass reports on: two of them beside the leader's 0.8.
	RelayShare = 0.1
)

// Scheduling.
const (
	// Tick is the pace of the placer when nothing wakes it.
	Tick = 250 * time.Millisecond
	// PlaceGap is the least time between two runs of the placer, so that a
	// burst of reports costs one run.
	PlaceGap = 15 * time.Millisecond
	// PlaceRest is how many times its own duration the placer rests, so that it
	// takes a quarter of the processor at the most: on a slow machine or in a
	// burst, renewals, reports and submissions come before it.
	PlaceRest = 3
	// BeginMostS is the most that operators may set begin_by_s to, in seconds: users expect the
	// largest jobs, too, to begin within four minutes, and a machine takes some time to drain.
	BeginMostS = 200
	// StarvationReserveEvery is how often it is looked for machines to keep for a job whose turn has come.
	StarvationReserveEvery = time.Second
	// StarvedStartProtected is how long a task that was started because its job had waited long makes room for
	// production alone: most tasks are done by then.
	StarvedStartProtected = time.Minute
	// CancelStartWait is how long the answer to a cancellation waits for starts that are under way: a command's answer
	// takes milliseconds, a report after a change half a second, and users wait 5 s.
	CancelStartWait = time.Second
	// PassedOverAfter is after how long it is logged that a job waits though a machine has room for it: before users call
	// that a fault, at 90 s.
	PassedOverAfter = time.Minute
	// QuotaReserved is how long room of a team's limit is reserved without its coming, and QuotaRests how long there
	// is none then: users expect that nobody waits 90 s while their team is under its limit.
	QuotaReserved = time.Minute
	QuotaRests    = 15 * time.Second
	// ReservedShare of the machines may be kept so at once: half of their room stands empty while they
	// drain, some 2% of the fleet.
	ReservedShare = 0.05
	// FleetLogEvery is the pace of the log line that tells how full the fleet is.
	FleetLogEvery = 10 * time.Second
	// MaintainEvery is the pace of renting and returning.
	MaintainEvery = 500 * time.Millisecond
	// BackoffBase and BackoffMax pace a job that fails across machines.
	BackoffBase = time.Second
	BackoffMax  = 60 * time.Second
	// BackoffErrors is on how many machines a job may fail before it is paced.
	BackoffErrors = 3
	// CancelKill is the wind-down of a cancelled task: its work is of no use.
	CancelKill = 0.0
	// MinRun is the least estimate of a task's time in seconds, so that a
	// wrong estimate does not make a machine look endless.
	MinRun = 1.0
	// FreeFetch is a fetch, in seconds, that an idle machine makes without
	// hesitation.
	FreeFetch = 2.0
	// PullPatience is the share of its fetch that an idle machine waits before
	// it takes a task off the queue of a machine that holds the image.
	PullPatience = 0.5
	// GuaranteePatience is how long a job within its guarantee waits for room
	// before other teams' work beyond theirs is stopped for it: most waits are
	// shorter, and what is stopped may have no checkpoint.
	GuaranteePatience = 6 * time.Second
	// WorkWeight is by how many times the time that a job's rest would take the
	// whole fleet its latest start counts as later.
	WorkWeight = 10.0
	// WorkWaiting times the number of jobs that wait is that weight where it is more: a
	// larger fleet takes less time for each, but as many stand before the next.
	WorkWaiting = 1.0
	// WorkMost bounds that time, in seconds, against absurd estimates.
	WorkMost = 1e6
	// PreemptionLoss is what each earlier stop adds to the loss of stopping a task
	// again: about a task's run time, so that it is some other's turn.
	PreemptionLoss = 30 * time.Second
	// ReportTasks is how many tasks, ended ones that are not cleared included, a
	// machine may have and still get more: at some 75 bytes each, its report fits
	// a relay's record of 16 KiB, and a body of 64 KiB with ease.
	ReportTasks = 160
	// ResourceSlack absorbs the rounding of decimal amounts.
	ResourceSlack = 1e-6
)

// Process.
const (
	// HeaderTimeout bounds how long a connection may take to say what it wants.
	HeaderTimeout = 10 * time.Second
	// HeapShare is the share of the memory limit that the heap may grow to
	// before the collector works harder; the rest is stacks and the runtime.
	HeapShare = 0.6
	// ClientTimeout bounds one request of the command line.
	ClientTimeout = 5 * time.Second
	// ClientTotal bounds a command with its retries.
	ClientTotal = 60 * time.Second
)

// Data: datasets, who holds them, and their staging.
const (
	// ManifestLimit is the largest manifest that is read, in bytes: about 160,000
	// chunks at 100 bytes each.
	ManifestLimit = 16 << 20
	// ChunkLimit is the largest chunk, in bytes: it is what is thrown away when its
	// digest is wrong.
	ChunkLimit = 64 << 20
	// PartsLimit is the most parts of a dataset: tasks of the largest job.
	PartsLimit = 100_000
	// OddParts is how many parts may have a size of their own, so that a dataset's
	// record, at some 20 bytes each, stays within one value of the state service.
	OddParts = 400
	// MaxReportedErrors bounds the mistakes in one answer.
	MaxReportedErrors = 20
	// InputsLimit is the most inputs of a job.
	InputsLimit = 16
	// GroupsFilled is how many groups of tasks, the largest, are water-filled over the
	// whole fleet; tasks of further groups are placed one by one, each a group by
	// itself. It bounds a decision at so many passes over the machines.
	GroupsFilled = 64
)

// Staging: the agents' side.
const (
	// StageBlock is what a transfer writes at once, in bytes: at most so much of one is
	// copied again after a crash.
	StageBlock = 256 << 10
	// StageStall is how long one block may take: slower is a drip that holds a copy's
	// place, and another source is tried.
	StageStall = 10 * time.Second
	// StageBackoff and StageBackoffMax pace a copy all of whose sources failed.
	StageBackoff    = 250 * time.Millisecond
	StageBackoffMax = 15 * time.Second
	// StageAtOnce is how many parts an agent copies, and how many it serves, at once.
	StageAtOnce = 4
	// StageReportMin is the least time between two of an agent's reports.
	StageReportMin = 100 * time.Millisecond
	// StageReportEvery is their usual interval.
	StageReportEvery = 2 * time.Second
	// StageCallTimeout bounds a report's call, as a worker's.
	StageCallTimeout = 4 * time.Second
	// PackSample is how much of a chunk is packed to find out whether it pays, in
	// bytes, and PackPays the share of its size that it must shrink to.
	PackSample = 64 << 10
	PackPays   = 0.9
	// PackMemory bounds what unpacking a peer's answer may take, in bytes.
	PackMemory = 16 << 20
	// OrderLimit is the largest order or report of staging, in bytes.
	OrderLimit = 1 << 20
)

// Staging: the leader's side.
const (
	// StageResend is how long an order may be without effect before it goes out again.
	StageResend = time.Second
	// StageSilent is how long an agent may be unheard and still be a source, or chosen
	// for a task with inputs: a few of its reports.
	StageSilent = 3 * StageReportEvery
	// StageGiveUp is how long a copy may get on by nothing before others no longer wait
	// for it: a stall and a retry.
	StageGiveUp = 30 * time.Second
	// StageSources is how many peers an order names for a part: one that fails is left
	// for the next without asking the leader.
	StageSources = 3
	// StagePerLink and StageAtStore are how many copies a machine takes in, and gives
	// out, and the store gives out, at once, unless the features file says otherwise.
	StagePerLink = 1
	StageAtStore = 8
	// StageCacheGB is the size of an agent's cache, unless the features file says otherwise.
	StageCacheGB = 50.0
	// StageMove is how long a task's copies may make no headway, its cache full or its
	// sources silent, before it is given to another machine.
	StageMove = 30 * time.Second
	// StageAhead is for how many queued tasks a machine, beyond those with room, inputs
	// are copied ahead, unless the features file says otherwise.
	StageAhead = 4
	// CardsMost is the most cards of a machine.
	CardsMost = 64
	// ReplicaHintsEvery is the pace of storing who holds what, a hint worth few writes;
	// ReplicaHintMargin is kept free in its value for the JSON around it, in bytes.
	ReplicaHintsEvery = 10 * time.Second
	ReplicaHintMargin = 64
	// RemovePoll is how often the command line asks whether a dataset is removed.
	RemovePoll = 2 * time.Second
	// RemoveTries is how often a dataset's record is read again when it changed meanwhile.
	RemoveTries = 3
	// DatasetsLimit is the most datasets that controllers keep in memory: at some 300
	// bytes each this is 3 MB.
	DatasetsLimit = 10_000
)

// Contact: whether a machine that is heard hears its controllers.
const (
	// HopsSuspect newer reports that show nothing of an answer, and a machine is suspected to be
	// half-deaf: one is what a controller that failed leaves behind.
	HopsSuspect = 2
	// HopsOutboundLost such reports over a lease, and it is: workers turn to another controller 5 s after
	// a report that got no answer, so three take one lease of 10 s.
	HopsOutboundLost = 3
	// InboundLostLeases is for how many leases a machine that answers commands and reaches no controller is kept: filters
	// between machines and controllers are mended in less, and it costs a boot to replace it.
	InboundLostLeases = 2
	// ProbesAtOnce is how many machines that are suspected so, or silent, are asked at once whether they hear,
	// each for WorkerTimeout at the most: a zone of hundreds must not take all sockets. Silent ones must be asked
	// between 2.5 and 3.2 report intervals, a fifth of a thousand in two seconds.
	ProbesAtOnce = 48
	// HeartbeatsKept is how many machines a controller remembers the newest report of, to tell copies:
	// four times the largest fleet, some 100 bytes each.
	HeartbeatsKept = 4096
)

// Word of cancellations between controllers (package watermark).
const (
	// CancellationsKept is how many cancellations a controller remembers, some 100 bytes each: those of two
	// minutes at the highest limit of writes, one a cancellation. CancellationsAtOnce go into an answer, which
	// stays under FrameLimit.
	CancellationsKept   = 30_000
	CancellationsAtOnce = 800
	// WatermarksAsked are questions to a sibling that may wait for their answers: a connection without any
	// answer ends after PeerDead.
	WatermarksAsked = 16
	// CancellationAgain: a cancellation told so much later once more counts from then.
	CancellationAgain = 5 * time.Second
	// CancellationSweep is how often those that are due for long are forgotten.
	CancellationSweep = time.Second
	// WatermarkGrain is taken off what a sibling says of its knowledge: milliseconds on the way, and
	// the drift of two clocks over a minute and a half.
	WatermarkGrain = 50 * time.Millisecond
	// WatermarkBlock is how long a look at the records of jobs waits for a change: what is known is that
	// much older while nothing happens.
	WatermarkBlock = time.Second
	// WatermarkNeeded: a controller that answered a worker by itself so lately reads the records of jobs.
	WatermarkNeeded = 10 * time.Second
)

// Live configuration (package configuration).
const (
	// ConfigurationEvery is the pace at which a controller that does not lead looks for a newer revision: two followers
	// take five reads a second of the state service's limit. ConfigurationLease is for how long from its question it may
	// go by what it has read: three of these, so that one late answer does not end it, and short against the 4 s in which
	// a change must be in force everywhere.
	ConfigurationEvery = 400 * time.Millisecond
	ConfigurationLease = 1500 * time.Millisecond
	// ConfigurationGrain is added to that by whoever waits for it to end: the drift of two clocks over it, below 1 ms,
	// and a timer's delay.
	ConfigurationGrain = 50 * time.Millisecond
	// ConfigurationAnswer is how long a change's user waits for it to be in force before being told what it waits for: a
	// request that a sibling passes on has PeerTimeout. ConfigurationStep is the pace of looking.
	ConfigurationAnswer = 1100 * time.Millisecond
	ConfigurationStep   = 20 * time.Millisecond
	// ConfigurationTurn is how long a change waits for one before it: some changes in a row with all there.
	ConfigurationTurn = 300 * time.Millisecond
	// ConfigurationBytes is the largest document: with JSON around it, it fits into a request of 64 KiB. A hundred
	// teams take 10 KB.
	ConfigurationBytes = 40 << 10
	// ConfigurationPartMargin is kept free in a value for the JSON around a part, in bytes; ConfigurationPartsMost are
	// the most parts of a revision, those of the largest document that does not pack in values of 1 KiB.
	ConfigurationPartMargin = 128
	ConfigurationPartsMost  = 64
	// ConfigurationKept are the last revisions that stay on record; ConfigurationSwept how many older ones each change
	// looks for, so that one whose removal failed goes with a later change.
	ConfigurationKept  = 50
	ConfigurationSwept = 3
	// ConfigurationStopMostS is the most that stop_within_s may be, in seconds.
	ConfigurationStopMostS = 600
	// AheadMost is the most that ahead_tasks may be.
	AheadMost = 1000
)
