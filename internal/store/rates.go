package store

import (
	"context"
	"time"

	"violetturn/internal/transport"
)

// Limits are the rates of the state service, for all controllers together.
type Limits struct {
	RPS      float64 // requests a second
	WriteRPS float64 // changes a second
}

// writeBurstSeconds is for how many seconds of the whole rate a controller may save up its
// changes, unless its own share of a second is more.
const writeBurstSeconds = 0.6

// refusalsBeforeLowering is how many refusals of changes within a short while show that the
// coming rate holds: one may come when several controllers spend at once what they had saved.
const refusalsBeforeLowering = 3

// refusalDeadlines is how long that short while is, in deadlines of a request.
const refusalDeadlines = 4

// rateShare returns what one of so many controllers may use: requests and changes a second, and
// how many changes it may save up. That is more than a second's worth, as long as the others
// hardly ever spend theirs in the same second.
func (l Limits) rateShare(controllers int) (requests, writes, burst float64) {
	n := float64(max(controllers, 1))
	return l.RPS / n, l.WriteRPS / n, max(l.WriteRPS/n, writeBurstSeconds*l.WriteRPS)
}

// SetControllerCount sets the share of the rates to that of one of so many controllers.
func (c *Client) SetControllerCount(controllers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controllers = controllers
	c.setRates()
}

// LowerLimits tells the client that the coming limits hold now. They don't rise again.
func (c *Client) LowerLimits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = c.next
	c.setRates()
}

// ReserveForGangs makes the priorities below gangs leave that many changes besides.
func (c *Client) ReserveForGangs(changes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gangReserve = changes
}

// TokensUsed returns how many requests and changes were sent in all.
func (c *Client) TokensUsed() (requests, writes float64) {
	return c.requests.TokensUsed(), c.writes.TokensUsed()
}

// AwaitWriteBudget waits until some changes can be sent, n at best, for one deadline at most, and
// returns how many. What is put together only then rests on what is newest when it is sent: a
// transaction that first waits for its budget is beaten by a conflicting write meanwhile.
func (c *Client) AwaitWriteBudget(ctx context.Context, n int, p Priority) int {
	until := time.Now().Add(c.deadline)
	reserve := c.reservedShare(p)
	n = min(n, int(c.writes.Burst()*(1-reserve)))
	for {
		now := time.Now()
		available := int(c.writes.Available(now, reserve))
		if available >= n || now.After(until) {
			return available
		}
		select {
		case <-time.After(c.writes.TimeToRefill(float64(n - available))):
		case <-ctx.Done():
			return 0
		}
	}
}

// setRates sets the rates of the token buckets. The caller holds the mutex.
func (c *Client) setRates() {
	requests, writes, burst := c.limits.rateShare(c.controllers)
	now := time.Now()
	c.requests.SetRate(now, requests, requests)
	c.writes.SetRate(now, writes, burst)
}

// noteRefusal notes a refusal of changes for their rate; several of them within a short while
// lower the limits to the coming ones.
func (c *Client) noteRefusal(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits == c.next {
		return
	}
	c.writeRefusals = append(c.writeRefusals, now)
	if n := len(c.writeRefusals); n > refusalsBeforeLowering {
		c.writeRefusals = c.writeRefusals[n-refusalsBeforeLowering:]
	}
	if len(c.writeRefusals) == refusalsBeforeLowering && now.Sub(c.writeRefusals[0]) < refusalDeadlines*c.deadline {
		c.limits = c.next
		c.setRates()
	}
}

// reservedShare returns the share of the changes that a priority leaves to those above it.
func (c *Client) reservedShare(p Priority) float64 {
	if p <= PriorityGang {
		return reservedShares[p]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(reservedShares[p]+c.gangReserve/c.writes.Burst(), maxReservedShare)
}

// awaitTokens takes n tokens that leave the share reserve of the burst. It fails with
// ErrRefused if they do not come until then.
func awaitTokens(ctx context.Context, b *transport.TokenBucket, n, reserve float64, until time.Time) error {
	for {
		wait, ok := b.Take(time.Now(), n, reserve)
		if ok {
			return nil
		}
		if time.Now().Add(wait).After(until) {
			return ErrRefused
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ErrRefused
		}
	}
}
