// Package tuning defines the constants that set the service's timing, sizes and limits, each with its unit and the
// reason for its value. It depends on no other package of the service. A constant of type time.Duration has no unit in
// its name.
package tuning

import "time"

// Leadership.
const (
	// TermTTL is the lifetime of the leader's key without renewal; after it, another controller can become leader. It
	// is long compared with a slow response of the state service (a few hundred ms) and with the pauses of a process
	// that is short of CPU time.
	TermTTL = 900 * time.Millisecond
	// RenewInterval is the interval at which the leader renews its key: three renewals fit into TermTTL.
	RenewInterval = 200 * time.Millisecond
	// MaxConcurrentRenewals is the maximum number of concurrent renewals. More than one is allowed so that a renewal
	// whose response is late or lost does not delay the others.
	MaxConcurrentRenewals = 8
	// TermMargin is subtracted from the key's lifetime as the leader computes it, to allow for 0.05% of clock drift and
	// for the delay of a timer.
	TermMargin = 100 * time.Millisecond
	// Holdover is the maximum time for which a leader that has lost the state service continues to answer heartbeats.
	// It is long compared with an outage, and no safety argument depends on it.
	Holdover = 180 * time.Second
	// CampaignDelay is how long a leader that has resigned does not campaign, so that another controller is elected.
	CampaignDelay = 5 * time.Second
	// IsolatedCampaignDelay delays the campaign of a candidate that reaches no peer, so that one with a working network
	// is elected.
	IsolatedCampaignDelay = 1500 * time.Millisecond
	// IsolationTimeout is the time without any message from a worker or peer, although there are machines, after which
	// a leader resigns.
	IsolationTimeout = 3500 * time.Millisecond
	// IsolationUnansweredCommands is the number of consecutive unanswered commands that a leader requires, in addition
	// to IsolationTimeout, before it concludes that it is isolated itself, rather than the machines.
	IsolationUnansweredCommands = 5
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
	// ErrorRetryDelay is the pause after an error before a loop tries again, for example to become leader, to watch
	// keys or to accept a connection.
	ErrorRetryDelay = 250 * time.Millisecond
)

// Benchmark with which controllers compare their CPU speed.
const (
	// BenchmarkBytes is the size in bytes of the data that one benchmark hashes BenchmarkRounds times. The data stays
	// in the first-level CPU cache after the first round. A benchmark takes some 80 microseconds, long enough that the
	// first round does not matter; all benchmarks together take a thousandth of the CPU time.
	BenchmarkBytes = 16 << 10
	// BenchmarkRounds is the number of times that one benchmark hashes its data.
	BenchmarkRounds = 8
	// BenchmarkInterval is the interval between benchmarks.
	BenchmarkInterval = 100 * time.Millisecond
	// BenchmarkSamples is the number of latest benchmarks, those of half a minute, of which a controller publishes the
	// longest for comparison with its peers. The longest is used because most benchmarks read as zero on a coarse
	// clock.
	BenchmarkSamples = 300
	// RecentBenchmarks is the number of its own latest benchmarks that a controller considers.
	RecentBenchmarks = 30
	// BenchmarkRank is the rank, from the longest down, of the recent benchmark that a controller compares with its
	// peers. The longest one or two may have been disturbed.
	BenchmarkRank = 3
	// TransferSlowdown is the factor by which a leader must compute more slowly than a peer to transfer the leadership,
	// and from which on a controller is listed as slow. Machines of one kind differ by about a tenth.
	TransferSlowdown = 2.0
	// TransferDelay is how long a leader must be that slow before it transfers the leadership. A change of leader
	// delays starts by a second or two.
	TransferDelay = 1500 * time.Millisecond
	// TransferMinTerm is the minimum length of a term that ends with a transfer, so that two slow controllers do not
	// transfer the leadership back and forth.
	TransferMinTerm = 20 * time.Second
)

