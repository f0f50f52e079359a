package store

import "time"

// Limits are the rates of the state service, for all controllers together.
type Limits struct{ RPS, WriteRPS float64 }

// share is what one of so many controllers may use: requests, changes, and how
// many changes it may save up. That is more than a second's worth, as long as the
// others hardly ever spend theirs in the same second.
func (c *Client) share(controllers int) (reqs, writes, burst float64) {
	n := float64(max(controllers, 1))
	return c.limits.RPS / n, c.limits.WriteRPS / n, max(c.limits.WriteRPS/n, 0.6*c.limits.WriteRPS)
}

// Among sets the share to that of one of so many controllers.
func (c *Client) Among(controllers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.among = controllers
	c.set()
}

func (c *Client) set() {
	r, w, burst := c.share(c.among)
	now := time.Now()
	c.reqs.Set(now, r, r)
	c.writes.Set(now, w, burst)
}

// few is how many refusals of changes within a short while show that the coming rate
// holds: one may come when several controllers spend at once what they had saved.
const few = 3

// refused notes a refusal of changes for their rate.
func (c *Client) refused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits == c.next {
		return
	}
	c.refusals = append(c.refusals, now)
	if n := len(c.refusals); n > few {
		c.refusals = c.refusals[n-few:]
	}
	if len(c.refusals) == few && now.Sub(c.refusals[0]) < 4*c.deadline {
		c.limits = c.next
		c.set()
	}
}

// Fallen tells the client that the coming limits hold now. They don't rise again.
func (c *Client) Fallen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = c.next
	c.set()
}
