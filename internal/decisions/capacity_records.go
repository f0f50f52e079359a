package decisions

import (
	"context"

	"violetturn/internal/store"
)

// refreshCapacityRecord writes the capacity record of a shard that this controller leads, after the
// shard's machines or their free capacity have changed. It does so at intervals only, since
// placements in the shard write the record anyway.
func (l *Loop) refreshCapacityRecord(ctx context.Context) (more bool) {
	state := l.guard.Lock()
	transaction := state.Accounting.RefreshTransaction(l.node.Now(), state.Scheduler.HasPendingTasks)
	l.guard.Unlock()
	if transaction == nil {
		return false
	}
	return l.commit(ctx, purposeCapacityRecords, transaction, store.PriorityDecision) == committed
}

// reclaimQuota reclaims unused quota that shards hold, for teams whose share was too small for a
// placement.
func (l *Loop) reclaimQuota(ctx context.Context) {
	state := l.guard.Lock()
	transaction := state.Accounting.ReclaimTransaction(l.node.Now())
	l.guard.Unlock()
	if transaction == nil || !l.sync.MayActNow() {
		return
	}
	if l.commit(ctx, purposeQuotaShares, transaction, store.PriorityDecision) == committed {
		l.wake.Notify()
	}
}
