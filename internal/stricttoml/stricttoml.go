// Package stricttoml decodes TOML files in which every name must be known. Its errors have the line
// and the name of the setting, and say in TOML's terms what the setting must be. It does not know
// what the files are about.
package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// UnknownError tells that the destination has no setting of a name.
type UnknownError struct {
	// Line counts from 1.
	Line int
	// Name is the full name of the setting, with dots.
	Name string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("line %d: %s: no such setting", e.Line, e.Name)
}

// ValueError tells that the text is not TOML, or that a setting has a value of the wrong type.
type ValueError struct {
	// Line counts from 1.
	Line int
	// Name is the full name of the setting, with dots; empty if the text is not TOML.
	Name string
	// Err is a *TypeError if the value is of the wrong type.
	Err error
}

func (e *ValueError) Error() string { return fmt.Sprintf("line %d: %s: %v", e.Line, e.Name, e.Err) }

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Err }

// Decode reads TOML into v, a pointer to a struct or map.
//
// Unknown has an *UnknownError for each name that v lacks; all else is decoded nevertheless. If the
// text is not TOML or a value has the wrong type, err is a *ValueError, and v is to be discarded.
func Decode(raw []byte, v any) (unknown []error, err error) {
	err = toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(v)
	if missing, ok := errors.AsType[*toml.StrictMissingError](err); ok {
		for _, unknownField := range missing.Errors {
			line, _ := unknownField.Position()
			unknown = append(unknown, &UnknownError{line, strings.Join(unknownField.Key(), ".")})
		}
		return unknown, nil
	}
	if decodeErr, ok := errors.AsType[*toml.DecodeError](err); ok {
		return nil, valueErrorOf(decodeErr, v)
	}
	return nil, err
}

// valueErrorOf returns the error of the decoder for the destination v in terms of TOML.
func valueErrorOf(err *toml.DecodeError, v any) *ValueError {
	line, _ := err.Position()
	if name, typeErr, ok := typeErrorOf(err, v); ok {
		return &ValueError{line, name, typeErr}
	}
	return &ValueError{line, strings.Join(err.Key(), "."), err}
}
