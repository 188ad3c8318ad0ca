package api

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/tuning"
)

// How tasks use an input.
const (
	// UseAll: every task needs the whole dataset.
	UseAll = "all"
	// UseOwn: task k needs part k.
	UseOwn = "own"
)

// Input is a dataset that a job's tasks need on their machine before they start.
type Input struct {
	Dataset string `json:"dataset"`
	Use     string `json:"use"`
}

// ParseInputs reads the inputs of a submission of so many tasks, whose body is a JSON
// object; a body without the field has none.
func ParseInputs(body []byte, tasks int) ([]Input, error) {
	var raw struct {
		Inputs json.RawMessage `json:"inputs"`
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, &FieldError{"body", "must be a JSON object"}
	}
	if len(raw.Inputs) == 0 || string(raw.Inputs) == "null" {
		return nil, nil
	}
	var in []Input
	if json.Unmarshal(raw.Inputs, &in) != nil {
		return nil, &FieldError{"inputs", `must be a list like [{"dataset":"inventory-7","use":"own"}]`}
	}
	if len(in) > tuning.InputsLimit {
		return nil, &FieldError{"inputs", fmt.Sprintf("at most %d are possible", tuning.InputsLimit)}
	}
	seen := map[string]bool{}
	for i, x := range in {
		f := fmt.Sprintf("inputs[%d]", i)
		switch {
		case x.Dataset == "":
			return nil, &FieldError{f + ".dataset", "is missing"}
		case x.Use != UseAll && x.Use != UseOwn:
			return nil, &FieldError{f + ".use", `must be "all" (every task needs the whole dataset) or "own" (task k needs part k)`}
		case seen[x.Dataset]:
			return nil, &FieldError{f + ".dataset", "stands twice"}
		}
		seen[x.Dataset] = true
	}
	return in, nil
}

// PartSet is a set of a dataset's parts on the wire: a roaring bitmap in its portable
// format, as base64.
type PartSet struct{ *roaring.Bitmap }

// MarshalJSON writes the base64 text.
func (set PartSet) MarshalJSON() ([]byte, error) {
	if set.Bitmap == nil {
		return []byte(`""`), nil
	}
	raw, err := set.ToBytes()
	if err != nil {
		return nil, err
	}
	return json.Marshal(base64.RawStdEncoding.EncodeToString(raw))
}

// UnmarshalJSON reads and checks the text: it comes from outside.
func (set *PartSet) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	set.Bitmap = roaring.New()
	if s == "" {
		return nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(s)
	if err != nil {
		return fmt.Errorf("set of parts: %w", err)
	}
	b := roaring.New()
	n, err := b.FromUnsafeBytes(raw)
	if err == nil && n != int64(len(raw)) {
		err = fmt.Errorf("%d bytes too many", int64(len(raw))-n)
	}
	if err == nil && !b.IsEmpty() {
		err = b.Validate()
	}
	if err == nil && !b.IsEmpty() && b.Maximum() >= tuning.PartsLimit {
		err = fmt.Errorf("part %d is beyond any dataset", b.Maximum())
	}
	if err != nil {
		return fmt.Errorf("set of parts: %w", err)
	}
	set.Bitmap = b
	return nil
}

// StageSource is where a part can be had: a peer's address, or the store.
type StageSource struct {
	Peer  string `json:"peer,omitempty"`
	Store bool   `json:"store,omitempty"`
}

// String is the source's name for people.
func (s StageSource) String() string {
	if s.Store {
		return "store"
	}
	return s.Peer
}

// StageCopy is one part to be copied now, and where from, best first.
type StageCopy struct {
	Part int           `json:"part"`
	From []StageSource `json:"from"`
}

// StageSet is what a machine shall have of one dataset: Parts are to be kept as long as
// they stand here; those in Copies are to be got now.
type StageSet struct {
	Dataset  string      `json:"dataset"`
	Manifest string      `json:"manifest"`
	Parts    PartSet     `json:"parts"`
	Copies   []StageCopy `json:"copies,omitempty"`
}

