// Package api has the messages that users, workers, data agents and the cloud exchange with the
// controllers, and checks the ones that come from outside. It does no I/O.
//
// The names and words of the protocol stand only in the struct tags and in the values of the
// constants of this package; words_test.go keeps them out of all other identifiers.
package api

import (
	"bytes"
	"encoding/json"
)

// FieldError tells which field of a body is wrong.
type FieldError struct {
	// Field is the field's name in the body, with an index or a dot for what is inside it.
	Field string
	// Want says what the field must be.
	Want string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Want }

// errNotObject returns the error for a body that is not a JSON object.
func errNotObject() *FieldError { return &FieldError{"body", "must be a JSON object"} }

// decodeObject decodes a body that must be a JSON object; the error is a *FieldError.
func decodeObject(body []byte, into any) error {
	if json.Unmarshal(body, into) != nil {
		return errNotObject()
	}
	return nil
}

// isAbsent tells whether a field is missing or null.
func isAbsent(raw json.RawMessage) bool {
	return len(raw) == 0 || bytes.Equal(bytes.TrimSpace(raw), []byte("null"))
}

// Error is the body of a refusal.
type Error struct {
	Error string `json:"error"`
	// Field is the wrong field of the request, if it is one alone.
	Field string `json:"field,omitempty"`
}
