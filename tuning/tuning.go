// Package tuning has the constants that the service's behaviour is tuned by, each with its unit and the reason for its
// value. It does not know what uses them. A constant of type time.Duration has no unit in its name.
package tuning

import "time"

// Leadership.
const (
	// TermTTL is the lifetime of the leader's key without renewal. A crashed leader is succeeded when it ends. It is
	// long compared with a slow answer of the state service (a few hundred ms) and with a process short of CPU time.
	TermTTL = 900 * time.Millisecond
	// RenewEvery is the interval of the key's renewals: three fit into TermTTL. RenewAtOnce is the limit of concurrent
	// renewals, so that one whose answer is late or lost does not delay the others.
	RenewEvery  = 200 * time.Millisecond
	RenewAtOnce = 8
	// TermMargin is subtracted from the key's lifetime as the leader computes it: 0.05% of clock drift and the delay of
	// a timer.
	TermMargin = 100 * time.Millisecond
	// Holdover limits how long a leader that has lost the state service goes on answering heartbeats. It is long
	// compared with an outage, and no safety argument depends on it.
	Holdover = 180 * time.Second
	// CampaignDelay is how long a leader that has resigned does not campaign, so that another one is elected.
	CampaignDelay = 5 * time.Second
	// IsolatedDelay delays a candidate that reaches no peer, so that one with a working network is elected.
	IsolatedDelay = 1500 * time.Millisecond
	// IsolatedAfter is how long a leader receives nothing from any worker or peer, although there are machines, before
	// it resigns.
	IsolatedAfter = 3500 * time.Millisecond
	// OutboundLostCommands is how many commands in a row must have had no answer as well before a leader concludes that
	// it is itself partitioned, and not the machines.
	OutboundLostCommands = 5
	// LeaderlessGrace is how long workers are answered with the last term's token while there is no leader although the
	// state service answers. Several elections fit into it.
	LeaderlessGrace = 6 * time.Second
	// LeaseRenewalMargin is subtracted from the time for which a controller that receives no news of cancellations renews
	// leases: clock drift and the worker's own delay. Commands that were lost just before a partition are not covered;
	// CancelReleaseMargin is for these.
	LeaseRenewalMargin = time.Second
	// CancelReleaseMargin is how long before a cancelled task must be gone its machine is returned to the cloud. A call
	// of the cloud takes up to 5 s.
	CancelReleaseMargin = 6 * time.Second
	// ElectRetry is the pause after a failed attempt to become leader, or to accept a connection.
	ElectRetry = 250 * time.Millisecond
)

// The benchmark by which controllers compare how fast they compute.
const (
	// BenchmarkBytes is the size of the data that one benchmark hashes BenchmarkRounds times. It stays in the nearest CPU
	// cache after the first round, and takes long enough, some 80 microseconds, that the first round does not matter.
	// All benchmarks together take a thousandth of the CPU time.
	BenchmarkBytes  = 16 << 10
	BenchmarkRounds = 8
	// BenchmarkEvery is the interval of benchmarks. Peers compare with the longest of the last BenchmarkSamples, those of
	// half a minute, because a coarse clock shows most of them as zero.
	BenchmarkEvery   = 100 * time.Millisecond
	BenchmarkSamples = 300
	// BenchmarkRecent is how many of its own last benchmarks a controller considers. It compares the longest but for
	// BenchmarkRank - 1 of them, since one or two may have been disturbed.
	BenchmarkRecent = 30
	BenchmarkRank   = 3
	// TransferSlowdown is how many times slower than a peer a leader must compute to transfer the leadership. Machines
	// of one kind differ by about a tenth.
	TransferSlowdown = 2.0
	// TransferAfter is how long that must last. A change of leader delays starts by a second or two.
	TransferAfter = 1500 * time.Millisecond
	// TransferMinTerm is the least length of a term that ends for this reason, so that two slow controllers do not
	// transfer the leadership back and forth.
	TransferMinTerm = 20 * time.Second
)

