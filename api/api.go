// Package api holds the messages that users, workers and the cloud exchange
// with the controllers. The wire's own names stand in the struct tags only.
package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
)

// Shapes of jobs. A gang's tasks run to completion, all at the same time.
const (
	JobArray = "sweep"
	Gang     = "gang"
	Service  = "standing"
)

// Job states as users see them.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// Task states and causes of ends, as workers report them.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "ended"

	CauseDone    = "done"
	CauseStopped = "halted"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseUnknown = "unknown"
)

// Verbs of commands.
const (
	CommandRun   = "run"
	CommandKill  = "kill"
	CommandClear = "clear"
)

var rankLevels = map[string]int{"low": 0, "normal": 1, "high": 2, "prod": 3}

// RankProduction is the highest rank, RankLow the lowest.
const (
	RankLow        = 0
	RankProduction = 3
)

// Submission is a job as its user describes it.
type Submission struct {
	ID         string   `json:"name_id"`
	Class      string   `json:"jobclass"`
	Team       string   `json:"owner"`
	Shape      string   `json:"shape"`
	Rank       string   `json:"rank"`
	Tasks      int      `json:"parts"`
	CPUs       float64  `json:"cores"`
	Cards      float64  `json:"cards"`
	MemoryGB   float64  `json:"ram_gb"`
	Image      string   `json:"bundle"`
	ImageGB    float64  `json:"size_gb"`
	Types      []string `json:"hulls,omitempty"`
	Zone       string   `json:"berth,omitempty"`
	OneZone    bool     `json:"together"`
	Spread     bool     `json:"apart"`
	Spot       bool     `json:"standby"`
	EstimateS  float64  `json:"expect_s"`
	Checkpoint float64  `json:"snapshot_s"`
	SaveS      float64  `json:"stow_s"`
	DeadlineS  float64  `json:"due_s,omitempty"`
	// Awaits are the jobs that must be done before any task of this one starts.
	Awaits []string `json:"awaits,omitempty"`
	// Inputs are the datasets that tasks need; none unless that feature is on.
	Inputs []Input `json:"inputs,omitempty"`
	// Near and Survive say where tasks stand; nil unless that feature is on.
	Near    *Near    `json:"near,omitempty"`
	Survive *Survive `json:"survive,omitempty"`
}

// RankLevel is the rank as a number; higher goes first.
func (submission *Submission) RankLevel() int { return rankLevels[submission.Rank] }

// MaxTasks is the protocol's limit of tasks in a job.
const MaxTasks = 100_000

var jobIDPattern = regexp.MustCompile(`^run-[0-9]{1,32}$`)

// ValidID tells whether a job id has the protocol's form.
func ValidID(id string) bool { return jobIDPattern.MatchString(id) }

// FieldError says which field of a body is wrong.
type FieldError struct{ Field, Want string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Want }

// ParseSubmission decodes and checks a submission. With an error it still
// returns the id where one could be read, since a known id is never refused.
func ParseSubmission(body []byte) (*Submission, string, error) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, "", &FieldError{"body", "must be a JSON object"}
	}
	if raw == nil {
		return nil, "", &FieldError{"body", "must be a JSON object"}
	}
	var s Submission
	var first error
	fail := func(field, want string) {
		if first == nil {
			first = &FieldError{field, want}
		}
	}
	get := func(field string, into any, want string, nullable bool) bool {
		v, ok := raw[field]
		if !ok || bytes.Equal(bytes.TrimSpace(v), []byte("null")) {
			if !nullable {
				fail(field, "is missing")
			}
			return false
		}
		if json.Unmarshal(v, into) != nil {
			fail(field, want)
			return false
		}
		return true
	}
	str := func(field string, into *string) {
		if get(field, into, "must be a string", false) && *into == "" {
			fail(field, "must not be empty")
		}
	}
	num := func(field string, into *float64, nullable, above bool) {
		if !get(field, into, "must be a number", nullable) {
			return
		}
		if math.IsInf(*into, 0) || math.IsNaN(*into) || *into < 0 || *into > 1e9 {
			fail(field, "must be between 0 and 1e9")
		} else if above && *into == 0 {
			fail(field, "must be above 0")
		}
	}
	flag := func(field string, into *bool) { get(field, into, "must be true or false", false) }

	str("name_id", &s.ID)
	if s.ID != "" && !ValidID(s.ID) {
		fail("name_id", "must look like run-000412")
	}
	str("jobclass", &s.Class)
	str("owner", &s.Team)
	str("shape", &s.Shape)
	if s.Shape != JobArray && s.Shape != Gang && s.Shape != Service {
		fail("shape", fmt.Sprintf("must be %q, %q or %q", JobArray, Gang, Service))
	}
	str("rank", &s.Rank)
	if _, ok := rankLevels[s.Rank]; !ok {
		fail("rank", "must be prod, high, normal or low")
	}
	if get("parts", &s.Tasks, "must be an integer", false) && (s.Tasks < 1 || s.Tasks > MaxTasks) {
		fail("parts", "must be between 1 and 100000")
	}
	num("cores", &s.CPUs, false, true)
	num("cards", &s.Cards, false, false)
	num("ram_gb", &s.MemoryGB, false, false)
	str("bundle", &s.Image)
	num("size_gb", &s.ImageGB, false, false)
	if get("hulls", &s.Types, "must be a list of strings or null", true) && len(s.Types) == 0 {
		fail("hulls", "must not be an empty list")
	}
	get("berth", &s.Zone, "must be a string or null", true)
	flag("together", &s.OneZone)
	flag("apart", &s.Spread)
	flag("standby", &s.Spot)
	num("expect_s", &s.EstimateS, false, false)
	num("snapshot_s", &s.Checkpoint, false, false)
	num("stow_s", &s.SaveS, false, false)
	num("due_s", &s.DeadlineS, true, false)
	if v, ok := raw["awaits"]; ok {
		parseAwaits(v, &s, fail)
	}
	id := s.ID
	if !ValidID(id) {
		id = ""
	}
	if first != nil {
		return nil, id, first
	}
	return &s, id, nil
}

