package store

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"violetturn/internal/httpwire"
)

// GrantLease makes a lease that ends after ttl unless it is renewed, and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	m, err := c.leaseCall(ctx, "POST", "/holds", leaseRequest{TTLMS: ttl.Milliseconds()})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	var answer leaseAnswer
	if err := decode(m, &answer); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return answer.LeaseID, nil
}

// RenewLease renews a lease. ErrLeaseEnded means that it has ended.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	m, err := c.leaseCall(ctx, "POST", leaseTarget(leaseID)+"/touch", struct{}{})
	if err != nil {
		return fmt.Errorf("renew lease %d: %w", leaseID, err)
	}
	switch m.Status {
	case statusOK:
		return nil
	case statusNotFound:
		return fmt.Errorf("renew lease %d: %w", leaseID, ErrLeaseEnded)
	}
	return fmt.Errorf("renew lease %d: %w", leaseID, &StatusError{Status: m.Status, Body: errorText(m.Body)})
}

// RevokeLease ends a lease at once. One that has ended already is no error.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	if _, err := c.leaseCall(ctx, "DELETE", leaseTarget(leaseID), nil); err != nil {
		return fmt.Errorf("revoke lease %d: %w", leaseID, err)
	}
	return nil
}

// leaseCall sends a request of a lease.
func (c *Client) leaseCall(ctx context.Context, method, target string, body any) (*httpwire.Message, error) {
	return c.do(ctx, call{method: method, target: target, body: body, priority: PriorityLease})
}

// leaseTarget returns the path of a lease.
func leaseTarget(leaseID uint64) string { return "/holds/" + strconv.FormatUint(leaseID, 10) }
