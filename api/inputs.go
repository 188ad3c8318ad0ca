package api

import (
	"encoding/json"
	"fmt"

	"switchferry/tuning"
)

// Values of Input.Use.
const (
	// UseAllParts means that every task needs the whole dataset.
	UseAllParts = "all"
	// UseOwnPart means that task k needs only part k.
	UseOwnPart = "own"
)

// Input is a dataset that must be on a task's machine before the task starts.
type Input struct {
	Dataset string `json:"dataset"`
	// Use is UseAllParts or UseOwnPart.
	Use string `json:"use"`
}

// ParseInputs reads the inputs from the body of a submission, which must be a JSON object. It returns nil if the
// field is absent. The error is a *FieldError. The number of tasks is ignored: only the record of a dataset shows
// whether the dataset has a part for each task.
func ParseInputs(body []byte, _ int) ([]Input, error) {
	var fields struct {
		Inputs json.RawMessage `json:"inputs"`
	}
	if err := decodeObject(body, &fields); err != nil {
		return nil, err
	}
	if isAbsent(fields.Inputs) {
		return nil, nil
	}
	var inputs []Input
	if json.Unmarshal(fields.Inputs, &inputs) != nil {
		return nil, &FieldError{"inputs", `must be a list like [{"dataset":"inventory-7","use":"own"}]`}
	}
	if len(inputs) > tuning.MaxInputs {
		return nil, &FieldError{"inputs", fmt.Sprintf("at most %d are possible", tuning.MaxInputs)}
	}
	seen := map[string]bool{}
	for index, input := range inputs {
		field := fmt.Sprintf("inputs[%d]", index)
		switch {
		case input.Dataset == "":
			return nil, &FieldError{field + ".dataset", "is missing"}
		case input.Use != UseAllParts && input.Use != UseOwnPart:
			return nil, &FieldError{field + ".use", `must be "all" (every task needs the whole dataset) or "own" (task k needs part k)`}
		case seen[input.Dataset]:
			return nil, &FieldError{field + ".dataset", "stands twice"}
		}
		seen[input.Dataset] = true
	}
	return inputs, nil
}
