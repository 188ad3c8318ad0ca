package store

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"

	"switchferry/api"
	"switchferry/tuning"
)

// Keys. The layout is described in docs/operators.md.
const (
	// rootPrefix begins every key.
	rootPrefix = "sf/"
	// LeaderKey holds the leader; it hangs on a lease.
	LeaderKey = "sf/leader"
	// JobPrefix holds the jobs that are not over.
	JobPrefix = "sf/j/"
	// ShardPrefix holds their tasks' ends and machines.
	ShardPrefix = "sf/t/"
	// FinalPrefix holds the final state of jobs that are over.
	FinalPrefix = "sf/f/"
	// InboxPrefix names jobs that a sibling accepted without the leader.
	InboxPrefix = "sf/in/"
	// RelayPrefix holds reports that a sibling passes on because the leader
	// is out of its reach; MailPrefix what the leader has for their senders: both in
	// letters (package courier).
	RelayPrefix = "sf/relay/"
	MailPrefix  = "sf/mail/"
	// ImagesPrefix holds which machines likely hold which images, for the
	// sequence leader. It is a hint: nothing breaks when it is old or missing.
	ImagesPrefix = "sf/images/"
	// DatasetPrefix holds what is registered of datasets, for good.
	DatasetPrefix = "sf/d/"
	// ReplicasPrefix holds which machines hold which parts of datasets, for the next
	// leader: a hint, as the images are.
	ReplicasPrefix = "sf/holds/"
	// StageRelayPrefix holds agents' reports that a sibling passes on, StageMailPrefix
	// the leader's orders for them: both in letters (package courier).
	StageRelayPrefix = "sf/srelay/"
	StageMailPrefix  = "sf/smail/"
)

// JobKey is the key of a job that is not over, FinalKey that of its final state, InboxKey that of what siblings say of it.
func JobKey(id string) string   { return JobPrefix + id }
func FinalKey(id string) string { return FinalPrefix + id }
func InboxKey(id string) string { return InboxPrefix + id }

// DatasetKey is the key of a dataset.
func DatasetKey(name string) string { return DatasetPrefix + name }

// ReplicasKey is the key of one part of who holds what.
func ReplicasKey(count int) string { return ReplicasPrefix + strconv.Itoa(count) }

// RelayKey and MailKey are the keys of a sibling's relay.
func RelayKey(member string, count int) string { return relayedMessageKey(RelayPrefix, member, count) }
func MailKey(member string, count int) string  { return relayedMessageKey(MailPrefix, member, count) }

// StageRelayKey and StageMailKey are the keys of one letter from and to a sibling.
func StageRelayKey(member string, count int) string {
	return relayedMessageKey(StageRelayPrefix, member, count)
}
func StageMailKey(member string, count int) string {
	return relayedMessageKey(StageMailPrefix, member, count)
}

func relayedMessageKey(prefix, member string, count int) string {
	return fmt.Sprintf("%s%s/%d", prefix, member, count)
}

// RelaySender is the member whose letters stand under a key of this prefix.
func RelaySender(prefix, key string) string {
	member, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	return member
}

// ParseRelayKey is the reverse of relayedMessageKey.
func ParseRelayKey(prefix, key string) (member string, count int, ok bool) {
	member, number, ok := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	count, err := strconv.Atoi(number)
	return member, count, ok && err == nil && count >= 0
}

// ImagesKey is the key of one part of the images.
func ImagesKey(count int) string { return ImagesPrefix + strconv.Itoa(count) }

// ImagesRecord says what some machines likely hold: for each, indices into Names
// and GB, the most recently used first.
type ImagesRecord struct {
	Names []string         `json:"i"`
	GB    []float64        `json:"g"`
	On    map[string][]int `json:"m"`
}

// InboxRecord tells the leader of a job: a new one, or one to be cancelled.
type InboxRecord struct {
	Cancel bool `json:"cancel,omitempty"`
}

// RelayedCommands is one machine's commands, derived from one report of it, which Incarnation and Seq name.
type RelayedCommands struct {
	Incarnation uint64        `json:"w"`
	Seq         uint64        `json:"q"`
	Commands    []api.Command `json:"o"`
}

// Shard is a run of a job's tasks that share one record: so many, from Index times that on.
type Shard struct {
	Job         string
	Index, Size int
}

// ShardOf is where a task stands with so many tasks a record.
func ShardOf(id string, task, size int) Shard { return Shard{id, task / size, size} }

// Range are its tasks, the last excluded, of a job with so many.
func (s Shard) Range(total int) (from, to int) {
	return min(total, s.Index*s.Size), min(total, (s.Index+1)*s.Size)
}

// Key names its record. The size stands in it unless it is that of the first version, which
// knows no other (docs/upgrade.md).
func (s Shard) Key() string {
	if s.Size == tuning.ShardTasks {
		return fmt.Sprintf("%s%s/%d", ShardPrefix, s.Job, s.Index)
	}
	return fmt.Sprintf("%s%s/%d.%d", ShardPrefix, s.Job, s.Index, s.Size)
}

// ParseShard is the reverse of Key.
func ParseShard(key string) (Shard, bool) {
	id, number, ok := strings.Cut(strings.TrimPrefix(key, ShardPrefix), "/")
	index, size, sized := strings.Cut(number, ".")
	s := Shard{Job: id, Size: tuning.ShardTasks}
	var err, serr error
	s.Index, err = strconv.Atoi(index)
	if sized {
		s.Size, serr = strconv.Atoi(size)
	}
	ok = ok && err == nil && serr == nil && s.Index >= 0 && s.Size > 0 && s.Size%8 == 0 && s.Index <= api.MaxTasks/s.Size
	return s, ok
}

