package controller

import (
	"context"
	"errors"
	"time"

	"violetturn/internal/store"
)

// watchLoop keeps the replica up to date: the paper's state change callback.
func (c *Controller) watchLoop(ctx context.Context) {
	pause := c.node.settings.DecisionInterval()
	for ctx.Err() == nil {
		state := c.guard.Lock()
		loaded, since := state.cache.loaded, state.cache.revision
		c.guard.Unlock()
		if !loaded {
			if err := c.loadReplica(ctx); err != nil {
				c.node.log.Debug("replica not loaded", "err", err)
				sleep(ctx, c.node.settings.ControllerLeaseTTL()/8)
			}
			continue
		}
		err := c.applyChanges(ctx, since, c.node.settings.WorkerLease()/2)
		if err != nil {
			sleep(ctx, c.node.settings.ControllerLeaseTTL()/8)
			continue
		}
		c.requestHeartbeats(ctx)
		sleep(ctx, pause)
	}
}

// loadReplica reads all that lives.
func (c *Controller) loadReplica(ctx context.Context) error {
	sent := c.node.now()
	items, revision, err := c.store.List(ctx, livePrefix)
	if err != nil {
		return err
	}
	state := c.guard.Lock()
	state.cache.changesReadAt = sent
	state.cache.reload(items, revision)
	state.cache.loaded = true
	c.guard.Unlock()
	c.node.log.Info("replica loaded", "keys", len(items), "revision", revision)
	c.wake.notify()
	c.wakeLeaseLoop() // after a restart ours wait to be taken, and leases run
	return nil
}

// applyChanges applies the changes after a revision; it waits up to block for some.
func (c *Controller) applyChanges(ctx context.Context, since uint64, block time.Duration) error {
	sent := c.node.now()
	log, revision, err := c.store.Changes(ctx, livePrefix, since, block)
	if errors.Is(err, store.ErrTooOld) {
		state := c.guard.Lock()
		state.cache.loaded = false
		c.guard.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	state := c.guard.Lock()
	for _, e := range log {
		if e.Drop != "" {
			state.cache.apply(e.Drop, nil, e.Version)
		} else {
			state.cache.apply(e.Write, e.Value, e.Version)
		}
	}
	state.cache.advance(revision)
	if sent.After(state.cache.changesReadAt) {
		state.cache.changesReadAt = sent
	}
	orphan := false
	for _, p := range c.node.shards {
		orphan = orphan || state.cache.leaders[p].record == nil
	}
	c.guard.Unlock()
	if len(log) > 0 {
		c.wake.notify()
	}
	if orphan {
		c.wakeLeaseLoop()
	}
	return nil
}

// wakeLeaseLoop has the shards tended now, not with the next renewal of the lease.
func (c *Controller) wakeLeaseLoop() {
	select {
	case c.leaderlessShard <- struct{}{}:
	default:
	}
}

// readNewest brings the replica up to now for a decision, which need not share its
// read with users.
func (c *Controller) readNewest(ctx context.Context) error {
	state := c.guard.Lock()
	loaded, since := state.cache.loaded, state.cache.revision
	c.guard.Unlock()
	if !loaded {
		return store.ErrRefused
	}
	return c.applyChanges(ctx, since, 0)
}

// readBarrier is one read of the changes and those who wait for it.
type readBarrier struct {
	done chan struct{}
	err  error
}

// awaitReadBarrier returns once the replica is at least as new as the call. One read serves
// all that asked before it was sent; the first of them does it.
func (c *Controller) awaitReadBarrier(ctx context.Context) error {
	if !c.storeReachable() {
		return store.ErrRefused // known not to answer: who asks is told at once
	}
	c.readBarrier.Lock()
	if c.readBarrier.next == nil {
		c.readBarrier.next = &readBarrier{done: make(chan struct{})}
	}
	b := c.readBarrier.next
	lead := !c.readBarrier.reading
	c.readBarrier.reading = true
	c.readBarrier.Unlock()
	if lead {
		c.runReadBarrier(ctx, b)
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
func (c *Controller) runReadBarrier(ctx context.Context, b *readBarrier) {
	c.readBarrier.Lock()
	wait := c.node.settings.ReadInterval() - c.node.now().Sub(c.readBarrier.last)
	c.readBarrier.Unlock()
	if wait > 0 && !c.steppedClock {
		sleep(ctx, wait)
	}
	c.readBarrier.Lock()
	c.readBarrier.next = nil
	c.readBarrier.last = c.node.now()
	c.readBarrier.Unlock()
	state := c.guard.Lock()
	loaded, since := state.cache.loaded, state.cache.revision
	c.guard.Unlock()
	b.err = store.ErrRefused
	if loaded {
		b.err = c.applyChanges(ctx, since, 0)
	}
	close(b.done)
	c.readBarrier.Lock()
	next := c.readBarrier.next
	c.readBarrier.reading = next != nil
	c.readBarrier.Unlock()
	if next != nil {
		c.runAsync(func() {
			ctx, cancel := context.WithTimeout(context.Background(), userRequestTimeout)
			defer cancel()
			c.runReadBarrier(ctx, next)
		})
	}
}

// commit sends a transaction and takes its outcome into the replica. done is
// false when it surely did not commit or when that is not known.
func (c *Controller) commit(ctx context.Context, what string, t *transaction, r store.Priority) (done bool, failed []string, err error) {
	w := t.request()
	revision, ok, failed, err := c.store.Multi(ctx, w, r)
	state := c.guard.Lock()
	n := state.stats.commits[what]
	n.writes += len(w.Ops)
	n.transactions++
	if err != nil {
		n.failed++
	} else if !ok {
		n.conflicts++
		n.conflictedWrites += len(w.Ops)
		c.node.log.Debug("transaction conflict", "for", what, "keys", failed)
	}
	state.stats.commits[what] = n
	c.guard.Unlock()
	if err == nil && ok {
		state = c.guard.Lock()
		state.cache.applyCommitted(t, revision)
		c.guard.Unlock()
		return true, nil, nil
	}
	if err != nil {
		c.node.log.Debug("commit failed", "err", err)
		if c.noteTooLarge(err, w) {
			return false, nil, nil // put together anew, smaller
		}
	}
	// Refused, beaten by a conflicting write or in doubt: what it wrote shows in the log of changes.
	_ = c.awaitReadBarrier(ctx)
	return false, failed, err
}