// Timeouts and limits of calls.
const (
	// StateTimeout limits a call of the state service; slow responses take a few hundred ms.
	StateTimeout = 1200 * time.Millisecond
	// HedgeDelay is the time without a response after which a transaction is sent again: a few times the usual response
	// time of under 10 ms.
	HedgeDelay = 30 * time.Millisecond
	// MaxHedgeAttempts is the maximum number of times that a transaction is sent. With one response in 25 late, one
	// transaction in 16,000 still has to wait for a late response.
	MaxHedgeAttempts = 3
	// WatchTimeout is the maximum time for which a watch waits for changes. It is short because a watch stays open
	// during an outage of the state service and so hides the outage.
	WatchTimeout = 2 * time.Second
	// InboxWatchTimeout is WatchTimeout for the inbox, the datasets and the heartbeats that peers relay to the leader.
	// It is longer, since nothing waits for these watches to end.
	InboxWatchTimeout = 10 * time.Second
	// DialTimeout limits an attempt to connect. A connection attempt that is abandoned does not complete later.
	DialTimeout = time.Second
	// MaxIdleConns is the maximum number of idle connections to other services. It saves sockets, whose number is
	// limited.
	MaxIdleConns = 100
	// WorkerTimeout limits a command that is sent directly to a worker, and an order to a data agent. After a timeout,
	// the outcome is unknown.
	WorkerTimeout = 2 * time.Second
	// CloudTimeout limits a call of the cloud.
	CloudTimeout = 5 * time.Second
	// PeerTimeout limits a request that is forwarded to a peer, and the write of a frame to a peer.
	PeerTimeout = 1500 * time.Millisecond
	// StatusPeerTimeout is how long a status request waits for a silent peer. The user waits 2 s in all, which must
	// include a read of the state service as well.
	StatusPeerTimeout = 700 * time.Millisecond
	// StatusQueueTimeout is the maximum time for which a status request is queued for a read of the state service.
	// Together with a leader that did not respond and with the read itself, it fits into the time that the user waits.
	StatusQueueTimeout = time.Second
	// UnansweredStatusCapacity is the number of jobs whose unanswered status requests a controller remembers.
	UnansweredStatusCapacity = 20_000
	// SubmitPeerTimeout is how long a submission waits for a silent peer: several times what the peer needs to answer a
	// hello. A peer that answers the hello is only busy, and the submission waits longer for it.
	SubmitPeerTimeout = 150 * time.Millisecond
	// PeerHelloInterval is the interval of hellos between controllers.
	PeerHelloInterval = 500 * time.Millisecond
	// PeerSilenceTimeout is the time without a message after which a peer counts as unreachable. It also limits an
	// attempt to connect to a peer.
	PeerSilenceTimeout = 1600 * time.Millisecond
	// SubmitTimeout is the maximum time for which a submission waits until its record is stored. After it, the response
	// asks the user to retry.
	SubmitTimeout = 1500 * time.Millisecond
	// MaxBodyBytes is the protocol's maximum size of a request body in bytes.
	MaxBodyBytes = 64 << 10
	// MaxFrameBytes is the maximum size in bytes of a frame between controllers: a request body and the names around
	// it.
	MaxFrameBytes = 80 << 10
	// MaxHelloMembers is the maximum number of members that a hello lists.
	MaxHelloMembers = 64
	// MaxResponseBytes is the maximum size in bytes of a response that is read. Lists of the state service reach 512
	// KiB; its watches have no limit of their own.
	MaxResponseBytes = 4 << 20
)

// Limits of socket use, as shares of the platform's limit.
const (
	// ConnNearLimit is the use of sockets from which on responses ask workers to close their connections.
	ConnNearLimit = 0.7
	// ConnCommandLimit is the use of sockets from which on no connections are opened for commands to workers.
	ConnCommandLimit = 0.8
	// ConnEvictionLimit is the use of sockets above which idle connections of workers are closed in favour of new ones.
	// The sockets above it are reserved for connections that are opened before the idle ones are closed.
	ConnEvictionLimit = 0.9
	// ConnLogInterval is the interval between log lines while sockets are scarce.
	ConnLogInterval = 10 * time.Second
)

// RefusedJobsCapacity is the number of refused jobs that a controller remembers in order to spread the retries of their
// users.
const RefusedJobsCapacity = 20_000

// RetryPeriod is how long users retry in all.
const RetryPeriod = 60 * time.Second

// RetryAfterS is the usual pause before a retry, in seconds, that a response asks users to make.
const RetryAfterS = 1

// MaxRetryAfterS is the maximum pause before a retry, in seconds, that users comply with.
const MaxRetryAfterS = 30

