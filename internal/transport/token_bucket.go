package transport

import (
	"sync"
	"time"

	"violetturn/internal/numeric"
)

// TokenBucket keeps a client within its share of an external system's rate limit. Requests of a
// lower priority leave a reserve of tokens for those of a higher priority. Its methods may be
// called from any goroutine and do not wait for tokens.
type TokenBucket struct {
	mu         sync.Mutex // guards the fields below
	rate       float64    // tokens per second
	burst      float64    // the most tokens that the bucket holds
	tokens     float64    // at refilledAt; negative after a Take of more than the burst
	refilledAt time.Time  // time of the last refill; zero: not yet used, the bucket is full
	totalTaken float64    // all tokens taken since the start
}

// NewTokenBucket makes a full bucket that gains rate tokens per second and holds at most burst.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

// refill adds the tokens gained since the last refill. The caller holds the mutex.
func (b *TokenBucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
}

// SetRate changes the rate and the burst. It keeps the accumulated tokens, up to the new burst.
func (b *TokenBucket) SetRate(now time.Time, rate, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refilledAt.IsZero() { // before its first use the bucket is full at any time
		b.refill(now)
	}
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Take removes n tokens and returns true if at least reservedShare (0 to 1) of the burst remains
// after that. If n tokens and the reserve together exceed the burst, a full bucket suffices.
// Otherwise Take removes none and returns how long to wait before the next attempt.
func (b *TokenBucket) Take(now time.Time, n, reservedShare float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	need := min(n+reservedShare*b.burst, b.burst)
	if b.tokens >= need {
		b.tokens -= n
		b.totalTaken += n
		return 0, true
	}
	return numeric.Duration((need - b.tokens) / b.rate), false
}

// Available returns how many tokens can be taken now so that reservedShare of the burst remains.
// It is negative when part of the reserve has been used.
func (b *TokenBucket) Available(now time.Time, reservedShare float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens - reservedShare*b.burst
}

// Drain empties the bucket. Callers use it when the other side reports that its rate was exceeded.
func (b *TokenBucket) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens, 0)
}

// Burst returns the most tokens that the bucket can hold.
func (b *TokenBucket) Burst() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.burst
}

// TimeToRefill returns how long the bucket takes to gain n tokens.
func (b *TokenBucket) TimeToRefill(n float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return numeric.Duration(n / b.rate)
}

// TokensUsed returns the number of tokens taken since the start.
func (b *TokenBucket) TokensUsed() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalTaken
}
