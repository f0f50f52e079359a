package storesync

import (
	"context"
	"sync"
	"time"

	"violetturn/internal/store"
	"violetturn/internal/timing"
)

// readBarriers is the read of changes under way and the next one.
type readBarriers struct {
	sync.Mutex
	last    time.Time    // when the last read was sent
	next    *readBarrier // those who asked after the read under way was sent
	reading bool
}

// readBarrier is one read of the changes and those who wait for it.
type readBarrier struct {
	done chan struct{}
	err  error
}

// AwaitReadBarrier returns once the replica is at least as new as the call. One read serves
// all that asked before it was sent; the first of them does it.
func (y *Sync) AwaitReadBarrier(ctx context.Context) error {
	if !y.StoreReachable() {
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
func (y *Sync) runReadBarrier(ctx context.Context, b *readBarrier) {
	y.barriers.Lock()
	wait := y.node.Settings.ReadInterval() - y.node.Now().Sub(y.barriers.last)
	y.barriers.Unlock()
	if wait > 0 && !y.node.SteppedClock {
		timing.Sleep(ctx, wait)
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
		b.err = y.ApplyChanges(ctx, since, 0)
	}
	close(b.done)
	y.barriers.Lock()
	next := y.barriers.next
	y.barriers.reading = next != nil
	y.barriers.Unlock()
	if next != nil {
		y.node.RunAsync(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timing.UserRequestTimeout)
			defer cancel()
			y.runReadBarrier(ctx, next)
		})
	}
}
