package transport

import (
	"sync"
	"time"
)

// Budget is a token bucket that holds a client within its share of an outside
// system's rate. Work of a lower rank leaves a reserve untouched, so that work
// of a higher rank always finds room.
type Budget struct {
	mu    sync.Mutex
	rate  float64
	burst float64
	have  float64
	last  time.Time
	used  float64
}

// NewBudget makes a bucket of rate tokens a second that holds burst of them.
func NewBudget(rate, burst float64) *Budget {
	return &Budget{rate: rate, burst: burst, have: burst}
}

// Set changes the rate and the burst; what was saved up stays, within the burst.
func (b *Budget) Set(now time.Time, rate, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.have = min(b.burst, b.have+now.Sub(b.last).Seconds()*b.rate)
		b.last = now
	}
	b.rate, b.burst = rate, burst
	b.have = min(b.have, burst)
}

// Take takes n tokens if that leaves at least the share reserve (0 to 1) of
// the burst; else it tells how long to wait before asking again.
func (b *Budget) Take(now time.Time, n, reserve float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.have = min(b.burst, b.have+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	need := min(n+reserve*b.burst, b.burst)
	if b.have >= need {
		b.have -= n
		b.used += n
		return 0, true
	}
	return time.Duration((need - b.have) / b.rate * float64(time.Second)), false
}

// Has tells how many tokens can be taken now that leave the share reserve.
func (b *Budget) Has(now time.Time, reserve float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.have = min(b.burst, b.have+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	return b.have - reserve*b.burst
}

// Drain empties the bucket: the other side says that it was too much.
func (b *Budget) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.have = min(b.have, 0)
}

// Burst is how many tokens the bucket holds.
func (b *Budget) Burst() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.burst
}

// In tells how long n tokens take to come.
func (b *Budget) In(n float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(n / b.rate * float64(time.Second))
}

// Used tells how many tokens were taken in all.
func (b *Budget) Used() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
