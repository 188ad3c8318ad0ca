package topology

import (
	"bytes"
	"fmt"
	"os"
	"sync"
)

// File is a topology file that may change while it is in use.
type File struct {
	path string

	mu      sync.Mutex
	raw     []byte
	current *Map
}

// Open reads and checks a file.
func Open(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("topology: %w", err)
	}
	topology, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	return &File{path: path, raw: raw, current: topology}, nil
}

// Map is the version in use.
func (f *File) Map() *Map {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Reload reads the file again; the map is nil if it has not changed. A file that cannot be read,
// has mistakes or whose version has not grown changes nothing, and is told of once.
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
	topology, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%w; version %d stays in use", err, f.current.version)
	}
	if topology.version <= f.current.version {
		return nil, fmt.Errorf("topology: version: must grow with each change, from %d, not be %d; that one stays in use", f.current.version, topology.version)
	}
	f.current = topology
	return topology, nil
}
