// Package tuning defines the constants that set the service's timing, sizes and limits, each with its unit and the reason
// for its value. It depends on no other package of the service. A constant of type time.Duration has no unit in its name.
package tuning

import "time"

// Leadership.
const (
	// TermTTL is the lifetime of the leader's key without renewal; after it, another controller can become leader. It
	// is long compared with a slow response of the state service (a few hundred ms) and with the pauses of a process
	// that is short of CPU time.
	TermTTL = 900 * time.Millisecond
	// RenewEvery is the interval at which the leader renews its key: three renewals fit into TermTTL.
	RenewEvery = 200 * time.Millisecond
	// RenewAtOnce is the maximum number of concurrent renewals. More than one is allowed so that a renewal whose
	// response is late or lost does not delay the others.
	RenewAtOnce = 8
	// TermMargin is subtracted from the key's lifetime as the leader computes it, to allow for 0.05% of clock drift and
	// for the delay of a timer.
	TermMargin = 100 * time.Millisecond
	// Holdover is the maximum time for which a leader that has lost the state service continues to answer heartbeats.
	// It is long compared with an outage, and no safety argument depends on it.
	Holdover = 180 * time.Second
	// CampaignDelay is how long a leader that has resigned does not campaign, so that another controller is elected.
	CampaignDelay = 5 * time.Second
	// IsolatedDelay delays the campaign of a candidate that reaches no peer, so that one with a working network is
	// elected.
	IsolatedDelay = 1500 * time.Millisecond
	// IsolatedAfter is the time without any message from a worker or peer, although there are machines, after which a
	// leader resigns.
	IsolatedAfter = 3500 * time.Millisecond
	// OutboundLostCommands is the number of consecutive unanswered commands that a leader requires, in addition to
	// IsolatedAfter, before it concludes that it is partitioned itself rather than the machines.
	OutboundLostCommands = 5
	// LeaderlessGrace is how long controllers answer workers with the last term's token while there is no leader
	// although the state service responds. Several elections fit into it.
	LeaderlessGrace = 6 * time.Second
	// LeaseRenewalMargin is subtracted from the time for which a controller that receives no news of cancellations
	// renews leases, to allow for clock drift and the worker's own delay. Commands that were lost just before a
	// partition are not covered; CancelReleaseMargin is for these.
	LeaseRenewalMargin = time.Second
	// CancelReleaseMargin is how long before the deadline by which a cancelled task must have stopped its machine is
	// returned to the cloud. A call of the cloud takes up to 5 s.
	CancelReleaseMargin = 6 * time.Second
	// ElectRetry is the pause after a failed attempt to become leader, or to accept a connection.
	ElectRetry = 250 * time.Millisecond
)

// Benchmark with which controllers compare their CPU speed.
const (
	// BenchmarkBytes is the size in bytes of the data that one benchmark hashes BenchmarkRounds times. The data stays
	// in the first-level CPU cache after the first round. A benchmark takes some 80 microseconds, long enough that the
	// first round does not matter; all benchmarks together take a thousandth of the CPU time.
	BenchmarkBytes = 16 << 10
	// BenchmarkRounds is the number of times that one benchmark hashes its data.
	BenchmarkRounds = 8
	// BenchmarkEvery is the interval between benchmarks.
	BenchmarkEvery = 100 * time.Millisecond
	// BenchmarkSamples is the number of latest benchmarks, those of half a minute, of which a controller publishes the
	// longest for comparison with its peers. The longest is used because most benchmarks read as zero on a coarse
	// clock.
	BenchmarkSamples = 300
	// BenchmarkRecent is the number of its own latest benchmarks that a controller considers.
	BenchmarkRecent = 30
	// BenchmarkRank is the rank, from the longest down, of the recent benchmark that a controller compares with its
	// peers. The longest one or two may have been disturbed.
	BenchmarkRank = 3
	// TransferSlowdown is the factor by which a leader must compute more slowly than a peer to transfer the leadership.
	// Machines of one kind differ by about a tenth.
	TransferSlowdown = 2.0
	// TransferAfter is how long a leader must be that slow before it transfers the leadership. A change of leader
	// delays starts by a second or two.
	TransferAfter = 1500 * time.Millisecond
	// TransferMinTerm is the minimum length of a term that ends with a transfer, so that two slow controllers do not
	// transfer the leadership back and forth.
	TransferMinTerm = 20 * time.Second
)

