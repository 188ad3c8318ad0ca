package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Levels are what a topology's domains may be, outermost first. They must not be changed.
var Levels = []string{"region", "zone", "switch", "rack", "machine"}

// shareRounding keeps a share that is written as a decimal from losing a task to rounding.
const shareRounding = 1e-9

// Near asks for affinity: all tasks of a job in one domain of a level.
type Near struct {
	Level string `json:"level"`
	// Required tells that no task may be placed otherwise; else it is a preference.
	Must bool `json:"must"`
}

// Survive asks for anti-affinity: at most MaxTasks tasks of a job in one domain of a level, so that few are
// lost with it.
type Survive struct {
	Level  string `json:"level"`
	AtMost int    `json:"at_most"`
	// Required tells that no task may be placed otherwise; else it is a preference.
	Must bool `json:"must"`
}

// placementConstraint is near or survive as a user writes it.
type placementConstraint struct {
	Level string `json:"level"`
	// Required is true unless it is given.
	Required *bool `json:"must"`
	// MaxTasks is a number of tasks, Share a share of the job's tasks; only survive has them, and only one.
	MaxTasks *int     `json:"at_most"`
	Share  *float64 `json:"share"`
}

// isRequired tells whether the constraint must hold.
func (constraint *placementConstraint) isRequired() bool {
	return constraint.Required == nil || *constraint.Required
}

// ParseSite reads the placement constraints of a submission of so many tasks. Each is nil if the body,
// which must be a JSON object, does not have it. The error is a *FieldError.
func ParseSite(body []byte, tasks int) (*Near, *Survive, error) {
	var fields struct {
		Near    json.RawMessage `json:"near"`
		Survive json.RawMessage `json:"survive"`
	}
	if err := decodeObject(body, &fields); err != nil {
		return nil, nil, err
	}
	near, err := parseAffinity(fields.Near)
	if err != nil {
		return nil, nil, err
	}
	survive, err := parseAntiAffinity(fields.Survive, tasks)
	if err != nil {
		return nil, nil, err
	}
	return near, survive, nil
}

// parseAffinity reads an affinity; nil: there is none.
func parseAffinity(raw json.RawMessage) (*Near, error) {
	constraint, err := parsePlacementConstraint("near", raw, `{"level":"rack","must":true}`)
	if constraint == nil || err != nil {
		return nil, err
	}
	if constraint.MaxTasks != nil || constraint.Share != nil {
		return nil, &FieldError{"near", `has only "level" and "must"; at_most and share belong to "survive"`}
	}
	return &Near{Level: constraint.Level, Must: constraint.isRequired()}, nil
}

// parseAntiAffinity reads an anti-affinity of a job of so many tasks; nil: there is none.
func parseAntiAffinity(raw json.RawMessage, tasks int) (*Survive, error) {
	const example = `{"level":"rack","at_most":2} or {"level":"rack","share":0.5}`
	constraint, err := parsePlacementConstraint("survive", raw, example)
	if constraint == nil || err != nil {
		return nil, err
	}
	survive := &Survive{Level: constraint.Level, Must: constraint.isRequired()}
	atMost, share := constraint.MaxTasks, constraint.Share
	switch {
	case (atMost == nil) == (share == nil):
		return nil, &FieldError{"survive", "needs either at_most (tasks) or share (of the tasks, above 0 and at most 1)"}
	case atMost != nil && *atMost < 1:
		return nil, &FieldError{"survive.at_most", "must be 1 or more"}
	case atMost != nil:
		survive.AtMost = *atMost
	case !(*share > 0 && *share <= 1):
		return nil, &FieldError{"survive.share", "must be above 0 and at most 1"}
	default:
		// With fewer than one, no task could run.
		survive.AtMost = max(1, int(*share*float64(tasks)+shareRounding))
	}
	return survive, nil
}

// parsePlacementConstraint reads the constraint of a field; nil: there is none. Unknown names in it are
// refused, since a misspelt "must" would turn a preference into a condition.
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
