package store

import (
	"encoding/json"

	"switchferry/api"
)

// LeaderRecord is the value of LeaderKey.
type LeaderRecord struct {
	Member string `json:"member"`
}

// JobRecord is a job as accepted.
type JobRecord struct {
	Job api.Submission `json:"job"`
	// AcceptedAt is the time of day at which the job was accepted, in ms, by the clock of the
	// controller that accepted it. It orders the queues.
	AcceptedAt int64 `json:"at"`
	// FinalState is set once the job is done or cancelled, FinalAt to when, on the same clock.
	FinalState string `json:"final,omitempty"`
	FinalAt    int64  `json:"final_at,omitempty"`
}

// FinalRecord is all that is kept of an archived job.
type FinalRecord struct {
	State string `json:"s"`
	Tasks int    `json:"n"`
	// Service is true if the job was a service. Records of data version 1 do not have it.
	Service bool `json:"v,omitempty"`
}

// InboxRecord informs the leader of a job: a new one, or one to be cancelled.
type InboxRecord struct {
	Cancel bool `json:"cancel,omitempty"`
}

// ImagesRecord says which images some machines likely cache: On lists for each machine indices into
// Names and GB, the most recently used image first.
type ImagesRecord struct {
	Names []string         `json:"i"`
	GB    []float64        `json:"g"`
	On    map[string][]int `json:"m"`
}

// RelayedCommands are the commands that answer one relayed heartbeat of a machine, which Incarnation and
// Seq identify.
type RelayedCommands struct {
	Incarnation uint64        `json:"w"`
	Seq         uint64        `json:"q"`
	Commands    []api.Command `json:"o"`
}

// PlacedTask is an attempt of a task that is, or may be, on a machine.
type PlacedTask struct {
	Task    int
	Machine string
	Attempt uint64
}

// MarshalJSON encodes the task as a triple, since a shard must fit into one value.
func (p PlacedTask) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{p.Task, p.Machine, p.Attempt})
}

// UnmarshalJSON decodes the triple.
func (p *PlacedTask) UnmarshalJSON(encoded []byte) error {
	return json.Unmarshal(encoded, &[]any{&p.Task, &p.Machine, &p.Attempt})
}

// ShardRecord holds the state of the tasks of one Shard.
type ShardRecord struct {
	// Done is the packed bitmap of the tasks that are done (TaskBitmap.Pack).
	Done string       `json:"d,omitempty"`
	On   []PlacedTask `json:"on,omitempty"`
}
