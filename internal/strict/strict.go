// Package strict decodes TOML in which every name must mean something. It knows lines and
// names, not what is in the file.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads TOML into v. Unknown are names that v does not have, each an error with its
// line; the rest is decoded all the same. Err: it is no such TOML.
func Decode(raw []byte, v any) (unknown []error, err error) {
	err = toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(v)
	var missing *toml.StrictMissingError
	var de *toml.DecodeError
	switch {
	case errors.As(err, &missing):
		for _, e := range missing.Errors {
			row, _ := e.Position()
			unknown = append(unknown, fmt.Errorf("line %d: %s: no such setting", row, strings.Join(e.Key(), ".")))
		}
		return unknown, nil
	case errors.As(err, &de):
		row, _ := de.Position()
		return nil, fmt.Errorf("line %d: %s: %w", row, strings.Join(de.Key(), "."), de)
	}
	return nil, err
}