// Timeouts and limits of calls.
const (
	// StateTimeout limits a call of the state service; slow responses take a few hundred ms.
	StateTimeout = 1200 * time.Millisecond
	// HedgeAfter is the time without a response after which a transaction is sent again: a few times the usual response
	// time of under 10 ms.
	HedgeAfter = 30 * time.Millisecond
	// HedgeTries is the maximum number of times that a transaction is sent. With one response in 25 late, one
	// transaction in 16,000 still has to wait for a late response.
	HedgeTries = 3
	// WatchBlock is the maximum time for which a watch waits for changes. It is short because a watch stays open during
	// an outage of the state service and so hides the outage.
	WatchBlock = 2 * time.Second
	// InboxBlock is WatchBlock for the inbox. It is longer, since nothing waits for the inbox's watch to end.
	InboxBlock = 10 * time.Second
	// DialTimeout limits an attempt to connect. A connection attempt that is abandoned does not complete later.
	DialTimeout = time.Second
	// IdleConns is the maximum number of idle connections to other services. It saves sockets, whose number is limited.
	IdleConns = 100
	// WorkerTimeout limits a command that is sent directly to a worker. After a timeout, the outcome is unknown.
	WorkerTimeout = 2 * time.Second
	// CloudTimeout limits a call of the cloud.
	CloudTimeout = 5 * time.Second
	// PeerTimeout limits a request that is forwarded to a peer.
	PeerTimeout = 1500 * time.Millisecond
	// PollPatience is how long a status request waits for a silent peer. The user waits 2 s in all, which must include
	// a read of the state service as well.
	PollPatience = 700 * time.Millisecond
	// QuestionWait is the maximum time for which a status request is queued for a read of the state service. Together
	// with a leader that did not respond and with the read itself, it fits into the time that the user waits.
	QuestionWait = time.Second
	// UnansweredKept is the number of jobs whose unanswered status requests a controller remembers.
	UnansweredKept = 20_000
	// AcceptPatience is how long a submission waits for a silent peer: several times what the peer needs to answer a
	// greeting. A peer that answers the greeting is only busy, and the submission waits longer for it.
	AcceptPatience = 150 * time.Millisecond
	// PeerHello is the interval of greetings between controllers.
	PeerHello = 500 * time.Millisecond
	// PeerDead is the time without a message after which a peer counts as unreachable.
	PeerDead = 1600 * time.Millisecond
	// AcceptWait is the maximum time for which a submission waits until its record is stored. After it, the user is
	// told to retry.
	AcceptWait = 1500 * time.Millisecond
	// BodyLimit is the protocol's maximum size of a request body in bytes.
	BodyLimit = 64 << 10
	// FrameLimit is the maximum size in bytes of a frame between controllers: a request body and the names around it.
	FrameLimit = 80 << 10
	// FrameMembers is the maximum number of members that a greeting lists.
	FrameMembers = 64
	// AnswerLimit is the maximum size in bytes of a response that is read. Lists of the state service reach 512 KiB;
	// its watches have no limit of their own.
	AnswerLimit = 4 << 20
)

// Limits of socket use, as shares of the platform's limit.
const (
	// ConnNearLimit is the use of sockets from which on workers are told to close their connections after each
	// response.
	ConnNearLimit = 0.7
	// ConnCommandLimit is the use of sockets from which on no connections are opened for commands to workers.
	ConnCommandLimit = 0.8
	// ConnFull is the use of sockets above which idle connections of workers are closed in favour of new ones. The
	// sockets above it are reserved for connections that are opened before the idle ones are closed.
	ConnFull = 0.9
	// ConnLogEvery is the interval between log lines while sockets are scarce.
	ConnLogEvery = 10 * time.Second
)

// RefusedKept is the number of refused jobs that a controller remembers in order to spread the retries of their users.
const RefusedKept = 20_000

// RefusedFor is how long users retry in all.
const RefusedFor = 60 * time.Second

// RetryAfterS is the usual pause before a retry, in seconds, that a user is told.
const RetryAfterS = 1

// RetryAfterMost is the maximum pause before a retry, in seconds, that users comply with.
const RetryAfterMost = 30

