package settings

import (
	"fmt"
	"os"

	"switchferry/internal/stricttoml"
)

// Load reads a settings file and parses it as Parse does.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(raw)
}

// Parse decodes and validates settings. Unknown fields are ignored, since the platform may add some at any time.
// The error is a single line that names an invalid field, with its line number if the text cannot be decoded.
func Parse(raw []byte) (*Settings, error) {
	var settings Settings
	if _, err := stricttoml.Decode(raw, &settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &settings, settings.check()
}

// summarizeErrors returns the first error with the number of further ones, or nil if there are none.
func summarizeErrors(fieldErrors []error) error {
	switch len(fieldErrors) {
	case 0:
		return nil
	case 1:
		return fmt.Errorf("settings: %w", fieldErrors[0])
	}
	return fmt.Errorf("settings: %w (and %d more)", fieldErrors[0], len(fieldErrors)-1)
}
