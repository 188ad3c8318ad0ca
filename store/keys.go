package store

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and key prefixes in the state service. docs/operators.md describes the layout for operators.
const (
	// rootPrefix is the prefix of all keys.
	rootPrefix = "sf/"
	// LeaderKey is the key of the LeaderRecord. It is attached to the leader's lease.
	LeaderKey = "sf/leader"
	// JobPrefix is the prefix of the keys of JobRecord values, one for each job that is not archived yet.
	JobPrefix = "sf/j/"
	// ShardPrefix is the prefix of the keys of ShardRecord values, which belong to the jobs that are not archived yet.
	ShardPrefix = "sf/t/"
	// FinalPrefix is the prefix of the keys of FinalRecord values, one for each archived job. They are never deleted.
	FinalPrefix = "sf/f/"
	// InboxPrefix is the prefix of the keys of InboxRecord values, one for each job that a peer accepted or
	// cancelled while it could not reach the leader.
	InboxPrefix = "sf/in/"
	// RelayPrefix is the prefix of packets (package relay) of workers' heartbeats that a peer relays because the
	// workers cannot reach the leader.
	RelayPrefix = "sf/relay/"
	// RelayResponsePrefix is the prefix of packets of the leader's responses to relayed heartbeats of workers.
	RelayResponsePrefix = "sf/mail/"
	// FenceKey is the key of the FenceRecord.
	FenceKey = "sf/fence"
	// ImagesPrefix is the prefix of the keys of ImagesRecord values, which inform the next leader which machines
	// probably cache which images. They are soft state: an outdated or missing record does no harm.
	ImagesPrefix = "sf/images/"
	// DatasetPrefix is the prefix of the registered datasets, which are kept permanently.
	DatasetPrefix = "sf/d/"
	// ReplicasPrefix is the prefix of the records that inform the next leader which machines hold which parts of
	// datasets. They are soft state.
	ReplicasPrefix = "sf/holds/"
	// AgentRelayPrefix is the prefix of packets of data agents' heartbeats that a peer relays.
	AgentRelayPrefix = "sf/srelay/"
	// AgentResponsePrefix is the prefix of packets of the leader's responses to relayed heartbeats of data agents.
	AgentResponsePrefix = "sf/smail/"
)

// JobKey returns the key of a job's JobRecord.
func JobKey(id string) string { return JobPrefix + id }

// FinalKey returns the key of a job's FinalRecord.
func FinalKey(id string) string { return FinalPrefix + id }

// InboxKey returns the key of a job's InboxRecord.
func InboxKey(id string) string { return InboxPrefix + id }

// DatasetKey returns the key of a dataset.
func DatasetKey(name string) string { return DatasetPrefix + name }

// ReplicasKey returns the key of part n of the record of replicas.
func ReplicasKey(n int) string { return ReplicasPrefix + strconv.Itoa(n) }

// ImagesKey returns the key of part n of the record of cached images.
func ImagesKey(n int) string { return ImagesPrefix + strconv.Itoa(n) }

// RelayKey returns the key of packet n of the workers' heartbeats that a member relays.
func RelayKey(member string, n int) string { return packetKey(RelayPrefix, member, n) }

// RelayResponseKey returns the key of packet n of the responses to the workers' heartbeats that a member relays.
func RelayResponseKey(member string, n int) string { return packetKey(RelayResponsePrefix, member, n) }

// AgentRelayKey returns the key of packet n of the data agents' heartbeats that a member relays.
func AgentRelayKey(member string, n int) string { return packetKey(AgentRelayPrefix, member, n) }

// AgentResponseKey returns the key of packet n of the responses to the data agents' heartbeats that a member relays.
func AgentResponseKey(member string, n int) string { return packetKey(AgentResponsePrefix, member, n) }

// packetKey returns the key of packet n of a member under a prefix.
func packetKey(prefix, member string, n int) string { return fmt.Sprintf("%s%s/%d", prefix, member, n) }

// PacketKeyMember returns the member in the key of a packet that begins with prefix.
func PacketKeyMember(prefix, key string) string {
	member, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	return member
}

// ParsePacketKey returns the member and the packet number of a key that RelayKey, RelayResponseKey, AgentRelayKey or
// AgentResponseKey returned; prefix is the prefix of that kind of key. ok is false if key is not a valid key of this
// kind.
func ParsePacketKey(prefix, key string) (member string, n int, ok bool) {
	member, number, ok := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	n, err := strconv.Atoi(number)
	return member, n, ok && err == nil && n >= 0
}