// Records in the state service.
const (
	// ShardTasks is the number of tasks that share one record. With each of them on a machine and under 30 bytes long,
	// the record stays within 16 KiB.
	ShardTasks = 400
	// PlacedBytes is the maximum number of bytes that a task on a machine adds to its record, without the machine's
	// name.
	PlacedBytes = 28
	// NameBytes is the minimum length in bytes that is assumed for a machine's name.
	NameBytes = 20
	// ShardMargin is the size in bytes that is reserved for the rest of the record.
	ShardMargin = 100
	// FinalCache is the number of jobs in a terminal state that a controller keeps in memory.
	FinalCache = 4000
	// ArchivedKept is the number of jobs archived in its term that a leader remembers. At the write limits of large
	// deployments, with two changes for each job, these are the jobs of half a minute or more. No read of the state
	// service takes as long; the result of one that does is discarded.
	ArchivedKept = 4000
	// ImagesEvery is the interval at which the leader stores which machines have which images. The record is only a
	// hint for the next leader, so it is written rarely.
	ImagesEvery = 8 * time.Second
	// ImagesMachines is the maximum number of machines in a record of cached images. With at most MaxImagesPerMachine
	// images of each machine, ImagesNames names and MaxImageNameBytes bytes a name, and at under 4 bytes an index, 20 a
	// machine and 20 a size, the record stays within 16 KiB.
	ImagesMachines = 64
	// MaxImagesPerMachine is the maximum number of images of each machine in such a record.
	MaxImagesPerMachine = 24
	// ImagesNames is the maximum number of image names in such a record.
	ImagesNames = 100
	// MaxImageNameBytes is the maximum length in bytes of an image name in such a record.
	MaxImageNameBytes = 48
	// ImagesBytes is the size limit of values in bytes below which a record of cached images has half as many machines,
	// and only as many images of each machine as fit.
	ImagesBytes = 8 << 10
	// AttemptBits is the number of low bits of an attempt number that count the attempts of a term; the other bits hold
	// the term.
	AttemptBits = 24
	// QuotaShare is the share of the state service's write limit, and of the cloud's request limit, that the leader
	// uses. The rest of the write limit is for followers that accept jobs themselves.
	QuotaShare = 0.8
	// CompletionBatchDelay is the maximum time for which the completion of a task waits to be recorded together with
	// others of its shard, unless the completion ends its job. If the machine fails in that time, the completion of one
	// task is lost.
	CompletionBatchDelay = 2 * time.Second
	// UrgentReserve is the share of a second's changes that is reserved for submissions, cancellations, ends of jobs
	// and starts of production, so that a burst of several jobs is stored at once even if other changes are waiting.
	UrgentReserve = 0.25
	// RecordOverdueAfter is how long a record waits behind others before OverdueShare of all changes are reserved for
	// such records, oldest first.
	RecordOverdueAfter = 5 * time.Second
	// OverdueShare is the share of all changes that is reserved for overdue records.
	OverdueShare = 0.25
	// QuarantineTime is the time after which a record that the state service refused is written again.
	QuarantineTime = 10 * time.Second
	// ReservedFor is how long the reservation of a failure domain lasts unless it is renewed: several placement rounds.
	ReservedFor = 3 * time.Second
	// ReservedMost is the maximum number of reserved failure domains, since each reservation leaves resources unused
	// that other jobs wait for.
	ReservedMost = 4
	// SearchAfterBoot is how long, beyond its boot time, a machine that was rented for an unplaceable task may take to
	// report and get the task.
	SearchAfterBoot = 30 * time.Second
	// SearchPause is the first pause between attempts to rent such a machine. A rack may have free machines at any
	// time, but each failed attempt costs a boot.
	SearchPause = 2 * time.Minute
	// SearchPauseMax is the maximum pause between such attempts.
	SearchPauseMax = time.Hour
	// DomainSearchEvery is the minimum interval between searches for a failure domain in which tasks can be preempted
	// for a job that must be in one domain. A search visits all machines.
	DomainSearchEvery = time.Second
	// TopologyEvery is the interval at which the topology file is checked for a new version.
	TopologyEvery = 5 * time.Second
	// SiteCost is the cost, in seconds of delay until the start, of each violated preference in the choice of a machine
	// for a replica. It exceeds the fetch time of a large image, so a preference outweighs a start that is a minute
	// earlier.
	SiteCost = 60.0
	// HedgeSpare is the share of a writer's allowance that must be unused for transactions to be sent again without
	// further limit.
	HedgeSpare = 0.5
	// HedgeShare is the share of the write limit that may be used for sending transactions again when less than
	// HedgeSpare is unused.
	HedgeShare = 0.1
)

// Dependencies between jobs.
const (
	// MaxDependencies is the maximum number of jobs that one job may depend on. At under 40 bytes each, and with the
	// other fields, a job's record stays within 2 KiB for ids of usual length.
	MaxDependencies = 64
	// DependencyLookups is the maximum number of concurrent reads to look up dependencies.
	DependencyLookups = 8
	// DependencyRetryDelay is the pause before a dependency that was not found is looked up again. If it is still not
	// found, the submission is refused permanently. Another controller may be storing the job meanwhile.
	DependencyRetryDelay = 250 * time.Millisecond
	// MaxDependencyReads is the maximum number of jobs that are read to answer, without the leader, for a job that
	// depends on them. With more, the user is told to retry.
	MaxDependencyReads = 40
	// DependencyRetryEvery is the interval at which dependencies that the state service has not reported are looked up
	// again.
	DependencyRetryEvery = 500 * time.Millisecond
	// StageGapMS is the time in milliseconds from the end of a job to the first start of one that depends on it,
	// without the image fetch. It covers the report of the end, its record, the record of the start, and the command.
	StageGapMS = 1500
)