// Timeouts and limits of calls.
const (
	// StateTimeout limits a call of the state service; slow answers take a few hundred ms.
	StateTimeout = 1200 * time.Millisecond
	// HedgeAfter is how long a transaction has no answer before it is sent again: a few times the usual answer time of
	// under 10 ms.
	HedgeAfter = 30 * time.Millisecond
	// HedgeTries is how often a transaction is sent at most. With one answer in 25 late, one transaction in 16,000 then
	// has to wait for a late one.
	HedgeTries = 3
	// WatchBlock is how long a watch waits for changes. It is short because a watch stays open during an outage of the
	// state service, and so hides it.
	WatchBlock = 2 * time.Second
	// InboxBlock is WatchBlock for the inbox, whose watch nothing waits for.
	InboxBlock = 10 * time.Second
	// DialTimeout limits an attempt to connect. An attempt that was given up does not complete later.
	DialTimeout = time.Second
	// IdleConns limits the idle connections to other services, because of the limit of sockets.
	IdleConns = 100
	// WorkerTimeout limits a direct command to a worker. After it, the outcome is unknown.
	WorkerTimeout = 2 * time.Second
	// CloudTimeout limits a call of the cloud.
	CloudTimeout = 5 * time.Second
	// PeerTimeout limits a request that is passed on to a peer.
	PeerTimeout = 1500 * time.Millisecond
	// PollPatience is how long a peer may be silent for a status request. Its user waits 2 s in all, into which a read
	// of the state service must fit as well.
	PollPatience = 700 * time.Millisecond
	// QuestionWait is how long a status request waits for its turn to read the state service. It fits, with a leader
	// that did not answer and the read itself, into the time that the user waits.
	QuestionWait = time.Second
	// UnansweredKept is the number of jobs whose unanswered status requests a controller remembers.
	UnansweredKept = 20_000
	// AcceptPatience is how long a peer may be silent for a submission: several times what it needs to answer a
	// greeting. A peer that answers the greeting is busy, and is waited for.
	AcceptPatience = 150 * time.Millisecond
	// PeerHello is the interval of greetings between controllers.
	PeerHello = 500 * time.Millisecond
	// PeerDead is after how long a silence a peer counts as unreachable.
	PeerDead = 1600 * time.Millisecond
	// AcceptWait limits how long a submission waits until its record is stored. After it, the user is told to retry.
	AcceptWait = 1500 * time.Millisecond
	// BodyLimit is the protocol's limit of a request body in bytes.
	BodyLimit = 64 << 10
	// FrameLimit is the largest frame between controllers in bytes: a body and the names around it.
	FrameLimit = 80 << 10
	// FrameMembers is the largest number of members that a greeting lists.
	FrameMembers = 64
	// AnswerLimit is the largest answer that is read, in bytes. Lists of the state service reach 512 KiB; its watches
	// have no limit of their own.
	AnswerLimit = 4 << 20
)

// Use of sockets, as shares of the platform's limit.
const (
	// ConnNearLimit is the use from which on workers are told to close their connections after each answer.
	ConnNearLimit = 0.7
	// ConnCommandLimit is the use from which on no connections are opened for commands to workers.
	ConnCommandLimit = 0.8
	// ConnFull is the use above which idle connections of workers are closed for new ones. The rest is what may be opened
	// while that takes effect.
	ConnFull = 0.9
	// ConnLogEvery is the interval of the log line that says that sockets are scarce.
	ConnLogEvery = 10 * time.Second
)

// RefusedKept is how many refused jobs a controller remembers to spread the retries of their users.
const RefusedKept = 20_000

// RefusedFor is how long users retry in all.
const RefusedFor = 60 * time.Second

// RetryAfterS is the pause that a user is usually told to make, in seconds.
const RetryAfterS = 1

// RetryAfterMost is the longest pause that users make when told to, in seconds.
const RetryAfterMost = 30

