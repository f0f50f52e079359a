package splitter

import (
	"time"

	"violetturn/internal/statecache"
)

// IsGarbageCollectionDue reports whether garbage is to be collected: a quarter of a worker's lease
// after the last collection. Nothing waits for a collection, so it need not run more often.
func (s *Splitter) IsGarbageCollectionDue(now time.Time) bool {
	return now.Sub(s.lastGarbageCollection) >= s.node.Settings.WorkerLease()/4
}

// RecordGarbageCollection records that garbage was collected, in a run that started at the given time.
func (s *Splitter) RecordGarbageCollection(startedAt time.Time) { s.lastGarbageCollection = startedAt }

// GarbageTransaction returns a transaction that deletes unused records of task ranges, as many as
// fit into it, or nil if there are none. A record is unused if its job is finished, has a later
// generation of task ranges, or keeps the tasks of this generation in its main record.
func (s *Splitter) GarbageTransaction() *statecache.Transaction {
	t := statecache.NewTransaction()
	for uid, ranges := range s.cache.TaskRanges {
		if !s.isGarbageCollectorOf(s.cache.Jobs[uid]) {
			continue
		}
		for key, taskRange := range ranges {
			if s.isFull(t) {
				break
			}
			s.deleteGarbage(t, uid, key, taskRange.Version)
		}
	}
	if t.Writes() == 0 {
		return nil
	}
	return t
}

// maxPreconditionsPerDelete is the highest number of preconditions that the deletion of a task range
// adds.
const maxPreconditionsPerDelete = 2

// isFull reports whether no other deletion fits into a transaction.
func (s *Splitter) isFull(t *statecache.Transaction) bool {
	limits := s.schema.TransactionLimits()
	return t.Writes() >= limits.TxnOps || t.Preconditions()+maxPreconditionsPerDelete > preconditionsPerWrite*limits.TxnOps
}

// isGarbageCollectorOf reports whether this controller deletes the garbage of a job: whether it
// leads the job's shard or, for a finished job (j is nil), the first shard.
func (s *Splitter) isGarbageCollectorOf(j *statecache.Job) bool {
	if j == nil {
		return s.leadership.Leads(s.node.Shards[0])
	}
	return s.leadership.Leads(j.Record.Shard)
}

// deleteGarbage adds the deletion of a task range's record to the transaction, unless the job uses
// the record or will use it after the split in progress.
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
