package store

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys in the state service. docs/operators.md describes the layout for operators.
const (
	// rootPrefix begins every key.
	rootPrefix = "sf/"
	// LeaderKey holds the LeaderRecord. It is attached to the leader's lease.
	LeaderKey = "sf/leader"
	// JobPrefix holds a JobRecord for each job that is not archived yet.
	JobPrefix = "sf/j/"
	// ShardPrefix holds the ShardRecords of these jobs.
	ShardPrefix = "sf/t/"
	// FinalPrefix holds a FinalRecord for each archived job, for good.
	FinalPrefix = "sf/f/"
	// InboxPrefix holds an InboxRecord for each job that a peer accepted or cancelled without
	// reaching the leader.
	InboxPrefix = "sf/in/"
	// RelayPrefix holds packets (package relay) of workers' heartbeats that a peer relays
	// because the workers cannot reach the leader.
	RelayPrefix = "sf/relay/"
	// RelayResponsePrefix holds packets with the leader's responses to these heartbeats.
	RelayResponsePrefix = "sf/mail/"
	// ImagesPrefix holds ImagesRecords, which machines likely cache which images, for the next
	// leader. They are soft state: an old or missing record does no harm.
	ImagesPrefix = "sf/images/"
	// DatasetPrefix holds the registered datasets, for good.
	DatasetPrefix = "sf/d/"
	// ReplicasPrefix holds which machines hold which parts of datasets, for the next leader.
	// It is soft state.
	ReplicasPrefix = "sf/holds/"
	// AgentRelayPrefix holds packets of data agents' heartbeats that a peer relays.
	AgentRelayPrefix = "sf/srelay/"
	// AgentResponsePrefix holds packets with the leader's responses to these heartbeats.
	AgentResponsePrefix = "sf/smail/"
)

// JobKey is the key of a job's JobRecord.
func JobKey(id string) string { return JobPrefix + id }

// FinalKey is the key of a job's FinalRecord.
func FinalKey(id string) string { return FinalPrefix + id }

// InboxKey is the key of a job's InboxRecord.
func InboxKey(id string) string { return InboxPrefix + id }

// DatasetKey is the key of a dataset.
func DatasetKey(name string) string { return DatasetPrefix + name }

// ReplicasKey is the key of part n of the record of replicas.
func ReplicasKey(n int) string { return ReplicasPrefix + strconv.Itoa(n) }

// ImagesKey is the key of part n of the record of images.
func ImagesKey(n int) string { return ImagesPrefix + strconv.Itoa(n) }

// RelayKey is the key of packet n of the heartbeats that a member relays.
func RelayKey(member string, n int) string { return packetKey(RelayPrefix, member, n) }

// RelayResponseKey is the key of packet n of the responses to a member's relayed heartbeats.
func RelayResponseKey(member string, n int) string { return packetKey(RelayResponsePrefix, member, n) }

// AgentRelayKey is the key of packet n of the data agents' heartbeats that a member relays.
func AgentRelayKey(member string, n int) string { return packetKey(AgentRelayPrefix, member, n) }

// AgentResponseKey is the key of packet n of the responses to a member's relayed data agents' heartbeats.
func AgentResponseKey(member string, n int) string { return packetKey(AgentResponsePrefix, member, n) }

// packetKey is the key of packet n of a member under a prefix.
func packetKey(prefix, member string, n int) string { return fmt.Sprintf("%s%s/%d", prefix, member, n) }

// RelaySender is the member whose packets the key, which begins with prefix, belongs to.
func RelaySender(prefix, key string) string {
	member, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	return member
}

// ParseRelayKey is the inverse of RelayKey, RelayResponseKey and the two others of their kind, whose prefix is
// given. ok is false if key is no such key.
func ParseRelayKey(prefix, key string) (member string, n int, ok bool) {
	member, number, ok := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	n, err := strconv.Atoi(number)
	return member, n, ok && err == nil && n >= 0
}
