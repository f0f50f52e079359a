package splitter

import (
	"time"

	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// preconditionsPerWrite is the state service's limit on the preconditions of a transaction, as a
// multiple of its limit on the number of writes (PROTOCOL).
const preconditionsPerWrite = 4

// backgroundSplitIntervals is the minimum number of decision intervals between the starts of two
// splits that were not requested. No other write waits for these splits, so they may use only a
// fraction of the write budget.
const backgroundSplitIntervals = 8

// Splitter splits records that exceed the size limits and deletes the records that a split
// replaces.
type Splitter struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table

	lastBackgroundSplit   time.Time // when nextJob last chose a job whose split was not requested
	lastGarbageCollection time.Time
}

// New returns a splitter for the jobs of the shards that this controller leads according to
// leadership.
func New(node *node.Info, cache *statecache.Cache, schema *schema.State, leadership *leadership.Table) *Splitter {
	return &Splitter{node: node, cache: cache, schema: schema, leadership: leadership}
}

// Step is the next step in splitting a job's records.
type Step struct {
	Transaction *statecache.Transaction // nil if the records can't be split further
	UID         string                  // of the job
	RangeSize   int                     // number of tasks in a task range after the split
	Last        bool                    // this step completes the split
}

// NextStep returns the next step of a split, nil if there is nothing to split now. It may be called
// only once all controllers read the records of a split job (see schema.State.AllUpgraded).
func (s *Splitter) NextStep() *Step {
	j := s.nextJob()
	if j == nil {
		return nil
	}
	step := &Step{UID: j.Record.Spec.UID, RangeSize: j.Record.SplitSize(s.node.Settings.LowestLimits().ValueKB)}
	if !j.Record.Inline && step.RangeSize >= j.Record.RangeSize {
		// A record would be too large even with the smallest task ranges: the job keeps its records
		// until it is finished.
		s.schema.CancelSplitRequest(step.UID)
		return step
	}
	key := statecache.JobKey(step.UID)
	step.Transaction = statecache.NewTransaction()
	step.Transaction.Require(key, j.Version)
	if !j.Record.Inline && !j.Record.Frozen {
		frozen := j.Record.Copy()
		frozen.Frozen = true
		step.Transaction.Put(key, frozen)
		return step
	}
	s.copyRanges(step.Transaction, j, step.RangeSize)
	if step.Transaction.Writes() == 0 { // all task ranges are copied
		split := j.Record.Copy()
		split.Split(step.RangeSize)
		step.Transaction.Put(key, split)
		step.Last = true
	}
	return step
}

// nextJob returns the next job to split, nil if there is none now. Jobs with a requested split come
// first, because writes wait for it, then those whose split has begun, then the oldest of the other
// jobs with oversized records, at most one every backgroundSplitIntervals decision intervals.
func (s *Splitter) nextJob() *statecache.Job {
	if requested := s.schema.SplitRequests(); len(requested) > 0 {
		return s.cache.Jobs[requested[0]]
	}
	now := s.node.Now()
	maxBytes := s.schema.MaxRecordBytes()
	backgroundSplitDelayed := now.Sub(s.lastBackgroundSplit) < backgroundSplitIntervals*s.node.Settings.DecisionInterval()
	var oldest *statecache.Job
	for _, j := range s.cache.Jobs {
		if !s.leadership.Leads(j.Record.Shard) {
			continue
		}
		if j.Record.Frozen {
			return j
		}
		if backgroundSplitDelayed || j.Record.Cancelled || oldest != nil && statecache.CompareAge(j, oldest) >= 0 {
			continue
		}
		if s.needsSplit(j, maxBytes) {
			oldest = j
		}
	}
	if oldest != nil {
		s.lastBackgroundSplit = now
	}
	return oldest
}

// needsSplit reports whether a record of the job has more than maxBytes bytes and can be made
// smaller.
func (s *Splitter) needsSplit(j *statecache.Job, maxBytes int) bool {
	if j.Record.Inline {
		return j.Size > maxBytes
	}
	if j.Record.RangeSize <= job.TaskRangeSize(s.node.Settings.LowestLimits().ValueKB) {
		return false
	}
	for _, taskRange := range j.Ranges {
		if taskRange.Size > maxBytes {
			return true
		}
	}
	return false
}

// copyRanges adds writes of the job's task ranges of the next generation to the transaction, those
// that aren't up to date yet, until the transaction is full.
func (s *Splitter) copyRanges(t *statecache.Transaction, j *statecache.Job, size int) {
	for index := range j.Ranges {
		if !s.copyRange(t, j, index, size) {
			return
		}
	}
}

// copyRange adds writes of the task ranges of the next generation that replace one task range of the
// job, those that aren't up to date yet. It returns false if the transaction is full.
func (s *Splitter) copyRange(t *statecache.Transaction, j *statecache.Job, index, size int) bool {
	uid, slicesPerRange := j.Record.Spec.UID, j.Record.RangeSize/size
	key, version := j.RangeRecord(index)
	length := j.Record.RangeLen(index)
	limits := s.schema.TransactionLimits()
	for slice := 0; slice*size < length; slice++ {
		destination := statecache.RangeKey{Generation: j.Record.Generation + 1, Index: index*slicesPerRange + slice}
		existing := s.cache.TaskRanges[uid][destination]
		if existing.Record != nil && existing.Version > max(version, j.Version) {
			continue // it has the current contents
		}
		if t.Writes() >= limits.TxnOps || t.Preconditions() >= preconditionsPerWrite*limits.TxnOps-1 {
			return false
		}
		t.Require(key, version)
		tasks := j.Ranges[index].Record.Slice(slice*size, min(size, length-slice*size))
		t.Put(statecache.TaskRangeKey(uid, destination.Generation, destination.Index), tasks)
		if t.Bytes() > statecache.MaxTransactionBytes {
			return false
		}
	}
	return true
}