// Records in the state service.
const (
	// ShardTasks is the number of tasks that share one record. With all of them on machines, at under 30 bytes each, the
	// record stays within 16 KiB.
	ShardTasks = 400
	// PlacedBytes is the most that a task on a machine adds to its record beside the machine's name. NameBytes is the
	// least length that a name is assumed to have. ShardMargin is the size of the rest of the record.
	PlacedBytes = 28
	NameBytes   = 20
	ShardMargin = 100
	// FinalCache is the number of jobs in a terminal state that a controller keeps in memory.
	FinalCache = 4000
	// ArchivedKept is the number of jobs that a leader knows to have archived in its term. At the write limits of large
	// deployments, two changes for each job, that is half a minute or more, and no read of the state service takes as long;
	// one that does is not adopted.
	ArchivedKept = 4000
	// ImagesEvery is the interval of storing which machines hold which images. It is a hint for the next leader, worth
	// few writes.
	ImagesEvery = 8 * time.Second
	// ImagesMachines, ImagesEach, ImagesNames and ImagesNameBytes limit such a record: its machines, the images of each,
	// its names in all, and the length of a name in bytes. At under 4 bytes an index, 20 a machine and 20 a size, it stays
	// within 16 KiB.
	ImagesMachines  = 64
	ImagesEach      = 24
	ImagesNames     = 100
	ImagesNameBytes = 48
	// ImagesBytes is the limit of a value in bytes below which these records have half as many machines, and only as many
	// images of each as fit.
	ImagesBytes = 8 << 10
	// AttemptBits is the number of low bits of an attempt number that count within a term; the others are the term.
	AttemptBits = 24
	// QuotaShare is the share of the write limit that the leader uses. The rest is for followers that accept jobs
	// themselves.
	QuotaShare = 0.8
	// CompletionBatchDelay is how long the completion of a task may wait to be recorded with others of its shard, unless
	// its job is done with it. If the machine dies in that time, one task is lost.
	CompletionBatchDelay = 2 * time.Second
	// UrgentReserve is the share of a second's changes that is reserved for submissions, cancellations, ends of jobs and
	// starts of production, so that a burst of some jobs is stored at once whatever else waits.
	UrgentReserve = 0.25
	// RecordOverdueAfter is how long a record waits behind others before OverdueShare of all changes are reserved for such
	// records, oldest first.
	RecordOverdueAfter = 5 * time.Second
	OverdueShare       = 0.25
	// QuarantineTime is how long a record that the state service refuses is not written again.
	QuarantineTime = 10 * time.Second
	// ReservedFor is how long the reservation of a domain lasts without being renewed: some placement rounds.
	// ReservedMost is the largest number of reservations, since each leaves resources unused that others wait for.
	ReservedFor  = 3 * time.Second
	ReservedMost = 4
	// SearchAfterBoot is how long a machine that was rented for a task without a place may take to report and get the
	// task, beyond its boot time. SearchPause is the first pause between such attempts, SearchPauseMax the longest: a rack
	// may have free machines at any time, but each attempt in vain costs a boot.
	SearchAfterBoot = 30 * time.Second
	SearchPause     = 2 * time.Minute
	SearchPauseMax  = time.Hour
	// DomainSearchEvery is the least interval of searches for a domain in which tasks can be preempted for a job that
	// must be in one domain, since a search visits all machines.
	DomainSearchEvery = time.Second
	// TopologyEvery is the interval of checks whether the topology file has a new version.
	TopologyEvery = 5 * time.Second
	// SiteCost is the cost, in seconds until the start, of each violated preference in the choice of a machine for a
	// replica. It exceeds the fetch of a large image, so a preference outweighs a start a minute earlier.
	SiteCost = 60.0
	// HedgeSpare is the share of a writer's allowance that must be unused for transactions to be sent again.
	HedgeSpare = 0.5
	// HedgeShare is the share of the write limit that may be used for that with less left.
	HedgeShare = 0.1
)

// Dependencies between jobs.
const (
	// MaxDependencies is the largest number of jobs that one may await. At under 40 bytes each, and with the other fields,
	// a job's record stays within 2 KiB for ids of usual length.
	MaxDependencies = 64
	// DependencyLookups is the number of keys that are read at once to look up awaited jobs.
	DependencyLookups = 8
	// DependencyRetryDelay is the pause before an awaited job that was not found is looked up again, before its submission
	// is refused for good. Another controller may be storing it.
	DependencyRetryDelay = 250 * time.Millisecond
	// MaxDependencyReads is the largest number of jobs that are read to answer for a job that depends on them without the
	// leader. With more, the user is told to retry.
	MaxDependencyReads = 40
	// DependencyRetryEvery is the interval of looking up awaited jobs that the state service has not reported.
	DependencyRetryEvery = 500 * time.Millisecond
	// StageGapMS is the time in milliseconds from the end of a job to the first start of one that awaits it, without the
	// image fetch: the report of the end, its record, the record of the start, and the command.
	StageGapMS = 1500
)

