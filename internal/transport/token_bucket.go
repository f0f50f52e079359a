package transport

import (
	"sync"
	"time"
)

// TokenBucket is a token bucket that holds a client within its share of an outside
// system's rate. Work of a lower rank leaves a reserve untouched, so that work
// of a higher rank always finds room.
type TokenBucket struct {
	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
	used   float64
}

// NewTokenBucket makes a bucket of rate tokens a second that holds burst of them.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

// SetRate changes the rate and the burst; what was saved up stays, within the burst.
func (b *TokenBucket) SetRate(now time.Time, rate, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
		b.last = now
	}
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Take takes n tokens if that leaves at least the share reserve (0 to 1) of
// the burst; else it tells how long to wait before asking again.
func (b *TokenBucket) Take(now time.Time, n, reserve float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	need := min(n+reserve*b.burst, b.burst)
	if b.tokens >= need {
		b.tokens -= n
		b.used += n
		return 0, true
	}
	return time.Duration((need - b.tokens) / b.rate * float64(time.Second)), false
}

// Available returns how many tokens can be taken now that leave the share reserve.
func (b *TokenBucket) Available(now time.Time, reserve float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	return b.tokens - reserve*b.burst
}

// Drain empties the bucket: the other side says that it was too much.
func (b *TokenBucket) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens, 0)
}

// Burst is how many tokens the bucket holds.
func (b *TokenBucket) Burst() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.burst
}

// TimeToRefill returns how long n tokens take to come.
func (b *TokenBucket) TimeToRefill(n float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(n / b.rate * float64(time.Second))
}

// Used returns how many tokens were taken in all.
func (b *TokenBucket) Used() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
