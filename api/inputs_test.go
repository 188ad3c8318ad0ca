package api

import (
	"errors"
	"testing"
)

func TestParseInputsNamesInvalidField(t *testing.T) {
	for body, want := range map[string]string{
		`{}`: "", `{"inputs":null}`: "", `{"inputs":[]}`: "",
		`{"inputs":[{"dataset":"a","use":"own"},{"dataset":"b","use":"all"}]}`: "",
		`{"inputs":"a"}`:               "inputs",
		`{"inputs":[{"use":"all"}]}`:   "inputs[0].dataset",
		`{"inputs":[{"dataset":"a"}]}`: "inputs[0].use",
		`{"inputs":[{"dataset":"a","use":"all"},{"dataset":"a","use":"own"}]}`: "inputs[1].dataset",
	} {
		_, err := ParseInputs([]byte(body), 4)
		var fieldError *FieldError
		if got := errors.As(err, &fieldError); got != (want != "") || got && fieldError.Field != want {
			t.Errorf("%s: %v, want %q", body, err, want)
		}
	}
}
