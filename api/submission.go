package api

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
)

// Values of Submission.Shape.
const (
	// JobArray is a job whose tasks run to completion and need not run at the same time.
	JobArray = "sweep"
	// Gang is a job whose tasks run to completion, all at the same time.
	Gang = "gang"
	// Service is a job whose tasks run until the job is cancelled.
	Service = "standing"
)

// Values of JobStatus.State.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// Numeric levels of the lowest and the highest rank.
const (
	// RankLow is the level of the rank "low".
	RankLow = 0
	// RankProduction is the level of the rank "prod".
	RankProduction = 3
)

// rankLevels maps the protocol's rank names to their levels.
var rankLevels = map[string]int{"low": RankLow, "normal": 1, "high": 2, "prod": RankProduction}

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 100_000

// amountLimit is the largest amount or duration in a submission.
const amountLimit = 1e9

// Submission is a job as submitted by a user. Amounts are per task, in processors, accelerators and gigabytes;
// times are in seconds.
type Submission struct {
	ID    string `json:"name_id"`
	Class string `json:"jobclass"`
	Team  string `json:"owner"`
	// Shape is JobArray, Gang or Service.
	Shape    string  `json:"shape"`
	Rank     string  `json:"rank"`
	Tasks    int     `json:"parts"`
	CPUs     float64 `json:"cores"`
	Cards    float64 `json:"cards"`
	MemoryGB float64 `json:"ram_gb"`
	// Image is the image that a machine must have before a task can start, ImageGB its size.
	Image   string  `json:"bundle"`
	ImageGB float64 `json:"size_gb"`
	// Types lists the allowed machine types; empty means any.
	Types []string `json:"hulls,omitempty"`
	// Zone is the only allowed zone; empty means any.
	Zone string `json:"berth,omitempty"`
	// OneZone requires all tasks in the same zone. Spread allows at most half of them in one zone.
	OneZone bool `json:"together"`
	Spread  bool `json:"apart"`
	// Spot allows placement on spot machines.
	Spot bool `json:"standby"`
	// EstimateS is the owner's estimate of a task's run time, which is often wrong; 0 for services.
	EstimateS float64 `json:"expect_s"`
	// CheckpointS is the run time between two checkpoints of a task; 0 means that it never writes one. SaveS is the
	// time that a task needs to save its progress when it is stopped.
	CheckpointS float64 `json:"snapshot_s"`
	SaveS       float64 `json:"stow_s"`
	// DeadlineS is the time from submission by which the job should be done; 0 means no deadline.
	DeadlineS float64 `json:"due_s,omitempty"`
	// Awaits lists the jobs that must be done before any task of this one starts.
	Awaits []string `json:"awaits,omitempty"`
	// Inputs lists the datasets that the tasks need; empty unless the data feature is on.
	Inputs []Input `json:"inputs,omitempty"`
	// Near and Survive constrain the placement of tasks; nil unless the topology feature is on.
	Near    *Near    `json:"near,omitempty"`
	Survive *Survive `json:"survive,omitempty"`
}

// RankLevel returns the numeric level of the rank. Jobs of a higher level have priority.
func (submission *Submission) RankLevel() int { return rankLevels[submission.Rank] }

