package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Levels are what a topology's domains may be, outermost first.
var Levels = []string{"region", "zone", "switch", "rack", "machine"}

// shareSlack keeps a share that is written as a decimal from losing a task to rounding.
const shareSlack = 1e-9

// Near asks that a job's tasks stand close together: in one domain of a level.
type Near struct {
	Level string `json:"level"`
	Must  bool   `json:"must"`
}

// Survive asks that few of a job's tasks fall together: at most AtMost in one domain of a
// level, which may have been given as a share of its tasks.
type Survive struct {
	Level  string `json:"level"`
	AtMost int    `json:"at_most"`
	Must   bool   `json:"must"`
}

// placementConstraint is near or survive as a user writes it; must is true unless it says otherwise.
type placementConstraint struct {
	Level  string   `json:"level"`
	Must   *bool    `json:"must"`
	AtMost *int     `json:"at_most"`
	Share  *float64 `json:"share"`
}

// ParseSite reads what a submission of so many tasks, whose body is a JSON object, asks of
// where they stand; a body without the fields asks nothing.
func ParseSite(body []byte, tasks int) (*Near, *Survive, error) {
	var raw struct {
		Near    json.RawMessage `json:"near"`
		Survive json.RawMessage `json:"survive"`
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, nil, &FieldError{"body", "must be a JSON object"}
	}
	n, err := parsePlacementConstraint("near", raw.Near, `{"level":"rack","must":true}`)
	if err != nil {
		return nil, nil, err
	}
	var near *Near
	if n != nil {
		if n.AtMost != nil || n.Share != nil {
			return nil, nil, &FieldError{"near", `has only "level" and "must"; at_most and share belong to "survive"`}
		}
		near = &Near{n.Level, n.Must == nil || *n.Must}
	}
	x, err := parsePlacementConstraint("survive", raw.Survive, `{"level":"rack","at_most":2} or {"level":"rack","share":0.5}`)
	if x == nil || err != nil {
		return near, nil, err
	}
	v := &Survive{Level: x.Level, Must: x.Must == nil || *x.Must}
	switch {
	case (x.AtMost == nil) == (x.Share == nil):
		return nil, nil, &FieldError{"survive", "needs either at_most (tasks) or share (of the tasks, above 0 and at most 1)"}
	case x.AtMost != nil && *x.AtMost < 1:
		return nil, nil, &FieldError{"survive.at_most", "must be 1 or more"}
	case x.AtMost != nil:
		v.AtMost = *x.AtMost
	case !(*x.Share > 0 && *x.Share <= 1) || math.IsNaN(*x.Share):
		return nil, nil, &FieldError{"survive.share", "must be above 0 and at most 1"}
	default:
		// No fewer than one can run.
		v.AtMost = max(1, int(*x.Share*float64(tasks)+shareSlack))
	}
	return near, v, nil
}

func parsePlacementConstraint(field string, raw json.RawMessage, example string) (*placementConstraint, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	// A misspelt "must" would bind a job that only wished.
	d.DisallowUnknownFields()
	var w placementConstraint
	if d.Decode(&w) != nil {
		return nil, &FieldError{field, "must be like " + example}
	}
	if !slices.Contains(Levels, w.Level) {
		return nil, &FieldError{field + ".level", fmt.Sprintf("must be one of %s, not %.20q", strings.Join(Levels, ", "), w.Level)}
	}
	return &w, nil
}
