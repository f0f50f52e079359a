package storesync

import (
	"context"
	"errors"

	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// noteTooLarge notes that the state service refused a transaction for its size or count:
// its limits have come down, further than was announced if it was made within those.
// Nothing is made as large again. It reports whether a smaller form is left to try.
func (y *Sync) noteTooLarge(err error, t *store.Txn) bool {
	if !errors.Is(err, store.ErrTooLarge) {
		return false
	}
	state := y.guard.Lock()
	defer y.guard.Unlock()
	if state.Schema.LowerLimits() {
		y.services.Store.LowerLimits()
		y.node.Log.Info("state service limits lowered")
		return true
	}
	// It was made within what was announced. Fewer changes are tried, down to what the
	// longest step needs, and the jobs in it are divided.
	state.Schema.AcceptFewer(len(t.Ops))
	for _, op := range t.Ops {
		if uid, ok := statecache.JobOfKey(op.Write); ok && state.Cache.Jobs[uid] != nil {
			state.Schema.RequestSplit(state.Cache.Jobs[uid])
		}
	}
	y.node.Log.Error("state service accepts less than announced", "changes", len(t.Ops), "err", err)
	return true
}

// Commit sends a transaction and takes its outcome into the replica. done is
// false when it surely did not commit or when that is not known.
func (y *Sync) Commit(ctx context.Context, what string, t *statecache.Transaction, r store.Priority) (done bool, failed []string, err error) {
	w := t.Request()
	result, err := y.services.Store.Commit(ctx, w, r)
	state := y.guard.Lock()
	n := state.Stats.Commits[what]
	n.Writes += len(w.Ops)
	n.Transactions++
	if err != nil {
		n.Failed++
	} else if !result.Committed {
		n.Conflicts++
		n.ConflictedWrites += len(w.Ops)
		y.node.Log.Debug("transaction conflict", "for", what, "keys", result.Conflicts)
	}
	state.Stats.Commits[what] = n
	y.guard.Unlock()
	if err == nil && result.Committed {
		state = y.guard.Lock()
		state.Cache.ApplyCommitted(t, result.Revision)
		y.guard.Unlock()
		return true, nil, nil
	}
	if err != nil {
		y.node.Log.Debug("commit failed", "err", err)
		if y.noteTooLarge(err, w) {
			return false, nil, nil // put together anew, smaller
		}
	}
	// Refused, beaten by a conflicting write or in doubt: what it wrote shows in the log of changes.
	_ = y.AwaitReadBarrier(ctx)
	return false, result.Conflicts, err
}
