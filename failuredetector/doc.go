// Package failuredetector decides which machines have failed, from the heartbeats that the leader receives:
// from when on a machine's silence is counted (Detector), which action is taken on a machine (Decide), how many
// machines may be released at once (EvictionBudget), and which machines are late to start (StartupTimes).
//
// Silence is not evidence of a failure while the leader could not have received a heartbeat, for example while
// its own process was paused. If most machines of a zone or of a failure domain are silent, or most of those
// whose heartbeats came through one controller, a network partition is more likely than the failure of each
// machine. Machines that are known only from records or from the cloud's list count as silent: after a change
// of leader during a partition, nothing else shows that a whole zone is silent.
//
// The package knows when and through which controller heartbeats arrived in this leadership term, but not what
// a machine runs, except for its number of tasks. Its types have no clock and no lock: the caller passes the
// time and serializes the calls.
package failuredetector
