// Package api defines the messages that users, workers, data agents and the cloud exchange with the
// controllers, and validates those that come from outside. It does no I/O.
//
// Protocol names occur only in the struct tags and in the constant values of this package;
// words_test.go checks that no identifier contains one.
package api

import (
	"bytes"
	"encoding/json"
)

// FieldError reports an invalid field of a request body.
type FieldError struct {
	// Field is the path of the field in the body, such as "inputs[2].use".
	Field string
	// Want describes the valid values.
	Want string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Want }

// errNotObject returns the error for a body that is not a JSON object.
func errNotObject() *FieldError { return &FieldError{"body", "must be a JSON object"} }

// decodeObject decodes a body that must be a JSON object. The error is a *FieldError.
func decodeObject(body []byte, destination any) error {
	if json.Unmarshal(body, destination) != nil {
		return errNotObject()
	}
	return nil
}

// isAbsent reports whether a field is missing or null.
func isAbsent(raw json.RawMessage) bool {
	return len(raw) == 0 || bytes.Equal(bytes.TrimSpace(raw), []byte("null"))
}

// Error is the response body of a rejected request.
type Error struct {
	Error string `json:"error"`
	// Field is the invalid field of the request; empty unless the error concerns exactly one field.
	Field string `json:"field,omitempty"`
}
