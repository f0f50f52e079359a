package schema

import (
	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// The state service's limits of one transaction beside those of the settings (PROTOCOL): four
// preconditions for each change, and 64 KiB, of which a quarter is left for what the sums
// below miss.
const (
	preconditionsPerChange = 4
	maxTransactionBytes    = 48 << 10
)

// Bytes that a transaction takes, by what is in it, rounded up.
const (
	changeBytes    = 512 // of a change and its precondition, the record aside
	inlineJobBytes = 768 // of a main record that holds its task range
	placementBytes = 64
)

// RangeID names a task range of a job, of its present generation.
type RangeID struct {
	UID   string
	Index int
}

// Editor collects changes of jobs' records for one transaction. Records are copied when they
// are first asked for; what is done to the copies is written by Transaction. Use
// State.NewRecordEditor.
type Editor struct {
	Txn                *statecache.Transaction
	Records            map[string]*job.Record // the copies, by job; nil: the job is archived
	DeletedRanges      map[RangeID]bool       // task ranges whose records are dropped
	Changes            int                    // so far
	MaxChanges         int
	HasOversizedRecord bool // some record outgrew a value: nothing of this is to be committed

	schema *State
	jobs   map[string]*statecache.Job
	ranges map[RangeID]*job.TaskRange
}

// NewRecordEditor makes an editor for a transaction of as many changes as may be sent now.
func (s *State) NewRecordEditor() *Editor {
	return &Editor{
		Txn:           statecache.NewTransaction(),
		Records:       map[string]*job.Record{},
		DeletedRanges: map[RangeID]bool{},
		MaxChanges:    s.MaxChanges(),
		schema:        s,
		jobs:          map[string]*statecache.Job{},
		ranges:        map[RangeID]*job.TaskRange{},
	}
}

// Record returns a copy of the job's main record to be changed.
func (e *Editor) Record(j *statecache.Job) *job.Record {
	uid := j.Record.Spec.UID
	record := e.Records[uid]
	if record == nil {
		record = j.Record.Copy()
		e.Records[uid], e.jobs[uid] = record, j
		e.Txn.Require(statecache.JobKey(uid), j.Version)
		e.Changes++
	}
	return record
}

// TaskRange returns a copy of a task range to be changed.
func (e *Editor) TaskRange(j *statecache.Job, index int) *job.TaskRange {
	id := RangeID{UID: j.Record.Spec.UID, Index: index}
	if tasks := e.ranges[id]; tasks != nil {
		return tasks
	}
	tasks := j.Ranges[index].Record.Copy()
	e.ranges[id], e.jobs[id.UID] = tasks, j
	// The main record's version covers a gang's tasks and those of a job that is being
	// split, wherever they are recorded.
	e.Txn.Require(statecache.JobKey(id.UID), j.Version)
	if j.Record.Inline || j.RecordCoversTasks() {
		e.Record(j)
	}
	if !j.Record.Inline {
		e.Txn.Require(j.RangeRecord(index))
		e.Changes++
	}
	return tasks
}

// RangeCost returns how many changes TaskRange would add.
func (e *Editor) RangeCost(j *statecache.Job, index int) int {
	uid := j.Record.Spec.UID
	if e.ranges[RangeID{UID: uid, Index: index}] != nil {
		return 0
	}
	cost := 0
	if !j.Record.Inline {
		cost++
	}
	if (j.Record.Inline || j.RecordCoversTasks()) && e.Records[uid] == nil {
		cost++
	}
	return cost
}

// DeleteRange drops the record of a task range of a job that is over.
func (e *Editor) DeleteRange(j *statecache.Job, index int) {
	uid := j.Record.Spec.UID
	e.Txn.Require(statecache.JobKey(uid), j.Version)
	e.Txn.Require(j.RangeRecord(index))
	e.Txn.Delete(statecache.TaskRangeKey(uid, j.Record.Generation, index))
	e.Changes++
}

// Archive drops a job's main record and writes how the job ended.
func (e *Editor) Archive(j *statecache.Job, final job.FinalState) {
	uid := j.Record.Spec.UID
	e.Record(j)
	e.Records[uid] = nil
	e.Txn.Delete(statecache.JobKey(uid))
	e.Txn.Require(statecache.FinalStateKey(uid), 0)
	e.Txn.Put(statecache.FinalStateKey(uid), final)
	e.Changes++
}

// StopTask has a task leave its machine; of a gang all tasks leave, and save together.
func (e *Editor) StopTask(j *statecache.Job, task *statecache.PlacedTask) {
	if j.IsGang() {
		e.Record(j).Gang.Stopping = true
		return
	}
	e.TaskRange(j, task.RangeIndex).Placements[task.Index].Stopping = true
}

// StopCost returns how many changes StopTask would add.
func (e *Editor) StopCost(j *statecache.Job, task *statecache.PlacedTask) int {
	if !j.IsGang() {
		return e.RangeCost(j, task.RangeIndex)
	}
	if e.Records[j.Record.Spec.UID] != nil {
		return 0
	}
	return 1
}

// IsFull reports whether so many more changes, besides so many of other records, would pass
// the limits of a transaction.
func (e *Editor) IsFull(more, others int) bool {
	limits := e.schema.TransactionLimits()
	if e.Changes+more+others > e.MaxChanges {
		return true
	}
	if e.Txn.Preconditions()+2*more+others > preconditionsPerChange*limits.TxnOps {
		return true
	}
	const largeRecords = 2 // at most so many of the other records fill a value
	size := e.rangeBytes() + changeBytes*float64(e.Changes+more)
	return size+limits.ValueKB*bytesPerKB*float64(min(others, largeRecords)) > maxTransactionBytes
}

// rangeBytes returns about how many bytes the task ranges take.
func (e *Editor) rangeBytes() float64 {
	size := 0.0
	for id, tasks := range e.ranges {
		size += float64(placementBytes*len(tasks.Placements) + len(tasks.DoneBits))
		if e.jobs[id.UID].Record.Inline {
			size += inlineJobBytes
		}
	}
	return size
}

// Transaction writes the copies and returns the transaction. It sets Outgrown, and has the
// job's records split, if one is larger than a value may be.
func (e *Editor) Transaction() *statecache.Transaction {
	e.putRanges()
	for uid, record := range e.Records {
		if record != nil {
			e.Txn.Put(statecache.JobKey(uid), record)
		}
	}
	e.checkSizes()
	return e.Txn
}

// putRanges writes the task ranges, those of jobs that keep them inside into the main record.
func (e *Editor) putRanges() {
	for id, tasks := range e.ranges {
		j, record := e.jobs[id.UID], e.Records[id.UID]
		key := statecache.TaskRangeKey(id.UID, j.Record.Generation, id.Index)
		switch {
		case j.Record.Inline && record != nil:
			record.InlineRange = tasks
		case j.Record.Inline: // archived
		case e.DeletedRanges[id]:
			e.Txn.Delete(key)
		default:
			e.Txn.Put(key, tasks)
		}
	}
}

// checkSizes looks for records that are larger than a value may be.
func (e *Editor) checkSizes() {
	most := e.schema.MaxRecordBytes()
	for uid, j := range e.jobs {
		for _, key := range e.Txn.Keys() {
			if e.Txn.Size(key) > most && statecache.IsRecordOf(uid, key) {
				e.schema.RequestSplit(j)
				e.HasOversizedRecord = true
			}
		}
	}
}
