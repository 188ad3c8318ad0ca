package cluster

import (
	"fmt"
	"maps"
	"os"
	"sync"

	"github.com/prometheus/procfs"
)

// Usage is what the kernel counts of one process: processor time in seconds since it began, and what it holds now.
type Usage struct {
	CPUSeconds  float64 `json:"cpu_s"`
	MemoryBytes int     `json:"memory_bytes"`
	Descriptors int     `json:"descriptors"`
	Threads     int     `json:"threads"`
}

// Sample reads what the kernel counts of a process.
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

// SampleSelf is Sample of this process.
func SampleSelf() (Usage, error) { return Sample(os.Getpid()) }

// MemoryBytes is how much memory this machine has.
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
		return 0, fmt.Errorf("the kernel does not tell how much memory there is")
	}
	return *info.MemTotalBytes, nil
}

// Count is how many messages, or pieces of a stream, and how many bytes of them went by.
type Count struct {
	Messages int `json:"messages"`
	Bytes    int `json:"bytes"`
}

// Traffic counts by kind. It is safe for use from several goroutines at once.
type Traffic struct {
	mu     sync.Mutex
	counts map[string]Count
}

func newTraffic() *Traffic { return &Traffic{counts: map[string]Count{}} }

// Add notes one message of so many bytes.
func (traffic *Traffic) Add(kind string, bytes int) {
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	count := traffic.counts[kind]
	traffic.counts[kind] = Count{count.Messages + 1, count.Bytes + bytes}
}

// Snapshot is what was counted so far.
func (traffic *Traffic) Snapshot() map[string]Count {
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	return maps.Clone(traffic.counts)
}

// Since is what was counted from an earlier snapshot to a later one.
func Since(earlier, later map[string]Count) map[string]Count {
	out := map[string]Count{}
	for kind, count := range later {
		was := earlier[kind]
		if count.Messages > was.Messages {
			out[kind] = Count{count.Messages - was.Messages, count.Bytes - was.Bytes}
		}
	}
	return out
}