// Membership: failure detection between controllers by their greetings, which come every PeerHello.
const (
	// IntervalsKept is the number of last intervals between greetings that are considered, those of some 50 s.
	// IntervalsPrior is how many of them the priors weigh as much as. IntervalsSpread is the standard deviation of the
	// priors, and the least one at any time, as a share of the usual interval.
	IntervalsKept   = 100
	IntervalsPrior  = 10.0
	IntervalsSpread = 0.25
	// PhiSuspect is the phi from which on a member is suspected: one silence in 100,000 reaches it by chance, after 1.05 s
	// with usual greetings. PhiFail, after FailSilence at least, which a process pause seldom reaches, and if another
	// controller does not receive from the member either, is the verdict that it has failed. PhiMax is the largest phi,
	// where the precision of numbers ends.
	PhiSuspect  = 5.0
	PhiFail     = 12.0
	PhiMax      = 40.0
	FailSilence = 3500 * time.Millisecond
	// MinPause is the least gap between two steps, which come four times a second or more, that counts as a pause of this
	// process.
	MinPause = 700 * time.Millisecond
	// HealthMost is the largest number of this controller's own recent troubles that are counted. The time until others
	// are suspected grows with the number. One is forgotten every HealthAgain. From HealthSlow on the controller reports
	// itself as slow.
	HealthMost  = 8
	HealthAgain = 5 * time.Second
	HealthSlow  = 2
	// CrashFresh is how long a refused connection counts as evidence of a crash.
	CrashFresh = 3 * time.Second
	// ViewFresh is the largest age of a greeting whose list of heard peers is used: three intervals.
	ViewFresh = 1500 * time.Millisecond
	// ShutdownMax limits a graceful shutdown. ShutdownNoticeTime is how long peers and the load balancer are given to
	// learn of it (two probes, a second each). ShutdownLinger is how long requests that still arrive are served once there
	// is another leader.
	ShutdownMax        = 10 * time.Second
	ShutdownNoticeTime = 2500 * time.Millisecond
	ShutdownLinger     = 500 * time.Millisecond
	// MembersEvery is the interval of evaluations without observations.
	MembersEvery = 200 * time.Millisecond
)

// UpgradeEvery is the interval at which a controller looks for the version marks of members that have none yet.
const UpgradeEvery = time.Second

// ReadShare is the share of the state service's request limit that all controllers together use to answer users.
// Renewals, records and elections have priority.
const ReadShare = 0.5

// Machines.
const (
	// SilentReports is the number of report intervals after which a silent machine is given up and returned, which proves
	// that its tasks are gone.
	SilentReports = 3.2
	// MinSilence is the least such time, since a lost packet is resent after up to a second.
	MinSilence = 3500 * time.Millisecond
	// MinProcessPause is the least gap between a leader's rounds, of which there are two a second or more, that counts as
	// a pause of the process and not as load.
	MinProcessPause = 1500 * time.Millisecond
	// PartitionLeases is how many leases a machine that may be behind a network partition is kept. Controllers of its zone
	// may be renewing its tasks' leases, and replicas that are spread could not run elsewhere anyway.
	PartitionLeases = 6
	// ReadyUnknown is the assumed boot time of a machine of unknown type.
	ReadyUnknown = time.Minute
	// EvictFreelyShare is the silent share of a zone up to which its machines are given up as they become due. Up to
	// EvictSlowlyShare, EvictShare of the zone's machines are given up a second, above it a fifth of that. The eviction
	// budget holds EvictBurstShare of them, and EvictBurstMachines machines. A third of a zone at once is more than waves
	// of spot preemptions took; above 55% Kubernetes slows down as well.
	EvictFreelyShare   = 0.34
	EvictSlowlyShare   = 0.55
	EvictShare         = 0.02
	EvictBurstShare    = 0.05
	EvictBurstMachines = 8.0
	// EvictionLogEvery is the interval of the log line that says that machines are not given up.
	EvictionLogEvery = 10 * time.Second
	// NewTermGrace is added to the workers' lease before a new leader gives up a machine that it has no heartbeat of.
	NewTermGrace = 2 * time.Second
	// StartupUsualFactor times the catalog's boot time, or that of machines rented later, is the longest usual boot.
	StartupUsualFactor = 1.6
	// StartupDeadlineFactor times the catalog's boot time is the deadline after which a machine is replaced.
	StartupDeadlineFactor = 3.0
	// FaultyFailures is the number of errors in a row, of two jobs or more, that makes a machine suspect.
	FaultyFailures = 3
	// BrokenJobMachines is the number of machines on which a job of which nothing works must have failed to be considered
	// broken: a mistake in the job is then more likely than several faulty machines.
	BrokenJobMachines = 3
	// BrokenJobRunTime is after how long a run a task is taken to work. Mistakes and faulty machines show at once.
	BrokenJobRunTime = 3 * time.Second
	// InstanceRefusalPause is how long a type, zone and kind of machine is not requested after a 503.
	InstanceRefusalPause = 12 * time.Second
	// ListLagMost times the cloud's lag is the largest age of its list, as the protocol says.
	ListLagMost = 2.0
	// ListEvery is the interval of reading the machine list.
	ListEvery = 5 * time.Second
	// CatalogEvery is the interval of reading the catalog.
	CatalogEvery = 60 * time.Second
	// ServiceHeadroom times the demand that may not run on spot machines is the capacity kept on ordinary ones, so that
	// replicas of a lost machine can be placed at once.
	ServiceHeadroom = 1.3
	// InstanceRequestBatch is the cloud's limit of machines in one rental request.
	InstanceRequestBatch = 50
	// ReleaseBatch is the cloud's limit of machines in one return.
	ReleaseBatch = 100
	// PreemptionNoticeSlack is the time, in seconds, before a spot machine is taken by which its tasks must have saved.
	PreemptionNoticeSlack = 1.0
)

