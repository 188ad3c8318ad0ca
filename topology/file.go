package topology

import (
	"bytes"
	"fmt"
	"os"
	"sync"
)

// File is a topology file that may change while it is in use. It is safe for concurrent use; Open makes one.
type File struct {
	path string

	mu sync.Mutex
	// raw is what was last read, valid or not; nil if the file could not be read.
	raw []byte
	// current is the latest valid version.
	current *Map
}

// Open reads and parses a topology file.
func Open(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("topology: %w", err)
	}
	m, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	return &File{path: path, raw: raw, current: m}, nil
}

// Map returns the version in use.
func (f *File) Map() *Map {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Reload reads the file again and returns the new version, or nil if it has not changed. A file that cannot be read, has
// mistakes or does not raise its version leaves the current version in use; the error is returned once for each such
// content of the file.
func (f *File) Reload() (*Map, error) {
	raw, err := os.ReadFile(f.path)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		if f.raw == nil {
			return nil, nil
		}
		f.raw = nil
		return nil, fmt.Errorf("topology: %w; version %d stays in use", err, f.current.version)
	}
	if bytes.Equal(raw, f.raw) {
		return nil, nil
	}
	f.raw = raw
	m, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%w; version %d stays in use", err, f.current.version)
	}
	if m.version <= f.current.version {
		return nil, fmt.Errorf("topology: version: must grow with each change, from %d, not be %d; that one stays in use", f.current.version, m.version)
	}
	f.current = m
	return m, nil
}