// JobStatus is the response to a submission, a status request or a cancellation. Done and Running are numbers of tasks.
type JobStatus struct {
	ID      string `json:"name_id"`
	State   string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// jobIDPattern is the pattern of valid job ids.
var jobIDPattern = regexp.MustCompile(`^run-[0-9]{1,32}$`)

// ValidID reports whether a job id has the form that the protocol requires.
func ValidID(id string) bool { return jobIDPattern.MatchString(id) }

// ParseSubmission decodes and validates a submission except for its inputs and placement constraints, which
// ParseInputs and ParsePlacementConstraints read. The error is a *FieldError for the first invalid field. If the body
// has a valid id, it is returned even with an error, since the resubmission of a known job is never rejected.
func ParseSubmission(body []byte) (submission *Submission, id string, err error) {
	var fields map[string]json.RawMessage
	if err := decodeObject(body, &fields); err != nil {
		return nil, "", err
	}
	if fields == nil {
		return nil, "", errNotObject()
	}
	reader := submissionReader{fields: fields}
	submission = reader.read()
	if ValidID(submission.ID) {
		id = submission.ID
	}
	if reader.firstError != nil {
		return nil, id, reader.firstError
	}
	return submission, id, nil
}

// submissionReader reads the fields of a submission and records the first error.
type submissionReader struct {
	fields     map[string]json.RawMessage
	firstError *FieldError
}

// read reads all fields. If it records an error, only the id of the result is meaningful.
func (reader *submissionReader) read() *Submission {
	submission := &Submission{}
	reader.readIdentity(submission)
	reader.readAmounts(submission)
	reader.readPlacement(submission)
	reader.readTimes(submission)
	if raw, ok := reader.fields["awaits"]; ok {
		submission.Awaits = reader.readAwaits(raw)
	}
	return submission
}

// readIdentity reads the job's id, class, team, shape and rank.
func (reader *submissionReader) readIdentity(submission *Submission) {
	reader.readString("name_id", &submission.ID)
	if submission.ID != "" && !ValidID(submission.ID) {
		reader.fail("name_id", "must look like run-000412")
	}
	reader.readString("jobclass", &submission.Class)
	reader.readString("owner", &submission.Team)
	reader.readString("shape", &submission.Shape)
	switch submission.Shape {
	case JobArray, Gang, Service:
	default:
		reader.fail("shape", fmt.Sprintf("must be %q, %q or %q", JobArray, Gang, Service))
	}
	reader.readString("rank", &submission.Rank)
	if _, ok := rankLevels[submission.Rank]; !ok {
		reader.fail("rank", "must be prod, high, normal or low")
	}
}

// readAmounts reads the number of tasks and the resources that each needs.
func (reader *submissionReader) readAmounts(submission *Submission) {
	given := reader.readRequired("parts", &submission.Tasks, "must be an integer")
	if given && (submission.Tasks < 1 || submission.Tasks > MaxTasks) {
		reader.fail("parts", fmt.Sprintf("must be between 1 and %d", MaxTasks))
	}
	if reader.readAmount("cores", &submission.CPUs) && submission.CPUs == 0 {
		reader.fail("cores", "must be above 0")
	}
	reader.readAmount("cards", &submission.Cards)
	reader.readAmount("ram_gb", &submission.MemoryGB)
	reader.readString("bundle", &submission.Image)
	reader.readAmount("size_gb", &submission.ImageGB)
}

// readPlacement reads which machines the tasks may run on.
func (reader *submissionReader) readPlacement(submission *Submission) {
	given := reader.readOptional("hulls", &submission.Types, "must be a list of strings or null")
	if given && len(submission.Types) == 0 {
		reader.fail("hulls", "must not be an empty list")
	}
	reader.readOptional("berth", &submission.Zone, "must be a string or null")
	reader.readBool("together", &submission.OneZone)
	reader.readBool("apart", &submission.Spread)
	reader.readBool("standby", &submission.Spot)
}

// readTimes reads the durations.
func (reader *submissionReader) readTimes(submission *Submission) {
	reader.readAmount("expect_s", &submission.EstimateS)
	reader.readAmount("snapshot_s", &submission.CheckpointS)
	reader.readAmount("stow_s", &submission.SaveS)
	if reader.readOptional("due_s", &submission.DeadlineS, wantNumber) {
		reader.checkRange("due_s", submission.DeadlineS)
	}
}

// wantNumber is the error text for a value that is not a number.
const wantNumber = "must be a number"

// fail records an invalid field unless an earlier error is recorded.
func (reader *submissionReader) fail(field, want string) {
	if reader.firstError == nil {
		reader.firstError = &FieldError{field, want}
	}
}

// readOptional decodes a field that may be missing or null. It reports whether the field has a value of the right type.
func (reader *submissionReader) readOptional(field string, destination any, want string) bool {
	raw := reader.fields[field]
	if isAbsent(raw) {
		return false
	}
	if json.Unmarshal(raw, destination) != nil {
		reader.fail(field, want)
		return false
	}
	return true
}

// readRequired decodes a required field. It reports whether the field has a value of the right type.
func (reader *submissionReader) readRequired(field string, destination any, want string) bool {
	if isAbsent(reader.fields[field]) {
		reader.fail(field, "is missing")
		return false
	}
	return reader.readOptional(field, destination, want)
}

// readString reads a required string that must not be empty.
func (reader *submissionReader) readString(field string, destination *string) {
	if reader.readRequired(field, destination, "must be a string") && *destination == "" {
		reader.fail(field, "must not be empty")
	}
}

// readBool reads a required boolean.
func (reader *submissionReader) readBool(field string, destination *bool) {
	reader.readRequired(field, destination, "must be true or false")
}

// readAmount reads a required number and reports whether it is valid.
func (reader *submissionReader) readAmount(field string, destination *float64) bool {
	return reader.readRequired(field, destination, wantNumber) && reader.checkRange(field, *destination)
}

// checkRange reports whether a number is in the valid range of amounts and records an error if not.
func (reader *submissionReader) checkRange(field string, value float64) bool {
	if math.IsNaN(value) || value < 0 || value > amountLimit {
		reader.fail(field, "must be between 0 and 1e9")
		return false
	}
	return true
}

// readAwaits reads the ids of the jobs that a submission waits for.
func (reader *submissionReader) readAwaits(raw json.RawMessage) []string {
	const want = "must be a list of one or more job ids like run-000412, or be left out"
	var awaits []string
	if json.Unmarshal(raw, &awaits) != nil || len(awaits) == 0 {
		reader.fail("awaits", want)
		return nil
	}
	seen := map[string]bool{}
	for _, id := range awaits {
		switch {
		case !ValidID(id):
			reader.fail("awaits", fmt.Sprintf("%.60q is no job id; "+want, id))
		case seen[id]:
			reader.fail("awaits", id+" stands twice")
		}
		seen[id] = true
	}
	return awaits
}
