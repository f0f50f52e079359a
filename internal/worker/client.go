// Package worker is the client for commands that a controller sends to a worker directly, rather
// than in the response to its heartbeat. Only commands that are safe to execute late are sent this
// way: fencing tokens, stops and clears. Launches are not, since a network partition can delay a
// command by minutes.
//
// Each request uses a connection of its own that is closed afterwards, because there are more
// workers than sockets. A Client's methods may be called from any goroutine.
package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// ErrLaunchNotAllowed means that a batch contains a launch, which must not be sent directly. The
// batch was not sent.
var ErrLaunchNotAllowed = errors.New("launch commands must not be sent directly")

// StatusError is a response with a status that PROTOCOL does not define for the request.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// Response statuses of a worker.
const (
	statusOK       = 200
	statusConflict = 409 // the fencing token or the agent epoch is out of date
)

// Client sends commands to workers.
type Client struct {
	http    *transport.Client
	timeout time.Duration // of one request
}

// NewClient makes a client whose requests each have the timeout.
func NewClient(h *transport.Client, timeout time.Duration) *Client {
	return &Client{http: h, timeout: timeout}
}

// FetchHeartbeat requests the current heartbeat of the worker at addr.
func (c *Client) FetchHeartbeat(ctx context.Context, addr string) (*api.Heartbeat, error) {
	m, err := c.do(ctx, addr, "GET", "/show", nil)
	if err != nil {
		return nil, fmt.Errorf("request heartbeat of worker %s: %w", addr, err)
	}
	if m.Status != statusOK {
		return nil, fmt.Errorf("request heartbeat of worker %s: %w", addr, &StatusError{m.Status})
	}
	h, err := api.ParseHeartbeat(m.Body)
	if err != nil {
		return nil, fmt.Errorf("parse heartbeat of worker %s: %w", addr, err)
	}
	return h, nil
}

// SendCommands sends commands under a fencing token and an agent epoch to the worker at addr.
// It returns the worker's heartbeat and whether the worker executed the commands. After an error
// other than ErrLaunchNotAllowed, the worker may have executed them or may still do so.
func (c *Client) SendCommands(ctx context.Context, addr string, batch api.CommandBatch) (*api.Heartbeat, bool, error) {
	for _, command := range batch.Commands {
		if command.Action == api.Launch {
			return nil, false, fmt.Errorf("command for %s: %w", command.Task, ErrLaunchNotAllowed)
		}
	}
	body, err := json.Marshal(batch)
	if err != nil {
		return nil, false, fmt.Errorf("send commands to worker %s: %w", addr, err)
	}
	m, err := c.do(ctx, addr, "POST", "/commands", body)
	if err != nil {
		return nil, false, fmt.Errorf("send commands to worker %s: %w", addr, err)
	}
	if m.Status != statusOK && m.Status != statusConflict {
		return nil, false, fmt.Errorf("send commands to worker %s: %w", addr, &StatusError{m.Status})
	}
	h, err := api.ParseHeartbeat(m.Body)
	if err != nil {
		return nil, m.Status == statusOK, fmt.Errorf("parse heartbeat of worker %s: %w", addr, err)
	}
	return h, m.Status == statusOK, nil
}

// do sends one request over a connection that is closed afterwards.
func (c *Client) do(ctx context.Context, addr, method, target string, body []byte) (*httpwire.Message, error) {
	return c.http.Do(ctx, transport.Request{
		Addr:       addr,
		Method:     method,
		Target:     target,
		Body:       body,
		Timeout:    c.timeout,
		CloseAfter: true,
	})
}
