// Package upgrade holds the versions of what controllers store and say to each other, and knows
// from when on no process of an older version can come back.
package upgrade

import (
	"maps"
	"slices"
)

// The versions that this program writes. docs/upgrade.md lists what changed with each.
const (
	// DataVersion is the version of the records in the state service: 2 has jobs that await others
	// and records of tasks of other sizes; 1 has neither, and marks no members.
	DataVersion = 2
	// FrameVersion is that of what goes over the back port: 2 has word of cancellations, 1 has none.
	FrameVersion = 2
)

// recordPrefix holds one key a member: the version of data that its processes write at least.
const recordPrefix = "sf/version/"

// RecordOwn is its value. A process writes it before it does anything that an older one would
// misread. A platform that replaced a member's program starts no older one of it again, so
// the mark holds for good.
type VersionMark struct {
	Data int `json:"data"`
	// Configuration: the process knows of live configuration and has it on. One that has it off says so anew.
	Configuration bool `json:"configuration,omitempty"`
}

// memberVersions are the controllers of a deployment and the marks that were seen of them. It is pure,
// and not safe for use from several goroutines at once.
type memberVersions struct {
	dataVersions map[string]int
}

// newMemberVersions are those of a deployment, this one among them.
func newMemberVersions(members ...string) *memberVersions {
	m := &memberVersions{dataVersions: map[string]int{}}
	for _, name := range members {
		m.dataVersions[name] = 0
	}
	return m
}

// observe notes a member's mark; that of a stranger counts for nothing.
func (m *memberVersions) observe(member string, mark VersionMark) {
	if known, ok := m.dataVersions[member]; ok {
		m.dataVersions[member] = max(known, mark.Data)
	}
}

// older are the members of which no mark of this version was seen: an older process of
// theirs may run, or come back.
func (m *memberVersions) older() (older []string) {
	for _, name := range slices.Sorted(maps.Keys(m.dataVersions)) {
		if m.dataVersions[name] < DataVersion {
			older = append(older, name)
		}
	}
	return older
}
