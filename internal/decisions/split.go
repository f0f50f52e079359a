package decisions

import (
	"context"

	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// splitRecords takes the next step in dividing a job. It reports whether there is more.
func (d *Loop) splitRecords(ctx context.Context) bool {
	state := d.guard.Lock()
	if !state.Schema.Upgraded() {
		d.guard.Unlock()
		return false
	}
	j := state.Splitter.NextToSplit()
	if j == nil {
		d.guard.Unlock()
		return d.collectGarbage(ctx)
	}
	m, uid := j.Record, j.Record.Spec.UID
	k := m.SplitSize(d.node.Settings.LowestLimits().ValueKB)
	t := statecache.NewTransaction()
	t.Require(statecache.JobKey(uid), j.Version)
	over := false
	switch {
	case !m.Inline && k >= m.RangeSize:
		// It can't be: a record of the smallest task range still is too large. It is told
		// and left alone until it is over.
		d.node.Log.Error("record can't be split further", "job", uid)
		state.Schema.WithdrawSplit(uid)
		d.guard.Unlock()
		return false
	case !m.Inline && !m.Frozen:
		x := m.Copy()
		x.Frozen = true
		t.Put(statecache.JobKey(uid), x)
	default:
		for n, ch := range j.Ranges {
			if !state.Splitter.CopyRange(t, j, n, ch, k) {
				break
			}
		}
		if t.Changes() == 0 {
			x := m.Copy()
			x.Split(k)
			t.Put(statecache.JobKey(uid), x)
			over = true
		}
	}
	d.guard.Unlock()
	done, _, err := d.sync.Commit(ctx, "divided", t, store.PriorityDecision)
	if done && over {
		d.node.Log.Info("job records split", "job", uid, "range_size", k)
		d.wake.Notify()
	}
	return done || err == nil
}

// collectGarbage drops records of task ranges that no longer count: of an earlier division of
// their job, or of a job that is over. Nothing waits for it.
func (d *Loop) collectGarbage(ctx context.Context) bool {
	now := d.node.Now()
	state := d.guard.Lock()
	if now.Sub(state.Splitter.GarbageCollectedAt) < d.node.Settings.WorkerLease()/4 {
		d.guard.Unlock()
		return false
	}
	t := statecache.NewTransaction()
	l := state.Schema.TransactionLimits()
	for uid, recs := range state.Cache.TaskRanges {
		j := state.Cache.Jobs[uid]
		if j != nil && !state.Leadership.Leads(j.Record.Shard) || j == nil && !state.Leadership.Leads(d.node.Shards[0]) {
			continue
		}
		for rec, ch := range recs {
			if t.Changes() >= l.TxnOps || t.Preconditions()+2 > 4*l.TxnOps {
				break
			}
			if j != nil && (rec.Generation >= j.Record.Generation && !j.Record.Inline || rec.Generation > j.Record.Generation) {
				continue
			}
			if j == nil {
				t.Require(statecache.JobKey(uid), 0)
			}
			key := statecache.TaskRangeKey(uid, rec.Generation, rec.Index)
			t.Require(key, ch.Version)
			t.Delete(key)
		}
	}
	d.guard.Unlock()
	if t.Changes() == 0 {
		return false
	}
	_, _, _ = d.sync.Commit(ctx, "swept", t, store.PrioritySubmission)
	state.Splitter.GarbageCollectedAt = now
	return false
}
