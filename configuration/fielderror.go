package configuration

import (
	"fmt"
	"strings"
)

// FieldError is one error in a document.
type FieldError struct {
	// Line counts from 1. It is 0 if the error belongs to no line or the line is not known.
	Line int `json:"line,omitempty"`
	// Field is the full name of the setting with dots and indices, such as "teams[0].cpus".
	Field string `json:"field"`
	// Remedy describes the error and what the setting must be.
	Remedy string `json:"remedy"`
}

// String returns the error with its line, if that is known, and its field.
func (e FieldError) String() string {
	where := e.Field
	if e.Line > 0 {
		where = fmt.Sprintf("line %d: %s", e.Line, e.Field)
	}
	return where + ": " + e.Remedy
}

// FieldErrors is the error that Parse returns: the errors in a document, at least one.
type FieldErrors []FieldError

// Error returns the text of all errors, one per line.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldError := range e {
		lines[i] = fieldError.String()
	}
	return strings.Join(lines, "\n")
}