// Records in the state service.
const (
	// TasksPerShard is the number of tasks that share one record. With each of them on a machine and under 30 bytes
	// long, the record stays within 16 KiB.
	TasksPerShard = 400
	// MaxPlacedTaskBytes is the maximum number of bytes that a task on a machine adds to its record, without the
	// machine's name.
	MaxPlacedTaskBytes = 28
	// MinMachineNameBytes is the minimum length in bytes that is assumed for a machine's name.
	MinMachineNameBytes = 20
	// ShardMarginBytes is the size in bytes that is reserved for the rest of the record.
	ShardMarginBytes = 100
	// TerminalJobsCapacity is the number of jobs in a terminal state that a controller keeps in memory.
	TerminalJobsCapacity = 4000
	// ArchivedJobsCapacity is the number of jobs archived in its term that a leader remembers. At the write limits of
	// large deployments, with two changes for each job, these are the jobs of half a minute or more. No read of the
	// state service takes as long; the result of one that does is discarded.
	ArchivedJobsCapacity = 4000
	// ImageHintsInterval is the interval at which the leader stores which machines have which images. The record is only a
	// hint for the next leader, so it is written rarely.
	ImageHintsInterval = 8 * time.Second
	// MaxImagesRecordMachines is the maximum number of machines in a record of cached images. With at most
	// MaxImagesPerMachine images of each machine, MaxImageNames names and MaxImageNameBytes bytes a name, and at under
	// 4 bytes an index, 20 a machine and 20 a size, the record stays within 16 KiB.
	MaxImagesRecordMachines = 64
	// MaxImagesPerMachine is the maximum number of images of each machine in such a record.
	MaxImagesPerMachine = 24
	// MaxImageNames is the maximum number of image names in such a record.
	MaxImageNames = 100
	// MaxImageNameBytes is the maximum length in bytes of an image name in such a record.
	MaxImageNameBytes = 48
	// SmallValueBytes is the size limit of values in bytes below which a record of cached images has half as many
	// machines, and only as many images of each machine as fit.
	SmallValueBytes = 8 << 10
	// AttemptBits is the number of low bits of an attempt number that count the attempts of a term; the other bits hold
	// the term.
	AttemptBits = 24
	// LeaderRateShare is the share of the state service's write limit, and of the cloud's request limit, that the
	// leader uses. The rest of the write limit is for followers that accept jobs themselves.
	LeaderRateShare = 0.8
	// CompletionBatchDelay is the maximum time for which the completion of a task waits to be recorded together with
	// others of its shard, unless the completion ends its job. If the machine fails in that time, the completion of one
	// task is lost.
	CompletionBatchDelay = 2 * time.Second
	// UrgentReserve is the share of a second's changes that is reserved for submissions, cancellations, ends of jobs
	// and starts of production tasks, so that a burst of several jobs is stored at once even if other changes are
	// waiting.
	UrgentReserve = 0.25
	// RecordOverdueAfter is how long a record waits behind others before OverdueShare of all changes are reserved for
	// such records, oldest first.
	RecordOverdueAfter = 5 * time.Second
	// OverdueShare is the share of all changes that is reserved for overdue records.
	OverdueShare = 0.25
	// QuarantineTime is the time after which a record that the state service refused is written again.
	QuarantineTime = 10 * time.Second
	// MaxConflictRetries is the number of times that a record is written again at once after a condition of it failed. The
	// first retry follows a write of another controller, the second one a transaction of this leader that was executed late.
	MaxConflictRetries = 2
	// CommitStallTimeout is the time after which a leader resigns if the state service answers and refuses all of its
	// transactions. It leaves the users who retry most of RetryPeriod for the next leader.
	CommitStallTimeout = RetryPeriod / 4
	// MaxRefusalInterval is how much of the time between two refusals counts for CommitStallTimeout. In a longer one there was
	// nothing else to store, or the process was paused.
	MaxRefusalInterval = CommitStallTimeout / 3
	// MinStalledRecords is the number of different records that must have been refused for that: a single one may be the
	// only one with a fault.
	MinStalledRecords = 2
	// DomainReservationTTL is how long the reservation of a failure domain lasts unless it is renewed: several
	// placement rounds.
	DomainReservationTTL = 3 * time.Second
	// MaxDomainReservations is the maximum number of reserved failure domains, since each reservation leaves resources
	// unused that other jobs wait for.
	MaxDomainReservations = 4
	// StrandedScaleUpTimeout is how long, beyond its boot time, a machine that was rented for a stranded task may take
	// to send a heartbeat and get the task.
	StrandedScaleUpTimeout = 30 * time.Second
	// StrandedScaleUpBackoff is the first pause between attempts to rent machines for stranded tasks. A rack may have
	// free machines at any time, but each failed attempt costs a boot.
	StrandedScaleUpBackoff = 2 * time.Minute
	// StrandedScaleUpBackoffMax is the maximum pause between such attempts.
	StrandedScaleUpBackoffMax = time.Hour
	// DomainSearchInterval is the minimum interval between searches for a failure domain to reserve for a job that must
	// be in one domain, or in which tasks can be preempted for it. A search visits all machines.
	DomainSearchInterval = time.Second
	// TopologyCheckInterval is the interval at which the topology file is checked for a new version.
	TopologyCheckInterval = 5 * time.Second
	// PreferenceViolationCostS is the cost, in seconds of delay until the start, of each violated preference in the
	// choice of a machine for a replica. It exceeds the fetch time of a large image, so a preference outweighs a start
	// that is a minute earlier.
	PreferenceViolationCostS = 60.0
	// HedgeSpareShare is the share of a writer's allowance that must be unused for transactions to be sent again
	// without further limit.
	HedgeSpareShare = 0.5
	// HedgeWriteShare is the share of the write limit that may be used for sending transactions again when less than
	// HedgeSpareShare is unused.
	HedgeWriteShare = 0.1
)

// Dependencies between jobs.
const (
	// MaxDependencies is the maximum number of jobs that one job may depend on. At under 40 bytes each, and with the
	// other fields, a job's record stays within 2 KiB for ids of usual length.
	MaxDependencies = 64
	// MaxConcurrentLookups is the maximum number of concurrent reads to look up dependencies.
	MaxConcurrentLookups = 8
	// DependencyRetryDelay is the pause before a dependency that was not found is looked up again. If it is still not
	// found, the submission is refused permanently. Another controller may be storing the job meanwhile.
	DependencyRetryDelay = 250 * time.Millisecond
	// MaxDependencyReads is the maximum number of jobs that are read to answer, without the leader, for a job that
	// depends on them. With more, the response asks the user to retry.
	MaxDependencyReads = 40
	// DependencyRetryInterval is the interval at which dependencies that the state service has not reported are looked
	// up again.
	DependencyRetryInterval = 500 * time.Millisecond
	// DependencyStartDelayMS is the time in milliseconds from the end of a job to the first start of one that depends
	// on it, without the image fetch. It covers the heartbeat that reports the end, its record, the record of the
	// start, and the command.
	DependencyStartDelayMS = 1500
)