// Membership: failure detection between controllers by their greetings, which are sent every PeerHello.
const (
	// IntervalsKept is the number of latest intervals between greetings that are considered, those of some 50 s.
	IntervalsKept = 100
	// IntervalsPrior is the weight of the prior distribution, as a number of intervals.
	IntervalsPrior = 10.0
	// IntervalsSpread is the standard deviation of the prior distribution, and the minimum of the standard deviation at
	// any time, as a share of the usual interval.
	IntervalsSpread = 0.25
	// PhiSuspect is the phi from which on a member is suspected. One silence in 100,000 reaches it by chance, after
	// 1.05 s with usual greetings.
	PhiSuspect = 5.0
	// PhiFail is the phi from which on a member is considered failed, if it has been silent for FailSilence and another
	// controller does not receive its greetings either.
	PhiFail = 12.0
	// PhiMax is the maximum phi, at which the precision of floating-point numbers ends.
	PhiMax = 40.0
	// FailSilence is the minimum silence of a member before it is considered failed. A process pause seldom reaches it.
	FailSilence = 3500 * time.Millisecond
	// MinPause is the minimum gap between two steps that counts as a pause of this process. Steps come four times a
	// second or more often.
	MinPause = 700 * time.Millisecond
	// HealthMost is the maximum of the count of this controller's own recent faults. The time until other members are
	// suspected grows with the count.
	HealthMost = 8
	// HealthAgain is the interval at which that count is decreased by one.
	HealthAgain = 5 * time.Second
	// HealthSlow is the count from which on the controller reports itself as slow.
	HealthSlow = 2
	// CrashFresh is how long a refused connection counts as evidence of a crash.
	CrashFresh = 3 * time.Second
	// ViewFresh is the maximum age of a greeting whose list of heard peers is used: three intervals.
	ViewFresh = 1500 * time.Millisecond
	// ShutdownMax limits a graceful shutdown.
	ShutdownMax = 10 * time.Second
	// ShutdownNoticeTime is how long peers and the load balancer are given to learn of a shutdown: two probes, a second
	// each.
	ShutdownNoticeTime = 2500 * time.Millisecond
	// ShutdownLinger is how long requests that still arrive are served once there is another leader.
	ShutdownLinger = 500 * time.Millisecond
	// MembersEvery is the interval at which membership is evaluated when there are no observations.
	MembersEvery = 200 * time.Millisecond
)

// UpgradeEvery is the interval at which a controller reads the version records of members whose version it does not
// know.
const UpgradeEvery = time.Second

// ReadShare is the share of the state service's request limit that all controllers together use to answer users.
// Renewals, records and elections have priority.
const ReadShare = 0.5

// Machines.
const (
	// SilentReports is the number of report intervals after which a silent machine is returned to the cloud, which
	// proves that its tasks have stopped.
	SilentReports = 3.2
	// MinSilence is the minimum of that time, since a lost packet is retransmitted after up to a second.
	MinSilence = 3500 * time.Millisecond
	// MinProcessPause is the minimum gap between a leader's rounds that counts as a pause of the process rather than as
	// load. There are two rounds a second or more.
	MinProcessPause = 1500 * time.Millisecond
	// PartitionLeases is the number of leases for which a machine that may be behind a network partition is kept.
	// Controllers of its zone may be renewing its tasks' leases, and replicas that must be spread could not run
	// elsewhere.
	PartitionLeases = 6
	// ReadyUnknown is the boot time that is assumed for a machine of unknown type.
	ReadyUnknown = time.Minute
	// EvictUnlimitedShare is the silent share of a zone up to which its machines are released without a rate limit. A
	// third of a zone at once is more than any wave of spot preemptions has taken.
	EvictUnlimitedShare = 0.34
	// EvictSlowlyShare is the silent share of a zone up to which machines are released at EvictionRate; above it, at a
	// fifth of that rate. Kubernetes also slows down above 55%.
	EvictSlowlyShare = 0.55
	// EvictionRate is the release rate as a share of a zone's machines per second.
	EvictionRate = 0.02
	// EvictBurstShare is the capacity of a zone's eviction budget as a share of its machines, if that is more than
	// EvictBurstMachines.
	EvictBurstShare = 0.05
	// EvictBurstMachines is the minimum capacity of a zone's eviction budget in machines.
	EvictBurstMachines = 8.0
	// EvictionLogEvery is the minimum interval between log lines about machines whose release is deferred.
	EvictionLogEvery = 10 * time.Second
	// NewTermGrace is added to the workers' lease before a new leader releases a machine from which it has received no
	// heartbeat.
	NewTermGrace = 2 * time.Second
	// StartupUsualFactor is the multiple of the catalog's boot time, or of the boot time of machines rented later, up
	// to which a boot is considered normal.
	StartupUsualFactor = 1.6
	// StartupDeadlineFactor is the multiple of the catalog's boot time after which a machine that has not started is
	// replaced.
	StartupDeadlineFactor = 3.0
	// FaultyFailures is the number of consecutive failures, of two jobs or more, after which a machine is considered
	// faulty.
	FaultyFailures = 3
	// BrokenJobMachines is the number of machines on which a job without any successful task must have failed to be
	// considered broken. An error in the job is then more likely than several faulty machines.
	BrokenJobMachines = 3
	// BrokenJobRunTime is the run time after which a task counts as working. Errors in a job and faulty machines make a
	// task fail at once.
	BrokenJobRunTime = 3 * time.Second
	// InstanceRefusalPause is how long a machine type, zone and kind is not requested again after a 503.
	InstanceRefusalPause = 12 * time.Second
	// ListLagMost is the maximum age of the cloud's machine list as a multiple of its stated lag, according to the
	// protocol.
	ListLagMost = 2.0
	// ListEvery is the interval at which the machine list is read.
	ListEvery = 5 * time.Second
	// CatalogEvery is the interval at which the catalog is read.
	CatalogEvery = 60 * time.Second
	// ServiceHeadroom is the capacity of ordinary machines that is kept, as a multiple of the demand that may not run
	// on spot machines, so that the replicas of a lost machine can be placed at once.
	ServiceHeadroom = 1.3
	// InstanceRequestBatch is the cloud's maximum number of machines in one rental request.
	InstanceRequestBatch = 50
	// ReleaseBatch is the cloud's maximum number of machines in one return request.
	ReleaseBatch = 100
	// PreemptionNoticeSlack is how many seconds before the preemption of a spot machine its tasks must have saved their
	// state.
	PreemptionNoticeSlack = 1.0
)

