package topology

import (
	"bytes"
	"fmt"
	"os"
	"sync"
)

// File is a topology file that may change while it is in use. Open returns one. It is safe for concurrent use.
type File struct {
	path string

	// mu guards the fields below.
	mu sync.Mutex
	// raw is the content that was last read, valid or not; nil if the file could not be read.
	raw []byte
	// current is the version in use: the latest valid one.
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

// Map returns the version of the topology that is in use.
func (f *File) Map() *Map {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Reload reads the file again and returns the new version of the topology, or nil if the file has not changed. If the
// file cannot be read, is invalid or does not raise its version number, the current version stays in use. The error is
// returned only by the first of consecutive calls that find the file in the same state.
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
		return nil, fmt.Errorf("topology: version: must grow with each change; version %d stays in use, and version %d in the file is rejected", f.current.version, m.version)
	}
	f.current = m
	return m, nil
}