// Membership: failure detection between controllers by their hellos, which are sent every PeerHelloInterval.
const (
	// HelloIntervalWindow is the number of latest intervals between hellos that are considered, those of some 50 s.
	HelloIntervalWindow = 100
	// HelloIntervalPriorWeight is the weight of the prior distribution, as a number of intervals.
	HelloIntervalPriorWeight = 10.0
	// HelloIntervalDeviationShare is the standard deviation of the prior distribution, and the minimum of the standard
	// deviation at any time, as a share of the usual interval.
	HelloIntervalDeviationShare = 0.25
	// PhiSuspect is the phi from which on a member is suspected. One silence in 100,000 reaches it by chance, after
	// 1.05 s with usual hellos.
	PhiSuspect = 5.0
	// PhiFail is the phi from which on a member is considered failed, if it has been silent for MinFailSilence and
	// another controller does not receive its hellos either.
	PhiFail = 12.0
	// PhiMax is the maximum phi, at which the precision of floating-point numbers ends.
	PhiMax = 40.0
	// MinFailSilence is the minimum silence of a member before it is considered failed. A process pause seldom reaches
	// it.
	MinFailSilence = 3500 * time.Millisecond
	// MinMembershipPause is the minimum gap between two evaluations of the membership that counts as a pause of this
	// process. There are four evaluations a second or more.
	MinMembershipPause = 700 * time.Millisecond
	// MaxLocalFaults is the maximum of the count of this controller's own recent faults: pauses, and lack of sockets.
	// The time until other members are suspected grows with the count.
	MaxLocalFaults = 8
	// LocalFaultDecayInterval is the interval at which that count is decreased by one.
	LocalFaultDecayInterval = 5 * time.Second
	// SlowLocalFaults is the count from which on the controller reports itself as slow.
	SlowLocalFaults = 2
	// CrashEvidenceTTL is how long a refused connection counts as evidence of a crash.
	CrashEvidenceTTL = 3 * time.Second
	// MaxHelloAge is the maximum age of a hello whose list of heard peers is used: three intervals.
	MaxHelloAge = 1500 * time.Millisecond
	// ShutdownTimeout limits a graceful shutdown.
	ShutdownTimeout = 10 * time.Second
	// ShutdownNoticeTime is how long peers and the load balancer are given to learn of a shutdown: two probes, a second
	// each.
	ShutdownNoticeTime = 2500 * time.Millisecond
	// ShutdownDrainTime is how long requests that still arrive are served once there is another leader.
	ShutdownDrainTime = 500 * time.Millisecond
	// MembershipInterval is the interval at which membership is evaluated when there are no observations.
	MembershipInterval = 200 * time.Millisecond
)

// VersionCheckInterval is the interval at which a controller reads the version records of members whose version it does
// not know.
const VersionCheckInterval = time.Second

// ReadShare is the share of the state service's request limit that all controllers together use to answer users.
// Renewals, records and elections have priority.
const ReadShare = 0.5