// Redirects of workers to other controllers.
const (
	// RedirectTrip is how long a worker may take to report to the controller that it was redirected to: half a second,
	// and a heartbeat that is under way.
	RedirectTrip = 2 * time.Second
	// RedirectBackoff is how long a worker that came back is not redirected to that controller again.
	RedirectBackoff = 30 * time.Second
	// RedirectProbe is the interval at which one worker may be redirected to a controller that receives no heartbeats. The
	// worker loses half its lease if that controller cannot receive them.
	RedirectProbe = 10 * time.Second
	// RecentHeartbeats is the number of report intervals within which a worker must have reported to a controller for it
	// to announce that it receives heartbeats.
	RecentHeartbeats = 2.5
)

// Relay of heartbeats through the state service, for a controller that does not reach the leader.
const (
	// RelayEvery is the interval of writing relayed heartbeats. A write a second is little of the state service's limit.
	RelayEvery = 700 * time.Millisecond
	// RelayRefresh is after how long an unchanged heartbeat is written again.
	RelayRefresh = 3 * time.Second
	// RelayedCommandsSpan is for how many heartbeats after the one that they were derived from a peer delivers relayed
	// commands. Until then no start among them is settled. It is a few times what a packet takes there and back.
	RelayedCommandsSpan = 8
	// RelayStageRefresh is RelayRefresh for data agents. It is below their usual interval, so that each of their heartbeats
	// is relayed and none counts as silent.
	RelayStageRefresh = 1500 * time.Millisecond
	// PacketMargin is the size in bytes reserved in a value for the JSON around a packet.
	PacketMargin = 160
	// PacketRequestBytes limits a transaction of packets in bytes. Keys and conditions take the rest of 64 KiB.
	PacketRequestBytes = 56 << 10
	// PacketRatio is the number of bytes of messages that are compressed at once for each byte of a packet.
	PacketRatio = 12.0
	// MaxPacketPieces is the largest number of pieces of a message: 1 MiB that does not compress.
	MaxPacketPieces = 256
	// PacketMachines is the usual number of machines whose messages share a packet, which is written anew for a change of
	// any of them.
	PacketMachines = 48
	// RelayShare is the share of the state service's write limit that each controller uses for relaying: there are two
	// beside the leader's QuotaShare.
	RelayShare = 0.1
)

