package storesync

import (
	"context"
	"errors"

	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// Commit sends a transaction and takes its outcome into the cache. purpose names it in the
// log's counts. done is false if it surely did not commit, and also if that is not known:
// then err is store.ErrUnknown. conflicts are the keys whose versions differed.
func (s *Sync) Commit(
	ctx context.Context, purpose string, txn *statecache.Transaction, p store.Priority,
) (done bool, conflicts []string, err error) {
	request := txn.Request()
	result, err := s.services.Store.Commit(ctx, request, p)
	if err == nil && result.Committed {
		s.takeCommitted(purpose, txn, result.Revision, len(request.Ops))
		return true, nil, nil
	}
	s.countFailure(purpose, len(request.Ops), err)
	if err == nil {
		s.node.Log.Debug("transaction conflict", "for", purpose, "keys", result.Conflicts)
	} else {
		s.node.Log.Debug("commit failed", "err", err)
		if s.noteTooLarge(err, request) {
			return false, nil, nil // put together anew, smaller
		}
	}
	// Whether it was refused, met a conflict or has an unknown outcome: what was written shows
	// in the changes.
	_ = s.AwaitReadBarrier(ctx)
	return false, result.Conflicts, err
}

// takeCommitted takes a committed transaction into the cache.
func (s *Sync) takeCommitted(purpose string, txn *statecache.Transaction, revision uint64, changes int) {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	state.Stats.CountCommitted(purpose, changes)
	state.Cache.ApplyCommitted(txn, revision)
}

// countFailure counts a transaction that did not commit, or whose outcome is unknown.
func (s *Sync) countFailure(purpose string, changes int, err error) {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	if err != nil {
		state.Stats.CountFailed(purpose, changes)
		return
	}
	state.Stats.CountConflict(purpose, changes)
}

// noteTooLarge notes that the state service refused a transaction for its size or count of
// changes: its limits have come down, further than was announced if the transaction was made
// within those. Nothing is made as large again. It reports whether err is such a refusal, so
// that a smaller form is left to try.
func (s *Sync) noteTooLarge(err error, request *store.Txn) bool {
	if !errors.Is(err, store.ErrTooLarge) {
		return false
	}
	state := s.guard.Lock()
	lowered := state.Schema.LowerLimits()
	if !lowered {
		// It was made within what was announced: fewer changes are tried, and the jobs in it
		// are split.
		state.Schema.ReduceMaxChanges(len(request.Ops))
		for _, op := range request.Ops {
			if uid, ok := statecache.JobOfKey(op.Write); ok && state.Cache.Jobs[uid] != nil {
				state.Schema.RequestSplit(state.Cache.Jobs[uid])
			}
		}
	}
	s.guard.Unlock()
	if lowered {
		s.services.Store.LowerLimits()
		s.node.Log.Info("state service limits lowered")
	} else {
		s.node.Log.Error("state service accepts less than announced", "changes", len(request.Ops), "err", err)
	}
	return true
}