// Redirects of workers to other controllers.
const (
	// RedirectTrip is how long a worker may take to report to the controller that it was redirected to: half a second,
	// and a heartbeat in flight.
	RedirectTrip = 2 * time.Second
	// RedirectBackoff is how long a worker that came back is not redirected to the same controller again.
	RedirectBackoff = 30 * time.Second
	// RedirectProbe is the interval at which one worker may be redirected to a controller that receives no heartbeats.
	// The worker loses half its lease if that controller cannot receive them.
	RedirectProbe = 10 * time.Second
	// RecentHeartbeats is the number of report intervals within which a worker must have reported to a controller for
	// the controller to announce that it receives heartbeats.
	RecentHeartbeats = 2.5
)

// Relay of heartbeats through the state service by a controller that does not reach the leader.
const (
	// RelayEvery is the interval at which relayed heartbeats are written. A write a second uses little of the state
	// service's limit.
	RelayEvery = 700 * time.Millisecond
	// RelayRefresh is the time after which an unchanged heartbeat is written again.
	RelayRefresh = 3 * time.Second
	// RelayedCommandsSpan is the number of heartbeats, after the one that relayed commands were derived from, during
	// which a peer delivers these commands. Until then, whether their starts took place stays open. The span is a few
	// times the round trip of a packet.
	RelayedCommandsSpan = 8
	// RelayStageRefresh is RelayRefresh for data agents. It is below their usual report interval, so that each of their
	// heartbeats is relayed and no agent counts as silent.
	RelayStageRefresh = 1500 * time.Millisecond
	// PacketMargin is the size in bytes that is reserved in a value for the JSON around a packet.
	PacketMargin = 160
	// PacketRequestBytes is the maximum size in bytes of the packets in one transaction. Keys and conditions take the
	// rest of 64 KiB.
	PacketRequestBytes = 56 << 10
	// PacketRatio is the number of bytes of messages that are compressed at once for each byte of a packet.
	PacketRatio = 12.0
	// MaxPacketPieces is the maximum number of pieces of a message: those of 1 MiB that does not compress.
	MaxPacketPieces = 256
	// PacketMachines is the usual number of machines whose messages share a packet. The packet is rewritten when the
	// message of any of them changes.
	PacketMachines = 48
	// RelayShare is the share of the state service's write limit that each controller uses for relaying. Two
	// controllers relay beside the leader, which uses QuotaShare.
	RelayShare = 0.1
)

