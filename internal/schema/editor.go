package schema

import (
	"encoding/json"

	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// Limits that the state service sets on one transaction in addition to those of the settings
// (PROTOCOL): four preconditions for each change, and statecache.MaxTransactionBytes.
const preconditionsPerWrite = 4

// Estimated sizes in bytes of the parts of a transaction, rounded up.
const (
	writeBytes     = 512 // a change with its precondition, without the record
	placementBytes = 64
)

// RangeID identifies a task range of the current generation of a job's records.
type RangeID struct {
	UID   string
	Index int
}

// Editor collects writes of job records for one transaction. It copies a record on first access;
// callers change the copies, and Editor.BuildTransaction writes them. Create it with
// State.NewRecordEditor.
type Editor struct {
	Txn                *statecache.Transaction
	Records            map[string]*job.Record // copies of main records, by job; nil if the job is archived
	DeletedRanges      map[RangeID]bool       // edited task ranges whose records are deleted
	Writes             int                    // number of writes so far
	MaxWrites          int
	HasOversizedRecord bool // a record exceeds the size of a value; the transaction must not be committed

	schema       *State
	editedJobs   map[string]*statecache.Job
	editedRanges map[RangeID]*job.TaskRange
}

// NewRecordEditor returns an editor for a transaction with at most MaxWrites writes.
func (s *State) NewRecordEditor() *Editor {
	return &Editor{
		Txn:           statecache.NewTransaction(),
		Records:       map[string]*job.Record{},
		DeletedRanges: map[RangeID]bool{},
		MaxWrites:     s.MaxWrites(),
		schema:        s,
		editedJobs:    map[string]*statecache.Job{},
		editedRanges:  map[RangeID]*job.TaskRange{},
	}
}

// Record returns the editor's copy of the job's main record, which the caller may change.
func (e *Editor) Record(j *statecache.Job) *job.Record {
	uid := j.Record.Spec.UID
	record := e.Records[uid]
	if record == nil {
		record = j.Record.Copy()
		e.Records[uid], e.editedJobs[uid] = record, j
		e.Txn.Require(statecache.JobKey(uid), j.Version)
		e.Writes++
	}
	return record
}

// TaskRange returns the editor's copy of a task range, which the caller may change.
func (e *Editor) TaskRange(j *statecache.Job, index int) *job.TaskRange {
	id := RangeID{UID: j.Record.Spec.UID, Index: index}
	if tasks := e.editedRanges[id]; tasks != nil {
		return tasks
	}
	tasks := j.Ranges[index].Record.Copy()
	e.editedRanges[id], e.editedJobs[id.UID] = tasks, j
	// The main record is rewritten with every change to the tasks of a gang or of a spread job
	// whose records were split, so that its version covers them in whichever record they are.
	e.Txn.Require(statecache.JobKey(id.UID), j.Version)
	if j.Record.Inline || j.RecordCoversTasks() {
		e.Record(j)
	}
	if !j.Record.Inline {
		e.Txn.Require(j.RangeRecord(index))
		e.Writes++
	}
	return tasks
}

// RangeCost returns the number of writes that TaskRange would add.
func (e *Editor) RangeCost(j *statecache.Job, index int) int {
	uid := j.Record.Spec.UID
	if e.editedRanges[RangeID{UID: uid, Index: index}] != nil {
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

// DeleteRange deletes the record of a task range of a finished job.
func (e *Editor) DeleteRange(j *statecache.Job, index int) {
	uid := j.Record.Spec.UID
	e.Txn.Require(statecache.JobKey(uid), j.Version)
	e.Txn.Require(j.RangeRecord(index))
	e.Txn.Delete(statecache.TaskRangeKey(uid, j.Record.Generation, index))
	e.Writes++
}

// Archive deletes a job's main record and writes its final state.
func (e *Editor) Archive(j *statecache.Job, final job.FinalState) {
	uid := j.Record.Spec.UID
	e.Record(j)
	e.Records[uid] = nil
	e.Txn.Delete(statecache.JobKey(uid))
	e.Txn.Require(statecache.FinalStateKey(uid), 0)
	e.Txn.Put(statecache.FinalStateKey(uid), final)
	e.Writes++
}

// StopTask marks a task as stopping. For a gang it marks the whole attempt, so that all tasks save
// and leave their machines together.
func (e *Editor) StopTask(j *statecache.Job, task *statecache.PlacedTask) {
	if j.IsGang() {
		e.Record(j).Gang.Stopping = true
		return
	}
	e.TaskRange(j, task.RangeIndex).Placements[task.Index].Stopping = true
}

// StopCost returns the number of writes that StopTask would add.
func (e *Editor) StopCost(j *statecache.Job, task *statecache.PlacedTask) int {
	if !j.IsGang() {
		return e.RangeCost(j, task.RangeIndex)
	}
	if e.Records[j.Record.Spec.UID] != nil {
		return 0
	}
	return 1
}

// IsFull reports whether the transaction would exceed its limits with extraWrites more writes of
// records of the given jobs and otherRecords writes of other records. The first change of an editor
// always fits.
func (e *Editor) IsFull(extraWrites, otherRecords int, jobs ...*statecache.Job) bool {
	limits := e.schema.TransactionLimits()
	if e.Writes+extraWrites+otherRecords > e.MaxWrites {
		return true
	}
	if e.Txn.Preconditions()+2*extraWrites+otherRecords > preconditionsPerWrite*limits.TxnOps {
		return true
	}
	if e.Writes == 0 {
		return false
	}
	const largeRecords = 2 // at most this many of the other records are as large as a value may be
	size := e.rangeBytes() + e.mainRecordBytes(jobs) + writeBytes*float64(e.Writes+extraWrites)
	return size+limits.ValueKB*bytesPerKB*float64(min(otherRecords, largeRecords)) > statecache.MaxTransactionBytes
}

// mainRecordBytes returns the bytes of the main records that are written when jobs are edited too.
func (e *Editor) mainRecordBytes(jobs []*statecache.Job) float64 {
	size := 0
	for uid, record := range e.Records {
		if record != nil {
			size += e.editedJobs[uid].Size
		}
	}
	seen := map[string]bool{}
	for _, j := range jobs {
		uid := j.Record.Spec.UID
		if _, edited := e.Records[uid]; !edited && !seen[uid] {
			seen[uid] = true
			size += j.Size
		}
	}
	return float64(size)
}

// rangeBytes estimates the bytes of the edited task ranges.
func (e *Editor) rangeBytes() float64 {
	size := 0.0
	for id, tasks := range e.editedRanges {
		placements := len(tasks.Placements)
		if j := e.editedJobs[id.UID]; j.Record.Inline {
			placements -= j.CountPlaced() // mainRecordBytes includes the range as it was
		}
		size += float64(placementBytes*max(placements, 0) + len(tasks.DoneBits))
	}
	return size
}

// BuildTransaction adds the edited records to the transaction and returns it. If a record exceeds
// the maximum size, it sets HasOversizedRecord and requests that the job's records be split.
func (e *Editor) BuildTransaction() *statecache.Transaction {
	e.putRanges()
	for uid, record := range e.Records {
		if record != nil {
			e.Txn.Put(statecache.JobKey(uid), record)
		}
	}
	e.checkSizes()
	return e.Txn
}

// putRanges adds the edited task ranges to the transaction. The task range of an inline job is
// stored in its main record.
func (e *Editor) putRanges() {
	for id, tasks := range e.editedRanges {
		j, record := e.editedJobs[id.UID], e.Records[id.UID]
		key := statecache.TaskRangeKey(id.UID, j.Record.Generation, id.Index)
		switch {
		case j.Record.Inline && record != nil:
			record.InlineRange = tasks
		case j.Record.Inline: // the job is archived, and the range is deleted with its main record
		case e.DeletedRanges[id]:
			e.Txn.Delete(key)
		default:
			e.Txn.Put(key, tasks)
		}
	}
}

// MayGrowTo reports whether a main record may have the given contents and still grow a little.
func (e *Editor) MayGrowTo(record *job.Record) bool {
	encoded, err := json.Marshal(record)
	return err == nil && len(encoded) <= e.schema.MaxGrowableBytes()
}

// checkSizes requests a split for each job with a record that exceeds the maximum size.
func (e *Editor) checkSizes() {
	maxBytes := e.schema.MaxRecordBytes()
	for uid, j := range e.editedJobs {
		for _, key := range e.Txn.Keys() {
			if e.Txn.Size(key) > maxBytes && statecache.IsRecordOf(uid, key) {
				e.schema.RequestSplit(j)
				e.HasOversizedRecord = true
			}
		}
	}
}
