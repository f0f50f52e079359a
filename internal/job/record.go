// Package job holds the records of a job and the changes that they allow.
//
// A living job has one main record (Record) and one record (TaskRange) for each range of its
// tasks that was ever touched; a small job keeps its only task range in the main record. A job
// that is over has one short record (FinalState). The package does no I/O and reads no clock.
//
// Invariants:
//   - attempt numbers of a task range, and of a gang, only rise, so that no attempt of a task is
//     ever confused with another;
//   - a task that is done stays done, and has no placement;
//   - a record fits a value of the state service however its tasks are placed, or it can be
//     split so that its records do;
//   - splitting changes nothing that the records say of any task;
//   - the recorded form of each type is fixed (see package golden).
package job

import (
	"encoding/json"
	"fmt"
	"slices"

	"violetturn/internal/api"
)

// Record is a living job's main record.
type Record struct {
	Spec           api.Job    `json:"r"`
	Shard          string     `json:"p"`           // the shard whose leader places its tasks
	AcceptedMS     int64      `json:"at"`          // when it was accepted, Unix time in milliseconds
	RangeSize      int        `json:"k"`           // tasks in a task range; the last range may have fewer
	Cancelled      bool       `json:"w,omitempty"` // some of its tasks may still be on machines
	FinishedRanges []int      `json:"f,omitempty"` // task ranges that are done, as intervals [from, to, from, to, ...)
	Zone           string     `json:"z,omitempty"` // the zone of a job whose tasks run in one zone, once chosen
	Inline         bool       `json:"i,omitempty"` // its only task range is kept here, not in a record of its own
	InlineRange    *TaskRange `json:"o,omitempty"` // that task range, once touched

	// The version in production knows none of these and would lose them: they are
	// written only once every configured controller has shown that it reads them.
	Generation      int   `json:"n,omitempty"` // how often its task ranges were split into smaller ones
	SpreadRangeSize int   `json:"h,omitempty"` // of a spread job that was split: the range size by which its zones are counted
	Frozen          bool  `json:"x,omitempty"` // its task ranges are being split: nothing else changes them
	Gang            *Gang `json:"e,omitempty"` // of a gang: the state of its newest attempt
}

// FinalState is what remains recorded of a job that is over.
type FinalState struct {
	Phase api.JobPhase `json:"phase"`
	Done  int          `json:"done"` // tasks that are done
}

// ParseRecord decodes a main record. It returns an error if the record is malformed or
// describes a job without tasks.
func ParseRecord(raw []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("decoding a job record: %w", err)
	}
	if r.RangeSize < 1 || r.Spec.Tasks < 1 {
		return nil, fmt.Errorf("job record of %q: %w", r.Spec.UID, ErrNoTasks)
	}
	if r.InlineRange != nil {
		if err := r.InlineRange.check(); err != nil {
			return nil, fmt.Errorf("job record of %q: %w", r.Spec.UID, err)
		}
	}
	return &r, nil
}

// Copy returns a copy of the record that can be changed. It shares the inline task range,
// which TaskRange.Copy copies.
func (r *Record) Copy() *Record {
	c := *r
	c.FinishedRanges = slices.Clone(r.FinishedRanges)
	if r.Gang != nil {
		g := *r.Gang
		c.Gang = &g
	}
	return &c
}