// parseAwaits takes in the jobs that a submission waits for.
func parseAwaits(raw json.RawMessage, s *Submission, fail func(field, want string)) {
	const want = "must be a list of one or more job ids like run-000412, or be left out"
	if json.Unmarshal(raw, &s.Awaits) != nil || len(s.Awaits) == 0 {
		fail("awaits", want)
		return
	}
	seen := map[string]bool{}
	for _, id := range s.Awaits {
		switch {
		case !ValidID(id):
			fail("awaits", fmt.Sprintf("%.60q is no job id; "+want, id))
		case seen[id]:
			fail("awaits", id+" stands twice")
		}
		seen[id] = true
	}
}

// JobStatus answers a user.
type JobStatus struct {
	ID      string `json:"name_id"`
	State   string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `json:"part"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Cause   string `json:"cause"`
	Saved   bool   `json:"stored"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine           string       `json:"host"`
	Address           string       `json:"address"`
	Type              string       `json:"hull"`
	Zone              string       `json:"berth"`
	Spot              bool         `json:"standby"`
	Incarnation       uint64       `json:"watch"`
	Seq               uint64       `json:"tally"`
	Term              uint64       `json:"helm"`
	PreemptionNoticeS *float64     `json:"recall_s"`
	Tasks             []TaskReport `json:"parts"`
}

// NewerThan tells whether a report is newer than one with that session and tally.
func (heartbeat *Heartbeat) NewerThan(incarnation, seq uint64) bool {
	return heartbeat.Incarnation > incarnation || heartbeat.Incarnation == incarnation && heartbeat.Seq > seq
}

// Check finds a report that nothing can be done with.
func (heartbeat *Heartbeat) Check() error {
	switch {
	case heartbeat.Machine == "":
		return &FieldError{"host", "is missing"}
	case heartbeat.Incarnation == 0:
		return &FieldError{"watch", "is missing"}
	}
	return nil
}

// Command is one order to a worker.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"part"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"`
}

// HeartbeatResponse answers a report, or goes directly to a worker.
type HeartbeatResponse struct {
	Term        uint64    `json:"helm"`
	Incarnation uint64    `json:"watch,omitempty"`
	Commands    []Command `json:"orders"`
}

// Redirect names the node to report to.
type Redirect struct {
	Controller string `json:"harbor,omitempty"`
}

// MachineType is one kind of machine in the cloud's catalog.
type MachineType struct {
	Name      string   `json:"sku"`
	CPUs      float64  `json:"cores"`
	Cards     float64  `json:"cards"`
	MemoryGB  float64  `json:"ram_gb"`
	CacheGB   float64  `json:"cache_gb"`
	PullGBs   float64  `json:"pull_gb_per_s"`
	Price     float64  `json:"hourly"`
	SpotPrice float64  `json:"low_price"`
	BootS     float64  `json:"ready_s"`
	Zones     []string `json:"berths"`
}

// Fits tells whether one task of a job fits an empty machine of this type.
func (machineType *MachineType) Fits(s *Submission) bool {
	const slack = 1e-9
	if machineType.CPUs+slack < s.CPUs || machineType.Cards+slack < s.Cards || machineType.MemoryGB+slack < s.MemoryGB {
		return false
	}
	if s.Image != "" && machineType.CacheGB > 0 && s.ImageGB > machineType.CacheGB {
		return false
	}
	if len(s.Types) > 0 && !contains(s.Types, machineType.Name) {
		return false
	}
	return s.Zone == "" || contains(machineType.Zones, s.Zone)
}

func contains(list []string, v string) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

// InstanceRequest asks the cloud for machines; IdempotencyKey is used once.
type InstanceRequest struct {
	IdempotencyKey string `json:"charter"`
	Type           string `json:"hull"`
	Zone           string `json:"berth"`
	Spot           bool   `json:"standby"`
	Count          int    `json:"how_many"`
}

// Instance is a machine as the cloud lists it.
type Instance struct {
	Name    string  `json:"name_id"`
	Address string  `json:"address"`
	Type    string  `json:"hull"`
	Zone    string  `json:"berth"`
	Spot    bool    `json:"standby"`
	State   string  `json:"status"`
	AgeS    float64 `json:"held_s"`
}
