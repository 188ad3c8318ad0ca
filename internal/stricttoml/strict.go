// Package stricttoml decodes TOML in which every name must mean something. It knows lines and
// names, not what is in the file.
package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// UnknownError is a name that means nothing.
type UnknownError struct {
	Line int
	Name string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("line %d: %s: no such setting", e.Line, e.Name)
}

// ValueError is a place where there is no TOML, or a value of another kind than it should be.
type ValueError struct {
	Line int
	Name string
	Err  error
}

func (e *ValueError) Error() string { return fmt.Sprintf("line %d: %s: %v", e.Line, e.Name, e.Err) }
func (e *ValueError) Unwrap() error { return e.Err }

// Decode reads TOML into v. Unknown are names that v does not have, each an UnknownError; the rest is decoded all the
// same. Err: it is no such TOML, a ValueError as far as it has a line.
func Decode(raw []byte, v any) (unknown []error, err error) {
	err = toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(v)
	var missing *toml.StrictMissingError
	var de *toml.DecodeError
	switch {
	case errors.As(err, &missing):
		for _, e := range missing.Errors {
			row, _ := e.Position()
			unknown = append(unknown, &UnknownError{row, strings.Join(e.Key(), ".")})
		}
		return unknown, nil
	case errors.As(err, &de):
		row, _ := de.Position()
		return nil, &ValueError{row, strings.Join(de.Key(), "."), de}
	}
	return nil, err
}
