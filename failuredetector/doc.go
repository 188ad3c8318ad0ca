// Package failuredetector decides which machines have failed, from the heartbeats that the leader receives
// from them: since when a machine's silence counts against it (Detector), what becomes of a machine
// (Decide), how many may be released at once (EvictionBudget), and which machines are late to start
// (StartupTimes).
//
// Silence is no evidence of a failure while the leader could not have received a heartbeat. It could not
// while its own process was paused. Where most machines of a zone are silent, or of a failure domain, or most
// of those whose heartbeats came through one controller, a network partition is more likely than the failure
// of each. Machines that are known from records or from the cloud's list alone count as silent: after a
// change of leader during a partition nothing else shows that a whole zone is silent.
//
// The package knows when and through which controller heartbeats arrived in this leadership term, not what a
// machine is or runs. Its types are values without a clock or a lock: the caller passes the time and
// serializes the calls.
package failuredetector
