package decisions

import (
	"context"

	"violetturn/internal/store"
)

// splitRecords takes the next step in splitting a job's records; if there is none it collects
// garbage. It reports whether there is more to split.
func (l *Loop) splitRecords(ctx context.Context) (more bool) {
	state := l.guard.Lock()
	if !state.Schema.AllUpgraded() {
		l.guard.Unlock()
		return false
	}
	step := state.Splitter.NextStep()
	l.guard.Unlock()
	if step == nil {
		l.collectGarbage(ctx)
		return false
	}
	if step.Transaction == nil {
		l.node.Log.Error("record can't be split further", "job", step.UID)
		return false
	}
	result := l.commit(ctx, forSplits, step.Transaction, store.PriorityDecision)
	if result == committed && step.Last {
		l.node.Log.Info("job records split", "job", step.UID, "range_size", step.RangeSize)
		l.wake.Notify()
	}
	return result.settled()
}

// collectGarbage deletes records that splits left behind. Nothing waits for it: what fails is
// found again next time.
func (l *Loop) collectGarbage(ctx context.Context) {
	now := l.node.Now()
	state := l.guard.Lock()
	if !state.Splitter.IsGarbageCollectionDue(now) {
		l.guard.Unlock()
		return
	}
	t := state.Splitter.GarbageTransaction()
	l.guard.Unlock()
	if t == nil {
		return
	}
	l.commit(ctx, forGarbage, t, store.PrioritySubmission)
	state = l.guard.Lock()
	state.Splitter.RecordGarbageCollection(now)
	l.guard.Unlock()
}
