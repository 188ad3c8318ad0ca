// Package fleet holds what is known of one machine: what it is, its newest
// report, its image cache and its health.
package fleet

import (
	"time"

	"switchferry/api"
	"switchferry/cost"
	"switchferry/tuning"
)

// Resources is an amount of a machine's resources.
type Resources struct{ CPUs, Cards, MemoryGB float64 }

// RequestOf is what one task of a job takes.
func RequestOf(job *api.Submission) Resources {
	return Resources{job.CPUs, job.Cards, job.MemoryGB}
}

// Sub takes o away.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.Cards - other.Cards, r.MemoryGB - other.MemoryGB}
}

// Add puts o back.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.Cards + other.Cards, r.MemoryGB + other.MemoryGB}
}

// Scale is n times r.
func (r Resources) Scale(n int) Resources {
	factor := float64(n)
	return Resources{r.CPUs * factor, r.Cards * factor, r.MemoryGB * factor}
}

// Fits tells whether o fits.
func (r Resources) Fits(other Resources) bool {
	const s = tuning.RoomSlack
	return r.CPUs+s >= other.CPUs && r.Cards+s >= other.Cards && r.MemoryGB+s >= other.MemoryGB
}

// Multiple is how many of o fit at once.
func (r Resources) Multiple(other Resources) int {
	n := 1 << 20
	for _, amounts := range [3][2]float64{{r.CPUs, other.CPUs}, {r.Cards, other.Cards}, {r.MemoryGB, other.MemoryGB}} {
		if amounts[1] > 0 {
			n = min(n, max(0, int((amounts[0]+tuning.RoomSlack)/amounts[1])))
		}
	}
	return n
}

// Machine is one machine as last heard of.
type Machine struct {
	Name    string
	Address string
	Type    string
	Zone    string
	Spot    bool
	Spec    *api.MachineType

	// Up: its worker has reported in this term.
	Up          bool
	Incarnation uint64
	Seq         uint64
	Term        uint64
	// LastHeartbeat is when a report last came in; RequestedAt when it was asked for.
	LastHeartbeat time.Time
	RequestedAt   time.Time
	// PreemptedAt is when the cloud takes it away; zero: no notice.
	PreemptedAt time.Time
	Tasks       map[string]api.TaskReport

	cache imageCache
	// Failures counts failures in a row by job.
	Failures map[string]int
}

// Newer tells whether a report is newer than the last one taken in. A late
// report must not undo a newer one.
func (m *Machine) Newer(heartbeat *api.Heartbeat) bool {
	return heartbeat.NewerThan(m.Incarnation, m.Seq)
}

// ApplyHeartbeat notes a report that is newer.
func (m *Machine) ApplyHeartbeat(heartbeat *api.Heartbeat, now time.Time) {
	m.Up = true
	m.Address, m.Type, m.Zone, m.Spot = heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	m.Incarnation, m.Seq, m.Term = heartbeat.Incarnation, heartbeat.Seq, heartbeat.Term
	if heartbeat.PreemptionNoticeS != nil {
		m.PreemptedAt = now.Add(time.Duration(*heartbeat.PreemptionNoticeS * float64(time.Second)))
	} else {
		m.PreemptedAt = time.Time{}
	}
	m.Tasks = make(map[string]api.TaskReport, len(heartbeat.Tasks))
	for _, t := range heartbeat.Tasks {
		m.Tasks[t.Task] = t
	}
}

// RecordFailure counts a task that failed here.
func (m *Machine) RecordFailure(job string) {
	if m.Failures == nil {
		m.Failures = map[string]int{}
	}
	m.Failures[job]++
}

// ClearFailures forgets failures: the machine completes tasks.
func (m *Machine) ClearFailures() { m.Failures = nil }

// ClearJobFailures forgets the failures of one job.
func (m *Machine) ClearJobFailures(job string) { delete(m.Failures, job) }

// Faulty tells whether the machine should get no more work: several failures in a
// row, and not all of one job, whose own mistake they may be. Counts says whether a
// job's failures speak against machines at all.
func (m *Machine) Faulty(countsAgainstMachines func(job string) bool) bool {
	if len(m.Failures) < 2 {
		return false
	}
	jobs, failures := 0, 0
	for job, n := range m.Failures {
		if countsAgainstMachines(job) {
			jobs++
			failures += n
		}
	}
	return failures >= tuning.SickErrors && jobs >= 2
}

// RecordImage notes that a task with this image ran here; it tells whether the image is
// new here.
func (m *Machine) RecordImage(image string, gb float64) bool {
	limit := 0.0
	if m.Spec != nil {
		limit = m.Spec.CacheGB
	}
	known := m.cache.has(image)
	m.cache.touch(image, gb, limit)
	return !known
}

// Image is an image that a machine likely holds.
type Image struct {
	Name string
	GB   float64
}

// Images are what the machine likely holds, the most recently used first.
func (m *Machine) Images() []Image {
	out := make([]Image, len(m.cache.names))
	for i, n := range m.cache.names {
		out[i] = Image{n, m.cache.sizesGB[i]}
	}
	return out
}

// HasImage tells whether the machine likely holds an image.
func (m *Machine) HasImage(image string) bool { return m.cache.has(image) }

// FetchSeconds is the time to get an image, 0 if it is held.
func (m *Machine) FetchSeconds(image string, gb float64) float64 {
	if m.HasImage(image) || m.Spec == nil {
		return 0
	}
	return cost.Fetch(gb, m.Spec.PullGBs)
}

// imageCache is the worker's cache as inferred from its reports: the most recently
// used images that fit.
type imageCache struct {
	names   []string // most recent first
	sizesGB []float64
}

func (c *imageCache) has(name string) bool {
	for _, n := range c.names {
		if n == name {
			return true
		}
	}
	return false
}

func (c *imageCache) touch(name string, gb, limit float64) {
	for i, n := range c.names {
		if n == name {
			copy(c.names[1:i+1], c.names[:i])
			copy(c.sizesGB[1:i+1], c.sizesGB[:i])
			c.names[0], c.sizesGB[0] = name, gb
			return
		}
	}
	c.names = append([]string{name}, c.names...)
	c.sizesGB = append([]float64{gb}, c.sizesGB...)
	totalGB := 0.0
	for i, g := range c.sizesGB {
		totalGB += g
		if i > 0 && limit > 0 && totalGB > limit {
			c.names, c.sizesGB = c.names[:i], c.sizesGB[:i]
			return
		}
	}
}
