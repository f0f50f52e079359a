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
	"time"

	"violetturn/internal/api"
	"violetturn/internal/numeric"
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
	if err := r.validate(); err != nil {
		return nil, fmt.Errorf("job record of %q: %w", r.Spec.UID, err)
	}
	r.boundNumbers()
	return &r, nil
}

// validate returns an error if the record describes no tasks, or more than a job can have.
func (r *Record) validate() error {
	if r.RangeSize < 1 || r.Spec.Tasks < 1 {
		return ErrNoTasks
	}
	if r.RangeSize > api.MaxTasks || r.Spec.Tasks > api.MaxTasks {
		return fmt.Errorf("%d tasks in ranges of %d: %w", r.Spec.Tasks, r.RangeSize, ErrOutOfRange)
	}
	for _, n := range r.FinishedRanges {
		if n < 0 || n > r.RangeCount() {
			return fmt.Errorf("finished range %d of %d: %w", n, r.RangeCount(), ErrOutOfRange)
		}
	}
	if r.InlineRange != nil {
		return r.InlineRange.validate()
	}
	return nil
}

// maxTimeMS bounds recorded times, in milliseconds of Unix time.
const maxTimeMS = 1000 * numeric.MaxAmount * 1000

// boundNumbers bounds the numbers of a record whose tasks are valid. An earlier version accepted jobs
// with any amounts.
func (r *Record) boundNumbers() {
	r.Spec.BoundAmounts()
	r.AcceptedMS = min(max(r.AcceptedMS, 0), maxTimeMS)
	if g := r.Gang; g != nil {
		g.LaunchedS = boundSeconds(g.LaunchedS)
		g.ErrorStreak, g.FailureStreak = boundStreak(g.ErrorStreak), boundStreak(g.FailureStreak)
	}
}

// boundSeconds bounds a recorded time in seconds after the job was accepted.
func boundSeconds(seconds int64) int64 { return min(max(seconds, 0), numeric.MaxAmount) }

// boundStreak bounds a recorded number of failures, so that sums of several do not overflow.
func boundStreak(failures int) int { return min(max(failures, 0), maxStreak) }

// maxStreak is the highest number of failures in a row that is told from a higher one.
const maxStreak = 1 << 30

// TimeAt returns the time that is recorded as a number of seconds after the job was accepted.
func (r *Record) TimeAt(seconds int64) time.Time {
	return time.UnixMilli(r.AcceptedMS).Add(time.Duration(seconds) * time.Second)
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
