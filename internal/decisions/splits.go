package decisions

import (
	"context"

	"violetturn/internal/store"
)

// splitRecords commits the next step of splitting the records of a job; if there is none, it
// collects garbage. It reports whether there may be more to split.
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
	result := l.commit(ctx, purposeSplits, step.Transaction, store.PriorityDecision)
	if result == committed && step.Last {
		l.node.Log.Info("job records split", "job", step.UID, "range_size", step.RangeSize)
		l.wake.Notify()
	}
	return result.isKnown()
}

// collectGarbage deletes obsolete task range records that splits have left behind. No other work
// depends on it: if the transaction fails, a later collection finds the same records again.
func (l *Loop) collectGarbage(ctx context.Context) {
	now := l.node.Now()
	state := l.guard.Lock()
	if !state.Splitter.IsGarbageCollectionDue(now) {
		l.guard.Unlock()
		return
	}
	transaction := state.Splitter.GarbageTransaction()
	l.guard.Unlock()
	if transaction == nil {
		return
	}
	l.commit(ctx, purposeGarbage, transaction, store.PrioritySubmission)
	state = l.guard.Lock()
	state.Splitter.RecordGarbageCollection(now)
	l.guard.Unlock()
}
