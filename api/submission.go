package api

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
)

// Shapes of jobs. The tasks of an array and of a gang run to completion, those of a gang all at the same
// time; the tasks of a service run until the job is cancelled.
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

// Levels of the lowest and the highest rank.
const (
	RankLow        = 0
	RankProduction = 3
)

// rankLevels holds the level of each rank by its name in the protocol.
var rankLevels = map[string]int{"low": RankLow, "normal": 1, "high": 2, "prod": RankProduction}

// MaxTasks is the protocol's limit of tasks in a job.
const MaxTasks = 100_000

// amountLimit is the largest amount that a submission may ask for.
const amountLimit = 1e9

// Submission is a job as its user describes it. Amounts are per task, in processors, accelerators and
// gigabytes; times are in seconds.
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
	// Image is what a machine must have before a task can start, ImageGB its size.
	Image   string  `json:"bundle"`
	ImageGB float64 `json:"size_gb"`
	// Types are the allowed machine types; empty means any.
	Types []string `json:"hulls,omitempty"`
	// Zone is the only allowed zone; empty means any.
	Zone string `json:"berth,omitempty"`
	// OneZone asks for all tasks in the same zone, Spread for at most half of them in one.
	OneZone bool `json:"together"`
	Spread  bool `json:"apart"`
	// Spot allows spot machines.
	Spot bool `json:"standby"`
	// EstimateS is the owner's estimate of a task's run time, often wrong; 0 for services.
	EstimateS float64 `json:"expect_s"`
	// Checkpoint is the interval of progress after which a task saves by itself; 0 means that it never
	// saves. SaveS is the time it takes to save when it is stopped.
	Checkpoint float64 `json:"snapshot_s"`
	SaveS      float64 `json:"stow_s"`
	// DeadlineS is when the job should be done, from its submission; 0 means no deadline.
	DeadlineS float64 `json:"due_s,omitempty"`
	// Awaits are the jobs that must be done before any task of this one starts.
	Awaits []string `json:"awaits,omitempty"`
	// Inputs are the datasets that tasks need; none unless that feature is on.
	Inputs []Input `json:"inputs,omitempty"`
	// Near and Survive constrain the placement of tasks; nil unless that feature is on.
	Near    *Near    `json:"near,omitempty"`
	Survive *Survive `json:"survive,omitempty"`
}

// RankLevel returns the rank as a number; a higher one goes first.
func (submission *Submission) RankLevel() int { return rankLevels[submission.Rank] }

// JobStatus is the answer to a user who asks about a job. Done and Running count tasks.
type JobStatus struct {
	ID      string `json:"name_id"`
	State   string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// jobIDPattern is the form of job ids.
var jobIDPattern = regexp.MustCompile(`^run-[0-9]{1,32}$`)

// ValidID tells whether a job id has the protocol's form.
func ValidID(id string) bool { return jobIDPattern.MatchString(id) }

// ParseSubmission decodes and checks a submission without its inputs and placement constraints, which
// ParseInputs and ParseSite read. The error is a *FieldError for the first wrong field. The id is
// returned with an error too, where a valid one could be read, since a job that is known already is
// never refused.
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

// submissionReader reads the fields of a submission and keeps the first error.
type submissionReader struct {
	fields     map[string]json.RawMessage
	firstError *FieldError
}

// read reads all fields. The result is of use only without an error, but for its id.
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

// readIdentity reads what the job is and whose.
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

// readAmounts reads how many tasks there are and what each needs of a machine.
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

// readPlacement reads on which machines tasks may run.
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
	reader.readAmount("snapshot_s", &submission.Checkpoint)
	reader.readAmount("stow_s", &submission.SaveS)
	if reader.readOptional("due_s", &submission.DeadlineS, wantNumber) {
		reader.checkRange("due_s", submission.DeadlineS)
	}
}

// wantNumber is what an amount must be.
const wantNumber = "must be a number"

// fail records that a field is wrong, unless another was before.
func (reader *submissionReader) fail(field, want string) {
	if reader.firstError == nil {
		reader.firstError = &FieldError{field, want}
	}
}

// readOptional decodes a field that may be missing or null, and tells whether it had a value of the right type.
func (reader *submissionReader) readOptional(field string, into any, want string) bool {
	raw := reader.fields[field]
	if isAbsent(raw) {
		return false
	}
	if json.Unmarshal(raw, into) != nil {
		reader.fail(field, want)
		return false
	}
	return true
}

// readRequired decodes a field that must be there, and tells whether it had a value of the right type.
func (reader *submissionReader) readRequired(field string, into any, want string) bool {
	if isAbsent(reader.fields[field]) {
		reader.fail(field, "is missing")
		return false
	}
	return reader.readOptional(field, into, want)
}

// readString reads a string that must not be empty.
func (reader *submissionReader) readString(field string, into *string) {
	if reader.readRequired(field, into, "must be a string") && *into == "" {
		reader.fail(field, "must not be empty")
	}
}

// readBool reads a truth value.
func (reader *submissionReader) readBool(field string, into *bool) {
	reader.readRequired(field, into, "must be true or false")
}

// readAmount reads a number and tells whether it is valid.
func (reader *submissionReader) readAmount(field string, into *float64) bool {
	return reader.readRequired(field, into, wantNumber) && reader.checkRange(field, *into)
}

// checkRange tells whether a number is in the range of amounts.
func (reader *submissionReader) checkRange(field string, value float64) bool {
	if math.IsNaN(value) || value < 0 || value > amountLimit {
		reader.fail(field, "must be between 0 and 1e9")
		return false
	}
	return true
}

// readAwaits reads the jobs that a submission waits for.
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
