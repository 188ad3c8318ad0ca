// Package stricttoml decodes TOML and reports unknown names. Its errors contain the line and the name of
// the setting and describe the valid values in terms of TOML instead of Go types. It does not depend on
// the content of the files.
package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// UnknownError reports a setting that the destination does not have.
type UnknownError struct {
	// Line is the line number, from 1.
	Line int
	// Name is the full name of the setting, with dots.
	Name string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("line %d: %s: no such setting", e.Line, e.Name)
}

// ValueError reports text that is not TOML or a setting with a value of the wrong type.
type ValueError struct {
	// Line is the line number, from 1.
	Line int
	// Name is the full name of the setting, with dots; empty if the text is not TOML.
	Name string
	// Err is a *TypeError if the value is of the wrong type.
	Err error
}

func (e *ValueError) Error() string { return fmt.Sprintf("line %d: %s: %v", e.Line, e.Name, e.Err) }

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Err }

// Decode decodes TOML into v, a pointer to a struct or map.
//
// The result unknown has an *UnknownError for each name that v lacks; all other settings are decoded. If
// the text is not TOML or a value has the wrong type, err is a *ValueError and the content of v is
// undefined.
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

// valueErrorOf converts an error of the decoder for the destination v to a ValueError in terms of TOML.
func valueErrorOf(err *toml.DecodeError, v any) *ValueError {
	line, _ := err.Position()
	if name, typeErr, ok := typeErrorOf(err, v); ok {
		return &ValueError{line, name, typeErr}
	}
	return &ValueError{line, strings.Join(err.Key(), "."), err}
}
