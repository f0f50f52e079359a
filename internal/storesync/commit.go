package storesync

import (
	"context"
	"errors"

	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// Commit sends a transaction and applies its outcome to the cache. purpose is the name under which
// the log summary counts it. committed is false if the transaction did not commit, and also if its
// outcome is unknown, in which case err is store.ErrOutcomeUnknown. conflicts are the keys whose
// versions differed. For a transaction that was refused as too large, err and conflicts are nil, and
// the caller builds a new, smaller one. A transaction with a record that can't be encoded is not
// sent, and err says so.
func (s *Sync) Commit(
	ctx context.Context, purpose string, txn *statecache.Transaction, priority store.Priority,
) (committed bool, conflicts []string, err error) {
	if err = txn.Err(); err != nil {
		s.node.Log.Error("transaction can't be encoded", "for", purpose, "err", err)
		return false, nil, err
	}
	request := txn.Request()
	result, err := s.services.Store.Commit(ctx, request, priority)
	if err == nil && result.Committed {
		s.applyCommitted(purpose, txn, result.Revision, len(request.Writes))
		return true, nil, nil
	}
	s.countFailure(purpose, len(request.Writes), err)
	if err == nil {
		s.node.Log.Debug("transaction conflict", "for", purpose, "keys", result.Conflicts)
	} else {
		s.node.Log.Debug("commit failed", "err", err)
		if s.handleTooLarge(err, request) {
			return false, nil, nil
		}
	}
	// After a refusal, a conflict or an unknown outcome, a read of the changes shows what was written.
	_ = s.AwaitReadBarrier(ctx)
	return false, result.Conflicts, err
}

// applyCommitted applies a committed transaction to the cache.
func (s *Sync) applyCommitted(purpose string, txn *statecache.Transaction, revision uint64, writes int) {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	state.Stats.CountCommitted(purpose, writes)
	state.Cache.ApplyCommitted(txn, revision)
}

// countFailure counts a transaction that did not commit or whose outcome is unknown.
func (s *Sync) countFailure(purpose string, writes int, err error) {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	if err != nil {
		state.Stats.CountFailed(purpose, writes)
		return
	}
	state.Stats.CountConflict(purpose, writes)
}

// handleTooLarge handles a refusal of a transaction for its size or number of writes. Such a
// refusal means that the limits of the state service were lowered, and below the announced ones if
// the transaction was within those. Later transactions are made smaller. handleTooLarge reports
// whether err is such a refusal, so that a smaller transaction may succeed.
func (s *Sync) handleTooLarge(err error, request *store.Txn) bool {
	if !errors.Is(err, store.ErrTooLarge) {
		return false
	}
	state := s.guard.Lock()
	lowered := state.Schema.LowerLimits()
	if !lowered {
		// The transaction was within the announced limits: reduce the maximum number of writes,
		// and split the records of the jobs in it.
		state.Schema.ReduceMaxWrites(len(request.Writes))
		for _, write := range request.Writes {
			if uid, ok := statecache.JobOfKey(write.WriteKey); ok && state.Cache.Jobs[uid] != nil {
				state.Schema.RequestSplit(state.Cache.Jobs[uid])
			}
		}
	}
	s.guard.Unlock()
	if lowered {
		s.services.Store.LowerLimits()
		s.node.Log.Info("state service limits lowered")
	} else {
		s.node.Log.Error("state service accepts less than announced", "changes", len(request.Writes), "err", err)
	}
	return true
}
