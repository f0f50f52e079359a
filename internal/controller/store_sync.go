package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// noteTooLarge notes that the state service refused a transaction for its size or count:
// its limits have come down, further than was announced if it was made within those.
// Nothing is made as large again. It reports whether a smaller form is left to try.
func (y *storeSync) noteTooLarge(err error, t *store.Txn) bool {
	if !errors.Is(err, store.ErrTooLarge) {
		return false
	}
	state := y.guard.Lock()
	defer y.guard.Unlock()
	if !state.Schema.LimitsLowered {
		state.Schema.LimitsLowered = true
		y.services.store.LowerLimits()
		y.node.Log.Info("state service limits lowered")
		return true
	}
	// It was made within what was announced. Fewer changes are tried, down to what the
	// longest step needs, and the jobs in it are divided.
	state.Schema.AcceptedTxnOps = max(len(t.Ops)-1, 4)
	for _, op := range t.Ops {
		if uid, ok := strings.CutPrefix(op.Write, statecache.JobPrefix); ok && state.Cache.Jobs[uid] != nil {
			state.Schema.SplitRequests[uid] = state.Cache.Jobs[uid].Record.Generation + 1
		}
	}
	y.node.Log.Error("state service accepts less than announced", "changes", len(t.Ops), "err", err)
	return true
}

// watchLoop keeps the replica up to date: the paper's state change callback.
func (c *Controller) watchLoop(ctx context.Context) {
	pause := c.node.Settings.DecisionInterval()
	for ctx.Err() == nil {
		state := c.guard.Lock()
		loaded, since := state.Cache.Loaded, state.Cache.Revision
		c.guard.Unlock()
		if !loaded {
			if err := c.sync.load(ctx); err != nil {
				c.node.Log.Debug("replica not loaded", "err", err)
				sleep(ctx, c.node.Settings.ControllerLeaseTTL()/8)
			}
			continue
		}
		err := c.sync.applyChanges(ctx, since, c.node.Settings.WorkerLease()/2)
		if err != nil {
			sleep(ctx, c.node.Settings.ControllerLeaseTTL()/8)
			continue
		}
		c.commands.requestHeartbeats(ctx)
		sleep(ctx, pause)
	}
}

// load reads all that lives.
func (y *storeSync) load(ctx context.Context) error {
	sent := y.node.Now()
	items, revision, err := y.services.store.List(ctx, statecache.LivePrefix)
	if err != nil {
		return err
	}
	state := y.guard.Lock()
	state.Cache.ChangesReadAt = sent
	state.Cache.Reload(items, revision)
	state.Cache.Loaded = true
	y.guard.Unlock()
	y.node.Log.Info("replica loaded", "keys", len(items), "revision", revision)
	y.wake.Notify()
	y.wakeLeaseLoop() // after a restart ours wait to be taken, and leases run
	return nil
}

// applyChanges applies the changes after a revision; it waits up to block for some.
func (y *storeSync) applyChanges(ctx context.Context, since uint64, block time.Duration) error {
	sent := y.node.Now()
	log, revision, err := y.services.store.Changes(ctx, statecache.LivePrefix, since, block)
	if errors.Is(err, store.ErrTooOld) {
		state := y.guard.Lock()
		state.Cache.Loaded = false
		y.guard.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	state := y.guard.Lock()
	for _, e := range log {
		if e.Drop != "" {
			state.Cache.Apply(e.Drop, nil, e.Version)
		} else {
			state.Cache.Apply(e.Write, e.Value, e.Version)
		}
	}
	state.Cache.Advance(revision)
	if sent.After(state.Cache.ChangesReadAt) {
		state.Cache.ChangesReadAt = sent
	}
	orphan := false
	for _, p := range y.node.Shards {
		orphan = orphan || state.Cache.Leaders[p].Record == nil
	}
	y.guard.Unlock()
	if len(log) > 0 {
		y.wake.Notify()
	}
	if orphan {
		y.wakeLeaseLoop()
	}
	return nil
}

// wakeLeaseLoop has the shards tended now, not with the next renewal of the lease.
func (y *storeSync) wakeLeaseLoop() {
	select {
	case y.leaderlessShard <- struct{}{}:
	default:
	}
}

// readNewest brings the replica up to now for a decision, which need not share its
// read with users.
func (y *storeSync) readNewest(ctx context.Context) error {
	state := y.guard.Lock()
	loaded, since := state.Cache.Loaded, state.Cache.Revision
	y.guard.Unlock()
	if !loaded {
		return store.ErrRefused
	}
	return y.applyChanges(ctx, since, 0)
}

// readBarrier is one read of the changes and those who wait for it.
type readBarrier struct {
	done chan struct{}
	err  error
}

// awaitReadBarrier returns once the replica is at least as new as the call. One read serves
// all that asked before it was sent; the first of them does it.
func (y *storeSync) awaitReadBarrier(ctx context.Context) error {
	if !y.storeReachable() {
		return store.ErrRefused // known not to answer: who asks is told at once
	}
	y.barriers.Lock()
	if y.barriers.next == nil {
		y.barriers.next = &readBarrier{done: make(chan struct{})}
	}
	b := y.barriers.next
	lead := !y.barriers.reading
	y.barriers.reading = true
	y.barriers.Unlock()
	if lead {
		y.runReadBarrier(ctx, b)
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runReadBarrier reads the changes for those waiting and sees to it that others who
// came meanwhile are read for next.
//
// Reads are a little apart, so that the polls of hundreds of users take a fixed
// part of the request budget; a lone question is not held up.
func (y *storeSync) runReadBarrier(ctx context.Context, b *readBarrier) {
	y.barriers.Lock()
	wait := y.node.Settings.ReadInterval() - y.node.Now().Sub(y.barriers.last)
	y.barriers.Unlock()
	if wait > 0 && !y.node.SteppedClock {
		sleep(ctx, wait)
	}
	y.barriers.Lock()
	y.barriers.next = nil
	y.barriers.last = y.node.Now()
	y.barriers.Unlock()
	state := y.guard.Lock()
	loaded, since := state.Cache.Loaded, state.Cache.Revision
	y.guard.Unlock()
	b.err = store.ErrRefused
	if loaded {
		b.err = y.applyChanges(ctx, since, 0)
	}
	close(b.done)
	y.barriers.Lock()
	next := y.barriers.next
	y.barriers.reading = next != nil
	y.barriers.Unlock()
	if next != nil {
		y.node.RunAsync(func() {
			ctx, cancel := context.WithTimeout(context.Background(), userRequestTimeout)
			defer cancel()
			y.runReadBarrier(ctx, next)
		})
	}
}

// commit sends a transaction and takes its outcome into the replica. done is
// false when it surely did not commit or when that is not known.
func (y *storeSync) commit(ctx context.Context, what string, t *statecache.Transaction, r store.Priority) (done bool, failed []string, err error) {
	w := t.Request()
	revision, ok, failed, err := y.services.store.Multi(ctx, w, r)
	state := y.guard.Lock()
	n := state.Stats.Commits[what]
	n.Writes += len(w.Ops)
	n.Transactions++
	if err != nil {
		n.Failed++
	} else if !ok {
		n.Conflicts++
		n.ConflictedWrites += len(w.Ops)
		y.node.Log.Debug("transaction conflict", "for", what, "keys", failed)
	}
	state.Stats.Commits[what] = n
	y.guard.Unlock()
	if err == nil && ok {
		state = y.guard.Lock()
		state.Cache.ApplyCommitted(t, revision)
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
	_ = y.awaitReadBarrier(ctx)
	return false, failed, err
}
