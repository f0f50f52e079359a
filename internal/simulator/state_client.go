package simulator

import (
	"context"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/store"
)

// StoreClient is a controller's client of the simulated state service. It implements
// external.StateService without rate limits: every request is sent at once.
type StoreClient struct {
	Store         *Store
	Controller    string
	TxnOps        int           // maximum writes in a transaction, as announced to the controller
	MaxValueBytes int           // maximum size of a value, as announced to the controller
	OnServed      func(ok bool) // called after each request with whether it was served; may be nil
	BeforeCommit  func()        // called once before the next transaction is sent, to simulate a paused controller; may be nil
}

// checkAvailable returns the error of a request that is not served: store.ErrRefused for HTTP
// status 503, store.ErrOutcomeUnknown for no response.
func (c *StoreClient) checkAvailable() error {
	var err error
	switch {
	case c.Store.UnreachableControllers[c.Controller]:
		err = store.ErrOutcomeUnknown
	case c.Store.Down || c.Store.RefusedControllers[c.Controller]:
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
	stored, ok := c.Store.keys[key]
	return store.Item{Key: key, Value: stored.value, Version: stored.version}, ok, nil
}

// List returns the keys with a prefix, and the current revision.
func (c *StoreClient) List(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	return c.Store.sortedItems(prefix), c.Store.revision, nil
}

// Changes returns the changes since a revision. It never waits.
func (c *StoreClient) Changes(_ context.Context, prefix string, since uint64, _ time.Duration) ([]store.Change, uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	return c.Store.changes(prefix, since)
}

// Commit commits a transaction, subject to the fault injected for the controller's next
// transaction.
func (c *StoreClient) Commit(_ context.Context, t *store.Txn, _ store.Priority) (store.CommitResult, error) {
	if beforeCommit := c.BeforeCommit; beforeCommit != nil {
		c.BeforeCommit = nil
		beforeCommit()
	}
	if err := c.checkAvailable(); err != nil {
		return store.CommitResult{}, err
	}
	c.Store.SentWrites += len(t.Writes)
	c.checkSize(t)
	c.Store.copies.keep(t, maxTransactionCopies)
	switch c.Store.consumeNextFault(c.Controller) {
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

// checkSize checks that a transaction is within the limits announced to the controller.
func (c *StoreClient) checkSize(t *store.Txn) {
	if len(t.Writes) > c.TxnOps || len(t.Preconditions) > maxPreconditionsPerWrite*c.TxnOps {
		c.Store.env.RecordViolation(RuleLimits, "transaction has %d writes and %d preconditions", len(t.Writes), len(t.Preconditions))
	}
	c.Store.env.checkLength("transaction", len(api.MustMarshal(t)))
	for _, write := range t.Writes {
		if len(write.Value) > c.MaxValueBytes {
			c.Store.env.RecordViolation(RuleLimits, "value of key %q has %d bytes", write.WriteKey, len(write.Value))
		}
	}
}

// AwaitWriteBudget returns n at once: there is no write budget.
func (c *StoreClient) AwaitWriteBudget(_ context.Context, n int, _ store.Priority) int { return n }

// SetControllerCount does nothing: there is no rate limit to share.
func (c *StoreClient) SetControllerCount(int) {}

// ReserveForGangs does nothing: there is no write budget.
func (c *StoreClient) ReserveForGangs(float64) {}

// LowerLimits does nothing: there is no rate limit.
func (c *StoreClient) LowerLimits() {}

// TokensUsed returns zeros: requests and writes are not counted against a budget.
func (c *StoreClient) TokensUsed() (requests, writes float64) { return 0, 0 }

// GrantLease grants a lease and returns its ID.
func (c *StoreClient) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	return c.Store.grantLease(ttl), nil
}

// RenewLease renews a lease for its full duration.
func (c *StoreClient) RenewLease(_ context.Context, leaseID uint64) error {
	if err := c.checkAvailable(); err != nil {
		return err
	}
	return c.Store.renewLease(leaseID)
}

// RevokeLease revokes a lease and deletes its keys.
func (c *StoreClient) RevokeLease(_ context.Context, leaseID uint64) error {
	if err := c.checkAvailable(); err != nil {
		return err
	}
	c.Store.endLease(leaseID)
	return nil
}
