package frontend

import (
	"context"

	"violetturn/internal/api"
	"violetturn/internal/respond"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/transport"
)

// maxCancelAttempts bounds the attempts of a cancellation that conflicts with other writes to the
// job's record.
const maxCancelAttempts = 4

// cancel commits a cancellation and then confirms it. Any controller can do this, because the start
// of a task is committed with a precondition on the same record: a start that was planned before
// the cancellation was committed fails with a conflict.
func (f *Frontend) cancel(ctx context.Context, uid string) transport.Response {
	if !api.ValidUID(uid) {
		return errorResponse(errUnknownJob)
	}
	for range maxCancelAttempts {
		if response, settled := f.tryCancel(ctx, uid); settled {
			return response
		}
	}
	return respond.Busy
}

// tryCancel reads a job's state and makes one attempt to cancel the job. settled is false if
// another attempt is needed.
func (f *Frontend) tryCancel(ctx context.Context, uid string) (response transport.Response, settled bool) {
	current, err := f.jobState(ctx, uid)
	if err != nil {
		return errorResponse(err), true
	}
	if current.Phase.Final() {
		return phaseResponse(statusOK, uid, current.Phase), true
	}
	txn, mustSplit := f.planCancellation(uid)
	switch {
	case mustSplit:
		f.wake.Notify()
		return respond.Busy, true
	case txn == nil:
		return transport.Response{}, false
	}
	return f.commitCancellation(ctx, uid, txn)
}

// planCancellation returns the transaction that cancels a job. It returns nil if the job is
// finished, unknown or already cancelled. It also returns nil, and mustSplit is true, if the job's
// record must be split before it can grow.
func (f *Frontend) planCancellation(uid string) (txn *statecache.Transaction, mustSplit bool) {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	cachedJob := state.Cache.Jobs[uid]
	if cachedJob == nil || cachedJob.Record.Cancelled {
		return nil, false
	}
	key := statecache.JobKey(uid)
	txn = statecache.NewTransaction()
	txn.Require(key, cachedJob.Version)
	record := cachedJob.Record.Copy()
	record.Cancelled = true
	txn.Put(key, record)
	if txn.Size(key) > state.Schema.MaxRecordBytes() {
		state.Schema.RequestSplit(cachedJob)
		return nil, true
	}
	return txn, false
}

// commitCancellation commits a cancellation. settled is false if another attempt is needed.
func (f *Frontend) commitCancellation(
	ctx context.Context, uid string, txn *statecache.Transaction,
) (response transport.Response, settled bool) {
	committed, _, err := f.sync.Commit(ctx, "cancelled", txn, store.PriorityDecision)
	if err != nil {
		return respond.Busy, true
	}
	if !committed {
		return transport.Response{}, false
	}
	f.node.Log.Info("job cancelled", "job", uid)
	f.wake.Notify()
	if f.node.Settings.ConfirmsCancelAfterTasksEnd() {
		return transport.Response{}, false // confirmed once the job's state shows that no task is left on a machine
	}
	return phaseResponse(statusOK, uid, api.JobCancelled), true
}
