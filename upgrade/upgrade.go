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

// MarkPrefix holds one key a member: the version of data that its processes write at least.
const MarkPrefix = "sf/version/"

// VersionMark is its value. A process writes it before it does anything that an older one would
// misread. A platform that replaced a member's program starts no older one of it again, so
// the mark holds for good.
type VersionMark struct {
	Data int `json:"data"`
	// Configuration: the process knows of live configuration and has it on. One that has it off says so anew.
	Configuration bool `json:"configuration,omitempty"`
}

// MemberVersions are the controllers of a deployment and the marks that were seen of them. It is pure,
// and not safe for use from several goroutines at once.
type MemberVersions struct {
	seen map[string]int
}

// NewMemberVersions are those of a deployment, this one among them.
func NewMemberVersions(all ...string) *MemberVersions {
	m := &MemberVersions{seen: map[string]int{}}
	for _, name := range all {
		m.seen[name] = 0
	}
	return m
}

// Observe notes a member's mark; that of a stranger counts for nothing.
func (m *MemberVersions) Observe(member string, mark VersionMark) {
	if was, ok := m.seen[member]; ok {
		m.seen[member] = max(was, mark.Data)
	}
}

// Older are the members of which no mark of this version was seen: an older process of
// theirs may run, or come back.
func (m *MemberVersions) Older() (old []string) {
	for _, name := range slices.Sorted(maps.Keys(m.seen)) {
		if m.seen[name] < DataVersion {
			old = append(old, name)
		}
	}
	return old
}
