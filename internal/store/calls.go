package store

import (
	"context"
	"time"

	"violetturn/internal/transport"
)

// New makes a client. It stands until the controller makes its client with Options.
func New(h *transport.Client, addr string, deadline time.Duration, limits, next Limits, controllers int, onAnswer func(ok bool)) *Client {
	return newClient(Options{
		HTTP: h, Addr: addr, Deadline: deadline, Limits: limits, Next: next, Controllers: controllers, OnAnswer: onAnswer,
	})
}

// Multi is Commit with its outcome in four results. It stands until the controller calls Commit.
func (c *Client) Multi(ctx context.Context, t *Txn, p Priority) (revision uint64, ok bool, failed []string, err error) {
	result, err := c.Commit(ctx, t, p)
	return result.Revision, result.Committed, result.Conflicts, err
}