// Scheduling.
const (
	// Tick is the interval of placement rounds that nothing else triggers.
	Tick = 250 * time.Millisecond
	// PlaceGap is the least time between two placement rounds, so that a burst of heartbeats causes one.
	PlaceGap = 15 * time.Millisecond
	// PlaceRest times the duration of a placement round is the pause after it. Placement so takes a quarter of the CPU time
	// at most: on a slow machine or in a burst, renewals, heartbeats and submissions have priority.
	PlaceRest = 3
	// BeginMostS is the largest value of the policy's begin_by_s, in seconds. Users expect the largest jobs to begin
	// within four minutes as well, and it takes some time to drain a machine.
	BeginMostS = 200
	// StarvationReserveEvery is the interval of searches for machines to reserve for a starving job.
	StarvationReserveEvery = time.Second
	// StarvedStartProtected is how long a task that was started because its job was starving can be preempted by
	// production only. Most tasks are done by then.
	StarvedStartProtected = time.Minute
	// CancelStartWait is how long the answer to a cancellation waits for starts that are under way. The answer to a command
	// takes milliseconds, a heartbeat after a change half a second, and users wait 5 s.
	CancelStartWait = time.Second
	// PassedOverAfter is after how long it is logged that a job waits although it fits a machine: before users consider
	// that a fault, at 90 s.
	PassedOverAfter = time.Minute
	// QuotaReserved is how long a reservation of a team's quota lasts if it is not used. QuotaRests is for how long none is
	// made then. Users expect that no job waits 90 s while its team is under its limit.
	QuotaReserved = time.Minute
	QuotaRests    = 15 * time.Second
	// ReservedShare is the largest share of the machines reserved for starving jobs. Half of their capacity is unused while
	// they drain, some 2% of the fleet.
	ReservedShare = 0.05
	// FleetLogEvery is the interval of the log line about the use of the fleet.
	FleetLogEvery = 10 * time.Second
	// MaintainEvery is the interval of scaling out and in.
	MaintainEvery = 500 * time.Millisecond
	// BackoffBase is the first pause before a failing job is started again, BackoffMax the longest.
	BackoffBase = time.Second
	BackoffMax  = 60 * time.Second
	// BackoffErrors is the number of machines on which a job may fail before it is delayed.
	BackoffErrors = 3
	// CancelKill is the grace period, in seconds, of a cancelled task, whose work is of no use.
	CancelKill = 0.0
	// MinRun is the least estimate of a task's run time that is used, in seconds, so that a wrong estimate does not make a
	// machine appear to have endless capacity.
	MinRun = 1.0
	// FreeFetch is an image fetch, in seconds, that an idle machine makes without waiting.
	FreeFetch = 2.0
	// PullPatience is the share of its own fetch time that an idle machine waits before it takes a task from the run queue
	// of a machine that has the image.
	PullPatience = 0.5
	// GuaranteePatience is how long a job within its team's guarantee waits before work of other teams beyond theirs is
	// preempted for it. Most waits are shorter, and what is preempted may have no checkpoint.
	GuaranteePatience = 6 * time.Second
	// WorkWeight is the factor of the time that the rest of a job would take the whole fleet, by which its latest start
	// counts as later.
	WorkWeight = 10.0
	// WorkWaiting times the number of waiting jobs replaces WorkWeight where it is larger. A larger fleet takes less time
	// for each job, but as many are ahead of the next.
	WorkWaiting = 1.0
	// WorkMost limits that time, in seconds, because of absurd estimates.
	WorkMost = 1e6
	// PreemptionLoss is added to the cost of preempting a task for each earlier preemption of it: about the run time of a
	// task, so that others are preempted first.
	PreemptionLoss = 30 * time.Second
	// ReportTasks is the number of tasks, exited ones that are not cleared included, up to which a machine gets more. At
	// some 75 bytes each, its heartbeat fits into a relay's record of 16 KiB, and easily into a body of 64 KiB.
	ReportTasks = 160
	// ResourceSlack is the tolerance for rounding of decimal amounts.
	ResourceSlack = 1e-6
)

// Process.
const (
	// HeaderTimeout limits how long a client may take to send the header of a request.
	HeaderTimeout = 10 * time.Second
	// HeapShare is the share of the memory limit up to which the heap grows before the garbage collector works harder. The
	// rest is for stacks and the runtime.
	HeapShare = 0.6
	// ClientTimeout limits one request of the command line.
	ClientTimeout = 5 * time.Second
	// ClientTotal limits a command with all its retries, unless a flag says otherwise.
	ClientTotal = 60 * time.Second
)

