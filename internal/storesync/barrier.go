package storesync

import (
	"context"
	"sync"
	"time"

	"violetturn/internal/store"
	"violetturn/internal/timing"
)

// readBarriers coordinates the read of changes in progress and the next one.
type readBarriers struct {
	mu         sync.Mutex
	lastSentAt time.Time    // when the last read was sent
	next       *readBarrier // for callers that joined after the last read was sent; nil: there are none
	reading    bool         // a goroutine is running reads
}

// readBarrier is one read of the changes, shared by the callers that wait for it.
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

// sinceLastRead returns the time since the last read was sent.
func (b *readBarriers) sinceLastRead(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.lastSentAt)
}

// begin records that a read is being sent: callers that join from now on wait for the next one.
func (b *readBarriers) begin(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next = nil
	b.lastSentAt = now
}

// finish ends the current read and returns the next one, which the caller has to run; nil if no
// caller waits for it.
func (b *readBarriers) finish() *readBarrier {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = b.next != nil
	return b.next
}

// AwaitReadBarrier returns once the cache contains all changes made before the call. One read
// serves all callers that joined before it was sent. A caller runs the read itself if none is in
// progress. It returns store.ErrRefused at once while the state service is unreachable.
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

// runReadBarrier reads the changes for the waiting callers. For callers that joined meanwhile it
// starts the next read in a goroutine bounded by the timeout of a user request.
//
// Reads are sent at least QueryReadInterval apart, so that the queries of hundreds of polling users
// use a bounded part of the request rate. A single query is not delayed.
func (s *Sync) runReadBarrier(ctx context.Context, barrier *readBarrier) {
	wait := s.node.Settings.QueryReadInterval() - s.barriers.sinceLastRead(s.node.Now())
	if wait > 0 && !s.node.SimulatedClock {
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
