// Package fleet models one worker machine as known to the leader: its identity, its latest heartbeat, the task failures
// on it, the container images that it likely caches, and amounts of resources. It makes no placement decisions.
package fleet

import (
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// Attempt identifies one attempt of a task.
type Attempt struct {
	Task   string
	Number uint64
}

// Machine is the leader's state of one machine. The zero value is a machine that has sent no heartbeat. It is not safe
// for concurrent use.
type Machine struct {
	Name    string
	Address string
	Type    string
	Zone    string
	// Spot says whether the machine is a preemptible instance.
	Spot bool
	// Spec is the machine's type as the cloud describes it; nil while it is not known.
	Spec *api.MachineType

	// Up says whether the machine's worker has sent a heartbeat in this leadership term.
	Up bool
	// Incarnation, Seq and Term (the fencing token) are those of the latest accepted heartbeat.
	Incarnation uint64
	Seq         uint64
	Term        uint64
	// LastHeartbeat is when a heartbeat last arrived, and RequestedAt when the machine was requested from the cloud.
	// Until these times are known, both are the time at which the leader first learned of the machine.
	LastHeartbeat time.Time
	RequestedAt   time.Time
	// PreemptedAt is when the cloud preempts the instance; zero without a preemption notice.
	PreemptedAt time.Time
	// Attempts are the tasks of the latest accepted heartbeat. A worker may report several attempts of one task.
	Attempts map[Attempt]api.TaskReport

	cache imageCache
	// Failures counts, by job, the tasks that failed since a task last completed here.
	Failures map[string]int
}

// Newer reports whether a heartbeat is newer than the latest accepted one. A delayed heartbeat must not replace a newer
// one.
func (m *Machine) Newer(heartbeat *api.Heartbeat) bool {
	return heartbeat.NewerThan(m.Incarnation, m.Seq)
}

// ApplyHeartbeat updates the machine from a heartbeat that arrived at now. The caller must have checked with Newer that
// the heartbeat is newer.
func (m *Machine) ApplyHeartbeat(heartbeat *api.Heartbeat, now time.Time) {
	m.Up = true
	m.Address, m.Type, m.Zone, m.Spot = heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	m.Incarnation, m.Seq, m.Term = heartbeat.Incarnation, heartbeat.Seq, heartbeat.Term
	if heartbeat.PreemptionNoticeS != nil {
		m.PreemptedAt = now.Add(time.Duration(*heartbeat.PreemptionNoticeS * float64(time.Second)))
	} else {
		m.PreemptedAt = time.Time{}
	}
	m.Attempts = make(map[Attempt]api.TaskReport, len(heartbeat.Tasks))
	for _, report := range heartbeat.Tasks {
		m.Attempts[Attempt{report.Task, report.Attempt}] = report
	}
}

// RecordFailure counts a task of a job that failed on the machine.
func (m *Machine) RecordFailure(job string) {
	if m.Failures == nil {
		m.Failures = map[string]int{}
	}
	m.Failures[job]++
}

// ClearFailures resets all failure counts. It is called when a task completes, which shows that the machine works.
func (m *Machine) ClearFailures() { m.Failures = nil }

// ClearJobFailures resets the failure count of one job.
func (m *Machine) ClearJobFailures(job string) { delete(m.Failures, job) }

// faultyJobs is the number of jobs that must have failed on a machine before it counts as faulty: the failures of a
// single job may be caused by that job.
const faultyJobs = 2

// Faulty reports whether the machine should get no more tasks: since a task last completed on it, at least
// tuning.FaultyMachineFailures tasks of two jobs or more have failed. Failures of jobs for which countsAgainstMachines
// is false are not counted.
func (m *Machine) Faulty(countsAgainstMachines func(job string) bool) bool {
	if len(m.Failures) < faultyJobs {
		return false
	}
	jobs, failures := 0, 0
	for job, n := range m.Failures {
		if countsAgainstMachines(job) {
			jobs++
			failures += n
		}
	}
	return failures >= tuning.FaultyMachineFailures && jobs >= faultyJobs
}
