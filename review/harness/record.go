package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run into record.txt, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begun time.Time
}

// newRecord returns a record whose time starts now.
func newRecord(out io.Writer) *record { return &record{out: out, begun: time.Now()} }

// note writes one line. who is the component that it is about. Lines about the case itself are also
// printed.
func (r *record) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f %-10s %s\n", time.Since(r.begun).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.out, line)
	if who == "case" || who == "result" || who == "RULE" {
		_, _ = os.Stdout.WriteString(line)
	}
}
