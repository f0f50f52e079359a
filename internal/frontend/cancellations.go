package frontend

import (
	"context"

	"violetturn/internal/api"
	"violetturn/internal/respond"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/transport"
)

// maxCancelTries is how often a cancellation is tried that loses against other writes of the job.
const maxCancelTries = 4

// cancel commits a cancellation and then confirms it. Any node can do it: a start
// is committed under a precondition on the same record.
func (f *Frontend) cancel(ctx context.Context, uid string) transport.Response {
	if !api.ValidUID(uid) {
		return errorResponse(errUnknownJob)
	}
	for range maxCancelTries {
		if response, settled := f.tryCancel(ctx, uid); settled {
			return response
		}
	}
	return respond.Busy
}

// tryCancel reads a job's state and tries to cancel it once. It reports false if the job has to be
// looked at again.
func (f *Frontend) tryCancel(ctx context.Context, uid string) (response transport.Response, settled bool) {
	s, err := f.jobState(ctx, uid)
	if err != nil {
		return errorResponse(err), true
	}
	if s.Phase.Final() {
		return phaseResponse(statusOK, uid, s.Phase), true
	}
	t, mustSplit := f.planCancellation(uid)
	switch {
	case mustSplit:
		f.wake.Notify()
		return respond.Busy, true
	case t == nil:
		return transport.Response{}, false
	}
	return f.commitCancellation(ctx, uid, t)
}

// planCancellation returns the transaction that cancels a job; nil if the job is not live or is
// cancelled already, or if its record must be split before it can grow.
func (f *Frontend) planCancellation(uid string) (t *statecache.Transaction, mustSplit bool) {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	j := state.Cache.Jobs[uid]
	if j == nil || j.Record.Cancelled {
		return nil, false
	}
	key := statecache.JobKey(uid)
	t = statecache.NewTransaction()
	t.Require(key, j.Version)
	record := j.Record.Copy()
	record.Cancelled = true
	t.Put(key, record)
	if t.Size(key) > state.Schema.MaxRecordBytes() {
		state.Schema.RequestSplit(j)
		return nil, true
	}
	return t, false
}

// commitCancellation commits a cancellation. It reports false if the job has to be looked at
// again.
func (f *Frontend) commitCancellation(
	ctx context.Context, uid string, t *statecache.Transaction,
) (response transport.Response, settled bool) {
	done, _, err := f.sync.Commit(ctx, "cancelled", t, store.PriorityDecision)
	if err != nil {
		return respond.Busy, true
	}
	if !done {
		return transport.Response{}, false
	}
	f.node.Log.Info("job cancelled", "job", uid)
	f.wake.Notify()
	if f.node.Settings.ConfirmsCancelAfterTasksEnd() {
		return transport.Response{}, false // its tasks may be on machines still: the state tells
	}
	return phaseResponse(statusOK, uid, api.JobCancelled), true
}
