package decisions

import (
	"context"

	"violetturn/internal/store"
)

// refreshCapacityRecord writes an own shard's capacity record when its machines or their room have
// changed, at intervals: placements there write it anyway.
func (l *Loop) refreshCapacityRecord(ctx context.Context) (more bool) {
	state := l.guard.Lock()
	t := state.Capacity.RefreshTransaction(l.node.Now(), state.Scheduler.HasPendingTasks)
	l.guard.Unlock()
	if t == nil {
		return false
	}
	return l.commit(ctx, forCapacityRecords, t, store.PriorityDecision) == committed
}

// reclaimQuota takes back what shards hold of teams' limits and don't use, for teams
// that had too little for a placement.
func (l *Loop) reclaimQuota(ctx context.Context) {
	state := l.guard.Lock()
	t := state.Capacity.ReclaimTransaction(l.node.Now())
	l.guard.Unlock()
	if t == nil || !l.sync.MayActNow() {
		return
	}
	if l.commit(ctx, forQuotaShares, t, store.PriorityDecision) == committed {
		l.wake.Notify()
	}
}