// Datasets.
const (
	// ManifestLimit is the largest manifest that is read, in bytes: about 160,000 chunks of 100 bytes each.
	ManifestLimit = 16 << 20
	// ChunkLimit is the largest chunk in bytes. A chunk is discarded as a whole if its digest is wrong.
	ChunkLimit = 64 << 20
	// PartsLimit is the largest number of parts of a dataset: the tasks of the largest job.
	PartsLimit = 100_000
	// OddParts is the number of parts that may have a size of their own. At some 20 bytes each, the dataset's record stays
	// within one value of the state service.
	OddParts = 400
	// MaxReportedErrors is the largest number of errors in one answer.
	MaxReportedErrors = 20
	// InputsLimit is the largest number of inputs of a job.
	InputsLimit = 16
	// GroupsFilled is the number of task groups, the largest ones, that are placed by water-filling over the whole fleet.
	// Tasks of other groups are placed one by one. It limits a decision to so many passes over the machines.
	GroupsFilled = 64
)

// Staging, on the side of the data agents.
const (
	// StageBlock is the number of bytes that a transfer writes at once, and the most that is copied again after a crash.
	StageBlock = 256 << 10
	// StageStall is how long a block may take. A slower source would occupy a copy's slot, so another one is tried.
	StageStall = 10 * time.Second
	// StageBackoff is the first pause before a copy all of whose sources failed is tried again, StageBackoffMax the longest.
	StageBackoff    = 250 * time.Millisecond
	StageBackoffMax = 15 * time.Second
	// StageAtOnce is how many parts an agent copies at once, and how many it serves.
	StageAtOnce = 4
	// MinStageReportInterval is the least interval of an agent's heartbeats.
	MinStageReportInterval = 100 * time.Millisecond
	// StageReportEvery is the usual interval of an agent's heartbeats.
	StageReportEvery = 2 * time.Second
	// StageCallTimeout limits a heartbeat's call, as a worker's.
	StageCallTimeout = 4 * time.Second
	// PackSample is the number of bytes of a chunk that are compressed to find out whether it pays. PackPays is the share
	// of their size that they must shrink to.
	PackSample = 64 << 10
	PackPays   = 0.9
	// PackMemory is the largest size in bytes that an agent's answer may decompress to.
	PackMemory = 16 << 20
	// OrderLimit is the largest order to an agent, and the largest heartbeat of one, in bytes.
	OrderLimit = 1 << 20
)

// Staging, on the side of the leader.
const (
	// StageResend is how long an order may have no effect before it is sent again.
	StageResend = time.Second
	// StageSilent is how long an agent may be silent and still be used as a source, or for a task with inputs.
	StageSilent = 3 * StageReportEvery
	// StageGiveUp is how long a copy may make no progress before others no longer wait for it: a stall and a retry.
	StageGiveUp = 30 * time.Second
	// StageSources is the number of peers that an order lists for a part. If one fails, the agent tries the next without
	// asking the leader.
	StageSources = 3
	// StagePerLink is how many copies a machine receives at once, and how many it serves. StageAtStore is how many the
	// store serves at once. The features file may say otherwise.
	StagePerLink = 1
	StageAtStore = 8
	// StageCacheGB is the size of an agent's cache in gigabytes, unless the features file says otherwise.
	StageCacheGB = 50.0
	// StageMove is how long a task's copies may make no progress, because the cache is full or the sources are silent,
	// before the task is moved to another machine.
	StageMove = 30 * time.Second
	// StageAhead is for how many queued tasks per machine, beyond those that have a machine, inputs are copied ahead,
	// unless the features file says otherwise.
	StageAhead = 4
	// CardsMost is the largest number of accelerators of a machine.
	CardsMost = 64
	// ReplicaHintsEvery is the interval of storing which machine has which parts, a hint worth few writes.
	// ReplicaHintMargin is the size in bytes reserved in its value for the JSON around it.
	ReplicaHintsEvery = 10 * time.Second
	ReplicaHintMargin = 64
	// RemovePoll is the interval at which the command line asks whether a dataset is removed.
	RemovePoll = 2 * time.Second
	// RemoveTries is how often a dataset's record is read again because it has changed.
	RemoveTries = 3
	// DatasetsLimit is the largest number of datasets that controllers keep in memory: at some 300 bytes each, 3 MB.
	DatasetsLimit = 10_000
)

