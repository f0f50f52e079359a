package statecache

import (
	"encoding/json"

	"violetturn/internal/api"
	"violetturn/internal/job"
)

// JobIndex contains the unfinished jobs and the records of their tasks.
type JobIndex struct {
	Jobs  map[string]*Job
	Gangs map[string]bool // the jobs whose tasks start together

	// TaskRanges contains all records of task ranges, by job. It includes those of earlier
	// generations, those of a split in progress, and those of jobs without a main record.
	TaskRanges map[string]map[RangeKey]Versioned[job.TaskRange]

	cancellations             []cancellation // the most recently recorded ones
	cancellationsCompleteFrom uint64         // cancellations has all cancellations after this revision
}

// RangeKey identifies the record of a task range among those of its job.
type RangeKey struct{ Generation, Index int }

func newJobIndex() JobIndex {
	return JobIndex{
		Jobs:       map[string]*Job{},
		Gangs:      map[string]bool{},
		TaskRanges: map[string]map[RangeKey]Versioned[job.TaskRange]{},
	}
}

// applyJob applies a change of a job's main record.
func (c *Cache) applyJob(uid string, value json.RawMessage, version uint64) error {
	if value == nil {
		c.removeJob(uid, version)
		return nil
	}
	record, err := job.ParseRecord(value)
	if err != nil {
		return err
	}
	j := c.Jobs[uid]
	var old *job.Record
	if j == nil {
		j = &Job{Ranges: map[int]Versioned[job.TaskRange]{}}
		c.addJob(uid, j, record)
	} else {
		old = j.Record
	}
	c.applyJobTransition(uid, j, old, record, version)
	j.Record, j.Version, j.Size, j.pending = record, version, len(value), nil
	c.updateRanges(uid, j, old, version)
	return nil
}

// addJob adds a new job to the index.
func (c *Cache) addJob(uid string, j *Job, record *job.Record) {
	c.Jobs[uid] = j
	if record.Spec.Kind == api.Gang {
		c.Gangs[uid] = true
	}
	c.observer.JobAdded(record)
}

// removeJob removes a job whose main record was deleted.
func (c *Cache) removeJob(uid string, version uint64) {
	j := c.Jobs[uid]
	if j == nil {
		return
	}
	if !c.loading {
		c.observer.JobEnded(uid, j.finalState())
	}
	for index := range j.Ranges {
		c.setTaskRange(uid, j.Ranges, index, Versioned[job.TaskRange]{Version: version})
	}
	delete(c.Jobs, uid)
	delete(c.Gangs, uid)
}

// applyJobTransition handles a new main record that cancels the job or changes the state of its
// gang: its placed tasks may have to stop, or may start.
func (c *Cache) applyJobTransition(uid string, j *Job, old, record *job.Record, version uint64) {
	cancelled := record.Cancelled && (old == nil || !old.Cancelled)
	if old != nil && (cancelled || gangStateChanged(old.Gang, record.Gang)) {
		c.notifyTasksChanged(j)
	}
	if cancelled {
		c.RecordCancellation(uid, version)
	}
}

// notifyTasksChanged invalidates the cached loads of the machines of a job's placed tasks and
// notifies the observer.
func (c *Cache) notifyTasksChanged(j *Job) {
	for _, r := range j.Ranges {
		for _, p := range r.Record.Placements {
			delete(c.loads, p.Host)
		}
	}
	for _, r := range j.Ranges {
		for _, p := range r.Record.Placements {
			c.observer.TasksChanged(p.Host)
		}
	}
}

// gangStateChanged reports whether the states differ in what the gang's tasks have to do.
func gangStateChanged(a, b *job.Gang) bool {
	if a == nil || b == nil {
		return a != b
	}
	return a.Attempt != b.Attempt || a.Launched != b.Launched || a.Stopping != b.Stopping || a.Ended != b.Ended || a.Done != b.Done
}

// updateRanges updates the job's task ranges after a change of its main record: from its inline
// range, or from the records of its generation.
func (c *Cache) updateRanges(uid string, j *Job, old *job.Record, version uint64) {
	record := j.Record
	if record.Inline {
		c.setTaskRange(uid, j.Ranges, 0, Versioned[job.TaskRange]{record.InlineRange, version, j.Size})
		return
	}
	if old != nil && !old.Inline && old.Generation == record.Generation {
		return
	}
	for index := range j.Ranges {
		c.setTaskRange(uid, j.Ranges, index, Versioned[job.TaskRange]{Version: version})
	}
	for key, r := range c.TaskRanges[uid] {
		if key.Generation == record.Generation {
			c.setTaskRange(uid, j.Ranges, key.Index, r)
		}
	}
}

// applyTaskRange applies a change of the record of a task range.
func (c *Cache) applyTaskRange(id string, value json.RawMessage, version uint64) error {
	uid, key, err := parseTaskRangeKey(id)
	if err != nil {
		return err
	}
	r := Versioned[job.TaskRange]{Version: version, Size: len(value)}
	if value != nil {
		if r.Record, err = job.ParseTaskRange(value); err != nil {
			return err
		}
	}
	c.storeTaskRange(uid, key, r)
	if j := c.Jobs[uid]; j != nil && !j.Record.Inline && j.Record.Generation == key.Generation {
		c.setTaskRange(uid, j.Ranges, key.Index, r)
	}
	return nil
}

// storeTaskRange stores the record of a task range in TaskRanges, or removes a deleted one.
func (x *JobIndex) storeTaskRange(uid string, key RangeKey, r Versioned[job.TaskRange]) {
	if r.Record == nil {
		delete(x.TaskRanges[uid], key)
		if len(x.TaskRanges[uid]) == 0 {
			delete(x.TaskRanges, uid)
		}
		return
	}
	if x.TaskRanges[uid] == nil {
		x.TaskRanges[uid] = map[RangeKey]Versioned[job.TaskRange]{}
	}
	x.TaskRanges[uid][key] = r
}

// setTaskRange replaces a task range of a job, and its placements in the index.
func (c *Cache) setTaskRange(
	uid string, ranges map[int]Versioned[job.TaskRange], index int, newRange Versioned[job.TaskRange],
) {
	j := c.Jobs[uid]
	if j != nil {
		j.pending = nil
	}
	old := ranges[index].Record
	if old != nil {
		for i, p := range old.Placements {
			c.RemovePlacement(uid, index, i, p)
		}
	}
	if newRange.Record == nil {
		delete(ranges, index)
		return
	}
	ranges[index] = newRange
	for i, p := range newRange.Record.Placements {
		c.addPlacement(&PlacedTask{UID: uid, RangeIndex: index, Index: i, Placement: p})
		if j != nil {
			c.recordImage(p.Host, j.Record.Spec.Image)
		}
		if previous := old.PlacementOf(i); previous == nil || *previous != *p {
			c.observer.TasksChanged(p.Host)
		}
	}
}
