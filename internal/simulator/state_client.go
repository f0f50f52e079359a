package simulator

import (
	"context"
	"time"

	"violetturn/internal/store"
)

// Client is the state service as one node reaches it. It implements what a controller asks
// of its state service. It has no budget of requests: what is sent is sent at once.
type Client struct {
	S             *Store
	Node          string
	TxnOps        int           // changes that the node may put into a transaction
	MaxValueBytes int           // bytes that it may put into a value
	OnServed      func(ok bool) // hears of each request whether it was served; may be nil
	BeforeCommit  func()        // runs before the next transaction is sent, once, as if the node stood still; may be nil
}

// checkAvailable returns why a request is not served: store.ErrRefused for 503,
// store.ErrUnknown for no response at all.
func (c *Client) checkAvailable() error {
	var err error
	switch {
	case c.S.Unreachable[c.Node]:
		err = store.ErrUnknown
	case c.S.Down || c.S.Refuse[c.Node]:
		err = store.ErrRefused
	}
	if c.OnServed != nil {
		c.OnServed(err == nil)
	}
	return err
}

// Get reads a key.
func (c *Client) Get(_ context.Context, key string, _ store.Priority) (store.Item, bool, error) {
	if err := c.checkAvailable(); err != nil {
		return store.Item{}, false, err
	}
	it, ok := c.S.keys[key]
	return store.Item{Key: key, Value: it.value, Version: it.version}, ok, nil
}

// List reads the keys with a prefix, and returns the revision.
func (c *Client) List(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	return c.S.list(prefix), c.S.revision, nil
}

// Changes reads the changes since a revision; it never waits.
func (c *Client) Changes(_ context.Context, prefix string, since uint64, _ time.Duration) ([]store.Change, uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	return c.S.changes(prefix, since)
}

// Commit commits a transaction, subject to the fault set for the node's next one.
func (c *Client) Commit(_ context.Context, t *store.Txn, _ store.Priority) (store.CommitResult, error) {
	if stall := c.BeforeCommit; stall != nil {
		c.BeforeCommit = nil
		stall()
	}
	if err := c.checkAvailable(); err != nil {
		return store.CommitResult{}, err
	}
	c.S.Writes += len(t.Ops)
	c.checkSize(t)
	switch c.S.takeNext(c.Node) {
	case LoseBefore:
		return store.CommitResult{}, store.ErrUnknown
	case Late:
		c.S.late = append(c.S.late, t)
		return store.CommitResult{}, store.ErrUnknown
	case LoseAfter:
		_, _ = c.S.apply(t) // the response is lost
		return store.CommitResult{}, store.ErrUnknown
	}
	return c.S.apply(t)
}

// checkSize checks that a transaction is within the limits that the node knows.
func (c *Client) checkSize(t *store.Txn) {
	if len(t.Ops) > c.TxnOps || len(t.Preconditions) > guardsPerOp*c.TxnOps {
		c.S.w.Violate(RuleLimits, "transaction of %d changes, %d guards", len(t.Ops), len(t.Preconditions))
	}
	for _, op := range t.Ops {
		if len(op.Value) > c.MaxValueBytes {
			c.S.w.Violate(RuleLimits, "%s has %d bytes", op.Write, len(op.Value))
		}
	}
}

// AwaitWrites returns n: any number of changes can be sent.
func (c *Client) AwaitWrites(_ context.Context, n int, _ store.Priority) int { return n }

// SetControllers does nothing: there is no budget to share.
func (c *Client) SetControllers(int) {}

// ReserveForGangs does nothing: there is no budget to reserve of.
func (c *Client) ReserveForGangs(float64) {}

// LowerLimits does nothing: there is no budget to lower.
func (c *Client) LowerLimits() {}

// Used returns the requests and changes that were sent: there is no budget, so none count.
func (c *Client) Used() (requests, writes float64) { return 0, 0 }

// GrantLease makes a lease.
func (c *Client) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	return c.S.grantLease(ttl), nil
}

// RenewLease gives a lease its full time again.
func (c *Client) RenewLease(_ context.Context, leaseID uint64) error {
	if err := c.checkAvailable(); err != nil {
		return err
	}
	return c.S.renewLease(leaseID)
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(_ context.Context, leaseID uint64) error {
	if err := c.checkAvailable(); err != nil {
		return err
	}
	c.S.endLease(leaseID)
	return nil
}
