package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Levels lists the levels of topology domains, outermost first. Callers must not modify it.
var Levels = []string{"region", "zone", "switch", "rack", "machine"}

// shareRounding is added before a share is converted to a number of tasks, so that the binary representation
// of a decimal share does not lose a task.
const shareRounding = 1e-9

// Near is an affinity constraint: all tasks of a job are placed in one domain of the given level.
type Near struct {
	Level string `json:"level"`
	// Required is true if the constraint is mandatory; otherwise it is a preference.
	Required bool `json:"must"`
}

// Survive is an anti-affinity constraint: at most MaxTasks tasks of a job are placed in one domain of the given
// level, which limits the tasks that the failure of a domain affects.
type Survive struct {
	Level    string `json:"level"`
	MaxTasks int    `json:"at_most"`
	// Required is true if the constraint is mandatory; otherwise it is a preference.
	Required bool `json:"must"`
}

// placementConstraint is the "near" or "survive" field of a submission.
type placementConstraint struct {
	Level string `json:"level"`
	// Required defaults to true.
	Required *bool `json:"must"`
	// MaxTasks is a number of tasks, Share a fraction of the job's tasks. "survive" has exactly one of them,
	// "near" has neither.
	MaxTasks *int     `json:"at_most"`
	Share    *float64 `json:"share"`
}

// isRequired reports whether the constraint is mandatory rather than a preference.
func (constraint *placementConstraint) isRequired() bool {
	return constraint.Required == nil || *constraint.Required
}

// ParsePlacementConstraints reads the placement constraints from the body of a submission, which must be a JSON object;
// tasks is the job's number of tasks. A constraint is nil if the body does not contain it. The error is a *FieldError.
func ParsePlacementConstraints(body []byte, tasks int) (*Near, *Survive, error) {
	var fields struct {
		Near    json.RawMessage `json:"near"`
		Survive json.RawMessage `json:"survive"`
	}
	if err := decodeObject(body, &fields); err != nil {
		return nil, nil, err
	}
	near, err := parseNear(fields.Near)
	if err != nil {
		return nil, nil, err
	}
	survive, err := parseSurvive(fields.Survive, tasks)
	if err != nil {
		return nil, nil, err
	}
	return near, survive, nil
}

// parseNear reads the "near" field and returns nil if it is absent.
func parseNear(raw json.RawMessage) (*Near, error) {
	constraint, err := parsePlacementConstraint("near", raw, `{"level":"rack","must":true}`)
	if constraint == nil || err != nil {
		return nil, err
	}
	if constraint.MaxTasks != nil || constraint.Share != nil {
		return nil, &FieldError{"near", `has only "level" and "must"; at_most and share belong to "survive"`}
	}
	return &Near{Level: constraint.Level, Required: constraint.isRequired()}, nil
}

// parseSurvive reads the "survive" field of a job with the given number of tasks and returns nil if it is
// absent.
func parseSurvive(raw json.RawMessage, tasks int) (*Survive, error) {
	const example = `{"level":"rack","at_most":2} or {"level":"rack","share":0.5}`
	constraint, err := parsePlacementConstraint("survive", raw, example)
	if constraint == nil || err != nil {
		return nil, err
	}
	survive := &Survive{Level: constraint.Level, Required: constraint.isRequired()}
	atMost, share := constraint.MaxTasks, constraint.Share
	switch {
	case (atMost == nil) == (share == nil):
		return nil, &FieldError{"survive", "needs either at_most (tasks) or share (of the tasks, above 0 and at most 1)"}
	case atMost != nil && *atMost < 1:
		return nil, &FieldError{"survive.at_most", "must be 1 or more"}
	case atMost != nil:
		survive.MaxTasks = *atMost
	case !(*share > 0 && *share <= 1):
		return nil, &FieldError{"survive.share", "must be above 0 and at most 1"}
	default:
		// A limit of 0 would prevent every task from running.
		survive.MaxTasks = max(1, int(*share*float64(tasks)+shareRounding))
	}
	return survive, nil
}

// parsePlacementConstraint reads the constraint in a field and returns nil if the field is absent. Unknown names
// are rejected, since a misspelt "must" would turn a preference into a mandatory constraint.
func parsePlacementConstraint(field string, raw json.RawMessage, example string) (*placementConstraint, error) {
	if isAbsent(raw) {
		return nil, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var constraint placementConstraint
	if decoder.Decode(&constraint) != nil {
		return nil, &FieldError{field, "must be like " + example}
	}
	if !slices.Contains(Levels, constraint.Level) {
		levels := strings.Join(Levels, ", ")
		return nil, &FieldError{field + ".level", fmt.Sprintf("must be one of %s, not %.20q", levels, constraint.Level)}
	}
	return &constraint, nil
}
