// Package upgrade defines the versions of the records in the state service and of the frames between controllers, and
// finds out when all controllers run the present data version.
//
// Each controller writes a version record. While the record of a member is missing, the member may still run an older
// process, or be rolled back to one, and nothing may be written that such a process would misread. docs/upgrade.md
// describes the versions and the order of an upgrade.
package upgrade

import (
	"maps"
	"slices"
)

// The versions that this program writes. docs/upgrade.md lists what changed with each.
const (
	// DataVersion is the version of the records in the state service. Version 2 added jobs that depend on others, shards
	// of other sizes, and version records.
	DataVersion = 2
	// FrameVersion is the version of the frames between controllers. Version 2 added statements about cancellations
	// (package watermark).
	FrameVersion = 2
)

// RecordPrefix is the key prefix of the version records. It is followed by the member's name; the value is a
// VersionRecord.
const RecordPrefix = "sf/version/"

// VersionRecord is the version record of a member. A process writes it before it writes anything that an older process
// would misread. Once the platform has replaced a member's program, it does not start an older one again, so the data
// version of a record never becomes invalid.
type VersionRecord struct {
	// Data is the lowest data version that a process of the member may have.
	Data int `json:"data"`
	// Configuration is true if the process supports live configuration and has it on. A process that has it off rewrites
	// the record.
	Configuration bool `json:"configuration,omitempty"`
}

// memberVersions holds the data versions that were observed of the members of a deployment. It is not safe for
// concurrent use.
type memberVersions struct {
	dataVersions map[string]int // by member; 0: none observed
}

// newMemberVersions returns the memberVersions of a deployment without observations.
func newMemberVersions(members ...string) *memberVersions {
	versions := &memberVersions{dataVersions: map[string]int{}}
	for _, member := range members {
		versions.dataVersions[member] = 0
	}
	return versions
}

// observe records the data version in a member's version record. It ignores records of unknown members and never lowers
// a version.
func (v *memberVersions) observe(member string, record VersionRecord) {
	if known, ok := v.dataVersions[member]; ok {
		v.dataVersions[member] = max(known, record.Data)
	}
}

// older returns the members whose observed data version is below DataVersion, sorted by name.
func (v *memberVersions) older() (older []string) {
	for _, member := range slices.Sorted(maps.Keys(v.dataVersions)) {
		if v.dataVersions[member] < DataVersion {
			older = append(older, member)
		}
	}
	return older
}