// Scheduling.
const (
	// Tick is the maximum interval between placement rounds; other events trigger further rounds.
	Tick = 250 * time.Millisecond
	// PlaceGap is the minimum time between two placement rounds, so that a burst of heartbeats causes only one.
	PlaceGap = 15 * time.Millisecond
	// PlaceRest is the pause after a placement round as a multiple of its duration. It limits placement to a quarter of
	// the CPU time, so that renewals, heartbeats and submissions have priority on a slow machine or in a burst.
	PlaceRest = 3
	// BeginMostS is the maximum of the policy's begin_by_s, in seconds. Users expect even the largest jobs to begin
	// within four minutes, and draining a machine takes some of that time.
	BeginMostS = 200
	// StarvationReserveEvery is the interval between searches for machines to reserve for a starving job.
	StarvationReserveEvery = time.Second
	// StarvedStartProtected is how long a task that was started because its job was starving can be preempted only by
	// production jobs. Most tasks complete within that time.
	StarvedStartProtected = time.Minute
	// CancelStartWait is how long the response to a cancellation waits for starts in progress. A response to a command
	// takes milliseconds, a heartbeat after a change half a second, and users wait 5 s.
	CancelStartWait = time.Second
	// PassedOverAfter is how long a job waits although it fits a machine before that is logged. Users consider it a
	// fault after 90 s.
	PassedOverAfter = time.Minute
	// QuotaReservationTTL is how long a reservation of a team's quota lasts if it is not used. Users expect that no job
	// waits 90 s while its team is under its limit.
	QuotaReservationTTL = time.Minute
	// QuotaReservationPause is the pause after such a reservation has expired before the team's quota is reserved again.
	QuotaReservationPause = 15 * time.Second
	// ReservedShare is the maximum share of machines that are reserved for starving jobs. About half of their capacity
	// is unused while they drain, some 2% of the fleet.
	ReservedShare = 0.05
	// FleetLogEvery is the interval between log lines about the utilization of the fleet.
	FleetLogEvery = 10 * time.Second
	// MaintainEvery is the interval at which the fleet is scaled out and in.
	MaintainEvery = 500 * time.Millisecond
	// BackoffBase is the first pause before a failing job is started again.
	BackoffBase = time.Second
	// BackoffMax is the maximum pause before a failing job is started again.
	BackoffMax = 60 * time.Second
	// BackoffErrors is the number of machines on which a job must have failed before its starts are delayed.
	BackoffErrors = 3
	// CancelKill is the grace period, in seconds, of a cancelled task, whose work is no longer needed.
	CancelKill = 0.0
	// MinRun is the minimum run time, in seconds, that is assumed for a task, so that a wrong estimate does not make a
	// machine appear to have unlimited capacity.
	MinRun = 1.0
	// FreeFetch is the duration, in seconds, up to which an idle machine fetches an image without waiting for a machine
	// that has it.
	FreeFetch = 2.0
	// PullPatience is the share of its own fetch time that an idle machine waits before it takes a task from the run
	// queue of a machine that has the image.
	PullPatience = 0.5
	// GuaranteePatience is how long a job within its team's guarantee waits before work of teams that exceed theirs is
	// preempted for it. Most waits are shorter, and preempted work may have no checkpoint.
	GuaranteePatience = 6 * time.Second
	// WorkWeight is the minimum factor by which the remaining work of a job, as the time that it would occupy the whole
	// fleet, postpones the job's latest start.
	WorkWeight = 10.0
	// WorkWaiting is the number by which the count of waiting jobs is multiplied to replace WorkWeight where the
	// product is larger. A larger fleet takes less time for each job, but the number of jobs ahead of the next one is
	// the same.
	WorkWaiting = 1.0
	// WorkMost is the maximum of that remaining work, in seconds, that is used, so that an absurd estimate has limited
	// effect.
	WorkMost = 1e6
	// PreemptionLoss is added to the cost of preempting a task for each earlier preemption of it: about the run time of
	// a task, so that other tasks are preempted first.
	PreemptionLoss = 30 * time.Second
	// ReportTasks is the number of tasks up to which a machine gets more, including exited tasks that are not cleared.
	// At some 75 bytes each, its heartbeat fits into a relay's record of 16 KiB, and into a body of 64 KiB.
	ReportTasks = 160
	// ResourceSlack is the tolerance for rounding errors of decimal amounts of resources.
	ResourceSlack = 1e-6
)

// Process.
const (
	// HeaderTimeout limits how long a client may take to send the header of a request.
	HeaderTimeout = 10 * time.Second
	// HeapShare is the share of the process's memory that is set as the soft limit of the Go runtime; near it, garbage
	// is collected more often. The rest is for stacks and the runtime.
	HeapShare = 0.6
	// ClientTimeout limits one request of the command line.
	ClientTimeout = 5 * time.Second
	// ClientTotal limits a command with all its retries, unless a flag says otherwise.
	ClientTotal = 60 * time.Second
)

