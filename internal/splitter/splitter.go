package splitter

import (
	"time"

	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// canSplit reports whether a job's records take more than the coming limits allow and can
// be made smaller.
func (sp *Splitter) canSplit(j *statecache.Job, most int) bool {
	m := j.Record
	if !m.Inline && m.RangeSize <= job.TaskRangeSize(sp.node.Settings.LowestLimits().ValueKB) {
		return false
	}
	if j.Size > most && m.Inline {
		return true
	}
	for _, ch := range j.Ranges {
		if !m.Inline && ch.Size > most {
			return true
		}
	}
	return false
}

// NextToSplit picks the next job to be divided, nil if none is to be now. Those that
// wait for it come first; for the others there is time, and a fraction of the changes.
func (sp *Splitter) NextToSplit() *statecache.Job {
	most := sp.schema.MaxRecordBytes()
	now := sp.node.Now()
	paced := now.Sub(sp.splitAt) < 8*sp.node.Settings.DecisionInterval()
	var other *statecache.Job
	if requested := sp.schema.SplitRequests(); len(requested) > 0 {
		return sp.cache.Jobs[requested[0]]
	}
	for _, j := range sp.cache.Jobs {
		if !sp.leadership.Leads(j.Record.Shard) {
			continue
		}
		if j.Record.Frozen {
			return j
		}
		if !paced && (other == nil || statecache.CompareAge(j, other) < 0) && !j.Record.Cancelled && sp.canSplit(j, most) {
			other = j
		}
	}
	if other != nil {
		sp.splitAt = now
	}
	return other
}

// CopyRange adds small task ranges of the next generation that stand for a task range, those that
// are not there yet. It is false when the transaction takes no more.
func (sp *Splitter) CopyRange(t *statecache.Transaction, j *statecache.Job, n int, ch statecache.Versioned[job.TaskRange], k int) bool {
	uid, each := j.Record.Spec.UID, j.Record.RangeSize/k
	key, version := j.RangeRecord(n)
	length := j.Record.RangeLen(n)
	for s := 0; s*k < length; s++ {
		rec := statecache.RangeKey{Generation: j.Record.Generation + 1, Index: n*each + s}
		old := sp.cache.TaskRanges[uid][rec]
		if old.Record != nil && old.Version > max(version, j.Version) {
			continue // copied from what there is
		}
		l := sp.schema.TransactionLimits()
		if t.Changes() >= l.TxnOps || t.Preconditions() >= 4*l.TxnOps-1 {
			return false
		}
		t.Require(key, version)
		t.Put(statecache.TaskRangeKey(uid, rec.Generation, rec.Index), ch.Record.Slice(s*k, min(k, length-s*k)))
	}
	return true
}

// Splitter splits records that outgrow the limits, and collects what is left of them.
type Splitter struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table

	splitAt, GarbageCollectedAt time.Time
}

// New returns a splitter of the shards that leadership has this node lead.
func New(node *node.Info, cache *statecache.Cache, schema *schema.State, leadership *leadership.Table) *Splitter {
	return &Splitter{node: node, cache: cache, schema: schema, leadership: leadership}
}