// Machines.
const (
	// SilenceHeartbeatIntervals is the number of heartbeat intervals after which a silent machine is returned to the
	// cloud, which proves that its tasks have stopped.
	SilenceHeartbeatIntervals = 3.2
	// MinReleaseSilence is the minimum of the time that SilenceHeartbeatIntervals determines, since a lost packet is
	// retransmitted after up to a second.
	MinReleaseSilence = 3500 * time.Millisecond
	// MinProcessPause is the minimum gap between a leader's rounds that counts as a pause of the process rather than as
	// load. There are two rounds a second or more.
	MinProcessPause = 1500 * time.Millisecond
	// PartitionLeases is the number of leases for which a machine that may be behind a network partition is kept.
	// Controllers of its zone may be renewing its tasks' leases, and replicas that must be spread could not run
	// elsewhere.
	PartitionLeases = 6
	// DefaultBootTime is the boot time that is assumed for a machine of unknown type.
	DefaultBootTime = time.Minute
	// EvictionUnlimitedShare is the silent share of a zone up to which its machines are released without a rate limit.
	// A third of a zone at once is more than any wave of spot preemptions has taken.
	EvictionUnlimitedShare = 0.34
	// EvictionFullRateShare is the silent share of a zone up to which machines are released at EvictionRate; above it,
	// they are released at a fifth of that rate. Kubernetes also slows down above 55%.
	EvictionFullRateShare = 0.55
	// EvictionRate is the release rate as a share of a zone's machines per second.
	EvictionRate = 0.02
	// EvictionBurstShare is the capacity of a zone's eviction budget as a share of its machines, if that is more than
	// EvictionBurstMachines.
	EvictionBurstShare = 0.05
	// EvictionBurstMachines is the minimum capacity of a zone's eviction budget in machines.
	EvictionBurstMachines = 8.0
	// EvictionLogInterval is the minimum interval between log lines about machines whose release is deferred.
	EvictionLogInterval = 10 * time.Second
	// NewTermGrace is added to the workers' lease before a new leader releases a machine from which it has received no
	// heartbeat.
	NewTermGrace = 2 * time.Second
	// StartupUsualFactor is the multiple of the catalog's boot time, or of the boot time of machines rented later, up
	// to which a boot is considered normal.
	StartupUsualFactor = 1.6
	// StartupDeadlineFactor is the multiple of the catalog's boot time after which a machine that has not started is
	// replaced.
	StartupDeadlineFactor = 3.0
	// FaultyMachineFailures is the number of consecutive failures, of two jobs or more, after which a machine is
	// considered faulty.
	FaultyMachineFailures = 3
	// BrokenJobMachines is the number of machines on which a job without any successful task must have failed to be
	// considered broken. An error in the job is then more likely than several faulty machines.
	BrokenJobMachines = 3
	// BrokenJobRunTime is the run time after which a task counts as working. Errors in a job and faulty machines make a
	// task fail at once.
	BrokenJobRunTime = 3 * time.Second
	// InstanceRefusalPause is how long a machine type, zone and kind is not requested again after an error, such as a
	// 503, or after fewer machines than requested were granted.
	InstanceRefusalPause = 12 * time.Second
	// MaxListLagFactor is the maximum age of the cloud's machine list as a multiple of its stated lag, according to the
	// protocol.
	MaxListLagFactor = 2.0
	// ListInterval is the interval at which the machine list is read.
	ListInterval = 5 * time.Second
	// CatalogInterval is the interval at which the catalog is read.
	CatalogInterval = 60 * time.Second
	// ServiceHeadroom is the capacity of ordinary machines that is kept, as a multiple of the demand that may not run
	// on spot machines, so that the replicas of a lost machine can be placed at once.
	ServiceHeadroom = 1.3
	// MaxMachinesPerRental is the maximum number of machines that the cloud accepts in one rental request.
	MaxMachinesPerRental = 50
	// MaxMachinesPerReturn is the maximum number of machines that the cloud accepts in one return request.
	MaxMachinesPerReturn = 100
	// PreemptionNoticeMarginS is how many seconds before the preemption of a spot machine its tasks must have saved
	// their state.
	PreemptionNoticeMarginS = 1.0
)

// Redirects of workers to other controllers.
const (
	// RedirectHeartbeatTimeout is how long a worker may take to send a heartbeat to the controller that it was redirected
	// to: half a second, and the duration of a heartbeat in flight.
	RedirectHeartbeatTimeout = 2 * time.Second
	// RedirectBackoff is how long a worker that came back is not redirected to the same controller again.
	RedirectBackoff = 30 * time.Second
	// RedirectProbeInterval is the interval at which one worker may be redirected to a controller that receives no
	// heartbeats. The worker loses half its lease if that controller cannot receive them.
	RedirectProbeInterval = 10 * time.Second
	// RecentHeartbeatIntervals is the number of heartbeat intervals within which a controller must have received a
	// heartbeat to announce that it receives heartbeats.
	RecentHeartbeatIntervals = 2.5
)

// Relay of heartbeats through the state service by a controller that does not reach the leader.
const (
	// RelayInterval is the interval at which relayed heartbeats are written, and at which a controller that renews
	// leases without leading reads the jobs' records. A write a second uses little of the state service's limit.
	RelayInterval = 700 * time.Millisecond
	// RelayRefreshInterval is the time after which an unchanged heartbeat is written again.
	RelayRefreshInterval = 3 * time.Second
	// RelayedCommandHeartbeats is the number of heartbeats, after the one that relayed commands were derived from,
	// during which a peer delivers these commands. Until then, it is not known whether the starts among them take
	// place. The span is a few times the round trip of a packet.
	RelayedCommandHeartbeats = 8
	// RelayAgentRefreshInterval is RelayRefreshInterval for data agents. It is below their usual heartbeat interval, so
	// that each of their heartbeats is relayed and no agent counts as silent.
	RelayAgentRefreshInterval = 1500 * time.Millisecond
	// PacketMarginBytes is the size in bytes that is reserved in a value for the JSON around a packet.
	PacketMarginBytes = 160
	// MaxPacketRequestBytes is the maximum size in bytes of the packets in one transaction. Keys and conditions take
	// the rest of 64 KiB.
	MaxPacketRequestBytes = 56 << 10
	// PacketCompressionRatio is the number of bytes of messages that are compressed at once for each byte of a packet.
	PacketCompressionRatio = 12.0
	// MaxMessageFragments is the maximum number of fragments of a message: those of 1 MiB that does not compress.
	MaxMessageFragments = 256
	// MachinesPerPacket is the usual number of machines whose messages share a packet. The packet is rewritten when the
	// message of any of them changes.
	MachinesPerPacket = 48
	// RelayWriteShare is the share of the state service's write limit that each controller uses for relaying. Two
	// controllers relay beside the leader, which uses LeaderRateShare.
	RelayWriteShare = 0.1
)

