package storesync

import (
	"context"
	"sync"
	"time"

	"violetturn/internal/store"
	"violetturn/internal/timing"
)

// readBarriers is the read of changes that is under way and the next one.
type readBarriers struct {
	mu      sync.Mutex
	last    time.Time    // when the last read was sent
	next    *readBarrier // of those who asked after the read under way was sent; nil: nobody
	reading bool
}

// readBarrier is one read of the changes and those who wait for it.
type readBarrier struct {
	done chan struct{} // closed by runReadBarrier
	err  error         // set before done is closed
}

// join returns the barrier of the next read, and whether the caller has to run it.
func (b *readBarriers) join() (barrier *readBarrier, run bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &readBarrier{done: make(chan struct{})}
	}
	run = !b.reading
	b.reading = true
	return b.next, run
}

// sinceLast returns how long ago the last read was sent.
func (b *readBarriers) sinceLast(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.last)
}

// begin notes that a read is sent: who asks from now on waits for the next.
func (b *readBarriers) begin(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next = nil
	b.last = now
}

// finish ends the read under way and returns the next one, which has to be run; nil if nobody
// waits.
func (b *readBarriers) finish() *readBarrier {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = b.next != nil
	return b.next
}

// AwaitReadBarrier returns once the cache is at least as new as the call. One read serves all
// that asked before it was sent; the first of them does it. It returns store.ErrRefused at
// once while the state service is known not to answer.
func (s *Sync) AwaitReadBarrier(ctx context.Context) error {
	if !s.StoreReachable() {
		return store.ErrRefused
	}
	barrier, run := s.barriers.join()
	if run {
		s.runReadBarrier(ctx, barrier)
	}
	select {
	case <-barrier.done:
		return barrier.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runReadBarrier reads the changes for those waiting and sees to it that others who came
// meanwhile are read for next, in a goroutine that ends with the request's timeout.
//
// Reads are a little apart, so that the polls of hundreds of users take a fixed part of the
// request budget; a lone question is not held up.
func (s *Sync) runReadBarrier(ctx context.Context, barrier *readBarrier) {
	wait := s.node.Settings.ReadInterval() - s.barriers.sinceLast(s.node.Now())
	if wait > 0 && !s.node.SteppedClock {
		timing.Sleep(ctx, wait)
	}
	s.barriers.begin(s.node.Now())
	barrier.err = s.RefreshCache(ctx)
	close(barrier.done)
	next := s.barriers.finish()
	if next == nil {
		return
	}
	s.node.RunAsync(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timing.UserRequestTimeout)
		defer cancel()
		s.runReadBarrier(ctx, next)
	})
}