// Datasets.
const (
	// ManifestLimit is the maximum size in bytes of a manifest that is read: about 160,000 chunks of 100 bytes each.
	ManifestLimit = 16 << 20
	// ChunkLimit is the maximum size of a chunk in bytes. A chunk is discarded as a whole if its digest is wrong.
	ChunkLimit = 64 << 20
	// PartsLimit is the maximum number of parts of a dataset: the number of tasks of the largest job.
	PartsLimit = 100_000
	// OddParts is the maximum number of parts whose size differs from the usual size of the dataset's parts. At some 20
	// bytes each, the dataset's record stays within one value of the state service.
	OddParts = 400
	// MaxReportedErrors is the maximum number of errors in one response.
	MaxReportedErrors = 20
	// InputsLimit is the maximum number of inputs of a job.
	InputsLimit = 16
	// GroupsFilled is the number of task groups, the largest ones, that are placed by water-filling over the whole
	// fleet. Tasks of other groups are placed one by one. This limits the passes over the machines in one placement
	// decision.
	GroupsFilled = 64
)

// Staging: constants of the data agents.
const (
	// StageBlock is the number of bytes that a transfer writes at once, and the maximum that is copied again after a
	// crash.
	StageBlock = 256 << 10
	// StageStall is how long the transfer of a block may take. A slower source would occupy the slot of a copy, so
	// another source is tried.
	StageStall = 10 * time.Second
	// StageBackoff is the first pause before a copy is tried again after all its sources have failed.
	StageBackoff = 250 * time.Millisecond
	// StageBackoffMax is the maximum pause before such a copy is tried again.
	StageBackoffMax = 15 * time.Second
	// StageAtOnce is the number of parts that an agent copies concurrently, and the number that it serves.
	StageAtOnce = 4
	// MinStageReportInterval is the minimum interval of an agent's heartbeats.
	MinStageReportInterval = 100 * time.Millisecond
	// StageReportEvery is the usual interval of an agent's heartbeats.
	StageReportEvery = 2 * time.Second
	// StageCallTimeout limits an agent's heartbeat call, as for a worker.
	StageCallTimeout = 4 * time.Second
	// PackSample is the number of bytes of a chunk that are compressed to find out whether compression pays.
	PackSample = 64 << 10
	// PackPays is the share of its size below which the sample must shrink for the chunk to be compressed.
	PackPays = 0.9
	// PackMemory is the maximum size in bytes to which an agent's response may decompress.
	PackMemory = 16 << 20
	// OrderLimit is the maximum size in bytes of an order to an agent, and of an agent's heartbeat.
	OrderLimit = 1 << 20
)

// Staging: constants of the leader.
const (
	// StageResend is how long an order may have no effect before it is sent again.
	StageResend = time.Second
	// StageSilent is how long an agent may be silent and still be used as a source, or for a task with inputs.
	StageSilent = 3 * StageReportEvery
	// StageGiveUp is the time without progress after which other tasks no longer wait for a copy: a stall and a retry.
	StageGiveUp = 30 * time.Second
	// StageSources is the number of peers that an order lists for a part. If one fails, the agent tries the next
	// without asking the leader.
	StageSources = 3
	// StagePerLink is the number of copies that a machine receives concurrently, and the number that it serves, unless
	// the features file sets another.
	StagePerLink = 1
	// StageAtStore is the number of copies that the store serves concurrently, unless the features file sets another.
	StageAtStore = 8
	// StageCacheGB is the size of an agent's cache in gigabytes, unless the features file sets another.
	StageCacheGB = 50.0
	// StageMove is the time without progress of a task's copies, because the cache is full or the sources are silent,
	// after which the task is moved to another machine.
	StageMove = 30 * time.Second
	// StageAhead is the number of queued tasks per machine, beyond those that are assigned to a machine, whose inputs
	// are copied in advance, unless the features file sets another.
	StageAhead = 4
	// CardsMost is the maximum number of accelerators of a machine.
	CardsMost = 64
	// ReplicaHintsEvery is the interval at which the leader stores which machines have which parts. The record is only
	// a hint, so it is written rarely.
	ReplicaHintsEvery = 10 * time.Second
	// ReplicaHintMargin is the size in bytes that is reserved in that record's value for the JSON around the hint.
	ReplicaHintMargin = 64
	// RemovePoll is the interval at which the command line asks whether a dataset has been removed.
	RemovePoll = 2 * time.Second
	// RemoveTries is the maximum number of attempts to remove a dataset. Its record is read again for each, because it
	// has changed since the last read.
	RemoveTries = 3
	// DatasetsLimit is the maximum number of datasets that controllers keep in memory: at some 300 bytes each, 3 MB.
	DatasetsLimit = 10_000
)