// Scheduling.
const (
	// PlacementInterval is the maximum interval between placement rounds; other events trigger further rounds. It is
	// also the maximum interval at which the leader looks for records to write.
	PlacementInterval = 250 * time.Millisecond
	// MinPlacementInterval is the minimum time between two placement rounds, so that a burst of heartbeats causes only
	// one.
	MinPlacementInterval = 15 * time.Millisecond
	// PlacementPauseFactor is the pause after a placement round as a multiple of its duration. It limits placement to a
	// quarter of the CPU time, so that renewals, heartbeats and submissions have priority on a slow machine or in a
	// burst.
	PlacementPauseFactor = 3
	// MaxBeginByS is the maximum of the policy's begin_by_s, in seconds. Users expect even the largest jobs to begin
	// within four minutes, and draining a machine takes some of that time.
	MaxBeginByS = 200
	// StarvationReserveInterval is the interval between searches for machines to reserve for a starving job.
	StarvationReserveInterval = time.Second
	// StarvedStartProtection is how long a task that was started because its job was starving can be preempted only by
	// production jobs. Most tasks complete within that time.
	StarvedStartProtection = time.Minute
	// CancelStartTimeout is how long the response to a cancellation waits for starts in progress. A response to a
	// command takes milliseconds, a heartbeat after a change half a second, and users wait 5 s.
	CancelStartTimeout = time.Second
	// PassedOverLogDelay is how long a job waits although it fits a machine before that is logged. Users consider it a
	// fault after 90 s.
	PassedOverLogDelay = time.Minute
	// QuotaReservationTTL is how long a reservation of a team's quota lasts if it is not used. Users expect that no job
	// waits 90 s while its team is under its limit.
	QuotaReservationTTL = time.Minute
	// QuotaReservationPause is the pause after such a reservation has expired before the team's quota is reserved
	// again.
	QuotaReservationPause = 15 * time.Second
	// MaxReservedShare is the maximum share of machines that are reserved for starving jobs. About half of their
	// capacity is unused while they drain, some 2% of the fleet.
	MaxReservedShare = 0.05
	// FleetLogInterval is the interval between log lines about the utilization of the fleet, the requests received and
	// the changes written to the state service.
	FleetLogInterval = 10 * time.Second
	// MaintenanceInterval is the interval at which the fleet is scaled out and in.
	MaintenanceInterval = 500 * time.Millisecond
	// BackoffBase is the first pause before a failing job is started again. It is also the pause after a machine
	// refused a start, and after the machine list or the catalog could not be read.
	BackoffBase = time.Second
	// BackoffMax is the maximum pause before a failing job is started again, and how long a job avoids a machine on
	// which it failed or could not get its inputs.
	BackoffMax = 60 * time.Second
	// BackoffMachines is the number of machines on which a job must have failed before its starts are delayed.
	BackoffMachines = 3
	// CancelGraceS is the grace period, in seconds, of a cancelled task, whose work is no longer needed.
	CancelGraceS = 0.0
	// MinRunTimeS is the minimum run time, in seconds, that is assumed for a task, so that a wrong estimate does not
	// make a machine appear to have unlimited capacity.
	MinRunTimeS = 1.0
	// MaxImmediateFetchS is the duration, in seconds, up to which an idle machine fetches an image, or inputs, without
	// waiting for a machine that has them.
	MaxImmediateFetchS = 2.0
	// PullDelayShare is how long a job must have been known before an idle machine takes a task of it from the run
	// queue of another machine that has the image, as a share of the time that the idle machine needs to fetch it.
	PullDelayShare = 0.5
	// GuaranteeDelay is how long a job within its team's guarantee waits before work of teams that exceed theirs is
	// preempted for it. Most waits are shorter, and preempted work may have no checkpoint.
	GuaranteeDelay = 6 * time.Second
	// MinWorkWeight is the minimum factor by which a job's remaining work postpones its latest start. The work is
	// expressed as the time for which it would occupy the whole fleet.
	MinWorkWeight = 10.0
	// WorkWeightPerJob is multiplied by the number of waiting jobs, and the product replaces MinWorkWeight if it is
	// larger. A larger fleet takes less time for each job, but the number of jobs ahead of the next one is the same.
	WorkWeightPerJob = 1.0
	// MaxWorkS is the maximum remaining work, in seconds, that is used in that calculation, so that an absurd estimate
	// has limited effect.
	MaxWorkS = 1e6
	// RepeatedPreemptionCost is added to the cost of preempting a task for each earlier preemption of it: about the run
	// time of a task, so that other tasks are preempted first.
	RepeatedPreemptionCost = 30 * time.Second
	// MaxReportedTasks is the number of tasks up to which a machine gets more, including exited tasks that are not
	// cleared. At some 75 bytes each, its heartbeat fits into a relay's record of 16 KiB, and into a body of 64 KiB.
	MaxReportedTasks = 160
	// ResourceSlack is the tolerance for rounding errors of decimal amounts of resources.
	ResourceSlack = 1e-6
)

