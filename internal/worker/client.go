// Package worker is the client for direct commands to workers. Only commands
// that may be carried out at any later time are sent this way: fences and
// stops, never starts, since a cut may hold a command back for minutes.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/transport"
)

// Client sends commands to workers.
type Client struct {
	http     *transport.Client
	deadline time.Duration
}

// New makes a client.
func New(h *transport.Client, deadline time.Duration) *Client {
	return &Client{http: h, deadline: deadline}
}

// Status asks a worker for its heartbeat.
func (c *Client) Status(ctx context.Context, addr string) (*api.Heartbeat, error) {
	m, err := c.http.DoOnce(ctx, addr, "GET", "/show", nil, c.deadline)
	if err != nil {
		return nil, err
	}
	if m.Status != 200 {
		return nil, fmt.Errorf("worker: status %d", m.Status)
	}
	return api.ParseHeartbeat(m.Body)
}

// SendCommands sends orders under a fencing token and session. It returns the worker's heartbeat
// and whether the orders were executed.
func (c *Client) SendCommands(ctx context.Context, addr string, o api.CommandBatch) (*api.Heartbeat, bool, error) {
	for _, x := range o.Commands {
		if x.Action == api.Launch {
			return nil, false, fmt.Errorf("launch %s: never sent directly", x.Task)
		}
	}
	b, err := json.Marshal(o)
	if err != nil {
		return nil, false, fmt.Errorf("worker command: %w", err)
	}
	m, err := c.http.DoOnce(ctx, addr, "POST", "/commands", b, c.deadline)
	if err != nil {
		return nil, false, err
	}
	if m.Status != 200 && m.Status != 409 {
		return nil, false, fmt.Errorf("worker: status %d", m.Status)
	}
	r, err := api.ParseHeartbeat(m.Body)
	return r, m.Status == 200, err
}
