package transport

import (
	"sync"
	"time"
)

// TokenBucket keeps a client within its share of an outside system's rate. Requests of a lower
// priority leave a reserve of tokens untouched, so that those of a higher priority always find
// some. Its methods may be called from any goroutine; none of them waits.
type TokenBucket struct {
	mu     sync.Mutex // guards what follows
	rate   float64    // tokens a second
	burst  float64    // tokens that it holds at most
	tokens float64    // as of last; below zero after Take took more than the burst
	last   time.Time  // when tokens was brought up to date; zero: the bucket is still full
	used   float64    // tokens taken in all
}

// NewTokenBucket makes a full bucket of rate tokens a second that holds burst of them.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

// refill adds the tokens that have come since the last call. The caller holds the mutex.
func (b *TokenBucket) refill(now time.Time) {
	if !b.last.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
}

// SetRate changes the rate and the burst; the tokens saved up stay, within the new burst.
func (b *TokenBucket) SetRate(now time.Time, rate, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() { // before its first use the bucket is full, whatever the time
		b.refill(now)
	}
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Take takes n tokens and returns true if that leaves at least the share reserve (0 to 1) of
// the burst. Else it takes none and returns how long to wait before asking again.
func (b *TokenBucket) Take(now time.Time, n, reserve float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	need := min(n+reserve*b.burst, b.burst)
	if b.tokens >= need {
		b.tokens -= n
		b.used += n
		return 0, true
	}
	return time.Duration((need - b.tokens) / b.rate * float64(time.Second)), false
}

// Available returns how many tokens can be taken now that leave the share reserve of the
// burst; it is below zero when the reserve itself has been used.
func (b *TokenBucket) Available(now time.Time, reserve float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens - reserve*b.burst
}

// Drain empties the bucket: the other side has answered that it was too much.
func (b *TokenBucket) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens, 0)
}

// Burst returns how many tokens the bucket holds at most.
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

// TokensUsed returns how many tokens were taken in all.
func (b *TokenBucket) TokensUsed() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