// Process.
const (
	// HeaderTimeout limits how long a client may take to send the header of a request.
	HeaderTimeout = 10 * time.Second
	// MemoryLimitShare is the share of the process's memory that is set as the soft limit of the Go runtime; near it,
	// garbage is collected more often. The rest is for stacks and the runtime.
	MemoryLimitShare = 0.6
	// ClientRequestTimeout limits one request of the command line.
	ClientRequestTimeout = 5 * time.Second
	// ClientTotalTimeout limits a command with all its retries, unless a flag says otherwise.
	ClientTotalTimeout = 60 * time.Second
)

// Datasets.
const (
	// MaxManifestBytes is the maximum size in bytes of a manifest that is read: about 160,000 chunks of 100 bytes each.
	MaxManifestBytes = 16 << 20
	// MaxChunkBytes is the maximum size of a chunk in bytes. A chunk is discarded as a whole if its digest is wrong.
	MaxChunkBytes = 64 << 20
	// MaxParts is the maximum number of parts of a dataset: the number of tasks of the largest job.
	MaxParts = 100_000
	// MaxOddParts is the maximum number of parts whose size differs from the usual size of the dataset's parts. At some
	// 20 bytes each, the dataset's record stays within one value of the state service.
	MaxOddParts = 400
	// MaxReportedErrors is the maximum number of mistakes that are reported at once for an invalid document.
	MaxReportedErrors = 20
	// MaxInputs is the maximum number of inputs of a job.
	MaxInputs = 16
	// MaxWaterFilledGroups is the number of task groups, the largest ones, that are placed by water-filling over the
	// whole fleet. Tasks of other groups are placed one by one. This limits the passes over the machines in one
	// placement decision.
	MaxWaterFilledGroups = 64
)

// Staging of datasets: constants of the data agents.
const (
	// StageBlockBytes is the number of bytes that a transfer writes at once, and the maximum that is copied again after
	// a crash.
	StageBlockBytes = 256 << 10
	// StageBlockTimeout is how long the transfer of a block may take. A slower source would occupy the slot of a copy,
	// so another source is tried.
	StageBlockTimeout = 10 * time.Second
	// StageBackoff is the first pause before a copy is tried again after all its sources have failed.
	StageBackoff = 250 * time.Millisecond
	// StageBackoffMax is the maximum pause before such a copy is tried again.
	StageBackoffMax = 15 * time.Second
	// MaxConcurrentCopies is the number of parts that an agent copies concurrently, and the default number of peers
	// that it serves concurrently.
	MaxConcurrentCopies = 4
	// MinStageHeartbeatInterval is the minimum interval between an agent's heartbeats.
	MinStageHeartbeatInterval = 100 * time.Millisecond
	// StageHeartbeatInterval is the usual interval of an agent's heartbeats.
	StageHeartbeatInterval = 2 * time.Second
	// StageCallTimeout limits the call that delivers an agent's heartbeat; it is as long as for a worker.
	StageCallTimeout = 4 * time.Second
	// CompressionSampleBytes is the number of bytes of a chunk that are compressed to find out whether compression
	// pays.
	CompressionSampleBytes = 64 << 10
	// MaxCompressedShare is the share of its size below which the sample must shrink for the chunk to be compressed.
	MaxCompressedShare = 0.9
	// MaxDecompressedBytes is the maximum size in bytes to which an agent's response may decompress.
	MaxDecompressedBytes = 16 << 20
	// MaxOrderBytes is the maximum size in bytes of an order to an agent, and of an agent's heartbeat.
	MaxOrderBytes = 1 << 20
)

// Staging of datasets: constants of the leader.
const (
	// StageResendDelay is how long an agent may take to acknowledge an order before the order is sent again.
	StageResendDelay = time.Second
	// StageSilenceTimeout is how long an agent may be silent and still be used as a source, or for a task with inputs.
	StageSilenceTimeout = 3 * StageHeartbeatInterval
	// StageProgressTimeout is the time without progress after which a copy no longer counts as progressing, so that
	// others stop waiting for it: the time of a stalled block and a retry.
	StageProgressTimeout = 30 * time.Second
	// StageSourcesPerPart is the number of peers that an order lists for a part. If one fails, the agent tries the next
	// without asking the leader.
	StageSourcesPerPart = 3
	// StageCopiesPerLink is the number of copies that a machine receives concurrently, and the number that it serves,
	// unless the features file sets another.
	StageCopiesPerLink = 1
	// StageCopiesAtStore is the number of copies that the store serves concurrently, unless the features file sets
	// another.
	StageCopiesAtStore = 8
	// StageCacheGB is the size of an agent's cache in gigabytes, unless the features file sets another.
	StageCacheGB = 50.0
	// StageMoveDelay is how long an agent's cache may be full of pinned parts before the tasks that wait for inputs on
	// its machine are moved to other machines.
	StageMoveDelay = 30 * time.Second
	// StageAheadTasks is the number of queued tasks per machine, beyond those that are assigned to a machine, whose
	// inputs are copied in advance, unless the features file sets another.
	StageAheadTasks = 4
	// MaxCards is the maximum number of accelerators of a machine.
	MaxCards = 64
	// ReplicaHintsInterval is the interval at which the leader stores which machines have which parts. The record is
	// only a hint, so it is written rarely.
	ReplicaHintsInterval = 10 * time.Second
	// ReplicaHintMarginBytes is the size in bytes that is reserved in that record's value for the JSON around the hint.
	ReplicaHintMarginBytes = 64
	// RemovePollInterval is the interval at which the command line asks whether a dataset has been removed.
	RemovePollInterval = 2 * time.Second
	// MaxRemoveAttempts is the maximum number of attempts to remove a dataset. Its record is read again for each,
	// because it has changed since the last read.
	MaxRemoveAttempts = 3
	// MaxDatasets is the maximum number of datasets that controllers keep in memory: at some 300 bytes each, 3 MB.
	MaxDatasets = 10_000
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
	// MaxConcurrentProbes is the maximum number of suspected or silent machines that are probed concurrently, each for
	// WorkerTimeout at most, so that a zone of hundreds of machines does not use all sockets. Silent machines must be
	// probed between 2.5 and 3.2 heartbeat intervals after their last heartbeat; the limit allows for a fifth of a
	// thousand machines in two seconds.
	MaxConcurrentProbes = 48
	// HeartbeatsCapacity is the number of machines whose newest heartbeat a controller remembers to recognize copies:
	// four times the largest fleet, at some 100 bytes each.
	HeartbeatsCapacity = 4096
)

