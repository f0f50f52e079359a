package store

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"violetturn/internal/httpwire"
)

// GrantLease creates a lease that expires after ttl unless it is renewed, and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	m, err := c.sendLeaseRequest(ctx, "POST", "/holds", leaseRequest{TTLMS: ttl.Milliseconds()})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	var response leaseResponse
	if err := decodeResponse(m, &response); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return response.LeaseID, nil
}

// RenewLease renews a lease. It returns ErrLeaseEnded if the lease has ended.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	m, err := c.sendLeaseRequest(ctx, "POST", leaseTarget(leaseID)+"/touch", struct{}{})
	if err != nil {
		return fmt.Errorf("renew lease %d: %w", leaseID, err)
	}
	switch m.Status {
	case statusOK:
		return nil
	case statusNotFound:
		return fmt.Errorf("renew lease %d: %w", leaseID, ErrLeaseEnded)
	}
	return fmt.Errorf("renew lease %d: %w", leaseID, &StatusError{Status: m.Status, Body: bodyExcerpt(m.Body)})
}

// RevokeLease ends a lease immediately. Revoking a lease that has already ended is not an error.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	if _, err := c.sendLeaseRequest(ctx, "DELETE", leaseTarget(leaseID), nil); err != nil {
		return fmt.Errorf("revoke lease %d: %w", leaseID, err)
	}
	return nil
}

// sendLeaseRequest sends a request about a lease with PriorityLease.
func (c *Client) sendLeaseRequest(ctx context.Context, method, target string, body any) (*httpwire.Message, error) {
	return c.send(ctx, request{method: method, target: target, body: body, priority: PriorityLease})
}

// leaseTarget returns the URL path of a lease.
func leaseTarget(leaseID uint64) string { return "/holds/" + strconv.FormatUint(leaseID, 10) }
