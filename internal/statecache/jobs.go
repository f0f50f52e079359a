package statecache

import (
	"encoding/json"

	"violetturn/internal/api"
	"violetturn/internal/job"
)

// JobIndex is the living jobs and the records of their tasks.
type JobIndex struct {
	Jobs  map[string]*Job
	Gangs map[string]bool // those of them whose tasks start together

	// TaskRanges has the records of task ranges as they are, those of earlier and coming
	// splits and of jobs without a main record included.
	TaskRanges map[string]map[RangeKey]Versioned[job.TaskRange]

	cancellations             []cancellation // the last ones
	cancellationsCompleteFrom uint64         // all after that revision are among them
}

// RangeKey names the record of a task range among those of its job.
type RangeKey struct{ Generation, Index int }

func newJobIndex() JobIndex {
	return JobIndex{
		Jobs:       map[string]*Job{},
		Gangs:      map[string]bool{},
		TaskRanges: map[string]map[RangeKey]Versioned[job.TaskRange]{},
	}
}

// applyJob takes in a change of a job's main record.
func (c *Cache) applyJob(uid string, value json.RawMessage, version uint64) error {
	if value == nil {
		c.dropJob(uid, version)
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
	c.noteTurn(uid, j, old, record, version)
	j.Record, j.Version, j.Size, j.pending = record, version, len(value), nil
	c.updateRanges(uid, j, old, version)
	return nil
}

// addJob adds a job that has appeared.
func (c *Cache) addJob(uid string, j *Job, record *job.Record) {
	c.Jobs[uid] = j
	if record.Spec.Kind == api.Gang {
		c.Gangs[uid] = true
	}
	c.observer.JobAdded(record)
}

// dropJob drops a job whose main record was dropped.
func (c *Cache) dropJob(uid string, version uint64) {
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

// noteTurn notes what a new main record means for the job's placed tasks: from now on they
// are of no use, or may start.
func (c *Cache) noteTurn(uid string, j *Job, old, record *job.Record, version uint64) {
	cancelled := record.Cancelled && (old == nil || !old.Cancelled)
	if old != nil && (cancelled || gangStateChanged(old.Gang, record.Gang)) {
		c.noteTasksChanged(j)
	}
	if cancelled {
		c.RecordCancellation(uid, version)
	}
}

// noteTasksChanged has the machines of a job's placed tasks looked at again.
func (c *Cache) noteTasksChanged(j *Job) {
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

// gangStateChanged reports whether what a gang's tasks are to do has changed.
func gangStateChanged(a, b *job.Gang) bool {
	if a == nil || b == nil {
		return a != b
	}
	return a.Attempt != b.Attempt || a.Launched != b.Launched || a.Stopping != b.Stopping || a.Ended != b.Ended || a.Done != b.Done
}

// updateRanges brings the job's task ranges in line with its new main record: with the range
// inside it, or with the records of the generation that it names.
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

// applyTaskRange takes in a change of the record of a task range.
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
	c.keepTaskRange(uid, key, r)
	if j := c.Jobs[uid]; j != nil && !j.Record.Inline && j.Record.Generation == key.Generation {
		c.setTaskRange(uid, j.Ranges, key.Index, r)
	}
	return nil
}

// keepTaskRange keeps the record of a task range as it is, or drops one that is gone.
func (x *JobIndex) keepTaskRange(uid string, key RangeKey, r Versioned[job.TaskRange]) {
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

// setTaskRange replaces a task range of a job and with it what is placed on machines.
func (c *Cache) setTaskRange(
	uid string, ranges map[int]Versioned[job.TaskRange], index int, to Versioned[job.TaskRange],
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
	if to.Record == nil {
		delete(ranges, index)
		return
	}
	ranges[index] = to
	for i, p := range to.Record.Placements {
		c.addPlacement(&PlacedTask{UID: uid, RangeIndex: index, Index: i, Placement: p})
		if j != nil {
			c.noteImage(p.Host, j.Record.Spec.Image)
		}
		if before := old.PlacementOf(i); before == nil || *before != *p {
			c.observer.TasksChanged(p.Host)
		}
	}
}