// Statements about cancellations between controllers (package watermark).
const (
	// CancellationsCapacity is the number of cancellations that a controller remembers, at some 100 bytes each: those
	// of two minutes at the highest write limit, with one cancellation a write.
	CancellationsCapacity = 30_000
	// MaxStatementCancellations is the maximum number of cancellations in a statement, which keeps it below
	// MaxFrameBytes.
	MaxStatementCancellations = 800
	// MaxPendingWatermarkRequests is the maximum number of requests to a peer that wait for responses. A connection
	// without any response ends after PeerSilenceTimeout.
	MaxPendingWatermarkRequests = 16
	// CancellationRepeatInterval is how much later a repeated acknowledgement of a cancellation must be to count as a
	// new one.
	CancellationRepeatInterval = 5 * time.Second
	// CancellationSweepInterval is the interval at which expired cancellations are removed.
	CancellationSweepInterval = time.Second
	// WatermarkMargin is subtracted from the position that a peer states, to allow for milliseconds on the network and
	// for the drift of two clocks over a minute and a half.
	WatermarkMargin = 50 * time.Millisecond
	// WatermarkWatchTimeout is the maximum time for which a watch of the jobs' records waits for a change. While
	// nothing changes, a controller's position lags by up to that time.
	WatermarkWatchTimeout = time.Second
	// WatermarkReadPeriod is how long a controller goes on reading the jobs' records after it last answered a worker
	// without the leader.
	WatermarkReadPeriod = 10 * time.Second
)

// Live configuration (package configuration).
const (
	// ConfigurationInterval is the interval at which followers look for a newer revision. Two followers take five reads
	// a second of the state service's limit.
	ConfigurationInterval = 400 * time.Millisecond
	// ConfigurationLease is how long after its request a follower may decide by the configuration that it has read. It
	// is more than three intervals, so that one late response does not end it, and short compared with the 4 s within
	// which a change must be in force everywhere.
	ConfigurationLease = 1500 * time.Millisecond
	// ConfigurationMargin is added to ConfigurationLease by a controller that waits for its end, to allow for the drift
	// of two clocks in that time, below 1 ms, and for the delay of a timer.
	ConfigurationMargin = 50 * time.Millisecond
	// ConfigurationTimeout is how long the user of a change waits for it to be in force before the response says what
	// the change waits for. A request that a peer forwards has PeerTimeout.
	ConfigurationTimeout = 1100 * time.Millisecond
	// ConfigurationCheckInterval is the interval at which it is checked whether a change is in force.
	ConfigurationCheckInterval = 20 * time.Millisecond
	// ConfigurationQueueTimeout is the maximum time for which a change waits for an earlier one: several consecutive
	// changes while all controllers respond.
	ConfigurationQueueTimeout = 300 * time.Millisecond
	// MaxConfigurationBytes is the maximum size of a document in bytes. With the JSON around it, it fits into a request
	// of 64 KiB; a hundred teams take 10 KB.
	MaxConfigurationBytes = 40 << 10
	// ConfigurationPartMarginBytes is the size in bytes that is reserved in a value for the JSON around a part.
	ConfigurationPartMarginBytes = 128
	// MaxConfigurationParts is the maximum number of parts of a revision: those of the largest document, if it does
	// not compress, in values of 1 KiB.
	MaxConfigurationParts = 64
	// ConfigurationRetention is the number of latest revisions that stay stored.
	ConfigurationRetention = 50
	// ConfigurationSweepCount is the number of older revisions that each change tries to remove. It is more than one so
	// that a revision whose removal failed is removed with a later change.
	ConfigurationSweepCount = 3
	// MaxStopWithinS is the maximum of stop_within_s, in seconds.
	MaxStopWithinS = 600
	// MaxAheadTasks is the maximum of ahead_tasks.
	MaxAheadTasks = 1000
)
