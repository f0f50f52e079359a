package schema

import (
	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// RangeID names a task range by its job and its index there.
type RangeID struct {
	UID   string
	Index int
}

// Editor collects changes of jobs' records for one transaction.
type Editor struct {
	schema     *State
	Txn        *statecache.Transaction
	jobs       map[string]*statecache.Job
	Records    map[string]*job.Record
	ranges     map[RangeID]*job.TaskRange
	Deletes    map[RangeID]bool
	Changes    int  // changes so far
	MaxChanges int  // changes at most
	Outgrown   bool // some record outgrew a value: nothing of this is to be committed
}

// NewRecordEditor returns an editor without changes, which takes as many as the budget holds now.
func (s *State) NewRecordEditor() *Editor {
	return &Editor{
		schema:     s,
		Txn:        statecache.NewTransaction(),
		jobs:       map[string]*statecache.Job{},
		Records:    map[string]*job.Record{},
		ranges:     map[RangeID]*job.TaskRange{},
		Deletes:    map[RangeID]bool{},
		MaxChanges: s.MaxChanges(),
	}
}

// MaxChanges is how many changes a transaction may have now: what the budget holds, so
// that one of many changes does not keep others waiting for as long as it takes
// to earn them, and at least as many as one step needs.
func (s *State) MaxChanges() int {
	const step = 4
	return min(s.TransactionLimits().TxnOps, max(step, s.budget.Available()))
}

// Record returns a copy of the job's main record to be changed.
func (e *Editor) Record(j *statecache.Job) *job.Record {
	uid := j.Record.Spec.UID
	m := e.Records[uid]
	if m == nil {
		m = j.Record.Copy()
		e.Records[uid], e.jobs[uid] = m, j
		e.Txn.Require(statecache.JobKey(uid), j.Version)
		e.Changes++
	}
	return m
}

// TaskRange returns a copy of a task range to be changed.
func (e *Editor) TaskRange(j *statecache.Job, n int) *job.TaskRange {
	id := RangeID{UID: j.Record.Spec.UID, Index: n}
	ch := e.ranges[id]
	if ch == nil {
		ch = j.Ranges[n].Record.Copy()
		e.ranges[id], e.jobs[id.UID] = ch, j
		// The main record's version covers a gang's tasks and those of a job that is
		// being divided, wherever they are recorded.
		e.Txn.Require(statecache.JobKey(id.UID), j.Version)
		if j.Record.Inline || j.RecordCoversTasks() {
			e.Record(j)
		}
		if !j.Record.Inline {
			e.Txn.Require(j.RangeRecord(n))
			e.Changes++
		}
	}
	return ch
}

// RangeCost is how many changes opening a task range adds.
func (e *Editor) RangeCost(j *statecache.Job, n int) int {
	uid := j.Record.Spec.UID
	if e.ranges[RangeID{UID: uid, Index: n}] != nil {
		return 0
	}
	k := 0
	if !j.Record.Inline {
		k++
	}
	if (j.Record.Inline || j.RecordCoversTasks()) && e.Records[uid] == nil {
		k++
	}
	return k
}

// DeleteRange drops a task range's record of a job that is over.
func (e *Editor) DeleteRange(j *statecache.Job, n int) {
	uid := j.Record.Spec.UID
	e.Txn.Require(statecache.JobKey(uid), j.Version)
	e.Txn.Require(j.RangeRecord(n))
	e.Txn.Delete(statecache.TaskRangeKey(uid, j.Record.Generation, n))
	e.Changes++
}

// Archive moves a job to the past.
func (e *Editor) Archive(j *statecache.Job, p job.FinalState) {
	uid := j.Record.Spec.UID
	e.Record(j)
	e.Records[uid] = nil
	e.Txn.Delete(statecache.JobKey(uid))
	e.Txn.Require(statecache.FinalStateKey(uid), 0)
	e.Txn.Put(statecache.FinalStateKey(uid), p)
	e.Changes++
}

// Transaction puts the changes into the transaction.
func (e *Editor) Transaction() *statecache.Transaction {
	for id, ch := range e.ranges {
		j, m := e.jobs[id.UID], e.Records[id.UID]
		switch {
		case j.Record.Inline:
			if m != nil { // not moved to the past
				m.InlineRange = ch
			}
		case e.Deletes[id]:
			e.Txn.Delete(statecache.TaskRangeKey(id.UID, j.Record.Generation, id.Index))
		default:
			e.Txn.Put(statecache.TaskRangeKey(id.UID, j.Record.Generation, id.Index), ch)
		}
	}
	for uid, m := range e.Records {
		if m != nil {
			e.Txn.Put(statecache.JobKey(uid), m)
		}
	}
	most := e.schema.MaxRecordBytes()
	for uid, j := range e.jobs {
		for _, key := range e.Txn.Keys() {
			if e.Txn.Size(key) > most && statecache.IsRecordOf(uid, key) {
				e.schema.SplitRequests[uid] = j.Record.Generation + 1 // divided before it is changed again
				e.Outgrown = true
			}
		}
	}
	return e.Txn
}

// IsFull reports whether more changes, besides so many others, would pass the
// limits of a transaction.
func (e *Editor) IsFull(more, others int) bool {
	const guards, bytes = 4, 48 << 10 // of PROTOCOL's 4 preconditions for each change and 64 KiB
	f := e.schema.TransactionLimits()
	each := 512.0 // bytes of a change and its guard, records aside
	size := 0.0
	for id, ch := range e.ranges {
		size += float64(64*len(ch.Placements) + len(ch.DoneBits))
		if e.jobs[id.UID].Record.Inline {
			size += 768
		}
	}
	return e.Changes+more+others > e.MaxChanges || e.Txn.Preconditions()+2*more+others > guards*f.TxnOps ||
		size+each*float64(e.Changes+more)+f.ValueKB*1024*float64(min(others, 2)) > bytes
}

// StopTask marks a task to leave its machine; of a gang all tasks leave, and save together.
func (e *Editor) StopTask(j *statecache.Job, v *statecache.PlacedTask) {
	if j.IsGang() {
		e.Record(j).Gang.Stopping = true
		return
	}
	e.TaskRange(j, v.RangeIndex).Placements[v.Index].Stopping = true
}

// StopCost is how many changes that adds.
func (e *Editor) StopCost(j *statecache.Job, v *statecache.PlacedTask) int {
	switch {
	case !j.IsGang():
		return e.RangeCost(j, v.RangeIndex)
	case e.Records[j.Record.Spec.UID] != nil:
		return 0
	}
	return 1
}
