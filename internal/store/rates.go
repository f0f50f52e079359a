package store

import "time"

// Limits are the rates of the state service, for all controllers together.
type Limits struct{ RPS, WriteRPS float64 }

// rateShare is what one of so many controllers may use: requests, changes, and how
// many changes it may save up. That is more than a second's worth, as long as the
// others hardly ever spend theirs in the same second.
func (c *Client) rateShare(controllers int) (reqs, writes, burst float64) {
	n := float64(max(controllers, 1))
	return c.limits.RPS / n, c.limits.WriteRPS / n, max(c.limits.WriteRPS/n, 0.6*c.limits.WriteRPS)
}

// SetControllers sets the share to that of one of so many controllers.
func (c *Client) SetControllers(controllers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controllers = controllers
	c.setRates()
}

func (c *Client) setRates() {
	r, w, burst := c.rateShare(c.controllers)
	now := time.Now()
	c.requests.SetRate(now, r, r)
	c.writes.SetRate(now, w, burst)
}

// refusalsBeforeLowering is how many refusals of changes within a short while show that the coming rate
// holds: one may come when several controllers spend at once what they had saved.
const refusalsBeforeLowering = 3

// noteRefusal notes a refusal of changes for their rate.
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
	if len(c.writeRefusals) == refusalsBeforeLowering && now.Sub(c.writeRefusals[0]) < 4*c.deadline {
		c.limits = c.next
		c.setRates()
	}
}

// LowerLimits tells the client that the coming limits hold now. They don't rise again.
func (c *Client) LowerLimits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = c.next
	c.setRates()
}
