package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// Errors of the cloud.
var (
	// ErrNoCapacity means that the cloud currently has no machines of the requested kind.
	ErrNoCapacity = errors.New("cloud has no capacity")
	// ErrUnavailable means that a call failed; the cloud may still have carried it out.
	ErrUnavailable = errors.New("cloud unavailable")
)

const (
	// MaxMachinesPerRental is the most machines that one request may rent.
	MaxMachinesPerRental = 50
	// MaxMachinesPerReturn is the most machines that one request may return.
	MaxMachinesPerReturn = 100
)

// Response statuses of the cloud.
const (
	statusOK                 = 200
	statusServiceUnavailable = 503
)

// noCapacityText is the cloud's error text for a rental that exceeds its capacity.
const noCapacityText = "no capacity"

// burstSeconds bounds the requests that a client may accumulate, in seconds of its rate share.
const burstSeconds = 2

// Client is a client of the cloud that keeps within the controller's share of its rate limit.
type Client struct {
	http    *transport.Client
	addr    string
	timeout time.Duration // of one request
	budget  *transport.TokenBucket
}

// NewClient makes a client that sends at most rps requests per second on average to addr, each
// with the timeout.
func NewClient(h *transport.Client, addr string, timeout time.Duration, rps float64) *Client {
	return &Client{http: h, addr: addr, timeout: timeout, budget: transport.NewTokenBucket(rps, burstSeconds*rps)}
}

// MachineTypes returns the machine types that the cloud rents.
func (c *Client) MachineTypes(ctx context.Context) ([]MachineType, error) {
	var response struct {
		MachineTypes []MachineType `json:"builds"`
	}
	if err := c.do(ctx, "GET", "/flavors", nil, &response); err != nil {
		return nil, fmt.Errorf("read machine types: %w", err)
	}
	return response.MachineTypes, nil
}

// Rent rents machines and returns their host names.
func (c *Client) Rent(ctx context.Context, r RentalRequest) ([]string, error) {
	var response struct {
		Hosts []string `json:"hosts"`
	}
	if err := c.do(ctx, "POST", "/rentals", r, &response); err != nil {
		return nil, fmt.Errorf("rent %s: %w", r.Name, err)
	}
	return response.Hosts, nil
}

// Return returns at most MaxMachinesPerReturn machines to the cloud. If it succeeds, the machines
// are terminated.
func (c *Client) Return(ctx context.Context, hosts []string) error {
	if err := c.do(ctx, "POST", "/rentals/return", returnRequest{Hosts: hosts}, nil); err != nil {
		return fmt.Errorf("return machines: %w", err)
	}
	return nil
}

// ListPage lists at most MaxMachinesPerPage machines, starting after the machine named since.
// truncated reports whether there are more.
func (c *Client) ListPage(ctx context.Context, since string) (machines []Machine, truncated bool, err error) {
	var response struct {
		Machines  []Machine `json:"hosts"`
		Truncated bool      `json:"truncated"`
	}
	target := fmt.Sprintf("/rentals?since=%s&limit=%d", url.QueryEscape(since), MaxMachinesPerPage)
	if err := c.do(ctx, "GET", target, nil, &response); err != nil {
		return nil, false, fmt.Errorf("list machines: %w", err)
	}
	return response.Machines, response.Truncated, nil
}

// do sends a request with a JSON body, or without one if body is nil, and decodes the response
// into out unless that is nil.
func (c *Client) do(ctx context.Context, method, target string, body, out any) error {
	if err := c.awaitBudget(ctx); err != nil {
		return err
	}
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request body: %w", err)
		}
	}
	m, err := c.http.Do(ctx, transport.Request{Addr: c.addr, Method: method, Target: target, Body: encoded, Timeout: c.timeout})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return decodeResponse(m, out)
}

// awaitBudget waits until the rate limit allows one more request.
func (c *Client) awaitBudget(ctx context.Context) error {
	for {
		wait, ok := c.budget.Take(time.Now(), 1, 0)
		if ok {
			return nil
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ErrUnavailable
		}
	}
}

// decodeResponse decodes a response into out unless that is nil, or returns the error it reports.
func decodeResponse(m *httpwire.Message, out any) error {
	if m.Status != statusOK {
		return responseError(m)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(m.Body, out); err != nil {
		return fmt.Errorf("%w: decode response: %w", ErrUnavailable, err)
	}
	return nil
}

// responseError returns the error of a response with a status other than 200: ErrNoCapacity or
// ErrUnavailable. A body that can't be decoded means ErrUnavailable.
func responseError(m *httpwire.Message) error {
	var response struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(m.Body, &response) // a body that can't be decoded has no error text
	if m.Status == statusServiceUnavailable && response.Error == noCapacityText {
		return ErrNoCapacity
	}
	return fmt.Errorf("%w: unexpected status %d", ErrUnavailable, m.Status)
}
