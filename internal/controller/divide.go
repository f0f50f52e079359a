package controller

import (
	"context"
	"maps"
	"slices"

	"violetturn/internal/job"
	"violetturn/internal/store"
)

// Records that the version before made for larger values can't be rewritten once the
// limits have come down. So a job's tasks are divided into smaller task ranges, in steps
// each of which is safe alone:
//
//  1. A job whose tasks have records of their own is frozen by a write of its main
//     record. Every placement and every end is committed under a precondition on that
//     record, so those on their way fail and no new ones are made. (A job whose tasks
//     are inside its main record needs no such step: its version covers them.)
//  2. The small task ranges are written under keys of the next generation, which nobody
//     reads yet, each under a precondition on the main record and on what it was copied
//     from. One whose version is above both was copied from what there is.
//  3. One write of the main record makes them the job's task ranges.
//
// What was written by a late transaction after the first step changes only records
// that no longer count. The old records are dropped when there is time.

// isBlocked reports whether a job's tasks may not change now: it is being divided, or has
// to be before its records can grow.
func (s *schemaState) isBlocked(j *liveJob) bool {
	return j.record.Frozen || s.splitRequests[j.record.Spec.UID] == j.record.Generation+1
}

// canSplit reports whether a job's records take more than the coming limits allow and can
// be made smaller.
func (sp *recordSplitter) canSplit(j *liveJob, most int) bool {
	m := j.record
	if !m.Inline && m.RangeSize <= job.TaskRangeSize(sp.node.settings.LowestLimits().ValueKB) {
		return false
	}
	if j.size > most && m.Inline {
		return true
	}
	for _, ch := range j.ranges {
		if !m.Inline && ch.size > most {
			return true
		}
	}
	return false
}

// nextToSplit picks the next job to be divided, nil if none is to be now. Those that
// wait for it come first; for the others there is time, and a fraction of the changes.
func (sp *recordSplitter) nextToSplit() *liveJob {
	most := sp.schema.maxRecordBytes()
	now := sp.node.now()
	paced := now.Sub(sp.splitAt) < 8*sp.node.settings.DecisionInterval()
	var other *liveJob
	for _, uid := range slices.Sorted(maps.Keys(sp.schema.splitRequests)) {
		j := sp.cache.jobs[uid]
		if j == nil || sp.schema.splitRequests[uid] != j.record.Generation+1 {
			delete(sp.schema.splitRequests, uid)
			continue
		}
		return j
	}
	for _, j := range sp.cache.jobs {
		if sp.leadership.of(j.record.Shard) == nil {
			continue
		}
		if j.record.Frozen {
			return j
		}
		if !paced && (other == nil || compareAge(j, other) < 0) && !j.record.Cancelled && sp.canSplit(j, most) {
			other = j
		}
	}
	if other != nil {
		sp.splitAt = now
	}
	return other
}

// splitRecords takes the next step in dividing a job. It reports whether there is more.
func (c *Controller) splitRecords(ctx context.Context) bool {
	state := c.guard.Lock()
	if !state.schema.upgraded() {
		c.guard.Unlock()
		return false
	}
	j := state.splitter.nextToSplit()
	if j == nil {
		c.guard.Unlock()
		return c.collectGarbage(ctx)
	}
	m, uid := j.record, j.record.Spec.UID
	k := m.SplitSize(c.node.settings.LowestLimits().ValueKB)
	t := newTransaction()
	t.require(jobPrefix+uid, j.version)
	over := false
	switch {
	case !m.Inline && k >= m.RangeSize:
		// It can't be: a record of the smallest task range still is too large. It is told
		// and left alone until it is over.
		c.node.log.Error("record can't be split further", "job", uid)
		delete(state.schema.splitRequests, uid)
		c.guard.Unlock()
		return false
	case !m.Inline && !m.Frozen:
		x := m.Copy()
		x.Frozen = true
		t.put(jobPrefix+uid, x)
	default:
		for n, ch := range j.ranges {
			if !state.splitter.copyRange(t, j, n, ch, k) {
				break
			}
		}
		if t.changes() == 0 {
			x := m.Copy()
			x.Split(k)
			t.put(jobPrefix+uid, x)
			over = true
		}
	}
	c.guard.Unlock()
	done, _, err := c.commit(ctx, "divided", t, store.PriorityDecision)
	if done && over {
		c.node.log.Info("job records split", "job", uid, "range_size", k)
		c.wake.notify()
	}
	return done || err == nil
}

// copyRange adds small task ranges of the next generation that stand for a task range, those that
// are not there yet. It is false when the transaction takes no more.
func (sp *recordSplitter) copyRange(t *transaction, j *liveJob, n int, ch cached[job.TaskRange], k int) bool {
	uid, each := j.record.Spec.UID, j.record.RangeSize/k
	key, version := j.rangeRecord(n)
	length := j.record.RangeLen(n)
	for s := 0; s*k < length; s++ {
		rec := rangeGeneration{generation: j.record.Generation + 1, index: n*each + s}
		old := sp.cache.taskRanges[uid][rec]
		if old.record != nil && old.version > max(version, j.version) {
			continue // copied from what there is
		}
		l := sp.schema.transactionLimits()
		if t.changes() >= l.TxnOps || len(t.preconditions) >= 4*l.TxnOps-1 {
			return false
		}
		t.require(key, version)
		t.put(taskRangeKey(uid, rec.generation, rec.index), ch.record.Slice(s*k, min(k, length-s*k)))
	}
	return true
}

// collectGarbage drops records of task ranges that no longer count: of an earlier division of
// their job, or of a job that is over. Nothing waits for it.
func (c *Controller) collectGarbage(ctx context.Context) bool {
	now := c.node.now()
	state := c.guard.Lock()
	if now.Sub(state.splitter.garbageCollectedAt) < c.node.settings.WorkerLease()/4 {
		c.guard.Unlock()
		return false
	}
	t := newTransaction()
	l := state.schema.transactionLimits()
	for uid, recs := range state.cache.taskRanges {
		j := state.cache.jobs[uid]
		if j != nil && state.leadership.of(j.record.Shard) == nil || j == nil && state.leadership.of(c.node.shards[0]) == nil {
			continue
		}
		for rec, ch := range recs {
			if t.changes() >= l.TxnOps || len(t.preconditions)+2 > 4*l.TxnOps {
				break
			}
			if j != nil && (rec.generation >= j.record.Generation && !j.record.Inline || rec.generation > j.record.Generation) {
				continue
			}
			if j == nil {
				t.require(jobPrefix+uid, 0)
			}
			key := taskRangeKey(uid, rec.generation, rec.index)
			t.require(key, ch.version)
			t.delete(key)
		}
	}
	c.guard.Unlock()
	if t.changes() == 0 {
		return false
	}
	_, _, _ = c.commit(ctx, "swept", t, store.PrioritySubmission)
	state.splitter.garbageCollectedAt = now
	return false
}
