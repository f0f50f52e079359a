package store

import (
	"context"
	"time"

	"violetturn/internal/transport"
)

// Limits are the rate limits of the state service for all controllers together.
type Limits struct {
	RPS      float64 // requests per second
	WriteRPS float64 // changed keys per second
}

// writeBurstSeconds bounds the write tokens that a controller may accumulate, in seconds of the
// write rate of all controllers. A controller may accumulate the tokens of one second of its own
// share if that is more.
const writeBurstSeconds = 0.6

// refusalsToLowerLimits is the number of refused writes within refusalWindowTimeouts from which
// the client concludes that the announced lower limits have taken effect. A single refusal can
// also occur when several controllers spend their accumulated tokens at the same time.
const refusalsToLowerLimits = 3

// refusalWindowTimeouts is the length of the time window in which refused writes are counted, in
// request timeouts.
const refusalWindowTimeouts = 4

// rateShare returns the share of one controller: requests and writes per second, and the most
// write tokens that it may accumulate. With several controllers these are the tokens of more than
// one second, because controllers rarely spend their bursts in the same second.
func (l Limits) rateShare(controllerCount int) (requests, writes, burst float64) {
	n := float64(max(controllerCount, 1))
	return l.RPS / n, l.WriteRPS / n, max(l.WriteRPS/n, writeBurstSeconds*l.WriteRPS)
}

// SetControllerCount sets the number of controllers that share the rates.
func (c *Client) SetControllerCount(controllerCount int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controllerCount = controllerCount
	c.setRates()
}

// LowerLimits applies the announced lower limits. They are never raised again.
func (c *Client) LowerLimits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = c.announcedLimits
	c.setRates()
}

// ReserveForGangs makes requests below PriorityGang leave this many write tokens in addition to
// their regular reserve.
func (c *Client) ReserveForGangs(writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reservedForGangs = writes
}

// TokensUsed returns the number of request and write tokens consumed since the start.
func (c *Client) TokensUsed() (requests, writes float64) {
	return c.requests.TokensUsed(), c.writes.TokensUsed()
}

// AwaitWriteBudget waits for the budget of n writes, for at most one request timeout, and returns
// how many writes can be sent now. Callers build their transaction after that, from the newest
// state: one that is built first and then waits for its budget may conflict with a write made
// meanwhile.
func (c *Client) AwaitWriteBudget(ctx context.Context, n int, p Priority) int {
	deadline := time.Now().Add(c.timeout)
	reservedShare := c.reservedShare(p)
	n = min(n, int(c.writes.Burst()*(1-reservedShare)))
	for {
		now := time.Now()
		available := int(c.writes.Available(now, reservedShare))
		if available >= n || now.After(deadline) {
			return available
		}
		select {
		case <-time.After(c.writes.TimeToRefill(float64(n - available))):
		case <-ctx.Done():
			return 0
		}
	}
}

// setRates updates the rates of the token buckets. The caller holds the mutex.
func (c *Client) setRates() {
	requests, writes, burst := c.limits.rateShare(c.controllerCount)
	now := time.Now()
	c.requests.SetRate(now, requests, requests)
	c.writes.SetRate(now, writes, burst)
}

// recordWriteRefusal records that a write was refused because of the rate limit. It applies the
// announced lower limits after refusalsToLowerLimits refusals within a short time.
func (c *Client) recordWriteRefusal(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits == c.announcedLimits {
		return
	}
	c.writeRefusals = append(c.writeRefusals, now)
	if n := len(c.writeRefusals); n > refusalsToLowerLimits {
		c.writeRefusals = c.writeRefusals[n-refusalsToLowerLimits:]
	}
	if len(c.writeRefusals) == refusalsToLowerLimits && now.Sub(c.writeRefusals[0]) < refusalWindowTimeouts*c.timeout {
		c.limits = c.announcedLimits
		c.setRates()
	}
}

// reservedShare returns the share of the write budget that a priority leaves to higher priorities.
func (c *Client) reservedShare(p Priority) float64 {
	if p <= PriorityGang {
		return reservedShares[p]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(reservedShares[p]+c.reservedForGangs/c.writes.Burst(), maxReservedShare)
}

// awaitTokens waits until n tokens can be taken so that reservedShare of the burst remains, and
// takes them. It fails with ErrRefused if that is not possible before the deadline.
func awaitTokens(ctx context.Context, b *transport.TokenBucket, n, reservedShare float64, deadline time.Time) error {
	for {
		wait, ok := b.Take(time.Now(), n, reservedShare)
		if ok {
			return nil
		}
		if time.Now().Add(wait).After(deadline) {
			return ErrRefused
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ErrRefused
		}
	}
}