// Reachability: whether a machine that sends heartbeats receives the answers, and the reverse.
const (
	// SuspectUnconfirmedHeartbeats is the number of newer heartbeats without evidence of a response from which on a
	// machine is suspected of an outbound partition. A single one may be due to a controller that failed.
	SuspectUnconfirmedHeartbeats = 2
	// OutboundLostUnconfirmedHeartbeats is the number of such heartbeats over a lease from which on the partition is
	// certain. Workers switch to another controller 5 s after an unanswered heartbeat, so three of them take one lease
	// of 10 s.
	OutboundLostUnconfirmedHeartbeats = 3
	// InboundLostLeases is the number of leases for which a machine is kept that answers commands but reaches no
	// controller. Packet filters between machines and controllers are corrected in less time, and replacing a machine
	// costs a boot.
	InboundLostLeases = 2
	// ProbesAtOnce is the maximum number of suspected or silent machines that are probed concurrently, each for
	// WorkerTimeout at most, so that a zone of hundreds of machines does not use all sockets. Silent machines must be
	// probed between 2.5 and 3.2 report intervals after their last heartbeat; the limit allows for a fifth of a
	// thousand machines in two seconds.
	ProbesAtOnce = 48
	// HeartbeatsKept is the number of machines whose newest heartbeat a controller remembers to recognize copies: four
	// times the largest fleet, at some 100 bytes each.
	HeartbeatsKept = 4096
)

// Statements about cancellations between controllers (package watermark).
const (
	// CancellationsKept is the number of cancellations that a controller remembers, at some 100 bytes each: those of
	// two minutes at the highest write limit, with one cancellation a write.
	CancellationsKept = 30_000
	// CancellationsAtOnce is the maximum number of cancellations in a statement, which keeps it below FrameLimit.
	CancellationsAtOnce = 800
	// WatermarksAsked is the maximum number of requests to a peer that wait for responses. A connection without any
	// response ends after PeerDead.
	WatermarksAsked = 16
	// CancellationAgain is how much later a repeated acknowledgement of a cancellation must be to count as a new one.
	CancellationAgain = 5 * time.Second
	// CancellationSweep is the interval at which expired cancellations are removed.
	CancellationSweep = time.Second
	// WatermarkGrain is subtracted from the position that a peer states, to allow for milliseconds on the network and
	// for the drift of two clocks over a minute and a half.
	WatermarkGrain = 50 * time.Millisecond
	// WatermarkBlock is the maximum time for which a watch of the jobs' records waits for a change. While nothing
	// changes, a controller's position lags by up to that time.
	WatermarkBlock = time.Second
	// WatermarkNeeded is how long a controller goes on reading the jobs' records after it last answered a worker
	// without the leader.
	WatermarkNeeded = 10 * time.Second
)

// Live configuration (package configuration).
const (
	// ConfigurationEvery is the interval at which followers look for a newer revision. Two followers take five reads a
	// second of the state service's limit.
	ConfigurationEvery = 400 * time.Millisecond
	// ConfigurationLease is how long after its request a follower may decide by the configuration that it has read. It
	// is more than three intervals, so that one late response does not end it, and short compared with the 4 s within
	// which a change must be in force everywhere.
	ConfigurationLease = 1500 * time.Millisecond
	// ConfigurationGrain is added to ConfigurationLease by a controller that waits for its end, to allow for the drift
	// of two clocks in that time, below 1 ms, and for the delay of a timer.
	ConfigurationGrain = 50 * time.Millisecond
	// ConfigurationAnswer is how long the user of a change waits for it to be in force before the response says what
	// the change waits for. A request that a peer forwards has PeerTimeout.
	ConfigurationAnswer = 1100 * time.Millisecond
	// ConfigurationStep is the interval at which it is checked whether a change is in force.
	ConfigurationStep = 20 * time.Millisecond
	// ConfigurationTurn is the maximum time for which a change waits for an earlier one: several consecutive changes
	// while all controllers respond.
	ConfigurationTurn = 300 * time.Millisecond
	// ConfigurationBytes is the maximum size of a document in bytes. With the JSON around it, it fits into a request of
	// 64 KiB; a hundred teams take 10 KB.
	ConfigurationBytes = 40 << 10
	// ConfigurationPartMargin is the size in bytes that is reserved in a value for the JSON around a part.
	ConfigurationPartMargin = 128
	// ConfigurationPartsMost is the maximum number of parts of a revision: those of the largest document, if it does
	// not compress, in values of 1 KiB.
	ConfigurationPartsMost = 64
	// ConfigurationKept is the number of latest revisions that stay stored.
	ConfigurationKept = 50
	// ConfigurationSwept is the number of older revisions that each change tries to remove. It is more than one so that
	// a revision whose removal failed is removed with a later change.
	ConfigurationSwept = 3
	// ConfigurationStopMostS is the maximum of stop_within_s, in seconds.
	ConfigurationStopMostS = 600
	// AheadMost is the maximum of ahead_tasks.
	AheadMost = 1000
)
