package cluster

import (
	"fmt"
	"maps"
	"os"
	"sync"

	"github.com/prometheus/procfs"
)

// Usage is a process's resource use as the kernel counts it: the CPU time in seconds since the process started, and its
// current resident memory, open file descriptors and threads.
type Usage struct {
	CPUSeconds  float64 `json:"cpu_s"`
	MemoryBytes int     `json:"memory_bytes"`
	Descriptors int     `json:"descriptors"`
	Threads     int     `json:"threads"`
}

// Sample reads the resource use of a process from the kernel.
func Sample(pid int) (Usage, error) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	stat, err := proc.Stat()
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	descriptors, err := proc.FileDescriptorsLen()
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return Usage{CPUSeconds: stat.CPUTime(), MemoryBytes: stat.ResidentMemory(), Descriptors: descriptors, Threads: stat.NumThreads}, nil
}

// SampleSelf reads the resource use of this process.
func SampleSelf() (Usage, error) { return Sample(os.Getpid()) }

// MemoryBytes returns the size of this machine's memory.
func MemoryBytes() (uint64, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	info, err := fs.Meminfo()
	if err != nil {
		return 0, err
	}
	if info.MemTotalBytes == nil {
		return 0, fmt.Errorf("the kernel does not report the size of the memory")
	}
	return *info.MemTotalBytes, nil
}

// Count is a number of messages, or of chunks of a byte stream, and their total size.
type Count struct {
	Messages int `json:"messages"`
	Bytes    int `json:"bytes"`
}

// Traffic counts messages and bytes by kind of message. It is safe for concurrent use.
type Traffic struct {
	mu     sync.Mutex
	counts map[string]Count
}

func newTraffic() *Traffic { return &Traffic{counts: map[string]Count{}} }

// Add counts one message of the given size.
func (traffic *Traffic) Add(kind string, bytes int) {
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	count := traffic.counts[kind]
	traffic.counts[kind] = Count{count.Messages + 1, count.Bytes + bytes}
}

// Snapshot returns a copy of the counts so far.
func (traffic *Traffic) Snapshot() map[string]Count {
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	return maps.Clone(traffic.counts)
}

// CountsBetween returns the difference of two snapshots, without the kinds of which no messages were counted in
// between.
func CountsBetween(earlier, later map[string]Count) map[string]Count {
	out := map[string]Count{}
	for kind, count := range later {
		before := earlier[kind]
		if count.Messages > before.Messages {
			out[kind] = Count{count.Messages - before.Messages, count.Bytes - before.Bytes}
		}
	}
	return out
}
