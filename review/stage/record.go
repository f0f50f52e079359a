package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the seconds since the start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// newRecorder creates the file at path, replacing an earlier one.
func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// seconds returns the time since the start.
func (r *recorder) seconds() float64 { return time.Since(r.start).Seconds() }

// note writes one line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", r.seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush() // the record has to be complete wherever the case ends
}

// close closes the file.
func (r *recorder) close() { _ = r.file.Close() }
