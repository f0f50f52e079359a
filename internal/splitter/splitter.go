package splitter

import (
	"time"

	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// preconditionsPerChange is how many preconditions a transaction may have for each change that it
// may have (PROTOCOL).
const preconditionsPerChange = 4

// unrequestedIntervals is how many decision intervals are between two splits that nobody waits
// for: they take a fraction of the changes.
const unrequestedIntervals = 8

// Splitter splits records that outgrow the limits, and collects what is left of them.
type Splitter struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table

	splitAt            time.Time // when a job was last picked that nobody waits for
	garbageCollectedAt time.Time
}

// New returns a splitter of the shards that leadership has this node lead.
func New(node *node.Info, cache *statecache.Cache, schema *schema.State, leadership *leadership.Table) *Splitter {
	return &Splitter{node: node, cache: cache, schema: schema, leadership: leadership}
}

// Step is the next step in splitting a job's records.
type Step struct {
	Transaction *statecache.Transaction // nil: the records can't be split further
	UID         string                  // of the job
	RangeSize   int                     // tasks of a task range after the split
	Last        bool                    // the job has its smaller records after this step
}

// NextStep returns the next step of a split, nil if there is nothing to split now. It is called
// only once all controllers read what a split makes (see schema.State.AllUpgraded).
func (s *Splitter) NextStep() *Step {
	j := s.nextJob()
	if j == nil {
		return nil
	}
	step := &Step{UID: j.Record.Spec.UID, RangeSize: j.Record.SplitSize(s.node.Settings.LowestLimits().ValueKB)}
	if !j.Record.Inline && step.RangeSize >= j.Record.RangeSize {
		// A record of the smallest task range is still too large: the job is left alone until it is over.
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
	if step.Transaction.Changes() == 0 { // all are copied
		split := j.Record.Copy()
		split.Split(step.RangeSize)
		step.Transaction.Put(key, split)
		step.Last = true
	}
	return step
}

// nextJob picks the next job to be split, nil if none is to be now. Those whose changes wait
// for it come first, then those whose split has begun; for the others there is time.
func (s *Splitter) nextJob() *statecache.Job {
	if requested := s.schema.SplitRequests(); len(requested) > 0 {
		return s.cache.Jobs[requested[0]]
	}
	now := s.node.Now()
	maxBytes := s.schema.MaxRecordBytes()
	paused := now.Sub(s.splitAt) < unrequestedIntervals*s.node.Settings.DecisionInterval()
	var oldest *statecache.Job
	for _, j := range s.cache.Jobs {
		if !s.leadership.Leads(j.Record.Shard) {
			continue
		}
		if j.Record.Frozen {
			return j
		}
		if paused || j.Record.Cancelled || oldest != nil && statecache.CompareAge(j, oldest) >= 0 {
			continue
		}
		if s.mustSplit(j, maxBytes) {
			oldest = j
		}
	}
	if oldest != nil {
		s.splitAt = now
	}
	return oldest
}

// mustSplit reports whether a job's records take more than so many bytes and can be made smaller.
func (s *Splitter) mustSplit(j *statecache.Job, maxBytes int) bool {
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

// copyRanges adds task ranges of the next generation that stand for a job's, those that are not
// there yet, until the transaction takes no more.
func (s *Splitter) copyRanges(t *statecache.Transaction, j *statecache.Job, size int) {
	for index := range j.Ranges {
		if !s.copyRange(t, j, index, size) {
			return
		}
	}
}

// copyRange adds the task ranges of the next generation that stand for one of a job's, those that
// are not there yet. It reports false when the transaction takes no more.
func (s *Splitter) copyRange(t *statecache.Transaction, j *statecache.Job, index, size int) bool {
	uid, perRange := j.Record.Spec.UID, j.Record.RangeSize/size
	key, version := j.RangeRecord(index)
	length := j.Record.RangeLen(index)
	limits := s.schema.TransactionLimits()
	for slice := 0; slice*size < length; slice++ {
		copyKey := statecache.RangeKey{Generation: j.Record.Generation + 1, Index: index*perRange + slice}
		old := s.cache.TaskRanges[uid][copyKey]
		if old.Record != nil && old.Version > max(version, j.Version) {
			continue // copied from what there is
		}
		if t.Changes() >= limits.TxnOps || t.Preconditions() >= preconditionsPerChange*limits.TxnOps-1 {
			return false
		}
		t.Require(key, version)
		tasks := j.Ranges[index].Record.Slice(slice*size, min(size, length-slice*size))
		t.Put(statecache.TaskRangeKey(uid, copyKey.Generation, copyKey.Index), tasks)
	}
	return true
}