// ShardSize is how many tasks' records always fit into a value of so many bytes, on machines whose
// names have nameBytes at most.
func ShardSize(valueBytes, nameBytes int) int {
	count := (valueBytes - tuning.ShardMargin) / (tuning.PlacedBytes + max(nameBytes, tuning.NameBytes))
	return min(tuning.ShardTasks, max(8, count/8*8))
}

// LeaderRecord is the value of LeaderKey.
type LeaderRecord struct {
	Member string `json:"member"`
}

// JobRecord is a job as accepted. At orders the queues; it is the accepting
// node's time of day in ms. FinalState is set once the job is done or cancelled, at FinalAt on
// the same clock.
type JobRecord struct {
	Job        api.Submission `json:"job"`
	At         int64          `json:"at"`
	FinalState string         `json:"final,omitempty"`
	FinalAt    int64          `json:"final_at,omitempty"`
}

// FinalRecord is all that is kept of a job that is over.
type FinalRecord struct {
	State string `json:"s"`
	Tasks int    `json:"n"`
	// Service: it ran until it was cancelled. Version 1 of data does not say.
	Service bool `json:"v,omitempty"`
}

// PlacedTask is a task that is, or may be, on a machine.
type PlacedTask struct {
	Task    int
	Machine string
	Attempt uint64
}

// MarshalJSON writes a short triple: a shard must stay within one value.
func (p PlacedTask) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{p.Task, p.Machine, p.Attempt})
}

// UnmarshalJSON reads the triple.
func (p *PlacedTask) UnmarshalJSON(encoded []byte) error {
	return json.Unmarshal(encoded, &[]any{&p.Task, &p.Machine, &p.Attempt})
}

// ShardRecord holds the done bits of a run of tasks and the machines of the
// others.
type ShardRecord struct {
	Done string       `json:"d,omitempty"`
	On   []PlacedTask `json:"on,omitempty"`
}

// TaskBitmap is a bitmap of done tasks.
type TaskBitmap []byte

// NewTaskBitmap makes room for n tasks.
func NewTaskBitmap(count int) TaskBitmap { return make(TaskBitmap, (count+7)/8) }

// Has and Set read and mark a task.
func (b TaskBitmap) Has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }

// Set marks a task.
func (b TaskBitmap) Set(i int) { b[i/8] |= 1 << (i % 8) }

// Pack writes the bits of one shard.
func (b TaskBitmap) Pack(s Shard) string {
	lo := min(len(b), s.Index*s.Size/8)
	hi := min(len(b), lo+s.Size/8)
	part := b[lo:hi]
	for len(part) > 0 && part[len(part)-1] == 0 {
		part = part[:len(part)-1]
	}
	return base64.RawStdEncoding.EncodeToString(part)
}

// Unpack adds the bits of one shard: what is done stays done.
func (b TaskBitmap) Unpack(s Shard, text string) error {
	part, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	lo := s.Index * s.Size / 8
	if lo+len(part) > len(b) {
		return fmt.Errorf("shard %d of %d tasks each is longer than its job", s.Index, s.Size)
	}
	for i, x := range part {
		b[lo+i] |= x
	}
	return nil
}

// ReadShards joins records of tasks: where each task that is not done is, by job. Of a task that
// stands in several, of shards of different sizes, the highest attempt tells, since attempts only grow; the
// revision does not: a record that was created, replaced and deleted within seconds can be created once more
// by the first transaction, carried out late, and is then the newest. One in which the task is nowhere tells
// nothing against one in which it has a machine: that one's word is asked for first. What is done in any is
// done. Of gives a job's bits, to be added to, and its
// number of tasks, 0 if there is no such job; the keys of such are given as stray. Of the jobs in damaged nothing
// can be said, since a record of theirs cannot be read.
func ReadShards(items []Item, of func(id string, s Shard) (TaskBitmap, int)) (on map[string]map[int]PlacedTask, stray []string, damaged map[string]error) {
	on, damaged = map[string]map[int]PlacedTask{}, map[string]error{}
	jobs := map[string]TaskBitmap{}
	for _, item := range items {
		shard, ok := ParseShard(item.Key)
		var bits TaskBitmap
		total := 0
		if ok {
			bits, total = of(shard.Job, shard)
		}
		if total == 0 {
			stray = append(stray, item.Key)
			continue
		}
		var record ShardRecord
		err := json.Unmarshal(item.Value, &record)
		if err == nil {
			err = bits.Unpack(shard, record.Done)
		}
		if err != nil {
			damaged[shard.Job] = fmt.Errorf("record %s is damaged: %w", item.Key, err)
			continue
		}
		if jobs[shard.Job] = bits; on[shard.Job] == nil {
			on[shard.Job] = map[int]PlacedTask{}
		}
		from, to := shard.Range(total)
		for _, p := range record.On {
			if was, ok := on[shard.Job][p.Task]; p.Task >= from && p.Task < to && (!ok || p.Attempt > was.Attempt) {
				on[shard.Job][p.Task] = p
			}
		}
	}
	for id := range damaged {
		delete(on, id)
	}
	for id, placed := range on {
		maps.DeleteFunc(placed, func(t int, _ PlacedTask) bool { return jobs[id].Has(t) })
	}
	return on, stray, damaged
}
