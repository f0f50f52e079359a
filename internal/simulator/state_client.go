package simulator

import (
	"context"
	"time"

	"violetturn/internal/store"
)

// StoreClient is the state service as one node reaches it. It implements what a controller asks
// of its state service. It has no budget of requests: what is sent is sent at once.
type StoreClient struct {
	Store         *Store
	Node          string
	TxnOps        int           // changes that the node may put into a transaction
	MaxValueBytes int           // bytes that it may put into a value
	OnServed      func(ok bool) // hears of each request whether it was served; may be nil
	BeforeCommit  func()        // runs before the next transaction is sent, once, as if the node stood still; may be nil
}

// checkAvailable returns why a request is not served: store.ErrRefused for 503,
// store.ErrOutcomeUnknown for no response at all.
func (c *StoreClient) checkAvailable() error {
	var err error
	switch {
	case c.Store.UnreachableNodes[c.Node]:
		err = store.ErrOutcomeUnknown
	case c.Store.Down || c.Store.RefusedNodes[c.Node]:
		err = store.ErrRefused
	}
	if c.OnServed != nil {
		c.OnServed(err == nil)
	}
	return err
}

// Get reads a key.
func (c *StoreClient) Get(_ context.Context, key string, _ store.Priority) (store.Item, bool, error) {
	if err := c.checkAvailable(); err != nil {
		return store.Item{}, false, err
	}
	it, ok := c.Store.keys[key]
	return store.Item{Key: key, Value: it.value, Version: it.version}, ok, nil
}

// List reads the keys with a prefix, and returns the revision.
func (c *StoreClient) List(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	return c.Store.list(prefix), c.Store.revision, nil
}

// Changes reads the changes since a revision; it never waits.
func (c *StoreClient) Changes(_ context.Context, prefix string, since uint64, _ time.Duration) ([]store.Change, uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	return c.Store.changes(prefix, since)
}

// Commit commits a transaction, subject to the fault set for the node's next one.
func (c *StoreClient) Commit(_ context.Context, t *store.Txn, _ store.Priority) (store.CommitResult, error) {
	if stall := c.BeforeCommit; stall != nil {
		c.BeforeCommit = nil
		stall()
	}
	if err := c.checkAvailable(); err != nil {
		return store.CommitResult{}, err
	}
	c.Store.SentWrites += len(t.Ops)
	c.checkSize(t)
	switch c.Store.takeNextFault(c.Node) {
	case NoFault:
	case RequestLost:
		return store.CommitResult{}, store.ErrOutcomeUnknown
	case Delayed:
		c.Store.delayed = append(c.Store.delayed, t)
		return store.CommitResult{}, store.ErrOutcomeUnknown
	case ResponseLost:
		_, _ = c.Store.apply(t) // the response is lost
		return store.CommitResult{}, store.ErrOutcomeUnknown
	}
	return c.Store.apply(t)
}

// checkSize checks that a transaction is within the limits that the node knows.
func (c *StoreClient) checkSize(t *store.Txn) {
	if len(t.Ops) > c.TxnOps || len(t.Preconditions) > guardsPerOp*c.TxnOps {
		c.Store.w.RecordViolation(RuleLimits, "transaction of %d changes, %d guards", len(t.Ops), len(t.Preconditions))
	}
	for _, op := range t.Ops {
		if len(op.Value) > c.MaxValueBytes {
			c.Store.w.RecordViolation(RuleLimits, "%s has %d bytes", op.WriteKey, len(op.Value))
		}
	}
}

// AwaitWriteBudget returns n: any number of changes can be sent.
func (c *StoreClient) AwaitWriteBudget(_ context.Context, n int, _ store.Priority) int { return n }

// SetControllerCount does nothing: there is no budget to share.
func (c *StoreClient) SetControllerCount(int) {}

// ReserveForGangs does nothing: there is no budget to reserve of.
func (c *StoreClient) ReserveForGangs(float64) {}

// LowerLimits does nothing: there is no budget to lower.
func (c *StoreClient) LowerLimits() {}

// TokensUsed returns the requests and changes that were sent: there is no budget, so none count.
func (c *StoreClient) TokensUsed() (requests, writes float64) { return 0, 0 }

// GrantLease makes a lease.
func (c *StoreClient) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	return c.Store.grantLease(ttl), nil
}

// RenewLease gives a lease its full time again.
func (c *StoreClient) RenewLease(_ context.Context, leaseID uint64) error {
	if err := c.checkAvailable(); err != nil {
		return err
	}
	return c.Store.renewLease(leaseID)
}

// RevokeLease ends a lease.
func (c *StoreClient) RevokeLease(_ context.Context, leaseID uint64) error {
	if err := c.checkAvailable(); err != nil {
		return err
	}
	c.Store.endLease(leaseID)
	return nil
}
