// Package upgrade holds the versions of the records in the state service and of the frames between
// controllers, and finds out when all controllers run the present version.
//
// Each controller writes a version record. While one is missing, its member may still run an older process, or
// go back to one, and nothing may be written that such a process would misread. docs/upgrade.md describes the
// versions and the order of an upgrade.
package upgrade

import (
	"maps"
	"slices"
)

// The versions that this program writes. docs/upgrade.md lists what changed with each.
const (
	// DataVersion is the version of the records in the state service. Version 2 has jobs that depend on
	// others, shards of other sizes, and version records; version 1 has none of them.
	DataVersion = 2
	// FrameVersion is the version of the frames between controllers. Version 2 has statements about
	// cancellations (package watermark); version 1 has none.
	FrameVersion = 2
)

// RecordPrefix is the prefix of the version records, which hold one VersionMark for each member.
const RecordPrefix = "sf/version/"

// VersionMark is the version record of a member. A process writes it before it does anything that an older one
// would misread. A platform that has replaced a member's program does not start an older one again, so the
// record holds for good.
type VersionMark struct {
	// Data is the version of data that the processes of the member have at least.
	Data int `json:"data"`
	// Configuration is true if the process knows live configuration and has it on. A process that has it
	// off writes the record again.
	Configuration bool `json:"configuration,omitempty"`
}

// memberVersions holds the versions of data that were seen of the members of a deployment. It is not safe for
// concurrent use.
type memberVersions struct {
	dataVersions map[string]int // by member; 0: none was seen
}

// newMemberVersions returns the versions of a deployment, none of which was seen.
func newMemberVersions(members ...string) *memberVersions {
	versions := &memberVersions{dataVersions: map[string]int{}}
	for _, member := range members {
		versions.dataVersions[member] = 0
	}
	return versions
}

// observe records the version record of a member. Those of others than the members are ignored, and a version
// never becomes lower.
func (v *memberVersions) observe(member string, mark VersionMark) {
	if known, ok := v.dataVersions[member]; ok {
		v.dataVersions[member] = max(known, mark.Data)
	}
}

// older returns the members, in order, of which DataVersion was not seen.
func (v *memberVersions) older() (older []string) {
	for _, member := range slices.Sorted(maps.Keys(v.dataVersions)) {
		if v.dataVersions[member] < DataVersion {
			older = append(older, member)
		}
	}
	return older
}
