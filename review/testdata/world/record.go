package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of one run: what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// newRecord creates the file of a record.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// note adds a line with the time since the start of the run.
func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// say adds a line and prints it.
func (r *record) say(format string, arguments ...any) {
	r.note(format, arguments...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// close writes the rest of the record.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
