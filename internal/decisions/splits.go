package decisions

import (
	"context"

	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// splitStep is the next step in splitting a job's records.
type splitStep struct {
	transaction *statecache.Transaction // nil: the records can't be split further
	uid         string
	rangeSize   int  // tasks of a range after the split
	last        bool // the job has its smaller records after this step
}

// splitRecords takes the next step in splitting a job's records; if there is none to split it
// collects garbage. It reports whether there is more to split.
func (l *Loop) splitRecords(ctx context.Context) (more bool) {
	state := l.guard.Lock()
	if !state.Schema.Upgraded() {
		l.guard.Unlock()
		return false
	}
	step := planSplitStep(state, l.node.Settings.LowestLimits().ValueKB)
	l.guard.Unlock()
	if step == nil {
		return l.collectGarbage(ctx)
	}
	if step.transaction == nil {
		l.node.Log.Error("record can't be split further", "job", step.uid)
		return false
	}
	result := l.commit(ctx, forSplits, step.transaction, store.PriorityDecision)
	if result == committed && step.last {
		l.node.Log.Info("job records split", "job", step.uid, "range_size", step.rangeSize)
		l.wake.Notify()
	}
	return result.settled()
}

// planSplitStep returns the next step of a split into records of values of so many KiB, nil if
// there is nothing to split now.
func planSplitStep(s *state.State, valueKB float64) *splitStep {
	j := s.Splitter.NextToSplit()
	if j == nil {
		return nil
	}
	record := j.Record
	step := &splitStep{uid: record.Spec.UID, rangeSize: record.SplitSize(valueKB)}
	if !record.Inline && step.rangeSize >= record.RangeSize {
		// A record of the smallest task range is still too large: the job is left alone until it is over.
		s.Schema.WithdrawSplit(step.uid)
		return step
	}
	key := statecache.JobKey(step.uid)
	step.transaction = statecache.NewTransaction()
	step.transaction.Require(key, j.Version)
	if !record.Inline && !record.Frozen {
		frozen := record.Copy()
		frozen.Frozen = true
		step.transaction.Put(key, frozen)
		return step
	}
	for n, taskRange := range j.Ranges {
		if !s.Splitter.CopyRange(step.transaction, j, n, taskRange, step.rangeSize) {
			break
		}
	}
	if step.transaction.Changes() == 0 { // all task ranges are copied
		split := record.Copy()
		split.Split(step.rangeSize)
		step.transaction.Put(key, split)
		step.last = true
	}
	return step
}

// collectGarbage drops records of task ranges that no longer count: of an earlier split of
// their job, or of a job that is over. Nothing waits for it.
func (l *Loop) collectGarbage(ctx context.Context) (more bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	if now.Sub(state.Splitter.GarbageCollectedAt) < l.node.Settings.WorkerLease()/4 {
		l.guard.Unlock()
		return false
	}
	t := planGarbage(state, l.node.Shards[0])
	l.guard.Unlock()
	if t.Changes() == 0 {
		return false
	}
	l.commit(ctx, forGarbage, t, store.PrioritySubmission) // what fails is found again next time
	state = l.guard.Lock()
	state.Splitter.GarbageCollectedAt = now
	l.guard.Unlock()
	return false
}

// preconditionsPerChange is how many preconditions a transaction may have for each change that it
// may have (PROTOCOL).
const preconditionsPerChange = 4

// planGarbage deletes task ranges that no longer count, as many as a transaction takes.
func planGarbage(s *state.State, firstShard string) *statecache.Transaction {
	t := statecache.NewTransaction()
	limits := s.Schema.TransactionLimits()
	for uid, ranges := range s.Cache.TaskRanges {
		j := s.Cache.Jobs[uid]
		if !collectsGarbageOf(s, j, firstShard) {
			continue
		}
		for key, taskRange := range ranges {
			if t.Changes() >= limits.TxnOps || t.Preconditions()+2 > preconditionsPerChange*limits.TxnOps {
				break
			}
			if stillCounts(j, key) {
				continue
			}
			if j == nil {
				t.Require(statecache.JobKey(uid), 0)
			}
			name := statecache.TaskRangeKey(uid, key.Generation, key.Index)
			t.Require(name, taskRange.Version)
			t.Delete(name)
		}
	}
	return t
}

// collectsGarbageOf reports whether this node collects the garbage of a job: it leads the job's
// shard, or of a job that is over, which has none, the first shard.
func collectsGarbageOf(s *state.State, j *statecache.Job, firstShard string) bool {
	if j == nil {
		return s.Leadership.Leads(firstShard)
	}
	return s.Leadership.Leads(j.Record.Shard)
}

// stillCounts reports whether a task range's record belongs to its job as it is, or will after
// the split under way. The job is nil if it is over.
func stillCounts(j *statecache.Job, key statecache.RangeKey) bool {
	if j == nil {
		return false
	}
	return key.Generation > j.Record.Generation || key.Generation == j.Record.Generation && !j.Record.Inline
}
