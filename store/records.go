package store

import (
	"encoding/json"

	"switchferry/api"
)

// LeaderRecord is the value of LeaderKey.
type LeaderRecord struct {
	Member string `json:"member"`
}

// JobRecord is the record of an accepted job that is not archived yet.
type JobRecord struct {
	Job api.Submission `json:"job"`
	// AcceptedAt is when the job was accepted, in Unix milliseconds on the clock of the controller that accepted it.
	// It determines the order of the job in its queue.
	AcceptedAt int64 `json:"at"`
	// FinalState is the terminal state of the job, or empty if the job has not reached one.
	FinalState string `json:"final,omitempty"`
	// FinalAt is when the job reached FinalState, in Unix milliseconds on the same clock.
	FinalAt int64 `json:"final_at,omitempty"`
}

// FinalRecord is the record of an archived job. All other records of the job are deleted.
type FinalRecord struct {
	State string `json:"s"`
	Tasks int    `json:"n"`
	// Service is true if the job was a service. Records of data version 1 lack this field.
	Service bool `json:"v,omitempty"`
}

// InboxRecord informs the leader of a new job or, if Cancel is true, of a job to be cancelled.
type InboxRecord struct {
	Cancel bool `json:"cancel,omitempty"`
}

// ImagesRecord lists the images that some machines probably cache.
type ImagesRecord struct {
	// Names are the names of the images.
	Names []string `json:"i"`
	// SizesGB are the sizes of the images in GB, in the order of Names.
	SizesGB []float64 `json:"g"`
	// ImagesByMachine has, for each machine, indices into Names and SizesGB, the most recently used image first.
	ImagesByMachine map[string][]int `json:"m"`
}

// RelayedCommands has the commands in response to one relayed heartbeat of a machine. Incarnation and Seq identify
// the heartbeat.
type RelayedCommands struct {
	Incarnation uint64        `json:"w"`
	Seq         uint64        `json:"q"`
	Commands    []api.Command `json:"o"`
}

// FenceRecord states a fencing token of the leader that workers must have at least. Controllers that answer workers
// without the leader read it. A start of a cancelled task may be under way to a machine that the leader does not reach.
type FenceRecord struct {
	Token uint64 `json:"token"`
}

// PlacedTask is an attempt of a task that runs or may run on a machine.
type PlacedTask struct {
	Task    int
	Machine string
	Attempt uint64
}

// MarshalJSON encodes the task as a JSON array of three elements, which is short enough for the record of a shard to
// fit into one value.
func (p PlacedTask) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{p.Task, p.Machine, p.Attempt})
}

// UnmarshalJSON decodes the array that MarshalJSON encodes.
func (p *PlacedTask) UnmarshalJSON(encoded []byte) error {
	return json.Unmarshal(encoded, &[]any{&p.Task, &p.Machine, &p.Attempt})
}

// ShardRecord is the record of the states of the tasks of one Shard.
type ShardRecord struct {
	// Done is the bitmap of the completed tasks, encoded by TaskBitmap.Pack.
	Done string `json:"d,omitempty"`
	// Placed are the tasks that run or may run on machines.
	Placed []PlacedTask `json:"on,omitempty"`
}
