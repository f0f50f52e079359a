package splitter

import (
	"time"

	"violetturn/internal/statecache"
)

// IsGarbageCollectionDue reports whether garbage is to be collected: now and then, since nothing waits for
// it.
func (s *Splitter) IsGarbageCollectionDue(now time.Time) bool {
	return now.Sub(s.garbageCollectedAt) >= s.node.Settings.WorkerLease()/4
}

// RecordGarbageCollection notes a collection that began at a time.
func (s *Splitter) RecordGarbageCollection(began time.Time) { s.garbageCollectedAt = began }

// GarbageTransaction returns a transaction that deletes records of task ranges that no longer
// count, as many as it takes: of an earlier generation of their job, or of a job that is over.
// Nil if there are none.
func (s *Splitter) GarbageTransaction() *statecache.Transaction {
	t := statecache.NewTransaction()
	for uid, ranges := range s.cache.TaskRanges {
		if !s.collectsGarbageOf(s.cache.Jobs[uid]) {
			continue
		}
		for key, taskRange := range ranges {
			if s.isFull(t) {
				break
			}
			s.deleteGarbage(t, uid, key, taskRange.Version)
		}
	}
	if t.Changes() == 0 {
		return nil
	}
	return t
}

// deletePreconditions is how many preconditions the deletion of a task range takes at most.
const deletePreconditions = 2

// isFull reports whether a transaction takes no other deletion.
func (s *Splitter) isFull(t *statecache.Transaction) bool {
	limits := s.schema.TransactionLimits()
	return t.Changes() >= limits.TxnOps || t.Preconditions()+deletePreconditions > preconditionsPerChange*limits.TxnOps
}

// collectsGarbageOf reports whether this node collects the garbage of a job: it leads the job's
// shard, or the first shard for a job that is over, which is nil here.
func (s *Splitter) collectsGarbageOf(j *statecache.Job) bool {
	if j == nil {
		return s.leadership.Leads(s.node.Shards[0])
	}
	return s.leadership.Leads(j.Record.Shard)
}

// deleteGarbage deletes the record of a task range, unless it belongs to its job as that is, or
// will be after the split under way.
func (s *Splitter) deleteGarbage(t *statecache.Transaction, uid string, key statecache.RangeKey, version uint64) {
	j := s.cache.Jobs[uid]
	if j == nil {
		t.Require(statecache.JobKey(uid), 0)
	} else if key.Generation > j.Record.Generation || key.Generation == j.Record.Generation && !j.Record.Inline {
		return
	}
	recordKey := statecache.TaskRangeKey(uid, key.Generation, key.Index)
	t.Require(recordKey, version)
	t.Delete(recordKey)
}