// StageOrder tells an agent all that its machine shall have. It replaces the one before.
// Order grows within a term; Known is the version of the agent's holdings that the
// controllers have.
type StageOrder struct {
	Term        uint64     `json:"helm"`
	Incarnation uint64     `json:"session,omitempty"`
	Order       uint64     `json:"order"`
	Known       uint64     `json:"known"`
	Sets        []StageSet `json:"sets"`
	// Drop are manifests of datasets that were removed for good: what no other dataset
	// on the machine needs of them goes from its disk.
	Drop []string `json:"drop,omitempty"`
}

// StageHeld is a set of parts in an agent's report. Of is the dataset's number of parts.
type StageHeld struct {
	Dataset  string  `json:"dataset"`
	Manifest string  `json:"manifest"`
	Of       int     `json:"of,omitempty"`
	Parts    PartSet `json:"parts"`
}

// StageFailure is a source that did not give a part, and why.
type StageFailure struct {
	From StageSource `json:"from"`
	Why  string      `json:"why"`
	// Corrupt: it gave wrong bytes, or had not what it said that it had.
	Corrupt bool `json:"lied,omitempty"`
}

// StageProgress is a copy under way, in bytes.
type StageProgress struct {
	Dataset string         `json:"dataset"`
	Part    int            `json:"part"`
	Got     int64          `json:"got"`
	Of      int64          `json:"of"`
	From    StageSource    `json:"from"`
	Failed  []StageFailure `json:"failed,omitempty"`
	// Full: there is no room for it in the cache.
	Full bool `json:"full,omitempty"`
}

// StageHeartbeat is what an agent says of its machine. Incarnation grows with each start of the
// agent, Seq with each report of a session. Term and Order are those of the newest order
// that it keeps. Pinned are parts that stood in that order and are whole, checked and
// kept. Holds is left out, with All false, while the controllers know its Version.
type StageHeartbeat struct {
	Machine     string          `json:"host"`
	Address     string          `json:"address"`
	Incarnation uint64          `json:"session"`
	Seq         uint64          `json:"seq"`
	Term        uint64          `json:"helm"`
	Order       uint64          `json:"order"`
	Quota       int64           `json:"quota"`
	Used        int64           `json:"used"`
	Version     uint64          `json:"version"`
	All         bool            `json:"all,omitempty"`
	Holds       []StageHeld     `json:"holds,omitempty"`
	Pinned      []StageHeld     `json:"pinned,omitempty"`
	Copies      []StageProgress `json:"copies,omitempty"`
	// Got counts the bytes since the agent began, by where they came from.
	FromStore int64 `json:"from_store"`
	FromPeers int64 `json:"from_peers"`
}

// Check finds a report that nothing can be done with.
func (heartbeat *StageHeartbeat) Check() error {
	switch {
	case heartbeat.Machine == "":
		return &FieldError{"host", "is missing"}
	case heartbeat.Address == "":
		return &FieldError{"address", "is missing"}
	case heartbeat.Incarnation == 0:
		return &FieldError{"session", "is missing"}
	case heartbeat.Quota < 0 || heartbeat.Used < 0 || heartbeat.Quota > math.MaxInt64/4 || heartbeat.Used > math.MaxInt64/4:
		return &FieldError{"quota", "quota and used must be numbers of bytes, 0 or more"}
	}
	for i, h := range heartbeat.Holds {
		if h.Dataset == "" || h.Of < 0 || h.Of > tuning.PartsLimit || h.Parts.Bitmap == nil {
			return &FieldError{fmt.Sprintf("holds[%d]", i), "needs dataset, of and parts"}
		}
	}
	for i, h := range heartbeat.Pinned {
		if h.Dataset == "" || h.Parts.Bitmap == nil {
			return &FieldError{fmt.Sprintf("pinned[%d]", i), "needs dataset and parts"}
		}
	}
	for i, p := range heartbeat.Copies {
		if p.Part < 0 || p.Part >= tuning.PartsLimit || p.Got < 0 || p.Of < 0 {
			return &FieldError{fmt.Sprintf("copies[%d]", i), "has impossible numbers"}
		}
	}
	return nil
}
