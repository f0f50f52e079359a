// Package job defines the records of a job and the operations that change them.
//
// An unfinished job has one main record (Record) and one record (TaskRange) for each range of
// its tasks that was ever changed; a small job keeps its only task range in the main record. A
// finished job has one short record (FinalState). The package does no I/O and reads no clock.
//
// Invariants:
//   - attempt numbers of a task range, and of a gang, only rise, so that each attempt of a task
//     has a number of its own;
//   - a task that is done stays done, and has no placement;
//   - a record fits into a value of the state service however its tasks are placed, or it can be
//     split into records that do;
//   - splitting preserves the recorded state of every task;
//   - the encoding of each record type is fixed (see package golden).
package job

import (
	"encoding/json"
	"fmt"
	"slices"

	"violetturn/internal/api"
)

// Record is the main record of an unfinished job.
type Record struct {
	Spec           api.Job    `json:"r"`
	Shard          string     `json:"p"`           // the shard whose leader places its tasks
	AcceptedMS     int64      `json:"at"`          // when the job was accepted, Unix time in milliseconds
	RangeSize      int        `json:"k"`           // tasks in a task range; the last range may have fewer
	Cancelled      bool       `json:"w,omitempty"` // the job was cancelled; some of its tasks may still be on machines
	FinishedRanges []int      `json:"f,omitempty"` // finished task ranges as half-open intervals: from, to, from, to, ...
	Zone           string     `json:"z,omitempty"` // the zone chosen for a job whose tasks all run in one zone
	Inline         bool       `json:"i,omitempty"` // the job's only task range is part of this record
	InlineRange    *TaskRange `json:"o,omitempty"` // that task range, nil until it is first changed

	// The version in production doesn't decode these fields and would drop them when it
	// rewrites the record. They are written only once every configured controller has shown
	// that it reads them.
	Generation      int   `json:"n,omitempty"` // how many times the task ranges were split into smaller ones
	SpreadRangeSize int   `json:"h,omitempty"` // of a spread job that was split: the task range size before the split (see SpreadGroup)
	Frozen          bool  `json:"x,omitempty"` // the task ranges are being split; nothing else may change them
	Gang            *Gang `json:"e,omitempty"` // state of the newest attempt, if the job is a gang
}

// FinalState is the record that remains of a finished job.
type FinalState struct {
	Phase api.JobPhase `json:"phase"`
	Done  int          `json:"done"` // number of done tasks
}

// ParseRecord decodes a main record. It returns an error if the record is malformed, or ErrNoTasks
// if it describes a job without tasks.
func ParseRecord(raw []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("decoding a job record: %w", err)
	}
	r.Spec.BoundAmounts() // an earlier version accepted jobs with any amounts
	if r.RangeSize < 1 || r.Spec.Tasks < 1 {
		return nil, fmt.Errorf("job record of %q: %w", r.Spec.UID, ErrNoTasks)
	}
	if r.InlineRange != nil {
		if err := r.InlineRange.validate(); err != nil {
			return nil, fmt.Errorf("job record of %q: %w", r.Spec.UID, err)
		}
	}
	return &r, nil
}

// Copy returns a copy of the record that can be changed independently, except for the inline task
// range: both share it, and TaskRange.Copy copies it.
func (r *Record) Copy() *Record {
	copied := *r
	copied.FinishedRanges = slices.Clone(r.FinishedRanges)
	if r.Gang != nil {
		gang := *r.Gang
		copied.Gang = &gang
	}
	return &copied
}
