package controller

import (
	"strings"

	"violetturn/internal/job"
)

type rangeID struct {
	uid   string
	index int
}

// recordEditor collects changes of jobs' records for one transaction.
type recordEditor struct {
	schema     *schemaState
	txn        *transaction
	jobs       map[string]*liveJob
	records    map[string]*job.Record
	ranges     map[rangeID]*job.TaskRange
	deletes    map[rangeID]bool
	changes    int  // changes so far
	maxChanges int  // changes at most
	outgrown   bool // some record outgrew a value: nothing of this is to be committed
}

func (s *schemaState) newRecordEditor() *recordEditor {
	return &recordEditor{
		schema:     s,
		txn:        newTransaction(),
		jobs:       map[string]*liveJob{},
		records:    map[string]*job.Record{},
		ranges:     map[rangeID]*job.TaskRange{},
		deletes:    map[rangeID]bool{},
		maxChanges: s.maxChanges(),
	}
}

// maxChanges is how many changes a transaction may have now: what the budget holds, so
// that one of many changes does not keep others waiting for as long as it takes
// to earn them, and at least as many as one step needs.
func (s *schemaState) maxChanges() int {
	const step = 4
	return min(s.transactionLimits().TxnOps, max(step, s.budget.Available()))
}

// record returns a copy of the job's main record to be changed.
func (e *recordEditor) record(j *liveJob) *job.Record {
	uid := j.record.Spec.UID
	m := e.records[uid]
	if m == nil {
		m = j.record.Copy()
		e.records[uid], e.jobs[uid] = m, j
		e.txn.require(jobPrefix+uid, j.version)
		e.changes++
	}
	return m
}

// taskRange returns a copy of a task range to be changed.
func (e *recordEditor) taskRange(j *liveJob, n int) *job.TaskRange {
	id := rangeID{uid: j.record.Spec.UID, index: n}
	ch := e.ranges[id]
	if ch == nil {
		ch = j.ranges[n].record.Copy()
		e.ranges[id], e.jobs[id.uid] = ch, j
		// The main record's version covers a gang's tasks and those of a job that is
		// being divided, wherever they are recorded.
		e.txn.require(jobPrefix+id.uid, j.version)
		if j.record.Inline || recordCoversTasks(j) {
			e.record(j)
		}
		if !j.record.Inline {
			e.txn.require(j.rangeRecord(n))
			e.changes++
		}
	}
	return ch
}

// recordCoversTasks reports whether the main record is written with every change of the job's
// tasks, so that its version is that of all of them: of a gang, and of a spread job
// that was divided, whose zones are counted over several task ranges. A transaction that is
// carried out late would otherwise place a task by an old count.
func recordCoversTasks(j *liveJob) bool {
	return isGang(j) || j.record.SpreadRangeSize > 0
}

// rangeCost is how many changes opening a task range adds.
func (e *recordEditor) rangeCost(j *liveJob, n int) int {
	uid := j.record.Spec.UID
	if e.ranges[rangeID{uid: uid, index: n}] != nil {
		return 0
	}
	k := 0
	if !j.record.Inline {
		k++
	}
	if (j.record.Inline || recordCoversTasks(j)) && e.records[uid] == nil {
		k++
	}
	return k
}

// deleteRange drops a task range's record of a job that is over.
func (e *recordEditor) deleteRange(j *liveJob, n int) {
	uid := j.record.Spec.UID
	e.txn.require(jobPrefix+uid, j.version)
	e.txn.require(j.rangeRecord(n))
	e.txn.delete(taskRangeKey(uid, j.record.Generation, n))
	e.changes++
}

// archive moves a job to the past.
func (e *recordEditor) archive(j *liveJob, p job.FinalState) {
	uid := j.record.Spec.UID
	e.record(j)
	e.records[uid] = nil
	e.txn.delete(jobPrefix + uid)
	e.txn.require(finalStatePrefix+uid, 0)
	e.txn.put(finalStatePrefix+uid, p)
	e.changes++
}

// transaction puts the changes into the transaction.
func (e *recordEditor) transaction() *transaction {
	for id, ch := range e.ranges {
		j, m := e.jobs[id.uid], e.records[id.uid]
		switch {
		case j.record.Inline:
			if m != nil { // not moved to the past
				m.InlineRange = ch
			}
		case e.deletes[id]:
			e.txn.delete(taskRangeKey(id.uid, j.record.Generation, id.index))
		default:
			e.txn.put(taskRangeKey(id.uid, j.record.Generation, id.index), ch)
		}
	}
	for uid, m := range e.records {
		if m != nil {
			e.txn.put(jobPrefix+uid, m)
		}
	}
	most := e.schema.maxRecordBytes()
	for uid, j := range e.jobs {
		for _, k := range e.txn.order {
			if len(e.txn.writes[k]) > most && (k == jobPrefix+uid || strings.HasPrefix(k, taskRangePrefix+uid+"/")) {
				e.schema.splitRequests[uid] = j.record.Generation + 1 // divided before it is changed again
				e.outgrown = true
			}
		}
	}
	return e.txn
}

// isFull reports whether more changes, besides so many others, would pass the
// limits of a transaction.
func (e *recordEditor) isFull(more, others int) bool {
	const guards, bytes = 4, 48 << 10 // of PROTOCOL's 4 preconditions for each change and 64 KiB
	f := e.schema.transactionLimits()
	each := 512.0 // bytes of a change and its guard, records aside
	size := 0.0
	for id, ch := range e.ranges {
		size += float64(64*len(ch.Placements) + len(ch.DoneBits))
		if e.jobs[id.uid].record.Inline {
			size += 768
		}
	}
	return e.changes+more+others > e.maxChanges || len(e.txn.preconditions)+2*more+others > guards*f.TxnOps ||
		size+each*float64(e.changes+more)+f.ValueKB*1024*float64(min(others, 2)) > bytes
}