// Reachability: whether a machine that sends heartbeats receives the answers, and the reverse.
const (
	// HopsSuspect is the number of newer heartbeats that show no sign of an answer from which on a machine is suspected of
	// an outbound partition. One may be the trace of a controller that failed.
	HopsSuspect = 2
	// HopsOutboundLost is the number of such heartbeats over a lease from which on that is certain. Workers turn to another
	// controller 5 s after a heartbeat without an answer, so three take one lease of 10 s.
	HopsOutboundLost = 3
	// InboundLostLeases is for how many leases a machine is kept that answers commands and reaches no controller. Filters
	// between machines and controllers are mended in less time, and replacing a machine costs a boot.
	InboundLostLeases = 2
	// ProbesAtOnce is the number of suspected or silent machines that are probed at once, each for WorkerTimeout at most: a
	// zone of hundreds must not use all sockets. Silent ones must be probed between 2.5 and 3.2 report intervals, a fifth
	// of a thousand in two seconds.
	ProbesAtOnce = 48
	// HeartbeatsKept is the number of machines whose newest heartbeat a controller remembers to recognize copies: four times
	// the largest fleet, at some 100 bytes each.
	HeartbeatsKept = 4096
)

// Statements about cancellations between controllers (package watermark).
const (
	// CancellationsKept is the number of cancellations that a controller remembers, at some 100 bytes each: those of two
	// minutes at the highest write limit, with one cancellation a write. CancellationsAtOnce is the largest number in a
	// statement, which stays below FrameLimit.
	CancellationsKept   = 30_000
	CancellationsAtOnce = 800
	// WatermarksAsked is the number of questions to a peer that may wait for answers. A connection without any answer ends
	// after PeerDead.
	WatermarksAsked = 16
	// CancellationAgain is how much later a repeated acknowledgement of a cancellation counts as a new one.
	CancellationAgain = 5 * time.Second
	// CancellationSweep is the interval of forgetting cancellations that are long past.
	CancellationSweep = time.Second
	// WatermarkGrain is subtracted from the position that a peer states: milliseconds on the network, and the drift of two
	// clocks over a minute and a half.
	WatermarkGrain = 50 * time.Millisecond
	// WatermarkBlock is how long a watch of the jobs' records waits for a change. A controller's position is that much
	// older while nothing happens.
	WatermarkBlock = time.Second
	// WatermarkNeeded is for how long after its last own answer to a worker a controller reads the jobs' records.
	WatermarkNeeded = 10 * time.Second
)

// Live configuration (package configuration).
const (
	// ConfigurationEvery is the interval at which followers look for a newer revision: two of them take five reads a second
	// of the state service's limit. ConfigurationLease is for how long after its request a follower may decide by what it
	// has read: more than three intervals, so that one late answer does not end it, and short compared with the 4 s in
	// which a change must be in force everywhere.
	ConfigurationEvery = 400 * time.Millisecond
	ConfigurationLease = 1500 * time.Millisecond
	// ConfigurationGrain is added to ConfigurationLease by whoever waits for its end: the drift of two clocks in that time,
	// below 1 ms, and the delay of a timer.
	ConfigurationGrain = 50 * time.Millisecond
	// ConfigurationAnswer is how long the user of a change waits for it to be in force before being told what it waits for;
	// a request that a peer passes on has PeerTimeout. ConfigurationStep is the interval of checks.
	ConfigurationAnswer = 1100 * time.Millisecond
	ConfigurationStep   = 20 * time.Millisecond
	// ConfigurationTurn is how long a change waits for an earlier one: some changes in a row with all controllers present.
	ConfigurationTurn = 300 * time.Millisecond
	// ConfigurationBytes is the largest document in bytes. With the JSON around it, it fits into a request of 64 KiB; a
	// hundred teams take 10 KB.
	ConfigurationBytes = 40 << 10
	// ConfigurationPartMargin is the size in bytes reserved in a value for the JSON around a part. ConfigurationPartsMost is
	// the largest number of parts of a revision: those of the largest document that does not compress, in values of 1 KiB.
	ConfigurationPartMargin = 128
	ConfigurationPartsMost  = 64
	// ConfigurationKept is the number of last revisions that stay stored. ConfigurationSwept is how many older ones each
	// change tries to remove, so that one whose removal failed is removed with a later change.
	ConfigurationKept  = 50
	ConfigurationSwept = 3
	// ConfigurationStopMostS is the largest value of stop_within_s, in seconds.
	ConfigurationStopMostS = 600
	// AheadMost is the largest value of ahead_tasks.
	AheadMost = 1000
)
